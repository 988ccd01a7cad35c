"""Fixture of a router whose actions are recorded in lists. Times are milliseconds."""

from dataclasses import replace

from crankfold.routing.interface import Endpoint, EndpointState, Outcome, RequestClass
from tests.fixtures import REQUEST_CLASS, TICKS_PER_MS, RouterTestCase


def request_class(**settings: object) -> RequestClass:
    """Returns the idempotent request class of the test cases with changed settings."""
    return replace(REQUEST_CLASS, **settings)  # type: ignore[arg-type]


def ready_endpoint(
    backend: int, *, zone: int = 0, cell: int = 0, weight: float = 1.0, instance_type: int = 0
) -> Endpoint:
    """Returns the endpoint of a backend that is ready and warm."""
    return Endpoint(backend, EndpointState.READY, weight, zone, cell, 0, instance_type)


class RouterFixture(RouterTestCase):
    """Starts a router, and records sent attempts, shed requests and failed requests."""

    def start_router(self, *endpoints: Endpoint, free_slots: float = 4.0, **config: object) -> None:
        """Starts a router with these backends, each of which reports `free_slots`; 0 for no report."""
        self.sent_attempts: list[tuple[int, int]] = []  # request id, backend
        self.shed_requests: list[int] = []
        self.failed_requests: list[int] = []
        self.open(backend_count=0, free_slots=0, **config)  # type: ignore[arg-type]
        self.change_endpoints(list(endpoints))
        if free_slots:
            for endpoint in endpoints:
                self.report_free_slots(endpoint.backend, free_slots)

    def send_attempt(self, request_id: int, backend: int) -> None:
        """Records a sent attempt."""
        self.sent_attempts.append((request_id, backend))

    def shed(self, request_id: int, retry_after: int) -> None:  # noqa: ARG002 - as the base names it
        """Records a shed request."""
        self.shed_requests.append(request_id)

    def fail_request(self, request_id: int) -> None:
        """Records a failed request."""
        self.failed_requests.append(request_id)

    def report_free_slots(self, backend: int, free_slots: float) -> None:
        """Sends a load report of an empty queue and `free_slots` free slots."""
        self.router.probe_ended(self.now, backend, True, (0.0, free_slots))

    def update_endpoints(self, *endpoints: Endpoint) -> None:
        """Sends a delta of the endpoint list."""
        self.change_endpoints(list(endpoints), snapshot=False)

    def backends_of(self, request_id: int) -> list[int]:
        """Returns the backends that the request was sent to, in order."""
        return [backend for sent_id, backend in self.sent_attempts if sent_id == request_id]

    def route_request(self, request_id: int, **arrival: object) -> int:
        """Receives a request that must be dispatched immediately; returns its backend."""
        self.receive_request(request_id, **arrival)  # type: ignore[arg-type]
        return self.backends_of(request_id)[-1]

    def end_latest_attempt(
        self, request_id: int, outcome: Outcome = Outcome.COMPLETED, *, last: bool = True
    ) -> None:
        """Ends the latest attempt of the request."""
        backends = self.backends_of(request_id)
        self.end_attempt(request_id, backends[-1], outcome, len(backends) - 1, last=last)

    def advance_by(self, ms: float) -> None:
        """Advances the clock by `ms` and fires the timers that are due."""
        self.advance_to((self.now - 100_000) / TICKS_PER_MS + ms)
