"""Connections to one runner: kept, used again most recent first, and never used for two exchanges at once."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from typing import SupportsIndex

from crankfold.network.metrics import Metrics
from crankfold.network.socket_state import ANY_INPUT, has_pending
from crankfold.protocol.backend_connection import ACCEPTED, BackendConnection, classify_response

READ_SIZE = 64 * 1024
# A second answer to the last request, some milliseconds late, would be read as the answer to the next: a late
# "never ran" of something that did would have it run twice. Who was just answered rests for so long first.
SETTLE_TIME = 0.05


class Exchange:
    """One exchange with a runner, from the wish to its end."""

    __slots__ = (
        "method",
        "target",
        "headers",
        "body",
        "may_send",
        "on_end",
        "connection",
        "finished",
        "needs_settled",
    )

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: Callable[[], Sequence[tuple[bytes, bytes]]],
        body: bytes,
        may_send: Callable[[], bool],
        on_end: Callable[[str, BackendConnection | None], None],
        needs_settled: bool = True,
    ) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.may_send, self.on_end = may_send, on_end
        self.needs_settled = (
            needs_settled  # its answer counts: not on a connection that was answered a moment ago
        )
        self.connection: PooledConnection | None = None
        self.finished = False


# How an exchange ends.
ANSWERED, BROKEN, UNREACHABLE, NOT_SENT, STALE_CONNECTION = (
    "answered",
    "broken",
    "unreached",
    "held back",
    "worn",
)


class CountingStreamReader(asyncio.StreamReader):
    """Counts what came, read or not."""

    received_bytes = 0

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        self.received_bytes += len(data)  # type: ignore[arg-type]
        super().feed_data(data)


class DrainNotifyingProtocol(asyncio.StreamReaderProtocol):
    """Says in the very moment when nothing is left to be written, so that whatever breaks after it finds the
    request written: taken for one that never went out whole, it would be sent again."""

    on_drained: Callable[[], None] = staticmethod(lambda: None)

    def resume_writing(self) -> None:
        self.on_drained()
        super().resume_writing()


class PooledConnection:
    """One open connection."""

    def __init__(
        self,
        pool: "ConnectionPool",
        reader: CountingStreamReader,
        writer: asyncio.StreamWriter,
        protocol: DrainNotifyingProtocol,
    ) -> None:
        self.pool, self.reader, self.writer = pool, reader, writer
        self.protocol = BackendConnection()
        self.exchange: Exchange | None = None
        self.idle_since, self.opened_at = 0.0, pool.loop.time()
        self.consumed_bytes, self.answered_at = 0, -SETTLE_TIME
        self.request_written = True
        protocol.on_drained = self._on_drained
        writer.transport.set_write_buffer_limits(high=0)  # so that emptied means that nothing is left
        self.task = pool.loop.create_task(self._run())

    def start(self, exchange: Exchange) -> None:
        self.exchange, exchange.connection = exchange, self
        asked = self.protocol.send_request(
            exchange.method, exchange.target, exchange.headers(), exchange.body
        )
        self.writer.writelines(asked)
        self.request_written = self.writer.transport.get_write_buffer_size() == 0

    def _on_drained(self) -> None:
        """What left the program's own buffer counts as written: from there on the runner may have it.

        The transport drops its buffer when a connection breaks, so what is left then tells nothing.
        """
        self.request_written = True

    def is_reusable(self) -> bool:
        """Whether it is as it was left: bytes nobody asked for, or its end, may have come unread."""
        if self.reader.at_eof() or self.writer.is_closing() or self.reader.exception() is not None:
            return False
        if self.reader.received_bytes != self.consumed_bytes:
            return False
        return not has_pending(self.writer, ANY_INPUT)

    def close(self) -> None:
        """At rest and not to be used again."""
        self.pool.remove_idle(self)
        self.writer.close()

    async def _run(self) -> None:
        try:
            while data := await self.reader.read(READ_SIZE):
                self.consumed_bytes += len(data)
                if self.exchange is None:
                    self.pool.metrics.increment("runner-spoke-unasked")
                    break
                if self.protocol.receive_data(data):
                    exchange, self.exchange = self.exchange, None
                    self.answered_at = self.pool.loop.time()
                    if self.protocol.reusable:
                        self.pool.release(self)
                    self.pool.finish(exchange, ANSWERED if self._is_answered() else BROKEN, self.protocol)
                    if not self.protocol.reusable:
                        break
        except OSError:
            pass
        finally:
            self.pool.connection_lost(self)
            self.writer.close()
            if self.exchange is not None:
                self.pool.finish(
                    self.exchange, ANSWERED if self._is_answered() else self._break_result(), self.protocol
                )

    def _is_answered(self) -> bool:
        """What broke off in the middle tells nothing that may be relied on, least of all that something never
        ran. But after the head that says so the runner has the unit."""
        return (
            self.protocol.complete
            or classify_response(self.protocol.status, self.protocol.not_processed) == ACCEPTED
        )

    def _break_result(self) -> str:
        if not self.request_written:
            return UNREACHABLE
        # Kept connections die at the runner or on the way, seen only at the next use. Held against runners,
        # these resets had all of a sound fleet doubted.
        return STALE_CONNECTION if self.idle_since and not self.protocol.status else BROKEN


class ConnectionLimiter:
    """All connections to runners: how many there are, and which are at rest, longest first."""

    def __init__(self, most: int, connect_within: float, idle_for: float, tally: Metrics) -> None:
        self.max_connections, self.connect_timeout, self.idle_timeout, self.metrics = (
            most,
            connect_within,
            idle_for,
            tally,
        )
        self.loop = asyncio.get_running_loop()
        self.open_count = 0
        self.idle_connections: dict[PooledConnection, None] = {}

    def make_room(self) -> bool:
        if self.open_count >= self.max_connections and self.idle_connections:
            next(iter(self.idle_connections)).close()
            self.metrics.increment("runner-connections-closed-for-room")
            return True  # it is let go a turn later; some sockets are kept free for that
        return self.open_count < self.max_connections

    def sweep(self) -> None:
        """Closes what has rested for long, well before the runner does."""
        now = self.loop.time()
        while self.idle_connections:
            connection = next(iter(self.idle_connections))
            if now - connection.idle_since < self.idle_timeout:
                return
            connection.close()


class ConnectionPool:
    """All connections to one runner at one address."""

    def __init__(self, host: str, port: int, sockets: ConnectionLimiter) -> None:
        self.host, self.port, self.limiter, self.metrics = host, port, sockets, sockets.metrics
        self.loop = sockets.loop
        self.idle_connections: list[PooledConnection] = []
        self.connect_tasks: set[asyncio.Task[None]] = set()
        self.closed = False

    def send(self, exchange: Exchange) -> None:
        """Goes at once where a connection is at rest. How it ends is told later, never from in here."""
        connection = self._take_idle(exchange.needs_settled)
        if connection:
            self.metrics.increment("connections-reused")
            connection.start(exchange)
        elif self.closed or not self.limiter.make_room():
            self.metrics.increment("no-room-for-a-connection")
            self.loop.call_soon(self.finish, exchange, NOT_SENT, None)
        else:
            task = self.loop.create_task(self._connect(exchange))
            self.connect_tasks.add(task)
            task.add_done_callback(self.connect_tasks.discard)

    def _take_idle(self, settled: bool) -> PooledConnection | None:
        now = self.loop.time()
        for connection in self.idle_connections[::-1]:
            if not connection.is_reusable() or now - connection.idle_since >= self.limiter.idle_timeout:
                connection.close()
            elif not settled or now - connection.answered_at >= SETTLE_TIME:
                self.remove_idle(connection)
                return connection
        return None

    def has_connection_older_than(self, seconds: float) -> bool:
        """Whether a connection at rest is open since before then: the process there is still the same."""
        now = self.loop.time()
        return any(
            connection.is_reusable() and now - connection.opened_at > seconds
            for connection in self.idle_connections
        )

    def remove_idle(self, connection: PooledConnection) -> None:
        if connection in self.limiter.idle_connections:
            del self.limiter.idle_connections[connection]
            self.idle_connections.remove(connection)

    async def _connect(self, exchange: Exchange) -> None:
        self.metrics.increment("connections-opened")
        self.limiter.open_count += 1
        try:
            async with asyncio.timeout(self.limiter.connect_timeout):
                reader = CountingStreamReader(limit=READ_SIZE, loop=self.loop)
                protocol = DrainNotifyingProtocol(reader, loop=self.loop)
                transport, _ = await self.loop.create_connection(lambda: protocol, self.host, self.port)
        except (OSError, TimeoutError):
            self.limiter.open_count -= 1
            self.metrics.increment("connections-not-up")
            self.finish(exchange, UNREACHABLE, None)
            return
        writer = asyncio.StreamWriter(transport, protocol, reader, self.loop)
        connection = PooledConnection(self, reader, writer, protocol)
        if exchange.finished or self.closed or not exchange.may_send():
            self.finish(exchange, NOT_SENT, None)
            self.release(connection)
        else:
            connection.start(exchange)

    def release(self, connection: PooledConnection) -> None:
        if self.closed:
            connection.writer.close()
            return
        connection.idle_since = self.loop.time()
        self.idle_connections.append(connection)
        self.limiter.idle_connections[connection] = None

    def connection_lost(self, connection: PooledConnection) -> None:
        self.remove_idle(connection)
        self.limiter.open_count -= 1

    def finish(self, exchange: Exchange, how: str, side: BackendConnection | None) -> None:
        if not exchange.finished:
            exchange.finished = True
            exchange.on_end(how, side)

    def abort(self, exchange: Exchange) -> None:
        """Closes the connection that an answer has not come on; what was not written yet is not sent."""
        exchange.finished = True
        if exchange.connection and exchange.connection.exchange is exchange:
            exchange.connection.writer.transport.abort()

    def close(self) -> None:
        """The address is no longer the runner's: nothing new, what is under way runs to its end."""
        self.closed = True
        while self.idle_connections:
            self.idle_connections[-1].close()
