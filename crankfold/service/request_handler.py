"""Where sockets and decisions meet: what comes in is told, and what is decided is carried out."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import partial
from urllib.parse import quote

from crankfold.config.parser import ServiceConfig, setting_text
from crankfold.network.accepted_connection import AcceptedConnection
from crankfold.network.connection_pool import Exchange, ExchangeResult
from crankfold.network.metrics import Metrics
from crankfold.network.timers import Timers
from crankfold.protocol.backend_connection import (
    Acceptance,
    BackendConnection,
    attempt_headers,
    classify_response,
)
from crankfold.protocol.client_request import ClientRequest
from crankfold.protocol.load_reports import report_from_header
from crankfold.routing.interface import (
    NEVER_EXECUTED,
    AttemptEnd,
    Endpoint,
    EndpointState,
    Idempotency,
    Outcome,
    RequestArrival,
    RoutingConfig,
)
from crankfold.routing.router import Router
from crankfold.service.backend_registry import BackendRegistry
from crankfold.service.collaborators import ClusterServices, OtherProcesses, RecordedEvent
from crankfold.service.lifecycle import Lifecycle
from crankfold.service.request_classes import RequestClassTable
from crankfold.service.request_table import Attempt, Request, RequestTable

TRANSIT_ALLOWANCE = 10  # a request has been under way before it was read: its cut-off is nearer by so much


class RequestHandler:
    def __init__(
        self,
        orders: RoutingConfig,
        rules: ServiceConfig,
        *,
        seed: int,
        timers: Timers,
        metrics: Metrics,
        backends: BackendRegistry,
        lifecycle: Lifecycle,
        cluster: ClusterServices,
        other_processes: OtherProcesses,
        poll_endpoints: Callable[[], None],
    ) -> None:
        self.config, self.timers, self.clock, self.metrics = rules, timers, timers.clock, metrics
        self.backends, self.lifecycle, self.poll_endpoints = backends, lifecycle, poll_endpoints
        self.cluster, self.other_processes = cluster, other_processes
        self.cancels_attempts = orders.cancellation_allowed
        self.probe_target = (
            b"/load" if orders.reports_in_responses or orders.reports_by_probe else b"/healthz"
        )
        self.closed = False  # the process ends: what still comes is shed
        self.load_reports: dict[int, tuple[int, Sequence[float]]] = {}  # each runner's last, and when
        self.call_soon = asyncio.get_running_loop().call_soon
        self.request_classes = RequestClassTable(rules.request_classes.names, orders.request_classes)
        self.request_table = RequestTable(self.request_classes, cluster)
        self.routing = Router(orders, seed, self)

    # --- telling the decisions ---

    def notify_routing(self, call: Callable[..., None], *args: object, unit: int = -1) -> None:
        """A failure in the decisions ends here: the unit in hand is given up on and the process goes on."""
        try:
            call(self.clock.now(), *args)
        except Exception as wrong:
            self.metrics.record_exception(wrong)
            work = self.request_table.requests.get(unit)
            if work and work.is_open:
                self._fail_request(work)
            if __debug__:
                raise

    def _fail_request(self, work: Request) -> None:
        """Given up without the decisions having said so: they are told that nothing is owed any more."""
        self.fail_request(work.number)
        try:
            self.routing.client_disconnected(self.clock.now(), work.number)
        except Exception as wrong:
            self.metrics.record_exception(wrong)

    # --- from clients ---

    def is_serving(self) -> bool:
        return self.lifecycle.is_serving() and self.cluster.has_valid_config()

    def knows_request_class(self, name: str) -> bool:
        return self.request_classes.find(setting_text(name)) >= 0

    def submit(self, client: object, submitted: ClientRequest) -> None:
        assert isinstance(client, AcceptedConnection)
        ident, grade, tenant = submitted.request_id, submitted.request_class, submitted.tenant
        if client.peer_has_closed():
            self.metrics.increment("clients-gone-before-read")
            client.reject(503)
            return
        if self.closed:
            self.metrics.increment("shed-at-the-end")
            client.reject(503)
            return
        if ident in self.request_table.by_request_id or self.other_processes.has_request(ident):
            self.metrics.increment("ids-in-hand-already")
            client.reject(409)
            return
        if client.exceeds_limit() or len(self.request_table.requests) >= self.config.max_pending:
            # Nothing was sent for it, so a retry is harmless.
            self.metrics.increment("shed-for-room")
            client.respond(503)
            return
        if not self.cluster.has_valid_config():
            # Nothing was sent for it either; by the time of a lease somebody has one again.
            self.metrics.increment("shed-cut-off")
            client.respond(503, [(b"Retry-After", b"1")])
            return
        counted = self.cluster.acquire_quota(grade, tenant)
        if counted is None:
            self.metrics.increment("shed-for-share")
            client.respond(503, [(b"Retry-After", b"1")])
            return
        self.metrics.increment("taken")
        self.cluster.record_event(RecordedEvent.REQUEST_ADMITTED, ident, grade)
        wait = max(submitted.timeout - TRANSIT_ALLOWANCE, 0)
        row = self.request_classes.find(setting_text(grade))
        held = self.request_table.add(row, ident, client, self.clock.now() + wait, submitted.http)
        held.quota_limits = counted
        held.deadline_timer = self.timers.call_after(wait, partial(self._on_deadline, held))
        self.notify_routing(
            self.routing.request_received,
            RequestArrival(
                held.number,
                row,
                held.deadline,
                submitted.work,
                submitted.slots,
                submitted.affinity_key,
                submitted.is_retry,
            ),
            unit=held.number,
        )

    def client_disconnected(self, client: AcceptedConnection) -> None:
        work = self.request_table.by_client.get(client)
        if work and work.is_open:
            self.request_table.close(work)
            self.notify_routing(self.routing.client_disconnected, work.number)
            self.request_table.discard(work)

    def _on_deadline(self, work: Request) -> None:
        """The decisions answer before this; what is still out then is waited for no longer."""
        if work.is_open:
            self.metrics.increment("units-open-at-cut-off")
            self._abort_request(work)
        for trip in work.attempts:
            self._on_attempt_timeout(work, trip)

    def answer_all_open(self) -> None:
        """At the end of a drain what is still open gets its answer now, as nobody will be there later, and so
        does what comes from here on."""
        self.closed = True
        for work in list(self.request_table.requests.values()):
            if work.is_open:
                self.metrics.increment("answered-at-drain")
                self._abort_request(work)

    def _abort_request(self, work: Request) -> None:
        """Its answer now: shed where a retry is harmless, else given up, also where the decisions fail."""
        self.notify_routing(self.routing.request_aborted, work.number, unit=work.number)
        if work.is_open:
            self._fail_request(work)

    # --- the port: what is decided ---

    def send_attempt(self, unit: int, runner: int) -> None:
        work = self.request_table.requests.get(unit)
        if work is None:
            self.metrics.check_invariant(False, "dispatch-for-a-unit-in-hand")
            return
        trip = Attempt(len(work.attempts), runner, self.clock.now())
        # One runner gets one dispatch of a unit at a time, also where it did not heed the calling off. It may
        # tell of an end again: the "never ran" of a first dispatch would pass for that of a second.
        once = self.request_classes.classes[work.class_index].idempotency != Idempotency.IDEMPOTENT
        there = any(
            other.backend == runner and (other.in_flight or other.may_still_run or once and other.was_sent())
            for other in work.attempts
        )
        work.attempts.append(trip)
        self.metrics.increment("dispatches")
        if there or not self._may_send(work, trip):
            self.call_soon(self._on_exchange_ended, work, trip, ExchangeResult.NOT_SENT, None)
            return
        http = work.http_request
        trip.exchange = Exchange(
            http.method,
            http.target,
            lambda: attempt_headers(http.headers, work.deadline - self.clock.now()),
            http.body,
            may_send=partial(self._may_send, work, trip),
            on_end=partial(self._on_exchange_ended, work, trip),
        )
        self.backends.pools[runner].send(trip.exchange)

    def _may_send(self, work: Request, trip: Attempt) -> bool:
        """While a connection came up the unit may have ended or the runner have begun to drain."""
        may = (
            work.is_open
            and trip.in_flight
            and self.backends.states[trip.backend] == EndpointState.READY
            and self.clock.now() < work.deadline
            and self.cluster.has_valid_config()
            and self._within_deduplication_window(work, trip)
        )
        if may:
            backend_id = self.backends.backend_ids.names[trip.backend]
            self.cluster.record_event(RecordedEvent.ATTEMPT_SENT, work.request_id, backend_id)
        return may

    def _within_deduplication_window(self, work: Request, trip: Attempt) -> bool:
        """While a connection came up, the time may have run out for which a group knows a tagged unit."""
        grade = self.request_classes.classes[work.class_index]
        return grade.idempotency != Idempotency.IDEMPOTENT_WITH_KEY or all(
            other is trip
            or not other.may_have_run
            or self.clock.now() + self.routing.clock_margin < other.created_at + grade.deduplication_window
            for other in work.attempts
        )

    def shed(self, unit: int, advice: int) -> None:
        heads = [(b"Retry-After", f"{advice / 10_000:.3f}".encode())] if advice else []
        self._answer(unit, "shed", 503, heads)

    def fail_request(self, unit: int) -> None:
        self._answer(unit, "given-up", 504)

    def _answer(
        self, unit: int, how: str, status: int, heads: Sequence[tuple[bytes, bytes]] = (), body: bytes = b""
    ) -> None:
        work = self.request_table.requests.get(unit)
        self.metrics.check_invariant(work is not None and work.is_open, "one-answer-a-unit")
        if work is not None and work.is_open:
            self.request_table.close(work)
            self.metrics.increment(how)
            if self.clock.now() > work.deadline:
                self.metrics.increment("answers-after-cut-off")
            work.client.respond(status, heads, body)
            self.call_soon(self.request_table.discard, work)

    def cancel_attempt(self, unit: int, nth: int) -> None:
        work = self.request_table.requests.get(unit)
        if work is not None and work.attempts[nth].in_flight:
            self.metrics.increment("called-off")
            self._cancel_attempt(work, work.attempts[nth])
            self.call_soon(self._end_attempt, work, work.attempts[nth], Outcome.CANCELLED)

    def set_timer(self, after: int, label: int) -> None:
        # The decisions ask for wakes while they are being made, when `self.decisions` is not there yet.
        self.timers.call_after(after, lambda: self.notify_routing(self.routing.timer_fired, label))

    def probe(self, runner: int) -> None:
        self.metrics.increment("probes")
        self.backends.send_control_request(
            runner, b"GET", self.probe_target, partial(self._on_probe_answer, runner)
        )

    # --- from runners ---

    def _on_probe_answer(self, runner: int, how: ExchangeResult, side: BackendConnection | None) -> None:
        well = how is ExchangeResult.ANSWERED and side is not None and side.status == 200
        report: Sequence[float] = ()
        if well and side is not None:
            report = report_from_header(bytes(side.body), self.config.report_fields)
            self.metrics.increment("reports-by-probe" if report else "probes-without-report")
        self._store_load_report(runner, report)
        self.notify_routing(self.routing.probe_ended, runner, well, report)

    def _store_load_report(self, runner: int, report: Sequence[float]) -> None:
        if report:
            self.load_reports[runner] = self.clock.now(), report

    def _on_exchange_ended(
        self, work: Request, trip: Attempt, how: ExchangeResult, side: BackendConnection | None
    ) -> None:
        """The exchange of a dispatch is over: the runner took the unit, or the dispatch has ended."""
        if how is ExchangeResult.NOT_SENT:
            self._end_attempt(work, trip, Outcome.NOT_SENT)
        elif how is ExchangeResult.UNREACHABLE:
            self._end_attempt(work, trip, Outcome.UNREACHABLE)
        elif how is ExchangeResult.STALE_CONNECTION:
            self._end_attempt(work, trip, Outcome.STALE_CONNECTION)
        elif how is not ExchangeResult.ANSWERED or side is None:
            self._end_attempt(work, trip, Outcome.RESET)
        else:
            outcome = classify_response(side.status, side.not_processed)
            if outcome is Acceptance.ACCEPTED:
                trip.accepted = True
            elif outcome is Acceptance.REJECTED:
                # The client's answer, as a result would be. Tried on, one such unit had five runners doubted.
                if work.is_open:
                    self._answer(work.number, "unfit", 400)
                self._end_attempt(work, trip, Outcome.CANCELLED)
            else:
                self._end_attempt(
                    work,
                    trip,
                    outcome,
                    report_from_header(side.load_header, self.config.report_fields),
                )

    def _on_attempt_timeout(self, work: Request, trip: Attempt) -> None:
        if trip.in_flight:
            self._cancel_attempt(work, trip)
            self._end_attempt(work, trip, Outcome.TIMED_OUT)

    def _cancel_attempt(self, work: Request, trip: Attempt) -> None:
        """Before the runner has said that it took the unit the connection closes; after that it is told."""
        if trip.exchange is None:
            return
        trip.may_still_run = trip.exchange.connection is not None
        if trip.may_still_run:
            self.cluster.attempt_abandoned(self.backends.backend_ids.names[trip.backend], work.request_id)
        if not trip.accepted:
            trip.exchange.abort()
        elif self.cancels_attempts:
            target = b"/jobs/" + quote(work.request_id, safe="").encode()
            self.backends.send_control_request(trip.backend, b"DELETE", target, lambda how, side: None)

    def _end_attempt(
        self, work: Request, trip: Attempt, outcome: Outcome, report: Sequence[float] = ()
    ) -> None:
        if not trip.in_flight:
            return
        trip.in_flight, trip.may_have_run = False, outcome not in NEVER_EXECUTED
        if trip.exchange:
            self.backends.abandon_exchange(trip.exchange)
        self._store_load_report(trip.backend, report)
        self.metrics.increment("ended-" + outcome.name.lower().replace("_", "-"))
        self.cluster.attempt_finished(trip.backend, outcome)
        self.notify_routing(
            self.routing.attempt_ended,
            work.number,
            trip.number,
            trip.backend,
            AttemptEnd(outcome, not work.is_open, report),
            unit=work.number,
        )
        self.request_table.discard(work)

    def has_request(self, ident: str) -> bool:
        return ident in self.request_table.by_request_id

    def forward_unknown_callback(self, client: object, body: bytes) -> bool:
        """A call-back for a unit not in hand: whether its answer waits for another process to hear it."""
        assert isinstance(client, AcceptedConnection)

        def heard(yes: bool | None) -> None:
            if not yes:
                self.metrics.increment("call-backs-for-none")
            if client.protocol.awaiting_response:
                # Nobody holds it: heard all the same. Told nothing, the runner is to try again.
                client.respond(503 if yes is None else 204)

        def later(yes: bool | None) -> None:
            self.call_soon(heard, yes)  # it may be told at once, from within

        return self.other_processes.forward_callback(body, later)

    def _find_attempt(self, ident: str, uid: str) -> tuple[Request, Attempt] | None:
        found = self.request_table.find_active_attempt(ident, self.backends.backend_ids.find(uid))
        if not found:
            self.metrics.increment("call-backs-for-none")
        return found

    def execution_started(self, ident: str, uid: str) -> None:
        found = self._find_attempt(ident, uid)
        if found and not found[1].started:
            work, trip = found
            trip.started = True
            self.notify_routing(
                self.routing.attempt_started, work.number, trip.number, trip.backend, unit=work.number
            )

    def execution_progressed(self, ident: str, uid: str, share: float) -> None:
        found = self._find_attempt(ident, uid)
        if found:
            work, trip = found
            self.notify_routing(
                self.routing.attempt_progressed,
                work.number,
                trip.number,
                trip.backend,
                unit=work.number,
            )

    def execution_ended(
        self, ident: str, uid: str, outcome: Outcome, result: bytes, report: Sequence[float]
    ) -> None:
        found = self._find_attempt(ident, uid)
        if not found:
            self.request_table.mark_abandoned_finished(ident, self.backends.backend_ids.find(uid))
            self.cluster.abandoned_attempt_finished(ident, uid)
            return
        work, trip = found
        self.metrics.increment("reports-by-call-back" if report else "call-backs-without-report")
        if outcome == Outcome.COMPLETED and work.is_open:
            self._answer(work.number, "done", 200, body=result)
        self._end_attempt(work, trip, outcome, report)

    # --- new settings ---

    def config_changed(self, orders: RoutingConfig, rules: ServiceConfig) -> None:
        """Other grades and bounds. What names are known by numbers keeps them."""
        for tenant in rules.tenants.names:
            self.config.tenants.intern(tenant)
        old = self.config
        self.config = replace(
            rules,
            tenants=old.tenants,
            zones=old.zones,
            instance_types=old.instance_types,
            report_fields=old.report_fields,
            slow_start_duration=old.slow_start_duration,
        )
        self.backends.config, self.cancels_attempts = self.config, orders.cancellation_allowed
        self.request_classes.update(rules.request_classes.names, orders.request_classes)
        self.notify_routing(
            self.routing.config_changed,
            replace(orders, request_classes=self.request_classes.classes),
            self.request_classes.reassigned,
        )

    # --- from discovery ---

    def endpoints_changed(self, entries: Sequence[Endpoint], whole: bool) -> None:
        self.notify_routing(
            self.routing.endpoints_changed, self.backends.update_endpoints(entries, whole), whole
        )

    def discovery_failed(self) -> None:
        self.notify_routing(self.routing.discovery_failed)

    def open_request_count(self) -> int:
        return sum(work.is_open for work in self.request_table.requests.values())
