"""Attempts: sends requests to backends, cancels them, and tells the decisions how each one ends."""

import asyncio
from collections.abc import Callable, Sequence
from functools import partial
from typing import Protocol
from urllib.parse import quote

from crankfold.network.exchange import Exchange, ExchangeResult
from crankfold.network.metrics import Metrics
from crankfold.network.timers import Clock
from crankfold.protocol.backend_connection import (
    Acceptance,
    BackendConnection,
    attempt_headers,
    classify_response,
)
from crankfold.protocol.load_reports import report_from_header
from crankfold.routing.interface import NEVER_EXECUTED, AttemptEnd, EndpointState, Idempotency, Outcome
from crankfold.routing.router import Router
from crankfold.service.backends.load_report_store import LoadReportStore
from crankfold.service.backends.registry import BackendRegistry
from crankfold.service.requests.collaborators import ClusterServices, RecordedEvent
from crankfold.service.requests.table import Attempt, Disposition, Request, RequestTable

_OUTCOMES_WITHOUT_RESPONSE = {
    ExchangeResult.NOT_SENT: Outcome.NOT_SENT,
    ExchangeResult.UNREACHABLE: Outcome.UNREACHABLE,
    ExchangeResult.STALE_CONNECTION: Outcome.STALE_CONNECTION,
    ExchangeResult.BROKEN: Outcome.RESET,
}


# Ticks by which a process may be held up between reading its clock and writing, and so miss a window.
HOLD_UP_ALLOWANCE = 1500


class RequestOwner(Protocol):
    """Who answers requests and holds the router, as attempts and callbacks need it."""

    @property
    def routing(self) -> Router:
        """The decisions."""

    def notify_routing(
        self, event: Callable[..., None], *arguments: object, request_number: int = -1
    ) -> None:
        """Tells the router an event, with the present time before the arguments."""

    def respond(self, request: Request, disposition: Disposition, body: bytes = b"") -> None:
        """Answers an open request."""


