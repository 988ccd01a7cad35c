"""Merges the maintenance reports of all members at the leader.

A machine is drained once each member that may send requests to it has reported none in flight. A member
without a report stops counting once its lease and its longest request have ended.
"""

from collections.abc import Sequence

from msgspec import Struct

from crankfold.consensus.messages import MaintenanceReport


class SubtreeReport(Struct):
    """The merged report of a voter and the holders of its leases.

    Attributes:
        voter: The name of the voter.
        drained_index: Each of them had applied the log up to this index when it reported; 0 if one of them
            has not reported.
        report: The merged report; None if the voter itself has none.
        lease_valid: Whether the lease of the voter itself may still run.
    """

    voter: str
    drained_index: int
    report: MaintenanceReport | None
    lease_valid: bool = True


class ClusterReport:
    """The reports of all voters with their lease holders.

    Attributes:
        combined: All reports merged.
    """

    def __init__(self, subtrees: Sequence[SubtreeReport], *, earlier_leases_may_run: bool) -> None:
        """Merges the reports; `earlier_leases_may_run` refers to leases from leaders of earlier terms."""
        self._subtrees = subtrees
        self._earlier_leases_may_run = earlier_leases_may_run
        self.combined = MaintenanceReport()
        for subtree in subtrees:
            if subtree.report:
                self.combined.merge(subtree.report, lease_valid=subtree.lease_valid)

    def blocking_reason(self, machine_id: str, index: int) -> str:
        """Returns the reason why a machine may still have requests in flight.

        Args:
            machine_id: The machine.
            index: The log index of the transition that drained it.

        Returns:
            A text for operators, which is also shown in JSON output; empty for a drained machine.
        """
        if self._earlier_leases_may_run:
            return "leases from before the last change of leader, and their units, may not be over"
        for subtree in self._subtrees:
            if subtree.drained_index < index or subtree.report is None:
                return f"{subtree.voter} or one that follows it has not said yet that it has heard"
            if machine_id in subtree.report.in_flight:
                count = subtree.report.in_flight[machine_id]
                return f"{count} units there, of {subtree.voter} or those that follow it"
        return ""
