"""What does no harm at one instance and would at forty: rules that limit all instances together."""

import re
from collections import Counter
from dataclasses import replace

from crankfold.routing.interface import AttemptEnd, Endpoint, EndpointState, Outcome, RequestArrival
from crankfold.routing.router import Router
from tests.fixtures import REQUEST_CLASS, ROUTING_CONFIG, TICKS_PER_MS, RouterTestCase, TraceTestCase

INSTANCES = 40
WARM_BACKENDS = 60
WORK = 100 * TICKS_PER_MS  # of each request


class Instance:
    """A router of one of many instances, with its attempts, polls and timers."""

    def __init__(self, seed: int, **settings: object) -> None:
        self.timers: list[tuple[int, int]] = []
        self.attempts: list[tuple[int, int, int]] = []  # sent at, request id, backend
        self.now = 100_000
        self.polls: list[int] = []  # times
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
    def open(self, warming: int = 0, **settings: object) -> None:
        self.instances = [
            Instance(
                seed * 7919,
                instance_count=INSTANCES,
                zone=seed % 3,
                request_classes=[REQUEST_CLASS],
                instance_index=seed - 1,
                **settings,
            )
            for seed in range(1, INSTANCES + 1)
        ]
        endpoints = [
            Endpoint(
                r, EndpointState.READY, (8.0, 4.0, 3.0)[r % 3], r // 3 % 3, r % 6, 0, r % 3, r / WARM_BACKENDS
            )
            for r in range(WARM_BACKENDS)
        ]
        endpoints += [
            Endpoint(WARM_BACKENDS + r, EndpointState.READY, 4.0, r % 3, r % 6, 100_000, 1, r / warming)
            for r in range(warming)
        ]
        for instance in self.instances:
            instance.router.endpoints_changed(instance.now, endpoints, True)
            for r in range(WARM_BACKENDS):
                instance.router.probe_ended(instance.now, r, True, (0.0, 4.0))

    def play(self, seconds: int, every: int) -> None:
        """Each instance receives a request every so many ticks; it starts at once and runs for its work."""
        running: list[tuple[int, Instance, int, int]] = []  # ends at, instance, request id, backend
        for round_number in range(seconds * 10_000 // every):
            now = 100_000 + round_number * every
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
                    RequestArrival(round_number, 0, deadline=now + 5000 * TICKS_PER_MS, work=WORK, slots=1.0),
                )
                if instance.attempts and instance.attempts[-1][1] == round_number:
                    instance.router.attempt_started(now, round_number, 0, instance.attempts[-1][2])
                    running.append((now + WORK, instance, round_number, instance.attempts[-1][2]))

    def test_all_subsets_together_spread_the_load_by_the_listed_weights(self) -> None:
        # Subsets of most of the fleet would give each instance type the same load, whatever its weight.
        self.open()
        self.play(8, 100 * TICKS_PER_MS)
        attempts_by_weight = Counter(
            (8, 4, 3)[backend % 3]
            for instance in self.instances
            for sent_at, _, backend in instance.attempts
            if sent_at > 140_000
        )
        subsets = [instance.router.subset.members for instance in self.instances]
        self.record(f"circles of {max(len(subset) for subset in subsets)} at most of {WARM_BACKENDS}")
        memberships = Counter(backend.index for subset in subsets for backend in subset)
        for weight in (8, 4, 3):
            counts = [memberships[r] for r in range(WARM_BACKENDS) if (8, 4, 3)[r % 3] == weight]
            self.record(f"runners of weight {weight} are in {min(counts)} to {max(counts)} circles")
        for weight in (8, 3):
            share = attempts_by_weight[weight] / attempts_by_weight.total()
            fair = weight / 15
            self.record(f"weight {weight}: within 15% of its part: {abs(share / fair - 1) < 0.15}")
        self.assert_matches_trace("grown-weights")

    def test_all_allowances_together_use_a_cold_fleet_and_stay_under_the_rule(
        self,
    ) -> None:
        self.open(warming=30, initial_capacity=0.4, overload_factor=4.0)
        self.play(5, 150 * TICKS_PER_MS)
        attempts = sorted(
            (sent_at, backend)
            for instance in self.instances
            for sent_at, _, backend in instance.attempts
            if backend >= WARM_BACKENDS
        )
        initial_slots = 0.4 * 4  # of one backend that has just started
        most_work = max(
            sum(
                WORK
                for at, other in attempts
                if other == backend and since <= at < since + 1000 * TICKS_PER_MS
            )
            for since, backend in attempts
        )
        self.record(
            "under four times the least capacity in any second: "
            f"{most_work < 4 * initial_slots * 1000 * TICKS_PER_MS}"
        )
        used = len(attempts) * WORK / (30 * initial_slots * 5000 * TICKS_PER_MS)
        self.record(f"a fifth of the least capacity used by few units: {used > 0.2}")
        self.assert_matches_trace("grown-cold")

    def test_a_list_service_with_a_queue_gets_to_answer_all_that_start_together(self) -> None:
        # Discovery serves five polls a second in turn, rejects a poll while the queue is longer than four
        # seconds, and answers none that waited for two. If all polled again at once, it would stay full.
        self.open(discovery_by_poll=True)
        free_at = 100_000
        informed: set[Instance] = set()
        poll_count = 0
        queue: list[tuple[int, Instance, bool]] = []  # ends at, instance, whether it is answered
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
                self.record(f"after {now / 10_000 - 10:.0f} s {len(informed)} of {INSTANCES} have the list")
        self.record(f"with less than three calls each: {poll_count < 3 * INSTANCES}")
        self.assert_matches_trace("grown-list")


