"""All that a coordinator knows at a moment. Nothing of it remembers an earlier one."""

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Final

from crankfold.maintenance.scheduler import Machine, MaintenanceJob
from crankfold.maintenance.specification import JobSpecification, JobState
from crankfold.maintenance.state import MaintenanceState

MIN_REQUESTS_FOR_SHED_SHARE: Final = 20  # below that a share of shed requests means little


class Area(StrEnum):
    """Where retries of idempotent requests need another machine; the name of a field of `Machine`."""

    ZONE = "zone"
    CELL = "cell"


def no_holders(_machine_id: str, _index: int) -> str:
    """Nobody holds a request at any machine."""
    return ""


@dataclass(slots=True)
class FleetView:
    """What is known when transitions are proposed. Times are ticks of the proposer's own clock."""

    now: int
    wall_ms: int  # since the epoch; shown, and compared with the jobs' own times only
    jobs_version: int  # the newest version of the jobs document
    jobs: dict[str, JobSpecification]
    state: MaintenanceState
    machines: Sequence[Machine]  # as listed; what was listed until lately and is gone is not available
    dispatchers: Sequence[Machine] = ()
    voter_count: int = 0
    stale_reason: str = ""  # why the endpoint list can't be relied on
    # Who may still send to a machine that is out since an index of the log, or holds a request there.
    blocking_holders: Callable[[str, int], str] = no_holders
    unresolved_requests: dict[str, list[str]] = field(default_factory=dict)  # by machine; may go on there
    answers: dict[str, tuple[int, int]] = field(default_factory=dict)  # of a machine that is back: all, bad
    unavailable: Collection[str] = ()  # machines that somebody's list does not call ready
    requests_in_flight: int = 0  # of the whole fleet
    admitted_count: int = 0  # lately
    shed_count: int = 0  # lately
    executors: dict[str, int] = field(default_factory=dict)  # voters that are heard, and their incarnation
    incarnations: dict[str, int] = field(default_factory=dict)  # of all voters, as heard last
    warm_up_ticks: int = 0
    deduplication_scopes: Collection[Area] = ()

    def wall_time_ms(self) -> int:
        """Never goes back: a clock that is set back must not undo that a time has come."""
        return max(self.wall_ms, self.state.latest_wall_ms)

    def ignoring_start_time(self, job: MaintenanceJob) -> MaintenanceJob:
        """The job, without its earliest time once it has begun."""
        return replace(job, not_before_ms=0) if job.name in self.state.begun_jobs else job

    def excess_shedding(self) -> str:
        """Why the fleet sheds too much for any maintenance, or ""."""
        requests = self.admitted_count + self.shed_count
        max_shed_share = min((job.max_shed_share for job in self._jobs_under_way()), default=1.0)
        if requests >= MIN_REQUESTS_FOR_SHED_SHARE and self.shed_count > max_shed_share * requests:
            return f"{self.shed_count} of {requests} units were shed of late"
        return ""

    def _jobs_under_way(self) -> list[JobSpecification]:
        jobs_of_absent = {machine.job for machine in self.state.machines.values()}
        return [job for name, job in self.jobs.items() if job.state == JobState.GO or name in jobs_of_absent]

    def machines_by_id(self) -> Mapping[str, Machine]:
        """Backends and dispatchers by their ids."""
        return {machine.machine_id: machine for machine in (*self.machines, *self.dispatchers)}
