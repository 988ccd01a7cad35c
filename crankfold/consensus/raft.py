"""One node of the Raft consensus algorithm, which does no I/O and reads no clock.

Implements Ongaro and Ousterhout 2014, with these parts of Ongaro's dissertation: pre-vote (9.6), a leader
that steps down when it loses contact with a quorum (6.2), leases by heartbeat rounds (6.4), log compaction
(5) and changes of one voter at a time (4.1).

The owner calls `tick` at `next_deadline` and `receive` for each message. After each call, it sends the
messages of `take_immediate_messages`, writes the `Ready` of `take_ready` to stable storage, sends the
messages in that `Ready`, and calls `advance`. An entry counts towards a majority only once it is on stable
storage. Times and durations are ticks of a tenth of a millisecond.
"""

from crankfold.consensus.election_timer import ElectionTimer
from crankfold.consensus.errors import MembershipChangeError
from crankfold.consensus.log_entries import EntryKind, NoOpData, entry_data
from crankfold.consensus.messages import (
    AppendEntries,
    AppendEntriesResponse,
    EntryData,
    InstallSnapshot,
    LogEntry,
    Message,
    RequestVote,
    RequestVoteResponse,
)
from crankfold.consensus.progress import ProgressTracker
from crankfold.consensus.raft_log import RaftLog
from crankfold.consensus.raft_state import OutgoingMessage, PersistentState, Ready, ReadyBuilder, Role
from crankfold.consensus.timing import Timing
from crankfold.consensus.voter_registry import VoterRegistry

MAX_ENTRIES_PER_APPEND = 64
LEADER_CONTACT_TIMEOUTS = 2  # election timeouts without quorum contact until a leader steps down


