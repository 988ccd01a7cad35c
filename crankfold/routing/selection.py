"""Selection: the backend that a request goes to, and the sending of an attempt."""

from crankfold.routing.backend_table import Backend, Backends
from crankfold.routing.hashing import hash_weight
from crankfold.routing.load_reports import LoadReports
from crankfold.routing.records import Attempt, AttemptScope, PendingRequest
from crankfold.routing.retries import RetryPolicy
from crankfold.routing.subsetting import Subset

SPARE_SLOTS = 0.25  # by which the estimated load may exceed the capacity of a backend that has room
MAX_LOAD = 1.3  # fillings of a backend's slots behind which a request is late and rather waits here
MAX_UTILIZATION = 2.0  # requests for each core by the list from which a backend is left out
PREFERRED_BACKENDS = 2  # for each key
FETCH_COST = 3.0  # requests that fetching the data of a key counts as
WAIT_SHARE = 0.4  # of the latency objective that a wait for a preferred backend may take


class Selection:
    """Chooses by the smallest score among the candidates; owns the preferred backends of keys."""

    def __init__(self, subset: Subset, reports: LoadReports, retries: RetryPolicy) -> None:
        self.state = subset.state
        self.subset = subset
        self.reports = reports
        self.retries = retries
        self.slow_start = subset.slow_start
        self.limit = subset.limit
        self.ejection = retries.ejection
        self.order_of_key: dict[int, Backends] = {}  # until the endpoints change

    def try_send(self, now: int, request: PendingRequest, warming_only: bool = False) -> bool:
        """Sends the request to a backend, on demand one in slow start; False if none may take it now."""
        if warming_only and now >= self.slow_start.all_warm_from:
            return False
        scope = self.retries.permitted_scope(now, request)
        if scope is None:
            return False
        # Work without a hint may be far more and counts twice, above all at a warming backend.
        burden = request.slots * (request.work or 2 * request.request_class.typical_run)
        candidates = self._candidates(now, request, scope, burden)
        eligible = self._with_room(now, request, candidates, warming_only)
        if not eligible:
            return False
        self._send(now, request, self._least_loaded(request, eligible), burden)
        return True

    def _candidates(self, now: int, request: PendingRequest, scope: AttemptScope, burden: float) -> Backends:
        """The backends that may take the request, however loaded they are."""
        ready = self.state.table.ready
        short = self.state.averages.is_short(request.expected_work)
        usual = ready if request.key else self.subset.short if short else self.subset.long
        pool = usual
        if scope.zone >= 0:
            pool = [b for b in ready if b.zone == scope.zone]
        elif scope.cell >= 0:
            pool = [b for b in ready if b.cell == scope.cell]
        healthy = self._healthy(now, request, pool, burden)
        if not healthy and pool is usual and self.state.sparse:
            pool = ready  # ejected, overloaded or warming members leave the subset bare
            healthy = self._healthy(now, request, pool, burden)
        if pool is not usual:
            self.reports.update_scores(now, pool)
        return healthy

    def _healthy(self, now: int, request: PendingRequest, pool: Backends, burden: float) -> Backends:
        admits = self.slow_start.admits
        rested = [b for b in pool if b.overloaded_until <= now]
        able = [b for b in rested if b.warm_from <= now or admits(now, b, burden)]
        healthy = self.ejection.trusted(now, able)
        if self.state.weights_follow_load and (self.state.sparse or request.key):
            healthy = [b for b in healthy if b.utilization < MAX_UTILIZATION] or healthy
        if request.attempts:
            tried = [attempt.backend for attempt in request.attempts]
            untried = [b for b in healthy if b not in tried]
            return untried or ([] if request.in_flight else healthy)
        return healthy

    def _with_room(self, now: int, request: PendingRequest, pool: Backends, warming_only: bool) -> Backends:
        """Of the candidates those to be scored: with room, near, and preferred for the key."""
        paced = request.work and self.state.averages.run_per_work
        ends_in_time = self.slow_start.ends_in_time
        if paced:
            pool = [b for b in pool if b.warm_from <= now or ends_in_time(now, request, b)] or pool
        need = request.slots
        roomy = [b for b in pool if b.load + need <= b.capacity + SPARE_SLOTS and not b.unstarted]
        if warming_only:
            roomy = [b for b in roomy if b.warm_from > now and ends_in_time(now, request, b)]
            pool = roomy
        # Behind a second filling of its slots a request is late anyway: it waits here, free to go elsewhere.
        if not roomy:
            pool = [b for b in pool if not b.capacity or b.load + need <= MAX_LOAD * b.capacity + need]
        if not pool or (not roomy and request.in_flight):
            return []
        # A slow-start budget lapses unless it is used, and who gets so little keeps nobody waiting.
        if paced:
            roomy = [b for b in roomy if b.warm_from > now] or roomy
        near = [b for b in roomy if b.zone == self.state.zone] or roomy or pool
        return self._preferred(request, pool) or near if request.key else near

    def _preferred(self, request: PendingRequest, candidates: Backends) -> Backends:
        """The first in an order of the key's own, the same at every instance, but where the wait is long."""
        order = self.order_of_key.get(request.key)
        if order is None:
            key = request.key
            ready = self.state.table.ready
            order = sorted(ready, key=lambda each: hash_weight(key, each.hash_position) / each.weight)
            self.order_of_key[key] = order
        objective = request.request_class.settings.latency_objective
        deepest = 1.0 + WAIT_SHARE * objective / self.state.averages.mean_run
        near = {b for b in candidates if not b.capacity or b.load <= deepest * b.capacity}
        return [b for b in order if b in near][:PREFERRED_BACKENDS]

    def _least_loaded(self, request: PendingRequest, pool: Backends) -> Backend:
        need = request.slots
        if self.state.sparse:
            # What waits beyond the slots: with busy ones counted the heaviest of a subset drew all requests.
            scores = [(max(b.load - b.capacity, 0.0) + b.own_slots) * b.score_factor for b in pool]
        elif request.key:
            # What has to be fetched first where the key's data is not kept counts as requests ahead of it.
            first = pool[0]
            scores = [(b.load + need + FETCH_COST * (b is not first)) * b.score_factor for b in pool]
        else:
            scores = [(b.load + need) * b.score_factor for b in pool]
        least = min(scores)
        best = [b for b, score in zip(pool, scores, strict=True) if score == least]
        return best[0] if len(best) == 1 else best[self.state.random.below(len(best))]

    def _send(self, now: int, request: PendingRequest, backend: Backend, burden: float) -> None:
        in_slow_start = backend.warm_from > now
        attempt = Attempt(backend, now, slow_start=in_slow_start)
        request.attempts.append(attempt)
        backend.add_slots(now, request.slots)
        if self.state.start_notifications:
            backend.unstarted += 1
        elif backend.load <= backend.capacity:
            attempt.started_at = now  # as good as notified
        if in_slow_start:
            self.slow_start.charge(now, backend, burden)
        else:
            self.limit.in_flight += 1
        self.state.actions.send_attempt(request.request_id, backend.index)
        self.retries.record_send(now, request, burden)
