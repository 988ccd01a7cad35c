"""The randomized election timer of a Raft node (section 5.2 of the paper).

Times and durations are ticks of a tenth of a millisecond.
"""

from crankfold.consensus.random_numbers import RandomNumbers
from crankfold.consensus.timing import Timing

# Before a vote counts, the candidate and then the voter sync it to stable storage.
SYNCS_PER_VOTE = 2
MAX_SYNC_ALLOWANCE_TIMEOUTS = 6  # in election timeouts


class ElectionTimer:
    """Determines when a node without contact with a leader campaigns.

    Attributes:
        due_at: When the election timeout elapses.
    """

    def __init__(self, timing: Timing, seed: int) -> None:
        """Starts as elapsed; `seed` is the seed of the random part."""
        self._timing = timing
        self._random = RandomNumbers(seed)
        self.due_at = 0

    def reset(self, now: int, *, has_leader: bool, sync_duration: int) -> None:
        """Starts a new timeout at `now`.

        The timeout is one to two election timeouts. Without a leader it is longer by the time that a vote
        takes to reach stable storage: otherwise, no candidate would win an election on slow storage.

        Args:
            now: The current time.
            has_leader: Whether the leader of the term is known.
            sync_duration: The recent duration of a sync to stable storage.
        """
        timeout = self._timing.election_timeout
        allowance = 0
        if not has_leader:
            allowance = min(SYNCS_PER_VOTE * sync_duration, MAX_SYNC_ALLOWANCE_TIMEOUTS * timeout)
        jitter = self._random.below(timeout + allowance)
        self.due_at = now + allowance + timeout + jitter
