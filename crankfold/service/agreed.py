"""What the fleet agreed on, laid over a dispatcher's own file. Not imported unless there are peers."""

import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, TextIO

import msgspec
import orjson
from msgspec import Meta, Struct, field, structs

from crankfold.agreement.documents import MACHINES
from crankfold.agreement.member import Voter
from crankfold.agreement.strict import DEAL, DOCUMENTS, LIMITS, NEVER, OUT, SETTINGS, WORKS
from crankfold.dispatch.interface import StandingOrders
from crankfold.network.tally import Tally
from crankfold.orders import form
from crankfold.orders.reader import AT_ONCE, HouseRules, from_nested, house_rules, standing_orders
from crankfold.peers.peer import Peer, Unfit, place, read
from crankfold.service.desk import Desk
from crankfold.service.operations import Operations
from crankfold.service.shares import Shares

if TYPE_CHECKING:
    from crankfold.service.works import Works

PUBLISH_WITHIN, MOST_WAIT, KNOWN_WITHIN = 10.0, 60.0, 2.0
OK, REFUSED, UNFIT, UNKNOWN, MISSING = 200, 409, 400, 504, 404


class Asked(Struct, rename="kebab", forbid_unknown_fields=True):
    """What an operator hands in with a version."""

    call: str
    made_from: int
    text: dict[str, Any]
    author: str = ""
    reason: str = ""
    wait: float = 0.0


class Change(Struct, forbid_unknown_fields=True):
    """Of the voters, one at a time."""

    call: str
    add: dict[str, str] = field(default_factory=dict)
    remove: str = ""


class Limited(Struct, forbid_unknown_fields=True):
    limits: dict[str, Annotated[int, Meta(ge=0)]] = field(default_factory=dict)


class Listed(Struct, forbid_unknown_fields=True):
    runners: dict[str, str] = field(default_factory=dict)  # by id, why


def shared(settings: dict[str, Any]) -> dict[str, Any]:
    return {name: settings[name] for name in AT_ONCE if name in settings}


