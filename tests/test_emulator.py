"""The emulator: its histories repeat, its waits are those of queueing theory, and its rule checks catch."""

from dataclasses import replace
from math import factorial

from crankfold.dispatch.interface import Effect, Group, Standing, StandingOrders
from crankfold.dispatch.policy import Dispatcher
from crankfold.emulator.faults import Fault, Kind
from crankfold.emulator.world import Make, Scenario, World
from tests.scene import GRADE, MS, ORDERS, Kept


class Anyone(Dispatcher):
    """Random choice, for comparison; and a base for policies that break a rule."""

    def taken(self, now: int, unit: int, grade: int, tenant: int, cutoff: int, work: int,
              slots: float, key: int = 0, again: bool = False) -> None:
        self.on(unit)

    def on(self, unit: int) -> None:
        self.port.dispatch(unit, self.ready[self._draw(len(self.ready))], 0)

    def started(self, now: int, unit: int, nth: int, runner: int) -> None: ...
    def ended(self, *told: object) -> None: ...
    def probed(self, *told: object) -> None: ...
    def woken(self, now: int, label: int) -> None: ...


class Twice(Anyone):
    def on(self, unit: int) -> None:
        self.port.shed(unit, 0)
        self.port.give_up(unit)


class AfterAnswer(Anyone):
    def on(self, unit: int) -> None:
        self.port.shed(unit, 0)
        self.port.dispatch(unit, 0, 0)


class Silent(Anyone):
    def on(self, unit: int) -> None:
        pass


class Again(Anyone):
    def on(self, unit: int) -> None:
        self.port.dispatch(unit, 0, 0)
        self.port.dispatch(unit, 1, 0)


class ShedThoughSent(Anyone):
    def on(self, unit: int) -> None:
        self.port.dispatch(unit, 0, 0)
        self.port.shed(unit, 0)


class ToOne(Anyone):
    def on(self, unit: int) -> None:
        self.port.dispatch(unit, 0, 0)


class ForNobody(Anyone):
    """Holds a unit for a while and forgets to ask whether its client is still there."""

    def on(self, unit: int) -> None:
        self.port.wake(2_500, unit + 1_000)

    def woken(self, now: int, label: int) -> None:
        if label >= 1_000:
            self.port.dispatch(label - 1_000, 0, 0)


class Emulated(Kept):
    def world(self, make: Make, scenario: Scenario, **grade: object) -> World:
        orders: StandingOrders = replace(ORDERS, grades=[replace(GRADE, **grade)])  # type: ignore[arg-type]
        return World(scenario, orders, make)

    def test_one_seed_one_history(self) -> None:
        def history(seed: int) -> list[str]:
            world = self.world(Dispatcher, Scenario(seed=seed, seconds=3))
            world.run()
            return [line for record in world.rules.units.values() for line in record.past]
        self.assertEqual(history(1), history(1))
        self.assertNotEqual(history(1), history(2))

    def test_one_runner_waits_as_queueing_theory_says(self) -> None:
        scenario = Scenario(dispatchers=1, runners=1, slots=4, queue=10**6, rate=14.0, seconds=4000)
        world = self.world(Anyone, scenario, cutoff=10**9)
        world.run()
        waits = world.runners[0].waits
        offered = 14.0 * 0.2
        last = offered**4 / factorial(4) / (1 - offered / 4)
        held = last / (sum(offered**k / factorial(k) for k in range(4)) + last)  # Erlang's C
        mean = held * 2_000 / (4 - offered)
        share = sum(wait > 0 for wait in waits) / len(waits)
        self.say(f"share that waits within 5% of theory: {abs(share / held - 1) < 0.05}")
        self.say(f"mean wait within 10% of theory: {abs(sum(waits) / len(waits) / mean - 1) < 0.1}")
        self.close("emulator-waits")

    def test_the_real_policy_keeps_the_rules_through_a_drain_and_a_cold_return(self) -> None:
        world = self.world(Dispatcher, Scenario(dispatchers=8, runners=12, seconds=8))
        for runner in range(5):
            world.change(30_000, runner, Standing.DRAINING)
            world.change(45_000, runner, Standing.GONE)
            world.change(60_000, runner, Standing.READY, since=60_000)
        world.run()
        self.assertEqual(world.rules.broken, [])
        answers = [record.answered for record in world.rules.units.values()]
        done = answers.count("done") / len(answers)
        self.say(f"all answered: {all(answers)}; over 95 of a hundred done: {done > 0.95}")
        self.close("emulator-rules")

    def test_each_broken_rule_is_caught(self) -> None:
        small = Scenario(dispatchers=1, runners=2, seconds=4, rate=5.0)
        for make in (Twice, AfterAnswer, Silent, Again, ShedThoughSent):
            world = self.world(make, small, effect=Effect.ONCE_ONLY, group=Group.CELL, cutoff=500 * MS)
            world.run()
            self.say(f"{make.__name__}: {self.first(world)}")
        world = self.world(ToOne, small)
        world.change(12_000, 0, Standing.DRAINING)
        world.run()
        self.say(f"ToOne, drained: {self.first(world)}")
        world = self.world(ToOne, replace(small, rate=80.0))
        world.change(10_001, 0, Standing.READY, since=10_001)
        world.run()
        self.say(f"ToOne, cold: {self.first(world)}")
        self.close("emulator-caught")

    def test_what_the_stricter_terms_forbid_is_caught(self) -> None:
        """A client that went, calls at a cold runner from all dispatchers together, a list not asked for."""
        leave = Fault(Kind.LEAVE, 0.0, 2.0, share=1.0, factor=0.5)
        alone = Scenario(dispatchers=1, runners=2, seconds=3, rate=5.0, faults=(leave,))
        world = self.world(ForNobody, alone)
        world.run()
        self.say(f"ForNobody: {self.first(world)}")
        # Each of the thirty sends little; all together they send more calls than are allowed, of little work.
        orders = replace(ORDERS, grades=[GRADE], overload_factor=3.0, overload_for=10_000)
        world = World(Scenario(dispatchers=30, runners=2, seconds=2, rate=2.0), orders, ToOne)
        for post in world.posts:
            take = post.take
            post.take = lambda unit, work, came, tries, take=take: take(  # type: ignore[method-assign, misc]
                unit, min(work, 50), came, tries)
        world.change(10_001, 0, Standing.READY, since=10_001)
        world.run()
        self.say(f"ToOne, thirty, small units: {self.first(world)}")
        for late in (10.0, 3.0):  # as long as a watch once took to be given up; as long as one takes at most
            silent = Fault(Kind.SILENT_WATCH, 0.0, 9.0, share=1.0, factor=late)
            world = self.world(Dispatcher, Scenario(dispatchers=3, runners=4, seconds=14, faults=(silent,)))
            world.change(20_000, 0, Standing.DRAINING)
            world.run()
            self.say(f"watches silent for {late:.0f} s: {self.first(world)}")
        self.close("emulator-stricter")

    def first(self, world: World) -> str:
        return world.rules.broken[0] if world.rules.broken else "nothing"
