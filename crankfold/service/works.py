"""Machines out for work, as one dispatcher takes part: what it tells of them, decides if it leads, and runs.

Not imported before works are handed in. What is decided is in `crankfold/works/`.
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
from msgspec import Struct, structs

from crankfold.agreement.member import THERE, Voter
from crankfold.agreement.strict import WORKS
from crankfold.agreement.words import Tell
from crankfold.dispatch.interface import Effect, Group, Outcome, Standing
from crankfold.network.tally import Tally, log
from crankfold.peers.peer import Peer, clock
from crankfold.service.desk import Desk
from crankfold.service.operations import Operations
from crankfold.works import form
from crankfold.works.foreman import Foreman, View
from crankfold.works.ledger import BACK, ENDED, FAILED, FREE, GONE, OUT, UNWELL, WORK, Ledger, is_dispatcher
from crankfold.works.order import Machine
from crankfold.works.plan import plan

SECOND = 10_000
LATELY = 5.0  # seconds over which taken and shed units are counted
GONE_FOR = 600 * SECOND  # so long a machine that is listed no more counts as lost
LIST_WITHIN = 15 * SECOND  # a list that was not heard of for longer is not relied on
TOLD_WITHIN = 10.0
MOST_UNSURE = 1000
GOOD = (Outcome.DONE,)
BAD = (Outcome.ERROR, Outcome.LATE, Outcome.UNREACHABLE, Outcome.RESET, Outcome.UNKNOWN)
SHED = ("shed", "shed-for-room", "shed-for-share", "shed-cut-off")
BY_HAND = {"begin": WORK, "done": ENDED, "unwell": UNWELL, "back": BACK}


class Called(Struct, rename="kebab", forbid_unknown_fields=True):
    """What an operator has to say of a machine."""

    call: str
    machine: str
    step: str
    number: int = 0
    author: str = ""
    why: str = ""


class Asked(Struct, rename="kebab", forbid_unknown_fields=True):
    name: str
    work: dict[str, Any]


class Works:
    def __init__(self, desk: Desk, operations: Operations, peer: Peer, tally: Tally,
                 list_age: Callable[[], int], relaid: Callable[[], None]) -> None:
        self.desk, self.fleet, self.operations, self.peer, self.tally = (
            desk, desk.fleet, operations, peer, tally)
        self.list_age, self.relaid = list_age, relaid
        self.foreman = Foreman(peer.member.me)
        self.counted: deque[tuple[float, int, int]] = deque()
        self.unsure: dict[str, dict[str, None]] = {}  # by machine, units that may go on there
        self.answers: dict[str, list[int]] = {}
        self.watched: dict[str, int] = {}  # machines that are back, and by which step
        self.gone_at: dict[str, int] = {}
        self.given: dict[str, form.Given] = {}
        self.plan_read = -1
        self.running: dict[tuple[str, int], asyncio.Task[None]] = {}
        self.processes: dict[tuple[str, int], asyncio.subprocess.Process] = {}
        self.left = False  # service, for a work on dispatchers
        self.zones: dict[str, str] = {}  # of dispatchers, as they told last
        self.here: set[str] = set()  # machines that are back at this dispatcher alone, by hand
        desk.left_running, desk.dispatch_ended, desk.ended_after_all = (
            self._left_running, self._ended, self._ended_after_all)
        peer.tell, peer.steps = self.tell, self.steps

    @property
    def ledger(self) -> Ledger:
        return self.peer.member.docs.known.ledger

    def works(self) -> dict[str, form.Given]:
        doc = self.peer.member.docs.doc(WORKS)
        if doc.latest() != self.plan_read:
            self.plan_read = doc.latest()
            try:
                self.given = form.read(doc.versions[-1].text) if doc.versions else {}
            except ValueError as wrong:  # agreed by a majority of another version of the program
                self.tally.say("works", f"can't be read here: {wrong}")
                self.given = {}
        return self.given

    # --- what is heard from the desk ---

    def _left_running(self, uid: str, ident: str) -> None:
        """A unit was given up on, and the machine may have it still."""
        idents = self.unsure.setdefault(uid, {})
        idents[ident] = None
        if len(idents) > MOST_UNSURE:
            del idents[next(iter(idents))]

    def _ended_after_all(self, ident: str, uid: str) -> None:
        self.unsure.get(uid, {}).pop(ident, None)

    def _ended(self, runner: int, outcome: Outcome) -> None:
        uid = self.fleet.numbers.names[runner]
        if uid in self.watched:
            seen = self.answers.setdefault(uid, [0, 0])
            seen[0] += outcome in GOOD or outcome in BAD
            seen[1] += outcome in BAD

    # --- what changes with a step ---

    def changed(self) -> None:
        ledger, me = self.ledger, f"@{self.peer.member.me}"
        back = {uid: away.last for uid, away in ledger.machines.items() if away.state == BACK}
        for uid in [uid for uid, last in self.watched.items() if back.get(uid) != last]:
            self.answers.pop(uid, None)
        self.watched = back
        for uid in [uid for uid in self.here if uid not in ledger.out()]:
            self.here.discard(uid)
        if me in ledger.out() and not self.left:
            self.left = True
            self.operations.leave_service()
        elif me not in ledger.out() and self.left:
            self.left = False
            self.operations.enter_service()
        for uid in [uid for uid in self.unsure if not self.unsure[uid]]:
            del self.unsure[uid]
        self._run_due()

    def out(self) -> set[str]:
        return self.ledger.out() - self.here

    # --- what it tells ---

    def tell(self) -> Tell | None:
        """With each question for a lease, and to itself."""
        if not self.works() and not self.ledger.machines:
            return None
        if self.here and self.peer.holds():
            self.here.clear()  # the fleet is heard again, and its word counts
            self.relaid()
        self._run_due()
        told, out, names = Tell(), self.ledger.out(), self.fleet.numbers.names
        for unit in self.desk.ledger.units.values():
            told.in_hand += unit.open
            for trip in unit.trips:
                uid = names[trip.runner]
                if trip.out and uid in out:
                    told.holds[uid] = told.holds.get(uid, 0) + 1
        told.unsure = {uid: [*self.unsure[uid]][-5:] for uid in out if self.unsure.get(uid)}
        told.answers = {uid: (seen[0], seen[1]) for uid, seen in self.answers.items()}
        told.lost = [m.uid for m in self.machines() if not m.up and m.uid not in out]
        if self.peer.given.zone:
            told.zones = {self.peer.member.me: self.peer.given.zone}
        if self.left and not self.desk.open_units():
            told.idle = [self.peer.member.me]
        now, counts = time.monotonic(), self.tally.counts
        self.counted.append((now, counts["taken"] - counts["shed"], sum(counts[name] for name in SHED)))
        while now - self.counted[0][0] > LATELY:
            self.counted.popleft()
        told.taken = max(self.counted[-1][1] - self.counted[0][1], 0)
        told.shed = self.counted[-1][2] - self.counted[0][2]
        return told

    def machines(self) -> list[Machine]:
        """As listed; what is listed no more counts as lost for a while, as nothing came in its place."""
        fleet, now, seen = self.fleet, clock(), []
        for runner, entry in enumerate(fleet.said):
            uid = fleet.numbers.names[runner]
            if entry.standing == Standing.GONE:
                if now - self.gone_at.setdefault(uid, now) > GONE_FOR:
                    continue
            else:
                self.gone_at.pop(uid, None)
            by_hand = uid in fleet.bans.since or uid in fleet.agreed.since and uid not in self.ledger.machines
            ready = entry.standing == Standing.READY and not by_hand
            seen.append(Machine(uid, fleet.rules.zones.names[entry.zone], fleet.rules.kinds.names[entry.kind],
                                str(entry.cell), entry.weight or 1.0,
                                entry.since, ready, entry.standing != Standing.GONE))
        replaced = {step.uid for step in self.ledger.steps if step.step == GONE}
        return [m for m in seen if m.listed or m.uid not in replaced]

    # --- what it decides, if it leads ---

    def steps(self) -> list[dict[str, Any]]:
        works, ledger = self.works(), self.ledger
        member = self.peer.member
        if not isinstance(member, Voter) or not works and not ledger.machines:
            return []
        now = clock()
        if not member.leads() or not self.peer.holds():
            self.foreman.notice(now, ledger, self.machines())
            self.foreman.waits = {}
            return []
        return self.foreman.look(self.view(member, now))

    def view(self, member: Voter, now: int) -> View:
        told, of_runners = member.gathered(now)
        ledger, dispatchers = self.ledger, self.dispatchers(member, now)
        self.zones |= told.zones

        def holders(uid: str, index: int) -> str:
            if is_dispatcher(uid):
                name = uid[1:]
                there = name == member.me or any(m.uid == uid and m.up for m in dispatchers)
                return "it has units in hand" if there and name not in told.idle else ""
            return of_runners(uid, index)

        lives = {name: report.incarnation for name, report in member.reports.items()}
        lives[member.me] = member.incarnation
        executors = {name: life for name, life in lives.items()
                     if name == member.me or now < member.granted.get(name, 0)}
        age = self.list_age()
        grades = [grade for grade in self.desk.grades.rows if grade.effect == Effect.TAGGED]
        keep_in = {place for grade in grades for group, place in ((Group.ZONE, "zone"), (Group.CELL, "cell"))
                   if grade.group == group}
        return View(
            now, time.time_ns() // 1_000_000, member.docs.doc(WORKS).latest(), dict(self.works()), ledger,
            self.machines(), dispatchers, len(member.raft.voters),
            f"the list was not heard of for {age // SECOND} s" if age > LIST_WITHIN else "", holders,
            told.unsure, told.answers, told.lost, told.in_hand, told.taken, told.shed, executors, lives,
            self.desk.rules.warm_after, sorted(keep_in))

    def dispatchers(self, member: Voter, now: int) -> list[Machine]:
        """Members as machines: `since` is the life of the process, by which a new one is known."""
        wards = [(member.me, member.incarnation, member.applied, True)]
        wards += [(name, ward.incarnation, ward.have, member.state_of(now, ward) == THERE)
                  for name, ward in member.wards.items()]
        wards += [(one.name, one.incarnation, one.have, one.state == THERE)
                  for held in member.elsewhere.values() for one in held]
        seen: dict[str, Machine] = {}
        for name, life, have, there in wards:
            caught_up = there and have >= member.applied - 50
            before = seen.get(f"@{name}")
            if before is None or caught_up and not before.up:
                kind = "voter" if name in member.raft.voters else "follower"
                zone = self.zones.get(name, "")
                seen[f"@{name}"] = Machine(f"@{name}", zone, kind, "", 1.0, life, caught_up)
        for name in member.raft.voters:
            zone = self.zones.get(name, "")
            seen.setdefault(f"@{name}", Machine(f"@{name}", zone, "voter", "", 1.0, 0, False))
        return list(seen.values())

    # --- commands ---

    def _run_due(self) -> None:
        """Those that are agreed to run here, in this life, while what is agreed is known to be so."""
        member = self.peer.member
        for uid, away in self.ledger.machines.items():
            if away.state != WORK or away.by != member.me or away.life != member.incarnation \
                    or (uid, away.number) in self.running or not self.peer.holds():
                continue
            given = self.works().get(away.work)
            if given and given.command:
                self.running[uid, away.number] = asyncio.get_running_loop().create_task(
                    self._run(uid, away.work, away.number, away.life, given))

    async def _run(self, uid: str, work: str, number: int, life: int, given: form.Given) -> None:
        runner = self.fleet.numbers.find(uid)
        at = self.fleet.address[runner] if runner >= 0 else ("", 0, 0)
        told = {"CRANKFOLD_MACHINE": uid.removeprefix("@"), "CRANKFOLD_WORK": work,
                "CRANKFOLD_NUMBER": str(number), "CRANKFOLD_ADDRESS": f"{at[0]}:{at[1]}" if at[0] else ""}
        log(f"crankfold: works: {work}: the command of {uid} begins under {number}")
        step, why = FAILED, ""
        try:
            process = await asyncio.create_subprocess_exec(
                *given.command, env={**os.environ, **told}, stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE, start_new_session=True)
            self.processes[uid, number] = process
            try:
                async with asyncio.timeout(given.takes):
                    _, said = await process.communicate()
                step = ENDED if process.returncode == 0 else FAILED
                why = f"exit {process.returncode}" + (f": {said.decode(errors='replace').strip()[-200:]}"
                                                      if step == FAILED and said else "")
            except TimeoutError:
                self._kill(process)
                why = f"was ended after {given.takes:g} s"
        except OSError as wrong:
            why = f"could not be run: {wrong}"
        finally:
            self.processes.pop((uid, number), None)
        log(f"crankfold: works: {work}: the command of {uid} under {number}: {step}, {why}")
        taken = {"uid": uid, "work": work, "step": step, "number": number, "by": self.peer.member.me,
                 "why": why, "at": time.time_ns() // 1_000_000}
        while True:  # until it is known to be agreed, or to be over
            made = await self.peer.publish("step", {"steps": [taken]}, f"{uid} {number} {life}", TOLD_WITHIN)
            if made.well or made.index:
                return

    @staticmethod
    def _kill(process: asyncio.subprocess.Process) -> None:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(process.pid, signal.SIGKILL)

    def close(self) -> None:
        """A command does not outlive the dispatcher that would tell what became of it."""
        for process in self.processes.values():
            self._kill(process)
        for task in self.running.values():
            task.cancel()

    # --- operators ---

    def show(self) -> dict[str, Any]:
        ledger, member = self.ledger, self.peer.member
        leads = isinstance(member, Voter) and member.leads()
        listed = [*self.machines()]
        if isinstance(member, Voter):
            listed += self.dispatchers(member, clock())
        works = {}
        for name, given in self.works().items():
            done = ledger.done.get(name, {})
            work = given.work(name)
            wanted = [m.uid for m in listed if is_dispatcher(m.uid) == (given.of == "dispatchers")
                      and work.wants(m)]
            over = all(uid in done for uid in wanted) and not any(
                m.work == name for m in ledger.machines.values())
            works[name] = {
                "why": given.why, "state": "stopped by itself" if name in ledger.halted else
                "done" if wanted and over else given.state, "halted": ledger.halted.get(name, ""),
                "wanted": len(wanted), "done": done,
                "left": [uid for uid in wanted if uid not in done and uid not in ledger.machines]}
        waits = [{"machine": uid, "work": name, "why": why}
                 for (uid, name), why in sorted(self.foreman.waits.items())]
        machines = {uid: structs.asdict(away) for uid, away in ledger.machines.items()}
        return {"works": works, "machines": machines,
                "steps": [structs.asdict(step) for step in ledger.steps], "waits": waits,
                "leads": leads, "leader": member.raft.leader if isinstance(member, Voter) else "",
                "here": sorted(self.here)}

    def planned(self, body: bytes) -> dict[str, Any]:
        """What would come about if this work were handed in now. Changes nothing."""
        asked = msgspec.json.decode(body, type=Asked)
        doc = self.peer.member.docs.doc(WORKS)
        before = doc.versions[-1].text if doc.versions else {}
        text = {"works": {**before.get("works", {}), asked.name: asked.work}}
        wrong = form.fault(text, before, self.machines())
        if wrong:
            return {"well": False, "text": wrong}
        works, ledger = form.read(text), self.ledger
        machines: Sequence[Machine] = self.machines()
        if works[asked.name].of == "dispatchers":
            member = self.peer.member
            if not isinstance(member, Voter):
                return {"well": False, "text": "ask at the door of a voter"}
            machines = self.dispatchers(member, clock())
        told = plan(asked.name, {name: given for name, given in works.items()
                                 if given.of == works[asked.name].of},
                    machines, {uid: away.work for uid, away in ledger.machines.items()},
                    ledger.ended(), time.time_ns() // 1_000_000, self.peer.member.docs.linger() / SECOND,
                    self.desk.rules.warm_after / SECOND)
        return {"well": True, "turns": [
            {"begin": turn.begin, "end": turn.end, "machine": turn.uid, "zone": turn.zone, "why": turn.why}
            for turn in told.turns], "waits": told.waits}

    async def call(self, body: bytes) -> tuple[bool, str, bool]:
        """A step by an operator's call: whether it is agreed, what was told, whether there is an outcome."""
        asked = msgspec.json.decode(body, type=Called)
        if asked.step == "here":
            return self._back_here(asked.machine)
        away = self.ledger.machines.get(asked.machine)
        step = BY_HAND.get(asked.step)
        if step is None:
            return False, f"step: found {asked.step!r}; {', '.join(BY_HAND)}", True
        if away is None:
            return False, f"{asked.machine} is not out for any work, as far as is known here", True
        given = self.works().get(away.work)
        if step in (WORK, ENDED) and away.state in (FREE, WORK) and not away.unwell and given \
                and given.way == form.BY_COMMAND:
            return False, f"{asked.machine} is for {away.work}'s command", True
        if step == BACK and away.state not in (OUT, FREE, FAILED, UNWELL):
            return False, f"{asked.machine} is in state {away.state}", True
        taken = {"uid": asked.machine, "work": away.work, "step": step, "by": asked.author or "an operator",
                 "life": 0, "why": asked.why, "at": time.time_ns() // 1_000_000}
        taken |= {"number": asked.number} if asked.number else {}
        made = await self.peer.publish("step", {"steps": [taken]}, asked.call, TOLD_WITHIN)
        return made.well, made.text, made.well or made.index > 0

    def _back_here(self, uid: str) -> tuple[bool, str, bool]:
        """At this dispatcher alone, while it is cut off: nobody can say then that nothing is done there."""
        if uid not in self.ledger.out():
            return False, f"{uid} is not out for any work, as far as is known here", True
        if self.peer.holds():
            return False, "the fleet is heard here; hand it in as a step of all: back", True
        self.here.add(uid)
        self.tally.count("machines-back-here-by-hand")
        log(f"crankfold: works: {uid} back here by hand, while cut off; it may be in work")
        self.relaid()
        return True, "", True
