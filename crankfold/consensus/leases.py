"""Leases: until when a member may act on what it has applied.

Leases form a tree: a leader that was just in contact with a quorum, the other voters, each voter's
followers. None lasts longer than the one above it. Who grants a lease counts it from the answer on, with a
margin for the drift of clocks, who holds it counts from the request on: so the granter knows of every lease
below it that may still run. `docs/bound.md` has the argument.

Times and durations are ticks of a tenth of a millisecond.
"""

from enum import StrEnum

from msgspec import Struct, field

from crankfold.consensus.maintenance_reports import SubtreeReport
from crankfold.consensus.messages import (
    FollowerHeartbeat,
    LeaseHolderStatus,
    LeaseRequest,
    Leave,
    MaintenanceReport,
)
from crankfold.consensus.timing import Timing, with_drift_margin

FORGET_AFTER_LEASES = 60  # a holder is forgotten so many lease durations after its last lease


class LeaseHolderState(StrEnum):
    """How a voter sees a lease holder; the values are sent to other voters and shown to operators."""

    ALIVE = "there"
    SUSPECTED = "suspected"  # out of contact, while its lease may still run
    EXPIRED = "cut off"  # out of contact, and its lease has expired
    LEFT = "left"


class AppliedBounds(Struct, frozen=True):
    """Bounds that hold for a member and for all that hold leases from it.

    Attributes:
        lowest_applied: All of them act on the log up to here at least.
        quiesced: None of their open requests exceeds the quotas as of this index.
    """

    lowest_applied: int
    quiesced: int


class LeaseHolder(Struct):
    """A follower that holds, or held, a lease from this voter.

    Attributes:
        first_contact_at: When this incarnation was first in contact.
        last_contact_at: When its last heartbeat arrived.
        heartbeat_sent_at: When it sent that one, by its own clock.
        expires_at: Its lease has expired by then; by its own clock it ends earlier.
        last_applied: Up to where it has applied the log, as of its last heartbeat.
        quiesced_index: As of its last heartbeat.
        has_left: Whether it gave its lease back.
        predecessor_until: Requests of an earlier incarnation may still run until then.
    """

    incarnation: int
    first_contact_at: int
    last_contact_at: int
    heartbeat_sent_at: int
    expires_at: int = 0
    last_applied: int = 0
    quiesced_index: int = 0
    has_left: bool = False
    quota_usage: dict[str, int] = field(default_factory=dict)
    maintenance_report: MaintenanceReport | None = None
    predecessor_until: int = 0


class LeaseTable:
    """The leases that a voter has granted to followers.

    Attributes:
        holders: By name.
    """

    def __init__(self, timing: Timing, started_at: int) -> None:
        """Knows no holder; leases of an earlier process under the same name may run for a while."""
        self.timing = timing
        self.started_at = started_at
        self.holders: dict[str, LeaseHolder] = {}

    def state_of(self, now: int, holder: LeaseHolder) -> LeaseHolderState:
        """How this voter sees the holder."""
        if holder.has_left:
            return LeaseHolderState.LEFT
        if now - holder.last_contact_at < self.timing.contact_timeout:
            return LeaseHolderState.ALIVE
        return LeaseHolderState.SUSPECTED if now < holder.expires_at else LeaseHolderState.EXPIRED

    def is_held_by_another(self, now: int, heartbeat: FollowerHeartbeat) -> bool:
        """Whether another incarnation still holds a lease under the sender's name."""
        holder = self.holders.get(heartbeat.name)
        return (
            holder is not None
            and holder.incarnation != heartbeat.incarnation
            and now < holder.expires_at
            and not holder.has_left
        )

    def record_heartbeat(
        self, now: int, heartbeat: FollowerHeartbeat, request_duration: int
    ) -> LeaseHolder | None:
        """Takes what a heartbeat says; None if a later one arrived before it.

        Args:
            now: The time.
            heartbeat: From a follower that this voter admits.
            request_duration: How long a request may last, in ticks.
        """
        holder = self.holders.get(heartbeat.name)
        if holder is None or holder.incarnation != heartbeat.incarnation:
            predecessor = holder
            holder = LeaseHolder(heartbeat.incarnation, now, now, heartbeat.sent_at)
            self.holders[heartbeat.name] = holder
            if predecessor and now < predecessor.expires_at + request_duration:
                holder.predecessor_until = predecessor.expires_at + request_duration
        if heartbeat.sent_at < holder.heartbeat_sent_at:
            return None
        holder.last_contact_at = now
        holder.heartbeat_sent_at = heartbeat.sent_at
        holder.has_left = False
        holder.last_applied = heartbeat.last_applied
        holder.quiesced_index = heartbeat.quiesced_index
        holder.quota_usage = heartbeat.quota_usage
        holder.maintenance_report = heartbeat.maintenance_report
        return holder

    def grant(self, now: int, holder: LeaseHolder, duration: int) -> None:
        """A lease of that duration, in ticks, is on its way to the holder."""
        holder.expires_at = max(holder.expires_at, now + with_drift_margin(duration))

    def release(self, now: int, leave: Leave) -> None:
        """A holder gives its lease back."""
        holder = self.holders.get(leave.name)
        if holder and holder.incarnation == leave.incarnation:
            holder.has_left = True
            holder.expires_at = now

    def in_contact(self, now: int) -> list[tuple[str, LeaseHolder]]:
        """The holders that were in contact lately, with their names."""
        return [
            (name, holder)
            for name, holder in self.holders.items()
            if holder.last_contact_at + self.timing.contact_timeout > now and not holder.has_left
        ]

    def applied_bounds(self, now: int, own: AppliedBounds, request_duration: int) -> AppliedBounds:
        """The bounds of this voter itself and of all that hold leases from it.

        Args:
            now: The time.
            own: The bounds of this voter alone.
            request_duration: How long a request may last, in ticks: it may outlive the lease by that.
        """
        lowest_applied = own.lowest_applied
        quiesced = own.quiesced
        for holder in self.holders.values():
            if now < holder.expires_at:
                lowest_applied = min(lowest_applied, holder.last_applied)
            if now < holder.expires_at + request_duration:
                quiesced = min(quiesced, holder.quiesced_index)
        # Nothing is known of leases that an earlier process granted under this name.
        earlier_leases_until = self.started_at + self.timing.lease_expiry_wait
        if now < earlier_leases_until:
            lowest_applied = 0
        if now < earlier_leases_until + request_duration:
            quiesced = 0
        return AppliedBounds(lowest_applied, quiesced)

    def subtree_report(self, now: int, own: SubtreeReport, request_duration: int) -> SubtreeReport:
        """Adds the reports of all that hold leases from here, or whose requests may still run, to `own`."""
        if own.report is None:
            return SubtreeReport(own.voter, drained_index=0, report=None)
        drained_index = own.drained_index
        for holder in self.holders.values():
            if now >= holder.expires_at + request_duration:
                continue
            has_reported = holder.maintenance_report is not None and now >= holder.predecessor_until
            drained_index = min(drained_index, holder.last_applied if has_reported else 0)
            if holder.maintenance_report:
                own.report.merge(holder.maintenance_report, lease_valid=now < holder.expires_at)
        # Nothing is known of leases that an earlier process granted under this name.
        if now < self.started_at + self.timing.lease_expiry_wait + request_duration:
            drained_index = 0
        return SubtreeReport(own.voter, drained_index, own.report)

    def statuses(self, now: int) -> list[LeaseHolderStatus]:
        """All holders, for other voters."""
        return [
            LeaseHolderStatus(
                name=name,
                incarnation=holder.incarnation,
                held_for=now - holder.first_contact_at,
                last_applied=holder.last_applied,
                state=self.state_of(now, holder),
                quota_usage=holder.quota_usage,
            )
            for name, holder in self.holders.items()
        ]

    def drop_forgotten(self, now: int, request_duration: int) -> None:
        """Drops holders whose last lease expired long ago."""
        forget_after = request_duration + FORGET_AFTER_LEASES * self.timing.lease_duration
        for name, holder in list(self.holders.items()):
            if now > holder.expires_at + forget_after:
                del self.holders[name]


