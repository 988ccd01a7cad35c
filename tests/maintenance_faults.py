"""Members, coordinators and states with one fault each, which the simulated fleet must detect."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from random import Random
from typing import Any
from unittest import mock

from msgspec import structs

from crankfold.consensus.maintenance_reports import ClusterReport, SubtreeReport
from crankfold.consensus.voter import Voter
from crankfold.maintenance.coordinator import Coordinator
from crankfold.maintenance.fleet_view import FleetView
from crankfold.maintenance.machine_progress import MachineProgress, Subject
from crankfold.maintenance.specification import WorkMethod
from crankfold.maintenance.state import MaintenanceState
from crankfold.maintenance.transitions import ALLOWED_FROM, MaintenancePhase, Transition
from crankfold.simulation.consensus.cluster import ClusterCase, ClusterFault, ClusterFaultKind
from crankfold.simulation.maintenance.cases import MachineLoss, MaintenanceCase, draw_case
from crankfold.simulation.maintenance.fleet import MaintenanceFleet


class OwnSubtreeVoter(Voter):
    """As the leader, reports only its own subtree, not the requests that other members have in flight."""

    def cluster_report(self, now: int) -> ClusterReport:
        report = super().cluster_report(now)
        own_report = ClusterReport([self.subtree_report(now)], earlier_leases_may_run=False)
        own_report.combined = report.combined
        return own_report


class SilentMemberIgnoringVoter(Voter):
    """Ignores members that have become silent, although their leases and their requests may still run."""

    def cluster_report(self, now: int) -> ClusterReport:
        granted_until = self.leader_leases.granted_until
        silent_names = [
            name
            for name, report in self.leader_leases.reports.items()
            if now - report.received_at > self.timing.contact_timeout
        ]
        removed_leases = {name: granted_until.pop(name) for name in silent_names if name in granted_until}
        leader_since = self.raft.leader_since
        self.raft.leader_since = -10 * self.timing.lease_expiry_wait
        report = super().cluster_report(now)
        granted_until |= removed_leases
        self.raft.leader_since = leader_since
        return report

    def subtree_report(self, now: int) -> SubtreeReport:
        silent_holders = [
            holder
            for holder in self.leases.holders.values()
            if now - holder.last_contact_at > self.timing.contact_timeout
        ]
        expiry_times = [holder.expires_at for holder in silent_holders]
        for holder in silent_holders:
            holder.expires_at = -10 * self.timing.lease_expiry_wait
        report = super().subtree_report(now)
        for holder, expires_at in zip(silent_holders, expiry_times, strict=True):
            holder.expires_at = expires_at
        return report


class ReproposingCoordinator(Coordinator):
    """Proposes departures again before earlier ones are committed, with bounds checked on the old state."""

    def propose(self, view: FleetView) -> list[Transition]:
        self.last_departures = None
        return super().propose(view)


class CommandRestartingProgress(MachineProgress):
    """As a new leader, starts a command again that another executor has already started."""

    def _supervise_work(self, subject: Subject) -> Transition | None:
        record, view = subject.record, self._view
        if (
            record.executor in view.incarnations
            and record.executor != self._member_name
            and view.jobs[record.job].method == WorkMethod.COMMAND
        ):
            return structs.replace(
                self._propose(subject, MaintenancePhase.IN_WORK),
                incarnation=view.incarnations[self._member_name],
            )
        return super()._supervise_work(subject)


def command_restarting_coordinator(name: str) -> Coordinator:
    return Coordinator(name, CommandRestartingProgress)


@contextmanager
def bounds_not_checked_at_commit() -> Iterator[None]:
    """Accepts departures at commit without a check that they were decided on the current state."""
    void_reason = MaintenanceState._void_reason

    def unchecked_void_reason(
        self: MaintenanceState, transition: Transition, current_count: int, jobs_version: int
    ) -> str:
        current = structs.replace(transition, change_count=current_count, jobs_version=jobs_version)
        return void_reason(self, current, current_count, jobs_version)

    with mock.patch.object(MaintenanceState, "_void_reason", unchecked_void_reason):
        yield


@contextmanager
def work_start_allowed_twice() -> Iterator[None]:
    """Allows the work on a machine to start again while it is in progress."""
    in_work = MaintenancePhase.IN_WORK
    with mock.patch.dict(ALLOWED_FROM, {in_work: (*ALLOWED_FROM[in_work], in_work)}):
        yield


@contextmanager
def unchanged_product() -> Iterator[None]:
    yield


ALL_MACHINES_JOBS: dict[str, dict[str, Any]] = {
    "disks": {
        "at-once": 3,
        "stays": 0.0,
        "takes": 30.0,
        "watch": 0.5,
        "least-answers": 0,
        "way": "command",
        "command": ["x"],
        "not-back": "go-on",
    }
}


def isolated_members(seed: int) -> MaintenanceCase:
    """Isolates a random member every 2.5 s, for as long as a lease; it acts while its lease is valid."""
    rng = Random(f"cut off {seed}")
    faults: list[ClusterFault] = []
    for begin in range(30_000, 200_000, 25_000):
        member = rng.choice(("v0", "v1", "v2", "f0", "f1"))
        faults += [
            ClusterFault(ClusterFaultKind.LOSS, begin, begin + 20_000, *ends)
            for ends in ((member, ""), ("", member))
        ]
    case = ClusterCase(seed=seed, seconds=22.0, publish_every=9.0, faults=tuple(faults))
    return MaintenanceCase(case, ALL_MACHINES_JOBS, work_duration=2000)


def long_commands(seed: int) -> MaintenanceCase:
    return replace(isolated_members(seed), work_duration=40_000)


def machine_losses_with_slow_disks(seed: int) -> MaintenanceCase:
    """Loses machines for short times, while slow disks of the voters delay commits."""
    rng = Random(f"flutter {seed}")
    losses = tuple(MachineLoss(at, at + 3000, f"m{rng.randrange(9)}") for at in range(20_000, 180_000, 4000))
    jobs = {"disks": {**ALL_MACHINES_JOBS["disks"], "at-once": 3}}
    slow = tuple(
        ClusterFault(ClusterFaultKind.SLOW_DISK, at, at + 6000, voter)
        for at in range(20_000, 200_000, 6500)
        for voter in ("v0", "v1", "v2")
    )
    return MaintenanceCase(
        ClusterCase(seed=seed, seconds=22.0, publish_every=9.0, faults=slow), jobs, losses=losses
    )


# A factory of the faulty fleet, a patch of the product, the case by seed, and the pattern of the violation.
PlantedFault = tuple[
    Callable[[MaintenanceCase], MaintenanceFleet], Callable[[], Any], Callable[[int], MaintenanceCase], str
]
PLANTED_FAULTS: dict[str, PlantedFault] = {
    "machine reported drained before all members have answered": (
        lambda case: MaintenanceFleet(case, OwnSubtreeVoter),
        unchanged_product,
        draw_case,
        "drained while",
    ),
    "silent members ignored in reports": (
        lambda case: MaintenanceFleet(case, SilentMemberIgnoringVoter),
        unchanged_product,
        isolated_members,
        "drained while|is drained since",
    ),
    "bounds not checked at commit": (
        lambda case: MaintenanceFleet(case, make_coordinator=ReproposingCoordinator),
        bounds_not_checked_at_commit,
        machine_losses_with_slow_disks,
        "goes out",
    ),
    "command started twice after a leader change": (
        lambda case: MaintenanceFleet(case, make_coordinator=command_restarting_coordinator),
        work_start_allowed_twice,
        long_commands,
        "ran again|two commands",
    ),
    "returned machine not watched while it warms up": (
        lambda case: MaintenanceFleet(case, warm_up_ticks=0),
        unchanged_product,
        draw_case,
        "reported healthy",
    ),
}
