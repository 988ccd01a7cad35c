"""Leases to followers and voters, the reports of their holders, and incarnations."""

import unittest

from crankfold.consensus.incarnations import IncarnationTracker
from crankfold.consensus.leader_leases import LeaderLeases
from crankfold.consensus.leases import AppliedBounds, LeaseHolderState, LeaseTable
from crankfold.consensus.maintenance_reports import ClusterReport, SubtreeReport
from crankfold.consensus.messages import FollowerHeartbeat, LeaseRequest, Leave, MaintenanceReport
from crankfold.consensus.timing import Timing, with_drift_margin

TIMING = Timing(20_000)
STARTED_AT = 1000
LATER = STARTED_AT + 100_000  # leases of an earlier process have expired by then
REQUEST_DURATION = 5000
OWN = AppliedBounds(lowest_applied=9, quiesced=8)


def make_heartbeat(
    sent_at: int, last_applied: int, incarnation: int = 1, report: MaintenanceReport | None = None
) -> FollowerHeartbeat:
    return FollowerHeartbeat("f", incarnation, sent_at, last_applied, last_applied, {}, report)


class LeaseTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.leases = LeaseTable(TIMING, STARTED_AT)

    def add_holder(self, last_applied: int, report: MaintenanceReport | None = None) -> None:
        holder = self.leases.record_heartbeat(
            LATER, make_heartbeat(1, last_applied, report=report), REQUEST_DURATION
        )
        assert holder
        self.leases.grant(LATER, holder, 1000)
        self.expires_at = LATER + with_drift_margin(1000)

    def bounds(self, now: int) -> AppliedBounds:
        return self.leases.applied_bounds(now, OWN, REQUEST_DURATION)

    def test_holder_lowers_applied_bounds_until_its_lease_and_requests_end(self) -> None:
        self.add_holder(last_applied=5)
        self.assertEqual(self.bounds(self.expires_at - 1), AppliedBounds(5, 5))
        self.assertEqual(self.bounds(self.expires_at), AppliedBounds(9, 5))
        self.assertEqual(self.bounds(self.expires_at + REQUEST_DURATION), OWN)

    def test_applied_bounds_are_zero_while_leases_of_earlier_process_may_run(self) -> None:
        expired_at = STARTED_AT + TIMING.lease_expiry_wait
        self.assertEqual(self.bounds(expired_at - 1), AppliedBounds(0, 0))
        self.assertEqual(self.bounds(expired_at), AppliedBounds(9, 0))
        self.assertEqual(self.bounds(expired_at + REQUEST_DURATION), OWN)

    def test_overtaken_heartbeat_is_ignored(self) -> None:
        self.leases.record_heartbeat(LATER, make_heartbeat(20, 6), REQUEST_DURATION)
        self.assertIsNone(self.leases.record_heartbeat(LATER, make_heartbeat(10, 5), REQUEST_DURATION))
        self.assertEqual(self.leases.holders["f"].last_applied, 6)

    def test_holder_state_follows_contact_lease_and_release(self) -> None:
        self.add_holder(last_applied=5)
        holder = self.leases.holders["f"]
        self.leases.grant(LATER, holder, 10_000)
        suspected_at = LATER + TIMING.contact_timeout
        states = [
            self.leases.state_of(now, holder) for now in (suspected_at - 1, suspected_at, holder.expires_at)
        ]
        self.assertEqual(
            states, [LeaseHolderState.ALIVE, LeaseHolderState.SUSPECTED, LeaseHolderState.EXPIRED]
        )
        self.leases.release(LATER, Leave("f", incarnation=2))  # from another process of that name
        self.assertFalse(holder.has_left)
        self.leases.release(LATER, Leave("f", incarnation=1))
        self.assertEqual(self.leases.state_of(LATER, holder), LeaseHolderState.LEFT)
        self.assertEqual(holder.expires_at, LATER)

    def test_holder_without_report_keeps_drained_index_at_zero(self) -> None:
        for report, drained_index in ((None, 0), (MaintenanceReport(in_flight={"m": 2}), 5)):
            self.add_holder(last_applied=5, report=report)
            own = SubtreeReport("v0", 9, MaintenanceReport(in_flight={"m": 1}))
            subtree = self.leases.subtree_report(LATER, own, REQUEST_DURATION)
            self.assertEqual(subtree.drained_index, drained_index)
        assert subtree.report
        self.assertEqual(subtree.report.in_flight, {"m": 3})

    def test_holder_is_removed_after_retention_period(self) -> None:
        self.add_holder(last_applied=5)
        retained_until = self.expires_at + REQUEST_DURATION + 60 * TIMING.lease_duration
        self.leases.drop_expired(retained_until, REQUEST_DURATION)
        self.assertIn("f", self.leases.holders)
        self.leases.drop_expired(retained_until + 1, REQUEST_DURATION)
        self.assertEqual(self.leases.holders, {})


class LeaderLeasesTest(unittest.TestCase):
    def test_leased_reports_end_with_the_lease_of_their_voter(self) -> None:
        leases = LeaderLeases()
        request = LeaseRequest(1, 7, sent_at=50, lowest_applied_index=4, quiesced_index=3)
        self.assertTrue(leases.record(100, "v1", request))
        self.assertEqual(leases.leased_reports(100), [])
        leases.grant(100, "v1", 1000)
        self.assertEqual([report.lowest_applied_index for report in leases.leased_reports(1129)], [4])
        self.assertEqual(leases.leased_reports(1130), [])
        self.assertEqual(len(leases.leased_reports(1130, grace=1)), 1)
        overtaken = LeaseRequest(1, 7, sent_at=40, lowest_applied_index=2, quiesced_index=2)
        self.assertFalse(leases.record(110, "v1", overtaken))
        self.assertEqual(leases.reports["v1"].lowest_applied_index, 4)


class ClusterReportTest(unittest.TestCase):
    def test_machine_is_drained_once_all_members_report_no_requests_in_flight(self) -> None:
        subtrees = [
            SubtreeReport("v0", 9, MaintenanceReport()),
            SubtreeReport("v1", 5, MaintenanceReport(in_flight={"m": 2})),
        ]
        report = ClusterReport(subtrees, earlier_leases_may_run=False)
        self.assertEqual(report.combined.in_flight, {"m": 2})
        self.assertEqual(report.blocking_reason("other", 5), "")
        self.assertRegex(report.blocking_reason("other", 6), "^v1 ")
        self.assertRegex(report.blocking_reason("m", 5), "^2 ")
        self.assertTrue(ClusterReport([], earlier_leases_may_run=True).blocking_reason("m", 1))


class IncarnationTrackerTest(unittest.TestCase):
    def test_retired_incarnation_is_not_accepted(self) -> None:
        tracker = IncarnationTracker()
        self.assertEqual(
            [tracker.accept("n", incarnation) for incarnation in (1, 1, 2, 1, 2)],
            [True, True, True, False, True],
        )

    def test_is_retired_leaves_current_incarnation_unchanged(self) -> None:
        tracker = IncarnationTracker()
        tracker.accept("n", 1)
        self.assertFalse(tracker.is_retired("n", 2))
        self.assertFalse(tracker.is_retired("n", 1))
        tracker.accept("n", 2)
        self.assertTrue(tracker.is_retired("n", 1))
