"""The emulator: its histories repeat, its waits are those of queueing theory, and its rule checks catch."""

from dataclasses import replace
from math import factorial

from crankfold.routing.interface import (
    DeduplicationScope,
    EndpointState,
    Idempotency,
    RequestArrival,
    RoutingConfig,
)
from crankfold.routing.router import Router
from crankfold.simulation.traffic.faults import Fault, FaultKind
from crankfold.simulation.traffic.fleet import SimulatedFleet
from crankfold.simulation.traffic.invariants import Answer
from crankfold.simulation.traffic.scenario import PolicyFactory, Scenario
from tests.scene import MS, REQUEST_CLASS, ROUTING_CONFIG, TraceTestCase


class Anyone(Router):
    """Random choice, for comparison; and a base for policies that break a rule."""

    def request_received(self, now: int, arrival: RequestArrival) -> None:  # noqa: ARG002 - as the base names it
        self.on(arrival.request_id)

    def on(self, unit: int) -> None:
        ready = self.state.table.ready
        choice = ready[self.state.random.below(len(ready))]
        self.state.actions.send_attempt(unit, choice.index)

    def attempt_started(self, now: int, unit: int, nth: int, runner: int) -> None: ...
    def attempt_ended(self, *told: object) -> None: ...
    def probe_ended(self, *told: object) -> None: ...
    def timer_fired(self, now: int, label: int) -> None: ...


class Twice(Anyone):
    def on(self, unit: int) -> None:
        self.state.actions.shed(unit, 0)
        self.state.actions.fail_request(unit)


class AfterAnswer(Anyone):
    def on(self, unit: int) -> None:
        self.state.actions.shed(unit, 0)
        self.state.actions.send_attempt(unit, 0)


class Silent(Anyone):
    def on(self, unit: int) -> None:
        pass


class Again(Anyone):
    def on(self, unit: int) -> None:
        self.state.actions.send_attempt(unit, 0)
        self.state.actions.send_attempt(unit, 1)


class ShedThoughSent(Anyone):
    def on(self, unit: int) -> None:
        self.state.actions.send_attempt(unit, 0)
        self.state.actions.shed(unit, 0)


class ToOne(Anyone):
    def on(self, unit: int) -> None:
        self.state.actions.send_attempt(unit, 0)


class ForNobody(Anyone):
    """Holds a unit for a while and forgets to ask whether its client is still there."""

    def on(self, unit: int) -> None:
        self.state.actions.set_timer(2_500, unit + 1_000)

    def timer_fired(self, now: int, label: int) -> None:  # noqa: ARG002 - as the base names it
        if label >= 1_000:
            self.state.actions.send_attempt(label - 1_000, 0)


