"""The log of one Raft node: a snapshot and the entries after it."""

from crankfold.consensus.errors import MembershipChangeError
from crankfold.consensus.log_entries import EntryKind, voters_of
from crankfold.consensus.messages import LogEntry, Snapshot
from crankfold.consensus.raft_state import PersistentState

NO_TERM = -1  # of an index that the log does not hold


class RaftLog:
    """Entries by index, the first index being 1.

    Attributes:
        snapshot: Replaces the entries up to its index.
        entries: Those after the snapshot.
        voters: Addresses by name, by the newest change in the log, committed or not.
        durable_index: Up to here the log is on this node's stable storage.
    """

    def __init__(self, stored: PersistentState, initial_voters: dict[str, str]) -> None:
        """Starts from stable storage; `initial_voters` count where nothing is stored yet."""
        has_snapshot = bool(stored.snapshot.index or stored.snapshot.voters)
        self.snapshot = stored.snapshot if has_snapshot else Snapshot(0, 0, initial_voters, b"")
        self.entries = list(stored.entries)
        self.voters = self._latest_voters()
        self.durable_index = self.last_index()

    def last_index(self) -> int:
        """The index of the last entry; 0 if there is none."""
        return self.snapshot.index + len(self.entries)

    def last_term(self) -> int:
        """The term of the last entry; 0 if there is none."""
        return self.term_at(self.last_index())

    def is_up_to_date(self, last_term: int, last_index: int) -> bool:
        """Whether a log with that last entry has everything that this one may have committed."""
        return (last_term, last_index) >= (self.last_term(), self.last_index())

    def term_at(self, index: int) -> int:
        """The term of the entry at `index`; `NO_TERM` where the log does not hold it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last_index():
            return self.entries[index - self.snapshot.index - 1].term
        return NO_TERM

    def entries_between(self, after: int, upto: int) -> list[LogEntry]:
        """The entries after the index `after`, up to and with `upto`, as far as they are held."""
        first = max(after - self.snapshot.index, 0)
        end = max(upto - self.snapshot.index, 0)
        return self.entries[first:end]

    def _latest_voters(self) -> dict[str, str]:
        for entry in reversed(self.entries):
            if entry.kind == EntryKind.CHANGE_VOTERS:
                return voters_of(entry)
        return self.snapshot.voters

    def check_voter_change(self, voters: dict[str, str], commit_index: int) -> None:
        """Checks that `voters` may be the next ones: one added or removed, with no other change under way.

        Raises:
            MembershipChangeError: They may not.
        """
        uncommitted = self.entries_between(commit_index, self.last_index())
        if any(entry.kind == EntryKind.CHANGE_VOTERS for entry in uncommitted):
            raise MembershipChangeError("another change of the voters is under way")
        if len(set(voters) ^ set(self.voters)) > 1:
            raise MembershipChangeError("one voter at a time")
        if not voters:
            raise MembershipChangeError("nobody would be left")

    def count_agreeing(self, prev_index: int, entries: list[LogEntry]) -> int:
        """How many of the entries after `prev_index` the log holds already, from the first on."""
        for offset, entry in enumerate(entries):
            if self.term_at(prev_index + 1 + offset) != entry.term:
                return offset
        return len(entries)

    def write(self, first_index: int, entries: list[LogEntry]) -> None:
        """Puts `entries` at `first_index`; whatever stood there and after it is dropped."""
        offset = first_index - self.snapshot.index - 1
        replaces = len(self.entries) > offset
        del self.entries[offset:]
        self.entries += entries
        self.durable_index = min(self.durable_index, first_index - 1)
        if replaces or any(entry.kind == EntryKind.CHANGE_VOTERS for entry in entries):
            self.voters = self._latest_voters()

    def compact(self, index: int, state: bytes) -> None:
        """Replaces the entries up to the committed `index` by a snapshot of `state`."""
        # By what is committed up to there, not by a change that may still be replaced.
        voters = self.snapshot.voters
        for entry in self.entries_between(self.snapshot.index, index):
            if entry.kind == EntryKind.CHANGE_VOTERS:
                voters = voters_of(entry)
        snapshot = Snapshot(index, self.term_at(index), voters, state)
        del self.entries[: index - self.snapshot.index]
        self._set_snapshot(snapshot)

    def install(self, snapshot: Snapshot) -> None:
        """Takes a leader's snapshot; entries after it stay if the log agrees with it."""
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
        """`entries` are on stable storage from `first_index` on; those replaced meanwhile do not count."""
        index = first_index + len(entries) - 1
        while index >= first_index and self.term_at(index) != entries[index - first_index].term:
            index -= 1
        if index >= first_index:
            self.durable_index = max(self.durable_index, min(index, self.last_index()))

    def synced_snapshot(self, snapshot: Snapshot) -> None:
        """`snapshot` is on stable storage."""
        if self.snapshot.index >= snapshot.index:
            self.durable_index = max(self.durable_index, min(snapshot.index, self.last_index()))

    def retry_index(self, prev_index: int, prev_term: int, commit_index: int) -> int:
        """From where a leader should try after a mismatch at `prev_index`: whole terms are skipped."""
        index = min(self.last_index(), prev_index - 1)
        conflicting_term = self.term_at(index)
        if conflicting_term > prev_term:
            while index > commit_index and self.term_at(index) == conflicting_term:
                index -= 1
        return max(index, commit_index)
