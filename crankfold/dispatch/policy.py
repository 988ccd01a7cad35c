"""Every decision of a dispatcher: which runner gets a work unit, when, and how often.

How to call it: make a Dispatcher from StandingOrders, a seed and a Port, then tell it what happens by the
calls of `Dispatching`, each with the present time; it answers by calling the port. Both, and the words used
here, are in crankfold/dispatch/interface.py. It reads no clock and no wire; the same calls bring the same
actions. A work unit passes owed -> paced -> effects -> membership -> health -> choice, and what comes back
runs the other way.
"""

from collections import deque
from collections.abc import Sequence
from itertools import accumulate, zip_longest
from math import ceil, gcd, inf, log, sqrt

from crankfold.dispatch.interface import (
    Effect,
    Group,
    Listing,
    Outcome,
    Port,
    ServiceGrade,
    Standing,
    StandingOrders,
)

SECOND = 10_000
AGE_LIMIT = 5 * SECOND  # a report older than this no longer tells one runner from another
PROBE_EVERY, CHORES = 2 * SECOND, SECOND // 4
DOUBT_FIRST, DOUBT_LONGEST = SECOND, 8 * SECOND
FULL_REST = SECOND // 4
BLEND = 0.12
WINDOW = 10
PACE = 0.85
SPARE = 0.25
DEEP = 1.3
FADE = 0.975  # four times a second: what was asked and got is remembered for some ten seconds
REPORT_LAG = 4 * SECOND // 10  # how long before it arrives a report was taken
REPORT_AGE = 7 * SECOND // 10  # how old it is by then on average, as runners refresh it only now and then
SILENT = SECOND
COPY_SHARE, COPY_BURST = 0.3, 5.0
CIRCLE, IN_SIGHT = 5, 3 * SECOND  # fewest runners a dispatcher keeps to; else one for each unit in this time
QUICK = 0.25  # least share of the fleet kept for units shorter than the mean, where units are kept apart
LIST, SURVEY = 1, 2  # labels of wakes that concern no unit; a unit's own is FIRST_UNIT + unit
FIRST_UNIT = 8
NEVER_RAN = (Outcome.FULL, Outcome.UNREACHABLE, Outcome.NOT_SENT)


class Dispatch:
    __slots__ = ("runner", "cold", "sent_at", "heard_at", "started_at", "out", "may_have_run")

    def __init__(self, runner: int, now: int, cold: bool) -> None:
        self.cold = cold  # paced by allowance and outside the in-flight limit
        self.runner, self.sent_at, self.heard_at, self.started_at = runner, now, now, -1
        self.out = self.may_have_run = True


class Unit:
    __slots__ = ("no", "grade", "cutoff", "due", "work", "slots", "sent", "ended", "patience",
                 "most")

    def __init__(self, no: int, grade: int, cutoff: int, due: int, work: int, slots: float,
                 most: int) -> None:
        self.no, self.grade, self.cutoff, self.due, self.most = no, grade, cutoff, due, most
        self.work, self.slots = work, slots
        self.sent: list[Dispatch] = []
        self.ended, self.patience = False, 0


