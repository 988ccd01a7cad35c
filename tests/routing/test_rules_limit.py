"""Concurrency limit: its lowest value, and how often an endpoint list may lower it."""

from tests.routing.fixtures import RouterFixture, ready_endpoint

INSTANCE_COUNT = 2
SLOTS_PER_BACKEND = 16  # there are two backends


class ConcurrencyLimitTest(RouterFixture):
    def receive_requests(self, first_id: int, count: int) -> list[int]:
        """Receives `count` requests with ids from `first_id`; returns the ids dispatched without queueing."""
        count_before = len(self.sent_attempts)
        for request_id in range(first_id, first_id + count):
            self.receive_request(request_id, timeout=60_000, work=0)
        return [request_id for request_id, _ in self.sent_attempts[count_before:]]

    def test_limit_never_falls_below_fair_share_of_fleet_capacity(self) -> None:
        self.start_router(
            ready_endpoint(0),
            ready_endpoint(1),
            free_slots=float(SLOTS_PER_BACKEND),
            instance_count=INSTANCE_COUNT,
            hedging_allowed=False,
        )
        sent_counts = []
        for first_id in range(0, 400, 40):
            sent_ids = self.receive_requests(first_id, 40)
            sent_counts.append(len(sent_ids))
            self.advance_by(900)  # every attempt waits for its start much longer than it runs
            for request_id in sent_ids:
                self.start_attempt(request_id, self.backends_of(request_id)[0])
            for queued_id in set(range(first_id, first_id + 40)) - set(sent_ids):
                self.router.client_disconnected(self.now, queued_id)
            for request_id in sent_ids:
                self.end_latest_attempt(request_id)
        self.assertGreater(sent_counts[0], SLOTS_PER_BACKEND)
        self.assertEqual(min(sent_counts), 2 * SLOTS_PER_BACKEND // INSTANCE_COUNT)


class ListedWeightLimitTest(RouterFixture):
    def attempts_after_lists(self, *intervals_ms: int) -> int:
        """Returns how many attempts are sent immediately after lists of long queues at these intervals."""
        self.start_router(
            ready_endpoint(0, weight=4.0),
            ready_endpoint(1, weight=4.0),
            free_slots=0,
            weights_follow_load=True,
            start_notifications=False,
            hedging_allowed=False,
            instance_count=16,
        )
        for request_id in range(16):
            self.route_request(request_id, timeout=60_000, work=0)
        self.advance_by(1000)
        for interval_ms in (0, *intervals_ms):
            self.advance_by(interval_ms)
            self.change_endpoints([ready_endpoint(0, weight=0.8), ready_endpoint(1, weight=0.8)])
        for request_id in range(16):
            self.end_latest_attempt(request_id)
        count_before = len(self.sent_attempts)
        for request_id in range(100, 130):
            self.receive_request(request_id, timeout=60_000, work=0)
        return len(self.sent_attempts) - count_before

    def test_lists_within_half_a_second_lower_limit_once(self) -> None:
        self.assertEqual(self.attempts_after_lists(100, 100, 100, 100), self.attempts_after_lists())

    def test_lists_half_a_second_apart_each_lower_limit(self) -> None:
        self.assertLess(self.attempts_after_lists(500), self.attempts_after_lists())
        self.assertLess(self.attempts_after_lists(500, 500), self.attempts_after_lists(500))
