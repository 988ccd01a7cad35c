"""A leader's view of the other voters: replication progress and acknowledged heartbeat rounds."""

from collections.abc import Callable, Collection

ROUNDS_RETAINED = 200  # number of rounds whose send times are retained


def quorum_value(voters: Collection[str], value_of: Callable[[str], int]) -> int:
    """Returns the highest value that a majority of the voters has reached; 0 without voters."""
    values = sorted(map(value_of, voters), reverse=True)
    return values[len(values) // 2] if values else 0


class ProgressTracker:
    """Tracks replication progress and acknowledged rounds by voter. A round is one AppendEntries broadcast.

    Attributes:
        name: The name of this node, which is the leader while progress is tracked.
        next_index: The index of the next entry to send, by voter.
        match_index: The highest index that is durable and matches the leader's log, by voter.
        round_number: The number of the newest round of this term; 0 for none.
    """

    def __init__(self, name: str) -> None:
        """Starts without progress; `name` is the name of this node."""
        self.name = name
        self.next_index: dict[str, int] = {}
        self.match_index: dict[str, int] = {}
        self.round_number = 0
        self._round_sent_at: dict[int, int] = {}
        self._acknowledged_round: dict[str, int] = {}

    def reset(self, voters: Collection[str], last_index: int) -> None:
        """Starts a term as leader, with `last_index` as the end of the leader's log."""
        self.next_index = dict.fromkeys(voters, last_index + 1)
        self.match_index = {}
        self.round_number = 0
        self._round_sent_at = {}
        self._acknowledged_round = {}

    def begin_round(self, now: int) -> None:
        """Starts a round at `now`."""
        self.round_number += 1
        self._round_sent_at[self.round_number] = now
        oldest = self.round_number - ROUNDS_RETAINED
        for round_number in [number for number in self._round_sent_at if number < oldest]:
            del self._round_sent_at[round_number]

    def acknowledge_round(self, voter: str, round_number: int) -> None:
        """Records that a voter responded to a message of that round."""
        self._acknowledged_round[voter] = max(self._acknowledged_round.get(voter, 0), round_number)

    def record_mismatch(self, voter: str, retry_index: int) -> None:
        """Records that the logs differ; the voter requests `retry_index` as the next `prev_log_index`."""
        previous = self.next_index.get(voter, 1) - 1
        self.next_index[voter] = max(min(retry_index + 1, previous), 1)

    def record_match(self, voter: str, match_index: int) -> bool:
        """Records that a voter's log matches up to `match_index`; returns whether `next_index` rose."""
        self.match_index[voter] = max(self.match_index.get(voter, 0), match_index)
        previous = self.next_index.get(voter, 1)
        self.next_index[voter] = max(previous, self.match_index[voter] + 1)
        return self.next_index[voter] > previous

    def quorum_match_index(self, voters: Collection[str], durable_index: int) -> int:
        """Returns the highest index that a majority has on stable storage.

        Args:
            voters: Names of the voters.
            durable_index: The last index on the leader's own stable storage.
        """
        return quorum_value(
            voters, lambda voter: durable_index if voter == self.name else self.match_index.get(voter, 0)
        )

    def quorum_contact_at(self, voters: Collection[str]) -> int:
        """Returns when the newest round that a majority has acknowledged was sent; -1 for none.

        The responses were sent after that time, so the majority was in contact then.
        """
        acknowledged_round = quorum_value(
            voters,
            lambda voter: self.round_number if voter == self.name else self._acknowledged_round.get(voter, 0),
        )
        return self._round_sent_at.get(acknowledged_round, -1) if acknowledged_round else -1
