"""The transitions of a machine through maintenance, and their stored form in the replicated log.

`docs/maintenance.md` has the table of transitions. The stored names and the order of the stored keys stay as
they are, so that a log entry has the same bytes whichever version of the program wrote it.
"""

from enum import StrEnum
from typing import Any, Final, NamedTuple

import msgspec
from msgspec import Struct, field


class MaintenancePhase(StrEnum):
    """Where a machine is in maintenance; also the name of the transition that leads there."""

    IN_SERVICE = ""  # not in maintenance at all; never stored
    DRAINING = "out"  # gets no new requests
    DRAINED = "free"  # nobody sends or holds requests there any more
    IN_WORK = "work"
    WORK_DONE = "ended"
    WORK_FAILED = "failed"
    RETURNING = "back"  # gets requests again, and is watched while it warms up
    HEALTHY = "well"  # the end: worked on and back
    UNHEALTHY = "unwell"  # answered badly after its return, and is out again
    REPLACED = "gone"  # the end: another machine came in its place
    CANCELLED = "undone"  # the end: back without having been worked on
    HALTED = "halt"  # of a job, not of a machine: it takes no more machines out


# From where each transition may be made. HEALTHY, REPLACED and CANCELLED end a machine's maintenance.
ALLOWED_FROM: dict[MaintenancePhase, tuple[MaintenancePhase, ...]] = {
    MaintenancePhase.DRAINING: (MaintenancePhase.IN_SERVICE,),
    MaintenancePhase.DRAINED: (
        MaintenancePhase.DRAINING,
        MaintenancePhase.IN_WORK,
        MaintenancePhase.WORK_DONE,
        MaintenancePhase.UNHEALTHY,
    ),
    MaintenancePhase.IN_WORK: (MaintenancePhase.DRAINED,),
    MaintenancePhase.WORK_FAILED: (MaintenancePhase.IN_WORK,),
    MaintenancePhase.WORK_DONE: (
        MaintenancePhase.DRAINED,
        MaintenancePhase.IN_WORK,
        MaintenancePhase.WORK_FAILED,
    ),
    MaintenancePhase.RETURNING: (
        MaintenancePhase.DRAINING,
        MaintenancePhase.DRAINED,
        MaintenancePhase.WORK_DONE,
        MaintenancePhase.WORK_FAILED,
        MaintenancePhase.UNHEALTHY,
    ),
    MaintenancePhase.HEALTHY: (MaintenancePhase.RETURNING,),
    MaintenancePhase.CANCELLED: (MaintenancePhase.RETURNING,),
    MaintenancePhase.UNHEALTHY: (
        MaintenancePhase.RETURNING,
        MaintenancePhase.WORK_FAILED,
        MaintenancePhase.DRAINED,
    ),
    MaintenancePhase.REPLACED: (
        MaintenancePhase.DRAINED,
        MaintenancePhase.IN_WORK,
        MaintenancePhase.WORK_DONE,
        MaintenancePhase.WORK_FAILED,
        MaintenancePhase.RETURNING,
        MaintenancePhase.UNHEALTHY,
    ),
}

_STEP_NAMES: Final = frozenset(phase.value for phase in MaintenancePhase)


class Placement(NamedTuple):
    """What the endpoint list said of a machine when it went out; stored as an array of four."""

    zone: str = ""
    instance_type: str = ""
    cell: str = ""
    size: float = 1.0


class Transition(Struct, frozen=True, kw_only=True):
    """A transition that somebody proposes; it holds once it is committed and does follow.

    Fields that are None are left out of the stored form. The conditions (`last_index`, `drain_number`,
    `change_count`, `jobs_version`) say what the proposer knew: if it is no longer so, the transition is void.
    """

    machine_id: str = field(name="uid")  # "" for a halt, "@name" for a dispatcher
    job: str = field(name="work")
    phase: MaintenancePhase = field(name="step")
    by: str  # the dispatcher that leads or runs the command, or an operator
    reason: str = field(name="why", default="")
    at_ms: int = field(name="at", default=0)  # wall time of the proposer; shown, never compared
    last_index: int | None = field(name="last", default=None)  # of the machine's last transition
    drain_number: int | None = field(name="number", default=None)
    incarnation: int | None = field(name="life", default=None)  # of the process that runs the command
    change_count: int | None = field(name="made_from", default=None)
    jobs_version: int | None = field(name="plan", default=None)
    started_at: int | None = field(name="start", default=None)  # as listed, tenths of a millisecond
    placement: Placement | None = field(name="place", default=None)


# The order of the stored keys, by who proposes.
_DEPARTURE_KEYS: Final = ("step", "by", "made_from", "plan", "why", "uid", "work", "start", "place", "at")
_HALT_KEYS: Final = ("uid", "work", "step", "by", "why", "at")
_COORDINATOR_KEYS: Final = ("uid", "work", "last", "by", "why", "step", "life", "at")
_OPERATOR_KEYS: Final = ("uid", "work", "step", "by", "life", "why", "at", "number")
_OUTCOME_KEYS: Final = ("uid", "work", "step", "number", "by", "why", "at")


def coordinator_document(transition: Transition) -> dict[str, Any]:
    """The stored form of a transition that a coordinator proposes."""
    if transition.phase == MaintenancePhase.DRAINING:
        return _document(transition, _DEPARTURE_KEYS)
    if transition.phase == MaintenancePhase.HALTED:
        return _document(transition, _HALT_KEYS)
    return _document(transition, _COORDINATOR_KEYS)


def operator_document(transition: Transition) -> dict[str, Any]:
    """The stored form of a transition that an operator calls for."""
    return _document(transition, _OPERATOR_KEYS)


def outcome_document(transition: Transition) -> dict[str, Any]:
    """The stored form of the transition by which a dispatcher reports what became of a command."""
    return _document(transition, _OUTCOME_KEYS)


def _document(transition: Transition, keys: tuple[str, ...]) -> dict[str, Any]:
    values = msgspec.to_builtins(transition)
    return {key: values[key] for key in keys if values[key] is not None}


def is_known_step(name: object) -> bool:
    """Whether a stored step name is one that this version of the program knows."""
    return name in _STEP_NAMES


def decode_transition(document: dict[str, Any]) -> Transition:
    """The transition of a stored document.

    Raises:
        msgspec.ValidationError: The document is not a transition.
    """
    return msgspec.convert(document, Transition)
