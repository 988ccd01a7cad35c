"""Subsetting: the part of a large fleet that an instance uses, and separate backends for short requests."""

from collections.abc import Callable

from crankfold.routing.interface import Endpoint, EndpointState
from tests.routing.fixtures import RouterFixture

INSTANCE_COUNT = 60  # so many that each uses a subset
FLEET_SIZE = 40  # backends, evenly spaced by hash position
INITIAL_SHORT_BACKENDS = FLEET_SIZE // 4  # backends of the lowest hash positions
SHORT_WORK_MS = 50
START_TICKS = 100_000  # when a test starts
LONG_WORK_MS = 500  # the typical work that is assumed for a class at the start


class SubsetFixture(RouterFixture):
    def start_instance(
        self, index: int, warming_count: int = 0, *, instance_count: int = INSTANCE_COUNT, seed: int = 0
    ) -> None:
        """Starts an instance and lists the fleet, `warming_count` backends of which have just started."""
        just_started = range(1, 2 * warming_count, 2)
        fleet = [
            Endpoint(
                backend,
                EndpointState.READY,
                1.0,
                0,
                0,
                START_TICKS if backend in just_started else 0,
                0,
                backend / FLEET_SIZE,
            )
            for backend in range(FLEET_SIZE)
        ]
        self.start_router(
            *fleet,
            free_slots=0,
            instance_count=instance_count,
            instance_index=index,
            seed=seed or index + 1,
            hedging_allowed=False,
        )
        self.next_request_id = 0

    def serve(self, count: int, work: float, slots: float = 1.0) -> set[int]:
        """Routes `count` requests one after the other; returns the backends that they were sent to."""
        backends = set()
        for request_id in range(self.next_request_id, self.next_request_id + count):
            backends.add(self.route_request(request_id, work=work, slots=slots))
            self.end_latest_attempt(request_id)
        self.next_request_id += count
        return backends

    def backends_of_all_instances(self, serve: Callable[[], set[int]]) -> set[int]:
        """Starts each instance and calls `serve`; returns the backends that any of them used."""
        used_backends = set()
        for index in range(INSTANCE_COUNT):
            self.start_instance(index)
            used_backends |= serve()
        return used_backends


class ShortRequestTest(SubsetFixture):
    def test_short_requests_get_a_quarter_of_fleet_until_requests_were_observed(self) -> None:
        short_backends = self.backends_of_all_instances(lambda: self.serve(5, SHORT_WORK_MS))
        long_backends = self.backends_of_all_instances(lambda: self.serve(5, LONG_WORK_MS))
        self.assertEqual(short_backends, set(range(INITIAL_SHORT_BACKENDS)))
        self.assertEqual(long_backends, set(range(INITIAL_SHORT_BACKENDS, FLEET_SIZE)))

    def test_instance_keeps_three_backends_for_short_requests(self) -> None:
        for index in range(INSTANCE_COUNT):
            self.start_instance(index)
            self.assertEqual(len(self.serve(40, SHORT_WORK_MS)), 3, f"instance {index}")

    def test_short_and_long_requests_share_backends_after_ten_requests_of_one_slot(self) -> None:
        def serve_after_ten_requests() -> set[int]:
            self.serve(10, LONG_WORK_MS)
            self.advance_by(10_000)
            return self.serve(5, SHORT_WORK_MS)

        self.assertGreater(
            max(self.backends_of_all_instances(serve_after_ten_requests)), INITIAL_SHORT_BACKENDS
        )

    def test_short_requests_stay_separate_after_a_request_of_several_slots(self) -> None:
        def serve_after_multi_slot_request() -> set[int]:
            self.serve(1, LONG_WORK_MS, slots=2.0)
            self.serve(10, LONG_WORK_MS)
            self.advance_by(10_000)
            return self.serve(5, SHORT_WORK_MS)

        self.assertEqual(
            self.backends_of_all_instances(serve_after_multi_slot_request), set(range(INITIAL_SHORT_BACKENDS))
        )

    def serve_after_short_requests(self, short_count: int) -> set[int]:
        """Returns the backends of short requests, after `short_count` of them and a long one of two slots."""
        self.serve(1, LONG_WORK_MS, slots=2.0)
        self.serve(short_count, SHORT_WORK_MS)
        self.advance_by(10_000)
        return self.serve(5, SHORT_WORK_MS)

    def test_short_requests_get_more_backends_as_their_share_of_work_grows(self) -> None:
        # Their share of the work grows from a quarter to 2625 / 5500.
        used_backends = self.backends_of_all_instances(lambda: self.serve_after_short_requests(40))
        self.assertGreaterEqual(max(used_backends), round(0.4 * FLEET_SIZE))
        self.assertLess(max(used_backends), round(0.5 * FLEET_SIZE))

    def test_change_of_short_share_by_less_than_an_eighth_keeps_backends(self) -> None:
        # The share changes from a quarter to 1425 / 4300, by a twelfth.
        self.assertEqual(
            self.backends_of_all_instances(lambda: self.serve_after_short_requests(16)),
            set(range(INITIAL_SHORT_BACKENDS)),
        )


