"""The replicated state of machines in maintenance, changed by transitions in the replicated log.

Applying the same entries yields the same state at every member. A transition whose conditions do not hold is
void: its proposer decided on an earlier state.
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

# The phases of a machine in maintenance in which it gets requests.
IN_ROTATION: Final = (MaintenancePhase.RETURNING,)
MAX_TRANSITIONS: Final = 2000  # retained records, the latest ones

_FINAL_PHASES: Final = (MaintenancePhase.HEALTHY, MaintenancePhase.REPLACED, MaintenancePhase.CANCELLED)
# Transitions that change which machines are absent, and so how many more the bounds of jobs permit.
_ABSENCE_CHANGES: Final = (
    MaintenancePhase.DRAINING,
    MaintenancePhase.RETURNING,
    MaintenancePhase.UNHEALTHY,
    *_FINAL_PHASES,
)


DISPATCHER_PREFIX: Final = "@"  # of the machine ids of dispatchers; no backend id begins with it


def dispatcher_id(name: str) -> str:
    """Returns the machine id of the dispatcher of that name."""
    return DISPATCHER_PREFIX + name


def is_dispatcher_id(machine_id: str) -> bool:
    """Whether the id is that of a dispatcher."""
    return machine_id.startswith(DISPATCHER_PREFIX)


class TransitionRecord(Struct, array_like=True, frozen=True):
    """A committed transition, as history shows it."""

    index: int  # in the replicated log
    machine_id: str
    job: str
    phase: MaintenancePhase
    by: str  # the proposing dispatcher, or the operator
    reason: str
    at_ms: int  # wall time of the proposer; shown, never compared

    def to_document(self) -> dict[str, Any]:
        """Returns the record as an answer of the admin API, whose keys are used here."""
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
    """A machine from the start of its draining to the end of its maintenance."""

    job: str
    phase: MaintenancePhase
    out_index: int  # log index of its draining; members that applied it send no requests
    last_index: int  # log index of its last transition
    drain_number: int = 0  # log index of its last DRAINED transition; commands and operators refer to it
    executor: str = ""  # the dispatcher that runs its command
    executor_incarnation: int = 0
    worked: bool = False  # whether the work on it is finished
    earlier_jobs: list[str] = field(default_factory=list)  # finished during the same absence
    started_at: int = 0  # the listed start as of its draining, in ticks
    placement: Placement = Placement()
    unhealthy: bool = False  # was unhealthy after its return, so an operator decides what follows
    reason: str = ""

    def to_document(self) -> dict[str, Any]:
        """Returns the record as an answer of the admin API, whose keys are used here."""
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
    """The replicated state of maintenance, also its form in snapshots."""

    machines: dict[str, MachineInMaintenance] = field(default_factory=dict)
    # The final phase of completed maintenance, by job and machine.
    completed: dict[str, dict[str, MaintenancePhase]] = field(default_factory=dict)
    # The number of consecutive unhealthy machines, by job.
    unhealthy_streaks: dict[str, int] = field(default_factory=dict)
    halted_jobs: dict[str, str] = field(default_factory=dict)  # the reason, by job that halted
    begun_jobs: list[str] = field(default_factory=list)  # jobs that have drained a machine
    change_count: int = 0  # number of transitions that changed which machines are absent
    latest_wall_ms: int = 0  # the latest wall time of any transition
    transitions: list[TransitionRecord] = field(default_factory=list)

    def apply(self, index: int, data: dict[str, Any], jobs_version: int) -> str:
        """Applies the transitions of a log entry, except void ones.

        Args:
            index: The log index of the entry.
            data: The data of the entry; its "steps" are stored transitions.
            jobs_version: The newest version of the jobs document.

        Returns:
            Why the first void transition is void; empty if all take effect.

        Raises:
            msgspec.ValidationError: A step with a defined name is not a stored transition.
        """
        change_count = self.change_count
        first_reason = ""
        for document in data["steps"]:
            if is_known_step(document["step"]):
                transition = decode_transition(document)
                reason = self._void_reason(transition, change_count, jobs_version)
                if not reason:
                    self._apply_transition(index, transition)
            else:
                reason = self._order_error(document["uid"], document["step"])
            if reason:
                first_reason = first_reason or f"{document['uid']}: {reason}"
        return first_reason

    def _order_error(self, machine_id: str, step: str) -> str:
        machine = self.machines.get(machine_id)
        phase = machine.phase if machine else MaintenancePhase.IN_SERVICE
        return f"{step} does not follow {phase or 'carrying work'}"

    def _void_reason(self, transition: Transition, change_count: int, jobs_version: int) -> str:
        """Returns why a transition is void; empty if it takes effect.

        Args:
            transition: The proposed transition.
            change_count: The count before the log entry, as all transitions of an entry are decided together.
            jobs_version: The newest version of the jobs document.
        """
        if transition.phase == MaintenancePhase.HALTED:
            return ""
        machine = self.machines.get(transition.machine_id)
        phase = machine.phase if machine else MaintenancePhase.IN_SERVICE
        if phase not in ALLOWED_FROM.get(transition.phase, ()):
            return self._order_error(transition.machine_id, transition.phase)
        decided_on = transition.change_count, transition.jobs_version
        if transition.phase == MaintenancePhase.DRAINING and decided_on != (change_count, jobs_version):
            # The bounds of jobs were checked against an earlier state.
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
            _record_drained(machine, index, transition.job)
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
        elif transition.phase in _FINAL_PHASES:
            self._end_maintenance(transition.machine_id, machine)
        if transition.phase in _ABSENCE_CHANGES:
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
        """Returns the ids of the machines to which no requests are sent."""
        return {
            machine_id for machine_id, machine in self.machines.items() if machine.phase not in IN_ROTATION
        }

    def completed_pairs(self) -> set[tuple[str, str]]:
        """Returns the machines with completed maintenance, each with the job."""
        return {(machine_id, job) for job, ended in self.completed.items() for machine_id in ended}

    def jobs_changed(self, previous: dict[str, Any], jobs: dict[str, Any]) -> None:
        """Handles a new version of the jobs document.

        The results of a removed job are deleted, so that a later job of that name starts anew. A changed job
        that had halted continues.

        Args:
            previous: The stored jobs of the previous version, by name.
            jobs: The stored jobs of the new version, by name.
        """
        self._forget(name for name in self._remembered_jobs() if name not in jobs)
        self.begun_jobs = [name for name in self.begun_jobs if name in jobs]
        for name in [name for name in jobs if jobs[name] != previous.get(name)]:
            self.halted_jobs.pop(name, None)
            self.unhealthy_streaks.pop(name, None)

    def _remembered_jobs(self) -> list[str]:
        return [*self.completed, *self.unhealthy_streaks, *self.halted_jobs]

    def _forget(self, names: Iterable[str]) -> None:
        for name in names:
            self.completed.pop(name, None)
            self.unhealthy_streaks.pop(name, None)
            self.halted_jobs.pop(name, None)


def _record_drained(machine: MachineInMaintenance, index: int, job: str) -> None:
    machine.drain_number = index
    if job != machine.job:  # the machine stays out for a further job
        machine.earlier_jobs.append(machine.job)
        machine.job = job
        machine.worked = False
