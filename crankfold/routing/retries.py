"""Retry permission: whether, and where, a request may be attempted again."""

from crankfold.routing.backend_table import Backend
from crankfold.routing.interface import DeduplicationScope, Idempotency
from crankfold.routing.records import ANYWHERE, Attempt, AttemptScope, PendingRequest
from crankfold.routing.state import RoutingState


def within_deduplication_window(now: int, sent_at: int, window: int, margin: int) -> bool:
    """Whether backends still know the idempotency key of an attempt and would not execute it twice.

    Args:
        now: Ticks.
        sent_at: Ticks, when the earlier attempt was sent.
        window: Ticks for which backends remember a key.
        margin: Ticks that may pass between `now` and the arrival of another attempt at its backend.
    """
    return now + margin < sent_at + window


def scope_around(scope: DeduplicationScope, backend: Backend) -> AttemptScope:
    """Returns the backends that know the idempotency keys which the given backend has seen."""
    if scope == DeduplicationScope.ZONE:
        return AttemptScope(zone=backend.zone)
    if scope == DeduplicationScope.CELL:
        return AttemptScope(cell=backend.endpoint.cell)
    return ANYWHERE


class RetryPolicy:
    """Permits further attempts of a request that would not be executed twice."""

    def __init__(self, state: RoutingState) -> None:
        self._state = state

    def permitted_scope(self, now: int, request: PendingRequest) -> AttemptScope | None:
        """Returns where another attempt may go; None where none is permitted.

        Permitted while attempts are left and each earlier attempt has certainly not been executed, is of an
        idempotent request, or has a key that is still within its deduplication window. In the last case the
        attempt has to stay within the deduplication scope.

        Args:
            now: Ticks.
            request: With its attempts so far.
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
        """Whether the request has attempts left, by the settings at its arrival and by those now in force."""
        return len(request.attempts) < min(request.max_attempts, self._state.config.max_attempts)

    def _is_deduplicated(self, now: int, attempt: Attempt, window: int) -> bool:
        # The margin covers a late timer: the decision may be acted on that much later than `now`.
        return within_deduplication_window(now, attempt.sent_at, window, self._state.clock_margin)
