"""One node of the Raft consensus algorithm, without I/O.

Ongaro and Ousterhout 2014, with these parts of Ongaro's dissertation: pre-vote (9.6), a leader that steps
down without contact to a quorum (6.2), leases by heartbeat rounds (6.4), log compaction (5) and changes of
one voter at a time (4.1).

The node reads no clock and touches no storage. Its owner calls `tick` at `next_deadline` and `receive` for
each message, then stores what `take_ready` gives, sends its messages and calls `advance`. The messages of
`take_immediate_messages` claim nothing about the storage and may be sent at once. Only entries on the node's
own stable storage count towards a majority.

Times and durations are ticks of a tenth of a millisecond.
"""

from typing import Any

from crankfold.consensus.errors import MembershipChangeError
from crankfold.consensus.log_entries import EntryKind
from crankfold.consensus.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    LogEntry,
    Message,
    RequestVote,
    RequestVoteResponse,
)
from crankfold.consensus.progress import ProgressTracker
from crankfold.consensus.raft_log import RaftLog
from crankfold.consensus.raft_state import PersistentState, Ready, ReadyBuilder, Role
from crankfold.consensus.random_numbers import RandomNumbers
from crankfold.consensus.timing import Timing
from crankfold.consensus.voter_registry import VoterRegistry

MAX_ENTRIES_PER_APPEND = 64


