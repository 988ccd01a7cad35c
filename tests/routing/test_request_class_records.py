"""What is known of a request class over changes of the configuration."""

from dataclasses import replace

from crankfold.routing.interface import Idempotency
from crankfold.service.requests.classes import RequestClassTable
from tests.fixtures import REQUEST_CLASS, ROUTING_CONFIG, RouterTestCase


class RequestClassCrossings(RouterTestCase):
    def test_what_was_learnt_of_a_request_class_is_not_kept_for_another_with_equal_settings(self) -> None:
        self.open()
        book = RequestClassTable(["a"], [REQUEST_CLASS])
        self.router.state.classes[0].typical_run = 77.0
        book.update(["a"], [REQUEST_CLASS])
        self.router.config_changed(
            self.now, replace(ROUTING_CONFIG, request_classes=book.classes), book.reassigned
        )
        self.assertEqual(
            ([known.typical_run for known in self.router.state.classes], book.reassigned),
            ([77.0], frozenset()),
        )
        book.update(["b"], [REQUEST_CLASS])
        self.router.config_changed(
            self.now, replace(ROUTING_CONFIG, request_classes=book.classes), book.reassigned
        )
        self.assertEqual(
            ([known.typical_run for known in self.router.state.classes], book.reassigned),
            ([REQUEST_CLASS.deadline / 10], frozenset({0})),
        )
        self.assertEqual(
            [known.settings.idempotency for known in self.router.state.classes], [Idempotency.IDEMPOTENT]
        )
