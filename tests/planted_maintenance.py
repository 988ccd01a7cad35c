"""Members, coordinators and states with one fault each, which the checks of the simulated fleet must find."""

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


class FreeTooEarly(Voter):
    """As soon as the leader itself holds nothing there."""

    def cluster_report(self, now: int) -> ClusterReport:
        report = super().cluster_report(now)
        of_itself = ClusterReport([self.subtree_report(now)], earlier_leases_may_run=False)
        of_itself.combined = report.combined
        return of_itself


class SilenceIsConsent(Voter):
    """Whoever is not heard any more is asked no longer, whatever lease he has and whatever he sent."""

    def cluster_report(self, now: int) -> ClusterReport:
        granted_until = self.leader_leases.granted_until
        silent = [
            name
            for name, report in self.leader_leases.reports.items()
            if now - report.received_at > self.timing.contact_timeout
        ]
        before = {name: granted_until.pop(name) for name in silent if name in granted_until}
        leader_since = self.raft.leader_since
        self.raft.leader_since = -10 * self.timing.lease_expiry_wait
        report = super().cluster_report(now)
        granted_until |= before
        self.raft.leader_since = leader_since
        return report

    def subtree_report(self, now: int) -> SubtreeReport:
        silent = [
            holder
            for holder in self.leases.holders.values()
            if now - holder.last_contact_at > self.timing.contact_timeout
        ]
        until = [holder.expires_at for holder in silent]
        for holder in silent:
            holder.expires_at = -10 * self.timing.lease_expiry_wait
        report = super().subtree_report(now)
        for holder, expires_at in zip(silent, until, strict=True):
            holder.expires_at = expires_at
        return report


class ImpatientCoordinator(Coordinator):
    """Does not wait for what it proposed: bounds were kept by what was known before."""

    def propose(self, view: FleetView) -> list[Transition]:
        self.last_departures = None
        return super().propose(view)


class RestartingProgress(MachineProgress):
    """A new leader begins anew what another had begun."""

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


def restarting_coordinator(name: str) -> Coordinator:
    return Coordinator(name, RestartingProgress)


@contextmanager
def bounds_unchecked_at_commit() -> Iterator[None]:
    """Bounds are checked by whoever proposes, and not again by what was agreed meanwhile."""
    check = MaintenanceState._void_reason

    def unchecked(self: MaintenanceState, transition: Transition, changes: int, jobs_version: int) -> str:
        as_if_new = structs.replace(transition, change_count=changes, jobs_version=jobs_version)
        return check(self, as_if_new, changes, jobs_version)

    with mock.patch.object(MaintenanceState, "_void_reason", unchecked):
        yield


@contextmanager
def work_may_begin_twice() -> Iterator[None]:
    """A command may be begun again from anywhere."""
    in_work = MaintenancePhase.IN_WORK
    with mock.patch.dict(ALLOWED_FROM, {in_work: (*ALLOWED_FROM[in_work], in_work)}):
        yield


@contextmanager
def unchanged() -> Iterator[None]:
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
    """One after another is cut off for as long as a lease, and goes on for as long as it has one."""
    rng = Random(f"cut off {seed}")
    faults: list[ClusterFault] = []
    for begin in range(30_000, 200_000, 25_000):
        at = rng.choice(("v0", "v1", "v2", "f0", "f1"))
        faults += [
            ClusterFault(ClusterFaultKind.LOSS, begin, begin + 20_000, *ends) for ends in ((at, ""), ("", at))
        ]
    case = ClusterCase(seed=seed, seconds=22.0, publish_every=9.0, faults=tuple(faults))
    return MaintenanceCase(case, ALL_MACHINES_JOBS, work_duration=2000)


def long_commands(seed: int) -> MaintenanceCase:
    return replace(isolated_members(seed), work_duration=40_000)


def flapping_machines(seed: int) -> MaintenanceCase:
    """Machines come and go, and what is agreed takes its time."""
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


PlantedFault = tuple[
    Callable[[MaintenanceCase], MaintenanceFleet], Callable[[], Any], Callable[[int], MaintenanceCase], str
]
PLANTED_FAULTS: dict[str, PlantedFault] = {
    "free told before the last has answered": (
        lambda case: MaintenanceFleet(case, FreeTooEarly),
        unchanged,
        draw_case,
        "drained while",
    ),
    "silence taken for consent": (
        lambda case: MaintenanceFleet(case, SilenceIsConsent),
        unchanged,
        isolated_members,
        "drained while|is drained since",
    ),
    "a bound checked before the agreement": (
        lambda case: MaintenanceFleet(case, make_coordinator=ImpatientCoordinator),
        bounds_unchecked_at_commit,
        flapping_machines,
        "goes out",
    ),
    "a step taken twice after a change of leader": (
        lambda case: MaintenanceFleet(case, make_coordinator=restarting_coordinator),
        work_may_begin_twice,
        long_commands,
        "ran again|two commands",
    ),
    "cold taken for warm": (
        lambda case: MaintenanceFleet(case, warm_up_ticks=0),
        unchanged,
        draw_case,
        "reported healthy",
    ),
}
