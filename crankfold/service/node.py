"""One dispatcher from its start to the end of its drain."""

import asyncio
import contextlib
import signal
from collections.abc import Callable, Sequence
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson

from crankfold.dispatch.interface import Listing, StandingOrders
from crankfold.network.door import PLACES, Door
from crankfold.network.listener import SWEEP, UNCOUNTED, Listener
from crankfold.network.runners import Sockets
from crankfold.network.signals import renewal_noted
from crankfold.network.tally import Tally, log
from crankfold.network.timers import Clock, Timers
from crankfold.network.watch import Watch
from crankfold.orders.reader import AT_ONCE, HouseRules, from_nested, house_rules, standing_orders
from crankfold.protocol.discovery import read_list
from crankfold.service.desk import Desk
from crankfold.service.duty import Duty
from crankfold.service.fleet import Fleet
from crankfold.service.handover import Handover
from crankfold.service.operations import Operations

if TYPE_CHECKING:
    from crankfold.service.agreed import Agreed

TOLD_WITHIN = 60_000  # tenths of a millisecond; a change of the list counts as told then, asked for or not
FIRST_LIST = 0.3  # seconds that a start waits for discovery, which may be down
COMING = 0.45  # connections go on arriving for so long after the order to end
LONGEST_DRAIN, OVER = 3.0, 0.5  # the platform ends us soon after the longest cut-off, or 3 s if that is less
MOVING_ON = 0.5  # for connections at rest to be used once more while another process has taken over
ENDING = 1.5  # the last part of a drain, in which no new unit is wanted


class Unusable(Exception):
    """The configuration can't be served from; the text says why, in a line."""


