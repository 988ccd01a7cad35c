"""The order in which connections process their input."""

import asyncio
import time
import unittest

from crankfold.network.input_scheduler import TIME_SLICE, InputScheduler
from crankfold.network.metrics import Metrics


class FakeConnection:
    """A connection with input for a number of portions."""

    def __init__(self, name: str, portions: int, processed: list[str], duration: float = 0.0) -> None:
        self.name = name
        self.portions = portions
        self.processed = processed
        self.duration = duration

    def process_portion(self) -> bool:
        self.processed.append(self.name)
        self.portions -= 1
        if self.duration:
            time.sleep(self.duration)
        return self.portions > 0


class InputSchedulerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.queue = InputScheduler(Metrics())
        self.processed: list[str] = []

    def connection(self, name: str, portions: int, duration: float = 0.0) -> FakeConnection:
        return FakeConnection(name, portions, self.processed, duration)

    async def test_new_input_is_processed_before_rest_of_earlier_input(self) -> None:
        self.queue.add(self.connection("busy", 1000))
        await asyncio.sleep(0)
        self.processed.clear()
        self.queue.add(self.connection("usual", 1))
        await asyncio.sleep(0)
        self.assertLessEqual(self.processed.index("usual"), 1)

    async def test_turn_is_short_and_every_connection_gets_its_portions(self) -> None:
        names = [str(number) for number in range(10)]
        for name in names:
            self.queue.add(self.connection(name, 3, TIME_SLICE))
        longest = 0.0
        while len(self.processed) < 30:
            started_at = time.monotonic()
            await asyncio.sleep(0)
            longest = max(longest, time.monotonic() - started_at)
        # A portion takes a whole turn here, so a turn has one of new and one of earlier input.
        self.assertLess(longest, 5 * TIME_SLICE)
        self.assertEqual(sorted(self.processed), sorted(names * 3))
        # New input gets every second portion at least.
        self.assertLessEqual(max(self.processed.index(name) for name in names), 2 * len(names))

    async def test_rest_of_earlier_input_is_processed_beside_new_input_without_end(self) -> None:
        busy = self.connection("busy", 5)
        self.queue.add(busy)
        for number in range(50):
            self.queue.add(self.connection(f"new-{number}", 1, 2 * TIME_SLICE))
            await asyncio.sleep(0)
        self.assertEqual(busy.portions, 0)

    async def test_input_is_processed_at_once_only_while_there_is_little(self) -> None:
        self.assertTrue(self.queue.process(self.connection("first", 2, 2 * TIME_SLICE)))
        self.assertEqual(self.processed, ["first"])
        self.assertFalse(self.queue.process(self.connection("second", 1)))  # the first is queued
        await asyncio.sleep(0)
        self.assertEqual(sorted(self.processed), ["first", "first", "second"])
        self.assertFalse(self.queue.process(self.connection("third", 1)))  # too much time was used
        await asyncio.sleep(10 * TIME_SLICE)
        self.assertTrue(self.queue.process(self.connection("fourth", 1)))

    async def test_connection_that_has_ended_gets_no_turn(self) -> None:
        ended = self.connection("ended", 3)
        self.queue.add(ended)
        self.queue.discard(ended)
        for _ in range(3):
            await asyncio.sleep(0)
        self.assertEqual(self.processed, [])
