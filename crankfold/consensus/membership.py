"""The lease holders of the other voters, as known from gossip.

Times are ticks of a tenth of a millisecond.
"""

from crankfold.consensus.leases import LeaseHolderState
from crankfold.consensus.messages import LeaseHolderStatus, MembershipGossip


class RemoteLeaseHolders:
    """Stores the newest gossip of each other voter.

    Attributes:
        by_voter: Lease holders, by the voter that sent them; each voter is among its own.
    """

    def __init__(self, max_age: int) -> None:
        """Starts without gossip; gossip older than `max_age` ticks is stale."""
        self._max_age = max_age
        self._received_at: dict[str, int] = {}
        self.by_voter: dict[str, list[LeaseHolderStatus]] = {}

    def record(self, now: int, voter: str, gossip: MembershipGossip) -> None:
        """Stores the gossip of a voter."""
        self.by_voter[voter] = gossip.lease_holders
        self._received_at[voter] = now

    def drop_stale(self, now: int) -> None:
        """Drops stale gossip, because the followers of a silent voter have switched to others."""
        for voter in [
            voter for voter, received_at in self._received_at.items() if now - received_at > self._max_age
        ]:
            del self._received_at[voter]
            del self.by_voter[voter]

    def all(self) -> list[LeaseHolderStatus]:
        """Returns the lease holders of all other voters."""
        return [status for statuses in self.by_voter.values() for status in statuses]

    def alive(self) -> list[LeaseHolderStatus]:
        """Returns the lease holders of other voters that are in contact."""
        return [status for status in self.all() if status.state == LeaseHolderState.ALIVE]

    def has_other_incarnation(self, name: str, incarnation: int) -> bool:
        """Whether another incarnation of a member name is in contact with another voter."""
        return any(status.name == name and status.incarnation != incarnation for status in self.alive())
