"""Retry policy: which backends may get another attempt once a backend may have executed the request."""

from dataclasses import replace

from crankfold.routing.interface import DeduplicationScope, EndpointState, Idempotency, Outcome
from tests.fixtures import ROUTING_CONFIG
from tests.routing.fixtures import RouterFixture, ready_endpoint


class DeduplicationScopeTest(RouterFixture):
    def send_keyed_request(self, scope: DeduplicationScope) -> None:
        """Sends request 0, which has an idempotency key, to a backend of cell 0."""
        self.start_router(
            ready_endpoint(0, zone=0, cell=0),
            idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
            deduplication_scope=scope,
            deduplication_window=60_000,
            hedging_allowed=False,
        )
        self.assertEqual(self.route_request(0), 0)

    def list_backends(self, *cells: int) -> None:
        """Lists a backend in each of the cells; those of cell 0 are in another zone than the router."""
        for backend, cell in enumerate(cells, 1):
            self.update_endpoints(ready_endpoint(backend, zone=1 if cell == 0 else 0, cell=cell))
            self.report_free_slots(backend, 4.0)

    def test_retry_with_cell_scoped_key_stays_in_cell_though_nearer_backends_are_idle(self) -> None:
        self.send_keyed_request(DeduplicationScope.CELL)
        self.list_backends(1, 1, 0)
        self.end_latest_attempt(0, Outcome.ERROR, last=False)
        self.assertEqual(self.backends_of(0), [0, 3])

    def test_retry_with_cell_scoped_key_never_leaves_cell_without_ready_backends(self) -> None:
        self.send_keyed_request(DeduplicationScope.CELL)
        self.list_backends(1, 2)
        self.update_endpoints(replace(ready_endpoint(0), state=EndpointState.DRAINING))
        self.end_latest_attempt(0, Outcome.ERROR, last=False)
        self.advance_by(6000)
        self.assertEqual(self.backends_of(0), [0])
        self.assertEqual((self.shed_requests, self.failed_requests), ([], [0]))

    def test_retry_with_globally_scoped_key_may_leave_cell(self) -> None:
        self.send_keyed_request(DeduplicationScope.GLOBAL)
        self.list_backends(1)
        self.update_endpoints(replace(ready_endpoint(0), state=EndpointState.DRAINING))
        self.end_latest_attempt(0, Outcome.ERROR, last=False)
        self.assertEqual(self.backends_of(0), [0, 1])

    def test_attempt_that_was_never_executed_does_not_restrict_keyed_request_to_cell(self) -> None:
        self.send_keyed_request(DeduplicationScope.CELL)
        self.list_backends(1)
        self.end_latest_attempt(0, Outcome.UNREACHABLE, last=False)
        self.assertEqual(self.backends_of(0), [0, 1])

    def test_keyed_request_is_not_retried_after_deduplication_window(self) -> None:
        for sent_ms_ago, expected_attempts in ((900, 2), (1100, 1)):
            self.start_router(
                ready_endpoint(0),
                ready_endpoint(1),
                idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
                deduplication_window=1000,
                hedging_allowed=False,
            )
            self.route_request(0, timeout=5000)
            self.advance_by(sent_ms_ago)
            self.end_latest_attempt(0, Outcome.ERROR, last=False)
            self.assertEqual(
                len(self.backends_of(0)), expected_attempts, f"{sent_ms_ago} ms after the attempt was sent"
            )


class MaxAttemptsTest(RouterFixture):
    def attempts_after_change(self, max_before: int, max_after: int) -> int:
        """Returns the attempts of a request that always fails, if max_attempts changes after the first."""
        self.start_router(*[ready_endpoint(backend) for backend in range(9)], max_attempts=max_before)
        self.route_request(0)
        self.router.config_changed(self.now, replace(ROUTING_CONFIG, max_attempts=max_after))
        while 0 not in self.shed_requests:
            self.end_latest_attempt(0, Outcome.ERROR, last=False)
        return len(self.sent_attempts)

    def test_lowered_max_attempts_applies_to_pending_request(self) -> None:
        self.assertEqual(self.attempts_after_change(4, 2), 2)

    def test_raised_max_attempts_does_not_apply_to_pending_request(self) -> None:
        self.assertEqual(self.attempts_after_change(2, 4), 2)
