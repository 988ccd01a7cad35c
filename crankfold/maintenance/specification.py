"""Maintenance jobs as operators submit them: decoding and validation.

`docs/maintenance.md` documents the keys and values, which operators write in job files.
"""

from collections.abc import Sequence
from enum import StrEnum
from typing import Annotated, Any, Final

import msgspec
from msgspec import Meta, Struct, field

from crankfold.maintenance.scheduler import Machine, MaintenanceJob, infeasibility_reason
from crankfold.maintenance.state import dispatcher_id
from crankfold.time_units import TICKS_PER_MILLISECOND

Fraction = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=0)]
NonNegativeFloat = Annotated[float, Meta(ge=0)]

MAX_JOBS: Final = 100


class JobState(StrEnum):
    """The state of a job, as operators last requested it."""

    GO = "go"
    HOLD = "hold"  # drains no more machines
    STOPPED = "stop"  # also returns machines on which no work has begun


class WorkMethod(StrEnum):
    """Who does the work on a machine, and how its end is known."""

    OPERATOR = "hand"  # operators do it and report its start and end
    COMMAND = "command"  # a dispatcher runs a command
    ENDPOINT_LIST = "list"  # another system does it; it ends with a new start on the endpoint list


class Target(StrEnum):
    """The kind of machines that a job covers."""

    BACKENDS = "runners"
    DISPATCHERS = "dispatchers"


class OverduePolicy(StrEnum):
    """What a job does when a machine is not back in time."""

    HOLD = "hold"  # drains no more machines until it is back
    CONTINUE = "go-on"
    GIVE_UP = "give-up"  # the job halts


class JobSpecification(Struct, rename="kebab", forbid_unknown_fields=True):
    """A maintenance job as submitted; the outer names of the fields are the keys in job files."""

    reason: Annotated[str, Meta(max_length=500)] = field(name="why", default="")
    target: Target = field(name="of", default=Target.BACKENDS)
    machines: list[str] = field(default_factory=list)
    zones: list[str] = field(default_factory=list)
    instance_types: list[str] = field(name="kinds", default_factory=list)
    cells: list[str] = field(default_factory=list)
    started_before_ms: Count = field(name="listed-before", default=0)  # since the epoch, as starts are listed
    max_out: Annotated[int, Meta(ge=1)] = field(name="at-once", default=1)
    max_out_per_zone: Count = field(name="a-zone", default=0)
    max_out_per_instance_type: Count = field(name="a-kind", default=0)
    max_out_per_cell: Count = field(name="a-cell", default=0)
    min_remaining_share: Fraction = field(name="stays", default=0.5)
    min_remaining_zone_share: Fraction = field(name="stays-in-zone", default=0.0)
    not_before_ms: Count = field(name="not-before", default=0)  # since the epoch
    not_after_ms: Count = field(name="not-after", default=0)
    after: list[str] = field(default_factory=list)
    exclusive_with: list[str] = field(name="alone", default_factory=list)
    # Whether another job may work on a machine during its absence for this job.
    joint_absence_allowed: bool = field(name="shares", default=True)
    method: WorkMethod = field(name="way", default=WorkMethod.OPERATOR)
    command: list[str] = field(default_factory=list)
    # Whether the command may be run again after a restart of its executor during the run.
    command_repeatable: bool = field(name="again", default=False)
    work_seconds: Annotated[float, Meta(gt=0)] = field(name="takes", default=600.0)  # the longest time
    overdue_policy: OverduePolicy = field(name="not-back", default=OverduePolicy.HOLD)
    # How long a returned machine is watched.
    watch_seconds: NonNegativeFloat = field(name="watch", default=5.0)
    min_responses: Count = field(name="least-answers", default=5)
    min_good_share: Fraction = field(name="well", default=0.9)  # of the responses of a healthy machine
    # The number of consecutive unhealthy machines at which the job halts.
    max_unhealthy_streak: Annotated[int, Meta(ge=1)] = field(name="most-unwell", default=2)
    max_shed_share: Fraction = field(name="shed-over", default=0.05)
    # The number of concurrent requests for a listed size of 1; 0 if unknown.
    requests_per_size: NonNegativeFloat = field(name="carries", default=0.0)
    state: JobState = JobState.GO
    control_count: Count = field(name="called", default=0)  # how often operators requested a state

    def to_job(self, name: str) -> MaintenanceJob:
        """Returns the job in the scheduler's form."""
        if self.target == Target.DISPATCHERS:
            machine_ids = frozenset(map(dispatcher_id, self.machines))
        else:
            machine_ids = frozenset(self.machines)
        return MaintenanceJob(
            name=name,
            machine_ids=machine_ids,
            zones=frozenset(self.zones),
            instance_types=frozenset(self.instance_types),
            cells=frozenset(self.cells),
            started_before=self.started_before_ms * TICKS_PER_MILLISECOND,
            max_out=self.max_out,
            max_out_per_zone=self.max_out_per_zone,
            max_out_per_instance_type=self.max_out_per_instance_type,
            max_out_per_cell=self.max_out_per_cell,
            min_remaining_share=self.min_remaining_share,
            min_remaining_zone_share=self.min_remaining_zone_share,
            not_before_ms=self.not_before_ms,
            not_after_ms=self.not_after_ms,
            exclusive_with=frozenset(self.exclusive_with),
            after=frozenset(self.after),
        )


