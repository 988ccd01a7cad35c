"""The leases that a voter grants to followers. A member may act on its documents while it holds a lease.

Leases form a tree: the leader holds its lease by contact with a quorum and grants leases to the other voters;
each voter grants leases to its followers. A lease expires no later than the one that it is granted from. The
granter counts a lease from the time it sends the grant and adds a margin for clock drift; the holder counts
from the time it sent the request. So the granter's expiry is never earlier than the holder's. `docs/bound.md`
has the proof.

Times and durations are ticks of a tenth of a millisecond.
"""

from enum import StrEnum

from msgspec import Struct, field

from crankfold.consensus.maintenance_reports import SubtreeReport
from crankfold.consensus.messages import (
    FollowerHeartbeat,
    LeaseHolderStatus,
    Leave,
    MaintenanceReport,
)
from crankfold.consensus.timing import Timing, with_drift_margin

# A holder is removed this many lease durations after its lease has expired and its requests have ended.
HOLDER_RETENTION_LEASES = 60


class LeaseHolderState(StrEnum):
    """The state of a lease holder. Values are sent to other voters and shown to operators."""

    ALIVE = "there"
    SUSPECTED = "suspected"  # out of contact, while its lease may still run
    EXPIRED = "cut off"  # out of contact, and its lease has expired
    LEFT = "left"


class AppliedBounds(Struct, frozen=True):
    """Lower bounds that hold for a member and for each holder of its leases, as log indices.

    Attributes:
        lowest_applied: Each of them has applied the log up to this index.
        quiesced: The open requests of each keep within the quotas as of this index.
    """

    lowest_applied: int
    quiesced: int


class LeaseHolder(Struct):
    """A follower to which this voter granted a lease; its lease may have expired.

    Attributes:
        incarnation: The incarnation of its process.
        first_contact_at: When the first heartbeat of this incarnation arrived.
        last_contact_at: When the newest heartbeat arrived.
        heartbeat_sent_at: When the follower sent that heartbeat, on the follower's clock.
        expires_at: The latest time at which its lease expires.
        last_applied: The last log index that it had applied when it sent its newest heartbeat.
        quiesced_index: The index of the quotas that its open requests complied with at that time.
        has_left: Whether it released its lease.
        quota_usage: The number of open and wanted requests at that time, by cluster-wide limit.
        maintenance_report: Its report in that heartbeat; None for none.
        predecessor_until: The latest time at which requests of the preceding incarnation end.
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
    """The leases that a voter grants to followers.

    Attributes:
        timing: Durations of leases and of contact.
        started_at: When the process of the voter started.
        holders: The lease holders, by name.
    """

    def __init__(self, timing: Timing, started_at: int) -> None:
        """Starts without holders, although leases from an earlier process of the voter may still run."""
        self.timing = timing
        self.started_at = started_at
        self.holders: dict[str, LeaseHolder] = {}

    def state_of(self, now: int, holder: LeaseHolder) -> LeaseHolderState:
        """Returns the state of the holder at `now`."""
        if holder.has_left:
            return LeaseHolderState.LEFT
        if now - holder.last_contact_at < self.timing.contact_timeout:
            return LeaseHolderState.ALIVE
        return LeaseHolderState.SUSPECTED if now < holder.expires_at else LeaseHolderState.EXPIRED

    def is_name_leased(self, now: int, heartbeat: FollowerHeartbeat) -> bool:
        """Whether another incarnation may still hold a lease under the sender's name."""
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
        """Updates the holder that sent a heartbeat.

        Args:
            now: The current time.
            heartbeat: A heartbeat from a follower that this voter admits.
            request_duration: The longest duration of a request.

        Returns:
            The holder, or None if a heartbeat that was sent later has already arrived.
        """
        holder = self.holders.get(heartbeat.name)
        if holder is None or holder.incarnation != heartbeat.incarnation:
            holder = self._add_incarnation(now, heartbeat, request_duration)
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

    def _add_incarnation(self, now: int, heartbeat: FollowerHeartbeat, request_duration: int) -> LeaseHolder:
        """Replaces a holder by its new incarnation, and records when requests of the old one end."""
        predecessor = self.holders.get(heartbeat.name)
        holder = LeaseHolder(heartbeat.incarnation, now, now, heartbeat.sent_at)
        self.holders[heartbeat.name] = holder
        if predecessor and now < predecessor.expires_at + request_duration:
            holder.predecessor_until = predecessor.expires_at + request_duration
        return holder

    def grant(self, now: int, holder: LeaseHolder, duration: int) -> None:
        """Records that a lease of `duration` ticks was sent to the holder at `now`."""
        holder.expires_at = max(holder.expires_at, now + with_drift_margin(duration))

    def release(self, now: int, leave: Leave) -> None:
        """Ends the lease of a holder that leaves, unless another incarnation now has its name."""
        holder = self.holders.get(leave.name)
        if holder and holder.incarnation == leave.incarnation:
            holder.has_left = True
            holder.expires_at = now

    def in_contact(self, now: int) -> list[tuple[str, LeaseHolder]]:
        """Returns the holders in contact, with their names."""
        return [
            (name, holder)
            for name, holder in self.holders.items()
            if self.state_of(now, holder) == LeaseHolderState.ALIVE
        ]

    def applied_bounds(self, now: int, own: AppliedBounds, request_duration: int) -> AppliedBounds:
        """Returns the lower bounds for this voter and the holders of its leases.

        Args:
            now: The current time.
            own: The bounds of this voter alone.
            request_duration: The longest duration of a request, which may end that long after the lease
                under which it was admitted.
        """
        lowest_applied = own.lowest_applied
        quiesced = own.quiesced
        for holder in self.holders.values():
            if now < holder.expires_at:
                lowest_applied = min(lowest_applied, holder.last_applied)
            if now < holder.expires_at + request_duration:
                quiesced = min(quiesced, holder.quiesced_index)
        # The holders of leases from an earlier process of this voter are unknown.
        earlier_leases_until = self.timing.earlier_leases_until(self.started_at)
        if now < earlier_leases_until:
            lowest_applied = 0
        if now < earlier_leases_until + request_duration:
            quiesced = 0
        return AppliedBounds(lowest_applied, quiesced)

    def subtree_report(self, now: int, own: SubtreeReport, request_duration: int) -> SubtreeReport:
        """Merges into `own` the reports of holders whose leases or requests may still run.

        Args:
            now: The current time.
            own: The report of this voter alone; its `report` is extended in place.
            request_duration: The longest duration of a request.

        Returns:
            The merged report with the lowest drained index.
        """
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
        if now < self.timing.earlier_leases_until(self.started_at) + request_duration:
            drained_index = 0
        return SubtreeReport(own.voter, drained_index, own.report)

    def statuses(self, now: int) -> list[LeaseHolderStatus]:
        """Returns the status of each holder, for gossip to the other voters."""
        return [
            LeaseHolderStatus(
                name=name,
                incarnation=holder.incarnation,
                contact_ticks=now - holder.first_contact_at,
                last_applied=holder.last_applied,
                state=self.state_of(now, holder),
                quota_usage=holder.quota_usage,
            )
            for name, holder in self.holders.items()
        ]

    def drop_expired(self, now: int, request_duration: int) -> None:
        """Removes holders whose leases and requests ended `HOLDER_RETENTION_LEASES` lease durations ago."""
        retention = request_duration + HOLDER_RETENTION_LEASES * self.timing.lease_duration
        for name, holder in list(self.holders.items()):
            if now > holder.expires_at + retention:
                del self.holders[name]
