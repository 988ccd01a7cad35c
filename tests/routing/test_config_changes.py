"""Configuration changes: pending requests keep their class, and backend measurements are preserved."""

from dataclasses import replace

from crankfold.routing.interface import DeduplicationScope, Idempotency, Outcome
from tests.fixtures import REQUEST_CLASS, ROUTING_CONFIG, TICKS_PER_MS, RouterTestCase


class ConfigChangesTest(RouterTestCase):
    def fail_first_attempt(self, request_id: int) -> None:
        """Ends the first attempt of the request with an error."""
        send_line = next(line for line in self.lines if f"unit {request_id} -> runner" in line)
        self.end_attempt(request_id, int(send_line[-1]), Outcome.ERROR)

    def test_pending_requests_keep_their_class_and_lowest_max_attempts(self) -> None:
        self.open(backend_count=4, idempotency=Idempotency.IDEMPOTENT)
        idempotent_class = replace(REQUEST_CLASS)
        non_idempotent_class = replace(idempotent_class, idempotency=Idempotency.NON_IDEMPOTENT)
        self.receive_request(0)
        self.record("the grade becomes once-only, in a row of its own")
        self.router.config_changed(
            self.now, replace(ROUTING_CONFIG, request_classes=[idempotent_class, non_idempotent_class])
        )
        self.receive_request(1, request_class=1)
        self.fail_first_attempt(0)
        self.fail_first_attempt(1)
        self.record("one dispatch is allowed from here on, also for what was taken before")
        self.receive_request(2)
        self.router.config_changed(
            self.now,
            replace(ROUTING_CONFIG, request_classes=[idempotent_class, non_idempotent_class], max_attempts=1),
        )
        self.fail_first_attempt(2)
        self.record("three are allowed again, but not for what was taken meanwhile")
        self.receive_request(3)
        self.router.config_changed(
            self.now, replace(ROUTING_CONFIG, request_classes=[idempotent_class, non_idempotent_class])
        )
        self.fail_first_attempt(3)
        self.assert_matches_trace("renewal-units")

    def test_config_change_preserves_measurements_of_backends_and_classes(self) -> None:
        self.open(backend_count=3)
        self.router.state.classes[0].typical_run, self.router.limit.limit = 77.0, 5.0
        self.backends[1].reported_queue, self.backends[2].ejection_time = 4.5, 10_000
        self.router.config_changed(
            self.now,
            replace(
                ROUTING_CONFIG,
                request_classes=[
                    REQUEST_CLASS,
                    replace(REQUEST_CLASS, deduplication_scope=DeduplicationScope.ZONE),
                ],
            ),
        )
        self.assertEqual(
            (
                [class_record.typical_run for class_record in self.router.state.classes],
                self.router.limit.limit,
            ),
            ([77.0, 500.0 * TICKS_PER_MS], 5.0),
        )
        self.assertEqual((self.backends[1].reported_queue, self.backends[2].ejection_time), (4.5, 10_000))
