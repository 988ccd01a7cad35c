"""Works as operators hand them in, checked as a whole."""

from collections.abc import Sequence
from typing import Annotated, Any, Final, Literal

import msgspec
from msgspec import Meta, Struct, field

from crankfold.maintenance.scheduler import Machine, MaintenanceJob, infeasibility_reason

Fraction = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=0)]
Seconds = Annotated[float, Meta(ge=0)]
GO: Final = "go"
STOPPED: Final = "stop"
BY_HAND: Final = "hand"
BY_COMMAND: Final = "command"
BY_LIST: Final = "list"
MAX_JOBS = 100


class JobSpecification(Struct, rename="kebab", forbid_unknown_fields=True):
    """One work. `docs/works.md` explains each key."""

    why: Annotated[str, Meta(max_length=500)] = ""
    of: Literal["runners", "dispatchers"] = "runners"
    machines: list[str] = field(default_factory=list)
    zones: list[str] = field(default_factory=list)
    kinds: list[str] = field(default_factory=list)
    cells: list[str] = field(default_factory=list)
    listed_before: Count = 0  # ms since the epoch, as lists tell starts
    at_once: Annotated[int, Meta(ge=1)] = 1
    a_zone: Count = 0
    a_kind: Count = 0
    a_cell: Count = 0
    stays: Fraction = 0.5
    stays_in_zone: Fraction = 0.0
    not_before: Count = 0  # ms since the epoch
    not_after: Count = 0
    after: list[str] = field(default_factory=list)
    alone: list[str] = field(default_factory=list)
    shares: bool = True  # a machine that is out may be worked on by another work too, before it comes back
    way: Literal["hand", "command", "list"] = BY_HAND
    command: list[str] = field(default_factory=list)
    again: bool = False  # the command may be run again where nobody knows whether it has run
    takes: Annotated[float, Meta(gt=0)] = 600.0
    not_back: Literal["hold", "go-on", "give-up"] = "hold"
    watch: Seconds = 5.0
    least_answers: Count = 5
    well: Fraction = 0.9  # share of the answers that are good, for a machine to be called well
    most_unwell: Annotated[int, Meta(ge=1)] = 2  # in a row, then the work stops by itself
    shed_over: Fraction = 0.05
    carries: Seconds = 0.0  # units that a listed size of 1 has in hand at once; 0 if that is not known
    state: Literal["go", "hold", "stop"] = GO
    called: Count = 0  # how often it was called to go on, hold or stop

    def to_job(self, name: str) -> MaintenanceJob:
        uids = self.machines if self.of == "runners" else [f"@{name}" for name in self.machines]
        return MaintenanceJob(
            name,
            frozenset(uids),
            frozenset(self.zones),
            frozenset(self.kinds),
            frozenset(self.cells),
            self.listed_before * 10,
            self.at_once,
            self.a_zone,
            self.a_kind,
            self.a_cell,
            self.stays,
            self.stays_in_zone,
            self.not_before,
            self.not_after,
            frozenset(self.alone),
            frozenset(self.after),
        )


class JobsDocument(Struct, forbid_unknown_fields=True):
    works: dict[Annotated[str, Meta(pattern="^[A-Za-z0-9._-]{1,60}$")], JobSpecification] = field(
        default_factory=dict
    )


def parse_jobs(text: dict[str, Any]) -> dict[str, JobSpecification]:
    """A ValueError says what can't be used, with its path."""
    return msgspec.convert(text, JobsDocument).works


def validation_error(text: dict[str, Any], before: dict[str, Any], machines: Sequence[Machine]) -> str:
    """Why these works could not be carried out, with path, found and allowed; or nothing. `before` is the
    text of the version before, `machines` are the runners by the list, if there is one."""
    try:
        works, known = parse_jobs(text), parse_jobs(before)
    except ValueError as wrong:
        return str(wrong)
    if len(works) > MAX_JOBS:
        return f"works: found {len(works)}; {MAX_JOBS} at most"
    for name, given in works.items():
        for what in ("after", "alone"):
            for other in getattr(given, what):
                if other not in works or other == name:
                    return f"works.{name}.{what}: found {other!r}; another of the works handed in"
        if bool(given.command) != (given.way == BY_COMMAND):
            return f"works.{name}.command: found {len(given.command)} words; for way command, and only there"
        # A work that goes on was checked when it was handed in; its machines may be gone by now.
        new = (
            name not in known
            or msgspec.structs.replace(known[name], state=given.state, called=given.called) != given
        )
        if given.of == "runners" and new and machines:
            why = infeasibility_reason(given.to_job(name), machines)
            if why:
                return f"works.{name}: could never go on: {why}"
        ring = _find_cycle(works, name, [])
        if ring:
            return f"works.{name}.after: comes after itself: {' after '.join(ring)}"
    return ""


def _find_cycle(works: dict[str, JobSpecification], name: str, before: list[str]) -> list[str]:
    """The works that wait for one another, if this one is among them."""
    if name in before:
        return [*before, name] if name == before[0] else []
    for other in works[name].after:
        ring = _find_cycle(works, other, [*before, name])
        if ring:
            return ring
    return []
