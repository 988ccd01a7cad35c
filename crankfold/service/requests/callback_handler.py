"""Handles callbacks, in which backends report on the requests that they execute."""

import asyncio
from collections.abc import Callable, Sequence
from http import HTTPStatus

from crankfold.network.metrics import Metrics
from crankfold.protocol.client_connection import ClientChannel
from crankfold.routing.interface import Outcome
from crankfold.service.backends.registry import BackendRegistry
from crankfold.service.requests.attempts import Attempts, RequestOwner
from crankfold.service.requests.callback_origin import CallbackOrigin, origin_of_end
from crankfold.service.requests.collaborators import ClusterServices, OtherProcesses
from crankfold.service.requests.table import ActiveAttempt, Disposition, RequestTable


class CallbackHandler:
    """Finds the attempt that a callback belongs to and reports its state to the router.

    Args:
        owner: Sends responses and passes events to the router.
        request_table: Holds the requests.
        attempts: Ends attempts.
        backends: Maps backend ids to indexes.
        cluster: Records that abandoned attempts have ended.
        other_processes: Receive the callbacks for requests that are not in progress at this process.
        metrics: Counts callbacks.
    """

    def __init__(
        self,
        owner: RequestOwner,
        request_table: RequestTable,
        attempts: Attempts,
        backends: BackendRegistry,
        *,
        cluster: ClusterServices,
        other_processes: OtherProcesses,
        metrics: Metrics,
    ) -> None:
        self.owner = owner
        self.request_table = request_table
        self.attempts = attempts
        self.backends = backends
        self.cluster = cluster
        self.other_processes = other_processes
        self.metrics = metrics
        self.call_soon = asyncio.get_running_loop().call_soon

    def has_request(self, request_id: str) -> bool:
        """Whether the request is in progress at this process."""
        return request_id in self.request_table.by_request_id

    def forward_unknown_callback(self, client: ClientChannel, body: bytes) -> bool:
        """Forwards a callback for a request that is not in progress at this process.

        Returns:
            Whether there is another process; its answer then determines the response to the callback.
        """

        def on_answer(handled: bool | None) -> None:
            # Deferred, as the answer may come before `forward_callback` has returned.
            self.call_soon(self._respond_to_forwarded, client, handled)

        return self.other_processes.forward_callback(body, on_answer)

    def _respond_to_forwarded(self, client: ClientChannel, handled: bool | None) -> None:
        if not handled:
            self._count_unmatched_callback()
        if client.is_awaiting_response():
            # If no process knows the request, the callback is acknowledged, as a retry would change nothing.
            # If a process has not answered, the status makes the backend retry.
            status = HTTPStatus.SERVICE_UNAVAILABLE if handled is None else HTTPStatus.NO_CONTENT
            client.respond(status)

    def execution_started(self, request_id: str, backend_id: str) -> None:
        """Handles the report that the backend has started to execute the request."""
        found = self._find_attempt(request_id, backend_id)
        if not found:
            self._count_unmatched_callback()
        elif not found.attempt.was_assigned_connection():
            self._count_repeated_callback()
        elif not found.attempt.started:
            found.attempt.started = True
            self._notify_routing(self.owner.routing.attempt_started, found)

    def execution_progressed(
        self,
        request_id: str,
        backend_id: str,
        progress: float,  # noqa: ARG002 - the router does not use the progress
    ) -> None:
        """Handles the report that the backend still executes the request."""
        found = self._find_attempt(request_id, backend_id)
        if not found:
            self._count_unmatched_callback()
        elif not found.attempt.was_assigned_connection():
            self._count_repeated_callback()
        else:
            self._notify_routing(self.owner.routing.attempt_progressed, found)

    def execution_ended(
        self, request_id: str, backend_id: str, outcome: Outcome, result: bytes, report: Sequence[float]
    ) -> None:
        """Handles the report that the execution of the request has ended.

        Args:
            request_id: The id that the client gave the request.
            backend_id: The backend that reports.
            outcome: How the execution ended.
            result: The body of the response to the client, if the outcome is COMPLETED.
            report: The load report of the backend, empty if there is none.
        """
        found = self._find_attempt(request_id, backend_id)
        if not found:
            self._count_unmatched_callback()
            self.request_table.end_abandoned_attempts(request_id, self.backends.backend_ids.find(backend_id))
            self.cluster.abandoned_attempt_finished(request_id, backend_id)
            return
        request, attempt = found
        self.metrics.increment("reports-by-callback" if report else "callbacks-without-report")
        origin = origin_of_end(request, attempt, outcome)
        if outcome == Outcome.COMPLETED:
            self._execution_completed(found, origin, result, report)
        elif origin is CallbackOrigin.CURRENT_ATTEMPT:
            attempt.reported_end = outcome
            self.attempts.end(request, attempt, outcome, report)
        elif origin is CallbackOrigin.EARLIER_ATTEMPT:
            self._count_repeated_callback()
        else:
            self.metrics.increment("callbacks-of-uncertain-attempt")
            self.attempts.end_if_cancelled(request, attempt, outcome, report)

    def _execution_completed(
        self, found: ActiveAttempt, origin: CallbackOrigin, result: bytes, report: Sequence[float]
    ) -> None:
        """Completes the request; a result of any of its attempts is final."""
        request, attempt = found
        if request.is_open:
            self.owner.respond(request, Disposition.COMPLETED, result)
        if origin is CallbackOrigin.CURRENT_ATTEMPT:
            attempt.reported_end = Outcome.COMPLETED
            self.attempts.end(request, attempt, Outcome.COMPLETED, report)
        else:
            self.attempts.end_completed(request, attempt, report)

    def _notify_routing(self, event: Callable[[int, int, int, int], None], found: ActiveAttempt) -> None:
        """Calls a method of the router that takes the time, the request, the attempt and the backend."""
        request, attempt = found
        self.owner.notify_routing(
            event, request.number, attempt.number, attempt.backend, request_number=request.number
        )

    def _find_attempt(self, request_id: str, backend_id: str) -> ActiveAttempt | None:
        backend = self.backends.backend_ids.find(backend_id)
        return self.request_table.find_active_attempt(request_id, backend)

    def _count_repeated_callback(self) -> None:
        """Counts a callback that is ignored, as it belongs to an earlier attempt at the same backend."""
        self.metrics.increment("callbacks-of-earlier-attempt")

    def _count_unmatched_callback(self) -> None:
        """Counts a callback for a request that is unknown or has no attempt in flight at the backend."""
        self.metrics.increment("callbacks-unknown-request")
