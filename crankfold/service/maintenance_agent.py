"""Machines out for work, as one dispatcher takes part: what it tells of them, decides if it leads, and runs.

Not imported before works are handed in. What is decided is in `crankfold/maintenance/`.
"""

import asyncio
import contextlib
import os
import signal
import time
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
from msgspec import Struct

from crankfold.cluster.node import ClusterNode, boottime_ticks
from crankfold.consensus.conservative_merge import MAINTENANCE
from crankfold.consensus.messages import MaintenanceReport
from crankfold.consensus.voter import ALIVE, Voter
from crankfold.maintenance import specification
from crankfold.maintenance.coordinator import Coordinator
from crankfold.maintenance.fleet_view import Area, FleetView
from crankfold.maintenance.forecast import ForecastInputs, forecast_job
from crankfold.maintenance.scheduler import Machine
from crankfold.maintenance.state import MaintenanceState, is_dispatcher_id
from crankfold.maintenance.transitions import (
    MaintenancePhase,
    Transition,
    coordinator_document,
    operator_document,
    outcome_document,
)
from crankfold.network.metrics import Metrics, log_line
from crankfold.routing.interface import DeduplicationScope, EndpointState, Idempotency, Outcome
from crankfold.service.admin_service import AdminService
from crankfold.service.request_handler import (
    ADMITTED_COUNTER,
    NO_VALID_CONFIG,
    OVERLOADED,
    QUOTA_USED_UP,
    RequestHandler,
)
from crankfold.service.request_table import Disposition

TICKS_PER_SECOND = 10_000
LOAD_WINDOW = 5.0  # seconds over which taken and shed units are counted
MISSING_MACHINE_PERIOD = 600 * TICKS_PER_SECOND  # so long a machine that is listed no more counts as lost
MAX_ENDPOINT_LIST_AGE = 15 * TICKS_PER_SECOND  # a list that was not heard of for longer is not relied on
PUBLISH_TIMEOUT = 10.0
MAX_UNCONFIRMED = 1000
SUCCESSES = (Outcome.COMPLETED,)
FAILURES = (Outcome.ERROR, Outcome.TIMED_OUT, Outcome.UNREACHABLE, Outcome.RESET, Outcome.UNKNOWN)
SHED_COUNTERS = (
    Disposition.SHED.counter,
    OVERLOADED.counter,
    QUOTA_USED_UP.counter,
    NO_VALID_CONFIG.counter,
)
OPERATOR_TRANSITIONS = {
    "begin": MaintenancePhase.IN_WORK,
    "done": MaintenancePhase.WORK_DONE,
    "unwell": MaintenancePhase.UNHEALTHY,
    "back": MaintenancePhase.RETURNING,
}


class TransitionRequest(Struct, rename="kebab", forbid_unknown_fields=True):
    """What an operator has to say of a machine."""

    call: str
    machine: str
    step: str
    number: int = 0
    author: str = ""
    why: str = ""


class ForecastRequest(Struct, rename="kebab", forbid_unknown_fields=True):
    name: str
    work: dict[str, Any]


