"""One history of entries among voters: Raft, with pre-vote, check of the majority, snapshots and single
changes of the voters (Ongaro and Ousterhout 2014; Ongaro's dissertation, 4.1, 5, 6.4, 9.6).

It reads no clock and touches no disk. What it wants kept and sent is taken as a `Batch`: all of it has to
be on the disk before any of `send` leaves, and then `kept` is called. Only what is on the own disk counts
towards a majority. What claims nothing of the disk is taken by `take_early`.
"""

from collections.abc import Callable, Iterable
from typing import Any

from msgspec import Struct, field

from crankfold.consensus.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    LogEntry,
    Message,
    RequestVote,
    RequestVoteResponse,
    Snapshot,
    Timing,
)

MAX_ENTRIES_PER_APPEND = 64  # entries in one message
FOLLOWER, CANDIDATE, LEADER = "following", "standing", "leading"


class Ready(Struct):
    """In this order: `whole` replaces all, entries from `first` on replace what stood there."""

    term: int
    vote: str
    founded: bool = False
    turned: bool = False  # term or vote are new
    whole: Snapshot | None = None
    first: int = 0
    entries: list[LogEntry] = field(default_factory=list)
    send: list[tuple[str, Message]] = field(default_factory=list)

    def must_sync(self) -> bool:
        return self.turned or self.whole is not None or bool(self.entries)


class PersistentState(Struct):
    """What a voter's folder holds at its start."""

    term: int = 0
    vote: str = ""
    founded: bool = False  # took part in an election before there was any history
    kept: Snapshot = Snapshot(0, 0, {}, b"")
    entries: list[LogEntry] = field(default_factory=list)


def _any(last: int) -> bool:
    return True


def _none(names: set[str]) -> dict[str, str]:
    return {}


