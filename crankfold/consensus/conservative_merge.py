"""The conservative merge of two versions of a document, which permits only what both of them permit.

While a version is pending, some members have applied it and some have not. What a member does under the merge
is permitted by both versions. Fields that permit nothing, such as the priority weight, are taken from the
newer version. `docs/bound.md` has the table of all fields.

Contents are plain dictionaries, with the keys of the stored documents.
"""

from collections.abc import Callable

from crankfold.consensus.messages import DocumentContent
from crankfold.document_names import (
    DRAINED_BACKENDS,
    EXCLUDED_BACKENDS,
    LIMITS,
    MAINTENANCE,
    QUOTAS,
    SETTINGS,
)

# Ordered from most to least permissive; an unknown value ranks as the last one.
IDEMPOTENT_WITH_KEY = "keyed"
IDEMPOTENCY_LEVELS = ("safe", IDEMPOTENT_WITH_KEY, "unsafe")
DEDUPLICATION_SCOPES = ("all", "zone", "cell")

_BOUNDED_SETTINGS = ("most-dispatches", "most-held", "max-retry-after")
_PERMISSION_SETTINGS = ("second-copies", "probing", "cancel")


def _rank(scale: tuple[str, ...], value: object) -> int:
    """Returns the position of a value on a scale from most to least permissive."""
    return scale.index(value) if isinstance(value, str) and value in scale else len(scale) - 1


def _tighter_bound(first: float | None, second: float | None) -> float | None:
    """Returns the lower of two upper bounds; None for unbounded."""
    if first is None:
        return second
    if second is None:
        return first
    return min(first, second)


def merge_request_class(old: DocumentContent, new: DocumentContent) -> DocumentContent:
    """Merges two versions of one request class."""
    merged = dict(new)
    rank = max(_rank(IDEMPOTENCY_LEVELS, version.get("effect")) for version in (old, new))
    merged["effect"] = IDEMPOTENCY_LEVELS[rank]
    if merged["effect"] == IDEMPOTENT_WITH_KEY:
        with_key = [version for version in (old, new) if version.get("effect") == IDEMPOTENT_WITH_KEY]
        scope = max(_rank(DEDUPLICATION_SCOPES, version.get("group", "cell")) for version in with_key)
        merged["group"] = DEDUPLICATION_SCOPES[scope]
        merged["repeat-window"] = min(version.get("repeat-window") or 0 for version in with_key)
    merged["cut-off"] = _tighter_bound(old.get("cut-off"), new.get("cut-off"))
    return merged


def merge_settings(old: DocumentContent, new: DocumentContent) -> DocumentContent:
    """Merges two versions of the settings: the request classes in both, with the tighter permissions."""
    merged = dict(new)
    old_classes = {request_class["name"]: request_class for request_class in old.get("service-grades", ())}
    merged["service-grades"] = [
        merge_request_class(old_classes[request_class["name"]], request_class)
        for request_class in new.get("service-grades", ())
        if request_class["name"] in old_classes
    ]
    old_allowed = old.get("allowed") or {}
    new_allowed = new.get("allowed") or {}
    allowed = dict(new_allowed)
    for name in _BOUNDED_SETTINGS:
        bound = _tighter_bound(old_allowed.get(name), new_allowed.get(name))
        if bound is not None:
            allowed[name] = bound
    for name in _PERMISSION_SETTINGS:
        if name in old_allowed or name in new_allowed:
            allowed[name] = bool(old_allowed.get(name)) and bool(new_allowed.get(name))
    merged["allowed"] = allowed
    return merged


def merge_backend_lists(old: DocumentContent, new: DocumentContent) -> DocumentContent:
    """Merges two sets of drained or excluded backends: their union."""
    return {"runners": {**old.get("runners", {}), **new.get("runners", {})}}


def merge_limits(old: DocumentContent, new: DocumentContent) -> DocumentContent:
    """Merges the cluster-wide limits on open requests: the lower limit of each name."""
    old_limits = old.get("limits", {})
    new_limits = new.get("limits", {})
    return {
        "limits": {
            name: _tighter_bound(old_limits.get(name), new_limits.get(name))
            for name in {**old_limits, **new_limits}
        }
    }


def merge_quotas(old: DocumentContent, new: DocumentContent) -> DocumentContent:
    """Merges two allocations: a member gets the lower of its two quotas of each limit.

    A member that only one allocation of a limit names gets no quota of it.
    """
    old_quotas = old.get("shares", {})
    new_quotas = new.get("shares", {})
    merged = {}
    for limit, quotas in old_quotas.items():
        if limit in new_quotas:
            merged[limit] = {
                name: min(quota, new_quotas[limit].get(name, 0)) for name, quota in quotas.items()
            }
        else:
            merged[limit] = dict(quotas)
    merged |= {limit: quotas for limit, quotas in new_quotas.items() if limit not in old_quotas}
    return {"shares": merged}


def merge_maintenance(old: DocumentContent, new: DocumentContent) -> DocumentContent:  # noqa: ARG001 - as all merge functions
    """Returns the newer jobs: only the leader acts on them, and a transition names the version it is for."""
    return new


_MERGE_FUNCTIONS: dict[str, Callable[[DocumentContent, DocumentContent], DocumentContent]] = {
    SETTINGS: merge_settings,
    DRAINED_BACKENDS: merge_backend_lists,
    EXCLUDED_BACKENDS: merge_backend_lists,
    LIMITS: merge_limits,
    QUOTAS: merge_quotas,
    MAINTENANCE: merge_maintenance,
}


def conservative_merge(document: str, old: DocumentContent, new: DocumentContent) -> DocumentContent:
    """Merges version `old` of the named document with the later version `new`.

    Raises:
        KeyError: The name is not one of `document_names.DOCUMENTS`.
    """
    return _MERGE_FUNCTIONS[document](old, new)
