"""Slow start: how much work a backend that has just started may be sent while it warms up."""

from crankfold.routing.backend_table import Backend, Backends
from crankfold.routing.records import PendingRequest
from crankfold.routing.state import RoutingState

BUDGET_SHARE = 0.5  # part of what the settings allow all instances together; the other half is a reserve
MIN_BUDGET_RATIO = 1.0  # lowest budget, as a ratio to the present capacity


class SlowStart:
    """Limits what this instance sends to a warming backend to its share of a budget that grows with time."""

    def __init__(self, state: RoutingState) -> None:
        self._state = state
        self._initial_capacity = state.config.initial_capacity  # share of the full capacity
        self._warm_up_time = state.config.warm_up_time  # ticks
        self._budget_ratio = max(BUDGET_SHARE * state.config.overload_factor, MIN_BUDGET_RATIO)
        self._max_burst = state.config.overload_period  # ticks of budget that one request may take
        self.all_warm_from = 0  # ticks; from then on no ready backend is in slow start

    def capacity_share(self, now: int, backend: Backend) -> float:
        """Returns the share of its full capacity that a backend has at least.

        The share grows linearly during the warm-up and is 1 afterwards.

        Args:
            now: Ticks.
            backend: A warm or warming backend.
        """
        if backend.warm_from <= now:
            return 1.0
        age = now - backend.warm_from + self._warm_up_time
        return self._initial_capacity + (1.0 - self._initial_capacity) * max(age, 0) / self._warm_up_time

    def draw_first_send_times(self, now: int, backends: Backends, work: float) -> None:
        """Draws the time from which each warming backend may be sent its first request, once per backend.

        The time is random within the first interval between two requests. Otherwise the simultaneous first
        requests of hundreds of instances would overload the backend. No time is drawn for a backend that
        cannot be sent this request at all.

        Args:
            now: Ticks.
            backends: The candidates; times are drawn in their order.
            work: Slot-ticks that an attempt is charged for.
        """
        if now >= self.all_warm_from:
            return
        for backend in backends:
            is_undrawn = backend.warm_from > now and not backend.slow_start_next
            if is_undrawn and self._fits_budget(now, backend, work):
                interval = int(work / (self._budget(now, backend) * backend.slow_start_share)) + 1
                backend.slow_start_next = now + self._state.random.below(interval)

    def admits(self, now: int, backend: Backend, work: float) -> bool:
        """Whether a warming backend may be sent an attempt now.

        An attempt is permitted if the backend has started all earlier ones, and the budget has had time to
        cover the work that was charged before.

        Args:
            now: Ticks.
            backend: A backend in slow start whose first send time has been drawn.
            work: Slot-ticks that an attempt is charged for.
        """
        return now >= backend.slow_start_next and self._fits_budget(now, backend, work)

    def _fits_budget(self, now: int, backend: Backend, work: float) -> bool:
        """Whether the backend has no unstarted attempt, and its budget can save up enough for the work."""
        if backend.unstarted or not backend.slow_start_share:
            return False
        return work <= self._max_burst * self._budget(now, backend)

    def charge(self, now: int, backend: Backend, work: float) -> None:
        """Takes `work` slot-ticks from the budget; the next attempt waits until they are saved up again."""
        backend.slow_start_next = now + int(work / (self._budget(now, backend) * backend.slow_start_share))

    def ends_in_time(self, now: int, request: PendingRequest, backend: Backend) -> bool:
        """Whether the backend, if idle, would complete a hinted request within its latency objective.

        Args:
            now: Ticks.
            request: A request with hinted work.
            backend: A backend in slow start; its present share of capacity lengthens the run.
        """
        run = request.work * self._state.averages.run_per_work * (backend.capacity or 1.0)
        return now + run / (backend.weight * self.capacity_share(now, backend)) <= request.objective_at

    def _budget(self, now: int, backend: Backend) -> float:
        """Returns how many slots of the backend all instances together may keep busy while it warms up."""
        share = self.capacity_share(now, backend)
        return self._budget_ratio * self._state.averages.slots_per_weight * backend.weight * share
