"""Decides the next transition of a machine in maintenance. Times are ticks."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Final

from msgspec import structs

from crankfold.maintenance.findings import Findings
from crankfold.maintenance.fleet_view import FleetView
from crankfold.maintenance.observations import Observations
from crankfold.maintenance.scheduler import Machine, MaintenanceJob, outside_time_window
from crankfold.maintenance.specification import JobSpecification, JobState, OverduePolicy, WorkMethod
from crankfold.maintenance.state import MachineInMaintenance, dispatcher_id, is_dispatcher_id
from crankfold.maintenance.transitions import MaintenancePhase, Transition
from crankfold.time_units import TICKS_PER_SECOND

# After the time limit of a command, its outcome may take this long to be committed.
COMMAND_OUTCOME_MARGIN_TICKS: Final = 5 * TICKS_PER_SECOND
MAX_WATCH_FACTOR: Final = 4  # with too few responses, the watch lasts up to this many times as long
MAX_REQUEST_IDS_IN_REASON: Final = 5

_REPLACEABLE: Final = (MaintenancePhase.DRAINED, MaintenancePhase.IN_WORK, MaintenancePhase.WORK_FAILED)


@dataclass(frozen=True, slots=True)
class Subject:
    """A machine in maintenance, with its record, job and listing."""

    machine_id: str
    record: MachineInMaintenance
    job: JobSpecification | None  # None for a removed job
    machine: Machine | None  # None if the endpoint list does not have it
    known_for: int  # ticks since this voter first observed its last transition


class MachineProgress:
    """Decides the next transition of each machine in maintenance, or records why it waits."""

    def __init__(
        self, member_name: str, view: FleetView, observations: Observations, findings: Findings
    ) -> None:
        """Starts one run.

        Args:
            member_name: The name of the proposing voter.
            view: The state of the fleet.
            observations: The observations of this voter; receives the readiness of machines.
            findings: Receives the reasons for waiting and the stuck jobs.
        """
        self._member_name = member_name
        self._view = view
        self._observations = observations
        self._findings = findings
        self._machines: Mapping[str, Machine] = view.machines_by_id()
        self._handlers: dict[MaintenancePhase, Callable[[Subject], Transition | None]] = {
            MaintenancePhase.DRAINING: self._finish_drain,
            MaintenancePhase.DRAINED: self._start_work,
            MaintenancePhase.IN_WORK: self._supervise_work,
            MaintenancePhase.WORK_DONE: self._finish_work,
            MaintenancePhase.WORK_FAILED: self._await_operator,
            MaintenancePhase.RETURNING: self._verify_return,
            MaintenancePhase.UNHEALTHY: self._drain_unhealthy,
        }

    def next_transition(self, machine_id: str, record: MachineInMaintenance) -> Transition | None:
        """Returns the next transition of a machine, None while it waits; records whether it is ready."""
        machine = self._machines.get(machine_id)
        ready = machine is not None and machine.available and machine_id not in self._view.unavailable
        self._observations.track_ready(self._view.now, machine_id, machine if ready else None)
        subject = Subject(
            machine_id=machine_id,
            record=record,
            job=self._view.jobs.get(record.job),
            machine=machine,
            known_for=self._view.now - self._observations.known_since(machine_id, record.last_index),
        )
        return (
            self._return_early(subject)
            or self._replace_if_unlisted(subject)
            or self._handlers[record.phase](subject)
        )

    def _propose(self, subject: Subject, phase: MaintenancePhase, reason: str = "") -> Transition:
        return Transition(
            machine_id=subject.machine_id,
            job=subject.record.job,
            phase=phase,
            by=self._member_name,
            reason=reason,
            last_index=subject.record.last_index,
        )

    def _record_wait(self, subject: Subject, text: str) -> None:
        self._findings.record_wait(subject.machine_id, subject.record.job, text)

    def _record_overdue(self, subject: Subject, text: str) -> None:
        """Records why a machine is overdue, which makes its job stuck unless its policy is to continue."""
        self._record_wait(subject, text)
        if subject.job and subject.job.overdue_policy != OverduePolicy.CONTINUE:
            self._findings.stuck_jobs.setdefault(subject.record.job, f"{subject.machine_id}: {text}")

    def _return_early(self, subject: Subject) -> Transition | None:
        """Returns a machine on which no work has begun, if its job stopped or shedding is excessive."""
        phase = subject.record.phase
        if phase not in (MaintenancePhase.DRAINING, MaintenancePhase.DRAINED):
            return None
        job = subject.job
        job_over = "its work is over" if job is None or job.state == JobState.STOPPED else ""
        reason = job_over or self._findings.excess_shedding
        # With the method ENDPOINT_LIST, another system does the work and does not report its start.
        work_not_begun = not subject.record.unhealthy and (
            job is None or job.method != WorkMethod.ENDPOINT_LIST
        )
        if reason and (phase == MaintenancePhase.DRAINING or work_not_begun):
            return self._propose(subject, MaintenancePhase.RETURNING, reason)
        return None

    def _replace_if_unlisted(self, subject: Subject) -> Transition | None:
        discovered = subject.machine is not None and subject.machine.discovered
        if discovered or subject.record.phase not in _REPLACEABLE:
            return None
        replacement = self._find_replacement(subject)
        if not replacement:
            return None
        return self._propose(subject, MaintenancePhase.REPLACED, f"{replacement} came in its place")

    def _find_replacement(self, subject: Subject) -> str:
        """Returns a machine first listed after the draining, which replaces no other; empty for none."""
        observations = self._observations
        out_since = observations.out_since(subject.machine_id, subject.record.out_index)
        if out_since == observations.first_observed_at:
            return ""  # this voter did not observe the list before the draining: an operator decides
        state = self._view.state
        replacements = {
            record.reason.partition(" ")[0]
            for record in state.transitions
            if record.phase == MaintenancePhase.REPLACED
        }
        candidates = (
            machine.machine_id
            for machine in self._view.machines
            if machine.available
            and observations.first_seen(machine.machine_id) > out_since
            and machine.machine_id not in replacements
            and machine.machine_id not in state.machines
        )
        return min(candidates, default="")

    def _finish_drain(self, subject: Subject) -> Transition | None:
        holders = self._view.blocking_holders(subject.machine_id, subject.record.out_index)
        if holders:
            self._record_wait(subject, holders)
            return None
        unresolved = self._view.unresolved_requests.get(subject.machine_id, [])
        request_ids = ", ".join(unresolved[:MAX_REQUEST_IDS_IN_REASON])
        return self._propose(
            subject, MaintenancePhase.DRAINED, f"may go on there: {request_ids}" if request_ids else ""
        )

    def _start_work(self, subject: Subject) -> Transition | None:
        record = subject.record
        job = subject.job
        if job is None:
            return None
        if record.unhealthy:
            text = f"unwell, free under {record.drain_number}: waits for an operator's call"
            self._record_wait(subject, text)
            return None
        if job.method == WorkMethod.COMMAND:
            return self._start_command(subject)
        by_endpoint_list = job.method == WorkMethod.ENDPOINT_LIST
        if by_endpoint_list and subject.machine and subject.machine.started_at > record.started_at:
            return self._propose(subject, MaintenancePhase.WORK_DONE, "a new start on the list")
        if subject.known_for > job.work_seconds * TICKS_PER_SECOND:
            self._record_overdue(subject, f"free for over {job.work_seconds:g} s")
        awaited = "a new start on the list" if by_endpoint_list else "an operator's call"
        self._record_wait(
            subject, f"free under {record.drain_number}, by {record.executor or 'hand'}: waits for {awaited}"
        )
        return None

    def _start_command(self, subject: Subject) -> Transition | None:
        executor = self._choose_executor(subject.machine_id)
        if not executor:
            self._record_wait(subject, "nobody there to run its command")
            return None
        return structs.replace(
            self._propose(subject, MaintenancePhase.IN_WORK),
            by=executor,
            incarnation=self._view.executors[executor],
        )

    def _choose_executor(self, machine_id: str) -> str:
        """Returns the proposer or another voter that is not in maintenance; empty for none."""
        present = [
            name
            for name in self._view.executors
            if dispatcher_id(name) not in (*self._view.state.machines, machine_id)
        ]
        return self._member_name if self._member_name in present else min(present, default="")

    def _supervise_work(self, subject: Subject) -> Transition | None:
        record = subject.record
        job = subject.job
        if job is None:
            return None
        work_ticks = job.work_seconds * TICKS_PER_SECOND
        if job.method != WorkMethod.COMMAND:
            if subject.known_for > work_ticks:
                self._record_overdue(subject, f"in work for over {job.work_seconds:g} s")
            self._record_wait(subject, f"in work under {record.drain_number}: waits for an operator's call")
            return None
        incarnation = self._view.incarnations.get(record.executor, record.executor_incarnation)
        executor_restarted = incarnation != record.executor_incarnation
        if executor_restarted:
            cause = f"{record.executor} died over its command"
        elif subject.known_for > work_ticks + COMMAND_OUTCOME_MARGIN_TICKS:
            cause = f"nothing heard of its command from {record.executor}"
        else:
            self._record_wait(subject, f"its command runs at {record.executor}")
            return None
        if job.command_repeatable and executor_restarted:
            return self._propose(subject, MaintenancePhase.DRAINED, f"{cause}; it may be run again")
        return self._propose(
            subject, MaintenancePhase.WORK_FAILED, f"{cause}; nobody knows whether it has run"
        )

    def _finish_work(self, subject: Subject) -> Transition | None:
        return self._share_absence(subject) or self._propose(
            subject, MaintenancePhase.RETURNING, subject.record.reason
        )

    def _share_absence(self, subject: Subject) -> Transition | None:
        """Assigns an absent machine to a further job that covers it, if both jobs allow that."""
        own = subject.job
        if not own or not own.joint_absence_allowed or not subject.machine:
            return None
        for name, other in sorted(self._view.jobs.items()):
            if (
                name not in (subject.record.job, *subject.record.earlier_jobs)
                and other.joint_absence_allowed
                and other.state == JobState.GO
                and other.target == own.target
                and name not in own.exclusive_with
                and self._may_join(other, other.to_job(name), subject.machine)
            ):
                return structs.replace(
                    self._propose(subject, MaintenancePhase.DRAINED, f"out already for {subject.record.job}"),
                    job=name,
                )
        return None

    def _may_join(self, specification: JobSpecification, job: MaintenanceJob, machine: Machine) -> bool:
        """Whether a job may work on a machine during its absence for another job."""
        view = self._view
        return (
            job.covers(machine)
            and machine.machine_id not in view.state.completed.get(job.name, ())
            and not outside_time_window(view.ignoring_start_time(job), view.wall_time_ms())
            and not specification.after
            and not job.exclusive_with & set(view.jobs)
        )

    def _await_operator(self, subject: Subject) -> Transition | None:
        self._record_overdue(subject, f"failed: {subject.record.reason}")
        return None

    def _verify_return(self, subject: Subject) -> Transition | None:
        if not subject.record.worked:
            return self._propose(subject, MaintenancePhase.CANCELLED, subject.record.reason)
        job = subject.job or JobSpecification()
        machine = subject.machine
        if machine is None or not machine.available or subject.machine_id in self._view.unavailable:
            if subject.known_for > job.work_seconds * TICKS_PER_SECOND:
                self._record_overdue(replace(subject, job=job), f"not back after {job.work_seconds:g} s")
            self._record_wait(subject, "not listed as ready yet")
            return None
        if is_dispatcher_id(subject.machine_id):
            return self._verify_dispatcher_return(subject, job, machine)
        return self._verify_backend_return(subject, job)

    def _verify_backend_return(self, subject: Subject, job: JobSpecification) -> Transition | None:
        watch_ticks = max(int(job.watch_seconds * TICKS_PER_SECOND), self._view.warm_up_ticks)
        responses, bad_count = self._view.response_counts.get(subject.machine_id, (0, 0))
        good_count = responses - bad_count
        if responses >= max(job.min_responses, 1) and good_count < job.min_good_share * responses:
            return self._propose(
                subject, MaintenancePhase.UNHEALTHY, f"{bad_count} of {responses} answers were bad"
            )
        # A restart during the watch begins a new slow start.
        ready_for = self._view.now - self._observations.ready_since(subject.machine_id)
        watched_for = min(subject.known_for, ready_for)
        if watched_for < watch_ticks:
            self._record_wait(subject, f"watched and warming for {watch_ticks / TICKS_PER_SECOND:g} s")
            return None
        if responses < job.min_responses and watched_for < MAX_WATCH_FACTOR * watch_ticks:
            self._record_wait(subject, f"{responses} of {job.min_responses} answers seen")
            return None
        evidence = (
            f"{good_count} of {responses} answers were good" if responses else "no answer of it was seen"
        )
        return self._propose(subject, MaintenancePhase.HEALTHY, evidence)

    def _verify_dispatcher_return(
        self, subject: Subject, job: JobSpecification, machine: Machine
    ) -> Transition | None:
        if job.method != WorkMethod.OPERATOR and machine.started_at == subject.record.started_at:
            self._record_wait(subject, "still the process that it was")
            return None
        if subject.known_for < job.watch_seconds * TICKS_PER_SECOND:
            self._record_wait(subject, f"watched for {job.watch_seconds:g} s")
            return None
        return self._propose(subject, MaintenancePhase.HEALTHY, "back and caught up")

    def _drain_unhealthy(self, subject: Subject) -> Transition | None:
        holders = self._view.blocking_holders(subject.machine_id, subject.record.out_index)
        if holders:
            self._record_wait(subject, holders)
            return None
        return self._propose(subject, MaintenancePhase.DRAINED, f"unwell: {subject.record.reason}")
