"""Where sockets and decisions meet: ids become numbers, what comes in is told, what is decided is done."""

import asyncio
import zlib
from collections.abc import Callable, Sequence
from functools import partial
from urllib.parse import quote

from crankfold.dispatch.interface import Listing, Outcome, Standing, StandingOrders
from crankfold.dispatch.policy import Dispatcher
from crankfold.network.listener import Client
from crankfold.network.runners import ANSWERED, BROKEN, HELD_BACK, UNREACHED, Errand, Pool
from crankfold.network.tally import Tally
from crankfold.network.timers import Timers
from crankfold.orders.places import Places
from crankfold.orders.reader import HouseRules, plain
from crankfold.protocol.reports import from_text
from crankfold.protocol.runners import TAKEN, RunnerSide, dispatch_heads, outcome_of

TRANSIT = 10  # a request has been under way before it was read: its cut-off is nearer by so much
ANSWER_WITHIN = 10_000  # for exchanges that carry no unit


class Trip:
    """One dispatch."""

    __slots__ = ("nth", "runner", "errand", "out", "started", "taken", "ran_on")

    def __init__(self, nth: int, runner: int) -> None:
        self.nth, self.runner = nth, runner
        self.errand: Errand | None = None
        self.out, self.started, self.taken = True, False, False
        self.ran_on = False  # given up without news of its end: the runner may still have it


class Work:
    """One unit, kept until it is answered and its last dispatch has ended."""

    __slots__ = ("no", "ident", "client", "cutoff", "again", "trips", "open")

    def __init__(self, no: int, ident: str, client: Client, cutoff: int,
                 again: tuple[bytes, bytes, list[tuple[bytes, bytes]], bytes]) -> None:
        self.no, self.ident, self.client, self.cutoff, self.again = no, ident, client, cutoff, again
        self.trips: list[Trip] = []
        self.open = True


