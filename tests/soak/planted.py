"""Faults planted in the program, one for each clause that the judge of a soak looks at."""

from dataclasses import replace
from itertools import count
from typing import Any

from crankfold.network.accepted_connection import AcceptedConnection
from crankfold.network.listener import Listener
from crankfold.protocol.client_connection import ClientConnection
from crankfold.routing import router
from crankfold.routing.interface import EndpointState, Outcome
from crankfold.service.backends.registry import BackendRegistry
from crankfold.service.backends.starts import BackendStarts
from crankfold.service.requests import attempts
from crankfold.service.requests.handler import RequestHandler

EVERY = 10  # requests, of which one is hit
EXTRA_TIMEOUT = 10_000  # ticks


def put(owner: Any, name: str, value: Any) -> None:
    """Replaces an attribute of a class or module."""
    setattr(owner, name, value)


def send_to_draining_backends() -> None:
    """The list's states count for nothing."""
    put_in_force = BackendRegistry._update_effective_endpoint

    def ready(self: BackendRegistry, backend: int) -> Any:
        endpoint = put_in_force(self, backend)
        self.records[backend].state = EndpointState.READY
        return replace(endpoint, state=EndpointState.READY)

    put(BackendRegistry, "_update_effective_endpoint", ready)


def forget_no_client() -> None:
    """Clients that have gone are served on."""
    put(RequestHandler, "client_disconnected", lambda *_: None)
    put(AcceptedConnection, "peer_has_closed", lambda _: False)


def pass_on_more_time() -> None:
    """Backends are told that a client waits a second longer."""
    from crankfold.protocol.backend_connection import attempt_headers as genuine

    def longer(headers: Any, left: int) -> Any:
        return genuine(headers, left + EXTRA_TIMEOUT)

    put(attempts, "attempt_headers", longer)


def take_every_end_for_never_executed() -> None:
    """Whatever ended may be sent again anywhere."""
    outcomes = tuple(outcome for outcome in Outcome if outcome is not Outcome.COMPLETED)
    put(attempts, "NEVER_EXECUTED", outcomes)
    put(router, "NEVER_EXECUTED", outcomes)


def answer_not_all() -> None:
    """One result in so many is not passed on."""
    respond = ClientConnection.respond
    numbers = count(1)

    def seldom(self: ClientConnection, status: int, *rest: Any) -> None:
        if status == 200 and self.identified and next(numbers) % EVERY == 0:
            return
        respond(self, status, *rest)

    put(ClientConnection, "respond", seldom)


def close_after_reading() -> None:
    """One request in so many is read, and its connection closed."""
    route = ClientConnection._route_request
    numbers = count(1)

    def closing(self: ClientConnection, head: Any) -> None:
        if next(numbers) % EVERY == 0:
            self.awaiting_response = False
            self.closing = True
        else:
            route(self, head)

    put(ClientConnection, "_route_request", closing)


def skip_slow_start() -> None:
    """Every start is long ago."""
    put(BackendStarts, "_plausible_age", lambda *_: 1 << 40)


def keep_stalled_clients() -> None:
    """Connections are never timed out."""
    put(Listener, "_is_timed_out", staticmethod(lambda *_: False))


PLANTS = {
    "drain": send_to_draining_backends,
    "gone": forget_no_client,
    "time": pass_on_more_time,
    "duplicate": take_every_end_for_never_executed,
    "lost: no answer": answer_not_all,
    "lost: closed": close_after_reading,
    "slow start": skip_slow_start,
    "stalled": keep_stalled_clients,
}
