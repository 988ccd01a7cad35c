"""Orders of work keep every bound at every moment, are the same for all, and starve nobody."""

from dataclasses import replace
from random import Random
from typing import Any

from msgspec import structs, to_builtins

from crankfold.maintenance.coordinator import Coordinator
from crankfold.maintenance.fleet_view import Area, FleetView
from crankfold.maintenance.forecast import ForecastInputs, forecast_job
from crankfold.maintenance.scheduler import (
    Machine,
    MaintenanceJob,
    SchedulingFacts,
    infeasibility_reason,
    schedule,
)
from crankfold.maintenance.specification import (
    JobSpecification,
    JobState,
    OverduePolicy,
    WorkMethod,
    validation_error,
)
from crankfold.maintenance.state import MaintenanceState
from crankfold.maintenance.transitions import coordinator_document
from tests.scene import Kept

FLEET = [Machine(f"m{n:02}", f"z{n % 3}", f"k{n % 2}", f"c{n % 6}", 1.0 + n % 2, n) for n in range(12)]


class Scheduling(Kept):
    def show(
        self,
        works: list[MaintenanceJob],
        machines: list[Machine] = FLEET,
        out: tuple[tuple[str, str], ...] = (),
        now: int = 0,
    ) -> None:
        told = schedule(works, SchedulingFacts(machines, out, completed=(), now_ms=now))
        self.say(f"go {[tuple(pair) for pair in told.departures]}")
        for (uid, work), why in sorted(told.wait_reasons.items())[:3]:
            self.say(f"  {uid} for {work} waits: {why}")

    def test_what_goes_and_what_waits_for_which_bound(self) -> None:
        work = MaintenanceJob("disks", max_out=3, max_out_per_zone=1)
        self.show([work])
        self.show([replace(work, min_remaining_zone_share=0.9)])
        self.show([replace(work, not_before_ms=10)])
        self.show([work], out=(("m01", "disks"),))
        # An unplanned loss takes the last free place of its zone.
        self.show([work], [replace(m, available=m.machine_id != "m00") for m in FLEET])
        # A zone is lost while a tenth of another is out.
        lost = [replace(m, available=m.zone != "z0") for m in FLEET]
        self.show([replace(work, min_remaining_share=0.6)], lost, (("m01", "disks"),))
        racks = MaintenanceJob("racks", cells=frozenset({"c1"}), max_out=2)
        self.show([work, replace(racks, exclusive_with=frozenset({"disks"}))])
        self.show([work, replace(racks, after=frozenset({"disks"}))])
        self.show([replace(work, max_out=2), racks], out=(("m00", "disks"), ("m05", "disks")))
        self.close("works-order")

    def test_a_work_that_could_never_go_on_is_refused_with_its_bound(self) -> None:
        for work in (
            MaintenanceJob("w", machine_ids=frozenset({"nobody"})),
            MaintenanceJob("w", min_remaining_share=1.0),
            MaintenanceJob("w", min_remaining_zone_share=0.8),
            MaintenanceJob("w", not_before_ms=5, not_after_ms=5),
            MaintenanceJob("w", min_remaining_share=0.8, max_out=4),
        ):
            self.say(infeasibility_reason(work, FLEET) or "can be done")
        self.close("works-impossible")

    def test_bounds_hold_at_every_moment_through_losses_and_all_is_done_at_last(self) -> None:
        for seed in range(30):
            luck = Random(seed)
            works = [
                MaintenanceJob(
                    "big",
                    max_out=luck.randrange(1, 5),
                    max_out_per_zone=luck.randrange(3),
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
                machines = [replace(m, available=m.machine_id not in lost) for m in FLEET]
                told = schedule(works, SchedulingFacts(machines, out.items(), done, 0))
                again = schedule(works, SchedulingFacts(machines, sorted(out.items()), set(done), 0))
                self.assertEqual(told, again)
                out.update(told.departures)
                for work in works if told.departures else ():
                    gone = [
                        m for m in machines if work.covers(m) and (m.machine_id in out or not m.available)
                    ]
                    taken = [uid for uid, _ in told.departures if any(m.machine_id == uid for m in gone)]
                    if work.name in out.values() and taken:
                        self.assertLessEqual(len(gone), work.max_out, (seed, step))
                        up = sum(m.size for m in machines if m.available and m.machine_id not in out)
                        self.assertGreaterEqual(up / sum(m.size for m in machines), work.min_remaining_share)
                for uid in [uid for uid in out if luck.random() < 0.3]:
                    done.add((uid, out.pop(uid)))
                small = small or (step if {("m03", "small"), ("m07", "small")} <= done else 0)
                if step < 200 and luck.random() < 0.1:
                    lost ^= {luck.choice(FLEET).machine_id}
                elif step >= 200:
                    lost.clear()
            self.assertEqual(len(done), len(FLEET) + 2, f"seed {seed}")
            self.assertLess(small, 250)


class Specifications(Kept):
    def test_works_that_can_not_be_carried_out_are_turned_down_with_path_found_and_allowed(self) -> None:
        fine: dict[str, object] = {"way": "hand", "stays": 0.5}
        for works in (
            {"w": fine},
            {"w": {**fine, "at-once": 0}},
            {"w": {**fine, "speed": 1}},
            {"w w": fine},
            {"w": {**fine, "way": "command"}},
            {"w": {**fine, "after": ["v"]}},
            {"w": {**fine, "after": ["v"]}, "v": {**fine, "after": ["w"]}},
            {"w": {**fine, "stays": 1.0}},
            {"w": {**fine, "machines": ["m99"]}},
        ):
            self.say(validation_error({"works": works}, {}, FLEET) or "fits")
        # Handed in once, a work may be held though its machines are gone by now.
        gone = {"works": {"w": {**fine, "machines": ["m99"]}}}
        held = {"works": {"w": {**fine, "machines": ["m99"], "state": "hold", "called": 1}}}
        self.say(validation_error(held, gone, FLEET) or "fits")
        self.close("works-forms")

    def test_the_order_shown_beforehand_with_times_and_reasons(self) -> None:
        works = {
            "disks": JobSpecification(
                max_out=2,
                max_out_per_zone=1,
                min_remaining_share=0.5,
                work_seconds=60.0,
                watch_seconds=5.0,
                machines=["m00", "m03", "m01", "m99"],
            ),
            "racks": JobSpecification(
                machines=["m01"], work_seconds=30.0, watch_seconds=5.0, after=["disks"]
            ),
        }
        for name in works:
            told = forecast_job(
                name,
                ForecastInputs(
                    jobs=works,
                    machines=FLEET,
                    out_for={},
                    completed=set(),
                    now_ms=0,
                    drain_seconds=3.0,
                    warm_up_seconds=10.0,
                ),
            )
            for turn in told.departures:
                times = f"{turn.begin_seconds:.0f} to {turn.end_seconds:.0f} s"
                self.say(f"{name}: {times} {turn.machine_id} {turn.zone} {turn.waited_for}".rstrip())
            self.say(f"{name} never: {told.wait_reasons}")
        self.close("works-plan")


class CoordinatorDecisions(Kept):
    """A coordinator at the leader, told what is known by hand."""

    def look(self, view: FleetView, coordinator: Coordinator) -> None:
        at, steps = f"{view.now // 10_000} s:", coordinator.propose(view)
        for step in steps:
            self.say(f"{at} {step.phase} {step.machine_id or step.job} {step.reason}".rstrip())
        documents = [coordinator_document(step) for step in steps]
        view.state.apply(view.now, {"steps": documents}, view.jobs_version)
        for wait in coordinator.wait_reasons[:2]:
            self.say(f"{at} {wait.machine_id or wait.job} waits: {wait.text}")

    def view(self, **more: Any) -> FleetView:
        given = JobSpecification(
            machines=["m00", "m01"],
            method=WorkMethod.COMMAND,
            command=["x"],
            work_seconds=5.0,
            watch_seconds=1.0,
            **more,
        )
        return FleetView(
            now=0,
            wall_ms=0,
            jobs_version=1,
            jobs={"w": given},
            state=MaintenanceState(),
            machines=FLEET,
            executors={"n0": 1},
            incarnations={"n0": 1},
        )

    def test_too_much_shedding_holds_a_work_and_brings_back_what_is_out(self) -> None:
        view, coordinator = self.view(max_out=2, requests_per_size=2.0), Coordinator("n0")
        view.requests_in_flight, view.blocking_holders = 37, lambda uid, index: "3 units there"
        self.look(view, coordinator)  # what would stay carries not as much as is in hand
        view.now, view.requests_in_flight = 20_000, 20
        self.look(view, coordinator)
        view.now, view.admitted_count, view.shed_count = 40_000, 80, 20
        self.look(view, coordinator)
        view.now, view.shed_count = 60_000, 0
        self.look(view, coordinator)
        view.now = 120_000
        self.look(view, coordinator)
        self.close("works-load")

    def test_a_command_whose_dispatcher_died_and_a_machine_that_does_not_come_back(self) -> None:
        for again in (True, False):
            view, coordinator = (
                self.view(command_repeatable=again, overdue_policy=OverduePolicy.GIVE_UP),
                Coordinator("n0"),
            )
            for second in range(4):
                view.now = 10_000 * second
                self.look(view, coordinator)
            view.incarnations = view.executors = {"n0": 2}
            for second in range(4, 8):
                view.now = 10_000 * second
                self.look(view, coordinator)
        self.close("works-died")

    def test_a_clock_that_is_set_back_undoes_nothing_and_a_stale_list_lets_nothing_out(self) -> None:
        view, coordinator = self.view(not_before_ms=5000, max_out=1), Coordinator("n0")
        view.wall_ms = 4000
        self.look(view, coordinator)
        view.now, view.wall_ms, view.stale_reason = 10_000, 6000, "the list was not heard of for 20 s"
        self.look(view, coordinator)
        view.now, view.stale_reason = 20_000, ""
        self.look(view, coordinator)
        view.now, view.wall_ms = 30_000, 1000
        self.look(view, coordinator)
        view.state.machines.clear()
        view.now = 50_000
        self.look(view, coordinator)
        self.close("works-clock")

    def test_a_work_that_is_stopped_halfway_brings_back_what_is_not_begun_and_finishes_the_rest(self) -> None:
        view, coordinator = self.view(max_out=2), Coordinator("n0")
        held = {"m01"}
        view.blocking_holders = lambda uid, index: "1 units there" if uid in held else ""
        for second in range(3):
            view.now = 10_000 * second
            self.look(view, coordinator)
        view.jobs = {"w": structs.replace(view.jobs["w"], state=JobState.STOPPED)}
        for second in range(3, 6):
            view.now = 10_000 * second
            self.look(view, coordinator)
        ended = {"uid": "m00", "work": "w", "step": "ended", "by": "n0", "why": "exit 0"}
        view.state.apply(55_000, {"steps": [ended]}, 1)
        for second in range(6, 12):
            view.now = 10_000 * second
            self.look(view, coordinator)
        self.say(f"{to_builtins(view.state.completed)} {to_builtins(view.state.machines)}")
        self.close("works-stopped")

    def test_repeats_of_tagged_units_keep_a_machine_in_their_group(self) -> None:
        view, coordinator = self.view(max_out=2, min_remaining_share=0.0), Coordinator("n0")
        view.jobs = {"w": structs.replace(view.jobs["w"], machines=["m00", "m06"])}  # a cell of two
        view.deduplication_scopes = [Area.CELL]
        self.look(view, coordinator)
        self.close("works-group")
