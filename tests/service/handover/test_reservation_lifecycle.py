"""Requests that wait for the reservation of their ids: clients that leave, and the end of the process."""

import asyncio
import unittest
from collections.abc import Sequence

from crankfold.network.memory_budget import MemoryBudget
from crankfold.network.metrics import Metrics
from crankfold.network.timers import Clock, Timers
from crankfold.protocol.client_connection import ClientChannel
from crankfold.protocol.client_request import ClientRequest, HttpRequest
from crankfold.protocol.headers import Header
from crankfold.service.requests.collaborators import NoOtherProcess, ReservationAnswer
from crankfold.service.requests.reservations import Reservations
from crankfold.time_units import TICKS_PER_SECOND

TIMEOUT = TICKS_PER_SECOND


class SilentSuccessor(NoOtherProcess):
    """A successor whose answers the test gives."""

    def __init__(self) -> None:
        self.answers: dict[str, ReservationAnswer] = {}
        self.released: list[str] = []

    def reserve_request_id(self, request_id: str, on_answer: ReservationAnswer) -> None:
        self.answers[request_id] = on_answer

    def release_request_id(
        self,
        request_id: str,
        *,
        executed: bool = False,  # noqa: ARG002 - not under test
        attempted: bool = False,  # noqa: ARG002 - not under test
    ) -> None:
        self.released.append(request_id)


class UnusedClient:
    """A client's connection on which nothing is sent."""

    def respond(self, status: int, headers: Sequence[Header] = (), body: bytes = b"") -> None:
        raise AssertionError(status, headers, body)

    def reject(self, status: int) -> None:
        raise AssertionError(status)

    def is_awaiting_response(self) -> bool:
        return True

    def peer_has_closed(self) -> bool:
        return False

    def exceeds_limit(self) -> bool:
        return False


class WaitingRequestsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.successor = SilentSuccessor()
        self.ended: list[tuple[str, int, bool | None]] = []  # request id, remaining timeout, answer
        timers = Timers(Clock(), Metrics())
        self.reservations = Reservations(self.successor, timers, self.on_reserved, MemoryBudget())
        self.client = UnusedClient()

    def on_reserved(self, _client: ClientChannel, request: ClientRequest, in_use: bool | None) -> bool:
        self.ended.append((request.request_id, request.timeout, in_use))
        return in_use is False  # the request is admitted

    def begin(self, max_wait: int = TIMEOUT) -> None:
        http = HttpRequest(b"POST", b"/api", [], b"")
        request = ClientRequest("w1", "g", "", TIMEOUT, 0, 1.0, http, 0, False)
        self.reservations.begin(self.client, request, max_wait)

    async def test_wait_counts_against_timeout_of_request(self) -> None:
        self.begin()
        self.assertEqual(([*self.reservations.request_ids()], len(self.reservations)), (["w1"], 1))
        await asyncio.sleep(0.1)
        self.successor.answers["w1"](False)
        [(request_id, timeout, in_use)] = self.ended
        self.assertEqual((request_id, in_use, len(self.reservations)), ("w1", False, 0))
        self.assertLessEqual(timeout, TIMEOUT - TICKS_PER_SECOND // 10)
        self.assertEqual(self.successor.released, [])

    async def test_request_of_client_that_left_never_ends_its_wait(self) -> None:
        self.begin()
        self.reservations.discard(self.client)
        self.successor.answers["w1"](False)
        self.assertEqual((self.ended, self.successor.released), ([], ["w1"]))

    async def test_late_answer_has_no_effect(self) -> None:
        self.begin(max_wait=TICKS_PER_SECOND // 20)
        await asyncio.sleep(0.1)
        self.assertEqual([in_use for _, _, in_use in self.ended], [None])
        self.successor.answers["w1"](False)
        self.assertEqual((len(self.ended), self.successor.released), (1, ["w1"]))

    async def test_end_of_process_ends_all_waits(self) -> None:
        self.begin()
        self.reservations.end_all()
        self.assertEqual([in_use for _, _, in_use in self.ended], [None])
        self.assertEqual(len(self.reservations), 0)
