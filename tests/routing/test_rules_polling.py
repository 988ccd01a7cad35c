"""Discovery polling: the delays between failed polls of the endpoint list."""

from crankfold.routing.interface import POLL_TIMER
from crankfold.time_units import TICKS_PER_SECOND
from tests.routing.fixtures import RouterFixture

SEEDS = range(60)
MAX_JITTER_RATIO = 1.25  # longest delay with jitter, as a multiple of the delay without


class PollingBackoffTest(RouterFixture):
    def longest_delay(self, failures: int, **config: object) -> float:
        """Returns the longest delay of all seeds, in seconds, after `failures` failed polls in a row."""
        longest = 0
        for seed in SEEDS:
            self.start_router(free_slots=0, discovery_by_poll=True, seed=seed, **config)
            for _ in range(failures):
                self.timers.clear()
                self.router.discovery_failed(self.now)
            longest = max(
                longest, *(fires_at - self.now for fires_at, token in self.timers if token == POLL_TIMER)
            )
        return longest / TICKS_PER_SECOND

    def test_first_delay_is_at_most_two_seconds_and_jitter(self) -> None:
        longest = self.longest_delay(1, poll_within=60 * TICKS_PER_SECOND, instance_count=1)
        self.assertGreater(longest, 2.0)
        self.assertLessEqual(longest, 2.0 * MAX_JITTER_RATIO)

    def test_delay_doubles_at_most_four_times(self) -> None:
        longest = self.longest_delay(10, poll_within=60 * TICKS_PER_SECOND, instance_count=1)
        self.assertGreater(longest, 2.0 * 2**4)
        self.assertLessEqual(longest, 2.0 * 2**4 * MAX_JITTER_RATIO)

    def test_delay_is_at_most_twice_poll_answer_time_and_jitter(self) -> None:
        longest = self.longest_delay(10, poll_within=TICKS_PER_SECOND, instance_count=100)
        self.assertGreater(longest, 2.0)
        self.assertLessEqual(longest, 2.0 * MAX_JITTER_RATIO)
