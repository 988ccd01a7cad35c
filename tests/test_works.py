"""Orders of work keep every bound at every moment, are the same for all, and starve nobody."""

from dataclasses import replace
from random import Random

from crankfold.works.order import Machine, Work, impossible, order
from tests.scene import Kept

FLEET = [Machine(f"m{n:02}", f"z{n % 3}", f"k{n % 2}", f"c{n % 6}", 1.0 + n % 2, n) for n in range(12)]


class Orders(Kept):
    def show(self, works: list[Work], machines: list[Machine] = FLEET, out: tuple[tuple[str, str], ...] = (),
             now: int = 0) -> None:
        told = order(works, machines, out, (), now)
        self.say(f"go {told.go}")
        for (uid, work), why in sorted(told.waits.items())[:3]:
            self.say(f"  {uid} for {work} waits: {why}")

    def test_what_goes_and_what_waits_for_which_bound(self) -> None:
        work = Work("disks", at_once=3, a_zone=1)
        self.show([work])
        self.show([replace(work, stays_in_zone=0.9)])
        self.show([replace(work, not_before=10)])
        self.show([work], out=(("m01", "disks"),))
        # An unplanned loss takes the last free place of its zone.
        self.show([work], [replace(m, up=m.uid != "m00") for m in FLEET])
        # A zone is lost while a tenth of another is out.
        lost = [replace(m, up=m.zone != "z0") for m in FLEET]
        self.show([replace(work, stays=0.6)], lost, (("m01", "disks"),))
        racks = Work("racks", cells=frozenset({"c1"}), at_once=2)
        self.show([work, replace(racks, alone=frozenset({"disks"}))])
        self.show([work, replace(racks, after=frozenset({"disks"}))])
        self.show([replace(work, at_once=2), racks], out=(("m00", "disks"), ("m05", "disks")))
        self.close("works-order")

    def test_a_work_that_could_never_go_on_is_refused_with_its_bound(self) -> None:
        for work in (Work("w", uids=frozenset({"nobody"})), Work("w", stays=1.0),
                     Work("w", stays_in_zone=0.8), Work("w", not_before=5, not_after=5),
                     Work("w", stays=0.8, at_once=4)):
            self.say(impossible(work, FLEET) or "can be done")
        self.close("works-impossible")

    def test_bounds_hold_at_every_moment_through_losses_and_all_is_done_at_last(self) -> None:
        for seed in range(30):
            luck = Random(seed)
            works = [Work("big", at_once=luck.randrange(1, 5), a_zone=luck.randrange(3), stays=0.5),
                     Work("small", uids=frozenset({"m03", "m07"}), at_once=1, stays_in_zone=0.25)]
            out: dict[str, str] = {}
            done: set[tuple[str, str]] = set()
            lost: set[str] = set()
            small = 0
            for step in range(300):
                machines = [replace(m, up=m.uid not in lost) for m in FLEET]
                told = order(works, machines, out.items(), done, 0)
                self.assertEqual(told, order(works, machines, sorted(out.items()), set(done), 0))
                out.update(told.go)
                for work in works if told.go else ():
                    gone = [m for m in machines if work.wants(m) and (m.uid in out or not m.up)]
                    taken = [uid for uid, _ in told.go if any(m.uid == uid for m in gone)]
                    if work.name in out.values() and taken:
                        self.assertLessEqual(len(gone), work.at_once, (seed, step))
                        up = sum(m.size for m in machines if m.up and m.uid not in out)
                        self.assertGreaterEqual(up / sum(m.size for m in machines), work.stays)
                for uid in [uid for uid in out if luck.random() < 0.3]:
                    done.add((uid, out.pop(uid)))
                small = small or (step if {("m03", "small"), ("m07", "small")} <= done else 0)
                if step < 200 and luck.random() < 0.1:
                    lost ^= {luck.choice(FLEET).uid}
                elif step >= 200:
                    lost.clear()
            self.assertEqual(len(done), len(FLEET) + 2, f"seed {seed}")
            self.assertLess(small, 250)
