"""Whole fleets taken through a work under load: what each order of machines costs, in time and in units.

The dispatchers are real, with units, lists and reports as in `world`. Who goes next is decided by the
foreman, or by the orders that an operator would follow by himself.
"""


from dataclasses import dataclass, replace
from random import Random

from crankfold.dispatch.interface import Standing, StandingOrders
from crankfold.dispatch.policy import Dispatcher
from crankfold.emulator.world import ZONES, Runner, Scenario, World
from crankfold.works.foreman import Foreman, View
from crankfold.works.form import Given
from crankfold.works.ledger import BACK, ENDED, FREE, OUT, WORK, Ledger
from crankfold.works.order import Machine

SECOND = 10_000
LOOK = 2_000
AGREED = 300  # until an entry is on the disks of a majority
TAKES = SECOND  # what the work on a machine takes
DRAINED = 5_000  # before that nobody can know that all have heard
FOREMAN, BY_ID, AT_RANDOM, BY_ZONE, ONE, TRUE_LOADS, NOTHING = (
    "settled", "by id", "at random", "zone by zone", "one at a time", "true loads", "no work")
ORDERS = (FOREMAN, BY_ID, AT_RANDOM, BY_ZONE, ONE, TRUE_LOADS, NOTHING)
FULL = 0.8  # of the slots: the planner that sees true loads takes no machine out over that


@dataclass(frozen=True, slots=True)
class Through:
    order: str
    seed: int
    units: int
    in_time: float  # share
    done: float  # share of the machines by the end of the day
    took: float  # seconds until the last, or the day's length
    broken: int


