"""Simulated maintenance: random faults, planted faults that the checks must find, and a large fleet."""

import re

from crankfold.simulation.consensus.cluster import ClusterCase, ClusterFault, ClusterFaultKind
from crankfold.simulation.maintenance.cases import MaintenanceCase, draw_case
from crankfold.simulation.maintenance.fleet import MaintenanceFleet
from tests.fixtures import TraceTestCase
from tests.maintenance_faults import ALL_MACHINES_JOBS, PLANTED_FAULTS, isolated_members

# Seed of a case in which the checks find a planted fault, by the description of the fault.
DETECTING_SEEDS = {
    "machine reported drained before all members have answered": 0,
    "silent members ignored in reports": 0,
    "bounds not checked at commit": 3,
    "command started twice after a leader change": 2,
    "returned machine not watched while it warms up": 0,
}


class MaintenanceFleetTest(TraceTestCase):
    def test_random_cases_violate_no_invariant(self) -> None:
        completed_count = 0
        # Seed 648 loses validation responses of a publish, so that the leader must request them again.
        for seed in (*range(12), 648):
            fleet = MaintenanceFleet(draw_case(seed)).run()
            self.assertEqual(fleet.violations, [], f"seed {seed}")
            members = [process.member for process in fleet.processes.values() if process.member]
            newest = max(members, key=lambda member: member.last_applied)
            completed_count += sum(map(len, newest.documents.replicated.maintenance.completed.values()))
        self.assertGreater(completed_count, 40)

    def test_checks_find_each_planted_fault_and_pass_product(self) -> None:
        for description, (make_fleet, context, make_case, pattern) in PLANTED_FAULTS.items():
            case = make_case(DETECTING_SEEDS[description])
            with context():
                violations = make_fleet(case).run().violations
            self.assertTrue(
                [violation for violation in violations if re.search(pattern, violation)],
                f"{description}: {violations}",
            )
            self.assertEqual(MaintenanceFleet(case).run().violations, [], description)

    def test_twenty_jobs_violate_no_invariant_while_dispatchers_restart_in_turn(self) -> None:
        jobs = {
            f"w{index:02}": {
                **ALL_MACHINES_JOBS["disks"],
                "at-once": 4,
                "a-zone": 2,
                "stays": 0.6,
                "again": True,
                "machines": [f"m{machine}" for machine in range(100) if machine % 20 == index],
            }
            for index in range(20)
        }
        kills = tuple(
            ClusterFault(ClusterFaultKind.KILL, 60_000 + 70_000 * index, 68_000 + 70_000 * index, name)
            for index, name in enumerate(("v0", "f0", "v1", "f1", "v2"))
        )
        fleet = MaintenanceFleet(
            MaintenanceCase(
                ClusterCase(seed=5, seconds=90.0, publish_every=9.0, faults=kills),
                jobs,
                machine_count=100,
                zone_count=5,
                request_rate=0.5,
                work_duration=3000,
                faults_end_at=1,
            )
        ).run()
        self.assertEqual(fleet.violations, [])
        member = next(process.member for process in fleet.processes.values() if process.member)
        self.assertGreater(sum(map(len, member.documents.replicated.maintenance.completed.values())), 80)

    def test_same_seed_gives_same_run(self) -> None:
        first, second = (MaintenanceFleet(isolated_members(3)).run() for _ in range(2))
        self.assertEqual(
            (first.invariants.state_by_index, first.request_count),
            (second.invariants.state_by_index, second.request_count),
        )
