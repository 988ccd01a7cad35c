"""Scoring: the backend with the least outstanding work for its weight, ties at random.

The score of a backend is

    (reported queue + own slots in flight + slots of the request) / weight

`Backend.load` is the reported queue and the own slots together. `Backend.score_factor` is one over the
weight, larger for a backend that is slow or warming up. Two kinds of requests are scored otherwise: in a
subset of a large fleet only the queue beyond the backend's slots counts, and with a key the fetch of its data
counts too.
"""

from crankfold.routing.backend_table import Backend, Backends
from crankfold.routing.random_generator import RandomGenerator
from crankfold.routing.records import PendingRequest

FETCH_COST_SLOTS = 3.0  # of work that fetching the data of a key counts as


def least_loaded(
    request: PendingRequest, backends: Backends, random: RandomGenerator, *, sparse: bool
) -> Backend:
    """Returns the backend with the smallest score; equal scores are decided at random.

    Args:
        request: The request to be sent.
        backends: One or more candidates; for a request with a key the most preferred one first.
        random: Decides ties.
        sparse: Whether this instance knows little of what the others send.
    """
    if sparse:
        scores = _scores_by_queue(backends)
    elif request.key:
        scores = _scores_with_fetch_cost(request.slots, backends)
    else:
        scores = _scores_by_load(request.slots, backends)
    least = min(scores)
    best = [backend for backend, score in zip(backends, scores, strict=True) if score == least]
    return best[0] if len(best) == 1 else best[random.below(len(best))]


def _scores_by_load(slots: float, backends: Backends) -> list[float]:
    return [(b.load + slots) * b.score_factor for b in backends]


def _scores_with_fetch_cost(slots: float, backends: Backends) -> list[float]:
    """Scores by load, and by the fetch of the key's data at all but the most preferred backend."""
    preferred = backends[0]
    return [(b.load + slots + FETCH_COST_SLOTS * (b is not preferred)) * b.score_factor for b in backends]


def _scores_by_queue(backends: Backends) -> list[float]:
    """Scores by the load beyond the backend's slots, and by the own slots there.

    All instances see the same busy slots, late, and by them would all choose the backend with the largest
    weight.
    """
    return [(max(b.load - b.capacity, 0.0) + b.own_slots) * b.score_factor for b in backends]
