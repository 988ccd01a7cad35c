"""Callbacks for requests that are not in hand are counted once, whatever they report."""

import asyncio

from crankfold.routing.interface import Outcome
from tests.fixtures import read_message
from tests.loopback import OK, DispatcherTestCase

UNKNOWN = "callbacks-unknown-request"


class UnknownRequestsTest(DispatcherTestCase):
    async def accept_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        writer.write(OK)
        await reader.read()

    async def test_each_callback_for_an_unknown_request_is_counted_once(self) -> None:
        await self.begin(self.accept_one)
        await self.start_in_process()
        callbacks = self.application.request_handler.callbacks
        counters = self.application.metrics.counters
        callbacks.execution_started("u0", "a")
        self.assertEqual(counters[UNKNOWN], 1)
        callbacks.execution_progressed("u0", "a", 0.5)
        self.assertEqual(counters[UNKNOWN], 2)
        callbacks.execution_ended("u0", "a", Outcome.COMPLETED, b"", ())
        self.assertEqual(counters[UNKNOWN], 3)

    async def test_callbacks_for_the_attempt_in_flight_are_not_counted_even_if_repeated(self) -> None:
        await self.begin(self.accept_one)
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
        self.assertEqual(self.application.metrics.counters[UNKNOWN], 0)
