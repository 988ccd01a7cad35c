"""Connections to backends and the exchanges on them, on loopback."""

import asyncio

from crankfold.network.connection_pool import ConnectionLimiter, ConnectionPool
from crankfold.network.exchange import Exchange, ExchangeResult
from crankfold.network.metrics import Metrics
from crankfold.network.pooled_connection import REUSE_COOLDOWN
from crankfold.protocol.backend_connection import BackendConnection
from tests.fixtures import read_message
from tests.loopback import OK, Loopback


class ConnectionPoolTest(Loopback):
    def pool(self, port: int, has_room: bool = True) -> ConnectionPool:
        self.metrics = Metrics()
        return ConnectionPool(
            "127.0.0.1", port, ConnectionLimiter(9 if has_room else 0, 0.25, 5.0, self.metrics)
        )

    async def run_exchange(
        self, pool: ConnectionPool, label: str, body: bytes = b"x", may_send: bool = True
    ) -> None:
        ends: list[str] = []

        def on_end(result: ExchangeResult, protocol: BackendConnection | None) -> None:
            ends.append(f"{label}: {result.value} {protocol.status if protocol else ''}".strip())

        exchange = Exchange(
            b"POST", b"/api", lambda: [(b"Host", b"b")], body, may_send=lambda: may_send, on_end=on_end
        )
        pool.send(exchange)
        self.assertEqual(ends, [])  # never from within the call
        await self.until(lambda: bool(ends))
        await asyncio.sleep(1.2 * REUSE_COOLDOWN)  # from then on the connection may be used again
        self.lines += ends

    async def test_how_an_exchange_ends(self) -> None:
        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            for _ in range(3):
                await read_message(reader)
                writer.write(OK)

        async def hang_up(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await read_message(reader)

        async def babble(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(b"what?\r\n\r\n")

        async def speak_first(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(OK + OK)

        async def close_at_the_second(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(OK)
            await read_message(reader)

        good = self.pool(await self.stand_in(accept))
        for number in range(4):
            await self.run_exchange(good, f"taken {number}")
        opened = self.metrics.counters["backend-connections-opened"]
        self.record(f"  opened {opened} for 4, as the runner closes after three")
        await self.run_exchange(self.pool(await self.stand_in(hang_up)), "closed before the answer")
        reused = self.pool(await self.stand_in(close_at_the_second))
        await self.run_exchange(reused, "taken")
        await self.run_exchange(reused, "closed before the answer, on a kept connection")
        await self.run_exchange(self.pool(await self.stand_in(babble)), "garbage")
        twice = self.pool(await self.stand_in(speak_first))
        await self.run_exchange(twice, "answered twice")
        self.record(f"  kept {len(twice.idle_connections)}")
        port = await self.stand_in(accept)
        await self.run_exchange(self.pool(port, has_room=False), "no socket left")
        drained = self.pool(port)
        await self.run_exchange(drained, "drained while connecting", may_send=False)
        self.record(f"  kept {len(drained.idle_connections)}")
        drained.limiter.sweep()
        self.record(f"  kept after a sweep {len(drained.idle_connections)}")
        drained.limiter.idle_timeout = 0.0
        drained.limiter.sweep()
        self.record(f"  kept after its time at rest {len(drained.idle_connections)}")
        drained.close()
        await self.run_exchange(drained, "moved away")
        server = await asyncio.start_server(hang_up, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await self.run_exchange(self.pool(port), "refused")
        self.assert_matches_trace("exchanges")

    async def test_a_break_before_the_last_byte_is_written_never_executed(self) -> None:
        async def read_little(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readexactly(10)
            writer.transport.abort()

        await self.run_exchange(self.pool(await self.stand_in(read_little)), "broken", body=b"x" * 20_000_000)
        self.assertEqual(self.lines, ["broken: unreachable 0"])

    async def test_an_exchange_aborted_before_its_response_closes_the_connection(self) -> None:
        closed = asyncio.Event()

        async def silent(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            await reader.read()
            closed.set()

        pool = self.pool(await self.stand_in(silent))
        exchange = Exchange(
            b"POST", b"/api", lambda: [(b"Host", b"b")], b"", may_send=lambda: True, on_end=lambda *_: None
        )
        pool.send(exchange)
        await self.until(lambda: exchange.connection is not None)
        exchange.abort()
        async with asyncio.timeout(5):
            await closed.wait()
        await self.until(lambda: pool.limiter.open_count == 0)
