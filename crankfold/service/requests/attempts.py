"""Attempts: sends requests to backends, cancels attempts, and reports to the router how each one ends."""

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
    confirms_cancellation,
)
from crankfold.protocol.load_reports import report_from_header
from crankfold.routing.interface import NEVER_EXECUTED, AttemptEnd, EndpointState, Idempotency, Outcome
from crankfold.routing.retries import within_deduplication_window
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


# A stall of the process may delay the write by this much after the check of the deduplication window. The
# router checks with a smaller margin, as it does not write (`RoutingState.clock_margin`).
STALL_ALLOWANCE_TICKS = 1500


class RequestOwner(Protocol):
    """The methods of the request handler that attempts and callbacks use."""

    @property
    def routing(self) -> Router:
        """The router."""

    def notify_routing(
        self, event: Callable[..., None], *arguments: object, request_number: int = -1
    ) -> None:
        """Calls a method of the router with the current time and the arguments."""

    def respond(self, request: Request, disposition: Disposition, body: bytes = b"") -> None:
        """Sends the final response of an open request."""


class Attempts:
    """Sends and cancels attempts as the router decides, and reports their outcomes to it.

    Args:
        owner: Sends responses and passes events to the router.
        request_table: Holds the requests that the attempts belong to.
        backends: Holds the connections to the backends.
        load_reports: Stores the load reports in responses and callbacks.
        cluster: Permits attempts while its configuration is valid; records abandoned attempts.
        clock: Gives the current time.
        metrics: Counts attempts and their outcomes.
        cancellation_allowed: Whether backends accept the cancellation of a request.
        hedging_allowed: Whether a request may have several attempts in flight.
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
        hedging_allowed: bool,
    ) -> None:
        self.owner = owner
        self.request_table = request_table
        self.backends = backends
        self.load_reports = load_reports
        self.cluster = cluster
        self.clock = clock
        self.metrics = metrics
        self.cancellation_allowed = cancellation_allowed
        self.hedging_allowed = hedging_allowed
        self.call_soon = asyncio.get_running_loop().call_soon
        self._unanswered_cancellations: set[tuple[str, int]] = set()  # request ids and backends

    # --- sending ---

    def send(self, request: Request, backend: int) -> None:
        """Starts an attempt at the backend with that index.

        An attempt that may not be sent ends with the outcome NOT_SENT.
        """
        attempt = Attempt(len(request.attempts), backend, self.clock.now())
        excluded = self._is_excluded(request, backend)
        request.attempts.append(attempt)
        self.metrics.increment("attempts")
        if excluded or not self._may_send(request, attempt):
            # Deferred, as the router that calls this method has not completed its decision yet.
            self.call_soon(self._on_exchange_ended, request, attempt, ExchangeResult.NOT_SENT, None)
            return
        self._record_sending(request, attempt)
        http = request.http_request
        headers = http.headers  # the exchange may last after the body was sent
        attempt.exchange = Exchange(
            http.method,
            http.target,
            lambda: attempt_headers(headers, request.deadline - self.clock.now()),
            http.body,
            may_send=partial(self._may_send, request, attempt),
            on_connect=partial(self._record_sending, request, attempt),
            on_end=partial(self._on_exchange_ended, request, attempt),
        )
        self.backends.records[backend].pool.send(attempt.exchange)

    def _is_excluded(self, request: Request, backend: int) -> bool:
        """Whether an earlier attempt keeps the request from that backend.

        Callbacks and cancellations name the request, not the attempt, so a backend has at most one attempt of
        a request at a time; an attempt counts until the backend has confirmed its cancellation. Backends may
        repeat callbacks, and a repeated "never executed" of the first attempt must not be taken for the
        outcome of a second one, so a backend receives a request that is not idempotent only once. The router
        usually avoids such backends (`prefer_unattempted`); this check rules them out.
        """
        if (request.request_id, backend) in self._unanswered_cancellations:
            return True  # it could cancel the new attempt
        at_most_once = self.request_table.class_of(request).idempotency != Idempotency.IDEMPOTENT
        return any(
            earlier.backend == backend
            and (
                earlier.in_flight
                or earlier.may_still_run
                or (at_most_once and earlier.was_assigned_connection())
            )
            for earlier in request.attempts
        )

    def _may_send(self, request: Request, attempt: Attempt) -> bool:
        """Whether the attempt may be written to its connection.

        Checked before a connection is requested and again once it is established: in between the request may
        have ended, or the backend may have started to drain.
        """
        return (
            request.client is not None
            # The client may have closed the connection behind pipelined data that is still unread.
            and not request.client.peer_has_closed()
            and attempt.in_flight
            and self.backends.records[attempt.backend].state == EndpointState.READY
            and self.clock.now() < request.deadline
            and self.cluster.authorize_action()
            and self._within_deduplication_window(request, attempt)
        )

    def _record_sending(self, request: Request, attempt: Attempt) -> None:
        """Writes an attempt to the event log.

        Called after each check that permits the attempt. An attempt that needs a new connection is checked,
        and written, twice; its first line does not prove that it was sent.
        """
        backend_id = self.backends.backend_ids.names[attempt.backend]
        self.cluster.record_event(RecordedEvent.ATTEMPT_SENT, request.request_id, backend_id)

    def _within_deduplication_window(self, request: Request, attempt: Attempt) -> bool:
        """Whether backends still remember the keys of all attempts that may have been executed."""
        request_class = self.request_table.class_of(request)
        if request_class.idempotency != Idempotency.IDEMPOTENT_WITH_KEY:
            return True
        now = self.clock.now()
        window = request_class.deduplication_window
        return all(
            other is attempt
            or not other.may_have_run
            or within_deduplication_window(now, other.created_at, window, STALL_ALLOWANCE_TICKS)
            for other in request.attempts
        )

    # --- responses ---

    def _on_exchange_ended(
        self, request: Request, attempt: Attempt, result: ExchangeResult, response: BackendConnection | None
    ) -> None:
        """Handles the end of an exchange, and with it of the attempt, unless the backend has accepted it."""
        if result is not ExchangeResult.ANSWERED or response is None:
            self.end(request, attempt, _OUTCOMES_WITHOUT_RESPONSE.get(result, Outcome.RESET))
            return
        outcome = classify_response(response.status, response.not_processed)
        attempt.refused = outcome in (Acceptance.REJECTED, Outcome.OVERLOADED)
        if outcome is Acceptance.ACCEPTED:
            attempt.accepted = True
        elif outcome is Acceptance.REJECTED:
            # A 4xx response is final, as every backend would reject a retry as well. It does not indicate a
            # fault of the backend, so the outcome for the router is not an error.
            if request.is_open:
                self.owner.respond(request, Disposition.REJECTED)
            self.end(request, attempt, Outcome.CANCELLED)
        else:
            report = report_from_header(response.load_header, self.backends.config.report_fields)
            self.end(request, attempt, Outcome(outcome), report)

    # --- cancelling ---

    def cancel(self, request: Request, attempt: Attempt) -> None:
        """Cancels an attempt; the router gets the outcome in the next iteration of the event loop."""
        if attempt.in_flight:
            self.metrics.increment("attempts-cancelled")
            self._cancel_at_backend(request, attempt)
            self.call_soon(self.end, request, attempt, Outcome.CANCELLED)

    def time_out(self, request: Request, attempt: Attempt) -> None:
        """Ends the attempt as timed out and cancels it at the backend."""
        if attempt.in_flight:
            self._cancel_at_backend(request, attempt)
            self.end(request, attempt, Outcome.TIMED_OUT)

    def _cancel_at_backend(self, request: Request, attempt: Attempt) -> None:
        """Sends a DELETE if the backend has accepted the attempt, else closes the connection.

        The backend may still execute the attempt.
        """
        if attempt.exchange is None or attempt.cancelling:
            return
        self._abandon(request, attempt)
        if not attempt.accepted:
            attempt.exchange.abort()
        elif self.cancellation_allowed:
            self._send_cancellation(request, attempt, on_answer=lambda: None)

    def _abandon(self, request: Request, attempt: Attempt) -> None:
        """Records that the outcome of an attempt is not waited for, although the backend may execute it."""
        attempt.may_still_run = attempt.was_assigned_connection()
        if attempt.may_still_run:
            backend_id = self.backends.backend_ids.names[attempt.backend]
            self.cluster.attempt_abandoned(backend_id, request.request_id)

    def _send_cancellation(self, request: Request, attempt: Attempt, on_answer: Callable[[], None]) -> None:
        """Sends a DELETE; `on_answer` is called once it is answered or has failed."""
        key = (request.request_id, attempt.backend)
        self._unanswered_cancellations.add(key)

        def on_end(result: ExchangeResult, response: BackendConnection | None) -> None:
            self._unanswered_cancellations.discard(key)
            if result is ExchangeResult.ANSWERED and response and confirms_cancellation(response.status):
                attempt.may_still_run = False
            on_answer()

        target = b"/jobs/" + quote(request.request_id, safe="").encode()
        self.backends.send_control_request(attempt.backend, b"DELETE", target, on_end)

    # --- callbacks of an uncertain origin ---

    def end_if_cancelled(
        self, request: Request, attempt: Attempt, outcome: Outcome, report: Sequence[float]
    ) -> None:
        """Ends an attempt whose reported end may be that of an earlier attempt at the same backend.

        As the attempt may still run, it is cancelled first and ends once the backend has answered. Where
        backends accept no cancellation, it ends if another attempt may run beside it, else the report is
        ignored. The report proves nothing about this attempt, so it counts as one that may have run.

        Args:
            request: The request.
            attempt: The attempt in flight.
            outcome: The reported outcome, other than COMPLETED.
            report: The load report of the backend, empty if there is none.
        """
        if attempt.cancelling:
            return
        if self.request_table.class_of(request).idempotency != Idempotency.IDEMPOTENT:
            outcome = Outcome.CANCELLED  # the router must not conclude that it has never run
        if self.cancellation_allowed:
            self.metrics.increment("attempts-cancelled")
            self._abandon(request, attempt)
            attempt.cancelling = True
            if attempt.exchange and not attempt.accepted:
                attempt.exchange.abort()
            end = partial(self.end, request, attempt, outcome, report, certain=False)
            self._send_cancellation(request, attempt, on_answer=end)
        elif self.hedging_allowed:
            self._abandon(request, attempt)
            self.end(request, attempt, outcome, report, certain=False)

    def end_completed(self, request: Request, attempt: Attempt, report: Sequence[float]) -> None:
        """Ends an attempt whose request is completed by a result that may be that of an earlier attempt."""
        if attempt.in_flight:
            self._cancel_at_backend(request, attempt)
            self.end(request, attempt, Outcome.COMPLETED, report)

    # --- outcomes ---

    def end(
        self,
        request: Request,
        attempt: Attempt,
        outcome: Outcome,
        report: Sequence[float] = (),
        *,
        certain: bool = True,
    ) -> None:
        """Ends an attempt and reports the outcome to the router, unless it has ended already.

        Args:
            request: The request.
            attempt: The attempt.
            outcome: How it ended.
            report: The load report of the backend, empty if there is none.
            certain: Whether the outcome is that of this attempt, and not of an earlier one.
        """
        if not attempt.in_flight:
            return
        attempt.in_flight = False
        attempt.may_have_run = not certain or outcome not in NEVER_EXECUTED
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
        self.request_table.discard_if_over(request)