def address(text: str, what: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    try:
        return host.strip("[]"), int(port)
    except ValueError:
        raise Unusable(f"{what} is no address: {text!r}") from None


def read(path: str) -> dict[str, Any]:
    if not path:
        raise Unusable("no configuration: set GW_CONFIG or give --config")
    try:
        given = orjson.loads(Path(path).read_bytes())
    except (OSError, ValueError) as wrong:
        raise Unusable(f"{path}: {wrong}") from None
    for name, kind in (("listen", str), ("discovery", str), ("settings", dict)):
        if not isinstance(given, dict) or not isinstance(given.get(name), kind):
            raise Unusable(f"{path}: no {name}")
    return dict(given)


def shares(given: dict[str, Any], door: bool) -> tuple[int, int]:
    """Of the sockets: how many to runners, and how many for those that connect; some stay free."""
    try:
        sockets = max(int((given.get("limits") or {}).get("sockets") or 1024), 64)
    except (AttributeError, TypeError, ValueError):
        raise Unusable("limits: sockets is no number") from None
    # Free for files, discovery, and what is let go but a turn later, on either side.
    doors = PLACES + 4 if door else 0
    return sockets // 4, sockets - sockets // 4 - sockets // 16 - UNCOUNTED - doors


def waits(given: dict[str, Any], running: dict[str, Any]) -> list[str]:
    """What differs and counts only after a restart."""
    now, then = dict(given["settings"]), dict(running["settings"])
    for settings in (now, then):  # what it says of each grade goes with the grades
        settings["specifics"] = {name: value for name, value in (settings.get("specifics") or {}).items()
                                 if not name.startswith("class-")}
    differs = [f"settings.{name}" for name in now.keys() | then.keys()
               if name not in AT_ONCE and now.get(name) != then.get(name)]
    return sorted(differs + (["listen"] if given["listen"] != running["listen"] else []))


def derived(given: dict[str, Any], running: dict[str, Any]) -> tuple[StandingOrders, HouseRules]:
    """From a file that is to replace the running one, if all of it can be used."""
    from crankfold.orders import form  # not at start: 2.7 MB and 15 ms

    try:
        form.check(given, running)
        settings = from_nested(given["settings"])
        return standing_orders(settings), house_rules(settings)
    except ValueError as wrong:
        raise Unusable(str(wrong)) from None


def patience(rules: HouseRules) -> tuple[float, float]:
    """Seconds for a connect, and at rest. Runners close at rest after their time; half is well before."""
    return rules.connect_within / 10_000, rules.idle_for / 20_000


class Node:
    def __init__(self, given: dict[str, Any], reread: Callable[[], dict[str, Any]],
                 folder: str = "") -> None:
        try:
            settings = from_nested(given["settings"])
            orders, rules = standing_orders(settings), house_rules(settings)
            orders = replace(orders, told_within=TOLD_WITHIN)
            seed = int(str(given.get("seed", "0")), 16)
        except ValueError as wrong:
            raise Unusable(f"settings: {wrong}") from None
        self.reread = reread
        self.given = {name: part for name, part in given.items() if name != "known"}
        self.tally = Tally()
        self.timers = Timers(Clock(), self.tally)
        self.at = address(given["listen"], "listen")
        self.door_at = address(given["admin_addr"], "admin_addr") if given.get("admin_addr") else None
        self.shares = to_runners, others = shares(given, self.door_at is not None)
        self.sockets = Sockets(to_runners, *patience(rules), self.tally)
        self.fleet = Fleet(rules, self.timers, self.sockets)
        self.duty = Duty()
        self.desk = Desk(orders, rules, seed, self.timers, self.tally, self.fleet, self.duty, self._subscribe)
        self.listener = Listener(self.desk, self.tally, rules.report_fields, others)
        self.desk.crowded = self.listener.crowded
        self.operations = Operations(self.desk, self.listener, self.duty)
        self.door = Door(self.operations, self.tally)
        # Processes follow one another only where operators can ask the new one whether it is ready.
        self.handover = Handover(folder, str(given.get("name") or ""), self.at, self.desk, self.listener,
                                 self.operations, self._share) if self.door_at and folder else None
        self.kin_holds = 0, 0, False
        self.agreed: Agreed | None = None
        if given.get("peers"):
            from crankfold.service import agreed  # nothing of it is imported without peers

            try:
                self.agreed = agreed.Agreed(given, self.tally, self.desk, self.operations, self._renewed,
                                            self._list_age)
            except ValueError as wrong:
                raise Unusable(str(wrong)) from None
        host, port = address(given["discovery"], "discovery")
        self.watch = Watch(host, port, self.fleet.enlist, self._listed, self._list_failed, self.tally)
        self.heard = asyncio.Event()
        self.must_ask, self.known = orders.must_ask, given.get("known")
        self.longest = rules.longest_cutoff / 10_000
        self.ending = asyncio.Event()
        self.broken: BaseException | None = None

    def _share(self, clients: int, runners: int, leaving: bool) -> None:
        """Of the sockets, as two processes hold them together while one replaces the other."""
        self.kin_holds = clients, runners, leaving
        to_runners, others = self.shares
        if leaving:
            # Clients as before: nobody new comes, and who was just accepted must not push another out.
            self.sockets.most = max(to_runners // 4, 4)
        else:
            self.sockets.most = max(to_runners - runners, to_runners // 4, 4)
            # Never nothing: an eighth is less than what is kept free on either side.
            self.listener.most = max(others - clients, others // 8)

    def _list_age(self) -> int:
        """Since discovery answered last, tenths of a millisecond; 0 where it is only asked now and then."""
        return 0 if self.must_ask else int((self.timers.loop.time() - self.watch.heard_at) * 10_000)

    def _subscribe(self) -> None:
        # The decisions ask in their first moment, when there is no watch yet.
        self.timers.loop.call_soon(lambda: self.watch.start(False))

    def _listed(self, entries: Sequence[Listing], whole: bool) -> None:
        self.desk.listed(entries, whole)
        self.heard.set()

    def _list_failed(self) -> None:
        if self.must_ask:
            self.heard.set()
            self.desk.list_failed()

    async def run(self) -> None:
        loop = self.timers.loop
        loop.set_exception_handler(self._failed)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.ending.set)
        loop.add_signal_handler(signal.SIGUSR1, self.report)
        loop.add_signal_handler(signal.SIGHUP, self._renew)
        if renewal_noted():
            self._renew()  # the file may have been read before it was changed
        if self.handover:
            self.known = await self.handover.meet() or self.known
        if self.known is not None:
            try:
                rev, whole, entries = read_list(orjson.dumps(self.known), self.fleet.enlist)
                self.desk.listed(entries, whole)
                if self.must_ask:
                    # Asked for when the decisions say so; what changed since is a shorter answer than all.
                    self.watch.rev = rev
                    self.heard.set()
            except ValueError as wrong:
                self.tally.say("known", f"{wrong}; starting without a list")
        if not self.must_ask:
            self.watch.start(True)
        elif not self.heard.is_set():
            self.watch.start(False)
        if self.door_at:
            try:
                await self.door.open(*self.door_at)
            except OSError as wrong:
                raise Unusable(f"{self.door_at[0]}:{self.door_at[1]}: {wrong.strerror or wrong}") from None
        # What was known may be long out of date after a restart; units would go to runners that are gone.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_LIST):
                await self.heard.wait()
        passed = None
        if self.agreed:
            try:
                await self.agreed.open(self.handover is not None and self.handover.sock is not None)
            except (OSError, ValueError) as wrong:
                raise Unusable(f"peers: {wrong}") from None
        if self.ending.is_set():  # told to end before it serves: nobody is to come only to be sent away
            log("crankfold: told to end before serving")
            await self._close()
            return
        if self.handover:
            self.handover.tell_reports()
            passed = await self.handover.take_over()
        try:
            await self.listener.open(*self.at, passed, self.handover is not None)
        except OSError as wrong:
            raise Unusable(f"{self.at[0]}:{self.at[1]}: {wrong.strerror or wrong}") from None
        if self.handover:
            await self.handover.open()
        self.duty.begin(loop.time())
        log(f"crankfold: serving on {self.at[0]}:{self.listener.port()}")
        if self.door_at:
            told = f"operators at {self.door_at[0]}:{self.door.port()}"
            if not self.handover:
                told += "; no --hand-over or $TMPDIR, so no process can replace this one under load"
            log(f"crankfold: {told}")
        loop.call_later(SWEEP, self._sweep)
        await self.ending.wait()
        await self._drain()
        if self.broken:
            raise self.broken

    def _renew(self) -> None:
        """SIGHUP: the file as it is now. Units, connections and what is believed of runners outlive it."""
        try:
            given = self.reread()
            orders, rules = derived(given, self.given)
            host, port = address(given["discovery"], "discovery")
            address(given["listen"], "listen")
            of_sockets = shares(given, self.door_at is not None)
        except Unusable as wrong:
            self.tally.count("configurations-unusable")
            # Not among the limited lines: whoever sent the signal has to see what was wrong this time.
            log(f"crankfold: configuration: {wrong}; the old one stands")
            return
        self.tally.count("configurations-taken")
        self.shares = of_sockets
        if self.agreed:
            self.tally.count("settings-agreed-elsewhere")
            given["settings"] = self.given["settings"]
        elif given["settings"] != self.given["settings"]:
            self._renewed(orders, rules)
        self._share(*self.kin_holds)
        self.watch.move(host, port, not self.must_ask)
        later = waits(given, self.given)
        rest = f"; {', '.join(later)} differs and waits for a restart" if later else ""
        if self.agreed:
            rest += "; settings are agreed on by the peers and are not read from the file"
        self.given = {name: part for name, part in given.items() if name != "known"}
        log(f"crankfold: new configuration: discovery at {host}:{port}{rest}")

    def _renewed(self, orders: StandingOrders, rules: HouseRules) -> None:
        self.desk.renewed(orders, rules)
        self.sockets.connect_within, self.sockets.idle_for = patience(rules)
        self.longest = rules.longest_cutoff / 10_000  # of the grades in force: by these we are ended

    async def _drain(self) -> None:
        """Nobody new, then nothing new, then the end.

        Clients go on using the connections they have. While another restarts these may be all they have: with
        them closed at once a rolling restart left a second without any dispatcher.
        """
        loop = self.timers.loop
        end = loop.time() + min(self.longest, LONGEST_DRAIN) + OVER
        log("crankfold: draining")
        self.duty.end(loop.time())
        if self.handover and self.handover.followed():
            await self._leave_to_successor(end)
        else:
            await asyncio.sleep(COMING)
            while loop.time() < end - ENDING and self.listener.clients:
                await asyncio.sleep(0.01)
            self.listener.parting = True
            self.listener.close_idle(spare_call_backs=True)
            while loop.time() < end and (self.desk.open_units() or self.listener.expects()):
                await asyncio.sleep(0.01)
                # A runner whose connection is closed tells again on another, later, perhaps after our end.
                self.listener.close_idle(spare_call_backs=True)
        await self._close()

    async def _close(self) -> None:
        """Nobody is waited for any more."""
        self.desk.close_all()
        # From here on there is nothing to renew, and the signal's default would end us before our time.
        self.timers.loop.remove_signal_handler(signal.SIGHUP)
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        self.watch.stop()
        if self.agreed:
            await self.agreed.close()
        await self.door.close()
        await self.listener.close()
        if self.handover:
            self.handover.close()
        self.report()

    async def _leave_to_successor(self, end: float) -> None:
        """Nobody new comes here. Clients move on with their next answer, who rests is closed soon after."""
        loop = self.timers.loop
        self.listener.parting = True
        rest = loop.time() + MOVING_ON
        while loop.time() < end and (self.desk.open_units() or self.listener.of_clients()):
            if loop.time() > rest:
                self.listener.close_idle(spare_call_backs=True)
            await asyncio.sleep(0.01)

    def _sweep(self) -> None:
        self.timers.loop.call_later(SWEEP, self._sweep)
        self.sockets.sweep()
        if self.handover:
            self.handover.tend()
        self.listener.sweep()

    def _failed(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """What no handler caught: counted and logged with its place; a debug build ends by it."""
        wrong = context.get("exception") or RuntimeError(context.get("message"))
        self.tally.failed(wrong)
        if __debug__:
            self.broken = wrong
            self.ending.set()

    def report(self) -> None:
        self.tally.report({"now-open": self.desk.open_units(), "now-kept": len(self.desk.ledger.units),
                           "now-runner-connections": self.sockets.held,
                           "now-other-connections": len(self.listener.clients)})
