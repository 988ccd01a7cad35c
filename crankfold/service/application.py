"""The dispatcher process: builds its parts, starts them in order and runs until shutdown."""

import asyncio
import contextlib
import logging
import signal
import socket
from collections.abc import Callable, Iterator, Sequence
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING, Any

import orjson

from crankfold.config.parser import ServiceConfig
from crankfold.errors import ConfigError
from crankfold.network.admin_server import AdminServer
from crankfold.network.connection_pool import ConnectionLimiter
from crankfold.network.discovery_watcher import DiscoveryWatcher
from crankfold.network.listener import SWEEP_INTERVAL, Listener
from crankfold.network.memory_budget import MemoryBudget
from crankfold.network.metrics import Metrics
from crankfold.network.signals import take_reload_request
from crankfold.network.timers import Clock, Timers
from crankfold.protocol.discovery import EndpointDocument, decode_endpoints
from crankfold.routing.interface import Endpoint, RoutingConfig
from crankfold.service.admin_service import AdminService
from crankfold.service.backends.registry import BackendRegistry
from crankfold.service.config_file import (
    ConfigDocument,
    SocketLimits,
    connection_timeouts,
    divide_socket_limit,
    memory_limit,
    parse_address,
    parse_settings,
)
from crankfold.service.gauges import buffered_bytes, process_gauges
from crankfold.service.lifecycle import Lifecycle
from crankfold.service.memory_limit import MemoryLimiter
from crankfold.service.reload import ConfigApplier, ConfigReloader
from crankfold.service.requests.collaborators import NoCluster, NoOtherProcess, OtherProcesses
from crankfold.service.requests.handler import RequestHandler
from crankfold.service.service_drain import ServiceDrain
from crankfold.service.serving_parts import ServingParts
from crankfold.service.shutdown import ShutdownSequence
from crankfold.service.socket_budget import SocketBudget
from crankfold.time_units import TICKS_PER_SECOND

if TYPE_CHECKING:
    from crankfold.service.cluster.membership import ClusterMembership
    from crankfold.service.handover.handover import Handover

logger = logging.getLogger(__name__)

# Ticks within which every dispatcher is expected to learn of a change of the endpoint list.
ENDPOINT_PROPAGATION_DELAY = 6 * TICKS_PER_SECOND
PROCESSES_IN_REPLACEMENT = 2  # share the limits of the dispatcher
FIRST_LIST_TIMEOUT = 0.3  # seconds that a start waits at most for discovery, which may be down
SEED_BASE = 16  # the configuration has the seed as a hexadecimal number


