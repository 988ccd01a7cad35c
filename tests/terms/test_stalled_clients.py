"""Clauses on clients that stop in the middle of a request, and on those that are only slow."""

import asyncio
import contextlib

from tests.fixtures import read_message
from tests.loopback import DispatcherTestCase, Handler

BAD_CLIENT_SECONDS = 3.0  # in which a client that stops in a request is owed its error or close
HEADER = (
    b"POST /api HTTP/1.1\r\nHost: b\r\nX-Request-ID: %b\r\nX-Priority-Class: g\r\n"
    b"X-Timeout: 1\r\nContent-Length: 6\r\n\r\n"
)


async def failing_backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A backend that answers each request with an error."""
    while True:
        await read_message(reader)
        writer.write(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")


class StalledClientTest(DispatcherTestCase):
    """A client that stops in the middle of a request and stays, and one that is only slow."""

    async def serve(self, handler: Handler = failing_backend) -> None:
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

    async def seconds_until_ended(self, part: bytes, *, served_before: bool, request_id: str) -> float:
        reader, writer = await self.connect(served_before=served_before, request_id=request_id)
        begin = asyncio.get_running_loop().time()
        writer.write(part)
        async with asyncio.timeout(2 * BAD_CLIENT_SECONDS):
            with contextlib.suppress(ConnectionError):
                await reader.read()
        return asyncio.get_running_loop().time() - begin

    async def test_a_client_that_stops_in_a_request_is_ended_within_three_seconds(self) -> None:
        await self.serve()
        header = HEADER % b"stalled"
        parts = (header[:1], header[:50], header, header + b"h", header + b"hello", b"\r\n")
        ended = await asyncio.gather(
            *(
                self.seconds_until_ended(part, served_before=before, request_id=f"{number}-{before}")
                for number, part in enumerate(parts)
                for before in (False, True)
            )
        )
        self.assertLessEqual(max(ended), BAD_CLIENT_SECONDS, ended)

    async def test_a_client_that_stops_in_what_it_sent_behind_a_request_is_ended(self) -> None:
        async def hold_request(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await reader.read()  # until the request's time is over

        await self.serve(hold_request)
        reader, writer = await self.connect(served_before=False, request_id="")
        writer.write(HEADER % b"first" + b"hello!" + (HEADER % b"second")[:30])
        await read_message(reader)
        begin = asyncio.get_running_loop().time()
        async with asyncio.timeout(2 * BAD_CLIENT_SECONDS):
            with contextlib.suppress(ConnectionError):
                await reader.read()
        self.assertLessEqual(asyncio.get_running_loop().time() - begin, BAD_CLIENT_SECONDS)

    async def test_a_slow_writer_that_goes_on_is_served(self) -> None:
        await self.serve()

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
        self.assertEqual(statuses, ["503", "503"])  # that of the backend's error, where a retry is harmless
