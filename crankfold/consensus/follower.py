"""A member without a vote, which gets the committed log and its lease from a voter.

Times and durations are ticks of a tenth of a millisecond.
"""

from crankfold.consensus.member import Member, MemberHost
from crankfold.consensus.messages import (
    EntryData,
    FollowerHeartbeat,
    FollowerUpdate,
    Leave,
    Message,
    ProposalRequest,
    ProposalResponse,
    Rejection,
)
from crankfold.consensus.raft_state import OutgoingMessage
from crankfold.consensus.random_numbers import RandomNumbers
from crankfold.consensus.timing import Timing


class Follower(Member):
    """A member that follows one voter, and switches to another one when it loses contact.

    Attributes:
        voter: The voter that it follows.
    """

    def __init__(
        self,
        name: str,
        voters: list[str],
        *,
        timing: Timing,
        now: int,
        seed: int,
        incarnation: int,
        host: MemberHost,
    ) -> None:
        """Starts with a voter that is drawn at random from the names in `voters`; `seed` seeds all draws."""
        super().__init__(name, timing=timing, now=now, incarnation=incarnation, host=host)
        self._voters = sorted(voters)
        self._random = RandomNumbers(seed)
        self.voter = self._voters[self._random.below(len(self._voters))]
        self._messages: list[OutgoingMessage] = []
        self._voter_contact_at = now
        self._heartbeat_due_at = now + self._random.below(timing.renew_interval)

    def next_deadline(self) -> int:
        """Returns the time at which `tick` is due."""
        return self._heartbeat_due_at

    def take_immediate_messages(self) -> list[OutgoingMessage]:
        """Returns the messages to send."""
        messages = self._messages
        self._messages = []
        return messages

    def tick(self, now: int) -> None:
        """Sends a heartbeat or switches to another voter, if that is due at `now`."""
        if now < self._heartbeat_due_at:
            return
        if now - self._voter_contact_at > self.timing.contact_timeout:
            self._switch_voter(now)
        else:
            self._send_heartbeat(now)

    def _switch_voter(self, now: int) -> None:
        """Switches to another voter, which is drawn at random.

        The random choice and delay spread the followers of a failed voter over the others and over time.
        """
        others = [voter for voter in self._voters if voter != self.voter] or self._voters
        self.voter = others[self._random.below(len(others))]
        self._voter_contact_at = now
        self._heartbeat_due_at = now + self._random.below(self.timing.renew_interval)

    def _send_heartbeat(self, now: int) -> None:
        least_interval = self.timing.least_heartbeat_interval
        self._heartbeat_due_at = now + least_interval + self._random.below(self.timing.heartbeat_jitter)
        heartbeat = FollowerHeartbeat(
            name=self.name,
            incarnation=self.incarnation,
            sent_at=now,
            last_applied=self.last_applied,
            quiesced_index=self.quiesced_index(),
            quota_usage=self.host.collect_quota_usage(),
            maintenance_report=self.host.build_maintenance_report(),
        )
        self._messages.append(OutgoingMessage(self.voter, heartbeat))

    def propose(
        self,
        now: int,  # noqa: ARG002 - the signature of Voter.propose
        proposal_id: str,
        kind: str,
        data: EntryData,
    ) -> None:
        """Sends a proposal to the voter; its outcome is added to `proposal_responses`."""
        request = ProposalRequest(proposal_id, kind, data)
        self._messages.append(OutgoingMessage(self.voter, request))

    def leave(self, now: int) -> None:
        """Leaves the cluster, which releases the lease and the name."""
        self.lease_expires_at = min(self.lease_expires_at, now)
        leave = Leave(self.name, self.incarnation)
        self._messages.append(OutgoingMessage(self.voter, leave))

    def receive(self, now: int, sender: str, message: Message) -> None:
        """Handles a message from a voter."""
        if isinstance(message, ProposalResponse):
            self.proposal_responses.append(message)
        elif isinstance(message, Rejection):
            self.rejection_reason = message.reason
            self._voter_contact_at = now
        elif isinstance(message, FollowerUpdate):
            self._handle_update(now, sender, message)

    def _handle_update(self, now: int, sender: str, update: FollowerUpdate) -> None:
        if sender == self.voter:
            self._voter_contact_at = now
        self.rejection_reason = ""
        applied_before = self.last_applied
        self.cluster_applied_index = max(self.cluster_applied_index, update.cluster_applied_index)
        if update.snapshot and update.snapshot.index > self.last_applied:
            self._restore_snapshot(update.snapshot)
        if update.prev_log_index <= self.last_applied:
            for entry in update.entries[self.last_applied - update.prev_log_index :]:
                self._apply(entry)
        if update.lease_duration:
            self._accept_lease(update.request_sent_at, update.lease_duration, update.voter_last_applied)
        is_behind = self.last_applied < update.voter_last_applied
        if self.last_applied > applied_before or is_behind:
            self._send_heartbeat(now)  # an activation may wait for this acknowledgment
