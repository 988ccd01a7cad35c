"""Decides which machines may be drained next, and why the others wait, from its arguments alone."""

from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field, replace
from typing import Final, NamedTuple

SHARE_TOLERANCE: Final = 1e-9  # allows for rounding in sums of sizes
# The instance types of dispatchers.
VOTER: Final = "voter"
FOLLOWER: Final = "follower"


@dataclass(frozen=True, slots=True)
class Machine:
    """A backend on the endpoint list, or a dispatcher of the cluster."""

    machine_id: str
    zone: str = ""
    instance_type: str = ""  # for a dispatcher `VOTER` or `FOLLOWER`
    cell: str = ""
    size: float = 1.0  # as listed
    started_at: int = 0  # ticks; for a dispatcher its incarnation
    available: bool = True  # gets requests: ready, not absent and past its slow start
    discovered: bool = True  # on the present endpoint list


@dataclass(frozen=True, slots=True)
class MaintenanceJob:
    """A job with its machines and bounds; 0 for no bound."""

    name: str
    machine_ids: frozenset[str] = frozenset()  # empty for any, as for the next three
    zones: frozenset[str] = frozenset()
    instance_types: frozenset[str] = frozenset()
    cells: frozenset[str] = frozenset()
    started_before: int = 0  # ticks
    max_out: int = 1
    max_out_per_zone: int = 0
    max_out_per_instance_type: int = 0
    max_out_per_cell: int = 0
    min_remaining_share: float = 0.0  # share of the listed sizes that has to remain available
    min_remaining_zone_share: float = 0.0  # the same in each zone
    not_before_ms: int = 0  # since the epoch
    not_after_ms: int = 0
    exclusive_with: frozenset[str] = frozenset()  # jobs that may not have machines out at the same time
    after: frozenset[str] = frozenset()  # jobs that have to be completed first
    last_machine_id: str = ""  # drained after all others

    def covers(self, machine: Machine) -> bool:
        """Whether the job includes the machine."""
        return (
            (not self.machine_ids or machine.machine_id in self.machine_ids)
            and (not self.zones or machine.zone in self.zones)
            and (not self.instance_types or machine.instance_type in self.instance_types)
            and (not self.cells or machine.cell in self.cells)
            and (not self.started_before or machine.started_at < self.started_before)
        )


class MachineJob(NamedTuple):
    """A machine and the name of a job that covers it."""

    machine_id: str
    job: str


@dataclass(slots=True)
class Schedule:
    """The machines to drain now, and why the others wait."""

    departures: list[MachineJob] = field(default_factory=list)  # in the order of selection
    wait_reasons: dict[MachineJob, str] = field(default_factory=dict)  # by machine and job that waits


def no_extra_check(_machine: Machine, _out: Collection[str]) -> str:
    """Returns no reason: every machine may be drained."""
    return ""


@dataclass(frozen=True, slots=True)
class SchedulingFacts:
    """The input of scheduling."""

    machines: Sequence[Machine]
    out: Iterable[tuple[str, str]]  # absent machines, each with its job
    completed: Collection[tuple[str, str]]  # completed machines, each with the job
    now_ms: int  # since the epoch
    # Given a machine and the ids of absent ones: why it may not be drained; empty if it may.
    extra_check: Callable[[Machine, Collection[str]], str] = no_extra_check
    # Jobs that drain no more machines; their bounds still apply while machines are absent for them.
    halted_jobs: Sequence[MaintenanceJob] = ()


def infeasibility_reason(job: MaintenanceJob, machines: Sequence[Machine]) -> str:
    """Returns why the job could never drain one of its machines; empty if it could drain each."""
    covered = [machine for machine in machines if job.covers(machine)]
    if not covered:
        return "no machine is meant"
    if job.not_after_ms and job.not_after_ms <= job.not_before_ms:
        return "not-after comes before not-before"
    all_available = [replace(machine, available=True, discovered=True) for machine in machines]
    occupancy = _Occupancy([job], all_available, {})
    for machine in covered:
        if reason := occupancy.exceeded_capacity(job, machine):
            return f"{machine.machine_id}: {reason}, even with all others up"
    return ""


