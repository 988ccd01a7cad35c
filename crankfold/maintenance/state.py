"""What is agreed of machines that are out for work: each step an entry of the one history.

The same entries make the same of it everywhere. A step that does not follow from what went before is void:
who proposed it decided on something that is no longer so. `docs/works.md` has the table of steps.
"""

from collections.abc import Sequence
from typing import Any

from msgspec import Struct, field

OUT, FREE, WORK, ENDED, FAILED, BACK, WELL, UNWELL, GONE, UNDONE = (
    "out",
    "free",
    "work",
    "ended",
    "failed",
    "back",
    "well",
    "unwell",
    "gone",
    "undone",
)
BEGUN = ""  # where a machine that carries work stands

# From where each step may be taken. `well`, `gone` and `undone` end a machine's way.
ALLOWED_FROM: dict[str, tuple[str, ...]] = {
    OUT: (BEGUN,),
    FREE: (OUT, WORK, ENDED, UNWELL),
    WORK: (FREE,),
    FAILED: (WORK,),
    ENDED: (FREE, WORK, FAILED),
    BACK: (OUT, FREE, ENDED, FAILED, UNWELL),
    WELL: (BACK,),
    UNDONE: (BACK,),
    UNWELL: (BACK, FAILED, FREE),
    GONE: (FREE, WORK, ENDED, FAILED, BACK, UNWELL),
}
IN_ROTATION = (BACK,)  # gets units again, as a cold one
MAX_TRANSITIONS_KEPT = 2000


def is_dispatcher_id(uid: str) -> bool:
    """Works on dispatchers name them so, and no runner is."""
    return uid.startswith("@")


class TransitionRecord(Struct, array_like=True, frozen=True):
    """One step as it was taken."""

    index: int  # in the history
    uid: str
    work: str
    step: str
    by: str  # the dispatcher that led, or the operator
    why: str
    at: int  # wall time of whoever proposed it, ms; told, never compared


class MachineInMaintenance(Struct, array_like=True):
    """One that is on its way from out to well."""

    work: str
    state: str
    out: int  # the index of the step by which it is out; by then units go elsewhere
    last: int  # the index of its last step
    number: int = 0  # under which it was called free, rising with each time in all of the fleet
    by: str = ""  # who runs its command
    life: int = 0  # and in which incarnation
    worked: bool = False  # what was to be done has been done
    also: list[str] = field(default_factory=list)  # earlier works done while it is out
    start: int = 0  # as listed when it went out
    place: tuple[str, str, str, float] = ("", "", "", 1.0)  # zone, kind, cell and size, as listed then
    unwell: bool = False  # found so after it was back: the next step is an operator's
    why: str = ""


class MaintenanceState(Struct, array_like=True):
    """All of it, as a snapshot has it."""

    machines: dict[str, MachineInMaintenance] = field(default_factory=dict)
    completed: dict[str, dict[str, str]] = field(default_factory=dict)  # by work and machine, how it ended
    unhealthy_streaks: dict[str, int] = field(default_factory=dict)  # by work, how many in a row
    halted_jobs: dict[str, str] = field(default_factory=dict)  # works that stopped by themselves, and why
    begun_jobs: list[str] = field(default_factory=list)  # works of which a machine went out
    change_count: int = 0  # machines that went out or came back so far
    latest_wall_ms: int = 0  # the latest wall time that a step was taken at, ms
    transitions: list[TransitionRecord] = field(default_factory=list)

    def apply(self, index: int, data: dict[str, Any], plan: int) -> str:
        """Takes the steps of an entry, or none of those that can't follow; why the first is void.

        `plan` is the newest version of what works there are to be.
        """
        changes, void = self.change_count, ""
        for step in data["steps"]:
            why = self._void_reason(step, changes, plan)
            if why:
                void = void or f"{step['uid']}: {why}"
            else:
                self._apply_transition(index, step)
        return void

    def _void_reason(self, step: dict[str, Any], changes: int, plan: int) -> str:
        machine = self.machines.get(step["uid"])
        state = machine.state if machine else BEGUN
        what = step["step"]
        if what == "halt":
            return ""
        if state not in ALLOWED_FROM.get(what, ()):
            return f"{what} does not follow {state or 'carrying work'}"
        if what == OUT and (step["made_from"] != changes or step["plan"] != plan):
            # Bounds were kept by what was known then, and something else is so by now.
            return "decided before the last change"
        if machine and step.get("last", machine.last) != machine.last:
            return "decided before its last step"
        if machine and step.get("number", machine.number) != machine.number:
            return f"told under number {step['number']}, which is over"
        return ""

    def _apply_transition(self, index: int, step: dict[str, Any]) -> None:
        uid, what, why = step["uid"], step["step"], step.get("why", "")
        self.latest_wall_ms = max(self.latest_wall_ms, step.get("at", 0))
        if what == "halt":
            self.halted_jobs[step["work"]] = why
            self._record(index, step, step["work"])
            return
        if what == OUT:
            self.machines[uid] = MachineInMaintenance(
                step["work"],
                OUT,
                index,
                index,
                start=step.get("start", 0),
                place=tuple(step.get("place", ("", "", "", 1.0))),
            )
            if step["work"] not in self.begun_jobs:
                self.begun_jobs.append(step["work"])
        machine = self.machines[uid]
        machine.state, machine.last, machine.why = what, index, why
        if what == FREE:
            machine.number = index
            if step["work"] != machine.work:  # another work's turn, while it is out anyway
                machine.also.append(machine.work)
                machine.work, machine.worked = step["work"], False
        elif what == WORK:
            machine.by, machine.life = step["by"], step["life"]
        elif what == ENDED:
            machine.worked = True
        elif what == UNWELL:
            self.unhealthy_streaks[machine.work] = self.unhealthy_streaks.get(machine.work, 0) + 1
            machine.out, machine.unwell, machine.worked = index, True, False
        elif what in (WELL, GONE, UNDONE):
            del self.machines[uid]
            if what == WELL:
                self.unhealthy_streaks.pop(machine.work, None)
            for work in [*machine.also, *([machine.work] if what != UNDONE else [])]:
                self.completed.setdefault(work, {})[uid] = what
        if what in (OUT, BACK, UNWELL, WELL, GONE, UNDONE):
            self.change_count += 1
        self._record(index, step, machine.work)

    def _record(self, index: int, step: dict[str, Any], work: str) -> None:
        self.transitions.append(
            TransitionRecord(
                index, step["uid"], work, step["step"], step["by"], step.get("why", ""), step.get("at", 0)
            )
        )
        del self.transitions[:-MAX_TRANSITIONS_KEPT]

    def out_of_rotation(self) -> set[str]:
        """Machines that get no units."""
        return {uid for uid, machine in self.machines.items() if machine.state not in IN_ROTATION}

    def completed_pairs(self) -> set[tuple[str, str]]:
        """Machines that are done with, each with the work that it is done for."""
        return {(uid, work) for work, ended in self.completed.items() for uid in ended}

    def jobs_changed(self, before: dict[str, Any], works: dict[str, Any]) -> None:
        """Another version of the works. One that comes under the name of one that was taken away is new; one
        that was changed goes on, though it had stopped by itself."""
        kept: Sequence[dict[str, Any]] = (self.completed, self.unhealthy_streaks, self.halted_jobs)
        for known in kept:
            for name in [name for name in known if name not in works]:
                del known[name]
        self.begun_jobs = [name for name in self.begun_jobs if name in works]
        for name in [name for name in works if works[name] != before.get(name)]:
            self.halted_jobs.pop(name, None)
            self.unhealthy_streaks.pop(name, None)
