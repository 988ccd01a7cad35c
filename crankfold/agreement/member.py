"""A member of the fleet: what it has heard, and until when it may act on it.

Leases come down a tree: a leader that has just heard a majority, the other voters, the followers of each.
None lasts longer than the one above it. Whoever is asked counts from his answer on and a little longer, who
asks from his question on: so each knows of every lease below him that still runs. `docs/bound.md` has the
argument; every rule of it stands here and in `raft.py`.
"""

from collections.abc import Callable
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field

from crankfold.agreement.documents import MACHINES, Documents, Outcome, folders
from crankfold.agreement.raft import LEADING, Batch, Raft, Stored
from crankfold.agreement.strict import DEAL, DOCUMENTS, LIMITS, SETTINGS
from crankfold.agreement.words import (
    Ask,
    Check,
    Checked,
    Follow,
    Goodbye,
    Grant,
    Kept,
    Message,
    News,
    Publish,
    Published,
    Refused,
    Roster,
    Tell,
    Timing,
    Warded,
)

COMPACT_AT, MOST_NEWS = 256, 200
THERE, SUSPECTED, CUT_OFF, LEFT = "there", "suspected", "cut off", "left"
ROSTER_EVERY = 5  # renewals
DEAD_KEPT = 8


class Lives:
    """Of each name which process speaks for it. One that was replaced speaks for it no more."""

    def __init__(self) -> None:
        self.now: dict[str, int] = {}
        self.dead: dict[str, list[int]] = {}

    def speaks(self, name: str, incarnation: int) -> bool:
        """Also makes it the present one, if it is new."""
        if incarnation in self.dead.get(name, ()):
            return False
        before = self.now.get(name)
        if before is not None and before != incarnation:
            dead = self.dead.setdefault(name, [])
            dead.append(before)
            del dead[:-DEAD_KEPT]
        self.now[name] = incarnation
        return True


class Ward(Struct):
    """Whoever holds a lease from us."""

    incarnation: int
    since: int
    heard: int
    asked: int
    until: int = 0  # by our clock; his own ends before
    have: int = 0
    settled: int = 0
    left: bool = False
    carry: dict[str, int] = field(default_factory=dict)
    tell: Tell | None = None
    mute: int = 0  # units of a process before this one may run on until then


class Report(Struct):
    """What a voter told the leader last."""

    incarnation: int
    asked: int
    least: int
    settled: int
    drained: int
    tell: Tell | None
    heard: int


