"""A member with a vote, which takes part in the consensus and grants leases to followers.

Times and durations are ticks of a tenth of a millisecond.
"""

from crankfold.consensus.incarnations import IncarnationTracker
from crankfold.consensus.leader_leases import LeaderLeases
from crankfold.consensus.leader_proposals import LeaderProposals
from crankfold.consensus.leases import (
    AppliedBounds,
    LeaseHolder,
    LeaseHolderState,
    LeaseTable,
)
from crankfold.consensus.log_entries import EntryKind, proposal_id_of
from crankfold.consensus.maintenance_reports import ClusterReport, SubtreeReport
from crankfold.consensus.member import MaintenanceCoordinator, Member, VoterHost
from crankfold.consensus.membership import RemoteLeaseHolders
from crankfold.consensus.messages import (
    DocumentContent,
    EntryData,
    FollowerHeartbeat,
    FollowerUpdate,
    LeaseGrant,
    LeaseHolderStatus,
    LeaseRequest,
    Leave,
    MembershipGossip,
    Message,
    ProposalRequest,
    ProposalResponse,
    Rejection,
    ValidationRequest,
    ValidationResponse,
)
from crankfold.consensus.proposals import THIS_VOTER, ProposalHandler
from crankfold.consensus.raft import Raft
from crankfold.consensus.raft_state import OutgoingMessage, PersistentState, Ready, Role
from crankfold.consensus.timing import Timing
from crankfold.consensus.voter_registry import FolderRegistry

# The log is compacted once this many applied entries follow the snapshot.
COMPACTION_THRESHOLD_ENTRIES = 256
MAX_ENTRIES_PER_UPDATE = 200
GOSSIP_INTERVAL_RENEWALS = 5  # in lease renew intervals
MAX_GOSSIP_AGE_RENEWALS = 3 * GOSSIP_INTERVAL_RENEWALS  # in lease renew intervals