class Agreed:
    def __init__(self, given: dict[str, Any], tally: Tally, desk: Desk, operations: Operations,
                 renewed: Callable[[StandingOrders, HouseRules], None],
                 list_age: Callable[[], int]) -> None:
        self.own, self.desk, self.operations, self.renewed = given["settings"], desk, operations, renewed
        self.tally, self.list_age = tally, list_age
        self.works: Works | None = None  # once some are handed in
        peers = read(given["peers"])
        self.goes_on = peers.when_cut_off == "go-on"
        form.check({name: part for name, part in given.items() if name != "peers"})
        self.acts_on: dict[str, Any] | None = None
        self.given, self.shares = peers, Shares()
        self.peer: Peer
        desk.hold, desk.ledger.let_go = self.shares.hold, self.shares.let_go
        self.was_cut_off = False
        self.told_steps = 0  # the entry up to which steps of machines are recorded
        desk.may_act = self.may_act
        self.out: TextIO | None = None
        if peers.record:
            # Until the process ends; "-" is standard output, on which nothing else is said.
            self.out = sys.stdout if peers.record == "-" else Path(peers.record).open("a")  # noqa: SIM115
            desk.record = self._record

    async def open(self, succeeds: bool) -> None:
        """With `succeeds` a process before this one is still there, under the same name."""
        try:
            self.peer = Peer(structs.replace(self.given, succeeds=succeeds), self.tally, self.check,
                             shared(self.own), self._changed, self.shares.carry, self._settled_at)
        except Unfit as wrong:
            raise ValueError(f"peers: {wrong}") from None
        await self.peer.open()
        self.operations.agreed = self  # not before: the door is open already, and there was nothing to ask

    def _works(self) -> "Works":
        if self.works is None:
            from crankfold.service import works  # nothing of it before works are handed in

            self.works = works.Works(self.desk, self.operations, self.peer, self.tally, self.list_age,
                                     self._lay_out)
        return self.works

    async def close(self) -> None:
        if self.works:
            self.works.close()
        await self.peer.close()

    # --- acting ---

    def may_act(self) -> bool:
        if self.acts_on is None:
            return False
        if self.peer.holds():
            self.was_cut_off = False
            return True
        if not self.was_cut_off:
            self.was_cut_off = True
            self.tally.say("peers", f"{self.peer.why_not()}; "
                           + ("goes on under the last rules" if self.goes_on else "takes nothing new"))
        if self.goes_on:
            self.tally.count("acted-while-cut-off")
        return self.goes_on

    def check(self, doc: str, text: dict[str, Any]) -> str:
        """Why a dispatcher could not use that document, with path, found and allowed; or nothing."""
        try:
            if doc == SETTINGS:
                for name in text:
                    if name not in AT_ONCE:
                        return f"settings.{name}: is each dispatcher's own; agreed are {', '.join(AT_ONCE)}"
                whole = {**self.own, **text}
                latest = self.peer.member.docs.doc(SETTINGS).versions
                running = {"settings": {**self.own, **latest[-1].text}} if latest else None
                form.check({"listen": "-", "discovery": "-", "settings": whole},
                           {"listen": "-", "discovery": "-", **running} if running else None)
                house_rules(from_nested(whole))
                standing_orders(from_nested(whole))
            elif doc in (OUT, NEVER):
                msgspec.convert(text, Listed)
            elif doc == WORKS:
                from crankfold.works import form as of_works

                versions = self.peer.member.docs.doc(WORKS).versions
                return of_works.fault(text, versions[-1].text if versions else {}, self._works().machines())
            elif doc == LIMITS:
                for name in msgspec.convert(text, Limited).limits:
                    if name != "all" and name.partition(":")[0] not in ("grade", "tenant"):
                        return f"limits.{name}: found {name!r}; all, grade:NAME or tenant:NAME"
            else:
                return f"{doc}: dealt by whoever leads, not by operators"
        except ValueError as wrong:
            return str(wrong)
        return ""

    def _changed(self, docs: set[str]) -> None:
        """At once, before anybody is told that we have heard."""
        member = self.peer.member
        text = member.acting(SETTINGS)
        if SETTINGS in docs and text is not None and text != self.acts_on:
            flat = from_nested({**self.own, **text})
            self.renewed(standing_orders(flat), house_rules(flat))
            self.acts_on = text
        if member.docs.doc(WORKS).versions or member.docs.known.ledger.machines:
            self._works()
        if OUT in docs or NEVER in docs or MACHINES in docs:
            self._lay_out()
        if self.works and (MACHINES in docs or WORKS in docs):
            self.works.changed()
        if DEAL in docs:
            dealt = (member.acting(DEAL) or {}).get("shares", {})
            self.shares.parts = {limit: parts.get(member.me, 0) for limit, parts in dealt.items()}
        self.tally.count("documents-changed")
        if self.out:
            self._record("rules", "", "")
            self._record_steps()

    def _lay_out(self) -> None:
        member = self.peer.member
        out = {uid for doc in (OUT, NEVER) for uid in (member.acting(doc) or {}).get("runners", {})}
        entries = self.desk.fleet.agree(out | self.works.out() if self.works else out)
        if entries:
            self.operations.changed(entries)

    def _settled_at(self, applied: int) -> int:
        """Units taken under a larger share hold their places until they are answered."""
        if self.shares.fit():
            return applied
        waits = [version.index for doc, version in self.peer.member.docs.waits() if doc == DEAL]
        return min([applied, *(index - 1 for index in waits)])

    def _record(self, what: str, unit: str, where: str) -> None:
        member = self.peer.member
        told: dict[str, Any] = {"at": time.clock_gettime_ns(time.CLOCK_BOOTTIME), "what": what, "unit": unit,
                                "where": where, "applied": member.applied, "versions": member.docs.versions()}
        if what == "rules":
            told["acting"] = {doc: member.acting(doc) for doc in (SETTINGS, OUT, NEVER, DEAL)}
        assert self.out is not None
        self.out.write(orjson.dumps(told).decode() + "\n")
        self.out.flush()

    def _record_steps(self) -> None:
        assert self.out is not None
        for step in self.peer.member.docs.known.ledger.steps:
            if step.index > self.told_steps:
                told = {"at": time.clock_gettime_ns(time.CLOCK_BOOTTIME), "what": "step",
                        **{"uid": step.uid, "work": step.work, "step": step.step, "index": step.index,
                           "by": step.by, "why": step.why}}
                self.out.write(orjson.dumps(told).decode() + "\n")
        self.told_steps = max(self.told_steps, self.peer.member.applied)
        self.out.flush()

    # --- operators ---

    def fleet(self) -> tuple[int, str]:
        return OK, orjson.dumps(self.peer.view()).decode()

    async def show(self, doc: str, least: int) -> tuple[int, str]:
        """Never older than what the reader says to have been told; where that is not known, it is said."""
        if doc == MACHINES:
            return OK, orjson.dumps(self._works().show()).decode()
        if doc not in DOCUMENTS:
            return MISSING, orjson.dumps({"text": f"there are {', '.join(DOCUMENTS)}"}).decode()
        if not await self.peer.until_known(doc, least, KNOWN_WITHIN):
            why = self.peer.why_not() or "it lags behind"
            text = f"version {least} of {doc} is not known here yet: {why}"
            return UNKNOWN, orjson.dumps({"text": text}).decode()
        known = self.peer.member.docs.doc(doc)
        told = {"doc": doc, "counts": known.counts, "newest": known.latest(), "acts": self.peer.holds(),
                "acting": self.peer.member.acting(doc),
                "versions": [structs.asdict(version) for version in known.versions]}
        return OK, orjson.dumps(told).decode()

    async def _voters(self, body: bytes) -> tuple[int, str]:
        try:
            asked = msgspec.json.decode(body, type=Change)
            for at in asked.add.values():
                place(at)
        except (msgspec.DecodeError, ValueError) as wrong:
            return UNFIT, orjson.dumps({"well": False, "text": str(wrong)}).decode()
        member = self.peer.member
        if not isinstance(member, Voter):
            return UNFIT, orjson.dumps({"well": False, "text": "ask at the door of a voter"}).decode()
        voters = {name: at for name, at in member.raft.voters.items() if name != asked.remove} | asked.add
        made = await self.peer.publish("voters", {"voters": voters}, asked.call, PUBLISH_WITHIN)
        told = {"well": made.well, "text": made.text, "voters": voters}
        return OK if made.well else REFUSED, orjson.dumps(told).decode()

    async def publish(self, doc: str, body: bytes) -> tuple[int, str]:
        if doc == "voters":
            return await self._voters(body)
        if doc in (MACHINES, "plan"):
            return await self._of_machines(doc, body)
        try:
            asked = msgspec.json.decode(body, type=Asked)
        except msgspec.DecodeError as wrong:
            return UNFIT, orjson.dumps({"well": False, "text": str(wrong)}).decode()
        made = await self.peer.publish("publish", {
            "doc": doc, "made_from": asked.made_from, "author": asked.author[:200],
            "reason": asked.reason[:2000], "at": time.time_ns() // 1_000_000, "text": asked.text},
            asked.call, PUBLISH_WITHIN)
        told: dict[str, Any] = {"well": made.well, "text": made.text, "number": made.number}
        if not made.well:
            known = made.number or not made.text.startswith("no outcome")
            return REFUSED if known else UNKNOWN, orjson.dumps(told).decode()
        if asked.wait:
            wait = min(asked.wait, MOST_WAIT)
            began = time.monotonic()
            index = await self.peer.until_counts(doc, made.number, wait)
            told["counts"] = index > 0
            all_act = index > 0 and await self.peer.until_heard(index, wait - (time.monotonic() - began))
            told["lag"] = [] if all_act else self._behind()
        return OK, orjson.dumps(told).decode()

    async def _of_machines(self, doc: str, body: bytes) -> tuple[int, str]:
        works = self._works()
        try:
            if doc == "plan":
                told = works.planned(body)
                return OK if told["well"] else REFUSED, orjson.dumps(told).decode()
            well, text, known = await works.call(body)
        except msgspec.DecodeError as wrong:
            return UNFIT, orjson.dumps({"well": False, "text": str(wrong)}).decode()
        status = OK if well else REFUSED if known else UNKNOWN
        return status, orjson.dumps({"well": well, "text": text}).decode()

    def _behind(self) -> list[str]:
        """Who does not act on all that is known here, as far as this member can tell."""
        view = self.peer.view()
        late = [f"{one['name']} at {one['at']}: {one['state']}, {one['lag']} behind"
                for one in view.get("members", ()) if one["lag"] and one["state"] != "left"]
        late += [f"voter {name}: {lag} behind" for name, lag in view.get("lag", {}).items() if lag]
        return late or ["somebody, who is not known here; ask at the leader's door"]
