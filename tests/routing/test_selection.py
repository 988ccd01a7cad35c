"""Selection: the choice of a backend, the load reports behind it, and the subset of a large fleet."""

from crankfold.routing.interface import Endpoint, EndpointState
from crankfold.routing.router import Router
from tests.fixtures import ROUTING_CONFIG, TICKS_PER_MS, RouterTestCase


class SelectionTest(RouterTestCase):
    def test_backend_with_least_load_for_its_weight_is_chosen(self) -> None:
        self.open(backend_count=0, free_slots=0)
        self.change_endpoints(
            [Endpoint(0, EndpointState.READY, 1.0, 0, 0, 0), Endpoint(1, EndpointState.READY, 2.0, 0, 0, 0)]
        )
        for index in (0, 1):
            self.router.probe_ended(self.now, index, True, (0.0, 8.0))
        for request_id in range(6):
            self.receive_request(request_id)
            self.start_attempt(request_id, int(self.lines[-1][-1]))
        self.assert_matches_trace("weights")

    def test_repeated_report_is_ignored(self) -> None:
        self.open()
        self.router.probe_ended(self.now, 0, True, (3.0, 0.0))
        first_queues = [backend.reported_queue for backend in self.backends]
        self.router.probe_ended(self.now, 0, True, (3.0, 0.0))
        self.record(f"moved again: {first_queues != [backend.reported_queue for backend in self.backends]}")
        self.router.probe_ended(self.now, 0, True, (3.5, 0.0))
        self.record(
            f"moved by a fresh one: {first_queues != [backend.reported_queue for backend in self.backends]}"
        )
        self.assert_matches_trace("repeat")

    def test_late_report_does_not_hide_own_attempts(self) -> None:
        self.open(backend_count=1)
        self.receive_request(0)
        self.router.probe_ended(self.now, 0, True, (0.0, 3.9))
        self.record(f"load {self.backends[0].load:.1f}")
        self.advance_to(1000)
        self.router.probe_ended(self.now, 0, True, (0.0, 3.0))
        self.record(f"load {self.backends[0].load:.2f}")
        self.assert_matches_trace("late-report")

    def test_backend_without_fresh_report_gets_mean_queue_of_others(self) -> None:
        self.open(backend_count=3)
        self.advance_to(4900)
        for index in (0, 1):
            self.report_busy(index)
        self.advance_to(5600)
        self.router.refresh_if_due(self.now)
        self.record(
            "the third is taken to hold the mean: "
            f"{abs(self.backends[2].reported_queue - self.backends[0].reported_queue) < 2}"
        )
        self.lines = [line for line in self.lines if "probe" not in line]
        self.assert_matches_trace("stale")

    def test_subset_is_stable_and_other_backends_are_used_only_if_no_member_is_available(self) -> None:
        self.open(backend_count=0, free_slots=0, instance_count=60)
        self.router.state.averages.total_work = 10_000.0  # ticks: long running times
        self.change_endpoints(
            [Endpoint(index, EndpointState.READY, 1.0, index % 2, index % 2, 0) for index in range(30)]
        )
        for index in range(30):
            self.router.probe_ended(self.now, index, True, (0.0, 4.0))
        self.record(f"circle {sorted(self.subset)}")
        self.change_endpoints([Endpoint(7, EndpointState.REMOVED, 1.0, 1, 1, 0)], snapshot=False)
        self.record(f"without 7 {sorted(self.subset)}")
        for index in self.subset[1:]:
            self.router.ejection.eject(self.now, self.backends[index])
        self.receive_request(0)
        for index in self.subset:
            self.backends[index].backoff_until = self.now + 100 * TICKS_PER_MS
        self.receive_request(1)
        is_outside = int(self.lines[-1][-2:]) not in self.subset
        self.record(f"outside the circle: {is_outside}")
        self.assert_matches_trace("circle")

    def test_unusual_endpoint_lists_raise_no_error(self) -> None:
        # No endpoint in the local zone: one backend, none, hundreds, and all replaced by one snapshot.
        self.open(backend_count=0, zone=9, instance_count=300)
        for request_id, indices in enumerate((range(1), range(0), range(400), range(400, 420))):
            self.change_endpoints(
                [Endpoint(index, EndpointState.READY, 1.0, 3, index // 4, 0) for index in indices]
            )
            self.receive_request(request_id)
            self.record(f"circle of {len(self.subset)}")
        self.assert_matches_trace("odd-lists")

    def test_instances_that_start_at_once_choose_different_backends(self) -> None:
        first_sends = set()
        for seed in range(40):
            self.open(backend_count=30, free_slots=0, instance_count=60, seed=seed, instance_index=seed)
            self.receive_request(0)
            first_sends.add(self.lines[-1])
        self.record(f"40 dispatchers meet {len(first_sends)} of 30 runners")
        self.assert_matches_trace("starts")

    def test_same_events_give_same_actions(self) -> None:
        recorded_lines = []
        for _ in range(2):
            self.open(backend_count=6)
            for request_id in range(12):
                self.receive_request(request_id)
            recorded_lines.append(self.lines)
        self.assertEqual(recorded_lines[0], recorded_lines[1])
        random_numbers = {Router(ROUTING_CONFIG, seed, self).state.random.below(1 << 20) for seed in (1, 2)}
        self.assertEqual(len(random_numbers), 2)

    def test_low_load_of_other_instances_does_not_hide_free_capacity(self) -> None:
        self.open(backend_count=3, free_slots=1.0)
        self.router.probe_ended(self.now, 0, True, (1.0, 0.0))  # one report moves the estimate by an eighth
        self.router.probe_ended(self.now, 2, True, (9.0, 0.0))
        self.receive_request(0)
        self.assert_matches_trace("spare")
