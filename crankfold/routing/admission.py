"""Admission: whether a request is sent, queued, hedged or answered, on arrival and at later events."""

from crankfold.routing.completion import Completion
from crankfold.routing.concurrency_limit import ConcurrencyLimit
from crankfold.routing.hedging import HedgingPolicy, min_time_left
from crankfold.routing.interface import REFRESH_TIMER, RequestArrival, RequestClass
from crankfold.routing.outlier_ejection import StallDetection
from crankfold.routing.records import PendingRequest
from crankfold.routing.request_queue import RequestQueue
from crankfold.routing.retries import RetryPolicy
from crankfold.routing.selection import Selection
from crankfold.routing.slow_start import SlowStart
from crankfold.routing.state import RoutingState
from crankfold.time_units import TICKS_PER_SECOND

REFRESH_INTERVAL_TICKS = TICKS_PER_SECOND // 4
MAX_UNSENT_REQUESTS = 3  # a pass over the queue ends when more requests than these find no backend
SHORT_DEADLINE_SHARE = 0.5  # part of the class's deadline; a shorter one must be the client's own choice
MIN_OVERDUE_AGE_TICKS = TICKS_PER_SECOND // 2  # a younger request, by its first try, is never overdue


def first_try_at(now: int, arrival: RequestArrival, settings: RequestClass) -> int:
    """Returns the tick at which the client first sent the request; its latency objective counts from then.

    A retry keeps the deadline of its first try, so the deadline shows how long ago that was. A request
    that is not marked as a retry and has little time left is the first try of a client with a short deadline.

    Args:
        now: Ticks.
        arrival: The request.
        settings: The settings of its class.
    """
    time_left = arrival.deadline - now
    has_own_deadline = not arrival.is_retry and time_left < SHORT_DEADLINE_SHARE * settings.deadline
    return now if has_own_deadline else min(arrival.deadline - settings.deadline, now)


def latest_useful_start(request: PendingRequest) -> int:
    """Returns the tick from which an attempt of the request would end too late for its objective."""
    return min(request.objective_at - int(min_time_left(request)), request.deadline)


def is_too_late(now: int, request: PendingRequest, first_try: int) -> bool:
    """Whether any response to a new request would come too late to have a value.

    That holds if late responses have no value in its class, and its latest useful start has passed. As that
    start depends on the expected work, it counts only if the work is hinted or the request is overdue.

    Args:
        now: Ticks.
        request: A new request.
        first_try: Ticks, when the client first sent it.
    """
    settings = request.request_class.settings
    is_overdue = now - first_try > max(settings.latency_objective, MIN_OVERDUE_AGE_TICKS)
    start_is_known = request.work > 0 or is_overdue
    return start_is_known and settings.late_value == 0 and now >= latest_useful_start(request)


class Admission:
    """Sends, queues, hedges, retries and answers requests; each gets one final answer by its deadline."""

    def __init__(
        self,
        state: RoutingState,
        slow_start: SlowStart,
        limit: ConcurrencyLimit,
        retries: RetryPolicy,
        hedging: HedgingPolicy,
        stalls: StallDetection,
        selection: Selection,
    ) -> None:
        self._state = state
        self._slow_start = slow_start
        self._limit = limit
        self._retries = retries
        self._hedging = hedging
        self._stalls = stalls
        self._selection = selection
        self.queue = RequestQueue(state)
        self.completion = Completion(state, self.queue)
        self._refresh_timer_set = False

    def admit(self, now: int, arrival: RequestArrival) -> None:
        """Sends a new request, queues it, or answers it at once if no response can have a value.

        Args:
            now: Ticks.
            arrival: The request.
        """
        settings = self._state.classes[arrival.class_index].settings
        first_try = first_try_at(now, arrival, settings)
        request = self._state.add_request(arrival, first_try)
        if now >= request.deadline or is_too_late(now, request, first_try):
            self.completion.answer(request)
            return
        warming_only = bool(self.queue) or self._limit.reached()  # queued requests go first
        if not self._selection.try_send(now, request, warming_only):
            self._enqueue(now, request)

    def attempt_ended(self, now: int, request: PendingRequest, *, request_over: bool) -> None:
        """Closes a request that is over, or retries one that has no attempt in flight.

        Args:
            now: Ticks.
            request: The request of the attempt.
            request_over: Whether the client has its answer or does not wait for one.
        """
        if request.answered:
            self.completion.forget_if_over(request)
        elif request_over:
            self.completion.close(request)
        elif not request.in_flight:
            self._retry(now, request)

    def _retry(self, now: int, request: PendingRequest) -> None:
        if now >= request.deadline or self._retries.permitted_scope(now, request) is None:
            self.completion.answer(request)
        elif not self._selection.try_send(now, request):
            self._enqueue(now, request)

    def review(self, now: int, request: PendingRequest) -> None:
        """Answers a request whose time is over, keeps it queued, or hedges it; called on the request's timer.

        Args:
            now: Ticks.
            request: A request without an answer.
        """
        queued = request in self.queue
        if now >= request.deadline or (queued and now >= latest_useful_start(request)):
            self.completion.answer(request)
        elif queued:
            self._state.set_request_timer(now, request, latest_useful_start(request))
        else:
            self._stalls.eject_unresponsive_backends(now, request)
            self._hedge_if_due(now, request)

    def _hedge_if_due(self, now: int, request: PendingRequest) -> None:
        if self._hedging.hedge_due(now, request) and self._selection.try_send(now, request):
            self._hedging.charge(request)
        else:
            self._hedging.postpone(now, request)

    def _enqueue(self, now: int, request: PendingRequest) -> None:
        self.queue.add(request)
        if not self._refresh_timer_set:  # otherwise only the end of an own attempt would drain the queue
            self._set_refresh_timer()
        self._state.set_request_timer(now, request, latest_useful_start(request))

    def drain_queue_on_timer(self, now: int) -> None:
        """Drains the queue, and sets the timer again unless the queue was empty before.

        Args:
            now: Ticks.
        """
        self._refresh_timer_set = bool(self.queue)
        self.drain_queue(now)
        if self._refresh_timer_set:
            self._set_refresh_timer()

    def drain_queue(self, now: int) -> None:
        """Sends the queued requests that a backend has capacity for, highest priority first.

        Args:
            now: Ticks.
        """
        if not self.queue or (self._limit.reached() and now >= self._slow_start.all_warm_from):
            return
        unsent = 0
        for request in self.queue.by_priority():
            if self._selection.try_send(now, request, self._limit.reached()):
                self.queue.discard(request)
            else:
                unsent += 1  # the next may be sent, as this one may be restricted to a full zone or cell
            if unsent > MAX_UNSENT_REQUESTS:
                return

    def _set_refresh_timer(self) -> None:
        self._refresh_timer_set = True
        self._state.actions.set_timer(REFRESH_INTERVAL_TICKS, REFRESH_TIMER)
