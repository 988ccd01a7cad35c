"""What is to happen next with machines that are out for work, as whoever leads decides it.

It is told the time and all that is known, and proposes steps; a step is acted on once it is agreed. What it
remembers itself is only since when it has known of each step, so that any voter can go on where another was.
"""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from msgspec import structs

from crankfold.maintenance.scheduler import Machine, MaintenanceJob, outside_time_window, schedule
from crankfold.maintenance.specification import BY_COMMAND, BY_HAND, BY_LIST, GO, STOPPED, JobSpecification
from crankfold.maintenance.state import (
    BACK,
    ENDED,
    FAILED,
    FREE,
    GONE,
    OUT,
    UNDONE,
    UNWELL,
    WELL,
    WORK,
    MaintenanceState,
    is_dispatcher_id,
)
from crankfold.maintenance.state import MachineInMaintenance as Away

TICKS_PER_SECOND = 10_000
REPROPOSE_AFTER = TICKS_PER_SECOND  # before a step is proposed again: the first proposal may be lost
COMMAND_OUTCOME_MARGIN = (
    5 * TICKS_PER_SECOND
)  # beyond the time that a command has, for its outcome to be told
MIN_REQUESTS_FOR_SHED_SHARE = 20  # units, for a share that was shed to mean something
SHED_COOLDOWN = 5 * TICKS_PER_SECOND  # without too much shedding before machines go out again
UNOBSERVED_WATCH_FACTOR = 4  # times the watch, for a machine of which no answer was seen
MAX_REQUESTS_NAMED = 5

Transitions = list[dict[str, Any]]


@dataclass(slots=True)
class FleetView:
    """All that whoever leads knows at a moment. Times are tenths of a millisecond of its own clock."""

    now: int
    wall_ms: int  # ms since the epoch; told and compared with works' own times only
    jobs_version: int  # the newest version of the works
    jobs: dict[str, JobSpecification]
    state: MaintenanceState
    machines: Sequence[Machine]  # as listed; what was listed until lately and is gone is not up
    dispatchers: Sequence[Machine] = ()
    voter_count: int = 0
    stale_reason: str = ""  # why the list can't be relied on
    # Who may still send to a machine that is out since an index of the history, or holds something there.
    blocking_holders: Callable[[str, int], str] = lambda uid, index: ""
    unresolved_requests: dict[str, list[str]] = field(
        default_factory=dict
    )  # units that may go on there, nobody knows
    answers: dict[str, tuple[int, int]] = field(default_factory=dict)  # of a machine that is back: all, bad
    unavailable: Collection[str] = ()  # machines that somebody's list does not call ready
    requests_in_flight: int = 0  # of the fleet
    admitted_count: int = 0  # lately
    shed_count: int = 0
    executors: dict[str, int] = field(default_factory=dict)  # voters that are heard, and in which life
    incarnations: dict[str, int] = field(default_factory=dict)  # of all, as heard last
    warm_up_ticks: int = 0
    deduplication_scopes: Collection[
        str
    ] = ()  # "zone", "cell": where repeats of tagged units need another machine


