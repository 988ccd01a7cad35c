"""What a Raft node starts from, and what it hands to its owner to store and to send."""

from enum import StrEnum

from msgspec import Struct, field

from crankfold.consensus.messages import (
    AppendEntriesResponse,
    LogEntry,
    Message,
    RequestVote,
    RequestVoteResponse,
    Snapshot,
)

NOT_SYNCING = -1


class Role(StrEnum):
    """The role of a node in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class PersistentState(Struct):
    """What the storage of a voter holds when the process starts; the fields are those of `Ready`."""

    term: int = 0
    vote: str = ""
    founding_member: bool = False
    snapshot: Snapshot = Snapshot(0, 0, {}, b"")
    entries: list[LogEntry] = field(default_factory=list)


class Ready(Struct):
    """What must be on stable storage, in this order, before any of `messages` is sent.

    Attributes:
        term: The current term.
        vote: Whom this node voted for in it; empty for nobody.
        founding_member: Voted before there was any log.
        hard_state_changed: Whether any of the three above changed since the last one.
        snapshot: If there is one, it replaces the stored snapshot and all stored entries.
        first_index: Where `entries` begin; they replace the stored entries from there on.
        messages: Each with its receiver.
    """

    term: int
    vote: str
    founding_member: bool = False
    hard_state_changed: bool = False
    snapshot: Snapshot | None = None
    first_index: int = 0
    entries: list[LogEntry] = field(default_factory=list)
    messages: list[tuple[str, Message]] = field(default_factory=list)

    def must_sync(self) -> bool:
        """Whether there is anything to store."""
        return self.hard_state_changed or self.snapshot is not None or bool(self.entries)


class ReadyBuilder:
    """Gathers what a node wants stored and sent until its owner takes it.

    Attributes:
        sync_duration: How long the storage took of late, in ticks: the longest, which fades by a quarter
            with each faster one.
        hard_state_unsynced: Whether the present term or vote may not be on stable storage yet.
    """

    def __init__(self, stored: PersistentState) -> None:
        """Starts with nothing to store."""
        self._ready = Ready(stored.term, stored.vote, stored.founding_member)
        self._immediate: list[tuple[str, Message]] = []
        self._sync_started_at = NOT_SYNCING
        self.sync_duration = 0
        self.hard_state_unsynced = False

    @property
    def syncing(self) -> bool:
        """Whether something was taken to be stored, and is not stored yet."""
        return self._sync_started_at != NOT_SYNCING

    def set_hard_state(self, term: int, vote: str, founding_member: bool) -> None:
        """The term or the vote is a new one."""
        self._ready.term = term
        self._ready.vote = vote
        self._ready.founding_member = founding_member
        self._ready.hard_state_changed = True
        self.hard_state_unsynced = True

    def write_entries(self, first_index: int, entries: list[LogEntry]) -> None:
        """The log has `entries` from `first_index` on, and nothing after them."""
        ready = self._ready
        if ready.entries and first_index >= ready.first_index:
            del ready.entries[first_index - ready.first_index :]
            ready.entries += entries
        else:
            ready.first_index = first_index
            ready.entries = list(entries)

    def replace_log(self, snapshot: Snapshot, entries: list[LogEntry]) -> None:
        """The log is this snapshot and the entries after it."""
        self._ready.snapshot = snapshot
        self._ready.first_index = snapshot.index + 1
        self._ready.entries = list(entries)

    def send(self, receiver: str, message: Message) -> None:
        """Queues a message; one that claims something about this node's storage waits for the storage."""
        is_vote = isinstance(message, RequestVote | RequestVoteResponse) and not message.pre_vote
        if is_vote or (isinstance(message, AppendEntriesResponse) and self.hard_state_unsynced):
            self._ready.messages.append((receiver, message))
        else:
            self._immediate.append((receiver, message))

    def send_after_sync(self, receiver: str, message: Message) -> None:
        """Queues a message until what is to be stored is stored."""
        self._ready.messages.append((receiver, message))

    def take_ready(self, now: int) -> Ready:
        """What is to be stored and then sent since the last call."""
        ready = self._ready
        self._ready = Ready(ready.term, ready.vote, ready.founding_member)
        if ready.must_sync():
            self._sync_started_at = now
        return ready

    def take_immediate_messages(self) -> list[tuple[str, Message]]:
        """What may be sent at once, each message with its receiver."""
        messages = self._immediate
        self._immediate = []
        return messages

    def synced(self, now: int) -> None:
        """What was taken last is on stable storage."""
        self.sync_duration = max(now - self._sync_started_at, self.sync_duration * 3 // 4)
        self._sync_started_at = NOT_SYNCING
        self.hard_state_unsynced = self._ready.hard_state_changed
