"""The input of an HTTP connection, which h11 receives in portions whose cost is bounded.

h11 parses a head as a whole and builds objects of over a hundred bytes for each field, however short it is,
and it parses each chunk of a body by itself. So the fields are counted before h11 parses them, and bytes
behind a message stay here until the next one begins. `next_event` costs a bounded time, and the size of
the buffers is known.
"""

import re

import h11

from crankfold.protocol.headers import MAX_HEADER_SIZE

MAX_HEADER_FIELDS = 100  # of a head or of trailers, as in other proxies
MAX_HEADER_LINES = MAX_HEADER_FIELDS + 2  # with the start line and the empty line at the end
MAX_INFORMATIONAL_RESPONSES = 8  # before a final response
TOO_LARGE_STATUS = 431  # RFC 6585, section 5
BODY_PORTION = 16 * 1024  # bytes of a body without chunks
CHUNKED_PORTION = 512  # bytes of chunks or trailers; a chunk takes at least six
BLANK_LINE = re.compile(rb"\n\r?\n")
BLANK_LINE_OVERLAP = 2  # bytes of a blank line that may be in an earlier portion

NextEvent = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class BoundedInput:
    """The received bytes of one connection, and the h11 state machine that parses them.

    Attributes:
        http: The state machine. It is replaced if the next message has been received in part with a chunked
            one, as h11 cannot return bytes.
    """

    def __init__(self, role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        """Starts without input.

        Args:
            role: The side of this program.
        """
        self._role = role
        self._pending = bytearray()
        self._start_connection()

    def _start_connection(self) -> None:
        self.http = h11.Connection(self._role, max_incomplete_event_size=MAX_HEADER_SIZE)
        self._start_message()

    def _start_message(self) -> None:
        self._body_remaining: int | None = None  # None for a body whose length is not known
        self._is_chunked = False
        self._informational_responses = 0
        self._has_trailing_bytes = False
        self._needs_data = True  # whether h11 has nothing to parse, as far as is known
        self._start_head()

    def _start_head(self) -> None:
        self._head_bytes = 0
        self._head_lines = 0
        self._head_end = b""

    def __len__(self) -> int:
        """Returns the number of bytes received and not parsed, the body's apart."""
        return len(self._pending) + self._head_bytes

    def has_unparsed_bytes(self) -> bool:
        """Whether bytes follow the present message."""
        return bool(self._pending)

    def receive_data(self, data: bytes) -> None:
        """Receives bytes."""
        self._pending += data

    def next_event(self) -> NextEvent:
        """Returns the next event of h11, as `h11.Connection.next_event` does.

        Raises:
            h11.RemoteProtocolError: The input is malformed, or a head is too large or has too many fields.
        """
        if self._needs_data and self._pending:
            self._pass_portion()
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                self._needs_data = False
                self._handle_event(event)
                return event
            self._needs_data = True
            if not self._pending:
                return event
            self._pass_portion()

    def _pass_portion(self) -> None:
        is_body = self.http.their_state is h11.SEND_BODY
        self.http.receive_data(self._take_body_portion() if is_body else self._take_head_portion())

    def _handle_event(self, event: NextEvent) -> None:
        if isinstance(event, h11.Request | h11.Response):
            self._start_head()
            self._start_body(event)
        elif isinstance(event, h11.InformationalResponse):
            self._start_head()
            self._informational_responses += 1
            if self._informational_responses > MAX_INFORMATIONAL_RESPONSES:
                raise h11.RemoteProtocolError("too many informational responses")
        elif isinstance(event, h11.EndOfMessage) and self._is_chunked:
            trailing_bytes = self.http.trailing_data[0]
            self._has_trailing_bytes = bool(trailing_bytes)
            self._pending[:0] = trailing_bytes

    def _start_body(self, head: h11.Request | h11.Response) -> None:
        for name, value in head.headers:
            if name == b"transfer-encoding":
                self._is_chunked = True  # has precedence (RFC 9112, section 6.3)
            elif name == b"content-length":
                self._body_remaining = int(value)
        # Of a body of known length h11 has received nothing yet, as the head was passed by itself.
        self._needs_data = bool(self._body_remaining) and not self._is_chunked

    def _take(self, size: int) -> bytes:
        portion = bytes(self._pending[:size])
        del self._pending[:size]
        return portion

    def _take_head_portion(self) -> bytes:
        """Removes and returns the pending bytes of a head, up to its end.

        Raises:
            h11.RemoteProtocolError: The head is too large or has too many fields.
        """
        allowed = MAX_HEADER_SIZE + 1 - self._head_bytes
        window = self._head_end + self._pending[:allowed]
        blank_line = BLANK_LINE.search(window)
        end = blank_line.end() if blank_line else len(window)
        portion = self._take(end - len(self._head_end))
        self._head_end = window[max(end - BLANK_LINE_OVERLAP, 0) : end]
        self._head_bytes += len(portion)
        self._head_lines += portion.count(b"\n")
        if self._head_bytes > MAX_HEADER_SIZE or self._head_lines > MAX_HEADER_LINES:
            raise h11.RemoteProtocolError(
                "header too large or with too many fields", error_status_hint=TOO_LARGE_STATUS
            )
        return portion

    def _take_body_portion(self) -> bytes:
        """Removes and returns pending bytes of a body.

        Raises:
            h11.RemoteProtocolError: There are too many trailers.
        """
        if not self._is_chunked:
            remaining = self._body_remaining
            portion = self._take(BODY_PORTION if remaining is None else min(remaining, BODY_PORTION))
            self._body_remaining = None if remaining is None else remaining - len(portion)
            return portion
        # In a chunk h11 has consumed all that it received, but for one incomplete line.
        if self.http.trailing_data[0].count(b"\n") > MAX_HEADER_FIELDS:
            raise h11.RemoteProtocolError("too many trailers", error_status_hint=TOO_LARGE_STATUS)
        return self._take(CHUNKED_PORTION)

    def start_next_cycle(self) -> None:
        """Prepares for the next request and response on the connection, once both are complete."""
        if self._has_trailing_bytes:
            self._start_connection()
        else:
            self.http.start_next_cycle()
            self._start_message()

    def drop_pending(self) -> None:
        """Drops the input behind the present message."""
        self._pending = bytearray()
        self._has_trailing_bytes = False

    def drop(self) -> None:
        """Drops all input, of which no more is parsed."""
        self._pending = bytearray()
        self._start_connection()  # h11 can't drop the bytes that it has buffered
