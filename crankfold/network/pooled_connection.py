"""One persistent HTTP/1.1 connection to a backend: one exchange at a time, without pipelining."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from crankfold.errors import drop_traceback
from crankfold.network.exchange import Exchange, ExchangeResult
from crankfold.network.metrics import Metrics
from crankfold.network.streams import CountingStreamReader, is_open_without_input
from crankfold.protocol.backend_connection import Acceptance, BackendConnection, classify_response

READ_SIZE = 64 * 1024  # bytes
# Seconds between a response and the next request on the same connection. A duplicate response arrives within
# milliseconds and would be read as the response to that next request: a duplicate `X-Not-Processed` would
# permit a retry of a request that the backend executes.
REUSE_COOLDOWN = 0.05
NEVER_ANSWERED = -REUSE_COOLDOWN  # seconds of the event loop's clock; a new connection needs no cooldown


class OwningPool(Protocol):
    """The interface of a pool that its connections use."""

    loop: asyncio.AbstractEventLoop
    metrics: Metrics

    def release(self, connection: "PooledConnection") -> None:
        """Makes a connection idle whose exchange has ended and that can carry another one."""

    def remove_idle(self, connection: "PooledConnection") -> None:
        """Removes a connection from the idle connections; does nothing if it is not idle."""

    def connection_lost(self, connection: "PooledConnection") -> None:
        """Stops counting a connection that was closed."""


class DrainNotifyingProtocol(asyncio.StreamReaderProtocol):
    """Calls `on_drained` in the loop iteration in which the transport's buffer becomes empty.

    A connection that breaks after that, even in the same iteration, has a complete request. Reported as
    UNREACHABLE, the request would be retried although it may have been executed.
    """

    on_drained: Callable[[], None] = staticmethod(lambda: None)

    def resume_writing(self) -> None:
        """Called by the transport when its buffer is empty."""
        self.on_drained()
        super().resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the transport when it has closed; drops the reference to the connection."""
        super().connection_lost(exc)
        self.on_drained = DrainNotifyingProtocol.on_drained


class PooledConnection:
    """One open connection to a backend.

    Attributes:
        exchange: The exchange in progress; None while the connection is idle.
        opened_at: When the connection was opened; this and the next two in seconds of the event loop's clock.
        idle_since: When the connection last became idle; 0 before its first exchange has ended.
        answered_at: When the last response ended.
        request_written: Whether all bytes of the request have left this process.
        is_last_exchange: Whether the connection closes after the exchange in progress. One that was started
            within the cooldown may have been answered by a duplicate, and its own response may follow.
    """

    def __init__(
        self,
        pool: OwningPool,
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
        self.request_written = True
        self.is_last_exchange = False
        # Set here, not in its constructor: it exists before the streams, and this object needs the streams.
        stream_protocol.on_drained = self._on_drained
        writer.transport.set_write_buffer_limits(high=0)  # calls resume_writing only at an empty buffer
        self.task = pool.loop.create_task(self._run())

    def start(self, exchange: Exchange) -> None:
        """Writes the request of an exchange."""
        self.exchange = exchange
        self.is_last_exchange = not self.is_past_cooldown()
        exchange.connection = self
        outgoing = self.protocol.send_request(
            exchange.method, exchange.target, exchange.headers(), exchange.body
        )
        exchange.body = b""  # it may be large, and the exchange may wait for long
        self.writer.writelines(outgoing)
        self.request_written = self.writer.transport.get_write_buffer_size() == 0

    def _on_drained(self) -> None:
        """Records that the backend may have the complete request, as the kernel has its last byte.

        This is recorded at once because the transport clears its buffer when the connection breaks: after
        that, an empty buffer is no proof that the request was written.
        """
        self.request_written = True

    def is_past_cooldown(self) -> bool:
        """Whether REUSE_COOLDOWN has passed since the last response."""
        return self.pool.loop.time() - self.answered_at >= REUSE_COOLDOWN

    def is_reusable(self) -> bool:
        """Whether the connection is open and nothing was received on it since the last response."""
        return is_open_without_input(self.reader, self.writer)

    def abort(self) -> None:
        """Closes the connection at once; unwritten bytes are dropped."""
        self.writer.transport.abort()

    def close(self) -> None:
        """Closes the idle connection."""
        self.pool.remove_idle(self)
        self.writer.close()

    async def _run(self) -> None:
        try:
            while data := await self.reader.read(READ_SIZE):
                if self.exchange is None:
                    self.pool.metrics.increment("backend-unsolicited-data")
                    break
                if await self._process(data) and not self._finish_exchange(self.exchange):
                    break
        except OSError as error:
            drop_traceback(error)
        finally:
            self.pool.connection_lost(self)
            self.writer.close()
            self._break_exchange()

    async def _process(self, data: bytes) -> bool:
        """Processes received bytes, between other events; returns whether the response has ended."""
        has_ended = self.protocol.receive_data(data)
        while not has_ended and self.protocol.can_proceed:
            await asyncio.sleep(0)
            has_ended = self.protocol.receive_data(b"")
        return has_ended

    def _break_exchange(self) -> None:
        """Finishes the exchange in progress, if any, as the connection has ended."""
        exchange = self.exchange
        self.exchange = None
        if exchange is not None:
            result = ExchangeResult.ANSWERED if self._is_answered() else self._break_result()
            exchange.finish(result, self.protocol)

    def _finish_exchange(self, exchange: Exchange) -> bool:
        """Finishes an exchange whose response has ended; returns whether the connection stays open."""
        self.exchange = None
        self.answered_at = self.pool.loop.time()
        if self.protocol.unsolicited_data:
            self.pool.metrics.increment("backend-unsolicited-data")
        stays_open = self.protocol.reusable and not self.is_last_exchange
        if stays_open:
            self.pool.release(self)
        result = ExchangeResult.ANSWERED if self._is_answered() else ExchangeResult.BROKEN
        exchange.finish(result, self.protocol)  # may start the next exchange on this connection
        return stays_open

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
        """Returns the result for a connection that closed before a usable response; see `ExchangeResult`."""
        if not self.request_written:
            return ExchangeResult.UNREACHABLE
        is_reused = self.idle_since > 0
        if is_reused and not self.protocol.status:
            return ExchangeResult.STALE_CONNECTION
        return ExchangeResult.BROKEN
