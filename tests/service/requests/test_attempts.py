"""The event log has one line for each check that permits an attempt.

An attempt is checked before it requests a connection and, if that one is new, again once it is established.
"""

import asyncio
from unittest.mock import patch

from crankfold.network.exchange import Exchange
from crankfold.network.pooled_connection import REUSE_COOLDOWN
from crankfold.routing.interface import EndpointState
from crankfold.service.requests.collaborators import NoCluster, RecordedEvent
from tests.fixtures import read_message
from tests.loopback import DispatcherTestCase

BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"


class AttemptRecordingTest(DispatcherTestCase):
    async def asyncSetUp(self) -> None:
        self.recorded: list[str] = []

        def record_event(_cluster: NoCluster, event: RecordedEvent, request_id: str, subject: str) -> None:
            self.recorded.append(f"{event.value} {request_id} {subject}")

        self.enterContext(patch.object(NoCluster, "record_event", record_event))
        await self.begin(self.reject_requests)
        await self.start_in_process()

    async def reject_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await read_message(reader)
            self.recorded.append("received")
            writer.write(BAD_REQUEST)

    async def test_attempt_is_recorded_twice_on_new_connection_and_once_on_reused_one(self) -> None:
        self.assertEqual((await self.send_request("u1"))[0].split()[1], "400")
        self.assertEqual(self.recorded, ["take u1 g", "dispatch u1 a", "dispatch u1 a", "received"])
        self.recorded.clear()
        await asyncio.sleep(1.2 * REUSE_COOLDOWN)
        self.assertEqual((await self.send_request("u2"))[0].split()[1], "400")
        self.assertEqual(self.recorded, ["take u2 g", "dispatch u2 a", "received"])

    async def test_attempt_withheld_after_connecting_is_recorded_once(self) -> None:
        record = self.application.backend_registry.records[0]
        connect = record.pool._connect

        async def drain_while_connecting(exchange: Exchange) -> None:
            record.state = EndpointState.DRAINING
            await connect(exchange)

        with patch.object(record.pool, "_connect", drain_while_connecting):
            self.assertEqual((await self.send_request("u1"))[0].split()[1], "503")
        self.assertEqual(self.recorded, ["take u1 g", "dispatch u1 a"])

    async def test_attempt_that_may_not_be_sent_is_not_recorded(self) -> None:
        self.application.backend_registry.records[0].state = EndpointState.DRAINING
        self.assertEqual((await self.send_request("u1"))[0].split()[1], "503")
        self.assertEqual(self.recorded, ["take u1 g"])
