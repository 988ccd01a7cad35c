"""Reads the configuration file and derives from it what a start or a reload needs.

A document is the JSON object of the file as it was decoded, with the keys and values of the file.
"""

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
from crankfold.routing.interface import RoutingConfig

DEFAULT_SOCKETS = 1024  # of the process, where the file names no limit
MIN_SOCKETS = 64
ADMIN_SPARE_SOCKETS = 4  # beside the admin callers': the listening one, and those just being closed


class SocketLimits(NamedTuple):
    """How many sockets the process may have open at once, by what they are for."""

    backend_connections: int
    accepted_connections: int


class ParsedConfig(NamedTuple):
    """What follows from a document's settings."""

    routing: RoutingConfig
    service: ServiceConfig


class ConnectionTimeouts(NamedTuple):
    """Time limits of connections to backends, in seconds."""

    connect: float
    idle: float


def read_config(path: str) -> dict[str, Any]:
    """The document in the file at `path`.

    Raises:
        ConfigError: without a path, or if the file cannot be read, is no JSON or lacks a part.
    """
    if not path:
        raise ConfigError("no configuration: set GW_CONFIG or give --config")
    try:
        document = orjson.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None
    for name, kind in (("listen", str), ("discovery", str), ("settings", dict)):
        if not isinstance(document, dict) or not isinstance(document.get(name), kind):
            raise ConfigError(f"{path}: no {name}")
    return dict(document)


def parse_address(text: str, key: str) -> tuple[str, int]:
    """Host and port of `HOST:PORT`; an IPv6 host may stand in brackets.

    Raises:
        ConfigError: if `text`, which stands under `key`, has another form.
    """
    host, _, port = text.rpartition(":")
    try:
        return host.strip("[]"), int(port)
    except ValueError:
        raise ConfigError(f"{key} is no address: {text!r}") from None


def divide_socket_limit(document: dict[str, Any], has_admin_server: bool) -> SocketLimits:
    """The limits that follow from `limits.sockets`. Some sockets stay free for files and discovery.

    Raises:
        ConfigError: if the limit is no number.
    """
    try:
        sockets = max(int((document.get("limits") or {}).get("sockets") or DEFAULT_SOCKETS), MIN_SOCKETS)
    except (AttributeError, TypeError, ValueError):
        raise ConfigError("limits: sockets is no number") from None
    for_backends = sockets // 4
    # A closed connection gives its descriptor back only a turn of the event loop later, on either side.
    free = sockets // 16 + UNCOUNTED_SOCKETS
    for_admin = MAX_CALLERS + ADMIN_SPARE_SOCKETS if has_admin_server else 0
    return SocketLimits(
        backend_connections=for_backends,
        accepted_connections=sockets - for_backends - free - for_admin,
    )


def connection_timeouts(config: ServiceConfig) -> ConnectionTimeouts:
    """The time limits in force under `config`."""
    # Backends close idle connections after their own timeout; half of it is well before.
    return ConnectionTimeouts(connect=config.connect_timeout / 10_000, idle=config.idle_timeout / 20_000)


def parse_settings(settings: dict[str, Any]) -> ParsedConfig:
    """The configurations in the settings as they stand in a document.

    Raises:
        ValueError: naming a setting that is not valid. Not all that `config.schema` checks is looked at.
    """
    flat = flatten_settings(settings)
    return ParsedConfig(read_routing_config(flat), read_service_config(flat))


def parse_changed_document(document: dict[str, Any], running: dict[str, Any]) -> ParsedConfig:
    """The configurations in a document that is to replace the running one, if all of it is valid.

    Raises:
        ConfigError: naming the first field that is not.
    """
    from crankfold.config import schema  # not at start: 2.7 MB and 15 ms

    try:
        schema.validate(document, running)
        return parse_settings(document["settings"])
    except ValueError as error:
        raise ConfigError(str(error)) from None


def settings_needing_restart(document: dict[str, Any], running: dict[str, Any]) -> list[str]:
    """Paths of what differs between the documents and is not applied by a reload, sorted."""
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


def _without_class_specifics(settings: dict[str, Any]) -> dict[str, Any]:
    """The settings less the specifics of request classes, which are reloaded with their classes."""
    specifics = {
        name: value
        for name, value in (settings.get("specifics") or {}).items()
        if not name.startswith("class-")
    }
    return {**settings, "specifics": specifics}
