"""Works on machines in simulated time: seeded troubles, planted faults, a hundred machines under twenty."""

import re
import unittest
from types import SimpleNamespace
from typing import Any

from crankfold.agreement.documents import Document
from crankfold.emulator.accord import Case, Trouble
from crankfold.emulator.yard import Yard, YardCase, drawn
from crankfold.network.tally import Tally
from crankfold.service.works import Works
from crankfold.works.ledger import Ledger
from tests.planted_works import ALL, PLANTED, cut_off
from tests.scene import Kept

CAUGHT_AT = {"free told before the last has answered": 0, "silence taken for consent": 0,
             "a bound checked before the agreement": 3, "a step taken twice after a change of leader": 2,
             "cold taken for warm": 0}


class Drawn(Kept):
    def test_schedules_of_fixed_seeds_keep_every_promise(self) -> None:
        done = 0
        for seed in (*range(12), 648):  # there the checks of a publish were lost, and not asked for again
            yard = Yard(drawn(seed)).run()
            self.assertEqual(yard.broken, [], f"seed {seed}")
            members = [p.member for p in yard.processes.values() if p.member]
            newest = max(members, key=lambda member: member.applied)
            done += sum(map(len, newest.docs.known.ledger.done.values()))
        self.assertGreater(done, 40)

    def test_every_planted_fault_is_caught_by_its_check_and_the_product_is_clean_there(self) -> None:
        for fault, (make, context, case, check) in PLANTED.items():
            one = case(CAUGHT_AT[fault])
            with context():
                broken = make(one).run().broken
            self.assertTrue([b for b in broken if re.search(check, b)], f"{fault}: {broken}")
            self.assertEqual(Yard(one).run().broken, [], fault)

    def test_a_hundred_machines_under_twenty_works_with_dispatchers_dying_in_turn(self) -> None:
        works = {f"w{n:02}": {**ALL["disks"], "at-once": 4, "a-zone": 2, "stays": 0.6, "again": True,
                              "machines": [f"m{m}" for m in range(100) if m % 20 == n]} for n in range(20)}
        deaths = tuple(Trouble("kill", 60_000 + 70_000 * n, 68_000 + 70_000 * n, name)
                       for n, name in enumerate(("v0", "f0", "v1", "f1", "v2")))
        yard = Yard(YardCase(Case(seed=5, seconds=90.0, publish_every=9.0, troubles=deaths), works, boxes=100,
                             zones=5, rate=0.5, takes=3000, calm_from=1)).run()
        self.assertEqual(yard.broken, [])
        member = next(p.member for p in yard.processes.values() if p.member)
        self.assertGreater(sum(map(len, member.docs.known.ledger.done.values())), 80)

    def test_the_same_seed_gives_the_same_day(self) -> None:
        one, other = (Yard(cut_off(3)).run() for _ in range(2))
        self.assertEqual((one.states, one.units), (other.states, other.units))


class Steps(Kept):
    """The ledger, told entries by hand."""

    def setUp(self) -> None:
        super().setUp()
        self.ledger, self.index = Ledger(), 10

    def take(self, uid: str, step: str, **more: Any) -> None:
        self.index += 1
        told = {"uid": uid, "work": "w", "step": step, "by": "n0", "life": 7, "why": "", "plan": 1,
                "made_from": self.ledger.changes, **more}
        void = self.ledger.apply(self.index, {"steps": [told]}, 1)
        away = self.ledger.machines.get(uid)
        self.say(f"{step} {uid}: {void or 'taken'}; {away.state if away else 'carries work'}"
                 + (f" under {away.number}" if away and away.number else ""))

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
        self.take("a", "ended", number=self.ledger.machines["a"].number)
        self.take("a", "back", last=3)
        self.take("a", "back")
        self.take("a", "unwell")
        self.take("a", "ended")
        self.take("a", "free")
        self.take("a", "ended")
        self.take("a", "back")
        self.take("a", "well")
        self.say(f"{self.ledger.done} {self.ledger.unwell}")
        self.close("works-steps")


class CutOff(Kept, unittest.IsolatedAsyncioTestCase):
    """A machine brought back by hand at a dispatcher that the others can't be reached from."""

    async def test_here_is_for_who_is_cut_off_and_ends_when_the_fleet_is_heard(self) -> None:
        ledger, heard, laid = Ledger(), [True], list[set[str]]()
        step = {"uid": "a", "work": "w", "step": "out", "by": "n0", "why": "", "plan": 0, "made_from": 0}
        ledger.apply(5, {"steps": [step]}, 0)
        docs = SimpleNamespace(known=SimpleNamespace(ledger=ledger), doc=lambda name: Document())
        member = SimpleNamespace(me="n1", docs=docs, incarnation=1)
        peer = SimpleNamespace(member=member, holds=lambda: heard[0], given=SimpleNamespace(zone=""))
        fleet = SimpleNamespace(numbers=SimpleNamespace(names=[]), said=[])
        desk = SimpleNamespace(fleet=fleet, ledger=SimpleNamespace(units={}))
        works = Works(desk, None, peer, Tally(), lambda: 0, lambda: laid.append(works.out()))  # type: ignore[arg-type]
        body = b'{"call": "c", "machine": "%s", "step": "here"}'
        self.assertEqual((await works.call(body % b"a"))[0], False)  # heard: it is a step of all
        heard[0] = False
        self.assertEqual((await works.call(body % b"b"))[0], False)  # not out
        self.assertEqual((await works.call(body % b"a"))[0], True)
        self.assertEqual(laid, [set()])
        self.assertEqual(works.show()["here"], ["a"])
        heard[0] = True
        works.tell()
        self.assertEqual(laid, [set(), {"a"}])
