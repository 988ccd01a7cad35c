"""Retries: which requests are retried, and where; removing a guard changes the trace of its test."""

from crankfold.routing.interface import DeduplicationScope, Endpoint, EndpointState, Idempotency, Outcome
from tests.fixtures import TICKS_PER_MS, RouterTestCase


class RetriesTest(RouterTestCase):
    def test_every_request_is_answered_by_its_deadline(self) -> None:
        self.open(idempotency=Idempotency.NON_IDEMPOTENT)
        self.receive_request(0)
        self.start_attempt(0, 0)
        self.advance_to(4900)
        self.receive_request(1, timeout=-1)
        self.advance_to(5100)
        self.end_attempt(0, 0, Outcome.CANCELLED, last=True)
        self.assert_matches_trace("cutoff")

    def test_no_attempt_is_sent_for_closed_request(self) -> None:
        self.open()
        self.receive_request(0)
        self.router.client_disconnected(self.now, 0)
        self.end_attempt(0, 0, Outcome.ERROR, last=True)
        self.router.attempt_started(self.now, 0, 0, 0)
        self.router.client_disconnected(self.now, 0)
        self.advance_to(1900)
        self.record(f"slots still counted as out: {sum(backend.own_slots for backend in self.backends):.0f}")
        self.assert_matches_trace("ended")

    def test_requests_are_queued_and_then_shed_without_ready_backend(self) -> None:
        self.open(backend_count=0, free_slots=0)
        self.receive_request(0)
        self.advance_to(470)
        self.receive_request(1)
        self.advance_to(500)
        self.change_endpoints([Endpoint(0, EndpointState.READY, 0.0, 0, 0, 0)])
        self.assert_matches_trace("no-runner")

    def test_non_idempotent_request_is_not_retried_after_possible_execution(self) -> None:
        self.open(idempotency=Idempotency.NON_IDEMPOTENT)
        may_have_executed = (Outcome.ERROR, Outcome.RESET, Outcome.TIMED_OUT, Outcome.UNKNOWN)
        for request_id, outcome in enumerate((*may_have_executed, Outcome.OVERLOADED, Outcome.UNREACHABLE)):
            self.receive_request(request_id)
            backend = int(self.lines[-1][-1])
            self.end_attempt(request_id, backend, outcome)
        self.advance_to(800)
        self.assert_matches_trace("once-only")

    def test_keyed_request_is_retried_only_in_its_zone(self) -> None:
        self.open(
            backend_count=3,
            idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
            deduplication_scope=DeduplicationScope.ZONE,
            deduplication_window=1000,
        )
        self.report_busy(1)
        self.report_busy(2)
        self.receive_request(0)
        self.end_attempt(0, 0, Outcome.ERROR)
        self.end_attempt(0, 2, Outcome.RESET, 1)
        self.assert_matches_trace("tagged-zone")

    def test_keyed_request_fails_outside_its_deduplication_window(self) -> None:
        self.open(
            idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
            deduplication_scope=DeduplicationScope.CELL,
            deduplication_window=200,
        )
        self.receive_request(0)
        self.start_attempt(0, 0)
        self.advance_to(250)
        self.end_attempt(0, 0, Outcome.ERROR)
        self.assert_matches_trace("tagged-window")

    def test_keyed_request_is_retried_only_in_its_cell(self) -> None:
        self.open(
            backend_count=4,
            idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
            deduplication_scope=DeduplicationScope.CELL,
            deduplication_window=1000,
        )
        self.receive_request(0)
        self.end_attempt(0, int(self.lines[-1][-1]), Outcome.ERROR)
        self.assert_matches_trace("tagged-cell")

    def test_request_with_globally_scoped_key_may_be_shed(self) -> None:
        self.open(
            backend_count=1,
            idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
            deduplication_scope=DeduplicationScope.GLOBAL,
            deduplication_window=100,
        )
        self.receive_request(0)
        self.advance_to(150)
        self.end_attempt(0, 0, Outcome.ERROR)
        self.assert_matches_trace("tagged-all")

    def test_no_request_goes_to_draining_or_removed_backend(self) -> None:
        self.open(backend_count=3)
        self.change_endpoints([Endpoint(0, EndpointState.DRAINING, 1.0, 0, 0, 0)], snapshot=False)
        self.receive_request(0)
        self.change_endpoints([Endpoint(1, EndpointState.READY, 1.0, 1, 1, 0)])
        self.receive_request(1)
        self.receive_request(2)
        self.change_endpoints([Endpoint(1, EndpointState.REMOVED, 1.0, 1, 1, 0)], snapshot=False)
        self.receive_request(3)
        self.advance_to(900)
        self.assert_matches_trace("drain")

    def test_warming_backend_gets_only_its_slow_start_budget(self) -> None:
        # The backend is alone in the list, so requests beyond its budget are queued or shed.
        self.open(backend_count=2)
        self.change_endpoints([Endpoint(2, EndpointState.READY, 1.0, 0, 0, self.now - 1000 * TICKS_PER_MS)])
        for request_id in range(12):
            self.advance_to(250 * request_id)
            self.receive_request(request_id, work=120)
            if "->" in self.lines[-1]:
                self.start_attempt(request_id, 2)
                self.end_attempt(request_id, 2)
        self.advance_to(3500)
        self.assert_matches_trace("cold")