class JobsDocument(Struct, forbid_unknown_fields=True):
    """The document that operators publish, with all jobs by name."""

    jobs: dict[Annotated[str, Meta(pattern="^[A-Za-z0-9._-]{1,60}$")], JobSpecification] = field(
        name="works", default_factory=dict
    )


def parse_jobs(document: dict[str, Any]) -> dict[str, JobSpecification]:
    """Decodes the jobs of a document, by name.

    Raises:
        msgspec.ValidationError: The document is invalid; the message has the path, the value found and the
            values allowed.
    """
    return msgspec.convert(document, JobsDocument).jobs


def validation_error(document: dict[str, Any], previous: dict[str, Any], machines: Sequence[Machine]) -> str:
    """Returns the first error in a jobs document: path, value found and values allowed; empty for none.

    Args:
        document: The new version.
        previous: The previous version.
        machines: The backends on the endpoint list; empty without a list.
    """
    try:
        jobs = parse_jobs(document)
        previous_jobs = parse_jobs(previous)
    except ValueError as error:
        return str(error)
    if len(jobs) > MAX_JOBS:
        return f"works: found {len(jobs)}; {MAX_JOBS} at most"
    for name, job in jobs.items():
        error_text = (
            _reference_error(jobs, name)
            or _command_error(name, job)
            or _infeasibility_error(name, job, previous_jobs.get(name), machines)
        )
        if error_text:
            return error_text
        cycle = _find_cycle(jobs, name, [])
        if cycle:
            return f"works.{name}.after: comes after itself: {' after '.join(cycle)}"
    return ""


def _reference_error(jobs: dict[str, JobSpecification], name: str) -> str:
    for key, others in (("after", jobs[name].after), ("alone", jobs[name].exclusive_with)):
        for other in others:
            if other not in jobs or other == name:
                return f"works.{name}.{key}: found {other!r}; another of the works handed in"
    return ""


def _command_error(name: str, job: JobSpecification) -> str:
    if bool(job.command) != (job.method == WorkMethod.COMMAND):
        return f"works.{name}.command: found {len(job.command)} words; for way command, and only there"
    return ""


def _infeasibility_error(
    name: str, job: JobSpecification, previous: JobSpecification | None, machines: Sequence[Machine]
) -> str:
    # An unchanged job passed the check when it was submitted; its machines may have been removed since.
    if (
        previous
        and msgspec.structs.replace(previous, state=job.state, control_count=job.control_count) == job
    ):
        return ""
    if job.target != Target.BACKENDS or not machines:
        return ""
    reason = infeasibility_reason(job.to_job(name), machines)
    return f"works.{name}: could never go on: {reason}" if reason else ""


def _find_cycle(jobs: dict[str, JobSpecification], name: str, before: list[str]) -> list[str]:
    """Returns a cycle of `after` through the named job; empty for none."""
    if name in before:
        return [*before, name] if name == before[0] else []
    for other in jobs[name].after:
        cycle = _find_cycle(jobs, other, [*before, name])
        if cycle:
            return cycle
    return []
