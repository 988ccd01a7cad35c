"""The side to which clients hand their units; runners' call-backs and health checks come in by it too."""

import zlib
from collections.abc import Sequence
from http import HTTPStatus
from typing import Protocol

import h11

from crankfold.protocol.callbacks import Hearer, hear, unit_of
from crankfold.protocol.heads import MOST_BODY, MOST_HEAD, Heads, number, passed_on

LONGEST_WAIT = 3600.0
MOST_WORK = 1e12
MOST_ID = 256
_SINGLE = (b"x-request-id", b"idempotency-key", b"x-timeout", b"x-priority-class")


class Desk(Hearer, Protocol):
    """Where requests go once they are read."""

    def serving(self) -> bool: ...
    def holds(self, ident: str) -> bool: ...
    def elsewhere_told(self, client: object, body: bytes) -> bool: ...
    def knows_grade(self, name: str) -> bool: ...
    def hand_in(self, client: object, ident: str, grade: str, tenant: str, wait: int, work: int, slots: float,
                again: tuple[bytes, bytes, list[tuple[bytes, bytes]], bytes], key: int,
                retried: bool) -> None: ...


class ClientSide:
    """One connection that others opened. What is to be written gathers in `out`."""

    def __init__(self, desk: Desk, client: object, report_fields: Sequence[str]) -> None:
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        self.desk, self.client, self.report_fields = desk, client, report_fields
        self.out: list[bytes] = []
        self.head: h11.Request | None = None
        self.body = bytearray()
        self.in_hand = False  # a request has been read and waits for its answer
        self.closing = False  # nothing more will be read; the connection ends once `out` is written
        self.refused: int = 0  # the status of the last request that was not understood
        self.last = False  # answers say that the connection closes
        self.deaf = False  # what comes is no longer fed; the connection closes after the last whole request
        self.known = self.calls_back = False  # has handed in a unit, or is a runner that calls back
        self.unread = 0

    def midway(self) -> bool:
        """A request has begun to come in."""
        return not self.in_hand and (self.head is not None or self.unread > 0)

    def feed(self, data: bytes) -> None:
        if self.closing:
            return
        self.http.receive_data(data)
        self.unread += len(data)
        self.go_on()

    def go_on(self) -> None:
        """Reads what has come as far as it goes: to the end of one request, or to the end of the bytes."""
        try:
            while not self.in_hand and not self.closing:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    if self.deaf:
                        self.closing = True
                    elif self.http.they_are_waiting_for_100_continue:
                        self._write(h11.InformationalResponse(status_code=100, headers=[]))
                    return
                if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    return
                if isinstance(event, h11.Request):
                    self._begin(event)
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > MOST_BODY:
                        self._refuse(413)
                elif isinstance(event, h11.EndOfMessage):
                    self.in_hand = True
                    self.unread = len(self.http.trailing_data[0])
                    self._route()
        except h11.RemoteProtocolError as broken:
            self._refuse(broken.error_status_hint)

    def _begin(self, head: h11.Request) -> None:
        self.head = head
        self.body.clear()
        lengths = [value for name, value in head.headers if name == b"content-length"]
        if lengths and any(name == b"transfer-encoding" for name, _ in head.headers):
            self._refuse(400)  # two lengths: whoever stands in front may have read another request
        elif lengths and int(lengths[0]) > MOST_BODY:
            self._refuse(413)

    def _refuse(self, status: int) -> None:
        """Not understood: answered if that still can be, and the connection ends."""
        self.closing = self.last = True
        self.refused = status
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.answer(status)

    def _route(self) -> None:
        assert self.head is not None
        method, target = self.head.method, self.head.target
        path = target.partition(b"?")[0]
        if path == b"/api" or path.startswith(b"/api/"):
            if method != b"POST":
                self._decline(405, allow=b"POST")
            else:
                self._hand_in(method, target, self.head.headers)
        elif path == b"/v1/job-events":
            if method != b"POST":
                self._decline(405, allow=b"POST")
                return
            body = bytes(self.body)
            ident = unit_of(body)
            if ident and not self.desk.holds(ident) and self.desk.elsewhere_told(self.client, body):
                self.known = self.calls_back = True  # answered once the other process has heard it
            elif hear(body, self.desk, self.report_fields):
                self.known = self.calls_back = True
                self.answer(204)
            else:
                self._decline(400)
        elif path == b"/healthz":
            if method not in (b"GET", b"HEAD"):
                self._decline(405, allow=b"GET, HEAD")
            else:
                self.answer(200 if self.desk.serving() else 503)
        else:
            self._decline(404)

    def _decline(self, status: int, allow: bytes = b"") -> None:
        # The connection ends with it: hundreds like it may stand behind, and who stays takes up a place.
        self.refused, self.last = status, True
        self.answer(status, [(b"Allow", allow)] if allow else [])

    def _hand_in(self, method: bytes, target: bytes, heads: Heads) -> None:
        heads = list(heads)
        first: dict[bytes, bytes] = {}
        for name, value in heads:
            if name in _SINGLE and name in first:
                self._decline(400)  # which of two ids a runner would go by is anybody's guess
                return
            first.setdefault(name, value)
        try:
            ident, grade = first[b"x-request-id"].decode(), first[b"x-priority-class"].decode()
            wait = int(number(first[b"x-timeout"], LONGEST_WAIT) * 10_000)
            work = -(-int(number(first.get(b"x-cost", b"0"), MOST_WORK)) // 100)
            slots = 1.0
            for pair in first.get(b"x-attrs", b"").split(b","):
                name, _, value = pair.partition(b"=")
                if value:
                    figure = number(value, 1e9)
                    if name.strip() == b"slots":
                        slots = figure
                elif name.strip():
                    raise ValueError("an attribute without a value")
        except (KeyError, ValueError):
            self._decline(400)
            return
        if not 0 < len(ident) <= MOST_ID or not self.desk.knows_grade(grade):
            self._decline(400)
            return
        self.known = True
        about = first.get(b"x-route-key", b"")
        key = 1 << 32 | zlib.crc32(about) if about else 0  # the same at every dispatcher, whatever the form
        self.desk.hand_in(self.client, ident, grade, first.get(b"x-tenant-id", b"").decode("latin-1"), wait,
                          work, slots, (method, target, passed_on(heads), bytes(self.body)), key,
                          first.get(b"x-retried") == b"1")

    def answer(self, status: int, heads: Sequence[tuple[bytes, bytes]] = (), body: bytes = b"") -> None:
        told = [(b"Content-Length", str(len(body)).encode())] if status != 204 else []
        told += heads
        if self.last:
            told.append((b"Connection", b"close"))
        self._write(h11.Response(status_code=status, headers=told, reason=HTTPStatus(status).phrase.encode()))
        if body:
            self._write(h11.Data(data=body))
        self._write(h11.EndOfMessage())
        self.in_hand, self.head = False, None
        if self.http.our_state is h11.MUST_CLOSE or self.http.our_state is h11.CLOSED:
            self.closing = True
        elif self.http.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            self.http.start_next_cycle()

    def _write(self, event: h11.Event) -> None:
        self.out += self.http.send_with_data_passthrough(event) or []
