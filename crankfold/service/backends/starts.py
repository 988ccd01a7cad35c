"""Estimates when each backend started without relying on wall clocks.

The endpoint list has the starts by the wall clock of the backends. That clock and the clock of this process
may be wrong by up to `MAX_CLOCK_ERROR`, and a backend whose age is overestimated is overloaded. Two facts do
not depend on clocks: when this process first saw a start in the list, and which of two starts is later. So a
start that appears after the first list is taken as recent, and in the first list the age of a backend is
limited by its distance from the newest start there. Wall clocks can only reduce the estimated age.
"""

from collections.abc import Mapping
from typing import NamedTuple

from crankfold.network.timers import Clock
from crankfold.time_units import TICKS_PER_SECOND

MAX_CLOCK_ERROR = 2 * 3600 * TICKS_PER_SECOND  # ticks; the largest error of a wall clock that is tolerated
# The capacity of a backend may be overestimated by this share of its initial capacity. Dispatchers use half
# of the slow-start budget, so even a backend that has just started is not overloaded by it.
TOLERATED_CAPACITY_GAIN = 0.5


class _KnownStart(NamedTuple):
    announced_at: int  # by the clock of the backend
    assumed_at: int  # by the clock of this process


class BackendStarts:
    """Estimates the starts of all backends, by their index; all times are in ticks.

    Args:
        clock: The clock of this process.
        warm_up_time: The duration of a slow start.
        initial_capacity: The share of its full capacity that a backend has at its start.
    """

    def __init__(self, clock: Clock, *, warm_up_time: int, initial_capacity: float) -> None:
        self._clock = clock
        self._warm_up_time = warm_up_time
        self._known: dict[int, _KnownStart] = {}
        self._newest = 0  # by the clock of the backends
        self._discovery_answered = False
        missing_capacity = 1.0 - initial_capacity
        gain = TOLERATED_CAPACITY_GAIN * initial_capacity
        tolerated = gain / missing_capacity if missing_capacity > 0 else 1.0
        self._tolerated_age = int(warm_up_time * min(tolerated, 1.0))

    def estimate(self, announced: Mapping[int, int]) -> dict[int, int]:
        """Estimates the starts of these backends by the clock of this process.

        Args:
            announced: By backend, the start in the endpoint list; 0 for long ago.

        Returns:
            By backend, the estimated start; 0 for long ago.
        """
        self._newest = max(self._newest, *announced.values()) if announced else self._newest
        now = self._clock.now()
        return {
            backend: self._estimate_one(backend, announced_at, now)
            for backend, announced_at in announced.items()
        }

    def discovery_answered(self) -> None:
        """Records that discovery has answered; starts that first appear in a later list are recent."""
        self._discovery_answered = True

    def _estimate_one(self, backend: int, announced_at: int, now: int) -> int:
        if not announced_at:
            self._known.pop(backend, None)
            return 0
        known = self._known.get(backend)
        # Until discovery has answered, a newer start may show that this one is older than estimated.
        if known and known.announced_at == announced_at and self._discovery_answered:
            return known.assumed_at
        assumed_at = now - self._plausible_age(announced_at, now)
        self._known[backend] = _KnownStart(announced_at, assumed_at)
        return assumed_at

    def _plausible_age(self, announced_at: int, now: int) -> int:
        age = max(now - announced_at, 0)
        if self._discovery_answered:
            return min(age, self._tolerated_age)
        if age > MAX_CLOCK_ERROR + self._warm_up_time:
            return age
        return min(age, self._newest - announced_at + self._tolerated_age)
