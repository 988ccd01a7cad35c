"""The connection pool: results of exchanges and reuse of connections, on loopback."""

import asyncio

from crankfold.network.connection_pool import ConnectionLimiter, ConnectionPool
from crankfold.network.exchange import Exchange, ExchangeResult
from crankfold.network.metrics import Metrics
from crankfold.network.pooled_connection import REUSE_COOLDOWN
from crankfold.protocol.backend_connection import BackendConnection
from tests.fixtures import read_message
from tests.loopback import ACCEPTED, LoopbackTestCase


class ConnectionPoolTest(LoopbackTestCase):
    def create_pool(self, port: int, allow_connections: bool = True) -> ConnectionPool:
        self.metrics = Metrics()
        return ConnectionPool(
            "127.0.0.1", port, ConnectionLimiter(9 if allow_connections else 0, 0.25, 5.0, self.metrics)
        )

    async def run_exchange(
        self, pool: ConnectionPool, label: str, body: bytes = b"x", may_send: bool = True
    ) -> None:
        results: list[str] = []

        def on_end(result: ExchangeResult, protocol: BackendConnection | None) -> None:
            results.append(f"{label}: {result.value} {protocol.status if protocol else ''}".strip())

        exchange = Exchange(
            b"POST", b"/api", lambda: [(b"Host", b"b")], body, may_send=lambda: may_send, on_end=on_end
        )
        pool.send(exchange)
        self.assertEqual(results, [])  # on_end is never called during send
        await self.until(lambda: bool(results))
        await asyncio.sleep(1.2 * REUSE_COOLDOWN)  # after that the connection may be reused
        self.lines += results

    async def test_exchange_results(self) -> None:
        async def answer_three_requests(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            for _ in range(3):
                await read_message(reader)
                writer.write(ACCEPTED)

        async def close_without_response(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await read_message(reader)

        async def send_invalid_http(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(b"what?\r\n\r\n")

        async def respond_twice(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(ACCEPTED + ACCEPTED)

        async def close_on_second_request(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(ACCEPTED)
            await read_message(reader)

        accepting_pool = self.create_pool(await self.start_fake_server(answer_three_requests))
        for request_number in range(4):
            await self.run_exchange(accepting_pool, f"taken {request_number}")
        opened = self.metrics.counters["backend-connections-opened"]
        self.record(f"  opened {opened} for 4, as the runner closes after three")
        await self.run_exchange(
            self.create_pool(await self.start_fake_server(close_without_response)), "closed before the answer"
        )
        reused_pool = self.create_pool(await self.start_fake_server(close_on_second_request))
        await self.run_exchange(reused_pool, "taken")
        await self.run_exchange(reused_pool, "closed before the answer, on a kept connection")
        await self.run_exchange(self.create_pool(await self.start_fake_server(send_invalid_http)), "garbage")
        double_response_pool = self.create_pool(await self.start_fake_server(respond_twice))
        await self.run_exchange(double_response_pool, "answered twice")
        self.record(f"  kept {len(double_response_pool.idle_connections)}")
        port = await self.start_fake_server(answer_three_requests)
        await self.run_exchange(self.create_pool(port, allow_connections=False), "no socket left")
        drained_pool = self.create_pool(port)
        await self.run_exchange(drained_pool, "drained while connecting", may_send=False)
        self.record(f"  kept {len(drained_pool.idle_connections)}")
        drained_pool.limiter.sweep()
        self.record(f"  kept after a sweep {len(drained_pool.idle_connections)}")
        drained_pool.limiter.idle_timeout = 0.0
        drained_pool.limiter.sweep()
        self.record(f"  kept after its time at rest {len(drained_pool.idle_connections)}")
        drained_pool.close()
        await self.run_exchange(drained_pool, "moved away")
        server = await asyncio.start_server(close_without_response, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await self.run_exchange(self.create_pool(port), "refused")
        self.assert_matches_trace("exchanges")

    async def test_connection_broken_before_last_byte_is_written_is_unreachable(self) -> None:
        async def read_ten_bytes_and_abort(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readexactly(10)
            writer.transport.abort()

        await self.run_exchange(
            self.create_pool(await self.start_fake_server(read_ten_bytes_and_abort)),
            "broken",
            body=b"x" * 20_000_000,
        )
        self.assertEqual(self.lines, ["broken: unreachable 0"])

    async def test_aborted_exchange_closes_its_connection(self) -> None:
        closed = asyncio.Event()

        async def never_respond(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            await reader.read()
            closed.set()

        pool = self.create_pool(await self.start_fake_server(never_respond))
        exchange = Exchange(
            b"POST", b"/api", lambda: [(b"Host", b"b")], b"", may_send=lambda: True, on_end=lambda *_: None
        )
        pool.send(exchange)
        await self.until(lambda: exchange.connection is not None)
        exchange.abort()
        async with asyncio.timeout(5):
            await closed.wait()
        await self.until(lambda: pool.limiter.open_count == 0)
