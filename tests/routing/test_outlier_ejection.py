"""Outlier ejection: failing, silent, slow and overloaded backends, hedges, and failed polls."""

from crankfold.routing.interface import Outcome
from tests.fixtures import TICKS_PER_MS, RouterTestCase


class OutlierEjectionTest(RouterTestCase):
    def test_request_in_subset_is_not_hedged_within_900_ms_of_silence(self) -> None:
        self.open(backend_count=30, instance_count=60)
        self.receive_request(0)
        self.advance_to(900)
        self.record("no copy so far")
        self.assert_matches_trace("no-news")

    def test_request_completed_within_one_tick_does_not_break_refresh(self) -> None:
        self.open(backend_count=1)
        self.receive_request(0)
        self.start_attempt(0, 0)
        self.end_attempt(0, 0)
        self.advance_to(600)
        self.assert_matches_trace("no-time")

    def test_slow_backend_loses_weight(self) -> None:
        self.open(backend_count=5)
        for request_id in range(8):
            self.receive_request(request_id, work=100)
            index = int(self.lines[-1][-1])
            self.start_attempt(request_id, index)
            self.advance_to(self.now / TICKS_PER_MS - 10_000 + (900 if index == 2 else 100))
            self.end_attempt(request_id, index)
        self.advance_to(self.now / TICKS_PER_MS - 10_000 + 300)
        self.router.refresh_if_due(self.now)
        self.record(
            "share of weight kept: "
            + " ".join(f"{1 / backend.score_factor:.2f}" for backend in self.backends)
        )
        self.assert_matches_trace("slow")

    def test_failing_backend_is_ejected_and_gets_one_trial_attempt_at_a_time(self) -> None:
        self.open(backend_count=4, free_slots=0, seed=15)
        self.router.probe_ended(self.now, 0, True, (0.0, 4.0))
        for request_id in range(2):
            self.receive_request(request_id)
            self.end_attempt(request_id, 0, Outcome.ERROR)
            self.end_attempt(request_id, int(self.lines[-1][-1]), attempt_number=1)
        for index in (1, 2, 3):
            self.backends[index].last_seen_at = self.now
        for request_id, at_ms in enumerate((100, 200, 1300, 1301, 1302, 1303), 2):
            self.advance_to(at_ms)
            self.receive_request(request_id)
            if at_ms != 1300:
                self.end_attempt(request_id, int(self.lines[-1][-1]))
        self.end_attempt(4, 0)
        self.receive_request(9)
        self.assert_matches_trace("errors")

    def test_overloaded_backend_gets_backoff_and_is_not_ejected(self) -> None:
        self.open(backend_count=1)
        self.receive_request(0)
        self.end_attempt(0, 0, Outcome.OVERLOADED)
        self.advance_to(100)
        self.receive_request(1)
        self.advance_to(260)
        self.router.probe_ended(self.now, 0, True, (1.0, 2.0))
        self.assert_matches_trace("full")

    def test_silent_backend_is_ejected_and_its_request_hedged(self) -> None:
        self.open(backend_count=3)
        self.receive_request(0, work=2000)
        self.advance_to(600)
        self.start_attempt(0, 0, 1)
        self.end_attempt(0, 0, attempt_number=1)
        self.end_attempt(0, 2, Outcome.CANCELLED, last=True)
        self.assert_matches_trace("hang")

    def test_request_at_busy_backend_is_not_hedged(self) -> None:
        self.open(backend_count=2)
        self.receive_request(0, work=2000)
        self.advance_to(20)
        self.backends[0].last_seen_at = self.now
        self.advance_to(400)
        self.assert_matches_trace("busy")

    def test_ejections_are_ignored_when_all_backends_are_ejected(self) -> None:
        self.open(backend_count=3)
        for index in range(3):
            self.router.ejection.eject(self.now, self.backends[index])
        for request_id in range(3):
            self.receive_request(request_id)
        self.assert_matches_trace("all-bad")

    def test_stale_connection_ejects_nothing_and_backoff_applies_if_ejections_are_ignored(self) -> None:
        self.open(backend_count=3, max_attempts=5)
        self.receive_request(0)
        first_backend = int(self.lines[-1][-1])
        self.end_attempt(0, first_backend, Outcome.STALE_CONNECTION)
        errors = [backend.error_rate for backend in self.backends]
        ejection_times = [backend.ejection_time for backend in self.backends]
        self.record(f"errors {errors}, doubt {ejection_times}")
        for index in {0, 1, 2} - {first_backend}:
            self.router.ejection.record_outcome(self.now, self.backends[index], Outcome.UNREACHABLE)
        self.router.ejection.eject(self.now, self.backends[first_backend])
        self.receive_request(1)
        self.record(f"all in doubt, two of them refuse: {set(self.lines[-1][-1]) == {str(first_backend)}}")
        self.assert_matches_trace("dead")

    def test_failed_poll_of_endpoint_list_is_repeated_after_jittered_delay(self) -> None:
        self.open(discovery_by_poll=True)
        self.router.discovery_failed(self.now)
        self.advance_to(3000)
        self.router.discovery_failed(self.now)
        self.advance_to(6000)
        self.assert_matches_trace("ask")
