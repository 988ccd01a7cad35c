"""Every decision of a dispatcher: which runner gets a work unit, when, and how often.

Make a Dispatcher from StandingOrders, a seed and a Port, and tell it what happens by the calls of
`Dispatching`; it answers by calling the port. Words: crankfold/routing/interface.py. It reads no clock and
no wire; the same calls bring the same actions. A work unit passes owed -> paced -> effects -> membership ->
health -> choice, and what comes back runs the other way.
"""

from collections import deque
from collections.abc import Collection, Sequence
from itertools import zip_longest
from math import ceil, gcd, inf, log, sqrt

from crankfold.routing.interface import (
    DeduplicationScope,
    Endpoint,
    EndpointState,
    Idempotency,
    Outcome,
    RoutingActions,
    RoutingConfig,
)

SECOND = 10_000
AGE_LIMIT = 5 * SECOND  # a report older than this no longer tells one runner from another
PROBE_EVERY, CHORES = 2 * SECOND, SECOND // 4
DOUBT_FIRST, DOUBT_LONGEST, SILENT, FULL_REST = SECOND, 8 * SECOND, SECOND, SECOND // 4
BLEND, WINDOW, PACE, SPARE, DEEP = 0.12, 10, 0.85, 0.25, 1.3
FADE = 0.975  # four times a second: what was asked and got is remembered for some ten seconds
REPORT_LAG = 4 * SECOND // 10  # how long before it arrives a report was taken
COPY_SHARE, COPY_BURST = 0.3, 5.0
# Fewest runners a dispatcher keeps to; most dispatchers that a cold one gets units from, and that use all:
CIRCLE, FEW, MANY = 5, 5, 20  # up to so many each sees enough of what the others send
HOMES, FETCH, PATIENT = 2, 3.0, 0.4  # runners for a key; units that fetching its data counts as; see _homes
LONG = 2.0  # units for each core by the list from which a runner is left out
QUICK = 0.25  # least share of the fleet kept for units shorter than the mean, where units are kept apart
POLL_TIMER, REFRESH_TIMER = 1, 2  # labels of wakes that concern no unit; a unit's own is FIRST_UNIT + unit
FIRST_REQUEST_TIMER = 8
NEVER_EXECUTED = (Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.NOT_SENT)


def hash_weight(key: int, mark: float) -> float:
    x = (key ^ int(mark * 0x100000) * 0x9E3779B97F4A7C15) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    return -log((((x ^ x >> 29) * 0x94D049BB133111EB >> 33 & 0x7FFFFFFF) + 1) / 0x80000000)


class Attempt:
    __slots__ = (
        "backend",
        "slow_start",
        "sent_at",
        "heard_at",
        "started_at",
        "in_flight",
        "may_have_executed",
    )

    def __init__(self, runner: int, now: int, cold: bool) -> None:
        self.slow_start = cold  # paced by allowance and outside the in-flight limit
        self.backend, self.sent_at, self.heard_at, self.started_at = runner, now, now, -1
        self.in_flight = self.may_have_executed = True


class PendingRequest:
    __slots__ = (
        "request_id",
        "class_index",
        "deadline",
        "objective_at",
        "work",
        "slots",
        "attempts",
        "answered",
        "hedge_delay",
        "max_attempts",
        "key",
    )

    def __init__(
        self, no: int, grade: int, cutoff: int, due: int, work: int, slots: float, most: int, key: int
    ) -> None:
        self.request_id, self.class_index, self.deadline, self.objective_at, self.max_attempts = (
            no,
            grade,
            cutoff,
            due,
            most,
        )
        self.work, self.slots, self.key = work, slots, key
        self.attempts: list[Attempt] = []
        self.answered, self.hedge_delay = False, 0


