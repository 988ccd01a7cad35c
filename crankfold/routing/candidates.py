"""Candidates: the steps that narrow the ready backends down to those that are scored for a request.

The steps apply in this order. The third column says what happens if a step leaves no backend.

| step | keeps | if none is left |
| --- | --- | --- |
| `initial_pool` | all ready backends for a key, else the subset | - |
| (attempt scope) | instead, the zone or cell that earlier attempts restrict the request to | no candidate |
| `not_in_backoff` | backends that have not recently refused work or been unreachable | no candidate |
| `within_slow_start_budget` | warm backends, and warming ones whose budget covers the work | no candidate |
| `OutlierEjection.trusted` | backends that are not ejected | see its docstring |
| `not_overutilized` | backends of low utilization, if listed weights follow the load | the step is skipped |
| `prefer_unattempted` | backends without an earlier attempt | all, unless an attempt is in flight |
| (whole fleet) | if the subset leaves none: all ready backends, by the steps above | no candidate |
| `finishing_in_time` | warm backends, and warming ones that are fast enough | the step is skipped |
| `with_capacity` | backends with free slots | `with_bounded_wait`; for a hedge, no candidate |
| `warming_in_time` | at the concurrency limit: only warming backends that are fast enough | no candidate |
| `warming_first` | warming backends, if work is hinted and running times are known | the step is skipped |
| `same_zone` | backends in the zone of this instance | the step is skipped |
| `KeyAffinity.preferred` | for a key: its preferred backends in all zones | the result of `same_zone` |
"""

from crankfold.routing.affinity import KeyAffinity
from crankfold.routing.backend_table import Backends
from crankfold.routing.load_reports import LoadReports
from crankfold.routing.outlier_ejection import OutlierEjection
from crankfold.routing.records import AttemptScope, PendingRequest
from crankfold.routing.slow_start import SlowStart
from crankfold.routing.state import RoutingState
from crankfold.routing.subsetting import Subset

# The load may exceed the capacity by this, as a small estimated load of others must not hide free slots.
SPARE_SLOTS = 0.25
MAX_LOAD_RATIO = 1.3  # load over slots; above it a request would be late, so it is queued here instead
MAX_UTILIZATION = 2.0  # requests per core, derived from listed weights


def prefer(preferred: Backends, *, otherwise: Backends) -> Backends:
    """Returns the preferred backends, or `otherwise` if there are none."""
    return preferred or otherwise


def not_in_backoff(now: int, pool: Backends) -> Backends:
    """Returns the backends that have not recently refused a request or been unreachable."""
    return [b for b in pool if b.backoff_until <= now]


def not_overutilized(pool: Backends) -> Backends:
    """Returns the backends with fewer than `MAX_UTILIZATION` requests per core, or all if there are none."""
    return prefer([b for b in pool if b.utilization < MAX_UTILIZATION], otherwise=pool)


def prefer_unattempted(request: PendingRequest, pool: Backends) -> Backends:
    """Returns the backends without an earlier attempt of the request.

    For a retry this is a preference: if every backend has had an attempt, the retry may go to any of them.
    A hedge goes to another backend or is not sent. `Attempts._is_excluded` of the service
    decides whether a backend may get a second attempt of the same request at all.
    """
    if not request.attempts:
        return pool
    attempted = [attempt.backend for attempt in request.attempts]
    return prefer([b for b in pool if b not in attempted], otherwise=[] if request.in_flight else pool)


def with_capacity(request: PendingRequest, pool: Backends) -> Backends:
    """Returns the backends that have free slots for the request and have started all their attempts."""
    slots = request.slots
    return [b for b in pool if b.load + slots <= b.capacity + SPARE_SLOTS and not b.unstarted]


def with_bounded_wait(request: PendingRequest, pool: Backends) -> Backends:
    """Returns the backends with load up to `MAX_LOAD_RATIO` times their slots, or with unknown slots.

    At a higher load the request would be late; while it is queued here, it can still go to another backend.
    """
    slots = request.slots
    return [b for b in pool if not b.capacity or b.load + slots <= MAX_LOAD_RATIO * b.capacity + slots]


def warming_first(now: int, pool: Backends) -> Backends:
    """Returns the backends in slow start, whose budget expires if it is not used; all if there are none."""
    return prefer([b for b in pool if b.warm_from > now], otherwise=pool)


def same_zone(zone: int, pool: Backends) -> Backends:
    """Returns the backends in the zone, or all if there are none."""
    return prefer([b for b in pool if b.zone == zone], otherwise=pool)


