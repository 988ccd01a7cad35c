"""The request handler: admits or rejects requests, and connects clients and backends to the router."""

from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import partial
from http import HTTPStatus
from typing import NamedTuple

from crankfold.config.parser import ServiceConfig, setting_text
from crankfold.network.memory_budget import MemoryBudget
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
from crankfold.service.requests.reservations import Reservations
from crankfold.service.requests.table import Disposition, Request, RequestTable
from crankfold.time_units import TICKS_PER_SECOND

# Deducted from the timeout of a request, for the time from its start at the client until the request is read.
TRANSIT_ALLOWANCE_TICKS = 10

ADMITTED_COUNTER = "requests-admitted"


class Rejection(NamedTuple):
    """A reason not to admit a request, with its counter and its response.

    No attempt was sent, so a retry is harmless. `retry_after` is in seconds; 0 for no Retry-After header.
    """

    counter: str
    status: HTTPStatus
    closes_connection: bool = False
    retry_after: int = 0


CLIENT_DISCONNECTED = Rejection(
    "clients-closed-before-read", HTTPStatus.SERVICE_UNAVAILABLE, closes_connection=True
)
SHUTTING_DOWN = Rejection("shed-at-shutdown", HTTPStatus.SERVICE_UNAVAILABLE, closes_connection=True)
DUPLICATE_ID = Rejection("duplicate-request-ids", HTTPStatus.CONFLICT, closes_connection=True)
# The successor has not answered whether the id is in use there.
NOT_RESERVED = Rejection("shed-without-reservation", HTTPStatus.SERVICE_UNAVAILABLE)
OVERLOADED = Rejection("shed-overloaded", HTTPStatus.SERVICE_UNAVAILABLE)
OUT_OF_MEMORY = Rejection("shed-for-memory", HTTPStatus.SERVICE_UNAVAILABLE)
# By the time the current lease expires, at the latest, another dispatcher has a valid configuration.
NO_VALID_CONFIG = Rejection("shed-without-valid-config", HTTPStatus.SERVICE_UNAVAILABLE, retry_after=1)
QUOTA_USED_UP = Rejection("shed-by-quota", HTTPStatus.SERVICE_UNAVAILABLE, retry_after=1)


