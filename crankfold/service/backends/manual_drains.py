"""Manual drains of backends, which override the states in the endpoint list."""

from dataclasses import replace
from typing import NamedTuple

from crankfold.routing.interface import Endpoint, EndpointState


class AssumedStart(NamedTuple):
    """The assumed start of a restored backend, in force until the endpoint list shows a later one.

    Attributes:
        drained_at: The start of the drain, in ticks.
        started_at: The assumed start of the backend, in ticks: the end of the drain. The endpoint list lags,
            so it may still show the start before a restart during the drain.
    """

    drained_at: int
    started_at: int


class ManualDrains:
    """The drains in force and the assumed starts of restored backends, by backend id.

    Times are ticks of the dispatcher's clock, as in `Endpoint.started_at`.
    """

    def __init__(self) -> None:
        self.drained_since: dict[str, int] = {}
        self.assumed_starts: dict[str, AssumedStart] = {}

    def drain(self, backend_id: str, now: int) -> bool:
        """Drains a backend.

        Returns:
            False if the backend is drained already; the drain then keeps its start time.
        """
        if backend_id in self.drained_since:
            return False
        self.drained_since[backend_id] = now
        return True

    def restore(self, backend_id: str, now: int, same_process: bool) -> bool:
        """Ends the drain of a backend.

        Args:
            backend_id: The backend.
            now: The current time.
            same_process: Whether it is certain that the backend has not restarted during the drain.

        Returns:
            Whether it was drained.
        """
        drained_at = self.drained_since.pop(backend_id, None)
        if drained_at is None:
            return False
        earlier = self.assumed_starts.pop(backend_id, None)
        if not same_process:
            # The endpoint list may not show a restart during the drain yet, and without a slow start the
            # restarted backend would be overloaded.
            self.assumed_starts[backend_id] = AssumedStart(drained_at, now)
        elif earlier:
            self.assumed_starts[backend_id] = earlier  # the slow start before this drain continues
        return True

    def apply_to(self, backend_id: str, endpoint: Endpoint) -> Endpoint:
        """Returns the endpoint with the drain and the assumed start of its backend applied."""
        if backend_id in self.drained_since and endpoint.state == EndpointState.READY:
            endpoint = replace(endpoint, state=EndpointState.DRAINING)
        assumed = self.assumed_starts.get(backend_id)
        if assumed is None:
            return endpoint
        if endpoint.started_at > assumed.started_at:
            del self.assumed_starts[backend_id]  # restarted since the end of the drain
            return endpoint
        return replace(endpoint, started_at=assumed.started_at)
