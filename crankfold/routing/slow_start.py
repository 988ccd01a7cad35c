"""Slow start: how much work a backend that has just started may be sent while it warms up."""

from crankfold.routing.backend_table import Backend, Backends
from crankfold.routing.records import PendingRequest
from crankfold.routing.state import RoutingState

BUDGET_SHARE = 0.5  # of what the settings allow all instances together; the other half is a reserve
MIN_PACE_RATIO = 1.0  # lowest budget, as a ratio to the present capacity


class SlowStart:
    """Limits what is sent to a warming backend to this instance's share of a budget that grows with time."""

    def __init__(self, state: RoutingState) -> None:
        self._state = state
        self._initial_capacity = state.config.initial_capacity  # share of the full capacity
        self._warm_up_time = state.config.warm_up_time  # ticks
        self._pace = max(BUDGET_SHARE * state.config.overload_factor, MIN_PACE_RATIO)
        self._max_burst = state.config.overload_period  # ticks of budget that one request may take
        self.all_warm_from = 0  # ticks; from then on no ready backend is in slow start

    def capacity_share(self, now: int, backend: Backend) -> float:
        """Returns the share of its full capacity that a backend has at least.

        Args:
            now: Ticks.
            backend: Warm, or anywhere in its warm-up, along which the share grows evenly.
        """
        if backend.warm_from <= now:
            return 1.0
        age = now - backend.warm_from + self._warm_up_time
        return self._initial_capacity + (1.0 - self._initial_capacity) * max(age, 0) / self._warm_up_time

    def draw_first_send_times(self, now: int, backends: Backends, work: float) -> None:
        """Draws when each warming backend may be sent its first request, where that is not drawn yet.

        The time is random within the first interval between two requests: without it, the first requests of
        hundreds of instances would overload the backend together. None is drawn for a backend that may not
        be sent this request at all.

        Args:
            now: Ticks.
            backends: The candidates; times are drawn in their order.
            work: Slot-ticks that an attempt is charged as.
        """
        if now >= self.all_warm_from:
            return
        for backend in backends:
            is_undrawn = backend.warm_from > now and not backend.slow_start_next
            if is_undrawn and self._fits_budget(now, backend, work):
                interval = int(work / (self._budget(now, backend) * backend.slow_start_share)) + 1
                backend.slow_start_next = now + self._state.random.below(interval)

    def admits(self, now: int, backend: Backend, work: float) -> bool:
        """Whether a warming backend may be sent an attempt now, once its first send time is drawn.

        Permitted if the backend has started all its earlier attempts, and its budget has saved up the work.

        Args:
            now: Ticks.
            backend: A backend in slow start.
            work: Slot-ticks that an attempt is charged as.
        """
        return now >= backend.slow_start_next and self._fits_budget(now, backend, work)

    def _fits_budget(self, now: int, backend: Backend, work: float) -> bool:
        """Whether the backend has no unstarted attempt, and its budget can save up as much as the work."""
        if backend.unstarted or not backend.slow_start_share:
            return False
        return work <= self._max_burst * self._budget(now, backend)

    def charge(self, now: int, backend: Backend, work: float) -> None:
        """Takes `work` slot-ticks from the budget: the next attempt waits until as much is saved up again."""
        backend.slow_start_next = now + int(work / (self._budget(now, backend) * backend.slow_start_share))

    def ends_in_time(self, now: int, request: PendingRequest, backend: Backend) -> bool:
        """Whether the backend, if idle, would complete a hinted request within its latency objective.

        Args:
            now: Ticks.
            request: A request with hinted work.
            backend: A backend in slow start; it runs slower by its share of capacity.
        """
        run = request.work * self._state.averages.run_per_work * (backend.capacity or 1.0)
        return now + run / (backend.weight * self.capacity_share(now, backend)) <= request.objective_at

    def _budget(self, now: int, backend: Backend) -> float:
        """Returns how many slots of the backend all instances together may keep busy."""
        share = self.capacity_share(now, backend)
        return self._pace * self._state.averages.slots_per_weight * backend.weight * share
