"""Retries and hedging: whether and where a request may be attempted again, and when a hedge is due."""

from crankfold.routing.interface import SECOND, DeduplicationScope, Idempotency
from crankfold.routing.outlier_ejection import OutlierEjection
from crankfold.routing.records import ANYWHERE, Attempt, AttemptScope, PendingRequest
from crankfold.routing.state import RoutingState

HEDGE_SHARE = 0.3  # of the work sent that may be sent once more
MAX_HEDGE_BUDGET = 5.0  # mean runs that the hedge budget saves up
MIN_HEDGE_DELAY = 400  # ticks
MAX_FIRST_HEDGE_DELAY = SECOND // 2  # ticks
SILENCE = SECOND  # ticks without any sign of life after which a backend is taken to hang


class RetryPolicy:
    """Knows which further attempts are safe, and hedges attempts that do not start or stand still."""

    def __init__(self, state: RoutingState, ejection: OutlierEjection) -> None:
        self.state = state
        self.ejection = ejection
        self.hedge_budget = 0.0  # ticks of work
        # Ticks without progress after which a started request stands still; 0 where progress is not told.
        self.max_progress_gap = 5 * state.config.progress_interval // 2

    def permitted_scope(self, now: int, request: PendingRequest) -> AttemptScope | None:
        """Where another attempt may go; None where none is allowed."""
        if len(request.attempts) >= min(request.max_attempts, self.state.config.max_attempts):
            return None
        settings = request.request_class.settings
        scope = ANYWHERE
        for attempt in request.attempts:
            if not attempt.may_have_executed or settings.idempotency == Idempotency.IDEMPOTENT:
                continue
            # A second run without a key, or with one where it is not known any more.
            forgotten = now + self.state.clock_margin >= attempt.sent_at + settings.deduplication_window
            if settings.idempotency == Idempotency.NON_IDEMPOTENT or forgotten:
                return None
            if settings.deduplication_scope == DeduplicationScope.ZONE:
                scope = AttemptScope(zone=attempt.backend.zone)
            elif settings.deduplication_scope == DeduplicationScope.CELL:
                scope = AttemptScope(cell=attempt.backend.cell)
        return scope

    def record_send(self, now: int, request: PendingRequest, burden: float) -> None:
        """Earns hedge budget with `burden` ticks of work sent, and sets when to look at the attempt."""
        averages = self.state.averages
        earned = HEDGE_SHARE * self.state.config.hedging_allowed * burden
        self.hedge_budget = min(self.hedge_budget + earned, MAX_HEDGE_BUDGET * averages.mean_run)
        if self.state.sparse:
            spare = request.objective_at - now - request.expected_work
            request.hedge_delay = max(int(spare / 3), MIN_HEDGE_DELAY)
        else:
            half = request.request_class.settings.latency_objective // 2
            first = min(max(half, MIN_HEDGE_DELAY), MAX_FIRST_HEDGE_DELAY)
            request.hedge_delay = max(request.hedge_delay * 2, first, int(4 * averages.mean_wait))
        self.state.set_request_timer(now, request, now + request.hedge_delay)

    def hedge_due(self, now: int, request: PendingRequest) -> bool:
        """Whether the one attempt in flight hangs and a second is worth it; ejects backends that hang."""
        hanging = True
        for attempt in request.attempts:
            if attempt.in_flight and not self._hangs(now, attempt):
                hanging = False
        in_time = now + request.expected_work / 2 <= request.objective_at
        useful = in_time or request.request_class.settings.late_value != 0
        single = sum(attempt.in_flight for attempt in request.attempts) < 2
        return hanging and single and useful and self.hedge_budget > 0

    def charge_hedge(self, request: PendingRequest) -> None:
        """Takes a hedge that was sent from the budget."""
        self.hedge_budget -= request.slots * request.expected_work

    def reschedule(self, now: int, request: PendingRequest) -> None:
        """Sets when to look at the attempts the next time."""
        request.hedge_delay = max(request.hedge_delay, self.max_progress_gap)
        self.state.set_request_timer(now, request, now + request.hedge_delay)

    def _hangs(self, now: int, attempt: Attempt) -> bool:
        backend = attempt.backend
        if attempt.started_at < 0:
            # Only a while without news is silence: hedges for the mere wait took slots from other requests.
            wait = now - attempt.sent_at
            hanging = backend.last_seen_at <= attempt.sent_at and 2 * wait > SILENCE * (1 + self.state.sparse)
            # It takes work and answers nothing:
            unseen = backend.last_seen_at < attempt.sent_at and wait > SILENCE
            mute = self.state.start_notifications and unseen
        else:
            gap = now - attempt.last_seen_at
            hanging = mute = bool(self.max_progress_gap) and gap > self.max_progress_gap
        if mute and not backend.ejection_time:
            self.ejection.eject(now, backend)
        return hanging