class Dispatcher:
    def __init__(self, orders: StandingOrders, seed: int, port: Port) -> None:
        self.port, self.luck = port, seed & 0xFFFFFFFFFFFFFFFF
        self.zone, self.margin, self.sharers = orders.zone, 2 * orders.tick, orders.dispatchers
        self.grades: list[ServiceGrade] = []
        self.typical: list[float] = []
        self.copies = 0.0
        self._follow_orders(orders)
        self.quiet = 5 * orders.progress // 2  # started work without progress for so long stands still
        at = {name: place for place, name in enumerate(orders.report_names)}
        self.at_queue, self.at_free = at.get("queue", -1), at.get("free_slots", -1)
        # The list serves few calls a second: all together at most ten, at first and at each repeat.
        few = max(min(orders.ask_within // 8, 2 * SECOND), 1)
        self.refused, self.ask_pause, self.ask_longest = 0, few, 2 * max(orders.ask_within, few)
        self.ask_spread = min(self.sharers * SECOND // 10, orders.ask_within // 2)
        self.probe_all = orders.may_probe and orders.reports_by_probe
        self.probe_some = orders.may_probe and orders.reports_in_answers
        self.cold_from, self.warm_after = orders.cold_from, orders.warm_after
        # Half of what all together may send is used, and no single unit spends more than that at once. At the
        # least capacity alone a replaced fleet stood idle: most of what is allowed lapses at who has no unit.
        self.cold_pace, self.cold_span = max(orders.overload_factor / 2, 1.0), orders.overload_for
        self.number = orders.number if orders.number >= 0 else self._draw(self.sharers)
        self.units: dict[int, Unit] = {}
        self.held: dict[int, Unit] = {}
        self.inflight, self.limit, self.window_at, self.sampled = 0, inf, 0, 0
        # Usual waits and runs, fading; the running time of all that was done, and how many.
        self.waits, self.runs, self.ran, self.done = 0.0, 1.0 * SECOND, 5 * SECOND, 5
        self.ready: list[int] = []
        # In orders of drawing; the steady part in use; of it those for short units and for long ones.
        self.ring, self.by_lot, self.circle, self.quick, self.long = ([0][:0] for _ in range(5))
        self.lot: list[float] = []  # by whose order circles are drawn where reports tell something
        self.size, self.share, self.steady = 0, 0, False
        self.drawn, self.sparse, self.cold_until = (0, 0), False, 0
        self.surveyed_at, self.roused, self.arrivals, self.watched = -1, False, 0.0, 0.0
        # Running times taken and how many; work taken, and that of units shorter than the mean.
        self.lengths, self.measured, self.wide = sum(self.typical), len(self.typical), False
        self.all_work, self.short_work = 5 * self.lengths, 5 * QUICK * self.lengths
        self.slots_of: dict[int, float] = {}  # by kind, as reports and starts show them
        # Figures about runners, by index: others' work by the reports (queue and busy slots, less own), own
        # slots out there, both together (what the score weighs), slots, share of errors, running times there,
        # fading, against those expected, what tells it apart at every dispatcher, its list weight, one over
        # that less what a cold or slowed one lacks, and own part of what all may send it while cold.
        (self.queued, self.own, self.load, self.room, self.errors, self.run_sum, self.due_sum, self.mark,
         self.weight, self.per_weight, self.part) = self.reals = [[0.0][:0] for _ in range(11)]
        # The present length of doubt, 0 for trusted; own dispatches without a start note; when a cold one may
        # get its next unit, 0 for not drawn yet.
        (self.standing, self.runner_zone, self.cell, self.kind, self.since, self.warm_at, self.full_until,
         self.doubt, self.doubt_until, self.waiting,
         self.cold_next) = self.counts = [[0][:0] for _ in range(11)]
        self.recent: list[deque[tuple[int, float]]] = []  # own slots sent (+) and come back (-) of late
        self.report: list[Sequence[float]] = []
        self.report_at: list[int] = []
        self.heard_at: list[int] = []
        self.probe_out: list[bool] = []
        self.next_probe, self.room_of_one, self.middle_pace = 0, 1.0, 1.0
        self.brisk = 0.0  # usual running time of hinted work on a slot of weight 1; 0 while not known
        self.mean, self.strength = 0.0, 1.0  # of others' work; of the fleet
        if orders.must_ask and self.ask_spread < SECOND:
            port.subscribe()
        elif orders.must_ask:
            port.wake(self._draw(self.ask_spread), LIST)  # forty that start together would all be turned away

    def _follow_orders(self, orders: StandingOrders) -> None:
        # Running time, followed as answers come: a client is taken to wait for some ten times of it.
        self.typical = [known if g == before else max(g.cutoff / 10, 1.0) for g, before, known in
                        zip_longest(orders.grades, self.grades, self.typical)]
        self.grades = list(orders.grades)
        self.effect, self.group = [g.effect for g in orders.grades], [g.group for g in orders.grades]
        self.window, self.cutoff = [g.window for g in orders.grades], [g.cutoff for g in orders.grades]
        self.expected, self.stretch = [g.expected for g in orders.grades], [g.stretch for g in orders.grades]
        self.revenue, self.by_work = [g.revenue for g in orders.grades], orders.by_work
        self.asked, self.got = [0.0] * len(orders.grades), [0.0] * len(orders.grades)
        self.care, self.worst = orders.worst_grade_care, 0  # how much the worst-served grade counts
        self.tardy = [g.tardy for g in orders.grades]
        self.patience = [min(max(g.expected // 2, 400), SECOND // 2) for g in orders.grades]
        self.most, self.copy_share = orders.most_dispatches, COPY_SHARE * orders.may_copy
        self.may_cancel, self.advice = orders.may_cancel, min(orders.longest_advice, SECOND)

    def renewed(self, now: int, orders: StandingOrders) -> None:
        """Other grades and other bounds. Units in hand keep their rows, and runners what is known of them."""
        self._follow_orders(orders)
        self._pump(now)

    def _draw(self, below: int) -> int:
        self.luck = (self.luck * 6364136223846793005 + 1442695040888963407) & 0xFFFFFFFFFFFFFFFF
        return ((self.luck >> 33) * below) >> 31

    # --- what is owed: one final answer, by the cut-off ---

    def taken(self, now: int, unit: int, grade: int, tenant: int, cutoff: int, work: int,
              slots: float) -> None:
        # A client's retry keeps its first try's cut-off, so the expected time counts from that first try.
        self.arrivals += 1.0
        self._tend(now)
        first = min(cutoff - self.cutoff[grade], now)
        due = first + self.expected[grade] + int(self.stretch[grade] * (work or self.typical[grade]))
        u = self.units[unit] = Unit(unit, grade, cutoff - self.margin, due, work, slots if slots > 0 else 1.0,
                                    self.most)
        self.asked[grade] += self._value(u)
        self.wide = self.wide or slots > 1.0
        length = work or self.typical[grade]
        if length * self.measured < self.lengths:
            self.short_work += length * slots
        self.all_work += length * slots
        self.lengths, self.measured = self.lengths + length, self.measured + 1
        worthless = work > 0 and self.tardy[grade] == 0 and now >= self._hopeless_at(u)
        if now >= u.cutoff or worthless:
            self._answer(u)  # a retry that comes too late to be worth anything takes no slot from others
            return
        if not self._place(now, u, bool(self.held) or self.inflight >= self.limit):
            self._hold(now, u)

    def _answer(self, u: Unit) -> None:
        """The final answer: shed where a retry is harmless, otherwise given up."""
        u.ended = True
        ran = any(d.may_have_run for d in u.sent)
        effect = self.effect[u.grade]
        anywhere = effect == Effect.TAGGED and self.group[u.grade] == Group.ALL
        if not ran or anywhere or effect == Effect.REPEATABLE:
            self.port.shed(u.no, self.advice)
        else:
            self.port.give_up(u.no)
        self._leave(u)

    def _leave(self, u: Unit) -> None:
        """What an ended unit still has out is called off, so that it takes no slot from a live one."""
        u.ended = True
        self.held.pop(u.no, None)
        if self.may_cancel:
            for nth, d in enumerate(u.sent):
                if d.out:
                    self.port.cancel(u.no, nth)
        if not any(d.out for d in u.sent):
            self.units.pop(u.no, None)

    def client_left(self, now: int, unit: int) -> None:
        if (u := self.units.get(unit)) and not u.ended:
            self._leave(u)

    def recalled(self, now: int, unit: int) -> None:
        """The dispatcher ends. What never went out is shed, so that the client knows a retry is harmless."""
        if (u := self.units.get(unit)) and not u.ended:
            self._answer(u)

    # --- pacing: when a unit goes ---

    def _hold(self, now: int, u: Unit) -> None:
        self.held[u.no] = u
        if not self.roused:  # nothing of ours may come back that would send it on
            self.roused = True
            self.port.wake(CHORES, SURVEY)
        self._wake(now, u, min(u.cutoff, self._hopeless_at(u)))

    def _hopeless_at(self, u: Unit) -> int:
        """From here an answer comes late; a held unit is then ended at once, not kept to its cut-off."""
        return min(u.due - int((u.work or self.typical[u.grade]) / 2), u.cutoff)

    def _pump(self, now: int) -> None:
        misses = 0
        for u in sorted(self.held.values(), key=self._pull, reverse=True):
            if self._place(now, u, self.inflight >= self.limit):
                del self.held[u.no]
            else:
                misses += 1  # it may be bound to a full group while others are free to go
            if misses > 3:
                return

    def _value(self, u: Unit) -> float:
        return self.revenue[u.grade] * (u.slots * (u.work or self.typical[u.grade]) if self.by_work else 1.0)

    def _pull(self, u: Unit) -> tuple[float, int]:
        """What answering a held unit adds to the service, for the work it takes; then the newest."""
        g, value = u.grade, self._value(u)
        gain = (1.0 - self.care) * value / (sum(self.asked) or 1.0)
        if g == self.worst:
            gain += self.care * value / (self.asked[g] or 1.0)
        return gain / (u.slots * u.slots * (u.work or self.typical[g])), u.no

    def _follow(self, now: int, sent_at: int, wait: int) -> None:
        """The in-flight limit follows shortest answer time (the run) over the present one (wait and run)."""
        if sent_at < self.window_at:
            return  # sent under an older limit: counting it again would shrink the limit once for each
        self.waits += 0.1 * (wait - self.waits)
        self.sampled += 1
        if self.sampled < WINDOW:
            return
        ratio = min(1.0, 1.05 * self.runs / (self.runs + self.waits + 1.0))
        if self.limit == inf:
            if ratio == 1.0:
                return  # nothing waits yet: a limit from the few first units would hold the next ones back
            self.limit = 1.0 * self.inflight
        if ratio < 1.0 or self.inflight * 2 >= self.limit:
            # Never under the fair part of the fleet, or a wait at the start holds all back for long.
            warm = [self.room[r] for r in self.ready if self.warm_at[r] <= now]
            seen = [slots for slots in warm if slots]
            # Half as much again where a part is a few slots, which chance fills now and then.
            part = (1.5 if self.sparse else 1.0) / self.sharers
            fair = max(sum(seen) / max(len(seen), 1) * len(warm) * part, 4.0)
            self.limit = max(self.limit * max(ratio, 0.5) + 0.5 * sqrt(self.limit), fair)
        self.window_at, self.sampled = now, 0

    # --- effects: where a further dispatch may go ---

    def _permitted(self, now: int, u: Unit) -> tuple[bool, int, int]:
        """Whether another dispatch is allowed, and the zone and cell it must keep to (-1 for any)."""
        zone = cell = -1
        if len(u.sent) >= min(u.most, self.most):
            return False, zone, cell
        effect, group = self.effect[u.grade], self.group[u.grade]
        for d in u.sent:
            if not d.may_have_run or effect == Effect.REPEATABLE:
                continue
            # A second run of a once-only unit, or of a tagged one where its mark is not known.
            if effect == Effect.ONCE_ONLY or now + self.margin >= d.sent_at + self.window[u.grade]:
                return False, zone, cell
            if group == Group.ZONE:
                zone = self.runner_zone[d.runner]
            elif group == Group.CELL:
                cell = self.cell[d.runner]
        return True, zone, cell

    # --- membership: drains and cold runners ---

    def listed(self, now: int, entries: Sequence[Listing], whole: bool) -> None:
        self.refused = 0
        if whole:
            for r in self.ready:
                self.standing[r] = Standing.GONE
        for e in entries:
            while e.runner >= len(self.standing):
                self._enrol(now)
            r = e.runner
            if e.since > self.since[r]:
                # A restarted process holds nothing of what its old self reported or was doubted for.
                self.queued[r] = self.errors[r] = 0.0
                self.load[r] = self.own[r]
                self.doubt[r] = self.cold_next[r] = 0
            self.standing[r], self.weight[r] = e.standing, e.weight if e.weight > 0 else 1.0
            self.runner_zone[r], self.cell[r], self.since[r] = e.zone, e.cell, e.since
            self.mark[r], self.kind[r], self.room[r] = e.mark, e.kind, self.slots_of.get(e.kind, 0.0)
            self.warm_at[r] = e.since + self.warm_after if e.since else 0
        self.ready = [r for r, s in enumerate(self.standing) if s == Standing.READY]
        # Zone by zone, so that a stretch of the ring has its share of each.
        self.ring = sorted(self.ready, key=lambda r: (self.runner_zone[r], self.mark[r]))
        self.by_lot = sorted(self.ready, key=lambda r: self.lot[r] / self.weight[r])
        self.cold_until = max((self.warm_at[r] for r in self.ready), default=0)
        self.drawn = (0, 0)
        self._survey(now)
        self._pump(now)

    def _draw_circle(self, now: int) -> None:
        """As many runners as own traffic keeps in sight, or keeps busy where reports tell nothing.

        Where runs are shorter than reports are old, what is out there is known only as far as it is one's
        own: the fewer share a runner, the more of it.
        """
        run = self.lengths / self.measured  # of what came in: what is done first is short
        self.steady = run < REPORT_AGE
        size = max(CIRCLE, ceil(self.arrivals / (self.watched or inf) * (run if self.steady else IN_SIGHT)))
        if self.steady and 3 * self.size <= 5 * size <= 6 * self.size:
            size = self.size  # another size is another circle, of which nothing is known yet
        # The score takes running times as alike. Where sight is too sparse to tell who waits behind a long or
        # wide unit, short ones have runners of their own, by marks the same ones at every dispatcher.
        apart = 64 if self.wide or self.measured < 10 else 0
        share = int(apart * max(self.short_work / self.all_work, QUICK))
        if self.steady and abs(share - self.share) < 8:
            share = self.share
        self.size, self.share = size, share
        if self.drawn == (size, share):
            return
        self.drawn = (0, 0) if now < self.cold_until else (size, share)
        self.sparse = len(self.ready) > size
        self.circle = self.quick = self.long = self.ready
        if not self.sparse:
            for r in self.ready:
                self.part[r] = 1.0 / self.sharers
        else:
            quick = self._draw_from(now, -1.0, share / 64, 3)
            long = self._draw_from(now, share / 64, 2.0, size)
            self.quick, self.long, self.circle = quick or long, long or quick, quick + long
        strength = sum(self.weight[r] * self._warmth(now, r) for r in self.ready)
        self.limit *= strength / self.strength or 1.0  # a fleet cut to a third takes a third, at once
        self.strength = strength or self.strength

    def _draw_from(self, now: int, low: float, high: float, size: int) -> list[int]:
        """Location by location, own first, by lots drawn once for each runner and its weight.

        So all dispatchers together cover the runners, a change of the list moves few members, and a larger
        circle holds the smaller one. By lot some runners are in twice as many as others, hence `_even`.
        """
        if self.steady:
            return self._even(now, [r for r in self.ring if low <= self.mark[r] < high], size)
        own: list[int] = []
        far: list[int] = []
        for r in (r for r in self.by_lot if low <= self.mark[r] < high):
            self.part[r] = min(len(self.ready) / size / self.sharers, 1.0)
            (own if self.runner_zone[r] == self.zone else far).append(r)
        near = self._first_warm(now, own, ceil(size / 2))
        return near + self._first_warm(now, far, size - sum(self.warm_at[r] <= now for r in near))

    def _first_warm(self, now: int, pool: list[int], size: int) -> list[int]:
        """So many of the first that are warm: cold ones come on top, as they cannot carry a place yet."""
        warm = accumulate((self.warm_at[r] <= now for r in pool), initial=0)
        return [r for r, before in zip(pool, warm, strict=False) if before < size]

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
        warm = sum(self.weight[r] for r in ring if self.warm_at[r] <= now)
        # Cold ones come on top, as they cannot carry a place yet.
        step = warm / size or whole / max(len(ring), 1)
        drawn: list[int] = []
        passed, stretch = 0.0, 0
        at = self._spot(0) * step
        for r in ring:
            self.part[r] = min(max(step / self.weight[r], 1.0) / self.sharers, 1.0)
            passed += self.weight[r]
            if passed > at:
                drawn.append(r)
            while passed > at:
                stretch += 1
                at = (stretch + self._spot(stretch)) * step
        return drawn

    def _tend(self, now: int) -> None:
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
        fresh = [r for r in self.circle if now - self.report_at[r] < AGE_LIMIT]
        self.mean = sum(self.queued[r] for r in fresh) / len(fresh) if fresh else 0.0
        rooms = sorted(self.room[r] / self.weight[r] for r in fresh if self.warm_at[r] <= now)
        self.room_of_one = rooms[len(rooms) // 2] if rooms else 1.0
        paces = sorted(self.run_sum[r] / self.due_sum[r] for r in self.circle if self.due_sum[r] > 0)
        # A unit may start and end in one instant: a middle pace of 0 would fail the next survey.
        self.middle_pace = max(paces[len(paces) // 2], 0.01) if paces else 1.0
        self._age(now, self.circle)

    def _age(self, now: int, pool: list[int]) -> None:
        for r in pool:
            if now - self.report_at[r] >= AGE_LIMIT:
                self.queued[r], self.load[r] = self.mean, self.mean + self.own[r]
            # Slower than the middle runner counts where it is more than kinds of runners differ by.
            slow = max(self.run_sum[r] / (self.due_sum[r] or 1.0) / self.middle_pace / 2.0, 1.0)
            self.per_weight[r] = slow / (self.weight[r] * self._warmth(now, r))

    def list_failed(self, now: int) -> None:
        # A jittered pause, longer each time: all lose the list at once and would ask again at once, and a
        # service whose queue outlasts its callers' patience works for nobody until enough stay away.
        pause = min(max(self.ask_pause, self.ask_spread) << min(self.refused, 4), self.ask_longest)
        self.port.wake(pause // 4 + self._draw(pause), LIST)
        self.refused += 1

    def _enrol(self, now: int) -> None:
        for figures in self.reals:
            figures.append(0.0)
        for counts in self.counts:
            counts.append(0)
        self.lot.append(-log((self._draw(1 << 30) + 1) / (1 << 30)))
        self.report.append(())
        self.report_at.append(now - AGE_LIMIT - 1)
        self.heard_at.append(now)
        self.probe_out.append(False)
        self.recent.append(deque())

    def _warmth(self, now: int, r: int) -> float:
        """The least share of its capacity that a runner can have by now."""
        if self.warm_at[r] <= now:
            return 1.0
        age = now - self.warm_at[r] + self.warm_after
        return self.cold_from + (1.0 - self.cold_from) * max(age, 0) / self.warm_after

    def _allowance(self, now: int, r: int) -> float:
        """What all may send a cold runner at its least capacity, with half of what the rule lets through."""
        return self.cold_pace * self.room_of_one * self.weight[r] * self._warmth(now, r)

    def _cold_room(self, now: int, r: int, burden: float) -> bool:
        """Keeps this dispatcher's part of what a cold runner may be sent, copies included.

        The part is that allowance over those that have it in their circle, saved up from a random
        start: an allowed first unit from each of hundreds would push the runner over, and a share too small
        for any unit would leave a grown fleet idle.
        """
        able = self._allowance(now, r)
        if self.waiting[r] or burden > self.cold_span * able:
            return False  # what it has not started yet is pressure enough
        if not self.cold_next[r]:
            self.cold_next[r] = now + self._draw(int(burden / (able * self.part[r])) + 1)
        return now >= self.cold_next[r]

    # --- health ---

    def _blame(self, now: int, r: int) -> None:
        self.doubt[r] = min(max(2 * self.doubt[r], DOUBT_FIRST), DOUBT_LONGEST)
        self.doubt_until[r] = now + self.doubt[r] + self._draw(self.doubt[r] // 4)

    def _failed(self, now: int, r: int, at_once: bool) -> None:
        # Quick errors keep a queue short and would draw ever more work.
        self.errors[r] += 0.3 * (1.0 - self.errors[r])
        if at_once or self.errors[r] > 0.45 or self.doubt[r]:
            self._blame(now, r)

    # --- choice and send ---

    def _place(self, now: int, u: Unit, cold_only: bool = False) -> bool:
        """To the smallest score among the candidates. Beyond the in-flight limit only to cold runners, whose
        allowance is a limit of its own and lapsed behind the common one."""
        if cold_only and now >= self.cold_until:
            return False
        allowed, zone, cell = self._permitted(now, u)
        if not allowed:
            return False
        burden = u.slots * (u.work or self.typical[u.grade])
        short = (u.work or self.typical[u.grade]) * self.measured < self.lengths
        pool = fitting = self.quick if short else self.long
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
        copy, need, load, room = any(d.out for d in u.sent), u.slots, self.load, self.room
        if u.work and self.brisk:
            sound = [r for r in sound if self.warm_at[r] <= now or self._in_time(now, u, r)] or sound
        roomy = [r for r in sound if load[r] + need <= room[r] + SPARE and not self.waiting[r]]
        if cold_only:
            roomy = sound = [r for r in roomy if self.warm_at[r] > now and self._in_time(now, u, r)]
        # Behind a second filling of its slots a unit is late anyway: it waits here, free to go elsewhere.
        if not roomy:
            sound = [r for r in sound if not room[r] or load[r] + need <= DEEP * room[r] + need]
        if not sound or (copy and not roomy):
            return False
        # A cold runner's allowance lapses unless it is sent, and who gets so little keeps nobody waiting.
        if u.work and self.brisk:
            roomy = [r for r in roomy if self.warm_at[r] > now] or roomy
        pool = [r for r in roomy if self.runner_zone[r] == self.zone] or roomy or sound
        if self.sparse:
            # What waits beyond the slots: with busy ones counted the heaviest of each circle drew all units.
            scores = [(max(load[r] - room[r], 0.0) + self.own[r]) * self.per_weight[r] for r in pool]
        else:
            scores = [(load[r] + need) * self.per_weight[r] for r in pool]
        least = min(scores)
        best = [r for r, score in zip(pool, scores, strict=True) if score == least]
        self._send(now, u, best[0] if len(best) == 1 else best[self._draw(len(best))], burden)
        return True

    def _in_time(self, now: int, u: Unit, r: int) -> bool:
        """Whether the runner, if free, would end the unit in time, by its weight, warmth and usual paces."""
        run = u.work * self.brisk * (self.room[r] or 1.0) / (self.weight[r] * self._warmth(now, r))
        return now + run <= u.due

    def _sound(self, now: int, u: Unit, pool: list[int], burden: float) -> list[int]:
        able = [r for r in pool if self.full_until[r] <= now
                and (self.warm_at[r] <= now or self._cold_room(now, r, burden))]
        # Return by limited trial: one dispatch at a time until one is done.
        sound = [r for r in able if not self.doubt[r] or now >= self.doubt_until[r] and self.own[r] == 0]
        # When nearly all look bad, the suspicion is more likely wrong than the fleet.
        if 3 * len(sound) <= len(able):
            sound = able if len(able) > 2 else sound or able
        if u.sent:
            tried = [d.runner for d in u.sent]
            sound = [r for r in sound if r not in tried] or ([] if any(d.out for d in u.sent) else sound)
        return sound

    def _send(self, now: int, u: Unit, r: int, burden: float) -> None:
        cold = self.warm_at[r] > now
        u.sent.append(Dispatch(r, now, cold))
        self._count(now, r, u.slots)
        self.waiting[r] += 1
        self.inflight += not cold
        if cold:
            self.cold_next[r] = now + int(burden / (self._allowance(now, r) * self.part[r]))
        self.port.dispatch(u.no, r, 0)
        self.copies = min(self.copies + self.copy_share * burden, COPY_BURST * self.runs)
        if self.sparse:
            u.patience = max(int((u.due - now - (u.work or self.typical[u.grade])) / 3), 400)
        else:
            u.patience = max(u.patience * 2, self.patience[u.grade], int(4 * self.waits))
        self._wake(now, u, now + u.patience)

    def _wake(self, now: int, u: Unit, at: int) -> None:
        self.port.wake(max(min(at, u.cutoff) - now, 0), FIRST_UNIT + u.no)

    # --- what comes back ---

    def woken(self, now: int, label: int) -> None:
        if label == LIST:
            self.port.subscribe()
        elif label == SURVEY:
            self.roused = bool(self.held)
            self._tend(now)
            self._pump(now)
            if self.roused:
                self.port.wake(CHORES, SURVEY)
        else:
            if (u := self.units.get(label - FIRST_UNIT)) and not u.ended:
                self._review(now, u)

    def _review(self, now: int, u: Unit) -> None:
        held = u.no in self.held
        if now >= u.cutoff or held and now >= self._hopeless_at(u):
            self._answer(u)
        elif held:
            self._wake(now, u, self._hopeless_at(u))
        else:
            self._overdue(now, u)

    def _overdue(self, now: int, u: Unit) -> None:
        """A dispatch that does not start, or that stands still, gets a copy where the grade allows one."""
        stuck = True
        # Where reports are older than a usual run a copy waits as long as the first, and others for both.
        early = self.sparse and self.ran > REPORT_AGE * self.done
        for d in u.sent:
            if not d.out:
                continue
            r = d.runner
            if d.started_at < 0:
                # At a unit a second most runners have no news to tell since: only a while without is silence.
                silent = now - d.sent_at > SILENT
                stuck = stuck and (early or self.heard_at[r] <= d.sent_at and (silent or not self.sparse))
                if silent and self.heard_at[r] < d.sent_at and not self.doubt[r]:
                    self._blame(now, r)  # a hang: takes work and answers nothing
            elif self.quiet and now - d.heard_at > self.quiet:
                if not self.doubt[r]:
                    self._blame(now, r)
            else:
                stuck = False
        late = self.tardy[u.grade] == 0 and now + (u.work or self.typical[u.grade]) / 2 > u.due
        lone = sum(d.out for d in u.sent) < 2
        if stuck and lone and not late and self.copies > 0 and self._place(now, u):
            self.copies -= u.slots * (u.work or self.typical[u.grade])
            return
        u.patience = max(u.patience, self.quiet)
        self._wake(now, u, now + u.patience)

    def started(self, now: int, unit: int, nth: int, runner: int) -> None:
        self.heard_at[runner] = now
        u = self.units.get(unit)
        if not u or u.sent[nth].started_at >= 0 or not u.sent[nth].out:
            return
        d = u.sent[nth]
        d.started_at = d.heard_at = now
        if not d.cold:
            self._follow(now, d.sent_at, now - d.sent_at)
        self.waiting[runner] -= 1
        if self.may_cancel and not u.ended:
            for n, other in enumerate(u.sent):
                if other.out and other.started_at < 0:
                    self.port.cancel(unit, n)

    def progressed(self, now: int, unit: int, nth: int, runner: int, share: float) -> None:
        self.heard_at[runner] = now
        if unit in self.units:
            self.units[unit].sent[nth].heard_at = now

    def ended(self, now: int, unit: int, nth: int, runner: int, outcome: Outcome, last: bool,
              report: Sequence[float]) -> None:
        u = self.units.get(unit)
        if u and u.sent[nth].out:
            d = u.sent[nth]
            d.out, d.may_have_run = False, outcome not in NEVER_RAN
            self.inflight -= not d.cold
            self._count(now, runner, -u.slots)
            if d.started_at < 0:
                self.waiting[runner] -= 1
            self._judge(now, u, d, outcome)
        if report:
            self._reported(now, runner, report)
        if u:
            if u.ended:
                if not any(d.out for d in u.sent):
                    self.units.pop(unit, None)
            elif last:
                self._leave(u)
            elif not any(d.out for d in u.sent):
                self._again(now, u)
        self._pump(now)

    def _judge(self, now: int, u: Unit, d: Dispatch, outcome: Outcome) -> None:
        r = d.runner
        if outcome == Outcome.DONE:
            self.heard_at[r] = now
            self.errors[r] *= 0.7
            if now <= u.due and not u.ended:
                self.got[u.grade] += self._value(u)
            self.doubt[r] = 0
            if d.started_at >= 0:
                run = now - d.started_at
                if u.work and self.room[r] and self.warm_at[r] <= now:
                    pace = run / u.work * self.weight[r] / self.room[r]
                    self.brisk += 0.1 * (pace - self.brisk) if self.brisk else pace
                if u.work:  # without a hint a long unit looks like a slow runner
                    self.run_sum[r] = PACE * self.run_sum[r] + run
                    self.due_sum[r] = PACE * self.due_sum[r] + u.work
                self.typical[u.grade] += 0.05 * (run - self.typical[u.grade])
                self.runs += 0.1 * (run - self.runs)
                self.ran, self.done = self.ran + run, self.done + 1
        if outcome in (Outcome.FULL, Outcome.UNREACHABLE):
            # Nobody there is no suspicion: with doubt distrusted, dead runners took all of a unit's tries.
            self.full_until[r] = now + (FULL_REST if outcome == Outcome.FULL else SECOND)
        if outcome in (Outcome.ERROR, Outcome.RESET, Outcome.UNKNOWN, Outcome.UNREACHABLE):
            self._failed(now, r, outcome == Outcome.UNREACHABLE)

    def _again(self, now: int, u: Unit) -> None:
        """Nothing is out any more and an answer is owed: another dispatch, a hold, or the end."""
        if now < u.cutoff and self._permitted(now, u)[0]:
            if not self._place(now, u):
                self._hold(now, u)
        else:
            self._answer(u)

    def probed(self, now: int, runner: int, well: bool, report: Sequence[float]) -> None:
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
        seen = max(free, self.own[r] if not self.waiting[r] else 0.0)
        if seen > self.room[r]:  # a kind has its slots on each runner, though never seen idle there
            self.slots_of[self.kind[r]] = seen
            for other in self.ready:
                if self.kind[other] == self.kind[r]:
                    self.room[other] = seen
        held = max(queue, 0.0) + max(self.room[r] - free, 0.0)
        # What went out or came back too lately for this report to count is still own work since the report.
        self._forget(now, r)
        then = self.own[r] - sum(slots for _, slots in self.recent[r])
        self.queued[r] += BLEND * (max(held - then, 0.0) - self.queued[r])
        self.load[r] = self.queued[r] + self.own[r]

    def _count(self, now: int, r: int, slots: float) -> None:
        self.own[r] += slots
        self.load[r] += slots
        self._forget(now, r)
        self.recent[r].append((now, slots))

    def _forget(self, now: int, r: int) -> None:
        while self.recent[r] and self.recent[r][0][0] < now - REPORT_LAG:
            self.recent[r].popleft()

    def _probe(self, now: int) -> None:
        """Where reports come only by probe each runner in turn, elsewhere those of whom nothing was heard."""
        n = len(self.circle)
        for _ in range(min(-(-n * CHORES // PROBE_EVERY), n)):
            self.next_probe = (self.next_probe + 1) % n
            r = self.circle[self.next_probe]
            if not self.probe_out[r] and (self.probe_all or now - self.heard_at[r] > PROBE_EVERY):
                self.probe_out[r] = True
                self.port.probe(r)