class VoterReport(Struct):
    """What a voter reported of itself and of all that hold leases from it, in its last lease request.

    Attributes:
        sent_at: By the voter's clock.
        received_at: By the leader's clock.
    """

    incarnation: int
    sent_at: int
    lowest_applied_index: int
    quiesced_index: int
    drained_index: int
    maintenance_report: MaintenanceReport | None
    received_at: int


class LeaderLeases:
    """The leases that a leader has granted to the other voters in its term.

    Attributes:
        granted_until: By voter, when its lease has expired.
        reports: By voter, the newest report.
    """

    def __init__(self) -> None:
        """No voter has reported yet."""
        self.granted_until: dict[str, int] = {}
        self.reports: dict[str, VoterReport] = {}

    def reset(self) -> None:
        """A new term as leader begins."""
        self.granted_until = {}
        self.reports = {}

    def record(self, now: int, voter: str, request: LeaseRequest) -> bool:
        """Takes the report of a lease request; False if a later one arrived before it."""
        previous = self.reports.get(voter)
        if previous and previous.incarnation == request.incarnation and request.sent_at < previous.sent_at:
            return False
        self.reports[voter] = VoterReport(
            incarnation=request.incarnation,
            sent_at=request.sent_at,
            lowest_applied_index=request.lowest_applied_index,
            quiesced_index=request.quiesced_index,
            drained_index=request.drained_index,
            maintenance_report=request.maintenance_report,
            received_at=now,
        )
        return True

    def grant(self, now: int, voter: str, duration: int) -> None:
        """A lease of that duration, in ticks, is on its way to the voter."""
        expires_at = now + with_drift_margin(duration)
        self.granted_until[voter] = max(self.granted_until.get(voter, 0), expires_at)

    def is_held(self, now: int, voter: str) -> bool:
        """Whether the voter may hold a lease of this term."""
        return now < self.granted_until.get(voter, 0)

    def reports_until(self, now: int, grace: int = 0) -> list[VoterReport]:
        """Reports of the voters whose leases may run, or expired less than `grace` ticks ago."""
        return [
            report for voter, report in self.reports.items() if now < self.granted_until.get(voter, 0) + grace
        ]

    def subtree_reports(self, now: int, request_duration: int) -> list[SubtreeReport]:
        """Maintenance reports of the voters whose requests, or those of their holders, may still run."""
        return [
            SubtreeReport(
                voter,
                self.reports[voter].drained_index,
                self.reports[voter].maintenance_report,
                lease_valid=now < until,
            )
            for voter, until in sorted(self.granted_until.items())
            if now < until + request_duration
        ]
