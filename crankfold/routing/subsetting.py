"""Subsetting: the part of a large fleet that this instance keeps to (deterministic aperture)."""

from math import ceil, gcd, inf

from crankfold.routing.backend_table import Backend
from crankfold.routing.concurrency_limit import ConcurrencyLimit
from crankfold.routing.slow_start import SlowStart
from crankfold.routing.state import RoutingState

MIN_SUBSET = 5  # backends
MIN_SHORT_SUBSET = 3  # backends kept for short requests
SLOW_START_SENDERS = 5  # instances at most that share the budget of one warming backend
MAX_FULL_VIEW = 20  # instances: up to so many each sees enough of what the others send to use the whole fleet
SHARE_STEPS = 64  # in which the share of the short requests is counted
SHARE_TOLERANCE = 8  # steps by which it may move before the subset is drawn anew
MIN_SHORT_SHARE = 0.25  # of the fleet, for requests shorter than the mean, where those are kept apart
MIN_MEASURED = 10  # requests, until which short and long ones are kept apart in any case


class Subset:
    """Draws as many backends as own traffic keeps busy: of others' load little is known."""

    def __init__(self, state: RoutingState, slow_start: SlowStart, limit: ConcurrencyLimit) -> None:
        self.state = state
        self.slow_start = slow_start
        self.limit = limit
        self.ring: list[Backend] = []  # all that are ready, in the order of drawing
        self.members: list[Backend] = []
        self.short: list[Backend] = []  # of the members those for short requests
        self.long: list[Backend] = []
        self.size = 0
        self.short_share = 0  # steps
        self.current = False

    def endpoints_changed(self) -> None:
        """Orders the ring anew: zone by zone, so that a stretch of it has its share of each."""
        self.ring = sorted(self.state.table.ready, key=lambda backend: (backend.zone, backend.hash_position))
        self.current = False

    def refresh(self, now: int) -> None:
        """Draws the members anew if the endpoints, the size or the share of short requests have changed."""
        size = self._wanted_size()
        share = self._wanted_short_share()
        if self.current and size == self.size and share == self.short_share:
            return
        self.size = size
        self.short_share = share
        self.current = now >= self.slow_start.all_warm_from
        state = self.state
        ready = state.table.ready
        crowded = state.instance_count > MAX_FULL_VIEW
        state.sparse = len(ready) > size and crowded and not state.keys_seen  # keys have preferred backends
        if state.sparse:
            self._draw(now)
        else:
            self._take_all()
        self.limit.scale(sum(b.weight * self.slow_start.capacity_share(now, b) for b in ready))

    def _wanted_size(self) -> int:
        averages = self.state.averages
        run = averages.total_work / averages.request_count  # of what came in: what is done first is short
        size = max(MIN_SUBSET, ceil(averages.arrivals / (averages.observed_time or inf) * run))
        # Another size is another subset, of which nothing is known yet.
        return self.size if 3 * self.size <= 5 * size <= 6 * self.size else size

    def _wanted_short_share(self) -> int:
        # The score takes running times as alike. Where sight is too sparse to tell who waits behind a long or
        # wide request, short ones have backends of their own, by positions the same ones at every instance.
        averages = self.state.averages
        unknown = averages.request_count < MIN_MEASURED and not self.state.weights_follow_load
        steps = SHARE_STEPS if averages.multi_slot_seen or unknown else 0
        share = int(steps * max(averages.short_slot_work / averages.slot_work, MIN_SHORT_SHARE))
        return self.short_share if abs(share - self.short_share) < SHARE_TOLERANCE else share

    def _take_all(self) -> None:
        ready = self.state.table.ready
        self.members = ready
        self.short = ready
        self.long = ready
        count = self.state.instance_count
        senders = min(SLOW_START_SENDERS, count)
        for backend in ready:
            position = (self.state.instance_index + int(backend.hash_position * count)) % count
            backend.own_share = (position < senders) / senders

    def _draw(self, now: int) -> None:
        bound = self.short_share / SHARE_STEPS
        short = self._draw_evenly(now, [b for b in self.ring if b.hash_position < bound], MIN_SHORT_SUBSET)
        long = self._draw_evenly(now, [b for b in self.ring if b.hash_position >= bound], self.size)
        self.short = short or long
        self.long = long or short
        self.members = short + long

    def _position_in_stretch(self, stretch: int) -> float:
        """Own place among all in a stretch of the ring: evenly apart, and next to others in each stretch."""
        count = self.state.instance_count
        factor = (2 * stretch + 1) * 0x9E3779B1 % count
        while gcd(factor, count) != 1:
            factor += 1
        return (self.state.instance_index * factor % count + 0.5) / count

    def _draw_evenly(self, now: int, ring: list[Backend], size: int) -> list[Backend]:
        """One backend for each so much of the listed weight along the ring.

        All subsets together then hold each backend as often as its weight says.
        """
        total = sum(b.weight for b in ring)
        warm = sum(b.weight for b in ring if b.warm_from <= now)
        # Warming ones come on top, as they cannot carry a place yet.
        step = warm / size or total / max(len(ring), 1)
        drawn = []
        passed = 0.0
        stretch = 0
        at = self._position_in_stretch(0) * step
        for backend in ring:
            # Whoever looks beyond the subset must not send to warming ones there as well.
            backend.own_share = 0.0
            passed += backend.weight
            if passed > at:
                drawn.append(backend)
                backend.own_share = min(max(step / backend.weight, 1.0) / self.state.instance_count, 1.0)
            while passed > at:
                stretch += 1
                at = (stretch + self._position_in_stretch(stretch)) * step
        return drawn
