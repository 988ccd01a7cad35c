"""A simulated backend: slots, a bounded queue, load reports, slow start and injected faults."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Protocol

from crankfold.routing.interface import EndpointState, Outcome
from crankfold.simulation.traffic.scenario import FleetContext

ERROR_DELAY_TICKS = 200  # from the arrival of a request to its error response


class AttemptOwner(Protocol):
    """The dispatcher that sent an attempt."""

    index: int

    def backend_started(self, attempt: "SimulatedAttempt", backend: int) -> None:
        """Called when a backend starts to execute the attempt."""

    def backend_answered(
        self, attempt: "SimulatedAttempt", backend: int, outcome: Outcome, report: Sequence[float]
    ) -> None:
        """Called when a backend has answered; `report` is its load report, empty if it did not respond."""


@dataclass(slots=True, eq=False)
class SimulatedAttempt:
    """An attempt of a request at one backend."""

    owner: AttemptOwner
    request_id: int
    attempt_number: int
    service_time: int  # ticks on a warm backend
    enqueued_at: int = 0  # ticks


class SimulatedBackend:
    """Serves requests in the order of their arrival with a fixed number of slots and a bounded queue."""

    def __init__(self, context: FleetContext, index: int) -> None:
        self.context = context
        self.index = index
        self.state = EndpointState.READY
        self.ready_since = 0  # start of the slow start, ticks; 0 for a warm backend
        self.busy_slots = 0
        self.queue = deque[SimulatedAttempt]()
        self.running: dict[SimulatedAttempt, None] = {}  # in the order of their starts
        self.rng = Random(f"{context.scenario.seed} runner {index}")
        # Load report: queue length and free slots.
        self.report: tuple[float, ...] = (0.0, float(context.scenario.slots_per_backend))
        self.queue_times: list[int] = []  # ticks that each attempt spent in the queue
        # Injected faults.
        self.slowdown = 1.0  # factor on service times
        self.error_rate = 0.0  # share of the requests that fail
        self.generation = 0  # incremented by each restart; attempts of earlier generations never complete
        self.unresponsive = False
        self.dead = False
        self.reports_frozen = False

    def slow_start_factor(self) -> float:
        """Returns the current speed relative to a warm backend, in (0, 1]."""
        config = self.context.config
        age = self.context.events.now - self.ready_since
        if not self.ready_since or age >= config.warm_up_time:
            return 1.0
        return config.initial_capacity + (1.0 - config.initial_capacity) * age / config.warm_up_time

    def refresh_report(self) -> None:
        """Updates the load report, unless a fault freezes it, and schedules the next refresh."""
        scenario = self.context.scenario
        if not self.reports_frozen:
            free_slots = scenario.slots_per_backend - self.busy_slots
            self.report = (float(len(self.queue)), float(free_slots))
        self.context.events.schedule(scenario.report_interval, self.refresh_report)

    def answers_probes(self) -> bool:
        """Whether the backend answers health probes."""
        return not self.dead and not self.unresponsive and self.state != EndpointState.REMOVED

    def receive(self, attempt: SimulatedAttempt) -> None:
        """Queues an attempt, or answers it at once if the state, a fault or a full queue demands it."""
        events = self.context.events
        self._check_slow_start(attempt)
        if self.state == EndpointState.REMOVED or self.dead:
            attempt.owner.backend_answered(attempt, self.index, Outcome.UNREACHABLE, ())
        elif self.unresponsive:
            pass
        elif self.error_rate and self.rng.random() < self.error_rate:
            answer = partial(attempt.owner.backend_answered, attempt, self.index, Outcome.ERROR, self.report)
            events.schedule(ERROR_DELAY_TICKS, answer)
        elif len(self.queue) >= self.context.scenario.queue_capacity:
            attempt.owner.backend_answered(attempt, self.index, Outcome.OVERLOADED, self.report)
        else:
            attempt.enqueued_at = events.now
            self.queue.append(attempt)
            self._start_queued()

    def _check_slow_start(self, attempt: SimulatedAttempt) -> None:
        factor = self.slow_start_factor()
        if factor < 1.0:
            scenario = self.context.scenario
            self.context.invariants.warming_backend_reached(
                self.context.events.now,
                attempt.owner.index,
                attempt.request_id,
                backend=self.index,
                service_time=attempt.service_time,
                capacity=factor * scenario.slots_per_backend,
                mean_service_time=scenario.mean_service_time,
            )

    def _start_queued(self) -> None:
        events = self.context.events
        while self.queue and self.busy_slots < self.context.scenario.slots_per_backend:
            attempt = self.queue.popleft()
            self.busy_slots += 1
            self.queue_times.append(events.now - attempt.enqueued_at)
            attempt.owner.backend_started(attempt, self.index)
            self.running[attempt] = None
            duration = int(attempt.service_time * self.slowdown / self.slow_start_factor())
            events.schedule(duration, partial(self._completed, attempt, self.generation))

    def terminate(self) -> None:
        """Ends the process: running and queued attempts are reset."""
        self.generation += 1
        for attempt in [*self.running, *self.queue]:
            attempt.owner.backend_answered(attempt, self.index, Outcome.RESET, ())
        self.running.clear()
        self.queue.clear()
        self.busy_slots = 0

    def _completed(self, attempt: SimulatedAttempt, generation: int) -> None:
        if generation != self.generation:
            return
        del self.running[attempt]
        self.busy_slots -= 1
        attempt.owner.backend_answered(attempt, self.index, Outcome.COMPLETED, self.report)
        self._start_queued()
