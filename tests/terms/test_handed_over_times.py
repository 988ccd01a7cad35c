"""Stepped wall clocks: the times of manual drains that a process hands over to its successor."""

import unittest
from unittest.mock import Mock, patch

from crankfold.network.timers import Clock
from crankfold.service.backends.manual_drains import AssumedStart
from crankfold.service.backends.registry import BackendRegistry
from crankfold.service.handover.transferred_state import adopt_manual_drains, manual_drain_state

HOUR_NS = 3600 * 10**9


class ManualDrainHandoverTest(unittest.TestCase):
    def make_registry(self, wall_error_ns: int) -> BackendRegistry:
        """Returns the backend registry of a process that starts while its wall clock has this error."""
        wall_time_ns = self.true_time_ns + wall_error_ns
        with patch("crankfold.network.timers.time.time_ns", lambda: wall_time_ns):
            clock = Clock()
        return BackendRegistry(
            Mock(slow_start_duration=300_000, initial_capacity=0.2), Mock(clock=clock), Mock()
        )

    def age_after_handover(self, *, step_ns: int, from_file: bool) -> int:
        """Returns the age in ticks, at the successor, of a start that the predecessor assumed just now."""
        self.true_time_ns = 1_800_000_000 * 10**9
        predecessor = self.make_registry(0)
        now = predecessor.timers.clock.now()
        predecessor.manual_drains.assumed_starts["a"] = AssumedStart(now, now)
        stepped_ns = self.true_time_ns + step_ns
        sent_at_ns = self.true_time_ns if from_file else stepped_ns
        with patch("crankfold.network.timers.time.time_ns", lambda: sent_at_ns):
            state = manual_drain_state(predecessor)
        successor = self.make_registry(step_ns)
        adopt_manual_drains(successor, state, times_known=not from_file)
        return int(successor.timers.clock.now() - successor.manual_drains.assumed_starts["a"].started_at)

    def test_assumed_start_keeps_its_age_across_handover_and_clock_step(self) -> None:
        for step_ns in (0, HOUR_NS, -HOUR_NS):
            with self.subTest(step_ns):
                self.assertLess(abs(self.age_after_handover(step_ns=step_ns, from_file=False)), 10_000)

    def test_assumed_start_from_file_counts_from_handover_after_clock_step(self) -> None:
        """The time of the clock step is unknown, so the backend warms up from the handover on."""
        for step_ns in (-HOUR_NS, HOUR_NS):
            with self.subTest(step_ns):
                age = self.age_after_handover(step_ns=step_ns, from_file=True)
                self.assertTrue(0 <= age < 10_000, age)
