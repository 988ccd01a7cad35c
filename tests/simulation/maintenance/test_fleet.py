"""Maintenance in simulated time: drawn faults, planted faults, a hundred machines under twenty jobs."""

import re

from crankfold.simulation.consensus.cluster import ClusterCase, ClusterFault, ClusterFaultKind
from crankfold.simulation.maintenance.cases import MaintenanceCase, draw_case
from crankfold.simulation.maintenance.fleet import MaintenanceFleet
from tests.fixtures import TraceTestCase
from tests.maintenance_faults import ALL_MACHINES_JOBS, PLANTED_FAULTS, isolated_members

CAUGHT_AT = {
    "machine reported drained before all members have answered": 0,
    "silent members ignored in reports": 0,
    "bounds not checked at commit": 3,
    "command started twice after a leader change": 2,
    "returned machine not watched while it warms up": 0,
}


class MaintenanceFleetTest(TraceTestCase):
    def test_schedules_of_fixed_seeds_keep_every_promise(self) -> None:
        done = 0
        for seed in (*range(12), 648):  # there the checks of a publish were lost, and not asked for again
            fleet = MaintenanceFleet(draw_case(seed)).run()
            self.assertEqual(fleet.violations, [], f"seed {seed}")
            members = [p.member for p in fleet.processes.values() if p.member]
            newest = max(members, key=lambda member: member.last_applied)
            done += sum(map(len, newest.documents.replicated.maintenance.completed.values()))
        self.assertGreater(done, 40)

    def test_every_planted_fault_is_caught_by_its_check_and_the_product_is_clean_there(self) -> None:
        for fault, (make, context, case, check) in PLANTED_FAULTS.items():
            one = case(CAUGHT_AT[fault])
            with context():
                broken = make(one).run().violations
            self.assertTrue([b for b in broken if re.search(check, b)], f"{fault}: {broken}")
            self.assertEqual(MaintenanceFleet(one).run().violations, [], fault)

    def test_a_hundred_machines_under_twenty_jobs_with_dispatchers_dying_in_turn(self) -> None:
        jobs = {
            f"w{n:02}": {
                **ALL_MACHINES_JOBS["disks"],
                "at-once": 4,
                "a-zone": 2,
                "stays": 0.6,
                "again": True,
                "machines": [f"m{m}" for m in range(100) if m % 20 == n],
            }
            for n in range(20)
        }
        deaths = tuple(
            ClusterFault(ClusterFaultKind.KILL, 60_000 + 70_000 * n, 68_000 + 70_000 * n, name)
            for n, name in enumerate(("v0", "f0", "v1", "f1", "v2"))
        )
        fleet = MaintenanceFleet(
            MaintenanceCase(
                ClusterCase(seed=5, seconds=90.0, publish_every=9.0, faults=deaths),
                jobs,
                machine_count=100,
                zone_count=5,
                request_rate=0.5,
                work_duration=3000,
                faults_end_at=1,
            )
        ).run()
        self.assertEqual(fleet.violations, [])
        member = next(p.member for p in fleet.processes.values() if p.member)
        self.assertGreater(sum(map(len, member.documents.replicated.maintenance.completed.values())), 80)

    def test_the_same_seed_gives_the_same_day(self) -> None:
        one, other = (MaintenanceFleet(isolated_members(3)).run() for _ in range(2))
        self.assertEqual(
            (one.invariants.state_by_index, one.request_count),
            (other.invariants.state_by_index, other.request_count),
        )
