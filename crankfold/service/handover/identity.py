"""What the processes of one dispatcher have in common, by which they recognise each other."""

import zlib
from typing import NamedTuple

from crankfold.protocol.handover_messages import FORMAT_VERSION, HandoverMessage, Hello, ProcessState, Welcome


class DispatcherIdentity(NamedTuple):
    """The name and the address of a dispatcher.

    The directory may have the socket or the record of another dispatcher that used the same address, so names
    are compared as well.

    Attributes:
        dispatcher_name: Of the configuration.
        listen_address: Host and port for clients.
    """

    dispatcher_name: str
    listen_address: tuple[str, int]

    def socket_name(self) -> str:
        """Returns the name of the handover socket in its directory."""
        address_hash = zlib.crc32(f"{self.listen_address[0]}:{self.listen_address[1]}".encode())
        return f"crankfold-{address_hash:08x}"

    def hello(self) -> Hello:
        """Returns the first message to a predecessor."""
        return Hello(FORMAT_VERSION, self.listen_address, self.dispatcher_name)

    def state_in_welcome(
        self, welcome: HandoverMessage, socket_address: tuple[str, int]
    ) -> ProcessState | None:
        """Returns the state in a welcome; None unless its sender is a process of this dispatcher.

        Args:
            welcome: The first message of a predecessor.
            socket_address: Of the listening socket that it passed.
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
