"""Which requests are sent, queued or shed at once, and which queued ones are offered a place."""

from dataclasses import replace

from crankfold.routing.interface import DeduplicationScope, Endpoint, EndpointState, Idempotency, Outcome
from tests.fixtures import TICKS_PER_MS
from tests.routing.rule_scene import RuleScene, ready, request_class


class WorkHintRules(RuleScene):
    def open_without_late_value(self) -> None:
        """An answer is worth something within 100 ms only; the class is taken to run for 500 ms."""
        self.open_with(
            ready(0),
            request_classes=[request_class(latency_objective=100 * TICKS_PER_MS, objective_per_work=0.0)],
        )

    def test_request_whose_hinted_work_cannot_end_in_time_is_shed_at_once(self) -> None:
        self.open_without_late_value()
        self.receive_request(0, work=500)
        self.assertEqual((self.sent, self.shed_requests), ([], [0]))

    def test_request_without_a_hint_is_not_shed_for_the_typical_work_of_its_class(self) -> None:
        self.open_without_late_value()
        self.receive_request(0, work=0)
        self.assertEqual((self.sent, self.shed_requests), ([(0, 0)], []))


class FirstTryRules(RuleScene):
    def test_unmarked_request_with_half_of_the_usual_time_left_is_taken_for_a_first_try(self) -> None:
        # Usual are 5000 ms. With more left it counts as a retry, whose objective began with its first try.
        for time_left, sent in ((2400, [(0, 0)]), (2600, [])):
            self.open_with(ready(0))
            self.receive_request(0, timeout=time_left, work=100)
            self.assertEqual(self.sent, sent, f"{time_left} ms left")

    def test_retry_without_a_hint_is_shed_once_its_first_try_is_older_than_half_a_second(self) -> None:
        for age, sent in ((400, [(0, 0)]), (600, [])):
            self.open_with(
                ready(0),
                request_classes=[request_class(latency_objective=100 * TICKS_PER_MS, objective_per_work=0.0)],
            )
            self.receive_request(0, timeout=5000 - age, work=0, is_retry=True)
            self.assertEqual(self.sent, sent, f"first try {age} ms ago")

    def test_retry_without_a_hint_is_not_shed_for_its_age_within_the_latency_objective(self) -> None:
        for age, sent in ((900, [(0, 0)]), (1100, [])):
            self.open_with(
                ready(0),
                request_classes=[
                    request_class(latency_objective=1000 * TICKS_PER_MS, objective_per_work=0.0)
                ],
            )
            self.receive_request(0, timeout=5000 - age, work=0, is_retry=True)
            self.assertEqual(self.sent, sent, f"first try {age} ms ago")


class QueueRules(RuleScene):
    def open_stuck(self, stuck: int) -> None:
        """Queues so many requests bound to a zone without backends, then one that may go anywhere."""
        bound = request_class(
            idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
            deduplication_scope=DeduplicationScope.ZONE,
            deduplication_window=60_000 * TICKS_PER_MS,
            priority_weight=10.0,
            latency_objective=3000 * TICKS_PER_MS,
        )
        self.open_with(
            ready(0, zone=0),
            free_slots=8.0,
            request_classes=[bound, request_class(latency_objective=3000 * TICKS_PER_MS)],
            hedging_allowed=False,
        )
        for request in range(stuck):
            self.send(request)
        self.change(replace(ready(0), state=EndpointState.DRAINING), ready(1, zone=1))
        for request in range(stuck):
            self.finish(request, Outcome.STALE_CONNECTION, last=False)
        self.receive_request(stuck, request_class=1)
        self.assertEqual(self.backends_of(stuck), [], "the queue goes first")
        self.report(1, 4.0)

    def test_three_queued_requests_without_a_place_do_not_hold_up_the_rest(self) -> None:
        self.open_stuck(3)
        self.assertEqual(self.backends_of(3), [1])

    def test_after_four_queued_requests_without_a_place_the_rest_waits(self) -> None:
        self.open_stuck(4)
        self.assertEqual(self.backends_of(4), [])

    def test_at_the_concurrency_limit_a_queued_request_still_goes_to_a_backend_in_slow_start(self) -> None:
        self.open_with(
            ready(0),
            ready(1),
            request_classes=[request_class(latency_objective=10_000 * TICKS_PER_MS)],
            hedging_allowed=False,
        )
        for request in range(10):
            self.send(request, timeout=60_000)
        self.elapse(3000)
        for request in range(10):  # long waits: the limit falls below the ten in flight
            self.start_attempt(request, self.backends_of(request)[0])
        self.receive_request(10, work=20, timeout=60_000)
        self.assertEqual(self.backends_of(10), [], "queued at the limit")
        self.change(Endpoint(2, EndpointState.READY, 1.0, 0, 0, self.now - 1000 * TICKS_PER_MS))
        self.elapse(1000)
        self.assertEqual(self.backends_of(10), [2])
