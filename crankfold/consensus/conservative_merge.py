"""The conservative merge of two versions of a document: it permits only what both of them permit.

While a version is pending, some members act on it and some on the one before; the merge is safe beside
either.
Fields that neither permit nor forbid anything, such as the priority weight, are taken from the newer version.
`docs/bound.md` has the table of all fields.

The names of documents and fields are those of the stored documents.
"""

from collections.abc import Callable
from typing import Any

SETTINGS = "settings"
DRAINED_BACKENDS = "runners-out"
EXCLUDED_BACKENDS = "runners-never"
LIMITS = "limits"  # on open requests, for the whole cluster
QUOTAS = "deal"  # each member's part of the limits
MAINTENANCE = "works"
DOCUMENTS = (SETTINGS, DRAINED_BACKENDS, EXCLUDED_BACKENDS, LIMITS, QUOTAS, MAINTENANCE)

# Both from the most to the least permissive; an unknown value counts as the last.
IDEMPOTENT_WITH_KEY = "keyed"
IDEMPOTENCY_LEVELS = ("safe", IDEMPOTENT_WITH_KEY, "unsafe")
DEDUPLICATION_SCOPES = ("all", "zone", "cell")

_BOUNDED_SETTINGS = ("most-dispatches", "most-held", "max-retry-after")
_PERMISSION_SETTINGS = ("second-copies", "probing", "cancel")

Content = dict[str, Any]


def _rank(scale: tuple[str, ...], value: object) -> int:
    return scale.index(value) if isinstance(value, str) and value in scale else len(scale) - 1


def _tighter_bound(first: Any, second: Any) -> Any:
    """The lower of two upper bounds; None is no bound."""
    if first is None:
        return second
    if second is None:
        return first
    return min(first, second)


def merge_request_class(old: Content, new: Content) -> Content:
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


def merge_settings(old: Content, new: Content) -> Content:
    """Merges two versions of the settings: request classes that both have, and the tighter permissions."""
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


def merge_backend_lists(old: Content, new: Content) -> Content:
    """Merges two lists of drained backends: one that either version drains is drained."""
    return {"runners": {**old.get("runners", {}), **new.get("runners", {})}}


def merge_limits(old: Content, new: Content) -> Content:
    """Merges the limits on open requests of the whole cluster: the lower one of each name."""
    old_limits = old.get("limits", {})
    new_limits = new.get("limits", {})
    return {
        "limits": {
            name: _tighter_bound(old_limits.get(name), new_limits.get(name))
            for name in {**old_limits, **new_limits}
        }
    }


def merge_quotas(old: Content, new: Content) -> Content:
    """Merges two allocations: of each limit, a member has what both versions give it.

    A member that only one version names has nothing yet, or nothing any more.
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


def merge_maintenance(old: Content, new: Content) -> Content:  # noqa: ARG001 - as all merge functions
    """Takes the newer jobs: they bind the leader alone, and each transition names the version it is from."""
    return new


_MERGE_FUNCTIONS: dict[str, Callable[[Content, Content], Content]] = {
    SETTINGS: merge_settings,
    DRAINED_BACKENDS: merge_backend_lists,
    EXCLUDED_BACKENDS: merge_backend_lists,
    LIMITS: merge_limits,
    QUOTAS: merge_quotas,
    MAINTENANCE: merge_maintenance,
}


def conservative_merge(document: str, old: Content, new: Content) -> Content:
    """Merges two versions of the document of that name, `old` being the one before `new`."""
    return _MERGE_FUNCTIONS[document](old, new)
