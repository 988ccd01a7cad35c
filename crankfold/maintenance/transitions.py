"""The transitions of a machine through maintenance, and their stored form in the replicated log.

`docs/maintenance.md` has the table of transitions. Stored names and the order of stored keys are a file
format: every version of the program writes the same bytes for the same log entry.
"""

from enum import StrEnum
from typing import Any, Final, NamedTuple

import msgspec
from msgspec import Struct, field

TransitionDocument = dict[str, Any]
"""The stored form of a transition. A plain dictionary, as the order of its keys differs by proposer."""


class MaintenancePhase(StrEnum):
    """The phase of a machine in maintenance, also the transition into that phase. Values are stored."""

    IN_SERVICE = ""  # not in maintenance; never stored
    DRAINING = "out"  # gets no new requests
    DRAINED = "free"  # no member sends requests to it or has one in flight there
    IN_WORK = "work"
    WORK_DONE = "ended"
    WORK_FAILED = "failed"
    RETURNING = "back"  # gets requests again, and is watched while it warms up
    HEALTHY = "well"  # final: in service again after the work
    UNHEALTHY = "unwell"  # responded badly after its return, so it is drained again
    REPLACED = "gone"  # final: another machine replaces it
    CANCELLED = "undone"  # final: in service again without work
    HALTED = "halt"  # a transition of a job, not of a machine: the job drains no more machines


# Phases of a machine that is drained and on which no work runs.
_IDLE_PHASES: Final = (
    MaintenancePhase.DRAINED,
    MaintenancePhase.WORK_DONE,
    MaintenancePhase.WORK_FAILED,
    MaintenancePhase.UNHEALTHY,
)

# The phases from which each transition is allowed. HEALTHY, REPLACED and CANCELLED are final.
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
    MaintenancePhase.RETURNING: (MaintenancePhase.DRAINING, *_IDLE_PHASES),
    MaintenancePhase.HEALTHY: (MaintenancePhase.RETURNING,),
    MaintenancePhase.CANCELLED: (MaintenancePhase.RETURNING,),
    MaintenancePhase.UNHEALTHY: (
        MaintenancePhase.RETURNING,
        MaintenancePhase.WORK_FAILED,
        MaintenancePhase.DRAINED,
    ),
    MaintenancePhase.REPLACED: (MaintenancePhase.IN_WORK, MaintenancePhase.RETURNING, *_IDLE_PHASES),
}

_PHASE_NAMES: Final = frozenset(phase.value for phase in MaintenancePhase)


class Placement(NamedTuple):
    """The listed attributes of a machine when it was drained; stored as an array of four."""

    zone: str = ""
    instance_type: str = ""
    cell: str = ""
    size: float = 1.0


class Transition(Struct, frozen=True, kw_only=True):
    """A proposed transition. It takes effect when it is committed, if its conditions hold then.

    The conditions are `last_index`, `drain_number`, `change_count` and `jobs_version`: the state that the
    proposer decided on. Fields that are None are left out of the stored form.
    """

    machine_id: str = field(name="uid")  # empty for a halt, "@name" for a dispatcher
    job: str = field(name="work")
    phase: MaintenancePhase = field(name="step")
    by: str  # the leading or executing dispatcher, or an operator
    reason: str = field(name="why", default="")
    at_ms: int = field(name="at", default=0)  # wall time of the proposer; shown, never compared
    last_index: int | None = field(name="last", default=None)  # of the machine's last transition
    drain_number: int | None = field(name="number", default=None)
    incarnation: int | None = field(name="life", default=None)  # of the process that runs the command
    change_count: int | None = field(name="made_from", default=None)
    jobs_version: int | None = field(name="plan", default=None)
    started_at: int | None = field(name="start", default=None)  # as listed, in ticks
    placement: Placement | None = field(name="place", default=None)


# The order of the stored keys, by proposer.
_DEPARTURE_KEYS: Final = ("step", "by", "made_from", "plan", "why", "uid", "work", "start", "place", "at")
_HALT_KEYS: Final = ("uid", "work", "step", "by", "why", "at")
_COORDINATOR_KEYS: Final = ("uid", "work", "last", "by", "why", "step", "life", "at")
_OPERATOR_KEYS: Final = ("uid", "work", "step", "by", "life", "why", "at", "number")
_OUTCOME_KEYS: Final = ("uid", "work", "step", "number", "by", "why", "at")


def coordinator_document(transition: Transition) -> TransitionDocument:
    """Returns the stored form of a transition that the coordinator proposes."""
    if transition.phase == MaintenancePhase.DRAINING:
        return _document(transition, _DEPARTURE_KEYS)
    if transition.phase == MaintenancePhase.HALTED:
        return _document(transition, _HALT_KEYS)
    return _document(transition, _COORDINATOR_KEYS)


def operator_document(transition: Transition) -> TransitionDocument:
    """Returns the stored form of a transition that an operator requests."""
    return _document(transition, _OPERATOR_KEYS)


def outcome_document(transition: Transition) -> TransitionDocument:
    """Returns the stored form of the outcome of a command, which its executor proposes."""
    return _document(transition, _OUTCOME_KEYS)


def _document(transition: Transition, keys: tuple[str, ...]) -> TransitionDocument:
    values = msgspec.to_builtins(transition)
    return {key: values[key] for key in keys if values[key] is not None}


def is_known_step(name: object) -> bool:
    """Whether this version of the program defines the stored name of a phase."""
    return name in _PHASE_NAMES


def decode_transition(document: TransitionDocument) -> Transition:
    """Decodes the stored form of a transition.

    Raises:
        msgspec.ValidationError: The document is not a stored transition.
    """
    return msgspec.convert(document, Transition)