class Fleet(World):
    def __init__(self, scenario: Scenario, orders: StandingOrders, order: str) -> None:
        self.order = order
        self.state: dict[int, tuple[str, int]] = {}  # of runners that are out: where they are, since when
        super().__init__(scenario, orders, Dispatcher)
        self.done: dict[int, int] = {}
        self.most = max(scenario.runners // 10, 1)
        self.luck = Random(f"{scenario.seed} order")
        self.left = list(range(scenario.runners))
        if order == AT_RANDOM:
            self.luck.shuffle(self.left)
        elif order == BY_ZONE:
            self.left.sort(key=lambda r: (r % ZONES, r))
        self.foreman, self.ledger = Foreman("n0"), Ledger()
        self.entry = 1
        self.given = Given(at_once=self.most, stays=0.5, watch=0.0, least_answers=0)
        self.counted: list[tuple[int, int]] = []
        if order != NOTHING:
            self.clock.after(SECOND, self._look)

    def change(self, at: int, runner: int, standing: Standing, since: int = 0) -> None:
        """What faults do to a machine that is out is undone by the work on it."""
        def unless_out() -> None:
            if runner not in self.state:
                World.change(self, at, runner, standing, since)

        self.clock.after(at - self.clock.now, unless_out)

    def _put(self, r: int, standing: Standing, since: int = 0) -> None:
        super().change(self.clock.now, r, standing, since)

    def _machine(self, r: int) -> Machine:
        it = self.runners[r]
        up = it.standing == Standing.READY and not it.dead
        return Machine(f"{r:04}", f"z{r % ZONES}", "", "", 1.0, it.since, up)

    def _look(self) -> None:
        self.clock.after(LOOK, self._look)
        now = self.clock.now
        for r, (state, since) in list(self.state.items()):
            it = self.runners[r]
            if state == OUT and now - since >= DRAINED and not it.busy and not it.waiting:
                self.state[r] = FREE, now
            elif state == FREE and self.order != FOREMAN:
                self._work(r)
            elif state == BACK and self.order != FOREMAN and now - since >= self.orders.warm_after:
                self._well(r)
        if self.order == FOREMAN:
            counts = self.rules.ended_as
            self.counted.append((counts["done"], counts["shed"]))
            del self.counted[:-26]
            self._settled()
        else:
            for r in self._next():
                self._out(r)

    # --- what happens to a machine ---

    def _out(self, r: int) -> None:
        self.state[r] = OUT, self.clock.now
        self._put(r, Standing.DRAINING)

    def _work(self, r: int) -> None:
        end = self.clock.now + TAKES
        self.state[r] = WORK, self.clock.now
        self.runners[r].standing = Standing.GONE

        def back() -> None:
            self.state[r] = ENDED, end
            if self.order != FOREMAN:
                self._back(r)

        self.clock.after(TAKES, back)

    def _back(self, r: int) -> None:
        self.state[r] = BACK, self.clock.now
        self._put(r, Standing.READY, self.clock.now)

    def _well(self, r: int) -> None:
        del self.state[r]
        self.done[r] = self.clock.now

    # --- orders by operators ---

    def _next(self) -> list[int]:
        if self.order == BY_ZONE:
            if self.state or not self.left:
                return []
            zone = self.left[0] % ZONES
            go = [r for r in self.left if r % ZONES == zone]
        elif self.order == TRUE_LOADS:
            go = self._by_load()
        else:
            go = self.left[:max((1 if self.order == ONE else self.most) - len(self.state), 0)]
        self.left = [r for r in self.left if r not in go]
        return go

    def _by_load(self) -> list[int]:
        go: list[int] = []
        up = {r: it for r, it in enumerate(self.runners) if self._up(r, it)}
        held = sum(it.busy + len(it.waiting) for it in self.runners)
        places = self.most - len(self.state) - sum(not self._up(r, it) and r not in self.state
                                                   for r, it in enumerate(self.runners))
        for r in sorted(self.left, key=lambda r: (self.runners[r].busy + len(self.runners[r].waiting), r)):
            if len(go) >= places or held > FULL * self.scenario.slots * (len(up) - len(go) - 1):
                break
            if r in up:
                go.append(r)
        return go

    @staticmethod
    def _up(r: int, it: Runner) -> bool:
        return it.standing == Standing.READY and not it.dead

    # --- the foreman ---

    def _settled(self) -> None:
        ledger, now = self.ledger, self.clock.now
        for uid, away in list(ledger.machines.items()):
            if away.state == WORK and self.state[int(uid)][0] == ENDED:
                self._take([{"uid": uid, "work": "w", "step": ENDED, "by": "o", "why": ""}])
        counts = self.rules.ended_as
        taken, shed = (counts[how] - self.counted[0][n] for n, how in enumerate(("done", "shed")))
        holds = {f"{r:04}" for r, (state, _) in self.state.items() if state == OUT}
        steps = self.foreman.look(View(
            now, 0, 1, {"w": self.given}, ledger, [self._machine(r) for r in range(len(self.runners))],
            holders=lambda uid, index: "held" if uid in holds else "", taken=taken, shed=shed,
            executors={"n0": 1}, lives={"n0": 1}, warm_after=self.orders.warm_after))
        # An entry is agreed, and its machines are out or back, a little later; then the next is looked for.
        if steps:
            self.clock.after(AGREED, lambda: self._agreed(steps))

    def _agreed(self, steps: list[dict[str, object]]) -> None:
        self._take(steps)
        self._settled()

    def _take(self, steps: list[dict[str, object]]) -> None:
        before = {uid: away.state for uid, away in self.ledger.machines.items()}
        self.entry += 1
        self.ledger.apply(self.entry, {"steps": steps}, 1)
        for step in steps:
            uid = str(step["uid"])
            if not uid:
                continue
            r, away = int(uid), self.ledger.machines.get(uid)
            state = away.state if away else ""
            if state == before.get(uid, ""):
                continue
            if state == OUT:
                self._out(r)
            elif state == FREE:
                # The operator begins at once.
                self._take([{"uid": uid, "work": "w", "step": WORK, "by": "o", "life": 0, "why": ""}])
                self._work(r)
            elif state == BACK:
                self._back(r)
            elif not state:
                self.state.pop(r, None)
                if uid in self.ledger.done.get("w", ()):
                    self.done[r] = self.clock.now


def play(order: str, scenario: Scenario, orders: StandingOrders, seed: int) -> Through:
    fleet = Fleet(replace(scenario, seed=seed), orders, order)
    fleet.run()
    whole = len(fleet.done) == scenario.runners
    took = (max(fleet.done.values()) - 2 * SECOND) / SECOND if whole else float(scenario.seconds)
    return Through(order, seed, fleet.asked, fleet.in_time / max(fleet.asked, 1),
                   len(fleet.done) / scenario.runners, took, len(fleet.rules.broken))
