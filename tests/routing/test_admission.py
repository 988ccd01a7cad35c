"""The queue, the concurrency limit, and requests that come too late."""

from crankfold.routing.interface import Endpoint, EndpointState
from tests.fixtures import TICKS_PER_MS, RouterTestCase


class AdmissionTest(RouterTestCase):
    def test_held_units_go_richest_then_newest_and_are_shed_when_late(self) -> None:
        self.open(backend_count=1)
        self.router.limit.limit = 1.0
        for n in range(4):
            self.receive_request(n)
        self.start_attempt(0, 0)
        self.advance_to(100)
        self.router.state.averages.mean_wait = 3000.0
        self.end_attempt(0, 0)
        self.advance_to(800)
        self.assert_matches_trace("held")

    def test_the_limit_falls_as_waits_grow_and_rises_when_they_end(self) -> None:
        self.open()
        self.router.limit.in_flight = 30
        for wait in (0, 400, 400, 400, 0, 0, 0):
            for _ in range(10):
                self.router.limit.sample_wait(self.now, self.now, wait * TICKS_PER_MS)
            self.router.limit.sample_wait(
                self.now, self.now - 1, 9999 * TICKS_PER_MS
            )  # sent under the old limit: counts no more
            self.router.limit.in_flight = min(30, int(self.router.limit.limit))
            self.record(f"ten starts after {wait} ms: limit {min(self.router.limit.limit, 999):.1f}")
            self.advance_to(self.now / TICKS_PER_MS - 10_000 + 100)
        self.assert_matches_trace("limit")

    def test_the_limit_shrinks_at_once_with_the_fleet(self) -> None:
        self.open(backend_count=3)
        self.router.limit.limit = 30.0
        self.change_endpoints([Endpoint(1, EndpointState.DRAINING, 1.0, 1, 1, 0)], snapshot=False)
        self.record(f"a third drains: limit {self.router.limit.limit:.0f}")
        self.change_endpoints([Endpoint(1, EndpointState.READY, 1.0, 1, 1, self.now)], snapshot=False)
        self.record(f"it is back, cold: limit {self.router.limit.limit:.0f}")
        self.assert_matches_trace("scaled-limit")

    def test_a_unit_waits_here_rather_than_behind_two_fillings(self) -> None:
        self.open(backend_count=1, free_slots=1.0)
        for n in range(4):
            self.receive_request(n)
        self.advance_to(200)
        self.start_attempt(0, 0)
        self.end_attempt(0, 0)
        self.assert_matches_trace("deep")

    def test_a_retry_past_its_worth_is_shed_at_once(self) -> None:
        self.open()
        self.receive_request(0, timeout=4400)  # its first try came 600 ms ago
        self.receive_request(1, timeout=4900)
        self.assert_matches_trace("late-retry")