class RequestHandler:
    """Admits requests, passes events to the router and carries out its decisions.

    It implements `RoutingActions` for the router, `RequestOwner` for attempts and callbacks, and the request
    interface of the listener.

    Args:
        routing_config: The configuration of the router.
        config: The configuration of connections, limits and names.
        seed: The seed of the router's random numbers.
        timers: Schedules callbacks.
        metrics: Counts events.
        backends: The backends with their connections.
        lifecycle: Reports whether this process is in service.
        cluster: The cluster of dispatchers, or `NoCluster`.
        other_processes: Other processes of this dispatcher, or `NoOtherProcess`.
        poll_endpoints: Starts a poll of the endpoint list.
        memory: Limits the buffers for clients.
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
        memory: MemoryBudget,
    ) -> None:
        self.config = config
        self.memory = memory
        self.timers = timers
        self.metrics = metrics
        self.backends = backends
        self.lifecycle = lifecycle
        self.cluster = cluster
        self.other_processes = other_processes
        self.poll_endpoints = poll_endpoints
        self.closed = False  # set when the process ends, so that new requests are shed
        self.request_classes = RequestClassTable(config.request_classes.names, routing_config.request_classes)
        self.request_table = RequestTable(self.request_classes, cluster, other_processes, memory)
        self.reservations = Reservations(other_processes, timers, self._on_reserved, memory)
        self.load_reports = LoadReportStore(timers.clock)
        self.attempts = self._build_attempts(routing_config)
        self.callbacks = self._build_callback_handler()
        self.probes = HealthProbes(routing_config, backends, self.load_reports, metrics, self._on_probe_ended)
        self.routing = Router(routing_config, seed, self)

    def _build_attempts(self, routing_config: RoutingConfig) -> Attempts:
        return Attempts(
            self,
            self.request_table,
            self.backends,
            self.load_reports,
            cluster=self.cluster,
            clock=self.timers.clock,
            metrics=self.metrics,
            cancellation_allowed=routing_config.cancellation_allowed,
            hedging_allowed=routing_config.hedging_allowed,
        )

    def _build_callback_handler(self) -> CallbackHandler:
        return CallbackHandler(
            self,
            self.request_table,
            self.attempts,
            self.backends,
            cluster=self.cluster,
            other_processes=self.other_processes,
            metrics=self.metrics,
        )

    def _now(self) -> int:
        """Returns the current time in ticks."""
        return self.timers.clock.now()

    # --- events for the router ---

    def notify_routing(
        self, event: Callable[..., None], *arguments: object, request_number: int = -1
    ) -> None:
        """Calls a method of the router with the current time and the arguments.

        An exception in the router is recorded and fails only the request that the event is about. A debug
        build raises it again.

        Args:
            event: The method.
            *arguments: Its arguments after the time.
            request_number: The request that the event is about, or -1.
        """
        try:
            event(self._now(), *arguments)
        except Exception as error:
            self.metrics.record_exception(error)
            request = self.request_table.requests.get(request_number)
            if request and request.is_open:
                self._fail_undecided(request)
            if __debug__:
                raise

    def _fail_undecided(self, request: Request) -> None:
        """Fails a request for which the router raised an exception, and closes it in the router.

        It is not shed, as that would promise that a retry is harmless.
        """
        self.respond(request, Disposition.FAILED)
        try:
            self.routing.client_disconnected(self._now(), request.number)
        except Exception as error:
            self.metrics.record_exception(error)

    # --- admission ---

    def is_serving(self) -> bool:
        """Whether this process is in service and has a valid configuration."""
        return self.lifecycle.is_serving() and self.cluster.may_act()

    def knows_request_class(self, name: str) -> bool:
        """Whether there is a request class of that name."""
        return self.request_classes.find(setting_text(name)) >= 0

    def submit(self, client: ClientChannel, request: ClientRequest) -> None:
        """Admits a request or rejects it, at once unless its id has to be reserved at a successor."""
        rejection = self._check_admission(client, request)
        if rejection:
            self._reject(client, rejection)
        elif self.other_processes.has_successor():
            max_wait = max(request.timeout - TRANSIT_ALLOWANCE_TICKS, 0)
            self.reservations.begin(client, request, max_wait)
        else:
            self._admit_within_quota(client, request)

    def _on_reserved(self, client: ClientChannel, request: ClientRequest, in_use: bool | None) -> bool:
        """Admits a request whose id is reserved at the successor, or rejects it; returns whether admitted."""
        rejection = DUPLICATE_ID if in_use else self._check_admission(client, request)
        if in_use is None:
            rejection = rejection or NOT_RESERVED
        if rejection is None:
            return self._admit_within_quota(client, request)
        self._reject(client, rejection)
        return False

    def _admit_within_quota(self, client: ClientChannel, request: ClientRequest) -> bool:
        """Admits a request unless a quota is used up; returns whether it did."""
        quota_limits = self.cluster.acquire_quota(request.request_class, request.tenant)
        if quota_limits is None:
            self._reject(client, QUOTA_USED_UP)
            return False
        self._admit(client, request, quota_limits)
        return True

    def _admit(self, client: ClientChannel, request: ClientRequest, quota_limits: Sequence[str]) -> None:
        """Adds a request to the table and passes it to the router."""
        self.metrics.increment(ADMITTED_COUNTER)
        self.cluster.record_event(RecordedEvent.REQUEST_ADMITTED, request.request_id, request.request_class)
        timeout = max(request.timeout - TRANSIT_ALLOWANCE_TICKS, 0)
        class_index = self.request_classes.find(setting_text(request.request_class))
        admitted = self.request_table.add(
            class_index, request.request_id, client, self._now() + timeout, request.http
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

    def _check_admission(self, client: ClientChannel, request: ClientRequest) -> Rejection | None:
        """Returns the first reason to reject a request, or None; does not check quotas.

        The reasons are checked in this order: the client has disconnected; the process is ending; a request
        with the same id is in progress here or at the predecessor, or may have been executed; too many
        connections or requests are open; the buffers are full; there is no valid configuration.
        """
        if client.peer_has_closed():
            return CLIENT_DISCONNECTED
        if self.closed:
            return SHUTTING_DOWN
        if self.uses_request_id(request.request_id):
            return DUPLICATE_ID
        request_count = len(self.request_table.requests) + len(self.reservations)
        if client.exceeds_limit() or request_count >= self.config.max_pending:
            return OVERLOADED
        if not self.memory.can_admit(len(request.http.body)):
            return OUT_OF_MEMORY
        if not self.cluster.authorize_action():
            return NO_VALID_CONFIG
        return None

    def uses_request_id(self, request_id: str) -> bool:
        """Whether the id is in use at this process or the predecessor, or may have been executed by one."""
        return (
            request_id in self.request_table.by_request_id
            or request_id in self.request_table.executed_ids
            or request_id in self.reservations
            or self.other_processes.has_request(request_id)
        )

    def _reject(self, client: ClientChannel, rejection: Rejection) -> None:
        self.metrics.increment(rejection.counter)
        if rejection.closes_connection:
            client.reject(rejection.status)
        elif rejection.retry_after:
            client.respond(rejection.status, [(b"Retry-After", b"%d" % rejection.retry_after)])
        else:
            client.respond(rejection.status)

    # --- disconnects, deadlines and shutdown ---

    def client_disconnected(self, client: ClientChannel) -> None:
        """Closes the request of a client that has disconnected, if it is open."""
        self.reservations.discard(client)
        request = self.request_table.by_client.get(client)
        if request and request.is_open:
            self.request_table.close(request)
            self.notify_routing(self.routing.client_disconnected, request.number)
            self.request_table.discard_if_over(request)

    def _on_deadline(self, request: Request) -> None:
        """Aborts the request if the router has not answered it; times out the attempts still in flight."""
        if request.is_open:
            self.metrics.increment("requests-open-at-deadline")
            self._abort(request)
        for attempt in request.attempts:
            self.attempts.time_out(request, attempt)

    def answer_all_open(self) -> None:
        """Aborts all open requests and sheds new ones, as the process ends."""
        self.closed = True
        self.reservations.end_all()
        for request in list(self.request_table.requests.values()):
            if request.is_open:
                self.metrics.increment("requests-aborted-at-shutdown")
                self._abort(request)

    def _abort(self, request: Request) -> None:
        """Makes the router answer the request now: shed if a retry is harmless, else failed."""
        self.notify_routing(self.routing.request_aborted, request.number, request_number=request.number)
        if request.is_open:
            self._fail_undecided(request)

    def open_request_count(self) -> int:
        """Returns the number of requests whose clients wait for a response."""
        admitted = sum(request.is_open for request in self.request_table.requests.values())
        return admitted + len(self.reservations)

    # --- actions of the router (`RoutingActions`) ---

    def send_attempt(self, request_number: int, backend: int) -> None:
        """Starts an attempt of a request at a backend."""
        request = self.request_table.requests.get(request_number)
        if request is None:
            self.metrics.check_invariant(False, "attempt-for-known-request")
            return
        self.attempts.send(request, backend)

    def cancel_attempt(self, request_number: int, attempt_number: int) -> None:
        """Cancels an attempt whose result is no longer needed."""
        request = self.request_table.requests.get(request_number)
        if request is not None:
            self.attempts.cancel(request, request.attempts[attempt_number])

    def shed(self, request_number: int, retry_after: int) -> None:
        """Sheds a request: the client may retry after `retry_after` ticks; 0 for no Retry-After header."""
        seconds = f"{retry_after / TICKS_PER_SECOND:.3f}".encode()
        self._respond_to_number(
            request_number, Disposition.SHED, [(b"Retry-After", seconds)] if retry_after else []
        )

    def fail_request(self, request_number: int) -> None:
        """Responds that the request has failed and may have been executed."""
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
        """Sends the final response of an open request."""
        client = request.client
        assert client is not None
        self.request_table.close(request)
        self.metrics.increment(disposition.counter)
        if self._now() > request.deadline:
            self.metrics.increment("responses-after-deadline")
        client.respond(disposition.status, headers, body)
        self.timers.loop.call_soon(self.request_table.discard_if_over, request)

    def set_timer(self, delay: int, token: int) -> None:
        """Schedules `RoutingEvents.timer_fired` after `delay` ticks."""
        # A lambda, as the router sets timers in its constructor, before `self.routing` is assigned.
        self.timers.call_after(delay, lambda: self.notify_routing(self.routing.timer_fired, token))

    def probe(self, backend: int) -> None:
        """Sends a health check to a backend; its response may carry a load report."""
        self.probes.send(backend)

    def _on_probe_ended(self, backend: int, healthy: bool, report: Sequence[float]) -> None:
        self.notify_routing(self.routing.probe_ended, backend, healthy, report)

    # --- configuration and discovery ---

    def config_changed(self, routing_config: RoutingConfig, config: ServiceConfig) -> None:
        """Applies new request classes and limits; interned names keep their indexes."""
        running = self.config
        self.config = replace(
            config,
            zones=running.zones,
            instance_types=running.instance_types,
            report_fields=running.report_fields,
            slow_start_duration=running.slow_start_duration,
            initial_capacity=running.initial_capacity,
        )
        self.backends.config = self.config
        self.attempts.cancellation_allowed = routing_config.cancellation_allowed
        self.attempts.hedging_allowed = routing_config.hedging_allowed
        self.request_classes.update(config.request_classes.names, routing_config.request_classes)
        self.notify_routing(
            self.routing.config_changed,
            replace(routing_config, request_classes=self.request_classes.classes),
            self.request_classes.reassigned,
        )

    def endpoints_changed(self, endpoints: Sequence[Endpoint], snapshot: bool) -> None:
        """Applies a snapshot or a delta of the endpoint list."""
        effective = self.backends.update_endpoints(endpoints, snapshot)
        self.notify_routing(self.routing.endpoints_changed, effective, snapshot)

    def effective_endpoints_changed(self, endpoints: Sequence[Endpoint]) -> None:
        """Reports to the router endpoints whose effective state has changed without a new endpoint list."""
        self.notify_routing(self.routing.endpoints_changed, endpoints, False)

    def discovery_failed(self) -> None:
        """Reports to the router that the poll of the endpoint list has failed."""
        self.notify_routing(self.routing.discovery_failed)
