"""The simulated fleet: runs repeat, queue times match theory, and the checker finds violated invariants."""

from dataclasses import replace
from math import factorial

from crankfold.routing.interface import (
    DeduplicationScope,
    EndpointState,
    Idempotency,
    RequestArrival,
)
from crankfold.routing.router import Router
from crankfold.simulation.traffic.dispatcher import SimulatedDispatcher
from crankfold.simulation.traffic.faults import Fault, FaultKind
from crankfold.simulation.traffic.fleet import SimulatedFleet
from crankfold.simulation.traffic.invariants import Answer
from crankfold.simulation.traffic.scenario import ClientRequest, PolicyFactory, Scenario
from tests.fixtures import REQUEST_CLASS, ROUTING_CONFIG, TICKS_PER_MS, TraceTestCase


class RandomPolicy(Router):
    """Sends each request to a random ready backend; the base of policies that violate an invariant."""

    def request_received(self, now: int, arrival: RequestArrival) -> None:  # noqa: ARG002 - as the base names it
        self.handle_request(arrival.request_id)

    def handle_request(self, request_id: int) -> None:
        ready = self.state.table.ready
        backend = ready[self.state.random.below(len(ready))]
        self.state.actions.send_attempt(request_id, backend.index)

    def attempt_started(self, now: int, request_id: int, attempt_number: int, backend: int) -> None: ...
    def attempt_ended(self, *event: object) -> None: ...
    def probe_ended(self, *event: object) -> None: ...
    def timer_fired(self, now: int, token: int) -> None: ...


class AnswerTwicePolicy(RandomPolicy):
    def handle_request(self, request_id: int) -> None:
        self.state.actions.shed(request_id, 0)
        self.state.actions.fail_request(request_id)


class SendAfterAnswerPolicy(RandomPolicy):
    def handle_request(self, request_id: int) -> None:
        self.state.actions.shed(request_id, 0)
        self.state.actions.send_attempt(request_id, 0)


class NoAnswerPolicy(RandomPolicy):
    def handle_request(self, request_id: int) -> None:
        pass


class SendTwicePolicy(RandomPolicy):
    def handle_request(self, request_id: int) -> None:
        self.state.actions.send_attempt(request_id, 0)
        self.state.actions.send_attempt(request_id, 1)


class ShedAfterSendPolicy(RandomPolicy):
    def handle_request(self, request_id: int) -> None:
        self.state.actions.send_attempt(request_id, 0)
        self.state.actions.shed(request_id, 0)


class FirstBackendPolicy(RandomPolicy):
    def handle_request(self, request_id: int) -> None:
        self.state.actions.send_attempt(request_id, 0)


class SendAfterDisconnectPolicy(RandomPolicy):
    """Sends each request after a delay, even if its client has disconnected meanwhile."""

    def handle_request(self, request_id: int) -> None:
        self.state.actions.set_timer(2_500, request_id + 1_000)

    def timer_fired(self, now: int, token: int) -> None:  # noqa: ARG002 - as the base names it
        if token >= 1_000:
            self.state.actions.send_attempt(token - 1_000, 0)


def limit_service_time(dispatcher: SimulatedDispatcher, ticks: int) -> None:
    """Limits the service time of each request that the dispatcher receives."""
    receive_request = dispatcher.receive_request

    def receive_short_request(request_id: int, request: ClientRequest) -> None:
        receive_request(request_id, replace(request, service_time=min(request.service_time, ticks)))

    dispatcher.receive_request = receive_short_request  # type: ignore[method-assign]


