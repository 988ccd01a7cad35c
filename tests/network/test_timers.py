"""Timers on the running event loop."""

from functools import partial

from crankfold.network.metrics import Metrics
from crankfold.network.timers import Clock, Timers
from tests.loopback import LoopbackTestCase


class TimersTest(LoopbackTestCase):
    async def test_timer_never_fires_early(self) -> None:
        clock = Clock()
        timers = Timers(clock, Metrics())
        lateness: list[int] = []
        for delay in (0, 1, 9, 15, 33):
            due = clock.now() + delay
            timers.call_after(delay, partial(lambda due: lateness.append(clock.now() - due), due))
        await self.until(lambda: len(lateness) == 5)
        self.assertGreaterEqual(min(lateness), 0)
        early_due = clock.now() + 20
        # An event loop with a coarse clock calls this early.
        timers._fire(early_due, lambda: lateness.append(clock.now() - early_due))
        self.assertEqual(len(lateness), 5)
        await self.until(lambda: len(lateness) == 6)
        self.assertGreaterEqual(lateness[5], 0)
