"""Callbacks: what backends tell of the requests that they execute."""

import asyncio
from collections.abc import Sequence

from crankfold.network.metrics import Metrics
from crankfold.protocol.client_connection import ClientChannel
from crankfold.routing.interface import Outcome
from crankfold.service.backends.registry import BackendRegistry
from crankfold.service.requests.attempts import Attempts, RequestOwner
from crankfold.service.requests.collaborators import ClusterServices, OtherProcesses
from crankfold.service.requests.table import ActiveAttempt, Disposition, RequestTable


class CallbackHandler:
    """Finds the attempt that a callback speaks of, and passes on what it tells.

    Args:
        owner: Answers requests and tells routing.
        request_table: Holds the requests.
        attempts: Ends attempts.
        backends: Knows backends by their ids.
        cluster: Is told the ends of attempts that were abandoned.
        other_processes: Are asked about requests that are not in hand here.
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
        """Whether the request is in hand here."""
        return request_id in self.request_table.by_request_id

    def forward_unknown_callback(self, client: ClientChannel, body: bytes) -> bool:
        """Passes on a callback for a request that is not in hand here.

        Returns:
            Whether another process was asked; its answer is then the response to the callback.
        """

        def on_answer(handled: bool | None) -> None:
            # It may come at once, from within the call; the response waits for the next turn.
            self.call_soon(self._respond_to_forwarded, client, handled)

        return self.other_processes.forward_callback(body, on_answer)

    def _respond_to_forwarded(self, client: ClientChannel, handled: bool | None) -> None:
        if not handled:
            self.metrics.increment("callbacks-unknown-request")
        if client.is_awaiting_response():
            # A request that no process knows counts as told. Where one did not answer, the backend is to try
            # again.
            client.respond(503 if handled is None else 204)

    def execution_started(self, request_id: str, backend_id: str) -> None:
        """The backend began to execute the request."""
        found = self._find_attempt(request_id, backend_id)
        if found and not found.attempt.started:
            request, attempt = found
            attempt.started = True
            self.owner.notify_routing(
                self.owner.routing.attempt_started,
                request.number,
                attempt.number,
                attempt.backend,
                request_number=request.number,
            )

    def execution_progressed(
        self,
        request_id: str,
        backend_id: str,
        progress: float,  # noqa: ARG002 - that it gets on is all that routing needs
    ) -> None:
        """The backend gets on with the request; how far does not matter."""
        found = self._find_attempt(request_id, backend_id)
        if found:
            request, attempt = found
            self.owner.notify_routing(
                self.owner.routing.attempt_progressed,
                request.number,
                attempt.number,
                attempt.backend,
                request_number=request.number,
            )

    def execution_ended(
        self, request_id: str, backend_id: str, outcome: Outcome, result: bytes, report: Sequence[float]
    ) -> None:
        """The backend executes the request no longer.

        Args:
            request_id: The client's id.
            backend_id: Who tells it.
            outcome: How it ended.
            result: The body of the client's answer, where the outcome is COMPLETED.
            report: The load of the backend, empty where it told none.
        """
        found = self._find_attempt(request_id, backend_id)
        if not found:
            self.request_table.end_abandoned_attempts(request_id, self.backends.backend_ids.find(backend_id))
            self.cluster.abandoned_attempt_finished(request_id, backend_id)
            return
        request, attempt = found
        self.metrics.increment("reports-by-callback" if report else "callbacks-without-report")
        if outcome == Outcome.COMPLETED and request.is_open:
            self.owner.respond(request, Disposition.COMPLETED, result)
        self.attempts.end(request, attempt, outcome, report)

    def _find_attempt(self, request_id: str, backend_id: str) -> ActiveAttempt | None:
        backend = self.backends.backend_ids.find(backend_id)
        found = self.request_table.find_active_attempt(request_id, backend)
        if not found:
            self.metrics.increment("callbacks-unknown-request")
        return found
