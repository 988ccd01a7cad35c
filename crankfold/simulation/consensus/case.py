"""The cases of a simulated cluster: its size, its operators and its faults, drawn at random from a seed.

Times are ticks unless another unit is stated.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import Any

from crankfold.time_units import MICROSECONDS_PER_TICK, TICKS_PER_SECOND

REQUEST_DEADLINE = 20_000  # ticks; of the only request class
LATENCY_OBJECTIVE_US = 1000
MAX_ATTEMPTS = 3
TOTAL_QUOTA = 30  # requests in flight, summed over all members
DEFAULT_SECONDS = 12.0
DEFAULT_VOTERS = 3
DEFAULT_FOLLOWERS = 2
CALM_SECONDS = 2  # a random case has no faults in its last seconds
UNLIMITED_SECONDS = 1e9
MIN_FAULTS = 2
MAX_FAULTS = 8
FIRST_FAULT_TICKS = 5000
FAULT_DURATIONS_TICKS = (20, 300, 1000, 5000, 15_000, 30_000)
MAX_RESTART_DELAY_TICKS = 3000  # of each voter, after the end of a fault that kills all voters
REVERSE_CUT_SHARE = 0.5  # share of the cuts that cut the reverse direction too
# Magnitudes of the faults that affect all links: a share of the messages, or ticks. A single value is used
# without a random draw.
MAGNITUDES: dict[str, tuple[float, ...]] = {
    "loss": (0.05, 0.3, 0.6),
    "delay": (100, 2000, 8000),
    "double": (0.3,),
}
# A kind that is listed twice is twice as likely. A cut loses all messages in one or both directions.
RANDOM_KINDS = (
    *("loss", "loss", "cut", "cut", "delay", "double"),
    *("pause", "pause", "kill", "kill", "disk", "all"),
)
ANY = ""  # matches every process
Document = dict[str, Any]  # the content of a document, in the form that operators publish


class ClusterFaultKind(StrEnum):
    """Kinds of faults."""

    LOSS = "loss"  # drops a share of `magnitude` of the messages from `process` to `receiver`
    DELAY = "delay"  # delays each by a random time up to `magnitude`, which reorders messages
    DUPLICATION = "double"  # delivers a share of `magnitude` of all messages twice
    PAUSE = "pause"  # `process` executes nothing until the end of the fault
    KILL = "kill"  # `process` is killed and starts again at the end of the fault
    WIPE = "wipe"  # as KILL, and its storage is deleted
    SLOW_DISK = "disk"  # the writes of `process` complete at the end of the fault


@dataclass(frozen=True, slots=True)
class ClusterFault:
    """A fault with its start and end, in ticks."""

    kind: ClusterFaultKind
    begin: int
    end: int
    process: str = ANY
    receiver: str = ANY
    magnitude: float = 1.0

    def is_active(self, now: int) -> bool:
        """Whether the fault is in force at `now`."""
        return self.begin <= now < self.end

    def affects(self, sender: str, receiver: str) -> bool:
        """Whether the fault affects the link from `sender` to `receiver`."""
        return self.process in (ANY, sender) and self.receiver in (ANY, receiver)


@dataclass(frozen=True, slots=True)
class ClusterCase:
    """The size, the load and the faults of a cluster."""

    voter_count: int = DEFAULT_VOTERS
    follower_count: int = DEFAULT_FOLLOWERS
    seconds: float = DEFAULT_SECONDS
    seed: int = 1
    publish_every: float = 0.7  # seconds, on average
    publish_until: float = UNLIMITED_SECONDS
    allocates_quotas: bool = False  # operators publish random quotas
    publishes_limits: bool = False  # operators publish limits, which the leader allocates
    with_load: bool = True  # members accept requests, counted against their quotas
    staleness_bound: int = 20_000
    faults: tuple[ClusterFault, ...] = ()
    network_delay: int = 4
    disk_write_range: tuple[int, int] = (5, 40)  # duration of a write; the upper bound is exclusive
    polls_when_due: bool = False  # Member.tick is called only at the member's deadlines
    clock_drift: float = 0.01  # largest deviation of a member's clock rate from 1

    def process_names(self) -> list[str]:
        """Returns the names of all processes, voters first."""
        return _process_names(self.voter_count, self.follower_count)


def settings_document(idempotency: str) -> Document:
    """Returns settings with one request class of this idempotency, as in a settings file."""
    request_class = {
        "name": "g",
        "effect": idempotency,
        "cut-off": REQUEST_DEADLINE * MICROSECONDS_PER_TICK,
        "expected-time": LATENCY_OBJECTIVE_US,
    }
    return {"service-grades": [request_class], "allowed": {"most-dispatches": MAX_ATTEMPTS}}


def random_scenario(
    seed: int,
    voter_count: int = DEFAULT_VOTERS,
    follower_count: int = DEFAULT_FOLLOWERS,
    *,
    seconds: float = DEFAULT_SECONDS,
    allocates_quotas: bool = False,
    publishes_limits: bool = False,
) -> ClusterCase:
    """Returns a case with random faults, which end `CALM_SECONDS` before its end.

    Args:
        seed: The same seed gives the same case.
        voter_count: Voters of the cluster.
        follower_count: Followers of the cluster.
        seconds: Duration of the case.
        allocates_quotas: See `ClusterCase`.
        publishes_limits: See `ClusterCase`.
    """
    names = _process_names(voter_count, follower_count)
    faults = _draw_all_faults(seed, names, voter_count, seconds)
    return ClusterCase(
        voter_count=voter_count,
        follower_count=follower_count,
        seconds=seconds,
        seed=seed,
        faults=_without_overlapping_kills(faults),
        allocates_quotas=allocates_quotas,
        publishes_limits=publishes_limits,
    )


def _draw_all_faults(seed: int, names: Sequence[str], voter_count: int, seconds: float) -> list[ClusterFault]:
    rng = Random(f"schedule {seed}")
    last = int((seconds - CALM_SECONDS) * TICKS_PER_SECOND)
    faults: list[ClusterFault] = []
    for _ in range(rng.randrange(MIN_FAULTS, MAX_FAULTS + 1)):
        faults += _draw_faults(rng, names, voter_count, last)
    return faults


def _process_names(voter_count: int, follower_count: int) -> list[str]:
    voters = [f"v{number}" for number in range(voter_count)]
    return voters + [f"f{number}" for number in range(follower_count)]


def _draw_faults(rng: Random, names: Sequence[str], voter_count: int, last: int) -> list[ClusterFault]:
    """Returns a random fault, or several that start together."""
    kind = rng.choice(RANDOM_KINDS)
    begin = rng.randrange(FIRST_FAULT_TICKS, last)
    end = min(begin + rng.choice(FAULT_DURATIONS_TICKS), last + 1)
    process = rng.choice(names)
    receiver = rng.choice(names)
    if kind == "cut":
        return _draw_cut(rng, begin, end, process=process, receiver=receiver)
    if kind == "all":
        return [
            ClusterFault(ClusterFaultKind.KILL, begin, end + rng.randrange(MAX_RESTART_DELAY_TICKS), name)
            for name in names[:voter_count]
        ]
    if kind in MAGNITUDES:
        magnitude = rng.choice(MAGNITUDES[kind]) if len(MAGNITUDES[kind]) > 1 else MAGNITUDES[kind][0]
        return [ClusterFault(ClusterFaultKind(kind), begin, end, magnitude=magnitude)]
    if kind == "disk":
        process = rng.choice(names[:voter_count])
    return [ClusterFault(ClusterFaultKind(kind), begin, end, process)]


def _draw_cut(rng: Random, begin: int, end: int, *, process: str, receiver: str) -> list[ClusterFault]:
    faults = [ClusterFault(ClusterFaultKind.LOSS, begin, end, process, rng.choice((receiver, ANY)))]
    if rng.random() < REVERSE_CUT_SHARE:
        sender = rng.choice((receiver, ANY))
        faults.append(ClusterFault(ClusterFaultKind.LOSS, begin, end, sender, process))
    return faults


def _without_overlapping_kills(faults: Sequence[ClusterFault]) -> tuple[ClusterFault, ...]:
    """Removes each kill of a process that overlaps an earlier kill of it."""
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
