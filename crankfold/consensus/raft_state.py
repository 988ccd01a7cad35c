"""The persistent state of a Raft node, and the batches of state and messages that it emits."""

from enum import StrEnum
from typing import NamedTuple

from msgspec import Struct, field

from crankfold.consensus.messages import (
    AppendEntriesResponse,
    LogEntry,
    Message,
    RequestVote,
    RequestVoteResponse,
    Snapshot,
)

NOT_SYNCING = -1  # stands for the start time of a sync while none runs
# The recorded duration of a sync decreases by at most a quarter with each sync.
SYNC_DECAY_NUMERATOR = 3
SYNC_DECAY_DENOMINATOR = 4


class Role(StrEnum):
    """The role of a node in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class OutgoingMessage(NamedTuple):
    """A message with the name of its receiver."""

    receiver: str
    message: Message


class PersistentState(Struct):
    """The content of a voter's stable storage when its process starts. `Ready` describes the fields."""

    term: int = 0
    vote: str = ""
    founding_member: bool = False
    snapshot: Snapshot = Snapshot(0, 0, {}, b"")
    entries: list[LogEntry] = field(default_factory=list)


class Ready(Struct):
    """State to write to stable storage, in the order of the fields, and messages to send after the sync.

    Attributes:
        term: The current term.
        vote: The candidate that this node voted for in the term; empty for none.
        founding_member: Whether this node voted while its log was empty.
        hard_state_changed: Whether term, vote or founding_member changed since the previous `Ready`.
        snapshot: The snapshot that replaces the stored snapshot and all stored entries; None for no change.
        first_index: The index of the first of `entries`.
        entries: The entries that replace all stored entries from `first_index` on.
        messages: The messages to send after the sync.
    """

    term: int
    vote: str
    founding_member: bool = False
    hard_state_changed: bool = False
    snapshot: Snapshot | None = None
    first_index: int = 0
    entries: list[LogEntry] = field(default_factory=list)
    messages: list[OutgoingMessage] = field(default_factory=list)

    def must_sync(self) -> bool:
        """Whether there is state to write."""
        return self.hard_state_changed or self.snapshot is not None or bool(self.entries)


class ReadyBuilder:
    """Collects changed state and outgoing messages until the owner takes them.

    Attributes:
        sync_duration: The duration of a sync, in ticks. It rises at once and decreases by at most a quarter
            with each sync.
        hard_state_unsynced: Whether the current term or vote may not be on stable storage yet.
    """

    def __init__(self, stored: PersistentState) -> None:
        """Starts without changes to the stored state."""
        self._ready = Ready(stored.term, stored.vote, stored.founding_member)
        self._immediate: list[OutgoingMessage] = []
        self._sync_started_at = NOT_SYNCING
        self.sync_duration = 0
        self.hard_state_unsynced = False

    @property
    def syncing(self) -> bool:
        """Whether state was taken whose sync is not finished."""
        return self._sync_started_at != NOT_SYNCING

    def set_hard_state(self, term: int, vote: str, founding_member: bool) -> None:
        """Records a changed term, vote or founding membership."""
        self._ready.term = term
        self._ready.vote = vote
        self._ready.founding_member = founding_member
        self._ready.hard_state_changed = True
        self.hard_state_unsynced = True

    def write_entries(self, first_index: int, entries: list[LogEntry]) -> None:
        """Records that `entries` replace all entries from `first_index` on."""
        ready = self._ready
        if ready.entries and first_index >= ready.first_index:
            del ready.entries[first_index - ready.first_index :]
            ready.entries += entries
        else:
            ready.first_index = first_index
            ready.entries = list(entries)

    def replace_log(self, snapshot: Snapshot, entries: list[LogEntry]) -> None:
        """Records that the log consists of a snapshot and the `entries` after it."""
        self._ready.snapshot = snapshot
        self._ready.first_index = snapshot.index + 1
        self._ready.entries = list(entries)

    def send(self, receiver: str, message: Message) -> None:
        """Queues a message; one that depends on this node's stable storage is sent after the sync."""
        is_vote = isinstance(message, RequestVote | RequestVoteResponse) and not message.pre_vote
        if is_vote or (isinstance(message, AppendEntriesResponse) and self.hard_state_unsynced):
            self._ready.messages.append(OutgoingMessage(receiver, message))
        else:
            self._immediate.append(OutgoingMessage(receiver, message))

    def send_after_sync(self, receiver: str, message: Message) -> None:
        """Queues a message that is sent after the next sync."""
        self._ready.messages.append(OutgoingMessage(receiver, message))

    def take_ready(self, now: int) -> Ready:
        """Returns the state and messages collected since the last call."""
        ready = self._ready
        self._ready = Ready(ready.term, ready.vote, ready.founding_member)
        if ready.must_sync():
            self._sync_started_at = now
        return ready

    def take_immediate_messages(self) -> list[OutgoingMessage]:
        """Returns the messages that do not depend on stable storage."""
        messages = self._immediate
        self._immediate = []
        return messages

    def synced(self, now: int) -> None:
        """Records that the state taken last is on stable storage."""
        decayed = self.sync_duration * SYNC_DECAY_NUMERATOR // SYNC_DECAY_DENOMINATOR
        self.sync_duration = max(now - self._sync_started_at, decayed)
        self._sync_started_at = NOT_SYNCING
        self.hard_state_unsynced = self._ready.hard_state_changed
