"""The schedule keeps every bound at every moment, is the same for all, and starves nobody."""

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
    def show(
        self,
        jobs: list[MaintenanceJob],
        machines: list[Machine] = MACHINES,
        out: tuple[tuple[str, str], ...] = (),
        now: int = 0,
    ) -> None:
        result = schedule(jobs, SchedulingFacts(machines, out, completed=(), now_ms=now))
        self.record(f"go {[tuple(pair) for pair in result.departures]}")
        for (uid, job), why in sorted(result.wait_reasons.items())[:3]:
            self.record(f"  {uid} for {job} waits: {why}")

    def test_machines_go_out_within_the_bounds_and_others_wait_with_the_reason(self) -> None:
        job = MaintenanceJob("disks", max_out=3, max_out_per_zone=1)
        self.show([job])
        self.show([replace(job, min_remaining_zone_share=0.9)])
        self.show([replace(job, not_before_ms=10)])
        self.show([job], out=(("m01", "disks"),))
        # An unplanned loss takes the last free place of its zone.
        self.show([job], [replace(m, available=m.machine_id != "m00") for m in MACHINES])
        # A zone is lost while a tenth of another is out.
        lost = [replace(m, available=m.zone != "z0") for m in MACHINES]
        self.show([replace(job, min_remaining_share=0.6)], lost, (("m01", "disks"),))
        racks = MaintenanceJob("racks", cells=frozenset({"c1"}), max_out=2)
        self.show([job, replace(racks, exclusive_with=frozenset({"disks"}))])
        self.show([job, replace(racks, after=frozenset({"disks"}))])
        self.show([replace(job, max_out=2), racks], out=(("m00", "disks"), ("m05", "disks")))
        self.assert_matches_trace("works-order")

    def test_a_job_that_could_never_go_on_is_refused_with_its_bound(self) -> None:
        for job in (
            MaintenanceJob("w", machine_ids=frozenset({"nobody"})),
            MaintenanceJob("w", min_remaining_share=1.0),
            MaintenanceJob("w", min_remaining_zone_share=0.8),
            MaintenanceJob("w", not_before_ms=5, not_after_ms=5),
            MaintenanceJob("w", min_remaining_share=0.8, max_out=4),
        ):
            self.record(infeasibility_reason(job, MACHINES) or "can be done")
        self.assert_matches_trace("works-impossible")

    def test_bounds_hold_at_every_moment_through_losses_and_every_machine_is_done(self) -> None:
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
            done: set[tuple[str, str]] = set()
            lost: set[str] = set()
            small = 0
            for step in range(300):
                machines = [replace(m, available=m.machine_id not in lost) for m in MACHINES]
                result = schedule(jobs, SchedulingFacts(machines, out.items(), done, 0))
                repeated = schedule(jobs, SchedulingFacts(machines, sorted(out.items()), set(done), 0))
                self.assertEqual(result, repeated)
                out.update(result.departures)
                for job in jobs if result.departures else ():
                    gone = [m for m in machines if job.covers(m) and (m.machine_id in out or not m.available)]
                    departed = [uid for uid, _ in result.departures if any(m.machine_id == uid for m in gone)]
                    if job.name in out.values() and departed:
                        self.assertLessEqual(len(gone), job.max_out, (seed, step))
                        up = sum(m.size for m in machines if m.available and m.machine_id not in out)
                        self.assertGreaterEqual(up / sum(m.size for m in machines), job.min_remaining_share)
                for uid in [uid for uid in out if rng.random() < 0.3]:
                    done.add((uid, out.pop(uid)))
                small = small or (step if {("m03", "small"), ("m07", "small")} <= done else 0)
                if step < 200 and rng.random() < 0.1:
                    lost ^= {rng.choice(MACHINES).machine_id}
                elif step >= 200:
                    lost.clear()
            self.assertEqual(len(done), len(MACHINES) + 2, f"seed {seed}")
            self.assertLess(small, 250)
