"""The decisions as a whole: which backend gets a request, when, and how often.

Make a `Router` from a `RoutingConfig`, a seed and the `RoutingActions`, and tell it what happens by the
calls of `RoutingEvents`; it answers by calling the actions. It reads no clock and no socket: the same events
bring the same actions. Times are ticks of 0.1 ms.
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
from crankfold.routing.outlier_ejection import HangDetection, OutlierEjection
from crankfold.routing.retries import RetryPolicy
from crankfold.routing.selection import Selection
from crankfold.routing.slow_start import SlowStart
from crankfold.routing.state import RoutingState
from crankfold.routing.subsetting import MIN_SHORT_SHARE, Subset


class Router:
    """Passes each event to the parts of the decisions that it concerns; implements `RoutingEvents`."""

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
        self.hangs = HangDetection(state, self.ejection)
        self.retries = RetryPolicy(state)
        self.hedging = HedgingPolicy(state, self.hangs)
        self.affinity = KeyAffinity(state)
        candidates = Candidates(
            state, self.slow_start, self.subset, self.reports, self.ejection, self.affinity
        )
        sender = AttemptSender(state, self.slow_start, self.limit, self.hedging)
        self.selection = Selection(state, self.slow_start, self.retries, candidates, sender)
        self.admission = Admission(
            state, self.slow_start, self.limit, self.retries, self.hedging, self.hangs, self.selection
        )
        self.refreshed_at = -1  # -1 for never
        self.clock_margin = state.clock_margin  # ticks by which timers may be late, both ways
        self.weights_follow_load = state.weights_follow_load
        self.polling.start()

    def config_changed(self, now: int, config: RoutingConfig, new_rows: Collection[int] = ()) -> None:
        """Takes other request classes and bounds; the classes at `new_rows` are other ones than before.

        Requests in hand keep theirs, and what is known of the backends stays.
        """
        self.state.set_config(config, new_rows)
        self.admission.drain_queue(now)

    def endpoints_changed(self, now: int, endpoints: Sequence[Endpoint], snapshot: bool) -> None:
        """Takes a list of endpoints: all there are, or those that have changed."""
        self.polling.succeeded()
        self.membership.update(now, endpoints, snapshot=snapshot)
        self.affinity.endpoints_changed()
        self.subset.endpoints_changed()
        self._refresh(now)
        self.admission.drain_queue(now)

    def discovery_failed(self, now: int) -> None:  # noqa: ARG002 - every event has the time
        """The endpoints that were asked for did not come."""
        self.polling.failed()

    def request_received(self, now: int, arrival: RequestArrival) -> None:
        """Sends, queues or answers a request."""
        self.state.averages.arrivals += 1.0
        self.refresh_if_due(now)
        self.admission.admit(now, arrival)

    def client_disconnected(self, now: int, request_id: int) -> None:  # noqa: ARG002 - every event has the time
        """Nobody waits for the answer any more."""
        if (request := self.state.requests.get(request_id)) and not request.answered:
            self.admission.completion.close(request)

    def request_aborted(self, now: int, request_id: int) -> None:  # noqa: ARG002 - every event has the time
        """The process ends. What never went out is shed, so that the client knows a retry is harmless."""
        if (request := self.state.requests.get(request_id)) and not request.answered:
            self.admission.completion.answer(request)

    def timer_fired(self, now: int, token: int) -> None:
        """A timer that was asked for has run out."""
        if token == POLL_TIMER:
            self.state.actions.poll_endpoints()
        elif token == REFRESH_TIMER:
            self.refresh_if_due(now)
            self.admission.drain_queue_on_timer(now)
        elif (request := self.state.requests.get(token - FIRST_REQUEST_TIMER)) and not request.answered:
            self.admission.review(now, request)

    def attempt_started(self, now: int, request_id: int, attempt_number: int, backend: int) -> None:
        """A backend says that it has begun with an attempt."""
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
        """A backend says that an attempt gets on."""
        self.state.table.backends[backend].last_seen_at = now
        if request := self.state.requests.get(request_id):
            request.attempts[attempt_number].last_seen_at = now

    def attempt_ended(
        self, now: int, request_id: int, attempt_number: int, backend: int, end: AttemptEnd
    ) -> None:
        """Takes the outcome of an attempt, and its report; the request may be tried again."""
        record = self.state.table.backends[backend]
        request = self.state.requests.get(request_id)
        if request and request.attempts[attempt_number].in_flight:
            attempt = request.attempts[attempt_number]
            attempt.in_flight = False
            attempt.may_have_executed = end.outcome not in NEVER_EXECUTED
            self.limit.in_flight -= not attempt.slow_start
            record.add_slots(now, -request.slots)
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
        """A probe has been answered, with a report if there was one, or has failed."""
        record = self.state.table.backends[backend]
        record.probe_in_flight = False
        if healthy:
            record.last_seen_at = now
        if report:
            self.reports.record(now, record, report)
            self.admission.drain_queue(now)

    def backend_weight(self, backend: int) -> float:
        """The size of a backend: its listed weight, without the load where weights follow the load."""
        return self.state.table.backends[backend].weight

    def refresh_if_due(self, now: int) -> None:
        """Refreshes when there is something to decide, not by the clock: an idle instance costs nothing."""
        if now - self.refreshed_at >= REFRESH_INTERVAL_TICKS:
            self._refresh(now)
            if self.reports.probing:
                self.reports.probe(now, self.subset.members, REFRESH_INTERVAL_TICKS)

    def _refresh(self, now: int) -> None:
        """Now and then, off the path of single requests: the figures that age by themselves."""
        state = self.state
        factor = state.averages.decay_arrivals(now - self.refreshed_at if self.refreshed_at >= 0 else 0)
        self.refreshed_at = now
        self.subset.refresh(now)
        served = []
        for known in state.classes:
            known.offered_value *= factor
            known.earned_value *= factor
            served.append(known.earned_value / known.offered_value if known.offered_value else 1.0)
        state.worst_class = min(range(len(served)), key=served.__getitem__, default=0)
        self.reports.refresh(now, self.subset.members)
