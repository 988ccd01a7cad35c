"""The one clock, and timers that never fire early. Times are whole tenths of a millisecond."""

import asyncio
import time
from collections.abc import Callable

from crankfold.network.metrics import Metrics
from crankfold.time_units import NANOSECONDS_PER_TICK, TICKS_PER_SECOND

MAX_DRIFT = 1000  # ticks by which a wall clock that nobody stepped may be off
LATE = 100  # 10 ms; a timer that fires later than this is counted


class Clock:
    """The wall's time at start, going on steadily from there.

    So starts of backends, which come in the wall's time, and timers are measured on one scale, and a wall
    clock that is set anew moves nothing.
    """

    def __init__(self) -> None:
        self._offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Tenths of a millisecond since the epoch."""
        return (time.monotonic_ns() + self._offset) // NANOSECONDS_PER_TICK

    def wall_shift(self) -> int:
        """By how many ticks the wall clock was stepped forward since the start; 0 where it only drifted."""
        shift = time.time_ns() // NANOSECONDS_PER_TICK - self.now()
        return shift if abs(shift) > MAX_DRIFT else 0


class Timers:
    """Calls functions after a while, on the running event loop."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self.clock = clock
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()

    def call_after(self, delay: int, callback: Callable[[], object]) -> asyncio.TimerHandle:
        """Calls back once that many tenths of a millisecond have passed, never before.

        An exception in the callback is recorded; a debug build raises it.
        """
        due = self.clock.now() + delay
        return self.loop.call_later(delay / TICKS_PER_SECOND, self._fire, due, callback)

    def _fire(self, due: int, callback: Callable[[], object]) -> None:
        lateness = self.clock.now() - due
        if lateness < 0:
            self.loop.call_later(-lateness / TICKS_PER_SECOND, self._fire, due, callback)
            return
        if lateness > LATE:
            self.metrics.increment("timers-over-10ms-late")
        self.metrics.record_maximum("timer-max-lateness-tenths-of-ms", lateness)
        try:
            callback()
        except Exception as error:
            self.metrics.record_exception(error)
            if __debug__:
                raise
