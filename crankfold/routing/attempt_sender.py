"""Sends attempts and charges them to the backend, the concurrency limit and the budgets."""

from crankfold.routing.backend_table import Backend
from crankfold.routing.concurrency_limit import ConcurrencyLimit
from crankfold.routing.hedging import HedgingPolicy
from crankfold.routing.records import Attempt, PendingRequest
from crankfold.routing.slow_start import SlowStart
from crankfold.routing.state import RoutingState

UNHINTED_WORK_FACTOR = 2  # unhinted work may exceed the typical running time, so it is charged by this factor


def charged_work(request: PendingRequest) -> float:
    """Returns the work, in slot-ticks, that an attempt of the request is charged for."""
    return request.slots * (request.work or UNHINTED_WORK_FACTOR * request.request_class.typical_run)


class AttemptSender:
    """Sends attempts and charges each for its work."""

    def __init__(
        self, state: RoutingState, slow_start: SlowStart, limit: ConcurrencyLimit, hedging: HedgingPolicy
    ) -> None:
        self._state = state
        self._slow_start = slow_start
        self._limit = limit
        self._hedging = hedging

    def send(self, now: int, request: PendingRequest, backend: Backend) -> None:
        """Sends the request to the backend.

        Args:
            now: Ticks.
            request: The request; the attempt is added to it.
            backend: The backend. An attempt in slow start is charged to the slow-start budget instead of the
                concurrency limit.
        """
        work = charged_work(request)
        in_slow_start = backend.warm_from > now
        attempt = Attempt(backend, now, slow_start=in_slow_start)
        request.attempts.append(attempt)
        backend.attempt_sent(now, request.slots)
        if self._state.start_notifications:
            backend.unstarted += 1
        elif backend.load <= backend.capacity:
            attempt.started_at = now  # a backend with a free slot starts it at once
        if in_slow_start:
            self._slow_start.charge(now, backend, work)
        else:
            self._limit.in_flight += 1
        self._state.actions.send_attempt(request.request_id, backend.index)
        self._hedging.attempt_sent(now, request, work)