class SlowStartTest(RouterTestCase):
    def open_with_backend_in_slow_start(self) -> None:
        self.open(backend_count=0, free_slots=0, overload_factor=4.0)
        self.change_endpoints(
            [
                Endpoint(0, EndpointState.READY, 4.0, 0, 0, 0),
                Endpoint(1, EndpointState.READY, 4.0, 0, 0, 0),
                Endpoint(2, EndpointState.READY, 4.0, 0, 0, 98_000),
            ]
        )
        for r in (0, 1):
            self.router.probe_ended(self.now, r, True, (0.0, 4.0))
        self.backends[2].slow_start_share = 1.0
        for n in range(4):  # makes typical running times known
            self.receive_request(n, work=200)
            backend = int(self.lines[-1][-1])
            self.start_attempt(n, backend)
            self.advance_to(200 * (n + 1))
            self.end_attempt(n, backend)
        self.lines.clear()

    def test_a_slow_start_budget_that_would_expire_is_used_first(self) -> None:
        self.open_with_backend_in_slow_start()
        self.backends[2].slow_start_next = self.now
        self.receive_request(10, work=50)
        self.assert_matches_trace("grown-cold-first")

    def test_a_request_that_would_be_late_in_slow_start_goes_elsewhere(self) -> None:
        self.open_with_backend_in_slow_start()
        self.backends[2].slow_start_next = self.now
        self.receive_request(10, work=200)
        self.assert_matches_trace("grown-cold-late")

    def test_beyond_the_concurrency_limit_a_backend_in_slow_start_gets_its_budget(self) -> None:
        self.open_with_backend_in_slow_start()
        self.router.limit.limit, self.backends[2].slow_start_next = 0.0, self.now
        self.receive_request(10, work=50)
        self.receive_request(11, work=50)
        limit = self.router.limit
        self.record(f"counted against the limit {limit.in_flight}, held {len(self.router.admission.queue)}")
        self.start_attempt(10, 2)
        self.end_attempt(10, 2)
        self.record(f"after its end {self.router.limit.in_flight}")
        self.assert_matches_trace("grown-cold-limit")

    def test_the_floor_of_the_limit_counts_backends_that_have_not_reported(self) -> None:
        self.open(backend_count=0, free_slots=0, instance_count=24)
        self.change_endpoints([Endpoint(r, EndpointState.READY, 4.0, 0, 0, 0) for r in range(72)])
        self.router.probe_ended(self.now, 0, True, (0.0, 4.0))
        self.router.limit.limit = 1.0
        for _ in range(10):  # ten starts after long waits bring the limit down to its floor
            self.router.limit.sample_wait(self.now, self.now, 5000 * TICKS_PER_MS)
        self.record(f"limit {self.router.limit.limit:.0f} of {72 * 4} slots over 24 dispatchers")
        self.assert_matches_trace("grown-fair")


class SmallDeploymentTest(RouterTestCase):
    def test_three_instances_use_all_of_ten_backends(self) -> None:
        """Subsets of five of ten backends would leave capacity unused on a calm day."""
        self.open(backend_count=10, instance_count=3)
        for n in range(10):
            self.receive_request(n, slots=4.0)
        self.assertEqual(len(set(re.findall(r"-> runner (\d)", "\n".join(self.lines)))), 10)
