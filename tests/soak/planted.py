"""Faults planted in the program, one for each clause that the judge of a soak checks."""

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

FAULT_INTERVAL = 10  # requests, one of which gets the fault
EXTRA_TIMEOUT_TICKS = 10_000


def replace_attribute(owner: Any, name: str, value: Any) -> None:
    """Replaces an attribute of a class or module."""
    setattr(owner, name, value)


def send_to_draining_backends() -> None:
    """Treats every backend as ready, regardless of the state that discovery reports."""
    original = BackendRegistry._update_effective_endpoint

    def always_ready(self: BackendRegistry, backend: int) -> Any:
        endpoint = original(self, backend)
        self.records[backend].state = EndpointState.READY
        return replace(endpoint, state=EndpointState.READY)

    replace_attribute(BackendRegistry, "_update_effective_endpoint", always_ready)


def ignore_client_disconnects() -> None:
    """Continues the requests of clients that disconnected."""
    replace_attribute(RequestHandler, "client_disconnected", lambda *_: None)
    replace_attribute(AcceptedConnection, "peer_has_closed", lambda _: False)


def extend_attempt_timeout() -> None:
    """Sends backends a timeout that is a second too long."""
    from crankfold.protocol.backend_connection import attempt_headers as original

    def headers_with_longer_timeout(headers: Any, remaining_ticks: int) -> Any:
        return original(headers, remaining_ticks + EXTRA_TIMEOUT_TICKS)

    replace_attribute(attempts, "attempt_headers", headers_with_longer_timeout)


def treat_every_failure_as_never_executed() -> None:
    """Allows a retry on any backend after every outcome except completion."""
    outcomes = tuple(outcome for outcome in Outcome if outcome is not Outcome.COMPLETED)
    replace_attribute(attempts, "NEVER_EXECUTED", outcomes)
    replace_attribute(router, "NEVER_EXECUTED", outcomes)


def drop_some_responses() -> None:
    """Drops one response of every `FAULT_INTERVAL` results."""
    original = ClientConnection.respond
    request_numbers = count(1)

    def respond_to_most(self: ClientConnection, status: int, *rest: Any) -> None:
        if status == 200 and self.identified and next(request_numbers) % FAULT_INTERVAL == 0:
            return
        original(self, status, *rest)

    replace_attribute(ClientConnection, "respond", respond_to_most)


def close_instead_of_routing() -> None:
    """Closes the connection of one request of every `FAULT_INTERVAL` instead of routing the request."""
    original = ClientConnection._route_request
    request_numbers = count(1)

    def close_some(self: ClientConnection, head: Any, body: bytes) -> None:
        if next(request_numbers) % FAULT_INTERVAL == 0:
            self.awaiting_response = False
            self.closing = True
        else:
            original(self, head, body)

    replace_attribute(ClientConnection, "_route_request", close_some)


def skip_slow_start() -> None:
    """Treats every backend as started long ago."""
    replace_attribute(BackendStarts, "_plausible_age", lambda *_: 1 << 40)


def keep_stalled_clients() -> None:
    """Never times a connection out."""
    replace_attribute(Listener, "_is_timed_out", staticmethod(lambda *_: False))


PLANTS = {
    "drain": send_to_draining_backends,
    "gone": ignore_client_disconnects,
    "time": extend_attempt_timeout,
    "duplicate": treat_every_failure_as_never_executed,
    "lost: no answer": drop_some_responses,
    "lost: closed": close_instead_of_routing,
    "slow start": skip_slow_start,
    "stalled": keep_stalled_clients,
}
