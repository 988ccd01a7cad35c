"""Membership: which backends there are, their size, and the load that listed weights may show."""

from collections.abc import Sequence

from crankfold.routing.concurrency_limit import ConcurrencyLimit
from crankfold.routing.interface import Endpoint
from crankfold.routing.slow_start import SlowStart
from crankfold.routing.state import RoutingState
from crankfold.time_units import TICKS_PER_SECOND

WAIT_SHARE = 0.4  # of the latency objective that a wait may take before the limit falls
MIN_LIMIT = 1.0  # attempts, where the limit follows the listed weights
ADJUST_INTERVAL = TICKS_PER_SECOND // 2  # ticks between two adjustments of the limit by listed weights


class Membership:
    """Applies endpoint lists to the table of backends."""

    def __init__(self, state: RoutingState, slow_start: SlowStart, limit: ConcurrencyLimit) -> None:
        self.state = state
        self.slow_start = slow_start
        self.limit = limit

    def update(self, now: int, endpoints: Sequence[Endpoint], *, snapshot: bool) -> None:
        """Takes the endpoints over; those that a snapshot does not name are removed."""
        table = self.state.table
        table.update(now, endpoints, snapshot=snapshot)
        if self.state.weights_follow_load:
            self._separate_load(now)
        self.slow_start.all_warm_from = max((b.warm_from for b in table.ready), default=0)

    def _separate_load(self, now: int) -> None:
        """Takes weights that follow the load apart: size, and requests held.

        All see these alike and late and, free to choose, would lean one way: they are a report only where
        keys bind. A wait that latency objectives allow stands, or busy instances shed in a calm.
        """
        held = 0.0
        size = 0.0
        for backend in self.state.table.ready:
            self.state.table.separate_load(backend)
            if self.state.keys_seen and backend.capacity:
                backend.blend_queue(now, backend.utilization * backend.capacity, 1.0)
                backend.reported_at = now
            if backend.warm_from <= now:
                held += backend.weight * backend.utilization
                size += backend.weight
        if size and now - self.limit.adjusted_at >= ADJUST_INTERVAL:
            allowed = 1.0 + WAIT_SHARE * self.state.mean_objective / self.state.averages.mean_run
            self.limit.adjust(now, min(allowed * size / (held or 1.0), 1.0), MIN_LIMIT)
