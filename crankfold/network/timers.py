"""The clock of the process, and timers that never fire early. Times are in ticks."""

import asyncio
import time
from collections.abc import Callable

from crankfold.network.metrics import Metrics
from crankfold.time_units import NANOSECONDS_PER_TICK, TICKS_PER_MILLISECOND, TICKS_PER_SECOND

# A larger difference between wall clock and monotonic clock is a step of the wall clock.
MAX_DRIFT = 100 * TICKS_PER_MILLISECOND
MAX_LATENESS = 10 * TICKS_PER_MILLISECOND  # a timer that fires later than this is counted as late


class Clock:
    """A monotonic clock that starts at the wall clock's time.

    Its times can be compared with the start times of backends, which are wall-clock times. A step of the wall
    clock does not move timers and deadlines.
    """

    def __init__(self) -> None:
        self._offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Returns the ticks since the epoch."""
        return (time.monotonic_ns() + self._offset) // NANOSECONDS_PER_TICK

    def wall_shift(self) -> int:
        """Returns by how many ticks the wall clock has stepped forward since the start; 0 up to MAX_DRIFT."""
        shift = time.time_ns() // NANOSECONDS_PER_TICK - self.now()
        return shift if abs(shift) > MAX_DRIFT else 0


class Timers:
    """Schedules callbacks on the running event loop."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self.clock = clock
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()

    def call_after(self, delay: int, callback: Callable[[], object]) -> asyncio.TimerHandle:
        """Schedules `callback` after `delay` ticks, never earlier.

        An exception in the callback is recorded; a debug build raises it.
        """
        due = self.clock.now() + delay
        return self.loop.call_later(delay / TICKS_PER_SECOND, self._fire, due, callback)

    def _fire(self, due: int, callback: Callable[[], object]) -> None:
        lateness = self.clock.now() - due
        if lateness < 0:
            self.loop.call_later(-lateness / TICKS_PER_SECOND, self._fire, due, callback)
            return
        if lateness > MAX_LATENESS:
            self.metrics.increment("timers-over-10ms-late")
        self.metrics.record_maximum("timer-max-lateness-tenths-of-ms", lateness)
        try:
            callback()
        except Exception as error:
            self.metrics.record_exception(error)
            if __debug__:
                raise
