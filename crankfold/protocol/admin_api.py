"""The admin API without I/O: decodes one call per connection, executes it and encodes the response.

The words of paths and queries (`agreed`, `runners`, `offline`, `online`, `least`) are translated only here.
"""

from collections.abc import Awaitable, Sequence
from enum import Enum
from http import HTTPStatus
from typing import NamedTuple, Protocol
from urllib.parse import parse_qs, unquote

import h11

from crankfold.errors import drop_traceback
from crankfold.protocol.bounded_input import BoundedInput
from crankfold.protocol.client_request import MAX_ID_LENGTH
from crankfold.protocol.headers import Header

MAX_CALL_SIZE = 4 * 1024  # bytes of a call, its body included
MAX_DOCUMENT_SIZE = 512 * 1024  # bytes of a call that publishes a document
MAX_VERSION_DIGITS = 9
CONTINUE = HTTPStatus.CONTINUE.value


class AdminAction(Enum):
    """The operation that a call requests; the value is its name in the path."""

    CHECK_READY = "ready"
    LEAVE_SERVICE = "out-of-service"
    ENTER_SERVICE = "in-service"
    SHOW_CLUSTER = "fleet"
    READ_DOCUMENT = "agreed"
    PUBLISH_DOCUMENT = "publish"
    DRAIN_BACKEND = "offline"
    RESTORE_BACKEND = "online"


class AdminCommand(NamedTuple):
    """One call.

    Attributes:
        action: The requested operation.
        subject: The id of the backend or the name of the document; empty for operations without one.
        minimum_version: The oldest version of the document with which the call may be answered.
    """

    action: AdminAction
    subject: str = ""
    minimum_version: int = 0


class ClusterOperations(Protocol):
    """Operations on the cluster and its replicated documents. Results are a status and JSON."""

    def cluster_status(self) -> tuple[int, str]:
        """Returns the members and their state."""

    def read_document(self, name: str, minimum_version: int) -> Awaitable[tuple[int, str]]:
        """Reads a document at that version or a newer one."""

    def publish(self, name: str, body: bytes) -> Awaitable[tuple[int, str]]:
        """Proposes a new version of a document."""


class AdminOperations(Protocol):
    """The operations of the admin API. Each has taken effect when its call is answered."""

    cluster_admin: ClusterOperations | None  # None without a cluster

    def is_ready(self) -> bool:
        """Whether a request would be admitted and a backend is available."""

    def drain_backend(self, backend_id: str) -> Awaitable[bool]:
        """Drains a backend until it is restored; returns whether the backend is known."""

    def restore_backend(self, backend_id: str) -> Awaitable[bool]:
        """Ends a manual drain; returns whether the backend is known."""

    def leave_service(self) -> Awaitable[bool]:
        """Starts to drain this dispatcher; returns whether all its processes have confirmed it."""

    def enter_service(self) -> Awaitable[bool]:
        """Puts this dispatcher back in service; returns False if it ends or a process has not confirmed."""


_GET_ACTIONS = (AdminAction.CHECK_READY, AdminAction.SHOW_CLUSTER, AdminAction.READ_DOCUMENT)
_DISPATCHER_ACTIONS = {
    action.value: action
    for action in (
        AdminAction.CHECK_READY,
        AdminAction.LEAVE_SERVICE,
        AdminAction.ENTER_SERVICE,
        AdminAction.SHOW_CLUSTER,
    )
}
_BACKEND_ACTIONS = {
    action.value: action for action in (AdminAction.DRAIN_BACKEND, AdminAction.RESTORE_BACKEND)
}


