"""What a simulated cluster goes through: its size, its operators, and its faults, drawn by a seed.

Times are ticks where nothing else is said.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import Any

from crankfold.time_units import MICROSECONDS_PER_TICK, TICKS_PER_SECOND

REQUEST_DEADLINE = 20_000  # of the only request class
TOTAL_QUOTA = 30  # requests that all members together may have in hand
CALM_SECONDS = 2  # without faults, at the end of a drawn case
FAULT_DURATIONS = (20, 300, 1000, 5000, 15_000, 30_000)
# Of faults that hit all links, to draw from; a single one is not drawn.
MAGNITUDES: dict[str, tuple[float, ...]] = {
    "loss": (0.05, 0.3, 0.6),
    "delay": (100, 2000, 8000),
    "double": (0.3,),
}
ANY = ""  # process


class ClusterFaultKind(StrEnum):
    """What goes wrong."""

    LOSS = "loss"  # a share of `magnitude` of the messages from `process` to `receiver` is lost
    DELAY = "delay"  # they take up to `magnitude` longer, drawn for each, so that they overtake one another
    DUPLICATION = "double"  # a share of `magnitude` of all messages comes twice
    PAUSE = "pause"  # `process` stands still
    KILL = "kill"  # it dies, and starts at the end
    WIPE = "wipe"  # it dies and loses what it stored
    SLOW_DISK = "disk"  # what it writes is on the disk at the end


@dataclass(frozen=True, slots=True)
class ClusterFault:
    """A fault from one time to another."""

    kind: ClusterFaultKind
    begin: int
    end: int
    process: str = ANY
    receiver: str = ANY
    magnitude: float = 1.0

    def is_active(self, now: int) -> bool:
        """Whether it lasts at that time."""
        return self.begin <= now < self.end

    def affects(self, sender: str, receiver: str) -> bool:
        """Whether it is a fault of the link between the two."""
        return self.process in (ANY, sender) and self.receiver in (ANY, receiver)


@dataclass(frozen=True, slots=True)
class ClusterCase:
    """A cluster and what it goes through."""

    voter_count: int = 3
    follower_count: int = 2
    seconds: float = 12.0
    seed: int = 1
    publish_every: float = 0.7  # seconds, on average
    publish_until: float = 1e9  # seconds
    allocates_quotas: bool = False  # operators publish quotas drawn at random
    publishes_limits: bool = False  # operators publish limits, which the leader allocates
    with_load: bool = True  # members have requests in hand, counted against their quotas
    staleness_bound: int = 20_000
    faults: tuple[ClusterFault, ...] = ()
    network_delay: int = 4
    disk_write_range: tuple[int, int] = (5, 40)  # what a write takes, from and to
    polls_when_due: bool = False  # a member is told the time only when it asked for that
    clock_drift: float = 0.01  # by which a member's clock runs too fast or too slow, at most

    def process_names(self) -> list[str]:
        """The voters first, then the followers."""
        return _process_names(self.voter_count, self.follower_count)


def settings_document(idempotency: str) -> dict[str, Any]:
    """Settings with one request class of that idempotency, as operators write them."""
    request_class = {
        "name": "g",
        "effect": idempotency,
        "cut-off": REQUEST_DEADLINE * MICROSECONDS_PER_TICK,
        "expected-time": 1000,
    }
    return {"service-grades": [request_class], "allowed": {"most-dispatches": 3}}


def random_scenario(
    seed: int,
    voter_count: int = 3,
    follower_count: int = 2,
    *,
    seconds: float = 12.0,
    allocates_quotas: bool = False,
    publishes_limits: bool = False,
) -> ClusterCase:
    """A case with faults drawn by the seed, the last two seconds without."""
    rng = Random(f"schedule {seed}")
    names = _process_names(voter_count, follower_count)
    end = int((seconds - CALM_SECONDS) * TICKS_PER_SECOND)
    faults: list[ClusterFault] = []
    for _ in range(rng.randrange(2, 9)):
        faults += _draw_faults(rng, names, voter_count, end)
    return ClusterCase(
        voter_count=voter_count,
        follower_count=follower_count,
        seconds=seconds,
        seed=seed,
        faults=_without_overlapping_kills(faults),
        allocates_quotas=allocates_quotas,
        publishes_limits=publishes_limits,
    )


def _process_names(voter_count: int, follower_count: int) -> list[str]:
    voters = [f"v{number}" for number in range(voter_count)]
    return voters + [f"f{number}" for number in range(follower_count)]


def _draw_faults(rng: Random, names: Sequence[str], voter_count: int, last: int) -> list[ClusterFault]:
    """One fault, or those that come together."""
    # Some kinds twice, as they come twice as often; a cut is a loss of all messages, one way or both.
    kind = rng.choice(
        ("loss", "loss", "cut", "cut", "delay", "double", "pause", "pause", "kill", "kill", "disk", "all")
    )
    begin = rng.randrange(5000, last)
    end = min(begin + rng.choice(FAULT_DURATIONS), last + 1)
    process = rng.choice(names)
    receiver = rng.choice(names)
    if kind == "cut":
        faults = [ClusterFault(ClusterFaultKind.LOSS, begin, end, process, rng.choice((receiver, ANY)))]
        if rng.random() < 0.5:
            sender = rng.choice((receiver, ANY))
            faults.append(ClusterFault(ClusterFaultKind.LOSS, begin, end, sender, process))
        return faults
    if kind == "all":
        return [
            ClusterFault(ClusterFaultKind.KILL, begin, end + rng.randrange(3000), name)
            for name in names[:voter_count]
        ]
    if kind in MAGNITUDES:
        magnitude = rng.choice(MAGNITUDES[kind]) if len(MAGNITUDES[kind]) > 1 else MAGNITUDES[kind][0]
        return [ClusterFault(ClusterFaultKind(kind), begin, end, magnitude=magnitude)]
    if kind == "disk":
        process = rng.choice(names[:voter_count])
    return [ClusterFault(ClusterFaultKind(kind), begin, end, process)]


def _without_overlapping_kills(faults: Sequence[ClusterFault]) -> tuple[ClusterFault, ...]:
    """A process that is dead is not killed again."""
    accepted: list[ClusterFault] = []
    for fault in faults:
        is_repeated = fault.kind is ClusterFaultKind.KILL and any(
            other.kind is ClusterFaultKind.KILL
            and other.process == fault.process
            and other.begin <= fault.end
            and fault.begin <= other.end
            for other in accepted
        )
        if not is_repeated:
            accepted.append(fault)
    return tuple(accepted)
