"""Membership: which backends exist, their size, and the load if listed weights follow it."""

from collections.abc import Sequence

from crankfold.routing.concurrency_limit import ConcurrencyLimit, max_load_ratio
from crankfold.routing.interface import Endpoint
from crankfold.routing.slow_start import SlowStart
from crankfold.routing.state import RoutingState
from crankfold.time_units import TICKS_PER_SECOND

MIN_LISTED_LIMIT_ATTEMPTS = 1.0  # lowest limit if listed weights adjust it
ADJUST_INTERVAL_TICKS = TICKS_PER_SECOND // 2  # shortest time between two such adjustments


class Membership:
    """Applies endpoint lists to the table of backends."""

    def __init__(self, state: RoutingState, slow_start: SlowStart, limit: ConcurrencyLimit) -> None:
        self._state = state
        self._slow_start = slow_start
        self._limit = limit

    def update(self, now: int, endpoints: Sequence[Endpoint], *, snapshot: bool) -> None:
        """Applies a list of endpoints.

        Args:
            now: Ticks.
            endpoints: All endpoints, or those that have changed.
            snapshot: Whether the list is complete; backends that are not in it are removed.
        """
        table = self._state.table
        table.update(now, endpoints, snapshot=snapshot)
        if self._state.weights_follow_load:
            self._separate_load_from_size(now)
        self._slow_start.all_warm_from = max((b.warm_from for b in table.ready), default=0)

    def _separate_load_from_size(self, now: int) -> None:
        """Reads size and load of each backend from weights that follow the load, and adjusts the limit.

        All instances see the same outdated weights, and would all choose the same backends by them. So
        weights count as load reports only if requests have affinity keys, which restrict the choice.
        """
        for backend in self._state.table.ready:
            self._state.table.derive_size_and_utilization(backend)
            if self._state.keys_seen and backend.capacity:
                backend.update_reported_queue(now, backend.utilization * backend.capacity, 1.0)
                backend.reported_at = now
        if now - self._limit.adjusted_at >= ADJUST_INTERVAL_TICKS:
            self._adjust_limit(now)

    def _adjust_limit(self, now: int) -> None:
        """Shrinks the limit if the warm backends have more work than latency objectives allow."""
        load = 0.0
        size = 0.0
        for backend in self._state.table.ready:
            if backend.warm_from <= now:
                load += backend.weight * backend.utilization
                size += backend.weight
        if not size:
            return
        max_ratio = max_load_ratio(self._state.mean_objective, self._state.averages.mean_run)
        self._limit.adjust(now, min(max_ratio * size / (load or 1.0), 1.0), MIN_LISTED_LIMIT_ATTEMPTS)
