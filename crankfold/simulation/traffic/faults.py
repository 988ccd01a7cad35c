"""Faults of a simulated fleet: kind, time and affected parts. `fault_script` injects them."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from random import Random


class FaultKind(StrEnum):
    """Kinds of faults; the values are the names in experiment files."""

    SLOW = "slow"  # service times of backends are multiplied by `factor`
    HANG = "hang"  # backends accept requests and never respond
    ERRORS = "errors"  # backends respond with an error to a share of `factor` of the requests
    DEAD = "dead"  # backends refuse connections but stay in discovery
    ZONE_LOSS = "lost-zone"  # all backends of `zone` reset their requests and return in slow start
    ROLLING_RELEASE = "release"  # backends are replaced one at a time; replacements are in slow start
    DISPATCHERS_KILLED = "kill"  # dispatchers are killed together and restart without state
    STALE_REPORTS = "late-reports"  # load reports are not refreshed
    BURST = "burst"  # the arrival rate is multiplied by `factor`
    DISPATCHERS_STALLED = "stall"  # dispatchers process no events until the fault ends
    DISCOVERY_DOWN = "lists-down"  # discovery publishes no changes until the fault ends
    SILENT_WATCH = "silent-watch"  # watches of dispatchers deliver changes `factor` seconds late
    CLIENTS_LEAVE = "leave"  # a share of the clients disconnects `factor` tenths of a second after sending


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault with its start and end, in seconds from the start of the scenario."""

    kind: FaultKind
    at: float
    until: float
    share: float = 0.2  # of the backends, of the dispatchers or of the clients, as the kind affects them
    zone: int = 0
    factor: float = 4.0  # the unit depends on the kind


def affected_indices(fault: Fault, seed: int, count: int) -> Sequence[int]:
    """Returns the random indices below `count` that a fault affects, the same for the same seed and fault."""
    affected = min(max(round(fault.share * count), 1), count)
    return sorted(Random(f"{seed} {fault.kind} {fault.at}").sample(range(count), affected))
