"""What is harmless when one instance does it and harmful when forty do: several instances in one trace."""

import re
from collections import Counter
from dataclasses import replace

from crankfold.routing.interface import AttemptEnd, Endpoint, EndpointState, Outcome, RequestArrival
from crankfold.routing.router import Router
from tests.scene import MS, REQUEST_CLASS, ROUTING_CONFIG, RouterTestCase, TraceTestCase

DISPATCHERS = 40
WARM = 60
UNIT = 100 * MS


class Post:
    """The port of one of many: notes where units went and carries out wakes when time passes."""

    def __init__(self, seed: int, **orders: object) -> None:
        self.wakes: list[tuple[int, int]] = []
        self.went: list[tuple[int, int, int]] = []  # when, unit, runner
        self.now, self.asked = 100_000, list[int]()
        self.told = Router(replace(ROUTING_CONFIG, **orders), seed, self)  # type: ignore[arg-type]

    def send_attempt(self, unit: int, runner: int) -> None:
        self.went.append((self.now, unit, runner))

    def shed(self, unit: int, advice: int) -> None: ...
    def fail_request(self, unit: int) -> None: ...
    def cancel_attempt(self, unit: int, nth: int) -> None: ...
    def probe(self, runner: int) -> None: ...

    def poll_endpoints(self) -> None:
        self.asked.append(self.now)

    def set_timer(self, after: int, label: int) -> None:
        self.wakes.append((self.now + after, label))

    def pass_to(self, now: int) -> None:
        while due := [w for w in self.wakes if w[0] <= now]:
            first = min(due)
            self.wakes.remove(first)
            self.now = max(self.now, first[0])
            self.told.timer_fired(self.now, first[1])
        self.now = now


