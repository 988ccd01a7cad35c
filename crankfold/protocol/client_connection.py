"""The server side of HTTP without I/O: clients' requests, backends' callbacks and health checks."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Protocol

import h11

from crankfold.errors import drop_traceback
from crankfold.protocol.bounded_input import BoundedInput, NextEvent
from crankfold.protocol.callbacks import CallbackHandler, handle_callback, request_id_of
from crankfold.protocol.client_request import ClientRequest, parse_request
from crankfold.protocol.headers import MAX_BODY_SIZE, Header, HeaderError

CONTINUE = HTTPStatus.CONTINUE.value
PORTION_EVENTS = 32  # events of h11 in one call of `process_portion`
FIELD_COST = 128  # bytes of the objects for a header field, beside its name and value


class ClientChannel(Protocol):
    """The connection that carries a request or callback and its response."""

    def respond(self, status: int, headers: Sequence[Header] = (), body: bytes = b"") -> None:
        """Answers the open request."""

    def reject(self, status: int) -> None:
        """Answers the open request and closes the connection."""

    def is_awaiting_response(self) -> bool:
        """Whether a request is open, that is, has no response yet."""

    def peer_has_closed(self) -> bool:
        """Whether the peer has closed the connection, or has sent so much that its close may be unseen."""

    def exceeds_limit(self) -> bool:
        """Whether more connections are open than allowed, so that requests on this one are shed."""


class CallbackReceiver(CallbackHandler, Protocol):
    """Receives callbacks, and knows which requests are open."""

    def has_request(self, request_id: str) -> bool:
        """Whether this process holds the request."""

    def forward_unknown_callback(self, client: ClientChannel, body: bytes) -> bool:
        """Forwards a callback for a request that this process does not hold to the other process.

        Returns:
            Whether it was forwarded; `client` then gets its response once the other process has answered.
        """


class ClientRequestHandler(Protocol):
    """Receives requests, and answers health checks."""

    @property
    def callbacks(self) -> CallbackReceiver:
        """The receiver of callbacks."""

    def is_serving(self) -> bool:
        """Whether health checks succeed."""

    def knows_request_class(self, name: str) -> bool:
        """Whether there is a request class of that name."""

    def submit(self, client: ClientChannel, request: ClientRequest) -> None:
        """Accepts a request; it is answered on `client`, at once or later."""


class ClientConnection:
    """The state of one accepted connection.

    Attributes:
        outgoing: Bytes to be written, in order.
        awaiting_response: Whether a request is open: it was read and has no response yet.
        closing: Whether no more input is processed; the connection closes once `outgoing` is written.
        rejected_status: Status of the last malformed request that was rejected; 0 for none.
        close_after_response: Whether responses have `Connection: close`.
        discarding_input: Whether input is no longer passed in; the connection closes after the last complete
            request.
        identified: Whether the peer has sent a request or a callback.
        is_backend: Whether the peer has sent a callback.
        can_proceed: Whether received bytes can be processed now.
    """

    def __init__(
        self, handler: ClientRequestHandler, client: ClientChannel, report_fields: Sequence[str]
    ) -> None:
        self.input = BoundedInput(h11.SERVER)
        self.handler = handler
        self.client = client
        self.report_fields = report_fields
        self.outgoing: list[bytes] = []
        self.request_head: h11.Request | None = None
        self.body = bytearray()
        self.awaiting_response = False
        self.closing = False
        self.rejected_status: int = 0
        self.close_after_response = False
        self.discarding_input = False
        self.identified = False
        self.is_backend = False
        self._needs_data = True

    def is_mid_request(self) -> bool:
        """Whether a request was received in part."""
        return not self.awaiting_response and (self.request_head is not None or len(self.input) > 0)

    def is_in_body(self) -> bool:
        """Whether the header of a request was received, but its body is incomplete."""
        return not self.awaiting_response and self.request_head is not None

    def buffered_bytes(self) -> int:
        """Returns the cost in memory of what was received and is not passed to the handler."""
        size = len(self.input) + len(self.body)
        if self.request_head is not None:
            size += sum(len(name) + len(value) + FIELD_COST for name, value in self.request_head.headers)
        return size

    @property
    def can_proceed(self) -> bool:
        """Whether received bytes can be processed now."""
        return not self._needs_data and not self.awaiting_response and not self.closing

    def receive_data(self, data: bytes) -> None:
        """Receives bytes, to be processed by `process_portion`."""
        if not self.closing:
            self.input.receive_data(data)
            self._needs_data = False

    def process_portion(self) -> None:
        """Processes received bytes up to the end of one request, or PORTION_EVENTS events."""
        try:
            for _ in range(PORTION_EVENTS):
                if self.awaiting_response or self.closing:
                    return
                event = self.input.next_event()
                if isinstance(event, h11.EndOfMessage):
                    self.awaiting_response = True
                    self._route()
                    return
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    self._needs_data = True
                    self._wait_for_data()
                    return
                self._process_event(event)
        except h11.RemoteProtocolError as error:
            drop_traceback(error)
            self._fail(error.error_status_hint)

    def _process_event(self, event: NextEvent) -> None:
        if isinstance(event, h11.Request):
            self._start_request(event)
        elif isinstance(event, h11.Data):
            self.body += event.data
            if len(self.body) > MAX_BODY_SIZE:
                self._fail(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def connection_lost(self) -> None:
        """Drops what was received, and the reference to the channel, which refers to this object.

        Without that, both and the buffer of h11 would stay in memory until a full garbage collection. An open
        request gets no response.
        """
        self.closing = True
        self.awaiting_response = False
        self._drop_input()
        del self.client

    def respond(self, status: int, headers: Sequence[Header] = (), body: bytes = b"") -> None:
        """Answers the open request, after which the next one may be processed."""
        response_headers: list[Header] = []
        if status != HTTPStatus.NO_CONTENT:
            response_headers.append((b"Content-Length", str(len(body)).encode()))
        response_headers += headers
        if self.close_after_response:
            response_headers.append((b"Connection", b"close"))
        reason = HTTPStatus(status).phrase.encode()
        self._send_event(h11.Response(status_code=status, headers=response_headers, reason=reason))
        if body:
            self._send_event(h11.Data(data=body))
        self._send_event(h11.EndOfMessage())
        self.awaiting_response = False
        self.request_head = None
        self.body = bytearray()
        http = self.input.http
        if http.our_state is h11.MUST_CLOSE or http.our_state is h11.CLOSED:
            self.closing = True
            self._drop_input()
        elif http.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            self.input.start_next_cycle()
            self._needs_data = len(self.input) == 0

    # --- reading ---

    def _wait_for_data(self) -> None:
        if self.discarding_input:
            self.closing = True
        elif self.input.http.they_are_waiting_for_100_continue:
            self._send_event(h11.InformationalResponse(status_code=CONTINUE, headers=[]))

    def _start_request(self, head: h11.Request) -> None:
        self.request_head = head
        self.body.clear()
        lengths = [value for name, value in head.headers if name == b"content-length"]
        if lengths and any(name == b"transfer-encoding" for name, _ in head.headers):
            # With two lengths, a proxy in front of this server may see the end of the message elsewhere
            # (RFC 9112, section 11.2).
            self._fail(HTTPStatus.BAD_REQUEST)
        elif lengths and int(lengths[0]) > MAX_BODY_SIZE:
            self._fail(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def reject_incomplete_request(self, status: int) -> None:
        """Rejects a request that was received in part, and closes the connection."""
        self._fail(status)

    def drop_pipelined_input(self) -> None:
        """Drops what was received behind the open request, whose response is the last one."""
        self.discarding_input = True
        self.close_after_response = True
        self.input.drop_pending()

    def _drop_input(self) -> None:
        """Releases the received bytes, of which no more are processed."""
        self.body = bytearray()
        self.input.drop()

    def _fail(self, status: int) -> None:
        """Rejects a malformed message, if a response can still be sent, and closes the connection."""
        self.closing = True
        self.close_after_response = True
        self.rejected_status = status
        if self.input.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.respond(status)

    # --- routing by path ---

    def _route(self) -> None:
        assert self.request_head is not None
        head, body = self.request_head, bytes(self.body)
        self.request_head = None
        self.body = bytearray()
        path = head.target.partition(b"?")[0]
        if path == b"/api" or path.startswith(b"/api/"):
            self._route_request(head, body)
        elif path == b"/v1/job-events":
            self._route_callback(head, body)
        elif path == b"/healthz":
            self._route_health_check(head)
        else:
            self._reject(HTTPStatus.NOT_FOUND)

    def _route_request(self, head: h11.Request, body: bytes) -> None:
        if head.method != b"POST":
            self._reject(HTTPStatus.METHOD_NOT_ALLOWED, allowed_methods=b"POST")
            return
        try:
            request = parse_request(head.method, head.target, head.headers, body)
        except HeaderError:
            self._reject(HTTPStatus.BAD_REQUEST)
            return
        if not self.handler.knows_request_class(request.request_class):
            self._reject(HTTPStatus.BAD_REQUEST)
            return
        self.identified = True
        self.handler.submit(self.client, request)

    def _route_callback(self, head: h11.Request, body: bytes) -> None:
        if head.method != b"POST":
            self._reject(HTTPStatus.METHOD_NOT_ALLOWED, allowed_methods=b"POST")
            return
        request_id = request_id_of(body)
        known = not request_id or self.handler.callbacks.has_request(request_id)
        if not known and self.handler.callbacks.forward_unknown_callback(self.client, body):
            self.identified = True
            self.is_backend = True
            # The response follows once the other process has answered.
        elif handle_callback(body, self.handler.callbacks, self.report_fields):
            self.identified = True
            self.is_backend = True
            self.respond(HTTPStatus.NO_CONTENT)
        else:
            self._reject(HTTPStatus.BAD_REQUEST)

    def _route_health_check(self, head: h11.Request) -> None:
        if head.method not in (b"GET", b"HEAD"):
            self._reject(HTTPStatus.METHOD_NOT_ALLOWED, allowed_methods=b"GET, HEAD")
        else:
            self.respond(HTTPStatus.OK if self.handler.is_serving() else HTTPStatus.SERVICE_UNAVAILABLE)

    def _reject(self, status: int, allowed_methods: bytes = b"") -> None:
        # Closes the connection, so that it does not count against the connection limit any longer.
        self.rejected_status = status
        self.close_after_response = True
        self.respond(status, [(b"Allow", allowed_methods)] if allowed_methods else [])

    # --- writing ---

    def _send_event(self, event: h11.Event) -> None:
        self.outgoing += self.input.http.send_with_data_passthrough(event) or []
