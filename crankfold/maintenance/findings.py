"""The results of one coordinator run besides transitions: reasons for waiting, stuck jobs."""

from dataclasses import dataclass, field

from crankfold.maintenance.scheduler import MachineJob


@dataclass(frozen=True, slots=True)
class WaitReason:
    """The reason why a machine or a job waits; answers as JSON repeat `text`."""

    machine_id: str  # empty for a job
    job: str
    text: str


@dataclass(slots=True)
class Findings:
    """Collected during one run."""

    excess_shedding: str = ""  # why no machine may be drained; empty if shedding is within the bounds
    stuck_jobs: dict[str, str] = field(default_factory=dict)  # the overdue machine and its state, by job
    _texts: dict[MachineJob, str] = field(default_factory=dict)

    def wait(self, machine_id: str, job: str, text: str) -> None:
        """Records why a machine waits; replaces an earlier reason."""
        self._texts[MachineJob(machine_id, job)] = text

    def wait_reasons(self) -> list[WaitReason]:
        """The recorded reasons, sorted by machine and job."""
        return [WaitReason(*pair, text) for pair, text in sorted(self._texts.items())]