class Grown(TraceTestCase):
    def open(self, cold: int = 0, **orders: object) -> None:
        self.posts = [
            Post(
                seed * 7919,
                instance_count=DISPATCHERS,
                zone=seed % 3,
                request_classes=[REQUEST_CLASS],
                instance_index=seed - 1,
                **orders,
            )
            for seed in range(1, DISPATCHERS + 1)
        ]
        listed = [
            Endpoint(r, EndpointState.READY, (8.0, 4.0, 3.0)[r % 3], r // 3 % 3, r % 6, 0, r % 3, r / WARM)
            for r in range(WARM)
        ]
        listed += [
            Endpoint(WARM + r, EndpointState.READY, 4.0, r % 3, r % 6, 100_000, 1, r / cold)
            for r in range(cold)
        ]
        for post in self.posts:
            post.told.endpoints_changed(post.now, listed, True)
            for r in range(WARM):
                post.told.probe_ended(post.now, r, True, (0.0, 4.0))

    def play(self, seconds: int, every: int) -> None:
        """Each dispatcher takes a unit so often, which starts at once and runs for its time."""
        under_way: list[tuple[int, Post, int, int]] = []
        for turn in range(seconds * 10_000 // every):
            now = 100_000 + turn * every
            for done in [d for d in under_way if d[0] <= now]:
                under_way.remove(done)
                _, post, unit, runner = done
                post.pass_to(now)
                post.told.attempt_ended(now, unit, 0, runner, AttemptEnd(Outcome.COMPLETED, True))
            for post in self.posts:
                post.pass_to(now)
                post.told.request_received(
                    now, RequestArrival(turn, 0, deadline=now + 5000 * MS, work=UNIT, slots=1.0)
                )
                if post.went and post.went[-1][1] == turn:
                    post.told.attempt_started(now, turn, 0, post.went[-1][2])
                    under_way.append((now + UNIT, post, turn, post.went[-1][2]))

    def test_all_circles_together_hold_the_listed_weights(self) -> None:
        # With circles of most of the fleet each kind got the same, whatever it could do.
        self.open()
        self.play(8, 100 * MS)
        got = Counter((8, 4, 3)[r % 3] for post in self.posts for at, _, r in post.went if at > 140_000)
        self.say(f"circles of {max(len(post.told.subset.members) for post in self.posts)} at most of {WARM}")
        held = Counter(backend.index for post in self.posts for backend in post.told.subset.members)
        for weight in (8, 4, 3):
            holders = [held[r] for r in range(WARM) if (8, 4, 3)[r % 3] == weight]
            self.say(f"runners of weight {weight} are in {min(holders)} to {max(holders)} circles")
        for weight in (8, 3):
            share, fair = got[weight] / got.total(), weight / 15
            self.say(f"weight {weight}: within 15% of its part: {abs(share / fair - 1) < 0.15}")
        self.close("grown-weights")

    def test_all_allowances_together_use_a_cold_fleet_and_stay_under_the_rule(self) -> None:
        self.open(cold=30, initial_capacity=0.4, overload_factor=4.0)
        self.play(5, 150 * MS)
        sent = sorted((at, r) for post in self.posts for at, _, r in post.went if r >= WARM)
        least = 0.4 * 4  # slots that one can fill when it has just started
        worst = max(
            sum(UNIT for at, other in sent if other == r and then <= at < then + 1000 * MS)
            for then, r in sent
        )
        self.say(f"under four times the least capacity in any second: {worst < 4 * least * 1000 * MS}")
        used = len(sent) * UNIT / (30 * least * 5000 * MS)
        self.say(f"a fifth of the least capacity used by few units: {used > 0.2}")
        self.close("grown-cold")

    def test_a_list_service_with_a_queue_gets_to_answer_all_that_start_together(self) -> None:
        # It serves five calls a second in turn, takes no more than four seconds of them, and answers nobody
        # who has waited for two: with all asking again and again its queue stayed just too long for ever.
        self.open(discovery_by_poll=True)
        free_at, known, asked, in_turn = 100_000, set[Post](), 0, list[tuple[int, Post, bool]]()
        for now in range(100_000, 400_000, 100):
            for answer in [a for a in in_turn if a[0] <= now]:
                in_turn.remove(answer)
                _, post, well = answer
                if well:
                    known.add(post)
                else:
                    post.told.discovery_failed(now)
            for post in self.posts:
                post.pass_to(now)
                for _ in post.asked:
                    asked += 1
                    if free_at > now + 40_000:
                        post.told.discovery_failed(now)
                        continue
                    free_at = max(free_at, now) + 2_000
                    in_turn.append((min(free_at, now + 20_000), post, free_at <= now + 20_000))
                post.asked.clear()
            if now in (200_000, 399_900):
                self.say(f"after {now / 10_000 - 10:.0f} s {len(known)} of {DISPATCHERS} have the list")
        self.say(f"with less than three calls each: {asked < 3 * DISPATCHERS}")
        self.close("grown-list")


class ColdFirst(RouterTestCase):
    def open_with_cold(self) -> None:
        self.open(runners=0, free=0, overload_factor=4.0)
        self.list(
            [
                Endpoint(0, EndpointState.READY, 4.0, 0, 0, 0),
                Endpoint(1, EndpointState.READY, 4.0, 0, 0, 0),
                Endpoint(2, EndpointState.READY, 4.0, 0, 0, 98_000),
            ]
        )
        for r in (0, 1):
            self.told.probe_ended(self.now, r, True, (0.0, 4.0))
        self.backends[2].own_share = 1.0
        for n in range(4):  # usual paces become known
            self.take(n, work=200)
            runner = int(self.lines[-1][-1])
            self.start(n, runner)
            self.at(200 * (n + 1))
            self.end(n, runner)
        self.lines.clear()

    def test_an_allowance_that_would_lapse_goes_first(self) -> None:
        self.open_with_cold()
        self.backends[2].slow_start_next = self.now
        self.take(10, work=50)
        self.close("grown-cold-first")

    def test_not_what_would_be_late_there(self) -> None:
        self.open_with_cold()
        self.backends[2].slow_start_next = self.now
        self.take(10, work=200)
        self.close("grown-cold-late")

    def test_beyond_the_limit_a_cold_runner_still_gets_its_allowance(self) -> None:
        self.open_with_cold()
        self.told.limit.limit, self.backends[2].slow_start_next = 0.0, self.now
        self.take(10, work=50)
        self.take(11, work=50)
        self.say(
            f"counted against the limit {self.told.limit.in_flight}, held {len(self.told.admission.queue)}"
        )
        self.start(10, 2)
        self.end(10, 2)
        self.say(f"after its end {self.told.limit.in_flight}")
        self.close("grown-cold-limit")

    def test_the_fair_part_counts_runners_not_seen_yet(self) -> None:
        self.open(runners=0, free=0, instance_count=24)
        self.list([Endpoint(r, EndpointState.READY, 4.0, 0, 0, 0) for r in range(72)])
        self.told.probe_ended(self.now, 0, True, (0.0, 4.0))
        self.told.limit.limit = 1.0
        for _n in range(10):  # ten starts after a long wait each bring the limit down to its floor
            self.told.limit.sample_wait(self.now, self.now, 5000 * MS)
        self.say(f"limit {self.told.limit.limit:.0f} of {72 * 4} slots over 24 dispatchers")
        self.close("grown-fair")


class Few(RouterTestCase):
    def test_three_dispatchers_use_the_whole_fleet(self) -> None:
        """With five of ten runners each, three for short units, a quiet day lost a quarter of its worth."""
        self.open(runners=10, instance_count=3)
        for n in range(10):
            self.take(n, slots=4.0)
        self.assertEqual(len(set(re.findall(r"-> runner (\d)", "\n".join(self.lines)))), 10)
