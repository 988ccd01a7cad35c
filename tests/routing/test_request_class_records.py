"""Request class records: which measurements a configuration change preserves."""

from dataclasses import replace

from crankfold.routing.interface import Idempotency
from crankfold.service.requests.classes import RequestClassTable
from tests.fixtures import REQUEST_CLASS, ROUTING_CONFIG, RouterTestCase


class RequestClassRecordTest(RouterTestCase):
    def test_typical_run_is_not_transferred_to_another_class_with_equal_settings(self) -> None:
        self.open()
        class_table = RequestClassTable(["a"], [REQUEST_CLASS])
        self.router.state.classes[0].typical_run = 77.0
        class_table.update(["a"], [REQUEST_CLASS])
        self.router.config_changed(
            self.now, replace(ROUTING_CONFIG, request_classes=class_table.classes), class_table.reassigned
        )
        self.assertEqual(
            (
                [class_record.typical_run for class_record in self.router.state.classes],
                class_table.reassigned,
            ),
            ([77.0], frozenset()),
        )
        class_table.update(["b"], [REQUEST_CLASS])
        self.router.config_changed(
            self.now, replace(ROUTING_CONFIG, request_classes=class_table.classes), class_table.reassigned
        )
        self.assertEqual(
            (
                [class_record.typical_run for class_record in self.router.state.classes],
                class_table.reassigned,
            ),
            ([REQUEST_CLASS.deadline / 10], frozenset({0})),
        )
        self.assertEqual(
            [class_record.settings.idempotency for class_record in self.router.state.classes],
            [Idempotency.IDEMPOTENT],
        )
