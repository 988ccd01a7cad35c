"""The replicated state of machines in maintenance; each transition is one entry of the replicated log.

The same entries make the same state at every voter. A transition that does not follow from what went before
is void: whoever proposed it decided on something that is no longer so.
"""

from collections.abc import Iterable
from typing import Any, Final

from msgspec import Struct, field

from crankfold.maintenance.transitions import (
    ALLOWED_FROM,
    MaintenancePhase,
    Placement,
    Transition,
    decode_transition,
    is_known_step,
)

IN_ROTATION: Final = (MaintenancePhase.RETURNING,)  # gets requests again, as one that warms up
MAX_TRANSITIONS: Final = 2000

_ENDS: Final = (MaintenancePhase.HEALTHY, MaintenancePhase.REPLACED, MaintenancePhase.CANCELLED)
# Transitions after which the bounds of jobs have to be looked at again.
_CHANGES_ABSENCE: Final = (
    MaintenancePhase.DRAINING,
    MaintenancePhase.RETURNING,
    MaintenancePhase.UNHEALTHY,
    *_ENDS,
)


def is_dispatcher_id(machine_id: str) -> bool:
    """Whether it names a dispatcher ("@name"); no backend's id begins so."""
    return machine_id.startswith("@")


class TransitionRecord(Struct, array_like=True, frozen=True):
    """One transition as it was committed."""

    index: int  # in the replicated log
    machine_id: str
    job: str
    phase: MaintenancePhase
    by: str  # the dispatcher that led, or the operator
    reason: str
    at_ms: int  # wall time of whoever proposed it; shown, never compared

    def to_document(self) -> dict[str, Any]:
        """As operators are shown it, under the names of the users' pages."""
        return {
            "index": self.index,
            "uid": self.machine_id,
            "work": self.job,
            "step": self.phase,
            "by": self.by,
            "why": self.reason,
            "at": self.at_ms,
        }


class MachineInMaintenance(Struct, array_like=True):
    """A machine between its departure and the end of its maintenance."""

    job: str
    phase: MaintenancePhase
    out_index: int  # of the transition by which it went out; from then on requests go elsewhere
    last_index: int  # of its last transition
    drain_number: int = 0  # under which it was called drained; rises with each time in the whole fleet
    executor: str = ""  # the dispatcher that runs its command
    executor_incarnation: int = 0
    worked: bool = False  # the work on it has been done
    earlier_jobs: list[str] = field(default_factory=list)  # done during the same absence
    started_at: int = 0  # as listed when it went out, tenths of a millisecond
    placement: Placement = Placement()
    unhealthy: bool = False  # found so after its return: the next transition is an operator's
    reason: str = ""

    def to_document(self) -> dict[str, Any]:
        """As operators are shown it, under the names of the users' pages."""
        return {
            "work": self.job,
            "state": self.phase,
            "out": self.out_index,
            "last": self.last_index,
            "number": self.drain_number,
            "by": self.executor,
            "life": self.executor_incarnation,
            "worked": self.worked,
            "also": self.earlier_jobs,
            "start": self.started_at,
            "place": tuple(self.placement),
            "unwell": self.unhealthy,
            "why": self.reason,
        }


