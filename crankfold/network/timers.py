"""The one clock, and wakes that never come early."""

import asyncio
import time
from collections.abc import Callable

from crankfold.network.metrics import Metrics


class Clock:
    """Tenths of a millisecond: the wall's time at start, going on steadily from there.

    So starts of runners, which come in the wall's time, and wakes are measured on one scale, and a wall clock
    that is set anew moves nothing.
    """

    def __init__(self) -> None:
        self._offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return (time.monotonic_ns() + self._offset) // 100_000


class Timers:
    def __init__(self, clock: Clock, tally: Metrics) -> None:
        self.clock, self.metrics = clock, tally
        self.loop = asyncio.get_running_loop()

    def call_after(self, after: int, call: Callable[[], object]) -> asyncio.TimerHandle:
        due = self.clock.now() + after
        return self.loop.call_later(after / 10_000, self._fire, due, call)

    def _fire(self, due: int, call: Callable[[], object]) -> None:
        late = self.clock.now() - due
        if late < 0:
            self.loop.call_later(-late / 10_000, self._fire, due, call)
            return
        if late > 100:
            self.metrics.increment("timers-over-10ms-late")
        self.metrics.record_maximum("timer-latest-tenths-of-ms", late)
        try:
            call()
        except Exception as wrong:
            self.metrics.record_exception(wrong)
            if __debug__:
                raise
