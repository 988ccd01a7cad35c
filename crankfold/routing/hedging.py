"""Hedging: when a request with a stalled attempt is also sent to a second backend, within a budget."""

from crankfold.routing.outlier_ejection import StallDetection
from crankfold.routing.records import PendingRequest
from crankfold.routing.state import RoutingState
from crankfold.time_units import TICKS_PER_SECOND

HEDGE_SHARE = 0.3  # hedges may add this share of the work sent
MAX_HEDGE_BUDGET_RUNS = 5.0  # the budget saves up at most this many mean running times
MIN_HEDGE_DELAY_TICKS = 400
MAX_FIRST_HEDGE_DELAY_TICKS = TICKS_PER_SECOND // 2
FIRST_DELAY_DIVISOR = 2  # the first check of an attempt comes after the latency objective divided by this
DELAY_GROWTH_FACTOR = 2  # the delay grows by this factor with each attempt of a request
DELAY_WAIT_RATIO = 4  # lowest delay, as a multiple of the mean wait for a start
SPARE_TIME_DIVISOR = 3  # with a subset, the delay is the spare time until the objective divided by this
MIN_TIME_LEFT_WORK_SHARE = 0.5  # part of the expected work, as a run may be shorter than expected
MAX_ATTEMPTS_IN_FLIGHT = 1  # a request with more of them is not hedged


def min_time_left(request: PendingRequest) -> float:
    """Returns the shortest time to the objective, in ticks, in which another attempt may still complete."""
    return MIN_TIME_LEFT_WORK_SHARE * request.expected_work


class HedgingPolicy:
    """Decides when attempts in flight are checked for a stall, and whether a hedge is due."""

    def __init__(self, state: RoutingState, stalls: StallDetection) -> None:
        self._state = state
        self._stalls = stalls
        self._budget = 0.0  # slot-ticks of work

    def attempt_sent(self, now: int, request: PendingRequest, work: float) -> None:
        """Earns hedge budget, and sets the timer for the first check of the attempt.

        Args:
            now: Ticks.
            request: The request of the attempt.
            work: Slot-ticks that the attempt was charged for.
        """
        self._earn(work)
        request.hedge_delay = self._delay(now, request)
        self._state.set_request_timer(now, request, now + request.hedge_delay)

    def hedge_due(self, now: int, request: PendingRequest) -> bool:
        """Whether the only attempt in flight is stalled, and a hedge is useful and within the budget.

        Args:
            now: Ticks.
            request: A request with an attempt in flight.
        """
        in_flight = [attempt for attempt in request.attempts if attempt.in_flight]
        return (
            len(in_flight) <= MAX_ATTEMPTS_IN_FLIGHT
            and self._budget > 0
            and self._is_useful(now, request)
            and all(self._stalls.is_stalled(now, attempt) for attempt in in_flight)
        )

    def charge(self, request: PendingRequest) -> None:
        """Charges a sent hedge to the budget."""
        self._budget -= request.slots * request.expected_work

    def postpone(self, now: int, request: PendingRequest) -> None:
        """Sets the timer for the next check of the attempts of the request."""
        request.hedge_delay = max(request.hedge_delay, self._stalls.max_progress_gap)
        self._state.set_request_timer(now, request, now + request.hedge_delay)

    def _earn(self, work: float) -> None:
        earned = HEDGE_SHARE * self._state.config.hedging_allowed * work
        max_budget = MAX_HEDGE_BUDGET_RUNS * self._state.averages.mean_run
        self._budget = min(self._budget + earned, max_budget)

    def _delay(self, now: int, request: PendingRequest) -> int:
        """Returns the delay, in ticks, until an attempt is checked for a stall."""
        if self._state.uses_subset:
            spare = request.objective_at - now - request.expected_work
            return max(int(spare / SPARE_TIME_DIVISOR), MIN_HEDGE_DELAY_TICKS)
        objective_delay = request.request_class.settings.latency_objective // FIRST_DELAY_DIVISOR
        first = min(max(objective_delay, MIN_HEDGE_DELAY_TICKS), MAX_FIRST_HEDGE_DELAY_TICKS)
        usual_wait = int(DELAY_WAIT_RATIO * self._state.averages.mean_wait)
        return max(request.hedge_delay * DELAY_GROWTH_FACTOR, first, usual_wait)

    def _is_useful(self, now: int, request: PendingRequest) -> bool:
        """Whether the response to a hedge could be in time, or has a value when late."""
        in_time = now + min_time_left(request) <= request.objective_at
        return in_time or request.request_class.settings.late_value != 0
