"""What the whole cluster knows of machines in maintenance, put together at the leader.

A machine is free only when everyone that may send to it has reported that it does not, or when its
lease, and its longest request with it, has expired.
"""

from collections.abc import Sequence

from msgspec import Struct

from crankfold.consensus.messages import MaintenanceReport


class SubtreeReport(Struct):
    """The report of a voter and of all that hold leases from it.

    Attributes:
        voter: Its name.
        drained_index: All of them had applied the log up to here when they reported.
        report: None if any part is not known.
        lease_valid: Whether the voter's own lease may still run.
    """

    voter: str
    drained_index: int
    report: MaintenanceReport | None
    lease_valid: bool = True


class ClusterReport:
    """The reports of all voters.

    Attributes:
        combined: All of them merged.
    """

    def __init__(self, subtrees: Sequence[SubtreeReport], *, earlier_leases_may_run: bool) -> None:
        """Merges the reports; `earlier_leases_may_run` is about leases by leaders of earlier terms."""
        self._subtrees = subtrees
        self._earlier_leases_may_run = earlier_leases_may_run
        self.combined = MaintenanceReport()
        for subtree in subtrees:
            if subtree.report:
                self.combined.merge(subtree.report, lease_valid=subtree.lease_valid)

    def blocking_reason(self, machine_id: str, index: int) -> str:
        """Why a machine that is out since the log entry at `index` may still hold requests; empty if not."""
        if self._earlier_leases_may_run:
            return "leases from before the last change of leader, and their units, may not be over"
        for subtree in self._subtrees:
            if subtree.drained_index < index or subtree.report is None:
                return f"{subtree.voter} or one that follows it has not said yet that it has heard"
            if machine_id in subtree.report.in_flight:
                count = subtree.report.in_flight[machine_id]
                return f"{count} units there, of {subtree.voter} or those that follow it"
        return ""
