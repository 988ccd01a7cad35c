"""Adds the reports of the members to the leader's view of the fleet, for decisions on maintenance."""

from dataclasses import replace

from crankfold.consensus.maintenance_reports import ClusterReport
from crankfold.consensus.voter import Voter
from crankfold.maintenance.fleet_view import FleetView


def add_reports(view: FleetView, leader: Voter, cluster_report: ClusterReport) -> FleetView:
    """Returns the view with the reports of all members and with the voters' leases at `view.now`.

    Args:
        view: The view of the leader's own dispatcher.
        leader: The member that proposes transitions.
        cluster_report: The merged reports at `view.now`.
    """
    report = cluster_report.combined
    return replace(
        view,
        voter_count=len(leader.raft.voters),
        unresolved_requests=report.unresolved,
        response_counts=report.response_counts,
        unavailable=report.unavailable,
        requests_in_flight=report.open_requests,
        admitted_count=report.recent_accepted,
        shed_count=report.recent_shed,
        executors=leader.leased_incarnations(view.now),
        incarnations=leader.voter_incarnations(),
    )
