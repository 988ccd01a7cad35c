"""Validation of new versions of replicated documents."""

import unittest

from crankfold.service.cluster.document_validation import validation_error


class LimitsDocumentTest(unittest.TestCase):
    def limits_error(self, name: str) -> str:
        """Returns why a limit of that name is not valid; empty if it is valid."""
        return validation_error(
            "limits",
            {"limits": {name: 3}},
            previous=None,
            local_settings={},
            list_machines=lambda: (),
        )

    def test_limit_is_named_after_all_requests_request_class_or_tenant(self) -> None:
        for name in ("all", "grade:g", "tenant:t", "tenant:t:u", "grade", "tenant:"):
            self.assertEqual(self.limits_error(name), "", name)
        for name in ("", "All", "all:g", "grades:g", "t"):
            allowed = "all, grade:NAME or tenant:NAME"
            self.assertEqual(self.limits_error(name), f"limits.{name}: found {name!r}; {allowed}")
