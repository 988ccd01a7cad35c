"""The router: passes each event to the rules that decide on it, and refreshes the averages that they use.

A `Router` is created from a `RoutingConfig`, a seed and the `RoutingActions`. Its owner reports events by
calling the methods of `RoutingEvents`, and the router calls the actions. It reads no clock and no socket, so
the same events lead to the same actions. Times are ticks. docs/decisions.md lists the rules.
"""

from collections.abc import Collection, Sequence

from crankfold.routing.admission import REFRESH_INTERVAL_TICKS, Admission
from crankfold.routing.affinity import KeyAffinity
from crankfold.routing.attempt_sender import AttemptSender
from crankfold.routing.candidates import Candidates
from crankfold.routing.concurrency_limit import ConcurrencyLimit
from crankfold.routing.discovery_polling import DiscoveryPolling
from crankfold.routing.hedging import HedgingPolicy
from crankfold.routing.interface import (
    FIRST_REQUEST_TIMER,
    NEVER_EXECUTED,
    POLL_TIMER,
    REFRESH_TIMER,
    AttemptEnd,
    Endpoint,
    Outcome,
    RequestArrival,
    RoutingActions,
    RoutingConfig,
)
from crankfold.routing.load_reports import LoadReports
from crankfold.routing.membership import Membership
from crankfold.routing.outlier_ejection import OutlierEjection, StallDetection
from crankfold.routing.retries import RetryPolicy
from crankfold.routing.selection import Selection
from crankfold.routing.slow_start import SlowStart
from crankfold.routing.state import RoutingState
from crankfold.routing.subsetting import MIN_SHORT_SHARE, Subset

NEVER_REFRESHED = -1  # a tick before every event


