"""Hedging: when and how often requests are hedged, and which backends are ejected as unresponsive."""

from crankfold.routing.interface import Endpoint, EndpointState, Outcome
from tests.routing.fixtures import RouterFixture, ready_endpoint, request_class

WORK_MS = 400
HEDGE_SHARE = 0.3  # of the work sent
MAX_SAVED_HEDGES = 5  # hedges of the mean running time that the budget saves up


class HedgingPolicyTest(RouterFixture):
    def hedge_count(self, first_id: int, count: int) -> int:
        """Returns how many hedges `count` requests from `first_id` on have got."""
        return sum(len(self.backends_of(request_id)) - 1 for request_id in range(first_id, first_id + count))

    def test_hedges_do_not_exceed_hedge_share_of_sent_work(self) -> None:
        self.start_router(*[ready_endpoint(backend) for backend in range(30)])
        for request_id in range(10):
            self.route_request(request_id, work=WORK_MS)
        self.advance_by(900)
        hedge_count = self.hedge_count(0, 10)
        self.assertGreaterEqual(hedge_count, 2)
        # The last hedge may exceed the budget: any positive remainder permits one more.
        self.assertLessEqual(hedge_count, HEDGE_SHARE * (10 + hedge_count) + 1)

    def test_saved_hedge_budget_is_limited_to_a_few_mean_runs(self) -> None:
        self.start_router(*[ready_endpoint(backend) for backend in range(45)])
        for request_id in range(100):
            backend = self.route_request(request_id, work=WORK_MS)
            self.start_attempt(request_id, backend)
            if request_id % 20 == 19:
                self.advance_by(WORK_MS)
                for ended_id in range(request_id - 19, request_id + 1):
                    self.end_latest_attempt(ended_id)
        for request_id in range(100, 120):
            self.route_request(request_id, work=WORK_MS)
        self.advance_by(900)
        hedge_count = self.hedge_count(100, 20)
        self.assertGreaterEqual(hedge_count, MAX_SAVED_HEDGES)
        self.assertLessEqual(hedge_count, MAX_SAVED_HEDGES + HEDGE_SHARE * hedge_count + 1)

    def test_late_request_is_hedged_only_if_late_response_has_value(self) -> None:
        for late_value, expected_attempts in ((0.0, 1), (0.5, 2)):
            self.start_router(
                ready_endpoint(0),
                ready_endpoint(1),
                request_classes=[request_class(late_value=late_value)],
                max_attempts=2,
            )
            # The objective is 500 ms, and the attempt counts as stalled only later.
            self.route_request(0, work=100)
            self.advance_by(2000)
            self.assertEqual(len(self.backends_of(0)), expected_attempts, f"late value {late_value}")

    def test_request_with_two_attempts_in_flight_gets_no_further_hedge(self) -> None:
        self.start_router(*[ready_endpoint(backend) for backend in range(9)], max_attempts=5)
        for request_id in range(1, 4):  # other work earns the budget for more than one hedge
            self.start_attempt(request_id, self.route_request(request_id, work=4000))
        self.route_request(0, work=2000)
        self.advance_by(4000)
        self.assertEqual(len(self.backends_of(0)), 2)


class HedgeTimingTest(RouterFixture):
    def test_hedge_is_sent_only_while_half_of_work_fits_before_objective(self) -> None:
        # The objective is 4300 ms, and half of the work takes 1000 ms.
        for free_slot_at_ms, expected_attempts in ((2900, 2), (3500, 1)):
            self.start_router(ready_endpoint(0))
            self.route_request(0, work=2000)
            self.advance_by(free_slot_at_ms)
            self.update_endpoints(ready_endpoint(1))
            self.report_free_slots(1, 4.0)
            self.advance_by(1000)
            self.assertEqual(
                len(self.backends_of(0)), expected_attempts, f"free slots {free_slot_at_ms} ms after the send"
            )

    def test_hedge_in_subset_is_delayed_by_a_third_of_spare_time(self) -> None:
        endpoints = [
            Endpoint(backend, EndpointState.READY, 1.0, 0, 0, 0, 0, backend / 40) for backend in range(40)
        ]
        self.start_router(*endpoints, instance_count=60)
        self.route_request(0, work=5700, timeout=15_000)  # the objective is 11700 ms: 6000 ms to spare
        self.advance_by(1900)
        self.assertEqual(len(self.backends_of(0)), 1)
        self.advance_by(200)
        self.assertEqual(len(self.backends_of(0)), 2)


class StallDetectionTest(RouterFixture):
    def send_request_to_silent_backend(self) -> int:
        """Sends a request, which gets no response, to one of three backends; returns the backend."""
        self.start_router(*[ready_endpoint(backend) for backend in range(3)], hedging_allowed=False)
        self.advance_by(50)
        return self.route_request(0, work=2000)

    def gets_next_requests(self, backend: int) -> bool:
        """Cancels the first attempt; returns whether one of three new requests goes to the backend."""
        self.end_latest_attempt(0, Outcome.CANCELLED)
        return backend in [self.route_request(request_id) for request_id in range(1, 4)]

    def test_backend_silent_for_over_a_second_is_ejected(self) -> None:
        backend = self.send_request_to_silent_backend()
        self.advance_by(1200)
        self.assertFalse(self.gets_next_requests(backend))

    def test_backend_silent_for_less_than_a_second_is_not_ejected(self) -> None:
        backend = self.send_request_to_silent_backend()
        self.advance_by(900)
        self.assertTrue(self.gets_next_requests(backend))

    def test_backend_that_responded_since_attempt_was_sent_is_not_ejected(self) -> None:
        backend = self.send_request_to_silent_backend()
        self.advance_by(500)
        self.router.probe_ended(self.now, backend, True, ())
        self.advance_by(700)
        self.assertTrue(self.gets_next_requests(backend))