class Coordinator:
    def __init__(self, me: str) -> None:
        self.member_name = me
        self.known_since: dict[
            tuple[str, int], int
        ] = {}  # by machine and its last step: since when it is known
        self.ready_since: dict[
            str, tuple[int, int]
        ] = {}  # by machine, the start that is listed, and since when
        self.first_observed_at = -1  # when it was told of anything first
        self.listed_since: dict[str, int] = {}  # by machine, since when any list had it
        self.out_since: dict[tuple[str, int], int] = {}  # by machine and the step by which it is out
        self.proposed_at: dict[tuple[str, int, str], int] = {}
        self.last_departures: tuple[int, int, int] = -1, -1, 0  # what outs were proposed for last, and when
        self.cooldown_until = 0
        self.wait_reasons: dict[tuple[str, str], str] = {}  # by machine and work, or "" and work

    def observe(self, now: int, ledger: MaintenanceState, machines: Sequence[Machine]) -> None:
        """At every voter, whether it leads or not."""
        self.first_observed_at = now if self.first_observed_at < 0 else self.first_observed_at
        for machine in machines:
            self.listed_since.setdefault(machine.machine_id, now)
        self.out_since = {
            (uid, away.out): self.out_since.get((uid, away.out), now) for uid, away in ledger.machines.items()
        }
        steps = {(uid, away.last) for uid, away in ledger.machines.items()}
        self.known_since = {step: self.known_since.get(step, now) for step in steps}
        self.ready_since = {uid: seen for uid, seen in self.ready_since.items() if uid in ledger.machines}

    def propose(self, view: FleetView) -> Transitions:
        """The steps to propose; none of them may be acted on before it is agreed."""
        self.observe(view.now, view.state, view.machines)
        self.wait_reasons = {}
        view.jobs = {
            name: structs.replace(given, state=STOPPED) if name in view.state.halted_jobs else given
            for name, given in view.jobs.items()
        }
        self._track_shedding(view)
        steps: Transitions = []
        stuck: dict[str, str] = {}
        listed = {m.machine_id: m for m in (*view.machines, *view.dispatchers)}
        for uid, away in sorted(view.state.machines.items()):
            step = self._next_transition(view, uid, away, listed.get(uid), stuck)
            if step:
                steps.append(
                    {
                        "uid": uid,
                        "work": away.work,
                        "last": away.last,
                        "by": self.member_name,
                        "why": "",
                        **step,
                    }
                )
        steps += self._propose_halts(view, stuck)
        steps = [step for step in steps if self._is_new_proposal(view.now, step)]
        steps += self._propose_departures(view, stuck)
        for step in steps:
            step["at"] = view.wall_ms
        return steps

    def _is_new_proposal(self, now: int, step: dict[str, Any]) -> bool:
        """Not proposed a moment ago: that is on its way to the disks of the others."""
        key = step["uid"] or step["work"], step.get("last", 0), step["step"]
        before = self.proposed_at.get(key)
        if before is not None and now - before < REPROPOSE_AFTER:
            return False
        self.proposed_at = {known: at for known, at in self.proposed_at.items() if now - at < REPROPOSE_AFTER}
        self.proposed_at[key] = now
        return True

    # --- one machine ---

    def _next_transition(
        self, view: FleetView, uid: str, away: Away, listed: Machine | None, stuck: dict[str, str]
    ) -> dict[str, Any] | None:
        given = view.jobs.get(away.work)
        stopping = "its work is over" if given is None or given.state == STOPPED else ""
        known_for = view.now - self.known_since[uid, away.last]
        self._track_ready(view.now, uid, listed, uid in view.unavailable)
        if away.state in (OUT, FREE):
            brought = stopping or self._excess_shedding(view)
            unbegun = away.state == OUT or not away.unwell and (given is None or given.way != BY_LIST)
            if brought and unbegun:
                return {"step": BACK, "why": brought}
        if away.state == OUT:
            why = view.blocking_holders(uid, away.out)
            if not why:
                left = ", ".join(view.unresolved_requests.get(uid, [])[:MAX_REQUESTS_NAMED])
                return {"step": FREE, "why": f"may go on there: {left}" if left else ""}
            return self._wait(uid, away, why)
        if away.state in (FREE, WORK, FAILED) and (listed is None or not listed.listed):
            successor = self._find_replacement(view, uid, away)
            if successor:
                return {"step": GONE, "why": f"{successor} came in its place"}
        if away.state == FREE and given:
            return self._start_work(view, uid, away, given, listed, known_for, stuck)
        if away.state == WORK and given:
            return self._supervise_work(view, uid, away, given, listed, known_for, stuck)
        if away.state == ENDED:
            return self._share_absence(view, uid, away, listed) or {"step": BACK, "why": away.why}
        if away.state == BACK:
            return self._verify_return(view, uid, away, given, listed, known_for, stuck)
        if away.state == FAILED:
            self._mark_overdue(uid, away, given, f"failed: {away.why}", stuck)
        if away.state == UNWELL:
            why = view.blocking_holders(uid, away.out)
            return self._wait(uid, away, why) if why else {"step": FREE, "why": f"unwell: {away.why}"}
        return None

    def _track_ready(self, now: int, uid: str, listed: Machine | None, lost: bool) -> None:
        if listed is None or not listed.available or lost:
            self.ready_since.pop(uid, None)
        elif self.ready_since.get(uid, (-1, 0))[0] != listed.started_at:
            self.ready_since[uid] = listed.started_at, now

    def _wait(self, uid: str, away: Away, why: str) -> dict[str, Any] | None:
        self.wait_reasons[uid, away.work] = why
        return None

    def _start_work(
        self,
        view: FleetView,
        uid: str,
        away: Away,
        given: JobSpecification,
        listed: Machine | None,
        known_for: int,
        stuck: dict[str, str],
    ) -> dict[str, Any] | None:
        if away.unwell:
            return self._wait(uid, away, f"unwell, free under {away.number}: waits for an operator's call")
        if given.way == BY_COMMAND:
            executor = self._choose_executor(view, uid)
            if not executor:
                return self._wait(uid, away, "nobody there to run its command")
            return {"step": WORK, "by": executor, "life": view.executors[executor]}
        if given.way == BY_LIST and listed and listed.started_at > away.start:
            return {"step": ENDED, "why": "a new start on the list"}
        if known_for > given.takes * TICKS_PER_SECOND:
            self._mark_overdue(uid, away, given, f"free for over {given.takes:g} s", stuck)
        return self._wait(
            uid,
            away,
            f"free under {away.number}, by {away.by or 'hand'}: waits for "
            + ("a new start on the list" if given.way == BY_LIST else "an operator's call"),
        )

    def _choose_executor(self, view: FleetView, uid: str) -> str:
        there = [
            name for name in view.executors if f"@{name}" not in view.state.machines and f"@{name}" != uid
        ]
        return self.member_name if self.member_name in there else min(there, default="")

    def _supervise_work(
        self,
        view: FleetView,
        uid: str,
        away: Away,
        given: JobSpecification,
        listed: Machine | None,
        known_for: int,
        stuck: dict[str, str],
    ) -> dict[str, Any] | None:
        if given.way != BY_COMMAND:
            if known_for > given.takes * TICKS_PER_SECOND:
                self._mark_overdue(uid, away, given, f"in work for over {given.takes:g} s", stuck)
            return self._wait(uid, away, f"in work under {away.number}: waits for an operator's call")
        life = view.incarnations.get(away.by, away.life)
        lost = (
            f"{away.by} died over its command"
            if life != away.life
            else (
                f"nothing heard of its command from {away.by}"
                if known_for > given.takes * TICKS_PER_SECOND + COMMAND_OUTCOME_MARGIN
                else ""
            )
        )
        if not lost:
            return self._wait(uid, away, f"its command runs at {away.by}")
        if given.again and life != away.life:
            return {"step": FREE, "why": f"{lost}; it may be run again"}
        return {"step": FAILED, "why": f"{lost}; nobody knows whether it has run"}

    def _mark_overdue(
        self, uid: str, away: Away, given: JobSpecification | None, why: str, stuck: dict[str, str]
    ) -> None:
        """It does not come back: what its work wants then."""
        self.wait_reasons[uid, away.work] = why
        if given and given.not_back != "go-on":
            stuck.setdefault(away.work, f"{uid}: {why}")

    def _find_replacement(self, view: FleetView, uid: str, away: Away) -> str:
        """One that came up in the place of a machine that is listed no longer, and of no other's."""
        out_since = self.out_since[uid, away.out]
        if out_since == self.first_observed_at:
            return ""  # who was listed before it went out is not known here: an operator has to say
        took = {step.why.partition(" ")[0] for step in view.state.transitions if step.step == GONE}
        return next(
            (
                m.machine_id
                for m in sorted(view.machines, key=lambda m: m.machine_id)
                if m.available
                and self.listed_since[m.machine_id] > out_since
                and m.machine_id not in took
                and m.machine_id not in view.state.machines
            ),
            "",
        )

    def _share_absence(
        self, view: FleetView, uid: str, away: Away, listed: Machine | None
    ) -> dict[str, Any] | None:
        """Another work that wants the same machine takes it while it is out anyway, if both allow that."""
        own = view.jobs.get(away.work)
        if not own or not own.shares or not listed:
            return None
        for name, given in sorted(view.jobs.items()):
            work = given.to_job(name)
            if (
                name in (away.work, *away.also)
                or not given.shares
                or given.state != GO
                or given.of != own.of
                or not work.covers(listed)
                or uid in view.state.completed.get(name, ())
                or outside_time_window(self._ignoring_start_time(view, work), self._wall_time(view))
                or given.after
                or work.exclusive_with & set(view.jobs)
                or name in (own.alone or ())
            ):
                continue
            return {"step": FREE, "work": name, "why": f"out already for {away.work}"}
        return None

    def _verify_return(
        self,
        view: FleetView,
        uid: str,
        away: Away,
        given: JobSpecification | None,
        listed: Machine | None,
        known_for: int,
        stuck: dict[str, str],
    ) -> dict[str, Any] | None:
        if not away.worked:
            return {"step": UNDONE, "why": away.why}
        given = given or JobSpecification()
        if listed is None or not listed.available or uid in view.unavailable:
            if known_for > given.takes * TICKS_PER_SECOND:
                self._mark_overdue(uid, away, given, f"not back after {given.takes:g} s", stuck)
            return self._wait(uid, away, "not listed as ready yet")
        if is_dispatcher_id(uid):
            return self._verify_dispatcher_return(view, uid, away, given, listed)
        watch = max(int(given.watch * TICKS_PER_SECOND), view.warm_up_ticks)
        answers, bad = view.answers.get(uid, (0, 0))
        if answers >= max(given.least_answers, 1) and answers - bad < given.well * answers:
            return {"step": UNWELL, "why": f"{bad} of {answers} answers were bad"}
        # Lost and started anew while it is watched, it is cold again.
        known_for = min(known_for, view.now - self.ready_since[uid][1])
        if known_for < watch:
            return self._wait(uid, away, f"watched and warming for {watch / TICKS_PER_SECOND:g} s")
        if answers < given.least_answers and known_for < UNOBSERVED_WATCH_FACTOR * watch:
            return self._wait(uid, away, f"{answers} of {given.least_answers} answers seen")
        return {
            "step": WELL,
            "why": f"{answers - bad} of {answers} answers were good"
            if answers
            else "no answer of it was seen",
        }

    def _verify_dispatcher_return(
        self, view: FleetView, uid: str, away: Away, given: JobSpecification, listed: Machine
    ) -> dict[str, Any] | None:
        if given.way != BY_HAND and listed.started_at == away.start:
            return self._wait(uid, away, "still the process that it was")
        if view.now - self.known_since[uid, away.last] < given.watch * TICKS_PER_SECOND:
            return self._wait(uid, away, f"watched for {given.watch:g} s")
        return {"step": WELL, "why": "back and caught up"}

    # --- all of them ---

    def _propose_halts(self, view: FleetView, stuck: dict[str, str]) -> Transitions:
        halts: Transitions = []
        for name, given in view.jobs.items():
            if name in view.state.halted_jobs:
                continue
            why = (
                f"{view.state.unhealthy_streaks.get(name, 0)} unwell in a row"
                if view.state.unhealthy_streaks.get(name, 0) >= given.most_unwell
                else ""
            )
            if name in stuck and given.not_back == "give-up":
                why = why or stuck[name]
            if why:
                halts.append({"uid": "", "work": name, "step": "halt", "by": self.member_name, "why": why})
        return halts

    def _track_shedding(self, view: FleetView) -> None:
        if self._excess_shedding(view):
            self.cooldown_until = view.now + SHED_COOLDOWN

    def _excess_shedding(self, view: FleetView) -> str:
        asked = view.admitted_count + view.shed_count
        going = [
            given.shed_over
            for name, given in view.jobs.items()
            if given.state == GO or any(away.work == name for away in view.state.machines.values())
        ]
        if asked >= MIN_REQUESTS_FOR_SHED_SHARE and view.shed_count > min(going, default=1.0) * asked:
            return f"{view.shed_count} of {asked} units were shed of late"
        return ""

    def _wall_time(self, view: FleetView) -> int:
        """Never back: a clock that is set back must not undo that a time has come."""
        return max(view.wall_ms, view.state.latest_wall_ms)

    def _ignoring_start_time(self, view: FleetView, work: MaintenanceJob) -> MaintenanceJob:
        return replace(work, not_before=0) if work.name in view.state.begun_jobs else work

    def _propose_departures(self, view: FleetView, stuck: dict[str, str]) -> Transitions:
        going = {name: given for name, given in view.jobs.items() if given.state == GO}
        for name in [*going]:
            why = (
                stuck.get(name)
                or view.stale_reason
                or self._excess_shedding(view)
                or ("calm for a while first, after units were shed" if view.now < self.cooldown_until else "")
            )
            if why:
                self.wait_reasons["", name] = why
                del going[name]
        steps: Transitions = []
        for of, machines in (("runners", view.machines), ("dispatchers", view.dispatchers)):
            works = [
                self._ignoring_start_time(view, given.to_job(name))
                for name, given in going.items()
                if given.of == of
            ]
            halted = [
                given.to_job(name)
                for name, given in view.jobs.items()
                if given.of == of and name not in going
            ]
            if works:
                steps += self._departures_of(view, works, halted, machines, of)
        if not steps:
            return steps
        changes, plan, at = self.last_departures
        if (changes, plan) == (
            view.state.change_count,
            view.jobs_version,
        ) and view.now - at < REPROPOSE_AFTER:
            return []
        self.last_departures = view.state.change_count, view.jobs_version, view.now
        return steps

    def _departures_of(
        self,
        view: FleetView,
        works: list[MaintenanceJob],
        halted: list[MaintenanceJob],
        machines: Sequence[Machine],
        of: str,
    ) -> Transitions:
        away = view.state.machines
        # One that is out may be listed no longer: it counts all the same.
        there = {m.machine_id for m in machines}
        machines = [
            *machines,
            *(
                Machine(uid, *gone.place, started_at=gone.start, available=False, listed=False)
                for uid, gone in sorted(away.items())
                if uid not in there and is_dispatcher_id(uid) == (of == "dispatchers")
            ),
        ]
        seen = [
            replace(
                m, available=m.available and m.machine_id not in view.unavailable and m.machine_id not in away
            )
            for m in machines
        ]
        if of == "dispatchers":
            works = [replace(work, last_machine_id=f"@{self.member_name}") for work in works]
        held = self._reserve_check(view, seen, of)
        out = [(uid, m.work) for uid, m in away.items() if is_dispatcher_id(uid) == (of == "dispatchers")]
        told = schedule(works, seen, out, view.state.completed_pairs(), self._wall_time(view), held, halted)
        for (uid, name), why in told.wait_reasons.items():
            if uid not in away:
                self.wait_reasons[uid, name] = why
        known_as = {m.machine_id: m for m in machines}
        known = {
            "step": OUT,
            "by": self.member_name,
            "made_from": view.state.change_count,
            "plan": view.jobs_version,
            "why": "",
        }
        return [
            {
                **known,
                "uid": uid,
                "work": name,
                "start": m.started_at,
                "place": (m.zone, m.instance_type, m.cell, m.size),
            }
            for uid, name in told.departures
            for m in [known_as[uid]]
        ]

    def _reserve_check(
        self, view: FleetView, machines: Sequence[Machine], of: str
    ) -> Callable[[Machine, Collection[str]], str]:
        carries = max((given.carries for given in view.jobs.values()), default=0.0)
        dispatchers = of == "dispatchers"

        def up(gone: Collection[str]) -> list[Machine]:
            return [m for m in machines if m.available and m.machine_id not in gone]

        def held(machine: Machine, gone: Collection[str]) -> str:
            stay = [m for m in up(gone) if m.machine_id != machine.machine_id]
            if dispatchers:
                voting = sum(m.instance_type == "voter" for m in stay)
                if machine.instance_type == "voter" and 2 * voting <= view.voter_count:
                    return f"{voting} of {view.voter_count} voters would stay"
            elif carries:
                bears = int(sum(m.size for m in stay) * carries)
                if bears < view.requests_in_flight:
                    return f"{view.requests_in_flight} units in hand, what would stay carries {bears}"
            for what in ("zone",) if dispatchers else view.deduplication_scopes:
                where = getattr(machine, what)
                others = [
                    m for m in machines if getattr(m, what) == where and m.machine_id != machine.machine_id
                ]
                if others and not any(getattr(m, what) == where for m in stay):
                    return f"the last that is up in its {what}"
            return ""

        return held
