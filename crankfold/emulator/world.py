"""Runners, clients and lists round many dispatchers; one seed, one history."""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from random import Random

from crankfold.dispatch.interface import Dispatching, Listing, Outcome, Port, Standing, StandingOrders
from crankfold.emulator.clockwork import Clockwork
from crankfold.emulator.faults import Fault, Kind, hit
from crankfold.emulator.rules import TOLD, Rules

SECOND = 10_000
ZONES = 3
FAST_ERROR = 200  # how soon a failing runner says so
NOTICE = SECOND // 2  # until clients go round a dead dispatcher
Make = Callable[[StandingOrders, int, Port], Dispatching]


@dataclass(frozen=True, slots=True)
class Scenario:
    dispatchers: int = 3
    runners: int = 9
    slots: int = 4
    queue: int = 40  # places behind the slots
    rate: float = 10.0  # units a second at each dispatcher
    work: int = 2_000  # mean running time on a warm runner, exponential
    seconds: int = 10
    way: int = 5  # one way, in tenths of a millisecond
    cross: int = 5  # the same between zones
    retries: int = 0  # of a client that was shed, while its time lasts
    backoff: int = 100
    report_every: int = SECOND
    list_late: int = SECOND
    seed: int = 1
    faults: tuple[Fault, ...] = ()


@dataclass(slots=True)
class Job:
    post: "Post"
    unit: int
    nth: int
    work: int


class Runner:
    """First come first served by so many slots, the rest in a bounded queue."""

    def __init__(self, world: "World", no: int) -> None:
        self.world, self.no, self.since, self.standing = world, no, 0, Standing.READY
        self.busy, self.waiting = 0, deque[Job]()
        # What faults make of it; a life ends with the process, and takes with it what ran.
        self.slowed, self.failing, self.life = 1.0, 0.0, 0
        self.hangs = self.dead = self.mute = False
        self.running: dict[int, Job] = {}
        self.luck = Random(f"{world.scenario.seed} runner {no}")
        self.told: tuple[float, ...] = (0.0, float(world.scenario.slots))
        self.waits: list[int] = []
        self.came: dict[int, int] = {}

    def warmth(self) -> float:
        orders, age = self.world.orders, self.world.clock.now - self.since
        if not self.since or age >= orders.warm_after:
            return 1.0
        return orders.cold_from + (1.0 - orders.cold_from) * age / orders.warm_after

    def refresh(self) -> None:
        if not self.mute:
            self.told = (float(len(self.waiting)), float(self.world.scenario.slots - self.busy))
        self.world.clock.after(self.world.scenario.report_every, self.refresh)

    def take(self, job: Job) -> None:
        world, warmth = self.world, self.warmth()
        if warmth < 1.0:
            world.rules.arrived(world.clock.now, job.post.no, job.unit, self.no, job.work,
                                warmth * world.scenario.slots, world.scenario.work)
        if self.standing == Standing.GONE or self.dead:
            job.post.hear(job, self.no, Outcome.UNREACHABLE, ())
        elif self.hangs:
            pass
        elif self.failing and self.luck.random() < self.failing:
            world.clock.after(FAST_ERROR, partial(job.post.hear, job, self.no, Outcome.ERROR, self.told))
        elif len(self.waiting) >= world.scenario.queue:
            job.post.hear(job, self.no, Outcome.FULL, self.told)
        else:
            self.came[id(job)] = world.clock.now
            self.waiting.append(job)
            self._next()

    def _next(self) -> None:
        while self.waiting and self.busy < self.world.scenario.slots:
            job = self.waiting.popleft()
            self.busy += 1
            self.waits.append(self.world.clock.now - self.came.pop(id(job)))
            job.post.hear_start(job, self.no)
            self.running[id(job)] = job
            took = int(job.work * self.slowed / self.warmth())
            self.world.clock.after(took, partial(self._done, job, self.life))

    def end_of_life(self) -> None:
        """The process is gone: what ran or waited there is reset."""
        self.life += 1
        for job in [*self.running.values(), *self.waiting]:
            self.came.pop(id(job), None)
            job.post.hear(job, self.no, Outcome.RESET, ())
        self.running.clear()
        self.waiting.clear()
        self.busy = 0

    def _done(self, job: Job, life: int) -> None:
        if life != self.life:
            return
        del self.running[id(job)]
        self.busy -= 1
        job.post.hear(job, self.no, Outcome.DONE, self.told)
        self._next()


