"""What is to happen next with machines that are out for work, as whoever leads decides it.

It is told the time and all that is known, and proposes steps; a step is acted on once it is agreed. What it
remembers itself is only since when it has known of each step, so that any voter can go on where another was.
"""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from msgspec import structs

from crankfold.works.form import BY_COMMAND, BY_HAND, BY_LIST, GO, STOPPED, Given
from crankfold.works.ledger import (
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
    Ledger,
    is_dispatcher,
)
from crankfold.works.ledger import Machine as Away
from crankfold.works.order import Machine, Work, order, timely

SECOND = 10_000
PROPOSED_FOR = SECOND  # before a step is proposed again: the first proposal may be lost
MARGIN = 5 * SECOND  # beyond the time that a command has, for its outcome to be told
LEAST_COUNTED = 20  # units, for a share that was shed to mean something
CALM_FOR = 5 * SECOND  # without too much shedding before machines go out again
UNSEEN = 4  # times the watch, for a machine of which no answer was seen
MOST_TOLD = 5

Steps = list[dict[str, Any]]


@dataclass(slots=True)
class View:
    """All that whoever leads knows at a moment. Times are tenths of a millisecond of its own clock."""

    now: int
    wall: int  # ms since the epoch; told and compared with works' own times only
    plan: int  # the newest version of the works
    works: dict[str, Given]
    ledger: Ledger
    machines: Sequence[Machine]  # as listed; what was listed until lately and is gone is not up
    dispatchers: Sequence[Machine] = ()
    voters: int = 0
    stale: str = ""  # why the list can't be relied on
    # Who may still send to a machine that is out since an index of the history, or holds something there.
    holders: Callable[[str, int], str] = lambda uid, index: ""
    unsure: dict[str, list[str]] = field(default_factory=dict)  # units that may go on there, nobody knows
    answers: dict[str, tuple[int, int]] = field(default_factory=dict)  # of a machine that is back: all, bad
    lost: Collection[str] = ()  # machines that somebody's list does not call ready
    in_hand: int = 0  # of the fleet
    taken: int = 0  # lately
    shed: int = 0
    executors: dict[str, int] = field(default_factory=dict)  # voters that are heard, and in which life
    lives: dict[str, int] = field(default_factory=dict)  # of all, as heard last
    warm_after: int = 0
    keep_in: Collection[str] = ()  # "zone", "cell": where repeats of tagged units need another machine


