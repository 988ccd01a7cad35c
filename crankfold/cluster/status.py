"""The state of the cluster at one member, with the keys of the admin API."""

from typing import NotRequired, TypedDict

from crankfold.consensus.follower import Follower
from crankfold.consensus.leases import LeaseHolderState
from crankfold.consensus.voter import Voter
from crankfold.time_units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND


class VersionNumbers(TypedDict):
    """The numbers of a document's versions."""

    counts: int  # the active one; 0 for none
    newest: int


MemberDocument = TypedDict(
    "MemberDocument",
    {
        "name": str,
        "state": str,  # a `LeaseHolderState`
        "incarnation": int,
        "for-s": int,  # seconds since the first contact with it
        "heard-ms-ago": NotRequired[int],  # since the last contact; only the voter in `at` knows it
        "lag": int,  # the number of entries that it has not applied yet
        "at": str,  # the voter that granted its lease
    },
)
"""A lease holder."""

StatusDocument = TypedDict(
    "StatusDocument",
    {
        "name": str,
        "acts": bool,  # whether the member holds a lease
        "why-not": str,  # the reason why it does not act on its documents; empty if it does
        "applied": int,  # log index
        "lease-ms": int,  # until its lease expires
        "versions": dict[str, VersionNumbers],  # by document
        "voter": NotRequired[str],  # given by a follower: the voter that grants its lease
        "leader": NotRequired[str],  # empty if unknown
        "term": NotRequired[int],  # this and the following keys are given by voters only
        "voters": NotRequired[dict[str, str]],  # addresses by name
        "leases-ms": NotRequired[dict[str, int]],  # given by the leader: until the lease expires, by voter
        "lag": NotRequired[dict[str, int]],  # given by the leader: entries not replicated yet, by voter
        "members": NotRequired[list[MemberDocument]],
    },
)
"""A JSON object with the keys of the admin API."""

_REPORTED_REMOTE_STATES = (LeaseHolderState.ALIVE, LeaseHolderState.SUSPECTED, LeaseHolderState.EXPIRED)


def cluster_status(
    consensus: Voter | Follower, now: int, *, acts: bool, inactive_reason: str
) -> StatusDocument:
    """Returns the state of the cluster in the form of the admin API.

    Args:
        consensus: The state machine of the member.
        now: The current time, in ticks.
        acts: Whether the member holds a lease.
        inactive_reason: Why the member does not act on its documents; empty if it does.
    """
    status: StatusDocument = {
        "name": consensus.name,
        "acts": acts,
        "why-not": inactive_reason,
        "applied": consensus.last_applied,
        "lease-ms": max(consensus.lease_expires_at - now, 0) // TICKS_PER_MILLISECOND,
        "versions": _document_versions(consensus),
    }
    if isinstance(consensus, Follower):
        return {**status, "voter": consensus.voter, "leader": ""}
    status["leader"] = consensus.raft.leader
    status["term"] = consensus.raft.term
    status["voters"] = dict(consensus.raft.voters)
    if consensus.is_leader():
        status["leases-ms"] = _granted_leases(consensus, now)
        status["lag"] = _replication_lag(consensus)
    status["members"] = _own_lease_holders(consensus, now) + _remote_lease_holders(consensus)
    return status


def _document_versions(consensus: Voter | Follower) -> dict[str, VersionNumbers]:
    return {
        name: {"counts": active, "newest": newest}
        for name, (active, newest) in consensus.documents.version_numbers().items()
    }


def _granted_leases(leader: Voter, now: int) -> dict[str, int]:
    """The milliseconds until each lease that the leader granted expires, by voter."""
    return {
        name: max(until - now, 0) // TICKS_PER_MILLISECOND
        for name, until in leader.leader_leases.granted_until.items()
    }


def _replication_lag(leader: Voter) -> dict[str, int]:
    """The number of entries that are not replicated yet, by voter."""
    raft = leader.raft
    return {
        name: raft.log.last_index() - raft.progress.match_index.get(name, 0)
        for name in raft.voters
        if name != leader.name
    }


def _own_lease_holders(voter: Voter, now: int) -> list[MemberDocument]:
    return [
        {
            "name": name,
            "state": voter.leases.state_of(now, holder),
            "incarnation": holder.incarnation,
            "for-s": (now - holder.first_contact_at) // TICKS_PER_SECOND,
            "heard-ms-ago": (now - holder.last_contact_at) // TICKS_PER_MILLISECOND,
            "lag": max(voter.last_applied - holder.last_applied, 0),
            "at": voter.name,
        }
        for name, holder in sorted(voter.leases.holders.items())
    ]


def _remote_lease_holders(voter: Voter) -> list[MemberDocument]:
    return [
        {
            "name": status.name,
            "state": status.state,
            "incarnation": status.incarnation,
            "for-s": status.contact_ticks // TICKS_PER_SECOND,
            "lag": max(voter.last_applied - status.last_applied, 0),
            "at": other,
        }
        for other, statuses in sorted(voter.remote_lease_holders.by_voter.items())
        for status in statuses
        if status.state in _REPORTED_REMOTE_STATES and status.name != other
    ]
