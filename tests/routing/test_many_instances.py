"""Rules that bound the combined effect of many instances, where a single one would do no harm."""

import re
from collections import Counter
from dataclasses import replace

from crankfold.routing.interface import AttemptEnd, Endpoint, EndpointState, Outcome, RequestArrival
from crankfold.routing.router import Router
from tests.fixtures import REQUEST_CLASS, ROUTING_CONFIG, TICKS_PER_MS, RouterTestCase, TraceTestCase

INSTANCE_COUNT = 40
WARM_BACKEND_COUNT = 60
WORK_TICKS = 100 * TICKS_PER_MS  # work of each request


class InstanceFixture:
    """The router of one of many instances; records its attempts and polls, and fires its timers."""

    def __init__(self, seed: int, **settings: object) -> None:
        self.timers: list[tuple[int, int]] = []
        self.attempts: list[tuple[int, int, int]] = []  # tick of sending, request id, backend
        self.now = 100_000
        self.polls: list[int] = []  # ticks
        self.router = Router(replace(ROUTING_CONFIG, **settings), seed, self)  # type: ignore[arg-type]

    def send_attempt(self, request_id: int, backend: int) -> None:
        self.attempts.append((self.now, request_id, backend))

    def shed(self, request_id: int, retry_after: int) -> None: ...
    def fail_request(self, request_id: int) -> None: ...
    def cancel_attempt(self, request_id: int, attempt_number: int) -> None: ...
    def probe(self, backend: int) -> None: ...

    def poll_endpoints(self) -> None:
        self.polls.append(self.now)

    def set_timer(self, delay: int, token: int) -> None:
        self.timers.append((self.now + delay, token))

    def advance_to(self, now: int) -> None:
        while due := [timer for timer in self.timers if timer[0] <= now]:
            fires_at, token = min(due)
            self.timers.remove((fires_at, token))
            self.now = max(self.now, fires_at)
            self.router.timer_fired(self.now, token)
        self.now = now


