"""One connection that a client or a backend opened: carries bytes between its socket and its HTTP state."""

import asyncio
from collections.abc import Sequence
from http import HTTPStatus
from typing import TYPE_CHECKING

from crankfold.network.socket_state import PEER_CLOSED, has_pending
from crankfold.protocol.client_connection import ClientConnection
from crankfold.protocol.headers import Header

if TYPE_CHECKING:
    from crankfold.network.listener import Listener

READ_SIZE = 16 * 1024  # bytes that asyncio's reader is limited to; it holds twice as much before it pauses
MAX_UNREAD_BYTES = 64 * 1024  # pipelined behind a request in hand, or read only to be discarded
THROTTLE_DELAY = 0.002  # seconds between reads that are discarded, for each connection that sends such
CLOSE_DELAY = 0.5  # seconds that what comes after the last response is read: a reset would overtake it
NEW_CONNECTION_GRACE = 0.1  # seconds in which a connection may have its first request under way


class AcceptedConnection:
    """One connection that was accepted.

    Attributes:
        protocol: its HTTP state.
        accepted_at: in seconds of the loop's clock.
        phase_started_at: when it became idle, or the present request or response began; the same clock.
        received_at: when bytes of a request came last; the same clock.
        unread_bytes: that came behind a request in hand, or after the last response.
    """

    def __init__(
        self, listener: "Listener", reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.listener = listener
        self.reader = reader
        self.writer = writer
        self.protocol = ClientConnection(listener.handler, self, listener.report_fields)
        self.accepted_at = listener.loop.time()
        self.phase_started_at = self.accepted_at
        self.received_at = self.accepted_at
        self.unread_bytes = 0

    async def run(self) -> None:
        """Reads until the other side ends the connection, or sends too much after the last response.

        Raises:
            OSError: the connection broke.
        """
        protocol = self.protocol
        while data := await self.reader.read(4 * READ_SIZE):
            if protocol.closing or (protocol.awaiting_response and not protocol.discarding_input):
                self.unread_bytes += len(data)
            if protocol.closing:
                if self.unread_bytes > MAX_UNREAD_BYTES:
                    # Sixty megabytes at full speed would cost the others time; left unread they wait outside.
                    await asyncio.sleep(CLOSE_DELAY)
                    return
            elif protocol.discarding_input:
                await asyncio.sleep(THROTTLE_DELAY * len(self.listener.flooding_connections))
            else:
                self._process(data)

    def _process(self, data: bytes) -> None:
        protocol = self.protocol
        self.received_at = self.listener.loop.time()
        if not protocol.awaiting_response and not protocol.is_mid_request():
            self.phase_started_at = self.received_at
        try:
            protocol.receive_data(data)
        except Exception as error:
            # A failure of ours must not lose a request that was accepted.
            self.listener.metrics.record_exception(error)
            if protocol.awaiting_response:
                self.respond(HTTPStatus.INTERNAL_SERVER_ERROR)
            if __debug__:
                raise
        self._flush()
        if protocol.identified:
            self.listener.unidentified_connections.pop(self, None)
        if self.unread_bytes > MAX_UNREAD_BYTES and protocol.awaiting_response:
            # Its end stands behind what it sends: left unread, the client's leaving would not be seen and its
            # request be sent on for nobody. Clients send one request at a time; here the rest is lost.
            protocol.discarding_input = True
            self.listener.flooding_connections.add(self)

    def is_awaiting_response(self) -> bool:
        """Whether a request is in hand that has no answer yet."""
        return self.protocol.awaiting_response

    def peer_has_closed(self) -> bool:
        """Whether its end has come, read or not: of one that gave up while it waited to be accepted."""
        return self.writer.is_closing() or has_pending(self.writer, PEER_CLOSED)

    def respond(self, status: int, headers: Sequence[Header] = (), body: bytes = b"") -> None:
        """Answers the request in hand; what was pipelined behind it is read a turn of the loop later."""
        self.protocol.close_after_response = self.protocol.close_after_response or self.listener.closing
        self.protocol.respond(status, headers, body)
        self._flush()
        self.listener.loop.call_soon(self._resume_reading)

    def exceeds_limit(self) -> bool:
        """Whether more connections are open than may be: what comes on this one is to be shed."""
        return self.listener.is_over_limit()

    def reject(self, status: int) -> None:
        """Answers the request in hand and ends the connection."""
        self.protocol.close_after_response = True
        self.respond(status)

    def _resume_reading(self) -> None:
        if not self.protocol.closing and not self.protocol.awaiting_response:
            self.unread_bytes = 0
            self.protocol.process_buffered()
            self._flush()

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
        """Nothing more is written; what still comes is read and discarded.

        A close over unread bytes resets the connection, and that overtakes the last response.
        """
        if not self.writer.is_closing() and self.writer.can_write_eof():
            self.writer.write_eof()
            self.listener.loop.call_later(CLOSE_DELAY, self.writer.close)

    def last_progress_at(self) -> float:
        """When the request under way last got on; bytes behind an earlier one count from its response."""
        return max(self.received_at, self.phase_started_at)

    def has_unsent_data(self) -> bool:
        """Whether written bytes wait because the other side does not take them."""
        return self.writer.transport.get_write_buffer_size() > 0

    def is_idle(self) -> bool:
        """Whether nothing is under way on it in either direction."""
        return (
            not self.protocol.awaiting_response
            and not self.protocol.is_mid_request()
            and not self.has_unsent_data()
        )

    def expects_data(self) -> bool:
        """Whether more is to be read from it: the rest of a request, or its first one."""
        if self.protocol.closing or self.protocol.awaiting_response:
            return False
        age = self.listener.loop.time() - self.phase_started_at
        return self.protocol.is_mid_request() or age <= NEW_CONNECTION_GRACE

    def close(self) -> None:
        """Ends it between requests.

        A request that crosses is not read, and its client sends it again elsewhere.
        """
        self.protocol.closing = True
        self._half_close()

    def abort(self) -> None:
        """Ends it at once; what was not written is lost."""
        self.protocol.closing = True
        self.writer.transport.abort()

    def eviction_order(self) -> tuple[bool, bool, float]:
        """Which idle connection goes first when room is short: closing, then a client's, then a backend's."""
        return not self.protocol.closing, self.protocol.is_backend, self.phase_started_at
