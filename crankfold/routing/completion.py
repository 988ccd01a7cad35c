"""Completion: final answers to requests without a response, and the removal of answered requests."""

from crankfold.routing.final_answer import FinalAnswer, final_answer
from crankfold.routing.records import PendingRequest
from crankfold.routing.request_queue import RequestQueue
from crankfold.routing.state import RoutingState
from crankfold.time_units import TICKS_PER_SECOND

MAX_RETRY_AFTER_TICKS = TICKS_PER_SECOND


class Completion:
    """Answers, closes and removes requests."""

    def __init__(self, state: RoutingState, queue: RequestQueue) -> None:
        self._state = state
        self._queue = queue

    def answer(self, request: PendingRequest) -> None:
        """Sheds or fails the request, as `final_answer` says, and closes it."""
        may_have_executed = any(attempt.may_have_executed for attempt in request.attempts)
        settings = request.request_class.settings
        if final_answer(settings, may_have_executed=may_have_executed) is FinalAnswer.SHED:
            retry_after = min(self._state.config.max_retry_after, MAX_RETRY_AFTER_TICKS)
            self._state.actions.shed(request.request_id, retry_after)
        else:
            self._state.actions.fail_request(request.request_id)
        self.close(request)

    def close(self, request: PendingRequest) -> None:
        """Closes a request that needs no further answer, and cancels its attempts, which occupy slots."""
        request.answered = True
        self._queue.discard(request)
        self._state.cancel_attempts(request)
        self.forget_if_over(request)

    def forget_if_over(self, request: PendingRequest) -> None:
        """Removes the record of an answered request that has no attempt in flight."""
        if request.answered and not request.in_flight:
            self._state.requests.pop(request.request_id, None)