class Raft:
    def __init__(
        self, me: str, stored: PersistentState, voters: dict[str, str], timing: Timing, now: int, seed: int
    ) -> None:
        self.name, self.timing, self.random_state = me, timing, seed & 0xFFFFFFFFFFFFFFFF
        self.term, self.vote, self.founding_member = stored.term, stored.vote, stored.founded
        self.snapshot = (
            stored.kept if stored.kept.index or stored.kept.voters else Snapshot(0, 0, voters, b"")
        )
        self.entries = list(stored.entries)
        self.voters = self._latest_voters()
        self.commit_index = self.snapshot.index
        self.durable_index = self.last_index()
        self.role, self.leader = FOLLOWER, ""
        self.leader_contact_at = (
            now - timing.election_timeout * 2
        )  # of a leader; nobody is protected at the start
        self.votes_granted: set[str] = set()
        self.pre_vote = False
        self.next_index: dict[str, int] = {}
        self.match_index: dict[str, int] = {}
        self.round_number, self.round_sent_at = 0, dict[int, int]()
        self.acked_round: dict[str, int] = {}
        self.leader_since, self.term_start_index = 0, 0
        self.cluster_applied_index = 0  # up to here all act that may act, as far as is known here
        self.heartbeat_due_at, self.election_due_at = now, 0
        self.pending_ready = Ready(self.term, self.vote, self.founding_member)
        self.sync_started_at, self.sync_duration = (
            -1,
            0,
        )  # when what is being kept was taken; how long that took of late
        self.hard_state_unsynced = False  # the present term or vote is not on the disk yet
        self.immediate_messages: list[tuple[str, Message]] = []  # what need not wait for the disk
        # Whether this voter may take part in an election of one whose log is so long; its folder may be new.
        self.may_vote: Callable[[int], bool] = _any
        self.folder_ids_of: Callable[[set[str]], dict[str, str]] = _none
        self._reset_election_timer(now)

    # --- the log ---

    def last_index(self) -> int:
        return self.snapshot.index + len(self.entries)

    def term_at(self, index: int) -> int:
        """-1 where the log does not reach."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last_index():
            return self.entries[index - self.snapshot.index - 1].term
        return -1

    def entries_between(self, after: int, upto: int) -> list[LogEntry]:
        return self.entries[max(after - self.snapshot.index, 0) : max(upto - self.snapshot.index, 0)]

    def _latest_voters(self) -> dict[str, str]:
        """By the newest change in the log, agreed or not."""
        for entry in reversed(self.entries):
            if entry.kind == "voters":
                return dict(entry.data["voters"])
        return self.snapshot.voters

    def _write_entries(self, first: int, entries: list[LogEntry]) -> None:
        """From index `first` on; what stood there is replaced."""
        at = first - self.snapshot.index - 1
        changed = len(self.entries) > at or any(e.kind == "voters" for e in entries)
        del self.entries[at:]
        self.entries += entries
        self.durable_index = min(self.durable_index, first - 1)
        if changed:
            self.voters = self._latest_voters()
        if self.pending_ready.entries and first >= self.pending_ready.first:
            del self.pending_ready.entries[first - self.pending_ready.first :]
            self.pending_ready.entries += entries
        else:
            self.pending_ready.first, self.pending_ready.entries = first, list(entries)

    def compact(self, index: int, state: bytes) -> None:
        """What was applied up to `index` needs its entries no longer."""
        if index <= self.snapshot.index:
            return
        # By what is agreed up to there, not by a change that may still be replaced.
        voters = self.snapshot.voters
        for entry in self.entries_between(self.snapshot.index, index):
            if entry.kind == "voters":
                voters = dict(entry.data["voters"])
        kept = Snapshot(index, self.term_at(index), voters, state)
        del self.entries[: index - self.snapshot.index]
        self._adopt_snapshot(kept)

    def _adopt_snapshot(self, kept: Snapshot) -> None:
        self.snapshot, self.voters = kept, kept.voters
        self.voters = self._latest_voters()
        self.pending_ready.whole, self.pending_ready.first, self.pending_ready.entries = (
            kept,
            kept.index + 1,
            list(self.entries),
        )

    # --- time ---

    def _random_below(self, below: int) -> int:
        self.random_state = (
            self.random_state * 6364136223846793005 + 1442695040888963407
        ) & 0xFFFFFFFFFFFFFFFF
        return ((self.random_state >> 33) * below) >> 31

    def _reset_election_timer(self, now: int) -> None:
        # A vote takes the candidate's disk and the voter's: elections shorter than these are never won.
        longer = min(2 * self.sync_duration, 6 * self.timing.election_timeout) if not self.leader else 0
        self.election_due_at = (
            now
            + longer
            + self.timing.election_timeout
            + self._random_below(self.timing.election_timeout + longer)
        )

    def next_deadline(self) -> int:
        return self.heartbeat_due_at if self.role == LEADER else self.election_due_at

    def tick(self, now: int) -> None:
        if self.role == LEADER:
            if not self._quorum_active(now):
                self._become_follower(
                    now, self.term, ""
                )  # who hears no majority must not be taken for the leader
            elif now >= self.heartbeat_due_at:
                self._broadcast(now)
        elif now >= self.election_due_at and self.name in self.voters and self.sync_started_at < 0:
            if self.may_vote(self.last_index()):
                self._campaign(now, True)
            else:
                self._reset_election_timer(now)

    def _quorum_active(self, now: int) -> bool:
        since = max(self.quorum_contact_at(), self.leader_since)
        return now - since < 2 * self.timing.election_timeout

    def _quorum_value(self, figure: Callable[[str], int]) -> int:
        """The most that a majority of the voters has got to."""
        figures = sorted(map(figure, self.voters), reverse=True)
        return figures[len(figures) // 2] if figures else 0

    def quorum_contact_at(self) -> int:
        """When the newest round was sent that a majority has answered; all that they say was said after."""
        least = self._quorum_value(
            lambda v: self.round_number if v == self.name else self.acked_round.get(v, 0)
        )
        return self.round_sent_at.get(least, -1) if least else -1

    # --- elections ---

    def _set_hard_state(self, term: int, vote: str) -> None:
        self.term, self.vote = term, vote
        self.founding_member = self.founding_member or bool(vote) and not self.last_index()
        self.pending_ready.term, self.pending_ready.vote, self.pending_ready.turned = term, vote, True
        self.pending_ready.founded = self.founding_member
        self.hard_state_unsynced = True

    def _become_follower(self, now: int, term: int, leader: str) -> None:
        if term > self.term:
            self._set_hard_state(term, "")
        self.role, self.leader = FOLLOWER, leader
        self._reset_election_timer(now)

    def _campaign(self, now: int, trial: bool) -> None:
        """A trial first: one that a flapping link keeps cutting off must not raise the term of all others."""
        self.role, self.leader, self.pre_vote, self.votes_granted = CANDIDATE, "", trial, {self.name}
        if not trial:
            self._set_hard_state(self.term + 1, self.name)
        self._reset_election_timer(now)
        ask = RequestVote(self.term + trial, self.last_index(), self.term_at(self.last_index()), trial)
        self._send_to_all(ask)
        self._check_votes(now)

    def _is_majority(self, names: Iterable[str]) -> bool:
        return 2 * len(set(names) & self.voters.keys()) > len(self.voters)

    def _check_votes(self, now: int) -> None:
        if self.role != CANDIDATE or not self._is_majority(self.votes_granted):
            return
        if self.pre_vote:
            self._campaign(now, False)
            return
        self.role, self.leader, self.leader_since = LEADER, self.name, now
        self.next_index = {v: self.last_index() + 1 for v in self.voters}
        self.match_index, self.acked_round, self.round_sent_at, self.round_number = {}, {}, {}, 0
        self.term_start_index = self.last_index() + 1
        begin: dict[str, Any] = {"by": self.name}
        if self.term_start_index == 1:
            begin["folders"] = self.folder_ids_of(
                self.votes_granted
            )  # or those that made the first majority had no vote
        self._write_entries(self.term_start_index, [LogEntry(self.term, "begin", begin)])
        self._broadcast(now)

    def _handle_request_vote(self, now: int, sender: str, ask: RequestVote) -> None:
        mine = self.term_at(self.last_index()), self.last_index()
        fit = (ask.last_log_term, ask.last_log_index) >= mine and self.may_vote(ask.last_log_index)
        # Who hears a leader lets nobody else stand.
        led = (
            self.role == LEADER or self.leader and now - self.leader_contact_at < self.timing.election_timeout
        )
        if ask.pre_vote:
            self.send(sender, RequestVoteResponse(ask.term, True, fit and not led and ask.term > self.term))
            return
        if led and ask.term > self.term:
            return
        if ask.term > self.term:
            self._become_follower(now, ask.term, "")
        yes = ask.term == self.term and fit and self.vote in ("", sender)
        if yes:
            if not self.vote:
                self._set_hard_state(self.term, sender)
            self._reset_election_timer(now)
        self.send(sender, RequestVoteResponse(self.term, False, yes))

    # --- replication ---

    def propose(self, now: int, kind: str, data: dict[str, Any]) -> int:
        """The index at which it will stand if it is agreed; 0 where not leading."""
        if self.role != LEADER:
            return 0
        self._write_entries(self.last_index() + 1, [LogEntry(self.term, kind, data)])
        self._broadcast(now)
        return self.last_index()

    def change_voters(self, now: int, voters: dict[str, str]) -> str:
        """One added or taken out at a time, each agreed before the next; else why not."""
        if self.role != LEADER or self.commit_index < self.term_start_index:
            return "no leader with a majority here"
        if any(e.kind == "voters" for e in self.entries_between(self.commit_index, self.last_index())):
            return "another change of the voters is under way"
        if len(set(voters) ^ set(self.voters)) > 1:
            return "one voter at a time"
        if not voters:
            return "nobody would be left"
        for new in voters.keys() - self.voters.keys():
            self.next_index[new] = self.last_index() + 1
        self.propose(now, "voters", {"voters": voters})
        return ""

    def _broadcast(self, now: int) -> None:
        self.round_number += 1
        self.round_sent_at[self.round_number] = now
        for old in [r for r in self.round_sent_at if r < self.round_number - 200]:
            del self.round_sent_at[old]
        self.heartbeat_due_at = now + self.timing.heartbeat_interval
        for voter in self.voters:
            if voter != self.name:
                self._send_append(voter)

    def _send_append(self, voter: str) -> None:
        first = self.next_index.setdefault(voter, self.last_index() + 1)
        if first <= self.snapshot.index:
            self.send(voter, InstallSnapshot(self.term, self.snapshot, self.round_number))
            return
        before = first - 1
        entries = self.entries_between(before, before + MAX_ENTRIES_PER_APPEND)
        self.send(
            voter,
            AppendEntries(
                self.term,
                before,
                self.term_at(before),
                entries,
                self.commit_index,
                self.round_number,
                self.cluster_applied_index,
            ),
        )

    def _handle_append_entries(self, now: int, sender: str, told: AppendEntries) -> None:
        if told.prev_log_index < self.snapshot.index:
            # Begins before what we keep whole: that part is agreed and the same.
            skip = self.snapshot.index - told.prev_log_index
            told = AppendEntries(
                told.term,
                self.snapshot.index,
                self.snapshot.term,
                told.entries[skip:],
                told.leader_commit,
                told.round_number,
                told.cluster_applied_index,
            )
        if self.term_at(told.prev_log_index) != told.prev_log_term:
            back = min(self.last_index(), told.prev_log_index - 1)
            wrong = self.term_at(back)
            while back > self.commit_index and self.term_at(back) == wrong and wrong > told.prev_log_term:
                back -= 1
            self.send(
                sender,
                AppendEntriesResponse(self.term, False, max(back, self.commit_index), told.round_number),
            )
            return
        for n, entry in enumerate(told.entries):
            index = told.prev_log_index + 1 + n
            if self.term_at(index) != entry.term:
                self._write_entries(index, told.entries[n:])
                break
        match = told.prev_log_index + len(told.entries)
        self.commit_index = max(self.commit_index, min(told.leader_commit, match))
        self.cluster_applied_index = max(self.cluster_applied_index, told.cluster_applied_index)
        self._send_append_response(sender, match, told.round_number)

    def _handle_install_snapshot(self, sender: str, told: InstallSnapshot) -> None:
        if told.snapshot.index > self.commit_index:
            if self.term_at(told.snapshot.index) == told.snapshot.term:
                del self.entries[: told.snapshot.index - self.snapshot.index]
            else:
                self.entries = []
            self._adopt_snapshot(told.snapshot)
            self.commit_index = told.snapshot.index
            self.durable_index = min(self.durable_index, self.last_index())
        self._send_append_response(sender, max(told.snapshot.index, self.commit_index), told.round_number)

    def _handle_append_response(self, now: int, sender: str, told: AppendEntriesResponse) -> None:
        # An old leader's rounds have numbers too; its term differs, so they never come here.
        self.acked_round[sender] = max(self.acked_round.get(sender, 0), told.round_number)
        if not told.success:
            self.next_index[sender] = max(min(told.match_index + 1, self.next_index.get(sender, 1) - 1), 1)
            self._send_append(sender)
            return
        self.match_index[sender] = max(self.match_index.get(sender, 0), told.match_index)
        before = self.next_index.get(sender, 1)
        self.next_index[sender] = max(before, self.match_index[sender] + 1)
        self._advance_commit_index(now)
        if self.next_index[sender] <= self.last_index() and self.next_index[sender] > before:
            self._send_append(sender)

    def _advance_commit_index(self, now: int) -> None:
        agreed = self._quorum_value(
            lambda v: self.durable_index if v == self.name else self.match_index.get(v, 0)
        )
        # Only an entry of the own term carries older ones with it (5.4.2 of the paper).
        if agreed > self.commit_index and self.term_at(agreed) == self.term:
            self.commit_index = agreed
            if self.name not in self.voters:
                self._become_follower(now, self.term, "")  # taken out, and that is agreed
            else:
                self._broadcast(now)  # others act on it as soon as they know

    # --- messages ---

    def send(self, to: str, message: Message) -> None:
        """What claims something of the own disk waits for it; a leader's entries and all else do not."""
        votes = isinstance(message, RequestVote | RequestVoteResponse) and not message.pre_vote
        if votes or isinstance(message, AppendEntriesResponse) and self.hard_state_unsynced:
            self.pending_ready.send.append((to, message))
        else:
            self.immediate_messages.append((to, message))

    def _send_append_response(self, to: str, match: int, number: int) -> None:
        """At once for what is on the disk, so that a slow disk is not taken for a silent voter."""
        if match > self.durable_index and not self.hard_state_unsynced:
            self.immediate_messages.append(
                (to, AppendEntriesResponse(self.term, True, self.durable_index, number))
            )
            self.pending_ready.send.append((to, AppendEntriesResponse(self.term, True, match, number)))
        else:
            self.send(to, AppendEntriesResponse(self.term, True, match, number))

    def _send_to_all(self, message: Message) -> None:
        for voter in self.voters:
            if voter != self.name:
                self.send(voter, message)

    def receive(self, now: int, sender: str, told: Message) -> None:
        if isinstance(told, RequestVote):
            self._handle_request_vote(now, sender, told)
            return
        if isinstance(told, RequestVoteResponse):
            if not told.pre_vote and told.term > self.term:
                self._become_follower(now, told.term, "")
            elif (
                told.vote_granted
                and self.role == CANDIDATE
                and told.pre_vote == self.pre_vote
                and told.term == self.term + self.pre_vote
            ):
                self.votes_granted.add(sender)
                self._check_votes(now)
            return
        if not isinstance(told, AppendEntries | InstallSnapshot | AppendEntriesResponse):
            return
        if told.term > self.term:
            self._become_follower(now, told.term, "")
        if isinstance(told, AppendEntriesResponse):
            if self.role == LEADER and told.term == self.term:
                self._handle_append_response(now, sender, told)
            return
        if told.term < self.term:
            self.send(sender, AppendEntriesResponse(self.term, False, self.commit_index, told.round_number))
            return
        self.role, self.leader, self.leader_contact_at = FOLLOWER, sender, now
        self._reset_election_timer(now)
        if isinstance(told, AppendEntries):
            self._handle_append_entries(now, sender, told)
        else:
            self._handle_install_snapshot(sender, told)

    # --- the disk ---

    def take_ready(self, now: int) -> Ready:
        """What is to be kept and sent since the last call."""
        batch, self.pending_ready = self.pending_ready, Ready(self.term, self.vote, self.founding_member)
        if batch.must_sync():
            self.sync_started_at = now
        return batch

    def take_immediate_messages(self) -> list[tuple[str, Message]]:
        """What may be sent at once, whatever the disk does."""
        early, self.immediate_messages = self.immediate_messages, []
        return early

    def advance(self, now: int, batch: Ready) -> None:
        """That is on the disk now. Entries that were replaced meanwhile are not counted."""
        if self.sync_started_at >= 0:
            self.sync_duration = max(now - self.sync_started_at, self.sync_duration * 3 // 4)
            self.sync_started_at = -1
            self.hard_state_unsynced = self.pending_ready.turned
            if self.role == CANDIDATE:
                self._reset_election_timer(now)  # only now does anybody hear of it
        if batch.entries:
            upto = batch.first + len(batch.entries) - 1
            while upto >= batch.first and self.term_at(upto) != batch.entries[upto - batch.first].term:
                upto -= 1
            if upto >= batch.first:
                self.durable_index = max(self.durable_index, min(upto, self.last_index()))
        if batch.whole and self.snapshot.index >= batch.whole.index:
            self.durable_index = max(self.durable_index, min(batch.whole.index, self.last_index()))
        if self.role == LEADER:
            self._advance_commit_index(now)
