"""Members and clusters with one fault each, which the checks of the simulated cluster must find."""

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


class AnswersBeforeTheDisk(SimulatedCluster):
    sends_before_write = True


class ForgetsVotes(SimulatedCluster):
    forgets_votes = True


class VotesTwice(Voter):
    def receive(self, now: int, sender: str, message: Message) -> None:
        if isinstance(message, RequestVote) and not message.pre_vote and message.term == self.raft.term:
            self.raft.vote = ""
        super().receive(now, sender, message)


class LeaseFromTheAnswer(Voter):
    def receive(self, now: int, sender: str, message: Message) -> None:
        if isinstance(message, LeaseGrant):
            message = replace(message, request_sent_at=now)
        super().receive(now, sender, message)


class FollowerLeaseFromTheAnswer(Follower):
    def _handle_update(self, now: int, sender: str, update: FollowerUpdate) -> None:
        super()._handle_update(
            now, sender, replace(update, request_sent_at=now) if update.lease_duration else update
        )


class OneUnheard(Voter):
    def applied_bounds(self, now: int) -> AppliedBounds:  # noqa: ARG002 - as the base names it
        return AppliedBounds(self.last_applied, self.quiesced_index())


class LeaderOneUnheard(Voter):
    """Does not wait for a voter that it has not heard of since it leads."""

    def _activate_versions(self, now: int) -> None:
        self.leader_leases.granted_until.pop(min(self.raft.voters), None)
        super()._activate_versions(now)


class OldRead(Voter):
    """Takes a lease for more than it has heard of."""

    def _handle_lease_grant(self, grant: LeaseGrant) -> None:
        sent_at = max(grant.request_sent_at, self.started_at)
        super()._handle_lease_grant(replace(grant, request_sent_at=sent_at, required_index=0))


class TrustingRegistry(FolderRegistry):
    def may_vote(self, log: RaftLog, candidate_last_index: int, founding_member: bool) -> bool:  # noqa: ARG002 - as the base names it
        return True

    def admit(self, log: RaftLog, voter: str, folder_id: str) -> str:  # noqa: ARG002 - as the base names it
        self.folder_ids[voter] = folder_id
        return ""


class VotesWithoutItsFolder(Voter):
    def __init__(self, *args: Any, **keywords: Any) -> None:
        super().__init__(*args, **keywords)
        registry = TrustingRegistry(self.name, keywords["folder_id"], self.documents)
        self.registry = self.raft.registry = registry


class NewLeaderDoesNotWait(Voter):
    def _activate_versions(self, now: int) -> None:
        leader_since = self.raft.leader_since
        self.raft.leader_since -= 2 * self.timing.lease_expiry_wait
        super()._activate_versions(now)
        self.raft.leader_since = leader_since


class AllocatesTwice(Voter):
    """Allocates again what requests in hand still hold."""

    def applied_bounds(self, now: int) -> AppliedBounds:
        bounds = super().applied_bounds(now)
        return AppliedBounds(bounds.lowest_applied, bounds.lowest_applied)


class FollowerAllocatesTwice(Follower):
    def quiesced_index(self) -> int:
        return self.last_applied


def restless(seed: int) -> ClusterCase:
    """Voters die often and are back at once, with disks that take a while and messages that overtake."""
    rng = Random(f"restless {seed}")
    faults = [ClusterFault(ClusterFaultKind.DELAY, 0, 100_000, magnitude=rng.choice((200, 1000)))]
    for voter in ("v0", "v1", "v2"):
        faults += [
            ClusterFault(ClusterFaultKind.SLOW_DISK, at, at + rng.choice((400, 2500)), voter)
            for at in range(rng.randrange(6000), 100_000, 5500)
        ]
        at = rng.randrange(6000, 14_000)
        while at < 100_000:
            down = rng.choice((2, 20, 2000))
            faults.append(ClusterFault(ClusterFaultKind.KILL, at, at + down, voter))
            at += down + rng.randrange(1500, 9000)
    return ClusterCase(follower_count=0, seed=seed, publish_every=0.15, with_load=False, faults=tuple(faults))