class AdminConnection:
    """The state of one admin connection. It receives bytes until `command` is set or `answered` is true.

    Args:
        accepts_documents: Whether a call may publish a document, which may be longer than another call.

    Attributes:
        command: The call, once it is complete.
        body: The body of the call.
        outgoing: Bytes to be written, in order.
        answered: Whether the response is in `outgoing`; no more input is read then.
    """

    def __init__(self, *, accepts_documents: bool = True) -> None:
        self.input = BoundedInput(h11.SERVER)
        self.accepts_documents = accepts_documents
        self.head: h11.Request | None = None
        self.command: AdminCommand | None = None
        self.body = bytearray()
        self.outgoing: list[bytes] = []
        self.received_bytes = 0
        self.answered = False

    def receive_data(self, data: bytes) -> None:
        """Receives bytes of the call; answers a malformed or unknown one at once."""
        if self.answered or self.command:
            return
        self.received_bytes += len(data)
        if self.received_bytes > (MAX_DOCUMENT_SIZE if self._is_publish() else MAX_CALL_SIZE):
            self.respond(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        try:
            self.input.receive_data(data)
            self._process_events()
        except h11.RemoteProtocolError as error:
            drop_traceback(error)
            self.respond(error.error_status_hint)

    def _process_events(self) -> None:
        while not self.answered and not self.command:
            event = self.input.next_event()
            if event is h11.NEED_DATA:
                if self.input.http.they_are_waiting_for_100_continue:
                    self._send_event(h11.InformationalResponse(status_code=CONTINUE, headers=[]))
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            if isinstance(event, h11.Request):
                self.head = event
            elif isinstance(event, h11.Data) and self._is_publish():
                self.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self._route()

    def _is_publish(self) -> bool:
        return (
            self.accepts_documents
            and self.head is not None
            and self.head.target.startswith(b"/control/agreed/")
        )

    def _route(self) -> None:
        assert self.head is not None
        command = _find_command(self.head)
        if command is None:
            self.respond(HTTPStatus.NOT_FOUND)
            return
        method = b"GET" if command.action in _GET_ACTIONS else b"POST"
        if self.head.method != method:
            self.respond(HTTPStatus.METHOD_NOT_ALLOWED, [(b"Allow", method)])
        elif len(command.subject) > MAX_ID_LENGTH:
            self.respond(HTTPStatus.NOT_FOUND)
        else:
            self.command = command

    def respond(self, status: int, headers: Sequence[Header] = (), text: str = "") -> None:
        """Answers the call once, if a response can still be sent; `text` defaults to the status phrase."""
        if self.answered:
            return
        self.answered = True
        if self.input.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        phrase = HTTPStatus(status).phrase
        body = (text or phrase).encode() + b"\n"
        response_headers = [
            (b"Content-Type", b"text/plain"),
            (b"Content-Length", str(len(body)).encode()),
            (b"Connection", b"close"),
            *headers,
        ]
        self._send_event(h11.Response(status_code=status, reason=phrase.encode(), headers=response_headers))
        self._send_event(h11.Data(data=body))
        self._send_event(h11.EndOfMessage())

    def _send_event(self, event: h11.Event) -> None:
        self.outgoing += self.input.http.send_with_data_passthrough(event) or []


def _find_command(head: h11.Request) -> AdminCommand | None:
    """Returns the command of a path, or None. POST publishes a document; any other method reads it."""
    target, _, query = head.target.partition(b"?")
    root, *path = target.decode("ascii").split("/")
    if root or path[:1] != ["control"]:
        return None
    match path[1:]:
        case [name] if name in _DISPATCHER_ACTIONS:
            return AdminCommand(_DISPATCHER_ACTIONS[name])
        case ["agreed", document]:
            publishes = head.method == b"POST"
            action = AdminAction.PUBLISH_DOCUMENT if publishes else AdminAction.READ_DOCUMENT
            return AdminCommand(action, document, _minimum_version(query))
        case ["runners", backend_id, action_name] if action_name in _BACKEND_ACTIONS:
            return AdminCommand(_BACKEND_ACTIONS[action_name], unquote(backend_id))
    return None


def _minimum_version(query: bytes) -> int:
    digits = parse_qs(query.decode("ascii")).get("least", ["0"])[0]
    return int(digits) if digits.isdecimal() and len(digits) <= MAX_VERSION_DIGITS else 0


async def execute(connection: AdminConnection, operations: AdminOperations) -> None:
    """Executes the command of a connection and answers its call."""
    assert connection.command is not None
    status, text = await _result(connection.command, bytes(connection.body), operations)
    connection.respond(status, text=text)


async def _result(command: AdminCommand, body: bytes, operations: AdminOperations) -> tuple[int, str]:
    """Executes a command; returns the status and text of the response."""
    match command.action:
        case AdminAction.CHECK_READY:
            ready = operations.is_ready()
            return (HTTPStatus.OK, "ready") if ready else (HTTPStatus.SERVICE_UNAVAILABLE, "not ready")
        case AdminAction.LEAVE_SERVICE:
            left = await operations.leave_service()
            return (
                (HTTPStatus.OK, "out of service") if left else (HTTPStatus.SERVICE_UNAVAILABLE, "unconfirmed")
            )
        case AdminAction.ENTER_SERVICE:
            entered = await operations.enter_service()
            return (HTTPStatus.OK, "in service") if entered else (HTTPStatus.CONFLICT, "ending")
        case AdminAction.DRAIN_BACKEND | AdminAction.RESTORE_BACKEND:
            return await _set_backend_drained(command, operations)
        case _:
            return await _cluster_result(command, body, operations.cluster_admin)


async def _set_backend_drained(command: AdminCommand, operations: AdminOperations) -> tuple[int, str]:
    if command.action is AdminAction.DRAIN_BACKEND:
        known = await operations.drain_backend(command.subject)
    else:
        known = await operations.restore_backend(command.subject)
    if known:
        return HTTPStatus.OK, command.action.value
    return HTTPStatus.NOT_FOUND, "no such runner was ever listed"


async def _cluster_result(
    command: AdminCommand, body: bytes, cluster: ClusterOperations | None
) -> tuple[int, str]:
    if cluster is None:
        return HTTPStatus.NOT_FOUND, "no peers in the configuration"
    if command.action is AdminAction.PUBLISH_DOCUMENT:
        return await cluster.publish(command.subject, body)
    if command.action is AdminAction.READ_DOCUMENT:
        return await cluster.read_document(command.subject, command.minimum_version)
    return cluster.cluster_status()
