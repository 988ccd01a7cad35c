"""Members and clusters with one fault each, which the invariants of the simulated cluster must detect."""

from collections.abc import Callable
from random import Random
from typing import Any

from msgspec.structs import replace

from crankfold.consensus.follower import Follower
from crankfold.consensus.leases import AppliedBounds
from crankfold.consensus.messages import FollowerUpdate, LeaseGrant, Message, RequestVote
from crankfold.consensus.raft_log import RaftLog
from crankfold.consensus.voter import Voter
from crankfold.consensus.voter_registry import FolderRegistry
from crankfold.simulation.consensus.cluster import (
    ClusterCase,
    ClusterFault,
    ClusterFaultKind,
    SimulatedCluster,
    random_scenario,
)


class SendingBeforeWriteCluster(SimulatedCluster):
    sends_before_write = True


class VoteLosingCluster(SimulatedCluster):
    forgets_votes = True


class DoubleVotingVoter(Voter):
    def receive(self, now: int, sender: str, message: Message) -> None:
        if isinstance(message, RequestVote) and not message.pre_vote and message.term == self.raft.term:
            self.raft.vote = ""
        super().receive(now, sender, message)


class LateLeaseStartVoter(Voter):
    def receive(self, now: int, sender: str, message: Message) -> None:
        if isinstance(message, LeaseGrant):
            message = replace(message, request_sent_at=now)
        super().receive(now, sender, message)


class LateLeaseStartFollower(Follower):
    def _handle_update(self, now: int, sender: str, update: FollowerUpdate) -> None:
        super()._handle_update(
            now, sender, replace(update, request_sent_at=now) if update.lease_duration else update
        )


class FollowerIgnoringVoter(Voter):
    def applied_bounds(self, now: int) -> AppliedBounds:  # noqa: ARG002 - the signature of the base class
        return AppliedBounds(self.last_applied, self.quiesced_index())


class VoterIgnoringLeader(Voter):
    """As the leader, does not wait until the first of the voters has applied a version."""

    def _activate_versions(self, now: int) -> None:
        self.leader_leases.granted_until.pop(min(self.raft.voters), None)
        super()._activate_versions(now)


class StaleLeaseVoter(Voter):
    """Accepts a lease that an earlier process requested, or whose required entries it has not applied."""

    def _handle_lease_grant(self, grant: LeaseGrant) -> None:
        sent_at = max(grant.request_sent_at, self.started_at)
        super()._handle_lease_grant(replace(grant, request_sent_at=sent_at, required_index=0))


class PermissiveRegistry(FolderRegistry):
    def may_vote(self, log: RaftLog, candidate_last_index: int, founding_member: bool) -> bool:  # noqa: ARG002 - the signature of the base class
        return True

    def admit(self, log: RaftLog, voter: str, folder_id: str) -> str:  # noqa: ARG002 - the signature of the base class
        self.folder_ids[voter] = folder_id
        return ""


class UnregisteredVoter(Voter):
    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        registry = PermissiveRegistry(self.name, kwargs["folder_id"], self.documents)
        self.registry = self.raft.registry = registry


class EarlyActivatingLeader(Voter):
    def _activate_versions(self, now: int) -> None:
        leader_since = self.raft.leader_since
        self.raft.leader_since -= 2 * self.timing.lease_expiry_wait
        super()._activate_versions(now)
        self.raft.leader_since = leader_since


class DoubleAllocatingVoter(Voter):
    """Activates an allocation although open requests may still exceed the new quotas."""

    def applied_bounds(self, now: int) -> AppliedBounds:
        bounds = super().applied_bounds(now)
        return AppliedBounds(bounds.lowest_applied, bounds.lowest_applied)


class DoubleAllocatingFollower(Follower):
    def quiesced_index(self) -> int:
        return self.last_applied


def frequent_restarts(seed: int) -> ClusterCase:
    """Voters are killed often and restart soon, on slow disks and with reordered messages."""
    rng = Random(f"restless {seed}")  # the text determines the random faults and so has to stay
    faults = [ClusterFault(ClusterFaultKind.DELAY, 0, 100_000, magnitude=rng.choice((200, 1000)))]
    for voter in ("v0", "v1", "v2"):
        faults += [
            ClusterFault(ClusterFaultKind.SLOW_DISK, begin, begin + rng.choice((400, 2500)), voter)
            for begin in range(rng.randrange(6000), 100_000, 5500)
        ]
        begin = rng.randrange(6000, 14_000)
        while begin < 100_000:
            downtime = rng.choice((2, 20, 2000))
            faults.append(ClusterFault(ClusterFaultKind.KILL, begin, begin + downtime, voter))
            begin += downtime + rng.randrange(1500, 9000)
    return ClusterCase(follower_count=0, seed=seed, publish_every=0.15, with_load=False, faults=tuple(faults))


