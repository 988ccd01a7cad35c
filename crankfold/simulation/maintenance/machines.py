"""Simulated machines, as they are; what endpoint lists say of them comes later."""

from dataclasses import dataclass, field
from typing import NamedTuple

INSTANCE_TYPE = "k"  # of all of them


class MachineStatus(NamedTuple):
    """Whether a machine runs from some time on, in ticks."""

    since: int
    running: bool
    started_at: int


class RunningRequest(NamedTuple):
    """A request that a machine has, in ticks."""

    ends_at: int
    name: str
    deadline: int


class WorkRun(NamedTuple):
    """Work on a machine, under the number by which it was called drained."""

    machine_id: str
    job: str
    drain_number: int


@dataclass(slots=True)
class AnswerCount:
    """Answers of a machine since its return."""

    total: int = 0
    bad: int = 0

    def add(self, *, bad: bool) -> None:
        """Counts one more."""
        self.total += 1
        self.bad += bad


@dataclass(slots=True)
class SimulatedMachine:
    """A machine, with all that happened to it."""

    machine_id: str
    zone: str
    size: float
    unhealthy: bool = False  # its answers are bad from its next start on
    started_at: int = 1  # ticks
    running: bool = True
    requests: list[RunningRequest] = field(default_factory=list)
    _history: list[MachineStatus] = field(default_factory=lambda: [MachineStatus(0, True, 1)])

    def set_running(self, now: int, running: bool) -> None:
        """Stops it, or starts it anew."""
        if running and not self.running:
            self.started_at = now
        self.running = running
        self._history.append(MachineStatus(now, running, self.started_at))

    def status_at(self, at: int) -> MachineStatus:
        """What an endpoint list of that time says; before the beginning it was never started."""
        for status in reversed(self._history):
            if status.since <= at:
                return status
        return MachineStatus(at, False, 0)

    def restarted(self) -> bool:
        """Whether this is not its first start."""
        return self.started_at > 1
