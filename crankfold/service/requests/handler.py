"""Requests: admits what clients send, answers it, and stands between the sockets and the decisions."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import partial
from typing import NamedTuple

from crankfold.config.parser import ServiceConfig, setting_text
from crankfold.network.metrics import Metrics
from crankfold.network.timers import Timers
from crankfold.protocol.client_connection import ClientChannel
from crankfold.protocol.client_request import ClientRequest
from crankfold.protocol.headers import Header
from crankfold.routing.interface import Endpoint, RequestArrival, RoutingConfig
from crankfold.routing.router import Router
from crankfold.service.backends.health_probes import HealthProbes
from crankfold.service.backends.load_report_store import LoadReportStore
from crankfold.service.backends.registry import BackendRegistry
from crankfold.service.lifecycle import Lifecycle
from crankfold.service.requests.attempts import Attempts
from crankfold.service.requests.callback_handler import CallbackHandler
from crankfold.service.requests.classes import RequestClassTable
from crankfold.service.requests.collaborators import ClusterServices, OtherProcesses, RecordedEvent
from crankfold.service.requests.table import Disposition, Request, RequestTable
from crankfold.time_units import TICKS_PER_SECOND

# Ticks that a request was under way before it was read: its deadline is that much nearer.
TRANSIT_ALLOWANCE = 10

ADMITTED_COUNTER = "requests-admitted"


class Refusal(NamedTuple):
    """Why a request is not admitted: the counter that counts it, and the response.

    Nothing was sent for it, so a retry is harmless. `retry_after` is in seconds, 0 for no advice.
    """

    counter: str
    status: int
    closes_connection: bool = False
    retry_after: int = 0


CLIENT_GONE = Refusal("clients-closed-before-read", 503, closes_connection=True)
SHUTTING_DOWN = Refusal("shed-at-shutdown", 503, closes_connection=True)
DUPLICATE_ID = Refusal("duplicate-request-ids", 409, closes_connection=True)
OVERLOADED = Refusal("shed-overloaded", 503)
# Within the time of a lease some dispatcher has a valid configuration again.
NO_VALID_CONFIG = Refusal("shed-without-valid-config", 503, retry_after=1)
QUOTA_USED_UP = Refusal("shed-by-quota", 503, retry_after=1)


class RequestHandler:
    """The request side of a dispatcher.

    Tells the decisions (`routing`) what happens, and carries out what they decide: it is the `RoutingActions`
    of its router, the owner of attempts, and where listeners bring requests.

    Args:
        routing_config: What the decisions are configured by.
        config: What sockets and tables are configured by.
        seed: Of the random numbers of the decisions.
        timers: Calls back later.
        metrics: Counts what happens.
        backends: The backends with their connections.
        lifecycle: Whether this process is in service.
        cluster: The cluster of dispatchers, or `NoCluster`.
        other_processes: Other processes of this dispatcher, or `NoOtherProcess`.
        poll_endpoints: Has discovery asked for the endpoint list.
    """

    def __init__(
        self,
        routing_config: RoutingConfig,
        config: ServiceConfig,
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
        # Long, as it is the one place where the parts of the request side are made and given to each other.
        self.config = config
        self.timers = timers
        self.clock = timers.clock
        self.metrics = metrics
        self.backends = backends
        self.lifecycle = lifecycle
        self.cluster = cluster
        self.other_processes = other_processes
        self.poll_endpoints = poll_endpoints
        self.closed = False  # the process ends: whatever still comes is shed
        self.call_soon = asyncio.get_running_loop().call_soon
        self.request_classes = RequestClassTable(config.request_classes.names, routing_config.request_classes)
        self.request_table = RequestTable(self.request_classes, cluster)
        self.load_reports = LoadReportStore(timers.clock)
        self.attempts = Attempts(
            self,
            self.request_table,
            backends,
            self.load_reports,
            cluster=cluster,
            clock=timers.clock,
            metrics=metrics,
            cancellation_allowed=routing_config.cancellation_allowed,
        )
        self.callbacks = CallbackHandler(
            self,
            self.request_table,
            self.attempts,
            backends,
            cluster=cluster,
            other_processes=other_processes,
            metrics=metrics,
        )
        self.probes = HealthProbes(routing_config, backends, self.load_reports, metrics, self._on_probe_ended)
        self.routing = Router(routing_config, seed, self)

    # --- telling the decisions ---

    def notify_routing(
        self, event: Callable[..., None], *arguments: object, request_number: int = -1
    ) -> None:
        """Tells the decisions an event, with the present time before the arguments.

        A failure in the decisions ends here: the request that the event is about is answered, and the process
        goes on. A debug build raises the exception once it is recorded.
        """
        try:
            event(self.clock.now(), *arguments)
        except Exception as error:
            self.metrics.record_exception(error)
            request = self.request_table.requests.get(request_number)
            if request and request.is_open:
                self._fail_undecided(request)
            if __debug__:
                raise

    def _fail_undecided(self, request: Request) -> None:
        """Fails a request about which routing raised, and tells routing that no answer is owed any more.

        Failed, not shed: without a decision it is not known that a retry would be harmless.
        """
        self.respond(request, Disposition.FAILED)
        try:
            self.routing.client_disconnected(self.clock.now(), request.number)
        except Exception as error:
            self.metrics.record_exception(error)

    # --- admission ---

    def is_serving(self) -> bool:
        """Whether a request would be admitted now, as far as this process is concerned."""
        return self.lifecycle.is_serving() and self.cluster.has_valid_config()

    def knows_request_class(self, name: str) -> bool:
        """Whether there is a request class of that name."""
        return self.request_classes.find(setting_text(name)) >= 0

    def submit(self, client: ClientChannel, request: ClientRequest) -> None:
        """Admits a request, or answers at once why not."""
        refusal = self._check_admission(client, request)
        if refusal:
            self._refuse(client, refusal)
            return
        quota_limits = self.cluster.acquire_quota(request.request_class, request.tenant)
        if quota_limits is None:
            self._refuse(client, QUOTA_USED_UP)
            return
        self._admit(client, request, quota_limits)

    def _admit(self, client: ClientChannel, request: ClientRequest, quota_limits: Sequence[str]) -> None:
        """Takes a request in hand, and leaves it to the decisions."""
        self.metrics.increment(ADMITTED_COUNTER)
        self.cluster.record_event(RecordedEvent.REQUEST_ADMITTED, request.request_id, request.request_class)
        timeout = max(request.timeout - TRANSIT_ALLOWANCE, 0)
        class_index = self.request_classes.find(setting_text(request.request_class))
        admitted = self.request_table.add(
            class_index, request.request_id, client, self.clock.now() + timeout, request.http
        )
        admitted.quota_limits = quota_limits
        admitted.deadline_timer = self.timers.call_after(timeout, partial(self._on_deadline, admitted))
        self.notify_routing(
            self.routing.request_received,
            RequestArrival(
                request_id=admitted.number,
                class_index=class_index,
                deadline=admitted.deadline,
                work=request.work,
                slots=request.slots,
                key=request.affinity_key,
                is_retry=request.is_retry,
            ),
            request_number=admitted.number,
        )

    def _check_admission(self, client: ClientChannel, request: ClientRequest) -> Refusal | None:
        if client.peer_has_closed():
            return CLIENT_GONE
        if self.closed:
            return SHUTTING_DOWN
        request_id = request.request_id
        if request_id in self.request_table.by_request_id or self.other_processes.has_request(request_id):
            return DUPLICATE_ID
        if client.exceeds_limit() or len(self.request_table.requests) >= self.config.max_pending:
            return OVERLOADED
        if not self.cluster.has_valid_config():
            return NO_VALID_CONFIG
        return None

    def _refuse(self, client: ClientChannel, refusal: Refusal) -> None:
        self.metrics.increment(refusal.counter)
        if refusal.closes_connection:
            client.reject(refusal.status)
        elif refusal.retry_after:
            client.respond(refusal.status, [(b"Retry-After", b"%d" % refusal.retry_after)])
        else:
            client.respond(refusal.status)

    # --- ends that come from outside ---

    def client_disconnected(self, client: ClientChannel) -> None:
        """The client has gone; its request needs no answer."""
        request = self.request_table.by_client.get(client)
        if request and request.is_open:
            self.request_table.close(request)
            self.notify_routing(self.routing.client_disconnected, request.number)
            self.request_table.discard(request)

    def _on_deadline(self, request: Request) -> None:
        """The decisions answer before this; attempts still in flight are waited for no longer."""
        if request.is_open:
            self.metrics.increment("requests-open-at-deadline")
            self._abort(request)
        for attempt in request.attempts:
            self.attempts.time_out(request, attempt)

    def answer_all_open(self) -> None:
        """Answers whatever is open, and sheds whatever comes from here on: nobody will be there later."""
        self.closed = True
        for request in list(self.request_table.requests.values()):
            if request.is_open:
                self.metrics.increment("requests-aborted-at-shutdown")
                self._abort(request)

    def _abort(self, request: Request) -> None:
        """Has it answered now: shed where a retry is harmless, else failed, also where the decisions fail."""
        self.notify_routing(self.routing.request_aborted, request.number, request_number=request.number)
        if request.is_open:
            self._fail_undecided(request)

    def open_request_count(self) -> int:
        """How many clients wait for an answer."""
        return sum(request.is_open for request in self.request_table.requests.values())

    # --- what the decisions have done (`RoutingActions`) ---

    def send_attempt(self, request_number: int, backend: int) -> None:
        """Sends a request to a backend."""
        request = self.request_table.requests.get(request_number)
        if request is None:
            self.metrics.check_invariant(False, "attempt-for-known-request")
            return
        self.attempts.send(request, backend)

    def cancel_attempt(self, request_number: int, attempt_number: int) -> None:
        """Ends an attempt that nobody waits for."""
        request = self.request_table.requests.get(request_number)
        if request is not None:
            self.attempts.cancel(request, request.attempts[attempt_number])

    def shed(self, request_number: int, retry_after: int) -> None:
        """Answers that a retry is harmless, after `retry_after` ticks; 0 for no advice."""
        advice = f"{retry_after / TICKS_PER_SECOND:.3f}".encode()
        self._respond_to_number(
            request_number, Disposition.SHED, [(b"Retry-After", advice)] if retry_after else []
        )

    def fail_request(self, request_number: int) -> None:
        """Answers that the request has failed, and may have been executed."""
        self._respond_to_number(request_number, Disposition.FAILED)

    def _respond_to_number(
        self, number: int, disposition: Disposition, headers: Sequence[Header] = ()
    ) -> None:
        request = self.request_table.requests.get(number)
        is_open = request is not None and request.is_open
        self.metrics.check_invariant(is_open, "one-response-per-request")
        if request is not None and is_open:
            self.respond(request, disposition, headers=headers)

    def respond(
        self,
        request: Request,
        disposition: Disposition,
        body: bytes = b"",
        headers: Sequence[Header] = (),
    ) -> None:
        """Answers an open request."""
        self.request_table.close(request)
        self.metrics.increment(disposition.counter)
        if self.clock.now() > request.deadline:
            self.metrics.increment("responses-after-deadline")
        request.client.respond(disposition.status, headers, body)
        self.call_soon(self.request_table.discard, request)

    def set_timer(self, delay: int, token: int) -> None:
        """Has the decisions told when `delay` ticks have passed."""
        # The decisions set timers while they are being made, when `self.routing` is not there yet.
        self.timers.call_after(delay, lambda: self.notify_routing(self.routing.timer_fired, token))

    def probe(self, backend: int) -> None:
        """Asks a backend for a sign of life and its load."""
        self.probes.send(backend)

    def _on_probe_ended(self, backend: int, healthy: bool, report: Sequence[float]) -> None:
        self.notify_routing(self.routing.probe_ended, backend, healthy, report)

    # --- configuration and discovery ---

    def config_changed(self, routing_config: RoutingConfig, config: ServiceConfig) -> None:
        """Takes over other request classes and limits; what is known by an index keeps it."""
        for tenant in config.tenants.names:
            self.config.tenants.intern(tenant)
        running = self.config
        self.config = replace(
            config,
            tenants=running.tenants,
            zones=running.zones,
            instance_types=running.instance_types,
            report_fields=running.report_fields,
            slow_start_duration=running.slow_start_duration,
            initial_capacity=running.initial_capacity,
        )
        self.backends.config = self.config
        self.attempts.cancellation_allowed = routing_config.cancellation_allowed
        self.request_classes.update(config.request_classes.names, routing_config.request_classes)
        self.notify_routing(
            self.routing.config_changed,
            replace(routing_config, request_classes=self.request_classes.classes),
            self.request_classes.reassigned,
        )

    def endpoints_changed(self, endpoints: Sequence[Endpoint], snapshot: bool) -> None:
        """Takes over the endpoint list: all there are for a snapshot, else those that have changed."""
        effective = self.backends.update_endpoints(endpoints, snapshot)
        self.notify_routing(self.routing.endpoints_changed, effective, snapshot)

    def discovery_failed(self) -> None:
        """The endpoint list that the decisions asked for did not come."""
        self.notify_routing(self.routing.discovery_failed)
