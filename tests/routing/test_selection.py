"""Which backend a request goes to, what feeds the choice, and the subset of a large fleet."""

from crankfold.routing.interface import Endpoint, EndpointState
from crankfold.routing.router import Router
from tests.fixtures import ROUTING_CONFIG, TICKS_PER_MS, RouterTestCase


class SelectionTest(RouterTestCase):
    def test_the_backend_with_the_least_load_for_its_weight_is_chosen(self) -> None:
        self.open(backend_count=0, free_slots=0)
        self.change_endpoints(
            [Endpoint(0, EndpointState.READY, 1.0, 0, 0, 0), Endpoint(1, EndpointState.READY, 2.0, 0, 0, 0)]
        )
        for r in (0, 1):
            self.router.probe_ended(self.now, r, True, (0.0, 8.0))
        for n in range(6):
            self.receive_request(n)
            self.start_attempt(n, int(self.lines[-1][-1]))
        self.assert_matches_trace("weights")

    def test_a_repeated_report_is_not_fresh(self) -> None:
        self.open()
        self.router.probe_ended(self.now, 0, True, (3.0, 0.0))
        once = [backend.reported_queue for backend in self.backends]
        self.router.probe_ended(self.now, 0, True, (3.0, 0.0))
        self.record(f"moved again: {once != [backend.reported_queue for backend in self.backends]}")
        self.router.probe_ended(self.now, 0, True, (3.5, 0.0))
        self.record(f"moved by a fresh one: {once != [backend.reported_queue for backend in self.backends]}")
        self.assert_matches_trace("repeat")

    def test_a_late_report_does_not_hide_own_sends(self) -> None:
        self.open(backend_count=1)
        self.receive_request(0)
        self.router.probe_ended(self.now, 0, True, (0.0, 3.9))
        self.record(f"load {self.backends[0].load:.1f}")
        self.advance_to(1000)
        self.router.probe_ended(self.now, 0, True, (0.0, 3.0))
        self.record(f"load {self.backends[0].load:.2f}")
        self.assert_matches_trace("late-report")

    def test_without_a_fresh_report_the_mean_of_the_others_counts(self) -> None:
        self.open(backend_count=3)
        self.advance_to(4900)
        for r in (0, 1):
            self.report_busy(r)
        self.advance_to(5600)
        self.router.refresh_if_due(self.now)
        self.record(
            "the third is taken to hold the mean: "
            f"{abs(self.backends[2].reported_queue - self.backends[0].reported_queue) < 2}"
        )
        self.lines = [line for line in self.lines if "probe" not in line]
        self.assert_matches_trace("stale")

    def test_a_small_subset_is_stable_and_widened_only_when_all_its_backends_are_unavailable(self) -> None:
        self.open(backend_count=0, free_slots=0, instance_count=60)
        self.router.state.averages.total_work = 10_000.0  # long runs
        self.change_endpoints([Endpoint(r, EndpointState.READY, 1.0, r % 2, r % 2, 0) for r in range(30)])
        for r in range(30):
            self.router.probe_ended(self.now, r, True, (0.0, 4.0))
        self.record(f"circle {sorted(self.subset)}")
        self.change_endpoints([Endpoint(7, EndpointState.REMOVED, 1.0, 1, 1, 0)], snapshot=False)
        self.record(f"without 7 {sorted(self.subset)}")
        for r in self.subset[1:]:
            self.router.ejection.eject(self.now, self.backends[r])
        self.receive_request(0)
        for r in self.subset:
            self.backends[r].backoff_until = self.now + 100 * TICKS_PER_MS
        self.receive_request(1)
        outside = int(self.lines[-1][-2:]) not in self.subset
        self.record(f"outside the circle: {outside}")
        self.assert_matches_trace("circle")

    def test_odd_lists_raise_nothing(self) -> None:
        # No own zone in the list, one runner, none, hundreds, all replaced at once.
        self.open(backend_count=0, zone=9, instance_count=300)
        for n, indices in enumerate((range(1), range(0), range(400), range(400, 420))):
            self.change_endpoints([Endpoint(r, EndpointState.READY, 1.0, 3, r // 4, 0) for r in indices])
            self.receive_request(n)
            self.record(f"circle of {len(self.subset)}")
        self.assert_matches_trace("odd-lists")

    def test_hundreds_that_start_at_once_pick_differently(self) -> None:
        met = set()
        for seed in range(40):
            self.open(backend_count=30, free_slots=0, instance_count=60, seed=seed, instance_index=seed)
            self.receive_request(0)
            met.add(self.lines[-1])
        self.record(f"40 dispatchers meet {len(met)} of 30 runners")
        self.assert_matches_trace("starts")

    def test_same_calls_same_actions(self) -> None:
        seen = []
        for _ in range(2):
            self.open(backend_count=6)
            for n in range(12):
                self.receive_request(n)
            seen.append(self.lines)
        self.assertEqual(seen[0], seen[1])
        drawn = {Router(ROUTING_CONFIG, seed, self).state.random.below(1 << 20) for seed in (1, 2)}
        self.assertEqual(len(drawn), 2)

    def test_a_little_load_of_other_instances_does_not_hide_free_capacity(self) -> None:
        self.open(backend_count=3, free_slots=1.0)
        self.router.probe_ended(self.now, 0, True, (1.0, 0.0))  # one busy report moves the load by an eighth
        self.router.probe_ended(self.now, 2, True, (9.0, 0.0))
        self.receive_request(0)
        self.assert_matches_trace("spare")
