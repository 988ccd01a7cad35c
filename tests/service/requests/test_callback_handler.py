"""Each callback for an unknown request increments one counter, regardless of the reported state."""

import asyncio

from crankfold.routing.interface import Outcome
from tests.fixtures import read_message
from tests.loopback import ACCEPTED, DispatcherTestCase

UNKNOWN_REQUEST_COUNTER = "callbacks-unknown-request"


class UnmatchedCallbacksTest(DispatcherTestCase):
    async def accept_one_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        writer.write(ACCEPTED)
        await reader.read()

    async def test_each_callback_for_unknown_request_is_counted_once(self) -> None:
        await self.begin(self.accept_one_request)
        await self.start_in_process()
        callbacks = self.application.request_handler.callbacks
        counters = self.application.metrics.counters
        callbacks.execution_started("u0", "a")
        self.assertEqual(counters[UNKNOWN_REQUEST_COUNTER], 1)
        callbacks.execution_progressed("u0", "a", 0.5)
        self.assertEqual(counters[UNKNOWN_REQUEST_COUNTER], 2)
        callbacks.execution_ended("u0", "a", Outcome.COMPLETED, b"", ())
        self.assertEqual(counters[UNKNOWN_REQUEST_COUNTER], 3)

    async def test_repeated_callbacks_for_attempt_in_flight_are_not_counted_as_unknown(self) -> None:
        await self.begin(self.accept_one_request)
        await self.start_in_process()
        handler = self.application.request_handler
        pending_response = asyncio.create_task(self.send_request("u1"))
        await self.until(
            lambda: any(
                attempt.accepted
                for request in handler.request_table.requests.values()
                for attempt in request.attempts
            )
        )
        for _ in range(2):
            handler.callbacks.execution_started("u1", "a")
        handler.callbacks.execution_progressed("u1", "a", 0.5)
        handler.callbacks.execution_ended("u1", "a", Outcome.COMPLETED, b"ran", ())
        self.assertEqual((await pending_response)[1], b"ran")
        self.assertEqual(self.application.metrics.counters[UNKNOWN_REQUEST_COUNTER], 0)