class ManyInstancesTest(TraceTestCase):
    def open(self, warming_count: int = 0, **settings: object) -> None:
        self.instances = [
            InstanceFixture(
                seed * 7919,
                instance_count=INSTANCE_COUNT,
                zone=seed % 3,
                request_classes=[REQUEST_CLASS],
                instance_index=seed - 1,
                **settings,
            )
            for seed in range(1, INSTANCE_COUNT + 1)
        ]
        endpoints = [
            Endpoint(
                index,
                EndpointState.READY,
                (8.0, 4.0, 3.0)[index % 3],
                index // 3 % 3,
                index % 6,
                0,
                index % 3,
                index / WARM_BACKEND_COUNT,
            )
            for index in range(WARM_BACKEND_COUNT)
        ]
        endpoints += [
            Endpoint(
                WARM_BACKEND_COUNT + index,
                EndpointState.READY,
                4.0,
                index % 3,
                index % 6,
                100_000,
                1,
                index / warming_count,
            )
            for index in range(warming_count)
        ]
        for instance in self.instances:
            instance.router.endpoints_changed(instance.now, endpoints, True)
            for index in range(WARM_BACKEND_COUNT):
                instance.router.probe_ended(instance.now, index, True, (0.0, 4.0))

    def run_traffic(self, seconds: int, interval: int) -> None:
        """Sends each instance a request every `interval` ticks; attempts start immediately."""
        running: list[tuple[int, InstanceFixture, int, int]] = []  # end tick, instance, request id, backend
        for round_number in range(seconds * 10_000 // interval):
            now = 100_000 + round_number * interval
            for ended in [attempt for attempt in running if attempt[0] <= now]:
                running.remove(ended)
                _, instance, request_id, backend = ended
                instance.advance_to(now)
                instance.router.attempt_ended(
                    now, request_id, 0, backend, AttemptEnd(Outcome.COMPLETED, True)
                )
            for instance in self.instances:
                instance.advance_to(now)
                instance.router.request_received(
                    now,
                    RequestArrival(
                        round_number, 0, deadline=now + 5000 * TICKS_PER_MS, work=WORK_TICKS, slots=1.0
                    ),
                )
                if instance.attempts and instance.attempts[-1][1] == round_number:
                    instance.router.attempt_started(now, round_number, 0, instance.attempts[-1][2])
                    running.append((now + WORK_TICKS, instance, round_number, instance.attempts[-1][2]))

    def test_subsets_of_all_instances_spread_load_by_listed_weights(self) -> None:
        # Subsets of most of the fleet would give each instance type the same load, regardless of its weight.
        self.open()
        self.run_traffic(8, 100 * TICKS_PER_MS)
        attempts_by_weight = Counter(
            (8, 4, 3)[backend % 3]
            for instance in self.instances
            for sent_at, _, backend in instance.attempts
            if sent_at > 140_000
        )
        subsets = [instance.router.subset.members for instance in self.instances]
        self.record(f"circles of {max(len(subset) for subset in subsets)} at most of {WARM_BACKEND_COUNT}")
        memberships = Counter(backend.index for subset in subsets for backend in subset)
        for weight in (8, 4, 3):
            counts = [
                memberships[index] for index in range(WARM_BACKEND_COUNT) if (8, 4, 3)[index % 3] == weight
            ]
            self.record(f"runners of weight {weight} are in {min(counts)} to {max(counts)} circles")
        for weight in (8, 3):
            share = attempts_by_weight[weight] / attempts_by_weight.total()
            fair = weight / 15
            self.record(f"weight {weight}: within 15% of its part: {abs(share / fair - 1) < 0.15}")
        self.assert_matches_trace("grown-weights")

    def test_slow_start_budgets_of_all_instances_use_warming_fleet_within_limit(self) -> None:
        self.open(warming_count=30, initial_capacity=0.4, overload_factor=4.0)
        self.run_traffic(5, 150 * TICKS_PER_MS)
        attempts = sorted(
            (sent_at, backend)
            for instance in self.instances
            for sent_at, _, backend in instance.attempts
            if backend >= WARM_BACKEND_COUNT
        )
        initial_slots = 0.4 * 4  # slots of a backend that has just started
        max_work = max(
            sum(
                WORK_TICKS
                for time, other_backend in attempts
                if other_backend == backend and window_start <= time < window_start + 1000 * TICKS_PER_MS
            )
            for window_start, backend in attempts
        )
        self.record(
            "under four times the least capacity in any second: "
            f"{max_work < 4 * initial_slots * 1000 * TICKS_PER_MS}"
        )
        used_share = len(attempts) * WORK_TICKS / (30 * initial_slots * 5000 * TICKS_PER_MS)
        self.record(f"a fifth of the least capacity used by few units: {used_share > 0.2}")
        self.assert_matches_trace("grown-cold")

    def test_discovery_service_with_queue_answers_all_instances_that_start_together(self) -> None:
        # The discovery service answers five polls per second in order, rejects a poll while its queue exceeds
        # four seconds, and drops polls that have waited for two. If all instances repeated failed polls at
        # once, the queue would stay full.
        self.open(discovery_by_poll=True)
        free_at = 100_000
        informed: set[InstanceFixture] = set()
        poll_count = 0
        queue: list[tuple[int, InstanceFixture, bool]] = []  # end tick, instance, whether it is answered
        for now in range(100_000, 400_000, 100):
            for poll in [poll for poll in queue if poll[0] <= now]:
                queue.remove(poll)
                _, instance, answered = poll
                if answered:
                    informed.add(instance)
                else:
                    instance.router.discovery_failed(now)
            for instance in self.instances:
                instance.advance_to(now)
                for _ in instance.polls:
                    poll_count += 1
                    if free_at > now + 40_000:
                        instance.router.discovery_failed(now)
                        continue
                    free_at = max(free_at, now) + 2_000
                    queue.append((min(free_at, now + 20_000), instance, free_at <= now + 20_000))
                instance.polls.clear()
            if now in (200_000, 399_900):
                self.record(
                    f"after {now / 10_000 - 10:.0f} s {len(informed)} of {INSTANCE_COUNT} have the list"
                )
        self.record(f"with less than three calls each: {poll_count < 3 * INSTANCE_COUNT}")
        self.assert_matches_trace("grown-list")


class SlowStartTest(RouterTestCase):
    def start_router_with_warming_backend(self) -> None:
        self.open(backend_count=0, free_slots=0, overload_factor=4.0)
        self.change_endpoints(
            [
                Endpoint(0, EndpointState.READY, 4.0, 0, 0, 0),
                Endpoint(1, EndpointState.READY, 4.0, 0, 0, 0),
                Endpoint(2, EndpointState.READY, 4.0, 0, 0, 98_000),
            ]
        )
        for index in (0, 1):
            self.router.probe_ended(self.now, index, True, (0.0, 4.0))
        self.backends[2].slow_start_share = 1.0
        for request_id in range(4):  # so that running times are known
            self.receive_request(request_id, work=200)
            backend = int(self.lines[-1][-1])
            self.start_attempt(request_id, backend)
            self.advance_to(200 * (request_id + 1))
            self.end_attempt(request_id, backend)
        self.lines.clear()

    def test_slow_start_budget_that_would_expire_is_used_first(self) -> None:
        self.start_router_with_warming_backend()
        self.backends[2].slow_start_next = self.now
        self.receive_request(10, work=50)
        self.assert_matches_trace("grown-cold-first")

    def test_request_that_would_be_late_in_slow_start_goes_to_warm_backend(self) -> None:
        self.start_router_with_warming_backend()
        self.backends[2].slow_start_next = self.now
        self.receive_request(10, work=200)
        self.assert_matches_trace("grown-cold-late")

    def test_backend_in_slow_start_gets_its_budget_at_concurrency_limit(self) -> None:
        self.start_router_with_warming_backend()
        self.router.limit.limit, self.backends[2].slow_start_next = 0.0, self.now
        self.receive_request(10, work=50)
        self.receive_request(11, work=50)
        limit = self.router.limit
        self.record(f"counted against the limit {limit.in_flight}, held {len(self.router.admission.queue)}")
        self.start_attempt(10, 2)
        self.end_attempt(10, 2)
        self.record(f"after its end {self.router.limit.in_flight}")
        self.assert_matches_trace("grown-cold-limit")

    def test_lowest_limit_counts_backends_without_report(self) -> None:
        self.open(backend_count=0, free_slots=0, instance_count=24)
        self.change_endpoints([Endpoint(index, EndpointState.READY, 4.0, 0, 0, 0) for index in range(72)])
        self.router.probe_ended(self.now, 0, True, (0.0, 4.0))
        self.router.limit.limit = 1.0
        for _ in range(10):  # ten starts after long waits lower the limit to its lowest value
            self.router.limit.sample_wait(self.now, self.now, 5000 * TICKS_PER_MS)
        self.record(f"limit {self.router.limit.limit:.0f} of {72 * 4} slots over 24 dispatchers")
        self.assert_matches_trace("grown-fair")


class SmallDeploymentTest(RouterTestCase):
    def test_three_instances_use_all_of_ten_backends(self) -> None:
        """Subsets of five of ten backends would leave capacity unused."""
        self.open(backend_count=10, instance_count=3)
        for request_id in range(10):
            self.receive_request(request_id, slots=4.0)
        self.assertEqual(len(set(re.findall(r"-> runner (\d)", "\n".join(self.lines)))), 10)