class Foreman:
    def __init__(self, me: str) -> None:
        self.me = me
        self.known: dict[tuple[str, int], int] = {}  # by machine and its last step: since when it is known
        self.ready: dict[str, tuple[int, int]] = {}  # by machine, the start that is listed, and since when
        self.born = -1  # when it was told of anything first
        self.listed_since: dict[str, int] = {}  # by machine, since when any list had it
        self.out_since: dict[tuple[str, int], int] = {}  # by machine and the step by which it is out
        self.proposed: dict[tuple[str, int, str], int] = {}
        self.went: tuple[int, int, int] = -1, -1, 0  # what outs were proposed for last, and when
        self.calm_at = 0
        self.waits: dict[tuple[str, str], str] = {}  # by machine and work, or "" and work

    def notice(self, now: int, ledger: Ledger, machines: Sequence[Machine]) -> None:
        """At every voter, whether it leads or not."""
        self.born = now if self.born < 0 else self.born
        for machine in machines:
            self.listed_since.setdefault(machine.uid, now)
        self.out_since = {(uid, away.out): self.out_since.get((uid, away.out), now)
                          for uid, away in ledger.machines.items()}
        steps = {(uid, away.last) for uid, away in ledger.machines.items()}
        self.known = {step: self.known.get(step, now) for step in steps}
        self.ready = {uid: seen for uid, seen in self.ready.items() if uid in ledger.machines}

    def look(self, view: View) -> Steps:
        """The steps to propose; none of them may be acted on before it is agreed."""
        self.notice(view.now, view.ledger, view.machines)
        self.waits = {}
        view.works = {name: structs.replace(given, state=STOPPED) if name in view.ledger.halted else given
                      for name, given in view.works.items()}
        self._see_load(view)
        steps: Steps = []
        stuck: dict[str, str] = {}
        listed = {m.uid: m for m in (*view.machines, *view.dispatchers)}
        for uid, away in sorted(view.ledger.machines.items()):
            step = self._next(view, uid, away, listed.get(uid), stuck)
            if step:
                steps.append({"uid": uid, "work": away.work, "last": away.last, "by": self.me, "why": "",
                              **step})
        steps += self._halts(view, stuck)
        steps = [step for step in steps if self._new(view.now, step)]
        steps += self._outs(view, stuck)
        for step in steps:
            step["at"] = view.wall
        return steps

    def _new(self, now: int, step: dict[str, Any]) -> bool:
        """Not proposed a moment ago: that is on its way to the disks of the others."""
        key = step["uid"] or step["work"], step.get("last", 0), step["step"]
        before = self.proposed.get(key)
        if before is not None and now - before < PROPOSED_FOR:
            return False
        self.proposed = {known: at for known, at in self.proposed.items() if now - at < PROPOSED_FOR}
        self.proposed[key] = now
        return True

    # --- one machine ---

    def _next(self, view: View, uid: str, away: Away, listed: Machine | None,
              stuck: dict[str, str]) -> dict[str, Any] | None:
        given = view.works.get(away.work)
        stopping = "its work is over" if given is None or given.state == STOPPED else ""
        known_for = view.now - self.known[uid, away.last]
        self._see_ready(view.now, uid, listed, uid in view.lost)
        if away.state in (OUT, FREE):
            brought = stopping or self._too_much(view)
            unbegun = away.state == OUT or not away.unwell and (given is None or given.way != BY_LIST)
            if brought and unbegun:
                return {"step": BACK, "why": brought}
        if away.state == OUT:
            why = view.holders(uid, away.out)
            if not why:
                left = ", ".join(view.unsure.get(uid, [])[:MOST_TOLD])
                return {"step": FREE, "why": f"may go on there: {left}" if left else ""}
            return self._wait(uid, away, why)
        if away.state in (FREE, WORK, FAILED) and (listed is None or not listed.listed):
            successor = self._successor(view, uid, away)
            if successor:
                return {"step": GONE, "why": f"{successor} came in its place"}
        if away.state == FREE and given:
            return self._begins(view, uid, away, given, listed, known_for, stuck)
        if away.state == WORK and given:
            return self._works(view, uid, away, given, listed, known_for, stuck)
        if away.state == ENDED:
            return self._shared(view, uid, away, listed) or {"step": BACK, "why": away.why}
        if away.state == BACK:
            return self._comes_back(view, uid, away, given, listed, known_for, stuck)
        if away.state == FAILED:
            self._late(uid, away, given, f"failed: {away.why}", stuck)
        if away.state == UNWELL:
            why = view.holders(uid, away.out)
            return self._wait(uid, away, why) if why else {"step": FREE, "why": f"unwell: {away.why}"}
        return None

    def _see_ready(self, now: int, uid: str, listed: Machine | None, lost: bool) -> None:
        if listed is None or not listed.up or lost:
            self.ready.pop(uid, None)
        elif self.ready.get(uid, (-1, 0))[0] != listed.since:
            self.ready[uid] = listed.since, now

    def _wait(self, uid: str, away: Away, why: str) -> dict[str, Any] | None:
        self.waits[uid, away.work] = why
        return None

    def _begins(self, view: View, uid: str, away: Away, given: Given, listed: Machine | None, known_for: int,
                stuck: dict[str, str]) -> dict[str, Any] | None:
        if away.unwell:
            return self._wait(uid, away, f"unwell, free under {away.number}: waits for an operator's call")
        if given.way == BY_COMMAND:
            executor = self._executor(view, uid)
            if not executor:
                return self._wait(uid, away, "nobody there to run its command")
            return {"step": WORK, "by": executor, "life": view.executors[executor]}
        if given.way == BY_LIST and listed and listed.since > away.start:
            return {"step": ENDED, "why": "a new start on the list"}
        if known_for > given.takes * SECOND:
            self._late(uid, away, given, f"free for over {given.takes:g} s", stuck)
        return self._wait(uid, away, f"free under {away.number}, by {away.by or 'hand'}: waits for "
                          + ("a new start on the list" if given.way == BY_LIST else "an operator's call"))

    def _executor(self, view: View, uid: str) -> str:
        there = [name for name in view.executors if f"@{name}" not in view.ledger.machines
                 and f"@{name}" != uid]
        return self.me if self.me in there else min(there, default="")

    def _works(self, view: View, uid: str, away: Away, given: Given, listed: Machine | None, known_for: int,
               stuck: dict[str, str]) -> dict[str, Any] | None:
        if given.way != BY_COMMAND:
            if known_for > given.takes * SECOND:
                self._late(uid, away, given, f"in work for over {given.takes:g} s", stuck)
            return self._wait(uid, away, f"in work under {away.number}: waits for an operator's call")
        life = view.lives.get(away.by, away.life)
        lost = f"{away.by} died over its command" if life != away.life else (
            f"nothing heard of its command from {away.by}"
            if known_for > given.takes * SECOND + MARGIN else "")
        if not lost:
            return self._wait(uid, away, f"its command runs at {away.by}")
        if given.again and life != away.life:
            return {"step": FREE, "why": f"{lost}; it may be run again"}
        return {"step": FAILED, "why": f"{lost}; nobody knows whether it has run"}

    def _late(self, uid: str, away: Away, given: Given | None, why: str, stuck: dict[str, str]) -> None:
        """It does not come back: what its work wants then."""
        self.waits[uid, away.work] = why
        if given and given.not_back != "go-on":
            stuck.setdefault(away.work, f"{uid}: {why}")

    def _successor(self, view: View, uid: str, away: Away) -> str:
        """One that came up in the place of a machine that is listed no longer, and of no other's."""
        out_since = self.out_since[uid, away.out]
        if out_since == self.born:
            return ""  # who was listed before it went out is not known here: an operator has to say
        took = {step.why.partition(" ")[0] for step in view.ledger.steps if step.step == GONE}
        return next((m.uid for m in sorted(view.machines, key=lambda m: m.uid)
                     if m.up and self.listed_since[m.uid] > out_since and m.uid not in took
                     and m.uid not in view.ledger.machines), "")

    def _shared(self, view: View, uid: str, away: Away, listed: Machine | None) -> dict[str, Any] | None:
        """Another work that wants the same machine takes it while it is out anyway, if both allow that."""
        own = view.works.get(away.work)
        if not own or not own.shares or not listed:
            return None
        for name, given in sorted(view.works.items()):
            work = given.work(name)
            if name in (away.work, *away.also) or not given.shares or given.state != GO \
                    or given.of != own.of or not work.wants(listed) or uid in view.ledger.done.get(name, ()) \
                    or timely(self._begun(view, work), self._wall(view)) \
                    or given.after or work.alone & set(view.works) or name in (own.alone or ()):
                continue
            return {"step": FREE, "work": name, "why": f"out already for {away.work}"}
        return None

    def _comes_back(self, view: View, uid: str, away: Away, given: Given | None, listed: Machine | None,
                    known_for: int, stuck: dict[str, str]) -> dict[str, Any] | None:
        if not away.worked:
            return {"step": UNDONE, "why": away.why}
        given = given or Given()
        if listed is None or not listed.up or uid in view.lost:
            if known_for > given.takes * SECOND:
                self._late(uid, away, given, f"not back after {given.takes:g} s", stuck)
            return self._wait(uid, away, "not listed as ready yet")
        if is_dispatcher(uid):
            return self._rejoins(view, uid, away, given, listed)
        watch = max(int(given.watch * SECOND), view.warm_after)
        answers, bad = view.answers.get(uid, (0, 0))
        if answers >= max(given.least_answers, 1) and answers - bad < given.well * answers:
            return {"step": UNWELL, "why": f"{bad} of {answers} answers were bad"}
        # Lost and started anew while it is watched, it is cold again.
        known_for = min(known_for, view.now - self.ready[uid][1])
        if known_for < watch:
            return self._wait(uid, away, f"watched and warming for {watch / SECOND:g} s")
        if answers < given.least_answers and known_for < UNSEEN * watch:
            return self._wait(uid, away, f"{answers} of {given.least_answers} answers seen")
        return {"step": WELL, "why": f"{answers - bad} of {answers} answers were good" if answers else
                "no answer of it was seen"}

    def _rejoins(self, view: View, uid: str, away: Away, given: Given,
                 listed: Machine) -> dict[str, Any] | None:
        if given.way != BY_HAND and listed.since == away.start:
            return self._wait(uid, away, "still the process that it was")
        if view.now - self.known[uid, away.last] < given.watch * SECOND:
            return self._wait(uid, away, f"watched for {given.watch:g} s")
        return {"step": WELL, "why": "back and caught up"}

    # --- all of them ---

    def _halts(self, view: View, stuck: dict[str, str]) -> Steps:
        halts: Steps = []
        for name, given in view.works.items():
            if name in view.ledger.halted:
                continue
            why = f"{view.ledger.unwell.get(name, 0)} unwell in a row" \
                if view.ledger.unwell.get(name, 0) >= given.most_unwell else ""
            if name in stuck and given.not_back == "give-up":
                why = why or stuck[name]
            if why:
                halts.append({"uid": "", "work": name, "step": "halt", "by": self.me, "why": why})
        return halts

    def _see_load(self, view: View) -> None:
        if self._too_much(view):
            self.calm_at = view.now + CALM_FOR

    def _too_much(self, view: View) -> str:
        asked = view.taken + view.shed
        going = [given.shed_over for name, given in view.works.items() if given.state == GO
                 or any(away.work == name for away in view.ledger.machines.values())]
        if asked >= LEAST_COUNTED and view.shed > min(going, default=1.0) * asked:
            return f"{view.shed} of {asked} units were shed of late"
        return ""

    def _wall(self, view: View) -> int:
        """Never back: a clock that is set back must not undo that a time has come."""
        return max(view.wall, view.ledger.wall)

    def _begun(self, view: View, work: Work) -> Work:
        return replace(work, not_before=0) if work.name in view.ledger.begun else work

    def _outs(self, view: View, stuck: dict[str, str]) -> Steps:
        going = {name: given for name, given in view.works.items() if given.state == GO}
        for name in [*going]:
            why = stuck.get(name) or view.stale or self._too_much(view) or (
                "calm for a while first, after units were shed" if view.now < self.calm_at else "")
            if why:
                self.waits["", name] = why
                del going[name]
        steps: Steps = []
        for of, machines in (("runners", view.machines), ("dispatchers", view.dispatchers)):
            works = [self._begun(view, given.work(name)) for name, given in going.items() if given.of == of]
            halted = [given.work(name) for name, given in view.works.items()
                      if given.of == of and name not in going]
            if works:
                steps += self._outs_of(view, works, halted, machines, of)
        if not steps:
            return steps
        changes, plan, at = self.went
        if (changes, plan) == (view.ledger.changes, view.plan) and view.now - at < PROPOSED_FOR:
            return []
        self.went = view.ledger.changes, view.plan, view.now
        return steps

    def _outs_of(self, view: View, works: list[Work], halted: list[Work], machines: Sequence[Machine],
                 of: str) -> Steps:
        away = view.ledger.machines
        # One that is out may be listed no longer: it counts all the same.
        there = {m.uid for m in machines}
        machines = [*machines, *(Machine(uid, *gone.place, since=gone.start, up=False, listed=False)
                                 for uid, gone in sorted(away.items())
                                 if uid not in there and is_dispatcher(uid) == (of == "dispatchers"))]
        seen = [replace(m, up=m.up and m.uid not in view.lost and m.uid not in away) for m in machines]
        if of == "dispatchers":
            works = [replace(work, last=f"@{self.me}") for work in works]
        held = self._holds(view, seen, of)
        out = [(uid, m.work) for uid, m in away.items() if is_dispatcher(uid) == (of == "dispatchers")]
        told = order(works, seen, out, view.ledger.ended(), self._wall(view), held, halted)
        for (uid, name), why in told.waits.items():
            if uid not in away:
                self.waits[uid, name] = why
        known_as = {m.uid: m for m in machines}
        known = {"step": OUT, "by": self.me, "made_from": view.ledger.changes, "plan": view.plan, "why": ""}
        return [{**known, "uid": uid, "work": name, "start": m.since,
                 "place": (m.zone, m.kind, m.cell, m.size)}
                for uid, name in told.go for m in [known_as[uid]]]

    def _holds(self, view: View, machines: Sequence[Machine],
               of: str) -> Callable[[Machine, Collection[str]], str]:
        carries = max((given.carries for given in view.works.values()), default=0.0)
        dispatchers = of == "dispatchers"

        def up(gone: Collection[str]) -> list[Machine]:
            return [m for m in machines if m.up and m.uid not in gone]

        def held(machine: Machine, gone: Collection[str]) -> str:
            stay = [m for m in up(gone) if m.uid != machine.uid]
            if dispatchers:
                voting = sum(m.kind == "voter" for m in stay)
                if machine.kind == "voter" and 2 * voting <= view.voters:
                    return f"{voting} of {view.voters} voters would stay"
            elif carries:
                bears = int(sum(m.size for m in stay) * carries)
                if bears < view.in_hand:
                    return f"{view.in_hand} units in hand, what would stay carries {bears}"
            for what in ("zone",) if dispatchers else view.keep_in:
                where = getattr(machine, what)
                others = [m for m in machines if getattr(m, what) == where and m.uid != machine.uid]
                if others and not any(getattr(m, what) == where for m in stay):
                    return f"the last that is up in its {what}"
            return ""

        return held
