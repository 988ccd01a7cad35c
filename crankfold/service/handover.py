"""Binds the succession of processes to the desk, the listener and the runners of this one."""

import asyncio
import socket
import zlib
from collections.abc import Callable
from typing import Any

from crankfold.dispatch.interface import Standing
from crankfold.network.listener import Listener
from crankfold.network.passage import Passage, settle
from crankfold.network.tally import log
from crankfold.protocol.callbacks import hear, unit_of
from crankfold.protocol.kin import FORM, figures, strings
from crankfold.service import carry
from crankfold.service.desk import Desk
from crankfold.service.operations import Operations
from crankfold.service.succession import Place, Succession

AGAIN = 0.05  # seconds until it is asked again who serves
REPORTS_AGE = 50_000  # older ones tell nothing


class Handover:
    def __init__(self, folder: str, name: str, at: tuple[str, int], desk: Desk, listener: Listener,
                 operations: Operations, shares: Callable[[int, int, bool], None]) -> None:
        # Of which dispatcher: a folder may hold what another one's process left, or have one behind it that
        # serves other customers at what is now our address.
        self.name = name
        self.at, self.desk, self.fleet, self.tally = at, desk, desk.fleet, desk.tally
        self.listener, self.operations, self.shares = listener, operations, shares
        self.loop = desk.timers.loop
        self.passage = Passage(folder, f"crankfold-{zlib.crc32(f'{at[0]}:{at[1]}'.encode()):08x}", desk.tally)
        self.passage.met, self.passage.told, self.passage.lost = self._met, self._told, self._lost
        self.succession = Succession(self)
        self.sock: socket.socket | None = None
        self.over = asyncio.Event()  # the predecessor has given way, or there is none
        self.again = False
        self.reports: dict[str, Any] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        operations.spread, desk.pass_on, operations.followed = self.spread, self.pass_on, self.followed

    # --- as the one that follows ---

    async def meet(self) -> dict[str, Any] | None:
        """Learns from a predecessor, if one serves; gives the list as that has it."""
        met = await self.passage.call({"hello": FORM, "at": list(self.at), "of": self.name})
        if met:
            kin, sock, said = met
            welcome = said.get("welcome")
            if isinstance(welcome, dict) and welcome.get("form") == FORM and welcome.get("of") == self.name \
                    and sock \
                    and sock.getsockname()[:2] == self.at:
                self.sock = sock
                self.succession.follows(kin)
                self._learn(welcome)
                return carry.known_list(welcome, self.desk.decisions.live)
            self.tally.say("predecessor", "speaks another form or has another address; starting alone")
            self.passage.part(kin)
            if sock:
                sock.close()
        recorded = self.passage.recorded()
        if recorded.get("of") == self.name:
            self._bans(recorded)
        return None

    def _learn(self, welcome: dict[str, Any]) -> None:
        self.fleet.heard_of.update(strings(welcome.get("ever")))
        self._bans(welcome)
        self.reports = carry.reports(welcome, self.desk.rules.report_fields)

    def _bans(self, kept: dict[str, Any]) -> None:
        self.fleet.bans.since.update(figures(kept.get("bans")))
        for uid, pair in (kept.get("assumed") or {}).items():
            if isinstance(pair, list) and len(pair) == 2 and all(type(one) is int for one in pair):
                self.fleet.bans.assumed[uid] = (pair[0], pair[1])
        self.fleet.heard_of.update(self.fleet.bans.since)

    def tell_reports(self) -> None:
        """What runners last said to the predecessor, as if they had been probed."""
        wanted = len(self.desk.rules.report_fields)
        for uid, report in self.reports.items():
            runner = self.fleet.numbers.find(uid)
            if runner >= 0 and isinstance(report, list) and len(report) == wanted \
                    and all(type(one) is float for one in report):
                self.desk.tell(self.desk.decisions.probed, runner, True, tuple(report))

    async def take_over(self) -> socket.socket | None:
        """Waits until the predecessor has given way; the listening socket, where there was one."""
        while True:
            self.again = False
            self.over.clear()
            if not self.succession.take_over():
                return self.sock
            try:
                async with asyncio.timeout(1.0):
                    await self.over.wait()
            except TimeoutError:
                self.tally.say("predecessor", "hangs; serving beside it")
                return self.sock
            if not self.again:
                return self.sock
            await asyncio.sleep(AGAIN)
            await self.meet()

    async def open(self) -> None:
        try:
            await self.passage.open()
        except OSError as wrong:
            self.tally.say("records", f"{wrong}; nobody can follow")

    # --- both ways ---

    async def spread(self, what: str, uid: str) -> None:
        """Recorded here, and bound by the other process."""
        self._record()
        answered: asyncio.Future[None] = self.loop.create_future()
        self.succession.ask(self.loop.time(), {"what": what, "uid": uid},
                            lambda _: settle(answered))
        await answered

    def _record(self) -> None:
        try:
            self.passage.record({"of": self.name, "bans": self.fleet.bans.since,
                                 "assumed": self.fleet.bans.assumed})
        except OSError as wrong:
            self.tally.say("records", f"{wrong}; a ban binds, but is forgotten if both processes die")

    def pass_on(self, body: bytes, done: Callable[[bool | None], None]) -> bool:
        """A call-back for a unit that is not in hand here; whether there is somebody to ask."""
        if not self.succession.kin:
            return False
        self.tally.count("call-backs-passed-on")
        told = {"what": "event", "body": body.decode(errors="replace")}
        self.succession.ask(self.loop.time(), told, done)
        return True

    def _met(self, kin: int, sock: socket.socket, hello: dict[str, Any]) -> None:
        self.tally.count("successors-met")
        copy = self.listener.copy
        try:
            if hello.get("hello") == FORM and copy and hello.get("at") == list(self.at) \
                    and hello.get("of") == self.name:
                socket.send_fds(sock, [b"!"], [copy.fileno()])
                self.succession.met(kin)
                return
        except OSError as wrong:
            self.tally.say("successor", str(wrong))
        self.passage.part(kin)

    def _told(self, kin: int, told: dict[str, Any]) -> None:
        self.succession.told(self.loop.time(), kin, told)

    def _lost(self, kin: int) -> None:
        self.succession.lost(self.loop.time(), kin)

    def tend(self) -> None:
        self.succession.tend(self.loop.time())
        self.succession.report()

    def followed(self) -> bool:
        return self.succession.place == Place.FOLLOWED

    def close(self) -> None:
        self.passage.close()

    # --- the port: what the succession decides ---

    def say(self, kin: int, told: dict[str, Any]) -> None:
        self.passage.say(kin, told)

    def part(self, kin: int) -> None:
        self.passage.part(kin)

    def state(self) -> dict[str, Any]:
        now, fleet = self.desk.timers.clock.now(), self.fleet
        names = fleet.numbers.names
        decisions = self.desk.decisions
        listed = [fleet.as_listed(runner) for runner, entry in enumerate(fleet.said)
                  if entry.standing != Standing.GONE]
        if decisions.live:  # the size is what lasts of a weight that moves
            for entry in listed:
                entry["capacity_hint"] = decisions.weight[fleet.numbers.place(entry["uid"])]
        return {"form": FORM, "of": self.name, "weights": carry.meaning(decisions.live),
                "fields": list(self.desk.rules.report_fields),
                "bans": fleet.bans.since, "assumed": fleet.bans.assumed,
                "ever": sorted({*names, *fleet.heard_of}),
                "known": {"rev": 0, "all": True, "targets": listed} if listed else None,
                "reports": {names[runner]: list(report) for runner, (at, report) in self.desk.reports.items()
                            if now - at < REPORTS_AGE}}

    def in_hand(self) -> dict[str, Any]:
        return {"ids": [work.ident for work in self.desk.ledger.units.values()],
                "clients": len(self.listener.clients), "runners": self.fleet.sockets.most}

    def give_way(self) -> None:
        log("crankfold: another process takes over")
        self.tally.count("handed-over")
        self.listener.pause()
        self.shares(0, 0, True)
        self.operations.changed(self.fleet.leave_cold(True))

    def take_up(self) -> None:
        log("crankfold: the process that took over is gone; serving again")
        self.tally.count("taken-up-again")
        self.shares(0, 0, False)
        self.operations.changed(self.fleet.leave_cold(False))
        task = self.loop.create_task(self._resume())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _resume(self) -> None:
        await self.listener.resume()
        self.passage.shut()
        await self.open()

    def taken_over(self) -> None:
        self.over.set()

    def start_again(self) -> None:
        self.again = True
        self.over.set()

    def hear(self, body: str) -> bool:
        told = body.encode()
        return (self.desk.holds(unit_of(told)) and
                hear(told, self.desk, self.desk.rules.report_fields))

    def bind(self, uid: str, out: bool) -> None:
        self.fleet.heard_of.add(uid)
        entry = self.fleet.out(uid) if out else self.fleet.back(uid)
        if entry:
            self.operations.changed([entry])

    def kin_holds(self, told: dict[str, Any]) -> None:
        self.desk.elsewhere = frozenset(strings(told.get("ids")))
        held = figures(told)
        self.shares(held.get("clients", 0), held.get("runners", 0), False)

