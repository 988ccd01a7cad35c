"""Messages between the members of a cluster, and records that are both sent and stored.

Every message is encoded as a MessagePack array with a one-letter tag. The order of the fields, their types
and the tags are the wire format, the names are not. Times and durations are ticks of a tenth of a
millisecond.

Clocks of different machines are never compared: a response repeats the time of its request, and a duration
in it counts from that time on the clock of the requester.
"""

from typing import Any

from msgspec import Struct, field

EntryData = dict[str, Any]
"""The fields of a log entry. A plain dictionary, because the order of the proposer's keys is stored."""

DocumentContent = dict[str, Any]
"""The content of a document. A plain dictionary, because its keys are stored in the author's order."""

MAX_UNRESOLVED_REPORTED = 5  # request ids from each report, for each machine


class LogEntry(Struct, array_like=True, frozen=True):
    """One entry of the replicated log.

    Attributes:
        term: The term of the leader that appended it.
        kind: The value of a `log_entries.EntryKind`.
        data: The fields of that kind.
    """

    term: int
    kind: str
    data: EntryData


class Snapshot(Struct, array_like=True, frozen=True):
    """The replicated state that replaces the entries up to `index`.

    Attributes:
        index: The index of the last entry that it replaces.
        term: The term of that entry.
        voters: Addresses of the voters by name, as of that entry.
        state: The encoded `versioned_documents.ReplicatedState`.
    """

    index: int
    term: int
    voters: dict[str, str]
    state: bytes


class RequestVote(Struct, array_like=True, frozen=True, tag="b"):
    """A candidate requests a vote; a pre-vote changes no state at the voter."""

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool


class RequestVoteResponse(Struct, array_like=True, frozen=True, tag="B"):
    """A voter grants or denies its vote in `term`."""

    term: int
    pre_vote: bool
    vote_granted: bool


class AppendEntries(Struct, array_like=True, frozen=True, tag="a"):
    """A leader replicates the entries after `prev_log_index`; without entries, this is a heartbeat.

    Attributes:
        round_number: The number of the leader's broadcast, which the response repeats.
        cluster_applied_index: The highest index that each member with a lease has applied.
    """

    term: int
    prev_log_index: int
    prev_log_term: int
    entries: list[LogEntry]
    leader_commit: int
    round_number: int
    cluster_applied_index: int


class AppendEntriesResponse(Struct, array_like=True, frozen=True, tag="A"):
    """The response to AppendEntries or InstallSnapshot.

    Attributes:
        match_index: The highest matching index; if not `success`, the next `prev_log_index` to try.
    """

    term: int
    success: bool
    match_index: int
    round_number: int


class InstallSnapshot(Struct, array_like=True, frozen=True, tag="i"):
    """A leader sends its snapshot to a voter that lacks compacted entries."""

    term: int
    snapshot: Snapshot
    round_number: int


class MaintenanceReport(Struct, array_like=True):
    """A dispatcher's report for maintenance, or the merged reports of a voter and its lease holders.

    Attributes:
        in_flight: The number of requests in flight, by machine in maintenance.
        unresolved: Ids of abandoned requests that may still be executed, by machine.
        response_counts: The numbers of all responses and of bad ones, by machine under observation.
        unavailable: Machines that discovery does not list as ready.
        idle_dispatchers: Draining dispatchers without open requests.
        dispatcher_zones: The zone of each dispatcher that has one configured.
        open_requests: The number of open requests.
        recent_accepted: The number of requests accepted in the recent past.
        recent_shed: The number of requests shed in the recent past.
    """

    in_flight: dict[str, int] = field(default_factory=dict)
    unresolved: dict[str, list[str]] = field(default_factory=dict)
    response_counts: dict[str, tuple[int, int]] = field(default_factory=dict)
    unavailable: list[str] = field(default_factory=list)
    idle_dispatchers: list[str] = field(default_factory=list)
    dispatcher_zones: dict[str, str] = field(default_factory=dict)
    open_requests: int = 0
    recent_accepted: int = 0
    recent_shed: int = 0

    def merge(self, other: "MaintenanceReport", *, lease_valid: bool) -> None:
        """Merges another report into this one; only the requests in flight if its lease is not valid."""
        for machine_id, count in other.in_flight.items():
            self.in_flight[machine_id] = self.in_flight.get(machine_id, 0) + count
        if not lease_valid:
            return
        for machine_id, request_ids in other.unresolved.items():
            self.unresolved.setdefault(machine_id, []).extend(request_ids[:MAX_UNRESOLVED_REPORTED])
        for machine_id, (total, bad) in other.response_counts.items():
            earlier_total, earlier_bad = self.response_counts.get(machine_id, (0, 0))
            self.response_counts[machine_id] = earlier_total + total, earlier_bad + bad
        self.unavailable = sorted({*self.unavailable, *other.unavailable})
        self.idle_dispatchers = sorted({*self.idle_dispatchers, *other.idle_dispatchers})
        self.dispatcher_zones |= other.dispatcher_zones
        self.open_requests += other.open_requests
        self.recent_accepted += other.recent_accepted
        self.recent_shed += other.recent_shed


