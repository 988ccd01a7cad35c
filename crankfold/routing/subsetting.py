"""Subsetting: the part of a large fleet that this instance sends to (deterministic aperture).

An instance among many sees little of what the others send. It keeps to as many backends as its own traffic
keeps busy, so that its own attempts there are a good part of the load that it sees. The backends stand on a
ring, the same at every instance, and the instances draw their subsets evenly along it.
"""

from math import ceil, gcd, inf

from crankfold.routing.backend_table import Backends
from crankfold.routing.concurrency_limit import ConcurrencyLimit
from crankfold.routing.slow_start import SlowStart
from crankfold.routing.state import RoutingState

MIN_SUBSET_BACKENDS = 5
MIN_SHORT_SUBSET_BACKENDS = 3  # of the subset, for short requests
MAX_SLOW_START_SENDERS = 5  # instances that share the budget of one warming backend
MAX_INSTANCES_WITHOUT_SUBSETS = 20  # up to so many, each knows enough of the load of all backends
SHARE_STEPS = 64  # in which the share of short requests is counted
SHARE_TOLERANCE_STEPS = 8  # by which it may change before the subset is drawn anew
MIN_SHORT_SHARE = 0.25  # of the fleet, for short requests
MIN_OBSERVED_REQUESTS = 10  # before their slots decide whether short requests need separate backends
# A subset is kept while the wanted size is from 3/5 to 6/5 of its size: little is known of other backends.
SIZE_RATIO_DENOMINATOR = 5
MIN_KEPT_SIZE_NUMERATOR = 3
MAX_KEPT_SIZE_NUMERATOR = 6
GOLDEN_RATIO_32 = 0x9E3779B1  # 2^32 over the golden ratio: multiples of it are spread evenly
MIDDLE = 0.5  # offset to the middle of an instance's place


class Subset:
    """Draws the subset, within it the backends for short requests, and shares of slow-start budgets."""

    def __init__(self, state: RoutingState, slow_start: SlowStart, limit: ConcurrencyLimit) -> None:
        self._state = state
        self._slow_start = slow_start
        self._limit = limit
        self._ring: Backends = []  # all that are ready, in the order of drawing
        self.members: Backends = []
        self.short: Backends = []  # of the members those for short requests
        self.long: Backends = []
        self._size = 0  # backends
        self._short_share = 0  # steps
        self._is_current = False

    def endpoints_changed(self) -> None:
        """Orders the ring anew: zone by zone, so that a stretch of it has its share of each zone."""
        ready = self._state.table.ready
        self._ring = sorted(ready, key=lambda backend: (backend.zone, backend.endpoint.hash_position))
        self._is_current = False

    def refresh(self, now: int) -> None:
        """Draws the members anew if the endpoints, the size or the share of short requests have changed.

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
        self._state.sparse = self._needs_subset()
        if self._state.sparse:
            self._draw(now)
        else:
            self._use_whole_fleet()
        ready = self._state.table.ready
        self._limit.scale(sum(b.weight * self._slow_start.capacity_share(now, b) for b in ready))

    def _needs_subset(self) -> bool:
        """Whether instances are many, the fleet is larger than the subset, and no keys restrict requests."""
        many_instances = self._state.instance_count > MAX_INSTANCES_WITHOUT_SUBSETS
        return len(self._state.table.ready) > self._size and many_instances and not self._state.keys_seen

    def _wanted_size(self) -> int:
        """Backends that the traffic keeps busy: requests that come in each tick, times their mean work."""
        averages = self._state.averages
        mean_work = averages.total_work / averages.request_count
        busy = ceil(averages.arrivals / (averages.observed_time or inf) * mean_work)
        size = max(MIN_SUBSET_BACKENDS, busy)
        scaled = SIZE_RATIO_DENOMINATOR * size
        keeps_size = MIN_KEPT_SIZE_NUMERATOR * self._size <= scaled <= MAX_KEPT_SIZE_NUMERATOR * self._size
        return self._size if keeps_size else size

    def _wanted_short_share(self) -> int:
        """The share of backends for short requests, in steps; 0 where short and long ones share backends.

        The score takes running times as alike. Where an instance cannot see which backends run a long
        request, or one of several slots, short requests would wait behind it.
        """
        averages = self._state.averages
        few_observed = averages.request_count < MIN_OBSERVED_REQUESTS
        unknown = few_observed and not self._state.weights_follow_load
        steps = SHARE_STEPS if averages.multi_slot_seen or unknown else 0
        share = int(steps * max(averages.short_slot_work / averages.slot_work, MIN_SHORT_SHARE))
        is_close = abs(share - self._short_share) < SHARE_TOLERANCE_STEPS
        return self._short_share if is_close else share

    def _use_whole_fleet(self) -> None:
        ready = self._state.table.ready
        self.members = ready
        self.short = ready
        self.long = ready
        count = self._state.instance_count
        senders = min(MAX_SLOW_START_SENDERS, count)
        for backend in ready:
            position = (self._state.instance_index + int(backend.endpoint.hash_position * count)) % count
            backend.own_share = (position < senders) / senders

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
        """Draws one backend for each `step` of listed weight along the ring, and sets budget shares.

        All subsets together then hold each backend as often as its weight says. The length of a stretch
        counts warm backends alone, so warming ones are drawn in addition.

        Args:
            now: Ticks.
            ring: Backends in ring order. Sets the share of the slow-start budget of each: 0 if not drawn.
            size: Backends to be drawn, if all are warm.
        """
        total = sum(b.weight for b in ring)
        warm = sum(b.weight for b in ring if b.warm_from <= now)
        step = warm / size or total / max(len(ring), 1)  # weight of a stretch
        drawn = []
        passed = 0.0
        stretch = 0
        place = self._place_in_stretch(0) * step
        for backend in ring:
            backend.own_share = 0.0
            passed += backend.weight
            if passed > place:
                drawn.append(backend)
                backend.own_share = min(max(step / backend.weight, 1.0) / self._state.instance_count, 1.0)
            while passed > place:
                stretch += 1
                place = (stretch + self._place_in_stretch(stretch)) * step
        return drawn

    def _place_in_stretch(self, stretch: int) -> float:
        """This instance's place within a stretch of the ring, from 0 to 1.

        The instances' places are evenly apart, in another order on each stretch, so that no two instances
        share all their backends.
        """
        count = self._state.instance_count
        factor = (2 * stretch + 1) * GOLDEN_RATIO_32 % count
        while gcd(factor, count) != 1:
            factor += 1
        return (self._state.instance_index * factor % count + MIDDLE) / count
