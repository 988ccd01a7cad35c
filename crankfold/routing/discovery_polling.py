"""Discovery polling: when the endpoint list is polled, where the discovery service does not push it.

Many instances start, or lose the discovery service, at the same time. Random first polls and a jittered
exponential backoff keep the rate of all their polls within the capacity of the service.
"""

from crankfold.routing.interface import POLL_TIMER
from crankfold.routing.state import RoutingState
from crankfold.time_units import TICKS_PER_SECOND

MAX_FIRST_DELAY_TICKS = 2 * TICKS_PER_SECOND  # before the first repeat of a failed poll
FIRST_DELAY_DIVISOR = 8  # of the time in which a poll is answered: the shortest first delay
MAX_DELAY_RATIO = 2  # of the longest delay to the time in which a poll is answered
# The longest delay is this part of the time in which a change must be known, and the longest spread of first
# polls this part of the time in which a poll is answered.
TIME_LIMIT_DIVISOR = 2
JITTER_DIVISOR = 4  # of the delay: its part that is not random
POLLS_PER_SECOND = 10  # that a discovery service serves, of all instances together
MAX_DOUBLINGS = 4  # of the delay


class DiscoveryPolling:
    """Schedules the polls of this instance."""

    def __init__(self, state: RoutingState) -> None:
        self._state = state
        self._failures = 0  # since the last list
        answer_time = state.config.poll_within
        max_delay = state.config.change_notice_within // TIME_LIMIT_DIVISOR
        self._min_delay = max(min(answer_time // FIRST_DELAY_DIVISOR, MAX_FIRST_DELAY_TICKS), 1)
        self._max_delay = min(MAX_DELAY_RATIO * max(answer_time, self._min_delay), max_delay)
        time_for_all = state.instance_count * TICKS_PER_SECOND // POLLS_PER_SECOND
        self._spread = min(time_for_all, answer_time // TIME_LIMIT_DIVISOR, max_delay)

    def start(self) -> None:
        """Polls the first list, where lists are polled: at once, or spread over time for many instances."""
        if not self._state.config.discovery_by_poll:
            return
        if self._spread < TICKS_PER_SECOND:
            self._state.actions.poll_endpoints()
        else:
            self._state.actions.set_timer(self._state.random.below(self._spread), POLL_TIMER)

    def succeeded(self) -> None:
        """Ends the backoff, as a list has come."""
        self._failures = 0

    def failed(self) -> None:
        """Schedules the next poll after a jittered delay, which doubles with each failure."""
        doubled = max(self._min_delay, self._spread) << min(self._failures, MAX_DOUBLINGS)
        delay = min(doubled, self._max_delay)
        jitter = self._state.random.below(delay)
        self._state.actions.set_timer(delay // JITTER_DIVISOR + jitter, POLL_TIMER)
        self._failures += 1