class Post:
    """One dispatcher's port into the world."""

    def __init__(self, world: "World", no: int, make: Make) -> None:
        self.world, self.no, self.clock = world, no, world.clock
        self.alive, self.stalled_until = True, 0
        self.tries: dict[int, int] = {}
        self.out: set[tuple[int, int]] = set()  # dispatches that have not ended
        self.count: dict[int, int] = {}
        self.work: dict[int, int] = {}
        self.came: dict[int, int] = {}
        self.decisions = make(replace(world.orders, number=no, zone=no % ZONES,
                                      dispatchers=world.scenario.dispatchers),
                              world.scenario.seed * 1000 + no, self)

    def take(self, unit: int, work: int, came: int, tries: int) -> None:
        now = self.clock.now
        self.work[unit], self.count[unit], self.came[unit], self.tries[unit] = work, 0, came, tries
        cutoff = came + self.world.orders.grades[0].cutoff
        self.world.rules.taken(now, self.no, unit, 0, cutoff)
        self._told(self.decisions.taken, unit, 0, 0, cutoff, work, 1.0)

    def _told(self, call: Callable[..., None], *args: object) -> None:
        """A dispatcher that stands still hears it later, one that was killed never."""
        if not self.alive:
            return
        if self.clock.now < self.stalled_until:
            self.clock.after(self.stalled_until - self.clock.now, partial(self._told, call, *args))
        else:
            call(self.clock.now, *args)

    def way(self, runner: int) -> int:
        here = runner % ZONES == self.no % ZONES
        return self.world.scenario.way if here else max(self.world.scenario.cross, self.world.scenario.way)

    def dispatch(self, unit: int, runner: int, limit: int) -> None:
        self.world.rules.dispatched(self.clock.now, self.no, unit, runner)
        job = Job(self, unit, self.count[unit], self.work[unit])
        self.count[unit] += 1
        self.out.add((unit, job.nth))
        until = self.came[unit] + self.world.orders.grades[0].cutoff - self.clock.now
        self.clock.after(until, partial(self._heard, job, runner, Outcome.LATE, ()))
        self.clock.after(self.way(runner), partial(self.world.runners[runner].take, job))

    def leave(self, unit: int) -> None:
        """Its client closes its connection."""
        if self.alive and not self.world.rules.units[self.no, unit].answered:
            self.world.rules.client_left(self.clock.now, self.no, unit)
            self._told(self.decisions.client_left, unit)

    def shed(self, unit: int, advice: int) -> None:
        self.world.rules.answered(self.clock.now, self.no, unit, "shed")
        if self.tries[unit] < self.world.scenario.retries:
            self.clock.after(self.world.scenario.backoff, partial(
                self.world.enter, self.no, self.work[unit], self.came[unit], self.tries[unit] + 1))

    def give_up(self, unit: int) -> None:
        self.world.rules.answered(self.clock.now, self.no, unit, "given up")

    def cancel(self, unit: int, nth: int) -> None:
        pass  # as at runners that stop nothing: the end is heard when it comes

    def wake(self, after: int, label: int) -> None:
        self.clock.after(after, lambda: self._told(self.decisions.woken, label))

    def probe(self, runner: int) -> None:
        def answered() -> None:
            it = self.world.runners[runner]
            well = not it.dead and not it.hangs and it.standing != Standing.GONE
            self._told(self.decisions.probed, runner, well, it.told if well else ())
        self.clock.after(2 * self.way(runner), answered)

    def subscribe(self) -> None:
        self.clock.after(self.world.scenario.way, lambda: self.tell(range(len(self.world.runners)), True))

    def tell(self, runners: Sequence[int], whole: bool) -> None:
        now, entries = self.clock.now, []
        for r in runners:
            it = self.world.runners[r]
            mark = r / len(self.world.runners)
            entries.append(Listing(r, it.standing, 1.0, r % ZONES, r % (2 * ZONES), it.since, 0, mark))
            self.world.rules.told(max(now, self.stalled_until), self.no, r, it.standing, r % ZONES,
                                  r % (2 * ZONES))
        self._told(self.decisions.listed, entries, whole)

    def hear_start(self, job: Job, runner: int) -> None:
        self.clock.after(self.way(runner), lambda: self._told(
            self.decisions.started, job.unit, job.nth, runner))

    def hear(self, job: Job, runner: int, outcome: Outcome, report: Sequence[float]) -> None:
        self.clock.after(self.way(runner), partial(self._heard, job, runner, outcome, report))

    def _heard(self, job: Job, runner: int, outcome: Outcome, report: Sequence[float]) -> None:
        now, record = self.clock.now, self.world.rules.units[self.no, job.unit]
        if not self.alive:
            return
        if now < self.stalled_until:
            self.clock.after(self.stalled_until - now, partial(self._heard, job, runner, outcome, report))
            return
        if (job.unit, job.nth) not in self.out:
            return  # nobody waits for it any more
        self.out.discard((job.unit, job.nth))
        if outcome in (Outcome.FULL, Outcome.UNREACHABLE):
            self.world.rules.never_ran(now, self.no, job.unit, runner)
        last = bool(record.answered) or outcome == Outcome.DONE
        if outcome == Outcome.DONE and not record.answered:
            self.world.rules.answered(now, self.no, job.unit, "done")
            grade = self.world.orders.grades[0]
            self.world.in_time += now <= self.came[job.unit] + grade.expected + int(grade.stretch * job.work)
        self.decisions.ended(now, job.unit, job.nth, runner, outcome, last, report)


