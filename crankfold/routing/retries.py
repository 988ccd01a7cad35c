"""Retry permission: whether a request may be attempted again, and at which backends."""

from crankfold.routing.backend_table import Backend
from crankfold.routing.interface import DeduplicationScope, Idempotency
from crankfold.routing.records import ANYWHERE, Attempt, AttemptScope, PendingRequest
from crankfold.routing.state import RoutingState


def within_deduplication_window(now: int, sent_at: int, window: int, margin: int) -> bool:
    """Whether backends still know the idempotency key of an attempt, and so would not execute it twice.

    Args:
        now: Ticks.
        sent_at: Ticks, when the earlier attempt was sent.
        window: Ticks for which backends remember a key.
        margin: Ticks that may pass between `now` and the arrival of another attempt at its backend.
    """
    return now + margin < sent_at + window


def scope_around(scope: DeduplicationScope, backend: Backend) -> AttemptScope:
    """Returns the scope of the backends that know the idempotency keys which the given backend has seen."""
    if scope == DeduplicationScope.ZONE:
        return AttemptScope(zone=backend.zone)
    if scope == DeduplicationScope.CELL:
        return AttemptScope(cell=backend.endpoint.cell)
    return ANYWHERE


class RetryPolicy:
    """Permits another attempt of a request if a second execution is impossible or harmless."""

    def __init__(self, state: RoutingState) -> None:
        self._state = state

    def permitted_scope(self, now: int, request: PendingRequest) -> AttemptScope | None:
        """Returns the backends that another attempt may be sent to; None if no attempt is permitted.

        An attempt is permitted while attempts are left and each earlier one was certainly not executed, is of
        an idempotent request, or has an idempotency key within its deduplication window. In the last case the
        new attempt has to stay within the deduplication scope.

        Args:
            now: Ticks.
            request: The request, with its attempts so far.
        """
        if not self._attempts_left(request):
            return None
        settings = request.request_class.settings
        scope = ANYWHERE
        for attempt in request.attempts:
            if not attempt.may_have_executed or settings.idempotency == Idempotency.IDEMPOTENT:
                continue
            if settings.idempotency == Idempotency.NON_IDEMPOTENT:
                return None
            if not self._is_deduplicated(now, attempt, settings.deduplication_window):
                return None
            scope = scope_around(settings.deduplication_scope, attempt.backend)
        return scope

    def _attempts_left(self, request: PendingRequest) -> bool:
        """Whether the request has attempts left under the settings at its arrival and the present ones."""
        return len(request.attempts) < min(request.max_attempts, self._state.config.max_attempts)

    def _is_deduplicated(self, now: int, attempt: Attempt, window: int) -> bool:
        # The margin covers late timers: the attempt may be sent that much later than `now`.
        return within_deduplication_window(now, attempt.sent_at, window, self._state.clock_margin)
