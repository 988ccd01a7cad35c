"""Which versions of replicated documents a dispatcher accepts."""

import unittest

from crankfold.service.cluster.document_validation import validation_error


class LimitsTest(unittest.TestCase):
    def error(self, name: str) -> str:
        return validation_error(
            "limits",
            {"limits": {name: 3}},
            previous=None,
            local_settings={},
            list_machines=lambda: (),
        )

    def test_a_limit_is_for_all_requests_a_request_class_or_a_tenant(self) -> None:
        for name in ("all", "grade:g", "tenant:t", "tenant:t:u", "grade", "tenant:"):
            self.assertEqual(self.error(name), "", name)
        for name in ("", "All", "all:g", "grades:g", "t"):
            allowed = "all, grade:NAME or tenant:NAME"
            self.assertEqual(self.error(name), f"limits.{name}: found {name!r}; {allowed}")