def outside_time_window(job: MaintenanceJob, now_ms: int) -> str:
    """Returns why the job may not drain machines at `now_ms`; empty if it may."""
    if now_ms < job.not_before_ms:
        return "not before its time"
    return "after its time" if job.not_after_ms and now_ms >= job.not_after_ms else ""


def schedule(jobs: Sequence[MaintenanceJob], facts: SchedulingFacts) -> Schedule:
    """Decides which machines to drain now.

    The job with the smallest completed share of its machines is served first, so that a small job does not
    wait for a large one. A machine of two jobs is drained for the one served first; the other waits.
    """
    return _SchedulingRun(jobs, facts).run()


class _Group(NamedTuple):
    """Machines with a common attribute; `kind` appears in the reasons that operators read."""

    kind: str
    name: str


_ALL_MACHINES: Final = _Group("", "")
_FLEET_AREA: Final = ""


def _zone_area(zone: str) -> str:
    """Returns the area of a zone, a key of the sizes by area."""
    return f"zone {zone}"


class _Occupancy:
    """Available sizes and absent machines by area and group, updated as machines are drained."""

    def __init__(
        self, jobs: Sequence[MaintenanceJob], machines: Sequence[Machine], out_for: dict[str, str]
    ) -> None:
        self.out_for = out_for  # the job, by absent machine
        self.total_size: dict[str, float] = defaultdict(float)  # by area
        self.available_size: dict[str, float] = defaultdict(float)
        self.covered = {job.name: [machine for machine in machines if job.covers(machine)] for job in jobs}
        # By job: its unavailable machines, in total and by zone, instance type and cell.
        self.out_counts: dict[str, Counter[_Group]] = {job.name: Counter() for job in jobs}
        self.jobs = jobs
        for machine in machines:
            available = machine.available and machine.machine_id not in out_for
            for area in self._areas(machine):
                self.total_size[area] += machine.size
                if available:
                    self.available_size[area] += machine.size
            if not available:
                self._count_out(machine)

    @staticmethod
    def _areas(machine: Machine) -> tuple[str, str]:
        """Returns the areas of a machine: the fleet and its zone."""
        return _FLEET_AREA, _zone_area(machine.zone)

    def _count_out(self, machine: Machine) -> None:
        groups = (
            _ALL_MACHINES,
            _Group("zone", machine.zone),
            _Group("kind", machine.instance_type),
            _Group("cell", machine.cell),
        )
        for job in self.jobs:
            if job.covers(machine):
                self.out_counts[job.name].update(groups)

    def take_out(self, machine: Machine, job: str) -> None:
        """Counts a machine as absent."""
        self.out_for[machine.machine_id] = job
        if machine.available:
            for area in self._areas(machine):
                self.available_size[area] -= machine.size
            self._count_out(machine)

    def available_share(self, zone: str) -> float:
        """Returns the share of the listed sizes of a zone that is available."""
        area = _zone_area(zone)
        return self.available_size[area] / (self.total_size[area] or 1.0)

    def exceeded_bound(self, job: MaintenanceJob, machine: Machine) -> str:
        """Returns the bound of the job that draining the machine would exceed; empty for none."""
        # Machines that failed or are absent for other jobs count too, but not the machine itself.
        counts = self.out_counts[job.name]
        already_out = 0 if machine.available else 1
        out = counts[_ALL_MACHINES] - already_out
        if out >= job.max_out:
            return f"{out} of {job.max_out} at once"
        for group, max_out in (
            (_Group("zone", machine.zone), job.max_out_per_zone),
            (_Group("kind", machine.instance_type), job.max_out_per_instance_type),
            (_Group("cell", machine.cell), job.max_out_per_cell),
        ):
            out = counts[group] - already_out
            if max_out and out >= max_out:
                return f"{out} of {max_out} in its {group.kind}"
        return self.exceeded_capacity(job, machine)

    def exceeded_capacity(self, job: MaintenanceJob, machine: Machine) -> str:
        """Returns the minimum available share that draining the machine would violate; empty for none."""
        reduces_capacity = machine.available and machine.machine_id not in self.out_for
        for label, area, min_share in (
            ("all", _FLEET_AREA, job.min_remaining_share),
            (machine.zone, _zone_area(machine.zone), job.min_remaining_zone_share),
        ):
            remaining = self.available_size[area] - (machine.size if reduces_capacity else 0)
            share = remaining / (self.total_size[area] or 1.0)
            if min_share and share < min_share - SHARE_TOLERANCE:
                return f"{share:.2f} of {label} would stay, {min_share:.2f} has to"
        return ""