class MaintenanceState(Struct, array_like=True):
    """All of the replicated state of maintenance, as a snapshot has it."""

    machines: dict[str, MachineInMaintenance] = field(default_factory=dict)
    # By job and machine, by which transition its maintenance ended.
    completed: dict[str, dict[str, MaintenancePhase]] = field(default_factory=dict)
    unhealthy_streaks: dict[str, int] = field(default_factory=dict)  # by job, unhealthy machines in a row
    halted_jobs: dict[str, str] = field(default_factory=dict)  # that stopped by themselves, and why
    begun_jobs: list[str] = field(default_factory=list)  # that have taken a machine out
    change_count: int = 0  # of departures and returns so far
    latest_wall_ms: int = 0  # the latest wall time of any transition
    transitions: list[TransitionRecord] = field(default_factory=list)

    def apply(self, index: int, data: dict[str, Any], jobs_version: int) -> str:
        """Applies the transitions of a log entry, leaving out those that do not follow.

        Args:
            index: Of the entry in the replicated log.
            data: The entry's document; its "steps" are stored transitions.
            jobs_version: The newest version of the jobs document.

        Returns:
            Why the first void transition is void, or "".

        Raises:
            msgspec.ValidationError: A step of a known name is not a stored transition.
        """
        change_count = self.change_count
        first_void = ""
        for document in data["steps"]:
            if is_known_step(document["step"]):
                transition = decode_transition(document)
                reason = self._void_reason(transition, change_count, jobs_version)
                if not reason:
                    self._apply_transition(index, transition)
            else:
                reason = self._does_not_follow(document["uid"], document["step"])
            if reason:
                first_void = first_void or f"{document['uid']}: {reason}"
        return first_void

    def _does_not_follow(self, machine_id: str, step: str) -> str:
        machine = self.machines.get(machine_id)
        phase = machine.phase if machine else MaintenancePhase.IN_SERVICE
        return f"{step} does not follow {phase or 'carrying work'}"

    def _void_reason(self, transition: Transition, change_count: int, jobs_version: int) -> str:
        """Why a transition does not follow, or ""; `change_count` is that before its whole entry."""
        if transition.phase == MaintenancePhase.HALTED:
            return ""
        machine = self.machines.get(transition.machine_id)
        phase = machine.phase if machine else MaintenancePhase.IN_SERVICE
        if phase not in ALLOWED_FROM.get(transition.phase, ()):
            return self._does_not_follow(transition.machine_id, transition.phase)
        made_from = transition.change_count, transition.jobs_version
        if transition.phase == MaintenancePhase.DRAINING and made_from != (change_count, jobs_version):
            # Bounds were kept by what was known then, and something else is so by now.
            return "decided before the last change"
        if machine is None:
            return ""
        if transition.last_index not in (None, machine.last_index):
            return "decided before its last step"
        if transition.drain_number not in (None, machine.drain_number):
            return f"told under number {transition.drain_number}, which is over"
        return ""

    def _apply_transition(self, index: int, transition: Transition) -> None:
        self.latest_wall_ms = max(self.latest_wall_ms, transition.at_ms)
        if transition.phase == MaintenancePhase.HALTED:
            self.halted_jobs[transition.job] = transition.reason
            self._record(index, transition, transition.job)
            return
        if transition.phase == MaintenancePhase.DRAINING:
            self._begin_maintenance(index, transition)
        machine = self.machines[transition.machine_id]
        machine.phase = transition.phase
        machine.last_index = index
        machine.reason = transition.reason
        if transition.phase == MaintenancePhase.DRAINED:
            _drained(machine, index, transition.job)
        elif transition.phase == MaintenancePhase.IN_WORK:
            machine.executor = transition.by
            machine.executor_incarnation = transition.incarnation or 0
        elif transition.phase == MaintenancePhase.WORK_DONE:
            machine.worked = True
        elif transition.phase == MaintenancePhase.UNHEALTHY:
            self.unhealthy_streaks[machine.job] = self.unhealthy_streaks.get(machine.job, 0) + 1
            machine.out_index = index
            machine.unhealthy = True
            machine.worked = False
        elif transition.phase in _ENDS:
            self._end_maintenance(transition.machine_id, machine)
        if transition.phase in _CHANGES_ABSENCE:
            self.change_count += 1
        self._record(index, transition, machine.job)

    def _begin_maintenance(self, index: int, transition: Transition) -> None:
        self.machines[transition.machine_id] = MachineInMaintenance(
            job=transition.job,
            phase=transition.phase,
            out_index=index,
            last_index=index,
            started_at=transition.started_at or 0,
            placement=transition.placement or Placement(),
        )
        if transition.job not in self.begun_jobs:
            self.begun_jobs.append(transition.job)

    def _end_maintenance(self, machine_id: str, machine: MachineInMaintenance) -> None:
        del self.machines[machine_id]
        if machine.phase == MaintenancePhase.HEALTHY:
            self.unhealthy_streaks.pop(machine.job, None)
        own = [machine.job] if machine.phase != MaintenancePhase.CANCELLED else []
        for job in [*machine.earlier_jobs, *own]:
            self.completed.setdefault(job, {})[machine_id] = machine.phase

    def _record(self, index: int, transition: Transition, job: str) -> None:
        self.transitions.append(
            TransitionRecord(
                index=index,
                machine_id=transition.machine_id,
                job=job,
                phase=transition.phase,
                by=transition.by,
                reason=transition.reason,
                at_ms=transition.at_ms,
            )
        )
        del self.transitions[:-MAX_TRANSITIONS]

    def out_of_rotation(self) -> set[str]:
        """The ids of machines that get no requests."""
        return {
            machine_id for machine_id, machine in self.machines.items() if machine.phase not in IN_ROTATION
        }

    def completed_pairs(self) -> set[tuple[str, str]]:
        """Machines whose maintenance has ended, each with the job that it ended for."""
        return {(machine_id, job) for job, ended in self.completed.items() for machine_id in ended}

    def jobs_changed(self, before: dict[str, Any], jobs: dict[str, Any]) -> None:
        """Takes note of another version of the jobs document, of which both are the stored jobs by name.

        A job under the name of one that was taken away is new. One that was changed goes on, though it had
        stopped by itself.
        """
        self._forget(name for name in self._remembered_jobs() if name not in jobs)
        self.begun_jobs = [name for name in self.begun_jobs if name in jobs]
        for name in [name for name in jobs if jobs[name] != before.get(name)]:
            self.halted_jobs.pop(name, None)
            self.unhealthy_streaks.pop(name, None)

    def _remembered_jobs(self) -> list[str]:
        return [*self.completed, *self.unhealthy_streaks, *self.halted_jobs]

    def _forget(self, names: Iterable[str]) -> None:
        for name in names:
            self.completed.pop(name, None)
            self.unhealthy_streaks.pop(name, None)
            self.halted_jobs.pop(name, None)


def _drained(machine: MachineInMaintenance, index: int, job: str) -> None:
    machine.drain_number = index
    if job != machine.job:  # another job's turn, during the same absence
        machine.earlier_jobs.append(machine.job)
        machine.job = job
        machine.worked = False
