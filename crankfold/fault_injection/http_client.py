"""The little HTTP that a trial speaks itself, on addresses of its own."""

import asyncio
import contextlib
import json
import os
import socket
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

# Of the whole loopback range, so that trials side by side take no port from each other.
HOST = f"127.{os.getpid() >> 16 & 255 or 1}.{os.getpid() >> 8 & 255}.{os.getpid() & 255 or 1}"
# Below those that the system gives to connections: a call to a process not there yet could take its port.
CANDIDATE_PORTS = iter(range(20_001, 30_000))
READ_TIMEOUT = 1.0  # seconds
WRITE_TIMEOUT = 6.0  # seconds; a publish is answered when the voters agreed


def boot_time_ns() -> int:
    """Nanoseconds on the clock by which the processes stamp their records."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def find_free_port() -> int:
    """A port of `HOST` that nobody listens on, and that is not given out again."""
    while True:
        port = next(CANDIDATE_PORTS)
        with contextlib.suppress(OSError), socket.create_server((HOST, port)):
            return port


@dataclass(frozen=True, slots=True)
class HttpMessage:
    """A request or a response."""

    start_line: str
    headers: Mapping[str, str]  # by name in lower case
    body: bytes

    @property
    def status(self) -> int:
        """Of a response."""
        return int(self.start_line.split()[1])


async def read_http_message(reader: asyncio.StreamReader) -> HttpMessage:
    """The next message on a connection; its body has to have a length.

    Raises:
        asyncio.IncompleteReadError: the connection ended before it did.
    """
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    split = (line.partition(":") for line in lines[1:])
    headers = {name.strip().lower(): value.strip() for name, _, value in split}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return HttpMessage(lines[0], headers, body)


async def http_call(port: int, target: str, body: bytes | None = None, headers: str = "") -> HttpMessage:
    """The response to one request on a connection of its own: a POST if there is a body, else a GET.

    Raises:
        OSError: nobody listens there.
        asyncio.IncompleteReadError: the connection ended before the response did.
    """
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        method = "GET" if body is None else "POST"
        writer.write(
            f"{method} {target} HTTP/1.1\r\nHost: trial\r\n{headers}Connection: close\r\n"
            f"Content-Length: {len(body or b'')}\r\n\r\n".encode()
            + (body or b"")
        )
        return await read_http_message(reader)
    finally:
        writer.close()


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """What an admin server answered; status 0 and no content if nobody did."""

    status: int
    content: dict[str, Any]

    @property
    def ok(self) -> bool:
        """Whether the call was carried out."""
        return self.status == 200


class AdminClient:
    """Calls to the admin servers of a trial's processes."""

    def __init__(self, ports: dict[str, int]) -> None:
        self.ports = ports  # by process; changes when a process is replaced

    async def call(self, process: str, path: str, body: dict[str, Any] | None = None) -> AdminResponse:
        """One call; a POST if there is a body, else a GET."""
        data = None if body is None else json.dumps(body).encode()
        try:
            async with asyncio.timeout(READ_TIMEOUT if body is None else WRITE_TIMEOUT):
                response = await http_call(self.ports[process], f"/control/{path}", data)
            return AdminResponse(response.status, json.loads(response.body))
        except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError):
            return AdminResponse(0, {})

    async def find_leader(self, voters: list[str]) -> str:
        """The leader as the first voter that knows one sees it; the first voter if none does."""
        for voter in voters:
            leader = (await self.call(voter, "fleet")).content.get("leader")
            if leader:
                return str(leader)
        return voters[0]
