"""Validates new versions of replicated documents against the settings of this dispatcher.

Imported only with peers.
"""

from collections.abc import Callable, Sequence
from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

from crankfold.config import schema
from crankfold.config.parser import (
    RELOADABLE,
    flatten_settings,
    read_routing_config,
    read_service_config,
)
from crankfold.consensus.messages import DocumentContent
from crankfold.document_names import DRAINED_BACKENDS, EXCLUDED_BACKENDS, LIMITS, MAINTENANCE, SETTINGS
from crankfold.maintenance.scheduler import Machine
from crankfold.service.config_file import Settings
from crankfold.service.requests.quotas import ALL_REQUESTS, REQUEST_CLASS_PREFIX, TENANT_PREFIX

# The schema requires these keys of a configuration file; replicated settings do not have them.
PLACEHOLDERS = {"listen": "-", "discovery": "-"}


class LimitsDocument(Struct, forbid_unknown_fields=True):
    """The schema of the document of cluster-wide limits on open requests."""

    limits: dict[str, Annotated[int, Meta(ge=0)]] = field(default_factory=dict)  # by name of the limit


class BackendListDocument(Struct, forbid_unknown_fields=True):
    """The schema of the two documents of backends that get no requests: the drained and the excluded ones."""

    reasons: dict[str, str] = field(name="runners", default_factory=dict)  # by backend id


def replicated_settings(settings: Settings) -> DocumentContent:
    """Returns the replicated part of a dispatcher's settings."""
    return {name: settings[name] for name in RELOADABLE if name in settings}


def validation_error(
    document: str,
    content: DocumentContent,
    *,
    previous: DocumentContent | None,
    local_settings: Settings,
    list_machines: Callable[[], Sequence[Machine]],
) -> str:
    """Returns the first error of a new version: path, value found and allowed values; empty if it is valid.

    Args:
        document: The name of the document.
        content: The new version.
        previous: The newest version before it, if there is one; used for settings and maintenance only.
        local_settings: The settings in the configuration file, which the replicated ones override.
        list_machines: Returns the machines that maintenance jobs may cover.
    """
    try:
        if document == SETTINGS:
            return _settings_error(content, previous, local_settings)
        if document in (DRAINED_BACKENDS, EXCLUDED_BACKENDS):
            msgspec.convert(content, BackendListDocument)
            return ""
        if document == LIMITS:
            return _limits_error(content)
        if document == MAINTENANCE:
            return _maintenance_error(content, previous, list_machines)
    except ValueError as error:
        return str(error)
    return f"{document}: dealt by whoever leads, not by operators"  # QUOTAS, which the leader publishes


def _maintenance_error(
    content: DocumentContent, previous: DocumentContent | None, list_machines: Callable[[], Sequence[Machine]]
) -> str:
    from crankfold.maintenance import specification  # imported only where maintenance is used

    return specification.validation_error(content, previous or {}, list_machines())


def _settings_error(
    content: DocumentContent, previous: DocumentContent | None, local_settings: Settings
) -> str:
    """Returns an error about the first setting that is not replicated; empty if there is none.

    Raises:
        ValueError: A setting is not valid; the text names the first one.
    """
    for name in content:
        if name not in RELOADABLE:
            return f"settings.{name}: not a replicated setting; replicated are {', '.join(RELOADABLE)}"
    settings = {**local_settings, **content}
    current = None if previous is None else {**PLACEHOLDERS, "settings": {**local_settings, **previous}}
    schema.validate({**PLACEHOLDERS, "settings": settings}, current)
    flat_settings = flatten_settings(settings)
    read_service_config(flat_settings)
    read_routing_config(flat_settings)
    return ""


def _limits_error(content: DocumentContent) -> str:
    for name in msgspec.convert(content, LimitsDocument).limits:
        # A name without the colon is accepted as well, but no request counts against such a limit.
        prefix = name.partition(":")[0] + ":"
        if name != ALL_REQUESTS and prefix not in (REQUEST_CLASS_PREFIX, TENANT_PREFIX):
            allowed = f"{ALL_REQUESTS}, {REQUEST_CLASS_PREFIX}NAME or {TENANT_PREFIX}NAME"
            return f"limits.{name}: found {name!r}; {allowed}"
    return ""
