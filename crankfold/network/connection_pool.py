"""Connections to backends: kept, used again most recent first, and never used for two exchanges at once."""

import asyncio
import errno
from collections.abc import Callable, Iterable, Sequence
from enum import Enum
from typing import SupportsIndex

from crankfold.network.metrics import Metrics
from crankfold.network.socket_state import ANY_INPUT, has_pending
from crankfold.protocol.backend_connection import Acceptance, BackendConnection, classify_response
from crankfold.protocol.headers import Header

READ_SIZE = 64 * 1024  # bytes
# Seconds that a connection rests after a response before it carries a request. A second response to the last
# request, some milliseconds late, would be read as the response to the next: a late "never ran" of something
# that did would have it run twice.
REUSE_COOLDOWN = 0.05
# Of this process or machine, for a moment: unlike a refused connection they say nothing of the backend.
LOCAL_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
CONNECT_RETRY_DELAY = 0.005  # seconds from a local failure to the next try


class ExchangeResult(Enum):
    """How an exchange ends."""

    ANSWERED = "answered"
    BROKEN = "broken"  # no response, or not all of it: the request may have run
    UNREACHABLE = "unreachable"  # no connection, or it broke before the request was written
    NOT_SENT = "not sent"  # nothing was written
    STALE_CONNECTION = "stale connection"  # a kept connection turned out to be closed: it may have run


ExchangeCallback = Callable[[ExchangeResult, BackendConnection | None], None]


class Exchange:
    """One exchange with a backend, from the wish to its end.

    Attributes:
        headers: gives the headers at the moment when the request is written.
        may_send: whether it may still be written, asked when a new connection is up.
        on_end: is told the result, and the connection's state where there was a connection.
        needs_cooldown: its response counts, so it is not sent on a connection that was answered a moment ago.
        connection: that carries it, once there is one.
        finished: its end was told, or nobody waits for it any more.
    """

    __slots__ = (
        "body",
        "connection",
        "finished",
        "headers",
        "may_send",
        "method",
        "needs_cooldown",
        "on_end",
        "target",
    )

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: Callable[[], Sequence[Header]],
        body: bytes,
        *,
        may_send: Callable[[], bool],
        on_end: ExchangeCallback,
        needs_cooldown: bool = True,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.may_send = may_send
        self.on_end = on_end
        self.needs_cooldown = needs_cooldown
        self.connection: PooledConnection | None = None
        self.finished = False

    def finish(self, result: ExchangeResult, protocol: BackendConnection | None) -> None:
        """Tells the result, unless an end was told before."""
        if not self.finished:
            self.finished = True
            self.on_end(result, protocol)

    def abort(self) -> None:
        """Closes the connection that no response has come on; what was not written yet is not sent."""
        self.finished = True
        if self.connection and self.connection.exchange is self:
            self.connection.writer.transport.abort()


class CountingStreamReader(asyncio.StreamReader):
    """Counts the bytes that came, read or not."""

    received_bytes = 0

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Takes in bytes from the transport."""
        self.received_bytes += len(data)  # type: ignore[arg-type]
        super().feed_data(data)


class DrainNotifyingProtocol(asyncio.StreamReaderProtocol):
    """Calls back in the very moment when nothing is left to be written.

    So whatever breaks after it finds the request written: taken for one that never went out whole, it would
    be sent again.
    """

    on_drained: Callable[[], None] = staticmethod(lambda: None)

    def resume_writing(self) -> None:
        """The transport's buffer is empty."""
        self.on_drained()
        super().resume_writing()


