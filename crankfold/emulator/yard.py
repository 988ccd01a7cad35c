"""Works on machines in simulated time: the members of `accord`, dispatchers that send units, and machines.

What must hold is checked against what the machines saw and against the works as they were handed in, by code
that uses nothing of the ledger but what each step was called.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from crankfold.agreement.member import Follower, Member, Voter
from crankfold.agreement.words import Tell
from crankfold.emulator.accord import CUT_OFF, Case, Fleet, Process, schedule
from crankfold.works import form
from crankfold.works.foreman import Foreman, View
from crankfold.works.ledger import BACK, ENDED, FAILED, FREE, GONE, OUT, UNDONE, UNWELL, WELL, WORK, Ledger
from crankfold.works.order import Machine, Work

SECOND = 10_000
WARM = 30_000  # after a start a machine is cold for so long
LAG = 12_000  # lists tell of losses so late at the most
ROUND = 400  # between units of a dispatcher


@dataclass(slots=True)
class Box:
    """A machine as it is."""

    uid: str
    zone: str
    size: float
    start: int = 1
    up: bool = True
    for_good: bool = False
    changes: list[tuple[int, bool, int]] = None  # type: ignore[assignment]
    running: list[tuple[int, str, int]] = None  # type: ignore[assignment]
    sick: bool = False  # its answers are bad from its next start on

    def __post_init__(self) -> None:
        self.changes, self.running = [(0, True, self.start)], []

    def turn(self, now: int, up: bool) -> None:
        if up and not self.up:
            self.start = now
        self.up = up
        self.changes.append((now, up, self.start))

    def seen(self, at: int) -> tuple[bool, int]:
        for when, up, start in reversed(self.changes):
            if when <= at:
                return up, start
        return False, 0


@dataclass(frozen=True, slots=True)
class YardCase:
    case: Case
    works: dict[str, dict[str, Any]]
    boxes: int = 9
    zones: int = 3
    losses: tuple[tuple[int, int, str], ...] = ()  # begin, end, machine; "" at the end for good
    sick: frozenset[str] = frozenset()
    takes: int = 6000  # what work on a machine takes
    rate: float = 0.6  # units of a dispatcher each round
    calm_from: int = 0  # troubles are over then


class Hand(Process):
    """A dispatcher with units at machines."""

    def __init__(self, fleet: "Yard", name: str, rate: float) -> None:
        super().__init__(fleet, name, rate)
        self.yard = fleet
        self.late = fleet.luck.randrange(LAG)
        self.trips: list[tuple[int, str, str]] = []  # until when it waits, which machine, which unit
        self.unsure: dict[str, list[str]] = {}
        self.answers: dict[str, list[int]] = {}
        self.foreman = fleet.foremen(name)
        self.begun: set[tuple[str, int]] = set()
        self.told = (-1, -1)

    def begin(self) -> None:
        self.trips, self.unsure, self.answers, self.begun = [], {}, {}, set()
        self.foreman = self.yard.foremen(self.name)
        super().begin()

    def ledger(self) -> Ledger:
        assert self.member is not None
        return self.member.docs.known.ledger

    def given(self) -> dict[str, form.Given]:
        assert self.member is not None
        doc = self.member.docs.doc("works")
        return form.read(doc.versions[-1].text) if doc.versions else {}

    def listed(self) -> list[Machine]:
        at = self.yard.time.now - self.late
        seen = []
        for box in self.yard.boxes.values():
            up, start = box.seen(at)
            seen.append(Machine(box.uid, box.zone, "k", "", box.size, start, up, up or not box.for_good))
        return [m for m in seen if m.since]

    def tell(self) -> Tell | None:
        if not self.ledger().machines and not self.given():
            return None
        out = self.ledger().out()
        told = Tell(in_hand=len(self.trips))
        for _, uid, _ in self.trips:
            if uid in out:
                told.holds[uid] = told.holds.get(uid, 0) + 1
        told.unsure = {uid: self.unsure[uid][-5:] for uid in out if uid in self.unsure}
        told.answers = {uid: (seen[0], seen[1]) for uid, seen in self.answers.items()}
        told.lost = [m.uid for m in self.listed() if not m.up and m.uid not in out]
        return told

    def steps(self, now: int) -> list[dict[str, Any]]:
        member = self.member
        assert isinstance(member, Voter)
        ledger = self.ledger()
        if not member.leads() or not member.holds(now):
            self.foreman.notice(now, ledger, self.listed())
            return []
        told, holders = member.gathered(now)
        lives = {name: report.incarnation for name, report in member.reports.items()}
        lives[self.name] = member.incarnation
        executors = {name: life for name, life in lives.items()
                     if name == self.name or now < member.granted.get(name, 0)}
        return self.foreman.look(View(
            now, self.yard.time.now // 10, member.docs.doc("works").latest(), self.given(), ledger,
            self.listed(), (), len(member.raft.voters), "", holders, told.unsure, told.answers, told.lost,
            told.in_hand, told.taken, told.shed, executors, lives, self.yard.warm, ()))

    def go_on(self) -> None:
        """What is due here: commands, and watching those that are back."""
        member, now = self.member, self.yard.time.now
        assert member is not None
        self.trips = [trip for trip in self.trips if trip[0] > now]
        key = self.life, member.applied
        if key == self.told:
            return
        back = {uid for uid, away in self.ledger().machines.items() if away.state == BACK}
        for uid in [uid for uid in self.answers if uid not in back]:
            del self.answers[uid]
        for uid in back:
            self.answers.setdefault(uid, [0, 0])
        if not member.holds(self.clock()):
            return
        self.told = key
        for uid, away in self.ledger().machines.items():
            if away.state == WORK and away.by == self.name and away.life == member.incarnation \
                    and (uid, away.number) not in self.begun:
                self.begun.add((uid, away.number))
                self.yard.command(self, uid, away.work, away.number)


class Yard(Fleet):
    def __init__(self, case: YardCase, voter: type[Voter] = Voter, follower: type[Follower] = Follower,
                 foremen: Callable[[str], Foreman] = Foreman, warm: int = WARM) -> None:
        self.yard, self.foremen, self.warm = case, foremen, warm
        super().__init__(case.case, voter, follower)
        self.processes = {name: Hand(self, name, process.rate) for name, process in self.processes.items()}
        self.boxes = {f"m{n}": Box(f"m{n}", f"z{n % case.zones}", 1.0 + n % 2) for n in range(case.boxes)}
        for uid in case.sick:
            self.boxes[uid].sick = True
        self.units = 0
        self.away: dict[str, str] = {}  # machines that are out or back and not well yet, by their work
        self.shut: dict[str, int] = {}  # free, and since when: nothing may come there
        self.numbers: dict[str, int] = {}  # under which each was called free last
        self.ran: dict[tuple[str, str], list[int]] = {}  # by machine and work, under which numbers
        self.in_work: dict[str, int] = {}  # commands that run at this moment, by machine
        self.began: set[tuple[str, int]] = set()  # by hand
        self.stepped = 0  # the entry up to which steps were looked at
        self.waits: list[int] = []
        self.asked_works = form.read({"works": case.works})

    def make(self, process: Process) -> Member:
        member = super().make(process)
        assert isinstance(process, Hand)
        member.tell = process.tell
        if isinstance(member, Voter):
            member.foreman = process.steps
        return member

    def run(self) -> "Yard":
        for begin, end, uid in self.yard.losses:
            self.time.after(begin, lambda uid=uid: self._lose(uid))  # type: ignore[misc]
            self.time.after(end, lambda uid=uid: self.boxes[uid].turn(self.time.now, True))  # type: ignore[misc]
        self.time.after(15_000, self._hand_in)
        self.time.after(3000, self._by_hand)
        super().run()
        return self

    def _lose(self, uid: str) -> None:
        self.boxes[uid].turn(self.time.now, False)

    def _hand_in(self) -> None:
        """Until it is agreed: the operator asks again with the same call."""
        if self.outcomes.get("works") and self.outcomes["works"].well:
            return
        process = self.luck.choice(list(self.processes.values()))
        if process.member and process.up:
            data = {"doc": "works", "made_from": 0, "author": "o", "reason": "r", "at": 0,
                    "text": {"works": self.yard.works}}
            self._ask(process.name, "works", data)
        self.time.after(8000, self._hand_in)

    def _step_by_hand(self, uid: str, work: str, step: str, number: int) -> None:
        """An operator at any dispatcher, who asks until he knows the outcome."""
        call = f"{step} {uid} {number}"
        if call in self.outcomes and (self.outcomes[call].well or self.outcomes[call].index):
            return
        name = self.luck.choice(sorted(self.processes))
        taken = {"uid": uid, "work": work, "step": step, "by": "o", "life": 0, "number": number, "why": ""}
        self.processes[name].act(lambda member, now: member.publish(  # type: ignore[attr-defined]
            now, call, "step", {"steps": [taken]}))
        self.time.after(7000, lambda: self._step_by_hand(uid, work, step, number))

    def _by_hand(self) -> None:
        """Operators look at some dispatcher for machines that are free, and others restart what is free."""
        self.time.after(3000, self._by_hand)
        process = self.luck.choice(list(self.processes.values()))
        if not isinstance(process, Hand) or not process.up or process.member is None:
            return
        for uid, away in process.ledger().machines.items():
            given = process.given().get(away.work)
            if given is None or away.state != FREE or (uid, away.number) in self.began:
                continue
            if given.way == form.BY_LIST:
                self.began.add((uid, away.number))
                self._restart(uid, lambda: None)
            elif given.way == form.BY_HAND:
                self.began.add((uid, away.number))
                self._step_by_hand(uid, away.work, WORK, away.number)

    def _begun_by_hand(self, uid: str, work: str, number: int) -> None:
        self.ran.setdefault((uid, work), []).append(number)
        self._restart(uid, lambda: self._step_by_hand(uid, work, ENDED, number))

    def _restart(self, uid: str, then: Callable[[], None]) -> None:
        box = self.boxes[uid]
        if box.for_good:
            return
        box.turn(self.time.now, False)

        def up() -> None:
            if not box.for_good:
                box.turn(self.time.now, True)
            then()

        self.time.after(self.yard.takes, up)

    # --- units ---

    def _unit(self) -> None:
        self.time.after(ROUND, self._unit)
        now = self.time.now
        for process in self.processes.values():
            assert isinstance(process, Hand)
            if not process.up or process.member is None or now < process.paused_until:
                continue
            process.go_on()
            if not process.member.holds(process.clock()) or self.luck.random() > self.yard.rate:
                continue
            out = process.ledger().out()
            ready = [m for m in process.listed() if m.up and m.uid not in out]
            if ready:
                self._send(process, self.luck.choice(ready).uid)

    def _send(self, process: Hand, uid: str) -> None:
        now, box = self.time.now, self.boxes[uid]
        self.units += 1
        unit = f"{process.name} {self.units}"
        if uid in self.shut:
            self._break(f"{unit} came to {uid}, which is free since {self.shut[uid] / SECOND:.3f} s")
        if not box.up:
            process.answers.get(uid, [0, 0])[0] += 1
            process.answers.get(uid, [0, 0])[1] += 1
            return
        long = self.luck.random() < 0.06
        lasts = self.luck.randrange(2 * CUT_OFF) if long else self.luck.randrange(200, 4000)
        waits = min(lasts, CUT_OFF)
        process.trips.append((now + waits, uid, unit))
        box.running = [one for one in box.running if one[0] > now]
        box.running.append((now + lasts, unit, now + CUT_OFF))
        life = process.life

        def ended() -> None:
            if life != process.life:
                return
            if lasts > CUT_OFF:
                process.unsure.setdefault(uid, []).append(unit)
            elif uid in process.answers:
                process.answers[uid][0] += 1
                process.answers[uid][1] += box.sick and box.start > 1

        self.time.after(waits, ended)

    # --- commands ---

    def command(self, process: Hand, uid: str, work: str, number: int) -> None:
        self.ran.setdefault((uid, work), []).append(number)
        given = self.asked_works[work]
        if len(self.ran[uid, work]) > 1 and not given.again:
            self._break(f"the command of {work} ran again on {uid}, under {self.ran[uid, work]}")
        if uid in self.in_work:
            self._break(f"two commands run on {uid}")
        if uid not in self.shut:
            self._break(f"a command runs on {uid}, which is not free")
        life = process.life
        self.in_work[uid] = number

        def over() -> None:
            if self.in_work.get(uid) == number:
                del self.in_work[uid]
            if life != process.life:
                return  # it ended with its dispatcher
            step = ENDED if self.luck.random() > 0.05 else FAILED
            self._outcome(process, life, uid, work, number, step)

        self._restart(uid, over)

    def _outcome(self, process: Hand, life: int, uid: str, work: str, number: int, step: str) -> None:
        call = f"{uid} {number}"
        told = self.outcomes.get(call)
        if life != process.life or told and (told.well or told.index):
            return
        taken = {"uid": uid, "work": work, "step": step, "number": number, "by": process.name, "why": ""}
        process.act(lambda member, now: member.publish(  # type: ignore[attr-defined]
            now, call, "step", {"steps": [taken]}))
        self.time.after(5000, lambda: self._outcome(process, life, uid, work, number, step))

    # --- what must hold ---

    def look(self) -> None:
        super().look()
        for process in self.processes.values():
            if not process.up or not isinstance(process, Hand) or process.member is None \
                    or process.member.applied <= self.stepped:
                continue
            for step in process.ledger().steps:
                if step.index > self.stepped:
                    self._step(step.uid, step.work, step.step, step.index, step.why)
            self.stepped = process.member.applied

    def _step(self, uid: str, work: str, step: str, index: int, why: str) -> None:
        """As soon as anybody knows of it."""
        now = self.time.now
        if step == OUT:
            self._bounds(uid, work)
            self.away[uid] = work
        elif step == FREE:
            if uid not in self.shut:
                self._free(uid, why)
            if index <= self.numbers.get(uid, 0):
                self._break(f"{uid} is free under {index}, after {self.numbers[uid]}")
            self.numbers[uid] = index
            self.away[uid] = work
            self.shut[uid] = now
        elif step == WORK and self.asked_works[work].way == form.BY_HAND:
            self._begun_by_hand(uid, work, self.numbers[uid])
        elif step in (BACK, UNDONE, GONE) or step == UNWELL:
            self.shut.pop(uid, None)
        elif step == WELL:
            start = self.boxes[uid].start
            if start > 1 and now < start + WARM and self.boxes[uid].seen(now - LAG)[1] == start:
                self._break(f"{uid} is called well {(now - start) / 10:.0f} ms after its start")
        if step in (WELL, UNDONE, GONE):
            self.away.pop(uid, None)

    def _free(self, uid: str, why: str) -> None:
        now = self.time.now
        for process in self.processes.values():
            assert isinstance(process, Hand)
            held = [unit for until, at, unit in process.trips if at == uid and until > now and process.up]
            if held:
                self._break(f"{uid} is called free while {process.name} waits for {held}")
        for until, unit, cut_off in self.boxes[uid].running:
            if until > now and cut_off > now and self.boxes[uid].up:
                self._break(f"{uid} is called free while {unit} runs there, before its cut-off")

    def _bounds(self, uid: str, work: str) -> None:
        """At the moment when one more is out; losses of which lists can't have told yet are excused."""
        now = self.time.now
        lost = {box.uid for box in self.boxes.values() if not box.up and not box.seen(now - LAG - 2000)[0]}
        out = (set(self.away) | lost) - {uid}
        for name, given in self.asked_works.items():
            asked: Work = given.work(name)
            machines = [Machine(b.uid, b.zone, "k", "", b.size, b.start) for b in self.boxes.values()]
            mine = [m for m in machines if asked.wants(m)]
            if name != work and (name not in self.away.values() or not any(m.uid == uid for m in mine)):
                continue
            gone = [m for m in mine if m.uid in out]
            zone = self.boxes[uid].zone
            told = f"{uid} goes out for {work} beside {sorted(out)}"
            if len(gone) >= given.at_once:
                self._break(f"{told}, {given.at_once} at once for {name}")
            if given.a_zone and sum(m.zone == zone for m in gone) >= given.a_zone:
                self._break(f"{told}, {given.a_zone} a zone for {name}")
            stays = sum(m.size for m in machines if m.uid not in out and m.uid != uid)
            if stays < given.stays * sum(m.size for m in machines) - 1e-9:
                self._break(f"{uid} goes out for {work}, and less than {given.stays} stays for {name}")

    def _end(self) -> None:
        super()._end()
        leader = next((p for p in self.processes.values() if isinstance(p, Hand) and p.up
                       and isinstance(p.member, Voter) and p.member.leads()), None)
        if leader is None or not self.yard.calm_from:
            return
        ledger = leader.ledger()
        for name, given in self.asked_works.items():
            done = ledger.done.get(name, {})
            left = [uid for uid in self.boxes if uid not in done and given.work(name).wants(
                Machine(uid, self.boxes[uid].zone, "k", ""))]
            self.waits.append(len(left))
            told = [why for (uid, work), why in leader.foreman.waits.items() if work == name or uid in left]
            if left and not told and name not in ledger.halted:
                self._break(f"{name} has {left} left and nobody says why")


