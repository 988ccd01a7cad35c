"""Compares maintenance strategies under load: how long they take, and their effect on requests.

The fleet is that of `simulation.traffic.fleet`. Either the product's coordinator selects the next machine, or
an operator with a simple strategy.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import StrEnum
from random import Random
from typing import Final, NamedTuple

from crankfold.maintenance.coordinator import Coordinator
from crankfold.maintenance.fleet_view import FleetView
from crankfold.maintenance.scheduler import Machine
from crankfold.maintenance.specification import JobSpecification
from crankfold.maintenance.state import MaintenanceState
from crankfold.maintenance.transitions import MaintenancePhase, coordinator_document
from crankfold.routing.interface import EndpointState, RoutingConfig
from crankfold.routing.router import Router
from crankfold.simulation.consensus.cluster import Document
from crankfold.simulation.traffic.fleet import SimulatedFleet
from crankfold.simulation.traffic.invariants import Answer
from crankfold.simulation.traffic.scenario import START, ZONE_COUNT, Scenario
from crankfold.time_units import TICKS_PER_SECOND

FIRST_DECISION_TICKS: Final = TICKS_PER_SECOND  # after the start of the day
DECISION_INTERVAL_TICKS: Final = 2_000
CONSENSUS_DELAY_TICKS: Final = 300  # from a proposal until its commit
WORK_DURATION_TICKS: Final = TICKS_PER_SECOND  # of the work on each machine
MIN_DRAIN_TICKS: Final = 5_000  # until all dispatchers know that the machine drains
MAX_OUT_DIVISOR: Final = 10  # at most a tenth of the machines is out at once
MAX_UTILIZATION: Final = 0.8  # of the remaining slots; limit of the strategy BY_TRUE_LOAD
MIN_REMAINING_SHARE: Final = 0.5  # of the machines; limit of the coordinator's job
OUTCOME_WINDOW_DECISIONS: Final = 26  # completed and shed requests are counted over so many decisions
JOB: Final = "w"
OPERATOR: Final = "o"
MEMBER_NAME: Final = "n0"


class Strategy(StrEnum):
    """How the next machine is selected; the values are the names in the tables of the study."""

    COORDINATOR = "settled"
    BY_ID = "by id"
    AT_RANDOM = "at random"
    BY_ZONE = "zone by zone"
    ONE_AT_A_TIME = "one at a time"
    BY_TRUE_LOAD = "true loads"
    NO_MAINTENANCE = "no work"


@dataclass(frozen=True, slots=True)
class StudyResult:
    """The result of one simulated day."""

    strategy: Strategy
    seed: int
    request_count: int
    in_time_share: float
    completed_share: float  # of the machines, by the end of the day
    duration_seconds: float  # until the last machine was completed, or else the length of the day
    violation_count: int


class Absence(NamedTuple):
    """The phase of a machine in maintenance."""

    phase: MaintenancePhase
    since: int  # ticks


class StudyFleet(SimulatedFleet):
    """A fleet without maintenance; subclasses select machines and move them through the phases."""

    def __init__(self, scenario: Scenario, config: RoutingConfig, strategy: Strategy) -> None:
        # Set before the base class starts: its constructor schedules faults, which read `absent`.
        self.absent: dict[int, Absence] = {}  # by backend
        super().__init__(scenario, config, Router)
        self.completed_at: dict[int, int] = {}  # by backend, ticks
        self._strategy = strategy
        self._max_out = max(scenario.backend_count // MAX_OUT_DIVISOR, 1)
        if strategy != Strategy.NO_MAINTENANCE:
            self.events.schedule(FIRST_DECISION_TICKS, self._decide)

    def change_state(self, at: int, backend: int, state: EndpointState, since: int = 0) -> None:
        """Schedules a change of state by a fault, which has no effect on a machine in maintenance."""

        def change_if_in_service() -> None:
            if backend not in self.absent:
                SimulatedFleet.change_state(self, at, backend, state, since)

        self.events.schedule(at - self.events.now, change_if_in_service)

    def _set_endpoint_state(self, backend: int, state: EndpointState, since: int = 0) -> None:
        super().change_state(self.events.now, backend, state, since)

    def _is_available(self, backend: int) -> bool:
        simulated = self.backends[backend]
        return simulated.state == EndpointState.READY and not simulated.dead

    def _decide(self) -> None:
        self.events.schedule(DECISION_INTERVAL_TICKS, self._decide)
        now = self.events.now
        for index, absence in list(self.absent.items()):
            backend = self.backends[index]
            if absence.phase != MaintenancePhase.DRAINING:
                self._advance_phase(index, absence)
            elif now - absence.since >= MIN_DRAIN_TICKS and not backend.busy_slots and not backend.queue:
                self.absent[index] = Absence(MaintenancePhase.DRAINED, now)
        self._start_departures()

    def _advance_phase(self, backend: int, absence: Absence) -> None:
        """Moves a machine that has drained to its next phase."""

    def _start_departures(self) -> None:
        """Selects the next machines and starts their drain."""

    def _work_done(self, backend: int) -> None:
        """Called when the work on a machine is done."""

    # --- phases of a machine ---

    def _start_drain(self, backend: int) -> None:
        self.absent[backend] = Absence(MaintenancePhase.DRAINING, self.events.now)
        self._set_endpoint_state(backend, EndpointState.DRAINING)

    def _start_work(self, backend: int) -> None:
        self.absent[backend] = Absence(MaintenancePhase.IN_WORK, self.events.now)
        self.backends[backend].state = EndpointState.REMOVED

        def done() -> None:
            self.absent[backend] = Absence(MaintenancePhase.WORK_DONE, self.events.now)
            self._work_done(backend)

        self.events.schedule(WORK_DURATION_TICKS, done)

    def _return_to_service(self, backend: int) -> None:
        self.absent[backend] = Absence(MaintenancePhase.RETURNING, self.events.now)
        self._set_endpoint_state(backend, EndpointState.READY, self.events.now)


class OperatedFleet(StudyFleet):
    """A fleet whose operator selects machines by a simple strategy, without the limits of a job."""

    def __init__(self, scenario: Scenario, config: RoutingConfig, strategy: Strategy) -> None:
        super().__init__(scenario, config, strategy)
        self._remaining = list(range(scenario.backend_count))
        if strategy == Strategy.AT_RANDOM:
            Random(f"{scenario.seed} order").shuffle(self._remaining)
        elif strategy == Strategy.BY_ZONE:
            self._remaining.sort(key=lambda backend: (backend % ZONE_COUNT, backend))

    def _advance_phase(self, backend: int, absence: Absence) -> None:
        if absence.phase == MaintenancePhase.DRAINED:
            self._start_work(backend)
            return
        warm = self.events.now - absence.since >= self.config.warm_up_time
        if absence.phase == MaintenancePhase.RETURNING and warm:
            del self.absent[backend]
            self.completed_at[backend] = self.events.now

    def _work_done(self, backend: int) -> None:
        self._return_to_service(backend)

    def _start_departures(self) -> None:
        chosen = self._next_departures()
        self._remaining = [backend for backend in self._remaining if backend not in chosen]
        for backend in chosen:
            self._start_drain(backend)

    def _next_departures(self) -> list[int]:
        if self._strategy == Strategy.BY_ZONE:
            return self._next_zone()
        if self._strategy == Strategy.BY_TRUE_LOAD:
            return self._least_loaded()
        max_out = 1 if self._strategy == Strategy.ONE_AT_A_TIME else self._max_out
        return self._remaining[: max(max_out - len(self.absent), 0)]

    def _next_zone(self) -> list[int]:
        """Returns all machines of the next zone once the previous zone is back in service."""
        if self.absent or not self._remaining:
            return []
        zone = self._remaining[0] % ZONE_COUNT
        return [backend for backend in self._remaining if backend % ZONE_COUNT == zone]

    def _load(self, backend: int) -> int:
        return self.backends[backend].busy_slots + len(self.backends[backend].queue)

    def _least_loaded(self) -> list[int]:
        """Returns the least loaded machines, as many as the utilization of the others allows."""
        all_backends = range(len(self.backends))
        available = {backend for backend in all_backends if self._is_available(backend)}
        lost = sum(backend not in available and backend not in self.absent for backend in all_backends)
        max_departures = self._max_out - len(self.absent) - lost
        load = sum(self._load(backend) for backend in all_backends)
        chosen: list[int] = []
        for backend in sorted(self._remaining, key=lambda backend: (self._load(backend), backend)):
            slots_left = self.scenario.slots_per_backend * (len(available) - len(chosen) - 1)
            if len(chosen) >= max_departures or load > MAX_UTILIZATION * slots_left:
                break
            if backend in available:
                chosen.append(backend)
        return chosen


class CoordinatedFleet(StudyFleet):
    """A fleet whose coordinator is the product's; proposals are committed after `CONSENSUS_DELAY_TICKS`."""

    def __init__(self, scenario: Scenario, config: RoutingConfig, strategy: Strategy) -> None:
        super().__init__(scenario, config, strategy)
        self._coordinator = Coordinator(MEMBER_NAME)
        self._state = MaintenanceState()
        self._log_index = 1
        self._job = JobSpecification(
            max_out=self._max_out,
            min_remaining_share=MIN_REMAINING_SHARE,
            watch_seconds=0.0,
            min_responses=0,
        )
        self._outcome_counts: list[tuple[int, int]] = []  # (completed, shed) at each decision

    def _start_departures(self) -> None:
        counts = self.invariants.answer_counts
        self._outcome_counts.append((counts[Answer.COMPLETED], counts[Answer.SHED]))
        del self._outcome_counts[:-OUTCOME_WINDOW_DECISIONS]
        self._coordinate()

    def _coordinate(self) -> None:
        for machine_id, record in list(self._state.machines.items()):
            in_work = record.phase == MaintenancePhase.IN_WORK
            if in_work and self.absent[int(machine_id)].phase == MaintenancePhase.WORK_DONE:
                self._apply([_operator_transition(machine_id, MaintenancePhase.WORK_DONE)])
        transitions = self._coordinator.propose(self._view())
        if transitions:
            documents = [coordinator_document(transition) for transition in transitions]
            self.events.schedule(CONSENSUS_DELAY_TICKS, lambda: self._committed(documents))

    def _view(self) -> FleetView:
        draining = {
            _machine_id(backend)
            for backend, absence in self.absent.items()
            if absence.phase == MaintenancePhase.DRAINING
        }

        def holders(machine_id: str, _index: int) -> str:
            return "held" if machine_id in draining else ""

        counts = self.invariants.answer_counts
        completed_before, shed_before = self._outcome_counts[0]
        return FleetView(
            now=self.events.now,
            wall_ms=0,
            jobs_version=1,
            jobs={JOB: self._job},
            state=self._state,
            machines=[self._machine(backend) for backend in range(len(self.backends))],
            blocking_holders=holders,
            admitted_count=counts[Answer.COMPLETED] - completed_before,
            shed_count=counts[Answer.SHED] - shed_before,
            executors={MEMBER_NAME: 1},
            incarnations={MEMBER_NAME: 1},
            warm_up_ticks=self.config.warm_up_time,
        )

    def _machine(self, backend: int) -> Machine:
        return Machine(
            machine_id=_machine_id(backend),
            zone=f"z{backend % ZONE_COUNT}",
            started_at=self.backends[backend].ready_since,
            available=self._is_available(backend),
        )

    def _committed(self, documents: Sequence[Document]) -> None:
        """Applies committed transitions, then proposes the next ones."""
        self._apply(documents)
        self._coordinate()

    def _apply(self, documents: Sequence[Document]) -> None:
        before = {machine_id: record.phase for machine_id, record in self._state.machines.items()}
        self._log_index += 1
        self._state.apply(self._log_index, {"steps": documents}, 1)
        for document in documents:
            machine_id = document["uid"]
            record = self._state.machines.get(machine_id)
            phase = record.phase if record else MaintenancePhase.IN_SERVICE
            if machine_id and phase != before.get(machine_id, MaintenancePhase.IN_SERVICE):
                self._phase_changed(machine_id, phase)

    def _phase_changed(self, machine_id: str, phase: MaintenancePhase) -> None:
        backend = int(machine_id)
        if phase == MaintenancePhase.DRAINING:
            self._start_drain(backend)
        elif phase == MaintenancePhase.DRAINED:
            # The operator begins the work without delay.
            self._apply([_operator_transition(machine_id, MaintenancePhase.IN_WORK)])
            self._start_work(backend)
        elif phase == MaintenancePhase.RETURNING:
            self._return_to_service(backend)
        elif phase == MaintenancePhase.IN_SERVICE:
            self.absent.pop(backend, None)
            if machine_id in self._state.completed.get(JOB, ()):
                self.completed_at[backend] = self.events.now


