"""Reads the configuration file and derives the configurations for a start or a reload."""

from pathlib import Path
from typing import Any, NamedTuple

import orjson

from crankfold.config.parser import (
    RELOADABLE,
    ServiceConfig,
    flatten_settings,
    read_routing_config,
    read_service_config,
)
from crankfold.errors import ConfigError
from crankfold.network.admin_server import MAX_CALLERS
from crankfold.network.listener import UNCOUNTED_SOCKETS
from crankfold.network.process_memory import BYTES_PER_MEGABYTE
from crankfold.routing.interface import RoutingConfig
from crankfold.time_units import TICKS_PER_SECOND

ConfigDocument = dict[str, Any]
"""The JSON object of the configuration file as decoded, with the keys and values of the file."""

Settings = dict[str, Any]
"""The `settings` of a document."""

DEFAULT_SOCKETS = 1024  # socket limit of the process if the configuration file sets none
MIN_SOCKETS = 64
# Fraction of a backend's idle timeout after which an idle connection is closed here, so that the backend does
# not close it while a request is written to it.
IDLE_TIMEOUT_SHARE = 0.5
ADMIN_SPARE_SOCKETS = 4  # for the listening socket of the admin server and sockets being closed
BACKEND_SOCKETS_DIVISOR = 4  # a quarter of the sockets is for backends
SPARE_SOCKETS_DIVISOR = 16  # a sixteenth stays free for sockets being closed


class SocketLimits(NamedTuple):
    """The maximum numbers of open sockets of the process, by purpose."""

    backend_connections: int
    accepted_connections: int


class ParsedConfig(NamedTuple):
    """The configurations that a document's settings define."""

    routing: RoutingConfig
    service: ServiceConfig


class ConnectionTimeouts(NamedTuple):
    """Time limits of connections to backends, in seconds."""

    connect: float
    idle: float


def read_config(path: str) -> ConfigDocument:
    """Returns the document in the file at `path`.

    Raises:
        ConfigError: The path is empty, the file cannot be read or is not JSON, or a required key is missing.
    """
    if not path:
        raise ConfigError("no configuration file: set GW_CONFIG or pass --config")
    try:
        document = orjson.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None
    for name, kind in (("listen", str), ("discovery", str), ("settings", dict)):
        if not isinstance(document, dict) or not isinstance(document.get(name), kind):
            raise ConfigError(f"{path}: no {name}")
    return dict(document)


def parse_address(text: str, key: str) -> tuple[str, int]:
    """Returns host and port of `HOST:PORT`; an IPv6 host may be in brackets.

    Raises:
        ConfigError: `text`, the value of `key`, has another format.
    """
    host, _, port = text.rpartition(":")
    try:
        return host.strip("[]"), int(port)
    except ValueError:
        raise ConfigError(f"{key} is not an address HOST:PORT: {text!r}") from None


def divide_socket_limit(document: ConfigDocument, has_admin_server: bool) -> SocketLimits:
    """Divides `limits.sockets` between backends and clients; some stay free for files and discovery.

    Raises:
        ConfigError: The limit is not a number.
    """
    try:
        sockets = max(int((document.get("limits") or {}).get("sockets") or DEFAULT_SOCKETS), MIN_SOCKETS)
    except (AttributeError, TypeError, ValueError):
        raise ConfigError("limits: sockets is not a number") from None
    for_backends = sockets // BACKEND_SOCKETS_DIVISOR
    # The descriptor of a closed connection is released in the next iteration of the event loop.
    free = sockets // SPARE_SOCKETS_DIVISOR + UNCOUNTED_SOCKETS
    for_admin = MAX_CALLERS + ADMIN_SPARE_SOCKETS if has_admin_server else 0
    return SocketLimits(
        backend_connections=for_backends,
        accepted_connections=sockets - for_backends - free - for_admin,
    )


def memory_limit(document: ConfigDocument) -> int:
    """Returns `limits.memory_mb` in bytes; 0 without a limit.

    Raises:
        ConfigError: The limit is not a number.
    """
    try:
        return int(float((document.get("limits") or {}).get("memory_mb") or 0) * BYTES_PER_MEGABYTE)
    except (AttributeError, OverflowError, TypeError, ValueError):
        raise ConfigError("limits: memory_mb is not a number") from None


def connection_timeouts(config: ServiceConfig) -> ConnectionTimeouts:
    """Returns the time limits that `config` defines."""
    return ConnectionTimeouts(
        connect=config.connect_timeout / TICKS_PER_SECOND,
        idle=config.idle_timeout / TICKS_PER_SECOND * IDLE_TIMEOUT_SHARE,
    )


def parse_settings(settings: Settings) -> ParsedConfig:
    """Returns the configurations that the settings of a document define.

    Raises:
        ValueError: A setting is not valid; the message names it. `config.schema` checks more.
    """
    flat = flatten_settings(settings)
    return ParsedConfig(read_routing_config(flat), read_service_config(flat))


def parse_changed_document(document: ConfigDocument, running: ConfigDocument) -> ParsedConfig:
    """Returns the configurations of a document that is to replace the running one.

    Raises:
        ConfigError: The document is not valid; the message names the first invalid field.
    """
    from crankfold.config import schema  # only here: it costs the start import time and memory

    try:
        schema.validate(document, running)
        return parse_settings(document["settings"])
    except ValueError as error:
        raise ConfigError(str(error)) from None


def settings_needing_restart(document: ConfigDocument, running: ConfigDocument) -> list[str]:
    """Returns the sorted paths of the changed settings that a reload does not apply."""
    new_settings = _without_class_specifics(document["settings"])
    old_settings = _without_class_specifics(running["settings"])
    differing = [
        f"settings.{name}"
        for name in new_settings.keys() | old_settings.keys()
        if name not in RELOADABLE and new_settings.get(name) != old_settings.get(name)
    ]
    if document["listen"] != running["listen"]:
        differing.append("listen")
    return sorted(differing)


def _without_class_specifics(settings: Settings) -> Settings:
    """Returns the settings without the specifics of request classes, which a reload applies."""
    specifics = {
        name: value
        for name, value in (settings.get("specifics") or {}).items()
        if not name.startswith("class-")
    }
    return {**settings, "specifics": specifics}
