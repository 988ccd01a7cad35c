"""What a coordinator finds while it looks at the fleet once, besides the transitions that it proposes."""

from dataclasses import dataclass, field

from crankfold.maintenance.scheduler import MachineJob


@dataclass(frozen=True, slots=True)
class WaitReason:
    """Why a machine, or a whole job, does not go on; `text` is shown to operators."""

    machine_id: str  # "" for the whole job
    job: str
    text: str


@dataclass(slots=True)
class Findings:
    """Collected during one look."""

    excess_shedding: str = ""  # why the fleet sheds too much for any maintenance
    stuck_jobs: dict[str, str] = field(default_factory=dict)  # that miss a machine, and which
    _texts: dict[MachineJob, str] = field(default_factory=dict)

    def wait(self, machine_id: str, job: str, text: str) -> None:
        """Notes why a machine waits; a later reason takes the place of an earlier one."""
        self._texts[MachineJob(machine_id, job)] = text

    def wait_reasons(self) -> list[WaitReason]:
        """All of them, by machine and job."""
        return [WaitReason(*pair, text) for pair, text in sorted(self._texts.items())]
