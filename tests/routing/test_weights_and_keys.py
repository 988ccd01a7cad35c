"""Listed weights that follow the load, key affinity, and retries of clients with short timeouts."""

from dataclasses import replace
from unittest.mock import patch

from crankfold.routing.interface import Endpoint, EndpointState
from tests.fixtures import REQUEST_CLASS, TICKS_PER_MS, RouterTestCase


class WeightsAndKeysTest(RouterTestCase):
    def change_weights(self, *weights: float) -> None:
        self.change_endpoints(
            [
                Endpoint(index, EndpointState.READY, weight, 0, 0, 0, 0, index / len(weights))
                for index, weight in enumerate(weights)
            ]
        )

    def test_load_in_listed_weight_does_not_change_size(self) -> None:
        self.open(backend_count=0, free_slots=0, weights_follow_load=True)
        self.change_weights(4.0, 4.0)
        self.change_weights(4.0, 1.0)
        sizes = " ".join(f"{backend.weight:.1f}" for backend in self.backends)
        self.record(f"sizes {sizes}, held for each core {self.backends[1].utilization:.1f}")
        self.change_weights(2.0, 4.0)
        sizes = " ".join(f"{backend.weight:.1f}" for backend in self.backends)
        self.record(f"sizes {sizes}, held for each core {self.backends[0].utilization:.1f}")
        self.assert_matches_trace("move-sizes")

    def test_overutilized_members_of_subset_are_avoided(self) -> None:
        self.open(backend_count=0, free_slots=0, weights_follow_load=True, instance_count=60)
        self.change_weights(*[4.0] * 30)
        member = self.subset[0]
        self.change_weights(
            *[4.0 if index == member or index not in self.subset else 1.0 for index in range(30)]
        )
        for request_id in range(4):
            self.receive_request(request_id)
        self.record(f"all to {member}: {all(line.endswith(f'runner {member}') for line in self.lines[1::2])}")
        self.assert_matches_trace("move-long")

    def test_key_has_same_preferred_backends_at_every_instance(self) -> None:
        preferred = set()
        for seed in range(20):
            self.open(
                backend_count=0,
                free_slots=0,
                weights_follow_load=True,
                start_notifications=False,
                instance_index=seed,
                seed=seed,
                instance_count=20,
            )
            self.change_weights(*[4.0] * 12)
            self.receive_request(0, work=0, key=77)
            preferred.add(self.lines[-1].split()[-1])
        self.lines = []
        self.record(f"homes at twenty dispatchers: {len(preferred)}")
        for index in range(12):
            self.router.probe_ended(self.now, index, True, (0.0, 4.0))
        # Three requests per core at the preferred backend.
        self.change_weights(*[1.0 if str(index) in preferred else 4.0 for index in range(12)])
        self.receive_request(1, work=0, key=77)
        self.record(f"another where that is full: {self.lines[-1].split()[-1] not in preferred}")
        for request_id in range(2, 22):
            self.receive_request(request_id, work=0, key=1000 + request_id)
        self.record(f"homes of 20 keys: {len({line.split()[-1] for line in self.lines if '->' in line}) > 5}")
        self.lines = [line for line in self.lines if ": " in line]
        self.assert_matches_trace("move-homes")

    def test_keys_are_ignored_without_key_affinity(self) -> None:
        self.open(backend_count=0, free_slots=0, key_affinity=False, start_notifications=False)
        self.change_weights(4.0, 4.0)
        for request_id in range(4):
            self.receive_request(request_id, key=77)
        self.assert_matches_trace("move-no-keys")

    def test_limit_follows_list_if_weights_follow_load(self) -> None:
        self.open(backend_count=0, free_slots=0, weights_follow_load=True, start_notifications=False)
        self.change_weights(4.0, 4.0)
        for index in range(2):
            self.router.probe_ended(self.now, index, True, (0.0, 4.0))
        for request_id in range(3):
            self.receive_request(request_id, work=0)
        self.advance_to(600)
        self.change_weights(0.8, 0.8)  # four requests per core
        for request_id in range(3, 8):
            self.receive_request(request_id, work=0)
        self.record(f"limit {self.router.limit.limit:.1f}, held {len(self.router.admission.queue)}")
        self.assert_matches_trace("move-limit")

    def test_wait_within_latency_objective_does_not_lower_limit(self) -> None:
        self.open(
            backend_count=0,
            free_slots=0,
            weights_follow_load=True,
            start_notifications=False,
            request_classes=[replace(REQUEST_CLASS, latency_objective=2000 * TICKS_PER_MS)],
        )
        self.change_weights(4.0, 4.0)
        for request_id in range(3):
            self.receive_request(request_id, work=0)
        for at_ms, weight in ((600, 1.6667), (1200, 0.8)):  # 1.4 requests per core, then four
            self.advance_to(at_ms)
            self.change_weights(weight, weight)
            self.record(f"listed at {weight:.1f}: limit {self.router.limit.limit:.1f}")
        self.assert_matches_trace("move-wait")

    def test_late_retries_are_shed_and_first_try_is_not(self) -> None:
        self.open()
        self.receive_request(0, timeout=300, work=0)
        self.receive_request(1, timeout=300, work=0, is_retry=True)
        self.receive_request(2, timeout=4900, work=0, is_retry=True)
        self.assert_matches_trace("move-frantic")

    def test_backend_in_slow_start_outside_subset_gets_no_request(self) -> None:
        self.open(backend_count=0, free_slots=0, weights_follow_load=True, instance_count=60)
        start = self.now - 1000 * TICKS_PER_MS
        self.change_endpoints(
            [
                Endpoint(index, EndpointState.READY, 4.0, 0, 0, start * (index % 2), 0, index / 30)
                for index in range(30)
            ]
        )
        for index in range(30):
            if not index % 2:
                self.backends[index].backoff_until = self.now + 10_000 * TICKS_PER_MS
            self.backends[index].slow_start_next = 1  # the budget has been saved up
        for request_id in range(20):
            self.receive_request(request_id, work=20)
        used = {int(line.split()[-1]) for line in self.lines if "->" in line}
        self.record(f"cold ones met outside the circle: {len(used - set(self.subset))}")
        self.lines = self.lines[-1:]
        self.assert_matches_trace("move-cold")

    # Guards against memory that grows with every key that a client names.
    def test_orders_of_new_keys_take_place_of_oldest(self) -> None:
        self.open(backend_count=0, free_slots=0, start_notifications=False)
        self.change_weights(*[4.0] * 10)
        with patch("crankfold.routing.affinity.MAX_CACHED_BACKENDS", 100):
            for request_id in range(50):
                self.receive_request(request_id, work=0, key=1000 + request_id)
        self.assertEqual(list(self.router.affinity._order_of_key), list(range(1040, 1050)))
