"""Persistent HTTP/1.1 connections to backends, one exchange at a time on each, without pipelining.

`ExchangeResult` states which ends of an exchange prove that the backend never executed the request.
"""

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
# Seconds between a response and the next request on the same connection. A duplicate response arrives within
# milliseconds and would be read as the response to that next request: a duplicate `X-Not-Processed` would
# permit a retry of a request that the backend executes.
REUSE_COOLDOWN = 0.05
# Errors of connect that concern this machine (descriptors, memory, ports) and not the backend.
LOCAL_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
CONNECT_RETRY_DELAY = 0.005  # seconds between a local error and the next connect
NEVER_ANSWERED = -REUSE_COOLDOWN  # seconds of the loop's clock: a new connection needs no cooldown


class ExchangeResult(Enum):
    """How an exchange ended, and so whether the backend may have executed its request.

    It is certain that a request was not executed only if the backend cannot have the complete message: nothing
    was written, or its last byte never left this process (an incomplete message, RFC 9112 section 8). Once the
    last byte is written, a close, a reset or a timeout proves nothing: the backend may have executed the
    request and lost the response. RFC 9110 section 9.2.2 then permits an automatic retry only of an
    idempotent request, and RFC 9112 section 9.3.1 makes no exception for persistent connections. In this
    program the idempotency is that of the request class, not that of the HTTP method.

    ================  ==========================================  =================  =====================
    result            seen on the connection                      may be executed    charged to backend
    ================  ==========================================  =================  =====================
    ANSWERED          a complete response, or the header of 202   see                see
                                                                  classify_response  classify_response
    BROKEN            request written; then no response, an       yes: RFC 9110,     a failure
                      incomplete one (RFC 9112, section 8) or     section 9.2.2      (`Outcome.RESET`)
                      one that is not valid HTTP
    STALE_CONNECTION  request written on a reused connection,     yes: RFC 9112,     nothing: an idle
                      which closes before any response            section 9.3.1      connection may close
                                                                                     at any time (RFC
                                                                                     9112, section 9.5)
    UNREACHABLE       connect refused or timed out, or closed     no: no complete    a failure, and
                      before the request's last byte was written  request was sent   ejection
    NOT_SENT          nothing: at the connection limit, or the    no                 nothing
                      request ended or the backend left service
                      before anything was written
    ================  ==========================================  =================  =====================

    Of complete responses, only 503 or 504 with `X-Not-Processed: 1` proves that the request never ran. An
    incomplete response is no such proof, even with that header in it. The header of a 202 is enough to know
    that the backend has accepted the request. The writing side is never half-closed, so an end from the
    backend is always a close of the whole connection (RFC 9112 section 9.6).

    The service maps these results to `Outcome` of the routing (`Attempts._on_exchange_ended`), and
    `NEVER_EXECUTED` there lists the outcomes with a "no" in the third column.
    """

    ANSWERED = "answered"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"
    NOT_SENT = "not sent"
    STALE_CONNECTION = "stale connection"


ExchangeCallback = Callable[[ExchangeResult, BackendConnection | None], None]


class Exchange:
    """One request to a backend and its response.

    Attributes:
        headers: Returns the headers; called when the request is written.
        may_send: Whether the request may still be written; called once a new connection is established.
        on_end: Called once with the result, and with the state of the connection if there was one.
        needs_cooldown: Whether a connection has to rest for REUSE_COOLDOWN before it carries this request;
            False where the response has no consequence.
        connection: Carries the exchange, once there is one.
        finished: Whether `on_end` was called, or the exchange was aborted.
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
        """Calls `on_end`, unless the exchange has finished."""
        if not self.finished:
            self.finished = True
            self.on_end(result, protocol)

    def abort(self) -> None:
        """Drops the exchange without a call of `on_end`, and resets the connection that carries it."""
        self.finished = True
        if self.connection and self.connection.exchange is self:
            self.connection.writer.transport.abort()


class CountingStreamReader(asyncio.StreamReader):
    """Counts the bytes received, whether or not they were read."""

    received_bytes = 0

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Receives bytes from the transport."""
        self.received_bytes += len(data)  # type: ignore[arg-type]
        super().feed_data(data)


class DrainNotifyingProtocol(asyncio.StreamReaderProtocol):
    """Calls `on_drained` in the loop iteration in which the transport's buffer becomes empty.

    A connection that breaks later in that iteration already counts as one with a complete request. Notified
    by a task, it would count as UNREACHABLE, and the request would be retried although it may have executed.
    """

    on_drained: Callable[[], None] = staticmethod(lambda: None)

    def resume_writing(self) -> None:
        """Called by the transport when its buffer is empty."""
        self.on_drained()
        super().resume_writing()


