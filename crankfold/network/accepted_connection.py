"""One accepted connection: moves bytes between its socket and its `ClientConnection`."""

import asyncio
import contextlib
from collections.abc import Sequence
from http import HTTPStatus
from typing import Protocol

from crankfold.network.input_scheduler import InputScheduler
from crankfold.network.memory_budget import UnfinishedTransfer
from crankfold.network.metrics import Metrics
from crankfold.network.socket_state import PEER_CLOSED, has_pending
from crankfold.protocol.client_connection import ClientConnection, ClientRequestHandler
from crankfold.protocol.headers import Header

READER_LIMIT = 16 * 1024  # bytes; asyncio pauses the transport once twice as much is buffered
READ_SIZE = 4 * READER_LIMIT  # bytes
MAX_WAITING_BYTES = 16 * 1024  # limit on input that waits to be processed, beyond which no more is read
# Limit on input that is pipelined behind an open request, or received after the last response.
MAX_UNREAD_BYTES = 64 * 1024
# Seconds between two reads on a connection whose input is discarded, multiplied by the number of such
# connections, so that all of them together use a bounded share of the event loop's time.
THROTTLE_DELAY = 0.002
# Seconds for which input is read and discarded after the last response. Closing a socket with unread input
# resets the connection, and the peer could lose the response.
CLOSE_DELAY = 0.5
MAX_HIDDEN_CLOSE = 0.05  # seconds for which a close may be hidden behind input that is not read
NEW_CONNECTION_GRACE = 0.1  # seconds after an accept or a response; the next request may be in transit


class OwningListener(Protocol):
    """The interface of a listener that its accepted connections use.

    Attributes:
        loop: The running event loop.
        metrics: Counts rejected requests and failures.
        report_fields: Names of the fields of load reports, in the order of their values.
        closing: Whether each response is the last on its connection.
        scheduler: Shares the time of the event loop among the connections with input.
        flooding_connections: Connections whose input is discarded.
        unidentified_connections: Connections without a request or callback so far, the oldest first.
    """

    loop: asyncio.AbstractEventLoop
    metrics: Metrics
    report_fields: Sequence[str]
    closing: bool
    scheduler: InputScheduler
    flooding_connections: "set[AcceptedConnection]"
    unidentified_connections: "dict[AcceptedConnection, None]"

    @property
    def handler(self) -> ClientRequestHandler:
        """Receives the requests and callbacks."""

    def is_over_limit(self) -> bool:
        """Whether more connections are open than allowed."""

    def account(self, connection: "AcceptedConnection") -> None:
        """Accounts for the memory that a connection holds, and releases some if the limit is exceeded."""