class MaintenanceAgent:
    def __init__(
        self,
        desk: RequestHandler,
        operations: AdminService,
        peer: ClusterNode,
        tally: Metrics,
        list_age: Callable[[], int],
        relaid: Callable[[], None],
    ) -> None:
        self.request_handler, self.backend_registry, self.admin_service, self.cluster_node, self.metrics = (
            desk,
            desk.backends,
            operations,
            peer,
            tally,
        )
        self.endpoint_list_age, self.machines_out_changed = list_age, relaid
        self.coordinator = Coordinator(peer.consensus.name)
        self.load_samples: deque[tuple[float, int, int]] = deque()
        self.unconfirmed: dict[str, dict[str, None]] = {}  # by machine, units that may go on there
        self.answer_counts: dict[str, list[int]] = {}
        self.returned_machines: dict[str, int] = {}  # machines that are back, and by which step
        self.missing_since: dict[str, int] = {}
        self.specifications: dict[str, specification.JobSpecification] = {}
        self.specifications_version = -1
        self.command_tasks: dict[tuple[str, int], asyncio.Task[None]] = {}
        self.command_processes: dict[tuple[str, int], asyncio.subprocess.Process] = {}
        self.out_of_service = False  # service, for a work on dispatchers
        self.dispatcher_zones: dict[str, str] = {}  # of dispatchers, as they told last
        self.restored_locally: set[str] = set()  # machines that are back at this dispatcher alone, by hand
        peer.maintenance_report, peer.maintenance_steps = self.build_report, self.propose_transitions

    @property
    def state(self) -> MaintenanceState:
        return self.cluster_node.consensus.documents.replicated.maintenance

    def current_specifications(self) -> dict[str, specification.JobSpecification]:
        doc = self.cluster_node.consensus.documents.document(MAINTENANCE)
        if doc.latest_number() != self.specifications_version:
            self.specifications_version = doc.latest_number()
            try:
                self.specifications = specification.parse_jobs(doc.versions[-1].text) if doc.versions else {}
            except ValueError as wrong:  # agreed by a majority of another version of the program
                self.metrics.warn("works", f"can't be read here: {wrong}")
                self.specifications = {}
        return self.specifications

    # --- what is heard from the desk ---

    def attempt_abandoned(self, uid: str, ident: str) -> None:
        """A unit was given up on, and the machine may have it still."""
        idents = self.unconfirmed.setdefault(uid, {})
        idents[ident] = None
        if len(idents) > MAX_UNCONFIRMED:
            del idents[next(iter(idents))]

    def abandoned_attempt_finished(self, ident: str, uid: str) -> None:
        self.unconfirmed.get(uid, {}).pop(ident, None)

    def attempt_finished(self, runner: int, outcome: Outcome) -> None:
        uid = self.backend_registry.backend_ids.names[runner]
        if uid in self.returned_machines:
            seen = self.answer_counts.setdefault(uid, [0, 0])
            seen[0] += outcome in SUCCESSES or outcome in FAILURES
            seen[1] += outcome in FAILURES

    # --- what changes with a step ---

    def state_changed(self) -> None:
        ledger, me = self.state, f"@{self.cluster_node.consensus.name}"
        back = {
            uid: away.last_index
            for uid, away in ledger.machines.items()
            if away.phase == MaintenancePhase.RETURNING
        }
        for uid in [uid for uid, last in self.returned_machines.items() if back.get(uid) != last]:
            self.answer_counts.pop(uid, None)
        self.returned_machines = back
        for uid in [uid for uid in self.restored_locally if uid not in ledger.out_of_rotation()]:
            self.restored_locally.discard(uid)
        if me in ledger.out_of_rotation() and not self.out_of_service:
            self.out_of_service = True
            self.admin_service.leave_service()
        elif me not in ledger.out_of_rotation() and self.out_of_service:
            self.out_of_service = False
            self.admin_service.enter_service()
        for uid in [uid for uid in self.unconfirmed if not self.unconfirmed[uid]]:
            del self.unconfirmed[uid]
        self._start_due_commands()

    def machines_out(self) -> set[str]:
        return self.state.out_of_rotation() - self.restored_locally

    # --- what it tells ---

    def build_report(self) -> MaintenanceReport | None:
        """With each question for a lease, and to itself."""
        if not self.current_specifications() and not self.state.machines:
            return None
        if self.restored_locally and self.cluster_node.has_lease():
            self.restored_locally.clear()  # the fleet is heard again, and its word counts
            self.machines_out_changed()
        self._start_due_commands()
        told, out, names = (
            MaintenanceReport(),
            self.state.out_of_rotation(),
            self.backend_registry.backend_ids.names,
        )
        for unit in self.request_handler.request_table.requests.values():
            told.open_requests += unit.is_open
            for trip in unit.attempts:
                uid = names[trip.backend]
                if trip.in_flight and uid in out:
                    told.in_flight[uid] = told.in_flight.get(uid, 0) + 1
        told.unresolved = {uid: [*self.unconfirmed[uid]][-5:] for uid in out if self.unconfirmed.get(uid)}
        told.response_counts = {uid: (seen[0], seen[1]) for uid, seen in self.answer_counts.items()}
        told.unavailable = [
            m.machine_id for m in self.machines() if not m.available and m.machine_id not in out
        ]
        if self.cluster_node.config.zone:
            told.dispatcher_zones = {self.cluster_node.consensus.name: self.cluster_node.config.zone}
        if self.out_of_service and not self.request_handler.open_request_count():
            told.idle_dispatchers = [self.cluster_node.consensus.name]
        now, counts = time.monotonic(), self.metrics.counters
        self.load_samples.append(
            (
                now,
                counts[ADMITTED_COUNTER] - counts[Disposition.SHED.counter],
                sum(counts[name] for name in SHED_COUNTERS),
            )
        )
        while now - self.load_samples[0][0] > LOAD_WINDOW:
            self.load_samples.popleft()
        told.recent_accepted = max(self.load_samples[-1][1] - self.load_samples[0][1], 0)
        told.recent_shed = self.load_samples[-1][2] - self.load_samples[0][2]
        return told

    def machines(self) -> list[Machine]:
        """As listed; what is listed no more counts as lost for a while, as nothing came in its place."""
        fleet, now, seen = self.backend_registry, boottime_ticks(), []
        for runner, entry in enumerate(fleet.endpoints):
            uid = fleet.backend_ids.names[runner]
            if entry.state == EndpointState.REMOVED:
                if now - self.missing_since.setdefault(uid, now) > MISSING_MACHINE_PERIOD:
                    continue
            else:
                self.missing_since.pop(uid, None)
            by_hand = (
                uid in fleet.manual_drains.drained_since
                or uid in fleet.cluster_drains.drained_since
                and uid not in self.state.machines
            )
            ready = entry.state == EndpointState.READY and not by_hand
            seen.append(
                Machine(
                    uid,
                    fleet.config.zones.names[entry.zone],
                    fleet.config.instance_types.names[entry.instance_type],
                    str(entry.cell),
                    entry.weight or 1.0,
                    entry.started_at,
                    ready,
                    entry.state != EndpointState.REMOVED,
                )
            )
        replaced = {
            step.machine_id for step in self.state.transitions if step.phase == MaintenancePhase.REPLACED
        }
        return [m for m in seen if m.discovered or m.machine_id not in replaced]

    # --- what it decides, if it leads ---

    def propose_transitions(self) -> list[dict[str, Any]]:
        works, ledger = self.current_specifications(), self.state
        member = self.cluster_node.consensus
        if not isinstance(member, Voter) or not works and not ledger.machines:
            return []
        now = boottime_ticks()
        if not member.is_leader() or not self.cluster_node.has_lease():
            self.coordinator.observe(now, ledger, self.machines())
            self.coordinator.wait_reasons = ()
            return []
        return [
            coordinator_document(transition)
            for transition in self.coordinator.propose(self.coordinator_view(member, now))
        ]

    def coordinator_view(self, member: Voter, now: int) -> FleetView:
        told, of_runners = member.gather_maintenance(now)
        ledger, dispatchers = self.state, self.dispatcher_machines(member, now)
        self.dispatcher_zones |= told.dispatcher_zones

        def holders(uid: str, index: int) -> str:
            if is_dispatcher_id(uid):
                name = uid[1:]
                there = name == member.name or any(m.machine_id == uid and m.available for m in dispatchers)
                return "it has units in hand" if there and name not in told.idle_dispatchers else ""
            return of_runners(uid, index)

        lives = {name: report.incarnation for name, report in member.voter_reports.items()}
        lives[member.name] = member.incarnation
        executors = {
            name: life
            for name, life in lives.items()
            if name == member.name or now < member.granted_until.get(name, 0)
        }
        age = self.endpoint_list_age()
        grades = [
            grade
            for grade in self.request_handler.request_classes.classes
            if grade.idempotency == Idempotency.IDEMPOTENT_WITH_KEY
        ]
        keep_in = {
            place
            for grade in grades
            for group, place in ((DeduplicationScope.ZONE, Area.ZONE), (DeduplicationScope.CELL, Area.CELL))
            if grade.deduplication_scope == group
        }
        stale = f"the list was not heard of for {age // TICKS_PER_SECOND} s"
        return FleetView(
            now=now,
            wall_ms=time.time_ns() // 1_000_000,
            jobs_version=member.documents.document(MAINTENANCE).latest_number(),
            jobs=dict(self.current_specifications()),
            state=ledger,
            machines=self.machines(),
            dispatchers=dispatchers,
            voter_count=len(member.raft.voters),
            stale_reason=stale if age > MAX_ENDPOINT_LIST_AGE else "",
            blocking_holders=holders,
            unresolved_requests=told.unresolved,
            answers=told.response_counts,
            unavailable=told.unavailable,
            requests_in_flight=told.open_requests,
            admitted_count=told.recent_accepted,
            shed_count=told.recent_shed,
            executors=executors,
            incarnations=lives,
            warm_up_ticks=self.request_handler.config.slow_start_duration,
            deduplication_scopes=sorted(keep_in),
        )

    def dispatcher_machines(self, member: Voter, now: int) -> list[Machine]:
        """Members as machines: `since` is the life of the process, by which a new one is known."""
        wards = [(member.name, member.incarnation, member.last_applied, True)]
        wards += [
            (name, ward.incarnation, ward.have, member.lease_holder_state(now, ward) == ALIVE)
            for name, ward in member.lease_holders.items()
        ]
        wards += [
            (one.name, one.incarnation, one.last_applied, one.state == ALIVE)
            for held in member.remote_lease_holders.values()
            for one in held
        ]
        seen: dict[str, Machine] = {}
        for name, life, have, there in wards:
            caught_up = there and have >= member.last_applied - 50
            before = seen.get(f"@{name}")
            if before is None or caught_up and not before.available:
                kind = "voter" if name in member.raft.voters else "follower"
                zone = self.dispatcher_zones.get(name, "")
                seen[f"@{name}"] = Machine(f"@{name}", zone, kind, "", 1.0, life, caught_up)
        for name in member.raft.voters:
            zone = self.dispatcher_zones.get(name, "")
            seen.setdefault(f"@{name}", Machine(f"@{name}", zone, "voter", "", 1.0, 0, False))
        return list(seen.values())

    # --- commands ---

    def _start_due_commands(self) -> None:
        """Those that are agreed to run here, in this life, while what is agreed is known to be so."""
        member = self.cluster_node.consensus
        for uid, away in self.state.machines.items():
            if (
                away.phase != MaintenancePhase.IN_WORK
                or away.executor != member.name
                or away.executor_incarnation != member.incarnation
                or (uid, away.drain_number) in self.command_tasks
                or not self.cluster_node.has_lease()
            ):
                continue
            given = self.current_specifications().get(away.job)
            if given and given.command:
                self.command_tasks[uid, away.drain_number] = asyncio.get_running_loop().create_task(
                    self._run_command(uid, away.job, away.drain_number, away.executor_incarnation, given)
                )

    async def _run_command(
        self, uid: str, work: str, number: int, life: int, given: specification.JobSpecification
    ) -> None:
        runner = self.backend_registry.backend_ids.find(uid)
        at = self.backend_registry.addresses[runner] if runner >= 0 else ("", 0, 0)
        told = {
            "CRANKFOLD_MACHINE": uid.removeprefix("@"),
            "CRANKFOLD_WORK": work,
            "CRANKFOLD_NUMBER": str(number),
            "CRANKFOLD_ADDRESS": f"{at[0]}:{at[1]}" if at[0] else "",
        }
        log_line(f"crankfold: works: {work}: the command of {uid} begins under {number}")
        step, why = MaintenancePhase.WORK_FAILED, ""
        try:
            process = await asyncio.create_subprocess_exec(
                *given.command,
                env={**os.environ, **told},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=asyncio.subprocess.PIPE,
                start_new_session=True,
            )
            self.command_processes[uid, number] = process
            try:
                async with asyncio.timeout(given.work_seconds):
                    _, said = await process.communicate()
                if process.returncode == 0:
                    step = MaintenancePhase.WORK_DONE
                why = f"exit {process.returncode}" + (
                    f": {said.decode(errors='replace').strip()[-200:]}" if process.returncode and said else ""
                )
            except TimeoutError:
                self._kill_process_group(process)
                why = f"was ended after {given.work_seconds:g} s"
        except OSError as wrong:
            why = f"could not be run: {wrong}"
        finally:
            self.command_processes.pop((uid, number), None)
        log_line(f"crankfold: works: {work}: the command of {uid} under {number}: {step}, {why}")
        taken = outcome_document(
            Transition(
                machine_id=uid,
                job=work,
                phase=step,
                drain_number=number,
                by=self.cluster_node.consensus.name,
                reason=why,
                at_ms=time.time_ns() // 1_000_000,
            )
        )
        while True:  # until it is known to be agreed, or to be over
            made = await self.cluster_node.propose(
                "step", {"steps": [taken]}, f"{uid} {number} {life}", PUBLISH_TIMEOUT
            )
            if made.accepted or made.log_index:
                return

    @staticmethod
    def _kill_process_group(process: asyncio.subprocess.Process) -> None:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(process.pid, signal.SIGKILL)

    def close(self) -> None:
        """A command does not outlive the dispatcher that would tell what became of it."""
        for process in self.command_processes.values():
            self._kill_process_group(process)
        for task in self.command_tasks.values():
            task.cancel()

    # --- operators ---

    def describe(self) -> dict[str, Any]:
        ledger, member = self.state, self.cluster_node.consensus
        leads = isinstance(member, Voter) and member.is_leader()
        listed = [*self.machines()]
        if isinstance(member, Voter):
            listed += self.dispatcher_machines(member, boottime_ticks())
        works = {}
        for name, given in self.current_specifications().items():
            done = ledger.completed.get(name, {})
            work = given.to_job(name)
            wanted = [
                m.machine_id
                for m in listed
                if is_dispatcher_id(m.machine_id) == (given.target == specification.Target.DISPATCHERS)
                and work.covers(m)
            ]
            over = all(uid in done for uid in wanted) and not any(
                m.job == name for m in ledger.machines.values()
            )
            works[name] = {
                "why": given.reason,
                "state": "stopped by itself"
                if name in ledger.halted_jobs
                else "done"
                if wanted and over
                else given.state,
                "halted": ledger.halted_jobs.get(name, ""),
                "wanted": len(wanted),
                "done": done,
                "left": [uid for uid in wanted if uid not in done and uid not in ledger.machines],
            }
        waits = [
            {"machine": wait.machine_id, "work": wait.job, "why": wait.text}
            for wait in self.coordinator.wait_reasons
        ]
        machines = {uid: away.to_document() for uid, away in ledger.machines.items()}
        return {
            "works": works,
            "machines": machines,
            "steps": [step.to_document() for step in ledger.transitions],
            "waits": waits,
            "leads": leads,
            "leader": member.raft.leader if isinstance(member, Voter) else "",
            "here": sorted(self.restored_locally),
        }

    def forecast(self, body: bytes) -> dict[str, Any]:
        """What would come about if this work were handed in now. Changes nothing."""
        asked = msgspec.json.decode(body, type=ForecastRequest)
        doc = self.cluster_node.consensus.documents.document(MAINTENANCE)
        before = doc.versions[-1].text if doc.versions else {}
        text = {"works": {**before.get("works", {}), asked.name: asked.work}}
        wrong = specification.validation_error(text, before, self.machines())
        if wrong:
            return {"well": False, "text": wrong}
        works, ledger = specification.parse_jobs(text), self.state
        machines: Sequence[Machine] = self.machines()
        if works[asked.name].target == specification.Target.DISPATCHERS:
            member = self.cluster_node.consensus
            if not isinstance(member, Voter):
                return {"well": False, "text": "ask at the door of a voter"}
            machines = self.dispatcher_machines(member, boottime_ticks())
        told = forecast_job(
            asked.name,
            ForecastInputs(
                jobs={
                    name: given for name, given in works.items() if given.target == works[asked.name].target
                },
                machines=machines,
                out_for={uid: away.job for uid, away in ledger.machines.items()},
                completed=ledger.completed_pairs(),
                now_ms=time.time_ns() // 1_000_000,
                drain_seconds=self.cluster_node.consensus.documents.max_request_duration() / TICKS_PER_SECOND,
                warm_up_seconds=self.request_handler.config.slow_start_duration / TICKS_PER_SECOND,
            ),
        )
        return {
            "well": True,
            "turns": [
                {
                    "begin": turn.begin_seconds,
                    "end": turn.end_seconds,
                    "machine": turn.machine_id,
                    "zone": turn.zone,
                    "why": turn.waited_for,
                }
                for turn in told.departures
            ],
            "waits": told.wait_reasons,
        }

    async def request_transition(self, body: bytes) -> tuple[bool, str, bool]:
        """A step by an operator's call: whether it is agreed, what was told, whether there is an outcome."""
        asked = msgspec.json.decode(body, type=TransitionRequest)
        if asked.step == "here":
            return self._restore_locally(asked.machine)
        away = self.state.machines.get(asked.machine)
        step = OPERATOR_TRANSITIONS.get(asked.step)
        if step is None:
            return False, f"step: found {asked.step!r}; {', '.join(OPERATOR_TRANSITIONS)}", True
        if away is None:
            return False, f"{asked.machine} is not out for any work, as far as is known here", True
        given = self.current_specifications().get(away.job)
        if (
            step in (MaintenancePhase.IN_WORK, MaintenancePhase.WORK_DONE)
            and away.phase in (MaintenancePhase.DRAINED, MaintenancePhase.IN_WORK)
            and not away.unhealthy
            and given
            and given.method == specification.WorkMethod.COMMAND
        ):
            return False, f"{asked.machine} is for {away.job}'s command", True
        if step == MaintenancePhase.RETURNING and away.phase not in (
            MaintenancePhase.DRAINING,
            MaintenancePhase.DRAINED,
            MaintenancePhase.WORK_FAILED,
            MaintenancePhase.UNHEALTHY,
        ):
            return False, f"{asked.machine} is in state {away.phase}", True
        taken = operator_document(
            Transition(
                machine_id=asked.machine,
                job=away.job,
                phase=step,
                by=asked.author or "an operator",
                incarnation=0,
                reason=asked.why,
                at_ms=time.time_ns() // 1_000_000,
                drain_number=asked.number or None,
            )
        )
        made = await self.cluster_node.propose("step", {"steps": [taken]}, asked.call, PUBLISH_TIMEOUT)
        return made.accepted, made.reason, made.accepted or made.log_index > 0

    def _restore_locally(self, uid: str) -> tuple[bool, str, bool]:
        """At this dispatcher alone, while it is cut off: nobody can say then that nothing is done there."""
        if uid not in self.state.out_of_rotation():
            return False, f"{uid} is not out for any work, as far as is known here", True
        if self.cluster_node.has_lease():
            return False, "the fleet is heard here; hand it in as a step of all: back", True
        self.restored_locally.add(uid)
        self.metrics.increment("machines-back-here-by-hand")
        log_line(f"crankfold: works: {uid} back here by hand, while cut off; it may be in work")
        self.machines_out_changed()
        return True, "", True
