"""Load reports: the estimated load and the score factor of each backend, and which backends are probed."""

from collections.abc import Sequence

from crankfold.routing.backend_table import Backend, Backends
from crankfold.routing.report_fields import ReportFields
from crankfold.routing.slow_start import SlowStart
from crankfold.routing.state import RoutingState
from crankfold.time_units import TICKS_PER_SECOND

REPORT_MAX_AGE_TICKS = 5 * TICKS_PER_SECOND  # backends are not compared by older reports
REPORT_WEIGHT = 0.12  # weight of one report in the estimated load
PROBE_INTERVAL_TICKS = 2 * TICKS_PER_SECOND  # between two probes of a backend
# Running times of instance types differ by up to this ratio, so only a slower backend gets a worse score.
SLOWNESS_TOLERANCE_RATIO = 2.0


class LoadReports:
    """Updates the estimated load and the score factors of backends, and probes backends for reports."""

    def __init__(self, state: RoutingState, slow_start: SlowStart) -> None:
        self._state = state
        self._slow_start = slow_start
        self._fields = ReportFields(state.config.report_fields)
        self._probe_all = state.config.probing_allowed and state.config.reports_by_probe
        in_responses = state.config.reports_in_responses and not state.weights_follow_load
        self.probing = self._probe_all or (state.config.probing_allowed and in_responses)
        self._last_probed = 0  # index among the members of the subset

    def record(self, now: int, backend: Backend, report: Sequence[float]) -> None:
        """Updates the estimated load and the capacity of a backend from a report.

        A report equal to the previous one is ignored: it may be the same report again, which does not include
        the attempts sent since then.

        Args:
            now: Ticks.
            backend: The backend that sent the report.
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
            backend.update_reported_queue(now, max(self._fields.queue(report), 0.0) + busy, REPORT_WEIGHT)

    def refresh(self, now: int, members: Backends) -> None:
        """Updates the averages over the members of the subset, and their score factors, at tick `now`."""
        with_fresh_report = [b for b in members if now - b.reported_at < REPORT_MAX_AGE_TICKS]
        self._state.averages.refresh(now, with_fresh_report, members)
        self.update_scores(now, members)

    def update_scores(self, now: int, backends: Backends) -> None:
        """Replaces expired reports by the mean queue, and recomputes the score factors, at tick `now`.

        The score factor is one over the weight. It is larger for a backend that is in slow start, or slow
        compared with the median.
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
        """Probes the next members in turn, so that each has its turn once per `PROBE_INTERVAL_TICKS`.

        If load reports come from probes, each member is probed in its turn, else only a member that has not
        responded for `PROBE_INTERVAL_TICKS`.

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
