"""Applies a changed configuration at run time: from the file after SIGHUP, or from the cluster."""

import logging
from collections.abc import Callable

from crankfold.config.parser import ServiceConfig
from crankfold.errors import ConfigError
from crankfold.network.connection_pool import ConnectionLimiter
from crankfold.network.discovery_watcher import DiscoveryWatcher
from crankfold.network.metrics import Metrics
from crankfold.routing.interface import RoutingConfig
from crankfold.service.config_file import (
    ConfigDocument,
    connection_timeouts,
    divide_socket_limit,
    memory_limit,
    parse_address,
    parse_changed_document,
    settings_needing_restart,
)
from crankfold.service.memory_limit import MemoryLimiter
from crankfold.service.requests.handler import RequestHandler
from crankfold.service.socket_budget import SocketBudget
from crankfold.time_units import TICKS_PER_SECOND

logger = logging.getLogger(__name__)


class ConfigApplier:
    """Applies routing and service configurations at run time."""

    def __init__(
        self, config: ServiceConfig, request_handler: RequestHandler, connection_limiter: ConnectionLimiter
    ) -> None:
        self.request_handler = request_handler
        self.connection_limiter = connection_limiter
        self.longest_deadline = config.longest_deadline / TICKS_PER_SECOND
        """The longest deadline of the request classes in force, in seconds; it limits a drain."""

    def apply(self, routing_config: RoutingConfig, config: ServiceConfig) -> None:
        """Applies these configurations; requests in progress keep their request class."""
        self.request_handler.config_changed(routing_config, config)
        timeouts = connection_timeouts(config)
        self.connection_limiter.connect_timeout = timeouts.connect
        self.connection_limiter.idle_timeout = timeouts.idle
        self.longest_deadline = config.longest_deadline / TICKS_PER_SECOND


class ConfigReloader:
    """Reloads the configuration file: applies what needs no restart, or nothing if it is not valid."""

    def __init__(
        self,
        document: ConfigDocument,
        read_document: Callable[[], ConfigDocument],
        *,
        applier: ConfigApplier,
        socket_budget: SocketBudget,
        memory_limiter: MemoryLimiter,
        discovery_watcher: DiscoveryWatcher,
        metrics: Metrics,
        polls_discovery: bool,
        settings_replicated: bool,
    ) -> None:
        self.document = _without_known_endpoints(document)
        self.read_document = read_document
        self.applier = applier
        self.socket_budget = socket_budget
        self.memory_limiter = memory_limiter
        self.discovery_watcher = discovery_watcher
        self.metrics = metrics
        self.polls_discovery = polls_discovery
        self.settings_replicated = settings_replicated
        self._has_admin_server = bool(document.get("admin_addr"))

    def reload(self) -> None:
        """Reloads the file and logs the result; requests, connections and backends are retained."""
        try:
            document = self.read_document()
            parsed = parse_changed_document(document, self.document)
            host, port = parse_address(document["discovery"], "discovery")
            parse_address(document["listen"], "listen")
            socket_limits = divide_socket_limit(document, self._has_admin_server)
            new_memory_limit = memory_limit(document)
        except ConfigError as error:
            self.metrics.increment("config-reloads-rejected")
            # Logged without a category, so that the rate limit never suppresses it.
            logger.error("configuration: %s; the old one stays in force", error)
            return
        self.metrics.increment("config-reloads")
        if self.settings_replicated:
            self.metrics.increment("config-reloads-without-settings")
            document["settings"] = self.document["settings"]
        elif document["settings"] != self.document["settings"]:
            self.applier.apply(parsed.routing, parsed.service)
        self.socket_budget.change_limits(socket_limits)
        self.memory_limiter.apply(new_memory_limit, socket_limits)
        self.discovery_watcher.switch_to(host, port, not self.polls_discovery)
        remarks = self._remarks(document)
        self.document = _without_known_endpoints(document)
        logger.info("new configuration: discovery at %s:%s%s", host, port, remarks)

    def _remarks(self, document: ConfigDocument) -> str:
        """Returns the end of the log line, which names the parts of the document that are not in force."""
        pending = settings_needing_restart(document, self.document)
        remarks = f"; {', '.join(pending)} differs and waits for a restart" if pending else ""
        if self.settings_replicated:
            remarks += "; settings are replicated in the cluster and are not read from the file"
        return remarks


def _without_known_endpoints(document: ConfigDocument) -> ConfigDocument:
    """Returns the document without the endpoint list, which only the start uses."""
    return {name: part for name, part in document.items() if name != "known"}