class Candidates:
    """Applies the steps listed in the docstring of this module."""

    def __init__(
        self,
        state: RoutingState,
        slow_start: SlowStart,
        subset: Subset,
        reports: LoadReports,
        ejection: OutlierEjection,
        affinity: KeyAffinity,
    ) -> None:
        self._state = state
        self._slow_start = slow_start
        self._subset = subset
        self._reports = reports
        self._ejection = ejection
        self._affinity = affinity

    def eligible(
        self, now: int, request: PendingRequest, scope: AttemptScope, work: float, *, warming_only: bool
    ) -> Backends:
        """Returns the backends to be scored for the request; none if no attempt can be sent now.

        Side effects: draws first send times (`SlowStart.draw_first_send_times`), and updates the scores of
        candidates outside the subset, which the periodic refresh does not cover.

        Args:
            now: Ticks.
            request: The request to be sent.
            scope: The backends that earlier attempts allow another attempt to be sent to.
            work: Slot-ticks that an attempt is charged for.
            warming_only: Whether the concurrency limit leaves only backends in slow start.
        """
        pool = self._available_in_scope(now, request, scope, work)
        can_estimate_run = bool(request.work and self._state.averages.run_per_work)
        if can_estimate_run:
            pool = self.finishing_in_time(now, request, pool)
        free = with_capacity(request, pool)
        if warming_only:
            free = self.warming_in_time(now, request, free)
            pool = free
        if free:
            nearest = same_zone(self._state.zone, warming_first(now, free) if can_estimate_run else free)
        elif request.in_flight:
            return []  # a hedge that has to wait is useless
        else:
            pool = with_bounded_wait(request, pool)
            nearest = pool
        if request.key and pool:
            return prefer(self._affinity.preferred(request, pool), otherwise=nearest)
        return nearest

    def _available_in_scope(
        self, now: int, request: PendingRequest, scope: AttemptScope, work: float
    ) -> Backends:
        """Returns the backends that may take the request, regardless of their free slots.

        Updates the scores of the backends outside the subset if they are considered.
        """
        initial = self.initial_pool(request)
        pool = self._in_scope(scope, initial)
        available = self._available(now, request, pool, work)
        if not available and pool is initial and self._state.uses_subset:
            pool = self._state.table.ready
            available = self._available(now, request, pool, work)
        if pool is not initial:
            self._reports.update_scores(now, pool)
        return available

    def initial_pool(self, request: PendingRequest) -> Backends:
        """Returns all ready backends for a request with a key, else the subset for short or long ones."""
        if request.key:
            return self._state.table.ready
        is_short = self._state.averages.is_short(request.expected_work)
        return self._subset.short if is_short else self._subset.long

    def _in_scope(self, scope: AttemptScope, initial: Backends) -> Backends:
        """Returns the ready backends of the scope's zone or cell, or `initial` if the scope is any."""
        if scope.zone >= 0:
            return [b for b in self._state.table.ready if b.zone == scope.zone]
        if scope.cell >= 0:
            return [b for b in self._state.table.ready if b.endpoint.cell == scope.cell]
        return initial

    def _available(self, now: int, request: PendingRequest, pool: Backends, work: float) -> Backends:
        pool = not_in_backoff(now, pool)
        self._slow_start.draw_first_send_times(now, pool, work)
        pool = self.within_slow_start_budget(now, pool, work)
        pool = self._ejection.trusted(now, pool)
        if self._state.weights_follow_load and (self._state.uses_subset or request.key):
            pool = not_overutilized(pool)
        return prefer_unattempted(request, pool)

    def within_slow_start_budget(self, now: int, pool: Backends, work: float) -> Backends:
        """Returns the warm backends, and warming ones whose budget has saved up `work` slot-ticks."""
        if now >= self._slow_start.all_warm_from:
            return pool
        admits = self._slow_start.admits
        return [b for b in pool if b.warm_from <= now or admits(now, b, work)]

    def finishing_in_time(self, now: int, request: PendingRequest, pool: Backends) -> Backends:
        """Returns the warm backends, and warming ones that would meet the request's latency objective."""
        if now >= self._slow_start.all_warm_from:
            return pool
        ends_in_time = self._slow_start.ends_in_time
        in_time = [b for b in pool if b.warm_from <= now or ends_in_time(now, request, b)]
        return prefer(in_time, otherwise=pool)

    def warming_in_time(self, now: int, request: PendingRequest, pool: Backends) -> Backends:
        """Returns only warming backends, those that would meet the request's latency objective."""
        ends_in_time = self._slow_start.ends_in_time
        return [b for b in pool if b.warm_from > now and ends_in_time(now, request, b)]
