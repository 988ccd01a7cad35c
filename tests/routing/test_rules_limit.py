"""How far the concurrency limit falls, and how often a list may lower it."""

from tests.routing.rule_scene import RuleScene, ready

INSTANCES = 2
SLOTS = 16  # of each of two backends


class LimitRules(RuleScene):
    def sent_at_once(self, first: int, count: int) -> list[int]:
        """Takes so many requests; those of them that are not queued."""
        before = len(self.sent)
        for request in range(first, first + count):
            self.receive_request(request, timeout=60_000, work=0)
        return [request for request, _ in self.sent[before:]]

    def test_limit_never_falls_below_the_instances_part_of_the_fleet(self) -> None:
        self.open_with(
            ready(0), ready(1), free_slots=float(SLOTS), instance_count=INSTANCES, hedging_allowed=False
        )
        counts = []
        for first in range(0, 400, 40):
            sent = self.sent_at_once(first, 40)
            counts.append(len(sent))
            self.elapse(900)  # every attempt waits much longer than it runs
            for request in sent:
                self.start_attempt(request, self.backends_of(request)[0])
            for queued in set(range(first, first + 40)) - set(sent):
                self.router.client_disconnected(self.now, queued)
            for request in sent:
                self.finish(request)
        self.assertGreater(counts[0], SLOTS)
        self.assertEqual(min(counts), 2 * SLOTS // INSTANCES)


class ListedLimitRules(RuleScene):
    def limit_after_lists(self, *pauses: int) -> int:
        """Attempts that go out at once after lists, so many ms apart, that show long queues."""
        self.open_with(
            ready(0, weight=4.0),
            ready(1, weight=4.0),
            free_slots=0,
            weights_follow_load=True,
            start_notifications=False,
            hedging_allowed=False,
            instance_count=16,
        )
        for request in range(16):
            self.send(request, timeout=60_000, work=0)
        self.elapse(1000)
        for pause in (0, *pauses):
            self.elapse(pause)
            self.change_endpoints([ready(0, weight=0.8), ready(1, weight=0.8)])
        for request in range(16):
            self.finish(request)
        before = len(self.sent)
        for request in range(100, 130):
            self.receive_request(request, timeout=60_000, work=0)
        return len(self.sent) - before

    def test_lists_within_half_a_second_lower_the_limit_once(self) -> None:
        self.assertEqual(self.limit_after_lists(100, 100, 100, 100), self.limit_after_lists())

    def test_lists_half_a_second_apart_lower_the_limit_each(self) -> None:
        self.assertLess(self.limit_after_lists(500), self.limit_after_lists())
        self.assertLess(self.limit_after_lists(500, 500), self.limit_after_lists(500))
