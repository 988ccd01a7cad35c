"""The leases that a leader grants to the other voters, and the reports in their lease requests.

Times and durations are ticks of a tenth of a millisecond.
"""

from msgspec import Struct

from crankfold.consensus.maintenance_reports import SubtreeReport
from crankfold.consensus.messages import LeaseRequest, MaintenanceReport
from crankfold.consensus.timing import with_drift_margin


class VoterReport(Struct):
    """The content of a voter's newest lease request, with bounds for the voter and its lease holders.

    Attributes:
        incarnation: The incarnation of the voter's process.
        sent_at: When it was sent, on the voter's clock.
        lowest_applied_index: Each of them has applied the log up to this index.
        quiesced_index: The open requests of each keep within the quotas as of this index.
        drained_index: Each of them had applied the log up to this index when it made its maintenance report;
            0 if one of them has none.
        maintenance_report: Their merged report; None if the voter itself has none.
        received_at: When it arrived, on the leader's clock.
    """

    incarnation: int
    sent_at: int
    lowest_applied_index: int
    quiesced_index: int
    drained_index: int
    maintenance_report: MaintenanceReport | None
    received_at: int


class LeaderLeases:
    """The leases that a leader grants to the other voters in its term.

    Attributes:
        term: The term of the grants and reports; 0 before the first one as leader.
        granted_until: The latest time at which the lease expires, by voter.
        reports: The newest report, by voter.
    """

    def __init__(self) -> None:
        """Starts without grants or reports."""
        self.term = 0
        self.granted_until: dict[str, int] = {}
        self.reports: dict[str, VoterReport] = {}

    def begin_term(self, term: int) -> None:
        """Drops all grants and reports at the start of a term as leader."""
        self.term = term
        self.granted_until = {}
        self.reports = {}

    def record(self, now: int, voter: str, request: LeaseRequest) -> bool:
        """Stores the report in a lease request.

        Returns:
            Whether it was stored; False if a request that was sent later has already arrived.
        """
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
        """Records that a lease of `duration` ticks was sent to the voter at `now`."""
        expires_at = now + with_drift_margin(duration)
        self.granted_until[voter] = max(self.granted_until.get(voter, 0), expires_at)

    def may_hold_lease(self, now: int, voter: str) -> bool:
        """Whether the voter may hold a lease of this term."""
        return now < self.granted_until.get(voter, 0)

    def leased_reports(self, now: int, grace: int = 0) -> list[VoterReport]:
        """Returns the reports of voters whose leases may run or expired less than `grace` ticks ago."""
        return [
            report for voter, report in self.reports.items() if now < self.granted_until.get(voter, 0) + grace
        ]

    def subtree_reports(self, now: int, request_duration: int) -> list[SubtreeReport]:
        """Returns the maintenance reports of the voters in whose subtrees requests may still run."""
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