class _SchedulingRun:
    """One run of the scheduler; the occupancy changes with each drained machine."""

    def __init__(self, jobs: Sequence[MaintenanceJob], facts: SchedulingFacts) -> None:
        self._jobs = jobs
        self._facts = facts
        self._all_jobs = [*jobs, *facts.halted_jobs]
        self._occupancy = _Occupancy(self._all_jobs, facts.machines, dict(facts.out))
        self._remaining = {job.name: self._remaining_machines(job) for job in jobs}
        self._under_way = set(self._occupancy.out_for.values())

    def _remaining_machines(self, job: MaintenanceJob) -> list[Machine]:
        return [
            machine
            for machine in self._occupancy.covered[job.name]
            if (machine.machine_id, job.name) not in self._facts.completed
            and machine.machine_id not in self._occupancy.out_for
        ]

    def _completed_share(self, job: MaintenanceJob) -> float:
        return 1.0 - len(self._remaining[job.name]) / max(len(self._occupancy.covered[job.name]), 1)

    def run(self) -> Schedule:
        result = Schedule()
        for job in sorted(self._jobs, key=lambda job: (self._completed_share(job), job.name)):
            for machine in self._in_drain_order(job):
                pair = MachineJob(machine.machine_id, job.name)
                reason = self._wait_reason(job, machine)
                if reason:
                    result.wait_reasons[pair] = reason
                else:
                    result.departures.append(pair)
                    self._occupancy.take_out(machine, job.name)
                    self._under_way.add(job.name)
        return result

    def _in_drain_order(self, job: MaintenanceJob) -> list[Machine]:
        """Returns the remaining machines, by falling available share of their zone, then by id."""
        remaining = self._remaining[job.name]
        availability = {machine.zone: self._occupancy.available_share(machine.zone) for machine in remaining}
        return sorted(
            remaining,
            key=lambda machine: (
                machine.machine_id == job.last_machine_id,
                -availability[machine.zone],
                machine.machine_id,
            ),
        )

    def _wait_reason(self, job: MaintenanceJob, machine: Machine) -> str:
        return (
            self._own_wait_reason(job, machine)
            or self._bound_of_other_jobs(job, machine)
            or self._facts.extra_check(machine, self._occupancy.out_for)
        )

    def _own_wait_reason(self, job: MaintenanceJob, machine: Machine) -> str:
        out_for = self._occupancy.out_for
        if machine.machine_id in out_for:
            return f"out for {out_for[machine.machine_id]}"
        if reason := outside_time_window(job, self._facts.now_ms):
            return reason
        for other in sorted(job.after):
            if self._remaining.get(other) or other in self._under_way:
                return f"after {other}"
        excluded = sorted(job.exclusive_with & self._under_way - {job.name})
        if excluded:
            return f"never together with {excluded[0]}"
        if job.last_machine_id == machine.machine_id and (
            len(self._remaining[job.name]) > 1 or job.name in out_for.values()
        ):
            return "last, as it leads"
        return self._occupancy.exceeded_bound(job, machine)

    def _bound_of_other_jobs(self, job: MaintenanceJob, machine: Machine) -> str:
        """Returns the bound of another job under way that the draining would exceed; empty for none."""
        for other in self._all_jobs:
            if other.name != job.name and other.name in self._under_way and other.covers(machine):
                reason = self._occupancy.exceeded_bound(other, machine)
                if reason:
                    return f"{reason} by {other.name}"
        return ""
