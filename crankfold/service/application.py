"""One dispatcher from its start to the end of its drain."""

import asyncio
import contextlib
import signal
from collections.abc import Callable, Sequence
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson

from crankfold.config.parser import (
    RELOADABLE,
    ServiceConfig,
    flatten_settings,
    read_routing_config,
    read_service_config,
)
from crankfold.network.admin_server import MAX_CALLERS, AdminServer
from crankfold.network.connection_pool import ConnectionLimiter
from crankfold.network.discovery_watcher import DiscoveryWatcher
from crankfold.network.listener import SWEEP_INTERVAL, UNCOUNTED_SOCKETS, Listener
from crankfold.network.metrics import Metrics, log_line
from crankfold.network.signals import take_reload_request
from crankfold.network.timers import Clock, Timers
from crankfold.protocol.discovery import decode_endpoints
from crankfold.routing.interface import Endpoint, RoutingConfig
from crankfold.service.admin_service import AdminService
from crankfold.service.backend_registry import BackendRegistry
from crankfold.service.collaborators import NoCluster, NoOtherProcess
from crankfold.service.handover import Handover
from crankfold.service.lifecycle import Lifecycle
from crankfold.service.request_handler import RequestHandler

if TYPE_CHECKING:
    from crankfold.service.replicated_config import ReplicatedConfig

ENDPOINT_PROPAGATION_DELAY = (
    60_000  # tenths of a millisecond; a change of the list counts as told then, asked for or not
)
FIRST_LIST_TIMEOUT = 0.3  # seconds that a start waits for discovery, which may be down
LATE_CONNECTION_PERIOD = 0.45  # connections go on arriving for so long after the order to end
MAX_DRAIN_DURATION, DRAIN_MARGIN = (
    3.0,
    0.5,
)  # the platform ends us soon after the longest cut-off, or 3 s if that is less
IDLE_CLIENT_PERIOD = 0.5  # for connections at rest to be used once more while another process has taken over
FINAL_DRAIN_PERIOD = 1.5  # the last part of a drain, in which no new unit is wanted


class ConfigError(Exception):
    """The configuration can't be served from; the text says why, in a line."""


