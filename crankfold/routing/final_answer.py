"""Final answer: whether a request without a response from a backend is shed or failed."""

from enum import Enum, auto

from crankfold.routing.interface import DeduplicationScope, Idempotency, RequestClass


class FinalAnswer(Enum):
    """The answer to the client of a request that has no result."""

    SHED = auto()  # a retry is harmless
    FAILED = auto()  # the request may have been executed, and a retry may execute it again


def final_answer(settings: RequestClass, *, may_have_executed: bool) -> FinalAnswer:
    """Returns the answer to a request that has no result.

    SHED promises that a retry is harmless. That holds if no attempt can have been executed, if executing the
    request again does no harm, or if all backends know its idempotency key.

    Args:
        settings: The settings of the request's class.
        may_have_executed: Whether an attempt of the request may have been executed.
    """
    if not may_have_executed or settings.idempotency == Idempotency.IDEMPOTENT:
        return FinalAnswer.SHED
    keyed = settings.idempotency == Idempotency.IDEMPOTENT_WITH_KEY
    if keyed and settings.deduplication_scope == DeduplicationScope.GLOBAL:
        return FinalAnswer.SHED
    return FinalAnswer.FAILED
