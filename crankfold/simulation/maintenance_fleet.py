"""Works on machines in simulated time: the members of `accord`, dispatchers that send units, and machines.

What must hold is checked against what the machines saw and against the works as they were handed in, by code
that uses nothing of the ledger but what each step was called.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from crankfold.consensus.messages import MaintenanceReport
from crankfold.consensus.voter import Follower, Member, Voter
from crankfold.maintenance import specification
from crankfold.maintenance.coordinator import Coordinator
from crankfold.maintenance.fleet_view import FleetView
from crankfold.maintenance.scheduler import Machine, MaintenanceJob
from crankfold.maintenance.state import MaintenanceState
from crankfold.maintenance.transitions import (
    MaintenancePhase,
    coordinator_document,
)
from crankfold.simulation.consensus_cluster import (
    REQUEST_DEADLINE,
    ClusterCase,
    SimulatedCluster,
    SimulatedProcess,
    random_scenario,
)

TICKS_PER_SECOND = 10_000
WARM_UP_TICKS = 30_000  # after a start a machine is cold for so long
MAX_LIST_LAG_TICKS = 12_000  # lists tell of losses so late at the most
REQUEST_ROUND_TICKS = 400  # between units of a dispatcher


@dataclass(slots=True)
class SimulatedMachine:
    """A machine as it is."""

    machine_id: str
    zone: str
    size: float
    started_at: int = 1
    running_now: bool = True
    removed: bool = False
    history: list[tuple[int, bool, int]] = None  # type: ignore[assignment]
    running_requests: list[tuple[int, str, int]] = None  # type: ignore[assignment]
    unhealthy: bool = False  # its answers are bad from its next start on

    def __post_init__(self) -> None:
        self.history, self.running_requests = [(0, True, self.started_at)], []

    def set_running(self, now: int, up: bool) -> None:
        if up and not self.running_now:
            self.started_at = now
        self.running_now = up
        self.history.append((now, up, self.started_at))

    def status_at(self, at: int) -> tuple[bool, int]:
        for when, up, start in reversed(self.history):
            if when <= at:
                return up, start
        return False, 0


@dataclass(frozen=True, slots=True)
class MaintenanceCase:
    cluster_case: ClusterCase
    jobs: dict[str, dict[str, Any]]
    machine_count: int = 9
    zone_count: int = 3
    losses: tuple[tuple[int, int, str], ...] = ()  # begin, end, machine; "" at the end for good
    unhealthy: frozenset[str] = frozenset()
    work_duration: int = 6000  # what work on a machine takes
    request_rate: float = 0.6  # units of a dispatcher each round
    faults_end_at: int = 0  # troubles are over then


class SimulatedDispatcher(SimulatedProcess):
    """A dispatcher with units at machines."""

    def __init__(self, fleet: "MaintenanceFleet", name: str, rate: float) -> None:
        super().__init__(fleet, name, rate)
        self.maintenance_fleet = fleet
        self.list_lag = fleet.rng.randrange(MAX_LIST_LAG_TICKS)
        self.attempts: list[tuple[int, str, str]] = []  # until when it waits, which machine, which unit
        self.unresolved_requests: dict[str, list[str]] = {}
        self.answer_counts: dict[str, list[int]] = {}
        self.coordinator = fleet.make_coordinator(name)
        self.started_commands: set[tuple[str, int]] = set()
        self.last_seen_state = (-1, -1)

    def start(self) -> None:
        self.attempts, self.unresolved_requests, self.answer_counts, self.started_commands = [], {}, {}, set()
        self.coordinator = self.maintenance_fleet.make_coordinator(self.name)
        super().start()

    def maintenance_state(self) -> MaintenanceState:
        assert self.member is not None
        return self.member.documents.replicated.maintenance

    def jobs(self) -> dict[str, specification.JobSpecification]:
        assert self.member is not None
        doc = self.member.documents.document("works")
        return specification.parse_jobs(doc.versions[-1].text) if doc.versions else {}

    def listed_machines(self) -> list[Machine]:
        at = self.maintenance_fleet.events.now - self.list_lag
        seen = []
        for box in self.maintenance_fleet.machines.values():
            up, start = box.status_at(at)
            seen.append(
                Machine(box.machine_id, box.zone, "k", "", box.size, start, up, up or not box.removed)
            )
        return [m for m in seen if m.started_at]

    def maintenance_report(self) -> MaintenanceReport | None:
        if not self.maintenance_state().machines and not self.jobs():
            return None
        out = self.maintenance_state().out_of_rotation()
        told = MaintenanceReport(open_requests=len(self.attempts))
        for _, uid, _ in self.attempts:
            if uid in out:
                told.in_flight[uid] = told.in_flight.get(uid, 0) + 1
        told.unresolved = {
            uid: self.unresolved_requests[uid][-5:] for uid in out if uid in self.unresolved_requests
        }
        told.response_counts = {uid: (seen[0], seen[1]) for uid, seen in self.answer_counts.items()}
        told.unavailable = [
            m.machine_id for m in self.listed_machines() if not m.available and m.machine_id not in out
        ]
        return told

    def propose_transitions(self, now: int) -> list[dict[str, Any]]:
        member = self.member
        assert isinstance(member, Voter)
        ledger = self.maintenance_state()
        if not member.is_leader() or not member.has_lease(now):
            self.coordinator.observe(now, ledger, self.listed_machines())
            return []
        told, holders = member.gather_maintenance(now)
        lives = {name: report.incarnation for name, report in member.voter_reports.items()}
        lives[self.name] = member.incarnation
        executors = {
            name: life
            for name, life in lives.items()
            if name == self.name or now < member.granted_until.get(name, 0)
        }
        view = FleetView(
            now=now,
            wall_ms=self.maintenance_fleet.events.now // 10,
            jobs_version=member.documents.document("works").latest_number(),
            jobs=self.jobs(),
            state=ledger,
            machines=self.listed_machines(),
            voter_count=len(member.raft.voters),
            blocking_holders=holders,
            unresolved_requests=told.unresolved,
            answers=told.response_counts,
            unavailable=told.unavailable,
            requests_in_flight=told.open_requests,
            admitted_count=told.recent_accepted,
            shed_count=told.recent_shed,
            executors=executors,
            incarnations=lives,
            warm_up_ticks=self.maintenance_fleet.warm_up_ticks,
        )
        return [coordinator_document(transition) for transition in self.coordinator.propose(view)]

    def run_due_commands(self) -> None:
        """What is due here: commands, and watching those that are back."""
        member, now = self.member, self.maintenance_fleet.events.now
        assert member is not None
        self.attempts = [trip for trip in self.attempts if trip[0] > now]
        key = self.generation, member.last_applied
        if key == self.last_seen_state:
            return
        back = {
            uid
            for uid, away in self.maintenance_state().machines.items()
            if away.phase == MaintenancePhase.RETURNING
        }
        for uid in [uid for uid in self.answer_counts if uid not in back]:
            del self.answer_counts[uid]
        for uid in back:
            self.answer_counts.setdefault(uid, [0, 0])
        if not member.has_lease(self.local_time()):
            return
        self.last_seen_state = key
        for uid, away in self.maintenance_state().machines.items():
            if (
                away.phase == MaintenancePhase.IN_WORK
                and away.executor == self.name
                and away.executor_incarnation == member.incarnation
                and (uid, away.drain_number) not in self.started_commands
            ):
                self.started_commands.add((uid, away.drain_number))
                self.maintenance_fleet.run_command(self, uid, away.job, away.drain_number)


class MaintenanceFleet(SimulatedCluster):
    def __init__(
        self,
        case: MaintenanceCase,
        voter: type[Voter] = Voter,
        follower: type[Follower] = Follower,
        foremen: Callable[[str], Coordinator] = Coordinator,
        warm: int = WARM_UP_TICKS,
    ) -> None:
        self.maintenance_case, self.make_coordinator, self.warm_up_ticks = case, foremen, warm
        super().__init__(case.cluster_case, voter, follower)
        self.processes = {
            name: SimulatedDispatcher(self, name, process.clock_rate)
            for name, process in self.processes.items()
        }
        self.machines = {
            f"m{n}": SimulatedMachine(f"m{n}", f"z{n % case.zone_count}", 1.0 + n % 2)
            for n in range(case.machine_count)
        }
        for uid in case.unhealthy:
            self.machines[uid].unhealthy = True
        self.request_count = 0
        self.jobs_of_absent: dict[
            str, str
        ] = {}  # machines that are out or back and not well yet, by their work
        self.drained_since: dict[str, int] = {}  # free, and since when: nothing may come there
        self.drain_numbers: dict[str, int] = {}  # under which each was called free last
        self.work_runs: dict[tuple[str, str], list[int]] = {}  # by machine and work, under which numbers
        self.running_commands: dict[str, int] = {}  # commands that run at this moment, by machine
        self.begun_by_operators: set[tuple[str, int]] = set()  # by hand
        self.last_checked_index = 0  # the entry up to which steps were looked at
        self.machines_left: list[int] = []
        self.submitted_jobs = specification.parse_jobs({"works": case.jobs})

    def make_member(self, process: SimulatedProcess) -> Member:
        member = super().make_member(process)
        assert isinstance(process, SimulatedDispatcher)
        member.maintenance_report = process.maintenance_report
        if isinstance(member, Voter):
            member.maintenance_steps = process.propose_transitions
        return member

    def run(self) -> "MaintenanceFleet":
        for begin, end, uid in self.maintenance_case.losses:
            self.events.schedule(begin, lambda uid=uid: self._lose_machine(uid))  # type: ignore[misc]
            self.events.schedule(end, lambda uid=uid: self.machines[uid].set_running(self.events.now, True))  # type: ignore[misc]
        self.events.schedule(15_000, self._submit_jobs)
        self.events.schedule(3000, self._operators_act)
        super().run()
        return self

    def _lose_machine(self, uid: str) -> None:
        self.machines[uid].set_running(self.events.now, False)

    def _submit_jobs(self) -> None:
        """Until it is agreed: the operator asks again with the same call."""
        if self.outcomes.get("works") and self.outcomes["works"].accepted:
            return
        process = self.rng.choice(list(self.processes.values()))
        if process.member and process.running:
            data = {
                "doc": "works",
                "made_from": 0,
                "author": "o",
                "reason": "r",
                "at": 0,
                "text": {"works": self.maintenance_case.jobs},
            }
            self._submit_publish(process.name, "works", data)
        self.events.schedule(8000, self._submit_jobs)

    def _publish_operator_transition(self, uid: str, work: str, step: str, number: int) -> None:
        """An operator at any dispatcher, who asks until he knows the outcome."""
        call = f"{step} {uid} {number}"
        if call in self.outcomes and (self.outcomes[call].accepted or self.outcomes[call].log_index):
            return
        name = self.rng.choice(sorted(self.processes))
        taken = {"uid": uid, "work": work, "step": step, "by": "o", "life": 0, "number": number, "why": ""}
        self.processes[name].deliver(
            lambda member, now: member.propose(  # type: ignore[attr-defined]
                now, call, "step", {"steps": [taken]}
            )
        )
        self.events.schedule(7000, lambda: self._publish_operator_transition(uid, work, step, number))

    def _operators_act(self) -> None:
        """Operators look at some dispatcher for machines that are free, and others restart what is free."""
        self.events.schedule(3000, self._operators_act)
        process = self.rng.choice(list(self.processes.values()))
        if not isinstance(process, SimulatedDispatcher) or not process.running or process.member is None:
            return
        for uid, away in process.maintenance_state().machines.items():
            given = process.jobs().get(away.job)
            if (
                given is None
                or away.phase != MaintenancePhase.DRAINED
                or (uid, away.drain_number) in self.begun_by_operators
            ):
                continue
            if given.method == specification.WorkMethod.ENDPOINT_LIST:
                self.begun_by_operators.add((uid, away.drain_number))
                self._restart_machine(uid, lambda: None)
            elif given.method == specification.WorkMethod.OPERATOR:
                self.begun_by_operators.add((uid, away.drain_number))
                self._publish_operator_transition(uid, away.job, MaintenancePhase.IN_WORK, away.drain_number)

    def _work_begun_by_operator(self, uid: str, work: str, number: int) -> None:
        self.work_runs.setdefault((uid, work), []).append(number)
        self._restart_machine(
            uid, lambda: self._publish_operator_transition(uid, work, MaintenancePhase.WORK_DONE, number)
        )

    def _restart_machine(self, uid: str, then: Callable[[], None]) -> None:
        box = self.machines[uid]
        if box.removed:
            return
        box.set_running(self.events.now, False)

        def up() -> None:
            if not box.removed:
                box.set_running(self.events.now, True)
            then()

        self.events.schedule(self.maintenance_case.work_duration, up)

    # --- units ---

    def _generate_load(self) -> None:
        self.events.schedule(REQUEST_ROUND_TICKS, self._generate_load)
        now = self.events.now
        for process in self.processes.values():
            assert isinstance(process, SimulatedDispatcher)
            if not process.running or process.member is None or now < process.paused_until:
                continue
            process.run_due_commands()
            if (
                not process.member.has_lease(process.local_time())
                or self.rng.random() > self.maintenance_case.request_rate
            ):
                continue
            out = process.maintenance_state().out_of_rotation()
            ready = [m for m in process.listed_machines() if m.available and m.machine_id not in out]
            if ready:
                self._send_request(process, self.rng.choice(ready).machine_id)

    def _send_request(self, process: SimulatedDispatcher, uid: str) -> None:
        now, box = self.events.now, self.machines[uid]
        self.request_count += 1
        unit = f"{process.name} {self.request_count}"
        if uid in self.drained_since:
            self._report_violation(
                f"{unit} came to {uid}, "
                f"which is free since {self.drained_since[uid] / TICKS_PER_SECOND:.3f} s"
            )
        if not box.running_now:
            process.answer_counts.get(uid, [0, 0])[0] += 1
            process.answer_counts.get(uid, [0, 0])[1] += 1
            return
        long = self.rng.random() < 0.06
        lasts = self.rng.randrange(2 * REQUEST_DEADLINE) if long else self.rng.randrange(200, 4000)
        waits = min(lasts, REQUEST_DEADLINE)
        process.attempts.append((now + waits, uid, unit))
        box.running_requests = [one for one in box.running_requests if one[0] > now]
        box.running_requests.append((now + lasts, unit, now + REQUEST_DEADLINE))
        life = process.generation

        def ended() -> None:
            if life != process.generation:
                return
            if lasts > REQUEST_DEADLINE:
                process.unresolved_requests.setdefault(uid, []).append(unit)
            elif uid in process.answer_counts:
                process.answer_counts[uid][0] += 1
                process.answer_counts[uid][1] += box.unhealthy and box.started_at > 1

        self.events.schedule(waits, ended)

    # --- commands ---

    def run_command(self, process: SimulatedDispatcher, uid: str, work: str, number: int) -> None:
        self.work_runs.setdefault((uid, work), []).append(number)
        given = self.submitted_jobs[work]
        if len(self.work_runs[uid, work]) > 1 and not given.command_repeatable:
            self._report_violation(
                f"the command of {work} ran again on {uid}, under {self.work_runs[uid, work]}"
            )
        if uid in self.running_commands:
            self._report_violation(f"two commands run on {uid}")
        if uid not in self.drained_since:
            self._report_violation(f"a command runs on {uid}, which is not free")
        life = process.generation
        self.running_commands[uid] = number

        def over() -> None:
            if self.running_commands.get(uid) == number:
                del self.running_commands[uid]
            if life != process.generation:
                return  # it ended with its dispatcher
            step = MaintenancePhase.WORK_DONE if self.rng.random() > 0.05 else MaintenancePhase.WORK_FAILED
            self._publish_outcome(process, life, uid, work, number, step)

        self._restart_machine(uid, over)

    def _publish_outcome(
        self, process: SimulatedDispatcher, life: int, uid: str, work: str, number: int, step: str
    ) -> None:
        call = f"{uid} {number}"
        told = self.outcomes.get(call)
        if life != process.generation or told and (told.accepted or told.log_index):
            return
        taken = {"uid": uid, "work": work, "step": step, "number": number, "by": process.name, "why": ""}
        process.deliver(
            lambda member, now: member.propose(  # type: ignore[attr-defined]
                now, call, "step", {"steps": [taken]}
            )
        )
        self.events.schedule(5000, lambda: self._publish_outcome(process, life, uid, work, number, step))

    # --- what must hold ---

    def check_invariants(self) -> None:
        super().check_invariants()
        for process in self.processes.values():
            if (
                not process.running
                or not isinstance(process, SimulatedDispatcher)
                or process.member is None
                or process.member.last_applied <= self.last_checked_index
            ):
                continue
            for step in process.maintenance_state().transitions:
                if step.index > self.last_checked_index:
                    self._check_transition(step.machine_id, step.job, step.phase, step.index, step.reason)
            self.last_checked_index = process.member.last_applied

    def _check_transition(self, uid: str, work: str, step: str, index: int, why: str) -> None:
        """As soon as anybody knows of it."""
        now = self.events.now
        if step == MaintenancePhase.DRAINING:
            self._check_bounds(uid, work)
            self.jobs_of_absent[uid] = work
        elif step == MaintenancePhase.DRAINED:
            if uid not in self.drained_since:
                self._check_drained(uid, why)
            if index <= self.drain_numbers.get(uid, 0):
                self._report_violation(f"{uid} is free under {index}, after {self.drain_numbers[uid]}")
            self.drain_numbers[uid] = index
            self.jobs_of_absent[uid] = work
            self.drained_since[uid] = now
        elif (
            step == MaintenancePhase.IN_WORK
            and self.submitted_jobs[work].method == specification.WorkMethod.OPERATOR
        ):
            self._work_begun_by_operator(uid, work, self.drain_numbers[uid])
        elif (
            step in (MaintenancePhase.RETURNING, MaintenancePhase.CANCELLED, MaintenancePhase.REPLACED)
            or step == MaintenancePhase.UNHEALTHY
        ):
            self.drained_since.pop(uid, None)
        elif step == MaintenancePhase.HEALTHY:
            start = self.machines[uid].started_at
            if (
                start > 1
                and now < start + WARM_UP_TICKS
                and self.machines[uid].status_at(now - MAX_LIST_LAG_TICKS)[1] == start
            ):
                self._report_violation(f"{uid} is called well {(now - start) / 10:.0f} ms after its start")
        if step in (MaintenancePhase.HEALTHY, MaintenancePhase.CANCELLED, MaintenancePhase.REPLACED):
            self.jobs_of_absent.pop(uid, None)

    def _check_drained(self, uid: str, why: str) -> None:
        now = self.events.now
        for process in self.processes.values():
            assert isinstance(process, SimulatedDispatcher)
            held = [
                unit for until, at, unit in process.attempts if at == uid and until > now and process.running
            ]
            if held:
                self._report_violation(f"{uid} is called free while {process.name} waits for {held}")
        for until, unit, cut_off in self.machines[uid].running_requests:
            if until > now and cut_off > now and self.machines[uid].running_now:
                self._report_violation(f"{uid} is called free while {unit} runs there, before its cut-off")

    def _check_bounds(self, uid: str, work: str) -> None:
        """At the moment when one more is out; losses of which lists can't have told yet are excused."""
        now = self.events.now
        lost = {
            box.machine_id
            for box in self.machines.values()
            if not box.running_now and not box.status_at(now - MAX_LIST_LAG_TICKS - 2000)[0]
        }
        out = (set(self.jobs_of_absent) | lost) - {uid}
        for name, given in self.submitted_jobs.items():
            asked: MaintenanceJob = given.to_job(name)
            machines = [
                Machine(b.machine_id, b.zone, "k", "", b.size, b.started_at) for b in self.machines.values()
            ]
            mine = [m for m in machines if asked.covers(m)]
            if name != work and (
                name not in self.jobs_of_absent.values() or not any(m.machine_id == uid for m in mine)
            ):
                continue
            gone = [m for m in mine if m.machine_id in out]
            zone = self.machines[uid].zone
            told = f"{uid} goes out for {work} beside {sorted(out)}"
            if len(gone) >= given.max_out:
                self._report_violation(f"{told}, {given.max_out} at once for {name}")
            if given.max_out_per_zone and sum(m.zone == zone for m in gone) >= given.max_out_per_zone:
                self._report_violation(f"{told}, {given.max_out_per_zone} a zone for {name}")
            stays = sum(m.size for m in machines if m.machine_id not in out and m.machine_id != uid)
            if stays < given.min_remaining_share * sum(m.size for m in machines) - 1e-9:
                self._report_violation(
                    f"{uid} goes out for {work}, and less than {given.min_remaining_share} stays for {name}"
                )

    def _check_final_state(self) -> None:
        super()._check_final_state()
        leader = next(
            (
                p
                for p in self.processes.values()
                if isinstance(p, SimulatedDispatcher)
                and p.running
                and isinstance(p.member, Voter)
                and p.member.is_leader()
            ),
            None,
        )
        if leader is None or not self.maintenance_case.faults_end_at:
            return
        ledger = leader.maintenance_state()
        for name, given in self.submitted_jobs.items():
            done = ledger.completed.get(name, {})
            left = [
                uid
                for uid in self.machines
                if uid not in done
                and given.to_job(name).covers(Machine(uid, self.machines[uid].zone, "k", ""))
            ]
            self.machines_left.append(len(left))
            told = [
                wait.text
                for wait in leader.coordinator.wait_reasons
                if wait.job == name or wait.machine_id in left
            ]
            if left and not told and name not in ledger.halted_jobs:
                self._report_violation(f"{name} has {left} left and nobody says why")


