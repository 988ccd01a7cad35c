"""The one clock, and wakes that never come early."""

import asyncio
import time
from collections.abc import Callable

from crankfold.network.tally import Tally


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
    def __init__(self, clock: Clock, tally: Tally) -> None:
        self.clock, self.tally = clock, tally
        self.loop = asyncio.get_running_loop()

    def wake(self, after: int, call: Callable[[], object]) -> asyncio.TimerHandle:
        due = self.clock.now() + after
        return self.loop.call_later(after / 10_000, self._fire, due, call)

    def _fire(self, due: int, call: Callable[[], object]) -> None:
        late = self.clock.now() - due
        if late < 0:
            self.loop.call_later(-late / 10_000, self._fire, due, call)
            return
        if late > 100:
            self.tally.count("timers-over-10ms-late")
        self.tally.most("timer-latest-tenths-of-ms", late)
        try:
            call()
        except Exception as wrong:
            self.tally.failed(wrong)
            if __debug__:
                raise
