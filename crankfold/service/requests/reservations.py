"""Requests of a process with a successor, which wait until their ids are reserved there."""

import asyncio
from collections.abc import Callable, Iterable
from functools import partial
from typing import NamedTuple

from crankfold.network.memory_budget import MemoryBudget
from crankfold.network.timers import Timers
from crankfold.protocol.client_connection import ClientChannel
from crankfold.protocol.client_request import ClientRequest
from crankfold.service.requests.collaborators import OtherProcesses


class _Reservation(NamedTuple):
    """A request whose id is being reserved.

    Attributes:
        client: The connection of the request and its response.
        request: The request.
        received_at: When the request was read, in ticks.
        timer: Ends the wait.
    """

    client: ClientChannel
    request: ClientRequest
    received_at: int
    timer: asyncio.TimerHandle


OnReserved = Callable[[ClientChannel, ClientRequest, bool | None], bool]
"""Takes a request, less the part of its timeout that has elapsed since it was read, and whether its id is in
use; None if the successor has not answered. Returns whether it admitted the request."""


class Reservations:
    """Reserves the ids of requests at the successor.

    Args:
        other_processes: The successor among them.
        timers: End the waits.
        on_reserved: Admits or rejects each request that was passed to `begin` and not discarded.
        memory: Accounts for the requests that wait.
    """

    def __init__(
        self,
        other_processes: OtherProcesses,
        timers: Timers,
        on_reserved: OnReserved,
        memory: MemoryBudget,
    ) -> None:
        self.other_processes = other_processes
        self.timers = timers
        self.on_reserved = on_reserved
        self.memory = memory
        self._body_bytes = 0
        self._by_request_id: dict[str, _Reservation] = {}
        self._by_client: dict[ClientChannel, str] = {}

    def __len__(self) -> int:
        """Returns the number of requests that wait."""
        return len(self._by_request_id)

    def __contains__(self, request_id: str) -> bool:
        """Whether a request with that id waits."""
        return request_id in self._by_request_id

    def request_ids(self) -> Iterable[str]:
        """Returns the ids of the requests that wait."""
        return self._by_request_id.keys()

    def begin(self, client: ClientChannel, request: ClientRequest, max_wait: int) -> None:
        """Starts to reserve the id of a request, which ends after `max_wait` ticks without an answer.

        No other request with that id may wait.
        """
        request_id = request.request_id
        timer = self.timers.call_after(max_wait, partial(self._end, request_id, None))
        reservation = _Reservation(client, request, self.timers.clock.now(), timer)
        self._by_request_id[request_id] = reservation
        self._by_client[client] = request_id
        self._account(len(request.http.body))

        def on_answer(in_use: bool | None) -> None:
            if self._by_request_id.get(request_id) is reservation:
                self._end(request_id, in_use)

        self.other_processes.reserve_request_id(request_id, on_answer)

    def discard(self, client: ClientChannel) -> None:
        """Drops the request of a client that has disconnected, if it waits."""
        request_id = self._by_client.get(client)
        if request_id is not None:
            self._remove(request_id)
            self.other_processes.release_request_id(request_id)

    def end_all(self) -> None:
        """Ends all waits without an answer."""
        for request_id in list(self._by_request_id):
            self._end(request_id, None)

    def _end(self, request_id: str, in_use: bool | None) -> None:
        client, request, received_at, _ = self._remove(request_id)
        elapsed = self.timers.clock.now() - received_at
        remaining = request._replace(timeout=max(request.timeout - elapsed, 0))
        if not self.on_reserved(client, remaining, in_use) and not in_use:
            # Also without an answer: the successor may still reserve the id.
            self.other_processes.release_request_id(request_id)

    def _remove(self, request_id: str) -> _Reservation:
        reservation = self._by_request_id.pop(request_id)
        del self._by_client[reservation.client]
        reservation.timer.cancel()
        self._account(-len(reservation.request.http.body))
        return reservation

    def _account(self, added_bytes: int) -> None:
        self._body_bytes += added_bytes
        self.memory.charge_admitted(self, self._body_bytes)
