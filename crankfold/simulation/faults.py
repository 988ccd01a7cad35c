"""Faults as data: what goes wrong, when, and whom it hits. The world carries them out."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from random import Random


class FaultKind(StrEnum):
    SLOW = "slow"  # runs take `factor` times as long
    HANG = "hang"  # runners take units and say nothing more
    ERRORS = "errors"  # a share of `factor` of the units fails after a moment
    DEAD = "dead"  # nobody there, though listed
    ZONE_LOSS = "lost-zone"  # all runners of `zone` are gone, what ran there is reset; back cold
    ROLLING_RELEASE = "release"  # runners are replaced one after the other, and are cold then
    DISPATCHERS_KILLED = "kill"  # dispatchers are killed together, and start again from nothing
    STALE_REPORTS = "late-reports"  # reports stay as they were
    BURST = "burst"  # `factor` times as many units
    DISPATCHERS_STALLED = "stall"  # dispatchers stand still: what comes meanwhile is told them at the end
    DISCOVERY_DOWN = "lists-down"  # what changes is told only at the end
    SILENT_WATCH = "silent-watch"  # watches of dispatchers fall silent; these hear changes `factor` s later
    CLIENTS_LEAVE = "leave"  # a share of the clients goes `factor` tenths of a second after it came


@dataclass(frozen=True, slots=True)
class Fault:
    """Times in seconds from the start of the day."""

    kind: FaultKind
    at: float
    until: float
    share: float = 0.2  # of the runners, or of the dispatchers where it hits those
    zone: int = 0
    factor: float = 4.0


def affected_indices(fault: Fault, seed: int, count: int) -> Sequence[int]:
    """Whom it hits: drawn from the seed and the fault, the same ones for every policy."""
    many = min(max(round(fault.share * count), 1), count)
    return sorted(Random(f"{seed} {fault.kind} {fault.at}").sample(range(count), many))
