"""The stricter of two documents: what whoever has heard of both may act on. `docs/bound.md` has the table.

Stricter is what permits nothing that the other forbids. What permits and forbids nothing (revenue, expected
time) is the newer one's.
"""

from collections.abc import Callable
from typing import Any

IDEMPOTENCY_LEVELS = ("safe", "keyed", "unsafe")  # one that is not known counts as the last
DEDUPLICATION_SCOPES = ("all", "zone", "cell")
SETTINGS, DRAINED_BACKENDS, EXCLUDED_BACKENDS, LIMITS, QUOTAS = (
    "settings",
    "runners-out",
    "runners-never",
    "limits",
    "deal",
)
MAINTENANCE = "works"
DOCUMENTS = (SETTINGS, DRAINED_BACKENDS, EXCLUDED_BACKENDS, LIMITS, QUOTAS, MAINTENANCE)

Content = dict[str, Any]


def _rank(scale: tuple[str, ...], value: object) -> int:
    return scale.index(value) if isinstance(value, str) and value in scale else len(scale) - 1


def _tighter_bound(one: Any, other: Any) -> Any:
    """A bound that only one has binds."""
    return other if one is None else one if other is None else min(one, other)


def merge_request_class(old: Content, new: Content) -> Content:
    both = dict(new)
    effect = max(_rank(IDEMPOTENCY_LEVELS, old.get("effect")), _rank(IDEMPOTENCY_LEVELS, new.get("effect")))
    both["effect"] = IDEMPOTENCY_LEVELS[effect]
    if IDEMPOTENCY_LEVELS[effect] == "keyed":
        tagged = [one for one in (old, new) if one.get("effect") == "keyed"]
        both["group"] = DEDUPLICATION_SCOPES[
            max(_rank(DEDUPLICATION_SCOPES, one.get("group", "cell")) for one in tagged)
        ]
        both["repeat-window"] = min(one.get("repeat-window") or 0 for one in tagged)
    both["cut-off"] = _tighter_bound(old.get("cut-off"), new.get("cut-off"))
    return both


def merge_settings(old: Content, new: Content) -> Content:
    both = dict(new)
    before = {one["name"]: one for one in old.get("service-grades", ())}
    both["service-grades"] = [
        merge_request_class(before[one["name"]], one)
        for one in new.get("service-grades", ())
        if one["name"] in before
    ]
    was, becomes = old.get("allowed") or {}, new.get("allowed") or {}
    allowed = dict(becomes)
    for name in ("most-dispatches", "most-held", "max-retry-after"):
        least = _tighter_bound(was.get(name), becomes.get(name))
        if least is not None:
            allowed[name] = least
    for name in ("second-copies", "probing", "cancel"):
        if name in was or name in becomes:
            allowed[name] = bool(was.get(name)) and bool(becomes.get(name))
    both["allowed"] = allowed
    return both


def merge_backend_lists(old: Content, new: Content) -> Content:
    """Out in one of them is out."""
    return {"runners": {**old.get("runners", {}), **new.get("runners", {})}}


def merge_limits(old: Content, new: Content) -> Content:
    was, becomes = old.get("limits", {}), new.get("limits", {})
    return {"limits": {name: _tighter_bound(was.get(name), becomes.get(name)) for name in {**was, **becomes}}}


def merge_quotas(old: Content, new: Content) -> Content:
    """Of each limit what both give. Who is named in only one of them has nothing yet, or nothing any more."""
    was, becomes = old.get("shares", {}), new.get("shares", {})
    return {
        "shares": {
            limit: {
                name: min(part, becomes[limit].get(name, 0)) if limit in becomes else part
                for name, part in parts.items()
            }
            for limit, parts in was.items()
        }
        | {limit: parts for limit, parts in becomes.items() if limit not in was}
    }


def merge_maintenance(old: Content, new: Content) -> Content:
    """They bind whoever leads alone, and each step says by which version it was decided."""
    return new


_MERGE_FUNCTIONS: dict[str, Callable[[Content, Content], Content]] = {
    SETTINGS: merge_settings,
    DRAINED_BACKENDS: merge_backend_lists,
    EXCLUDED_BACKENDS: merge_backend_lists,
    LIMITS: merge_limits,
    QUOTAS: merge_quotas,
    MAINTENANCE: merge_maintenance,
}


def conservative_merge(doc: str, old: Content, new: Content) -> Content:
    return _MERGE_FUNCTIONS[doc](old, new)