def simultaneous_elections(seed: int) -> ClusterCase:
    """All voters restart together several times; message delays reach about half an election timeout."""
    rng = Random(f"elections {seed}")
    faults = [ClusterFault(ClusterFaultKind.DELAY, 0, 100_000, magnitude=1500)]
    for begin in range(9000, 100_000, 9000):
        faults += [
            ClusterFault(ClusterFaultKind.KILL, begin, begin + 500 + rng.randrange(20), voter)
            for voter in ("v0", "v1", "v2")
        ]
        # A voter that may have voted in the election is killed and restarts at once.
        kill_at = begin + 500 + rng.randrange(3000, 6000)
        faults.append(
            ClusterFault(ClusterFaultKind.KILL, kill_at, kill_at + 2, rng.choice(("v0", "v1", "v2")))
        )
    return ClusterCase(
        follower_count=0, seconds=12.0, seed=seed, publish_every=0.3, with_load=False, faults=tuple(faults)
    )


def wiped_folder(seed: int) -> ClusterCase:
    """One voter lags, another loses its folder and the third is killed: the others lack committed entries."""
    rng = Random(f"wiped {seed}")
    lagging, wiped, killed = rng.sample(("v0", "v1", "v2"), 3)
    begin = rng.randrange(25_000, 40_000)
    faults = (
        ClusterFault(ClusterFaultKind.LOSS, begin, begin + 20_000, lagging),
        ClusterFault(ClusterFaultKind.LOSS, begin, begin + 20_000, "", lagging),
        ClusterFault(ClusterFaultKind.WIPE, begin + 19_000, begin + 19_500, wiped),
        ClusterFault(ClusterFaultKind.KILL, begin + 19_100, 95_000, killed),
    )
    return ClusterCase(follower_count=1, seed=seed, publish_every=0.3, with_load=False, faults=faults)


def delay_then_partition(seed: int) -> ClusterCase:
    """Messages to one member are delayed, and then the member is partitioned from all others."""
    rng = Random(f"late {seed}")
    faults: list[ClusterFault] = []
    for begin in range(20_000, 100_000, 40_000):
        member = rng.choice(("f0", "v0", "v1", "v2"))
        faults += [
            ClusterFault(ClusterFaultKind.DELAY, begin - 9000, begin, receiver=member, magnitude=8000),
            ClusterFault(ClusterFaultKind.LOSS, begin, begin + 30_000, member),
            ClusterFault(ClusterFaultKind.LOSS, begin, begin + 30_000, "", member),
        ]
    return ClusterCase(follower_count=1, seed=seed, publish_every=0.15, with_load=False, faults=tuple(faults))


def random_case(seed: int) -> ClusterCase:
    return random_scenario(seed, allocates_quotas=seed % 2 == 1)


# By fault: the case that exposes it, and a pattern of the violations that prove its detection.
DETECTION_CASES: dict[str, tuple[Callable[[int], ClusterCase], str]] = {
    "sends messages before the write": (frequent_restarts, "lost|another history|went back"),
    "loses its vote at a restart": (simultaneous_elections, "lead in term"),
    "votes twice in a term": (simultaneous_elections, "lead in term"),
    "counts a lease from the arrival of the grant": (delay_then_partition, "without having heard|ms after"),
    "activates a version without waiting for followers": (random_case, "without having heard"),
    "activates a version without waiting for a voter": (random_case, "without having heard"),
    "activates a version before earlier leases expire": (random_case, "without having heard"),
    "votes with an unregistered folder": (
        wiped_folder,
        "lost|another history|went back|without having heard",
    ),
    "accepts a lease without the required entries": (
        frequent_restarts,
        "went back|without having heard|ms after",
    ),
    "allocates quotas that are still in use": (random_case, "requests in flight of"),
}


def cluster_factories(case: ClusterCase) -> dict[str, Any]:
    """Returns by fault a function that makes a cluster with that fault."""
    return {
        "sends messages before the write": lambda: SendingBeforeWriteCluster(case),
        "loses its vote at a restart": lambda: VoteLosingCluster(case),
        "votes twice in a term": lambda: SimulatedCluster(case, DoubleVotingVoter),
        "counts a lease from the arrival of the grant": lambda: SimulatedCluster(
            case, LateLeaseStartVoter, LateLeaseStartFollower
        ),
        "activates a version without waiting for followers": lambda: SimulatedCluster(
            case, FollowerIgnoringVoter
        ),
        "activates a version without waiting for a voter": lambda: SimulatedCluster(
            case, VoterIgnoringLeader
        ),
        "activates a version before earlier leases expire": lambda: SimulatedCluster(
            case, EarlyActivatingLeader
        ),
        "votes with an unregistered folder": lambda: SimulatedCluster(case, UnregisteredVoter),
        "accepts a lease without the required entries": lambda: SimulatedCluster(case, StaleLeaseVoter),
        "allocates quotas that are still in use": lambda: SimulatedCluster(
            case, DoubleAllocatingVoter, DoubleAllocatingFollower
        ),
    }
