"""Which backends have capacity, which are avoided for a long queue, and when one in slow start goes first."""

from crankfold.routing.interface import Endpoint, EndpointState
from tests.fixtures import TICKS_PER_MS
from tests.routing.rule_scene import RuleScene, ready, request_class


class CapacityRules(RuleScene):
    def test_backend_has_room_for_a_quarter_slot_more_than_its_capacity_at_most(self) -> None:
        for slots, backend in ((4.25, 0), (4.5, 1)):
            self.open_with(ready(0, zone=0), ready(1, zone=1, type_=1))
            self.report(1, 9.0)
            self.assertEqual(self.send(0, slots=slots), backend, f"{slots} slots")


class ListedQueueRules(RuleScene):
    def open_one_busy(self) -> None:
        """Two backends of one size, of which the list shows three requests for each core at backend 0."""
        self.open_with(
            ready(0, weight=4.0),
            ready(1, weight=4.0),
            free_slots=0,
            weights_follow_load=True,
            instance_count=2,
        )
        self.change_endpoints([ready(0, weight=1.0), ready(1, weight=4.0)])

    def backends_of_eight_requests(self, key: int) -> set[int]:
        """The backends of eight requests, one after the other; with keys from `key` on, 0 for none."""
        chosen = set()
        for request in range(8):
            chosen.add(self.send(request, key=key and key + request))
            self.finish(request)
        return chosen

    def test_backend_with_a_long_listed_queue_gets_requests_where_the_whole_fleet_is_used(self) -> None:
        self.open_one_busy()
        self.assertEqual(self.backends_of_eight_requests(key=0), {0, 1})

    def test_backend_with_a_long_listed_queue_gets_no_request_with_a_key(self) -> None:
        self.open_one_busy()
        self.assertEqual(self.backends_of_eight_requests(key=1), {1})


class WarmingFirstRules(RuleScene):
    def open_warming(self, *, runs_known: bool) -> None:
        """Two warm backends, and one in slow start whose budget is saved up."""
        self.open_with(ready(0), ready(1), instance_count=1, hedging_allowed=False)
        if runs_known:
            self.start_attempt(100, self.send(100))
            self.elapse(100)
            self.finish(100)
        self.change(Endpoint(2, EndpointState.READY, 1.0, 0, 0, self.now))
        self.send(101, work=50)  # the first one only sets when the budget begins
        self.finish(101)
        self.elapse(1000)

    def test_hinted_request_that_ends_in_time_goes_to_the_backend_in_slow_start_first(self) -> None:
        self.open_warming(runs_known=True)
        self.assertEqual(self.send(0, work=50), 2)

    def test_request_without_a_hint_does_not_go_to_the_backend_in_slow_start_first(self) -> None:
        self.open_warming(runs_known=True)
        self.assertNotEqual(self.send(0, work=0), 2)

    def test_backend_in_slow_start_does_not_go_first_while_running_times_are_unknown(self) -> None:
        self.open_warming(runs_known=False)
        self.assertNotEqual(self.send(0, work=50), 2)


class FirstSendTimeRules(RuleScene):
    def test_the_first_send_time_is_drawn_once_and_not_by_the_question_whether_it_has_come(self) -> None:
        self.open_with(ready(0), instance_count=1)
        self.change(Endpoint(1, EndpointState.READY, 1.0, 0, 0, self.now))
        backend = self.router.state.table.backends[1]
        backend.slow_start_share = 1.0
        random = self.router.state.random
        slow_start = self.router.slow_start
        before = random.state
        slow_start.admits(self.now, backend, 50.0 * TICKS_PER_MS)
        self.assertEqual((random.state, backend.slow_start_next), (before, 0))
        slow_start.draw_first_send_times(self.now, [backend], 50.0 * TICKS_PER_MS)
        drawn = random.state
        first = backend.slow_start_next
        self.assertNotEqual(drawn, before)
        self.assertGreaterEqual(first, self.now)
        slow_start.draw_first_send_times(self.now, [backend], 50.0 * TICKS_PER_MS)
        self.assertEqual((random.state, backend.slow_start_next), (drawn, first))
        self.assertFalse(slow_start.admits(first - 1, backend, 50.0 * TICKS_PER_MS))
        self.assertTrue(slow_start.admits(first, backend, 50.0 * TICKS_PER_MS))

    def test_no_send_time_is_drawn_for_a_warm_backend_or_one_with_an_unstarted_attempt(self) -> None:
        self.open_with(ready(0), instance_count=1)
        self.change(Endpoint(1, EndpointState.READY, 1.0, 0, 0, self.now))
        warm, warming = self.router.state.table.backends
        warming.slow_start_share = 1.0
        warming.unstarted = 1
        before = self.router.state.random.state
        self.router.slow_start.draw_first_send_times(self.now, [warm, warming], 50.0 * TICKS_PER_MS)
        self.assertEqual(self.router.state.random.state, before)


class SlowStartBurdenRules(RuleScene):
    def test_request_without_a_hint_counts_twice_its_typical_work_in_slow_start(self) -> None:
        # A second of the budget just after the start is 300 ms of work; a class's is a tenth of its deadline.
        for typical, sent in ((100, [(0, 0)]), (200, [])):
            self.open_with(
                Endpoint(0, EndpointState.READY, 1.0, 0, 0, 100_000),
                free_slots=0,
                instance_count=1,
                request_classes=[
                    request_class(deadline=10 * typical * TICKS_PER_MS, latency_objective=2000 * TICKS_PER_MS)
                ],
            )
            self.receive_request(0, work=0)
            self.elapse(700)
            self.assertEqual(self.sent, sent, f"typically {typical} ms")
