"""A simulated dispatcher that sends requests to machines and takes part in their maintenance."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from crankfold.consensus.messages import MaintenanceReport
from crankfold.consensus.reported_fleet import add_reports
from crankfold.consensus.voter import Voter
from crankfold.document_names import MAINTENANCE
from crankfold.maintenance.coordinator import Coordinator
from crankfold.maintenance.fleet_view import FleetView
from crankfold.maintenance.scheduler import Machine
from crankfold.maintenance.specification import JobSpecification, parse_jobs
from crankfold.maintenance.state import MaintenanceState
from crankfold.maintenance.transitions import MaintenancePhase, coordinator_document
from crankfold.simulation.consensus.cluster import Document, SimulatedCluster, SimulatedProcess
from crankfold.simulation.maintenance.machines import AnswerCount, SimulatedMachine, WorkRun
from crankfold.time_units import TICKS_PER_MILLISECOND

MAX_LIST_LAG_TICKS = 12_000  # from a change of a machine until every endpoint list has it
MAX_UNRESOLVED_REPORTED = 5  # requests per machine


class WaitingAttempt(NamedTuple):
    """A request in flight from a dispatcher to a machine."""

    ends_at: int  # ticks; when the answer arrives or the deadline expires
    machine_id: str
    request: str


@dataclass(frozen=True, slots=True)
class DispatcherEnvironment:
    """The machines, factories and callbacks that all dispatchers of a fleet share."""

    machines: Mapping[str, SimulatedMachine]
    make_coordinator: Callable[[str], Coordinator]
    warm_up_ticks: int
    start_command: Callable[["SimulatedDispatcher", WorkRun], None]


class SimulatedDispatcher(SimulatedProcess):
    """A dispatcher of a simulated cluster: its requests, its view of the machines, and its commands."""

    def __init__(
        self, cluster: SimulatedCluster, name: str, clock_rate: float, environment: DispatcherEnvironment
    ) -> None:
        super().__init__(cluster, name, clock_rate)
        self._environment = environment
        self._endpoint_list_lag = cluster.rng.randrange(MAX_LIST_LAG_TICKS)
        self.attempts: list[WaitingAttempt] = []
        self.unresolved_requests: dict[str, list[str]] = {}  # by machine that may still execute them
        self.answer_counts: dict[str, AnswerCount] = {}  # by returning machine
        self.coordinator = environment.make_coordinator(name)
        self._started_commands: set[tuple[str, int]] = set()  # by machine and drain number
        self._last_seen_state = (-1, -1)  # generation and log index

    def start(self) -> None:
        """Starts the process with only the state on its disk."""
        self.attempts = []
        self.unresolved_requests = {}
        self.answer_counts = {}
        self._started_commands = set()
        self.coordinator = self._environment.make_coordinator(self.name)
        super().start()

    def maintenance_state(self) -> MaintenanceState:
        """Returns the replicated state that this member has applied."""
        assert self.member is not None
        return self.member.documents.replicated.maintenance

    def jobs(self) -> dict[str, JobSpecification]:
        """Returns the newest jobs that this member knows."""
        assert self.member is not None
        document = self.member.documents.document(MAINTENANCE)
        return parse_jobs(document.versions[-1].text) if document.versions else {}

    def discovered_machines(self) -> list[Machine]:
        """Returns the machines in this dispatcher's endpoint list, which lags behind their true state."""
        known_at = self.cluster.events.now - self._endpoint_list_lag
        statuses = [(machine, machine.status_at(known_at)) for machine in self._environment.machines.values()]
        return [
            machine.to_machine(status.started_at, available=status.running)
            for machine, status in statuses
            if status.started_at
        ]

    def ready_machines(self) -> list[str]:
        """Returns the ids of the machines to which this dispatcher may send requests."""
        out = self.maintenance_state().out_of_rotation()
        return [
            machine.machine_id
            for machine in self.discovered_machines()
            if machine.available and machine.machine_id not in out
        ]

    def request_ended(self, request: str, machine: SimulatedMachine, *, timed_out: bool) -> None:
        """Records a request as unresolved after its deadline, or counts its answer."""
        machine_id = machine.machine_id
        if timed_out:
            self.unresolved_requests.setdefault(machine_id, []).append(request)
        elif machine_id in self.answer_counts:
            self.answer_counts[machine_id].add(bad=machine.unhealthy and machine.has_restarted())

    def build_maintenance_report(self) -> MaintenanceReport | None:
        """Returns the dispatcher's report on machines in maintenance; None without maintenance."""
        if not self.maintenance_state().machines and not self.jobs():
            return None
        out = self.maintenance_state().out_of_rotation()
        report = MaintenanceReport(open_requests=len(self.attempts))
        for attempt in self.attempts:
            if attempt.machine_id in out:
                report.in_flight[attempt.machine_id] = report.in_flight.get(attempt.machine_id, 0) + 1
        report.unresolved = {
            machine_id: self.unresolved_requests[machine_id][-MAX_UNRESOLVED_REPORTED:]
            for machine_id in out
            if machine_id in self.unresolved_requests
        }
        report.response_counts = {
            machine_id: (count.total, count.bad) for machine_id, count in self.answer_counts.items()
        }
        report.unavailable = [
            machine.machine_id
            for machine in self.discovered_machines()
            if not machine.available and machine.machine_id not in out
        ]
        return report

    def propose_transitions(self, now: int) -> list[Document]:
        """Returns the proposed transitions in their stored form; none unless this member is the leader.

        Args:
            now: Ticks of the process's own clock.
        """
        member = self.member
        assert isinstance(member, Voter)
        if not member.is_leader() or not member.has_lease(now):
            self.coordinator.observe(now, self.maintenance_state(), self.discovered_machines())
            return []
        transitions = self.coordinator.propose(self._fleet_view(member, now))
        return [coordinator_document(transition) for transition in transitions]

    def _fleet_view(self, member: Voter, now: int) -> FleetView:
        cluster_report = member.cluster_report(now)
        view = FleetView(
            now=now,
            wall_ms=self.cluster.events.now // TICKS_PER_MILLISECOND,
            jobs_version=member.documents.document(MAINTENANCE).latest_number(),
            jobs=self.jobs(),
            state=self.maintenance_state(),
            machines=self.discovered_machines(),
            blocking_holders=cluster_report.blocking_reason,
            warm_up_ticks=self._environment.warm_up_ticks,
        )
        return add_reports(view, member, cluster_report)

    def follow_maintenance(self) -> None:
        """Updates the answer counts of returning machines and starts the commands due at this dispatcher."""
        member = self.member
        assert member is not None
        now = self.cluster.events.now
        self.attempts = [attempt for attempt in self.attempts if attempt.ends_at > now]
        seen_state = self.generation, member.last_applied
        if seen_state == self._last_seen_state:
            return
        self._update_answer_counts()
        if not member.has_lease(self.local_time()):
            return
        self._last_seen_state = seen_state
        self._start_due_commands(member.incarnation)

    def _update_answer_counts(self) -> None:
        machines = self.maintenance_state().machines
        returning = {
            machine_id
            for machine_id, record in machines.items()
            if record.phase == MaintenancePhase.RETURNING
        }
        for machine_id in [counted for counted in self.answer_counts if counted not in returning]:
            del self.answer_counts[machine_id]
        for machine_id in returning:
            self.answer_counts.setdefault(machine_id, AnswerCount())

    def _start_due_commands(self, incarnation: int) -> None:
        for machine_id, record in self.maintenance_state().machines.items():
            command = machine_id, record.drain_number
            if (
                record.phase == MaintenancePhase.IN_WORK
                and record.executor == self.name
                and record.executor_incarnation == incarnation
                and command not in self._started_commands
            ):
                self._started_commands.add(command)
                self._environment.start_command(self, WorkRun(machine_id, record.job, record.drain_number))
