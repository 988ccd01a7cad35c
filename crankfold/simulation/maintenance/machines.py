"""Simulated machines with their true state, which endpoint lists show after a delay."""

from dataclasses import dataclass, field
from typing import NamedTuple

from crankfold.maintenance.scheduler import Machine

INSTANCE_TYPE = "k"  # of all machines


class MachineStatus(NamedTuple):
    """The status of a machine since a time. Times are ticks."""

    since: int
    running: bool
    started_at: int


class RunningRequest(NamedTuple):
    """A request that a machine executes. Times are ticks."""

    ends_at: int
    name: str
    deadline: int


class WorkRun(NamedTuple):
    """One run of a job's work on a drained machine."""

    machine_id: str
    job: str
    drain_number: int  # log index of the transition to drained


@dataclass(slots=True)
class AnswerCount:
    """Numbers of answers of a machine since its return."""

    total: int = 0
    bad: int = 0

    def add(self, *, bad: bool) -> None:
        """Counts an answer."""
        self.total += 1
        self.bad += bad


@dataclass(slots=True)
class SimulatedMachine:
    """A machine and the history of its status."""

    machine_id: str
    zone: str
    size: float
    unhealthy: bool = False  # answers badly after its next start
    started_at: int = 1  # ticks
    running: bool = True
    requests: list[RunningRequest] = field(default_factory=list)
    _history: list[MachineStatus] = field(default_factory=lambda: [MachineStatus(0, True, 1)])

    def set_running(self, now: int, running: bool) -> None:
        """Stops the machine or restarts it."""
        if running and not self.running:
            self.started_at = now
        self.running = running
        self._history.append(MachineStatus(now, running, self.started_at))

    def status_at(self, at: int) -> MachineStatus:
        """Returns the status at a time in ticks; before the first start, not running with `started_at` 0."""
        for status in reversed(self._history):
            if status.since <= at:
                return status
        return MachineStatus(at, False, 0)

    def has_restarted(self) -> bool:
        """Whether the machine has started more than once."""
        return self.started_at > 1

    def to_machine(self, started_at: int, *, available: bool = True) -> Machine:
        """Returns the machine in the form that the scheduler uses.

        Args:
            started_at: Its last known start, ticks.
            available: Whether it is known to run.
        """
        return Machine(
            machine_id=self.machine_id,
            zone=self.zone,
            instance_type=INSTANCE_TYPE,
            size=self.size,
            started_at=started_at,
            available=available,
        )
