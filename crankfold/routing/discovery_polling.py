"""Discovery polling: when the endpoint list is polled, if the discovery service does not push it.

Many instances may start, or lose the discovery service, at the same time. A random time of the first poll and
a jittered exponential backoff keep the rate of all their polls within the capacity of the service.
"""

from crankfold.routing.interface import POLL_TIMER
from crankfold.routing.state import RoutingState
from crankfold.time_units import TICKS_PER_SECOND

MAX_FIRST_DELAY_TICKS = 2 * TICKS_PER_SECOND  # longest delay after the first failed poll, without jitter
FIRST_DELAY_DIVISOR = 8  # the first delay is the time in which a poll is answered divided by this
MAX_DELAY_RATIO = 2  # longest delay, as a multiple of the time in which a poll is answered
# The longest delay is the time in which a change must be known divided by this, and the longest spread of
# first polls is the time in which a poll is answered divided by this.
TIME_LIMIT_DIVISOR = 2
JITTER_DIVISOR = 4  # the delay divided by this is waited in any case, and a random part of it is added
POLLS_PER_SECOND = 10  # rate of all instances together that a discovery service can answer
MAX_DOUBLINGS = 4  # the delay is doubled at most this often


class DiscoveryPolling:
    """Schedules the polls of this instance."""

    def __init__(self, state: RoutingState) -> None:
        self._state = state
        self._failures = 0  # failed polls since the last list was received
        answer_time = state.config.poll_within
        max_delay = state.config.change_notice_within // TIME_LIMIT_DIVISOR
        self._min_delay = max(min(answer_time // FIRST_DELAY_DIVISOR, MAX_FIRST_DELAY_TICKS), 1)
        self._max_delay = min(MAX_DELAY_RATIO * max(answer_time, self._min_delay), max_delay)
        time_for_all = state.instance_count * TICKS_PER_SECOND // POLLS_PER_SECOND
        self._spread = min(time_for_all, answer_time // TIME_LIMIT_DIVISOR, max_delay)

    def start(self) -> None:
        """Polls the first list, if lists are polled: at once, or at a random time if instances are many."""
        if not self._state.config.discovery_by_poll:
            return
        if self._spread < TICKS_PER_SECOND:
            self._state.actions.poll_endpoints()
        else:
            self._state.actions.set_timer(self._state.random.below(self._spread), POLL_TIMER)

    def succeeded(self) -> None:
        """Ends the backoff, as a list was received."""
        self._failures = 0

    def failed(self) -> None:
        """Schedules the next poll after a jittered delay, which doubles with each failure up to a limit."""
        doubled = max(self._min_delay, self._spread) << min(self._failures, MAX_DOUBLINGS)
        delay = min(doubled, self._max_delay)
        jitter = self._state.random.below(delay)
        self._state.actions.set_timer(delay // JITTER_DIVISOR + jitter, POLL_TIMER)
        self._failures += 1