def draw_jobs(luck: Random) -> dict[str, dict[str, Any]]:
    ways: list[dict[str, Any]] = [
        {"way": "hand"},
        {"way": "list"},
        {"way": "command", "command": ["x"]},
        {"way": "command", "command": ["x"], "again": True},
    ]
    return {
        name: {
            "at-once": luck.choice((1, 2, 3)),
            "a-zone": luck.choice((0, 1, 2)),
            "stays": luck.choice((0.0, 0.5, 0.7)),
            "takes": luck.choice((2.0, 30.0)),
            "watch": 1.0,
            "least-answers": luck.choice((0, 3)),
            "not-back": luck.choice(("hold", "go-on")),
            "machines": [f"m{n}" for n in luck.sample(range(9), luck.choice((2, 4)))],
            "shares": luck.random() < 0.7,
            **luck.choice(ways),
        }
        for name in ("disks", "racks")[: luck.choice((1, 2, 2))]
    }


def draw_case(seed: int, seconds: float = 40.0, **more: Any) -> MaintenanceCase:
    """A case with troubles of members and machines drawn by the seed; the last part is calm."""
    luck = Random(f"yard {seed}")
    voters, followers = luck.choice(((3, 2), (3, 3), (5, 1)))
    troubled = seconds * 0.6
    case = random_scenario(seed, voters, followers, seconds=troubled)
    case = replace(case, seconds=seconds, publish_every=3.0, publish_until=troubled)
    end = int(troubled * TICKS_PER_SECOND)
    losses = tuple(
        (at, at + luck.choice((10_000, 60_000)), f"m{luck.randrange(9)}")
        for at in (luck.randrange(20_000, end) for _ in range(luck.randrange(3)))
    )
    if luck.random() < 0.2:
        at = luck.randrange(20_000, end)
        losses += tuple((at, at + 50_000, f"m{n}") for n in range(0, 9, 3))  # a zone
    kept: list[tuple[int, int, str]] = []
    for begin, end, uid in sorted(losses):
        if not any(uid == other and begin < until + 8000 for _, until, other in kept):
            kept.append((begin, end, uid))
    sick = frozenset({f"m{luck.randrange(9)}"} if luck.random() < 0.3 else ())
    return MaintenanceCase(
        case, draw_jobs(luck), losses=tuple(kept), unhealthy=sick, faults_end_at=end, **more
    )
