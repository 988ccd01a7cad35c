"""Averages that follow the traffic; nothing is decided here.

Times and work are ticks of 0.1 ms: a request's work is its running time on a slot of a usual backend.
"""

from collections.abc import Sequence

from crankfold.routing.backend_table import Backend
from crankfold.routing.records import Attempt, PendingRequest
from crankfold.time_units import TICKS_PER_SECOND

FADE = 0.975  # kept of what was offered and earned in each fade interval: some ten seconds are remembered
FADE_INTERVAL = TICKS_PER_SECOND // 4  # ticks
_MAX_FADE_TIME = 10 * TICKS_PER_SECOND  # ticks: after a longer pause no more is forgotten
_RUN_TIME_FADE = 0.85  # kept of the sums of running times with each run


class TrafficAverages:
    """Running times, waits and arrivals at this instance, and middle figures of its backends."""

    def __init__(self, typical_runs: Sequence[float], short_share: float) -> None:
        """Starts from the typical running times of the request classes and a share of short requests."""
        self.arrivals = 0.0  # requests, fading
        self.observed_time = 0.0  # ticks in which they came, fading
        # Of all requests, as work hinted or typical for the class:
        self.total_work = sum(typical_runs)
        self.request_count = len(typical_runs)
        self.slot_work = 5 * self.total_work  # work times slots; starts as if of five requests a class
        self.short_slot_work = 5 * short_share * self.total_work  # that of requests shorter than the mean
        self.multi_slot_seen = False
        # Of attempts, fading:
        self.mean_wait = 0.0
        self.mean_run = 1.0 * TICKS_PER_SECOND
        self.run_per_work = 0.0  # run time for each hinted work on a slot of weight 1; 0 while not known
        # Of the backends with a fresh report, taken anew at each refresh:
        self.mean_reported_queue = 0.0
        self.slots_per_weight = 1.0
        self.median_slowness = 1.0  # run time over hinted work

    def is_short(self, work: float) -> bool:
        """Whether this is less work than the mean request brings."""
        return work * self.request_count < self.total_work

    def record_request(self, work: float, slots: float) -> None:
        """Counts a request that came in."""
        self.multi_slot_seen = self.multi_slot_seen or slots > 1.0
        if self.is_short(work):
            self.short_slot_work += work * slots
        self.slot_work += work * slots
        self.total_work += work
        self.request_count += 1

    def record_run(self, now: int, request: PendingRequest, attempt: Attempt) -> None:
        """Counts the running time of an attempt that is completed now and was known to have started."""
        backend = attempt.backend
        run = now - attempt.started_at
        if request.work and backend.capacity and backend.warm_from <= now:
            pace = run / request.work * backend.weight / backend.capacity
            self.run_per_work += 0.1 * (pace - self.run_per_work) if self.run_per_work else pace
        if request.work:  # without a hint a long request looks like a slow backend
            backend.run_time_sum = _RUN_TIME_FADE * backend.run_time_sum + run
            backend.hinted_work_sum = _RUN_TIME_FADE * backend.hinted_work_sum + request.work
        request.request_class.typical_run += 0.05 * (run - request.request_class.typical_run)
        self.mean_run += 0.1 * (run - self.mean_run)

    def fade(self, passed: int) -> float:
        """Fades what came in over `passed` ticks, and gives the factor for other sums that fade alike."""
        counted = min(passed, _MAX_FADE_TIME)
        factor: float = FADE ** (counted / FADE_INTERVAL)
        self.arrivals = factor * self.arrivals
        self.observed_time = factor * self.observed_time + counted
        return factor

    def refresh(self, now: int, fresh: Sequence[Backend], members: Sequence[Backend]) -> None:
        """Takes the middle figures of the backends anew.

        Args:
            now: The present time, ticks.
            fresh: Backends with a young report.
            members: Backends in use.
        """
        self.mean_reported_queue = sum(b.reported_queue for b in fresh) / len(fresh) if fresh else 0.0
        slots = sorted(b.capacity / b.weight for b in fresh if b.warm_from <= now)
        self.slots_per_weight = slots[len(slots) // 2] if slots else 1.0
        slowness = sorted(b.run_time_sum / b.hinted_work_sum for b in members if b.hinted_work_sum > 0)
        # A request may start and end in one instant: a median of 0 would fail the next refresh.
        self.median_slowness = max(slowness[len(slowness) // 2], 0.01) if slowness else 1.0
