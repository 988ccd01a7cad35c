"""Selection: whether a request can be sent now, and to which backend."""

from crankfold.routing.attempt_sender import AttemptSender, charged_work
from crankfold.routing.candidates import Candidates
from crankfold.routing.records import PendingRequest
from crankfold.routing.retries import RetryPolicy
from crankfold.routing.scoring import least_loaded
from crankfold.routing.slow_start import SlowStart
from crankfold.routing.state import RoutingState


class Selection:
    """Sends a request to the best of its candidates."""

    def __init__(
        self,
        state: RoutingState,
        slow_start: SlowStart,
        retries: RetryPolicy,
        candidates: Candidates,
        sender: AttemptSender,
    ) -> None:
        self._state = state
        self._slow_start = slow_start
        self._retries = retries
        self._sender = sender
        self.candidates = candidates

    def try_send(self, now: int, request: PendingRequest, warming_only: bool = False) -> bool:
        """Sends an attempt of the request if one is permitted and a backend can take it.

        Args:
            now: Ticks.
            request: The request to send.
            warming_only: Whether only a backend in slow start may take it.

        Returns:
            Whether an attempt was sent.
        """
        if warming_only and now >= self._slow_start.all_warm_from:
            return False
        scope = self._retries.permitted_scope(now, request)
        if scope is None:
            return False
        work = charged_work(request)
        eligible = self.candidates.eligible(now, request, scope, work, warming_only=warming_only)
        if not eligible:
            return False
        backend = least_loaded(request, eligible, self._state.random, uses_subset=self._state.uses_subset)
        self._sender.send(now, request, backend)
        return True