class AcceptedConnection:
    """One accepted connection. Times are seconds of the event loop's clock.

    Attributes:
        listener: The listener that accepted this connection.
        protocol: The HTTP state of the connection.
        accepted_at: When the connection was accepted.
        phase_started_at: When the connection became idle, or the present request or response began.
        received_at: When bytes of a request were last received.
    """

    def __init__(
        self, listener: OwningListener, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.listener = listener
        self.reader = reader
        self.writer = writer
        assert isinstance(writer.transport, asyncio.Transport)
        self._transport = writer.transport
        self.protocol = ClientConnection(listener.handler, self, listener.report_fields)
        self.accepted_at = listener.loop.time()
        self.phase_started_at = self.accepted_at
        self.received_at = self.accepted_at
        self._discarded_bytes = 0  # after the last response
        self._had_slice = False
        self._slice_ended = asyncio.Event()
        self._discarding_since = 0.0
        self._close_timer: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        """Reads until the peer closes the connection or sends too much after the last response.

        Raises:
            OSError: The connection broke.
        """
        protocol = self.protocol
        while data := await self.reader.read(READ_SIZE):
            if protocol.closing:
                self._discarded_bytes += len(data)
            elif not protocol.discarding_input:
                self._receive(data)
            del data  # up to READ_SIZE bytes, which would stay in memory until the next read
            if protocol.closing and self._discarded_bytes > MAX_UNREAD_BYTES:
                await self._wait_without_reading()
                return
            await self._wait_for_slice()
            if protocol.discarding_input and not protocol.closing:
                await asyncio.sleep(THROTTLE_DELAY * len(self.listener.flooding_connections))
        if protocol.can_proceed:
            self.process_portion()  # the message before the end of the input

    async def _wait_without_reading(self) -> None:
        """Waits CLOSE_DELAY and leaves further input in the kernel.

        Reading it would take memory, and the event loop's time from other connections.
        """
        if not self._transport.is_closing():
            self._transport.pause_reading()
        await asyncio.sleep(CLOSE_DELAY)

    async def _wait_for_slice(self) -> None:
        """Waits until received input has been processed, unless more of it may be buffered.

        Returns at once if a request is open. Reading continues behind it, as a disconnect of the client is
        seen only after this input, but input beyond MAX_UNREAD_BYTES is discarded along with the requests in
        it: clients send one request at a time.
        """
        if self._has_enough_input():
            self._transport.pause_reading()
            while self._has_enough_input():
                self._slice_ended.clear()
                await self._slice_ended.wait()
            self._transport.resume_reading()
        if self.protocol.awaiting_response and len(self.protocol.input) > MAX_UNREAD_BYTES:
            self._start_discarding()  # does nothing if it has

    def _has_enough_input(self) -> bool:
        return self.protocol.can_proceed and len(self.protocol.input) > MAX_WAITING_BYTES

    def _start_discarding(self) -> None:
        if self in self.listener.flooding_connections:
            return
        self.protocol.discarding_input = True
        self._discarding_since = self.listener.loop.time()
        self.listener.flooding_connections.add(self)

    def _receive(self, data: bytes) -> None:
        protocol = self.protocol
        self.received_at = self.listener.loop.time()
        if not protocol.awaiting_response and not protocol.is_mid_request():
            self.phase_started_at = self.received_at
        protocol.receive_data(data)
        if not protocol.can_proceed or not self.listener.scheduler.process(self):
            self.listener.account(self)

    def process_portion(self) -> bool:
        """Processes a portion of the input of bounded cost; returns whether more can be processed now."""
        protocol = self.protocol
        self._had_slice = True
        self._slice_ended.set()
        if self.writer.is_closing():
            protocol.closing = True
        if self.has_unsent_data():
            return False  # the peer does not receive its responses; the next sweep tries again
        try:
            protocol.process_portion()
        except Exception as error:
            # A request that was read gets a response even after an internal error.
            self.listener.metrics.record_exception(error)
            if protocol.awaiting_response:
                self.respond(HTTPStatus.INTERNAL_SERVER_ERROR)
            if __debug__:
                raise
        self._flush()
        self.listener.account(self)
        if protocol.identified:
            self.listener.unidentified_connections.pop(self, None)
        return protocol.can_proceed

    def is_awaiting_response(self) -> bool:
        """Whether a request is open, that is, has no response yet."""
        return self.protocol.awaiting_response

    @property
    def unread_bytes(self) -> int:
        """Number of bytes received and not processed, or discarded after the last response."""
        return len(self.protocol.input) + self._discarded_bytes

    def peer_has_closed(self) -> bool:
        """Whether the peer has closed the connection, or may have done so behind input that is not read.

        The system reports a close after all input before it, which may wait at the peer's side. A client that
        has sent more than is read for it may have left long before.
        """
        if self.writer.is_closing() or has_pending(self.writer, PEER_CLOSED):
            return True
        if not self.protocol.discarding_input:
            return False
        return self.listener.loop.time() - self._discarding_since > MAX_HIDDEN_CLOSE

    def respond(self, status: int, headers: Sequence[Header] = (), body: bytes = b"") -> None:
        """Answers the open request; a pipelined one is processed in a later time slice."""
        self.protocol.close_after_response = self.protocol.close_after_response or self.listener.closing
        self.protocol.respond(status, headers, body)
        self._flush()
        if self.has_unsent_data():
            self.listener.account(self)
        self.resume()

    def resume(self) -> None:
        """Queues the connection for a time slice if it can process input."""
        if self.protocol.can_proceed:
            self.listener.scheduler.add(self)

    def awaits_first_slice(self) -> bool:
        """Whether the first input was received and no part of it is processed."""
        return not self._had_slice and self.protocol.can_proceed

    def exceeds_limit(self) -> bool:
        """Whether more connections are open than allowed, so that requests on this one are shed."""
        return self.listener.is_over_limit()

    def reject(self, status: int) -> None:
        """Answers the open request and closes the connection."""
        self.protocol.close_after_response = True
        self.respond(status)

    def _flush(self) -> None:
        protocol = self.protocol
        if protocol.rejected_status:
            self.listener.metrics.increment(f"clients-rejected-{protocol.rejected_status}")
            protocol.rejected_status = 0
        if protocol.outgoing:
            self.writer.writelines(protocol.outgoing)
            protocol.outgoing.clear()
            self.phase_started_at = self.listener.loop.time()
        if protocol.closing:
            self._half_close()

    def _half_close(self) -> None:
        """Closes the writing side, and the connection after CLOSE_DELAY (RFC 9112, section 9.6)."""
        if not self.writer.is_closing() and self.writer.can_write_eof():
            # The peer may have reset the connection, which the reader reports.
            with contextlib.suppress(OSError):
                self.writer.write_eof()
            self._close_timer = self.listener.loop.call_later(CLOSE_DELAY, self.writer.close)

    def last_progress_at(self) -> float:
        """Returns when bytes of the request were last received.

        Pipelined bytes count as received when the previous response was written.
        """
        return max(self.received_at, self.phase_started_at)

    def unsent_bytes(self) -> int:
        """Returns the number of written bytes that are still buffered as the peer does not receive them."""
        return self.writer.transport.get_write_buffer_size()

    def has_unsent_data(self) -> bool:
        """Whether written bytes are still buffered."""
        return self.unsent_bytes() > 0

    def is_idle(self) -> bool:
        """Whether no request is being received, open or being answered."""
        return (
            not self.protocol.awaiting_response
            and not self.protocol.is_mid_request()
            and not self.has_unsent_data()
        )

    def expects_data(self) -> bool:
        """Whether a request may be in transit: its remaining bytes, or the first one of a new connection."""
        if self.protocol.closing or self.protocol.awaiting_response:
            return False
        age = self.listener.loop.time() - self.phase_started_at
        return self.protocol.is_mid_request() or age <= NEW_CONNECTION_GRACE

    def close(self) -> None:
        """Closes the connection between requests.

        A request in transit is not read, and its client retries on another connection.
        """
        self.protocol.closing = True
        self._slice_ended.set()
        self._half_close()

    def abort(self) -> None:
        """Closes the connection at once; unwritten bytes are lost."""
        self.protocol.closing = True
        self._slice_ended.set()
        self.writer.transport.abort()

    def connection_lost(self) -> None:
        """Releases the memory of the connection, which has ended."""
        if self._close_timer:
            self._close_timer.cancel()  # it refers to the streams and so to their buffers
        self.listener.scheduler.discard(self)
        self.protocol.connection_lost()

    def buffered_bytes(self) -> int:
        """Returns the bytes in buffers for the peer."""
        return self.protocol.buffered_bytes() + self.unsent_bytes()

    def unfinished_transfer(self, now: float) -> UnfinishedTransfer:
        """Returns the size and the age of what could be released."""
        return UnfinishedTransfer(self.buffered_bytes(), now - self.phase_started_at)

    def release_memory(self) -> None:
        """Drops what is buffered without an open request.

        Input behind an open request is dropped; a client that does not receive its responses is disconnected;
        an incomplete request is rejected.
        """
        self.listener.metrics.increment("connections-closed-for-memory")
        self._slice_ended.set()
        if self.has_unsent_data():
            self.abort()
        elif self.protocol.awaiting_response:
            self.protocol.drop_pipelined_input()
            self._start_discarding()
        else:
            self.protocol.reject_incomplete_request(HTTPStatus.SERVICE_UNAVAILABLE)
            self._flush()

    def eviction_order(self) -> tuple[bool, bool, float]:
        """Returns the sort key for evictions: closing connections, then clients', then backends', by age."""
        return not self.protocol.closing, self.protocol.is_backend, self.phase_started_at
