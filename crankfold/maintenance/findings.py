"""What a coordinator run finds besides transitions: reasons for waiting, excess shedding, stuck jobs."""

from dataclasses import dataclass, field

from crankfold.maintenance.scheduler import MachineJob


@dataclass(frozen=True, slots=True)
class WaitReason:
    """The reason why a machine or a job waits; the admin API returns `text` as it is."""

    machine_id: str  # empty for a job
    job: str
    text: str


@dataclass(slots=True)
class Findings:
    """The findings of one coordinator run."""

    excess_shedding: str = ""  # why no machine may be drained; empty if shedding is within bounds
    stuck_jobs: dict[str, str] = field(default_factory=dict)  # the overdue machine and its state, by job
    _reasons: dict[MachineJob, str] = field(default_factory=dict)

    def record_wait(self, machine_id: str, job: str, text: str) -> None:
        """Records why a machine or a job waits; replaces an earlier reason."""
        self._reasons[MachineJob(machine_id, job)] = text

    def wait_reasons(self) -> list[WaitReason]:
        """Returns the recorded reasons, sorted by machine and job."""
        return [WaitReason(*pair, text) for pair, text in sorted(self._reasons.items())]
