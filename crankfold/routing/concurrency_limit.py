"""Concurrency limit: how many attempts of this instance may be in flight at once.

The limit adapts to the gradient of response times: each adjustment multiplies it by the ratio running time /
(running time + wait for a start), and adds half of its square root.
"""

from math import inf, sqrt

from crankfold.routing.state import RoutingState

SAMPLES_PER_ADJUSTMENT = 10  # starts of attempts between two adjustments
MIN_LIMIT_ATTEMPTS = 4.0
WAIT_TOLERANCE_RATIO = 1.05  # the limit shrinks only at a higher ratio of response time to running time
NEGLIGIBLE_WAIT_TICKS = 1.0  # keeps the response time, which is a divisor, above 0
MIN_ADJUSTMENT_RATIO = 0.5  # lowest ratio that one adjustment applies
GROWTH_SQRT_FACTOR = 0.5  # growth by one adjustment, as a multiple of the limit's square root
MIN_USE_SHARE = 0.5  # the limit grows only if this share of it is in flight
MAX_WAIT_SHARE = 0.4  # part of the latency objective that the wait for a slot may take
# With a subset, the fair share is a few slots, which random arrivals often exceed, so it is raised by this.
SUBSET_HEADROOM_RATIO = 1.5


def max_load_ratio(latency_objective: float, mean_run: float) -> float:
    """Returns the highest load of a backend, over its slots, at which waits stay within `MAX_WAIT_SHARE`.

    Args:
        latency_objective: Ticks.
        mean_run: Ticks, the mean running time of an attempt.
    """
    return 1.0 + MAX_WAIT_SHARE * latency_objective / mean_run


class ConcurrencyLimit:
    """Counts the attempts in flight and adapts their limit."""

    def __init__(self, state: RoutingState) -> None:
        self._state = state
        self.in_flight = 0  # attempts, not counting those in slow start
        self.limit = inf  # attempts; unlimited until attempts have waited for their start
        self.adjusted_at = 0  # ticks
        self._samples = 0
        self._fleet_capacity = 1.0  # the value that `scale` was last called with

    def reached(self) -> bool:
        """Whether another attempt may be sent only to a backend in slow start."""
        return self.in_flight >= self.limit

    def sample_wait(self, now: int, sent_at: int, wait: int) -> None:
        """Counts the wait of an attempt for its start, and adjusts the limit once there are enough samples.

        Args:
            now: Ticks, when the attempt started.
            sent_at: Ticks, when it was sent. An attempt sent before the last adjustment is ignored, as one
                long wait would otherwise shrink the limit twice.
            wait: Ticks from sending to start.
        """
        if sent_at < self.adjusted_at or self._state.weights_follow_load:
            return
        averages = self._state.averages
        averages.record_wait(wait)
        self._samples += 1
        if self._samples >= SAMPLES_PER_ADJUSTMENT:
            response_time = averages.mean_run + averages.mean_wait + NEGLIGIBLE_WAIT_TICKS
            ratio = WAIT_TOLERANCE_RATIO * averages.mean_run / response_time
            self.adjust(now, min(1.0, ratio), MIN_LIMIT_ATTEMPTS)

    def adjust(self, now: int, ratio: float, min_limit: float) -> None:
        """Multiplies the limit by a ratio and lets it grow.

        Args:
            now: Ticks.
            ratio: 1 if no attempt waits, and smaller the longer attempts wait.
            min_limit: Number of attempts that the limit always allows.
        """
        if self.limit == inf:
            if ratio == 1.0:
                return  # a limit derived from the few attempts in flight at the start would be too low
            self.limit = 1.0 * self.in_flight
        if ratio < 1.0 or self.in_flight >= MIN_USE_SHARE * self.limit:
            changed = self.limit * max(ratio, MIN_ADJUSTMENT_RATIO) + GROWTH_SQRT_FACTOR * sqrt(self.limit)
            self.limit = max(changed, self._fair_share(now, min_limit))
        self.adjusted_at = now
        self._samples = 0

    def _fair_share(self, now: int, min_limit: float) -> float:
        """Returns the lowest limit: this instance's share of the warm backends' slots, at least `min_limit`.

        A backend of unknown capacity counts with the mean capacity of the others.
        """
        warm = [backend.capacity for backend in self._state.table.ready if backend.warm_from <= now]
        known = [slots for slots in warm if slots]
        needs_headroom = self._state.uses_subset and not self._state.weights_follow_load
        headroom = SUBSET_HEADROOM_RATIO if needs_headroom else 1.0
        fair = sum(known) / max(len(known), 1) * len(warm) * (headroom / self._state.instance_count)
        return max(fair, min_limit)

    def scale(self, fleet_capacity: float) -> None:
        """Scales the limit with the capacity of the fleet, without waiting for samples.

        Args:
            fleet_capacity: Sum of the weights of the ready backends; a warming one counts with its share.
        """
        self.limit *= fleet_capacity / self._fleet_capacity or 1.0
        self._fleet_capacity = fleet_capacity or self._fleet_capacity
