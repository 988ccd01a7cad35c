"""A router with its actions kept as lists, for tests that state one rule each. Times are milliseconds."""

from dataclasses import replace

from crankfold.routing.interface import Endpoint, EndpointState, Outcome, RequestClass
from tests.scene import MS, REQUEST_CLASS, RouterTestCase


def request_class(**settings: object) -> RequestClass:
    """The usual class, idempotent, with other settings."""
    return replace(REQUEST_CLASS, **settings)  # type: ignore[arg-type]


def ready(backend: int, *, zone: int = 0, cell: int = 0, weight: float = 1.0, type_: int = 0) -> Endpoint:
    """A backend that is ready and warm."""
    return Endpoint(backend, EndpointState.READY, weight, zone, cell, 0, type_)


class RuleScene(RouterTestCase):
    """Keeps what the router did: attempts sent, requests shed and requests failed."""

    def open_with(self, *endpoints: Endpoint, free: float = 4.0, **config: object) -> None:
        """Starts a router with these backends, each with a report of free slots; 0 for no report."""
        self.sent: list[tuple[int, int]] = []  # request, backend
        self.shed_requests: list[int] = []
        self.failed_requests: list[int] = []
        self.open(runners=0, free=0, **config)  # type: ignore[arg-type]
        self.list(list(endpoints))
        if free:
            for endpoint in endpoints:
                self.report(endpoint.backend, free)

    def send_attempt(self, unit: int, runner: int) -> None:
        """Keeps an attempt that is sent."""
        self.sent.append((unit, runner))

    def shed(self, unit: int, advice: int) -> None:  # noqa: ARG002 - as the base names it
        """Keeps a request that is shed."""
        self.shed_requests.append(unit)

    def fail_request(self, unit: int) -> None:
        """Keeps a request that has failed."""
        self.failed_requests.append(unit)

    def report(self, backend: int, free: float) -> None:
        """Tells of an idle backend with so many free slots."""
        self.told.probe_ended(self.now, backend, True, (0.0, free))

    def change(self, *endpoints: Endpoint) -> None:
        """Tells of changed endpoints only."""
        self.list(list(endpoints), whole=False)

    def backends_of(self, request: int) -> list[int]:
        """The backends that the request was sent to, in order."""
        return [backend for sent, backend in self.sent if sent == request]

    def send(self, request: int, **arrival: object) -> int:
        """Takes a request that is sent at once, and gives its backend."""
        self.take(request, **arrival)  # type: ignore[arg-type]
        return self.backends_of(request)[-1]

    def finish(self, request: int, outcome: Outcome = Outcome.COMPLETED, *, last: bool = True) -> None:
        """Ends the request's latest attempt."""
        backends = self.backends_of(request)
        self.end(request, backends[-1], outcome, len(backends) - 1, last=last)

    def elapse(self, ms: float) -> None:
        """Lets time pass, with the timers that fall due."""
        self.at((self.now - 100_000) / MS + ms)
