"""Messages between the members of a cluster, and the records that they share with the storage.

Every class is encoded as a MessagePack array with a one-letter tag: the order of the fields, their types and
the tags are the wire format, the names are not. Times and durations are ticks of a tenth of a millisecond.

No time of one machine's clock is ever compared with another's: the sender's time comes back in the answer,
and a duration counts from there on the sender's own clock.
"""

from typing import Any

from msgspec import Struct, field

MAX_UNRESOLVED_REPORTED = 5  # requests of one reporter at one machine


class LogEntry(Struct, array_like=True, frozen=True):
    """One entry of the replicated log.

    Attributes:
        term: The term of the leader that appended it.
        kind: What it means; see `log_entries.EntryKind`.
        data: Its fields, by the kind.
    """

    term: int
    kind: str
    data: dict[str, Any]


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
    """A candidate asks for a vote, or, as a pre-vote, whether it would get one."""

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool


class RequestVoteResponse(Struct, array_like=True, frozen=True, tag="B"):
    """A voter grants or denies its vote for `term`."""

    term: int
    pre_vote: bool
    vote_granted: bool


class AppendEntries(Struct, array_like=True, frozen=True, tag="a"):
    """A leader replicates the entries after `prev_log_index`; without entries it is a heartbeat.

    Attributes:
        round_number: The leader's count of broadcasts, which the response repeats.
        cluster_applied_index: Every member that may act has applied the log up to here.
    """

    term: int
    prev_log_index: int
    prev_log_term: int
    entries: list[LogEntry]
    leader_commit: int
    round_number: int
    cluster_applied_index: int


class AppendEntriesResponse(Struct, array_like=True, frozen=True, tag="A"):
    """A voter's answer to AppendEntries or InstallSnapshot.

    Attributes:
        match_index: Up to where the logs agree; without `success`, the next `prev_log_index` to try.
    """

    term: int
    success: bool
    match_index: int
    round_number: int


class InstallSnapshot(Struct, array_like=True, frozen=True, tag="i"):
    """A leader sends its snapshot to a voter that needs entries which are compacted already."""

    term: int
    snapshot: Snapshot
    round_number: int


class MaintenanceReport(Struct, array_like=True):
    """What one dispatcher, or one with all that hold leases from it, knows of machines in maintenance.

    Attributes:
        in_flight: Requests that are still at a machine in maintenance, by machine.
        unresolved: Ids of abandoned requests that may still run at a machine, by machine.
        response_counts: Of machines that are back: responses in all, and bad ones.
        unavailable: Machines that the discovery list does not call ready.
        idle_dispatchers: Dispatchers that were told to drain and have no request left.
        dispatcher_zones: Zones by dispatcher, where one is configured.
        open_requests: Open requests.
        recent_accepted: Requests accepted lately.
        recent_shed: Requests shed lately.
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
        """Adds another report; from a member whose lease has expired, only its requests in flight count."""
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
    """A voter asks the leader to renew its lease.

    Attributes:
        sent_at: By the sender's clock.
        lowest_applied_index: The sender and all that hold leases from it have applied the log up to here.
        quiesced_index: None of their requests in flight was admitted under an older version than this.
        drained_index: All of them had applied the log up to here when they made `maintenance_report`.
        maintenance_report: Their combined report; none while no machine is in maintenance.
    """

    term: int
    incarnation: int
    sent_at: int
    lowest_applied_index: int
    quiesced_index: int
    drained_index: int = 0
    maintenance_report: MaintenanceReport | None = None


class LeaseGrant(Struct, array_like=True, frozen=True, tag="L"):
    """The leader grants a lease to a voter that has applied the log up to `required_index` on receipt.

    Attributes:
        request_sent_at: `LeaseRequest.sent_at`; the lease counts from there.
        lease_duration: In ticks; 0 for none.
    """

    term: int
    request_sent_at: int
    lease_duration: int
    required_index: int


class FollowerHeartbeat(Struct, array_like=True, frozen=True, tag="f"):
    """A follower asks its voter for new entries and to renew its lease.

    Attributes:
        sent_at: By the sender's clock.
        quota_usage: By quota of the whole cluster, open requests and those wanted.
        maintenance_report: Only while machines are in maintenance.
    """

    name: str
    incarnation: int
    sent_at: int
    last_applied: int
    quiesced_index: int
    quota_usage: dict[str, int]
    maintenance_report: MaintenanceReport | None = None


class FollowerUpdate(Struct, array_like=True, frozen=True, tag="F"):
    """A voter sends a follower new entries and perhaps a lease.

    Attributes:
        request_sent_at: `FollowerHeartbeat.sent_at`; the lease counts from there. 0 if unasked.
        lease_duration: In ticks; 0 for none.
        prev_log_index: The entries come after this index.
        snapshot: Comes first where the follower needs entries that are compacted already.
        voter_last_applied: Up to where the voter has applied the log.
        cluster_applied_index: Every member that may act has applied the log up to here.
    """

    request_sent_at: int
    lease_duration: int
    prev_log_index: int
    snapshot: Snapshot | None
    entries: list[LogEntry]
    voter_last_applied: int
    cluster_applied_index: int


class Rejection(Struct, array_like=True, frozen=True, tag="r"):
    """The sender does not admit the receiver, and why."""

    reason: str


class ProposalRequest(Struct, array_like=True, frozen=True, tag="p"):
    """A proposal, forwarded to the leader. The same `proposal_id` takes effect once, however often sent."""

    proposal_id: str
    kind: str
    data: dict[str, Any]


class ProposalResponse(Struct, array_like=True, frozen=True, tag="P"):
    """The outcome of a proposal.

    Attributes:
        reason: Why it was not accepted.
        version_number: The version that it made, or the newest one that it conflicted with; 0 for none.
        log_index: Where in the log it stands; 0 if it is not there.
    """

    proposal_id: str
    accepted: bool
    reason: str
    version_number: int
    log_index: int


class ValidationRequest(Struct, array_like=True, frozen=True, tag="c"):
    """The leader asks a voter whether it could use this content of a document."""

    proposal_id: str
    document_name: str
    content: dict[str, Any]


class ValidationResponse(Struct, array_like=True, frozen=True, tag="C"):
    """A voter's answer to a ValidationRequest; `error` is empty if it could."""

    proposal_id: str
    error: str


class Leave(Struct, array_like=True, frozen=True, tag="g"):
    """A follower ends, and gives its lease and its name back."""

    name: str
    incarnation: int


class LeaseHolderStatus(Struct, array_like=True, frozen=True):
    """A lease holder as its voter sees it.

    Attributes:
        held_for: How long it has been there, in ticks.
        state: One of `leases.LeaseHolderState`.
        quota_usage: By quota of the whole cluster, open requests and those wanted.
    """

    name: str
    incarnation: int
    held_for: int
    last_applied: int
    state: str
    quota_usage: dict[str, int]


class MembershipGossip(Struct, array_like=True, frozen=True, tag="m"):
    """A voter lists its lease holders for the other voters; the voter itself is among them."""

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