def elections(seed: int) -> ClusterCase:
    """All start together, again and again, and messages take a part of an election's time."""
    rng = Random(f"elections {seed}")
    faults = [ClusterFault(ClusterFaultKind.DELAY, 0, 100_000, magnitude=1500)]
    for at in range(9000, 100_000, 9000):
        faults += [
            ClusterFault(ClusterFaultKind.KILL, at, at + 500 + rng.randrange(20), voter)
            for voter in ("v0", "v1", "v2")
        ]
        # Who has voted dies and is back at once.
        back = at + 500 + rng.randrange(3000, 6000)
        faults.append(ClusterFault(ClusterFaultKind.KILL, back, back + 2, rng.choice(("v0", "v1", "v2"))))
    return ClusterCase(
        follower_count=0, seconds=12.0, seed=seed, publish_every=0.3, with_load=False, faults=tuple(faults)
    )


def wiped(seed: int) -> ClusterCase:
    """One is behind, another loses its folder, and the third dies: the two left know less than was agreed."""
    rng = Random(f"wiped {seed}")
    behind, lost, gone = rng.sample(("v0", "v1", "v2"), 3)
    at = rng.randrange(25_000, 40_000)
    faults = (
        ClusterFault(ClusterFaultKind.LOSS, at, at + 20_000, behind),
        ClusterFault(ClusterFaultKind.LOSS, at, at + 20_000, "", behind),
        ClusterFault(ClusterFaultKind.WIPE, at + 19_000, at + 19_500, lost),
        ClusterFault(ClusterFaultKind.KILL, at + 19_100, 95_000, gone),
    )
    return ClusterCase(follower_count=1, seed=seed, publish_every=0.3, with_load=False, faults=faults)


def late_then_cut(seed: int) -> ClusterCase:
    """What is sent to one takes long, and then it is cut off."""
    rng = Random(f"late {seed}")
    faults: list[ClusterFault] = []
    for begin in range(20_000, 100_000, 40_000):
        at = rng.choice(("f0", "v0", "v1", "v2"))
        faults += [
            ClusterFault(ClusterFaultKind.DELAY, begin - 9000, begin, receiver=at, magnitude=8000),
            ClusterFault(ClusterFaultKind.LOSS, begin, begin + 30_000, at),
            ClusterFault(ClusterFaultKind.LOSS, begin, begin + 30_000, "", at),
        ]
    return ClusterCase(follower_count=1, seed=seed, publish_every=0.15, with_load=False, faults=tuple(faults))


def drawn(seed: int) -> ClusterCase:
    return random_scenario(seed, allocates_quotas=seed % 2 == 1)


# The case in which each fault shows, and the violations that count as caught.
CASES: dict[str, tuple[Callable[[int], ClusterCase], str]] = {
    "answers before the disk": (restless, "lost|another history|went back"),
    "forgets a vote at a restart": (elections, "lead in term"),
    "votes twice": (elections, "lead in term"),
    "counts a lease from the answer's arrival": (late_then_cut, "without having heard|ms after"),
    "counts with a follower unheard": (drawn, "without having heard"),
    "counts with a voter unheard": (drawn, "without having heard"),
    "counts before old leases are over": (drawn, "without having heard"),
    "votes without its folder": (wiped, "lost|another history|went back|without having heard"),
    "acts on an old read": (restless, "went back|without having heard|ms after"),
    "deals out a share twice": (drawn, "units in hand of"),
}


def planted_clusters(case: ClusterCase) -> dict[str, Any]:
    """By the name of the fault, how to make a cluster that has it."""
    return {
        "answers before the disk": lambda: AnswersBeforeTheDisk(case),
        "forgets a vote at a restart": lambda: ForgetsVotes(case),
        "votes twice": lambda: SimulatedCluster(case, VotesTwice),
        "counts a lease from the answer's arrival": lambda: SimulatedCluster(
            case, LeaseFromTheAnswer, FollowerLeaseFromTheAnswer
        ),
        "counts with a follower unheard": lambda: SimulatedCluster(case, OneUnheard),
        "counts with a voter unheard": lambda: SimulatedCluster(case, LeaderOneUnheard),
        "counts before old leases are over": lambda: SimulatedCluster(case, NewLeaderDoesNotWait),
        "votes without its folder": lambda: SimulatedCluster(case, VotesWithoutItsFolder),
        "acts on an old read": lambda: SimulatedCluster(case, OldRead),
        "deals out a share twice": lambda: SimulatedCluster(case, AllocatesTwice, FollowerAllocatesTwice),
    }