class SimulatedFleetTest(TraceTestCase):
    def make_fleet(
        self, policy: PolicyFactory, scenario: Scenario, **class_settings: object
    ) -> SimulatedFleet:
        request_class = replace(REQUEST_CLASS, **class_settings)  # type: ignore[arg-type]
        config = replace(ROUTING_CONFIG, request_classes=[request_class])
        return SimulatedFleet(scenario, config, policy)

    def test_same_seed_gives_same_history(self) -> None:
        def history(seed: int) -> list[str]:
            fleet = self.make_fleet(Router, Scenario(seed=seed, seconds=3))
            fleet.run()
            return [line for record in fleet.invariants.requests.values() for line in record.history]

        self.assertEqual(history(1), history(1))
        self.assertNotEqual(history(1), history(2))

    def test_queue_times_of_one_backend_match_queueing_theory(self) -> None:
        scenario = Scenario(
            dispatcher_count=1,
            backend_count=1,
            slots_per_backend=4,
            queue_capacity=10**6,
            arrival_rate=14.0,
            seconds=4000,
        )
        fleet = self.make_fleet(RandomPolicy, scenario, deadline=10**9)
        fleet.run()
        queue_times = fleet.backends[0].queue_times
        offered_load = 14.0 * 0.2
        waiting_term = offered_load**4 / factorial(4) / (1 - offered_load / 4)
        # Erlang C: the probability that an arriving request finds all slots busy.
        expected_share = waiting_term / (
            sum(offered_load**busy / factorial(busy) for busy in range(4)) + waiting_term
        )
        expected_mean = expected_share * 2_000 / (4 - offered_load)
        waiting_share = sum(queue_time > 0 for queue_time in queue_times) / len(queue_times)
        self.record(f"share that waits within 5% of theory: {abs(waiting_share / expected_share - 1) < 0.05}")
        self.record(
            "mean wait within 10% of theory: "
            f"{abs(sum(queue_times) / len(queue_times) / expected_mean - 1) < 0.1}"
        )
        self.assert_matches_trace("emulator-waits")

    def test_router_violates_no_invariant_during_drain_and_slow_start(self) -> None:
        fleet = self.make_fleet(Router, Scenario(dispatcher_count=8, backend_count=12, seconds=8))
        for backend in range(5):
            fleet.change_state(30_000, backend, EndpointState.DRAINING)
            fleet.change_state(45_000, backend, EndpointState.REMOVED)
            fleet.change_state(60_000, backend, EndpointState.READY, since=60_000)
        fleet.run()
        self.assertEqual(fleet.invariants.violations, [])
        answers = [record.answer for record in fleet.invariants.requests.values()]
        completed_share = answers.count(Answer.COMPLETED) / len(answers)
        self.record(f"all answered: {all(answers)}; over 95 of a hundred done: {completed_share > 0.95}")
        self.assert_matches_trace("emulator-rules")

    def test_checker_reports_violation_of_each_invariant(self) -> None:
        scenario = Scenario(dispatcher_count=1, backend_count=2, seconds=4, arrival_rate=5.0)
        faulty_policies = {  # by their names in the trace
            "Twice": AnswerTwicePolicy,
            "AfterAnswer": SendAfterAnswerPolicy,
            "Silent": NoAnswerPolicy,
            "Again": SendTwicePolicy,
            "ShedThoughSent": ShedAfterSendPolicy,
        }
        for name, policy in faulty_policies.items():
            fleet = self.make_fleet(
                policy,
                scenario,
                idempotency=Idempotency.NON_IDEMPOTENT,
                deduplication_scope=DeduplicationScope.CELL,
                deadline=500 * TICKS_PER_MS,
            )
            fleet.run()
            self.record(f"{name}: {self.first_violation(fleet)}")
        fleet = self.make_fleet(FirstBackendPolicy, scenario)
        fleet.change_state(12_000, 0, EndpointState.DRAINING)
        fleet.run()
        self.record(f"ToOne, drained: {self.first_violation(fleet)}")
        fleet = self.make_fleet(FirstBackendPolicy, replace(scenario, arrival_rate=80.0))
        fleet.change_state(10_001, 0, EndpointState.READY, since=10_001)
        fleet.run()
        self.record(f"ToOne, cold: {self.first_violation(fleet)}")
        self.assert_matches_trace("emulator-caught")

    def test_checker_reports_late_sends_and_overload_by_many_dispatchers(self) -> None:
        """Covers disconnected clients, a warming backend that all dispatchers use, and silent watches."""
        disconnects = Fault(FaultKind.CLIENTS_LEAVE, 0.0, 2.0, share=1.0, factor=0.5)
        scenario = Scenario(
            dispatcher_count=1, backend_count=2, seconds=3, arrival_rate=5.0, faults=(disconnects,)
        )
        fleet = self.make_fleet(SendAfterDisconnectPolicy, scenario)
        fleet.run()
        self.record(f"ForNobody: {self.first_violation(fleet)}")
        # Each of 30 dispatchers sends few short requests; together they exceed the number of requests that a
        # backend in slow start may receive, but not the work.
        config = replace(
            ROUTING_CONFIG, request_classes=[REQUEST_CLASS], overload_factor=3.0, overload_period=10_000
        )
        fleet = SimulatedFleet(
            Scenario(dispatcher_count=30, backend_count=2, seconds=2, arrival_rate=2.0),
            config,
            FirstBackendPolicy,
        )
        for dispatcher in fleet.dispatchers:
            limit_service_time(dispatcher, 50)
        fleet.change_state(10_001, 0, EndpointState.READY, since=10_001)
        fleet.run()
        self.record(f"ToOne, thirty, small units: {self.first_violation(fleet)}")
        # 10 s exceeds the time in which a dispatcher must learn of a drain; 3 s is the longest time that a
        # dispatcher takes to replace a silent watch.
        for silence_seconds in (10.0, 3.0):
            silent_watch = Fault(FaultKind.SILENT_WATCH, 0.0, 9.0, share=1.0, factor=silence_seconds)
            fleet = self.make_fleet(
                Router, Scenario(dispatcher_count=3, backend_count=4, seconds=14, faults=(silent_watch,))
            )
            fleet.change_state(20_000, 0, EndpointState.DRAINING)
            fleet.run()
            self.record(f"watches silent for {silence_seconds:.0f} s: {self.first_violation(fleet)}")
        self.assert_matches_trace("emulator-stricter")

    def first_violation(self, fleet: SimulatedFleet) -> str:
        return fleet.invariants.violations[0] if fleet.invariants.violations else "nothing"
