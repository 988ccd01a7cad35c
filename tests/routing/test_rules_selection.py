"""Candidates: free capacity, utilization, and backends in slow start."""

from crankfold.routing.interface import Endpoint, EndpointState
from tests.fixtures import TICKS_PER_MS
from tests.routing.fixtures import RouterFixture, ready_endpoint, request_class


class CapacityTest(RouterFixture):
    def test_backend_has_capacity_for_at_most_a_quarter_slot_above_its_slots(self) -> None:
        for slots, expected_backend in ((4.25, 0), (4.5, 1)):
            self.start_router(ready_endpoint(0, zone=0), ready_endpoint(1, zone=1, instance_type=1))
            self.report_free_slots(1, 9.0)
            self.assertEqual(self.route_request(0, slots=slots), expected_backend, f"{slots} slots")


class UtilizationTest(RouterFixture):
    def start_router_with_busy_backend(self) -> None:
        """Lists two backends of equal size, backend 0 with a weight that means three requests per core."""
        self.start_router(
            ready_endpoint(0, weight=4.0),
            ready_endpoint(1, weight=4.0),
            free_slots=0,
            weights_follow_load=True,
            instance_count=2,
        )
        self.change_endpoints([ready_endpoint(0, weight=1.0), ready_endpoint(1, weight=4.0)])

    def backends_of_eight_requests(self, key: int) -> set[int]:
        """Routes eight requests, with keys from `key` on or 0 for none; returns their backends."""
        backends = set()
        for request_id in range(8):
            backends.add(self.route_request(request_id, key=key and key + request_id))
            self.end_latest_attempt(request_id)
        return backends

    def test_overutilized_backend_gets_keyless_requests_if_all_backends_are_candidates(self) -> None:
        self.start_router_with_busy_backend()
        self.assertEqual(self.backends_of_eight_requests(key=0), {0, 1})

    def test_overutilized_backend_gets_no_request_with_key(self) -> None:
        self.start_router_with_busy_backend()
        self.assertEqual(self.backends_of_eight_requests(key=1), {1})


class WarmingFirstTest(RouterFixture):
    def start_router_with_warming_backend(self, *, runs_known: bool) -> None:
        """Lists two warm backends, and backend 2 in slow start with a saved-up budget."""
        self.start_router(ready_endpoint(0), ready_endpoint(1), instance_count=1, hedging_allowed=False)
        if runs_known:
            self.start_attempt(100, self.route_request(100))
            self.advance_by(100)
            self.end_latest_attempt(100)
        self.update_endpoints(Endpoint(2, EndpointState.READY, 1.0, 0, 0, self.now))
        self.route_request(101, work=50)  # the first request only draws when the budget starts
        self.end_latest_attempt(101)
        self.advance_by(1000)

    def test_hinted_request_that_ends_in_time_goes_to_backend_in_slow_start_first(self) -> None:
        self.start_router_with_warming_backend(runs_known=True)
        self.assertEqual(self.route_request(0, work=50), 2)

    def test_request_without_hint_does_not_go_to_backend_in_slow_start_first(self) -> None:
        self.start_router_with_warming_backend(runs_known=True)
        self.assertNotEqual(self.route_request(0, work=0), 2)

    def test_backend_in_slow_start_is_not_preferred_while_running_times_are_unknown(self) -> None:
        self.start_router_with_warming_backend(runs_known=False)
        self.assertNotEqual(self.route_request(0, work=50), 2)


class FirstSendTimeTest(RouterFixture):
    def test_first_send_time_is_drawn_once_and_not_by_admits(self) -> None:
        self.start_router(ready_endpoint(0), instance_count=1)
        self.update_endpoints(Endpoint(1, EndpointState.READY, 1.0, 0, 0, self.now))
        backend = self.router.state.table.backends[1]
        backend.slow_start_share = 1.0
        random = self.router.state.random
        slow_start = self.router.slow_start
        state_before = random.state
        slow_start.admits(self.now, backend, 50.0 * TICKS_PER_MS)
        self.assertEqual((random.state, backend.slow_start_next), (state_before, 0))
        slow_start.draw_first_send_times(self.now, [backend], 50.0 * TICKS_PER_MS)
        state_after_draw = random.state
        first_send_time = backend.slow_start_next
        self.assertNotEqual(state_after_draw, state_before)
        self.assertGreaterEqual(first_send_time, self.now)
        slow_start.draw_first_send_times(self.now, [backend], 50.0 * TICKS_PER_MS)
        self.assertEqual((random.state, backend.slow_start_next), (state_after_draw, first_send_time))
        self.assertFalse(slow_start.admits(first_send_time - 1, backend, 50.0 * TICKS_PER_MS))
        self.assertTrue(slow_start.admits(first_send_time, backend, 50.0 * TICKS_PER_MS))

    def test_no_send_time_is_drawn_for_warm_backend_or_one_with_unstarted_attempt(self) -> None:
        self.start_router(ready_endpoint(0), instance_count=1)
        self.update_endpoints(Endpoint(1, EndpointState.READY, 1.0, 0, 0, self.now))
        warm_backend, warming_backend = self.router.state.table.backends
        warming_backend.slow_start_share = 1.0
        warming_backend.unstarted = 1
        state_before = self.router.state.random.state
        self.router.slow_start.draw_first_send_times(
            self.now, [warm_backend, warming_backend], 50.0 * TICKS_PER_MS
        )
        self.assertEqual(self.router.state.random.state, state_before)


class SlowStartChargeTest(RouterFixture):
    def test_request_without_hint_is_charged_twice_its_typical_work_in_slow_start(self) -> None:
        # Just after the start the budget saves up at most 300 ms of work; the typical work of a class is
        # assumed to be a tenth of its deadline.
        for typical_run_ms, expected_attempts in ((100, [(0, 0)]), (200, [])):
            self.start_router(
                Endpoint(0, EndpointState.READY, 1.0, 0, 0, 100_000),
                free_slots=0,
                instance_count=1,
                request_classes=[
                    request_class(
                        deadline=10 * typical_run_ms * TICKS_PER_MS, latency_objective=2000 * TICKS_PER_MS
                    )
                ],
            )
            self.receive_request(0, work=0)
            self.advance_by(700)
            self.assertEqual(self.sent_attempts, expected_attempts, f"typical run of {typical_run_ms} ms")
