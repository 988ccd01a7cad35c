"""The clause on stepped wall clocks, for what one process tells the next of manual drains."""

import unittest
from unittest.mock import Mock, patch

from crankfold.network.timers import Clock
from crankfold.service.backends.manual_drains import AssumedStart
from crankfold.service.backends.registry import BackendRegistry
from crankfold.service.handover.transferred_state import adopt_manual_drains, manual_drain_state

HOUR_NS = 3600 * 10**9


class HandedOverTimesTest(unittest.TestCase):
    def process(self, wall_error_ns: int) -> BackendRegistry:
        """The backends of a process that was started while the wall clock was so wrong."""
        right = self.right_ns + wall_error_ns
        with patch("crankfold.network.timers.time.time_ns", lambda: right):
            clock = Clock()
        return BackendRegistry(
            Mock(slow_start_duration=300_000, initial_capacity=0.2), Mock(clock=clock), Mock()
        )

    def age_after_handover(self, *, step_ns: int, from_file: bool) -> int:
        """How old a successor takes an assumed start to be that its predecessor made just now."""
        self.right_ns = 1_800_000_000 * 10**9
        old = self.process(0)
        now = old.timers.clock.now()
        old.manual_drains.assumed_starts["a"] = AssumedStart(now, now)
        stepped = self.right_ns + step_ns
        received_at = self.right_ns if from_file else stepped
        with patch("crankfold.network.timers.time.time_ns", lambda: received_at):
            state = manual_drain_state(old)
        new = self.process(step_ns)
        adopt_manual_drains(new, state, times_known=not from_file)
        return int(new.timers.clock.now() - new.manual_drains.assumed_starts["a"].started_at)

    def test_an_assumed_start_is_as_old_for_the_successor_though_the_clock_was_stepped(self) -> None:
        for step_ns in (0, HOUR_NS, -HOUR_NS):
            with self.subTest(step_ns):
                self.assertLess(abs(self.age_after_handover(step_ns=step_ns, from_file=False)), 10_000)

    def test_an_assumed_start_from_a_file_is_never_in_the_future(self) -> None:
        """Nor in the past: when the clock was stepped is not known, so the backend warms up from now on."""
        for step_ns in (-HOUR_NS, HOUR_NS):
            with self.subTest(step_ns):
                age = self.age_after_handover(step_ns=step_ns, from_file=True)
                self.assertTrue(0 <= age < 10_000, age)
