"""What members of a fleet tell each other, and what is kept. Times are tenths of a millisecond.

No time of one machine's clock is ever compared with another's: a span goes from the asker's own clock to the
asker's own clock, the answer only says how long.
"""

from typing import Any

from msgspec import Struct, field


class LogEntry(Struct, array_like=True, frozen=True):
    """One step of the history."""

    term: int
    kind: str
    data: dict[str, Any]


class Snapshot(Struct, array_like=True, frozen=True):
    """All that went before the entries that a log still has."""

    index: int
    term: int
    voters: dict[str, str]  # by name, their addresses
    state: bytes


class RequestVote(Struct, array_like=True, frozen=True, tag="b"):
    """Asks for a vote, or (`trial`) whether there would be one."""

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool


class RequestVoteResponse(Struct, array_like=True, frozen=True, tag="B"):
    term: int
    pre_vote: bool
    vote_granted: bool


class AppendEntries(Struct, array_like=True, frozen=True, tag="a"):
    """Entries after `before`, or none: then it says that the leader is there."""

    term: int
    prev_log_index: int
    prev_log_term: int
    entries: list[LogEntry]
    leader_commit: int
    round_number: int
    cluster_applied_index: int  # up to here all act that may act


class AppendEntriesResponse(Struct, array_like=True, frozen=True, tag="A"):
    """`match`: up to where the logs agree; without `yes`, from where to try."""

    term: int
    success: bool
    match_index: int
    round_number: int


class InstallSnapshot(Struct, array_like=True, frozen=True, tag="i"):
    term: int
    snapshot: Snapshot
    round_number: int


class MaintenanceReport(Struct, array_like=True):
    """What somebody, or he and all that hold leases from him, have to say of machines out for work."""

    in_flight: dict[str, int] = field(default_factory=dict)  # machines that are out, and units still there
    unresolved: dict[str, list[str]] = field(default_factory=dict)  # units that may go on there, nobody knows
    response_counts: dict[str, tuple[int, int]] = field(
        default_factory=dict
    )  # of machines that are back: all, bad
    unavailable: list[str] = field(default_factory=list)  # machines that his list does not call ready
    idle_dispatchers: list[str] = field(default_factory=list)  # dispatchers that were told to leave, and have
    dispatcher_zones: dict[str, str] = field(default_factory=dict)  # of dispatchers that were given one
    open_requests: int = 0
    recent_accepted: int = 0  # lately
    recent_shed: int = 0

    def merge(self, other: "MaintenanceReport", alive: bool) -> None:
        """With one who is not heard any more only what he holds counts."""
        for uid, units in other.in_flight.items():
            self.in_flight[uid] = self.in_flight.get(uid, 0) + units
        if not alive:
            return
        for uid, idents in other.unresolved.items():
            self.unresolved.setdefault(uid, []).extend(idents[:5])
        for uid, (all_of, bad) in other.response_counts.items():
            before = self.response_counts.get(uid, (0, 0))
            self.response_counts[uid] = before[0] + all_of, before[1] + bad
        self.unavailable = sorted({*self.unavailable, *other.unavailable})
        self.idle_dispatchers = sorted({*self.idle_dispatchers, *other.idle_dispatchers})
        self.dispatcher_zones |= other.dispatcher_zones
        self.open_requests, self.recent_accepted, self.recent_shed = (
            self.open_requests + other.open_requests,
            self.recent_accepted + other.recent_accepted,
            self.recent_shed + other.recent_shed,
        )


class LeaseRequest(Struct, array_like=True, frozen=True, tag="l"):
    """A voter asks the leader for its lease. `asked` is the asker's own clock; `least` is up to where
    it and all that hold theirs from it act, `settled` up to where their units in hand keep to it too."""

    term: int
    incarnation: int
    sent_at: int
    lowest_applied_index: int
    quiesced_index: int
    drained_index: int = 0  # up to where all heard, when they told what `tell` gathers
    maintenance_report: MaintenanceReport | None = None


class LeaseGrant(Struct, array_like=True, frozen=True, tag="L"):
    """For whoever acts on all up to `need` by the time this reaches him."""

    term: int
    request_sent_at: int
    lease_duration: int  # from `asked` on; 0 for none
    required_index: int


class FollowerHeartbeat(Struct, array_like=True, frozen=True, tag="f"):
    """A follower asks a voter for what is new and for its lease."""

    name: str
    incarnation: int
    sent_at: int
    last_applied: int
    quiesced_index: int
    quota_usage: dict[str, int]  # of each limit for the whole fleet, what is in hand and wanted
    maintenance_report: MaintenanceReport | None = None  # only while there are works


class FollowerUpdate(Struct, array_like=True, frozen=True, tag="F"):
    """`kept` where the follower was away for longer than the entries go back; entries follow `before`."""

    request_sent_at: int
    lease_duration: int
    prev_log_index: int
    snapshot: Snapshot | None
    entries: list[LogEntry]
    voter_last_applied: int  # up to where the voter has applied the history
    cluster_applied_index: int  # up to here all act that may act


class Rejection(Struct, array_like=True, frozen=True, tag="r"):
    reason: str


class ProposalRequest(Struct, array_like=True, frozen=True, tag="p"):
    """What an operator asks for, passed on to the leader. The same `call` twice has one effect."""

    proposal_id: str
    kind: str
    data: dict[str, Any]


class ProposalResponse(Struct, array_like=True, frozen=True, tag="P"):
    """What became of it; `index` is where in the history it stands."""

    proposal_id: str
    accepted: bool
    reason: str
    version_number: int
    log_index: int


class ValidationRequest(Struct, array_like=True, frozen=True, tag="c"):
    """Could you use this document?"""

    proposal_id: str
    document_name: str
    content: dict[str, Any]


class ValidationResponse(Struct, array_like=True, frozen=True, tag="C"):
    proposal_id: str
    error: str


class Leave(Struct, array_like=True, frozen=True, tag="g"):
    name: str
    incarnation: int


class LeaseHolderStatus(Struct, array_like=True, frozen=True):
    name: str
    incarnation: int
    held_for: int  # there for so long
    last_applied: int
    state: str
    quota_usage: dict[str, int]


class MembershipGossip(Struct, array_like=True, frozen=True, tag="m"):
    """Who holds a lease from the sender, himself among them."""

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


class Timing(Struct, frozen=True):
    """All from the stated time: how long two may act on rules that contradict each other."""

    stated: int

    @property
    def lease_duration(self) -> int:
        return self.stated * 8 // 10

    @property
    def heartbeat_interval(self) -> int:
        return self.stated * 4 // 100

    @property
    def election_timeout(self) -> int:
        """Least time without a leader before another stands; twice that at most."""
        return self.stated * 16 // 100

    @property
    def renew_interval(self) -> int:
        return self.stated // 10

    @property
    def lease_expiry_wait(self) -> int:
        """After so long on one clock a lease is over on any other, both as much as 1% off."""
        return self.lease_duration * 103 // 100
