"""Other ways to choose, for comparison only: none of them is offered to a dispatcher in service."""

from collections import Counter
from collections.abc import Callable, Collection, Sequence
from random import Random
from typing import TYPE_CHECKING, cast

from crankfold.routing.interface import (
    NEVER_EXECUTED,
    AttemptEnd,
    Endpoint,
    EndpointState,
    Idempotency,
    RequestArrival,
    RoutingActions,
    RoutingConfig,
)

if TYPE_CHECKING:
    from crankfold.simulation.fleet import SimulatedDispatcher


class Baseline:
    """Sends at once to whom `choose` names, again where the unit never ran, and answers in time."""

    def __init__(self, orders: RoutingConfig, seed: int, port: RoutingActions) -> None:
        self.config, self.actions, self.rng = orders, port, Random(seed)
        self.ready_backends: list[int] = []
        self.in_flight: Counter[int] = Counter()
        self.class_of_request: dict[int, int] = {}  # of units in hand
        self.backends_tried: dict[int, list[int]] = {}
        self.possibly_executed: set[int] = set()  # units that may have run

    def select_backend(self) -> int:
        return self.rng.choice(self.ready_backends)

    def endpoints_changed(self, now: int, entries: Sequence[Endpoint], whole: bool) -> None:
        standing = {} if whole else dict.fromkeys(self.ready_backends, EndpointState.READY)
        standing |= {entry.backend: entry.state for entry in entries}
        self.ready_backends = sorted(r for r, s in standing.items() if s == EndpointState.READY)

    def request_received(self, now: int, arrival: RequestArrival) -> None:
        unit = arrival.request_id
        self.class_of_request[unit] = arrival.class_index
        self.backends_tried[unit] = []
        self.actions.set_timer(arrival.deadline - now - 2 * self.config.timer_resolution, unit)
        self._start_attempt(unit)

    def _start_attempt(self, unit: int) -> None:
        if not self.ready_backends or len(self.backends_tried[unit]) >= self.config.max_attempts:
            self._finish(unit)
            return
        runner = self.select_backend()
        self.backends_tried[unit].append(runner)
        self.in_flight[runner] += 1
        self.possibly_executed.add(unit)
        self.actions.send_attempt(unit, runner)

    def _finish(self, unit: int) -> None:
        grade = self.config.request_classes[self.class_of_request.pop(unit)]
        if unit not in self.possibly_executed or grade.idempotency == Idempotency.IDEMPOTENT:
            self.actions.shed(unit, 0)
        else:
            self.actions.fail_request(unit)

    def attempt_ended(self, now: int, unit: int, nth: int, runner: int, end: AttemptEnd) -> None:
        self.in_flight[runner] -= 1
        if end.request_over:
            self.class_of_request.pop(unit, None)
        if unit not in self.class_of_request:
            return
        if end.outcome in NEVER_EXECUTED:
            self.possibly_executed.discard(unit)
            self._start_attempt(unit)
        else:
            self._finish(unit)

    def timer_fired(self, now: int, label: int) -> None:
        if label in self.class_of_request:
            self._finish(label)

    def discovery_failed(self, now: int) -> None: ...
    def attempt_started(self, now: int, unit: int, nth: int, runner: int) -> None: ...
    def attempt_progressed(self, now: int, unit: int, nth: int, runner: int) -> None: ...
    def probe_ended(self, now: int, runner: int, well: bool, report: Sequence[float]) -> None: ...

    def client_disconnected(self, now: int, unit: int) -> None:
        self.class_of_request.pop(unit, None)

    def config_changed(self, now: int, orders: RoutingConfig, anew: Collection[int] = ()) -> None:
        self.config = orders

    def request_aborted(self, now: int, unit: int) -> None:
        if unit in self.class_of_request:
            self._finish(unit)


class RoundRobin(Baseline):
    def __init__(self, orders: RoutingConfig, seed: int, port: RoutingActions) -> None:
        super().__init__(orders, seed, port)
        self.position = self.rng.randrange(1 << 16)  # all that start together would go round in step

    def select_backend(self) -> int:
        self.position += 1
        return self.ready_backends[self.position % len(self.ready_backends)]


class LeastInFlight(Baseline):
    def select_backend(self) -> int:
        least = min(self.in_flight[r] for r in self.ready_backends)
        return self.rng.choice([r for r in self.ready_backends if self.in_flight[r] == least])


class TwoChoices(Baseline):
    def select_backend(self) -> int:
        return min((self.rng.choice(self.ready_backends) for _ in range(2)), key=lambda r: self.in_flight[r])


class GlobalKnowledge(Baseline):
    """True queues at this moment, which no dispatcher can know."""

    def select_backend(self) -> int:
        runners = cast("SimulatedDispatcher", self.actions).fleet.backends
        held = {r: runners[r].busy_slots + len(runners[r].queue) for r in self.ready_backends}
        least = min(held.values())
        return self.rng.choice([r for r in self.ready_backends if held[r] == least])


BASELINES: dict[str, Callable[[RoutingConfig, int, RoutingActions], Baseline]] = {
    "random": Baseline,
    "round-robin": RoundRobin,
    "least-own": LeastInFlight,
    "two-choices": TwoChoices,
    "sees-all": GlobalKnowledge,
}
