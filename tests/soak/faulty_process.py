"""Runs the dispatcher with system calls that fail, short reads and writes, and a wrong wall clock.

`$SOAK_FAULTS` is a JSON object with the fields of `ProcessFaults`. This module replaces the sockets and
clocks of the standard library. It leaves the program itself unchanged, except for a fault that is planted to
test the judge.
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
RECEIVE_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)
NANOSECONDS_PER_SECOND = 1_000_000_000


@dataclass(frozen=True)
class ProcessFaults:
    """The shares of calls that fail, and the error of the wall clock."""

    seed: int = 0
    accept: float = 0.0
    connect: float = 0.0
    short: float = 0.0  # reads and writes that transfer only a part
    broken: float = 0.0  # reads on outgoing connections
    clock_seconds: float = 0.0
    step_after: float = 0.0  # seconds from the start until the wall clock steps to the correct time; 0: never
    plant: str = ""


class FaultGenerator:
    """Draws whether a call fails, and with which error."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)

    def draw(self, share: float) -> bool:
        """Returns True in that share of the calls."""
        return self.rng.random() < share

    def raise_error(self, share: float, errors: tuple[int, ...]) -> None:
        """Raises one of the errors in that share of the calls."""
        if self.draw(share):
            error_number = self.rng.choice(errors)
            raise OSError(error_number, os.strerror(error_number))


def faulty_socket(faults: ProcessFaults, original: type[socket.socket]) -> type[socket.socket]:
    """Returns a socket class whose calls fail in the shares of `faults`."""
    generator = FaultGenerator(faults.seed)

    class FaultySocket(original):  # type: ignore[misc, valid-type]
        is_outgoing = False

        def accept(self) -> Any:
            generator.raise_error(faults.accept, ACCEPT_ERRORS)
            return super().accept()

        def connect(self, address: Any) -> None:
            if self.family == socket.AF_INET:
                self.is_outgoing = True
                generator.raise_error(faults.connect, CONNECT_ERRORS)
            super().connect(address)

        def recv(self, size: int, *flags: int) -> bytes:
            if self.is_outgoing:
                generator.raise_error(faults.broken, RECEIVE_ERRORS)
            if generator.draw(faults.short):
                size = generator.rng.randint(1, 40)
            data: bytes = super().recv(size, *flags)
            return data

        def send(self, data: Any, *flags: int) -> int:
            if generator.draw(faults.short):
                data = memoryview(data)[: generator.rng.randint(1, 60)]
            sent: int = super().send(data, *flags)
            return sent

    return FaultySocket


def install(faults: ProcessFaults) -> None:
    """Replaces the socket class and the wall clock of this process."""
    socket.socket = faulty_socket(faults, socket.socket)  # type: ignore[misc]
    if not faults.clock_seconds:
        return
    original_time_ns = time.time_ns
    stepped_at = time.monotonic() + faults.step_after

    def faulty_time_ns() -> int:
        is_wrong = not faults.step_after or time.monotonic() < stepped_at
        return original_time_ns() + int(is_wrong * faults.clock_seconds * NANOSECONDS_PER_SECOND)

    time.time_ns = faulty_time_ns
    time.time = lambda: faulty_time_ns() / NANOSECONDS_PER_SECOND


def main() -> None:
    """Installs the faults and starts the dispatcher's command line."""
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
