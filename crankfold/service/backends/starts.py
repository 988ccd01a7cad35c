"""When each backend started, estimated so that no wall clock has to be right.

The endpoint list tells starts by the backends' wall clock. That clock, or the one of this process, may be
off by seconds or by an hour, and a backend that is taken to be older than it is gets more than it bears. What
is known without clocks is when this process saw a start listed for the first time, and which of two listed
starts was later. So a start that appears in a later list is new, and in the first lists no backend is older
than the newest one there allows; wall clocks can only make it younger.
"""

from collections.abc import Mapping
from typing import NamedTuple

from crankfold.network.timers import Clock
from crankfold.time_units import TICKS_PER_SECOND

MAX_CLOCK_ERROR = 2 * 3600 * TICKS_PER_SECOND  # ticks; no clock is taken to be off by more
# A backend may be taken for so much readier than at its start, as a share of the initial capacity: only half
# of what all may send it is sent, so that it bears this even if it started at this moment.
TOLERATED_CAPACITY_GAIN = 0.5


class _KnownStart(NamedTuple):
    announced_at: int  # as listed, by the backends' clock
    assumed_at: int  # by the clock of this process


class BackendStarts:
    """The starts of all backends, by their index; all times in ticks.

    Args:
        clock: Of this process.
        warm_up_time: In which a backend that started becomes ready for its full load.
        initial_capacity: Share of its capacity that it has when it has just started.
    """

    def __init__(self, clock: Clock, *, warm_up_time: int, initial_capacity: float) -> None:
        self._clock = clock
        self._warm_up_time = warm_up_time
        self._known: dict[int, _KnownStart] = {}
        self._newest = 0  # by the backends' clock
        self._discovery_answered = False
        missing_capacity = 1.0 - initial_capacity
        gain = TOLERATED_CAPACITY_GAIN * initial_capacity
        tolerated = gain / missing_capacity if missing_capacity > 0 else 1.0
        self._tolerated_age = int(warm_up_time * min(tolerated, 1.0))

    def estimate(self, announced: Mapping[int, int]) -> dict[int, int]:
        """The starts of these backends by the clock of this process.

        Args:
            announced: By backend, the start as it is listed now; 0 for long ago.

        Returns:
            By backend, the assumed start; 0 for long ago.
        """
        self._newest = max(self._newest, *announced.values()) if announced else self._newest
        now = self._clock.now()
        return {
            backend: self._estimate_one(backend, announced_at, now)
            for backend, announced_at in announced.items()
        }

    def discovery_answered(self) -> None:
        """Discovery has given a list: what it lists from here on for the first time is new."""
        self._discovery_answered = True

    def _estimate_one(self, backend: int, announced_at: int, now: int) -> int:
        if not announced_at:
            self._known.pop(backend, None)
            return 0
        known = self._known.get(backend)
        # Before discovery has answered, a newer start may yet show that this one is older than it seemed.
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
