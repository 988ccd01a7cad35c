"""Load reports: how busy each backend is taken to be, and which backends are probed for a report."""

from collections.abc import Sequence

from crankfold.routing.backend_table import Backend
from crankfold.routing.report_fields import ReportFields
from crankfold.routing.slow_start import SlowStart
from crankfold.routing.state import RoutingState
from crankfold.time_units import TICKS_PER_SECOND

REPORT_MAX_AGE = 5 * TICKS_PER_SECOND  # ticks; an older report no longer tells one backend from another
REPORT_BLEND = 0.12  # how far one report moves the estimate
PROBE_INTERVAL = 2 * TICKS_PER_SECOND  # ticks between two probes of a backend
SLOWNESS_TOLERANCE = 2.0  # times the median running time, by which types of backends differ


class LoadReports:
    """Keeps the estimates of load and the factors by which backends are scored."""

    def __init__(self, state: RoutingState, slow_start: SlowStart) -> None:
        self.state = state
        self.slow_start = slow_start
        self.fields = ReportFields(state.config.report_fields)
        self.probe_all = state.config.probing_allowed and state.config.reports_by_probe
        in_responses = state.config.reports_in_responses and not state.weights_follow_load
        self.probing = self.probe_all or (state.config.probing_allowed and in_responses)
        self.last_probed = 0  # place in the subset

    def record(self, now: int, backend: Backend, report: Sequence[float]) -> None:
        """Takes a report of the backend, in the order of the configured fields, into its figures."""
        if report == backend.report:
            return  # the same on another response: resetting again would hide sends it has not seen
        backend.report = report
        backend.reported_at = now
        free = self.fields.free_slots(report)
        seen = max(free, backend.own_slots if not backend.unstarted else 0.0)
        self.state.table.learn_capacity(backend, seen)
        if not (self.state.weights_follow_load and self.state.keys_seen):
            busy = max(backend.capacity - free, 0.0)
            backend.blend_queue(now, max(self.fields.queue(report), 0.0) + busy, REPORT_BLEND)

    def refresh(self, now: int, members: Sequence[Backend]) -> None:
        """Takes the figures anew that age by themselves, for the members of the subset."""
        fresh = [b for b in members if now - b.reported_at < REPORT_MAX_AGE]
        self.state.averages.refresh(now, fresh, members)
        self.update_scores(now, members)

    def update_scores(self, now: int, backends: Sequence[Backend]) -> None:
        """Lets old reports go and takes the score factors anew."""
        averages = self.state.averages
        for backend in backends:
            if now - backend.reported_at >= REPORT_MAX_AGE:
                backend.reported_queue = averages.mean_reported_queue
                backend.load = averages.mean_reported_queue + backend.own_slots
            slowness = backend.run_time_sum / (backend.hinted_work_sum or 1.0) / averages.median_slowness
            penalty = max(slowness / SLOWNESS_TOLERANCE, 1.0)
            backend.score_factor = penalty / (backend.weight * self.slow_start.capacity_share(now, backend))

    def probe(self, now: int, members: Sequence[Backend], interval: int) -> None:
        """Probes some members, `interval` ticks after the last time.

        Where reports come only by probe each in turn, elsewhere those of whom nothing was heard.
        """
        count = len(members)
        for _ in range(min(-(-count * interval // PROBE_INTERVAL), count)):
            self.last_probed = (self.last_probed + 1) % count
            backend = members[self.last_probed]
            due = self.probe_all or now - backend.last_seen_at > PROBE_INTERVAL
            if due and not backend.probe_in_flight:
                backend.probe_in_flight = True
                self.state.actions.probe(backend.index)
