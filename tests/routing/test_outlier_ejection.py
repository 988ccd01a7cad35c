"""Backends that fail, hang, slow down or refuse; hedges; lists that do not come."""

from crankfold.routing.interface import Outcome
from tests.fixtures import TICKS_PER_MS, RouterTestCase


class OutlierEjectionTest(RouterTestCase):
    def test_a_request_is_not_hedged_for_want_of_reports_within_900_ms(self) -> None:
        self.open(backend_count=30, instance_count=60)
        self.receive_request(0)
        self.advance_to(900)
        self.record("no copy so far")
        self.assert_matches_trace("no-news")

    def test_a_request_completed_in_no_time_does_not_break_the_periodic_refresh(self) -> None:
        self.open(backend_count=1)
        self.receive_request(0)
        self.start_attempt(0, 0)
        self.end_attempt(0, 0)
        self.advance_to(600)
        self.assert_matches_trace("no-time")

    def test_a_slow_backend_loses_weight(self) -> None:
        self.open(backend_count=5)
        for n in range(8):
            self.receive_request(n, work=100)
            r = int(self.lines[-1][-1])
            self.start_attempt(n, r)
            self.advance_to(self.now / TICKS_PER_MS - 10_000 + (900 if r == 2 else 100))
            self.end_attempt(n, r)
        self.advance_to(self.now / TICKS_PER_MS - 10_000 + 300)
        self.router.refresh_if_due(self.now)
        self.record(
            "share of weight kept: "
            + " ".join(f"{1 / backend.score_factor:.2f}" for backend in self.backends)
        )
        self.assert_matches_trace("slow")

    def test_a_backend_that_errs_quickly_is_ejected_and_tried_with_one_request_at_a_time(self) -> None:
        self.open(backend_count=4, free_slots=0, seed=15)
        self.router.probe_ended(self.now, 0, True, (0.0, 4.0))
        for n in range(2):
            self.receive_request(n)
            self.end_attempt(n, 0, Outcome.ERROR)
            self.end_attempt(n, int(self.lines[-1][-1]), attempt_number=1)
        for r in (1, 2, 3):
            self.backends[r].last_seen_at = self.now
        for n, ms in enumerate((100, 200, 1300, 1301, 1302, 1303), 2):
            self.advance_to(ms)
            self.receive_request(n)
            if ms != 1300:
                self.end_attempt(n, int(self.lines[-1][-1]))
        self.end_attempt(4, 0)
        self.receive_request(9)
        self.assert_matches_trace("errors")

    def test_an_overloaded_backend_is_avoided_for_a_while_and_not_ejected(self) -> None:
        self.open(backend_count=1)
        self.receive_request(0)
        self.end_attempt(0, 0, Outcome.OVERLOADED)
        self.advance_to(100)
        self.receive_request(1)
        self.advance_to(260)
        self.router.probe_ended(self.now, 0, True, (1.0, 2.0))
        self.assert_matches_trace("full")

    def test_a_silent_backend_is_ejected_and_its_request_hedged(self) -> None:
        self.open(backend_count=3)
        self.receive_request(0, work=2000)
        self.advance_to(600)
        self.start_attempt(0, 0, 1)
        self.end_attempt(0, 0, attempt_number=1)
        self.end_attempt(0, 2, Outcome.CANCELLED, last=True)
        self.assert_matches_trace("hang")

    def test_a_busy_backend_is_no_reason_for_a_hedge(self) -> None:
        self.open(backend_count=2)
        self.receive_request(0, work=2000)
        self.advance_to(20)
        self.backends[0].last_seen_at = self.now
        self.advance_to(400)
        self.assert_matches_trace("busy")

    def test_when_nearly_all_backends_are_ejected_the_ejections_are_ignored(self) -> None:
        self.open(backend_count=3)
        for r in range(3):
            self.router.ejection.eject(self.now, self.backends[r])
        for n in range(3):
            self.receive_request(n)
        self.assert_matches_trace("all-bad")

    def test_a_worn_connection_blames_nobody_and_dead_runners_rest_though_doubt_is_distrusted(self) -> None:
        self.open(backend_count=3, max_attempts=5)
        self.receive_request(0)
        first = int(self.lines[-1][-1])
        self.end_attempt(0, first, Outcome.STALE_CONNECTION)
        errors = [backend.error_rate for backend in self.backends]
        ejection_times = [backend.ejection_time for backend in self.backends]
        self.record(f"errors {errors}, doubt {ejection_times}")
        for r in {0, 1, 2} - {first}:
            self.router.ejection.record_outcome(self.now, self.backends[r], Outcome.UNREACHABLE)
        self.router.ejection.eject(self.now, self.backends[first])
        self.receive_request(1)
        self.record(f"all in doubt, two of them refuse: {set(self.lines[-1][-1]) == {str(first)}}")
        self.assert_matches_trace("dead")

    def test_list_failures_are_asked_again_after_a_jittered_pause(self) -> None:
        self.open(discovery_by_poll=True)
        self.router.discovery_failed(self.now)
        self.advance_to(3000)
        self.router.discovery_failed(self.now)
        self.advance_to(6000)
        self.assert_matches_trace("ask")
