"""What one process has learnt of the runners and the next may keep: only what still means the same to it.

Told figures, it decides without I/O. Sizes carry over between processes that read weights alike, reports
between those that know the same fields. Bans, starts and standings mean the same everywhere. Held work,
doubts, paces, homes of keys and the in-flight limit start afresh: they age within seconds.
"""

from collections.abc import Mapping, Sequence
from typing import Any

DYNAMIC_WEIGHTS, STATIC_WEIGHTS = "moving", "steady"


def weight_semantics(live: bool) -> str:
    """Weights that move with load, or sizes as they stand."""
    return DYNAMIC_WEIGHTS if live else STATIC_WEIGHTS


def inherited_endpoints(welcome: Mapping[str, Any], live: bool) -> dict[str, Any] | None:
    """The list as the predecessor had it; weights of another meaning are left out until an own list."""
    known = welcome.get("known")
    if not isinstance(known, dict):
        return None
    if welcome.get("weights", STATIC_WEIGHTS) == weight_semantics(live):
        return known
    targets = known.get("targets")
    if not isinstance(targets, list):
        return None
    bare = [entry | {"capacity_hint": 0.0} for entry in targets if isinstance(entry, dict)]
    return known | {"targets": bare}


def inherited_reports(welcome: Mapping[str, Any], fields: Sequence[str]) -> dict[str, Any]:
    """Last reports by runner; none where their fields were others. An older process doesn't name them."""
    told = welcome.get("reports")
    if not isinstance(told, dict) or welcome.get("fields", list(fields)) != list(fields):
        return {}
    return told
