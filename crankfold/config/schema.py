"""What a configuration has to look like, checked as a whole before anything of it is used.

Not imported at start: it is for `crankfold check` and for a file that is to replace the running one.
"""

import re
from collections.abc import Mapping
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
NonEmptyText = Annotated[str, Meta(min_length=1)]


class RequestClassSchema(Struct, rename="kebab"):
    name: NonEmptyText
    effect: Literal["safe", "keyed", "unsafe"]
    cut_off: Positive
    expected_time: NonNegative
    group: Literal["all", "zone", "cell"] | None = None
    repeat_window: NonNegative | None = None
    revenue: NonNegative | None = None
    tardy_revenue: Fraction | None = None
    aim_stretch: NonNegative | None = None


class AllowedSchema(Struct, rename="kebab"):
    most_dispatches: Annotated[int, Meta(ge=1)]
    cancel: bool | None = None
    probing: bool | None = None
    second_copies: bool | None = None
    retry_after: bool | None = None
    max_retry_after: NonNegative | None = None
    connect_timeout: Positive | None = None
    conn_idle: Positive | None = None
    most_held: Annotated[int, Meta(ge=1)] | None = None


class SpecificsSchema(Struct, rename="kebab"):
    tells_start: bool | None = None
    keeps_keys: bool | None = None


class SettingsSchema(Struct, rename="kebab"):
    service_grades: Annotated[list[dict[str, Any]], Meta(min_length=1)]
    allowed: AllowedSchema
    tick: Positive | None = None
    balancers: Annotated[int, Meta(ge=1)] | None = None
    weights: Annotated[str, Meta(pattern="^(off|nominal|rough|live)$")] | None = None
    specifics: SpecificsSchema | None = None


class LimitsSchema(Struct):
    sockets: Annotated[int, Meta(ge=1)] | None = None


class ConfigFileSchema(Struct):
    listen: NonEmptyText
    discovery: NonEmptyText
    settings: SettingsSchema
    limits: LimitsSchema | None = None
    seed: str | None = None
    admin_addr: str | None = None
    peers: dict[str, Any] | None = None  # looked at by whoever starts them


class SchemaError(ValueError):
    """Which field, what was found and what is allowed."""


def validate(given: Mapping[str, Any], running: Mapping[str, Any] | None = None) -> None:
    _validate_against(given, ConfigFileSchema, "")
    seen: dict[str, int] = {}
    for n, grade in enumerate(given["settings"]["service-grades"]):
        path = f"settings.service-grades[{n}]"
        _validate_against(grade, RequestClassSchema, path + ".")
        first = seen.setdefault(grade["name"], n)
        if first != n:
            raise SchemaError(f"{path}.name: found {grade['name']!r}, which number {first} has already")
    if running is not None:
        _check_nothing_lost(given, running, "")


def _validate_against(given: object, form: type, path: str) -> None:
    try:
        msgspec.convert(given, form)
    except msgspec.ValidationError as wrong:
        text, _, place = str(wrong).partition(" - at `$")
        place = place.strip("`.")
        missing = re.search(r"missing required field `(.+?)`", text)
        if missing:
            raise SchemaError(f"{path}{place}{'.' if place else ''}{missing[1]}: missing") from None
        found: Any = given
        for key, number in re.findall(r"([^.\[\]]+)|\[(\d+)\]", place):
            found = found[key or int(number)]
        shown = repr(found)
        if len(shown) > 60:
            shown = shown[:60] + "..."
        raise SchemaError(f"{path}{place}: found {shown}; {text[0].lower()}{text[1:]}") from None


def _check_nothing_lost(given: object, running: object, path: str) -> None:
    """A lost line must not pass for a wish to have the default."""
    if isinstance(running, dict) and isinstance(given, dict):
        for key in running:
            if key not in given and (path or key not in ("known", "admin_addr")):
                raise SchemaError(f"{path}{key}: missing; the running configuration has it")
            if key in given and (path or key != "known"):
                _check_nothing_lost(given[key], running[key], f"{path}{key}.")
    elif isinstance(running, list) and isinstance(given, list):
        common = (
            set.intersection(*(set(item) for item in running))
            if running and all(isinstance(item, dict) for item in running)
            else set()
        )
        for n, item in enumerate(given):
            lacks = sorted(common - set(item)) if isinstance(item, dict) else []
            if lacks:
                raise SchemaError(f"{path[:-1]}[{n}].{lacks[0]}: missing; all of the running ones have it")
