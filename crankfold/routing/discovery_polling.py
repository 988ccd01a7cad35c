"""When to ask for the endpoint list, where it has to be asked for.

Nothing is decided here about a request or a backend. Times are ticks of 0.1 ms.
"""

from crankfold.routing.interface import POLL_TIMER
from crankfold.routing.state import RoutingState
from crankfold.time_units import TICKS_PER_SECOND

MAX_FIRST_PAUSE = 2 * TICKS_PER_SECOND  # ticks before a list is asked for again the first time
POLLS_PER_SECOND = 10  # that a discovery service serves, of all instances together
MAX_DOUBLINGS = 4  # of the pause


class DiscoveryPolling:
    """Spreads the polls of many instances that start, or lose the list, together."""

    def __init__(self, state: RoutingState) -> None:
        self.state = state
        self.failures = 0  # since the last list
        config = state.config
        within = config.poll_within
        # The service serves few calls a second: all together at most ten, at first and at each repeat.
        self.min_pause = max(min(within // 8, MAX_FIRST_PAUSE), 1)
        self.max_pause = min(2 * max(within, self.min_pause), config.change_notice_within // 2)
        at_most = min(within // 2, config.change_notice_within // 2)
        self.spread = min(state.instance_count * TICKS_PER_SECOND // POLLS_PER_SECOND, at_most)

    def start(self) -> None:
        """Asks for the first list where it has to be asked for."""
        if not self.state.config.discovery_by_poll:
            return
        if self.spread < TICKS_PER_SECOND:
            self.state.actions.poll_endpoints()
        else:  # forty that start together would all be turned away
            self.state.actions.set_timer(self.state.random.below(self.spread), POLL_TIMER)

    def succeeded(self) -> None:
        """A list has come."""
        self.failures = 0

    def failed(self) -> None:
        """Asks again after a jittered pause, longer each time.

        All lose the list at once and would ask again at once, and a service whose queue outlasts its callers'
        patience works for nobody until enough stay away.
        """
        doubled = max(self.min_pause, self.spread) << min(self.failures, MAX_DOUBLINGS)
        pause = min(doubled, self.max_pause)
        self.state.actions.set_timer(pause // 4 + self.state.random.below(pause), POLL_TIMER)
        self.failures += 1