class Application:
    """Owns all parts of the process; `run` returns after its shutdown."""

    def __init__(
        self,
        document: ConfigDocument,
        read_document: Callable[[], ConfigDocument],
        handover_directory: str = "",
    ) -> None:
        """Builds all parts without opening a file or a socket.

        Args:
            document: The configuration file as decoded, with the overrides of the command line.
            read_document: Reads the document again, for a reload.
            handover_directory: Holds the handover socket and record; empty disables the handover.

        Raises:
            ConfigError: The document is not valid.
        """
        routing_config, config, seed = _parse_document(document)
        self.metrics = Metrics()
        self.timers = Timers(Clock(), self.metrics)
        self.listen_address = parse_address(document["listen"], "listen")
        self.admin_address = _admin_address(document)
        self.polls_discovery = routing_config.discovery_by_poll
        self.known_endpoints = document.get("known")
        self.discovery_answered = asyncio.Event()
        self.shutdown_requested = asyncio.Event()
        self.fatal_error: BaseException | None = None
        self.lifecycle = Lifecycle()
        self._build_request_path(document, handover_directory, routing_config, config, seed)
        self._build_control_path(document, read_document, config)

    def _build_request_path(
        self,
        document: ConfigDocument,
        handover_directory: str,
        routing_config: RoutingConfig,
        config: ServiceConfig,
        seed: int,
    ) -> None:
        """Builds the parts through which requests pass, from the listener to the backends."""
        limits = divide_socket_limit(document, self.admin_address is not None)
        timeouts = connection_timeouts(config)
        self.memory_budget = MemoryBudget()
        self.connection_limiter = ConnectionLimiter(
            limits.backend_connections, timeouts.connect, timeouts.idle, self.metrics
        )
        self.backend_registry = BackendRegistry(config, self.timers, self.connection_limiter)
        self.cluster = self._build_cluster(document)
        build_serving_parts = partial(self._build_serving_parts, routing_config, config, seed, limits)
        self.handover = self._build_handover(document, handover_directory, build_serving_parts)
        self.other_processes: OtherProcesses = (
            self.handover.other_processes if self.handover else NoOtherProcess()
        )
        parts = self.handover.serving_parts if self.handover else build_serving_parts(self.other_processes)
        self.request_handler, self.listener, self.socket_budget = parts
        process_count = PROCESSES_IN_REPLACEMENT if self.handover else 1
        self.memory_limit = memory_limit(document)
        self.memory_limiter = MemoryLimiter(self.memory_budget, process_count, partial(buffered_bytes, parts))

    def _build_serving_parts(
        self,
        routing_config: RoutingConfig,
        config: ServiceConfig,
        seed: int,
        limits: SocketLimits,
        other_processes: OtherProcesses,
    ) -> ServingParts:
        request_handler = RequestHandler(
            routing_config,
            config,
            seed=seed,
            timers=self.timers,
            metrics=self.metrics,
            backends=self.backend_registry,
            lifecycle=self.lifecycle,
            cluster=self.cluster or NoCluster(),
            other_processes=other_processes,
            poll_endpoints=self._start_polling,
            memory=self.memory_budget,
        )
        listener = Listener(
            request_handler,
            self.metrics,
            config.report_fields,
            limits.accepted_connections,
            self.memory_budget,
        )
        socket_budget = SocketBudget(limits, listener, self.connection_limiter)
        return ServingParts(request_handler, listener, socket_budget)

    def _build_handover(
        self,
        document: ConfigDocument,
        directory: str,
        build_serving_parts: Callable[[OtherProcesses], ServingParts],
    ) -> "Handover | None":
        """Enables the handover if there is an admin server, which reports the readiness of a successor."""
        if not self.admin_address or not directory:
            return None
        # Imported here, so that a process without a handover directory does not load these modules.
        from crankfold.service.handover.handover import Handover
        from crankfold.service.handover.identity import DispatcherIdentity

        return Handover(
            directory,
            DispatcherIdentity(str(document.get("name") or ""), self.listen_address),
            self.backend_registry,
            self.metrics,
            build_serving_parts,
            lambda: self.reloader.reload(),  # built after the handover
        )

    def _build_cluster(self, document: ConfigDocument) -> "ClusterMembership | None":
        if not document.get("peers"):
            return None
        from crankfold.service.cluster.membership import ClusterMembership  # loaded only with peers

        try:
            return ClusterMembership(document, self.metrics)
        except ValueError as error:
            raise ConfigError(str(error)) from None

    def _build_control_path(
        self, document: ConfigDocument, read_document: Callable[[], ConfigDocument], config: ServiceConfig
    ) -> None:
        """Builds the parts that discovery, operators and signals control."""
        self.discovery_watcher = self._build_discovery_watcher(document)
        service_drain = (
            self.handover.service_drain
            if self.handover
            else ServiceDrain(self.request_handler, self.listener)
        )
        self.admin_service = AdminService(self.request_handler, service_drain, self.other_processes)
        self.admin_server = AdminServer(self.admin_service, self.metrics)
        self.config_applier = ConfigApplier(config, self.request_handler, self.connection_limiter)
        self.reloader = ConfigReloader(
            document,
            read_document,
            applier=self.config_applier,
            socket_budget=self.socket_budget,
            memory_limiter=self.memory_limiter,
            discovery_watcher=self.discovery_watcher,
            metrics=self.metrics,
            polls_discovery=self.polls_discovery,
            settings_replicated=self.cluster is not None,
        )
        self.shutdown = ShutdownSequence(
            lifecycle=self.lifecycle,
            request_handler=self.request_handler,
            listener=self.listener,
            admin_server=self.admin_server,
            discovery_watcher=self.discovery_watcher,
            other_processes=self.other_processes,
            handover=self.handover,
            cluster=self.cluster,
        )

    def _build_discovery_watcher(self, document: ConfigDocument) -> DiscoveryWatcher:
        host, port = parse_address(document["discovery"], "discovery")
        return DiscoveryWatcher(
            host,
            port,
            self.backend_registry.register,
            on_endpoints=self._endpoints_received,
            on_failure=self._discovery_failed,
            metrics=self.metrics,
        )

    # --- events of discovery ---

    def _endpoint_list_age(self) -> int:
        """Returns the ticks since the last answer of discovery; 0 if discovery is polled on demand."""
        if self.polls_discovery:
            return 0
        return int((self.timers.loop.time() - self.discovery_watcher.last_answer_at) * TICKS_PER_SECOND)

    def _start_polling(self) -> None:
        # Deferred, as the constructor of the router starts a poll before the watcher is built.
        self.timers.loop.call_soon(lambda: self.discovery_watcher.start(False))

    def _endpoints_received(self, endpoints: Sequence[Endpoint], is_snapshot: bool) -> None:
        self.request_handler.endpoints_changed(endpoints, is_snapshot)
        self.backend_registry.starts.discovery_answered()
        self.discovery_answered.set()

    def _discovery_failed(self) -> None:
        if self.polls_discovery:
            self.discovery_answered.set()
            self.request_handler.discovery_failed()

    # --- start and shutdown ---

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then drains.

        Raises:
            ConfigError: An address cannot be opened, or the cluster cannot be joined.
        """
        self._install_signal_handlers()
        await self._start_discovery()
        await self._open_admin_server()
        # The known endpoints may be outdated, so the start waits briefly for the first list of discovery.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_LIST_TIMEOUT):
                await self.discovery_answered.wait()
        await self._join_cluster()
        if self.shutdown_requested.is_set():  # a connection accepted now would only be closed
            logger.info("received a shutdown signal before serving")
            await self._close()
            return
        await self._start_serving()
        await self.shutdown_requested.wait()
        await self.shutdown.drain(self.config_applier.longest_deadline)
        await self._close()
        if self.fatal_error:
            raise self.fatal_error

    def _install_signal_handlers(self) -> None:
        loop = self.timers.loop
        loop.set_exception_handler(self._unhandled_error)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.shutdown_requested.set)
        loop.add_signal_handler(signal.SIGUSR1, self.report_metrics)
        loop.add_signal_handler(signal.SIGHUP, self._reload_requested)
        if take_reload_request():
            self.reloader.reload()  # the SIGHUP may have arrived after the initial read of the file

    def _reload_requested(self) -> None:
        """Reloads the configuration file at all processes of the dispatcher, as each may get requests."""
        self.reloader.reload()
        if self.handover:
            self.handover.report_reload()

    async def _start_discovery(self) -> None:
        """Registers the endpoints of the predecessor or of the configuration, and starts the watcher."""
        if self.handover:
            self.known_endpoints = await self.handover.takeover.connect() or self.known_endpoints
        if self.known_endpoints is not None:
            self._register_known_endpoints()
        if not self.polls_discovery:
            self.discovery_watcher.start(True)
        elif not self.discovery_answered.is_set():
            self.discovery_watcher.start(False)

    def _register_known_endpoints(self) -> None:
        try:
            revision, is_snapshot, endpoints = decode_endpoints(
                orjson.dumps(self.known_endpoints), self.backend_registry.register
            )
        except ValueError as error:
            logger.warning("%s; starting without an endpoint list", error, extra={"category": "known"})
            return
        self.request_handler.endpoints_changed(endpoints, is_snapshot)
        if self.polls_discovery:
            # The router starts the polls; discovery answers them with the changes since this revision.
            self.discovery_watcher.revision = revision
            self.discovery_answered.set()

    def _inherit_endpoints(self, endpoints: EndpointDocument) -> None:
        """Registers the endpoints of another predecessor, unless discovery itself has answered."""
        if self.discovery_watcher.list_revision < 0:
            self.known_endpoints = endpoints
            self._register_known_endpoints()

    async def _open_admin_server(self) -> None:
        if self.admin_address:
            with _config_error_at(self.admin_address):
                self.admin_server.open(*self.admin_address)

    async def _join_cluster(self) -> None:
        if self.cluster:
            try:
                await self.cluster.join(
                    self.admin_service,
                    self.config_applier,
                    self._endpoint_list_age,
                    is_successor=self._is_successor(),
                )
            except (OSError, ValueError) as error:
                raise ConfigError(f"peers: {error}") from None

    def _is_successor(self) -> bool:
        return self.handover is not None and self.handover.takeover.listening_socket is not None

    async def _start_serving(self) -> None:
        listening_socket: socket.socket | None = None
        if self.handover:
            self.handover.takeover.replay_reports()
            listening_socket = await self.handover.takeover.take_over(self._inherit_endpoints)
        self.memory_limiter.record_own_bytes()
        self.memory_limiter.apply(self.memory_limit, self.socket_budget.limits)
        with _config_error_at(self.listen_address):
            self.listener.open(*self.listen_address, listening_socket, self.handover is not None)
        if self.handover:
            await self.handover.open()
        self.lifecycle.start_serving(self.timers.loop.time())
        logger.info("serving on %s:%s", self.listen_address[0], self.listener.port())
        if self.admin_address:
            remark = (
                ""
                if self.handover
                else "; handover disabled (no --hand-over or $TMPDIR): a restart interrupts the service"
            )
            logger.info("operators at %s:%s%s", self.admin_address[0], self.admin_server.port(), remark)
        self.timers.loop.call_later(SWEEP_INTERVAL, self._run_periodic_tasks)

    def _run_periodic_tasks(self) -> None:
        self.timers.loop.call_later(SWEEP_INTERVAL, self._run_periodic_tasks)
        self.connection_limiter.sweep()
        if self.handover:
            self.handover.run_periodic_tasks()
        self.listener.sweep()
        self.memory_limiter.check()

    async def _close(self) -> None:
        await self.shutdown.close()
        self.report_metrics()

    def _unhandled_error(self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Records an unhandled exception; a debug build shuts down and raises it from `run`."""
        error = context.get("exception") or RuntimeError(context.get("message"))
        self.metrics.record_exception(error)
        if __debug__:
            self.fatal_error = error
            self.shutdown_requested.set()

    def report_metrics(self) -> None:
        """Logs the counters and gauges of the process."""
        parts = ServingParts(self.request_handler, self.listener, self.socket_budget)
        self.metrics.log_counters(process_gauges(parts, self.connection_limiter))


def _admin_address(document: ConfigDocument) -> tuple[str, int] | None:
    """Returns the address of the admin server, or None if the document has none."""
    if not document.get("admin_addr"):
        return None
    return parse_address(document["admin_addr"], "admin_addr")


def _parse_document(document: ConfigDocument) -> tuple[RoutingConfig, ServiceConfig, int]:
    """Returns the configurations of the router and of the service, and the seed of the router.

    Raises:
        ConfigError: A setting is not valid; the message names it.
    """
    try:
        parsed = parse_settings(document["settings"])
        seed = int(str(document.get("seed", "0")), SEED_BASE)
    except ValueError as error:
        raise ConfigError(f"settings: {error}") from None
    routing_config = replace(parsed.routing, change_notice_within=ENDPOINT_PROPAGATION_DELAY)
    return routing_config, parsed.service, seed


@contextlib.contextmanager
def _config_error_at(address: tuple[str, int]) -> Iterator[None]:
    """Converts an `OSError` from opening that address to a `ConfigError`."""
    try:
        yield
    except OSError as error:
        raise ConfigError(f"{address[0]}:{address[1]}: {error.strerror or error}") from None
