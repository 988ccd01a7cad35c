"""The operators' door: one call a connection, read, carried to whoever decides, and answered."""

from collections.abc import Awaitable
from http import HTTPStatus
from typing import Protocol
from urllib.parse import parse_qs, unquote

import h11

from crankfold.protocol.client_request import MAX_ID_LENGTH

MAX_CALL_SIZE = 4 * 1024  # bytes of a call, its body included
MAX_DOCUMENT_SIZE = 512 * 1024  # of one that brings a document
OK, UNAVAILABLE, NOT_FOUND = 200, 503, 404


class ReplicatedConfigAdmin(Protocol):
    """What dispatchers agree on among themselves: answers are JSON, with their status."""

    def cluster_status(self) -> tuple[int, str]: ...
    def read_document(self, doc: str, least: int) -> Awaitable[tuple[int, str]]: ...
    def publish(self, doc: str, body: bytes) -> Awaitable[tuple[int, str]]: ...


class AdminOperations(Protocol):
    """What operators may call for. What binds is bound by the time it is answered."""

    replicated_config: ReplicatedConfigAdmin | None  # nothing without peers

    def is_ready(self) -> bool: ...
    def drain_backend(self, uid: str) -> Awaitable[bool]: ...
    def restore_backend(self, uid: str) -> Awaitable[bool]: ...
    def leave_service(self) -> None: ...
    def enter_service(self) -> bool: ...


class AdminConnection:
    """Fed bytes until `call` is there or it was refused; what is to be written gathers in `out`."""

    def __init__(self) -> None:
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_CALL_SIZE)
        self.head: h11.Request | None = None
        self.command: tuple[str, str] | None = (
            None  # what is called for, and the runner or document it concerns
        )
        self.body = bytearray()
        self.minimum_version = 0  # the version of a document that whoever asks has been told of already
        self.outgoing: list[bytes] = []
        self.received_bytes = 0
        self.answered = False

    def receive_data(self, data: bytes) -> None:
        if self.answered or self.command:
            return
        self.received_bytes += len(data)
        if self.received_bytes > (MAX_DOCUMENT_SIZE if self._is_publish() else MAX_CALL_SIZE):
            self.respond(413)
            return
        try:
            self.http.receive_data(data)
            while not self.answered and not self.command:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    if self.http.they_are_waiting_for_100_continue:
                        told = h11.InformationalResponse(status_code=100, headers=[])
                        self.outgoing += self.http.send_with_data_passthrough(told) or []
                    return
                if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    return
                if isinstance(event, h11.Request):
                    self.head = event
                elif isinstance(event, h11.Data) and self._is_publish():
                    self.body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    self._route()
        except h11.RemoteProtocolError as broken:
            self.respond(broken.error_status_hint)

    def _is_publish(self) -> bool:
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
            self.minimum_version = int(asked) if asked.isdecimal() and len(asked) < 10 else 0
        elif len(path) == 5 and path[:3] == ["", "control", "runners"] and path[4] in ("offline", "online"):
            call = (path[4], unquote(path[3]))
        else:
            self.respond(NOT_FOUND)
            return
        if self.head.method != wanted:
            self.respond(405, [(b"Allow", wanted)])
        elif len(call[1]) > MAX_ID_LENGTH:
            self.respond(NOT_FOUND)
        else:
            self.command = call

    def respond(self, status: int, headers: list[tuple[bytes, bytes]] | None = None, text: str = "") -> None:
        if self.answered:
            return
        self.answered = True
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = (text or HTTPStatus(status).phrase).encode() + b"\n"
        head = h11.Response(
            status_code=status,
            reason=HTTPStatus(status).phrase.encode(),
            headers=[
                (b"Content-Type", b"text/plain"),
                (b"Content-Length", str(len(body)).encode()),
                (b"Connection", b"close"),
                *(headers or []),
            ],
        )
        for event in (head, h11.Data(data=body), h11.EndOfMessage()):
            self.outgoing += self.http.send_with_data_passthrough(event) or []


async def execute(side: AdminConnection, operated: AdminOperations) -> None:
    """What was called for, and the answer to it."""
    assert side.command is not None
    what, uid = side.command
    if what in ("fleet", "agreed", "publish"):
        agreed = operated.replicated_config
        if agreed is None:
            status, text = NOT_FOUND, "no peers in the configuration"
        elif what == "publish":
            status, text = await agreed.publish(uid, bytes(side.body))
        else:
            status, text = (
                agreed.cluster_status()
                if what == "fleet"
                else await agreed.read_document(uid, side.minimum_version)
            )
        side.respond(status, text=text)
    elif what == "ready":
        yes = operated.is_ready()
        side.respond(OK if yes else UNAVAILABLE, text="ready" if yes else "not ready")
    elif what == "out-of-service":
        operated.leave_service()
        side.respond(OK, text="out of service")
    elif what == "in-service":
        yes = operated.enter_service()
        side.respond(OK if yes else 409, text="in service" if yes else "ending")
    else:
        known = await (operated.drain_backend(uid) if what == "offline" else operated.restore_backend(uid))
        side.respond(OK if known else NOT_FOUND, text=what if known else "no such runner was ever listed")
