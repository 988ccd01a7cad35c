"""The schema of a configuration file, which is validated before any of it is used.

Only `crankfold check` and reloads import it. Fields have the names that the program uses; `field` maps them
to the keys of the file.
"""

import re
from collections.abc import Mapping
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field

from crankfold.errors import CrankfoldError

Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
NonEmptyText = Annotated[str, Meta(min_length=1)]
MAX_QUOTED_CHARACTERS = 60  # of a value in an error message
_JsonObject = Mapping[str, Any]
# Top-level keys that may be missing even if the running configuration has them.
_OPTIONAL_KEYS = ("known", "admin_addr")


class SchemaError(CrankfoldError, ValueError):
    """A field does not match the schema; the message has its path, its value and what is allowed."""


class RequestClassSchema(Struct, rename="kebab"):
    """A request class. Times are in microseconds."""

    name: NonEmptyText
    idempotency: Literal["safe", "keyed", "unsafe"] = field(name="effect")
    deadline: Positive = field(name="cut-off")
    latency_objective: NonNegative = field(name="expected-time")
    deduplication_scope: Literal["all", "zone", "cell"] | None = field(name="group", default=None)
    deduplication_window: NonNegative | None = field(name="repeat-window", default=None)
    priority_weight: NonNegative | None = field(name="revenue", default=None)
    late_value: Fraction | None = field(name="tardy-revenue", default=None)
    objective_per_work: NonNegative | None = field(name="aim-stretch", default=None)


class AllowedSchema(Struct, rename="kebab"):
    """What the dispatcher may do, and its limits. Times are in microseconds."""

    max_attempts: Annotated[int, Meta(ge=1)] = field(name="most-dispatches")
    cancel: bool | None = None
    probing: bool | None = None
    hedging: bool | None = field(name="second-copies", default=None)
    retry_after: bool | None = None
    max_retry_after: NonNegative | None = None
    connect_timeout: Positive | None = None
    idle_timeout: Positive | None = field(name="conn-idle", default=None)
    max_pending: Annotated[int, Meta(ge=1)] | None = field(name="most-held", default=None)


class SpecificsSchema(Struct, rename="kebab"):
    """Properties of the backends of this deployment."""

    start_notifications: bool | None = field(name="tells-start", default=None)
    key_affinity: bool | None = field(name="keeps-keys", default=None)


class SettingsSchema(Struct, rename="kebab"):
    """The settings. `tick`, the resolution of timers, is in microseconds."""

    request_classes: Annotated[list[dict[str, Any]], Meta(min_length=1)] = field(name="service-grades")
    allowed: AllowedSchema
    tick: Positive | None = None
    instance_count: Annotated[int, Meta(ge=1)] | None = field(name="balancers", default=None)
    weights: Annotated[str, Meta(pattern="^(off|nominal|rough|live)$")] | None = None
    specifics: SpecificsSchema | None = None


class LimitsSchema(Struct):
    """Limits of the processes of a dispatcher: file descriptors, and megabytes of resident memory."""

    sockets: Annotated[int, Meta(ge=1)] | None = None
    memory_mb: Positive | None = None


class ConfigFileSchema(Struct):
    """The configuration file."""

    listen: NonEmptyText
    discovery: NonEmptyText
    settings: SettingsSchema
    limits: LimitsSchema | None = None
    seed: str | None = None
    admin_address: str | None = field(name="admin_addr", default=None)
    peers: dict[str, Any] | None = None  # validated by `read_cluster_config`


def validate(given: _JsonObject, running: _JsonObject | None = None) -> None:
    """Validates a decoded configuration file.

    Args:
        given: The decoded file.
        running: The configuration in force, if any; the file must have all of its keys.

    Raises:
        SchemaError: The first error.
    """
    _validate_against(given, ConfigFileSchema, "")
    index_by_name: dict[str, int] = {}
    for index, request_class in enumerate(given["settings"]["service-grades"]):
        path = f"settings.service-grades[{index}]"
        _validate_against(request_class, RequestClassSchema, path + ".")
        name = request_class["name"]
        first_index = index_by_name.setdefault(name, index)
        if first_index != index:
            raise SchemaError(f"{path}.name: found {name!r}, which number {first_index} has already")
    if running is not None:
        _check_no_key_missing(given, running, "")


def _validate_against(given: object, schema: type, path: str) -> None:
    try:
        msgspec.convert(given, schema)
    except msgspec.ValidationError as error:
        text, _, location = str(error).partition(" - at `$")
        raise SchemaError(_describe(given, text, path, location.strip("`."))) from None


def _describe(given: object, text: str, path: str, location: str) -> str:
    """Returns the message for an error of msgspec at a location below `path`."""
    missing = re.search(r"missing required field `(.+?)`", text)
    if missing:
        return f"{path}{location}{'.' if location else ''}{missing[1]}: missing"
    found: Any = given
    for key, index in re.findall(r"([^.\[\]]+)|\[(\d+)\]", location):
        found = found[key or int(index)]
    quoted = repr(found)
    if len(quoted) > MAX_QUOTED_CHARACTERS:
        quoted = quoted[:MAX_QUOTED_CHARACTERS] + "..."
    return f"{path}{location}: found {quoted}; {text[0].lower()}{text[1:]}"


def _check_no_key_missing(given: object, running: object, path: str) -> None:
    """Checks that `given` has the keys of `running`.

    Otherwise a key that was deleted by mistake would silently get its default value.

    Raises:
        SchemaError: A key is missing.
    """
    if isinstance(running, dict) and isinstance(given, dict):
        for key in running:
            if key not in given and (path or key not in _OPTIONAL_KEYS):
                raise SchemaError(f"{path}{key}: missing; the running configuration has it")
            if key in given and (path or key != "known"):
                _check_no_key_missing(given[key], running[key], f"{path}{key}.")
    elif isinstance(running, list) and isinstance(given, list):
        common = _common_keys(running)
        for index, item in enumerate(given):
            missing_keys = sorted(common - set(item)) if isinstance(item, dict) else []
            if missing_keys:
                raise SchemaError(
                    f"{path[:-1]}[{index}].{missing_keys[0]}: missing; all of the running ones have it"
                )


def _common_keys(items: list[Any]) -> set[str]:
    """Returns the keys that all objects in a list have; an empty set if an item is not an object."""
    if not items or not all(isinstance(item, dict) for item in items):
        return set()
    return set.intersection(*(set(item) for item in items))
