"""A simulated dispatcher with requests at machines, that takes part in their maintenance."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from crankfold.consensus.messages import MaintenanceReport
from crankfold.consensus.voter import Voter
from crankfold.maintenance.coordinator import Coordinator
from crankfold.maintenance.fleet_view import FleetView
from crankfold.maintenance.scheduler import Machine
from crankfold.maintenance.specification import JobSpecification, parse_jobs
from crankfold.maintenance.state import MaintenanceState
from crankfold.maintenance.transitions import MaintenancePhase, coordinator_document
from crankfold.simulation.consensus.cluster import SimulatedCluster, SimulatedProcess
from crankfold.simulation.maintenance.machines import INSTANCE_TYPE, AnswerCount, SimulatedMachine, WorkRun

MAX_LIST_LAG_TICKS = 12_000  # endpoint lists tell of losses so late at the most
TICKS_PER_MILLISECOND = 10
MAX_UNRESOLVED_REPORTED = 5  # a machine


class WaitingAttempt(NamedTuple):
    """A request at a machine that the dispatcher waits for."""

    ends_at: int  # ticks; the answer, or the deadline
    machine_id: str
    request: str


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What a dispatcher finds around it."""

    machines: Mapping[str, SimulatedMachine]
    make_coordinator: Callable[[str], Coordinator]
    warm_up_ticks: int
    start_command: Callable[["SimulatedDispatcher", WorkRun], None]


class SimulatedDispatcher(SimulatedProcess):
    """A dispatcher of a simulated cluster: its requests, its view of the machines, and its commands."""

    def __init__(
        self, cluster: SimulatedCluster, name: str, clock_rate: float, surroundings: Surroundings
    ) -> None:
        super().__init__(cluster, name, clock_rate)
        self._surroundings = surroundings
        self._list_lag = cluster.rng.randrange(MAX_LIST_LAG_TICKS)
        self.attempts: list[WaitingAttempt] = []
        self.unresolved_requests: dict[str, list[str]] = {}  # by machine; may go on there
        self.answer_counts: dict[str, AnswerCount] = {}  # of machines that are back
        self.coordinator = surroundings.make_coordinator(name)
        self._started_commands: set[tuple[str, int]] = set()  # by machine and drain number
        self._last_seen_state = (-1, -1)  # generation and log index

    def start(self) -> None:
        """Begins anew, with nothing remembered but what is on its disk."""
        self.attempts = []
        self.unresolved_requests = {}
        self.answer_counts = {}
        self._started_commands = set()
        self.coordinator = self._surroundings.make_coordinator(self.name)
        super().start()

    def maintenance_state(self) -> MaintenanceState:
        """The replicated state, as far as it is known here."""
        assert self.member is not None
        return self.member.documents.replicated.maintenance

    def jobs(self) -> dict[str, JobSpecification]:
        """The newest version of the jobs, as far as it is known here."""
        assert self.member is not None
        document = self.member.documents.document("works")
        return parse_jobs(document.versions[-1].text) if document.versions else {}

    def discovered_machines(self) -> list[Machine]:
        """The machines by this dispatcher's endpoint list, which lags behind."""
        at = self.cluster.events.now - self._list_lag
        statuses = [(machine, machine.status_at(at)) for machine in self._surroundings.machines.values()]
        return [
            Machine(
                machine_id=machine.machine_id,
                zone=machine.zone,
                instance_type=INSTANCE_TYPE,
                size=machine.size,
                started_at=status.started_at,
                available=status.running,
            )
            for machine, status in statuses
            if status.started_at
        ]

    def maintenance_report(self) -> MaintenanceReport | None:
        """What the dispatcher tells of machines that are out; None if there is no maintenance."""
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

    def propose_transitions(self, now: int) -> list[dict[str, Any]]:
        """The stored form of the transitions that it proposes, if it leads; `now` is its own clock."""
        member = self.member
        assert isinstance(member, Voter)
        if not member.is_leader() or not member.has_lease(now):
            self.coordinator.observe(now, self.maintenance_state(), self.discovered_machines())
            return []
        transitions = self.coordinator.propose(self._fleet_view(member, now))
        return [coordinator_document(transition) for transition in transitions]

    def _fleet_view(self, member: Voter, now: int) -> FleetView:
        cluster_report = member.cluster_report(now)
        report = cluster_report.combined
        return FleetView(
            now=now,
            wall_ms=self.cluster.events.now // TICKS_PER_MILLISECOND,
            jobs_version=member.documents.document("works").latest_number(),
            jobs=self.jobs(),
            state=self.maintenance_state(),
            machines=self.discovered_machines(),
            voter_count=len(member.raft.voters),
            blocking_holders=cluster_report.blocking_reason,
            unresolved_requests=report.unresolved,
            response_counts=report.response_counts,
            unavailable=report.unavailable,
            requests_in_flight=report.open_requests,
            admitted_count=report.recent_accepted,
            shed_count=report.recent_shed,
            executors=member.leased_incarnations(now),
            incarnations=member.voter_incarnations(),
            warm_up_ticks=self._surroundings.warm_up_ticks,
        )

    def follow_maintenance(self) -> None:
        """Counts answers of machines that are back, and starts the commands that are due here."""
        member = self.member
        assert member is not None
        now = self.cluster.events.now
        self.attempts = [attempt for attempt in self.attempts if attempt.ends_at > now]
        seen_state = self.generation, member.last_applied
        if seen_state == self._last_seen_state:
            return
        machines = self.maintenance_state().machines
        returning = {
            machine_id
            for machine_id, record in machines.items()
            if record.phase == MaintenancePhase.RETURNING
        }
        for machine_id in [known for known in self.answer_counts if known not in returning]:
            del self.answer_counts[machine_id]
        for machine_id in returning:
            self.answer_counts.setdefault(machine_id, AnswerCount())
        if not member.has_lease(self.local_time()):
            return
        self._last_seen_state = seen_state
        self._start_due_commands(member.incarnation)

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
                self._surroundings.start_command(self, WorkRun(machine_id, record.job, record.drain_number))
