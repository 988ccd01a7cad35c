"""Subsetting: the part of a large fleet that this instance sends to (deterministic aperture).

Each of many instances knows little about what the others send. It therefore sends only to as many backends
as its own traffic keeps busy, so that its own attempts are a large part of their load. All instances order
the backends in the same ring, and each draws its subset evenly along the ring.
"""

from math import ceil, gcd, inf

from crankfold.routing.backend_table import Backends
from crankfold.routing.concurrency_limit import ConcurrencyLimit
from crankfold.routing.slow_start import SlowStart
from crankfold.routing.state import RoutingState

MIN_SUBSET_BACKENDS = 5
MIN_SHORT_SUBSET_BACKENDS = 3  # members of the subset reserved for short requests
MAX_SLOW_START_SENDERS = 5  # instances that share the budget of one warming backend
MAX_INSTANCES_WITHOUT_SUBSETS = 20  # up to this number, each knows enough about the load of all backends
SHARE_STEPS = 64  # the share of short requests is a multiple of 1 / SHARE_STEPS
SHARE_TOLERANCE_STEPS = 8  # a smaller change of that share does not cause a new draw
MIN_SHORT_SHARE = 0.25  # lowest share of the fleet reserved for short requests
MIN_OBSERVED_REQUESTS = 10  # needed before their slots decide whether short requests get separate backends
# The size of a subset changes only if the wanted size is under 3/5 or over 6/5 of it, as little is known
# about the load of new members. The ratios are integers so that the comparison is exact.
SIZE_RATIO_DENOMINATOR = 5
MIN_SIZE_RATIO_NUMERATOR = 3
MAX_SIZE_RATIO_NUMERATOR = 6
GOLDEN_RATIO_32 = 0x9E3779B1  # 2^32 over the golden ratio: its multiples, modulo a number, are spread evenly
MIDDLE = 0.5  # an instance draws at the middle of its part of a segment


