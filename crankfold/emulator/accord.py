"""Many members of a fleet in simulated time, with losses, cuts, pauses, crashes and clocks that differ.

What holds is checked after every event by code that uses none of the product's bookkeeping beyond what each
process would do if a unit came in now: what it acts on, whether it may, and what it holds.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

import msgspec

from crankfold.agreement.member import Follower, Member, Voter
from crankfold.agreement.raft import LEADING, Batch, Stored
from crankfold.agreement.strict import DEAL, LIMITS, SETTINGS
from crankfold.agreement.words import Message, Published, Timing
from crankfold.emulator.clockwork import Clockwork

EFFECTS = ("safe", "keyed", "unsafe")
CUT_OFF = 20_000  # of the only grade, tenths of a millisecond
TICK = 20
WHOLE = 30


@dataclass(frozen=True, slots=True)
class Trouble:
    """From one time to another, tenths of a millisecond.

    `loss`: a share of the messages from `at` to `to` ("" for any); `delay`: so much more, drawn for each, so
    that they overtake one another; `double`: a share comes twice; `pause`: `at` stands still and wakes;
    `kill`: it dies and starts at the end; `wipe`: without its folder; `disk`: what it writes takes until the
    end.
    """

    kind: str
    begin: int
    end: int
    at: str = ""
    to: str = ""
    much: float = 1.0


@dataclass(frozen=True, slots=True)
class Case:
    voters: int = 3
    followers: int = 2
    seconds: float = 12.0
    seed: int = 1
    publish_every: float = 0.7
    publish_until: float = 1e9
    deals: bool = False  # drawn by operators
    limits: bool = False  # dealt by whoever leads
    load: bool = True  # units in hand, counted against shares
    stated: int = 20_000
    troubles: tuple[Trouble, ...] = ()
    way: int = 4
    disk: tuple[int, int] = (5, 40)  # what a write takes, from and to
    sparing: bool = False  # looks at the time only when a member asked for it
    drift: float = 0.01


class Process:
    def __init__(self, fleet: "Fleet", name: str, rate: float) -> None:
        self.fleet, self.name, self.rate = fleet, name, rate
        self.offset = fleet.luck.randrange(1_000_000)
        self.stored, self.folder = Stored(), f"{name} 0"
        self.life, self.up, self.busy = 0, False, False
        self.paused_until = 0
        self.units: list[int] = []  # when each that is in hand ends, by true time
        self.wanted = 0  # units that it would take if it could
        self.member: Member | None = None
        self.counts: dict[str, int] = {}  # of all its lives, the newest versions that it acted on
        self.looked, self.read = (0, -1), (0, -1)  # the life and index that were checked last

    def clock(self) -> int:
        return self.offset + int(self.fleet.time.now * self.rate)

    def begin(self) -> None:
        self.life += 1
        self.up, self.busy, self.units = True, False, []
        self.member = self.fleet.make(self)
        self.member.settled_at = self._settled_at
        self.member.carry = lambda: {"all": len(self.units) + self.wanted}
        self._run(self.life)

    def _settled_at(self, applied: int) -> int:
        """Up to where units in hand fit into the share."""
        assert self.member is not None
        part = self.fleet.share(self)
        if part is None or len(self.units) <= part:
            return applied
        waits = [v.index for name, v in self.member.docs.waits() if name == DEAL]
        return min([applied, *(index - 1 for index in waits)])

    def _run(self, life: int) -> None:
        if life != self.life or not self.up:
            return
        if self.fleet.time.now >= self.paused_until:
            self.act(lambda member, now: member.tick(now))  # type: ignore[attr-defined]
        wait = TICK
        if self.fleet.case.sparing and isinstance(self.member, Voter | Follower):
            wait = max(TICK, self.member.next_at() - self.clock())
        self.fleet.time.after(wait, lambda: self._run(life))

    def act(self, call: Callable[[Member, int], None]) -> None:
        """Something happens here, unless it stands still: then it happens when it wakes."""
        fleet, life = self.fleet, self.life
        if not self.up or self.member is None:
            return
        if fleet.time.now < self.paused_until:
            fleet.time.after(self.paused_until - fleet.time.now,
                             lambda: self.act(call) if life == self.life else None)
            return
        before = self._acts()
        call(self.member, self.clock())
        self.flush()
        for told in self.member.told:
            fleet.answered(told)
        self.member.told.clear()
        if before != self._acts():
            fleet.look()

    def _acts(self) -> tuple[int, int, bool]:
        member = self.member
        assert member is not None
        return member.applied, member.until, isinstance(member, Voter) and member.raft.role == LEADING

    def flush(self) -> None:
        assert isinstance(self.member, Voter | Follower)
        for to, message in self.member.take_early():
            self.fleet.post(self, to, message)
        if self.busy:
            return
        batch = self.member.take(self.clock())
        if isinstance(self.member, Voter) and batch.must_be_kept():
            self.busy = True
            life = self.life
            self.fleet.time.after(self.fleet.disk(self.name), lambda: self._kept(life, batch))
            if not self.fleet.sends_first:
                return
        self._send(batch)

    def _kept(self, life: int, batch: Batch) -> None:
        if life != self.life or not self.up:
            return  # died before it was on the disk
        self.store(batch)
        self.busy = False
        if not self.fleet.sends_first:
            self._send(batch)
        assert isinstance(self.member, Voter)
        self.member.kept(self.clock(), batch)
        self.flush()
        self.fleet.look()

    def store(self, batch: Batch) -> None:
        stored = self.stored
        stored.term, stored.vote = batch.term, batch.vote if not self.fleet.forgets_votes else ""
        stored.founded = batch.founded
        if batch.whole:
            stored.kept, stored.entries = batch.whole, []
        if batch.entries:
            del stored.entries[batch.first - stored.kept.index - 1:]
            stored.entries += batch.entries

    def _send(self, batch: Batch) -> None:
        for to, message in batch.send:
            self.fleet.post(self, to, message)

    def wipe(self) -> None:
        self.kill()
        self.stored, self.folder = Stored(), f"{self.name} {self.life}"

    def kill(self) -> None:
        self.fleet.look()
        self.up, self.member, self.units = False, None, []
        self.life += 1


class Fleet:
    """Plays a case. `broken` has what did not hold, told with the time and the processes."""

    sends_first = forgets_votes = False  # faults that tests plant

    def __init__(self, case: Case, voter: type[Voter] = Voter, follower: type[Follower] = Follower) -> None:
        self.case, self.time, self.luck = case, Clockwork(), Random(case.seed)
        self.kinds = voter, follower
        self.timing = Timing(case.stated)
        self.voters = [f"v{n}" for n in range(case.voters)]
        names = self.voters + [f"f{n}" for n in range(case.followers)]
        self.processes = {name: Process(self, name, 1 + self.luck.uniform(-case.drift, case.drift))
                          for name in names}
        self.broken: list[str] = []
        self.messages: dict[str, list[int]] = {}  # by sender: how many, bytes
        self.first: dict[int, int] = {}  # by index: when somebody first acted on it
        self.leaders: dict[int, str] = {}  # by term
        self.states: dict[int, bytes] = {}  # of all, after each index that somebody stopped at
        self.published: dict[int, int] = {}  # by the index of a count: that of its publish
        self.most_heard, self.longest = 0, 0
        self.outcomes: dict[str, Published] = {}
        self.asked: dict[str, tuple[int, int]] = {}  # by call: when, and how often
        self.held: dict[str, tuple[int, int]] = {}  # what each acted on at the last look, and until when
        self.calls = 0

    # --- the world ---

    def make(self, process: Process) -> Member:
        voter, follower = self.kinds
        seed = self.luck.randrange(1 << 62)
        now, life = process.clock(), self.luck.randrange(1 << 40)
        if process.name in self.voters:
            stored = msgspec.msgpack.decode(msgspec.msgpack.encode(process.stored), type=Stored)
            return voter(process.name, stored, {v: "" for v in self.voters}, self.timing, now, seed, life,
                         process.folder, lambda doc, text: "", grades("safe"))
        return follower(process.name, self.voters, self.timing, now, seed, life)

    def disk(self, name: str) -> int:
        for trouble in self._troubles("disk"):
            if trouble.at == name:
                return trouble.end - self.time.now
        return self.luck.randrange(*self.case.disk)

    def _troubles(self, kind: str) -> list[Trouble]:
        return [t for t in self.case.troubles if t.kind == kind and t.begin <= self.time.now < t.end]

    def post(self, sender: Process, to: str, message: Message) -> None:
        tally = self.messages.setdefault(sender.name, [0, 0])
        tally[0] += 1
        tally[1] += len(msgspec.msgpack.encode(message)) + 4
        for trouble in self._troubles("loss"):
            if trouble.at in ("", sender.name) and trouble.to in ("", to) \
                    and self.luck.random() < trouble.much:
                return
        wait = self.case.way + self.luck.randrange(self.case.way + 1)
        for trouble in self._troubles("delay"):
            if trouble.at in ("", sender.name) and trouble.to in ("", to):
                wait += self.luck.randrange(int(trouble.much) + 1)
        for trouble in self._troubles("double"):
            if self.luck.random() < trouble.much:
                again = wait + self.luck.randrange(5000)
                self.time.after(again, lambda: self._arrive(sender.name, to, message))
        self.time.after(wait, lambda: self._arrive(sender.name, to, message))

    def _arrive(self, sender: str, to: str, message: Message) -> None:
        process, folder = self.processes.get(to), self.processes[sender].folder
        if process and isinstance(process.member, Voter) and sender in self.voters \
                and process.member.admits(sender, folder):
            return
        if process:
            process.act(lambda member, now: member.received(now, sender, message))  # type: ignore[attr-defined]

    def run(self) -> "Fleet":
        for process in self.processes.values():
            self.time.after(self.luck.randrange(2000), process.begin)
        for trouble in self.case.troubles:
            if trouble.kind in ("kill", "wipe"):
                process = self.processes[trouble.at]
                self.time.after(trouble.begin, process.kill if trouble.kind == "kill" else process.wipe)
                self.time.after(trouble.end, self.processes[trouble.at].begin)
            elif trouble.kind == "pause":
                self.time.after(trouble.begin, lambda t=trouble: self._pause(t))  # type: ignore[misc]
        end = int(self.case.seconds * 10_000)
        self.time.after(int(self.case.publish_every * 10_000), self._operator)
        if self.case.load:
            self.time.after(5000, self._unit)
        self.time.run(end)
        self._end()
        return self

    def _pause(self, trouble: Trouble) -> None:
        self.processes[trouble.at].paused_until = trouble.end

    # --- operators and units ---

    def _operator(self) -> None:
        self.time.after(int(self.luck.expovariate(1 / self.case.publish_every) * 10_000) + 1, self._operator)
        process = self.luck.choice(list(self.processes.values()))
        if process.member is None or not process.up or self.time.now > self.case.publish_until * 10_000:
            return
        self.calls += 1
        call = f"c{self.calls}"
        doc = DEAL if self.case.deals and self.luck.random() < 0.6 else SETTINGS
        if self.case.limits and self.luck.random() < 0.3:
            doc = LIMITS
        text: dict[str, Any]
        if doc == DEAL:
            names = list(self.processes)
            cuts = sorted(self.luck.randrange(WHOLE + 1) for _ in names[1:])
            parts = [b - a for a, b in zip([0, *cuts], [*cuts, WHOLE], strict=True)]
            text = {"shares": {"all": dict(zip(names, parts, strict=True))}}
        elif doc == LIMITS:
            text = {"limits": {"all": self.luck.choice((WHOLE, WHOLE // 2))}}
        else:
            text = grades(self.luck.choice(EFFECTS))
        latest = process.member.docs.doc(doc).latest()
        data = {"doc": doc, "made_from": latest, "author": "o", "reason": "r", "at": 0, "text": text}
        for again in range(self.luck.choice((1, 1, 2))):  # the answer may be lost, and it is asked for again
            self.time.after(again * 4000, lambda: self._ask(process.name, call, data))

    def _ask(self, name: str, call: str, data: dict[str, Any]) -> None:
        when, often = self.asked.get(call, (self.time.now, 0))
        self.asked[call] = when, often + 1
        self.processes[name].act(
            lambda member, now: member.publish(now, call, "publish", data))  # type: ignore[attr-defined]

    def answered(self, told: Published) -> None:
        before = self.outcomes.get(told.call)
        if before and before.well and not told.well and told.number:
            self._break(f"{told.call} was confirmed, then refused")
        if not before or told.well:
            self.outcomes[told.call] = told

    def share(self, process: Process) -> int | None:
        deal = process.member.acting(DEAL) if process.member else None
        parts = (deal or {}).get("shares", {}).get("all")
        return None if parts is None else int(parts.get(process.name, 0))

    def _counts(self, process: Process) -> bool:
        """Whether a deal counts there: a first one binds all from then on."""
        if process.member is None:
            return False
        doc = process.member.docs.doc(DEAL)
        version = doc.find(doc.counts)
        return version is not None and "all" in version.text["shares"]

    def dealt(self) -> int:
        """How many deals there were."""
        return max((p.member.docs.doc(DEAL).latest() for p in self.processes.values() if p.member), default=0)

    def _unit(self) -> None:
        """Each takes what its share lets it, under the rules it acts on."""
        self.time.after(400, self._unit)
        now = self.time.now
        for process in self.processes.values():
            process.units = [end for end in process.units if end > now]
            if not process.up or now < process.paused_until or process.member is None \
                    or not process.member.holds(process.clock()):
                continue
            part = self.share(process)
            process.wanted = self.luck.randrange(WHOLE) if self.luck.random() < 0.01 else process.wanted
            if part is not None and len(process.units) < part:
                process.units.append(now + self.luck.randrange(500, CUT_OFF))
        if all(self._counts(p) for p in self.processes.values() if p.up):
            whole = sum(len(p.units) for p in self.processes.values())
            if whole > WHOLE:
                self._break(f"{whole} units in hand of {WHOLE} that are allowed to all")

    # --- what must hold ---

    def _break(self, what: str) -> None:
        if len(self.broken) < 20:
            self.broken.append(f"{self.time.now / 10_000:.3f} s: {what}")

    def look(self) -> None:
        now = self.time.now
        for name, (applied, until) in self.held.items():
            # It could have acted on this since the last look, for as long as its lease was.
            behind = [i for i in range(applied + 1, self.most_heard + 1) if i in self.first]
            if behind:
                late = min(until, now) - self.first[behind[0]]
                self.longest = max(self.longest, late)
                if late > self.case.stated:
                    self._break(f"{name} acts on {applied} {late / 10:.0f} ms after {behind[0]}")
        held = {}
        for name, process in self.processes.items():
            member = process.member
            if not process.up or member is None:
                continue
            if process.looked != (process.life, member.applied):
                process.looked = process.life, member.applied
                self._history(name, member)
            if isinstance(member, Voter) and member.raft.role == LEADING \
                    and self.leaders.setdefault(member.raft.term, name) != name:
                self._break(f"{name} and {self.leaders[member.raft.term]} lead in term {member.raft.term}")
            if member.holds(process.clock()):
                left = int((member.until - process.clock()) / process.rate)
                held[name] = member.applied, now + left
                if process.read != (process.life, member.applied):
                    process.read = process.life, member.applied
                    self._reads(name, member, process)
                for index in range(self.most_heard + 1, member.applied + 1):
                    self.first[index] = now
                self.most_heard = max(self.most_heard, member.applied)
        self.held = held
        least = min((applied for applied, _ in held.values()), default=self.most_heard)
        for count, publish in self.published.items():
            if count <= self.most_heard and least < publish:
                late_ones = [name for name, (applied, _) in held.items() if applied < publish]
                self._break(f"{late_ones} may act without having heard of {publish}, which counts")
        # What all have heard of is over.
        for index in [c for c, _ in self.published.items() if c <= least]:
            del self.published[index]

    def _history(self, name: str, member: Member) -> None:
        state = self.states.get(member.applied)
        if state is None:
            self.states[member.applied] = state = member.docs.state()
            for doc in member.docs.known.docs.values():
                for version in doc.versions:
                    if version.number == doc.counts and member.applied > version.index:
                        self.published.setdefault(member.applied, version.index)
        elif state != member.docs.state():
            self._break(f"{name} has another history up to {member.applied}")

    def _reads(self, name: str, member: Member, process: Process) -> None:
        for doc, (counts, _) in member.docs.versions().items():
            if counts < process.counts.get(doc, 0):
                self._break(f"{name} went back to version {counts} of {doc}")
            process.counts[doc] = counts

    def _end(self) -> None:
        newest = max((p.member for p in self.processes.values() if p.member), key=lambda m: m.applied,
                     default=None)
        if newest is None:
            return
        calls = newest.docs.known.calls
        for call, told in self.outcomes.items():
            made = calls.get(call)
            if told.well and (made is None or (made.number, made.index) != (told.number, told.index)):
                self._break(f"{call} was confirmed as {told.number} and is lost")
            if not told.well and told.number and made and made.well:
                self._break(f"{call} was refused and took effect")


def grades(effect: str) -> dict[str, Any]:
    grade = {"name": "g", "effect": effect, "cut-off": CUT_OFF * 100, "expected-time": 1000}
    return {"service-grades": [grade], "allowed": {"most-dispatches": 3}}


def schedule(seed: int, voters: int = 3, followers: int = 2, seconds: float = 12.0,
             deals: bool = False, limits: bool = False) -> Case:
    """A case with troubles drawn by the seed, the last two seconds without."""
    luck = Random(f"schedule {seed}")
    names = [f"v{n}" for n in range(voters)] + [f"f{n}" for n in range(followers)]
    troubles = []
    end = int((seconds - 2) * 10_000)
    for _ in range(luck.randrange(2, 9)):
        kind = luck.choice(("loss", "loss", "cut", "cut", "delay", "double", "pause", "pause", "kill", "kill",
                            "disk", "all"))
        begin = luck.randrange(5000, end)
        until = min(begin + luck.choice((20, 300, 1000, 5000, 15_000, 30_000)), end + 1)
        at, to = luck.choice(names), luck.choice(names)
        if kind == "loss":
            troubles.append(Trouble(kind, begin, until, much=luck.choice((0.05, 0.3, 0.6))))
        elif kind == "cut":
            troubles.append(Trouble("loss", begin, until, at, luck.choice((to, ""))))
            if luck.random() < 0.5:
                troubles.append(Trouble("loss", begin, until, luck.choice((to, "")), at))
        elif kind == "delay":
            troubles.append(Trouble(kind, begin, until, much=luck.choice((100, 2000, 8000))))
        elif kind == "double":
            troubles.append(Trouble(kind, begin, until, much=0.3))
        elif kind == "all":
            troubles += [Trouble("kill", begin, until + luck.randrange(3000), name)
                         for name in names[:voters]]
        elif kind == "disk":
            troubles.append(Trouble(kind, begin, until, luck.choice(names[:voters])))
        else:
            troubles.append(Trouble(kind, begin, until, at))
    return Case(voters, followers, seconds, seed, troubles=_apart(troubles), deals=deals, limits=limits)


def _apart(troubles: Sequence[Trouble]) -> tuple[Trouble, ...]:
    """One that is dead is not killed again."""
    kept: list[Trouble] = []
    for trouble in troubles:
        if trouble.kind == "kill" and any(t.kind == "kill" and t.at == trouble.at and t.begin <= trouble.end
                                          and trouble.begin <= t.end for t in kept):
            continue
        kept.append(trouble)
    return tuple(kept)
