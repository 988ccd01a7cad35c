"""Outlier ejection: how long a backend is ejected, and when it gets a trial attempt."""

from itertools import pairwise

from crankfold.routing.interface import Outcome
from tests.routing.fixtures import RouterFixture, ready_endpoint

MAX_EJECTION_MS = 8_000
MAX_JITTER_SHARE = 0.25  # of the ejection time
STEP_MS = 100
ATTEMPT_TIMEOUT_MS = 1500


class EjectionDurationTest(RouterFixture):
    def test_ejection_of_failing_backend_doubles_up_to_maximum(self) -> None:
        self.start_router(*[ready_endpoint(backend) for backend in range(3)])
        trial_times: list[int] = []
        for step in range(80_000 // STEP_MS):
            request_ids = range(3 * step, 3 * step + 3)
            for request_id in request_ids:  # one for each backend that is not ejected
                self.route_request(request_id)
            for request_id in request_ids:
                if self.backends_of(request_id) == [0]:
                    trial_times.append(step * STEP_MS)
                    self.end_latest_attempt(request_id, Outcome.UNREACHABLE, last=False)
                self.end_latest_attempt(request_id)
            self.sent_attempts.clear()
            self.advance_by(STEP_MS)
        intervals = [later - earlier for earlier, later in pairwise(trial_times)]
        for interval, min_interval in zip(intervals, (1000, 2000, 4000, 8000), strict=False):
            self.assertGreaterEqual(interval, min_interval)
            self.assertLessEqual(interval, min_interval * (1 + MAX_JITTER_SHARE) + STEP_MS)
        self.assertLessEqual(max(intervals), MAX_EJECTION_MS * (1 + MAX_JITTER_SHARE) + STEP_MS)

    # Guards against an ejection time that never doubles, so that an unresponsive backend gets many requests.
    def test_ejection_of_backend_with_unresponsive_trial_attempts_doubles_up_to_maximum(self) -> None:
        self.start_router(*[ready_endpoint(backend) for backend in range(3)], max_attempts=1)
        trial_times: list[int] = []
        # Request id, and the ms at which its attempt times out.
        unresponsive_attempts: list[tuple[int, int]] = []
        for step in range(80_000 // STEP_MS):
            request_ids = range(3 * step, 3 * step + 3)
            for request_id in request_ids:  # one for each backend that is not ejected
                self.route_request(request_id, timeout=ATTEMPT_TIMEOUT_MS)
            for request_id in request_ids:
                if self.backends_of(request_id) == [0]:
                    trial_times.append(step * STEP_MS)
                    unresponsive_attempts.append((request_id, step * STEP_MS + ATTEMPT_TIMEOUT_MS))
                else:
                    self.end_latest_attempt(request_id)
            self.advance_by(STEP_MS)
            for request_id, times_out_at in list(unresponsive_attempts):
                if times_out_at <= (step + 1) * STEP_MS:
                    unresponsive_attempts.remove((request_id, times_out_at))
                    self.end_latest_attempt(request_id, Outcome.TIMED_OUT)
        first_trial = next(trial_time for trial_time in trial_times if trial_time >= 2 * ATTEMPT_TIMEOUT_MS)
        intervals = [
            later - earlier
            for earlier, later in pairwise(
                trial_time for trial_time in trial_times if trial_time >= first_trial
            )
        ]
        for interval, min_interval in zip(intervals, (2000, 4000, 8000, 8000), strict=False):
            self.assertGreaterEqual(interval, min_interval)
        self.assertLessEqual(
            max(intervals), ATTEMPT_TIMEOUT_MS + MAX_EJECTION_MS * (1 + MAX_JITTER_SHARE) + STEP_MS
        )

    # Guards against a rounding residue in the own slots of an idle backend that rules out its trial attempt.
    def test_backend_that_served_fractional_slots_gets_its_trial_attempt(self) -> None:
        self.start_router(ready_endpoint(0))
        for request_id, slots in enumerate((0.1, 0.2, 0.3)):
            self.route_request(request_id, slots=slots)
        for request_id in range(3):
            self.end_latest_attempt(request_id)
        self.route_request(3, slots=0.1)
        self.end_latest_attempt(3, Outcome.UNREACHABLE, last=True)
        self.update_endpoints(ready_endpoint(1), ready_endpoint(2))
        self.advance_by(1500)
        self.assertIn(0, {self.route_request(request_id) for request_id in range(4, 8)})
