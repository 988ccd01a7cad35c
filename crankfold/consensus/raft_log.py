"""The log of one Raft node: a snapshot and the entries after it."""

from crankfold.consensus.errors import MembershipChangeError
from crankfold.consensus.log_entries import EntryKind, voters_of
from crankfold.consensus.messages import LogEntry, Snapshot
from crankfold.consensus.raft_state import PersistentState

NO_TERM = -1  # stands for the term of an index that is not in the log


class RaftLog:
    """Entries by index. The first index is 1.

    Attributes:
        snapshot: The state that replaces the entries up to its index.
        entries: The entries after the snapshot.
        voters: Addresses by name, as of the newest change in the log, committed or not.
        durable_index: The last index on this node's stable storage.
    """

    def __init__(self, stored: PersistentState, initial_voters: dict[str, str]) -> None:
        """Starts from stable storage; `initial_voters` are the voters of an empty log."""
        has_snapshot = bool(stored.snapshot.index or stored.snapshot.voters)
        self.snapshot = stored.snapshot if has_snapshot else Snapshot(0, 0, initial_voters, b"")
        self.entries = list(stored.entries)
        self.voters = self._latest_voters()
        self.durable_index = self.last_index()

    def last_index(self) -> int:
        """Returns the index of the last entry; 0 for an empty log."""
        return self.snapshot.index + len(self.entries)

    def last_term(self) -> int:
        """Returns the term of the last entry; 0 for an empty log."""
        return self.term_at(self.last_index())

    def is_up_to_date(self, last_term: int, last_index: int) -> bool:
        """Whether a log with that last entry is at least as up to date as this one (section 5.4.1)."""
        return (last_term, last_index) >= (self.last_term(), self.last_index())

    def term_at(self, index: int) -> int:
        """Returns the term of the entry at `index`; `NO_TERM` for an index that is not in the log."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last_index():
            return self.entries[index - self.snapshot.index - 1].term
        return NO_TERM

    def entries_between(self, after: int, up_to: int) -> list[LogEntry]:
        """Returns the entries above index `after` and up to index `up_to`, without compacted ones."""
        first = max(after - self.snapshot.index, 0)
        end = max(up_to - self.snapshot.index, 0)
        return self.entries[first:end]

    def _latest_voters(self) -> dict[str, str]:
        for entry in reversed(self.entries):
            if entry.kind == EntryKind.CHANGE_VOTERS:
                return voters_of(entry)
        return self.snapshot.voters

    def check_voter_change(self, voters: dict[str, str], commit_index: int) -> None:
        """Checks that a change of the voters is permitted (section 4.1 of the dissertation).

        Args:
            voters: Addresses by name after the change.
            commit_index: The highest committed index.

        Raises:
            MembershipChangeError: Another change is uncommitted, more than one voter changes, or no voter
                is left.
        """
        uncommitted = self.entries_between(commit_index, self.last_index())
        if any(entry.kind == EntryKind.CHANGE_VOTERS for entry in uncommitted):
            raise MembershipChangeError("another change of the voters is under way")
        if len(set(voters) ^ set(self.voters)) > 1:
            raise MembershipChangeError("one voter at a time")
        if not voters:
            raise MembershipChangeError("nobody would be left")

    def count_agreeing(self, prev_index: int, entries: list[LogEntry]) -> int:
        """Returns the number of leading `entries` that the log already has after `prev_index`."""
        for offset, entry in enumerate(entries):
            if self.term_at(prev_index + 1 + offset) != entry.term:
                return offset
        return len(entries)

    def after_snapshot(self, prev_index: int, entries: list[LogEntry]) -> list[LogEntry]:
        """Returns the part of `entries`, which follow `prev_index`, that the snapshot does not replace."""
        return entries[max(self.snapshot.index - prev_index, 0) :]

    def write(self, first_index: int, entries: list[LogEntry]) -> None:
        """Replaces all entries from `first_index` on with `entries`."""
        offset = first_index - self.snapshot.index - 1
        replaces = len(self.entries) > offset
        del self.entries[offset:]
        self.entries += entries
        self.durable_index = min(self.durable_index, first_index - 1)
        if replaces or any(entry.kind == EntryKind.CHANGE_VOTERS for entry in entries):
            self.voters = self._latest_voters()

    def compact(self, index: int, state: bytes) -> None:
        """Replaces the entries up to the committed `index` with a snapshot of `state`."""
        # A change of the voters after `index` may be uncommitted, so it is not part of the snapshot.
        voters = self.snapshot.voters
        for entry in self.entries_between(self.snapshot.index, index):
            if entry.kind == EntryKind.CHANGE_VOTERS:
                voters = voters_of(entry)
        snapshot = Snapshot(index, self.term_at(index), voters, state)
        del self.entries[: index - self.snapshot.index]
        self._set_snapshot(snapshot)

    def install(self, snapshot: Snapshot) -> None:
        """Installs a leader's snapshot; keeps the entries after it if the log matches it."""
        if self.term_at(snapshot.index) == snapshot.term:
            del self.entries[: snapshot.index - self.snapshot.index]
        else:
            self.entries = []
        self._set_snapshot(snapshot)
        self.durable_index = min(self.durable_index, self.last_index())

    def _set_snapshot(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.voters = self._latest_voters()

    def synced_entries(self, first_index: int, entries: list[LogEntry]) -> None:
        """Records that `entries` from `first_index` on are on stable storage, except for replaced ones."""
        index = first_index + len(entries) - 1
        while index >= first_index and self.term_at(index) != entries[index - first_index].term:
            index -= 1
        if index >= first_index:
            self.durable_index = max(self.durable_index, min(index, self.last_index()))

    def synced_snapshot(self, snapshot: Snapshot) -> None:
        """Records that `snapshot` is on stable storage."""
        if self.snapshot.index >= snapshot.index:
            self.durable_index = max(self.durable_index, min(snapshot.index, self.last_index()))

    def retry_index(self, prev_index: int, prev_term: int, commit_index: int) -> int:
        """Returns the next `prev_log_index` that a leader tries after a mismatch.

        Skips all entries of a conflicting term at once (section 5.3 of the paper).

        Args:
            prev_index: The index of the mismatch.
            prev_term: The term of the leader's entry at that index.
            commit_index: The highest committed index, up to which the logs match.
        """
        index = min(self.last_index(), prev_index - 1)
        conflicting_term = self.term_at(index)
        if conflicting_term > prev_term:
            while index > commit_index and self.term_at(index) == conflicting_term:
                index -= 1
        return max(index, commit_index)