class Router:
    def __init__(self, orders: RoutingConfig, seed: int, port: RoutingActions) -> None:
        self.actions, self.random_state = port, seed & 0xFFFFFFFFFFFFFFFF
        self.zone, self.clock_margin, self.sharers = (
            orders.zone,
            2 * orders.timer_resolution,
            orders.instance_count,
        )
        self.request_classes = orders.request_classes[:0]
        self.typical_run: list[float] = []
        self.copies = 0.0
        self._follow_orders(orders)
        self.weights_follow_load, self.tells, self.by_key = (
            orders.weights_follow_load,
            orders.start_notifications,
            orders.key_affinity,
        )
        self.keyed = False  # units with keys come
        self.sizes: dict[int, float] = {}  # by kind, the most listed, where weights move with load
        self.homes: dict[int, list[int]] = {}  # by key
        self.quiet = (
            5 * orders.progress_interval // 2
        )  # started work without progress for so long stands still
        at = {name: place for place, name in enumerate(orders.report_fields)}
        self.at_queue, self.at_free = at.get("queue", -1), at.get("free_slots", -1)
        # The list serves few calls a second: all together at most ten, at first and at each repeat.
        few = max(min(orders.poll_within // 8, 2 * SECOND), 1)
        self.ask_pause, self.ask_longest = (
            few,
            min(2 * max(orders.poll_within, few), orders.change_notice_within // 2),
        )
        self.ask_spread = min(
            self.sharers * SECOND // 10, orders.poll_within // 2, orders.change_notice_within // 2
        )
        self.probe_all = orders.probing_allowed and orders.reports_by_probe
        self.probe_some = (
            orders.probing_allowed and orders.reports_in_responses and not self.weights_follow_load
        )
        self.cold_from, self.warm_after = orders.initial_capacity, orders.warm_up_time
        # Half of what all may send, as most lapses at who has no unit: at less a replaced fleet stood idle.
        self.cold_pace, self.cold_span = max(orders.overload_factor / 2, 1.0), orders.overload_period
        self.number = orders.instance_index if orders.instance_index >= 0 else self.random_below(self.sharers)
        self.requests: dict[int, PendingRequest] = {}
        self.queue: dict[int, PendingRequest] = {}
        self.inflight, self.limit, self.window_at, self.sampled = 0, inf, 0, 0
        self.mean_wait, self.mean_run = 0.0, 1.0 * SECOND  # the usual ones, fading
        self.ready: list[int] = []
        # In order of drawing; the steady part in use; of it those for short units and for long ones.
        self.ring, self.subset, self.short_subset, self.long_subset = ([0][:0] for _ in range(4))
        self.size, self.share = 0, 0
        self.drawn, self.sparse, self.cold_until = (0, 0), False, 0
        self.refused, self.surveyed_at, self.roused, self.arrivals, self.watched = 0, -1, False, 0.0, 0.0
        # Running times taken and how many; work taken, and that of units shorter than the mean.
        self.total_work, self.measured, self.wide = sum(self.typical_run), len(self.typical_run), False
        self.all_work, self.short_work = 5 * self.total_work, 5 * QUICK * self.total_work
        self.slots_of: dict[int, float] = {}  # by kind, as reports and starts show them
        # Figures about runners, by index: others' work by the reports (queue and busy slots, less own), own
        # slots out there, both together (what the score weighs), slots, share of errors, running times there,
        # fading, against those expected, what tells it apart at every dispatcher, its size by the list, one
        # over that less what a cold or slowed one lacks, own part of what all may send it while cold, its
        # weight as listed, units for each core that this shows.
        (
            self.reported_queue,
            self.own_slots,
            self.load,
            self.capacity,
            self.error_rate,
            self.run_sum,
            self.due_sum,
            self.mark,
            self.weight,
            self.per_weight,
            self.own_share,
            self.shown,
            self.utilization,
        ) = self.reals = [[0.0][:0] for _ in range(13)]
        # The present length of doubt, 0 for trusted; own dispatches without a start note; when a cold one may
        # get its next unit, 0 for not drawn yet.
        (
            self.standing,
            self.runner_zone,
            self.cell,
            self.kind,
            self.started_at,
            self.warm_from,
            self.overloaded_until,
            self.ejection_time,
            self.ejected_until,
            self.waiting,
            self.slow_start_next,
            self.report_at,
            self.heard_at,
            self.probe_out,
        ) = self.counts = [[0][:0] for _ in range(14)]
        self.recent: list[deque[tuple[int, float]]] = []  # own slots sent (+) and come back (-) of late
        self.report: list[Sequence[float]] = []
        self.next_probe, self.room_of_one, self.middle_pace = 0, 1.0, 1.0
        self.brisk = 0.0  # usual running time of hinted work on a slot of weight 1; 0 while not known
        self.mean, self.strength = 0.0, 1.0  # of others' work; of the fleet
        if orders.discovery_by_poll and self.ask_spread < SECOND:
            port.poll_endpoints()
        elif orders.discovery_by_poll:
            port.set_timer(
                self.random_below(self.ask_spread), POLL_TIMER
            )  # forty that start together would all be turned away

    def _follow_orders(self, orders: RoutingConfig, anew: Collection[int] = ()) -> None:
        # Running time, followed as answers come: a client is taken to wait for some ten times of it.
        self.typical_run = [
            known if g == before and row not in anew else max(g.deadline / 10, 1.0)
            for row, (g, before, known) in enumerate(
                zip_longest(orders.request_classes, self.request_classes, self.typical_run)
            )
        ]
        self.request_classes = list(orders.request_classes)
        self.effect, self.group = (
            [g.idempotency for g in orders.request_classes],
            [g.deduplication_scope for g in orders.request_classes],
        )
        self.window, self.cutoff = (
            [g.deduplication_window for g in orders.request_classes],
            [g.deadline for g in orders.request_classes],
        )
        self.expected, self.stretch = (
            [g.latency_objective for g in orders.request_classes],
            [g.objective_per_work for g in orders.request_classes],
        )
        self.revenue, self.by_work = (
            [g.priority_weight for g in orders.request_classes],
            orders.priority_by_work,
        )
        self.asked, self.got = [0.0] * len(orders.request_classes), [0.0] * len(orders.request_classes)
        self.care, self.worst = orders.worst_class_weight, 0  # how much the worst-served grade counts
        self.tardy, self.usual = (
            [g.late_value for g in self.request_classes],
            sum(self.expected) / max(len(self.request_classes), 1),
        )
        self.patience = [min(max(g.latency_objective // 2, 400), SECOND // 2) for g in orders.request_classes]
        self.most, self.copy_share = orders.max_attempts, COPY_SHARE * orders.hedging_allowed
        self.may_cancel, self.advice = orders.cancellation_allowed, min(orders.max_retry_after, SECOND)

    def config_changed(self, now: int, orders: RoutingConfig, anew: Collection[int] = ()) -> None:
        """Other grades and bounds; rows `anew` are others' now. Units keep theirs, runners what is known."""
        self._follow_orders(orders, anew)
        self._pump(now)

    def random_below(self, below: int) -> int:
        self.random_state = (
            self.random_state * 6364136223846793005 + 1442695040888963407
        ) & 0xFFFFFFFFFFFFFFFF
        return ((self.random_state >> 33) * below) >> 31

    # --- what is owed: one final answer, by the cut-off ---

    def request_received(
        self,
        now: int,
        unit: int,
        grade: int,
        tenant: int,
        cutoff: int,
        work: int,
        slots: float,
        key: int = 0,
        again: bool = False,
    ) -> None:
        # A client's retry keeps its first try's cut-off, so the expected time counts from that first try. One
        # with less than half of the usual time is an impatient client's, whose frantic repeats are late.
        self.arrivals += 1.0
        self.refresh_if_due(now)
        hasty = not again and 2 * (cutoff - now) < self.cutoff[grade]
        first = now if hasty else min(cutoff - self.cutoff[grade], now)
        self.keyed = self.keyed or self.by_key and key > 0
        due = first + self.expected[grade] + int(self.stretch[grade] * (work or self.typical_run[grade]))
        u = self.requests[unit] = PendingRequest(
            unit,
            grade,
            cutoff - self.clock_margin,
            due,
            work,
            slots if slots > 0 else 1.0,
            self.most,
            key if self.by_key else 0,
        )
        self.asked[grade] += self._value(u)
        self.wide = self.wide or slots > 1.0
        length = work or self.typical_run[grade]
        if length * self.measured < self.total_work:
            self.short_work += length * slots
        self.all_work += length * slots
        self.total_work, self.measured = self.total_work + length, self.measured + 1
        old = work > 0 or now - first > max(self.expected[grade], SECOND // 2)  # a guess is no proof
        worthless = old and self.tardy[grade] == 0 and now >= self._hopeless_at(u)
        if now >= u.deadline or worthless:
            self._answer(u)  # what comes too late to be worth anything takes no slot from others
        elif not self._place(now, u, bool(self.queue) or self.inflight >= self.limit):
            self._hold(now, u)

    def _answer(self, u: PendingRequest) -> None:
        """The final answer: shed where a retry is harmless, otherwise given up."""
        u.answered = True
        ran = any(d.may_have_executed for d in u.attempts)
        effect = self.effect[u.class_index]
        anywhere = (
            effect == Idempotency.IDEMPOTENT_WITH_KEY
            and self.group[u.class_index] == DeduplicationScope.GLOBAL
        )
        if not ran or anywhere or effect == Idempotency.IDEMPOTENT:
            self.actions.shed(u.request_id, self.advice)
        else:
            self.actions.fail_request(u.request_id)
        self._leave(u)

    def _leave(self, u: PendingRequest) -> None:
        """What an ended unit still has out is called off, so that it takes no slot from a live one."""
        u.answered = True
        self.queue.pop(u.request_id, None)
        if self.may_cancel:
            for nth, d in enumerate(u.attempts):
                if d.in_flight:
                    self.actions.cancel_attempt(u.request_id, nth)
        if not any(d.in_flight for d in u.attempts):
            self.requests.pop(u.request_id, None)

    def client_disconnected(self, now: int, unit: int) -> None:
        if (u := self.requests.get(unit)) and not u.answered:
            self._leave(u)

    def request_aborted(self, now: int, unit: int) -> None:
        """The dispatcher ends. What never went out is shed, so that the client knows a retry is harmless."""
        if (u := self.requests.get(unit)) and not u.answered:
            self._answer(u)

    # --- pacing: when a unit goes ---

    def _hold(self, now: int, u: PendingRequest) -> None:
        self.queue[u.request_id] = u
        if not self.roused:  # nothing of ours may come back that would send it on
            self.roused = True
            self.actions.set_timer(CHORES, REFRESH_TIMER)
        self._wake(now, u, min(u.deadline, self._hopeless_at(u)))

    def _hopeless_at(self, u: PendingRequest) -> int:
        """From here an answer comes late; a held unit is then ended at once, not kept to its cut-off."""
        return min(u.objective_at - int((u.work or self.typical_run[u.class_index]) / 2), u.deadline)

    def _pump(self, now: int) -> None:
        misses = 0
        for u in sorted(self.queue.values(), key=self._pull, reverse=True):
            if self._place(now, u, self.inflight >= self.limit):
                del self.queue[u.request_id]
            else:
                misses += 1  # it may be bound to a full group while others are free to go
            if misses > 3:
                return

    def _value(self, u: PendingRequest) -> float:
        return self.revenue[u.class_index] * (
            u.slots * (u.work or self.typical_run[u.class_index]) if self.by_work else 1.0
        )

    def _pull(self, u: PendingRequest) -> tuple[float, int]:
        """What answering a held unit adds to the service, for the work it takes; then the newest."""
        g, value = u.class_index, self._value(u)
        gain = (1.0 - self.care) * value / (sum(self.asked) or 1.0)
        if g == self.worst:
            gain += self.care * value / (self.asked[g] or 1.0)
        return gain / (u.slots * u.slots * (u.work or self.typical_run[g])), u.request_id

    def sample_wait(self, now: int, sent_at: int, wait: int) -> None:
        """The in-flight limit follows shortest answer time (the run) over the present one (wait and run)."""
        if sent_at < self.window_at or self.weights_follow_load:
            return  # sent under an older limit: counting it again would shrink the limit once for each
        self.mean_wait += 0.1 * (wait - self.mean_wait)
        self.sampled += 1
        if self.sampled >= WINDOW:
            self._steer(now, min(1.0, 1.05 * self.mean_run / (self.mean_run + self.mean_wait + 1.0)), 4.0)

    def _steer(self, now: int, ratio: float, least: float) -> None:
        if self.limit == inf:
            if ratio == 1.0:
                return  # nothing waits yet: a limit from the few first units would hold the next ones back
            self.limit = 1.0 * self.inflight
        if ratio < 1.0 or self.inflight * 2 >= self.limit:
            # Never under the fair part of the fleet, or a wait at the start holds all back for long.
            warm = [self.capacity[r] for r in self.ready if self.warm_from[r] <= now]
            seen = [slots for slots in warm if slots]
            # Half as much again where a part is a few slots, which chance fills now and then.
            part = (1.5 if self.sparse and not self.weights_follow_load else 1.0) / self.sharers
            fair = max(sum(seen) / max(len(seen), 1) * len(warm) * part, least)
            self.limit = max(self.limit * max(ratio, 0.5) + 0.5 * sqrt(self.limit), fair)
        self.window_at, self.sampled = now, 0

    # --- effects: where a further dispatch may go ---

    def _permitted(self, now: int, u: PendingRequest) -> tuple[bool, int, int]:
        """Whether another dispatch is allowed, and the zone and cell it must keep to (-1 for any)."""
        zone = cell = -1
        if len(u.attempts) >= min(u.max_attempts, self.most):
            return False, zone, cell
        effect, group = self.effect[u.class_index], self.group[u.class_index]
        for d in u.attempts:
            if not d.may_have_executed or effect == Idempotency.IDEMPOTENT:
                continue
            # A second run of a once-only unit, or of a tagged one where its mark is not known.
            if (
                effect == Idempotency.NON_IDEMPOTENT
                or now + self.clock_margin >= d.sent_at + self.window[u.class_index]
            ):
                return False, zone, cell
            if group == DeduplicationScope.ZONE:
                zone = self.runner_zone[d.backend]
            elif group == DeduplicationScope.CELL:
                cell = self.cell[d.backend]
        return True, zone, cell

    # --- membership: drains and cold runners ---

    def endpoints_changed(self, now: int, entries: Sequence[Endpoint], whole: bool) -> None:
        self.refused = 0
        if whole:
            for r in self.ready:
                self.standing[r] = EndpointState.REMOVED
        for e in entries:
            while e.backend >= len(self.standing):
                self._enrol(now)
            r = e.backend
            if e.started_at > self.started_at[r]:
                # A restarted process holds nothing of what its old self reported or was doubted for.
                self.reported_queue[r] = self.error_rate[r] = 0.0
                self.load[r] = self.own_slots[r]
                self.ejection_time[r] = self.slow_start_next[r] = 0
            self.standing[r], self.weight[r] = e.state, e.weight if e.weight > 0 else 1.0
            self.shown[r] = e.weight
            if e.weight > 0:
                self.sizes[e.instance_type] = max(self.sizes.get(e.instance_type, 0.0), e.weight)
            self.runner_zone[r], self.cell[r], self.started_at[r] = e.zone, e.cell, e.started_at
            self.mark[r], self.kind[r], self.capacity[r] = (
                e.hash_position,
                e.instance_type,
                self.slots_of.get(e.instance_type, 0.0),
            )
            self.warm_from[r] = e.started_at + self.warm_after if e.started_at else 0
        self.homes.clear()
        self.ready = [r for r, s in enumerate(self.standing) if s == EndpointState.READY]
        if self.weights_follow_load:
            self._weigh(now)
        # Zone by zone, so that a stretch of the ring has its share of each.
        self.ring = sorted(self.ready, key=lambda r: (self.runner_zone[r], self.mark[r]))
        self.cold_until = max((self.warm_from[r] for r in self.ready), default=0)
        self.drawn = (0, 0)
        self._survey(now)
        self._pump(now)

    def _weigh(self, now: int) -> None:
        """Takes weights that move with load apart: size, the most that one of the kind was listed at, and
        units held. All see these alike and late and, free to choose, would lean one way: they are a report
        only where keys bind. A wait that expected times allow stands, or busy dispatchers shed in a calm."""
        held = size = 0.0
        for r in self.ready:
            self.weight[r] = self.sizes.get(self.kind[r], 1.0)
            self.utilization[r] = (
                self.weight[r] / (self.shown[r] if self.shown[r] > 0 else self.weight[r]) - 1.0
            )
            if self.keyed and self.capacity[r]:
                self._learn(now, r, self.utilization[r] * self.capacity[r], 1.0)
                self.report_at[r] = now
            if self.warm_from[r] <= now:
                held, size = held + self.weight[r] * self.utilization[r], size + self.weight[r]
        if size and now - self.window_at >= SECOND // 2:
            self._steer(
                now, min((1.0 + PATIENT * self.usual / self.mean_run) * size / (held or 1.0), 1.0), 1.0
            )

    def _draw_circle(self, now: int) -> None:
        """As many as own traffic keeps busy: what is out there is known only as far as it is one's own."""
        run = self.total_work / self.measured  # of what came in: what is done first is short
        size = max(CIRCLE, ceil(self.arrivals / (self.watched or inf) * run))
        if 3 * self.size <= 5 * size <= 6 * self.size:
            size = self.size  # another size is another circle, of which nothing is known yet
        # The score takes running times as alike. Where sight is too sparse to tell who waits behind a long or
        # wide unit, short ones have runners of their own, by marks the same ones at every dispatcher.
        apart = 64 if self.wide or self.measured < 10 and not self.weights_follow_load else 0
        share = int(apart * max(self.short_work / self.all_work, QUICK))
        if abs(share - self.share) < 8:
            share = self.share
        self.size, self.share = size, share
        if self.drawn == (size, share):
            return
        self.drawn = (0, 0) if now < self.cold_until else (size, share)
        self.sparse = len(self.ready) > size and self.sharers > MANY and not self.keyed  # keys have homes
        self.subset = self.short_subset = self.long_subset = self.ready
        if not self.sparse:
            few = min(FEW, self.sharers)
            for r in self.ready:
                self.own_share[r] = (
                    (self.number + int(self.mark[r] * self.sharers)) % self.sharers < few
                ) / few
        else:
            quick = self._even(now, [r for r in self.ring if self.mark[r] < share / 64], 3)
            long = self._even(now, [r for r in self.ring if self.mark[r] >= share / 64], size)
            self.short_subset, self.long_subset, self.subset = quick or long, long or quick, quick + long
        strength = sum(self.weight[r] * self._warmth(now, r) for r in self.ready)
        self.limit *= strength / self.strength or 1.0  # a fleet cut to a third takes a third, at once
        self.strength = strength or self.strength

    def _spot(self, stretch: int) -> float:
        """Own place among all in a stretch of the ring: evenly apart, and next to others in each stretch."""
        n, factor = self.sharers, (2 * stretch + 1) * 0x9E3779B1 % self.sharers
        while gcd(factor, n) != 1:
            factor += 1
        return (self.number * factor % n + 0.5) / n

    def _even(self, now: int, ring: list[int], size: int) -> list[int]:
        """One runner for each so much of the listed weight along the ring, so that all circles together hold
        each as often as its weight says."""
        whole = sum(self.weight[r] for r in ring)
        warm = sum(self.weight[r] for r in ring if self.warm_from[r] <= now)
        # Cold ones come on top, as they cannot carry a place yet.
        step = warm / size or whole / max(len(ring), 1)
        drawn, passed, stretch, at = ring[:0], 0.0, 0, self._spot(0) * step
        for r in ring:
            self.own_share[r] = (
                0.0  # whoever looks beyond the circle must not send to cold ones there as well
            )
            passed += self.weight[r]
            if passed > at:
                drawn.append(r)
                self.own_share[r] = min(max(step / self.weight[r], 1.0) / self.sharers, 1.0)
            while passed > at:
                stretch += 1
                at = (stretch + self._spot(stretch)) * step
        return drawn

    def refresh_if_due(self, now: int) -> None:
        """Surveys when there is something to decide, not by the clock: an idle dispatcher costs nothing."""
        if now - self.surveyed_at >= CHORES:
            self._survey(now)
            if self.probe_all or self.probe_some:
                self._probe(now)

    def _survey(self, now: int) -> None:
        """Now and then, off the path of single units: the figures that age by themselves."""
        passed = min(now - self.surveyed_at, 10 * SECOND) if self.surveyed_at >= 0 else 0
        fade = FADE ** (passed / CHORES)
        self.surveyed_at = now
        self.arrivals, self.watched = fade * self.arrivals, fade * self.watched + passed
        self._draw_circle(now)
        self.asked, self.got = [fade * v for v in self.asked], [fade * v for v in self.got]
        shares = [got / asked if asked else 1.0 for got, asked in zip(self.got, self.asked, strict=True)]
        self.worst = min(range(len(shares)), key=shares.__getitem__, default=0)
        fresh = [r for r in self.subset if now - self.report_at[r] < AGE_LIMIT]
        self.mean = sum(self.reported_queue[r] for r in fresh) / len(fresh) if fresh else 0.0
        rooms = sorted(self.capacity[r] / self.weight[r] for r in fresh if self.warm_from[r] <= now)
        self.room_of_one = rooms[len(rooms) // 2] if rooms else 1.0
        paces = sorted(self.run_sum[r] / self.due_sum[r] for r in self.subset if self.due_sum[r] > 0)
        # A unit may start and end in one instant: a middle pace of 0 would fail the next survey.
        self.middle_pace = max(paces[len(paces) // 2], 0.01) if paces else 1.0
        self._age(now, self.subset)

    def _age(self, now: int, pool: list[int]) -> None:
        for r in pool:
            if now - self.report_at[r] >= AGE_LIMIT:
                self.reported_queue[r], self.load[r] = self.mean, self.mean + self.own_slots[r]
            # Slower than the middle runner counts where it is more than kinds of runners differ by.
            slow = max(self.run_sum[r] / (self.due_sum[r] or 1.0) / self.middle_pace / 2.0, 1.0)
            self.per_weight[r] = slow / (self.weight[r] * self._warmth(now, r))

    def discovery_failed(self, now: int) -> None:
        # A jittered pause, longer each time: all lose the list at once and would ask again at once, and a
        # service whose queue outlasts its callers' patience works for nobody until enough stay away.
        pause = min(max(self.ask_pause, self.ask_spread) << min(self.refused, 4), self.ask_longest)
        self.actions.set_timer(pause // 4 + self.random_below(pause), POLL_TIMER)
        self.refused += 1

    def _enrol(self, now: int) -> None:
        for figures in self.reals:
            figures.append(0.0)
        for counts in self.counts:
            counts.append(0)
        self.report.append(())
        self.report_at[-1], self.heard_at[-1] = now - AGE_LIMIT - 1, now
        self.recent.append(deque())

    def _warmth(self, now: int, r: int) -> float:
        """The least share of its capacity that a runner can have by now."""
        if self.warm_from[r] <= now:
            return 1.0
        age = now - self.warm_from[r] + self.warm_after
        return self.cold_from + (1.0 - self.cold_from) * max(age, 0) / self.warm_after

    def _allowance(self, now: int, r: int) -> float:
        return self.cold_pace * self.room_of_one * self.weight[r] * self._warmth(now, r)

    def _cold_room(self, now: int, r: int, burden: float) -> bool:
        """Keeps this dispatcher's part of what a cold runner may be sent, copies included, saved up from a
        random start: a first unit of each of hundreds would push it over, a part too small leave it idle."""
        able = self._allowance(now, r)
        if self.waiting[r] or not self.own_share[r] or burden > self.cold_span * able:
            return False  # what it has not started yet is pressure enough
        if not self.slow_start_next[r]:
            self.slow_start_next[r] = now + self.random_below(int(burden / (able * self.own_share[r])) + 1)
        return now >= self.slow_start_next[r]

    # --- health ---

    def eject(self, now: int, r: int) -> None:
        self.ejection_time[r] = min(max(2 * self.ejection_time[r], DOUBT_FIRST), DOUBT_LONGEST)
        self.ejected_until[r] = now + self.ejection_time[r] + self.random_below(self.ejection_time[r] // 4)

    def _failed(self, now: int, r: int, at_once: bool) -> None:
        # Quick errors keep a queue short and would draw ever more work.
        self.error_rate[r] += 0.3 * (1.0 - self.error_rate[r])
        if at_once or self.error_rate[r] > 0.45 or self.ejection_time[r]:
            self.eject(now, r)

    # --- choice and send ---

    def _place(self, now: int, u: PendingRequest, cold_only: bool = False) -> bool:
        """To the smallest score among the candidates. Beyond the in-flight limit only to cold runners, whose
        allowance is a limit of its own and lapsed behind the common one."""
        if cold_only and now >= self.cold_until:
            return False
        allowed, zone, cell = self._permitted(now, u)
        if not allowed:
            return False
        # Work without a hint may be far more and counts twice, above all at a cold runner.
        burden = u.slots * (u.work or 2 * self.typical_run[u.class_index])
        short = (u.work or self.typical_run[u.class_index]) * self.measured < self.total_work
        pool = fitting = self.ready if u.key else self.short_subset if short else self.long_subset
        if zone >= 0:
            pool = [r for r in self.ready if self.runner_zone[r] == zone]
        elif cell >= 0:
            pool = [r for r in self.ready if self.cell[r] == cell]
        sound = self._sound(now, u, pool, burden)
        if not sound and pool is fitting and self.sparse:
            pool = self.ready  # doubt, `full` or cold runners leave the circle bare
            sound = self._sound(now, u, pool, burden)
        if pool is not fitting:
            self._age(now, pool)
        copy, need, load, room = any(d.in_flight for d in u.attempts), u.slots, self.load, self.capacity
        if u.work and self.brisk:
            sound = [r for r in sound if self.warm_from[r] <= now or self._in_time(now, u, r)] or sound
        roomy = [r for r in sound if load[r] + need <= room[r] + SPARE and not self.waiting[r]]
        if cold_only:
            roomy = sound = [r for r in roomy if self.warm_from[r] > now and self._in_time(now, u, r)]
        # Behind a second filling of its slots a unit is late anyway: it waits here, free to go elsewhere.
        if not roomy:
            sound = [r for r in sound if not room[r] or load[r] + need <= DEEP * room[r] + need]
        if not sound or (copy and not roomy):
            return False
        # A cold runner's allowance lapses unless it is sent, and who gets so little keeps nobody waiting.
        if u.work and self.brisk:
            roomy = [r for r in roomy if self.warm_from[r] > now] or roomy
        pool = [r for r in roomy if self.runner_zone[r] == self.zone] or roomy or sound
        if u.key:
            pool = self._homes(u, sound) or pool
        if self.sparse:
            # What waits beyond the slots: with busy ones counted the heaviest of each circle drew all units.
            scores = [(max(load[r] - room[r], 0.0) + self.own_slots[r]) * self.per_weight[r] for r in pool]
        else:
            # What has to be fetched first where the unit's data is not kept counts as units ahead of it.
            first = pool[0] if u.key else -1
            scores = [(load[r] + need + FETCH * (first not in (r, -1))) * self.per_weight[r] for r in pool]
        least = min(scores)
        best = [r for r, score in zip(pool, scores, strict=True) if score == least]
        self._send(now, u, best[0] if len(best) == 1 else best[self.random_below(len(best))], burden)
        return True

    def _homes(self, u: PendingRequest, sound: list[int]) -> list[int]:
        """The first in an order of the key's own, the same at every dispatcher, as each keeps few keys' data;
        not where a wait would take a good part of the expected time."""
        order = self.homes.get(u.key)
        if order is None:
            lots = {r: hash_weight(u.key, self.mark[r]) / self.weight[r] for r in self.ready}
            order = self.homes[u.key] = sorted(lots, key=lots.__getitem__)
        deep = 1.0 + PATIENT * self.expected[u.class_index] / self.mean_run
        near = {r for r in sound if not self.capacity[r] or self.load[r] <= deep * self.capacity[r]}
        return [r for r in order if r in near][:HOMES]

    def _in_time(self, now: int, u: PendingRequest, r: int) -> bool:
        """Whether the runner, if free, would end the unit in time, by its weight, warmth and usual paces."""
        run = u.work * self.brisk * (self.capacity[r] or 1.0) / (self.weight[r] * self._warmth(now, r))
        return now + run <= u.objective_at

    def _sound(self, now: int, u: PendingRequest, pool: list[int], burden: float) -> list[int]:
        able = [
            r
            for r in pool
            if self.overloaded_until[r] <= now
            and (self.warm_from[r] <= now or self._cold_room(now, r, burden))
        ]
        # Return by limited trial: one dispatch at a time until one is done.
        sound = [
            r
            for r in able
            if not self.ejection_time[r] or now >= self.ejected_until[r] and self.own_slots[r] == 0
        ]
        # When nearly all look bad, the suspicion is more likely wrong than the fleet.
        if 3 * len(sound) <= len(able):
            sound = able if len(able) > 2 else sound or able
        if self.weights_follow_load and (self.sparse or u.key):
            sound = [r for r in sound if self.utilization[r] < LONG] or sound
        if u.attempts:
            tried = [d.backend for d in u.attempts]
            sound = [r for r in sound if r not in tried] or (
                [] if any(d.in_flight for d in u.attempts) else sound
            )
        return sound

    def _send(self, now: int, u: PendingRequest, r: int, burden: float) -> None:
        cold = self.warm_from[r] > now
        u.attempts.append(Attempt(r, now, cold))
        self._count(now, r, u.slots)
        if self.tells:
            self.waiting[r] += 1
        elif self.load[r] <= self.capacity[r]:
            u.attempts[-1].started_at = now  # as good as said
        self.inflight += not cold
        if cold:
            self.slow_start_next[r] = now + int(burden / (self._allowance(now, r) * self.own_share[r]))
        self.actions.send_attempt(u.request_id, r, 0)
        self.copies = min(self.copies + self.copy_share * burden, COPY_BURST * self.mean_run)
        if self.sparse:
            u.hedge_delay = max(
                int((u.objective_at - now - (u.work or self.typical_run[u.class_index])) / 3), 400
            )
        else:
            u.hedge_delay = max(u.hedge_delay * 2, self.patience[u.class_index], int(4 * self.mean_wait))
        self._wake(now, u, now + u.hedge_delay)

    def _wake(self, now: int, u: PendingRequest, at: int) -> None:
        self.actions.set_timer(max(min(at, u.deadline) - now, 0), FIRST_REQUEST_TIMER + u.request_id)

    # --- what comes back ---

    def timer_fired(self, now: int, label: int) -> None:
        if label == POLL_TIMER:
            self.actions.poll_endpoints()
        elif label == REFRESH_TIMER:
            self.roused = bool(self.queue)
            self.refresh_if_due(now)
            self._pump(now)
            if self.roused:
                self.actions.set_timer(CHORES, REFRESH_TIMER)
        else:
            if (u := self.requests.get(label - FIRST_REQUEST_TIMER)) and not u.answered:
                self._review(now, u)

    def _review(self, now: int, u: PendingRequest) -> None:
        held = u.request_id in self.queue
        if now >= u.deadline or held and now >= self._hopeless_at(u):
            self._answer(u)
        elif held:
            self._wake(now, u, self._hopeless_at(u))
        else:
            self._overdue(now, u)

    def _overdue(self, now: int, u: PendingRequest) -> None:
        """A dispatch that does not start, or that stands still, gets a copy where the grade allows one."""
        stuck = True
        for d in u.attempts:
            if not d.in_flight:
                continue
            r = d.backend
            if d.started_at < 0:
                # Only a while without news is silence: copies for the mere wait took slots from other units.
                wait = now - d.sent_at
                stuck = stuck and self.heard_at[r] <= d.sent_at and 2 * wait > SILENT * (1 + self.sparse)
                if (
                    wait > SILENT
                    and self.tells
                    and self.heard_at[r] < d.sent_at
                    and not self.ejection_time[r]
                ):
                    self.eject(now, r)  # a hang: takes work and answers nothing
            elif self.quiet and now - d.heard_at > self.quiet:
                if not self.ejection_time[r]:
                    self.eject(now, r)
            else:
                stuck = False
        late = (
            self.tardy[u.class_index] == 0
            and now + (u.work or self.typical_run[u.class_index]) / 2 > u.objective_at
        )
        lone = sum(d.in_flight for d in u.attempts) < 2
        if stuck and lone and not late and self.copies > 0 and self._place(now, u):
            self.copies -= u.slots * (u.work or self.typical_run[u.class_index])
            return
        u.hedge_delay = max(u.hedge_delay, self.quiet)
        self._wake(now, u, now + u.hedge_delay)

    def attempt_started(self, now: int, unit: int, nth: int, runner: int) -> None:
        self.heard_at[runner] = now
        u = self.requests.get(unit)
        if not u or u.attempts[nth].started_at >= 0 or not u.attempts[nth].in_flight:
            return
        d = u.attempts[nth]
        d.started_at = d.heard_at = now
        if not d.slow_start:
            self.sample_wait(now, d.sent_at, now - d.sent_at)
        self.waiting[runner] -= 1
        if self.may_cancel and not u.answered:
            for n, other in enumerate(u.attempts):
                if other.in_flight and other.started_at < 0:
                    self.actions.cancel_attempt(unit, n)

    def attempt_progressed(self, now: int, unit: int, nth: int, runner: int, share: float) -> None:
        self.heard_at[runner] = now
        if unit in self.requests:
            self.requests[unit].attempts[nth].heard_at = now

    def attempt_ended(
        self,
        now: int,
        unit: int,
        nth: int,
        runner: int,
        outcome: Outcome,
        last: bool,
        report: Sequence[float],
    ) -> None:
        u = self.requests.get(unit)
        if u and u.attempts[nth].in_flight:
            d = u.attempts[nth]
            d.in_flight, d.may_have_executed = False, outcome not in NEVER_EXECUTED
            self.inflight -= not d.slow_start
            self._count(now, runner, -u.slots)
            if d.started_at < 0 and self.tells:
                self.waiting[runner] -= 1
            self.record_outcome(now, u, d, outcome)
        if report:
            self._reported(now, runner, report)
        if u:
            if u.answered:
                if not any(d.in_flight for d in u.attempts):
                    self.requests.pop(unit, None)
            elif last:
                self._leave(u)
            elif not any(d.in_flight for d in u.attempts):
                self._again(now, u)
        self._pump(now)

    def record_outcome(self, now: int, u: PendingRequest, d: Attempt, outcome: Outcome) -> None:
        r = d.backend
        if outcome == Outcome.COMPLETED:
            self.heard_at[r] = now
            self.error_rate[r] *= 0.7
            if now <= u.objective_at and not u.answered:
                self.got[u.class_index] += self._value(u)
            self.ejection_time[r] = 0
            if d.started_at >= 0:
                run = now - d.started_at
                if u.work and self.capacity[r] and self.warm_from[r] <= now:
                    pace = run / u.work * self.weight[r] / self.capacity[r]
                    self.brisk += 0.1 * (pace - self.brisk) if self.brisk else pace
                if u.work:  # without a hint a long unit looks like a slow runner
                    self.run_sum[r] = PACE * self.run_sum[r] + run
                    self.due_sum[r] = PACE * self.due_sum[r] + u.work
                self.typical_run[u.class_index] += 0.05 * (run - self.typical_run[u.class_index])
                self.mean_run += 0.1 * (run - self.mean_run)
        if outcome in (Outcome.OVERLOADED, Outcome.UNREACHABLE):
            # Nobody there is no suspicion: with doubt distrusted, dead runners took all of a unit's tries.
            self.overloaded_until[r] = now + (FULL_REST if outcome == Outcome.OVERLOADED else SECOND)
        if outcome in (Outcome.ERROR, Outcome.RESET, Outcome.UNKNOWN, Outcome.UNREACHABLE):
            self._failed(now, r, outcome == Outcome.UNREACHABLE)

    def _again(self, now: int, u: PendingRequest) -> None:
        """Nothing is out any more and an answer is owed: another dispatch, a hold, or the end."""
        if now < u.deadline and self._permitted(now, u)[0]:
            if not self._place(now, u):
                self._hold(now, u)
        else:
            self._answer(u)

    def probe_ended(self, now: int, runner: int, well: bool, report: Sequence[float]) -> None:
        self.probe_out[runner] = False
        if well:
            self.heard_at[runner] = now
        if report:
            self._reported(now, runner, report)
            self._pump(now)

    def _reported(self, now: int, r: int, report: Sequence[float]) -> None:
        if report == self.report[r]:
            return  # the same report on another answer: resetting again would hide sends it has not seen
        self.report[r], self.report_at[r] = report, now
        free = report[self.at_free] if 0 <= self.at_free < len(report) else 0.0
        queue = report[self.at_queue] if 0 <= self.at_queue < len(report) else 0.0
        seen = max(free, self.own_slots[r] if not self.waiting[r] else 0.0)
        if seen > self.capacity[r]:  # a kind has its slots on each runner, though never seen idle there
            self.slots_of[self.kind[r]] = seen
            for other in self.ready:
                if self.kind[other] == self.kind[r]:
                    self.capacity[other] = seen
        if not (self.weights_follow_load and self.keyed):
            self._learn(now, r, max(queue, 0.0) + max(self.capacity[r] - free, 0.0), BLEND)

    def _learn(self, now: int, r: int, held: float, blend: float) -> None:
        # What went out or came back too lately for this report to count is still own work since the report.
        self._forget(now, r)
        then = self.own_slots[r] - sum(slots for _, slots in self.recent[r])
        self.reported_queue[r] += blend * (max(held - then, 0.0) - self.reported_queue[r])
        self.load[r] = self.reported_queue[r] + self.own_slots[r]

    def _count(self, now: int, r: int, slots: float) -> None:
        self.own_slots[r] += slots
        self.load[r] += slots
        self._forget(now, r)
        self.recent[r].append((now, slots))

    def _forget(self, now: int, r: int) -> None:
        while self.recent[r] and self.recent[r][0][0] < now - REPORT_LAG:
            self.recent[r].popleft()

    def _probe(self, now: int) -> None:
        """Where reports come only by probe each runner in turn, elsewhere those of whom nothing was heard."""
        n = len(self.subset)
        for _ in range(min(-(-n * CHORES // PROBE_EVERY), n)):
            self.next_probe = (self.next_probe + 1) % n
            r = self.subset[self.next_probe]
            if not self.probe_out[r] and (self.probe_all or now - self.heard_at[r] > PROBE_EVERY):
                self.probe_out[r] = True
                self.actions.probe(r)