def _machine_id(backend: int) -> str:
    return f"{backend:04}"


def _operator_transition(machine_id: str, phase: MaintenancePhase) -> Document:
    """Returns a transition that the operator proposes, in its stored form."""
    return {"uid": machine_id, "work": JOB, "step": phase.value, "by": OPERATOR, "life": 0, "why": ""}


def run_study(strategy: Strategy, scenario: Scenario, config: RoutingConfig, seed: int) -> StudyResult:
    """Simulates one day of maintenance.

    Args:
        strategy: Selects the next machine.
        scenario: The load and the faults; `seed` replaces its seed.
        config: The routing configuration of each dispatcher.
        seed: The same seed gives the same day.
    """
    classes = {Strategy.COORDINATOR: CoordinatedFleet, Strategy.NO_MAINTENANCE: StudyFleet}
    fleet = classes.get(strategy, OperatedFleet)(replace(scenario, seed=seed), config, strategy)
    fleet.run()
    if len(fleet.completed_at) == scenario.backend_count:
        ticks = max(fleet.completed_at.values()) - START - FIRST_DECISION_TICKS
        duration_seconds = ticks / TICKS_PER_SECOND
    else:
        duration_seconds = float(scenario.seconds)
    return StudyResult(
        strategy=strategy,
        seed=seed,
        request_count=fleet.request_count,
        in_time_share=fleet.on_time_count / max(fleet.request_count, 1),
        completed_share=len(fleet.completed_at) / scenario.backend_count,
        duration_seconds=duration_seconds,
        violation_count=len(fleet.invariants.violations),
    )