class Voter(Member):
    """A voter: a Raft node that also grants leases to followers and, as the leader, to voters.

    Args:
        name: The name of this voter.
        stored: The content of its stable storage.
        initial_voters: Addresses by name, for a voter with empty storage.
        timing: Durations of elections and leases.
        now: The current time.
        seed: The seed of the random part of election timeouts.
        incarnation: A random number of this process.
        folder_id: The id of its storage folder.
        host: The dispatcher that acts on the documents.
        coordinator: Proposes transitions of machines in maintenance while this voter leads.
        initial_settings: Settings that the first leader publishes if there are none.

    Attributes:
        raft: Its Raft node, which also queues all outgoing messages.
        registry: The folder id by which each voter is registered.
        leases: The leases that it grants to followers.
        leader_leases: The leases that it grants to other voters as the leader.
        remote_lease_holders: The lease holders of the other voters.
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
        incarnation: int,
        folder_id: str,
        host: VoterHost,
        coordinator: MaintenanceCoordinator | None = None,
        initial_settings: DocumentContent | None = None,
    ) -> None:
        """Starts as a Raft follower, without a lease."""
        super().__init__(name, timing=timing, now=now, incarnation=incarnation, host=host)
        self._coordinator = coordinator
        self.registry = FolderRegistry(name, folder_id, self.documents)
        self.raft = Raft(
            name, stored, initial_voters, timing=timing, now=now, seed=seed, registry=self.registry
        )
        self._restore_snapshot(self.raft.log.snapshot)
        self.leases = LeaseTable(timing, now)
        self.leader_leases = LeaderLeases()
        self.remote_lease_holders = RemoteLeaseHolders(MAX_GOSSIP_AGE_RENEWALS * timing.renew_interval)
        self._incarnations = IncarnationTracker()
        self._leader_proposals = LeaderProposals(
            self.raft, self.documents, self.leader_leases, initial_settings
        )
        self._proposals = ProposalHandler(self.raft, self.documents, host, self.proposal_responses)
        self._lease_request_due_at = self._gossip_due_at = self._maintenance_due_at = now

    def is_leader(self) -> bool:
        """Whether this voter leads and has committed an entry of its term, and so all earlier entries."""
        return self.raft.role == Role.LEADER and self.raft.commit_index >= self.raft.term_start_index

    def next_deadline(self) -> int:
        """Returns the time at which `tick` is due."""
        due = min(self.raft.next_deadline(), self._lease_request_due_at, self._gossip_due_at)
        return min(due, self._maintenance_due_at) if self._coordinator else due

    def tick(self, now: int) -> None:
        """Sends heartbeats, lease requests and gossip, campaigns and proposes transitions, each when due."""
        self.raft.tick(now)
        self.process(now)
        if now >= self._lease_request_due_at:
            self._request_lease(now)
        if now >= self._gossip_due_at:
            self._send_gossip(now)
        if self._coordinator and now >= self._maintenance_due_at:
            self._maintenance_due_at = now + self.timing.renew_interval
            transitions = self._coordinator.propose_transitions(now)
            if transitions and self.is_leader():
                self.raft.propose(now, EntryKind.MAINTENANCE, {"steps": transitions})

    def take_ready(self, now: int) -> Ready:
        """Returns state to write to stable storage and messages to send after that; then call `advance`."""
        return self.raft.take_ready(now)

    def take_immediate_messages(self) -> list[OutgoingMessage]:
        """Returns the messages that do not depend on stable storage."""
        return self.raft.take_immediate_messages()

    def advance(self, now: int, ready: Ready) -> None:
        """Records that `ready` is on stable storage and that its messages were sent."""
        self.raft.advance(now, ready)
        self.process(now)

    def process(self, now: int) -> None:
        """Applies committed entries and, at the leader, extends the lease and proposes entries.

        To be called after every event.
        """
        raft = self.raft
        if raft.role == Role.LEADER and raft.term != self.leader_leases.term:
            self._begin_term_as_leader()
        has_new_entries = raft.commit_index > self.last_applied
        self._apply_committed()
        if self.is_leader():
            if raft.quorum_contact_at() >= 0:
                self._extend_lease(raft.quorum_contact_at() + self.timing.lease_duration)
            self._leader_proposals.propose_first_settings(now)
            self._leader_proposals.propose_folders(now, self.registry.unregistered(raft.voters))
            self._activate_versions(now)
        self.cluster_applied_index = raft.cluster_applied_index
        if has_new_entries:
            self._announce_applied(now)
            self._compact_if_due()

    def _begin_term_as_leader(self) -> None:
        self.leader_leases.begin_term(self.raft.term)
        self._leader_proposals.reset()
        self._proposals.reset()

    def _apply_committed(self) -> None:
        log = self.raft.log
        if self.last_applied < log.snapshot.index:
            self._restore_snapshot(log.snapshot)
        for entry in log.entries_between(self.last_applied, self.raft.commit_index):
            self._apply(entry)
            if entry.kind in (EntryKind.PUBLISH, EntryKind.MAINTENANCE):
                self._proposals.answer(proposal_id_of(entry))

    def _announce_applied(self, now: int) -> None:
        """Sends the newly applied entries to followers, and the new applied index to the leader."""
        self._maintenance_due_at = now
        for name, holder in self.leases.in_contact(now):
            self._send_update(now, name, holder, request_sent_at=0)
        self._request_lease(now)

    def _compact_if_due(self) -> None:
        log = self.raft.log
        applied_since = self.last_applied - log.snapshot.index
        if applied_since >= COMPACTION_THRESHOLD_ENTRIES and log.durable_index >= self.last_applied:
            self.raft.compact(self.last_applied, self.documents.encode())

    def _activate_versions(self, now: int) -> None:
        self._leader_proposals.propose_activations(now, self.applied_bounds(now))

    def applied_bounds(self, now: int) -> AppliedBounds:
        """Returns the lower bounds for this voter and the holders of its leases."""
        own = AppliedBounds(self.last_applied, min(self.last_applied, self.quiesced_index()))
        return self.leases.applied_bounds(now, own, self.documents.max_request_duration())

    def subtree_report(self, now: int) -> SubtreeReport:
        """Returns the merged maintenance report of this voter and the holders of its leases."""
        own = SubtreeReport(self.name, self.last_applied, self.host.build_maintenance_report())
        return self.leases.subtree_report(now, own, self.documents.max_request_duration())

    def cluster_report(self, now: int) -> ClusterReport:
        """Returns, at the leader, the maintenance reports of all voters and their lease holders."""
        request_duration = self.documents.max_request_duration()
        leases_until = self.timing.earlier_leases_until(self.raft.leader_since)
        return ClusterReport(
            [self.subtree_report(now), *self.leader_leases.subtree_reports(now, request_duration)],
            earlier_leases_may_run=now < leases_until + request_duration,
        )

    def voter_incarnations(self) -> dict[str, int]:
        """Returns, at the leader, its incarnation and those of voters that reported in this term, by name."""
        incarnations = {voter: report.incarnation for voter, report in self.leader_leases.reports.items()}
        return {**incarnations, self.name: self.incarnation}

    def leased_incarnations(self, now: int) -> dict[str, int]:
        """Returns, at the leader, the `voter_incarnations` of voters that may hold a lease."""
        return {
            voter: incarnation
            for voter, incarnation in self.voter_incarnations().items()
            if voter == self.name or self.leader_leases.may_hold_lease(now, voter)
        }

    def _request_lease(self, now: int) -> None:
        self._lease_request_due_at = now + self.timing.renew_interval
        if not self.raft.leader or self.raft.leader == self.name:
            return
        bounds = self.applied_bounds(now)
        subtree = self.subtree_report(now)
        request = LeaseRequest(
            term=self.raft.term,
            incarnation=self.incarnation,
            sent_at=now,
            lowest_applied_index=bounds.lowest_applied,
            quiesced_index=bounds.quiesced,
            drained_index=subtree.drained_index,
            maintenance_report=subtree.report,
        )
        self.raft.send(self.raft.leader, request)

    def _handle_lease_request(self, now: int, sender: str, request: LeaseRequest) -> None:
        if not self.is_leader() or request.term != self.raft.term:
            return
        if not self._incarnations.accept(sender, request.incarnation):
            return
        if not self.leader_leases.record(now, sender, request):
            return
        contact_at = self.raft.quorum_contact_at()
        duration = contact_at + self.timing.lease_duration - now if contact_at >= 0 else 0
        if duration > 0:
            self.leader_leases.grant(now, sender, duration)
            grant = LeaseGrant(request.term, request.sent_at, duration, self.raft.commit_index)
            self.raft.send(sender, grant)
        self._activate_versions(now)

    def _handle_lease_grant(self, grant: LeaseGrant) -> None:
        if grant.term == self.raft.term:
            self._accept_lease(grant.request_sent_at, grant.lease_duration, grant.required_index)

    def admit(self, voter: str, folder_id: str) -> str:
        """Admits a voter with the folder `folder_id`.

        Returns:
            The reason why the voter is not admitted; empty if it is.
        """
        return self.registry.admit(self.raft.log, voter, folder_id)

    def _rejection_of(self, now: int, heartbeat: FollowerHeartbeat) -> str:
        """Returns the reason why a follower is not admitted; empty if it is."""
        name = heartbeat.name
        if self.leases.is_name_leased(now, heartbeat):
            return f"the name {name} is in use by another process"
        if name in self.raft.voters or self.remote_lease_holders.has_other_incarnation(
            name, heartbeat.incarnation
        ):
            return f"the name {name} is in use elsewhere"
        if self._incarnations.is_retired(name, heartbeat.incarnation):
            return f"another process has taken the name {name} over"
        return ""

    def _handle_follower_heartbeat(self, now: int, sender: str, heartbeat: FollowerHeartbeat) -> None:
        rejection = self._rejection_of(now, heartbeat)
        if rejection:
            self.raft.send(sender, Rejection(rejection))
            return
        self._incarnations.accept(heartbeat.name, heartbeat.incarnation)
        holder = self.leases.record_heartbeat(now, heartbeat, self.documents.max_request_duration())
        if holder:
            self._send_update(now, heartbeat.name, holder, heartbeat.sent_at)

    def _send_update(self, now: int, name: str, holder: LeaseHolder, request_sent_at: int) -> None:
        """Sends a follower the entries that it lacks, and a lease if they bring it up to date.

        Args:
            now: The current time.
            name: The follower.
            holder: Its lease.
            request_sent_at: When the follower sent its heartbeat, on its own clock; 0 for an update that
                does not respond to a heartbeat and carries no lease.
        """
        log = self.raft.log
        snapshot = log.snapshot if holder.last_applied < log.snapshot.index else None
        prev_index = snapshot.index if snapshot else holder.last_applied
        last_index = min(self.last_applied, prev_index + MAX_ENTRIES_PER_UPDATE)
        entries = log.entries_between(prev_index, last_index)
        duration = 0
        if request_sent_at and self.has_lease(now) and prev_index + len(entries) == self.last_applied:
            duration = self.lease_expires_at - now
            self.leases.grant(now, holder, duration)
        update = FollowerUpdate(
            request_sent_at=request_sent_at,
            lease_duration=duration,
            prev_log_index=prev_index,
            snapshot=snapshot,
            entries=entries,
            voter_last_applied=self.last_applied,
            cluster_applied_index=self.raft.cluster_applied_index,
        )
        self.raft.send(name, update)

    def _send_gossip(self, now: int) -> None:
        self._gossip_due_at = now + GOSSIP_INTERVAL_RENEWALS * self.timing.renew_interval
        self.remote_lease_holders.drop_stale(now)
        statuses = [*self.leases.statuses(now), self._own_status(now)]
        if self.is_leader():
            own_alive = [status for status in statuses if status.state == LeaseHolderState.ALIVE]
            self._leader_proposals.propose_quotas(now, own_alive + self.remote_lease_holders.alive())
        for voter in self.raft.voters:
            if voter != self.name:
                self.raft.send(voter, MembershipGossip(statuses))
        self.leases.drop_expired(now, self.documents.max_request_duration())

    def _own_status(self, now: int) -> LeaseHolderStatus:
        return LeaseHolderStatus(
            name=self.name,
            incarnation=self.incarnation,
            contact_ticks=now - self.started_at,
            last_applied=self.last_applied,
            state=LeaseHolderState.ALIVE,
            quota_usage=self.host.collect_quota_usage(),
        )

    def propose(self, now: int, proposal_id: str, kind: str, data: EntryData) -> None:
        """Proposes an entry; its outcome is added to `proposal_responses`.

        An entry that is proposed again under the same id takes effect once.
        """
        self._proposals.handle_request(now, THIS_VOTER, ProposalRequest(proposal_id, kind, data))
        self.process(now)

    def receive(self, now: int, sender: str, message: Message) -> None:
        """Handles a message from another member."""
        match message:
            case LeaseRequest():
                self._handle_lease_request(now, sender, message)
            case LeaseGrant():
                self._handle_lease_grant(message)
            case FollowerHeartbeat():
                self._handle_follower_heartbeat(now, sender, message)
            case ProposalRequest() | ProposalResponse() | ValidationRequest() | ValidationResponse():
                self._proposals.receive(now, sender, message)
            case MembershipGossip():
                self.remote_lease_holders.record(now, sender, message)
            case Leave():
                self.leases.release(now, message)
            case Rejection():
                self.rejection_reason = message.reason
            case _:
                self.raft.receive(now, sender, message)
        self.process(now)