class Desk:
    def __init__(self, orders: StandingOrders, rules: HouseRules, seed: int, timers: Timers, tally: Tally,
                 most_runner_sockets: int, subscribe: Callable[[], None]) -> None:
        self.rules, self.timers, self.clock, self.tally = rules, timers, timers.clock, tally
        self.may_cancel, self.most_runner_sockets = orders.may_cancel, most_runner_sockets
        self.probe_target = b"/load" if orders.reports_in_answers or orders.reports_by_probe else b"/healthz"
        self.cutoffs = [g.cutoff for g in orders.grades]
        self.ready = False
        self.crowded: Callable[[], bool] = lambda: False
        self.loop = asyncio.get_running_loop()
        self.units: dict[int, Work] = {}
        self.by_ident: dict[str, Work] = {}
        self.by_client: dict[Client, Work] = {}
        self.next_unit = 0
        self.runners: Places[str] = Places()
        self.address: list[tuple[str, int, int]] = []  # host, port and start
        self.standing: list[Standing] = []
        self.pools: list[Pool | None] = []
        self.subscribe_to_list = subscribe
        self.decisions = Dispatcher(orders, seed, self)

    # --- telling the decisions ---

    def tell(self, call: Callable[..., None], *args: object, unit: int = -1) -> None:
        """A failure in the decisions ends here: the unit in hand is given up on and the process goes on."""
        try:
            call(self.clock.now(), *args)
        except Exception as wrong:
            self.tally.failed(wrong)
            work = self.units.get(unit)
            if work and work.open:
                self._drop(work)
            if __debug__:
                raise

    def _drop(self, work: Work) -> None:
        """Given up without the decisions having said so: they are told that nothing is owed any more."""
        self.give_up(work.no)
        try:
            self.decisions.client_left(self.clock.now(), work.no)
        except Exception as wrong:
            self.tally.failed(wrong)

    # --- from clients ---

    def serving(self) -> bool:
        return self.ready

    def knows_grade(self, name: str) -> bool:
        return self.rules.grades.find(plain(name)) >= 0

    def hand_in(self, client: object, ident: str, grade: str, tenant: str, wait: int, work: int, slots: float,
                again: tuple[bytes, bytes, list[tuple[bytes, bytes]], bytes]) -> None:
        assert isinstance(client, Client)
        if ident in self.by_ident:
            self.tally.count("ids-in-hand-already")
            client.answer(409)
            return
        if self.crowded() or len(self.units) >= self.rules.most_held:
            # Nothing was sent for it, so a retry is harmless.
            self.tally.count("shed-for-room")
            client.answer(503)
            return
        self.tally.count("taken")
        cutoff = self.clock.now() + wait - TRANSIT
        held = Work(self.next_unit, ident, client, cutoff, again)
        self.next_unit += 1
        self.units[held.no] = self.by_ident[ident] = self.by_client[client] = held
        self.timers.wake(max(wait - TRANSIT, 0), partial(self._time_up, held))
        place = self.rules.grades.find(plain(grade))
        payer = max(self.rules.tenants.find(plain(tenant)), 0)
        self.tell(self.decisions.taken, held.no, place, payer, cutoff, work, slots, unit=held.no)

    def left(self, client: Client) -> None:
        work = self.by_client.pop(client, None)
        if work and work.open:
            work.open = False
            self.tell(self.decisions.client_left, work.no)
            self._forget(work)

    def _time_up(self, work: Work) -> None:
        """The decisions answer before this; what is still out then is waited for no longer."""
        if work.open:
            self.tally.count("units-open-at-cut-off")
            self._drop(work)
        for trip in work.trips:
            if trip.out:
                self._call_off(work, trip)
                self._end(work, trip, Outcome.LATE)

    def close_all(self) -> None:
        """At the end of a drain: what is still open is given up on, as nobody will be there to answer it."""
        for work in list(self.units.values()):
            if work.open:
                self.tally.count("given-up-at-drain")
                self._drop(work)

    # --- the port: what is decided ---

    def dispatch(self, unit: int, runner: int, limit: int) -> None:
        work = self.units.get(unit)
        if work is None:
            self.tally.must(False, "dispatch-for-a-unit-in-hand")
            return
        trip = Trip(len(work.trips), runner)
        work.trips.append(trip)
        self.tally.count("dispatches")
        pool = self.pools[runner]
        if pool is None or not work.open or not self._may_go(work, trip) or any(
                t.ran_on and t.runner == runner for t in work.trips):
            self.tally.count("not-sent")
            self.loop.call_soon(self._end, work, trip, Outcome.NOT_SENT)
            return
        method, target, heads, body = work.again
        trip.errand = Errand(method, target, lambda: dispatch_heads(heads, work.cutoff - self.clock.now()),
                             body, partial(self._may_go, work, trip), partial(self._dispatched, work, trip))
        pool.send(trip.errand)
        if limit > 0:
            self.timers.wake(limit, partial(self._limit_up, work, trip))

    def _limit_up(self, work: Work, trip: Trip) -> None:
        if trip.out:
            self._call_off(work, trip)
            self._end(work, trip, Outcome.LATE)

    def _may_go(self, work: Work, trip: Trip) -> bool:
        """While a connection came up the unit may have ended or the runner have begun to drain."""
        return (work.open and trip.out and self.standing[trip.runner] == Standing.READY
                and self.clock.now() < work.cutoff)

    def shed(self, unit: int, advice: int) -> None:
        heads = [(b"Retry-After", f"{advice / 10_000:.3f}".encode())] if advice else []
        self._answer(unit, "shed", 503, heads)

    def give_up(self, unit: int) -> None:
        self._answer(unit, "given-up", 504, [])

    def _answer(self, unit: int, how: str, status: int, heads: Sequence[tuple[bytes, bytes]],
                body: bytes = b"") -> None:
        work = self.units.get(unit)
        self.tally.must(work is not None and work.open, "one-answer-a-unit")
        if work is not None and work.open:
            work.open = False
            self.tally.count(how)
            self.by_client.pop(work.client, None)
            work.client.answer(status, heads, body)
            self.loop.call_soon(self._forget, work)

    def cancel(self, unit: int, nth: int) -> None:
        work = self.units.get(unit)
        trip = work.trips[nth] if work is not None else None
        if work is not None and trip is not None and trip.out:
            self.tally.count("called-off")
            self._call_off(work, trip)
            self.loop.call_soon(self._end, work, trip, Outcome.CANCELLED)

    def wake(self, after: int, label: int) -> None:
        self.timers.wake(after, partial(self._woken, label))

    def _woken(self, label: int) -> None:
        self.tell(self.decisions.woken, label)

    def probe(self, runner: int) -> None:
        self.tally.count("probes")
        pool = self.pools[runner]
        if pool is None:
            self.loop.call_soon(self._probed, runner, UNREACHED, None)
            return
        self._small_errand(pool, b"GET", self.probe_target, partial(self._probed, runner))

    def subscribe(self) -> None:
        self.subscribe_to_list()

    # --- from runners ---

    def _small_errand(self, pool: Pool, method: bytes, target: bytes,
                      ended: Callable[[str, RunnerSide | None], None]) -> None:
        host = f"{pool.host}:{pool.port}".encode()
        errand = Errand(method, target, lambda: [(b"Host", host)], b"", lambda: True, ended)
        pool.send(errand)
        self.timers.wake(ANSWER_WITHIN, partial(self._overdue, pool, errand))

    def _overdue(self, pool: Pool, errand: Errand) -> None:
        """A machine that vanished says nothing: the connection is closed, or it would be held for good."""
        pool.end(errand, BROKEN, None)
        pool.cut(errand)

    def _probed(self, runner: int, how: str, side: RunnerSide | None) -> None:
        well = how == ANSWERED and side is not None and side.status == 200
        report: Sequence[float] = ()
        if well and side is not None:
            report = from_text(bytes(side.body), self.rules.report_fields)
            self.tally.count("reports-by-probe" if report else "probes-without-report")
        self.tell(self.decisions.probed, runner, well, report)

    def _dispatched(self, work: Work, trip: Trip, how: str, side: RunnerSide | None) -> None:
        """The errand of a dispatch is over: the runner took the unit, or the dispatch has ended."""
        if how == HELD_BACK:
            self.tally.count("not-sent")
            self._end(work, trip, Outcome.NOT_SENT)
        elif how == UNREACHED:
            self._end(work, trip, Outcome.UNREACHABLE)
        elif how == BROKEN or side is None:
            self._end(work, trip, Outcome.RESET)
        else:
            outcome = outcome_of(side.status, side.not_run)
            if outcome == TAKEN:
                trip.taken = True
            else:
                self._end(work, trip, Outcome(outcome), from_text(side.load, self.rules.report_fields))

    def _call_off(self, work: Work, trip: Trip) -> None:
        """Before the runner has said that it took the unit the connection closes; after that it is told."""
        errand, pool = trip.errand, self.pools[trip.runner]
        if errand is None or pool is None:
            return
        trip.ran_on = errand.link is not None
        if not trip.taken:
            pool.cut(errand)
        elif self.may_cancel:
            self._small_errand(pool, b"DELETE", b"/jobs/" + quote(work.ident, safe="").encode(),
                               lambda how, side: None)

    def _end(self, work: Work, trip: Trip, outcome: Outcome, report: Sequence[float] = ()) -> None:
        if not trip.out:
            return
        trip.out = False
        pool = self.pools[trip.runner]
        if trip.errand and pool and not trip.errand.over:
            # Its call-back came before the 202, which may never come now.
            trip.errand.over = True
            self.timers.wake(ANSWER_WITHIN, partial(pool.cut, trip.errand))
        self.tally.count("ended-" + outcome.name.lower().replace("_", "-"))
        if outcome == Outcome.DONE:
            self.tally.must(not work.open, "done-is-answered-first")
        self.tell(self.decisions.ended, work.no, trip.nth, trip.runner, outcome, not work.open, report,
                  unit=work.no)
        self._forget(work)

    def _forget(self, work: Work) -> None:
        if not work.open and not any(trip.out for trip in work.trips):
            self.units.pop(work.no, None)
            if self.by_ident.get(work.ident) is work:
                del self.by_ident[work.ident]

    def _trip(self, ident: str, uid: str, ended: bool = False) -> tuple[Work, Trip] | None:
        work, runner = self.by_ident.get(ident), self.runners.find(uid)
        if work:
            for trip in work.trips:
                if trip.runner == runner and trip.out:
                    return work, trip
                if trip.runner == runner and ended:
                    trip.ran_on = False  # given up on, and now it has come to its end
        self.tally.count("call-backs-for-none")
        return None

    def job_started(self, ident: str, uid: str) -> None:
        found = self._trip(ident, uid)
        if found and not found[1].started:
            work, trip = found
            trip.started = True
            self.tell(self.decisions.started, work.no, trip.nth, trip.runner, unit=work.no)

    def job_running(self, ident: str, uid: str, share: float) -> None:
        found = self._trip(ident, uid)
        if found:
            work, trip = found
            self.tell(self.decisions.progressed, work.no, trip.nth, trip.runner, share, unit=work.no)

    def job_ended(self, ident: str, uid: str, outcome: Outcome, result: bytes,
                  report: Sequence[float]) -> None:
        found = self._trip(ident, uid, ended=True)
        if not found:
            return
        work, trip = found
        if outcome == Outcome.DONE and work.open:
            self._answer(work.no, "done", 200, [], result)
        self.tally.count("reports-by-call-back" if report else "call-backs-without-report")
        self._end(work, trip, outcome, report)

    # --- from discovery ---

    def enlist(self, uid: str, host: str, port: int, zone: str, kind: str, cell: int, standing: Standing,
               weight: float, boot_ms: int) -> Listing:
        runner = self.runners.place(uid)
        while runner >= len(self.pools):
            self.pools.append(None)
            self.address.append(("", 0, 0))
            self.standing.append(Standing.GONE)
        at = (host, port, boot_ms)
        if self.address[runner] != at:
            # A process that started anew or moved: connections to the old one are not used.
            old = self.pools[runner]
            if old:
                old.close()
            self.address[runner] = at
            self.pools[runner] = Pool(host, port, self.rules.connect_within / 10_000,
                                      self.rules.idle_for / 10_000 / 2, self.tally, self._has_room)
        mark = zlib.crc32(uid.encode()) / (1 << 32)
        return Listing(runner, standing, weight, self.rules.zones.place(plain(zone)), cell, boot_ms * 10,
                       self.rules.kinds.place(plain(kind)), mark)

    def listed(self, entries: Sequence[Listing], whole: bool) -> None:
        if whole:
            self.standing = [Standing.GONE] * len(self.standing)
        for entry in entries:
            self.standing[entry.runner] = entry.standing
        self.tell(self.decisions.listed, entries, whole)

    def list_failed(self) -> None:
        self.tell(self.decisions.list_failed)

    def _has_room(self) -> bool:
        return sum(pool.sockets() for pool in self.pools if pool) < self.most_runner_sockets

    def sweep(self) -> None:
        for pool in self.pools:
            if pool:
                pool.sweep()

    def figures(self) -> dict[str, int]:
        return {"now-open": sum(work.open for work in self.units.values()), "now-kept": len(self.units),
                "now-runner-connections": sum(pool.sockets() for pool in self.pools if pool)}
