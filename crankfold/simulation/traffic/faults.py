"""Faults as data: what goes wrong, when, and what it hits. The fleet carries them out."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from random import Random


class FaultKind(StrEnum):
    """What goes wrong, by the names that experiments use."""

    SLOW = "slow"  # backends take `factor` times as long
    HANG = "hang"  # backends accept requests and answer nothing more
    ERRORS = "errors"  # a share of `factor` of the requests fails after a moment
    DEAD = "dead"  # nobody listens, though listed
    ZONE_LOSS = "lost-zone"  # all backends of `zone` are gone, what ran there is reset; back cold
    ROLLING_RELEASE = "release"  # backends are replaced one after the other, and are cold then
    DISPATCHERS_KILLED = "kill"  # dispatchers are killed together, and start again from nothing
    STALE_REPORTS = "late-reports"  # load reports stay as they were
    BURST = "burst"  # `factor` times as many requests
    DISPATCHERS_STALLED = "stall"  # dispatchers stand still, and learn at the end what happened meanwhile
    DISCOVERY_DOWN = "lists-down"  # changes are told only at the end
    SILENT_WATCH = "silent-watch"  # watches of dispatchers fall silent; these learn changes `factor` s later
    CLIENTS_LEAVE = "leave"  # a share of the clients goes `factor` tenths of a second after the request


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault from one time to another, in seconds from the start of the day."""

    kind: FaultKind
    at: float
    until: float
    share: float = 0.2  # of the backends, or of the dispatchers where it hits those
    zone: int = 0
    factor: float = 4.0


def affected_indices(fault: Fault, seed: int, count: int) -> Sequence[int]:
    """Which of `count` it hits: drawn from the seed and the fault, the same ones for every policy."""
    affected = min(max(round(fault.share * count), 1), count)
    return sorted(Random(f"{seed} {fault.kind} {fault.at}").sample(range(count), affected))
