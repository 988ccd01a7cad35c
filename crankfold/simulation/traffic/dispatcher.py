"""A simulated dispatcher: runs a routing policy and executes its actions in the simulated fleet."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from typing import Protocol

from crankfold.routing.interface import AttemptEnd, Endpoint, Outcome, RequestArrival
from crankfold.simulation.traffic.backend import SimulatedAttempt, SimulatedBackend
from crankfold.simulation.traffic.invariants import Answer, RequestRecord
from crankfold.simulation.traffic.scenario import (
    ClientRequest,
    FleetContext,
    PolicyFactory,
    cell_of,
    zone_of,
)

SEEDS_PER_SCENARIO = 1000  # distance of the seeds of scenarios, so that each dispatcher has its own
ONLY_CLASS = 0  # index of the request class of all requests of a scenario


class Clients(Protocol):
    """The clients that send requests to the dispatchers."""

    def submit_request(self, dispatcher: int, request: ClientRequest) -> None:
        """Sends a request to a dispatcher, or to the next live one if it is dead."""

    def request_completed(self, *, on_time: bool) -> None:
        """Called when a request has completed; `on_time` means within its latency objective."""


@dataclass(slots=True)
class OpenRequest:
    """A request that a dispatcher received, and the number of its attempts so far."""

    request: ClientRequest
    attempt_count: int = 0


class SimulatedDispatcher:
    """Implements RoutingActions for a policy and reports the results to the policy as RoutingEvents."""

    def __init__(
        self,
        context: FleetContext,
        index: int,
        policy_factory: PolicyFactory,
        *,
        backends: Sequence[SimulatedBackend],
        clients: Clients,
    ) -> None:
        self.context = context
        self.index = index
        self.events = context.events
        self.backends = backends
        self.clients = clients
        self.alive = True
        self.stalled_until = 0
        self.requests: dict[int, OpenRequest] = {}
        self.in_flight: set[tuple[int, int]] = set()  # request id and attempt number
        config = replace(
            context.config,
            instance_index=index,
            zone=zone_of(index),
            instance_count=context.scenario.dispatcher_count,
        )
        seed = context.scenario.seed * SEEDS_PER_SCENARIO + index
        self.policy = policy_factory(config, seed, self)

    def receive_request(self, request_id: int, request: ClientRequest) -> None:
        """Passes the request of a client to the policy."""
        self.requests[request_id] = OpenRequest(request)
        deadline = self._deadline(request)
        record = RequestRecord(
            dispatcher=self.index, request_id=request_id, request_class=ONLY_CLASS, deadline=deadline
        )
        self.context.invariants.request_received(self.events.now, record)
        arrival = RequestArrival(
            request_id=request_id,
            class_index=ONLY_CLASS,
            deadline=deadline,
            work=request.service_time,
            slots=1.0,
        )
        self._notify(self.policy.request_received, arrival)

    def _deadline(self, request: ClientRequest) -> int:
        return request.arrived_at + self.context.config.request_classes[ONLY_CLASS].deadline

    def _notify(self, call: Callable[..., None], *args: object) -> None:
        """Calls a method of the policy, at once or after a stall; drops the call of a dead dispatcher."""
        if not self.alive:
            return
        if self.events.now < self.stalled_until:
            self.events.schedule(self.stalled_until - self.events.now, partial(self._notify, call, *args))
        else:
            call(self.events.now, *args)

    def _network_delay(self, backend: int) -> int:
        scenario = self.context.scenario
        if zone_of(backend) == zone_of(self.index):
            return scenario.network_delay
        return max(scenario.cross_zone_delay, scenario.network_delay)

    def disconnect_client(self, request_id: int) -> None:
        """Reports to the policy that the client of an unanswered request closed its connection."""
        invariants = self.context.invariants
        if self.alive and invariants.requests[self.index, request_id].answer is None:
            invariants.client_disconnected(self.events.now, self.index, request_id)
            self._notify(self.policy.client_disconnected, request_id)

    # --- RoutingActions ---

    def send_attempt(self, request_id: int, backend: int) -> None:
        """Sends a request to a backend; the attempt times out at the request's deadline."""
        now = self.events.now
        self.context.invariants.attempt_sent(now, self.index, request_id, backend)
        open_request = self.requests[request_id]
        attempt = SimulatedAttempt(
            owner=self,
            request_id=request_id,
            attempt_number=open_request.attempt_count,
            service_time=open_request.request.service_time,
        )
        open_request.attempt_count += 1
        self.in_flight.add((request_id, attempt.attempt_number))
        timeout = partial(self._attempt_ended, attempt, backend, Outcome.TIMED_OUT, ())
        self.events.schedule(self._deadline(open_request.request) - now, timeout)
        arrival = partial(self.backends[backend].receive, attempt)
        self.events.schedule(self._network_delay(backend), arrival)

    def shed(self, request_id: int, retry_after: int) -> None:  # noqa: ARG002 - RoutingActions
        """Answers a request as shed; the client may retry."""
        self.context.invariants.request_answered(self.events.now, self.index, request_id, Answer.SHED)
        scenario = self.context.scenario
        request = self.requests[request_id].request
        if request.tries < scenario.client_retries:
            retry = replace(request, tries=request.tries + 1)
            submit = partial(self.clients.submit_request, self.index, retry)
            self.events.schedule(scenario.retry_delay, submit)

    def fail_request(self, request_id: int) -> None:
        """Answers a request as failed."""
        self.context.invariants.request_answered(self.events.now, self.index, request_id, Answer.FAILED)

    def cancel_attempt(self, request_id: int, attempt_number: int) -> None:
        """Has no effect, as if the backend did not support cancellation."""

    def set_timer(self, delay: int, token: int) -> None:
        """Calls `timer_fired` of the policy after `delay` ticks."""
        self.events.schedule(delay, lambda: self._notify(self.policy.timer_fired, token))

    def probe(self, backend: int) -> None:
        """Sends a health probe to a backend; the policy learns the result a round trip later."""

        def report_result() -> None:
            probed = self.backends[backend]
            healthy = probed.answers_probes()
            self._notify(self.policy.probe_ended, backend, healthy, probed.report if healthy else ())

        self.events.schedule(2 * self._network_delay(backend), report_result)

    def poll_endpoints(self) -> None:
        """Requests a snapshot of all endpoints from discovery."""
        self.events.schedule(
            self.context.scenario.network_delay,
            lambda: self.update_endpoints(range(len(self.backends)), snapshot=True),
        )

    # --- RoutingEvents ---

    def update_endpoints(self, indices: Sequence[int], *, snapshot: bool) -> None:
        """Passes the endpoints of these backends to the policy; a snapshot lists all backends."""
        endpoints = [self._endpoint(index) for index in indices]
        known_at = max(self.events.now, self.stalled_until)
        self.context.invariants.endpoints_updated(known_at, self.index, endpoints)
        self._notify(self.policy.endpoints_changed, endpoints, snapshot)

    def _endpoint(self, index: int) -> Endpoint:
        backend = self.backends[index]
        return Endpoint(
            backend=index,
            state=backend.state,
            weight=1.0,
            zone=zone_of(index),
            cell=cell_of(index),
            started_at=backend.ready_since,
            instance_type=0,
            hash_position=index / len(self.backends),
        )

    def backend_started(self, attempt: SimulatedAttempt, backend: int) -> None:
        """Reports to the policy that a backend began to execute an attempt."""
        self.events.schedule(
            self._network_delay(backend),
            lambda: self._notify(
                self.policy.attempt_started, attempt.request_id, attempt.attempt_number, backend
            ),
        )

    def backend_answered(
        self, attempt: SimulatedAttempt, backend: int, outcome: Outcome, report: Sequence[float]
    ) -> None:
        """Sends the response of a backend to the dispatcher, which receives it after the network delay."""
        ended = partial(self._attempt_ended, attempt, backend, outcome, report)
        self.events.schedule(self._network_delay(backend), ended)

    def _attempt_ended(
        self, attempt: SimulatedAttempt, backend: int, outcome: Outcome, report: Sequence[float]
    ) -> None:
        now = self.events.now
        key = (attempt.request_id, attempt.attempt_number)
        if not self.alive:
            return
        if now < self.stalled_until:
            resume = partial(self._attempt_ended, attempt, backend, outcome, report)
            self.events.schedule(self.stalled_until - now, resume)
            return
        if key not in self.in_flight:
            return  # the attempt has timed out
        self.in_flight.discard(key)
        invariants = self.context.invariants
        if outcome in (Outcome.OVERLOADED, Outcome.UNREACHABLE):
            invariants.attempt_not_executed(now, self.index, attempt.request_id, backend)
        is_answered = invariants.requests[self.index, attempt.request_id].answer is not None
        is_last = is_answered or outcome == Outcome.COMPLETED
        if outcome == Outcome.COMPLETED and not is_answered:
            self._complete(attempt)
        self.policy.attempt_ended(now, *key, backend, AttemptEnd(outcome, is_last, report))

    def _complete(self, attempt: SimulatedAttempt) -> None:
        now = self.events.now
        self.context.invariants.request_answered(now, self.index, attempt.request_id, Answer.COMPLETED)
        request_class = self.context.config.request_classes[ONLY_CLASS]
        objective = request_class.latency_objective + int(
            request_class.objective_per_work * attempt.service_time
        )
        arrived_at = self.requests[attempt.request_id].request.arrived_at
        self.clients.request_completed(on_time=now <= arrived_at + objective)
