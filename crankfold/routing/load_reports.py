"""Load reports: the estimate of each backend's load and its score factor, and which backends are probed."""

from collections.abc import Sequence

from crankfold.routing.backend_table import Backend, Backends
from crankfold.routing.report_fields import ReportFields
from crankfold.routing.slow_start import SlowStart
from crankfold.routing.state import RoutingState
from crankfold.time_units import TICKS_PER_SECOND

REPORT_MAX_AGE_TICKS = 5 * TICKS_PER_SECOND  # an older report is no basis to compare backends
REPORT_WEIGHT = 0.12  # of one report in the estimate
PROBE_INTERVAL_TICKS = 2 * TICKS_PER_SECOND  # between two probes of a backend
SLOWNESS_TOLERANCE_RATIO = 2.0  # of running time to the median, by which types of backends differ anyway


class LoadReports:
    """Keeps the estimates of load and the factors by which backends are scored."""

    def __init__(self, state: RoutingState, slow_start: SlowStart) -> None:
        self._state = state
        self._slow_start = slow_start
        self._fields = ReportFields(state.config.report_fields)
        self._probe_all = state.config.probing_allowed and state.config.reports_by_probe
        in_responses = state.config.reports_in_responses and not state.weights_follow_load
        self.probing = self._probe_all or (state.config.probing_allowed and in_responses)
        self._last_probed = 0  # index among the members of the subset

    def record(self, now: int, backend: Backend, report: Sequence[float]) -> None:
        """Updates the estimate of a backend's load and capacity by a report.

        A report equal to the last one is ignored: it may be the same report again, which does not include the
        attempts sent since.

        Args:
            now: Ticks.
            backend: Whose report it is.
            report: Values in the order of the configured fields.
        """
        if report == backend.report:
            return
        backend.report = report
        backend.reported_at = now
        free = self._fields.free_slots(report)
        own_busy = backend.own_slots if not backend.unstarted else 0.0
        self._state.table.learn_capacity(backend, max(free, own_busy))
        if not (self._state.weights_follow_load and self._state.keys_seen):
            busy = max(backend.capacity - free, 0.0)
            backend.blend_queue(now, max(self._fields.queue(report), 0.0) + busy, REPORT_WEIGHT)

    def refresh(self, now: int, members: Backends) -> None:
        """Updates the averages over the members of the subset, and their score factors, at `now` ticks."""
        with_fresh_report = [b for b in members if now - b.reported_at < REPORT_MAX_AGE_TICKS]
        self._state.averages.refresh(now, with_fresh_report, members)
        self.update_scores(now, members)

    def update_scores(self, now: int, backends: Backends) -> None:
        """Replaces expired reports by the mean queue, and computes the score factors anew, at `now` ticks.

        The score factor is one over the weight. It is larger for a backend that is slow against the median,
        or in slow start.
        """
        averages = self._state.averages
        for backend in backends:
            if now - backend.reported_at >= REPORT_MAX_AGE_TICKS:
                backend.reported_queue = averages.mean_reported_queue
                backend.load = averages.mean_reported_queue + backend.own_slots
            slowness = backend.run_time_sum / (backend.hinted_work_sum or 1.0) / averages.median_slowness
            penalty = max(slowness / SLOWNESS_TOLERANCE_RATIO, 1.0)
            backend.score_factor = penalty / (backend.weight * self._slow_start.capacity_share(now, backend))

    def probe(self, now: int, members: Backends, interval: int) -> None:
        """Probes the next members in turn, as many as are due in an interval.

        Where reports come by probe alone, each of them is probed, elsewhere only those that have given no
        response for `PROBE_INTERVAL_TICKS`.

        Args:
            now: Ticks.
            members: The backends of the subset.
            interval: Ticks since the last call.
        """
        count = len(members)
        due_in_interval = -(-count * interval // PROBE_INTERVAL_TICKS)  # rounded up
        for _ in range(min(due_in_interval, count)):
            self._last_probed = (self._last_probed + 1) % count
            backend = members[self._last_probed]
            is_due = self._probe_all or now - backend.last_seen_at > PROBE_INTERVAL_TICKS
            if is_due and not backend.probe_in_flight:
                backend.probe_in_flight = True
                self._state.actions.probe(backend.index)
