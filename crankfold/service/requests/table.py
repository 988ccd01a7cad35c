"""The table of requests in progress and their attempts, indexed by number, by id and by client."""

import asyncio
from collections.abc import Sequence
from enum import Enum
from http import HTTPStatus
from typing import NamedTuple

from crankfold.network.exchange import Exchange
from crankfold.network.memory_budget import MemoryBudget
from crankfold.protocol.client_connection import ClientChannel
from crankfold.protocol.client_request import HttpRequest
from crankfold.routing.interface import Idempotency, Outcome, RequestClass
from crankfold.service.requests.classes import RequestClassTable
from crankfold.service.requests.collaborators import ClusterServices, OtherProcesses
from crankfold.service.requests.request_id_set import RequestIdSet

REQUEST_BYTES = 4 * 1024  # objects of a request in the table, in the router and in timers, without its body


class Disposition(Enum):
    """The final response to an admitted request, with its counter and its HTTP status."""

    COMPLETED = ("requests-completed", HTTPStatus.OK)
    REJECTED = ("requests-rejected", HTTPStatus.BAD_REQUEST)  # a backend found the request invalid
    SHED = ("requests-shed", HTTPStatus.SERVICE_UNAVAILABLE)  # a retry is harmless
    FAILED = ("requests-failed", HTTPStatus.GATEWAY_TIMEOUT)  # the request may have been executed

    def __init__(self, counter: str, status: HTTPStatus) -> None:
        self.counter = counter
        self.status = status


class Attempt:
    """One attempt to have a request executed.

    Attributes:
        number: Its position among the attempts of the request, from 0.
        backend: The index of the backend.
        created_at: When the attempt was created, in ticks.
        exchange: The HTTP exchange; None for an attempt that was not sent.
        in_flight: Whether its outcome is still unknown.
        started: Whether the backend reported the start of the execution.
        accepted: Whether the backend accepted it; the outcome comes by callback.
        cancelling: Whether its cancellation was sent and it ends once the backend has answered that.
        may_still_run: Whether it was abandoned and the backend has not confirmed its end yet.
        may_have_run: False once its outcome proves that it was never executed.
        refused: Whether the response proves that the backend did not take it, so that no callback is for it.
        reported_end: The outcome in the callback that ended it, if that was certainly a callback for it.
    """

    # Plain classes with slots, as each dataclass would add to the start time (see `routing.interface`).
    __slots__ = (
        "accepted",
        "backend",
        "cancelling",
        "created_at",
        "exchange",
        "in_flight",
        "may_have_run",
        "may_still_run",
        "number",
        "refused",
        "reported_end",
        "started",
    )

    def __init__(self, number: int, backend: int, created_at: int) -> None:
        self.number = number
        self.backend = backend
        self.created_at = created_at
        self.exchange: Exchange | None = None
        self.in_flight = True
        self.started = False
        self.accepted = False
        self.cancelling = False
        self.may_still_run = False
        self.may_have_run = True
        self.refused = False
        self.reported_end: Outcome | None = None

    def was_assigned_connection(self) -> bool:
        """Whether a connection was assigned to it, so that the backend may have received the request."""
        return self.exchange is not None and self.exchange.connection is not None

    def may_report_end(self, outcome: Outcome) -> bool:
        """Whether the backend may still send a callback with that outcome for it, as a repetition."""
        if self.reported_end is not None:
            return outcome is self.reported_end
        return not self.refused


class Request:
    """One admitted request.

    Attributes:
        number: A sequence number; the router identifies the request by it.
        class_index: The row of its class in the table of request classes.
        request_id: The id that the client gave it.
        client: The connection of the request and its response; None once the request is closed.
        deadline: When the client stops waiting, in ticks.
        http_request: The HTTP request that each attempt sends.
        id_was_attempted: Whether an earlier request with its id was attempted, so that callbacks for that one
            may still come.
        attempts: All attempts so far.
        quota_limits: The names of the cluster-wide limits that it counts against.
        deadline_timer: Fires at the deadline.
    """

    __slots__ = (
        "attempts",
        "class_index",
        "client",
        "deadline",
        "deadline_timer",
        "http_request",
        "id_was_attempted",
        "number",
        "quota_limits",
        "request_id",
    )

    def __init__(
        self,
        number: int,
        *,
        class_index: int,
        request_id: str,
        client: ClientChannel,
        deadline: int,
        http_request: HttpRequest,
        id_was_attempted: bool,
    ) -> None:
        self.number = number
        self.class_index = class_index
        self.request_id = request_id
        self.client: ClientChannel | None = client
        self.deadline = deadline
        self.http_request = http_request
        self.id_was_attempted = id_was_attempted
        self.attempts: list[Attempt] = []
        self.quota_limits: Sequence[str] = ()
        self.deadline_timer: asyncio.TimerHandle | None = None

    @property
    def is_open(self) -> bool:
        """Whether the client still waits for the response."""
        return self.client is not None


class ActiveAttempt(NamedTuple):
    """An attempt in flight and its request."""

    request: Request
    attempt: Attempt


