"""What a leader knows of the other voters: how far their logs agree with its own, and when they answered."""

from collections.abc import Callable, Collection

ROUNDS_REMEMBERED = 200


def quorum_value(voters: Collection[str], value_of: Callable[[str], int]) -> int:
    """The highest value that a majority of the voters has reached."""
    values = sorted(map(value_of, voters), reverse=True)
    return values[len(values) // 2] if values else 0


class ProgressTracker:
    """Replication progress by voter, and the rounds of broadcasts.

    Attributes:
        next_index: The next entry to send.
        match_index: Up to where the voter's log is known to be durable and to agree.
        round_number: Counts the broadcasts of this term.
    """

    def __init__(self, name: str) -> None:
        """Knows nothing yet; `name` is the leader's own."""
        self.name = name
        self.next_index: dict[str, int] = {}
        self.match_index: dict[str, int] = {}
        self.round_number = 0
        self._round_sent_at: dict[int, int] = {}
        self._acknowledged_round: dict[str, int] = {}

    def reset(self, voters: Collection[str], last_index: int) -> None:
        """A new leader begins."""
        self.next_index = dict.fromkeys(voters, last_index + 1)
        self.match_index = {}
        self.round_number = 0
        self._round_sent_at = {}
        self._acknowledged_round = {}

    def begin_round(self, now: int) -> None:
        """A broadcast goes out at `now`."""
        self.round_number += 1
        self._round_sent_at[self.round_number] = now
        oldest = self.round_number - ROUNDS_REMEMBERED
        for round_number in [number for number in self._round_sent_at if number < oldest]:
            del self._round_sent_at[round_number]

    def acknowledge_round(self, voter: str, round_number: int) -> None:
        """A voter answered a message of that round."""
        self._acknowledged_round[voter] = max(self._acknowledged_round.get(voter, 0), round_number)

    def rejected(self, voter: str, retry_index: int) -> None:
        """A voter's log does not agree; it proposes to try after `retry_index`."""
        previous = self.next_index.get(voter, 1) - 1
        self.next_index[voter] = max(min(retry_index + 1, previous), 1)

    def matched(self, voter: str, match_index: int) -> bool:
        """A voter's log agrees up to `match_index`; returns whether its next entry is a later one now."""
        self.match_index[voter] = max(self.match_index.get(voter, 0), match_index)
        previous = self.next_index.get(voter, 1)
        self.next_index[voter] = max(previous, self.match_index[voter] + 1)
        return self.next_index[voter] > previous

    def quorum_match_index(self, voters: Collection[str], durable_index: int) -> int:
        """The last index that a majority has on stable storage, this node by its `durable_index`."""
        return quorum_value(
            voters, lambda voter: durable_index if voter == self.name else self.match_index.get(voter, 0)
        )

    def quorum_contact_at(self, voters: Collection[str]) -> int:
        """When the newest round was sent that a majority has answered; -1 if there is none.

        Those answers were sent after that time.
        """
        answered = quorum_value(
            voters,
            lambda voter: self.round_number if voter == self.name else self._acknowledged_round.get(voter, 0),
        )
        return self._round_sent_at.get(answered, -1) if answered else -1
