"""What a configuration has to look like, checked as a whole before anything of it is used.

Not imported at start: it is for `crankfold check` and for a file that is to replace the running one.
"""

import re
from collections.abc import Mapping
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

Above = Annotated[float, Meta(gt=0)]
Least = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Text = Annotated[str, Meta(min_length=1)]


class Grade(Struct, rename="kebab"):
    name: Text
    effect: Literal["safe", "keyed", "unsafe"]
    cut_off: Above
    expected_time: Least
    group: Literal["all", "zone", "cell"] | None = None
    repeat_window: Least | None = None
    revenue: Least | None = None
    tardy_revenue: Share | None = None
    aim_stretch: Least | None = None


class Allowed(Struct, rename="kebab"):
    most_dispatches: Annotated[int, Meta(ge=1)]
    cancel: bool | None = None
    probing: bool | None = None
    second_copies: bool | None = None
    retry_after: bool | None = None
    max_retry_after: Least | None = None
    connect_timeout: Above | None = None
    conn_idle: Above | None = None
    most_held: Annotated[int, Meta(ge=1)] | None = None


class Specifics(Struct, rename="kebab"):
    tells_start: bool | None = None
    keeps_keys: bool | None = None


class Settings(Struct, rename="kebab"):
    service_grades: Annotated[list[dict[str, Any]], Meta(min_length=1)]
    allowed: Allowed
    tick: Above | None = None
    balancers: Annotated[int, Meta(ge=1)] | None = None
    weights: Annotated[str, Meta(pattern="^(off|nominal|rough|live)$")] | None = None
    specifics: Specifics | None = None


class Limits(Struct):
    sockets: Annotated[int, Meta(ge=1)] | None = None


class File(Struct):
    listen: Text
    discovery: Text
    settings: Settings
    limits: Limits | None = None
    seed: str | None = None
    admin_addr: str | None = None
    peers: dict[str, Any] | None = None  # looked at by whoever starts them


class Misfit(ValueError):
    """Which field, what was found and what is allowed."""


def check(given: Mapping[str, Any], running: Mapping[str, Any] | None = None) -> None:
    _fits(given, File, "")
    seen: dict[str, int] = {}
    for n, grade in enumerate(given["settings"]["service-grades"]):
        path = f"settings.service-grades[{n}]"
        _fits(grade, Grade, path + ".")
        first = seen.setdefault(grade["name"], n)
        if first != n:
            raise Misfit(f"{path}.name: found {grade['name']!r}, which number {first} has already")
    if running is not None:
        _whole(given, running, "")


def _fits(given: object, form: type, path: str) -> None:
    try:
        msgspec.convert(given, form)
    except msgspec.ValidationError as wrong:
        text, _, place = str(wrong).partition(" - at `$")
        place = place.strip("`.")
        missing = re.search(r"missing required field `(.+?)`", text)
        if missing:
            raise Misfit(f"{path}{place}{'.' if place else ''}{missing[1]}: missing") from None
        found: Any = given
        for key, number in re.findall(r"([^.\[\]]+)|\[(\d+)\]", place):
            found = found[key or int(number)]
        shown = repr(found)
        if len(shown) > 60:
            shown = shown[:60] + "..."
        raise Misfit(f"{path}{place}: found {shown}; {text[0].lower()}{text[1:]}") from None


def _whole(given: object, running: object, path: str) -> None:
    """A lost line must not pass for a wish to have the default."""
    if isinstance(running, dict) and isinstance(given, dict):
        for key in running:
            if key not in given and (path or key not in ("known", "admin_addr")):
                raise Misfit(f"{path}{key}: missing; the running configuration has it")
            if key in given and (path or key != "known"):
                _whole(given[key], running[key], f"{path}{key}.")
    elif isinstance(running, list) and isinstance(given, list):
        common = set.intersection(*(set(item) for item in running)) if running and all(
            isinstance(item, dict) for item in running) else set()
        for n, item in enumerate(given):
            lacks = sorted(common - set(item)) if isinstance(item, dict) else []
            if lacks:
                raise Misfit(f"{path[:-1]}[{n}].{lacks[0]}: missing; all of the running ones have it")
