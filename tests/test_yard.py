"""Works on machines in simulated time: seeded troubles, planted faults, a hundred machines under twenty."""

import re
import unittest
from types import SimpleNamespace
from typing import Any

from msgspec import to_builtins

from crankfold.consensus.versioned_documents import Document
from crankfold.maintenance.state import MaintenanceState
from crankfold.network.metrics import Metrics
from crankfold.service.maintenance_agent import MaintenanceAgent
from crankfold.simulation.consensus_cluster import ClusterCase, ClusterFault, ClusterFaultKind
from crankfold.simulation.maintenance_cases import MaintenanceCase, draw_case
from crankfold.simulation.maintenance_fleet import MaintenanceFleet
from tests.planted_works import ALL_MACHINES_JOBS, PLANTED_FAULTS, isolated_members
from tests.scene import Kept

CAUGHT_AT = {
    "free told before the last has answered": 0,
    "silence taken for consent": 0,
    "a bound checked before the agreement": 3,
    "a step taken twice after a change of leader": 2,
    "cold taken for warm": 0,
}


class DrawnCases(Kept):
    def test_schedules_of_fixed_seeds_keep_every_promise(self) -> None:
        done = 0
        for seed in (*range(12), 648):  # there the checks of a publish were lost, and not asked for again
            yard = MaintenanceFleet(draw_case(seed)).run()
            self.assertEqual(yard.violations, [], f"seed {seed}")
            members = [p.member for p in yard.processes.values() if p.member]
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

    def test_a_hundred_machines_under_twenty_works_with_dispatchers_dying_in_turn(self) -> None:
        works = {
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
        yard = MaintenanceFleet(
            MaintenanceCase(
                ClusterCase(seed=5, seconds=90.0, publish_every=9.0, faults=deaths),
                works,
                machine_count=100,
                zone_count=5,
                request_rate=0.5,
                work_duration=3000,
                faults_end_at=1,
            )
        ).run()
        self.assertEqual(yard.violations, [])
        member = next(p.member for p in yard.processes.values() if p.member)
        self.assertGreater(sum(map(len, member.documents.replicated.maintenance.completed.values())), 80)

    def test_the_same_seed_gives_the_same_day(self) -> None:
        one, other = (MaintenanceFleet(isolated_members(3)).run() for _ in range(2))
        self.assertEqual(
            (one.invariants.state_by_index, one.request_count),
            (other.invariants.state_by_index, other.request_count),
        )


class Transitions(Kept):
    """The ledger, told entries by hand."""

    def setUp(self) -> None:
        super().setUp()
        self.ledger, self.index = MaintenanceState(), 10

    def take(self, uid: str, step: str, **more: Any) -> None:
        self.index += 1
        told = {
            "uid": uid,
            "work": "w",
            "step": step,
            "by": "n0",
            "life": 7,
            "why": "",
            "plan": 1,
            "made_from": self.ledger.change_count,
            **more,
        }
        void = self.ledger.apply(self.index, {"steps": [told]}, 1)
        away = self.ledger.machines.get(uid)
        self.say(
            f"{step} {uid}: {void or 'taken'}; {away.phase if away else 'carries work'}"
            + (f" under {away.drain_number}" if away and away.drain_number else "")
        )

    def test_each_step_follows_from_the_one_before_or_is_void(self) -> None:
        self.take("a", "free")
        self.take("a", "out", made_from=3)  # bounds were kept by another state of things
        self.take("a", "out", plan=0)  # by works that were changed since
        self.take("a", "out")
        self.take("a", "out")
        self.take("a", "work")
        self.take("a", "free")
        self.take("a", "work")
        self.take("a", "work")  # a leader that slept begins it again
        self.take("a", "free", last=self.index)  # it died with the command, which may be run again
        self.take("a", "work")
        self.take("a", "ended", number=14)  # the first run is heard of late
        self.take("a", "ended", number=self.ledger.machines["a"].drain_number)
        self.take("a", "back", last=3)
        self.take("a", "back")
        self.take("a", "unwell")
        self.take("a", "ended")
        self.take("a", "free")
        self.take("a", "ended")
        self.take("a", "back")
        self.take("a", "well")
        self.say(f"{to_builtins(self.ledger.completed)} {self.ledger.unhealthy_streaks}")
        self.close("works-steps")


class IsolatedDispatcher(Kept, unittest.IsolatedAsyncioTestCase):
    """A machine brought back by hand at a dispatcher that the others can't be reached from."""

    async def test_here_is_for_who_is_cut_off_and_ends_when_the_fleet_is_heard(self) -> None:
        ledger, heard, laid = MaintenanceState(), [True], list[set[str]]()
        step = {"uid": "a", "work": "w", "step": "out", "by": "n0", "why": "", "plan": 0, "made_from": 0}
        ledger.apply(5, {"steps": [step]}, 0)
        docs = SimpleNamespace(
            replicated=SimpleNamespace(maintenance=ledger), document=lambda name: Document()
        )
        member = SimpleNamespace(name="n1", documents=docs, incarnation=1)
        peer = SimpleNamespace(consensus=member, has_lease=lambda: heard[0], config=SimpleNamespace(zone=""))
        fleet = SimpleNamespace(backend_ids=SimpleNamespace(names=[]), records=[])
        desk = SimpleNamespace(backends=fleet, request_table=SimpleNamespace(requests={}))
        works = MaintenanceAgent(
            desk,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            peer,  # type: ignore[arg-type]
            metrics=Metrics(),
            endpoint_list_age=lambda: 0,
            machines_out_changed=lambda: laid.append(works.machines_out()),
        )
        body = b'{"call": "c", "machine": "%s", "step": "here"}'
        refused = await works.admin.request_transition(body % b"a")
        self.assertEqual(refused.accepted, False)  # heard: it is a step of all
        heard[0] = False
        self.assertEqual((await works.admin.request_transition(body % b"b")).accepted, False)  # not out
        self.assertEqual((await works.admin.request_transition(body % b"a")).accepted, True)
        self.assertEqual(laid, [set()])
        self.assertEqual(works.admin.describe()["here"], ["a"])
        heard[0] = True
        works.build_report()
        self.assertEqual(laid, [set(), {"a"}])
