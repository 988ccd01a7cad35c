"""Checks a new version of a replicated document: whether a dispatcher could act on it.

Not imported unless there are peers.
"""

from collections.abc import Callable, Sequence
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, field

from crankfold.config import schema
from crankfold.config.parser import (
    RELOADABLE,
    flatten_settings,
    read_routing_config,
    read_service_config,
)
from crankfold.consensus.conservative_merge import (
    DRAINED_BACKENDS,
    EXCLUDED_BACKENDS,
    LIMITS,
    MAINTENANCE,
    SETTINGS,
)
from crankfold.maintenance.scheduler import Machine

Content = dict[str, Any]
"""A document as it is replicated: the JSON object that operators published."""

UNLISTED = {"listen": "-", "discovery": "-"}  # in place of what the schema asks for and no document has
LIMIT_PREFIXES = ("grade", "tenant")  # a limit is `all`, or one of these with a name behind a colon


class QuotaDocument(Struct, forbid_unknown_fields=True):
    """Limits for the whole cluster, by name."""

    limits: dict[str, Annotated[int, Meta(ge=0)]] = field(default_factory=dict)


class ManualDrainDocument(Struct, forbid_unknown_fields=True):
    """Backends that no dispatcher sends requests to."""

    reasons: dict[str, str] = field(name="runners", default_factory=dict)  # by backend id


def replicated_settings(settings: Content) -> Content:
    """The part of a dispatcher's settings that the cluster agrees on."""
    return {name: settings[name] for name in RELOADABLE if name in settings}


def validation_error(
    document: str,
    content: Content,
    *,
    previous: Content | None,
    local_settings: Content,
    list_machines: Callable[[], Sequence[Machine]],
) -> str:
    """Why a dispatcher could not act on that content, with path, found and allowed; empty if it could.

    Over 30 lines: one case for each document.

    Args:
        document: its name.
        content: the new version.
        previous: the newest version so far, if there is one; asked of settings and maintenance only.
        local_settings: the settings of this dispatcher's own file, over which the replicated ones are laid.
        list_machines: gives the machines on which maintenance jobs may be wanted.
    """
    try:
        if document == SETTINGS:
            return _settings_error(content, previous, local_settings)
        if document in (DRAINED_BACKENDS, EXCLUDED_BACKENDS):
            msgspec.convert(content, ManualDrainDocument)
            return ""
        if document == LIMITS:
            return _limits_error(content)
        if document == MAINTENANCE:
            from crankfold.maintenance import specification  # nothing of it before there is maintenance

            return specification.validation_error(content, previous or {}, list_machines())
    except ValueError as error:
        return str(error)
    return f"{document}: dealt by whoever leads, not by operators"


def _settings_error(content: Content, previous: Content | None, local_settings: Content) -> str:
    """See `validation_error`.

    Raises:
        ValueError: naming the first field that is not valid.
    """
    for name in content:
        if name not in RELOADABLE:
            return f"settings.{name}: is each dispatcher's own; agreed are {', '.join(RELOADABLE)}"
    settings = {**local_settings, **content}
    running = None if previous is None else {**UNLISTED, "settings": {**local_settings, **previous}}
    schema.validate({**UNLISTED, "settings": settings}, running)
    flat = flatten_settings(settings)
    read_service_config(flat)
    read_routing_config(flat)
    return ""


def _limits_error(content: Content) -> str:
    for name in msgspec.convert(content, QuotaDocument).limits:
        if name != "all" and name.partition(":")[0] not in LIMIT_PREFIXES:
            return f"limits.{name}: found {name!r}; all, grade:NAME or tenant:NAME"
    return ""
