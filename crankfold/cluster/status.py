"""The state of the cluster at one member, as an answer of the admin API, whose keys are used here."""

from typing import Any

from crankfold.consensus.follower import Follower
from crankfold.consensus.leases import LeaseHolderState
from crankfold.consensus.voter import Voter
from crankfold.time_units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND

StatusDocument = dict[str, Any]  # a JSON object with the keys of the admin API

_REPORTED_REMOTE_STATES = (LeaseHolderState.ALIVE, LeaseHolderState.SUSPECTED, LeaseHolderState.EXPIRED)


def cluster_status(
    consensus: Voter | Follower, now: int, *, acts: bool, inactive_reason: str
) -> StatusDocument:
    """Returns the answer of the admin API.

    Args:
        consensus: The state machine of the member.
        now: Ticks.
        acts: Whether the member holds a lease.
        inactive_reason: Why the member does not act on its documents; empty if it does.
    """
    status: StatusDocument = {
        "name": consensus.name,
        "acts": acts,
        "why-not": inactive_reason,
        "applied": consensus.last_applied,
        "lease-ms": max(consensus.lease_expires_at - now, 0) // TICKS_PER_MILLISECOND,
        "versions": {
            name: {"counts": active, "newest": newest}
            for name, (active, newest) in consensus.documents.version_numbers().items()
        },
    }
    if isinstance(consensus, Follower):
        return {**status, "voter": consensus.voter, "leader": ""}
    raft = consensus.raft
    status |= {"leader": raft.leader, "term": raft.term, "voters": dict(raft.voters)}
    if consensus.is_leader():
        status |= _leader_status(consensus, now)
    status["members"] = _own_lease_holders(consensus, now) + _remote_lease_holders(consensus)
    return status


def _leader_status(voter: Voter, now: int) -> StatusDocument:
    raft = voter.raft
    return {
        "leases-ms": {
            name: max(until - now, 0) // TICKS_PER_MILLISECOND
            for name, until in voter.leader_leases.granted_until.items()
        },
        "lag": {
            name: raft.log.last_index() - raft.progress.match_index.get(name, 0)
            for name in raft.voters
            if name != voter.name
        },
    }


def _own_lease_holders(voter: Voter, now: int) -> list[StatusDocument]:
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


def _remote_lease_holders(voter: Voter) -> list[StatusDocument]:
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
