"""The transitions that the coordinator proposes, and the reasons why machines and jobs wait."""

from typing import Any

from msgspec import structs, to_builtins

from crankfold.maintenance.coordinator import Coordinator
from crankfold.maintenance.fleet_view import Area, FleetView
from crankfold.maintenance.specification import JobSpecification, JobState, OverduePolicy, WorkMethod
from crankfold.maintenance.state import MaintenanceState
from crankfold.maintenance.transitions import coordinator_document
from tests.fixtures import TraceTestCase
from tests.maintenance.machines import MACHINES


class CoordinatorTest(TraceTestCase):
    """Runs a coordinator on views of the fleet that the test sets up, and records what it proposes."""

    def propose_and_apply(self, view: FleetView, coordinator: Coordinator) -> None:
        time_text = f"{view.now // 10_000} s:"
        transitions = coordinator.propose(view)
        for transition in transitions:
            self.record(
                f"{time_text} {transition.phase} {transition.machine_id or transition.job} "
                f"{transition.reason}".rstrip()
            )
        documents = [coordinator_document(transition) for transition in transitions]
        view.state.apply(view.now, {"steps": documents}, view.jobs_version)
        for wait in coordinator.wait_reasons[:2]:
            self.record(f"{time_text} {wait.machine_id or wait.job} waits: {wait.text}")

    def make_view(self, **job_fields: Any) -> FleetView:
        job = JobSpecification(
            machines=["m00", "m01"],
            method=WorkMethod.COMMAND,
            command=["x"],
            work_seconds=5.0,
            watch_seconds=1.0,
            **job_fields,
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

    def test_excess_shedding_blocks_drains_and_returns_absent_machines(self) -> None:
        view, coordinator = self.make_view(max_out=2, requests_per_size=2.0), Coordinator("n0")
        view.requests_in_flight, view.blocking_holders = 37, lambda _machine_id, _index: "3 units there"
        # Without m00, the capacity of the remaining machines would not suffice for the requests in flight.
        self.propose_and_apply(view, coordinator)
        view.now, view.requests_in_flight = 20_000, 20
        self.propose_and_apply(view, coordinator)
        view.now, view.admitted_count, view.shed_count = 40_000, 80, 20
        self.propose_and_apply(view, coordinator)
        view.now, view.shed_count = 60_000, 0
        self.propose_and_apply(view, coordinator)
        view.now = 120_000
        self.propose_and_apply(view, coordinator)
        self.assert_matches_trace("works-load")

    def test_executor_restart_repeats_command_or_halts_job(self) -> None:
        for repeatable in (True, False):
            view, coordinator = (
                self.make_view(command_repeatable=repeatable, overdue_policy=OverduePolicy.GIVE_UP),
                Coordinator("n0"),
            )
            for second in range(4):
                view.now = 10_000 * second
                self.propose_and_apply(view, coordinator)
            view.incarnations = view.executors = {"n0": 2}
            for second in range(4, 8):
                view.now = 10_000 * second
                self.propose_and_apply(view, coordinator)
        self.assert_matches_trace("works-died")

    def test_time_window_stays_open_after_clock_step_back_and_stale_list_blocks_drains(self) -> None:
        view, coordinator = self.make_view(not_before_ms=5000, max_out=1), Coordinator("n0")
        view.wall_ms = 4000
        self.propose_and_apply(view, coordinator)
        view.now, view.wall_ms, view.stale_reason = 10_000, 6000, "the list was not heard of for 20 s"
        self.propose_and_apply(view, coordinator)
        view.now, view.stale_reason = 20_000, ""
        self.propose_and_apply(view, coordinator)
        view.now, view.wall_ms = 30_000, 1000
        self.propose_and_apply(view, coordinator)
        view.state.machines.clear()
        view.now = 50_000
        self.propose_and_apply(view, coordinator)
        self.assert_matches_trace("works-clock")

    def test_stopped_job_returns_machines_without_begun_work_and_finishes_the_others(self) -> None:
        view, coordinator = self.make_view(max_out=2), Coordinator("n0")
        busy_machines = {"m01"}
        view.blocking_holders = lambda machine_id, _index: (
            "1 units there" if machine_id in busy_machines else ""
        )
        for second in range(3):
            view.now = 10_000 * second
            self.propose_and_apply(view, coordinator)
        view.jobs = {"w": structs.replace(view.jobs["w"], state=JobState.STOPPED)}
        for second in range(3, 6):
            view.now = 10_000 * second
            self.propose_and_apply(view, coordinator)
        work_done = {"uid": "m00", "work": "w", "step": "ended", "by": "n0", "why": "exit 0"}
        view.state.apply(55_000, {"steps": [work_done]}, 1)
        for second in range(6, 12):
            view.now = 10_000 * second
            self.propose_and_apply(view, coordinator)
        self.record(f"{to_builtins(view.state.completed)} {to_builtins(view.state.machines)}")
        self.assert_matches_trace("works-stopped")

    def test_drain_leaves_one_machine_in_deduplication_scope_of_keyed_requests(self) -> None:
        view, coordinator = self.make_view(max_out=2, min_remaining_share=0.0), Coordinator("n0")
        # m00 and m06 are all machines of their cell.
        view.jobs = {"w": structs.replace(view.jobs["w"], machines=["m00", "m06"])}
        view.deduplication_scopes = [Area.CELL]
        self.propose_and_apply(view, coordinator)
        self.assert_matches_trace("works-group")
