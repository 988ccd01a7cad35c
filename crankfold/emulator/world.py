"""Runners, clients and lists round many dispatchers; one seed, one history."""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from random import Random

from crankfold.dispatch.interface import Dispatching, Listing, Outcome, Port, Standing, StandingOrders
from crankfold.emulator.clockwork import Clockwork
from crankfold.emulator.rules import Rules

SECOND = 10_000
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
    report_every: int = SECOND
    list_late: int = SECOND
    seed: int = 1


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
        self.told: tuple[float, ...] = (0.0, float(world.scenario.slots))
        self.waits: list[int] = []
        self.came: dict[int, int] = {}

    def warmth(self) -> float:
        orders, age = self.world.orders, self.world.clock.now - self.since
        if not self.since or age >= orders.warm_after:
            return 1.0
        return orders.cold_from + (1.0 - orders.cold_from) * age / orders.warm_after

    def refresh(self) -> None:
        self.told = (float(len(self.waiting)), float(self.world.scenario.slots - self.busy))
        self.world.clock.after(self.world.scenario.report_every, self.refresh)

    def take(self, job: Job) -> None:
        world, warmth = self.world, self.warmth()
        if warmth < 1.0:
            world.rules.arrived(world.clock.now, job.post.no, job.unit, self.no, job.work,
                                warmth * world.scenario.slots)
        if self.standing == Standing.GONE:
            job.post.hear(job, self.no, Outcome.UNREACHABLE, ())
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
            self.world.clock.after(int(job.work / self.warmth()), partial(self._done, job))

    def _done(self, job: Job) -> None:
        self.busy -= 1
        job.post.hear(job, self.no, Outcome.DONE, self.told)
        self._next()


class Post:
    """One dispatcher's port into the world."""

    def __init__(self, world: "World", no: int, make: Make) -> None:
        self.world, self.no, self.clock = world, no, world.clock
        self.count: dict[int, int] = {}
        self.work: dict[int, int] = {}
        self.came: dict[int, int] = {}
        self.decisions = make(replace(world.orders, number=no, zone=no % 3,
                                      dispatchers=world.scenario.dispatchers),
                              world.scenario.seed * 1000 + no, self)

    def take(self, unit: int, work: int) -> None:
        now = self.clock.now
        self.work[unit], self.count[unit], self.came[unit] = work, 0, now
        self.world.asked += 1
        cutoff = now + self.world.orders.grades[0].cutoff
        self.world.rules.taken(now, self.no, unit, 0, cutoff)
        self.decisions.taken(now, unit, 0, 0, cutoff, work, 1.0)

    def dispatch(self, unit: int, runner: int, limit: int) -> None:
        self.world.rules.dispatched(self.clock.now, self.no, unit, runner)
        job = Job(self, unit, self.count[unit], self.work[unit])
        self.count[unit] += 1
        self.clock.after(self.world.scenario.way, partial(self.world.runners[runner].take, job))

    def shed(self, unit: int, advice: int) -> None:
        self.world.rules.answered(self.clock.now, self.no, unit, "shed")

    def give_up(self, unit: int) -> None:
        self.world.rules.answered(self.clock.now, self.no, unit, "given up")

    def cancel(self, unit: int, nth: int) -> None:
        pass  # as at runners that stop nothing: the end is heard when it comes

    def wake(self, after: int, label: int) -> None:
        self.clock.after(after, lambda: self.decisions.woken(self.clock.now, label))

    def probe(self, runner: int) -> None:
        self.clock.after(2 * self.world.scenario.way, lambda: self.decisions.probed(
            self.clock.now, runner, True, self.world.runners[runner].told))

    def subscribe(self) -> None:
        self.clock.after(self.world.scenario.way, lambda: self.tell(range(len(self.world.runners)), True))

    def tell(self, runners: Sequence[int], whole: bool) -> None:
        now, entries = self.clock.now, []
        for r in runners:
            it = self.world.runners[r]
            mark = r / len(self.world.runners)
            entries.append(Listing(r, it.standing, 1.0, r % 3, r % 6, it.since, 0, mark))
            self.world.rules.told(now, self.no, r, it.standing, r % 3, r % 6)
        self.decisions.listed(now, entries, whole)

    def hear_start(self, job: Job, runner: int) -> None:
        self.clock.after(self.world.scenario.way, lambda: self.decisions.started(
            self.clock.now, job.unit, job.nth, runner))

    def hear(self, job: Job, runner: int, outcome: Outcome, report: Sequence[float]) -> None:
        self.clock.after(self.world.scenario.way, partial(self._heard, job, runner, outcome, report))

    def _heard(self, job: Job, runner: int, outcome: Outcome, report: Sequence[float]) -> None:
        now, record = self.clock.now, self.world.rules.units[self.no, job.unit]
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
        self.runners = [Runner(self, r) for r in range(scenario.runners)]
        self.posts = [Post(self, no, make) for no in range(scenario.dispatchers)]
        for r in self.runners:
            phase = Random(f"{scenario.seed} report {r.no}").randrange(scenario.report_every)
            self.clock.after(phase, r.refresh)
        for post in self.posts:
            post.tell(range(scenario.runners), True)
            self._arrive(post, Random(f"{scenario.seed} client {post.no}"), 0)

    def _arrive(self, post: Post, luck: Random, unit: int) -> None:
        """Open loop: the next arrival does not wait for any answer."""
        def come() -> None:
            post.take(unit, max(int(luck.expovariate(1 / self.scenario.work)), 1))
            self._arrive(post, luck, unit + 1)
        wait = int(luck.expovariate(self.scenario.rate / SECOND))
        if self.clock.now + wait < (self.scenario.seconds + 1) * SECOND:
            self.clock.after(wait, come)

    def change(self, at: int, runner: int, standing: Standing, since: int = 0) -> None:
        """A runner drains, goes or comes back cold; lists tell of it later."""
        def now() -> None:
            self.runners[runner].standing, self.runners[runner].since = standing, since
            for post in self.posts:
                self.clock.after(self.scenario.list_late, partial(post.tell, (runner,), False))
        self.clock.after(at - self.clock.now, now)

    def run(self) -> None:
        self.clock.run((self.scenario.seconds + 1) * SECOND + self.orders.grades[0].cutoff + SECOND)
        self.rules.over(self.clock.now)
