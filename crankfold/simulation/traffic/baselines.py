"""Simple routing policies to compare with; production dispatchers use only `routing.router.Router`."""

from collections import Counter
from collections.abc import Callable, Collection, Sequence
from random import Random
from typing import cast

from crankfold.routing.interface import (
    AttemptEnd,
    Endpoint,
    EndpointState,
    Idempotency,
    Outcome,
    RequestArrival,
    RoutingActions,
    RoutingConfig,
)
from crankfold.simulation.traffic.dispatcher import SimulatedDispatcher

NOT_EXECUTED = (Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.NOT_SENT)
INITIAL_POSITIONS = 1 << 16  # range from which a round robin draws its initial position
DEADLINE_MARGIN_TIMERS = 2  # a request is answered this many timer resolutions before its deadline


class Baseline:
    """Selects a random ready backend; retries requests that were not executed; answers by the deadline.

    Subclasses override `select_backend`.
    """

    def __init__(self, config: RoutingConfig, seed: int, actions: RoutingActions) -> None:
        self.config = config
        self.actions = actions
        self.rng = Random(seed)
        self.ready_backends: list[int] = []
        self.in_flight: Counter[int] = Counter()  # own attempts, by backend
        self.class_of_request: dict[int, int] = {}  # class index of each unanswered request
        self.backends_tried: dict[int, list[int]] = {}  # by request id
        self.possibly_executed: set[int] = set()  # ids of requests

    def select_backend(self) -> int:
        """Returns the ready backend for the next attempt."""
        return self.rng.choice(self.ready_backends)

    def endpoints_changed(self, now: int, endpoints: Sequence[Endpoint], snapshot: bool) -> None:  # noqa: ARG002 - RoutingEvents
        """Updates the ready backends."""
        states = {} if snapshot else dict.fromkeys(self.ready_backends, EndpointState.READY)
        states |= {endpoint.backend: endpoint.state for endpoint in endpoints}
        self.ready_backends = sorted(
            backend for backend, state in states.items() if state == EndpointState.READY
        )

    def request_received(self, now: int, arrival: RequestArrival) -> None:
        """Starts the first attempt."""
        self.class_of_request[arrival.request_id] = arrival.class_index
        self.backends_tried[arrival.request_id] = []
        delay = arrival.deadline - now - DEADLINE_MARGIN_TIMERS * self.config.timer_resolution
        self.actions.set_timer(delay, arrival.request_id)
        self._start_attempt(arrival.request_id)

    def _start_attempt(self, request_id: int) -> None:
        if not self.ready_backends or len(self.backends_tried[request_id]) >= self.config.max_attempts:
            self._finish(request_id)
            return
        backend = self.select_backend()
        self.backends_tried[request_id].append(backend)
        self.in_flight[backend] += 1
        self.possibly_executed.add(request_id)
        self.actions.send_attempt(request_id, backend)

    def _finish(self, request_id: int) -> None:
        request_class = self.config.request_classes[self.class_of_request.pop(request_id)]
        may_be_shed = request_class.idempotency == Idempotency.IDEMPOTENT
        if request_id not in self.possibly_executed or may_be_shed:
            self.actions.shed(request_id, 0)
        else:
            self.actions.fail_request(request_id)

    def attempt_ended(
        self,
        now: int,  # noqa: ARG002 - RoutingEvents
        request_id: int,
        attempt_number: int,  # noqa: ARG002 - RoutingEvents
        backend: int,
        end: AttemptEnd,
    ) -> None:
        """Retries a request that was not executed; answers other requests that did not complete."""
        self.in_flight[backend] -= 1
        if end.request_over:
            self.class_of_request.pop(request_id, None)
        if request_id not in self.class_of_request:
            return
        if end.outcome in NOT_EXECUTED:
            self.possibly_executed.discard(request_id)
            self._start_attempt(request_id)
        else:
            self._finish(request_id)

    def timer_fired(self, now: int, token: int) -> None:  # noqa: ARG002 - RoutingEvents
        """Answers a request shortly before its deadline."""
        if token in self.class_of_request:
            self._finish(token)

    def client_disconnected(self, now: int, request_id: int) -> None:  # noqa: ARG002 - RoutingEvents
        """Drops the request."""
        self.class_of_request.pop(request_id, None)

    def config_changed(self, now: int, config: RoutingConfig, new_rows: Collection[int] = ()) -> None:  # noqa: ARG002 - RoutingEvents
        """Replaces the configuration."""
        self.config = config

    def request_aborted(self, now: int, request_id: int) -> None:  # noqa: ARG002 - RoutingEvents
        """Answers the request at once."""
        if request_id in self.class_of_request:
            self._finish(request_id)

    def discovery_failed(self, now: int) -> None:
        """Keeps the known backends."""

    def attempt_started(self, now: int, request_id: int, attempt_number: int, backend: int) -> None:
        """Has no effect."""

    def attempt_progressed(self, now: int, request_id: int, attempt_number: int, backend: int) -> None:
        """Has no effect."""

    def probe_ended(self, now: int, backend: int, healthy: bool, report: Sequence[float]) -> None:
        """Has no effect."""


class RoundRobin(Baseline):
    """Selects the ready backends in turn."""

    def __init__(self, config: RoutingConfig, seed: int, actions: RoutingActions) -> None:
        super().__init__(config, seed, actions)
        # A random start keeps dispatchers that start together from selecting the same backends.
        self.position = self.rng.randrange(INITIAL_POSITIONS)

    def select_backend(self) -> int:
        """Returns the next ready backend."""
        self.position += 1
        return self.ready_backends[self.position % len(self.ready_backends)]


class LeastInFlight(Baseline):
    """Selects the backend with the fewest attempts in flight from this dispatcher."""

    def select_backend(self) -> int:
        """Returns a random one of the backends with the fewest attempts."""
        fewest = min(self.in_flight[backend] for backend in self.ready_backends)
        return self.rng.choice(
            [backend for backend in self.ready_backends if self.in_flight[backend] == fewest]
        )


class TwoChoices(Baseline):
    """Draws two random backends and selects the one with fewer attempts in flight from this dispatcher."""

    def select_backend(self) -> int:
        """Returns the less loaded of two random backends."""
        candidates = (self.rng.choice(self.ready_backends) for _ in range(2))
        return min(candidates, key=lambda backend: self.in_flight[backend])


class GlobalKnowledge(Baseline):
    """Selects by the current load of each backend, which no real dispatcher can know."""

    def select_backend(self) -> int:
        """Returns a random one of the backends with the fewest running and queued requests."""
        backends = cast(SimulatedDispatcher, self.actions).backends
        loads = {
            index: backends[index].busy_slots + len(backends[index].queue) for index in self.ready_backends
        }
        lowest = min(loads.values())
        return self.rng.choice([index for index in self.ready_backends if loads[index] == lowest])


BASELINES: dict[str, Callable[[RoutingConfig, int, RoutingActions], Baseline]] = {
    "random": Baseline,
    "round-robin": RoundRobin,
    "least-own": LeastInFlight,
    "two-choices": TwoChoices,
    "sees-all": GlobalKnowledge,
}
