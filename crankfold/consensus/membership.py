"""Who holds leases from the other voters, by their gossip."""

from crankfold.consensus.leases import LeaseHolderState
from crankfold.consensus.messages import LeaseHolderStatus, MembershipGossip


class RemoteLeaseHolders:
    """The newest gossip of each other voter.

    Attributes:
        by_voter: Lease holders by the voter that gossiped of them, the voter itself among them.
    """

    def __init__(self, max_age: int) -> None:
        """Forgets what is older than `max_age` ticks when `drop_stale` is called."""
        self._max_age = max_age
        self._received_at: dict[str, int] = {}
        self.by_voter: dict[str, list[LeaseHolderStatus]] = {}

    def record(self, now: int, voter: str, gossip: MembershipGossip) -> None:
        """Takes the gossip of a voter."""
        self.by_voter[voter] = gossip.lease_holders
        self._received_at[voter] = now

    def drop_stale(self, now: int) -> None:
        """Drops the gossip of voters that are silent for long: their followers have switched to others."""
        for voter in [voter for voter, at in self._received_at.items() if now - at > self._max_age]:
            del self._received_at[voter]
            del self.by_voter[voter]

    def all(self) -> list[LeaseHolderStatus]:
        """All lease holders of other voters."""
        return [status for statuses in self.by_voter.values() for status in statuses]

    def alive(self) -> list[LeaseHolderStatus]:
        """The lease holders that other voters see alive."""
        return [status for status in self.all() if status.state == LeaseHolderState.ALIVE]

    def has_other_incarnation(self, name: str, incarnation: int) -> bool:
        """Whether another incarnation of that name is alive at another voter."""
        return any(status.name == name and status.incarnation != incarnation for status in self.alive())