class Emulated(TraceTestCase):
    def world(self, make: PolicyFactory, scenario: Scenario, **grade: object) -> SimulatedFleet:
        orders: RoutingConfig = replace(ROUTING_CONFIG, request_classes=[replace(REQUEST_CLASS, **grade)])  # type: ignore[arg-type]
        return SimulatedFleet(scenario, orders, make)

    def test_one_seed_one_history(self) -> None:
        def history(seed: int) -> list[str]:
            world = self.world(Router, Scenario(seed=seed, seconds=3))
            world.run()
            return [line for record in world.invariants.requests.values() for line in record.history]

        self.assertEqual(history(1), history(1))
        self.assertNotEqual(history(1), history(2))

    def test_one_runner_waits_as_queueing_theory_says(self) -> None:
        scenario = Scenario(
            dispatcher_count=1,
            backend_count=1,
            slots_per_backend=4,
            queue_capacity=10**6,
            arrival_rate=14.0,
            seconds=4000,
        )
        world = self.world(Anyone, scenario, deadline=10**9)
        world.run()
        waits = world.backends[0].queue_times
        offered = 14.0 * 0.2
        last = offered**4 / factorial(4) / (1 - offered / 4)
        held = last / (sum(offered**k / factorial(k) for k in range(4)) + last)  # Erlang's C
        mean = held * 2_000 / (4 - offered)
        share = sum(wait > 0 for wait in waits) / len(waits)
        self.say(f"share that waits within 5% of theory: {abs(share / held - 1) < 0.05}")
        self.say(f"mean wait within 10% of theory: {abs(sum(waits) / len(waits) / mean - 1) < 0.1}")
        self.close("emulator-waits")

    def test_the_real_policy_keeps_the_rules_through_a_drain_and_a_cold_return(self) -> None:
        world = self.world(Router, Scenario(dispatcher_count=8, backend_count=12, seconds=8))
        for runner in range(5):
            world.change_state(30_000, runner, EndpointState.DRAINING)
            world.change_state(45_000, runner, EndpointState.REMOVED)
            world.change_state(60_000, runner, EndpointState.READY, since=60_000)
        world.run()
        self.assertEqual(world.invariants.violations, [])
        answers = [record.answer for record in world.invariants.requests.values()]
        done = answers.count(Answer.COMPLETED) / len(answers)
        self.say(f"all answered: {all(answers)}; over 95 of a hundred done: {done > 0.95}")
        self.close("emulator-rules")

    def test_each_broken_rule_is_caught(self) -> None:
        small = Scenario(dispatcher_count=1, backend_count=2, seconds=4, arrival_rate=5.0)
        for make in (Twice, AfterAnswer, Silent, Again, ShedThoughSent):
            world = self.world(
                make,
                small,
                idempotency=Idempotency.NON_IDEMPOTENT,
                deduplication_scope=DeduplicationScope.CELL,
                deadline=500 * MS,
            )
            world.run()
            self.say(f"{make.__name__}: {self.first(world)}")
        world = self.world(ToOne, small)
        world.change_state(12_000, 0, EndpointState.DRAINING)
        world.run()
        self.say(f"ToOne, drained: {self.first(world)}")
        world = self.world(ToOne, replace(small, arrival_rate=80.0))
        world.change_state(10_001, 0, EndpointState.READY, since=10_001)
        world.run()
        self.say(f"ToOne, cold: {self.first(world)}")
        self.close("emulator-caught")

    def test_what_the_stricter_terms_forbid_is_caught(self) -> None:
        """A client that went, calls at a cold runner from all dispatchers together, a list not asked for."""
        leave = Fault(FaultKind.CLIENTS_LEAVE, 0.0, 2.0, share=1.0, factor=0.5)
        alone = Scenario(dispatcher_count=1, backend_count=2, seconds=3, arrival_rate=5.0, faults=(leave,))
        world = self.world(ForNobody, alone)
        world.run()
        self.say(f"ForNobody: {self.first(world)}")
        # Each of the thirty sends little; all together they send more calls than are allowed, of little work.
        orders = replace(
            ROUTING_CONFIG, request_classes=[REQUEST_CLASS], overload_factor=3.0, overload_period=10_000
        )
        world = SimulatedFleet(
            Scenario(dispatcher_count=30, backend_count=2, seconds=2, arrival_rate=2.0), orders, ToOne
        )
        for post in world.dispatchers:
            take = post.receive_request
            post.receive_request = lambda unit, request, take=take: take(  # type: ignore[method-assign, misc]
                unit, replace(request, service_time=min(request.service_time, 50))
            )
        world.change_state(10_001, 0, EndpointState.READY, since=10_001)
        world.run()
        self.say(f"ToOne, thirty, small units: {self.first(world)}")
        for late in (10.0, 3.0):  # as long as a watch once took to be given up; as long as one takes at most
            silent = Fault(FaultKind.SILENT_WATCH, 0.0, 9.0, share=1.0, factor=late)
            world = self.world(
                Router, Scenario(dispatcher_count=3, backend_count=4, seconds=14, faults=(silent,))
            )
            world.change_state(20_000, 0, EndpointState.DRAINING)
            world.run()
            self.say(f"watches silent for {late:.0f} s: {self.first(world)}")
        self.close("emulator-stricter")

    def first(self, world: SimulatedFleet) -> str:
        return world.invariants.violations[0] if world.invariants.violations else "nothing"
