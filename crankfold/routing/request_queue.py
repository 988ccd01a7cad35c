"""The queue of requests that wait for a backend with capacity, and its order."""

from operator import itemgetter

from crankfold.routing.records import PendingRequest
from crankfold.routing.state import RoutingState


class RequestQueue:
    """Holds the waiting requests; their order is computed at each call, as values and work change."""

    def __init__(self, state: RoutingState) -> None:
        self._state = state
        self._requests: dict[int, PendingRequest] = {}

    def __len__(self) -> int:
        """The number of requests in the queue."""
        return len(self._requests)

    def __contains__(self, request: PendingRequest) -> bool:
        """Whether the request waits in the queue."""
        return request.request_id in self._requests

    def add(self, request: PendingRequest) -> None:
        """Queues a request."""
        self._requests[request.request_id] = request

    def discard(self, request: PendingRequest) -> None:
        """Removes a request if it is queued."""
        self._requests.pop(request.request_id, None)

    def by_priority(self) -> list[PendingRequest]:
        """Returns the requests, the highest priority first."""
        offered = sum(request_class.offered_value for request_class in self._state.classes) or 1.0
        ranked = [(self._priority(request, offered), request) for request in self._requests.values()]
        ranked.sort(key=itemgetter(0), reverse=True)
        return [request for _, request in ranked]

    def _priority(self, request: PendingRequest, offered: float) -> tuple[float, int]:
        """Returns what a response adds to the service's value, per slot and work; then the newest goes first.

        The service's value is the earned share of the value offered by all classes, averaged with that share
        of the worst-served class, which has the weight `worst_class_weight`.

        Args:
            request: A queued request.
            offered: The value of recent arrivals, of all classes.
        """
        config = self._state.config
        request_class = request.request_class
        value = request.value(by_work=config.priority_by_work)
        gain = (1.0 - config.worst_class_weight) * value / offered
        if request_class is self._state.classes[self._state.worst_class]:
            gain += config.worst_class_weight * value / (request_class.offered_value or 1.0)
        # Squared, so that requests of few slots, which fit sooner, go first.
        return gain / (request.slots * request.slots * request.expected_work), request.request_id
