"""A router with its actions kept as lists, for tests that state one rule each. Times are milliseconds."""

from dataclasses import replace

from crankfold.routing.interface import Endpoint, EndpointState, Outcome, RequestClass
from tests.fixtures import REQUEST_CLASS, TICKS_PER_MS, RouterTestCase


def request_class(**settings: object) -> RequestClass:
    """The idempotent class of the test cases with other settings."""
    return replace(REQUEST_CLASS, **settings)  # type: ignore[arg-type]


def ready(backend: int, *, zone: int = 0, cell: int = 0, weight: float = 1.0, type_: int = 0) -> Endpoint:
    """A backend that is ready and warm."""
    return Endpoint(backend, EndpointState.READY, weight, zone, cell, 0, type_)


class RuleScene(RouterTestCase):
    """Records attempts sent, requests shed and requests failed."""

    def open_with(self, *endpoints: Endpoint, free_slots: float = 4.0, **config: object) -> None:
        """Starts a router with these backends, each with a report of free slots; 0 for no report."""
        self.sent: list[tuple[int, int]] = []  # request, backend
        self.shed_requests: list[int] = []
        self.failed_requests: list[int] = []
        self.open(backend_count=0, free_slots=0, **config)  # type: ignore[arg-type]
        self.change_endpoints(list(endpoints))
        if free_slots:
            for endpoint in endpoints:
                self.report(endpoint.backend, free_slots)

    def send_attempt(self, request_id: int, backend: int) -> None:
        """Records an attempt."""
        self.sent.append((request_id, backend))

    def shed(self, request_id: int, retry_after: int) -> None:  # noqa: ARG002 - as the base names it
        """Records a request that is shed."""
        self.shed_requests.append(request_id)

    def fail_request(self, request_id: int) -> None:
        """Records a request that has failed."""
        self.failed_requests.append(request_id)

    def report(self, backend: int, free_slots: float) -> None:
        """Sends the report of an idle backend with so many free slots."""
        self.router.probe_ended(self.now, backend, True, (0.0, free_slots))

    def change(self, *endpoints: Endpoint) -> None:
        """Sends a delta of the endpoint list."""
        self.change_endpoints(list(endpoints), snapshot=False)

    def backends_of(self, request: int) -> list[int]:
        """The backends that the request was sent to, in order."""
        return [backend for sent, backend in self.sent if sent == request]

    def send(self, request: int, **arrival: object) -> int:
        """Receives a request that is sent at once; returns its backend."""
        self.receive_request(request, **arrival)  # type: ignore[arg-type]
        return self.backends_of(request)[-1]

    def finish(self, request: int, outcome: Outcome = Outcome.COMPLETED, *, last: bool = True) -> None:
        """Ends the request's latest attempt."""
        backends = self.backends_of(request)
        self.end_attempt(request, backends[-1], outcome, len(backends) - 1, last=last)

    def elapse(self, ms: float) -> None:
        """Moves the clock on by `ms` and fires the timers that are due."""
        self.advance_to((self.now - 100_000) / TICKS_PER_MS + ms)
