"""Admission: a request is sent, queued, shed or failed; the queue and its order."""

from operator import itemgetter

from crankfold.routing.concurrency_limit import ConcurrencyLimit
from crankfold.routing.final_answer import FinalAnswer, final_answer
from crankfold.routing.hedging import HedgingPolicy
from crankfold.routing.interface import REFRESH_TIMER, SECOND, RequestArrival
from crankfold.routing.outlier_ejection import HangDetection
from crankfold.routing.records import PendingRequest
from crankfold.routing.retries import RetryPolicy
from crankfold.routing.selection import Selection
from crankfold.routing.slow_start import SlowStart
from crankfold.routing.state import RoutingState

REFRESH_INTERVAL = SECOND // 4  # ticks between two refreshes
MAX_RETRY_AFTER = SECOND  # ticks
MAX_MISSES = 3  # queued requests that find no place before the rest of the queue waits on


class Admission:
    """Owns the queue; what is owed is one final answer to each request, by its deadline."""

    def __init__(
        self,
        state: RoutingState,
        slow_start: SlowStart,
        limit: ConcurrencyLimit,
        retries: RetryPolicy,
        hedging: HedgingPolicy,
        hangs: HangDetection,
        selection: Selection,
    ) -> None:
        self.state = state
        self.slow_start = slow_start
        self.limit = limit
        self.retries = retries
        self.hedging = hedging
        self.hangs = hangs
        self.selection = selection
        self.queue: dict[int, PendingRequest] = {}
        self.refresh_timer_set = False

    def admit(self, now: int, arrival: RequestArrival) -> None:
        """Sends a new request, queues it, or answers it at once where no answer can be worth anything."""
        settings = self.state.classes[arrival.class_index].settings
        # A client's retry keeps the deadline, and so the objective, of its first try. One with less than half
        # of the usual time left is an impatient client's, whose frantic repeats are late.
        impatient = not arrival.is_retry and 2 * (arrival.deadline - now) < settings.deadline
        first_try_at = now if impatient else min(arrival.deadline - settings.deadline, now)
        request = self.state.add_request(arrival, first_try_at)
        old = now - first_try_at > max(settings.latency_objective, SECOND // 2)
        proven = request.work > 0 or old  # a guess of its work is no proof
        worthless = proven and settings.late_value == 0 and now >= self.latest_useful_start(request)
        if now >= request.deadline or worthless:
            self.answer(request)  # what comes too late to be worth anything takes no slot from others
        elif not self.selection.try_send(now, request, bool(self.queue) or self.limit.reached()):
            self.enqueue(now, request)

    def answer(self, request: PendingRequest) -> None:
        """Gives the final answer: shed where a retry is harmless, otherwise failed."""
        may_have_executed = any(attempt.may_have_executed for attempt in request.attempts)
        settings = request.request_class.settings
        if final_answer(settings, may_have_executed=may_have_executed) is FinalAnswer.SHED:
            retry_after = min(self.state.config.max_retry_after, MAX_RETRY_AFTER)
            self.state.actions.shed(request.request_id, retry_after)
        else:
            self.state.actions.fail_request(request.request_id)
        self.close(request)

    def close(self, request: PendingRequest) -> None:
        """Cancels what an answered request still has in flight, so that it takes no slot from a live one."""
        request.answered = True
        self.queue.pop(request.request_id, None)
        self.state.cancel_attempts(request)
        if not request.in_flight:
            self.state.requests.pop(request.request_id, None)

    def enqueue(self, now: int, request: PendingRequest) -> None:
        """Holds a request back until a backend has room."""
        self.queue[request.request_id] = request
        if not self.refresh_timer_set:  # nothing of ours may come back that would send it on
            self.refresh_timer_set = True
            self.state.actions.set_timer(REFRESH_INTERVAL, REFRESH_TIMER)
        self.state.set_request_timer(now, request, self.latest_useful_start(request))

    def latest_useful_start(self, request: PendingRequest) -> int:
        """From here an answer comes late; a queued request is then ended, not kept to its deadline."""
        return min(request.objective_at - int(request.expected_work / 2), request.deadline)

    def attempt_ended(self, now: int, request: PendingRequest, *, last: bool) -> None:
        """Forgets or closes a request that is over, and tries one again that has nothing in flight."""
        if request.answered:
            if not request.in_flight:
                self.state.requests.pop(request.request_id, None)
        elif last:
            self.close(request)
        elif not request.in_flight:
            if now >= request.deadline or self.retries.permitted_scope(now, request) is None:
                self.answer(request)
            elif not self.selection.try_send(now, request):
                self.enqueue(now, request)

    def review(self, now: int, request: PendingRequest) -> None:
        """On its timer ends a request whose time is over, keeps it queued, or hedges it."""
        queued = request.request_id in self.queue
        if now >= request.deadline or (queued and now >= self.latest_useful_start(request)):
            self.answer(request)
        elif queued:
            self.state.set_request_timer(now, request, self.latest_useful_start(request))
        else:
            self.hangs.eject_unresponsive_backends(now, request)
            self._hedge_if_due(now, request)

    def _hedge_if_due(self, now: int, request: PendingRequest) -> None:
        if self.hedging.hedge_due(now, request) and self.selection.try_send(now, request):
            self.hedging.charge(request)
        else:
            self.hedging.postpone(now, request)

    def drain_queue_on_timer(self, now: int) -> None:
        """Drains the queue, and again after a refresh interval if it held anything."""
        self.refresh_timer_set = bool(self.queue)
        self.drain_queue(now)
        if self.refresh_timer_set:
            self.state.actions.set_timer(REFRESH_INTERVAL, REFRESH_TIMER)

    def drain_queue(self, now: int) -> None:
        """Sends on what the queue holds and backends have room for, the highest queue priority first."""
        if not self.queue or (self.limit.reached() and now >= self.slow_start.all_warm_from):
            return  # nothing can be sent, so the queue need not be put in order
        misses = 0
        offered = sum(known.offered_value for known in self.state.classes)
        ranked = [(self._queue_priority(request, offered or 1.0), request) for request in self.queue.values()]
        for _, request in sorted(ranked, key=itemgetter(0), reverse=True):
            if self.selection.try_send(now, request, self.limit.reached()):
                del self.queue[request.request_id]
            else:
                misses += 1  # it may be bound to a full scope while others are free to go
            if misses > MAX_MISSES:
                return

    def _queue_priority(self, request: PendingRequest, offered: float) -> tuple[float, int]:
        """What answering a request adds to the service, for the work it takes; then the newest."""
        config = self.state.config
        request_class = request.request_class
        value = request.value(by_work=config.priority_by_work)
        gain = (1.0 - config.worst_class_weight) * value / offered
        if request_class is self.state.classes[self.state.worst_class]:
            gain += config.worst_class_weight * value / (request_class.offered_value or 1.0)
        return gain / (request.slots * request.slots * request.expected_work), request.request_id