def works(luck: Random) -> dict[str, dict[str, Any]]:
    ways: list[dict[str, Any]] = [{"way": "hand"}, {"way": "list"}, {"way": "command", "command": ["x"]},
            {"way": "command", "command": ["x"], "again": True}]
    return {name: {"at-once": luck.choice((1, 2, 3)), "a-zone": luck.choice((0, 1, 2)),
                   "stays": luck.choice((0.0, 0.5, 0.7)), "takes": luck.choice((2.0, 30.0)),
                   "watch": 1.0, "least-answers": luck.choice((0, 3)),
                   "not-back": luck.choice(("hold", "go-on")),
                   "machines": [f"m{n}" for n in luck.sample(range(9), luck.choice((2, 4)))],
                   "shares": luck.random() < 0.7, **luck.choice(ways)}
            for name in ("disks", "racks")[:luck.choice((1, 2, 2))]}


def drawn(seed: int, seconds: float = 40.0, **more: Any) -> YardCase:
    """A case with troubles of members and machines drawn by the seed; the last part is calm."""
    luck = Random(f"yard {seed}")
    voters, followers = luck.choice(((3, 2), (3, 3), (5, 1)))
    troubled = seconds * 0.6
    case = schedule(seed, voters, followers, seconds=troubled)
    case = replace(case, seconds=seconds, publish_every=3.0, publish_until=troubled)
    end = int(troubled * SECOND)
    losses = tuple((at, at + luck.choice((10_000, 60_000)), f"m{luck.randrange(9)}")
                   for at in (luck.randrange(20_000, end) for _ in range(luck.randrange(3))))
    if luck.random() < 0.2:
        at = luck.randrange(20_000, end)
        losses += tuple((at, at + 50_000, f"m{n}") for n in range(0, 9, 3))  # a zone
    kept: list[tuple[int, int, str]] = []
    for begin, end, uid in sorted(losses):
        if not any(uid == other and begin < until + 8000 for _, until, other in kept):
            kept.append((begin, end, uid))
    sick = frozenset({f"m{luck.randrange(9)}"} if luck.random() < 0.3 else ())
    return YardCase(case, works(luck), losses=tuple(kept), sick=sick, calm_from=end, **more)
