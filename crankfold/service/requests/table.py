"""The requests in hand, their attempts, and how they are found: by number, by id and by client."""

import asyncio
from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple

from crankfold.network.exchange import Exchange
from crankfold.protocol.client_connection import ClientChannel
from crankfold.protocol.client_request import HttpRequest
from crankfold.routing.interface import RequestClass
from crankfold.service.requests.classes import RequestClassTable
from crankfold.service.requests.collaborators import ClusterServices


class Disposition(Enum):
    """How a request in hand is answered: the counter that counts it, and the HTTP status."""

    COMPLETED = ("requests-completed", 200)
    REJECTED = ("requests-rejected", 400)  # a backend says that no backend can use it
    SHED = ("requests-shed", 503)  # a retry is harmless
    FAILED = ("requests-failed", 504)  # it may have been executed

    def __init__(self, counter: str, status: int) -> None:
        self.counter = counter
        self.status = status


class Attempt:
    """One attempt to have a request executed.

    Attributes:
        number: Its place among the attempts of the request, from 0.
        backend: The index of the backend.
        created_at: In ticks.
        exchange: What carries it; None for an attempt that was not sent.
        in_flight: Its end is not known yet.
        started: The backend told that it began to execute it.
        accepted: The backend told that it has it; the end comes by callback.
        may_still_run: It was abandoned without news of its end, so the backend may still execute it.
        may_have_run: It is not known that it was never executed.
    """

    # Plain classes with slots: a dataclass costs a start a millisecond.
    __slots__ = (
        "accepted",
        "backend",
        "created_at",
        "exchange",
        "in_flight",
        "may_have_run",
        "may_still_run",
        "number",
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
        self.may_still_run = False
        self.may_have_run = True

    def was_sent(self) -> bool:
        """Whether it went out on a connection."""
        return self.exchange is not None and self.exchange.connection is not None


class Request:
    """One request in hand.

    Attributes:
        number: Counted up as requests come; routing knows the request by it.
        class_index: The row of its class in the table of request classes.
        request_id: The client's id for it.
        client: The connection that it came on, and is answered on.
        deadline: When the client stops waiting, in ticks.
        http_request: What each attempt sends.
        attempts: All attempts so far.
        is_open: The client has no answer yet, and waits for one.
        quota_limits: The names of the limits of the whole cluster that count it.
        deadline_timer: Fires at the deadline.
    """

    __slots__ = (
        "attempts",
        "class_index",
        "client",
        "deadline",
        "deadline_timer",
        "http_request",
        "is_open",
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
    ) -> None:
        self.number = number
        self.class_index = class_index
        self.request_id = request_id
        self.client = client
        self.deadline = deadline
        self.http_request = http_request
        self.attempts: list[Attempt] = []
        self.is_open = True
        self.quota_limits: Sequence[str] = ()
        self.deadline_timer: asyncio.TimerHandle | None = None


class ActiveAttempt(NamedTuple):
    """An attempt in flight, and its request."""

    request: Request
    attempt: Attempt


class RequestTable:
    """Keeps each request until it is answered and its last attempt has ended.

    Args:
        request_classes: Counts the requests of each class.
        cluster: Is told when a request no longer counts towards its limits.
    """

    def __init__(self, request_classes: RequestClassTable, cluster: ClusterServices) -> None:
        self.request_classes = request_classes
        self.cluster = cluster
        self.requests: dict[int, Request] = {}
        self.by_request_id: dict[str, Request] = {}
        self.by_client: dict[ClientChannel, Request] = {}
        self.next_number = 0

    def add(
        self,
        class_index: int,
        request_id: str,
        client: ClientChannel,
        deadline: int,
        http_request: HttpRequest,
    ) -> Request:
        """Takes a request in, and gives it the next number; `deadline` in ticks."""
        request = Request(
            self.next_number,
            class_index=class_index,
            request_id=request_id,
            client=client,
            deadline=deadline,
            http_request=http_request,
        )
        self.next_number += 1
        self.request_classes.request_opened(class_index)
        self.requests[request.number] = request
        self.by_request_id[request_id] = request
        self.by_client[client] = request
        return request

    def class_of(self, request: Request) -> RequestClass:
        """The class as it was when the request came."""
        return self.request_classes.classes[request.class_index]

    def close(self, request: Request) -> None:
        """Its client has an answer, or has gone. Attempts may go on."""
        if request.quota_limits and request.is_open:
            self.cluster.release_quota(request.quota_limits)
        request.is_open = False
        self.by_client.pop(request.client, None)

    def discard(self, request: Request) -> None:
        """Forgets it if nothing more can come: no answer is owed, and no attempt is in flight."""
        if request.is_open or any(attempt.in_flight for attempt in request.attempts):
            return
        if self.requests.pop(request.number, None):
            self.request_classes.request_closed(request.class_index)
        if request.deadline_timer:
            request.deadline_timer.cancel()  # or it would keep the body until the deadline
        if self.by_request_id.get(request.request_id) is request:
            del self.by_request_id[request.request_id]

    def find_active_attempt(self, request_id: str, backend: int) -> ActiveAttempt | None:
        """The attempt in flight of that request at that backend; there is one at most."""
        request = self.by_request_id.get(request_id)
        if request:
            for attempt in request.attempts:
                if attempt.backend == backend and attempt.in_flight:
                    return ActiveAttempt(request, attempt)
        return None

    def end_abandoned_attempts(self, request_id: str, backend: int) -> None:
        """The backend told the end of attempts of that request that were abandoned."""
        request = self.by_request_id.get(request_id)
        for attempt in request.attempts if request else ():
            if attempt.backend == backend:
                attempt.may_still_run = False