def parse_address(text: str, what: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    try:
        return host.strip("[]"), int(port)
    except ValueError:
        raise ConfigError(f"{what} is no address: {text!r}") from None


def read_config(path: str) -> dict[str, Any]:
    if not path:
        raise ConfigError("no configuration: set GW_CONFIG or give --config")
    try:
        given = orjson.loads(Path(path).read_bytes())
    except (OSError, ValueError) as wrong:
        raise ConfigError(f"{path}: {wrong}") from None
    for name, kind in (("listen", str), ("discovery", str), ("settings", dict)):
        if not isinstance(given, dict) or not isinstance(given.get(name), kind):
            raise ConfigError(f"{path}: no {name}")
    return dict(given)


def divide_socket_limit(given: dict[str, Any], door: bool) -> tuple[int, int]:
    """Of the sockets: how many to runners, and how many for those that connect; some stay free."""
    try:
        sockets = max(int((given.get("limits") or {}).get("sockets") or 1024), 64)
    except (AttributeError, TypeError, ValueError):
        raise ConfigError("limits: sockets is no number") from None
    # Free for files, discovery, and what is let go but a turn later, on either side.
    doors = MAX_CALLERS + 4 if door else 0
    return sockets // 4, sockets - sockets // 4 - sockets // 16 - UNCOUNTED_SOCKETS - doors


def settings_needing_restart(given: dict[str, Any], running: dict[str, Any]) -> list[str]:
    """What differs and counts only after a restart."""
    now, then = dict(given["settings"]), dict(running["settings"])
    for settings in (now, then):  # what it says of each grade goes with the grades
        settings["specifics"] = {
            name: value
            for name, value in (settings.get("specifics") or {}).items()
            if not name.startswith("class-")
        }
    differs = [
        f"settings.{name}"
        for name in now.keys() | then.keys()
        if name not in RELOADABLE and now.get(name) != then.get(name)
    ]
    return sorted(differs + (["listen"] if given["listen"] != running["listen"] else []))


def derive_config(given: dict[str, Any], running: dict[str, Any]) -> tuple[RoutingConfig, ServiceConfig]:
    """From a file that is to replace the running one, if all of it can be used."""
    from crankfold.config import schema  # not at start: 2.7 MB and 15 ms

    try:
        schema.validate(given, running)
        settings = flatten_settings(given["settings"])
        return read_routing_config(settings), read_service_config(settings)
    except ValueError as wrong:
        raise ConfigError(str(wrong)) from None


def connection_timeouts(rules: ServiceConfig) -> tuple[float, float]:
    """Seconds for a connect, and at rest. Runners close at rest after their time; half is well before."""
    return rules.connect_timeout / 10_000, rules.idle_timeout / 20_000


class Application:
    def __init__(self, given: dict[str, Any], reread: Callable[[], dict[str, Any]], folder: str = "") -> None:
        try:
            settings = flatten_settings(given["settings"])
            orders, rules = read_routing_config(settings), read_service_config(settings)
            orders = replace(orders, change_notice_within=ENDPOINT_PROPAGATION_DELAY)
            seed = int(str(given.get("seed", "0")), 16)
        except ValueError as wrong:
            raise ConfigError(f"settings: {wrong}") from None
        self.reread_config = reread
        self.config = {name: part for name, part in given.items() if name != "known"}
        self.metrics = Metrics()
        self.timers = Timers(Clock(), self.metrics)
        self.listen_address = parse_address(given["listen"], "listen")
        self.admin_address = (
            parse_address(given["admin_addr"], "admin_addr") if given.get("admin_addr") else None
        )
        self.socket_limits = to_runners, others = divide_socket_limit(given, self.admin_address is not None)
        self.connection_limiter = ConnectionLimiter(to_runners, *connection_timeouts(rules), self.metrics)
        self.backend_registry = BackendRegistry(rules, self.timers, self.connection_limiter)
        self.lifecycle = Lifecycle()
        # Processes follow one another only where operators can ask the new one whether it is ready.
        self.handover = (
            Handover(
                folder,
                str(given.get("name") or ""),
                self.listen_address,
                self.backend_registry,
                self.metrics,
            )
            if self.admin_address and folder
            else None
        )
        other_processes = self.handover or NoOtherProcess()
        self.replicated_config: ReplicatedConfig | None = None
        if given.get("peers"):
            from crankfold.service import replicated_config  # nothing of it is imported without peers

            try:
                self.replicated_config = replicated_config.ReplicatedConfig(
                    given,
                    self.metrics,
                    self.backend_registry,
                    self._apply_config,
                    self._endpoint_list_age,
                )
            except ValueError as wrong:
                raise ConfigError(str(wrong)) from None
        self.request_handler = RequestHandler(
            orders,
            rules,
            seed=seed,
            timers=self.timers,
            metrics=self.metrics,
            backends=self.backend_registry,
            lifecycle=self.lifecycle,
            cluster=self.replicated_config or NoCluster(),
            other_processes=other_processes,
            poll_endpoints=self._start_polling,
        )
        self.listener = Listener(self.request_handler, self.metrics, rules.report_fields, others)
        self.admin_service = AdminService(
            self.request_handler, self.listener, self.lifecycle, other_processes
        )
        self.admin_server = AdminServer(self.admin_service, self.metrics)
        if self.handover:
            self.handover.attach(self.request_handler, self.listener, self.admin_service, self._share_sockets)
        self.other_process_usage = 0, 0, False
        host, port = parse_address(given["discovery"], "discovery")
        self.discovery_watcher = DiscoveryWatcher(
            host,
            port,
            self.backend_registry.register,
            on_endpoints=self._endpoints_received,
            on_failure=self._discovery_failed,
            metrics=self.metrics,
        )
        self.discovery_answered = asyncio.Event()
        self.polls_discovery, self.known_endpoints = orders.discovery_by_poll, given.get("known")
        self.longest_deadline = rules.longest_deadline / 10_000
        self.shutdown_requested = asyncio.Event()
        self.fatal_error: BaseException | None = None

    def _share_sockets(self, clients: int, runners: int, leaving: bool) -> None:
        """Of the sockets, as two processes hold them together while one replaces the other."""
        self.other_process_usage = clients, runners, leaving
        to_runners, others = self.socket_limits
        if leaving:
            # Clients as before: nobody new comes, and who was just accepted must not push another out.
            self.connection_limiter.max_connections = max(to_runners // 4, 4)
        else:
            self.connection_limiter.max_connections = max(to_runners - runners, to_runners // 4, 4)
            # Never nothing: an eighth is less than what is kept free on either side.
            self.listener.max_connections = max(others - clients, others // 8)

    def _endpoint_list_age(self) -> int:
        """Since discovery answered last, tenths of a millisecond; 0 where it is only asked now and then."""
        return (
            0
            if self.polls_discovery
            else int((self.timers.loop.time() - self.discovery_watcher.last_answer_at) * 10_000)
        )

    def _start_polling(self) -> None:
        # The decisions ask in their first moment, when there is no watch yet.
        self.timers.loop.call_soon(lambda: self.discovery_watcher.start(False))

    def _endpoints_received(self, entries: Sequence[Endpoint], whole: bool) -> None:
        self.request_handler.endpoints_changed(entries, whole)
        self.discovery_answered.set()

    def _discovery_failed(self) -> None:
        if self.polls_discovery:
            self.discovery_answered.set()
            self.request_handler.discovery_failed()

    async def run(self) -> None:
        loop = self.timers.loop
        loop.set_exception_handler(self._unhandled_error)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.shutdown_requested.set)
        loop.add_signal_handler(signal.SIGUSR1, self.report_metrics)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        if take_reload_request():
            self._reload()  # the file may have been read before it was changed
        if self.handover:
            self.known_endpoints = await self.handover.connect() or self.known_endpoints
        if self.known_endpoints is not None:
            try:
                rev, whole, entries = decode_endpoints(
                    orjson.dumps(self.known_endpoints), self.backend_registry.register
                )
                self.request_handler.endpoints_changed(entries, whole)
                if self.polls_discovery:
                    # Asked for when the decisions say so; what changed since is a shorter answer than all.
                    self.discovery_watcher.revision = rev
                    self.discovery_answered.set()
            except ValueError as wrong:
                self.metrics.warn("known", f"{wrong}; starting without a list")
        if not self.polls_discovery:
            self.discovery_watcher.start(True)
        elif not self.discovery_answered.is_set():
            self.discovery_watcher.start(False)
        if self.admin_address:
            try:
                await self.admin_server.open(*self.admin_address)
            except OSError as wrong:
                raise ConfigError(
                    f"{self.admin_address[0]}:{self.admin_address[1]}: {wrong.strerror or wrong}"
                ) from None
        # What was known may be long out of date after a restart; units would go to runners that are gone.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_LIST_TIMEOUT):
                await self.discovery_answered.wait()
        passed = None
        if self.replicated_config:
            try:
                await self.replicated_config.open(
                    self.request_handler,
                    self.admin_service,
                    succeeds=self.handover is not None and self.handover.listening_socket is not None,
                )
            except (OSError, ValueError) as wrong:
                raise ConfigError(f"peers: {wrong}") from None
        if (
            self.shutdown_requested.is_set()
        ):  # told to end before it serves: nobody is to come only to be sent away
            log_line("crankfold: told to end before serving")
            await self._close()
            return
        if self.handover:
            self.handover.replay_reports()
            passed = await self.handover.take_over()
        try:
            await self.listener.open(*self.listen_address, passed, self.handover is not None)
        except OSError as wrong:
            raise ConfigError(
                f"{self.listen_address[0]}:{self.listen_address[1]}: {wrong.strerror or wrong}"
            ) from None
        if self.handover:
            await self.handover.open()
        self.lifecycle.start_serving(loop.time())
        log_line(f"crankfold: serving on {self.listen_address[0]}:{self.listener.port()}")
        if self.admin_address:
            told = f"operators at {self.admin_address[0]}:{self.admin_server.port()}"
            if not self.handover:
                told += "; no --hand-over or $TMPDIR, so no process can replace this one under load"
            log_line(f"crankfold: {told}")
        loop.call_later(SWEEP_INTERVAL, self._run_periodic_tasks)
        await self.shutdown_requested.wait()
        await self._drain()
        if self.fatal_error:
            raise self.fatal_error

    def _reload(self) -> None:
        """SIGHUP: the file as it is now. Units, connections and what is believed of runners outlive it."""
        try:
            given = self.reread_config()
            orders, rules = derive_config(given, self.config)
            host, port = parse_address(given["discovery"], "discovery")
            parse_address(given["listen"], "listen")
            of_sockets = divide_socket_limit(given, self.admin_address is not None)
        except ConfigError as wrong:
            self.metrics.increment("configurations-unusable")
            # Not among the limited lines: whoever sent the signal has to see what was wrong this time.
            log_line(f"crankfold: configuration: {wrong}; the old one stands")
            return
        self.metrics.increment("configurations-taken")
        self.socket_limits = of_sockets
        if self.replicated_config:
            self.metrics.increment("settings-agreed-elsewhere")
            given["settings"] = self.config["settings"]
        elif given["settings"] != self.config["settings"]:
            self._apply_config(orders, rules)
        self._share_sockets(*self.other_process_usage)
        self.discovery_watcher.switch_to(host, port, not self.polls_discovery)
        later = settings_needing_restart(given, self.config)
        rest = f"; {', '.join(later)} differs and waits for a restart" if later else ""
        if self.replicated_config:
            rest += "; settings are agreed on by the peers and are not read from the file"
        self.config = {name: part for name, part in given.items() if name != "known"}
        log_line(f"crankfold: new configuration: discovery at {host}:{port}{rest}")

    def _apply_config(self, orders: RoutingConfig, rules: ServiceConfig) -> None:
        self.request_handler.config_changed(orders, rules)
        self.connection_limiter.connect_timeout, self.connection_limiter.idle_timeout = connection_timeouts(
            rules
        )
        self.longest_deadline = (
            rules.longest_deadline / 10_000
        )  # of the grades in force: by these we are ended

    async def _drain(self) -> None:
        """Nobody new, then nothing new, then the end.

        Clients go on using the connections they have. While another restarts these may be all they have: with
        them closed at once a rolling restart left a second without any dispatcher.
        """
        loop = self.timers.loop
        end = loop.time() + min(self.longest_deadline, MAX_DRAIN_DURATION) + DRAIN_MARGIN
        log_line("crankfold: draining")
        self.lifecycle.start_shutdown(loop.time())
        if self.handover and self.handover.has_successor():
            await self._drain_to_successor(end)
        else:
            await asyncio.sleep(LATE_CONNECTION_PERIOD)
            while loop.time() < end - FINAL_DRAIN_PERIOD and self.listener.connections:
                await asyncio.sleep(0.01)
            self.listener.closing = True
            self.listener.close_idle(spare_backends=True)
            while loop.time() < end and (
                self.request_handler.open_request_count() or self.listener.expects_data()
            ):
                await asyncio.sleep(0.01)
                # A runner whose connection is closed tells again on another, later, perhaps after our end.
                self.listener.close_idle(spare_backends=True)
        await self._close()

    async def _close(self) -> None:
        """Nobody is waited for any more."""
        self.request_handler.answer_all_open()
        # From here on there is nothing to renew, and the signal's default would end us before our time.
        self.timers.loop.remove_signal_handler(signal.SIGHUP)
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        self.discovery_watcher.stop()
        if self.replicated_config:
            await self.replicated_config.close()
        await self.admin_server.close()
        await self.listener.close()
        if self.handover:
            self.handover.close()
        self.report_metrics()

    async def _drain_to_successor(self, end: float) -> None:
        """Nobody new comes here. Clients move on with their next answer, who rests is closed soon after."""
        loop = self.timers.loop
        self.listener.closing = True
        rest = loop.time() + IDLE_CLIENT_PERIOD
        while loop.time() < end and (
            self.request_handler.open_request_count() or self.listener.has_client_connections()
        ):
            if loop.time() > rest:
                self.listener.close_idle(spare_backends=True)
            await asyncio.sleep(0.01)

    def _run_periodic_tasks(self) -> None:
        self.timers.loop.call_later(SWEEP_INTERVAL, self._run_periodic_tasks)
        self.connection_limiter.sweep()
        if self.handover:
            self.handover.run_periodic_tasks()
        self.listener.sweep()

    def _unhandled_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """What no handler caught: counted and logged with its place; a debug build ends by it."""
        wrong = context.get("exception") or RuntimeError(context.get("message"))
        self.metrics.record_exception(wrong)
        if __debug__:
            self.fatal_error = wrong
            self.shutdown_requested.set()

    def report_metrics(self) -> None:
        self.metrics.log_counters(
            {
                "now-open": self.request_handler.open_request_count(),
                "now-kept": len(self.request_handler.request_table.requests),
                "now-runner-connections": self.connection_limiter.open_count,
                "now-other-connections": len(self.listener.connections),
            }
        )
