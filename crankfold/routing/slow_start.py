"""Slow start: what a backend that has just started may be sent while it warms up."""

from crankfold.routing.backend_table import Backend
from crankfold.routing.records import PendingRequest
from crankfold.routing.state import RoutingState


class SlowStart:
    """Paces warming backends by this instance's share of what all together may send them."""

    def __init__(self, state: RoutingState) -> None:
        self.state = state
        self.initial_capacity = state.config.initial_capacity  # share of the full capacity
        self.warm_up_time = state.config.warm_up_time  # ticks
        # Half of what all may send, as most lapses where no request is: at less a replaced fleet stood idle.
        self.pace = max(state.config.overload_factor / 2, 1.0)  # of the least capacity
        self.max_burst = state.config.overload_period  # ticks of budget that one request may take
        self.all_warm_from = 0

    def capacity_share(self, now: int, backend: Backend) -> float:
        """The least share of its capacity that a backend can have by now."""
        if backend.warm_from <= now:
            return 1.0
        age = now - backend.warm_from + self.warm_up_time
        return self.initial_capacity + (1.0 - self.initial_capacity) * max(age, 0) / self.warm_up_time

    def _budget(self, now: int, backend: Backend) -> float:
        # Slots of work that all instances together may keep busy there.
        share = self.capacity_share(now, backend)
        return self.pace * self.state.averages.slots_per_weight * backend.weight * share

    def admits(self, now: int, backend: Backend, burden: float) -> bool:
        """Whether the budget, copies included, is saved up for a request of `burden` ticks of work.

        Saving begins at a random start: a first request of each of hundreds would push the backend over, a
        share that is too small leave it idle.
        """
        budget = self._budget(now, backend)
        if backend.unstarted or not backend.own_share or burden > self.max_burst * budget:
            return False  # what it has not started yet is pressure enough
        if not backend.slow_start_next:
            wait = int(burden / (budget * backend.own_share)) + 1
            backend.slow_start_next = now + self.state.random.below(wait)
        return now >= backend.slow_start_next

    def charge(self, now: int, backend: Backend, burden: float) -> None:
        """Takes a request of `burden` ticks of work from the budget."""
        backend.slow_start_next = now + int(burden / (self._budget(now, backend) * backend.own_share))

    def ends_in_time(self, now: int, request: PendingRequest, backend: Backend) -> bool:
        """Whether the backend, if free, would complete a hinted request in time, by its weight and warmth."""
        run = request.work * self.state.averages.run_per_work * (backend.capacity or 1.0)
        return now + run / (backend.weight * self.capacity_share(now, backend)) <= request.objective_at