def dealt(limits: dict[str, int], carries: dict[str, dict[str, int]]) -> dict[str, dict[str, int]]:
    """Of each limit every member's share, by what it carries and a little more; together the whole."""
    shares: dict[str, dict[str, int]] = {}
    for limit, whole in limits.items():
        weights = {name: carry.get(limit, 0) + 1 for name, carry in sorted(carries.items())}
        total = sum(weights.values())
        parts = {name: whole * weight // total for name, weight in weights.items()}
        left = whole - sum(parts.values())
        for name in sorted(parts, key=lambda name: (-(whole * weights[name] % total), name))[:left]:
            parts[name] += 1
        shares[limit] = parts
    return shares


class Member:
    def __init__(self, me: str, timing: Timing, now: int, incarnation: int) -> None:
        self.me, self.timing, self.born, self.incarnation = me, timing, now, incarnation
        self.docs, self.applied, self.until = Documents(), 0, now
        self.changed: set[str] = set()  # documents that read otherwise since the owner looked
        self.settled_at: Callable[[int], int] = lambda applied: applied
        self.carry: Callable[[], dict[str, int]] = dict
        self.tell: Callable[[], Tell | None] = lambda: None
        self.heard_by_all = 0  # up to here all act that may act
        self.told: list[Published] = []  # answers to what was asked for here
        self.refused = ""

    def holds(self, now: int) -> bool:
        """Whether it may act on what it has heard. To be asked at each act, as a process may stand still."""
        return now < self.until

    def acting(self, doc: str) -> dict[str, Any] | None:
        return self.docs.acting(doc)

    def _restart_from(self, kept: Kept) -> None:
        self.docs, self.applied = Documents(kept.state), kept.index
        self.changed.update((*DOCUMENTS, MACHINES))


class Voter(Member):
    def __init__(self, me: str, stored: Stored, voters: dict[str, str], timing: Timing, now: int, seed: int,
                 incarnation: int, folder: str, check: Callable[[str, dict[str, Any]], str],
                 beginning: dict[str, Any] | None = None) -> None:
        super().__init__(me, timing, now, incarnation)
        self.raft = Raft(me, stored, voters, timing, now, seed)
        self.check, self.beginning, self.folder = check, beginning, folder
        self._restart_from(self.raft.base)
        self.lives = Lives()
        self.folders = {me: folder}  # as voters showed them
        self.raft.may_vote = self._may_vote
        self.raft.folders_of = lambda names: {one: self.folders[one] for one in names & self.folders.keys()}
        self.wards: dict[str, Ward] = {}
        self.ask_at, self.roster_at = now, now
        self.elsewhere: dict[str, list[Warded]] = {}  # by voter, as it told last
        self.rosters: dict[str, int] = {}  # and when
        # While leading: by voter until when its lease can last, and the newest of what it told.
        self.led = 0
        self.granted: dict[str, int] = {}
        self.reports: dict[str, Report] = {}
        # Who leads asks it for the next steps of machines that are out for work.
        self.foreman: Callable[[int], list[dict[str, Any]]] | None = None
        self.steps_at = now
        self.counting: set[tuple[str, int]] = set()
        self.checks: dict[str, tuple[Publish, set[str], int]] = {}
        self.asked_by: dict[str, str] = {}  # of a call: who waits for its outcome, "" for ourselves

    # --- time and disk ---

    def leads(self) -> bool:
        """With all that was agreed before known here."""
        return self.raft.role == LEADING and self.raft.commit >= self.raft.first_of_term

    def next_at(self) -> int:
        return min(self.raft.next_at(), self.ask_at, self.roster_at,
                   self.steps_at if self.foreman else self.roster_at)

    def tick(self, now: int) -> None:
        self.raft.tick(now)
        self._go_on(now)
        if now >= self.ask_at:
            self._ask(now)
        if now >= self.roster_at:
            self._tell_roster(now)
        if self.foreman and now >= self.steps_at:
            self.steps_at = now + self.timing.renew
            steps = self.foreman(now)
            if steps and self.leads():
                self.raft.propose(now, "step", {"steps": steps})

    def take(self, now: int) -> Batch:
        return self.raft.take(now)

    def take_early(self) -> list[tuple[str, Message]]:
        return self.raft.take_early()

    def kept(self, now: int, batch: Batch) -> None:
        self.raft.kept(now, batch)
        self._go_on(now)

    def _go_on(self, now: int) -> None:
        """After anything that happened: what is agreed by now is acted on, and what follows from it."""
        raft = self.raft
        if raft.role == LEADING and raft.term != self.led:
            self.led = raft.term
            self.granted, self.reports, self.counting, self.checks = {}, {}, set(), {}
        new = raft.commit > self.applied
        if self.applied < raft.base.index:
            self._restart_from(raft.base)
        for entry in raft.between(self.applied, raft.commit):
            self.applied += 1
            doc = self.docs.apply(self.applied, entry)
            if doc:
                self.changed.add(doc)
            if entry.kind in ("publish", "step"):
                self._answer(entry.data.get("call", ""))
        if self.leads():
            if raft.majority_at() >= 0:
                self.until = max(self.until, raft.majority_at() + self.timing.lease)
            self._begin(now)
            self._count(now)
        self.heard_by_all = raft.heard
        if new:
            self.steps_at = now  # what follows from it is looked for at once
            for name, ward in self.wards.items():
                if ward.heard + self.timing.renew * 3 > now and not ward.left:
                    self._tell_news(now, name, ward, 0)
            self._ask(now)
            if self.applied - raft.base.index >= COMPACT_AT and raft.durable >= self.applied:
                raft.compact(self.applied, self.docs.state())

    # --- leases from the leader ---

    def _ask(self, now: int) -> None:
        self.ask_at = now + self.timing.renew
        if self.raft.leader and self.raft.leader != self.me:
            least, settled = self.least(now)
            drained, tell = self.drained(now)
            self.raft._say(self.raft.leader, Ask(self.raft.term, self.incarnation, now, least, settled,
                                                 drained, tell))

    def least(self, now: int) -> tuple[int, int]:
        """Up to where all act that hold a lease from here, and up to where their units keep to it."""
        linger = self.docs.linger()
        least = settled = self.applied
        settled = min(settled, self.settled_at(self.applied))
        for ward in self.wards.values():
            if now < ward.until:
                least = min(least, ward.have)
            if now < ward.until + linger:
                settled = min(settled, ward.settled)
        # A process that was here before us gave leases of which nothing is known.
        if now < self.born + self.timing.outlast:
            least = 0
        if now < self.born + self.timing.outlast + linger:
            settled = 0
        return least, settled

    def drained(self, now: int) -> tuple[int, Tell | None]:
        """Up to where all had heard that hold a lease from here, or whose units may still run, when they told
        what is gathered here."""
        own, linger = self.tell(), self.docs.linger()
        if own is None:
            return 0, None
        upto = self.applied
        for ward in self.wards.values():
            if now < ward.until + linger:
                upto = min(upto, ward.have if ward.tell and now >= ward.mute else 0)
                if ward.tell:
                    own.add(ward.tell, now < ward.until)
        if now < self.born + self.timing.outlast + linger:
            upto = 0  # of the leases of a process before us nothing is known
        return upto, own

    def gathered(self, now: int) -> tuple[Tell, Callable[[str, int], str]]:
        """What everybody that is heard has to say of machines, put together; and who may still send to one
        that is out by an entry, or holds units there. Nobody's silence is consent before his lease is over
        and his longest unit with it."""
        linger = self.docs.linger()
        parts = [(self.me, *self.drained(now))]
        parts += [(voter, self.reports[voter].drained, self.reports[voter].tell)
                  for voter, until in sorted(self.granted.items()) if now < until + linger]
        whole = Tell()
        for voter, _, tell in parts:
            if tell:
                whole.add(tell, voter == self.me or now < self.granted[voter])
        early = now < self.raft.led_since + self.timing.outlast + linger

        def holders(uid: str, index: int) -> str:
            if early:
                return "leases from before the last change of leader, and their units, may not be over"
            for voter, upto, tell in parts:
                if upto < index or tell is None:
                    return f"{voter} or one that follows it has not said yet that it has heard"
                if uid in tell.holds:
                    return f"{tell.holds[uid]} units there, of {voter} or those that follow it"
            return ""

        return whole, holders

    def _asked(self, now: int, sender: str, ask: Ask) -> None:
        if not self.leads() or ask.term != self.raft.term or not self.lives.speaks(sender, ask.incarnation):
            return
        before = self.reports.get(sender)
        if before and before.incarnation == ask.incarnation and ask.asked < before.asked:
            return  # overtaken
        self.reports[sender] = Report(ask.incarnation, ask.asked, ask.least, ask.settled, ask.drained,
                                      ask.tell, now)
        span = self.raft.majority_at() + self.timing.lease - now if self.raft.majority_at() >= 0 else 0
        if span > 0:
            self.granted[sender] = max(self.granted.get(sender, 0), now + span * 103 // 100)
            self.raft._say(sender, Grant(ask.term, ask.asked, span, self.raft.commit))
        self._count(now)

    def _granted(self, now: int, sender: str, grant: Grant) -> None:
        # One that was asked for in an earlier life was for what that life had heard.
        if grant.term == self.raft.term and grant.asked >= self.born and self.applied >= grant.need:
            self.until = max(self.until, grant.asked + grant.span)

    # --- when a version counts ---

    def _begin(self, now: int) -> None:
        raft, none = self.raft, not self.docs.doc(SETTINGS).versions
        if self.beginning is not None and none and ("", 0) not in self.counting:
            self.counting.add(("", 0))
            raft.propose(now, "publish", {"call": "begin", "doc": SETTINGS, "made_from": 0, "author": self.me,
                                          "reason": "what the fleet begins with", "at": 0,
                                          "text": self.beginning})
        for name, folder in self.folders.items():
            if name in raft.voters and name not in self.docs.known.voters and (name, 0) not in self.counting:
                self.counting.add((name, 0))
                raft.propose(now, "folder", {"voter": name, "folder": folder})

    def _count(self, now: int) -> None:
        """A version counts once all that may act have heard of it; earlier leaders' leases run out first."""
        wait = self.raft.led_since + self.timing.outlast
        if now < wait:
            return
        linger = self.docs.linger()
        live = [self.reports[voter].least for voter, until in self.granted.items() if now < until]
        self.raft.heard = max(self.raft.heard, min([self.least(now)[0], *live]))
        for name, version in self.docs.waits():
            if (name, version.number) in self.counting:
                continue
            more = linger if name == DEAL else 0
            heard = [self.least(now)[name == DEAL]]
            heard += [report.settled if name == DEAL else report.least for voter, report in
                      self.reports.items() if now < self.granted.get(voter, 0) + more]
            if now >= wait + more and min(heard) >= version.index:
                self.counting.add((name, version.number))
                self.raft.propose(now, "count", {"doc": name, "number": version.number})

    # --- followers ---

    def admits(self, voter: str, folder: str) -> str:
        """Why this one may not vote under that name, or nothing."""
        if self._registered().get(voter, folder) != folder:
            return f"{voter} is known by another folder; take the voter out and add it anew"
        self.folders[voter] = folder
        return ""

    def _registered(self) -> dict[str, str]:
        """By all of the log: after a start nobody knows yet how much of it is agreed."""
        known = self.docs.known.voters
        for entry in self.raft.between(self.applied, self.raft.last()):
            known = folders(known, entry)
        return known

    def _may_vote(self, last: int) -> bool:
        """Whoever lost his folder has forgotten what he answered for, and must not vote under his old name.
        He may who is registered by his folder, who voted before there was a history, or while there is none.
        """
        known = self._registered().get(self.me)
        founds = self.raft.founded or last == 0 and self.raft.last() == 0
        return known == self.folder if known else founds

    def _follow(self, now: int, sender: str, ask: Follow) -> None:
        ward = self.wards.get(ask.name)
        if ward and ward.incarnation != ask.incarnation and now < ward.until and not ward.left:
            self.raft._say(sender, Refused(f"the name {ask.name} is in use by another process"))
            return
        if ask.name in self.raft.voters or self._held_elsewhere(ask):
            self.raft._say(sender, Refused(f"the name {ask.name} is in use elsewhere"))
            return
        if not self.lives.speaks(ask.name, ask.incarnation):
            self.raft._say(sender, Refused(f"another process has taken the name {ask.name} over"))
            return
        if ward is None or ward.incarnation != ask.incarnation:
            old = ward
            ward = self.wards[ask.name] = Ward(ask.incarnation, now, now, ask.asked)
            if old and now < old.until + self.docs.linger():
                ward.settled, ward.have = min(old.settled, ask.settled), ask.have  # its units may run on
                ward.mute = old.until + self.docs.linger()
        if ask.asked < ward.asked:
            return
        ward.heard, ward.asked, ward.left = now, ask.asked, False
        ward.have, ward.settled, ward.carry, ward.tell = ask.have, ask.settled, ask.carry, ask.tell
        self._tell_news(now, ask.name, ward, ask.asked)

    def _held_elsewhere(self, ask: Follow) -> bool:
        return any(one.name == ask.name and one.incarnation != ask.incarnation and one.state == THERE
                   for wards in self.elsewhere.values() for one in wards)

    def _tell_news(self, now: int, name: str, ward: Ward, asked: int) -> None:
        raft = self.raft
        kept = raft.base if ward.have < raft.base.index else None
        before = kept.index if kept else ward.have
        entries = raft.between(before, min(self.applied, before + MOST_NEWS))
        span = 0
        if asked and self.holds(now) and before + len(entries) == self.applied:
            span = self.until - now
            ward.until = max(ward.until, now + span * 103 // 100)
        raft._say(name, News(asked, span, before, kept, entries, self.applied, raft.heard))

    def state_of(self, now: int, ward: Ward) -> str:
        if ward.left:
            return LEFT
        if now - ward.heard < 3 * self.timing.renew:
            return THERE
        return SUSPECTED if now < ward.until else CUT_OFF

    def _tell_roster(self, now: int) -> None:
        self.roster_at = now + ROSTER_EVERY * self.timing.renew
        for voter in [v for v, at in self.rosters.items() if now - at > 3 * ROSTER_EVERY * self.timing.renew]:
            del self.rosters[voter], self.elsewhere[voter]  # its wards have turned to others by now
        wards = [Warded(name, ward.incarnation, now - ward.since, ward.have, self.state_of(now, ward),
                        ward.carry) for name, ward in self.wards.items()]
        wards.append(Warded(self.me, self.incarnation, now - self.born, self.applied, THERE, self.carry()))
        if self.leads():
            self._deal(now, wards)
        for voter in self.raft.voters:
            if voter != self.me:
                self.raft._say(voter, Roster(wards))
        for name, ward in list(self.wards.items()):
            if now > ward.until + self.docs.linger() + 60 * self.timing.lease:
                del self.wards[name]  # long gone

    def _deal(self, now: int, own: list[Warded]) -> None:
        """Limits for the whole fleet, dealt out by what each carries. Anew where somebody came or went, or
        one has nothing left while another has, and not before the last deal counts."""
        limits = (self.docs.acting(LIMITS) or {}).get("limits", {})
        deals = self.docs.doc(DEAL)
        if deals.on_the_way() or not self.docs.doc(LIMITS).versions:
            return
        there = [one for wards in (own, *self.elsewhere.values()) for one in wards if one.state == THERE]
        carries = {one.name: one.carry for one in there}
        new, old = dealt(limits, carries), deals.versions[-1].text["shares"] if deals.versions else {}
        same = old.keys() == new.keys() and all(
            old[limit].keys() == new[limit].keys() and sum(old[limit].values()) == whole
            for limit, whole in limits.items())
        moved = any(carries[name].get(limit, 0) >= part and 10 * (new[limit][name] - part) > limits[limit]
                    for limit, parts in old.items() if same for name, part in parts.items())
        if not same or moved:
            self.raft.propose(now, "publish", {
                "call": f"deal {self.raft.term} {self.raft.last()}", "doc": DEAL, "made_from": deals.latest(),
                "author": self.me, "reason": "dealt by what each carries", "at": 0, "text": {"shares": new}})

    # --- publishing ---

    def publish(self, now: int, call: str, kind: str, data: dict[str, Any]) -> None:
        """Asks for something to be agreed; the outcome comes in `told`. The same call may be asked again."""
        self._publish(now, "", Publish(call, kind, data))
        self._go_on(now)

    def _publish(self, now: int, sender: str, ask: Publish) -> None:
        if self.raft.role != LEADING:
            if self.raft.leader:
                self.asked_by[ask.call] = sender
                self.raft._say(self.raft.leader, ask)
            else:
                self._tell(sender, Published(ask.call, False, "there is no leader", 0, 0))
            return
        self.asked_by[ask.call] = sender
        if ask.kind == "voters":
            voters = ask.data.get("voters")
            why = self.raft.change_voters(now, voters) if isinstance(voters, dict) else "no voters"
            self._tell(sender, Published(ask.call, not why, why, 0, self.raft.last()))
        elif ask.call in self.docs.known.calls:
            self._answer(ask.call)
        elif ask.kind == "step":
            self.raft.propose(now, "step", {**ask.data, "call": ask.call})
        elif ask.call in self.checks:
            self._ask_checks(ask)  # those that went out may be lost, as well as their answers
        else:
            fault = unfit(ask) or self.check(ask.data["doc"], ask.data["text"])
            if fault:
                self._tell(sender, Published(ask.call, False, f"{self.me}: {fault}", 0, 0))
                return
            self.checks[ask.call] = ask, {self.me}, now
            self._ask_checks(ask)
            self._all_checked(now, ask.call)
        for call, (_, _, since) in list(self.checks.items()):
            if now - since > 20 * self.timing.stated:
                del self.checks[call]

    def _ask_checks(self, ask: Publish) -> None:
        for voter in sorted(self.raft.voters.keys() - self.checks[ask.call][1]):
            self.raft._say(voter, Check(ask.call, ask.data["doc"], ask.data["text"]))

    def _checked(self, now: int, sender: str, told: Checked) -> None:
        if told.call not in self.checks:
            return
        ask, yes, _ = self.checks[told.call]
        if told.fault:
            del self.checks[told.call]
            self._tell(self.asked_by.get(told.call, ""),
                       Published(told.call, False, f"{sender}: {told.fault}", 0, 0))
            return
        yes.add(sender)
        self._all_checked(now, told.call)

    def _all_checked(self, now: int, call: str) -> None:
        """A majority is enough: who can't be reached now would check it when it is too late."""
        ask, yes, _ = self.checks[call]
        if self.raft.role == LEADING and 2 * len(yes & self.raft.voters.keys()) > len(self.raft.voters):
            del self.checks[call]
            self.raft.propose(now, "publish", {**ask.data, "call": call})

    def _answer(self, call: str) -> None:
        made = self.docs.known.calls.get(call)
        if made and call in self.asked_by:
            self._tell(self.asked_by.pop(call), told_of(call, made))

    def _tell(self, to: str, told: Published) -> None:
        if to:
            self.raft._say(to, told)
        else:
            self.told.append(told)

    # --- messages ---

    def received(self, now: int, sender: str, told: Message) -> None:
        if isinstance(told, Ask):
            self._asked(now, sender, told)
        elif isinstance(told, Grant):
            self._granted(now, sender, told)
        elif isinstance(told, Follow):
            self._follow(now, sender, told)
        elif isinstance(told, Publish):
            self._publish(now, sender, told)
        elif isinstance(told, Published):
            if told.call in self.asked_by:
                self._tell(self.asked_by.pop(told.call), told)
        elif isinstance(told, Check):
            self.raft._say(sender, Checked(told.call, self.check(told.doc, told.text)))
        elif isinstance(told, Checked):
            self._checked(now, sender, told)
        elif isinstance(told, Roster):
            self.elsewhere[sender], self.rosters[sender] = told.wards, now
        elif isinstance(told, Goodbye):
            ward = self.wards.get(told.name)
            if ward and ward.incarnation == told.incarnation:
                ward.left, ward.until = True, now
        elif isinstance(told, Refused):
            self.refused = told.why
        else:
            self.raft.received(now, sender, told)
        self._go_on(now)


class Wanted(Struct):
    """What an operator has to say of a version."""

    doc: Literal["settings", "runners-out", "runners-never", "limits", "deal", "works"]
    made_from: Annotated[int, Meta(ge=0)]
    author: Annotated[str, Meta(max_length=200)]
    reason: Annotated[str, Meta(max_length=2000)]
    at: int
    text: dict[str, Any]


def unfit(ask: Publish) -> str:
    try:
        msgspec.convert(ask.data, Wanted)
    except msgspec.ValidationError as wrong:
        return str(wrong)
    return f"no way to agree on {ask.kind!r}" if ask.kind != "publish" else ""


def told_of(call: str, made: Outcome) -> Published:
    return Published(call, made.well, made.text, made.number, made.index)


class Follower(Member):
    """Takes what was agreed from a voter, and from another one when it fails."""

    def __init__(self, me: str, voters: list[str], timing: Timing, now: int, seed: int,
                 incarnation: int) -> None:
        super().__init__(me, timing, now, incarnation)
        self.voters, self.luck = sorted(voters), seed & 0xFFFFFFFFFFFFFFFF
        self.voter = self.voters[self._draw(len(self.voters))]
        self.send: list[tuple[str, Message]] = []
        self.heard = now
        self.ask_at = now + self._draw(timing.renew)
        self.calls: dict[str, Publish] = {}

    def _draw(self, below: int) -> int:
        self.luck = (self.luck * 6364136223846793005 + 1442695040888963407) & 0xFFFFFFFFFFFFFFFF
        return ((self.luck >> 33) * below) >> 31

    def next_at(self) -> int:
        return self.ask_at

    def take(self, now: int) -> Batch:
        return Batch(0, "")

    def take_early(self) -> list[tuple[str, Message]]:
        send, self.send = self.send, []
        return send

    def kept(self, now: int, batch: Batch) -> None:
        """Nothing of it lasts."""

    def tick(self, now: int) -> None:
        if now < self.ask_at:
            return
        if now - self.heard > 3 * self.timing.renew:
            self._turn(now)
        else:
            self._ask(now)

    def _turn(self, now: int) -> None:
        """To another voter, drawn, and not at once: all that lost the same one would fall on the next."""
        others = [v for v in self.voters if v != self.voter] or self.voters
        self.voter = others[self._draw(len(others))]
        self.heard = now
        self.ask_at = now + self._draw(self.timing.renew)

    def _ask(self, now: int) -> None:
        self.ask_at = now + self.timing.renew * 3 // 4 + self._draw(self.timing.renew // 2)
        self.send.append((self.voter, Follow(self.me, self.incarnation, now, self.applied,
                                             self.settled_at(self.applied), self.carry(), self.tell())))

    def publish(self, now: int, call: str, kind: str, data: dict[str, Any]) -> None:
        self.send.append((self.voter, Publish(call, kind, data)))

    def leave(self, now: int) -> None:
        self.until = min(self.until, now)
        self.send.append((self.voter, Goodbye(self.me, self.incarnation)))

    def received(self, now: int, sender: str, told: Message) -> None:
        if isinstance(told, Published):
            self.told.append(told)
        elif isinstance(told, Refused):
            self.refused, self.heard = told.why, now
        elif isinstance(told, News):
            self._news(now, sender, told)

    def _news(self, now: int, sender: str, told: News) -> None:
        if sender == self.voter:
            self.heard = now
        self.refused = ""
        before = self.applied
        self.heard_by_all = max(self.heard_by_all, told.heard)
        if told.kept and told.kept.index > self.applied:
            self._restart_from(told.kept)
        if told.before <= self.applied:
            for entry in told.entries[self.applied - told.before:]:
                self.applied += 1
                doc = self.docs.apply(self.applied, entry)
                if doc:
                    self.changed.add(doc)
        if told.span and told.asked >= self.born and self.applied >= told.at:
            self.until = max(self.until, told.asked + told.span)
        if self.applied > before or self.applied < told.at:
            self._ask(now)  # who publishes waits for us to have heard
