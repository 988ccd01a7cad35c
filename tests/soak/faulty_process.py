"""Runs the dispatcher with system calls that fail, short reads and writes, and a wrong wall clock.

`$SOAK_FAULTS` is a JSON object with the fields of `ProcessFaults`. What the program is told by the system is
changed here, at the edge of the standard library; the program itself is not, but for a fault that is planted
to see whether the judge finds it.
"""

import errno
import json
import os
import random
import socket
import sys
import time
from dataclasses import dataclass
from typing import Any

SOCKET_CALL_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
ACCEPT_ERRORS = (*SOCKET_CALL_ERRORS, errno.ECONNABORTED, errno.EPROTO, errno.ENETUNREACH, errno.EINTR)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.ECONNABORTED)
BROKEN_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)
NANOSECONDS = 1_000_000_000


@dataclass(frozen=True)
class ProcessFaults:
    """How often calls fail, as shares, and how wrong the wall clock is."""

    seed: int = 0
    accept: float = 0.0
    connect: float = 0.0
    short: float = 0.0  # reads and writes that move a part
    broken: float = 0.0  # reads on connections to backends
    clock_seconds: float = 0.0
    step_after: float = 0.0  # seconds from the start until the wall clock is stepped back to the right time
    plant: str = ""


class Chance:
    """Draws whether a call fails, and how."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)

    def strikes(self, share: float) -> bool:
        """True in that share of the calls."""
        return self.rng.random() < share

    def fail(self, share: float, errors: tuple[int, ...]) -> None:
        """Raises one of the errors in that share of the calls."""
        if self.strikes(share):
            number = self.rng.choice(errors)
            raise OSError(number, os.strerror(number))


def faulty_socket(faults: ProcessFaults, genuine: type[socket.socket]) -> type[socket.socket]:
    """A socket class whose calls fail now and then."""
    chance = Chance(faults.seed)

    class FaultySocket(genuine):  # type: ignore[misc, valid-type]
        connected_out = False

        def accept(self) -> Any:
            chance.fail(faults.accept, ACCEPT_ERRORS)
            return super().accept()

        def connect(self, address: Any) -> None:
            if self.family == socket.AF_INET:
                self.connected_out = True
                chance.fail(faults.connect, CONNECT_ERRORS)
            super().connect(address)

        def recv(self, size: int, *flags: int) -> bytes:
            if self.connected_out:
                chance.fail(faults.broken, BROKEN_ERRORS)
            if chance.strikes(faults.short):
                size = chance.rng.randint(1, 40)
            data: bytes = super().recv(size, *flags)
            return data

        def send(self, data: Any, *flags: int) -> int:
            if chance.strikes(faults.short):
                data = memoryview(data)[: chance.rng.randint(1, 60)]
            sent: int = super().send(data, *flags)
            return sent

    return FaultySocket


def install(faults: ProcessFaults) -> None:
    """Changes what sockets and clocks tell from here on."""
    socket.socket = faulty_socket(faults, socket.socket)  # type: ignore[misc]
    if not faults.clock_seconds:
        return
    genuine_time_ns = time.time_ns
    stepped_at = time.monotonic() + faults.step_after

    def wall_ns() -> int:
        wrong = not faults.step_after or time.monotonic() < stepped_at
        return genuine_time_ns() + int(wrong * faults.clock_seconds * NANOSECONDS)

    time.time_ns = wall_ns
    time.time = lambda: wall_ns() / NANOSECONDS


def main() -> None:
    """Starts the dispatcher's command line after the faults are in place."""
    faults = ProcessFaults(**json.loads(os.environ["SOAK_FAULTS"]))
    install(faults)
    if faults.plant:
        from tests.soak.planted import PLANTS

        PLANTS[faults.plant]()
    from crankfold.cli.main import main as command_line

    sys.argv = ["crankfold", "serve"]
    command_line()


if __name__ == "__main__":
    main()
