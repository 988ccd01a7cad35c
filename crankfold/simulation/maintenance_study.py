"""Whole fleets taken through a work under load: what each order of machines costs, in time and in units.

The dispatchers are real, with units, lists and reports as in `world`. Who goes next is decided by the
foreman, or by the orders that an operator would follow by himself.
"""

from dataclasses import dataclass, replace
from random import Random

from crankfold.maintenance.coordinator import Coordinator
from crankfold.maintenance.fleet_view import FleetView
from crankfold.maintenance.scheduler import Machine
from crankfold.maintenance.specification import JobSpecification
from crankfold.maintenance.state import MaintenanceState
from crankfold.maintenance.transitions import MaintenancePhase, coordinator_document
from crankfold.routing.interface import EndpointState, RoutingConfig
from crankfold.routing.router import Router
from crankfold.simulation.backend import SimulatedBackend
from crankfold.simulation.fleet import SimulatedFleet
from crankfold.simulation.invariants import Answer
from crankfold.simulation.scenario import ZONE_COUNT, Scenario

TICKS_PER_SECOND = 10_000
DECISION_INTERVAL_TICKS = 2_000
CONSENSUS_DELAY_TICKS = 300  # until an entry is on the disks of a majority
WORK_DURATION_TICKS = TICKS_PER_SECOND  # what the work on a machine takes
MIN_DRAIN_TICKS = 5_000  # before that nobody can know that all have heard
FOREMAN, BY_ID, AT_RANDOM, BY_ZONE, ONE, TRUE_LOADS, NOTHING = (
    "settled",
    "by id",
    "at random",
    "zone by zone",
    "one at a time",
    "true loads",
    "no work",
)
ORDERS = (FOREMAN, BY_ID, AT_RANDOM, BY_ZONE, ONE, TRUE_LOADS, NOTHING)
MAX_UTILIZATION = 0.8  # of the slots: the planner that sees true loads takes no machine out over that


@dataclass(frozen=True, slots=True)
class StudyResult:
    strategy: str
    seed: int
    request_count: int
    in_time_share: float  # share
    completed_share: float  # share of the machines by the end of the day
    duration_seconds: float  # seconds until the last, or the day's length
    violation_count: int


