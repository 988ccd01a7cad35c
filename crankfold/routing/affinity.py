"""Affinity: the preferred backends of a key, which cache its data, by rendezvous hashing."""

from crankfold.routing.backend_table import Backends
from crankfold.routing.concurrency_limit import max_load_ratio
from crankfold.routing.hashing import hash_weight
from crankfold.routing.records import PendingRequest
from crankfold.routing.state import RoutingState

PREFERRED_BACKENDS = 2  # per key
MAX_CACHED_BACKENDS = 100_000  # in the cached orders of all keys, as clients choose their keys


class KeyAffinity:
    """Finds the preferred backends of a key; all instances derive the same order."""

    def __init__(self, state: RoutingState) -> None:
        self._state = state
        self._order_of_key: dict[int, Backends] = {}

    def endpoints_changed(self) -> None:
        """Drops the cached orders, which depend on the ready backends and their weights."""
        self._order_of_key.clear()

    def preferred(self, request: PendingRequest, candidates: Backends) -> Backends:
        """Returns the first candidates in the rendezvous order of the key, most preferred first.

        Backends with more load than `max_load_ratio` allows are skipped, so the result may be empty.

        Args:
            request: A request with a key.
            candidates: Backends that may take it.
        """
        objective = request.request_class.settings.latency_objective
        max_ratio = max_load_ratio(objective, self._state.averages.mean_run)
        with_short_wait = {b for b in candidates if not b.capacity or b.load <= max_ratio * b.capacity}
        order = self._rendezvous_order(request.key)
        return [b for b in order if b in with_short_wait][:PREFERRED_BACKENDS]

    def _rendezvous_order(self, key: int) -> Backends:
        """Returns all ready backends; each is first for a share of all keys proportional to its weight."""
        order = self._order_of_key.get(key)
        if order is None:
            ready = self._state.table.ready
            order = sorted(
                ready, key=lambda backend: hash_weight(key, backend.endpoint.hash_position) / backend.weight
            )
            self._cache(key, order)
        return order

    def _cache(self, key: int, order: Backends) -> None:
        """Keeps the order of a key in place of that of the oldest one, if there are too many."""
        if (len(self._order_of_key) + 1) * len(order) > MAX_CACHED_BACKENDS and self._order_of_key:
            del self._order_of_key[next(iter(self._order_of_key))]
        self._order_of_key[key] = order
