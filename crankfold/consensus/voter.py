"""A member with a vote: it takes part in the consensus and grants leases to followers.

Times and durations are ticks of a tenth of a millisecond.
"""

from typing import Any

from crankfold.consensus.activation import VersionActivator
from crankfold.consensus.conservative_merge import SETTINGS
from crankfold.consensus.incarnations import IncarnationTracker
from crankfold.consensus.leader_leases import LeaderLeases
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
from crankfold.consensus.quotas import QuotaAllocator
from crankfold.consensus.raft import Raft
from crankfold.consensus.raft_state import PersistentState, Ready, Role
from crankfold.consensus.timing import Timing
from crankfold.consensus.voter_registry import FolderRegistry

COMPACTION_THRESHOLD = 256  # applied entries
MAX_ENTRIES_PER_UPDATE = 200
GOSSIP_INTERVAL = 5  # renew intervals
MAX_GOSSIP_AGE = 3 * GOSSIP_INTERVAL  # renew intervals


class Voter(Member):
    """A voter: a Raft node, the leases that it grants, and its dispatcher.

    Attributes:
        raft: Its Raft node, which also queues all messages.
        registry: By which folder each voter is known.
        leases: Those that it granted to followers.
        leader_leases: Those that it granted to other voters, while it is the leader.
        remote_lease_holders: Who holds leases from the other voters.
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
        initial_settings: dict[str, Any] | None = None,
    ) -> None:
        """Starts from what its storage holds. Over 30 lines: what each collaborator is given.

        Args:
            name: Its own name among the voters.
            stored: What its storage holds.
            initial_voters: Addresses by name; they count while nothing is stored.
            timing: Durations of elections and leases.
            now: The time of the start.
            seed: Of the randomized election timeouts.
            incarnation: A random number of this process.
            folder_id: The id of its storage folder.
            host: The dispatcher that acts on the documents.
            coordinator: Decides about machines in maintenance while this voter leads.
            initial_settings: Published by the first leader, if there are no settings.
        """
        super().__init__(name, timing=timing, now=now, incarnation=incarnation, host=host)
        self._coordinator = coordinator
        self._initial_settings = initial_settings
        self.registry = FolderRegistry(name, folder_id, self.documents)
        self.raft = Raft(
            name, stored, initial_voters, timing=timing, now=now, seed=seed, registry=self.registry
        )
        self._restore_snapshot(self.raft.log.snapshot)
        self.leases = LeaseTable(timing, now)
        self.leader_leases = LeaderLeases()
        self.remote_lease_holders = RemoteLeaseHolders(MAX_GOSSIP_AGE * timing.renew_interval)
        self._incarnations = IncarnationTracker()
        self._activator = VersionActivator(self.raft, self.documents, timing, self.leader_leases)
        self._quota_allocator = QuotaAllocator(self.raft, self.documents)
        self._proposals = ProposalHandler(self.raft, self.documents, host, timing, self.proposal_responses)
        self._lease_request_due_at = now
        self._gossip_due_at = now
        self._maintenance_due_at = now
        self._led_term = 0
        self._settings_proposed = False
        self._folders_proposed: set[str] = set()

    def is_leader(self) -> bool:
        """Whether it leads, and has committed everything that was committed before its term."""
        return self.raft.role == Role.LEADER and self.raft.commit_index >= self.raft.term_start_index

    # --- time and storage ---

    def next_deadline(self) -> int:
        """When `tick` is due."""
        due = min(self.raft.next_deadline(), self._lease_request_due_at, self._gossip_due_at)
        return min(due, self._maintenance_due_at) if self._coordinator else due

    def tick(self, now: int) -> None:
        """Does what is due at `now`."""
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
        """What is to be stored and then sent since the last call; `advance` is due once it is stored."""
        return self.raft.take_ready(now)

    def take_immediate_messages(self) -> list[tuple[str, Message]]:
        """What may be sent at once, each message with its receiver."""
        return self.raft.take_immediate_messages()

    def advance(self, now: int, ready: Ready) -> None:
        """`ready` is on stable storage, and its messages are sent."""
        self.raft.advance(now, ready)
        self.process(now)

    # --- the log ---

    def process(self, now: int) -> None:
        """Applies what is committed and does what follows from it; due after every event."""
        raft = self.raft
        if raft.role == Role.LEADER and raft.term != self._led_term:
            self._begin_term_as_leader()
        has_new_entries = raft.commit_index > self.last_applied
        self._apply_committed()
        if self.is_leader():
            if raft.quorum_contact_at() >= 0:
                self._extend_lease(raft.quorum_contact_at() + self.timing.lease_duration)
            self._propose_initial_state(now)
            self._activate_versions(now)
        self.cluster_applied_index = raft.cluster_applied_index
        if has_new_entries:
            self._announce_applied(now)
            self._compact_if_due()

    def _begin_term_as_leader(self) -> None:
        self._led_term = self.raft.term
        self.leader_leases.reset()
        self._activator.reset()
        self._proposals.reset()
        self._settings_proposed = False
        self._folders_proposed = set()

    def _apply_committed(self) -> None:
        log = self.raft.log
        if self.last_applied < log.snapshot.index:
            self._restore_snapshot(log.snapshot)
        for entry in log.entries_between(self.last_applied, self.raft.commit_index):
            self._apply(entry)
            if entry.kind in (EntryKind.PUBLISH, EntryKind.MAINTENANCE):
                self._proposals.answer(proposal_id_of(entry))

    def _announce_applied(self, now: int) -> None:
        """Followers and the leader hear at once of new entries; what follows from them is looked for."""
        self._maintenance_due_at = now
        for name, holder in self.leases.in_contact(now):
            self._send_update(now, name, holder, request_sent_at=0)
        self._request_lease(now)

    def _compact_if_due(self) -> None:
        log = self.raft.log
        applied_since = self.last_applied - log.snapshot.index
        if applied_since >= COMPACTION_THRESHOLD and log.durable_index >= self.last_applied:
            self.raft.compact(self.last_applied, self.documents.encode())

    def _propose_initial_state(self, now: int) -> None:
        """As the leader: proposes the first settings, and the registration of voters that showed folders."""
        no_settings = not self.documents.document(SETTINGS).versions
        if self._initial_settings is not None and no_settings and not self._settings_proposed:
            self._settings_proposed = True
            data = {
                "call": "begin",
                "doc": SETTINGS,
                "made_from": 0,
                "author": self.name,
                "reason": "what the fleet begins with",
                "at": 0,
                "text": self._initial_settings,
            }
            self.raft.propose(now, EntryKind.PUBLISH, data)
        for name, folder_id in self.registry.unregistered(self.raft.voters).items():
            if name not in self._folders_proposed:
                self._folders_proposed.add(name)
                self.raft.propose(now, EntryKind.REGISTER_FOLDER, {"voter": name, "folder": folder_id})

    def _activate_versions(self, now: int) -> None:
        self._activator.propose_due(now, self.applied_bounds(now))

    # --- leases from the leader ---

    def applied_bounds(self, now: int) -> AppliedBounds:
        """What this voter and all that hold leases from it have applied."""
        own = AppliedBounds(self.last_applied, min(self.last_applied, self.quiesced_index()))
        return self.leases.applied_bounds(now, own, self.documents.max_request_duration())

    def subtree_report(self, now: int) -> SubtreeReport:
        """What this voter and all that hold leases from it know of machines in maintenance."""
        own = SubtreeReport(self.name, self.last_applied, self.host.maintenance_report())
        return self.leases.subtree_report(now, own, self.documents.max_request_duration())

    def cluster_report(self, now: int) -> ClusterReport:
        """As the leader: what the whole cluster knows of machines in maintenance."""
        request_duration = self.documents.max_request_duration()
        earlier_leases_until = self.raft.leader_since + self.timing.lease_expiry_wait + request_duration
        return ClusterReport(
            [self.subtree_report(now), *self.leader_leases.subtree_reports(now, request_duration)],
            earlier_leases_may_run=now < earlier_leases_until,
        )

    def voter_incarnations(self) -> dict[str, int]:
        """As the leader: incarnations of this voter and of those that reported in this term."""
        incarnations = {voter: report.incarnation for voter, report in self.leader_leases.reports.items()}
        return {**incarnations, self.name: self.incarnation}

    def leased_incarnations(self, now: int) -> dict[str, int]:
        """As the leader: those of `voter_incarnations` that may hold a lease."""
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
        # A lease that was asked for by an earlier process counts for what that one had applied.
        asked_by_this_process = grant.request_sent_at >= self.started_at
        up_to_date = self.last_applied >= grant.required_index
        if grant.term == self.raft.term and asked_by_this_process and up_to_date:
            self._extend_lease(grant.request_sent_at + grant.lease_duration)

    # --- followers and other voters ---

    def admission_error(self, voter: str, folder_id: str) -> str:
        """Why a voter with that folder may not vote under that name; empty if it may."""
        return self.registry.admission_error(self.raft.log, voter, folder_id)

    def _rejection_of(self, now: int, heartbeat: FollowerHeartbeat) -> str:
        """Why a follower is not admitted; empty if it is."""
        name = heartbeat.name
        if self.leases.is_name_leased(now, heartbeat):
            return f"the name {name} is in use by another process"
        if name in self.raft.voters or self.remote_lease_holders.has_other_incarnation(
            name, heartbeat.incarnation
        ):
            return f"the name {name} is in use elsewhere"
        if not self._incarnations.accept(name, heartbeat.incarnation):
            return f"another process has taken the name {name} over"
        return ""

    def _handle_follower_heartbeat(self, now: int, sender: str, heartbeat: FollowerHeartbeat) -> None:
        rejection = self._rejection_of(now, heartbeat)
        if rejection:
            self.raft.send(sender, Rejection(rejection))
            return
        holder = self.leases.record_heartbeat(now, heartbeat, self.documents.max_request_duration())
        if holder:
            self._send_update(now, heartbeat.name, holder, heartbeat.sent_at)

    def _send_update(self, now: int, name: str, holder: LeaseHolder, request_sent_at: int) -> None:
        """Sends a follower new entries, and a lease if it asked and will have applied all of them."""
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
        self._gossip_due_at = now + GOSSIP_INTERVAL * self.timing.renew_interval
        self.remote_lease_holders.drop_stale(now)
        statuses = [*self.leases.statuses(now), self._own_status(now)]
        if self.is_leader():
            own_alive = [status for status in statuses if status.state == LeaseHolderState.ALIVE]
            self._quota_allocator.propose_if_due(now, own_alive + self.remote_lease_holders.alive())
        for voter in self.raft.voters:
            if voter != self.name:
                self.raft.send(voter, MembershipGossip(statuses))
        self.leases.drop_expired(now, self.documents.max_request_duration())

    def _own_status(self, now: int) -> LeaseHolderStatus:
        return LeaseHolderStatus(
            name=self.name,
            incarnation=self.incarnation,
            held_for=now - self.started_at,
            last_applied=self.last_applied,
            state=LeaseHolderState.ALIVE,
            quota_usage=self.host.quota_usage(),
        )

    # --- messages ---

    def propose(self, now: int, proposal_id: str, kind: str, data: dict[str, Any]) -> None:
        """Proposes an entry; the outcome comes in `proposal_responses`, once however often it is proposed."""
        self._proposals.handle_request(now, THIS_VOTER, ProposalRequest(proposal_id, kind, data))
        self.process(now)

    def receive(self, now: int, sender: str, message: Message) -> None:
        """Takes a message of another member."""
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
