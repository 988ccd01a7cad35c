"""Active health checks, which also fetch load reports."""

from collections.abc import Callable, Sequence
from functools import partial
from http import HTTPStatus

from crankfold.network.exchange import ExchangeResult
from crankfold.network.metrics import Metrics
from crankfold.protocol.backend_connection import BackendConnection
from crankfold.protocol.load_reports import report_from_header
from crankfold.routing.interface import RoutingConfig
from crankfold.service.backends.load_report_store import LoadReportStore
from crankfold.service.backends.registry import BackendRegistry

ProbeObserver = Callable[[int, bool, Sequence[float]], None]
"""Takes the index of the backend, whether it is healthy, and its load report if there is one."""


class HealthProbes:
    """Sends the health checks that the router requests.

    Args:
        config: Determines the path to probe: `/load` if backends report their load, else `/healthz`.
        backends: Holds the connections to the backends.
        load_reports: Stores the reports.
        metrics: Counts probes and reports.
        on_probe_ended: Called with each result.
    """

    def __init__(
        self,
        config: RoutingConfig,
        backends: BackendRegistry,
        load_reports: LoadReportStore,
        metrics: Metrics,
        on_probe_ended: ProbeObserver,
    ) -> None:
        self.backends = backends
        self.load_reports = load_reports
        self.metrics = metrics
        self.on_probe_ended = on_probe_ended
        reports_load = config.reports_in_responses or config.reports_by_probe
        self.target = b"/load" if reports_load else b"/healthz"

    def send(self, backend: int) -> None:
        """Sends a health check to the backend with that index; the result goes to `on_probe_ended`."""
        self.metrics.increment("probes")
        self.backends.send_control_request(backend, b"GET", self.target, partial(self._on_end, backend))

    def _on_end(self, backend: int, result: ExchangeResult, response: BackendConnection | None) -> None:
        report: Sequence[float] = ()
        healthy = False
        if result is ExchangeResult.ANSWERED and response is not None and response.status == HTTPStatus.OK:
            healthy = True
            report = report_from_header(bytes(response.body), self.backends.config.report_fields)
            self.metrics.increment("reports-by-probe" if report else "probes-without-report")
        self.load_reports.store(backend, report)
        self.on_probe_ended(backend, healthy, report)
