"""The scheduler keeps all bounds, gives equal results for equal inputs, and starves no job."""

from dataclasses import replace
from random import Random

from crankfold.maintenance.scheduler import (
    Machine,
    MaintenanceJob,
    SchedulingFacts,
    infeasibility_reason,
    schedule,
)
from tests.fixtures import TraceTestCase
from tests.maintenance.machines import MACHINES


class SchedulerTest(TraceTestCase):
    def record_schedule(
        self,
        jobs: list[MaintenanceJob],
        machines: list[Machine] = MACHINES,
        out: tuple[tuple[str, str], ...] = (),
        time_ms: int = 0,
    ) -> None:
        result = schedule(jobs, SchedulingFacts(machines, out, completed=(), now_ms=time_ms))
        self.record(f"go {[tuple(pair) for pair in result.departures]}")
        for (machine_id, job), reason in sorted(result.wait_reasons.items())[:3]:
            self.record(f"  {machine_id} for {job} waits: {reason}")

    def test_schedule_drains_machines_within_bounds_and_gives_wait_reasons(self) -> None:
        job = MaintenanceJob("disks", max_out=3, max_out_per_zone=1)
        self.record_schedule([job])
        self.record_schedule([replace(job, min_remaining_zone_share=0.9)])
        self.record_schedule([replace(job, not_before_ms=10)])
        self.record_schedule([job], out=(("m01", "disks"),))
        # The failure of m00 uses up the bound of its zone, so no other machine of the zone is drained.
        self.record_schedule([job], [replace(m, available=m.machine_id != "m00") for m in MACHINES])
        # All machines of zone z0 fail while a machine of another zone is out.
        failed = [replace(m, available=m.zone != "z0") for m in MACHINES]
        self.record_schedule([replace(job, min_remaining_share=0.6)], failed, (("m01", "disks"),))
        racks = MaintenanceJob("racks", cells=frozenset({"c1"}), max_out=2)
        self.record_schedule([job, replace(racks, exclusive_with=frozenset({"disks"}))])
        self.record_schedule([job, replace(racks, after=frozenset({"disks"}))])
        self.record_schedule([replace(job, max_out=2), racks], out=(("m00", "disks"), ("m05", "disks")))
        self.assert_matches_trace("works-order")

    def test_infeasible_job_is_rejected_with_its_bound(self) -> None:
        for job in (
            MaintenanceJob("w", machine_ids=frozenset({"nobody"})),
            MaintenanceJob("w", min_remaining_share=1.0),
            MaintenanceJob("w", min_remaining_zone_share=0.8),
            MaintenanceJob("w", not_before_ms=5, not_after_ms=5),
            MaintenanceJob("w", min_remaining_share=0.8, max_out=4),
        ):
            self.record(infeasibility_reason(job, MACHINES) or "can be done")
        self.assert_matches_trace("works-impossible")

    def test_schedule_keeps_bounds_despite_failures_and_completes_every_machine(self) -> None:
        for seed in range(30):
            rng = Random(seed)
            jobs = [
                MaintenanceJob(
                    "big",
                    max_out=rng.randrange(1, 5),
                    max_out_per_zone=rng.randrange(3),
                    min_remaining_share=0.5,
                ),
                MaintenanceJob(
                    "small", machine_ids=frozenset({"m03", "m07"}), max_out=1, min_remaining_zone_share=0.25
                ),
            ]
            out: dict[str, str] = {}
            completed: set[tuple[str, str]] = set()
            failed: set[str] = set()
            small_job_completed_at = 0
            for step in range(300):
                machines = [replace(m, available=m.machine_id not in failed) for m in MACHINES]
                result = schedule(jobs, SchedulingFacts(machines, out.items(), completed, 0))
                repeated = schedule(jobs, SchedulingFacts(machines, sorted(out.items()), set(completed), 0))
                self.assertEqual(result, repeated)
                out.update(result.departures)
                for job in jobs if result.departures else ():
                    unavailable = [
                        m for m in machines if job.covers(m) and (m.machine_id in out or not m.available)
                    ]
                    departed = [
                        machine_id
                        for machine_id, _ in result.departures
                        if any(m.machine_id == machine_id for m in unavailable)
                    ]
                    if job.name in out.values() and departed:
                        self.assertLessEqual(len(unavailable), job.max_out, (seed, step))
                        available_size = sum(
                            m.size for m in machines if m.available and m.machine_id not in out
                        )
                        self.assertGreaterEqual(
                            available_size / sum(m.size for m in machines), job.min_remaining_share
                        )
                for machine_id in [machine_id for machine_id in out if rng.random() < 0.3]:
                    completed.add((machine_id, out.pop(machine_id)))
                small_job_completed_at = small_job_completed_at or (
                    step if {("m03", "small"), ("m07", "small")} <= completed else 0
                )
                if step < 200 and rng.random() < 0.1:
                    failed ^= {rng.choice(MACHINES).machine_id}
                elif step >= 200:
                    failed.clear()
            self.assertEqual(len(completed), len(MACHINES) + 2, f"seed {seed}")
            self.assertLess(small_job_completed_at, 250)