class RequestTable:
    """Holds each request until it is closed and its last attempt has ended.

    Args:
        request_classes: Counts the requests in progress of each class.
        cluster: Holds the quotas that closed requests release.
        other_processes: Are told which request ids are no longer in use.
        memory: Accounts for the requests beside what their connections hold.

    Attributes:
        executed_ids: The ids of requests that may have been executed and may not be executed again.
        attempted_ids: The ids of other requests that are over; backends may still send callbacks for them.
    """

    def __init__(
        self,
        request_classes: RequestClassTable,
        cluster: ClusterServices,
        other_processes: OtherProcesses,
        memory: MemoryBudget,
    ) -> None:
        self.request_classes = request_classes
        self.cluster = cluster
        self.other_processes = other_processes
        self.memory = memory
        self._body_bytes = 0
        self.requests: dict[int, Request] = {}
        self.by_request_id: dict[str, Request] = {}
        self.by_client: dict[ClientChannel, Request] = {}
        self.executed_ids = RequestIdSet()
        self.attempted_ids = RequestIdSet()
        self.next_number = 0

    def add(
        self,
        class_index: int,
        request_id: str,
        client: ClientChannel,
        deadline: int,
        http_request: HttpRequest,
    ) -> Request:
        """Adds a request under the next number; `deadline` is in ticks."""
        request = Request(
            self.next_number,
            class_index=class_index,
            request_id=request_id,
            client=client,
            deadline=deadline,
            http_request=http_request,
            id_was_attempted=request_id in self.attempted_ids,
        )
        self.next_number += 1
        self.request_classes.request_opened(class_index)
        self.requests[request.number] = request
        self.by_request_id[request_id] = request
        self.by_client[client] = request
        self._body_bytes += len(http_request.body)
        self._account()
        return request

    def _account(self) -> None:
        self.memory.charge_admitted(self, self._body_bytes + len(self.requests) * REQUEST_BYTES)

    def buffered_bytes(self) -> int:
        """Returns the bytes of the bodies of all open requests."""
        return self._body_bytes

    def class_of(self, request: Request) -> RequestClass:
        """Returns the class of the request as of its admission."""
        return self.request_classes.classes[request.class_index]

    def close(self, request: Request) -> None:
        """Closes a request that is answered or has lost its client, and releases its quotas.

        Its attempts may still be in flight.
        """
        if request.client is None:
            return
        if request.quota_limits:
            self.cluster.release_quota(request.quota_limits)
        self.by_client.pop(request.client, None)
        request.client = None
        self._body_bytes -= len(request.http_request.body)
        request.http_request = request.http_request._replace(body=b"")  # no attempt begins any more
        self._account()

    def discard_if_over(self, request: Request) -> None:
        """Removes the request, unless it is open or has an attempt in flight."""
        if request.is_open or any(attempt.in_flight for attempt in request.attempts):
            return
        executed = self._may_not_run_again(request)
        attempted = any(attempt.was_assigned_connection() for attempt in request.attempts)
        if self.requests.pop(request.number, None):
            self.request_classes.request_closed(request.class_index)
            self._account()
        for attempt in request.attempts:
            attempt.exchange = None  # it refers to the request, which would stay in memory with its body
        if request.deadline_timer:
            request.deadline_timer.cancel()  # it keeps the request, whose body may be large, in memory
        if self.by_request_id.get(request.request_id) is request:
            del self.by_request_id[request.request_id]
            if attempted:
                self.request_ended(request.request_id, executed=executed)
            self.other_processes.release_request_id(
                request.request_id, executed=executed, attempted=attempted
            )

    def request_ended(self, request_id: str, *, executed: bool) -> None:
        """Records the id of an attempted request that is over, of this process or of another one.

        Args:
            request_id: The id.
            executed: Whether the request may have been executed and may not be executed again.
        """
        (self.executed_ids if executed else self.attempted_ids).add(request_id)

    def _may_not_run_again(self, request: Request) -> bool:
        """Whether the request may have been executed, and a second execution may do harm.

        An idempotency key does not rule that out: the client that repeats the id may send another key, and
        backends forget keys.
        """
        if self.class_of(request).idempotency == Idempotency.IDEMPOTENT:
            return False
        return any(attempt.may_have_run and attempt.was_assigned_connection() for attempt in request.attempts)

    def find_active_attempt(self, request_id: str, backend: int) -> ActiveAttempt | None:
        """Returns the attempt of a request that is in flight at a backend; there is at most one."""
        request = self.by_request_id.get(request_id)
        if request:
            for attempt in request.attempts:
                if attempt.backend == backend and attempt.in_flight:
                    return ActiveAttempt(request, attempt)
        return None

    def end_abandoned_attempts(self, request_id: str, backend: int) -> None:
        """Handles the report of a backend that it no longer executes an abandoned attempt.

        It confirms nothing if the backend has received several attempts, as it does not name one of them.
        """
        request = self.by_request_id.get(request_id)
        if request is None or request.id_was_attempted:
            return
        received = [
            attempt
            for attempt in request.attempts
            if attempt.backend == backend and attempt.was_assigned_connection()
        ]
        if len(received) == 1:
            received[0].may_still_run = False
