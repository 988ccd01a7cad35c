"""The conservative merge of two versions of a document."""

from typing import Any

import msgspec

from crankfold.consensus.conservative_merge import conservative_merge
from crankfold.document_names import QUOTAS, SETTINGS
from tests.fixtures import TraceTestCase


class ConservativeMergeTest(TraceTestCase):
    def test_the_merge_permits_only_what_both_versions_permit(self) -> None:
        def show(doc: str, old: dict[str, Any], new: dict[str, Any]) -> None:
            self.record(f"{doc}: {msgspec.json.encode(conservative_merge(doc, old, new)).decode()}")

        def request_class(**more: Any) -> dict[str, Any]:
            return {"service-grades": [{"name": "g", "effect": "safe", "cut-off": 5, **more}], "allowed": {}}

        with_key = request_class(effect="keyed", group="all")
        with_key["service-grades"][0]["repeat-window"] = 9
        narrow = request_class(effect="keyed", group="zone")
        narrow["service-grades"][0]["repeat-window"] = 7
        show(SETTINGS, request_class(), request_class(effect="unsafe"))
        show(SETTINGS, request_class(effect="unsafe"), with_key)
        show(SETTINGS, request_class(), with_key)
        show(SETTINGS, with_key, narrow)
        show(SETTINGS, request_class(), {"service-grades": [], "allowed": {"most-dispatches": 2}})
        show(
            SETTINGS,
            {**request_class(), "allowed": {"most-dispatches": 2, "second-copies": True}},
            {**request_class(), "allowed": {"most-dispatches": 3, "second-copies": False}},
        )
        show("runners-out", {"runners": {"a": "why"}}, {"runners": {"b": "why"}})
        show("limits", {"limits": {"grade:g": 5}}, {"limits": {"grade:g": 3, "tenant:t": 2}})
        show(QUOTAS, {"shares": {"l": {"a": 5, "b": 1, "c": 2}}}, {"shares": {"l": {"a": 1, "b": 5}}})
        self.assert_matches_trace("consensus-merge")
