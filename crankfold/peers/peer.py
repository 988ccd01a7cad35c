"""A member on its sockets, its disk and its clock."""

import asyncio
import secrets
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Literal

import msgspec
from msgspec import Struct

from crankfold.agreement.member import CUT_OFF, SUSPECTED, THERE, Follower, Voter
from crankfold.agreement.raft import Batch
from crankfold.agreement.strict import DOCUMENTS
from crankfold.agreement.words import Message, Published, Tell, Timing
from crankfold.network.tally import Tally, log
from crankfold.peers.frames import FORM, Hello
from crankfold.peers.links import Links
from crankfold.peers.store import Store, Unfit

SECOND = 10_000
ASK_AGAIN = 0.5  # seconds, for an outcome that may have been lost
LEAST_STATED = 0.5
SEAT_AGAIN = 0.1  # seconds


class Peers(Struct, rename="kebab", forbid_unknown_fields=True):
    """The `peers` part of the configuration."""

    name: str
    voters: dict[str, str]
    address: str = ""
    zone: str = ""  # where it stands, for works on dispatchers
    folder: str = ""
    stated_time: float = 2.0
    when_cut_off: Literal["shed", "go-on"] = "shed"
    succeeds: bool = False  # set by the process itself where it replaces another
    record: str = ""  # a file to which all that is done is written, for `crankfold trial`

    def fault(self) -> str:
        if not self.name or len(self.name) > 100:
            return f"peers.name: found {self.name!r}; 1 to 100 characters"
        if self.name in self.voters and not self.folder:
            return "peers.folder: missing; a voter needs one for what must last"
        if self.name in self.voters and not (self.address or self.voters[self.name]):
            return "peers.address: missing; a voter has to be heard"
        if len(self.voters) not in (3, 5, 7):
            return f"peers.voters: found {len(self.voters)}; 3, 5 or 7"
        if self.stated_time < LEAST_STATED:
            return (f"peers.stated-time: found {self.stated_time}; at least {LEAST_STATED} s, as "
                    f"elections and leases have to fit in")
        if self.stated_time > 60:
            return f"peers.stated-time: found {self.stated_time}; 60 s at most"
        return ""