class PooledConnection:
    """One open connection to a backend."""

    def __init__(
        self,
        pool: "ConnectionPool",
        reader: CountingStreamReader,
        writer: asyncio.StreamWriter,
        stream_protocol: DrainNotifyingProtocol,
    ) -> None:
        self.pool = pool
        self.reader = reader
        self.writer = writer
        self.protocol = BackendConnection()
        self.exchange: Exchange | None = None
        self.opened_at = pool.loop.time()  # this and the next two in seconds of the loop's clock
        self.idle_since = 0.0
        self.answered_at = -REUSE_COOLDOWN
        self.consumed_bytes = 0
        self.request_written = True
        # Set after it was made: the connection needs the streams, which asyncio makes with this protocol.
        stream_protocol.on_drained = self._on_drained
        writer.transport.set_write_buffer_limits(high=0)  # so that drained means that nothing is left
        self.task = pool.loop.create_task(self._run())

    def start(self, exchange: Exchange) -> None:
        """Writes the request of an exchange."""
        self.exchange = exchange
        exchange.connection = self
        outgoing = self.protocol.send_request(
            exchange.method, exchange.target, exchange.headers(), exchange.body
        )
        self.writer.writelines(outgoing)
        self.request_written = self.writer.transport.get_write_buffer_size() == 0

    def _on_drained(self) -> None:
        """What left the program's own buffer counts as written: from there on the backend may have it.

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
        """Closes it while it is idle."""
        self.pool.remove_idle(self)
        self.writer.close()

    async def _run(self) -> None:
        try:
            while data := await self.reader.read(READ_SIZE):
                self.consumed_bytes += len(data)
                if self.exchange is None:
                    self.pool.metrics.increment("backend-unsolicited-data")
                    break
                if self.protocol.receive_data(data):
                    self._finish_exchange(self.exchange)
                    if not self.protocol.reusable:
                        break
        except OSError:
            pass
        finally:
            self.pool.connection_lost(self)
            self.writer.close()
            if self.exchange is not None:
                result = ExchangeResult.ANSWERED if self._is_answered() else self._break_result()
                self.exchange.finish(result, self.protocol)

    def _finish_exchange(self, exchange: Exchange) -> None:
        self.exchange = None
        self.answered_at = self.pool.loop.time()
        if self.protocol.reusable:
            self.pool.release(self)
        result = ExchangeResult.ANSWERED if self._is_answered() else ExchangeResult.BROKEN
        exchange.finish(result, self.protocol)

    def _is_answered(self) -> bool:
        """Whether the response may be relied on.

        What broke off in the middle tells nothing, least of all that something never ran. But after the
        header that says so the backend has the request.
        """
        if self.protocol.complete:
            return True
        verdict = classify_response(self.protocol.status, self.protocol.not_processed)
        return verdict is Acceptance.ACCEPTED

    def _break_result(self) -> ExchangeResult:
        if not self.request_written:
            return ExchangeResult.UNREACHABLE
        # Kept connections die at the backend or on the way, seen only at the next use. Held against backends,
        # these resets had all of a sound fleet ejected.
        if self.idle_since and not self.protocol.status:
            return ExchangeResult.STALE_CONNECTION
        return ExchangeResult.BROKEN


class ConnectionLimiter:
    """All connections to backends: how many there are, and which are idle, longest first."""

    def __init__(
        self, max_connections: int, connect_timeout: float, idle_timeout: float, metrics: Metrics
    ) -> None:
        """Times are in seconds."""
        self.max_connections = max_connections
        self.connect_timeout = connect_timeout
        self.idle_timeout = idle_timeout
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        self.open_count = 0
        self.idle_connections: dict[PooledConnection, None] = {}

    def make_room(self) -> bool:
        """Whether one more may be opened; closes an idle one if there is no other way."""
        if self.open_count >= self.max_connections and self.idle_connections:
            next(iter(self.idle_connections)).close()
            self.metrics.increment("backend-connections-evicted")
            return True  # it is let go a turn later; some sockets are kept free for that
        return self.open_count < self.max_connections

    def sweep(self) -> None:
        """Closes what has been idle for long, well before the backend does."""
        now = self.loop.time()
        while self.idle_connections:
            connection = next(iter(self.idle_connections))
            if now - connection.idle_since < self.idle_timeout:
                return
            connection.close()


class ConnectionPool:
    """All connections to one backend at one address."""

    def __init__(self, host: str, port: int, limiter: ConnectionLimiter) -> None:
        self.host = host
        self.port = port
        self.limiter = limiter
        self.metrics = limiter.metrics
        self.loop = limiter.loop
        self.idle_connections: list[PooledConnection] = []  # the most recent last
        self.connect_tasks: set[asyncio.Task[None]] = set()
        self.closed = False

    def send(self, exchange: Exchange) -> None:
        """Sends it at once where a connection is idle. How it ends is told later, never from in here."""
        connection = self._take_idle(exchange.needs_cooldown)
        if connection:
            self.metrics.increment("backend-connections-reused")
            connection.start(exchange)
        elif self.closed or not self.limiter.make_room():
            self.metrics.increment("backend-connections-over-limit")
            self.loop.call_soon(exchange.finish, ExchangeResult.NOT_SENT, None)
        else:
            task = self.loop.create_task(self._connect(exchange))
            self.connect_tasks.add(task)
            task.add_done_callback(self.connect_tasks.discard)

    def _take_idle(self, needs_cooldown: bool) -> PooledConnection | None:
        now = self.loop.time()
        for connection in self.idle_connections[::-1]:
            if not connection.is_reusable() or now - connection.idle_since >= self.limiter.idle_timeout:
                connection.close()
            elif not needs_cooldown or now - connection.answered_at >= REUSE_COOLDOWN:
                self.remove_idle(connection)
                return connection
        return None

    def has_connection_older_than(self, seconds: float) -> bool:
        """Whether an idle connection is open since before then: the process there is still the same."""
        now = self.loop.time()
        return any(
            connection.is_reusable() and now - connection.opened_at > seconds
            for connection in self.idle_connections
        )

    def remove_idle(self, connection: PooledConnection) -> None:
        """The connection is no longer idle."""
        if connection in self.limiter.idle_connections:
            del self.limiter.idle_connections[connection]
            self.idle_connections.remove(connection)

    async def _connect(self, exchange: Exchange) -> None:
        self.metrics.increment("backend-connections-opened")
        self.limiter.open_count += 1
        try:
            async with asyncio.timeout(self.limiter.connect_timeout):
                writer, protocol, reader = await self._open()
        except (OSError, TimeoutError):
            self.limiter.open_count -= 1
            self.metrics.increment("backend-connections-failed")
            exchange.finish(ExchangeResult.UNREACHABLE, None)
            return
        connection = PooledConnection(self, reader, writer, protocol)
        if exchange.finished or self.closed or not exchange.may_send():
            exchange.finish(ExchangeResult.NOT_SENT, None)
            self.release(connection)
        else:
            connection.start(exchange)

    async def _open(self) -> tuple[asyncio.StreamWriter, DrainNotifyingProtocol, CountingStreamReader]:
        """A new connection; a local failure is tried again until the caller's time is over.

        Raises:
            OSError: the backend can't be reached.
        """
        while True:
            reader = CountingStreamReader(limit=READ_SIZE, loop=self.loop)
            protocol = DrainNotifyingProtocol(reader, loop=self.loop)
            try:
                transport, _ = await self.loop.create_connection(lambda: protocol, self.host, self.port)  # noqa: B023 - called in here
            except OSError as error:
                if error.errno not in LOCAL_ERRORS:
                    raise
                self.metrics.increment("connects-failed-locally")
                await asyncio.sleep(CONNECT_RETRY_DELAY)
            else:
                return asyncio.StreamWriter(transport, protocol, reader, self.loop), protocol, reader

    def release(self, connection: PooledConnection) -> None:
        """The connection is idle from now on, or closes if the pool is closed."""
        if self.closed:
            connection.writer.close()
            return
        connection.idle_since = self.loop.time()
        self.idle_connections.append(connection)
        self.limiter.idle_connections[connection] = None

    def connection_lost(self, connection: PooledConnection) -> None:
        """The connection is closed."""
        self.remove_idle(connection)
        self.limiter.open_count -= 1

    def close(self) -> None:
        """The address is no longer the backend's: nothing new, what is under way runs to its end."""
        self.closed = True
        while self.idle_connections:
            self.idle_connections[-1].close()
