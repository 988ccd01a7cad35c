"""Admission: the request queue, the concurrency limit, and requests that arrive too late."""

from crankfold.routing.interface import Endpoint, EndpointState
from tests.fixtures import TICKS_PER_MS, RouterTestCase


class AdmissionTest(RouterTestCase):
    def test_queued_requests_are_sent_by_value_then_newest_first_and_shed_when_late(self) -> None:
        self.open(backend_count=1)
        self.router.limit.limit = 1.0
        for request_id in range(4):
            self.receive_request(request_id)
        self.start_attempt(0, 0)
        self.advance_to(100)
        self.router.state.averages.mean_wait = 3000.0
        self.end_attempt(0, 0)
        self.advance_to(800)
        self.assert_matches_trace("held")

    def test_limit_falls_as_waits_grow_and_rises_when_they_end(self) -> None:
        self.open()
        self.router.limit.in_flight = 30
        for wait_ms in (0, 400, 400, 400, 0, 0, 0):
            for _ in range(10):
                self.router.limit.sample_wait(self.now, self.now, wait_ms * TICKS_PER_MS)
            # Sent before the last adjustment, so it does not count.
            self.router.limit.sample_wait(self.now, self.now - 1, 9999 * TICKS_PER_MS)
            self.router.limit.in_flight = min(30, int(self.router.limit.limit))
            self.record(f"ten starts after {wait_ms} ms: limit {min(self.router.limit.limit, 999):.1f}")
            self.advance_to(self.now / TICKS_PER_MS - 10_000 + 100)
        self.assert_matches_trace("limit")

    def test_limit_shrinks_at_once_with_fleet_capacity(self) -> None:
        self.open(backend_count=3)
        self.router.limit.limit = 30.0
        self.change_endpoints([Endpoint(1, EndpointState.DRAINING, 1.0, 1, 1, 0)], snapshot=False)
        self.record(f"a third drains: limit {self.router.limit.limit:.0f}")
        self.change_endpoints([Endpoint(1, EndpointState.READY, 1.0, 1, 1, self.now)], snapshot=False)
        self.record(f"it is back, cold: limit {self.router.limit.limit:.0f}")
        self.assert_matches_trace("scaled-limit")

    def test_request_is_queued_rather_than_sent_to_backend_beyond_max_load(self) -> None:
        self.open(backend_count=1, free_slots=1.0)
        for request_id in range(4):
            self.receive_request(request_id)
        self.advance_to(200)
        self.start_attempt(0, 0)
        self.end_attempt(0, 0)
        self.assert_matches_trace("deep")

    def test_retry_past_latest_useful_start_is_shed_on_arrival(self) -> None:
        self.open()
        self.receive_request(0, timeout=4400)  # its first try was 600 ms ago
        self.receive_request(1, timeout=4900)
        self.assert_matches_trace("late-retry")
