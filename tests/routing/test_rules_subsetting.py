"""Which part of a large fleet an instance keeps to, and where short and long requests go apart."""

from collections.abc import Callable

from crankfold.routing.interface import Endpoint, EndpointState
from tests.routing.rule_scene import RuleScene

INSTANCES = 60  # each sees too little of the others' load to use the whole fleet
FLEET = 40  # backends, evenly spread over the hash positions
SHORT_PART = FLEET // 4  # backends for short requests at first, those of the lowest positions
SHORT = 50  # ms of work
START = 100_000  # ticks, when a scene begins
LONG = 500  # ms of work, as much as a class is taken to bring before any request came


class SubsetScene(RuleScene):
    def open_instance(
        self, index: int, warming: int = 0, *, instance_count: int = INSTANCES, seed: int = 0
    ) -> None:
        """One instance of many before the fleet, `warming` backends of which have just started."""
        just_started = range(1, 2 * warming, 2)
        fleet = [
            Endpoint(
                backend,
                EndpointState.READY,
                1.0,
                0,
                0,
                START if backend in just_started else 0,
                0,
                backend / FLEET,
            )
            for backend in range(FLEET)
        ]
        self.open_with(
            *fleet,
            free_slots=0,
            instance_count=instance_count,
            instance_index=index,
            seed=seed or index + 1,
            hedging_allowed=False,
        )
        self.next_request = 0

    def serve(self, count: int, work: float, slots: float = 1.0) -> set[int]:
        """Serves so many requests, one after the other; the backends that they went to."""
        backends = set()
        for request in range(self.next_request, self.next_request + count):
            backends.add(self.send(request, work=work, slots=slots))
            self.finish(request)
        self.next_request += count
        return backends

    def at_all_instances(self, serve: Callable[[], set[int]]) -> set[int]:
        """The backends that any instance uses; `serve` is called at each, newly opened."""
        used = set()
        for index in range(INSTANCES):
            self.open_instance(index)
            used |= serve()
        return used


class ShortRequestRules(SubsetScene):
    def test_until_running_times_are_known_short_requests_have_a_quarter_of_the_fleet(self) -> None:
        short = self.at_all_instances(lambda: self.serve(5, SHORT))
        long = self.at_all_instances(lambda: self.serve(5, LONG))
        self.assertEqual(short, set(range(SHORT_PART)))
        self.assertEqual(long, set(range(SHORT_PART, FLEET)))

    def test_an_instance_keeps_three_backends_for_short_requests(self) -> None:
        for index in range(INSTANCES):
            self.open_instance(index)
            self.assertEqual(len(self.serve(40, SHORT)), 3, f"instance {index}")

    def test_after_ten_requests_of_one_slot_short_and_long_ones_share_their_backends(self) -> None:
        def serve_measured() -> set[int]:
            self.serve(10, LONG)
            self.elapse(10_000)
            return self.serve(5, SHORT)

        self.assertGreater(max(self.at_all_instances(serve_measured)), SHORT_PART)

    def test_once_a_request_of_several_slots_was_seen_short_ones_stay_apart(self) -> None:
        def serve_wide() -> set[int]:
            self.serve(1, LONG, slots=2.0)
            self.serve(10, LONG)
            self.elapse(10_000)
            return self.serve(5, SHORT)

        self.assertEqual(self.at_all_instances(serve_wide), set(range(SHORT_PART)))

    def serve_mix(self, short: int) -> set[int]:
        """The backends of short requests after so many of them and one of two slots, once refreshed."""
        self.serve(1, LONG, slots=2.0)
        self.serve(short, SHORT)
        self.elapse(10_000)
        return self.serve(5, SHORT)

    def test_short_requests_get_more_backends_as_their_share_of_the_work_grows(self) -> None:
        # Their share of the work goes from a quarter to 2625 / 5500.
        used = self.at_all_instances(lambda: self.serve_mix(40))
        self.assertGreaterEqual(max(used), round(0.4 * FLEET))
        self.assertLess(max(used), round(0.5 * FLEET))

    def test_a_share_that_moves_by_less_than_an_eighth_leaves_the_backends_as_they_are(self) -> None:
        # From a quarter to 1425 / 4300, a twelfth more.
        self.assertEqual(self.at_all_instances(lambda: self.serve_mix(16)), set(range(SHORT_PART)))


class SubsetSizeRules(SubsetScene):
    def test_an_instance_uses_as_many_backends_for_long_requests_as_its_traffic_keeps_busy(self) -> None:
        self.open_instance(0)
        self.serve(1, LONG, slots=2.0)
        self.assertEqual(len(self.serve(200, LONG)), 5, "the least")
        self.open_instance(0)
        self.serve(1, LONG, slots=2.0)
        for _ in range(400):  # 20 requests a second of half a second
            self.elapse(50)
            self.serve(1, LONG)
        backends = len(self.serve(200, LONG))
        # A drawn subset is kept until it is a sixth too small or two thirds too large.
        self.assertGreaterEqual(backends, 10 * 5 / 6)
        self.assertLessEqual(backends, 10 * 5 / 3)

    def serve_paced(self, count: int, interval_ms: float) -> set[int]:
        """Serves so many long requests at an interval; the backends that they went to."""
        backends = set()
        for _ in range(count):
            self.elapse(interval_ms)
            backends |= self.serve(1, LONG)
        return backends

    def test_a_subset_is_kept_while_its_traffic_changes_by_a_few_tenths(self) -> None:
        for index in range(5):
            self.open_instance(index)
            self.serve(1, LONG, slots=2.0)
            self.serve_paced(400, 50)  # 20 requests a second of half a second keep ten backends busy
            before = self.serve_paced(200, 50)
            self.serve_paced(400, 50 * 4 / 3)  # three quarters of that traffic
            self.assertEqual(self.serve_paced(200, 50 * 4 / 3), before, f"instance {index}")


class WarmUpRules(SubsetScene):
    def test_after_the_warm_up_the_subset_has_its_usual_size_again(self) -> None:
        for index in range(INSTANCES):
            self.open_instance(index)
            usual = len(self.serve(60, LONG))
            self.open_instance(index, warming=FLEET // 2)
            self.elapse(10_100)  # the warm-up takes 10 s
            self.serve(1, LONG)
            self.elapse(300)
            self.assertEqual(len(self.serve(60, LONG)), usual, f"instance {index}")


class SlowStartShareRules(SubsetScene):
    # Guards against instances with random indices that together push a warming backend over.
    def test_shares_of_instances_without_an_index_sum_to_one_at_most(self) -> None:
        for instances in (8, INSTANCES):
            sums = [0.0] * FLEET
            for seed in range(instances):
                self.open_instance(-1, warming=FLEET // 2, instance_count=instances, seed=seed + 1)
                self.router.refresh_if_due(self.now)
                for backend in self.backends:
                    sums[backend.index] += backend.slow_start_share
            self.assertGreater(min(sums), 0.0)
            self.assertLessEqual(max(sums), 1.0 + 1e-9, f"{instances} instances")