class StudyFleet(SimulatedFleet):
    def __init__(self, scenario: Scenario, orders: RoutingConfig, order: str) -> None:
        self.strategy = order
        self.absent: dict[int, tuple[str, int]] = {}  # of runners that are out: where they are, since when
        super().__init__(scenario, orders, Router)
        self.completed_at: dict[int, int] = {}
        self.max_out = max(scenario.backend_count // 10, 1)
        self.luck = Random(f"{scenario.seed} order")
        self.remaining = list(range(scenario.backend_count))
        if order == AT_RANDOM:
            self.luck.shuffle(self.remaining)
        elif order == BY_ZONE:
            self.remaining.sort(key=lambda r: (r % ZONE_COUNT, r))
        self.coordinator, self.maintenance_state = Coordinator("n0"), MaintenanceState()
        self.log_index = 1
        self.job_specification = JobSpecification(
            max_out=self.max_out, min_remaining_share=0.5, watch_seconds=0.0, min_answers=0
        )
        self.outcome_counts: list[tuple[int, int]] = []
        if order != NOTHING:
            self.events.schedule(TICKS_PER_SECOND, self._decide)

    def change_state(self, at: int, runner: int, standing: EndpointState, since: int = 0) -> None:
        """What faults do to a machine that is out is undone by the work on it."""

        def unless_out() -> None:
            if runner not in self.absent:
                SimulatedFleet.change_state(self, at, runner, standing, since)

        self.events.schedule(at - self.events.now, unless_out)

    def _set_endpoint_state(self, r: int, standing: EndpointState, since: int = 0) -> None:
        super().change_state(self.events.now, r, standing, since)

    def _machine(self, r: int) -> Machine:
        it = self.backends[r]
        up = it.state == EndpointState.READY and not it.dead
        return Machine(f"{r:04}", f"z{r % ZONE_COUNT}", "", "", 1.0, it.ready_since, up)

    def _decide(self) -> None:
        self.events.schedule(DECISION_INTERVAL_TICKS, self._decide)
        now = self.events.now
        for r, (state, since) in list(self.absent.items()):
            it = self.backends[r]
            if (
                state == MaintenancePhase.DRAINING
                and now - since >= MIN_DRAIN_TICKS
                and not it.busy_slots
                and not it.queue
            ):
                self.absent[r] = MaintenancePhase.DRAINED, now
            elif state == MaintenancePhase.DRAINED and self.strategy != FOREMAN:
                self._start_work(r)
            elif (
                state == MaintenancePhase.RETURNING
                and self.strategy != FOREMAN
                and now - since >= self.config.warm_up_time
            ):
                self._complete(r)
        if self.strategy == FOREMAN:
            counts = self.invariants.answer_counts
            self.outcome_counts.append((counts[Answer.COMPLETED], counts[Answer.SHED]))
            del self.outcome_counts[:-26]
            self._coordinate()
        else:
            for r in self._next_departures():
                self._start_drain(r)

    # --- what happens to a machine ---

    def _start_drain(self, r: int) -> None:
        self.absent[r] = MaintenancePhase.DRAINING, self.events.now
        self._set_endpoint_state(r, EndpointState.DRAINING)

    def _start_work(self, r: int) -> None:
        end = self.events.now + WORK_DURATION_TICKS
        self.absent[r] = MaintenancePhase.IN_WORK, self.events.now
        self.backends[r].state = EndpointState.REMOVED

        def back() -> None:
            self.absent[r] = MaintenancePhase.WORK_DONE, end
            if self.strategy != FOREMAN:
                self._return_to_service(r)

        self.events.schedule(WORK_DURATION_TICKS, back)

    def _return_to_service(self, r: int) -> None:
        self.absent[r] = MaintenancePhase.RETURNING, self.events.now
        self._set_endpoint_state(r, EndpointState.READY, self.events.now)

    def _complete(self, r: int) -> None:
        del self.absent[r]
        self.completed_at[r] = self.events.now

    # --- orders by operators ---

    def _next_departures(self) -> list[int]:
        if self.strategy == BY_ZONE:
            if self.absent or not self.remaining:
                return []
            zone = self.remaining[0] % ZONE_COUNT
            go = [r for r in self.remaining if r % ZONE_COUNT == zone]
        elif self.strategy == TRUE_LOADS:
            go = self._departures_by_load()
        else:
            go = self.remaining[: max((1 if self.strategy == ONE else self.max_out) - len(self.absent), 0)]
        self.remaining = [r for r in self.remaining if r not in go]
        return go

    def _departures_by_load(self) -> list[int]:
        go: list[int] = []
        up = {r: it for r, it in enumerate(self.backends) if self._is_available(r, it)}
        held = sum(it.busy_slots + len(it.queue) for it in self.backends)
        places = (
            self.max_out
            - len(self.absent)
            - sum(
                not self._is_available(r, it) and r not in self.absent for r, it in enumerate(self.backends)
            )
        )
        for r in sorted(
            self.remaining, key=lambda r: (self.backends[r].busy_slots + len(self.backends[r].queue), r)
        ):
            if len(go) >= places or held > MAX_UTILIZATION * self.scenario.slots_per_backend * (
                len(up) - len(go) - 1
            ):
                break
            if r in up:
                go.append(r)
        return go

    @staticmethod
    def _is_available(r: int, it: SimulatedBackend) -> bool:
        return it.state == EndpointState.READY and not it.dead

    # --- the foreman ---

    def _coordinate(self) -> None:
        ledger, now = self.maintenance_state, self.events.now
        for uid, away in list(ledger.machines.items()):
            if (
                away.phase == MaintenancePhase.IN_WORK
                and self.absent[int(uid)][0] == MaintenancePhase.WORK_DONE
            ):
                self._apply_transitions(
                    [{"uid": uid, "work": "w", "step": MaintenancePhase.WORK_DONE, "by": "o", "why": ""}]
                )
        counts = self.invariants.answer_counts
        before = self.outcome_counts[0]
        taken = counts[Answer.COMPLETED] - before[0]
        shed = counts[Answer.SHED] - before[1]
        holds = {f"{r:04}" for r, (state, _) in self.absent.items() if state == MaintenancePhase.DRAINING}
        steps = self.coordinator.propose(
            FleetView(
                now=now,
                wall_ms=0,
                jobs_version=1,
                jobs={"w": self.job_specification},
                state=ledger,
                machines=[self._machine(r) for r in range(len(self.backends))],
                blocking_holders=lambda uid, index: "held" if uid in holds else "",
                admitted_count=taken,
                shed_count=shed,
                executors={"n0": 1},
                incarnations={"n0": 1},
                warm_up_ticks=self.config.warm_up_time,
            )
        )
        # An entry is agreed, and its machines are out or back, a little later; then the next is looked for.
        if steps:
            documents: list[dict[str, object]] = [coordinator_document(step) for step in steps]
            self.events.schedule(CONSENSUS_DELAY_TICKS, lambda: self._transitions_committed(documents))

    def _transitions_committed(self, steps: list[dict[str, object]]) -> None:
        self._apply_transitions(steps)
        self._coordinate()

    def _apply_transitions(self, steps: list[dict[str, object]]) -> None:
        before = {uid: away.phase for uid, away in self.maintenance_state.machines.items()}
        self.log_index += 1
        self.maintenance_state.apply(self.log_index, {"steps": steps}, 1)
        for step in steps:
            uid = str(step["uid"])
            if not uid:
                continue
            r, away = int(uid), self.maintenance_state.machines.get(uid)
            state = away.phase if away else ""
            if state == before.get(uid, ""):
                continue
            if state == MaintenancePhase.DRAINING:
                self._start_drain(r)
            elif state == MaintenancePhase.DRAINED:
                # The operator begins at once.
                self._apply_transitions(
                    [
                        {
                            "uid": uid,
                            "work": "w",
                            "step": MaintenancePhase.IN_WORK,
                            "by": "o",
                            "life": 0,
                            "why": "",
                        }
                    ]
                )
                self._start_work(r)
            elif state == MaintenancePhase.RETURNING:
                self._return_to_service(r)
            elif not state:
                self.absent.pop(r, None)
                if uid in self.maintenance_state.completed.get("w", ()):
                    self.completed_at[r] = self.events.now


def run_study(order: str, scenario: Scenario, orders: RoutingConfig, seed: int) -> StudyResult:
    fleet = StudyFleet(replace(scenario, seed=seed), orders, order)
    fleet.run()
    whole = len(fleet.completed_at) == scenario.backend_count
    took = (
        (max(fleet.completed_at.values()) - 2 * TICKS_PER_SECOND) / TICKS_PER_SECOND
        if whole
        else float(scenario.seconds)
    )
    return StudyResult(
        order,
        seed,
        fleet.request_count,
        fleet.on_time_count / max(fleet.request_count, 1),
        len(fleet.completed_at) / scenario.backend_count,
        took,
        len(fleet.invariants.violations),
    )
