"""Backends that operators drained, laid over the endpoint list."""

from dataclasses import replace
from typing import NamedTuple

from crankfold.routing.interface import Endpoint, EndpointState


class AssumedStart(NamedTuple):
    """What is assumed of a backend that was restored, until the endpoint list knows better.

    Attributes:
        drained_at: When the drain began, in ticks.
        started_at: The start that is assumed, in ticks: when it was restored. One that the list showed before
            that may be of a restart before the drain, as lists lag.
    """

    drained_at: int
    started_at: int


class ManualDrains:
    """The drains in force and the assumed starts they left, by backend id.

    Times are ticks of the clock by which the starts of backends are told.
    """

    def __init__(self) -> None:
        self.drained_since: dict[str, int] = {}
        self.assumed_starts: dict[str, AssumedStart] = {}

    def drain(self, backend_id: str, now: int) -> bool:
        """Drains a backend.

        Returns:
            Whether that is new. A drain that is in force already goes on as it began.
        """
        if backend_id in self.drained_since:
            return False
        self.drained_since[backend_id] = now
        return True

    def restore(self, backend_id: str, now: int, same_process: bool) -> bool:
        """Ends the drain of a backend.

        Args:
            backend_id: Which backend.
            now: The present time.
            same_process: The backend is known to be the process that it was before the drain.

        Returns:
            Whether it was drained.
        """
        drained_at = self.drained_since.pop(backend_id, None)
        if drained_at is None:
            return False
        earlier = self.assumed_starts.pop(backend_id, None)
        if not same_process:
            # Lists lag behind restarts. Taken for warm on an old list, it would be overloaded.
            self.assumed_starts[backend_id] = AssumedStart(drained_at, now)
        elif earlier:
            self.assumed_starts[backend_id] = earlier  # it is still warming up as it was
        return True

    def apply_to(self, backend_id: str, endpoint: Endpoint) -> Endpoint:
        """The endpoint with the drain of its backend, or the assumed start after one, laid over."""
        if backend_id in self.drained_since and endpoint.state == EndpointState.READY:
            endpoint = replace(endpoint, state=EndpointState.DRAINING)
        assumed = self.assumed_starts.get(backend_id)
        if assumed is None:
            return endpoint
        if endpoint.started_at > assumed.started_at:
            del self.assumed_starts[backend_id]  # a start since the restoring: the list knows better
            return endpoint
        return replace(endpoint, started_at=assumed.started_at)
