"""A minimal HTTP client for trials."""

import asyncio
import json
import time
from collections.abc import Mapping
from dataclasses import dataclass

from crankfold.fault_injection.loopback import HOST
from crankfold.fault_injection.records import JsonObject

READ_TIMEOUT = 1.0  # seconds
WRITE_TIMEOUT = 6.0  # seconds; a publish is answered after its commit by the voters
STATUS_OK = 200
STATUS_NO_CONTENT = 204
STATUS_BAD_REQUEST = 400
STATUS_CONFLICT = 409


def boot_time_ns() -> int:
    """Returns the boot-time clock in nanoseconds, the clock of all records."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


@dataclass(frozen=True, slots=True)
class HttpMessage:
    """An HTTP request or response."""

    start_line: str
    headers: Mapping[str, str]  # by name in lower case
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start_line.split()[1])


async def read_http_message(reader: asyncio.StreamReader) -> HttpMessage:
    """Reads the next message of a connection; its body is framed by Content-Length.

    Raises:
        asyncio.IncompleteReadError: The connection was closed before the end of the message.
    """
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in lines[1:])
    headers = {name.strip().lower(): value.strip() for name, _, value in fields}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return HttpMessage(lines[0], headers, body)


async def http_call(port: int, target: str, body: bytes | None = None, headers: str = "") -> HttpMessage:
    """Sends one request on a new connection and returns the response.

    Args:
        port: The port at `HOST`.
        target: The path.
        body: None for a GET, else the body of a POST.
        headers: Additional header lines, each terminated by CRLF.

    Raises:
        OSError: The connection was refused or reset.
        asyncio.IncompleteReadError: The connection was closed before the end of the response.
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
    """The response of an admin server; status 0 and no content if there is none."""

    status: int
    content: JsonObject

    @property
    def ok(self) -> bool:
        """Whether the call succeeded."""
        return self.status == STATUS_OK


class AdminClient:
    """Calls the admin servers of a trial's processes."""

    def __init__(self, ports: dict[str, int]) -> None:
        self.ports = ports  # by process; updated when a process is replaced

    async def call(self, process: str, path: str, body: JsonObject | None = None) -> AdminResponse:
        """Calls one process: a GET without a body, a POST with one."""
        data = None if body is None else json.dumps(body).encode()
        try:
            async with asyncio.timeout(READ_TIMEOUT if body is None else WRITE_TIMEOUT):
                response = await http_call(self.ports[process], f"/control/{path}", data)
            return AdminResponse(response.status, json.loads(response.body))
        except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError):
            return AdminResponse(0, {})

    async def find_leader(self, voters: list[str]) -> str:
        """Returns the leader that the first voter with one reports; the first voter if none does."""
        for voter in voters:
            leader = (await self.call(voter, "fleet")).content.get("leader")
            if leader:
                return str(leader)
        return voters[0]