class SubsetSizeTest(SubsetFixture):
    def test_subset_has_as_many_backends_for_long_requests_as_traffic_keeps_busy(self) -> None:
        self.start_instance(0)
        self.serve(1, LONG_WORK_MS, slots=2.0)
        self.assertEqual(len(self.serve(200, LONG_WORK_MS)), 5, "smallest subset")
        self.start_instance(0)
        self.serve(1, LONG_WORK_MS, slots=2.0)
        for _ in range(400):  # 20 requests per second, each of half a second of work
            self.advance_by(50)
            self.serve(1, LONG_WORK_MS)
        backend_count = len(self.serve(200, LONG_WORK_MS))
        # A subset is resized only when it is a sixth too small or two thirds too large.
        self.assertGreaterEqual(backend_count, 10 * 5 / 6)
        self.assertLessEqual(backend_count, 10 * 5 / 3)

    def serve_at_interval(self, count: int, interval_ms: float) -> set[int]:
        """Routes `count` long requests at an interval; returns the backends that they were sent to."""
        backends = set()
        for _ in range(count):
            self.advance_by(interval_ms)
            backends |= self.serve(1, LONG_WORK_MS)
        return backends

    def test_subset_is_unchanged_while_traffic_changes_by_a_quarter(self) -> None:
        for index in range(5):
            self.start_instance(index)
            self.serve(1, LONG_WORK_MS, slots=2.0)
            self.serve_at_interval(400, 50)  # 20 requests per second of half a second keep 10 backends busy
            backends_before = self.serve_at_interval(200, 50)
            self.serve_at_interval(400, 50 * 4 / 3)  # three quarters of that rate
            self.assertEqual(self.serve_at_interval(200, 50 * 4 / 3), backends_before, f"instance {index}")


class WarmUpTest(SubsetFixture):
    def test_subset_returns_to_usual_size_after_warm_up(self) -> None:
        for index in range(INSTANCE_COUNT):
            self.start_instance(index)
            usual_size = len(self.serve(60, LONG_WORK_MS))
            self.start_instance(index, warming_count=FLEET_SIZE // 2)
            self.advance_by(10_100)  # the warm-up takes 10 s
            self.serve(1, LONG_WORK_MS)
            self.advance_by(300)
            self.assertEqual(len(self.serve(60, LONG_WORK_MS)), usual_size, f"instance {index}")


class SlowStartShareTest(SubsetFixture):
    # Guards against instances with random indices whose shares of a slow-start budget overload the backend.
    def test_slow_start_fractions_of_instances_without_index_sum_to_at_most_one(self) -> None:
        for instance_count in (8, INSTANCE_COUNT):
            share_sums = [0.0] * FLEET_SIZE
            for seed in range(instance_count):
                self.start_instance(
                    -1, warming_count=FLEET_SIZE // 2, instance_count=instance_count, seed=seed + 1
                )
                self.router.refresh_if_due(self.now)
                for backend in self.backends:
                    share_sums[backend.index] += backend.slow_start_share
            self.assertGreater(min(share_sums), 0.0)
            self.assertLessEqual(max(share_sums), 1.0 + 1e-9, f"{instance_count} instances")
