"""One exchange with a backend, and what its result proves about the execution of the request."""

from collections.abc import Callable, Sequence
from enum import Enum
from typing import Protocol

from crankfold.protocol.backend_connection import BackendConnection
from crankfold.protocol.headers import Header


class ExchangeResult(Enum):
    """How an exchange ended, and so whether the backend may have executed its request.

    It is certain that a request was not executed only if the backend cannot have the complete message:
    nothing was written, or its last byte never left this process (an incomplete message, RFC 9112 section 8).
    Once the last byte is written, a close, a reset or a timeout proves nothing: the backend may have executed
    the request before its response was lost. RFC 9110 section 9.2.2 permits an automatic retry of a
    non-idempotent request only with a means to detect that the original request was never applied; the
    results with a "no" below are that means. RFC 9112 section 9.3.1 makes no exception for persistent
    connections. In this program the request class, not the HTTP method, decides whether a request is
    idempotent.

    ================  ==========================================  =================  =====================
    result            seen on the connection                      may be executed    charged to backend
    ================  ==========================================  =================  =====================
    ANSWERED          a complete response, or the header of 202   see                see
                                                                  classify_response  classify_response
    BROKEN            request written; then no response, an       yes: RFC 9110,     a failure
                      incomplete one (RFC 9112, section 8) or     section 9.2.2      (`Outcome.RESET`)
                      one that is not valid HTTP
    STALE_CONNECTION  request written on a reused connection,     yes: RFC 9112,     nothing: an idle
                      which closes before any response            section 9.3.1      connection may close
                                                                                     at any time (RFC
                                                                                     9112, section 9.5)
    UNREACHABLE       connect refused or timed out, or closed     no: no complete    a failure, and
                      before the request's last byte was written  request was sent   ejection
    NOT_SENT          nothing: at the connection limit, or the    no                 nothing
                      request ended or the backend left service
                      before anything was written
    ================  ==========================================  =================  =====================

    Of complete responses, only 503 or 504 with `X-Not-Processed: 1` proves that the request never ran. An
    incomplete response is no such proof, even with that header in it. The header of a 202 is enough to know
    that the backend has accepted the request. A response without a length counts as incomplete, as its end
    looks like a broken connection. The writing side is never half-closed, so the end of the input is always a
    full close of the connection (RFC 9112 section 9.6).

    The service maps these results to `Outcome` of the routing (`Attempts._on_exchange_ended`). There,
    `NEVER_EXECUTED` contains the two results with a "no" and OVERLOADED. OVERLOADED stands for that response
    of 503 or 504, and for the callback state `returned`.
    """

    ANSWERED = "answered"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"
    NOT_SENT = "not sent"
    STALE_CONNECTION = "stale connection"


ExchangeCallback = Callable[[ExchangeResult, BackendConnection | None], None]


class ExchangeCarrier(Protocol):
    """The connection that carries an exchange."""

    @property
    def exchange(self) -> "Exchange | None":
        """The exchange in progress."""

    def abort(self) -> None:
        """Closes the connection at once, without writing the remaining bytes."""


class Exchange:
    """One request to a backend and its response.

    Attributes:
        headers: Returns the headers; called when the request is written.
        may_send: Whether the request may still be written; called once a new connection is established.
        on_connect: Called once a new connection is established, if the request may still be written; not
            called where a connection is reused.
        on_end: Called once with the result, and with the state of the connection if there was one.
        needs_cooldown: Whether REUSE_COOLDOWN must have passed since the last response on the connection;
            False if the response to this request has no consequences. If it has not passed, this exchange is
            the last on the connection.
        connection: The connection that carries the exchange, once there is one.
        finished: Whether `on_end` was called, or the exchange was aborted.
    """

    __slots__ = (
        "body",
        "connection",
        "finished",
        "headers",
        "may_send",
        "method",
        "needs_cooldown",
        "on_connect",
        "on_end",
        "target",
    )

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: Callable[[], Sequence[Header]],
        body: bytes,
        *,
        may_send: Callable[[], bool],
        on_end: ExchangeCallback,
        on_connect: Callable[[], None] | None = None,
        needs_cooldown: bool = True,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.may_send = may_send
        self.on_end = on_end
        self.on_connect = on_connect
        self.needs_cooldown = needs_cooldown
        self.connection: ExchangeCarrier | None = None
        self.finished = False

    def finish(self, result: ExchangeResult, protocol: BackendConnection | None) -> None:
        """Calls `on_end`, unless the exchange has finished."""
        if not self.finished:
            self.finished = True
            self.on_end(result, protocol)

    def abort(self) -> None:
        """Ends the exchange without calling `on_end`, and closes the connection that carries it."""
        self.finished = True
        if self.connection and self.connection.exchange is self:
            self.connection.abort()
