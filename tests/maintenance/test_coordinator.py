"""What the coordinator proposes next, and why machines and jobs wait."""

from typing import Any

from msgspec import structs, to_builtins

from crankfold.maintenance.coordinator import Coordinator
from crankfold.maintenance.fleet_view import Area, FleetView
from crankfold.maintenance.specification import JobSpecification, JobState, OverduePolicy, WorkMethod
from crankfold.maintenance.state import MaintenanceState
from crankfold.maintenance.transitions import coordinator_document
from tests.fixtures import TraceTestCase
from tests.maintenance.machines import MACHINES


class CoordinatorDecisions(TraceTestCase):
    """A coordinator at the leader, told what is known by hand."""

    def look(self, view: FleetView, coordinator: Coordinator) -> None:
        at = f"{view.now // 10_000} s:"
        transitions = coordinator.propose(view)
        for one in transitions:
            self.record(f"{at} {one.phase} {one.machine_id or one.job} {one.reason}".rstrip())
        documents = [coordinator_document(one) for one in transitions]
        view.state.apply(view.now, {"steps": documents}, view.jobs_version)
        for wait in coordinator.wait_reasons[:2]:
            self.record(f"{at} {wait.machine_id or wait.job} waits: {wait.text}")

    def view(self, **more: Any) -> FleetView:
        job = JobSpecification(
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
            jobs={"w": job},
            state=MaintenanceState(),
            machines=MACHINES,
            executors={"n0": 1},
            incarnations={"n0": 1},
        )

    def test_too_much_shedding_holds_a_job_and_brings_back_what_is_out(self) -> None:
        view, coordinator = self.view(max_out=2, requests_per_size=2.0), Coordinator("n0")
        view.requests_in_flight, view.blocking_holders = 37, lambda _uid, _index: "3 units there"
        self.look(view, coordinator)  # what would stay carries not as much as is in hand
        view.now, view.requests_in_flight = 20_000, 20
        self.look(view, coordinator)
        view.now, view.admitted_count, view.shed_count = 40_000, 80, 20
        self.look(view, coordinator)
        view.now, view.shed_count = 60_000, 0
        self.look(view, coordinator)
        view.now = 120_000
        self.look(view, coordinator)
        self.assert_matches_trace("works-load")

    def test_a_command_whose_dispatcher_died_and_a_machine_that_does_not_come_back(self) -> None:
        for repeatable in (True, False):
            view, coordinator = (
                self.view(command_repeatable=repeatable, overdue_policy=OverduePolicy.GIVE_UP),
                Coordinator("n0"),
            )
            for second in range(4):
                view.now = 10_000 * second
                self.look(view, coordinator)
            view.incarnations = view.executors = {"n0": 2}
            for second in range(4, 8):
                view.now = 10_000 * second
                self.look(view, coordinator)
        self.assert_matches_trace("works-died")

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
        self.assert_matches_trace("works-clock")

    def test_a_job_stopped_halfway_brings_back_what_is_not_begun_and_finishes_the_rest(self) -> None:
        view, coordinator = self.view(max_out=2), Coordinator("n0")
        on_hold = {"m01"}
        view.blocking_holders = lambda uid, _index: "1 units there" if uid in on_hold else ""
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
        self.record(f"{to_builtins(view.state.completed)} {to_builtins(view.state.machines)}")
        self.assert_matches_trace("works-stopped")

    def test_retries_of_keyed_requests_keep_a_machine_in_their_deduplication_scope(self) -> None:
        view, coordinator = self.view(max_out=2, min_remaining_share=0.0), Coordinator("n0")
        view.jobs = {"w": structs.replace(view.jobs["w"], machines=["m00", "m06"])}  # a cell of two
        view.deduplication_scopes = [Area.CELL]
        self.look(view, coordinator)
        self.assert_matches_trace("works-group")