class Raft:
    """A voter's part in elections and replication.

    Attributes:
        term: The current term.
        vote: Whom this node voted for in it; empty for nobody.
        founding_member: Voted before there was any log.
        role: Its role in the term.
        leader: The leader of the term, if known; else empty.
        commit_index: The log is committed up to here, as far as this node knows.
        progress: While leading, how far the other voters' logs agree.
        leader_since: When it became leader, if it is one.
        term_start_index: Of its first entry as a leader; it knows what is committed once that entry is.
        cluster_applied_index: Every member that may act has applied the log up to here, as far as known.
    """

    def __init__(
        self,
        name: str,
        stored: PersistentState,
        initial_voters: dict[str, str],
        *,
        timing: Timing,
        now: int,
        seed: int,
        registry: VoterRegistry,
    ) -> None:
        """Starts as a follower from `stored`. Over 30 lines: one for each attribute.

        `initial_voters` are addresses by name, and count while nothing is stored; `seed` is that of the
        randomized election timeouts; `registry` says whether this node may vote.
        """
        self.name = name
        self.timing = timing
        self.registry = registry
        self.random = RandomNumbers(seed)
        self.term = stored.term
        self.vote = stored.vote
        self.founding_member = stored.founding_member
        self.log = RaftLog(stored, initial_voters)
        self.commit_index = self.log.snapshot.index
        self.cluster_applied_index = 0
        self.role = Role.FOLLOWER
        self.leader = ""
        self.votes_granted: set[str] = set()
        self.pre_vote = False  # whether the votes are pre-votes
        self.progress = ProgressTracker(name)
        self.leader_since = 0
        self.term_start_index = 0
        self.leader_contact_at = now - timing.election_timeout * 2  # no leader is protected at the start
        self.heartbeat_due_at = now
        self.election_due_at = 0
        self._output = ReadyBuilder(stored)
        self._reset_election_timer(now)

    @property
    def voters(self) -> dict[str, str]:
        """Addresses by name, by the newest change in the log."""
        return self.log.voters

    # --- time ---

    def _reset_election_timer(self, now: int) -> None:
        # A vote takes the candidate's storage and the voter's: shorter elections could never be won.
        allowance = 0
        if not self.leader:
            allowance = min(2 * self._output.sync_duration, 6 * self.timing.election_timeout)
        jitter = self.random.below(self.timing.election_timeout + allowance)
        self.election_due_at = now + allowance + self.timing.election_timeout + jitter

    def next_deadline(self) -> int:
        """When `tick` is due."""
        return self.heartbeat_due_at if self.role == Role.LEADER else self.election_due_at

    def tick(self, now: int) -> None:
        """Does what is due at `now`: heartbeats, or an election."""
        if self.role == Role.LEADER:
            last_contact = max(self.quorum_contact_at(), self.leader_since)
            if now - last_contact >= 2 * self.timing.election_timeout:
                # Without contact to a quorum it must not count as the leader.
                self._become_follower(now, self.term)
            elif now >= self.heartbeat_due_at:
                self.broadcast_append(now)
        elif now >= self.election_due_at and self.name in self.voters and not self._output.syncing:
            if self.registry.may_vote(self.log, self.log.last_index(), self.founding_member):
                self._campaign(now, pre_vote=True)
            else:
                self._reset_election_timer(now)

    def quorum_contact_at(self) -> int:
        """While leading: when the newest round went out that a quorum has answered; -1 if there is none."""
        return self.progress.quorum_contact_at(self.voters)

    # --- elections ---

    def _set_hard_state(self, term: int, vote: str) -> None:
        self.term = term
        self.vote = vote
        self.founding_member = self.founding_member or (bool(vote) and not self.log.last_index())
        self._output.set_hard_state(term, vote, self.founding_member)

    def _become_follower(self, now: int, term: int) -> None:
        if term > self.term:
            self._set_hard_state(term, "")
        self.role = Role.FOLLOWER
        self.leader = ""
        self._reset_election_timer(now)

    def _campaign(self, now: int, *, pre_vote: bool) -> None:
        """Asks for votes, pre-votes first: a node behind a flapping link must not raise the term of all."""
        self.role = Role.CANDIDATE
        self.leader = ""
        self.pre_vote = pre_vote
        self.votes_granted = {self.name}
        if not pre_vote:
            self._set_hard_state(self.term + 1, self.name)
        self._reset_election_timer(now)
        request = RequestVote(
            term=self.term + pre_vote,
            last_log_index=self.log.last_index(),
            last_log_term=self.log.last_term(),
            pre_vote=pre_vote,
        )
        for voter in self.voters:
            if voter != self.name:
                self.send(voter, request)
        self._check_votes(now)

    def _check_votes(self, now: int) -> None:
        granted = self.votes_granted & self.voters.keys()
        if self.role != Role.CANDIDATE or 2 * len(granted) <= len(self.voters):
            return
        if self.pre_vote:
            self._campaign(now, pre_vote=False)
        else:
            self._become_leader(now)

    def _become_leader(self, now: int) -> None:
        self.role = Role.LEADER
        self.leader = self.name
        self.leader_since = now
        self.progress.reset(self.voters, self.log.last_index())
        self.term_start_index = self.log.last_index() + 1
        data: dict[str, Any] = {"by": self.name}
        if self.term_start_index == 1:
            # Otherwise those that made the first majority would have no vote later.
            data["folders"] = self.registry.folder_ids_of(self.votes_granted)
        self._write_entries(self.term_start_index, [LogEntry(self.term, EntryKind.NO_OP, data)])
        self.broadcast_append(now)

    def _handle_request_vote(self, now: int, sender: str, request: RequestVote) -> None:
        up_to_date = self.log.is_up_to_date(request.last_log_term, request.last_log_index)
        eligible = up_to_date and self.registry.may_vote(
            self.log, request.last_log_index, self.founding_member
        )
        leader_active = self.role == Role.LEADER or (
            self.leader != "" and now - self.leader_contact_at < self.timing.election_timeout
        )
        if request.pre_vote:
            granted = eligible and not leader_active and request.term > self.term
            self.send(sender, RequestVoteResponse(request.term, pre_vote=True, vote_granted=granted))
            return
        if request.term > self.term:
            if leader_active:
                return  # a node in contact with a leader lets no other campaign
            self._become_follower(now, request.term)
        granted = request.term == self.term and eligible and self.vote in ("", sender)
        if granted:
            if not self.vote:
                self._set_hard_state(self.term, sender)
            self._reset_election_timer(now)
        self.send(sender, RequestVoteResponse(self.term, pre_vote=False, vote_granted=granted))

    def _handle_request_vote_response(self, now: int, sender: str, response: RequestVoteResponse) -> None:
        if not response.pre_vote and response.term > self.term:
            self._become_follower(now, response.term)
        elif (
            response.vote_granted
            and self.role == Role.CANDIDATE
            and response.pre_vote == self.pre_vote
            and response.term == self.term + self.pre_vote
        ):
            self.votes_granted.add(sender)
            self._check_votes(now)

    def _write_entries(self, first_index: int, entries: list[LogEntry]) -> None:
        self.log.write(first_index, entries)
        self._output.write_entries(first_index, entries)

    def compact(self, index: int, state: bytes) -> None:
        """Replaces the entries up to `index`, which are applied, by a snapshot of `state`."""
        if index > self.log.snapshot.index:
            self.log.compact(index, state)
            self._output.replace_log(self.log.snapshot, self.log.entries)

    # --- replication ---

    def propose(self, now: int, kind: EntryKind, data: dict[str, Any]) -> int:
        """Appends an entry; returns its index, or 0 where this node is not the leader."""
        if self.role != Role.LEADER:
            return 0
        self._write_entries(self.log.last_index() + 1, [LogEntry(self.term, kind, data)])
        self.broadcast_append(now)
        return self.log.last_index()

    def change_voters(self, now: int, voters: dict[str, str]) -> None:
        """Proposes to add or remove one voter; `voters` are the addresses by name after it.

        Raises:
            MembershipChangeError: It cannot be proposed here or now, or changes more than one voter.
        """
        if self.role != Role.LEADER or self.commit_index < self.term_start_index:
            raise MembershipChangeError("no leader with a majority here")
        self.log.check_voter_change(voters, self.commit_index)
        for added in voters.keys() - self.voters.keys():
            self.progress.next_index[added] = self.log.last_index() + 1
        self.propose(now, EntryKind.CHANGE_VOTERS, {"voters": voters})

    def broadcast_append(self, now: int) -> None:
        """While leading: sends each voter the entries that it lacks, or a heartbeat."""
        self.progress.begin_round(now)
        self.heartbeat_due_at = now + self.timing.heartbeat_interval
        for voter in self.voters:
            if voter != self.name:
                self._send_append(voter)

    def _send_append(self, voter: str) -> None:
        next_index = self.progress.next_index.setdefault(voter, self.log.last_index() + 1)
        if next_index <= self.log.snapshot.index:
            self.send(voter, InstallSnapshot(self.term, self.log.snapshot, self.progress.round_number))
            return
        prev_index = next_index - 1
        message = AppendEntries(
            term=self.term,
            prev_log_index=prev_index,
            prev_log_term=self.log.term_at(prev_index),
            entries=self.log.entries_between(prev_index, prev_index + MAX_ENTRIES_PER_APPEND),
            leader_commit=self.commit_index,
            round_number=self.progress.round_number,
            cluster_applied_index=self.cluster_applied_index,
        )
        self.send(voter, message)

    def _handle_append_entries(self, sender: str, message: AppendEntries) -> None:
        prev_index = message.prev_log_index
        prev_term = message.prev_log_term
        entries = message.entries
        if prev_index < self.log.snapshot.index:
            # The part that the snapshot replaces is committed, so it is the same.
            entries = entries[self.log.snapshot.index - prev_index :]
            prev_index = self.log.snapshot.index
            prev_term = self.log.snapshot.term
        if self.log.term_at(prev_index) != prev_term:
            retry_index = self.log.retry_index(prev_index, prev_term, self.commit_index)
            self._reject(sender, retry_index, message.round_number)
            return
        agreeing = self.log.count_agreeing(prev_index, entries)
        if agreeing < len(entries):
            self._write_entries(prev_index + agreeing + 1, entries[agreeing:])
        match_index = prev_index + len(entries)
        self.commit_index = max(self.commit_index, min(message.leader_commit, match_index))
        self.cluster_applied_index = max(self.cluster_applied_index, message.cluster_applied_index)
        self._send_append_success(sender, match_index, message.round_number)

    def _handle_install_snapshot(self, sender: str, message: InstallSnapshot) -> None:
        snapshot = message.snapshot
        if snapshot.index > self.commit_index:
            self.log.install(snapshot)
            self._output.replace_log(self.log.snapshot, self.log.entries)
            self.commit_index = snapshot.index
        self._send_append_success(sender, max(snapshot.index, self.commit_index), message.round_number)

    def _handle_append_response(self, now: int, sender: str, response: AppendEntriesResponse) -> None:
        # Rounds of an earlier leader have other terms, so their numbers never come here.
        self.progress.acknowledge_round(sender, response.round_number)
        if not response.success:
            self.progress.rejected(sender, response.match_index)
            self._send_append(sender)
            return
        progressed = self.progress.matched(sender, response.match_index)
        self._advance_commit_index(now)
        if progressed and self.progress.next_index[sender] <= self.log.last_index():
            self._send_append(sender)

    def _advance_commit_index(self, now: int) -> None:
        replicated = self.progress.quorum_match_index(self.voters, self.log.durable_index)
        # Only an entry of the leader's own term commits older ones with it (section 5.4.2 of the paper).
        if replicated <= self.commit_index or self.log.term_at(replicated) != self.term:
            return
        self.commit_index = replicated
        if self.name not in self.voters:
            self._become_follower(now, self.term)  # its own removal is committed
        else:
            self.broadcast_append(now)  # others apply as soon as they know

    # --- messages ---

    def send(self, receiver: str, message: Message) -> None:
        """Queues a message; one that claims something about this node's storage waits for the storage."""
        self._output.send(receiver, message)

    def _reject(self, receiver: str, retry_index: int, round_number: int) -> None:
        self.send(receiver, AppendEntriesResponse(self.term, False, retry_index, round_number))

    def _send_append_success(self, receiver: str, match_index: int, round_number: int) -> None:
        """What is durable is confirmed at once, so that slow storage does not look like a silent voter."""
        response = AppendEntriesResponse(self.term, True, match_index, round_number)
        if match_index > self.log.durable_index and not self._output.hard_state_unsynced:
            durable = AppendEntriesResponse(self.term, True, self.log.durable_index, round_number)
            self.send(receiver, durable)
            self._output.send_after_sync(receiver, response)
        else:
            self.send(receiver, response)

    def receive(self, now: int, sender: str, message: Message) -> None:
        """Takes a message of the consensus algorithm; others are ignored."""
        if isinstance(message, RequestVote):
            self._handle_request_vote(now, sender, message)
        elif isinstance(message, RequestVoteResponse):
            self._handle_request_vote_response(now, sender, message)
        elif isinstance(message, AppendEntriesResponse):
            if message.term > self.term:
                self._become_follower(now, message.term)
            if self.role == Role.LEADER and message.term == self.term:
                self._handle_append_response(now, sender, message)
        elif isinstance(message, AppendEntries | InstallSnapshot):
            self._receive_from_leader(now, sender, message)

    def _receive_from_leader(self, now: int, sender: str, message: AppendEntries | InstallSnapshot) -> None:
        if message.term > self.term:
            self._become_follower(now, message.term)
        if message.term < self.term:
            self._reject(sender, self.commit_index, message.round_number)
            return
        self.role = Role.FOLLOWER
        self.leader = sender
        self.leader_contact_at = now
        self._reset_election_timer(now)
        if isinstance(message, AppendEntries):
            self._handle_append_entries(sender, message)
        else:
            self._handle_install_snapshot(sender, message)

    def take_ready(self, now: int) -> Ready:
        """What is to be stored and then sent since the last call; `advance` is due once it is stored."""
        return self._output.take_ready(now)

    def take_immediate_messages(self) -> list[tuple[str, Message]]:
        """What may be sent at once, each message with its receiver."""
        return self._output.take_immediate_messages()

    def advance(self, now: int, ready: Ready) -> None:
        """`ready` is on stable storage, and its messages are sent."""
        if self._output.syncing:
            self._output.synced(now)
            if self.role == Role.CANDIDATE:
                self._reset_election_timer(now)  # its request for votes goes out only now
        if ready.entries:
            self.log.synced_entries(ready.first_index, ready.entries)
        if ready.snapshot:
            self.log.synced_snapshot(ready.snapshot)
        if self.role == Role.LEADER:
            self._advance_commit_index(now)
