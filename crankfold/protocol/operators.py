"""The operators' door: one call a connection, read, carried to whoever decides, and answered."""

from collections.abc import Awaitable
from http import HTTPStatus
from typing import Protocol
from urllib.parse import parse_qs, unquote

import h11

from crankfold.protocol.clients import MOST_ID

MOST_CALL = 4 * 1024  # bytes of a call, its body included
MOST_PUBLISHED = 512 * 1024  # of one that brings a document
YES, NO, NOT_FOUND = 200, 503, 404


class AgreedFace(Protocol):
    """What dispatchers agree on among themselves: answers are JSON, with their status."""

    def fleet(self) -> tuple[int, str]: ...
    def show(self, doc: str, least: int) -> Awaitable[tuple[int, str]]: ...
    def publish(self, doc: str, body: bytes) -> Awaitable[tuple[int, str]]: ...


class Operated(Protocol):
    """What operators may call for. What binds is bound by the time it is answered."""

    agreed: AgreedFace | None  # nothing without peers

    def ready(self) -> bool: ...
    def out(self, uid: str) -> Awaitable[bool]: ...
    def back(self, uid: str) -> Awaitable[bool]: ...
    def leave_service(self) -> None: ...
    def enter_service(self) -> bool: ...


class OperatorSide:
    """Fed bytes until `call` is there or it was refused; what is to be written gathers in `out`."""

    def __init__(self) -> None:
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_CALL)
        self.head: h11.Request | None = None
        self.call: tuple[str, str] | None = None  # what is called for, and the runner or document it concerns
        self.body = bytearray()
        self.least = 0  # the version of a document that whoever asks has been told of already
        self.out: list[bytes] = []
        self.read = 0
        self.over = False

    def feed(self, data: bytes) -> None:
        if self.over or self.call:
            return
        self.read += len(data)
        if self.read > (MOST_PUBLISHED if self._publishes() else MOST_CALL):
            self.answer(413)
            return
        try:
            self.http.receive_data(data)
            while not self.over and not self.call:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    if self.http.they_are_waiting_for_100_continue:
                        told = h11.InformationalResponse(status_code=100, headers=[])
                        self.out += self.http.send_with_data_passthrough(told) or []
                    return
                if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    return
                if isinstance(event, h11.Request):
                    self.head = event
                elif isinstance(event, h11.Data) and self._publishes():
                    self.body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    self._route()
        except h11.RemoteProtocolError as broken:
            self.answer(broken.error_status_hint)

    def _publishes(self) -> bool:
        return self.head is not None and self.head.target.startswith(b"/control/agreed/")

    def _route(self) -> None:
        assert self.head is not None
        path = self.head.target.partition(b"?")[0].decode("ascii").split("/")
        wanted = b"POST"
        if path == ["", "control", "ready"]:
            wanted, call = b"GET", ("ready", "")
        elif path in (["", "control", "out-of-service"], ["", "control", "in-service"]):
            call = (path[2], "")
        elif path == ["", "control", "fleet"]:
            wanted, call = b"GET", ("fleet", "")
        elif len(path) == 4 and path[:3] == ["", "control", "agreed"]:
            publish = self.head.method == b"POST"
            wanted, call = b"POST" if publish else b"GET", ("publish" if publish else "agreed", path[3])
            asked = parse_qs(self.head.target.partition(b"?")[2].decode("ascii")).get("least", ["0"])[0]
            self.least = int(asked) if asked.isdecimal() and len(asked) < 10 else 0
        elif len(path) == 5 and path[:3] == ["", "control", "runners"] and path[4] in ("offline", "online"):
            call = (path[4], unquote(path[3]))
        else:
            self.answer(NOT_FOUND)
            return
        if self.head.method != wanted:
            self.answer(405, [(b"Allow", wanted)])
        elif len(call[1]) > MOST_ID:
            self.answer(NOT_FOUND)
        else:
            self.call = call

    def answer(self, status: int, heads: list[tuple[bytes, bytes]] | None = None, text: str = "") -> None:
        if self.over:
            return
        self.over = True
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = (text or HTTPStatus(status).phrase).encode() + b"\n"
        head = h11.Response(status_code=status, reason=HTTPStatus(status).phrase.encode(), headers=[
            (b"Content-Type", b"text/plain"), (b"Content-Length", str(len(body)).encode()),
            (b"Connection", b"close"), *(heads or [])])
        for event in (head, h11.Data(data=body), h11.EndOfMessage()):
            self.out += self.http.send_with_data_passthrough(event) or []


async def carry_out(side: OperatorSide, operated: Operated) -> None:
    """What was called for, and the answer to it."""
    assert side.call is not None
    what, uid = side.call
    if what in ("fleet", "agreed", "publish"):
        agreed = operated.agreed
        if agreed is None:
            status, text = NOT_FOUND, "no peers in the configuration"
        elif what == "publish":
            status, text = await agreed.publish(uid, bytes(side.body))
        else:
            status, text = agreed.fleet() if what == "fleet" else await agreed.show(uid, side.least)
        side.answer(status, text=text)
    elif what == "ready":
        yes = operated.ready()
        side.answer(YES if yes else NO, text="ready" if yes else "not ready")
    elif what == "out-of-service":
        operated.leave_service()
        side.answer(YES, text="out of service")
    elif what == "in-service":
        yes = operated.enter_service()
        side.answer(YES if yes else 409, text="in service" if yes else "ending")
    else:
        known = await (operated.out(uid) if what == "offline" else operated.back(uid))
        side.answer(YES if known else NOT_FOUND, text=what if known else "no such runner was ever listed")
