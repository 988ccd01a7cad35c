"""Scoring: chooses the backend with the least outstanding work for its weight, ties at random.

The score of a backend is

    (reported queue + own slots in flight + slots of the request) / weight

`Backend.load` is the sum of the reported queue and the own slots. `Backend.score_factor` is one over the
weight, and larger for a backend that is slow or warming up. There are two exceptions: in a subset of a large
fleet only the queue beyond the backend's slots counts, and for a request with a key the fetch of its data
counts too.
"""

from crankfold.routing.backend_table import Backend, Backends
from crankfold.routing.random_generator import RandomGenerator
from crankfold.routing.records import PendingRequest

FETCH_COST_SLOTS = 3.0  # fetching the data of a key counts as this much load


def least_loaded(
    request: PendingRequest, backends: Backends, random: RandomGenerator, *, uses_subset: bool
) -> Backend:
    """Returns the backend with the smallest score; ties are broken at random.

    Args:
        request: The request to send.
        backends: One or more candidates; for a request with a key the most preferred one first.
        random: Breaks ties.
        uses_subset: Whether this instance sends to a subset, and so knows little about the load of others.
    """
    if uses_subset:
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
    """Scores by load, plus the cost of fetching the key's data at all but the most preferred backend."""
    preferred = backends[0]
    return [(b.load + slots + FETCH_COST_SLOTS * (b is not preferred)) * b.score_factor for b in backends]


def _scores_by_queue(backends: Backends) -> list[float]:
    """Scores by the load beyond the backend's slots, plus this instance's own slots there.

    Busy slots below the capacity do not count: all instances see the same outdated number of them, and would
    all choose the backend with the largest weight.
    """
    return [(max(b.load - b.capacity, 0.0) + b.own_slots) * b.score_factor for b in backends]
