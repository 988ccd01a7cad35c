"""Concurrency limit: how many attempts of this instance may be in flight at once."""

from math import inf, sqrt

from crankfold.routing.state import RoutingState

SAMPLES_PER_ADJUSTMENT = 10  # starts that are waited for before the limit moves
MIN_LIMIT = 4.0  # attempts; the fair part of the fleet may be more
WAIT_TOLERANCE = 1.05  # a response time longer by this factor than the run moves nothing yet
MAX_DECREASE = 0.5  # factor that one adjustment applies at most
SPARSE_HEADROOM = 1.5  # on the fair part where that is a few slots, which chance fills now and then


class ConcurrencyLimit:
    """Follows the shortest response time (the run) over the present one (wait and run)."""

    def __init__(self, state: RoutingState) -> None:
        self.state = state
        self.in_flight = 0  # attempts, without those in slow start
        self.limit = inf
        self.adjusted_at = 0
        self.samples = 0
        self.fleet_capacity = 1.0  # to which the limit was last scaled, weights

    def reached(self) -> bool:
        """Whether no further attempt may go out, but to a backend in slow start."""
        return self.in_flight >= self.limit

    def sample_wait(self, now: int, sent_at: int, wait: int) -> None:
        """Counts an attempt that started `wait` ticks after it was sent."""
        if sent_at < self.adjusted_at or self.state.weights_follow_load:
            return  # sent under an older limit: counting it again would shrink the limit once for each
        averages = self.state.averages
        averages.mean_wait += 0.1 * (wait - averages.mean_wait)
        self.samples += 1
        if self.samples >= SAMPLES_PER_ADJUSTMENT:
            run = averages.mean_run
            ratio = WAIT_TOLERANCE * run / (run + averages.mean_wait + 1.0)
            self.adjust(now, min(1.0, ratio), MIN_LIMIT)

    def adjust(self, now: int, ratio: float, least: float) -> None:
        """Moves the limit by `ratio`, 1 where nothing waits, and some growth; to `least` at least."""
        if self.limit == inf:
            if ratio == 1.0:
                return  # nothing waits yet: a limit from the few first requests would hold the next ones back
            self.limit = 1.0 * self.in_flight
        if ratio < 1.0 or self.in_flight * 2 >= self.limit:
            changed = self.limit * max(ratio, MAX_DECREASE) + 0.5 * sqrt(self.limit)
            self.limit = max(changed, self._fair_part(now, least))
        self.adjusted_at = now
        self.samples = 0

    def _fair_part(self, now: int, least: float) -> float:
        # Never under the fair part of the fleet, or a wait at the start holds all back for long.
        warm = [backend.capacity for backend in self.state.table.ready if backend.warm_from <= now]
        known = [slots for slots in warm if slots]
        headroom = SPARSE_HEADROOM if self.state.sparse and not self.state.weights_follow_load else 1.0
        fair = sum(known) / max(len(known), 1) * len(warm) * (headroom / self.state.instance_count)
        return max(fair, least)

    def scale(self, fleet_capacity: float) -> None:
        """Scales with the fleet: one cut to a third takes a third, at once."""
        self.limit *= fleet_capacity / self.fleet_capacity or 1.0
        self.fleet_capacity = fleet_capacity or self.fleet_capacity
