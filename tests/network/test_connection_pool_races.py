"""Races between the bytes of a backend and the reuse, abort or end of its connection, on real sockets."""

import asyncio
import contextlib
from typing import Any

from crankfold.network.connection_pool import ConnectionLimiter, ConnectionPool
from crankfold.network.exchange import Exchange, ExchangeResult
from crankfold.network.metrics import Metrics
from crankfold.network.pooled_connection import REUSE_COOLDOWN, PooledConnection
from crankfold.protocol.backend_connection import BackendConnection
from tests.fixtures import read_message
from tests.loopback import NEVER_RAN, OK, Handler, Loopback, accepting


class ConnectionPoolCrossings(Loopback):
    async def begin(self, handler: Handler) -> None:
        self.ends: list[str] = []
        self.links: list[asyncio.StreamWriter] = []

        async def keep_alive(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.links.append(writer)
            await handler(reader, writer)

        self.metrics = Metrics()
        self.pool = ConnectionPool(
            "127.0.0.1", await self.stand_in(keep_alive), ConnectionLimiter(9, 0.25, 5.0, self.metrics)
        )
        self.addCleanup(self.pool.close)

    def send(self, body: bytes = b"x", needs_cooldown: bool = True) -> Exchange:
        def on_end(result: ExchangeResult, protocol: BackendConnection | None) -> None:
            self.ends.append(f"{result.value} {protocol.status if protocol else ''}")

        exchange = Exchange(
            b"POST",
            b"/api",
            lambda: [(b"Host", b"b")],
            body,
            may_send=lambda: True,
            on_end=on_end,
            needs_cooldown=needs_cooldown,
        )
        self.pool.send(exchange)
        return exchange

    async def test_bytes_unread_when_a_connection_is_reused_answer_nothing(self) -> None:
        await self.begin(accepting)
        for unasked in (NEVER_RAN, b"HTTP/1.1 503 Serv"):
            self.ends.clear()
            self.send()
            await self.until(lambda: len(self.ends) == 1)
            await asyncio.sleep(1.2 * REUSE_COOLDOWN)
            (connection,) = self.pool.idle_connections
            self.links[-1].write(unasked)  # with the system by now, and in this turn nobody reads it
            second = self.send()
            await self.until(lambda: len(self.ends) == 2)
            self.assertEqual(self.ends, ["answered 202"] * 2)
            self.assertIsNot(second.connection, connection)
            await asyncio.sleep(1.2 * REUSE_COOLDOWN)

    async def test_bytes_read_but_not_processed_when_a_connection_is_reused_answer_nothing(self) -> None:
        await self.begin(accepting)
        self.send()
        await self.until(lambda: len(self.ends) == 1)
        await asyncio.sleep(1.2 * REUSE_COOLDOWN)
        (connection,) = self.pool.idle_connections
        connection.reader.feed_data(NEVER_RAN)  # as the loop does before it calls what comes in this turn
        self.send()
        await self.until(lambda: len(self.ends) == 2)
        self.assertEqual(self.ends, ["answered 202"] * 2)

    async def test_a_second_response_some_milliseconds_late_answers_nothing(self) -> None:
        requests: list[int] = []
        second_response_due = asyncio.Event()

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            n = len(self.links)
            while True:
                await read_message(reader)
                requests.append(n)
                if len(requests) == 2:
                    self.links[0].write(NEVER_RAN)  # of the first, while the second is being worked on
                    await second_response_due.wait()
                writer.write(OK)

        await self.begin(backend)
        self.send()
        await self.until(lambda: len(self.ends) == 1)
        self.send()  # at once: the connection has hardly come to rest
        await self.until(lambda: len(requests) == 2)
        await self.until(lambda: self.metrics.counters["backend-unsolicited-data"] == 1)
        second_response_due.set()
        await self.until(lambda: len(self.ends) == 2)
        self.assertEqual((requests, self.ends), ([1, 2], ["answered 202"] * 2))
        self.send(needs_cooldown=False)  # what carries no unit waits for nothing
        await self.until(lambda: len(self.ends) == 3)
        self.assertEqual(requests, [1, 2, 2])

    async def test_a_response_that_breaks_off_says_only_that_the_request_was_accepted(self) -> None:
        answers: list[tuple[bytes, str]] = [
            (NEVER_RAN.replace(b"Length: 0", b"Length: 9") + b"half", "broken 503"),
            (
                NEVER_RAN.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked") + b"zz\r\n",
                "broken 503",
            ),
            (b"HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\nhalf", "answered 202"),
            (b"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "answered 202"),
            (b"HTTP/1.1 202 Acc", "broken 0"),
            (NEVER_RAN.replace(b"Length: 0", b"Length: 900000") + b"x" * 900_000, "broken 503"),
        ]

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(answers[len(self.ends)][0])
            await writer.drain()
            writer.write_eof()
            await reader.read()

        await self.begin(backend)
        for n in range(len(answers)):
            self.send()
            await self.until(lambda n=n: len(self.ends) > n)  # type: ignore[misc]
        self.assertEqual(self.ends, [ending for _, ending in answers])

    async def test_an_exchange_aborted_while_it_is_written_never_arrives(self) -> None:
        called_off, came = asyncio.Event(), asyncio.get_running_loop().create_future()

        async def backend(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await called_off.wait()
            with contextlib.suppress(ConnectionError):
                came.set_result(len(await reader.read(-1)))

        await self.begin(backend)
        exchange = self.send(b"x" * 30_000_000)
        await self.until(lambda: exchange.connection is not None)
        assert isinstance(exchange.connection, PooledConnection)
        self.assertFalse(exchange.connection.request_written)
        exchange.abort()
        called_off.set()
        async with asyncio.timeout(9):
            self.assertLess(await came, 30_000_000)

    async def test_a_break_in_the_loop_iteration_in_which_the_last_byte_left_may_have_executed(self) -> None:
        async def backend(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await reader.read()

        await self.begin(backend)
        exchange = self.send(b"x" * 30_000_000)
        await self.until(lambda: exchange.connection is not None)
        assert isinstance(exchange.connection, PooledConnection)
        transport: Any = exchange.connection.writer.transport
        transport._buffer.clear()  # as the system takes the last of it ...
        transport._maybe_resume_protocol()
        transport.abort()  # ... and the connection breaks before any task had its turn
        await self.until(lambda: bool(self.ends))
        self.assertEqual(self.ends, ["broken 0"])