class LeaseRequest(Struct, array_like=True, frozen=True, tag="l"):
    """A voter requests a lease from the leader.

    Attributes:
        sent_at: When it was sent, on the sender's clock.
        lowest_applied_index: The sender and each of its lease holders have applied the log up to this index.
        quiesced_index: The open requests of each keep within the quotas as of this index.
        drained_index: Each had applied the log up to this index when it made its maintenance report.
        maintenance_report: Their merged report; None while no machine is in maintenance.
    """

    term: int
    incarnation: int
    sent_at: int
    lowest_applied_index: int
    quiesced_index: int
    drained_index: int = 0
    maintenance_report: MaintenanceReport | None = None


class LeaseGrant(Struct, array_like=True, frozen=True, tag="L"):
    """The leader grants a lease, valid if the receiver has applied the log up to `required_index` by then.

    Attributes:
        request_sent_at: `LeaseRequest.sent_at`; the lease counts from there.
        lease_duration: The duration of the lease.
        required_index: The commit index of the leader.
    """

    term: int
    request_sent_at: int
    lease_duration: int
    required_index: int


class FollowerHeartbeat(Struct, array_like=True, frozen=True, tag="f"):
    """A follower requests new entries and a lease from its voter.

    Attributes:
        sent_at: When it was sent, on the sender's clock.
        quiesced_index: The sender's open requests keep within the quotas as of this index.
        quota_usage: The number of open and wanted requests, by cluster-wide limit.
        maintenance_report: The sender's report; None while no machine is in maintenance.
    """

    name: str
    incarnation: int
    sent_at: int
    last_applied: int
    quiesced_index: int
    quota_usage: dict[str, int]
    maintenance_report: MaintenanceReport | None = None


class FollowerUpdate(Struct, array_like=True, frozen=True, tag="F"):
    """A voter sends a follower new entries and, in response to a heartbeat, a lease.

    Attributes:
        request_sent_at: `FollowerHeartbeat.sent_at`; the lease counts from there. 0 if this is no response.
        lease_duration: The duration of the lease; 0 for no lease.
        prev_log_index: The index before the first of `entries`.
        snapshot: The state before `entries`, if the follower lacks compacted entries.
        voter_last_applied: The last index that the voter has applied.
        cluster_applied_index: The highest index that each member with a lease has applied.
    """

    request_sent_at: int
    lease_duration: int
    prev_log_index: int
    snapshot: Snapshot | None
    entries: list[LogEntry]
    voter_last_applied: int
    cluster_applied_index: int


class Rejection(Struct, array_like=True, frozen=True, tag="r"):
    """The sender does not admit the receiver; `reason` says why."""

    reason: str


class ProposalRequest(Struct, array_like=True, frozen=True, tag="p"):
    """A proposal to the leader. It takes effect once, even if it is sent again with its `proposal_id`."""

    proposal_id: str
    kind: str
    data: EntryData


class ProposalResponse(Struct, array_like=True, frozen=True, tag="P"):
    """The outcome of a proposal.

    Attributes:
        accepted: Whether it took effect.
        reason: Why it was not accepted; empty if it was.
        version_number: The version that it created, or the newest version that it conflicted with; 0 for
            none.
        log_index: The log index of its entry; 0 if it was not appended.
    """

    proposal_id: str
    accepted: bool
    reason: str
    version_number: int
    log_index: int


class ValidationRequest(Struct, array_like=True, frozen=True, tag="c"):
    """The leader requests validation of the content of a document."""

    proposal_id: str
    document_name: str
    content: DocumentContent


class ValidationResponse(Struct, array_like=True, frozen=True, tag="C"):
    """The response to a ValidationRequest; `error` is empty for valid content."""

    proposal_id: str
    error: str


class Leave(Struct, array_like=True, frozen=True, tag="g"):
    """A follower leaves the cluster and releases its lease and its name."""

    name: str
    incarnation: int


class LeaseHolderStatus(Struct, array_like=True, frozen=True):
    """The state of a lease holder at its voter.

    Attributes:
        contact_ticks: The time since its first contact.
        state: The value of a `leases.LeaseHolderState`.
        quota_usage: The number of open and wanted requests, by cluster-wide limit.
    """

    name: str
    incarnation: int
    contact_ticks: int
    last_applied: int
    state: str
    quota_usage: dict[str, int]


class MembershipGossip(Struct, array_like=True, frozen=True, tag="m"):
    """A voter sends the status of its lease holders and of itself to the other voters."""

    lease_holders: list[LeaseHolderStatus]


Message = (
    RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | LeaseRequest
    | LeaseGrant
    | FollowerHeartbeat
    | FollowerUpdate
    | Rejection
    | ProposalRequest
    | ProposalResponse
    | ValidationRequest
    | ValidationResponse
    | Leave
    | MembershipGossip
)
