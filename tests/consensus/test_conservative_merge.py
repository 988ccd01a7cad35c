"""The conservative merge of two versions of a document."""

from typing import Any

import msgspec

from crankfold.consensus.conservative_merge import conservative_merge
from crankfold.document_names import QUOTAS, SETTINGS
from tests.fixtures import TraceTestCase


class ConservativeMergeTest(TraceTestCase):
    def test_merge_permits_only_what_both_versions_permit(self) -> None:
        def record_merge(document: str, old: dict[str, Any], new: dict[str, Any]) -> None:
            self.record(f"{document}: {msgspec.json.encode(conservative_merge(document, old, new)).decode()}")

        def make_settings(**fields: Any) -> dict[str, Any]:
            return {
                "service-grades": [{"name": "g", "effect": "safe", "cut-off": 5, **fields}],
                "allowed": {},
            }

        global_key = make_settings(effect="keyed", group="all")
        global_key["service-grades"][0]["repeat-window"] = 9
        zone_key = make_settings(effect="keyed", group="zone")
        zone_key["service-grades"][0]["repeat-window"] = 7
        record_merge(SETTINGS, make_settings(), make_settings(effect="unsafe"))
        record_merge(SETTINGS, make_settings(effect="unsafe"), global_key)
        record_merge(SETTINGS, make_settings(), global_key)
        record_merge(SETTINGS, global_key, zone_key)
        record_merge(SETTINGS, make_settings(), {"service-grades": [], "allowed": {"most-dispatches": 2}})
        record_merge(
            SETTINGS,
            {**make_settings(), "allowed": {"most-dispatches": 2, "second-copies": True}},
            {**make_settings(), "allowed": {"most-dispatches": 3, "second-copies": False}},
        )
        record_merge("runners-out", {"runners": {"a": "why"}}, {"runners": {"b": "why"}})
        record_merge("limits", {"limits": {"grade:g": 5}}, {"limits": {"grade:g": 3, "tenant:t": 2}})
        record_merge(QUOTAS, {"shares": {"l": {"a": 5, "b": 1, "c": 2}}}, {"shares": {"l": {"a": 1, "b": 5}}})
        self.assert_matches_trace("consensus-merge")