class Raft:
    """The state machine of one node: elections and log replication.

    Args:
        stored: The content of stable storage.
        initial_voters: Addresses by name, for a node with empty storage.
        seed: The seed of the random part of election timeouts.
        registry: Decides whether this node may vote.

    Attributes:
        term: The current term.
        vote: The candidate that this node voted for in the term; empty for none.
        founding_member: Whether this node voted while its log was empty.
        log: The snapshot and the entries after it.
        role: The role in the term.
        leader: The leader of the term; empty while unknown.
        pre_vote: Whether the current campaign is a pre-vote.
        votes_granted: Names of the voters that granted their votes in the current campaign.
        commit_index: The highest index that this node knows to be committed.
        progress: At the leader, the replication progress of the other voters.
        election_timer: Determines when this node campaigns without contact with a leader.
        leader_contact_at: When the last message from a leader arrived.
        leader_since: When this node became leader, if it is one.
        term_start_index: The index of a leader's first entry, which commits the entries of earlier terms.
        heartbeat_due_at: When a leader sends its next heartbeat.
        cluster_applied_index: The highest index that each member with a lease is known to have applied.
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
        """Starts as a follower with the stored state."""
        self.name = name
        self.timing = timing
        self.registry = registry
        self.term = stored.term
        self.vote = stored.vote
        self.founding_member = stored.founding_member
        self.log = RaftLog(stored, initial_voters)
        self.commit_index = self.log.snapshot.index
        self.cluster_applied_index = 0
        self.progress = ProgressTracker(name)
        self.election_timer = ElectionTimer(timing, seed)
        self._output = ReadyBuilder(stored)
        self._reset_volatile_state(now)

    def _reset_volatile_state(self, now: int) -> None:
        self.role = Role.FOLLOWER
        self.leader = ""
        self.pre_vote = False
        self.votes_granted: set[str] = set()
        self.leader_since = 0
        self.term_start_index = 0
        # Long enough ago that this node may grant votes from the start.
        self.leader_contact_at = now - LEADER_CONTACT_TIMEOUTS * self.timing.election_timeout
        self.heartbeat_due_at = now
        self._reset_election_timer(now)

    @property
    def voters(self) -> dict[str, str]:
        """Addresses by name, as of the newest change in the log, committed or not."""
        return self.log.voters

    def _reset_election_timer(self, now: int) -> None:
        sync_duration = self._output.sync_duration
        self.election_timer.reset(now, has_leader=bool(self.leader), sync_duration=sync_duration)

    def next_deadline(self) -> int:
        """Returns the time at which `tick` is due."""
        return self.heartbeat_due_at if self.role == Role.LEADER else self.election_timer.due_at

    def tick(self, now: int) -> None:
        """Sends heartbeats, steps down or campaigns, if that is due at `now`."""
        if self.role == Role.LEADER:
            last_contact = max(self.quorum_contact_at(), self.leader_since)
            if now - last_contact >= LEADER_CONTACT_TIMEOUTS * self.timing.election_timeout:
                # A quorum that is out of contact may have elected another leader.
                self._become_follower(now, self.term)
            elif now >= self.heartbeat_due_at:
                self.broadcast_append(now)
        elif now >= self.election_timer.due_at and self.name in self.voters and not self._output.syncing:
            if self.registry.may_vote(self.log, self.log.last_index(), self.founding_member):
                self._campaign(now, pre_vote=True)
            else:
                self._reset_election_timer(now)

    def quorum_contact_at(self) -> int:
        """Returns when the leader sent the newest round that a quorum has acknowledged; -1 for none."""
        return self.progress.quorum_contact_at(self.voters)

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
        """Requests votes; pre-votes first, so that an unreliable link does not raise the term."""
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
        data = NoOpData(by=self.name)
        if self.term_start_index == 1:
            # Registers the voters of the first election, because only registered voters may vote later.
            data.folders = self.registry.folder_ids_of(self.votes_granted)
        entry = LogEntry(self.term, EntryKind.NO_OP, entry_data(data))
        self._write_entries(self.term_start_index, [entry])
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
                return  # a node in contact with a leader ignores candidates
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
        """Replaces the entries up to the applied `index` with a snapshot of `state`."""
        if index > self.log.snapshot.index:
            self.log.compact(index, state)
            self._output.replace_log(self.log.snapshot, self.log.entries)

    def propose(self, now: int, kind: EntryKind, data: EntryData) -> int:
        """Appends an entry at the leader.

        Returns:
            The index of the entry; 0 if this node is not the leader.
        """
        if self.role != Role.LEADER:
            return 0
        self._write_entries(self.log.last_index() + 1, [LogEntry(self.term, kind, data)])
        self.broadcast_append(now)
        return self.log.last_index()

    def change_voters(self, now: int, voters: dict[str, str]) -> None:
        """Proposes to add or remove one voter; `voters` maps all names after the change to addresses.

        Raises:
            MembershipChangeError: This node is not the leader, has not committed an entry of its term, or
                the log does not permit the change.
        """
        if self.role != Role.LEADER or self.commit_index < self.term_start_index:
            raise MembershipChangeError("no leader with a majority here")
        self.log.check_voter_change(voters, self.commit_index)
        for added in voters.keys() - self.voters.keys():
            self.progress.next_index[added] = self.log.last_index() + 1
        self.propose(now, EntryKind.CHANGE_VOTERS, {"voters": voters})

    def broadcast_append(self, now: int) -> None:
        """At the leader: sends each other voter the entries that it lacks; a heartbeat if it lacks none."""
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
        snapshot_index = self.log.snapshot.index
        prev_index = max(message.prev_log_index, snapshot_index)
        entries = self.log.after_snapshot(message.prev_log_index, message.entries)
        # Entries up to the snapshot are committed, so they match.
        is_compacted = message.prev_log_index < snapshot_index
        if not is_compacted and self.log.term_at(prev_index) != message.prev_log_term:
            retry_index = self.log.retry_index(prev_index, message.prev_log_term, self.commit_index)
            self._send_append_failure(sender, retry_index, message.round_number)
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
        # `receive` drops responses of other terms, so the round is one of this term.
        self.progress.acknowledge_round(sender, response.round_number)
        if not response.success:
            self.progress.record_mismatch(sender, response.match_index)
            self._send_append(sender)
            return
        progressed = self.progress.record_match(sender, response.match_index)
        self._advance_commit_index(now)
        if progressed and self.progress.next_index[sender] <= self.log.last_index():
            self._send_append(sender)

    def _advance_commit_index(self, now: int) -> None:
        replicated = self.progress.quorum_match_index(self.voters, self.log.durable_index)
        # Entries of earlier terms are committed only along with one of this term (section 5.4.2).
        if replicated <= self.commit_index or self.log.term_at(replicated) != self.term:
            return
        self.commit_index = replicated
        if self.name not in self.voters:
            self._become_follower(now, self.term)  # the removal of this node is committed
        else:
            self.broadcast_append(now)  # propagates the commit index before the next heartbeat

    def send(self, receiver: str, message: Message) -> None:
        """Queues a message; one that depends on this node's stable storage is sent after the sync."""
        self._output.send(receiver, message)

    def _send_append_failure(self, receiver: str, retry_index: int, round_number: int) -> None:
        self.send(receiver, AppendEntriesResponse(self.term, False, retry_index, round_number))

    def _send_append_success(self, receiver: str, match_index: int, round_number: int) -> None:
        """Acknowledges all entries after the sync, and at once the durable ones, which keeps the contact."""
        response = AppendEntriesResponse(self.term, True, match_index, round_number)
        if match_index > self.log.durable_index and not self._output.hard_state_unsynced:
            durable = AppendEntriesResponse(self.term, True, self.log.durable_index, round_number)
            self.send(receiver, durable)
            self._output.send_after_sync(receiver, response)
        else:
            self.send(receiver, response)

    def receive(self, now: int, sender: str, message: Message) -> None:
        """Handles a message of the consensus algorithm; ignores other messages."""
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
            self._send_append_failure(sender, self.commit_index, message.round_number)
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
        """Returns state to write to stable storage and messages to send after that; then call `advance`."""
        return self._output.take_ready(now)

    def take_immediate_messages(self) -> list[OutgoingMessage]:
        """Returns the messages that do not depend on stable storage."""
        return self._output.take_immediate_messages()

    def advance(self, now: int, ready: Ready) -> None:
        """Records that `ready` is on stable storage and that its messages were sent."""
        if self._output.syncing:
            self._output.synced(now)
            if self.role == Role.CANDIDATE:
                self._reset_election_timer(now)  # its vote requests are sent after the sync
        if ready.entries:
            self.log.synced_entries(ready.first_index, ready.entries)
        if ready.snapshot:
            self.log.synced_snapshot(ready.snapshot)
        if self.role == Role.LEADER:
            self._advance_commit_index(now)
