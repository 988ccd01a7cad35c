"""Checks the invariants of maintenance in a simulated fleet.

Compares the committed transitions with the requests at the machines and with the submitted jobs. It reads
only the transitions of the replicated state.
"""

from collections.abc import Callable, Mapping
from typing import Final

from crankfold.maintenance.scheduler import SHARE_TOLERANCE, Machine
from crankfold.maintenance.specification import JobSpecification
from crankfold.maintenance.state import TransitionRecord
from crankfold.maintenance.transitions import MaintenancePhase
from crankfold.simulation.event_queue import EventQueue
from crankfold.simulation.maintenance.dispatcher import MAX_LIST_LAG_TICKS, SimulatedDispatcher
from crankfold.simulation.maintenance.machines import SimulatedMachine, WorkRun
from crankfold.time_units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND

WARM_UP_TICKS: Final = 30_000  # duration of a machine's slow start
DECISION_TICKS: Final = 2000  # until a proposal takes a received endpoint list into account

_ENDS: Final = (MaintenancePhase.HEALTHY, MaintenancePhase.CANCELLED, MaintenancePhase.REPLACED)
_REOPENS: Final = (  # phases in which the machine may receive requests, or is drained again
    MaintenancePhase.RETURNING,
    MaintenancePhase.CANCELLED,
    MaintenancePhase.REPLACED,
    MaintenancePhase.UNHEALTHY,
)