class Attempts:
    """Carries out what routing decides about attempts.

    Args:
        owner: Answers requests and tells routing.
        request_table: Holds the requests that the attempts belong to.
        backends: Carries the attempts.
        load_reports: Keeps the load reports that come with responses and callbacks.
        cluster: Allows attempts, and is told of those that were abandoned.
        clock: The present time.
        metrics: Counts attempts and their ends.
        cancellation_allowed: Whether backends can be told to stop executing a request.
    """

    def __init__(
        self,
        owner: RequestOwner,
        request_table: RequestTable,
        backends: BackendRegistry,
        load_reports: LoadReportStore,
        *,
        cluster: ClusterServices,
        clock: Clock,
        metrics: Metrics,
        cancellation_allowed: bool,
    ) -> None:
        self.owner = owner
        self.request_table = request_table
        self.backends = backends
        self.load_reports = load_reports
        self.cluster = cluster
        self.clock = clock
        self.metrics = metrics
        self.cancellation_allowed = cancellation_allowed
        self.call_soon = asyncio.get_running_loop().call_soon

    # --- sending ---

    def send(self, request: Request, backend: int) -> None:
        """Begins an attempt."""
        attempt = Attempt(len(request.attempts), backend, self.clock.now())
        occupied = self._may_confuse(request, backend)
        request.attempts.append(attempt)
        self.metrics.increment("attempts")
        if occupied or not self._may_send(request, attempt):
            # In the next turn, as routing is in the middle of its decision.
            self.call_soon(self._on_exchange_ended, request, attempt, ExchangeResult.NOT_SENT, None)
            return
        http = request.http_request
        attempt.exchange = Exchange(
            http.method,
            http.target,
            lambda: attempt_headers(http.headers, request.deadline - self.clock.now()),
            http.body,
            may_send=partial(self._may_send, request, attempt),
            on_end=partial(self._on_exchange_ended, request, attempt),
        )
        self.backends.records[backend].pool.send(attempt.exchange)

    def _may_confuse(self, request: Request, backend: int) -> bool:
        """Whether what the backend tells of a new attempt could be meant for an earlier one.

        A backend gets one attempt of a request at a time, also where it did not heed a cancellation. It may
        tell an end twice, and "never executed" of a first attempt would pass for that of a second.
        """
        never_twice = self.request_table.class_of(request).idempotency != Idempotency.IDEMPOTENT
        return any(
            earlier.backend == backend
            and (earlier.in_flight or earlier.may_still_run or (never_twice and earlier.was_sent()))
            for earlier in request.attempts
        )

    def _may_send(self, request: Request, attempt: Attempt) -> bool:
        """Asked again once a connection is up: the request may have ended or the backend begun to drain."""
        allowed = (
            request.is_open
            # Its end may stand behind bytes that are not read yet, of a client that floods.
            and not request.client.peer_has_closed()
            and attempt.in_flight
            and self.backends.records[attempt.backend].state == EndpointState.READY
            and self.clock.now() < request.deadline
            and self.cluster.has_valid_config()
            and self._within_deduplication_window(request, attempt)
        )
        if allowed:
            backend_id = self.backends.backend_ids.names[attempt.backend]
            self.cluster.record_event(RecordedEvent.ATTEMPT_SENT, request.request_id, backend_id)
        return allowed

    def _within_deduplication_window(self, request: Request, attempt: Attempt) -> bool:
        """Whether backends still drop a repeat of all attempts that may have been executed."""
        request_class = self.request_table.class_of(request)
        if request_class.idempotency != Idempotency.IDEMPOTENT_WITH_KEY:
            return True
        latest = self.clock.now() + HOLD_UP_ALLOWANCE
        return all(
            earlier is attempt
            or not earlier.may_have_run
            or latest < earlier.created_at + request_class.deduplication_window
            for earlier in request.attempts
        )

    # --- responses ---

    def _on_exchange_ended(
        self, request: Request, attempt: Attempt, result: ExchangeResult, response: BackendConnection | None
    ) -> None:
        """The backend has accepted the request, or the attempt has ended."""
        if result is not ExchangeResult.ANSWERED or response is None:
            self.end(request, attempt, _OUTCOMES_WITHOUT_RESPONSE.get(result, Outcome.RESET))
            return
        outcome = classify_response(response.status, response.not_processed)
        if outcome is Acceptance.ACCEPTED:
            attempt.accepted = True
        elif outcome is Acceptance.REJECTED:
            # It is the client's answer, as a result would be. With retries, one such request had five
            # backends ejected.
            if request.is_open:
                self.owner.respond(request, Disposition.REJECTED)
            self.end(request, attempt, Outcome.CANCELLED)
        else:
            report = report_from_header(response.load_header, self.backends.config.report_fields)
            self.end(request, attempt, Outcome(outcome), report)

    # --- cancelling ---

    def cancel(self, request: Request, attempt: Attempt) -> None:
        """Nobody waits for it any more. Its end is told in the next turn of the loop."""
        if attempt.in_flight:
            self.metrics.increment("attempts-cancelled")
            self._withdraw(request, attempt)
            self.call_soon(self.end, request, attempt, Outcome.CANCELLED)

    def time_out(self, request: Request, attempt: Attempt) -> None:
        """Its end is waited for no longer."""
        if attempt.in_flight:
            self._withdraw(request, attempt)
            self.end(request, attempt, Outcome.TIMED_OUT)

    def _withdraw(self, request: Request, attempt: Attempt) -> None:
        """Closes the connection of an attempt that was not accepted yet; after that the backend is told."""
        if attempt.exchange is None:
            return
        attempt.may_still_run = attempt.exchange.connection is not None
        if attempt.may_still_run:
            backend_id = self.backends.backend_ids.names[attempt.backend]
            self.cluster.attempt_abandoned(backend_id, request.request_id)
        if not attempt.accepted:
            attempt.exchange.abort()
        elif self.cancellation_allowed:
            target = b"/jobs/" + quote(request.request_id, safe="").encode()
            self.backends.send_control_request(attempt.backend, b"DELETE", target, _ignore_response)

    # --- the end ---

    def end(self, request: Request, attempt: Attempt, outcome: Outcome, report: Sequence[float] = ()) -> None:
        """Tells routing that an attempt has ended, unless that was told before."""
        if not attempt.in_flight:
            return
        attempt.in_flight = False
        attempt.may_have_run = outcome not in NEVER_EXECUTED
        if attempt.exchange:
            self.backends.abandon_exchange(attempt.exchange)
        self.load_reports.store(attempt.backend, report)
        self.metrics.increment("attempts-ended-" + outcome.name.lower().replace("_", "-"))
        self.cluster.attempt_finished(attempt.backend, outcome)
        self.owner.notify_routing(
            self.owner.routing.attempt_ended,
            request.number,
            attempt.number,
            attempt.backend,
            AttemptEnd(outcome, not request.is_open, report),
            request_number=request.number,
        )
        self.request_table.discard(request)


def _ignore_response(result: ExchangeResult, response: BackendConnection | None) -> None:
    """Whether a cancellation arrived changes nothing: the attempt has ended for its client."""