class Subset:
    """Draws the subset, its members for short requests, and the own shares of slow-start budgets."""

    def __init__(self, state: RoutingState, slow_start: SlowStart, limit: ConcurrencyLimit) -> None:
        self._state = state
        self._slow_start = slow_start
        self._limit = limit
        self._ring: Backends = []  # all ready backends, in the order of the draw
        self.members: Backends = []
        self.short: Backends = []  # members for short requests
        self.long: Backends = []  # members for the other requests
        self._size = 0  # backends
        self._short_share = 0  # steps of 1 / SHARE_STEPS
        self._is_current = False

    def endpoints_changed(self) -> None:
        """Sorts the ring again, zone by zone, so that each subset has its share of each zone."""
        ready = self._state.table.ready
        self._ring = sorted(ready, key=lambda backend: (backend.zone, backend.endpoint.hash_position))
        self._is_current = False

    def refresh(self, now: int) -> None:
        """Redraws the members if the endpoints, the wanted size or the share of short requests have changed.

        Args:
            now: Ticks.
        """
        size = self._wanted_size()
        share = self._wanted_short_share()
        if self._is_current and size == self._size and share == self._short_share:
            return
        self._size = size
        self._short_share = share
        self._is_current = now >= self._slow_start.all_warm_from
        self._state.uses_subset = self._needs_subset()
        if self._state.uses_subset:
            self._draw(now)
        else:
            self._use_all_ready_backends()
        ready = self._state.table.ready
        self._limit.scale(sum(b.weight * self._slow_start.capacity_share(now, b) for b in ready))

    def _needs_subset(self) -> bool:
        """Whether instances are many, the fleet exceeds the subset, and no request had an affinity key."""
        many_instances = self._state.instance_count > MAX_INSTANCES_WITHOUT_SUBSETS
        return len(self._state.table.ready) > self._size and many_instances and not self._state.keys_seen

    def _wanted_size(self) -> int:
        """Returns how many backends the traffic keeps busy: arrivals per tick times their mean work.

        Returns the present size if the result is close to it.
        """
        averages = self._state.averages
        mean_work = averages.total_work / averages.request_count
        busy = ceil(averages.arrivals / (averages.observed_time or inf) * mean_work)
        size = max(MIN_SUBSET_BACKENDS, busy)
        scaled = SIZE_RATIO_DENOMINATOR * size
        min_scaled = MIN_SIZE_RATIO_NUMERATOR * self._size
        max_scaled = MAX_SIZE_RATIO_NUMERATOR * self._size
        return self._size if min_scaled <= scaled <= max_scaled else size

    def _wanted_short_share(self) -> int:
        """Returns the share of backends for short requests, in steps; 0 if all requests share the backends.

        The score of a backend does not consider how long its requests run. An instance cannot see which
        backends execute a long request, or one of several slots, and short requests would wait behind it.
        """
        averages = self._state.averages
        few_observed = averages.request_count < MIN_OBSERVED_REQUESTS
        unknown = few_observed and not self._state.weights_follow_load
        steps = SHARE_STEPS if averages.multi_slot_seen or unknown else 0
        share = int(steps * max(averages.short_slot_work / averages.slot_work, MIN_SHORT_SHARE))
        is_close = abs(share - self._short_share) < SHARE_TOLERANCE_STEPS
        return self._short_share if is_close else share

    def _use_all_ready_backends(self) -> None:
        ready = self._state.table.ready
        self.members = ready
        self.short = ready
        self.long = ready
        count = self._state.instance_count
        if not self._state.has_own_index:
            for backend in ready:
                backend.slow_start_share = 1.0 / count
            return
        senders = min(MAX_SLOW_START_SENDERS, count)
        for backend in ready:
            position = (self._state.instance_index + int(backend.endpoint.hash_position * count)) % count
            backend.slow_start_share = (position < senders) / senders

    def _draw(self, now: int) -> None:
        bound = self._short_share / SHARE_STEPS
        for_short = [b for b in self._ring if b.endpoint.hash_position < bound]
        for_long = [b for b in self._ring if b.endpoint.hash_position >= bound]
        short = self._draw_evenly(now, for_short, MIN_SHORT_SUBSET_BACKENDS)
        long = self._draw_evenly(now, for_long, self._size)
        self.short = short or long
        self.long = long or short
        self.members = short + long

    def _draw_evenly(self, now: int, ring: Backends, size: int) -> Backends:
        """Draws one backend for each segment of the ring, and sets its share of the slow-start budget.

        Segments have equal weight, so all subsets together hold each backend in proportion to its weight.
        That weight is computed from warm backends alone, so warming ones are drawn in addition.

        Args:
            now: Ticks.
            ring: Backends in ring order. Those that are not drawn get no share of the slow-start budget.
            size: Number of backends to draw if all are warm.
        """
        total = sum(b.weight for b in ring)
        warm = sum(b.weight for b in ring if b.warm_from <= now)
        segment_weight = warm / size or total / max(len(ring), 1)
        drawn = []
        passed_weight = 0.0
        segment = 0
        next_drawn_at = self._position_in_segment(0) * segment_weight
        for backend in ring:
            backend.slow_start_share = 0.0
            passed_weight += backend.weight
            if passed_weight > next_drawn_at:
                drawn.append(backend)
                backend.slow_start_share = self._share_of_drawn(segment_weight / backend.weight)
            while passed_weight > next_drawn_at:
                segment += 1
                next_drawn_at = (segment + self._position_in_segment(segment)) * segment_weight
        return drawn

    def _share_of_drawn(self, instances_per_sender: float) -> float:
        """Returns this instance's share of the slow-start budget of a backend that it has drawn.

        Args:
            instances_per_sender: With configured indices, one in this many instances draws the backend.
                Instances with random indices may all draw it, so each gets an equal share.
        """
        if not self._state.has_own_index:
            return 1.0 / self._state.instance_count
        return min(max(instances_per_sender, 1.0) / self._state.instance_count, 1.0)

    def _position_in_segment(self, segment: int) -> float:
        """Returns this instance's position within a segment of the ring, from 0 to 1.

        The positions of the instances are evenly spaced, in a different order in each segment, so that no
        two instances share all their backends.
        """
        count = self._state.instance_count
        factor = (2 * segment + 1) * GOLDEN_RATIO_32 % count
        while gcd(factor, count) != 1:
            factor += 1
        return (self._state.instance_index * factor % count + MIDDLE) / count
