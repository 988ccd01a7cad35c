"""The clauses on wall clocks that are wrong: what the endpoint list shows as new warms up all the same."""

import asyncio
import time
from typing import Any
from unittest.mock import patch

from tests.fixtures import read_message
from tests.loopback import ACCEPTED, DispatcherTestCase, Handler

HOUR_MS = 3_600_000
WARM_UP_SECONDS = 30
MAX_ASSUMED_AGE = 30_000  # ticks: an age up to which a cold backend bears what it would be sent by it
REQUESTS = 60


class WrongClockTest(DispatcherTestCase):
    """One old backend, and one that starts while a clock is wrong."""

    async def begin_with(self, *, dispatcher_ahead_ms: int) -> None:
        self.sent = {"a": 0, "b": 0}
        self.entries: list[dict[str, Any]] = []
        self.revision = 1
        self.dispatcher_ahead_ms = dispatcher_ahead_ms
        await self.begin(self.backend("a"))
        self.other_port = await self.start_fake_server(self.backend("b"))
        self.config["settings"]["rules"] = {
            "cold-from": 0.13,
            "warm-after": WARM_UP_SECONDS * 1_000_000,
            "overload-factor": 4.0,
            "overload-for": 1_000_000,
        }

    async def start_with_wrong_clock(self) -> None:
        wrong_ns = time.time_ns() + self.dispatcher_ahead_ms * 1_000_000
        with patch("crankfold.network.timers.time.time_ns", lambda: wrong_ns):
            await self.start_in_process()

    @staticmethod
    def right_ms() -> int:
        return time.time_ns() // 1_000_000

    def backend(self, backend_id: str) -> Handler:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_message(reader)
                self.sent[backend_id] += 1
                request_id = head.lower().partition("x-request-id: ")[2].partition("\r\n")[0]
                writer.write(ACCEPTED)
                await asyncio.sleep(0.02)
                await self.send_callback(id=request_id, **{"from": backend_id}, state="done", result="")

        return serve

    def discovery_answer(self) -> dict[str, Any]:
        answer = super().discovery_answer()
        return answer | {"rev": self.revision, "targets": answer["targets"] + self.entries}

    def list_other(self, boot_ms: int) -> None:
        self.revision += 1
        address = f"127.0.0.1:{self.other_port}"
        self.entries = [{"uid": "b", "endpoint": address, "state": "in_service", "boot_ms": boot_ms}]
        self.endpoints_changed.set()

    async def assumed_age(self) -> int:
        """Ticks since the other backend's start, as this process has it once the backend is listed."""
        registry = self.application.backend_registry
        await self.until(lambda: len(registry.records) == 2 and registry.records[1].endpoint.started_at != 0)
        return self.application.timers.clock.now() - registry.records[1].endpoint.started_at

    async def test_a_start_just_listed_is_new_where_the_own_clock_is_an_hour_ahead(self) -> None:
        await self.begin_with(dispatcher_ahead_ms=HOUR_MS)
        self.list_other(self.right_ms())
        self.endpoints_changed.clear()
        self.config["known"] = self.discovery_answer()
        await self.start_with_wrong_clock()
        self.assertLess(await self.assumed_age(), MAX_ASSUMED_AGE)
        await asyncio.gather(*(self.send_paced(number) for number in range(REQUESTS)))
        self.assertLess(self.sent["b"], REQUESTS // 5, self.sent)

    async def send_paced(self, number: int) -> None:
        await asyncio.sleep(number * 0.03)
        await self.send_request(f"u{number}")

    async def age_of_a_start_listed_later(self, *, ahead_ms: int = 0, boot_error_ms: int = 0) -> int:
        await self.begin_with(dispatcher_ahead_ms=ahead_ms)
        await self.start_with_wrong_clock()
        self.list_other(self.right_ms() + boot_error_ms)
        return await self.assumed_age()

    async def test_a_start_listed_later_is_new_where_the_own_clock_is_an_hour_ahead(self) -> None:
        self.assertLess(await self.age_of_a_start_listed_later(ahead_ms=HOUR_MS), MAX_ASSUMED_AGE)

    async def test_a_start_listed_later_is_new_where_the_own_clock_is_seconds_ahead(self) -> None:
        self.assertLess(await self.age_of_a_start_listed_later(ahead_ms=8_000), MAX_ASSUMED_AGE)

    async def test_a_start_listed_later_is_new_where_the_backends_clock_is_an_hour_behind(self) -> None:
        self.assertLess(await self.age_of_a_start_listed_later(boot_error_ms=-HOUR_MS), MAX_ASSUMED_AGE)

    async def test_a_start_in_the_future_is_cold_no_longer_than_any_other(self) -> None:
        self.assertGreaterEqual(await self.age_of_a_start_listed_later(ahead_ms=-HOUR_MS), 0)

    async def test_a_start_in_the_future_by_the_backends_clock_is_cold_no_longer_either(self) -> None:
        self.assertGreaterEqual(await self.age_of_a_start_listed_later(boot_error_ms=HOUR_MS), 0)

    async def test_right_clocks_cost_nothing(self) -> None:
        """What started long ago is warm in the first list, and stays as it was seen when listed again."""
        await self.begin_with(dispatcher_ahead_ms=0)
        self.list_other(self.right_ms() - 5 * HOUR_MS)
        self.endpoints_changed.clear()
        self.config["known"] = self.discovery_answer()
        await self.start_with_wrong_clock()
        self.assertGreater(await self.assumed_age(), 4 * HOUR_MS * 10)
        boot_ms = self.right_ms() - 1000
        self.list_other(boot_ms)
        registry = self.application.backend_registry
        now = self.application.timers.clock.now
        await self.until(lambda: now() - registry.records[1].endpoint.started_at < MAX_ASSUMED_AGE)
        started_at = registry.records[1].endpoint.started_at
        self.assertAlmostEqual(started_at, boot_ms * 10, delta=200)
        counters = self.application.metrics.counters
        answers = counters["discovery-snapshots"]
        self.list_other(boot_ms)
        await self.until(lambda: counters["discovery-snapshots"] > answers)
        self.assertEqual(registry.records[1].endpoint.started_at, started_at)
