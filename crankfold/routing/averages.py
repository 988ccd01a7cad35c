"""Averages that follow the traffic: running times, waits, arrivals, and medians over the backends.

Times and work are ticks. The work of a request is its running time on a slot of a backend of typical speed.
"""

from collections.abc import Sequence

from crankfold.routing.backend_table import Backend, Backends
from crankfold.routing.records import Attempt, PendingRequest
from crankfold.routing.smoothing import decaying_sum, exponential_average
from crankfold.time_units import TICKS_PER_SECOND

ARRIVAL_DECAY = 0.975  # factor on the sums of arrivals and values per decay interval
DECAY_INTERVAL_TICKS = TICKS_PER_SECOND // 4
MAX_DECAY_TICKS = 10 * TICKS_PER_SECOND  # cap on the pause that counts, so that the sums do not decay to 0
RUN_TIME_DECAY = 0.85  # factor on a backend's sums of running times per run
MEAN_RUN_WEIGHT = 0.1  # weight of the latest run in the mean running time
RUN_PER_WORK_WEIGHT = 0.1  # weight of the latest run in the running time per hinted work
CLASS_RUN_WEIGHT = 0.05  # weight of the latest run in the typical running time of its class
MEAN_WAIT_WEIGHT = 0.1  # weight of the latest start in the mean wait
INITIAL_REQUESTS = 5  # requests of typical work that are assumed for each class at the start
MIN_MEDIAN_SLOWNESS = 0.01  # keeps this divisor above 0, as a request may start and end in one tick


class TrafficAverages:
    """Running times, waits and arrivals at this instance, and medians over its backends."""

    def __init__(self, typical_runs: Sequence[float], short_share: float) -> None:
        """Starts from assumed traffic.

        Args:
            typical_runs: Typical running times of the request classes, in ticks.
            short_share: Share of short requests in the work.
        """
        self.arrivals = 0.0  # decaying number of requests
        self.observed_time = 0.0  # decaying number of ticks in which they arrived
        # Sums over all requests, of the work that is hinted or typical for the class:
        self.total_work = sum(typical_runs)
        self.request_count = len(typical_runs)
        self.slot_work = INITIAL_REQUESTS * self.total_work  # work times slots
        self.short_slot_work = INITIAL_REQUESTS * short_share * self.total_work  # slot_work of short requests
        self.multi_slot_seen = False
        # Averages over attempts:
        self.mean_wait = 0.0
        self.mean_run = 1.0 * TICKS_PER_SECOND
        self.run_per_work = 0.0  # ticks per tick of hinted work, on a slot of weight 1; 0 while unknown
        # Figures of the backends with a fresh report, as of the last refresh:
        self.mean_reported_queue = 0.0
        self.slots_per_weight = 1.0
        self.median_slowness = 1.0  # running time over hinted work, of all members of the subset

    def is_short(self, work: float) -> bool:
        """Whether `work` is less than that of the mean request."""
        return work * self.request_count < self.total_work

    def record_request(self, work: float, slots: float) -> None:
        """Counts a received request, with its work in ticks and its slots."""
        self.multi_slot_seen = self.multi_slot_seen or slots > 1.0
        if self.is_short(work):
            self.short_slot_work += work * slots
        self.slot_work += work * slots
        self.total_work += work
        self.request_count += 1

    def record_wait(self, wait: int) -> None:
        """Counts the wait of an attempt for its start, in ticks."""
        self.mean_wait = exponential_average(self.mean_wait, wait, MEAN_WAIT_WEIGHT)

    def record_run(self, now: int, request: PendingRequest, attempt: Attempt) -> None:
        """Counts the running time of an attempt.

        Args:
            now: Ticks, when the attempt was completed.
            request: The request of the attempt.
            attempt: An attempt whose start is known.
        """
        run = now - attempt.started_at
        if request.work:  # without a hint, a long request would make its backend look slow
            self._record_hinted_run(now, request.work, run, attempt.backend)
        class_record = request.request_class
        class_record.typical_run = exponential_average(class_record.typical_run, run, CLASS_RUN_WEIGHT)
        self.mean_run = exponential_average(self.mean_run, run, MEAN_RUN_WEIGHT)

    def _record_hinted_run(self, now: int, work: int, run: int, backend: Backend) -> None:
        if backend.capacity and backend.warm_from <= now:
            sample = run / work * backend.weight / backend.capacity
            average = self.run_per_work
            self.run_per_work = (
                exponential_average(average, sample, RUN_PER_WORK_WEIGHT) if average else sample
            )
        backend.run_time_sum = decaying_sum(backend.run_time_sum, run, RUN_TIME_DECAY)
        backend.hinted_work_sum = decaying_sum(backend.hinted_work_sum, work, RUN_TIME_DECAY)

    def decay_arrivals(self, passed: int) -> float:
        """Decays the arrivals counted so far.

        Args:
            passed: Ticks since the last call.

        Returns:
            The factor that they were multiplied by, for other sums that decay at the same rate.
        """
        counted = min(passed, MAX_DECAY_TICKS)
        decay: float = ARRIVAL_DECAY ** (counted / DECAY_INTERVAL_TICKS)
        self.arrivals = decay * self.arrivals
        self.observed_time = decaying_sum(self.observed_time, counted, decay)
        return decay

    def refresh(self, now: int, with_fresh_report: Backends, members: Backends) -> None:
        """Recomputes the mean queue and the medians over the backends.

        Args:
            now: Ticks.
            with_fresh_report: Backends whose last report is recent.
            members: Backends of the subset.
        """
        queues = [b.reported_queue for b in with_fresh_report]
        self.mean_reported_queue = sum(queues) / len(queues) if queues else 0.0
        self.slots_per_weight = _upper_median(
            [b.capacity / b.weight for b in with_fresh_report if b.warm_from <= now], default=1.0
        )
        slowness = _upper_median(
            [b.run_time_sum / b.hinted_work_sum for b in members if b.hinted_work_sum > 0], default=1.0
        )
        self.median_slowness = max(slowness, MIN_MEDIAN_SLOWNESS)


def _upper_median(values: list[float], *, default: float) -> float:
    """Returns the median, the upper one of an even number of values; `default` if there are no values."""
    return sorted(values)[len(values) // 2] if values else default