def clock() -> int:
    """Tenths of a millisecond. Goes on while the machine sleeps, as leases do."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 100_000


def place(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


class Seat:
    """One member: its history, its disk, its links, and the time."""

    def __init__(self, peer: "Peer", name: str, store: Store | None) -> None:
        self.peer, self.given, self.tally, self.store = peer, peer.given, peer.tally, store
        self.loop = asyncio.get_running_loop()
        self.timing = Timing(int(self.given.stated_time * SECOND))
        self.aside = ""  # why this voter takes no part any more
        now, seed, incarnation = clock(), secrets.randbits(62), secrets.randbits(48)
        voters = self.given.voters
        self.member: Voter | Follower
        if store:
            if store.said:
                log(f"crankfold: {store.said}")
            self.member = Voter(name, store.stored, dict(voters), self.timing, now, seed, incarnation,
                                store.identity, peer.check, peer.beginning)
        else:
            self.member = Follower(name, list(voters), self.timing, now, seed, incarnation)
        self.member.carry, self.member.settled_at = peer.carry, peer.settled_at
        self.member.tell = lambda: peer.tell()
        if isinstance(self.member, Voter):
            self.member.foreman = lambda now: peer.steps() if peer.seat is self else []
        hello = Hello(FORM, name, incarnation, store.identity if store else "")
        others = {voter: place(at) for voter, at in voters.items() if voter != name}
        self.links = Links(hello, others, self.tally, self._admits, self._received)
        self.busy = self.closed = False
        self.ticking: asyncio.TimerHandle | None = None

    async def open(self) -> None:
        if self.store:
            await self.links.open(*place(self.given.address or self.given.voters[self.given.name]))
        self._tick()

    def holds(self) -> bool:
        return not self.aside and self.member.holds(clock())

    def why_not(self) -> str:
        """Why nothing is acted on; empty if it is."""
        if self.aside:
            return self.aside
        if not self.member.holds(clock()):
            return self.member.refused or (
                "cut off from the majority" if self.member.applied else "nothing heard of the fleet yet")
        return "" if self.member.acting("settings") else "no settings count yet"

    def view(self) -> dict[str, Any]:
        """The fleet as this member sees it."""
        now, member = clock(), self.member
        told: dict[str, Any] = {
            "name": member.me, "acts": self.holds(), "why-not": self.why_not(),
            "applied": member.applied, "lease-ms": max(member.until - now, 0) // 10,
            "versions": {doc: {"counts": counts, "newest": newest}
                         for doc, (counts, newest) in member.docs.versions().items()}}
        if isinstance(member, Follower):
            return {**told, "voter": member.voter, "leader": ""}
        raft = member.raft
        told |= {"leader": raft.leader, "term": raft.term, "voters": dict(raft.voters)}
        if member.leads():
            told["leases-ms"] = {name: max(until - now, 0) // 10 for name, until in member.granted.items()}
            told["lag"] = {name: raft.last() - raft.match.get(name, 0) for name in raft.voters
                           if name != member.me}
        told["members"] = [
            {"name": name, "state": member.state_of(now, ward), "incarnation": ward.incarnation,
             "for-s": (now - ward.since) // SECOND, "heard-ms-ago": (now - ward.heard) // 10,
             "lag": max(member.applied - ward.have, 0), "at": member.me}
            for name, ward in sorted(member.wards.items())]
        told["members"] += [
            {"name": one.name, "state": one.state, "incarnation": one.incarnation,
             "for-s": one.since // SECOND, "lag": max(member.applied - one.have, 0), "at": voter}
            for voter, wards in sorted(member.elsewhere.items())
            for one in wards if one.state in (THERE, SUSPECTED, CUT_OFF) and one.name != voter]
        return told

    # --- events ---

    def _admits(self, hello: Hello) -> str:
        if not isinstance(self.member, Voter):
            return "no voter"
        return self.member.admits(hello.name, hello.folder) if hello.folder else ""

    def _received(self, sender: str, told: Message) -> None:
        if self.aside or self.closed:
            return
        try:
            self.member.received(clock(), sender, told)
        except Exception as wrong:
            self.tally.failed(wrong)
            if __debug__:
                raise
        self._after()

    def _tick(self) -> None:
        if self.closed or self.aside:
            return
        self.member.tick(clock())
        self._after()
        wait = max(self.member.next_at() - clock(), 5)
        self.ticking = self.loop.call_later(wait / SECOND, self._tick)

    def _after(self) -> None:
        """Carries out what an event brought: first of all what is acted on, then the disk, then the links."""
        member = self.member
        if member.changed:
            changed, member.changed = member.changed, set()
            self.peer.heard(self, changed)
        self.peer.applied.set()
        for told in member.told:
            self.peer.told(told)
        member.told.clear()
        if isinstance(member, Voter):
            for name, at in member.raft.voters.items():
                if name not in self.links.addresses and name != member.me and at:
                    self.links.addresses[name] = place(at)  # added since this process started
        if not self.aside:
            self._send(member.take_early())
        if not self.busy and not self.aside:
            batch = member.take(clock())
            if batch.must_be_kept() and self.store:
                self.busy = True
                keeping = self.loop.run_in_executor(None, self.store.write, batch)
                keeping.add_done_callback(lambda done: self._kept(batch, done))
            else:
                self._send(batch.send)

    def _kept(self, batch: Batch, done: "asyncio.Future[None]") -> None:
        self.busy = False
        if self.closed:
            return
        wrong = done.exception()
        if wrong:
            # Nobody knows now what the disk holds: nothing more is said or acted on by this process.
            self.aside = f"the voter's folder failed: {wrong}"
            self.tally.count("peers-disk-failed")
            log(f"crankfold: {self.aside}; this voter takes no part until it is started anew")
            return
        self._send(batch.send)
        self.member.kept(clock(), batch)
        self._after()

    def _send(self, messages: list[tuple[str, Message]]) -> None:
        for to, told in messages:
            self.links.send(to, told)

    async def close(self) -> None:
        self.closed = True
        if self.ticking:
            self.ticking.cancel()
        if isinstance(self.member, Follower):
            self.member.leave(clock())
            self._send(self.member.take_early())
            await asyncio.sleep(0)
        await self.links.close()
        if self.store:
            while self.busy:
                await asyncio.sleep(0.01)
            self.store.close()


class Peer:
    """What the dispatcher has to do with: the seat at which it acts, and the one that it is to take.

    `changed` is called with the documents that read otherwise now; `holds` is to be asked at each act. A
    process that replaces another is a follower under a name of its own while that one is there; a voter's
    successor takes its seat, folder and name once these are free, and acts by it when it knows as much.
    """

    def __init__(self, given: Peers, tally: Tally, check: Callable[[str, dict[str, Any]], str],
                 beginning: dict[str, Any], changed: Callable[[set[str]], None],
                 carry: Callable[[], dict[str, int]], settled_at: Callable[[int], int]) -> None:
        self.given, self.tally, self.check, self.beginning = given, tally, check, beginning
        self.changed, self.carry, self.settled_at = changed, carry, settled_at
        # With machines out for work, what this dispatcher has to say of them, and decides if it leads.
        self.tell: Callable[[], Tell | None] = lambda: None
        self.steps: Callable[[], list[dict[str, Any]]] = list
        self.loop = asyncio.get_running_loop()
        self.waiting: dict[str, asyncio.Future[Published]] = {}
        self.applied = asyncio.Event()
        self.coming: asyncio.Task[None] | None = None
        votes = given.name in given.voters
        self.seat = Seat(self, given.name, self._store() if votes else None) if not given.succeeds else Seat(
            self, f"{given.name}+{secrets.token_hex(3)}", None)

    def _store(self) -> Store:
        return Store(Path(self.given.folder), self.given.name)

    async def open(self) -> None:
        await self.seat.open()
        if self.given.succeeds and self.given.name in self.given.voters:
            self.coming = self.loop.create_task(self._take_seat())

    async def _take_seat(self) -> None:
        coming: Seat | None = None
        while coming is None:
            await asyncio.sleep(SEAT_AGAIN)
            try:
                store = self._store()
            except Unfit as wrong:
                if "another process" not in str(wrong):
                    log(f"crankfold: {wrong}; goes on without a vote")
                    return
                continue
            coming = Seat(self, self.given.name, store)
            try:
                await coming.open()
            except OSError:  # the address is not free yet
                await coming.close()
                coming = None
        while not coming.holds() or coming.member.applied < self.seat.member.applied:
            await asyncio.sleep(SEAT_AGAIN)
        old, self.seat = self.seat, coming
        self.changed(set(DOCUMENTS))
        await old.close()
        log(f"crankfold: {self.given.name} votes again")

    @property
    def member(self) -> Voter | Follower:
        return self.seat.member

    def holds(self) -> bool:
        return self.seat.holds()

    def why_not(self) -> str:
        return self.seat.why_not()

    def view(self) -> dict[str, Any]:
        return self.seat.view()

    def heard(self, seat: Seat, docs: set[str]) -> None:
        if seat is getattr(self, "seat", None):
            self.changed(docs)

    def told(self, told: Published) -> None:
        future = self.waiting.get(told.call)
        if future and not future.done() and (told.well or told.text != "there is no leader"):
            future.set_result(told)

    async def publish(self, kind: str, data: dict[str, Any], call: str, within: float) -> Published:
        """Asks until there is an outcome; the same call has one effect, however often it is asked for."""
        future = self.waiting.setdefault(call, self.loop.create_future())
        try:
            async with asyncio.timeout(within):
                while not future.done():
                    self.seat.member.publish(clock(), call, kind, data)
                    self.seat._after()
                    await asyncio.wait([future], timeout=ASK_AGAIN)
                return future.result()
        except TimeoutError:
            return Published(call, False, "no outcome yet; ask again with the same call", 0, 0)
        finally:
            if self.waiting.get(call) is future:
                del self.waiting[call]

    async def until_counts(self, doc: str, number: int, within: float) -> int:
        """Up to where all have to have heard for all to act on that version alone; 0 if it does not count."""
        return await self._until(lambda: self.member.docs.doc(doc).counts >= number, within) \
            and self.member.applied

    async def until_known(self, doc: str, least: int, within: float) -> bool:
        return await self._until(lambda: self.member.docs.doc(doc).latest() >= least, within)

    async def until_heard(self, index: int, within: float) -> bool:
        """Whether by then all that may act have heard of the history up to there."""
        return await self._until(lambda: self.member.heard_by_all >= index, within)

    async def _until(self, holds: Callable[[], bool], within: float) -> bool:
        try:
            async with asyncio.timeout(max(within, 0.01)):
                while not holds():
                    self.applied.clear()
                    await self.applied.wait()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        if self.coming:
            self.coming.cancel()
        await self.seat.close()


def read(given: object) -> Peers:
    """The `peers` part of a configuration; a ValueError says what is wrong."""
    try:
        peers = msgspec.convert(given, Peers)
        fault = peers.fault()
        for name, at in [*peers.voters.items(), ("address", peers.address)]:
            if at:
                try:
                    place(at)
                except ValueError:
                    fault = fault or f"peers: {name}: found {at!r}; HOST:PORT"
    except msgspec.ValidationError as wrong:
        raise ValueError(f"peers: {wrong}") from None
    if fault:
        raise ValueError(fault)
    return peers


__all__ = ["Peer", "Peers", "Unfit", "clock", "read"]