class Router:
    """Implements `RoutingEvents` with the rules of the other modules of this package."""

    def __init__(self, config: RoutingConfig, seed: int, actions: RoutingActions) -> None:
        state = RoutingState(config, seed, actions, MIN_SHORT_SHARE)
        self.state = state
        self.slow_start = SlowStart(state)
        self.limit = ConcurrencyLimit(state)
        self.reports = LoadReports(state, self.slow_start)
        self.membership = Membership(state, self.slow_start, self.limit)
        self.polling = DiscoveryPolling(state)
        self.subset = Subset(state, self.slow_start, self.limit)
        self.ejection = OutlierEjection(state)
        self.stalls = StallDetection(state, self.ejection)
        self.retries = RetryPolicy(state)
        self.hedging = HedgingPolicy(state, self.stalls)
        self.affinity = KeyAffinity(state)
        candidates = Candidates(
            state, self.slow_start, self.subset, self.reports, self.ejection, self.affinity
        )
        sender = AttemptSender(state, self.slow_start, self.limit, self.hedging)
        self.selection = Selection(state, self.slow_start, self.retries, candidates, sender)
        self.admission = Admission(
            state, self.slow_start, self.limit, self.retries, self.hedging, self.stalls, self.selection
        )
        self.refreshed_at = NEVER_REFRESHED
        self.clock_margin = state.clock_margin  # ticks by which an event or the decision on it may be late
        self.weights_follow_load = state.weights_follow_load
        self.polling.start()

    def config_changed(self, now: int, config: RoutingConfig, new_rows: Collection[int] = ()) -> None:
        """Applies a changed configuration; the classes at the indices `new_rows` replace unrelated ones.

        Pending requests keep their class and limits, and the records of backends stay.
        """
        self.state.set_config(config, new_rows)
        self.admission.drain_queue(now)

    def endpoints_changed(self, now: int, endpoints: Sequence[Endpoint], snapshot: bool) -> None:
        """Applies a list of endpoints: all endpoints if it is a snapshot, else those that have changed."""
        self.polling.succeeded()
        self.membership.update(now, endpoints, snapshot=snapshot)
        self.affinity.endpoints_changed()
        self.subset.endpoints_changed()
        self._refresh(now)
        self.admission.drain_queue(now)

    def discovery_failed(self, now: int) -> None:  # noqa: ARG002 - every event has the time
        """Schedules the next poll of the endpoint list after a failed one."""
        self.polling.failed()

    def request_received(self, now: int, arrival: RequestArrival) -> None:
        """Sends, queues or answers a request."""
        self.state.averages.arrivals += 1.0
        self.refresh_if_due(now)
        self.admission.admit(now, arrival)

    def client_disconnected(self, now: int, request_id: int) -> None:  # noqa: ARG002 - every event has the time
        """Closes a request without an answer, as its client has disconnected."""
        if (request := self.state.requests.get(request_id)) and not request.answered:
            self.admission.completion.close(request)

    def request_aborted(self, now: int, request_id: int) -> None:  # noqa: ARG002 - every event has the time
        """Answers a request at once because the process ends: shed if a retry is harmless, else failed."""
        if (request := self.state.requests.get(request_id)) and not request.answered:
            self.admission.completion.answer(request)

    def timer_fired(self, now: int, token: int) -> None:
        """Polls the endpoint list, drains the queue or reviews a request, depending on the timer's token."""
        if token == POLL_TIMER:
            self.state.actions.poll_endpoints()
        elif token == REFRESH_TIMER:
            self.refresh_if_due(now)
            self.admission.drain_queue_on_timer(now)
        elif (request := self.state.requests.get(token - FIRST_REQUEST_TIMER)) and not request.answered:
            self.admission.review(now, request)

    def attempt_started(self, now: int, request_id: int, attempt_number: int, backend: int) -> None:
        """Records the start of an attempt, and cancels unstarted ones if the settings permit it."""
        record = self.state.table.backends[backend]
        record.last_seen_at = now
        request = self.state.requests.get(request_id)
        if not request:
            return
        attempt = request.attempts[attempt_number]
        if attempt.started_at >= 0 or not attempt.in_flight:
            return
        attempt.started_at = now
        attempt.last_seen_at = now
        if not attempt.slow_start:
            self.limit.sample_wait(now, attempt.sent_at, now - attempt.sent_at)
        record.unstarted -= 1
        if not request.answered:
            self.state.cancel_attempts(request, unstarted_only=True)

    def attempt_progressed(self, now: int, request_id: int, attempt_number: int, backend: int) -> None:
        """Records that a backend has notified progress of an attempt."""
        self.state.table.backends[backend].last_seen_at = now
        if request := self.state.requests.get(request_id):
            request.attempts[attempt_number].last_seen_at = now

    def attempt_ended(
        self, now: int, request_id: int, attempt_number: int, backend: int, end: AttemptEnd
    ) -> None:
        """Records the outcome and the load report of an attempt; may retry the request."""
        record = self.state.table.backends[backend]
        request = self.state.requests.get(request_id)
        if request and request.attempts[attempt_number].in_flight:
            attempt = request.attempts[attempt_number]
            attempt.in_flight = False
            attempt.may_have_executed = end.outcome not in NEVER_EXECUTED
            self.limit.in_flight -= not attempt.slow_start
            record.attempt_ended(now, request.slots)
            if attempt.started_at < 0 and self.state.start_notifications:
                record.unstarted -= 1
            self.ejection.record_outcome(now, record, end.outcome)
            if end.outcome == Outcome.COMPLETED:
                self.state.record_completion(now, request, attempt)
        if end.report:
            self.reports.record(now, record, end.report)
        if request:
            self.admission.attempt_ended(now, request, request_over=end.request_over)
        self.admission.drain_queue(now)

    def probe_ended(self, now: int, backend: int, healthy: bool, report: Sequence[float]) -> None:
        """Records the result of a health check, with a load report if the backend sent one."""
        record = self.state.table.backends[backend]
        record.probe_in_flight = False
        if healthy:
            record.last_seen_at = now
        if report:
            self.reports.record(now, record, report)
            self.admission.drain_queue(now)

    def backend_weight(self, backend: int) -> float:
        """Returns the size of a backend: its listed weight, less the load if weights follow the load."""
        return self.state.table.backends[backend].weight

    def refresh_if_due(self, now: int) -> None:
        """Refreshes averages, subset and scores if an interval has passed; called only on events."""
        if now - self.refreshed_at >= REFRESH_INTERVAL_TICKS:
            self._refresh(now)
            if self.reports.probing:
                self.reports.probe(now, self.subset.members, REFRESH_INTERVAL_TICKS)

    def _refresh(self, now: int) -> None:
        """Updates the figures that depend on time, which would be too slow for each request."""
        state = self.state
        decay = state.averages.decay_arrivals(
            now - self.refreshed_at if self.refreshed_at != NEVER_REFRESHED else 0
        )
        self.refreshed_at = now
        self.subset.refresh(now)
        earned_ratios = []
        for record in state.classes:
            record.offered_value *= decay
            record.earned_value *= decay
            earned_ratios.append(record.earned_value / record.offered_value if record.offered_value else 1.0)
        state.worst_class = min(range(len(earned_ratios)), key=earned_ratios.__getitem__, default=0)
        self.reports.refresh(now, self.subset.members)
