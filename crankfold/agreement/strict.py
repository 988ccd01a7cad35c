"""The stricter of two documents: what whoever has heard of both may act on. `docs/bound.md` has the table.

Stricter is what permits nothing that the other forbids. What permits and forbids nothing (revenue, expected
time) is the newer one's.
"""

from collections.abc import Callable
from typing import Any

EFFECTS = ("safe", "keyed", "unsafe")  # one that is not known counts as the last
GROUPS = ("all", "zone", "cell")
SETTINGS, OUT, NEVER, LIMITS, DEAL = "settings", "runners-out", "runners-never", "limits", "deal"
WORKS = "works"
DOCUMENTS = (SETTINGS, OUT, NEVER, LIMITS, DEAL, WORKS)

Text = dict[str, Any]


def _rank(scale: tuple[str, ...], value: object) -> int:
    return scale.index(value) if isinstance(value, str) and value in scale else len(scale) - 1


def _least(one: Any, other: Any) -> Any:
    """A bound that only one has binds."""
    return other if one is None else one if other is None else min(one, other)


def grade(old: Text, new: Text) -> Text:
    both = dict(new)
    effect = max(_rank(EFFECTS, old.get("effect")), _rank(EFFECTS, new.get("effect")))
    both["effect"] = EFFECTS[effect]
    if EFFECTS[effect] == "keyed":
        tagged = [one for one in (old, new) if one.get("effect") == "keyed"]
        both["group"] = GROUPS[max(_rank(GROUPS, one.get("group", "cell")) for one in tagged)]
        both["repeat-window"] = min(one.get("repeat-window") or 0 for one in tagged)
    both["cut-off"] = _least(old.get("cut-off"), new.get("cut-off"))
    return both


def settings(old: Text, new: Text) -> Text:
    both = dict(new)
    before = {one["name"]: one for one in old.get("service-grades", ())}
    both["service-grades"] = [grade(before[one["name"]], one) for one in new.get("service-grades", ())
                              if one["name"] in before]
    was, becomes = old.get("allowed") or {}, new.get("allowed") or {}
    allowed = dict(becomes)
    for name in ("most-dispatches", "most-held", "max-retry-after"):
        least = _least(was.get(name), becomes.get(name))
        if least is not None:
            allowed[name] = least
    for name in ("second-copies", "probing", "cancel"):
        if name in was or name in becomes:
            allowed[name] = bool(was.get(name)) and bool(becomes.get(name))
    both["allowed"] = allowed
    return both


def either(old: Text, new: Text) -> Text:
    """Out in one of them is out."""
    return {"runners": {**old.get("runners", {}), **new.get("runners", {})}}


def limits(old: Text, new: Text) -> Text:
    was, becomes = old.get("limits", {}), new.get("limits", {})
    return {"limits": {name: _least(was.get(name), becomes.get(name)) for name in {**was, **becomes}}}


def deal(old: Text, new: Text) -> Text:
    """Of each limit what both give. Who is named in only one of them has nothing yet, or nothing any more."""
    was, becomes = old.get("shares", {}), new.get("shares", {})
    return {"shares": {limit: {name: min(part, becomes[limit].get(name, 0)) if limit in becomes else part
                               for name, part in parts.items()} for limit, parts in was.items()}
            | {limit: parts for limit, parts in becomes.items() if limit not in was}}


def works(old: Text, new: Text) -> Text:
    """They bind whoever leads alone, and each step says by which version it was decided."""
    return new


_WAYS: dict[str, Callable[[Text, Text], Text]] = {
    SETTINGS: settings, OUT: either, NEVER: either, LIMITS: limits, DEAL: deal, WORKS: works}


def stricter(doc: str, old: Text, new: Text) -> Text:
    return _WAYS[doc](old, new)
