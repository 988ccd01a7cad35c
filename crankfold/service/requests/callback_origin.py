"""Which attempt a callback belongs to: callbacks name the request and the backend, but not the attempt.

A backend repeats each callback until it has received an answer, so that a callback of an earlier attempt may
come while a later attempt of the same request is in flight at that backend. The callback that ends the
execution can then be

* of the attempt in flight, if no earlier attempt can be the origin of such a callback;
* of an earlier attempt, if the attempt in flight contradicts it; it is ignored then;
* of either. The attempt in flight may still run then, so it is cancelled before it is treated as ended.
"""

from collections.abc import Iterator
from enum import Enum, auto

from crankfold.routing.interface import Outcome
from crankfold.service.requests.table import Attempt, Request


class CallbackOrigin(Enum):
    """The origin of a callback that ends an execution."""

    CURRENT_ATTEMPT = auto()
    EARLIER_ATTEMPT = auto()
    UNCERTAIN = auto()


def origin_of_end(request: Request, attempt: Attempt, outcome: Outcome) -> CallbackOrigin:
    """Returns the origin of a callback that ends an execution.

    Args:
        request: The request that the callback names.
        attempt: The attempt that is in flight at the backend that sent the callback.
        outcome: The reported outcome.
    """
    if not attempt.was_assigned_connection():
        return CallbackOrigin.EARLIER_ATTEMPT  # the backend has not received the attempt yet
    earlier = list(_earlier_attempts(request, attempt))
    if not request.id_was_attempted and not any(other.may_report_end(outcome) for other in earlier):
        return CallbackOrigin.CURRENT_ATTEMPT
    if outcome is Outcome.OVERLOADED and attempt.started and _start_is_certain(request, earlier):
        return CallbackOrigin.EARLIER_ATTEMPT  # a backend does not return what it has started
    return CallbackOrigin.UNCERTAIN


def _earlier_attempts(request: Request, attempt: Attempt) -> Iterator[Attempt]:
    """Yields the earlier attempts that the backend of an attempt may have received."""
    for other in request.attempts[: attempt.number]:
        if other.backend == attempt.backend and other.was_assigned_connection():
            yield other


def _start_is_certain(request: Request, earlier: list[Attempt]) -> bool:
    """Whether a reported start is of the attempt in flight, as none of the earlier ones has ever started."""
    return not request.id_was_attempted and not any(other.may_have_run for other in earlier)
