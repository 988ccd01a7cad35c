"""Other ways to choose, for comparison only: none of them is offered to a dispatcher in service."""

from collections import Counter
from collections.abc import Callable, Collection, Sequence
from random import Random
from typing import TYPE_CHECKING, cast

from crankfold.dispatch.interface import Effect, Listing, Outcome, Port, Standing, StandingOrders

if TYPE_CHECKING:
    from crankfold.emulator.world import Post

NEVER_RAN = (Outcome.FULL, Outcome.UNREACHABLE, Outcome.NOT_SENT)


class Baseline:
    """Sends at once to whom `choose` names, again where the unit never ran, and answers in time."""

    def __init__(self, orders: StandingOrders, seed: int, port: Port) -> None:
        self.orders, self.port, self.luck = orders, port, Random(seed)
        self.ready: list[int] = []
        self.own: Counter[int] = Counter()
        self.grade: dict[int, int] = {}  # of units in hand
        self.sent: dict[int, list[int]] = {}
        self.ran: set[int] = set()  # units that may have run

    def choose(self) -> int:
        return self.luck.choice(self.ready)

    def listed(self, now: int, entries: Sequence[Listing], whole: bool) -> None:
        standing = {} if whole else dict.fromkeys(self.ready, Standing.READY)
        standing |= {entry.runner: entry.standing for entry in entries}
        self.ready = sorted(r for r, s in standing.items() if s == Standing.READY)

    def taken(self, now: int, unit: int, grade: int, tenant: int, cutoff: int, work: int,
              slots: float, key: int = 0, again: bool = False) -> None:
        self.grade[unit], self.sent[unit] = grade, []
        self.port.wake(cutoff - now - 2 * self.orders.tick, unit)
        self._send(unit)

    def _send(self, unit: int) -> None:
        if not self.ready or len(self.sent[unit]) >= self.orders.most_dispatches:
            self._answer(unit)
            return
        runner = self.choose()
        self.sent[unit].append(runner)
        self.own[runner] += 1
        self.ran.add(unit)
        self.port.dispatch(unit, runner, 0)

    def _answer(self, unit: int) -> None:
        grade = self.orders.grades[self.grade.pop(unit)]
        if unit not in self.ran or grade.effect == Effect.REPEATABLE:
            self.port.shed(unit, 0)
        else:
            self.port.give_up(unit)

    def ended(self, now: int, unit: int, nth: int, runner: int, outcome: Outcome, last: bool,
              report: Sequence[float]) -> None:
        self.own[runner] -= 1
        if last:
            self.grade.pop(unit, None)
        if unit not in self.grade:
            return
        if outcome in NEVER_RAN:
            self.ran.discard(unit)
            self._send(unit)
        else:
            self._answer(unit)

    def woken(self, now: int, label: int) -> None:
        if label in self.grade:
            self._answer(label)

    def list_failed(self, now: int) -> None: ...
    def started(self, now: int, unit: int, nth: int, runner: int) -> None: ...
    def progressed(self, now: int, unit: int, nth: int, runner: int, share: float) -> None: ...
    def probed(self, now: int, runner: int, well: bool, report: Sequence[float]) -> None: ...

    def client_left(self, now: int, unit: int) -> None:
        self.grade.pop(unit, None)

    def renewed(self, now: int, orders: StandingOrders, anew: Collection[int] = ()) -> None:
        self.orders = orders

    def recalled(self, now: int, unit: int) -> None:
        if unit in self.grade:
            self._answer(unit)


class RoundRobin(Baseline):
    def __init__(self, orders: StandingOrders, seed: int, port: Port) -> None:
        super().__init__(orders, seed, port)
        self.turn = self.luck.randrange(1 << 16)  # all that start together would go round in step

    def choose(self) -> int:
        self.turn += 1
        return self.ready[self.turn % len(self.ready)]


class LeastOwn(Baseline):
    def choose(self) -> int:
        least = min(self.own[r] for r in self.ready)
        return self.luck.choice([r for r in self.ready if self.own[r] == least])


class TwoChoices(Baseline):
    def choose(self) -> int:
        return min((self.luck.choice(self.ready) for _ in range(2)), key=lambda r: self.own[r])


class SeesAll(Baseline):
    """True queues at this moment, which no dispatcher can know."""

    def choose(self) -> int:
        runners = cast("Post", self.port).world.runners
        held = {r: runners[r].busy + len(runners[r].waiting) for r in self.ready}
        least = min(held.values())
        return self.luck.choice([r for r in self.ready if held[r] == least])


BASELINES: dict[str, Callable[[StandingOrders, int, Port], Baseline]] = {
    "random": Baseline, "round-robin": RoundRobin, "least-own": LeastOwn, "two-choices": TwoChoices,
    "sees-all": SeesAll}
