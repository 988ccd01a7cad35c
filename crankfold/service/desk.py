"""Where sockets and decisions meet: what comes in is told, and what is decided is carried out."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import partial
from urllib.parse import quote

from crankfold.dispatch.interface import Effect, Listing, Outcome, Standing, StandingOrders
from crankfold.dispatch.policy import NEVER_RAN, Dispatcher
from crankfold.network.listener import Client
from crankfold.network.runners import ANSWERED, HELD_BACK, UNREACHED, WORN, Exchange
from crankfold.network.tally import Tally
from crankfold.network.timers import Timers
from crankfold.orders.reader import HouseRules, plain
from crankfold.protocol.reports import from_text
from crankfold.protocol.runners import TAKEN, UNFIT, RunnerSide, dispatch_heads, outcome_of
from crankfold.service.duty import Duty
from crankfold.service.fleet import Fleet
from crankfold.service.grades import GradeBook
from crankfold.service.ledger import Ledger, Trip, Work

TRANSIT = 10  # a request has been under way before it was read: its cut-off is nearer by so much


class Desk:
    def __init__(self, orders: StandingOrders, rules: HouseRules, seed: int, timers: Timers, tally: Tally,
                 fleet: Fleet, duty: Duty, subscribe: Callable[[], None]) -> None:
        self.rules, self.timers, self.clock, self.tally = rules, timers, timers.clock, tally
        self.fleet, self.duty, self.subscribe = fleet, duty, subscribe
        self.may_cancel = orders.may_cancel
        self.probe_target = b"/load" if orders.reports_in_answers or orders.reports_by_probe else b"/healthz"
        self.over = False  # the process ends: what still comes is shed
        self.crowded: Callable[[], bool] = lambda: False
        # With peers: whether rules may be acted on at this moment, and where what is done is written down.
        self.may_act: Callable[[], bool] = lambda: True
        self.record: Callable[[str, str, str], None] | None = None
        self.hold: Callable[[str, str], Sequence[str] | None] | None = None  # places of limits, if there are
        # With machines out for work: what is left running on one, what ended there, what ended after all.
        self.left_running: Callable[[str, str], None] | None = None
        self.dispatch_ended: Callable[[int, Outcome], None] | None = None
        self.ended_after_all: Callable[[str, str], None] | None = None
        self.elsewhere: frozenset[str] = frozenset()  # ids in hand at the process before this one
        self.pass_on: Callable[[bytes, Callable[[bool | None], None]], bool] = lambda body, done: False
        self.reports: dict[int, tuple[int, Sequence[float]]] = {}  # each runner's last, and when
        self.later = asyncio.get_running_loop().call_soon
        self.grades = GradeBook(rules.grades.names, orders.grades)
        self.ledger = Ledger(self.grades)
        self.decisions = Dispatcher(orders, seed, self)

    # --- telling the decisions ---

    def tell(self, call: Callable[..., None], *args: object, unit: int = -1) -> None:
        """A failure in the decisions ends here: the unit in hand is given up on and the process goes on."""
        try:
            call(self.clock.now(), *args)
        except Exception as wrong:
            self.tally.failed(wrong)
            work = self.ledger.units.get(unit)
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
        return self.duty.healthy() and self.may_act()

    def knows_grade(self, name: str) -> bool:
        return self.grades.find(plain(name)) >= 0

    def hand_in(self, client: object, ident: str, grade: str, tenant: str, wait: int, work: int, slots: float,
                again: tuple[bytes, bytes, list[tuple[bytes, bytes]], bytes], key: int = 0,
                retried: bool = False) -> None:
        assert isinstance(client, Client)
        if client.has_gone():
            self.tally.count("clients-gone-before-read")
            client.refuse(503)
            return
        if self.over:
            self.tally.count("shed-at-the-end")
            client.refuse(503)
            return
        if ident in self.ledger.by_ident or ident in self.elsewhere:
            self.tally.count("ids-in-hand-already")
            client.refuse(409)
            return
        if self.crowded() or len(self.ledger.units) >= self.rules.most_held:
            # Nothing was sent for it, so a retry is harmless.
            self.tally.count("shed-for-room")
            client.answer(503)
            return
        if not self.may_act():
            # Nothing was sent for it either; by the time of a lease somebody has one again.
            self.tally.count("shed-cut-off")
            client.answer(503, [(b"Retry-After", b"1")])
            return
        counted: Sequence[str] | None = self.hold(grade, tenant) if self.hold else ()
        if counted is None:
            self.tally.count("shed-for-share")
            client.answer(503, [(b"Retry-After", b"1")])
            return
        self.tally.count("taken")
        if self.record:
            self.record("take", ident, grade)
        wait = max(wait - TRANSIT, 0)
        row = self.grades.find(plain(grade))
        held = self.ledger.enter(row, ident, client, self.clock.now() + wait, again)
        held.counted = counted
        held.time_up = self.timers.wake(wait, partial(self._time_up, held))
        payer = max(self.rules.tenants.find(plain(tenant)), 0)
        self.tell(self.decisions.taken, held.no, row, payer, held.cutoff, work, slots, key, retried,
                  unit=held.no)

    def left(self, client: Client) -> None:
        work = self.ledger.by_client.get(client)
        if work and work.open:
            self.ledger.close(work)
            self.tell(self.decisions.client_left, work.no)
            self.ledger.forget(work)

    def _time_up(self, work: Work) -> None:
        """The decisions answer before this; what is still out then is waited for no longer."""
        if work.open:
            self.tally.count("units-open-at-cut-off")
            self._recall(work)
        for trip in work.trips:
            self._stop_waiting(work, trip)

    def close_all(self) -> None:
        """At the end of a drain what is still open gets its answer now, as nobody will be there later, and so
        does what comes from here on."""
        self.over = True
        for work in list(self.ledger.units.values()):
            if work.open:
                self.tally.count("answered-at-drain")
                self._recall(work)

    def _recall(self, work: Work) -> None:
        """Its answer now: shed where a retry is harmless, else given up, also where the decisions fail."""
        self.tell(self.decisions.recalled, work.no, unit=work.no)
        if work.open:
            self._drop(work)

    # --- the port: what is decided ---

    def dispatch(self, unit: int, runner: int, limit: int) -> None:
        work = self.ledger.units.get(unit)
        if work is None:
            self.tally.must(False, "dispatch-for-a-unit-in-hand")
            return
        trip = Trip(len(work.trips), runner, self.clock.now())
        # One runner gets one dispatch of a unit at a time, also where it did not heed the calling off. It may
        # tell of an end again: the "never ran" of a first dispatch would pass for that of a second.
        once = self.grades.rows[work.row].effect != Effect.REPEATABLE
        there = any(other.runner == runner and (other.out or other.ran_on or once and other.reached())
                    for other in work.trips)
        work.trips.append(trip)
        self.tally.count("dispatches")
        if there or not self._may_go(work, trip):
            self.later(self._dispatched, work, trip, HELD_BACK, None)
            return
        method, target, heads, body = work.again
        trip.exchange = Exchange(
            method, target, lambda: dispatch_heads(heads, work.cutoff - self.clock.now()), body,
            partial(self._may_go, work, trip), partial(self._dispatched, work, trip))
        self.fleet.pools[runner].send(trip.exchange)
        if limit > 0:
            self.timers.wake(limit, partial(self._stop_waiting, work, trip))

    def _may_go(self, work: Work, trip: Trip) -> bool:
        """While a connection came up the unit may have ended or the runner have begun to drain."""
        may = (work.open and trip.out and self.fleet.standing[trip.runner] == Standing.READY
               and self.clock.now() < work.cutoff and self.may_act() and self._in_window(work, trip))
        if may and self.record:
            self.record("dispatch", work.ident, self.fleet.numbers.names[trip.runner])
        return may

    def _in_window(self, work: Work, trip: Trip) -> bool:
        """While a connection came up, the time may have run out for which a group knows a tagged unit."""
        grade = self.grades.rows[work.row]
        return grade.effect != Effect.TAGGED or all(
            other is trip or not other.may_have_run
            or self.clock.now() + self.decisions.margin < other.began + grade.window for other in work.trips)

    def shed(self, unit: int, advice: int) -> None:
        heads = [(b"Retry-After", f"{advice / 10_000:.3f}".encode())] if advice else []
        self._answer(unit, "shed", 503, heads)

    def give_up(self, unit: int) -> None:
        self._answer(unit, "given-up", 504)

    def _answer(self, unit: int, how: str, status: int, heads: Sequence[tuple[bytes, bytes]] = (),
                body: bytes = b"") -> None:
        work = self.ledger.units.get(unit)
        self.tally.must(work is not None and work.open, "one-answer-a-unit")
        if work is not None and work.open:
            self.ledger.close(work)
            self.tally.count(how)
            if self.clock.now() > work.cutoff:
                self.tally.count("answers-after-cut-off")
            work.client.answer(status, heads, body)
            self.later(self.ledger.forget, work)

    def cancel(self, unit: int, nth: int) -> None:
        work = self.ledger.units.get(unit)
        if work is not None and work.trips[nth].out:
            self.tally.count("called-off")
            self._call_off(work, work.trips[nth])
            self.later(self._end, work, work.trips[nth], Outcome.CANCELLED)

    def wake(self, after: int, label: int) -> None:
        # The decisions ask for wakes while they are being made, when `self.decisions` is not there yet.
        self.timers.wake(after, lambda: self.tell(self.decisions.woken, label))

    def probe(self, runner: int) -> None:
        self.tally.count("probes")
        self.fleet.exchange(runner, b"GET", self.probe_target, partial(self._probed, runner))

    # --- from runners ---

    def _probed(self, runner: int, how: str, side: RunnerSide | None) -> None:
        well = how == ANSWERED and side is not None and side.status == 200
        report: Sequence[float] = ()
        if well and side is not None:
            report = from_text(bytes(side.body), self.rules.report_fields)
            self.tally.count("reports-by-probe" if report else "probes-without-report")
        self._keep(runner, report)
        self.tell(self.decisions.probed, runner, well, report)

    def _keep(self, runner: int, report: Sequence[float]) -> None:
        if report:
            self.reports[runner] = self.clock.now(), report

    def _dispatched(self, work: Work, trip: Trip, how: str, side: RunnerSide | None) -> None:
        """The exchange of a dispatch is over: the runner took the unit, or the dispatch has ended."""
        if how == HELD_BACK:
            self._end(work, trip, Outcome.NOT_SENT)
        elif how == UNREACHED:
            self._end(work, trip, Outcome.UNREACHABLE)
        elif how == WORN:
            self._end(work, trip, Outcome.WORN)
        elif how != ANSWERED or side is None:
            self._end(work, trip, Outcome.RESET)
        else:
            outcome = outcome_of(side.status, side.not_run)
            if outcome == TAKEN:
                trip.taken = True
            elif outcome == UNFIT:
                # The client's answer, as a result would be. Tried on, one such unit had five runners doubted.
                if work.open:
                    self._answer(work.no, "unfit", 400)
                self._end(work, trip, Outcome.CANCELLED)
            else:
                self._end(work, trip, Outcome(outcome), from_text(side.load, self.rules.report_fields))

    def _stop_waiting(self, work: Work, trip: Trip) -> None:
        if trip.out:
            self._call_off(work, trip)
            self._end(work, trip, Outcome.LATE)

    def _call_off(self, work: Work, trip: Trip) -> None:
        """Before the runner has said that it took the unit the connection closes; after that it is told."""
        if trip.exchange is None:
            return
        trip.ran_on = trip.exchange.connection is not None
        if self.left_running and trip.ran_on:
            self.left_running(self.fleet.numbers.names[trip.runner], work.ident)
        if not trip.taken:
            self.fleet.pools[trip.runner].cut(trip.exchange)
        elif self.may_cancel:
            target = b"/jobs/" + quote(work.ident, safe="").encode()
            self.fleet.exchange(trip.runner, b"DELETE", target, lambda how, side: None)

    def _end(self, work: Work, trip: Trip, outcome: Outcome, report: Sequence[float] = ()) -> None:
        if not trip.out:
            return
        trip.out, trip.may_have_run = False, outcome not in NEVER_RAN
        if trip.exchange:
            self.fleet.let_go(trip.runner, trip.exchange)
        self._keep(trip.runner, report)
        self.tally.count("ended-" + outcome.name.lower().replace("_", "-"))
        if self.dispatch_ended:
            self.dispatch_ended(trip.runner, outcome)
        self.tell(self.decisions.ended, work.no, trip.nth, trip.runner, outcome, not work.open, report,
                  unit=work.no)
        self.ledger.forget(work)

    def holds(self, ident: str) -> bool:
        return ident in self.ledger.by_ident

    def elsewhere_told(self, client: object, body: bytes) -> bool:
        """A call-back for a unit not in hand: whether its answer waits for another process to hear it."""
        assert isinstance(client, Client)

        def heard(yes: bool | None) -> None:
            if not yes:
                self.tally.count("call-backs-for-none")
            if client.side.in_hand:
                # Nobody holds it: heard all the same. Told nothing, the runner is to try again.
                client.answer(503 if yes is None else 204)

        def later(yes: bool | None) -> None:
            self.later(heard, yes)  # it may be told at once, from within

        return self.pass_on(body, later)

    def _spoken_of(self, ident: str, uid: str) -> tuple[Work, Trip] | None:
        found = self.ledger.trip(ident, self.fleet.numbers.find(uid))
        if not found:
            self.tally.count("call-backs-for-none")
        return found

    def job_started(self, ident: str, uid: str) -> None:
        found = self._spoken_of(ident, uid)
        if found and not found[1].started:
            work, trip = found
            trip.started = True
            self.tell(self.decisions.started, work.no, trip.nth, trip.runner, unit=work.no)

    def job_running(self, ident: str, uid: str, share: float) -> None:
        found = self._spoken_of(ident, uid)
        if found:
            work, trip = found
            self.tell(self.decisions.progressed, work.no, trip.nth, trip.runner, share, unit=work.no)

    def job_ended(self, ident: str, uid: str, outcome: Outcome, result: bytes,
                  report: Sequence[float]) -> None:
        found = self._spoken_of(ident, uid)
        if not found:
            self.ledger.ended_after_all(ident, self.fleet.numbers.find(uid))
            if self.ended_after_all:
                self.ended_after_all(ident, uid)
            return
        work, trip = found
        self.tally.count("reports-by-call-back" if report else "call-backs-without-report")
        if outcome == Outcome.DONE and work.open:
            self._answer(work.no, "done", 200, body=result)
        self._end(work, trip, outcome, report)

    # --- new settings ---

    def renewed(self, orders: StandingOrders, rules: HouseRules) -> None:
        """Other grades and bounds. What names are known by numbers keeps them."""
        for tenant in rules.tenants.names:
            self.rules.tenants.place(tenant)
        old = self.rules
        self.rules = replace(rules, tenants=old.tenants, zones=old.zones, kinds=old.kinds,
                             report_fields=old.report_fields, warm_after=old.warm_after)
        self.fleet.rules, self.may_cancel = self.rules, orders.may_cancel
        self.grades.renew(rules.grades.names, orders.grades)
        self.tell(self.decisions.renewed, replace(orders, grades=self.grades.rows), self.grades.anew)

    # --- from discovery ---

    def listed(self, entries: Sequence[Listing], whole: bool) -> None:
        self.tell(self.decisions.listed, self.fleet.listed(entries, whole), whole)

    def list_failed(self) -> None:
        self.tell(self.decisions.list_failed)

    def open_units(self) -> int:
        return sum(work.open for work in self.ledger.units.values())
