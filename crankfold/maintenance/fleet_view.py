"""The input of a coordinator run: the state of the fleet at one time."""

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Final

from crankfold.maintenance.scheduler import Machine, MaintenanceJob
from crankfold.maintenance.specification import JobSpecification, JobState
from crankfold.maintenance.state import MaintenanceState

MIN_REQUESTS_FOR_SHED_SHARE: Final = 20  # the share of fewer requests says too little


class Area(StrEnum):
    """An area in which another machine has to remain, as retries of keyed requests do not leave it."""

    ZONE = "zone"
    CELL = "cell"


def no_holders(_machine_id: str, _index: int) -> str:
    """Returns no reason, as if no member had a request in flight at any machine."""
    return ""


@dataclass(slots=True)
class FleetView:
    """The state of the fleet when transitions are proposed. Times are ticks of the proposer's clock."""

    now: int
    wall_ms: int  # since the epoch; shown, and compared with the time windows of jobs only
    jobs_version: int  # the newest version of the jobs document
    jobs: dict[str, JobSpecification]
    state: MaintenanceState
    machines: Sequence[Machine]  # as listed, or unavailable if removed from the list recently
    dispatchers: Sequence[Machine] = ()
    voter_count: int = 0
    stale_reason: str = ""  # why the endpoint list is outdated; empty if it is current
    # Given a machine and the log index of its draining: why it may have requests in flight; empty if not.
    blocking_holders: Callable[[str, int], str] = no_holders
    # The abandoned requests that may still run, by machine.
    unresolved_requests: dict[str, list[str]] = field(default_factory=dict)
    # By returned machine: the number of all and of bad responses.
    response_counts: dict[str, tuple[int, int]] = field(default_factory=dict)
    unavailable: Collection[str] = ()  # machines that are not ready on some dispatcher's endpoint list
    requests_in_flight: int = 0  # sum over all dispatchers
    admitted_count: int = 0  # recently admitted requests
    shed_count: int = 0  # recently shed requests
    executors: dict[str, int] = field(default_factory=dict)  # incarnations, by voter with a lease
    incarnations: dict[str, int] = field(default_factory=dict)  # last reported incarnations, by voter
    warm_up_ticks: int = 0
    deduplication_scopes: Collection[Area] = ()

    def wall_time_ms(self) -> int:
        """Returns the wall time in milliseconds since the epoch; it never decreases.

        A time window that has opened stays open when a clock is set back.
        """
        return max(self.wall_ms, self.state.latest_wall_ms)

    def ignoring_start_time(self, job: MaintenanceJob) -> MaintenanceJob:
        """Returns the job, without its start time if it has already drained a machine."""
        return replace(job, not_before_ms=0) if job.name in self.state.begun_jobs else job

    def excess_shedding(self) -> str:
        """Returns why the fleet sheds too many requests for maintenance; empty if it does not."""
        requests = self.admitted_count + self.shed_count
        max_shed_share = min((job.max_shed_share for job in self._jobs_under_way()), default=1.0)
        if requests >= MIN_REQUESTS_FOR_SHED_SHARE and self.shed_count > max_shed_share * requests:
            return f"{self.shed_count} of {requests} units were shed of late"
        return ""

    def _jobs_under_way(self) -> list[JobSpecification]:
        jobs_of_absent = {machine.job for machine in self.state.machines.values()}
        return [job for name, job in self.jobs.items() if job.state == JobState.GO or name in jobs_of_absent]

    def machines_by_id(self) -> Mapping[str, Machine]:
        """Returns the backends and dispatchers, by machine id."""
        return {machine.machine_id: machine for machine in (*self.machines, *self.dispatchers)}
