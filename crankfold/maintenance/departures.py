"""Decides which machines are drained next, within jobs' bounds, the voters' quorum, capacity and areas."""

from collections.abc import Collection, Sequence
from dataclasses import replace

from crankfold.maintenance.findings import Findings
from crankfold.maintenance.fleet_view import Area, FleetView
from crankfold.maintenance.scheduler import VOTER, Machine, MaintenanceJob, SchedulingFacts, schedule
from crankfold.maintenance.specification import JobSpecification, JobState, Target
from crankfold.maintenance.state import dispatcher_id, is_dispatcher_id
from crankfold.maintenance.transitions import MaintenancePhase, Placement, Transition


def propose_departures(
    view: FleetView, member_name: str, findings: Findings, *, in_cooldown: bool
) -> list[Transition]:
    """Returns the transitions that drain machines, and records why the other machines wait.

    Args:
        view: The state of the fleet.
        member_name: The name of the proposing voter.
        findings: Holds the stuck jobs; receives the reasons for waiting.
        in_cooldown: Whether too many requests were shed recently.
    """
    draining_jobs = _jobs_that_may_drain(view, findings, in_cooldown)
    transitions: list[Transition] = []
    for target in Target:
        of_target = {name: job for name, job in view.jobs.items() if job.target == target}
        jobs = [
            view.ignoring_start_time(job.to_job(name))
            for name, job in draining_jobs.items()
            if name in of_target
        ]
        inactive = [job.to_job(name) for name, job in of_target.items() if name not in draining_jobs]
        if jobs:
            transitions += _Departures(view, member_name, target).propose(jobs, inactive, findings)
    return transitions


def _jobs_that_may_drain(
    view: FleetView, findings: Findings, in_cooldown: bool
) -> dict[str, JobSpecification]:
    """Returns the jobs that may drain machines now, and records why other active jobs wait."""
    draining_jobs: dict[str, JobSpecification] = {}
    cooldown = "calm for a while first, after units were shed" if in_cooldown else ""
    for name, job in view.jobs.items():
        if job.state != JobState.GO:
            continue
        reason = findings.stuck_jobs.get(name) or view.stale_reason or findings.excess_shedding or cooldown
        if reason:
            findings.record_wait("", name, reason)
        else:
            draining_jobs[name] = job
    return draining_jobs


class _Departures:
    """Decides the departures of backends, or of dispatchers."""

    def __init__(self, view: FleetView, member_name: str, target: Target) -> None:
        self._view = view
        self._member_name = member_name
        self._target = target
        present = view.dispatchers if target == Target.DISPATCHERS else view.machines
        absent = view.state.machines
        present_ids = {machine.machine_id for machine in present}
        # Machines in maintenance count towards the bounds even if the endpoint list does not have them.
        self._machines = [
            *present,
            *(
                _unlisted_machine(machine_id, absent[machine_id].placement, absent[machine_id].started_at)
                for machine_id in sorted(absent)
                if machine_id not in present_ids and self._is_target(machine_id)
            ),
        ]

    def _is_target(self, machine_id: str) -> bool:
        return is_dispatcher_id(machine_id) == (self._target == Target.DISPATCHERS)

    def propose(
        self, jobs: list[MaintenanceJob], inactive: list[MaintenanceJob], findings: Findings
    ) -> list[Transition]:
        absent = self._view.state.machines
        if self._target == Target.DISPATCHERS:
            jobs = [replace(job, last_machine_id=dispatcher_id(self._member_name)) for job in jobs]
        result = schedule(jobs, self._scheduling_facts(inactive))
        for (machine_id, job_name), text in result.wait_reasons.items():
            if machine_id not in absent:
                findings.record_wait(machine_id, job_name, text)
        by_id = {machine.machine_id: machine for machine in self._machines}
        return [self._departure(by_id[machine_id], job_name) for machine_id, job_name in result.departures]

    def _scheduling_facts(self, inactive: list[MaintenanceJob]) -> SchedulingFacts:
        view = self._view
        absent = view.state.machines
        machines = [
            replace(
                machine,
                available=machine.available
                and machine.machine_id not in view.unavailable
                and machine.machine_id not in absent,
            )
            for machine in self._machines
        ]
        out = [(machine_id, record.job) for machine_id, record in absent.items()]
        return SchedulingFacts(
            machines=machines,
            out=[pair for pair in out if self._is_target(pair[0])],
            completed=view.state.completed_pairs(),
            now_ms=view.wall_time_ms(),
            extra_check=_RemainingMachinesCheck(view, machines, self._target),
            halted_jobs=inactive,
        )

    def _departure(self, machine: Machine, job: str) -> Transition:
        return Transition(
            machine_id=machine.machine_id,
            job=job,
            phase=MaintenancePhase.DRAINING,
            by=self._member_name,
            change_count=self._view.state.change_count,
            jobs_version=self._view.jobs_version,
            started_at=machine.started_at,
            placement=Placement(machine.zone, machine.instance_type, machine.cell, machine.size),
        )


def _unlisted_machine(machine_id: str, placement: Placement, started_at: int) -> Machine:
    return Machine(
        machine_id=machine_id,
        zone=placement.zone,
        instance_type=placement.instance_type,
        cell=placement.cell,
        size=placement.size,
        started_at=started_at,
        available=False,
        discovered=False,
    )


def _area_of(machine: Machine, area: Area) -> str:
    return machine.zone if area == Area.ZONE else machine.cell


class _RemainingMachinesCheck:
    """Checks that enough machines remain: a quorum of voters, capacity for the load, one in each area."""

    def __init__(self, view: FleetView, machines: Sequence[Machine], target: Target) -> None:
        self._view = view
        self._machines = machines
        self._of_dispatchers = target == Target.DISPATCHERS
        self._requests_per_size = max((job.requests_per_size for job in view.jobs.values()), default=0.0)
        self._areas: Collection[Area] = (Area.ZONE,) if self._of_dispatchers else view.deduplication_scopes

    def __call__(self, machine: Machine, out: Collection[str]) -> str:
        """Returns the reason why the machine may not be drained; empty if it may.

        Args:
            machine: The machine to drain.
            out: The ids of absent machines.
        """
        remaining = [
            other
            for other in self._machines
            if other.available and other.machine_id not in out and other.machine_id != machine.machine_id
        ]
        if self._of_dispatchers:
            reason = self._quorum_reason(machine, remaining)
        else:
            reason = self._capacity_reason(remaining)
        return reason or self._area_reason(machine, remaining)

    def _quorum_reason(self, machine: Machine, remaining: Sequence[Machine]) -> str:
        voter_count = self._view.voter_count
        remaining_voters = sum(other.instance_type == VOTER for other in remaining)
        if machine.instance_type == VOTER and 2 * remaining_voters <= voter_count:
            return f"{remaining_voters} of {voter_count} voters would stay"
        return ""

    def _capacity_reason(self, remaining: Sequence[Machine]) -> str:
        if not self._requests_per_size:
            return ""
        capacity = int(sum(other.size for other in remaining) * self._requests_per_size)
        in_flight = self._view.requests_in_flight
        if capacity < in_flight:
            return f"{in_flight} units in hand, what would stay carries {capacity}"
        return ""

    def _area_reason(self, machine: Machine, remaining: Sequence[Machine]) -> str:
        for area in self._areas:
            own_area = _area_of(machine, area)
            has_others = any(
                _area_of(other, area) == own_area and other.machine_id != machine.machine_id
                for other in self._machines
            )
            if has_others and not any(_area_of(other, area) == own_area for other in remaining):
                return f"the last that is up in its {area}"
        return ""
