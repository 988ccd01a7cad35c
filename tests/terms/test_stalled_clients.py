"""Clients that stop in the middle of a request, and clients that are only slow."""

import asyncio
import contextlib

from tests.fixtures import read_message
from tests.loopback import DispatcherTestCase, Handler

STALL_LIMIT_SECONDS = 3.0  # until a client that stops in a request gets an error or its connection is closed
HEADER = (
    b"POST /api HTTP/1.1\r\nHost: b\r\nX-Request-ID: %b\r\nX-Priority-Class: g\r\n"
    b"X-Timeout: 1\r\nContent-Length: 6\r\n\r\n"
)


async def failing_backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serves one connection of a fake backend that answers each request with an error."""
    while True:
        await read_message(reader)
        writer.write(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")


class StalledClientTest(DispatcherTestCase):
    """A client that stops in the middle of a request without disconnecting, and one that is only slow."""

    async def start_dispatcher(self, handler: Handler = failing_backend) -> None:
        await self.begin(handler)
        await self.start_in_process()

    async def connect(
        self, *, served_before: bool, request_id: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        if served_before:
            writer.write(HEADER % request_id.encode() + b"hello!")
            await read_message(reader)
        return reader, writer

    async def seconds_until_closed(self, sent: bytes, *, served_before: bool, request_id: str) -> float:
        reader, writer = await self.connect(served_before=served_before, request_id=request_id)
        started_at = asyncio.get_running_loop().time()
        writer.write(sent)
        async with asyncio.timeout(2 * STALL_LIMIT_SECONDS):
            with contextlib.suppress(ConnectionError):
                await reader.read()
        return asyncio.get_running_loop().time() - started_at

    async def test_connection_stalled_in_request_is_closed_within_three_seconds(self) -> None:
        await self.start_dispatcher()
        header = HEADER % b"stalled"
        parts = (header[:1], header[:50], header, header + b"h", header + b"hello", b"\r\n")
        durations = await asyncio.gather(
            *(
                self.seconds_until_closed(
                    part, served_before=served_before, request_id=f"{number}-{served_before}"
                )
                for number, part in enumerate(parts)
                for served_before in (False, True)
            )
        )
        self.assertLessEqual(max(durations), STALL_LIMIT_SECONDS, durations)

    async def test_connection_stalled_in_pipelined_request_is_closed_within_three_seconds(self) -> None:
        async def hold_request(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await reader.read()  # until the request's deadline

        await self.start_dispatcher(hold_request)
        reader, writer = await self.connect(served_before=False, request_id="")
        writer.write(HEADER % b"first" + b"hello!" + (HEADER % b"second")[:30])
        await read_message(reader)
        started_at = asyncio.get_running_loop().time()
        async with asyncio.timeout(2 * STALL_LIMIT_SECONDS):
            with contextlib.suppress(ConnectionError):
                await reader.read()
        self.assertLessEqual(asyncio.get_running_loop().time() - started_at, STALL_LIMIT_SECONDS)

    async def test_slow_client_that_keeps_writing_is_served(self) -> None:
        await self.start_dispatcher()

        async def write_slowly(*, served_before: bool, request_id: str) -> str:
            reader, writer = await self.connect(served_before=served_before, request_id=request_id)
            data = HEADER % (request_id + "-slow").encode() + b"hello!"
            pieces = [data[:20], data[20:-6], b"h", b"el", b"lo", b"!"]
            for piece in pieces:
                writer.write(piece)
                await asyncio.sleep(0.7)
            return (await read_message(reader))[0].split()[1]

        statuses = await asyncio.gather(
            write_slowly(served_before=False, request_id="new"),
            write_slowly(served_before=True, request_id="kept"),
        )
        # 503 answers the backend's error, as the request is idempotent.
        self.assertEqual(statuses, ["503", "503"])
