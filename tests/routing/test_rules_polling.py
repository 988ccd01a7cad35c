"""How long the pauses between failed polls of the endpoint list are."""

from crankfold.routing.interface import POLL_TIMER
from crankfold.time_units import TICKS_PER_SECOND
from tests.routing.rule_scene import RuleScene

SEEDS = range(60)
JITTER = 1.25  # a pause is at most so many times the planned one


class PollingPauseRules(RuleScene):
    def longest_pause(self, failures: int, **config: object) -> float:
        """Seconds, over all seeds, of the pause after so many failures in a row."""
        longest = 0
        for seed in SEEDS:
            self.open_with(free_slots=0, discovery_by_poll=True, seed=seed, **config)
            for _ in range(failures):
                self.timers.clear()
                self.router.discovery_failed(self.now)
            longest = max(longest, *(at - self.now for at, token in self.timers if token == POLL_TIMER))
        return longest / TICKS_PER_SECOND

    def test_the_first_pause_is_at_most_two_seconds_and_jitter(self) -> None:
        longest = self.longest_pause(1, poll_within=60 * TICKS_PER_SECOND, instance_count=1)
        self.assertGreater(longest, 2.0)
        self.assertLessEqual(longest, 2.0 * JITTER)

    def test_the_pause_doubles_four_times_and_no_more(self) -> None:
        longest = self.longest_pause(10, poll_within=60 * TICKS_PER_SECOND, instance_count=1)
        self.assertGreater(longest, 2.0 * 2**4)
        self.assertLessEqual(longest, 2.0 * 2**4 * JITTER)

    def test_no_pause_is_longer_than_twice_the_time_for_an_answer_and_jitter(self) -> None:
        longest = self.longest_pause(10, poll_within=TICKS_PER_SECOND, instance_count=100)
        self.assertGreater(longest, 2.0)
        self.assertLessEqual(longest, 2.0 * JITTER)
