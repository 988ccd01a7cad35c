"""Admission: which requests are sent, queued or shed on arrival, and which queued requests are sent later."""

from dataclasses import replace

from crankfold.routing.interface import DeduplicationScope, Endpoint, EndpointState, Idempotency, Outcome
from tests.fixtures import TICKS_PER_MS
from tests.routing.fixtures import RouterFixture, ready_endpoint, request_class


class WorkHintTest(RouterFixture):
    def start_router_without_late_value(self) -> None:
        """A response has a value within 100 ms only; the assumed typical running time is 500 ms."""
        self.start_router(
            ready_endpoint(0),
            request_classes=[request_class(latency_objective=100 * TICKS_PER_MS, objective_per_work=0.0)],
        )

    def test_request_whose_hinted_work_cannot_end_in_time_is_shed_at_once(self) -> None:
        self.start_router_without_late_value()
        self.receive_request(0, work=500)
        self.assertEqual((self.sent_attempts, self.shed_requests), ([], [0]))

    def test_request_without_hint_is_not_shed_for_typical_work_of_its_class(self) -> None:
        self.start_router_without_late_value()
        self.receive_request(0, work=0)
        self.assertEqual((self.sent_attempts, self.shed_requests), ([(0, 0)], []))


class FirstTryTest(RouterFixture):
    def test_unmarked_request_with_less_than_half_of_class_deadline_left_counts_as_first_try(self) -> None:
        # The class's deadline is 5000 ms. With more than half of it remaining, the request is treated as a
        # retry whose latency objective started at an earlier first try.
        for time_left_ms, expected_attempts in ((2400, [(0, 0)]), (2600, [])):
            self.start_router(ready_endpoint(0))
            self.receive_request(0, timeout=time_left_ms, work=100)
            self.assertEqual(self.sent_attempts, expected_attempts, f"{time_left_ms} ms left")

    def test_retry_without_hint_is_shed_once_its_first_try_is_older_than_half_a_second(self) -> None:
        for age_ms, expected_attempts in ((400, [(0, 0)]), (600, [])):
            self.start_router(
                ready_endpoint(0),
                request_classes=[request_class(latency_objective=100 * TICKS_PER_MS, objective_per_work=0.0)],
            )
            self.receive_request(0, timeout=5000 - age_ms, work=0, is_retry=True)
            self.assertEqual(self.sent_attempts, expected_attempts, f"first try {age_ms} ms ago")

    def test_retry_without_hint_is_not_shed_for_its_age_within_latency_objective(self) -> None:
        for age_ms, expected_attempts in ((900, [(0, 0)]), (1100, [])):
            self.start_router(
                ready_endpoint(0),
                request_classes=[
                    request_class(latency_objective=1000 * TICKS_PER_MS, objective_per_work=0.0)
                ],
            )
            self.receive_request(0, timeout=5000 - age_ms, work=0, is_retry=True)
            self.assertEqual(self.sent_attempts, expected_attempts, f"first try {age_ms} ms ago")


class RequestQueueTest(RouterFixture):
    def queue_blocked_requests(self, blocked_count: int) -> None:
        """Queues requests restricted to a zone without backends, then one that may go to any zone."""
        zone_bound_class = request_class(
            idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
            deduplication_scope=DeduplicationScope.ZONE,
            deduplication_window=60_000 * TICKS_PER_MS,
            priority_weight=10.0,
            latency_objective=3000 * TICKS_PER_MS,
        )
        self.start_router(
            ready_endpoint(0, zone=0),
            free_slots=8.0,
            request_classes=[zone_bound_class, request_class(latency_objective=3000 * TICKS_PER_MS)],
            hedging_allowed=False,
        )
        for request_id in range(blocked_count):
            self.route_request(request_id)
        self.update_endpoints(
            replace(ready_endpoint(0), state=EndpointState.DRAINING), ready_endpoint(1, zone=1)
        )
        for request_id in range(blocked_count):
            self.end_latest_attempt(request_id, Outcome.STALE_CONNECTION, last=False)
        self.receive_request(blocked_count, request_class=1)
        self.assertEqual(self.backends_of(blocked_count), [], "queued requests go first")
        self.report_free_slots(1, 4.0)

    def test_three_queued_requests_without_candidates_do_not_block_the_rest(self) -> None:
        self.queue_blocked_requests(3)
        self.assertEqual(self.backends_of(3), [1])

    def test_four_queued_requests_without_candidates_block_the_rest(self) -> None:
        self.queue_blocked_requests(4)
        self.assertEqual(self.backends_of(4), [])

    def test_queued_request_goes_to_backend_in_slow_start_at_concurrency_limit(self) -> None:
        self.start_router(
            ready_endpoint(0),
            ready_endpoint(1),
            request_classes=[request_class(latency_objective=10_000 * TICKS_PER_MS)],
            hedging_allowed=False,
        )
        for request_id in range(10):
            self.route_request(request_id, timeout=60_000)
        self.advance_by(3000)
        for request_id in range(10):  # long waits lower the limit below the ten attempts in flight
            self.start_attempt(request_id, self.backends_of(request_id)[0])
        self.receive_request(10, work=20, timeout=60_000)
        self.assertEqual(self.backends_of(10), [], "queued at the concurrency limit")
        self.update_endpoints(Endpoint(2, EndpointState.READY, 1.0, 0, 0, self.now - 1000 * TICKS_PER_MS))
        self.advance_by(1000)
        self.assertEqual(self.backends_of(10), [2])
