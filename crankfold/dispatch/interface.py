"""The types between the decisions and whatever carries them: no code, no wire.

Times are whole tenths of a millisecond; runners and work units are dense indices given out at the door.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol


class Effect(IntEnum):
    REPEATABLE = 0
    TAGGED = 1
    ONCE_ONLY = 2


class Group(IntEnum):
    ALL = 0
    ZONE = 1
    CELL = 2


class Standing(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class Outcome(IntEnum):
    DONE = 0
    ERROR = 1
    FULL = 2
    LATE = 3
    UNREACHABLE = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7
    UNKNOWN = 8
    WORN = 9  # a connection at rest turned out to be closed: may have run, but says nothing about the runner


@dataclass(frozen=True, slots=True)
class ServiceGrade:
    effect: Effect
    group: Group
    window: int  # how long the group remembers a tagged unit
    expected: int  # the part of the expected time that does not grow with the work
    stretch: float  # the part that does, as a multiple of the work
    cutoff: int
    revenue: float
    tardy: float  # share of the revenue that a late answer still earns


@dataclass(frozen=True, slots=True)
class StandingOrders:
    """What a dispatcher is handed at start; it keeps only what it derives from this."""

    grades: Sequence[ServiceGrade]
    dispatchers: int
    zone: int
    tick: int
    by_work: bool  # revenue counts by work done, not by unit
    worst_grade_care: float  # share of the service that is the worst-served grade's
    may_cancel: bool
    may_probe: bool
    may_copy: bool
    most_dispatches: int
    longest_advice: int  # retry-after advice; 0 where clients hear none
    reports_in_answers: bool
    reports_by_probe: bool
    report_names: Sequence[str]
    tells_start: bool
    progress: int
    must_ask: bool
    ask_within: int
    cold_from: float
    warm_after: int
    overload_factor: float
    overload_for: int
    live_weights: bool = False  # list weights are sizes divided by one more than the units held for each core
    by_key: bool = True  # runners keep the data of a unit's key for the next one that has it
    told_within: int = 1 << 62  # what the list service could tell counts as told then, refused or not
    number: int = -1  # this dispatcher's among all, from 0; -1 where not told


@dataclass(frozen=True, slots=True)
class Listing:
    runner: int
    standing: Standing
    weight: float
    zone: int
    cell: int
    since: int  # when it last started; 0 for long ago
    kind: int = 0  # runners of a kind are alike in their slots
    mark: float = 1.0  # drawn from its id, below 1 and the same at every dispatcher; says nothing else


class Port(Protocol):
    """Where the decisions go."""

    def dispatch(self, unit: int, runner: int, limit: int) -> None: ...
    def shed(self, unit: int, advice: int) -> None: ...
    def give_up(self, unit: int) -> None: ...
    def cancel(self, unit: int, nth: int) -> None: ...
    def wake(self, after: int, label: int) -> None: ...
    def probe(self, runner: int) -> None: ...
    def subscribe(self) -> None: ...


class Dispatching(Protocol):
    """What may be told to the decisions. Every call comes with the present time."""

    def listed(self, now: int, entries: Sequence[Listing], whole: bool) -> None: ...
    def list_failed(self, now: int) -> None: ...
    def taken(self, now: int, unit: int, grade: int, tenant: int, cutoff: int, work: int,
              slots: float, key: int = 0, again: bool = False) -> None: ...
    def started(self, now: int, unit: int, nth: int, runner: int) -> None: ...
    def progressed(self, now: int, unit: int, nth: int, runner: int, share: float) -> None: ...
    def ended(self, now: int, unit: int, nth: int, runner: int, outcome: Outcome, last: bool,
              report: Sequence[float]) -> None: ...
    def probed(self, now: int, runner: int, well: bool, report: Sequence[float]) -> None: ...
    def client_left(self, now: int, unit: int) -> None: ...
    def recalled(self, now: int, unit: int) -> None: ...
    def renewed(self, now: int, orders: StandingOrders, anew: Collection[int] = ()) -> None: ...
    def woken(self, now: int, label: int) -> None: ...
