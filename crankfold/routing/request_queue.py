"""Request queue: the requests that wait for a backend with capacity, and their order."""

from operator import itemgetter

from crankfold.routing.records import PendingRequest
from crankfold.routing.state import RoutingState


class RequestQueue:
    """Holds the waiting requests; computes their order at each call, as values and expected work change."""

    def __init__(self, state: RoutingState) -> None:
        self._state = state
        self._requests: dict[int, PendingRequest] = {}

    def __len__(self) -> int:
        """Returns the number of queued requests."""
        return len(self._requests)

    def __contains__(self, request: PendingRequest) -> bool:
        """Whether the request is queued."""
        return request.request_id in self._requests

    def add(self, request: PendingRequest) -> None:
        """Adds a request; its place follows from its priority."""
        self._requests[request.request_id] = request

    def discard(self, request: PendingRequest) -> None:
        """Removes a request if it is queued."""
        self._requests.pop(request.request_id, None)

    def by_priority(self) -> list[PendingRequest]:
        """Returns the queued requests, highest priority first."""
        offered = sum(request_class.offered_value for request_class in self._state.classes) or 1.0
        ranked = [(self._priority(request, offered), request) for request in self._requests.values()]
        ranked.sort(key=itemgetter(0), reverse=True)
        return [request for _, request in ranked]

    def _priority(self, request: PendingRequest, offered: float) -> tuple[float, int]:
        """Returns what a response adds to the service's value for its slots and work, and the id for ties.

        The service's value is the earned share of the value offered by all classes, averaged with that share
        of the worst-served class, which has the weight `worst_class_weight`. Of equal requests the newest
        goes first.

        Args:
            request: A queued request.
            offered: The value of recent arrivals of all classes.
        """
        config = self._state.config
        request_class = request.request_class
        value = request.value(by_work=config.priority_by_work)
        gain = (1.0 - config.worst_class_weight) * value / offered
        if request_class is self._state.classes[self._state.worst_class]:
            gain += config.worst_class_weight * value / (request_class.offered_value or 1.0)
        # The slots are squared so that requests of few slots, which fit sooner, go first.
        return gain / (request.slots * request.slots * request.expected_work), request.request_id