class MaintenanceChecker:
    """Follows the committed transitions and reports violations."""

    def __init__(
        self,
        events: EventQueue,
        machines: Mapping[str, SimulatedMachine],
        dispatchers: Mapping[str, SimulatedDispatcher],
        jobs: Mapping[str, JobSpecification],
        report: Callable[[str], None],
    ) -> None:
        """Starts with all machines in service.

        Args:
            events: The simulated time.
            machines: By id.
            dispatchers: By name.
            jobs: The submitted jobs, by name.
            report: Called with the description of each violation.
        """
        self._events = events
        self._machines = machines
        self._dispatchers = dispatchers
        self._jobs = jobs
        self._report = report
        self._job_by_machine: dict[str, str] = {}  # job, by machine in maintenance
        self._drained_since: dict[str, int] = {}  # ticks, by machine; it receives no requests from then on
        self.drain_numbers: dict[str, int] = {}  # log index of the latest drained transition, by machine
        self._work_runs: dict[tuple[str, str], list[int]] = {}  # drain numbers, by machine and job
        self._running_commands: dict[str, int] = {}  # drain number, by machine

    def transition_committed(self, record: TransitionRecord) -> None:
        """Checks a transition; called when the first dispatcher has applied it."""
        machine_id = record.machine_id
        if record.phase == MaintenancePhase.DRAINING:
            self._check_limits(machine_id, record.job)
            self._job_by_machine[machine_id] = record.job
        elif record.phase == MaintenancePhase.DRAINED:
            self._machine_drained(record)
        elif record.phase in _REOPENS:
            self._drained_since.pop(machine_id, None)
        elif record.phase == MaintenancePhase.HEALTHY:
            self._check_warm(machine_id)
        if record.phase in _ENDS:
            self._job_by_machine.pop(machine_id, None)

    def request_sent(self, request: str, machine_id: str) -> None:
        """Checks that a machine that receives a request is not drained."""
        if machine_id in self._drained_since:
            seconds = self._drained_since[machine_id] / TICKS_PER_SECOND
            self._report(f"{request} was sent to {machine_id}, which is drained since {seconds:.3f} s")

    def work_begun(self, run: WorkRun) -> list[int]:
        """Records that work on a machine starts; returns the drain numbers of all work of the job on it."""
        numbers = self._work_runs.setdefault((run.machine_id, run.job), [])
        numbers.append(run.drain_number)
        return numbers

    def command_started(self, run: WorkRun) -> None:
        """Checks a command that a dispatcher starts."""
        numbers = self.work_begun(run)
        if len(numbers) > 1 and not self._jobs[run.job].command_repeatable:
            self._report(
                f"the command of {run.job} ran again on {run.machine_id}, with drain numbers {numbers}"
            )
        if run.machine_id in self._running_commands:
            self._report(f"two commands run on {run.machine_id}")
        if run.machine_id not in self._drained_since:
            self._report(f"a command runs on {run.machine_id}, which is not drained")
        self._running_commands[run.machine_id] = run.drain_number

    def command_ended(self, run: WorkRun) -> None:
        """Records the end of a command."""
        if self._running_commands.get(run.machine_id) == run.drain_number:
            del self._running_commands[run.machine_id]

    def _machine_drained(self, record: TransitionRecord) -> None:
        machine_id = record.machine_id
        if machine_id not in self._drained_since:
            self._check_drained(machine_id)
        if record.index <= self.drain_numbers.get(machine_id, 0):
            self._report(
                f"{machine_id} is drained with number {record.index} after {self.drain_numbers[machine_id]}"
            )
        self.drain_numbers[machine_id] = record.index
        self._job_by_machine[machine_id] = record.job
        self._drained_since[machine_id] = self._events.now

    def _check_drained(self, machine_id: str) -> None:
        now = self._events.now
        for dispatcher in self._dispatchers.values():
            in_flight = [
                attempt.request
                for attempt in dispatcher.attempts
                if attempt.machine_id == machine_id and attempt.ends_at > now and dispatcher.running
            ]
            if in_flight:
                self._report(
                    f"{machine_id} is reported drained while {dispatcher.name} waits for {in_flight}"
                )
        machine = self._machines[machine_id]
        for request in machine.requests:
            if request.ends_at > now and request.deadline > now and machine.running:
                self._report(
                    f"{machine_id} is reported drained while {request.name} runs there before its deadline"
                )

    def _check_warm(self, machine_id: str) -> None:
        now = self._events.now
        machine = self._machines[machine_id]
        start = machine.started_at
        discovered_start = machine.status_at(now - MAX_LIST_LAG_TICKS).started_at
        if machine.has_restarted() and now < start + WARM_UP_TICKS and discovered_start == start:
            self._report(
                f"{machine_id} is reported healthy "
                f"{(now - start) / TICKS_PER_MILLISECOND:.0f} ms after its start"
            )

    def _others_out(self, machine_id: str) -> set[str]:
        """Returns the other machines out of service, except losses that dispatchers can't know yet."""
        known_by = self._events.now - MAX_LIST_LAG_TICKS - DECISION_TICKS
        lost = {
            machine.machine_id
            for machine in self._machines.values()
            if not machine.running and not machine.status_at(known_by).running
        }
        return (set(self._job_by_machine) | lost) - {machine_id}

    def _check_limits(self, machine_id: str, job: str) -> None:
        """Checks the departure of a machine against the limits of all jobs that cover it."""
        out = self._others_out(machine_id)
        machines = [machine.to_machine(machine.started_at) for machine in self._machines.values()]
        for name, specification in self._jobs.items():
            covered = [machine for machine in machines if specification.to_job(name).covers(machine)]
            covers_machine = any(machine.machine_id == machine_id for machine in covered)
            if name == job or (name in self._job_by_machine.values() and covers_machine):
                self._check_counts(machine_id, job, name, covered, out=out)
                self._check_capacity(machine_id, job, name, machines, out=out)

    def _check_counts(
        self, machine_id: str, job: str, limiting_job: str, covered: list[Machine], *, out: set[str]
    ) -> None:
        limits = self._jobs[limiting_job]
        covered_out = [machine for machine in covered if machine.machine_id in out]
        zone = self._machines[machine_id].zone
        departure = f"{machine_id} goes out for {job} while {sorted(out)} are out"
        if len(covered_out) >= limits.max_out:
            self._report(f"{departure}; {limiting_job} allows {limits.max_out} at once")
        out_in_zone = sum(machine.zone == zone for machine in covered_out)
        if limits.max_out_per_zone and out_in_zone >= limits.max_out_per_zone:
            self._report(f"{departure}; {limiting_job} allows {limits.max_out_per_zone} per zone")

    def _check_capacity(
        self, machine_id: str, job: str, limiting_job: str, machines: list[Machine], *, out: set[str]
    ) -> None:
        min_share = self._jobs[limiting_job].min_remaining_share
        total = sum(machine.size for machine in machines)
        remaining = sum(
            machine.size
            for machine in machines
            if machine.machine_id not in out and machine.machine_id != machine_id
        )
        if remaining < min_share * total - SHARE_TOLERANCE:
            self._report(f"{machine_id} goes out for {job}; less than {min_share} remains for {limiting_job}")
