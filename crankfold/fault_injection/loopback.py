"""The loopback address and the ports of a trial; no two trials on a machine share an address."""

import contextlib
import errno
import os
import socket
from ipaddress import IPv4Address

FIRST_ADDRESS = IPv4Address("127.1.0.0")  # that of process id 0
CLAIM_PORT = 20_000  # a process listens on it for as long as the address is its own
# Below the ephemeral ports: an outgoing connection could otherwise occupy the port of a later process.
CANDIDATE_PORTS = iter(range(CLAIM_PORT + 1, 30_000))


def claim_address(process_id: int) -> tuple[str, socket.socket]:
    """Returns a loopback address that no other process has claimed, and the socket that claims it.

    The address is the first free one from the one that belongs to the process id. It stays claimed until the
    socket is closed.

    Raises:
        OSError: Listening failed for another reason than that the address is claimed.
    """
    address = FIRST_ADDRESS + process_id
    while True:
        try:
            return str(address), socket.create_server((str(address), CLAIM_PORT))
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
        address += 1


HOST, _claim = claim_address(os.getpid())


def find_free_port() -> int:
    """Returns an unused port of `HOST`; each port is returned once."""
    while True:
        port = next(CANDIDATE_PORTS)
        with contextlib.suppress(OSError), socket.create_server((HOST, port)):
            return port
