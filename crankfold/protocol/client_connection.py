"""The side to which clients hand their units; runners' call-backs and health checks come in by it too."""

import zlib
from collections.abc import Sequence
from http import HTTPStatus
from typing import Protocol

import h11

from crankfold.protocol.callbacks import CallbackHandler, handle_callback, request_id_of
from crankfold.protocol.client_request import ClientRequest, HttpRequest
from crankfold.protocol.headers import (
    MAX_BODY_SIZE,
    MAX_HEADER_SIZE,
    Headers,
    forwarded_headers,
    parse_number,
)

MAX_TIMEOUT = 3600.0
MAX_WORK = 1e12
MAX_ID_LENGTH = 256
_SINGLE_HEADERS = (b"x-request-id", b"idempotency-key", b"x-timeout", b"x-priority-class")


class ClientRequestHandler(CallbackHandler, Protocol):
    """Where requests go once they are read."""

    def is_serving(self) -> bool: ...
    def has_request(self, ident: str) -> bool: ...
    def forward_unknown_callback(self, client: object, body: bytes) -> bool: ...
    def knows_request_class(self, name: str) -> bool: ...
    def submit(self, client: object, submitted: ClientRequest) -> None: ...


class ClientConnection:
    """One connection that others opened. What is to be written gathers in `out`."""

    def __init__(self, desk: ClientRequestHandler, client: object, report_fields: Sequence[str]) -> None:
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_SIZE)
        self.handler, self.client, self.report_fields = desk, client, report_fields
        self.outgoing: list[bytes] = []
        self.head: h11.Request | None = None
        self.body = bytearray()
        self.awaiting_response = False  # a request has been read and waits for its answer
        self.closing = False  # nothing more will be read; the connection ends once `out` is written
        self.rejected_status: int = 0  # the status of the last request that was not understood
        self.close_after_response = False  # answers say that the connection closes
        self.discarding_input = (
            False  # what comes is no longer fed; the connection closes after the last whole request
        )
        self.identified = self.is_backend = False  # has handed in a unit, or is a runner that calls back
        self.buffered_bytes = 0

    def is_mid_request(self) -> bool:
        """A request has begun to come in."""
        return not self.awaiting_response and (self.head is not None or self.buffered_bytes > 0)

    def receive_data(self, data: bytes) -> None:
        if self.closing:
            return
        self.http.receive_data(data)
        self.buffered_bytes += len(data)
        self.process_buffered()

    def process_buffered(self) -> None:
        """Reads what has come as far as it goes: to the end of one request, or to the end of the bytes."""
        try:
            while not self.awaiting_response and not self.closing:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    if self.discarding_input:
                        self.closing = True
                    elif self.http.they_are_waiting_for_100_continue:
                        self._send_event(h11.InformationalResponse(status_code=100, headers=[]))
                    return
                if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    return
                if isinstance(event, h11.Request):
                    self._start_request(event)
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > MAX_BODY_SIZE:
                        self._fail(413)
                elif isinstance(event, h11.EndOfMessage):
                    self.awaiting_response = True
                    self.buffered_bytes = len(self.http.trailing_data[0])
                    self._route()
        except h11.RemoteProtocolError as broken:
            self._fail(broken.error_status_hint)

    def _start_request(self, head: h11.Request) -> None:
        self.head = head
        self.body.clear()
        lengths = [value for name, value in head.headers if name == b"content-length"]
        if lengths and any(name == b"transfer-encoding" for name, _ in head.headers):
            self._fail(400)  # two lengths: whoever stands in front may have read another request
        elif lengths and int(lengths[0]) > MAX_BODY_SIZE:
            self._fail(413)

    def _fail(self, status: int) -> None:
        """Not understood: answered if that still can be, and the connection ends."""
        self.closing = self.close_after_response = True
        self.rejected_status = status
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.respond(status)

    def _route(self) -> None:
        assert self.head is not None
        method, target = self.head.method, self.head.target
        path = target.partition(b"?")[0]
        if path == b"/api" or path.startswith(b"/api/"):
            if method != b"POST":
                self._reject(405, allow=b"POST")
            else:
                self._submit(method, target, self.head.headers)
        elif path == b"/v1/job-events":
            if method != b"POST":
                self._reject(405, allow=b"POST")
                return
            body = bytes(self.body)
            ident = request_id_of(body)
            if (
                ident
                and not self.handler.has_request(ident)
                and self.handler.forward_unknown_callback(self.client, body)
            ):
                self.identified = self.is_backend = True  # answered once the other process has heard it
            elif handle_callback(body, self.handler, self.report_fields):
                self.identified = self.is_backend = True
                self.respond(204)
            else:
                self._reject(400)
        elif path == b"/healthz":
            if method not in (b"GET", b"HEAD"):
                self._reject(405, allow=b"GET, HEAD")
            else:
                self.respond(200 if self.handler.is_serving() else 503)
        else:
            self._reject(404)

    def _reject(self, status: int, allow: bytes = b"") -> None:
        # The connection ends with it: hundreds like it may stand behind, and who stays takes up a place.
        self.rejected_status, self.close_after_response = status, True
        self.respond(status, [(b"Allow", allow)] if allow else [])

    def _submit(self, method: bytes, target: bytes, heads: Headers) -> None:
        heads = list(heads)
        first: dict[bytes, bytes] = {}
        for name, value in heads:
            if name in _SINGLE_HEADERS and name in first:
                self._reject(400)  # which of two ids a runner would go by is anybody's guess
                return
            first.setdefault(name, value)
        try:
            ident, grade = first[b"x-request-id"].decode(), first[b"x-priority-class"].decode()
            wait = int(parse_number(first[b"x-timeout"], MAX_TIMEOUT) * 10_000)
            work = -(-int(parse_number(first.get(b"x-cost", b"0"), MAX_WORK)) // 100)
            slots = 1.0
            for pair in first.get(b"x-attrs", b"").split(b","):
                name, _, value = pair.partition(b"=")
                if value:
                    figure = parse_number(value, 1e9)
                    if name.strip() == b"slots":
                        slots = figure
                elif name.strip():
                    raise ValueError("an attribute without a value")
        except (KeyError, ValueError):
            self._reject(400)
            return
        if not 0 < len(ident) <= MAX_ID_LENGTH or not self.handler.knows_request_class(grade):
            self._reject(400)
            return
        self.identified = True
        about = first.get(b"x-route-key", b"")
        key = 1 << 32 | zlib.crc32(about) if about else 0  # the same at every dispatcher, whatever the form
        self.handler.submit(
            self.client,
            ClientRequest(
                request_id=ident,
                request_class=grade,
                tenant=first.get(b"x-tenant-id", b"").decode("latin-1"),
                timeout=wait,
                work=work,
                slots=slots,
                http=HttpRequest(method, target, forwarded_headers(heads), bytes(self.body)),
                affinity_key=key,
                is_retry=first.get(b"x-retried") == b"1",
            ),
        )

    def respond(self, status: int, headers: Sequence[tuple[bytes, bytes]] = (), body: bytes = b"") -> None:
        told = [(b"Content-Length", str(len(body)).encode())] if status != 204 else []
        told += headers
        if self.close_after_response:
            told.append((b"Connection", b"close"))
        self._send_event(
            h11.Response(status_code=status, headers=told, reason=HTTPStatus(status).phrase.encode())
        )
        if body:
            self._send_event(h11.Data(data=body))
        self._send_event(h11.EndOfMessage())
        self.awaiting_response, self.head = False, None
        if self.http.our_state is h11.MUST_CLOSE or self.http.our_state is h11.CLOSED:
            self.closing = True
        elif self.http.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            self.http.start_next_cycle()

    def _send_event(self, event: h11.Event) -> None:
        self.outgoing += self.http.send_with_data_passthrough(event) or []