class World:
    def __init__(self, scenario: Scenario, orders: StandingOrders, make: Make, grace: int = 3_000) -> None:
        self.scenario, self.orders, self.clock = scenario, orders, Clockwork()
        self.rules = Rules(orders, grace)
        self.asked = self.in_time = 0
        self.clock.now = SECOND
        self.make, self.units, self.rate, self.lists_from = make, -1, scenario.rate, 0
        self.silent, self.silence = frozenset[int](), 0  # whose watches are silent, and until they see
        self.leaving, self.impatience, self.moods = 0.0, 0, Random(f"{scenario.seed} leave")
        self.runners = [Runner(self, r) for r in range(scenario.runners)]
        self.posts = [Post(self, no, make) for no in range(scenario.dispatchers)]
        for r in self.runners:
            phase = Random(f"{scenario.seed} report {r.no}").randrange(scenario.report_every)
            self.clock.after(phase, r.refresh)
        for post in self.posts:
            post.tell(range(scenario.runners), True)
            self._arrive(post.no, Random(f"{scenario.seed} client {post.no}"))
        for fault in scenario.faults:
            self._script(fault)

    def enter(self, no: int, work: int, came: int, tries: int) -> None:
        """A unit at the front of one dispatcher; where that is dead, after a while at another."""
        for step in range(len(self.posts)):
            post = self.posts[(no + step) % len(self.posts)]
            if post.alive:
                if step and not tries:
                    self.clock.after(NOTICE, partial(self.enter, post.no, work, came, tries + 1))
                    return
                self.units += 1
                post.take(self.units, work, came, tries)
                if self.leaving and self.moods.random() < self.leaving:
                    self.clock.after(self.impatience, partial(post.leave, self.units))
                return

    def _arrive(self, no: int, luck: Random) -> None:
        """Open loop: the next arrival does not wait for any answer."""
        def come() -> None:
            self.asked += 1
            self.enter(no, max(int(luck.expovariate(1 / self.scenario.work)), 1), self.clock.now, 0)
            self._arrive(no, luck)
        wait = int(luck.expovariate(self.rate / SECOND))
        if self.clock.now + wait < (self.scenario.seconds + 1) * SECOND:
            self.clock.after(wait, come)

    def change(self, at: int, runner: int, standing: Standing, since: int = 0) -> None:
        """A runner drains, goes or comes back cold; lists tell of it later."""
        def now() -> None:
            self.runners[runner].standing, self.runners[runner].since = standing, since
            late = max(self.scenario.list_late, self.lists_from - self.clock.now)
            self.clock.after(late, partial(self._discovered, runner, standing))
            for no in range(len(self.posts)):
                self.clock.after(late + self.silence * (no in self.silent), partial(self._tell, no, runner))
        self.clock.after(at - self.clock.now, now)

    def _discovered(self, runner: int, standing: Standing) -> None:
        change = self.rules.discovered(runner)
        then = self.clock.now + TOLD
        for no in range(len(self.posts)):
            self.clock.after(TOLD, partial(self.rules.counts_as_told, then, no, runner, standing, change))

    def _tell(self, no: int, runner: int) -> None:
        if self.posts[no].alive:
            self.posts[no].tell((runner,), False)

    # --- faults ---

    def _script(self, fault: Fault) -> None:
        start, end = (SECOND + int(at * SECOND) for at in (fault.at, fault.until))
        whom = hit(fault, self.scenario.seed, len(self.runners))
        if fault.kind == Kind.LOST_ZONE:
            whom = [r for r in range(len(self.runners)) if r % ZONES == fault.zone]
        if fault.kind == Kind.RELEASE:
            # One after the other: it drains while another, or itself, is on its way back.
            for place, r in enumerate(whom):
                at = start + (end - start) * place // len(whom)
                self.change(at, r, Standing.DRAINING)
                self.change(at + SECOND, r, Standing.GONE)
                self.change(at + 3 * SECOND // 2, r, Standing.READY, since=at + 3 * SECOND // 2)
            return
        if fault.kind == Kind.LOST_ZONE:
            for r in whom:
                self.change(start, r, Standing.GONE)
                self.clock.after(start - self.clock.now, self.runners[r].end_of_life)
                self.change(end, r, Standing.READY, since=end)
            return
        if fault.kind in (Kind.KILL, Kind.STALL, Kind.SILENT_WATCH):
            whom = hit(fault, self.scenario.seed, len(self.posts))
        for on, at in ((True, start), (False, end)):
            self.clock.after(at - self.clock.now, partial(self._turn, fault, on, whom, end))

    def _turn(self, fault: Fault, on: bool, whom: Sequence[int], end: int) -> None:
        kind = fault.kind
        if kind == Kind.BURST:
            self.rate = self.scenario.rate * (fault.factor if on else 1.0)
        elif kind == Kind.SILENT_WATCH:
            self.silent, self.silence = frozenset(whom if on else ()), int(fault.factor * SECOND)
        elif kind == Kind.LEAVE:
            self.leaving, self.impatience = (fault.share if on else 0.0), int(fault.factor * SECOND / 10)
        elif kind == Kind.LISTS_DOWN:
            self.lists_from = end if on else 0
        elif kind == Kind.KILL:
            for no in whom:
                if on:
                    self.posts[no].alive = False
                    self.rules.killed(self.clock.now, no)
                else:
                    self.posts[no] = Post(self, no, self.make)
                    self.posts[no].tell(range(len(self.runners)), True)
        elif kind == Kind.STALL:
            for no in whom:
                self.posts[no].stalled_until = end if on else 0
        else:
            for r in whom:
                it = self.runners[r]
                if kind == Kind.SLOW:
                    it.slowed = fault.factor if on else 1.0
                elif kind == Kind.ERRORS:
                    it.failing = min(fault.factor, 1.0) if on else 0.0
                elif kind == Kind.HANG:
                    it.hangs = on
                elif kind == Kind.DEAD:
                    it.dead = on
                    if on:
                        it.end_of_life()
                elif kind == Kind.LATE_REPORTS:
                    it.mute = on

    def run(self) -> None:
        self.clock.run((self.scenario.seconds + 1) * SECOND + self.orders.grades[0].cutoff + SECOND)
        self.rules.over(self.clock.now)
