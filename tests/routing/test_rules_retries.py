"""Where a request may be attempted again once a backend may have executed it."""

from dataclasses import replace

from crankfold.routing.interface import DeduplicationScope, EndpointState, Idempotency, Outcome
from tests.fixtures import ROUTING_CONFIG
from tests.routing.rule_scene import RuleScene, ready


class DeduplicationScopeRules(RuleScene):
    def open_keyed(self, scope: DeduplicationScope) -> None:
        """Sends request 0, with an idempotency key, to a backend of cell 0."""
        self.open_with(
            ready(0, zone=0, cell=0),
            idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
            deduplication_scope=scope,
            deduplication_window=60_000,
            hedging_allowed=False,
        )
        self.assertEqual(self.send(0), 0)

    def add(self, *cells: int) -> None:
        """Lists a further backend in each of the cells; only cell 0 is in another zone than the router."""
        for backend, cell in enumerate(cells, 1):
            self.change(ready(backend, zone=1 if cell == 0 else 0, cell=cell))
            self.report(backend, 4.0)

    def test_retry_with_cell_scoped_key_stays_in_the_cell_though_nearer_backends_are_idle(self) -> None:
        self.open_keyed(DeduplicationScope.CELL)
        self.add(1, 1, 0)
        self.finish(0, Outcome.ERROR, last=False)
        self.assertEqual(self.backends_of(0), [0, 3])

    def test_retry_with_cell_scoped_key_never_leaves_a_cell_without_ready_backends(self) -> None:
        self.open_keyed(DeduplicationScope.CELL)
        self.add(1, 2)
        self.change(replace(ready(0), state=EndpointState.DRAINING))
        self.finish(0, Outcome.ERROR, last=False)
        self.elapse(6000)
        self.assertEqual(self.backends_of(0), [0])
        self.assertEqual((self.shed_requests, self.failed_requests), ([], [0]))

    def test_retry_with_globally_scoped_key_may_leave_the_cell(self) -> None:
        self.open_keyed(DeduplicationScope.GLOBAL)
        self.add(1)
        self.change(replace(ready(0), state=EndpointState.DRAINING))
        self.finish(0, Outcome.ERROR, last=False)
        self.assertEqual(self.backends_of(0), [0, 1])

    def test_attempt_that_was_never_executed_binds_a_keyed_request_to_no_cell(self) -> None:
        self.open_keyed(DeduplicationScope.CELL)
        self.add(1)
        self.finish(0, Outcome.UNREACHABLE, last=False)
        self.assertEqual(self.backends_of(0), [0, 1])

    def test_retry_ends_with_the_deduplication_window(self) -> None:
        for sent_ago, attempts in ((900, 2), (1100, 1)):
            self.open_with(
                ready(0),
                ready(1),
                idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
                deduplication_window=1000,
                hedging_allowed=False,
            )
            self.send(0, timeout=5000)
            self.elapse(sent_ago)
            self.finish(0, Outcome.ERROR, last=False)
            self.assertEqual(len(self.backends_of(0)), attempts, f"{sent_ago} ms after the send")


class MaxAttemptsRules(RuleScene):
    def attempts_after_change(self, before: int, after: int) -> int:
        """Attempts of a request that always fails, if the settings change after the first is sent."""
        self.open_with(*[ready(backend) for backend in range(9)], max_attempts=before)
        self.send(0)
        self.router.config_changed(self.now, replace(ROUTING_CONFIG, max_attempts=after))
        while 0 not in self.shed_requests:
            self.finish(0, Outcome.ERROR, last=False)
        return len(self.sent)

    def test_lower_number_of_attempts_holds_for_requests_in_hand(self) -> None:
        self.assertEqual(self.attempts_after_change(4, 2), 2)

    def test_request_in_hand_keeps_its_number_of_attempts_when_more_are_allowed(self) -> None:
        self.assertEqual(self.attempts_after_change(2, 4), 2)
