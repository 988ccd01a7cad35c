"""The identity of a dispatcher, by which its processes recognise each other."""

import zlib
from typing import NamedTuple

from crankfold.protocol.handover_messages import FORMAT_VERSION, HandoverMessage, Hello, ProcessState, Welcome


class DispatcherIdentity(NamedTuple):
    """The name and the address of a dispatcher.

    The handover directory may contain the socket or the manual drain record of another dispatcher that used
    the same address, so names are compared as well.

    Attributes:
        dispatcher_name: The name in the configuration.
        listen_address: The host and the port for clients.
    """

    dispatcher_name: str
    listen_address: tuple[str, int]

    def socket_name(self) -> str:
        """Returns the file name of the handover socket."""
        address_hash = zlib.crc32(f"{self.listen_address[0]}:{self.listen_address[1]}".encode())
        return f"crankfold-{address_hash:08x}"

    def hello(self) -> Hello:
        """Returns the first message that a successor sends to its predecessor."""
        return Hello(FORMAT_VERSION, self.listen_address, self.dispatcher_name)

    def state_in_welcome(
        self, welcome: HandoverMessage, socket_address: tuple[str, int]
    ) -> ProcessState | None:
        """Returns the state in a welcome message; None unless its sender is a process of this dispatcher.

        Args:
            welcome: The first message of a predecessor.
            socket_address: The address of the listening socket that the predecessor passed on.
        """
        if not isinstance(welcome, Welcome):
            return None
        state = welcome.state
        if (
            state.format_version != FORMAT_VERSION
            or state.dispatcher_name != self.dispatcher_name
            or socket_address != self.listen_address
        ):
            return None
        return state
