"""The units in hand: which id is which number, and what became of each dispatch."""

import asyncio
from collections.abc import Sequence

from crankfold.network.accepted_connection import AcceptedConnection
from crankfold.network.connection_pool import Exchange
from crankfold.protocol.client_request import HttpRequest
from crankfold.service.collaborators import ClusterServices
from crankfold.service.request_classes import RequestClassTable


class Attempt:
    """One dispatch."""

    __slots__ = (
        "number",
        "backend",
        "created_at",
        "exchange",
        "in_flight",
        "started",
        "accepted",
        "may_still_run",
        "may_have_run",
    )

    def __init__(self, nth: int, runner: int, began: int) -> None:
        self.number, self.backend, self.created_at = nth, runner, began
        self.exchange: Exchange | None = None
        self.in_flight, self.started, self.accepted = True, False, False
        self.may_still_run = False  # given up without news of its end: the runner may still have it
        self.may_have_run = True

    def was_sent(self) -> bool:
        """Whether it went out on a connection."""
        return self.exchange is not None and self.exchange.connection is not None


class Request:
    """One unit."""

    __slots__ = (
        "number",
        "request_id",
        "client",
        "deadline",
        "http_request",
        "attempts",
        "is_open",
        "deadline_timer",
        "class_index",
        "quota_limits",
    )

    def __init__(
        self,
        no: int,
        row: int,
        ident: str,
        client: AcceptedConnection,
        cutoff: int,
        again: HttpRequest,
    ) -> None:
        self.class_index = row  # of its grade
        self.number, self.request_id, self.client, self.deadline, self.http_request = (
            no,
            ident,
            client,
            cutoff,
            again,
        )
        self.attempts: list[Attempt] = []
        self.is_open = True
        self.quota_limits: Sequence[str] = ()  # the limits for the whole fleet of which it holds a place
        self.deadline_timer: asyncio.TimerHandle | None = None


class RequestTable:
    """Units are numbered as they come, and kept until they are answered and their last dispatch has ended."""

    def __init__(self, grades: RequestClassTable, cluster: ClusterServices) -> None:
        self.request_classes = grades
        self.cluster = cluster
        self.requests: dict[int, Request] = {}
        self.by_request_id: dict[str, Request] = {}
        self.by_client: dict[AcceptedConnection, Request] = {}
        self.next_number = 0

    def add(
        self,
        row: int,
        ident: str,
        client: AcceptedConnection,
        cutoff: int,
        again: HttpRequest,
    ) -> Request:
        work = Request(self.next_number, row, ident, client, cutoff, again)
        self.next_number += 1
        self.request_classes.request_opened(row)
        self.requests[work.number] = self.by_request_id[ident] = self.by_client[client] = work
        return work

    def close(self, work: Request) -> None:
        if work.quota_limits and work.is_open:
            self.cluster.release_quota(work.quota_limits)
        work.is_open = False
        self.by_client.pop(work.client, None)

    def discard(self, work: Request) -> None:
        """If nothing more can come for it: an answer is owed no longer, and no dispatch is out."""
        if not work.is_open and not any(trip.in_flight for trip in work.attempts):
            if self.requests.pop(work.number, None):
                self.request_classes.request_closed(work.class_index)
            if work.deadline_timer:
                work.deadline_timer.cancel()  # or it would keep the body until the cut-off
            if self.by_request_id.get(work.request_id) is work:
                del self.by_request_id[work.request_id]

    def find_active_attempt(self, ident: str, runner: int) -> tuple[Request, Attempt] | None:
        """The dispatch that a runner speaks of; it has one of a unit at a time."""
        work = self.by_request_id.get(ident)
        for trip in work.attempts if work else ():
            if work and trip.backend == runner and trip.in_flight:
                return work, trip
        return None

    def mark_abandoned_finished(self, ident: str, runner: int) -> None:
        """A dispatch that was given up on has come to its end at the runner."""
        work = self.by_request_id.get(ident)
        for trip in work.attempts if work else ():
            if trip.backend == runner:
                trip.may_still_run = False