class PooledConnection:
    """One open connection to a backend.

    Attributes:
        exchange: The one in progress; None while the connection is idle.
        opened_at: Seconds of the loop's clock, as the next two.
        idle_since: When the connection last became idle; 0 before its first exchange has ended.
        answered_at: When the last response ended.
        consumed_bytes: Received and read; fewer than the reader received if bytes came unsolicited.
        request_written: Whether all bytes of the request have left this process.
    """

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
        self.opened_at = pool.loop.time()
        self.idle_since = 0.0
        self.answered_at = NEVER_ANSWERED
        self.consumed_bytes = 0
        self.request_written = True
        # Not an argument of its constructor: asyncio creates the streams, which this object needs, with it.
        stream_protocol.on_drained = self._on_drained
        writer.transport.set_write_buffer_limits(high=0)  # resume_writing is called at an empty buffer only
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
        """Notes that the backend may have the complete request: the kernel has its last byte.

        Recorded here because the transport clears its buffer when the connection breaks: after that, an
        empty buffer is no proof that the request was written.
        """
        self.request_written = True

    def is_reusable(self) -> bool:
        """Whether the connection is open and nothing was received on it since the last response."""
        if self.reader.at_eof() or self.writer.is_closing() or self.reader.exception() is not None:
            return False
        if self.reader.received_bytes != self.consumed_bytes:
            return False
        return not has_pending(self.writer, ANY_INPUT)

    def close(self) -> None:
        """Closes the idle connection."""
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
        """Whether the response is complete, or its header alone proves that the backend has the request.

        Only 202 is that proof. Any other incomplete response is discarded with its header: an
        `X-Not-Processed` in it must not permit a retry.
        """
        if self.protocol.complete:
            return True
        verdict = classify_response(self.protocol.status, self.protocol.not_processed)
        return verdict is Acceptance.ACCEPTED

    def _break_result(self) -> ExchangeResult:
        """The result for a connection that closed before a usable response; see `ExchangeResult`."""
        if not self.request_written:
            return ExchangeResult.UNREACHABLE
        is_reused = self.idle_since > 0
        if is_reused and not self.protocol.status:
            return ExchangeResult.STALE_CONNECTION
        return ExchangeResult.BROKEN


class ConnectionLimiter:
    """Limits the open connections to all backends together.

    Attributes:
        max_connections: Open at once.
        connect_timeout: Seconds.
        idle_timeout: Seconds after which an idle connection is closed.
        open_count: Connections that are open or being established.
        idle_connections: In the order in which they became idle.
    """

    def __init__(
        self, max_connections: int, connect_timeout: float, idle_timeout: float, metrics: Metrics
    ) -> None:
        """Starts without connections; see the attributes for units."""
        self.max_connections = max_connections
        self.connect_timeout = connect_timeout
        self.idle_timeout = idle_timeout
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        self.open_count = 0
        self.idle_connections: dict[PooledConnection, None] = {}

    def evict_if_full(self) -> bool:
        """Closes the connection that is idle longest if the limit is reached.

        Returns:
            Whether one more connection may be opened.
        """
        if self.open_count >= self.max_connections and self.idle_connections:
            next(iter(self.idle_connections)).close()
            self.metrics.increment("backend-connections-evicted")
            return True  # its socket closes an iteration of the loop later; UNCOUNTED_SOCKETS allow for it
        return self.open_count < self.max_connections

    def sweep(self) -> None:
        """Closes the connections that were idle for `idle_timeout`."""
        now = self.loop.time()
        while self.idle_connections:
            connection = next(iter(self.idle_connections))
            if now - connection.idle_since < self.idle_timeout:
                return
            connection.close()


class ConnectionPool:
    """The connections to one backend at one address; the one that became idle last is reused first."""

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
        """Starts an exchange: on an idle connection at once, else on a new one.

        `exchange.on_end` is called in a later iteration of the loop, never during this call.
        """
        connection = self._take_idle(exchange.needs_cooldown)
        if connection:
            self.metrics.increment("backend-connections-reused")
            connection.start(exchange)
        elif self.closed or not self.limiter.evict_if_full():
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
        """Whether an idle connection is open for more than that: the backend has not restarted since."""
        now = self.loop.time()
        return any(
            connection.is_reusable() and now - connection.opened_at > seconds
            for connection in self.idle_connections
        )

    def remove_idle(self, connection: PooledConnection) -> None:
        """Removes a connection from the idle ones, if it is one."""
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
        """Opens a connection; repeats a connect that failed locally until the caller cancels it.

        Raises:
            OSError: The backend is not reachable.
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
        """Makes a connection idle, or closes it if the pool is closed."""
        if self.closed:
            connection.writer.close()
            return
        connection.idle_since = self.loop.time()
        self.idle_connections.append(connection)
        self.limiter.idle_connections[connection] = None

    def connection_lost(self, connection: PooledConnection) -> None:
        """Forgets a connection that was closed."""
        self.remove_idle(connection)
        self.limiter.open_count -= 1

    def close(self) -> None:
        """Closes the idle connections and opens no more; exchanges in progress run to their end.

        Called when the backend has another address.
        """
        self.closed = True
        while self.idle_connections:
            self.idle_connections[-1].close()
