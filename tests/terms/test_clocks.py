"""Wrong wall clocks: a backend that the endpoint list shows as newly started still warms up."""

import asyncio
import time
from typing import Any
from unittest.mock import patch

from tests.fixtures import read_message
from tests.loopback import ACCEPTED, DispatcherTestCase, Handler

HOUR_MS = 3_600_000
WARM_UP_SECONDS = 30
# Up to this age, the load fraction that slow start permits does not overload a newly started backend.
MAX_ASSUMED_AGE_TICKS = 30_000
REQUEST_COUNT = 60


class WrongClockTest(DispatcherTestCase):
    """A dispatcher with one warm backend, and a second one that starts while a wall clock is wrong."""

    async def prepare(self, *, dispatcher_ahead_ms: int) -> None:
        self.sent_counts = {"a": 0, "b": 0}
        self.added_targets: list[dict[str, Any]] = []
        self.revision = 1
        self.dispatcher_ahead_ms = dispatcher_ahead_ms
        await self.begin(self.make_backend("a"))
        self.second_port = await self.start_fake_server(self.make_backend("b"))
        self.config["settings"]["rules"] = {
            "cold-from": 0.13,
            "warm-after": WARM_UP_SECONDS * 1_000_000,
            "overload-factor": 4.0,
            "overload-for": 1_000_000,
        }

    async def start_with_wrong_clock(self) -> None:
        dispatcher_time_ns = time.time_ns() + self.dispatcher_ahead_ms * 1_000_000
        with patch("crankfold.network.timers.time.time_ns", lambda: dispatcher_time_ns):
            await self.start_in_process()

    @staticmethod
    def true_time_ms() -> int:
        return time.time_ns() // 1_000_000

    def make_backend(self, backend_id: str) -> Handler:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_message(reader)
                self.sent_counts[backend_id] += 1
                request_id = head.lower().partition("x-request-id: ")[2].partition("\r\n")[0]
                writer.write(ACCEPTED)
                await asyncio.sleep(0.02)
                await self.send_callback(id=request_id, **{"from": backend_id}, state="done", result="")

        return serve

    def discovery_answer(self) -> dict[str, Any]:
        answer = super().discovery_answer()
        return answer | {"rev": self.revision, "targets": answer["targets"] + self.added_targets}

    def list_second_backend(self, boot_ms: int) -> None:
        self.revision += 1
        address = f"127.0.0.1:{self.second_port}"
        self.added_targets = [{"uid": "b", "endpoint": address, "state": "in_service", "boot_ms": boot_ms}]
        self.endpoints_changed.set()

    async def wait_for_assumed_age(self) -> int:
        """Waits until the second backend is listed; returns its age in ticks at the dispatcher."""
        registry = self.application.backend_registry
        await self.until(lambda: len(registry.records) == 2 and registry.records[1].endpoint.started_at != 0)
        return self.application.timers.clock.now() - registry.records[1].endpoint.started_at

    async def test_backend_in_first_list_is_new_when_dispatcher_clock_is_an_hour_ahead(self) -> None:
        await self.prepare(dispatcher_ahead_ms=HOUR_MS)
        self.list_second_backend(self.true_time_ms())
        self.endpoints_changed.clear()
        self.config["known"] = self.discovery_answer()
        await self.start_with_wrong_clock()
        self.assertLess(await self.wait_for_assumed_age(), MAX_ASSUMED_AGE_TICKS)
        await asyncio.gather(*(self.send_paced(number) for number in range(REQUEST_COUNT)))
        self.assertLess(self.sent_counts["b"], REQUEST_COUNT // 5, self.sent_counts)

    async def send_paced(self, number: int) -> None:
        await asyncio.sleep(number * 0.03)
        await self.send_request(f"u{number}")

    async def assumed_age_of_later_backend(
        self, *, dispatcher_clock_ahead_ms: int = 0, backend_clock_ahead_ms: int = 0
    ) -> int:
        await self.prepare(dispatcher_ahead_ms=dispatcher_clock_ahead_ms)
        await self.start_with_wrong_clock()
        self.list_second_backend(self.true_time_ms() + backend_clock_ahead_ms)
        return await self.wait_for_assumed_age()

    async def test_backend_listed_later_is_new_when_dispatcher_clock_is_an_hour_ahead(self) -> None:
        self.assertLess(
            await self.assumed_age_of_later_backend(dispatcher_clock_ahead_ms=HOUR_MS), MAX_ASSUMED_AGE_TICKS
        )

    async def test_backend_listed_later_is_new_when_dispatcher_clock_is_seconds_ahead(self) -> None:
        self.assertLess(
            await self.assumed_age_of_later_backend(dispatcher_clock_ahead_ms=8_000), MAX_ASSUMED_AGE_TICKS
        )

    async def test_backend_listed_later_is_new_when_its_clock_is_an_hour_behind(self) -> None:
        self.assertLess(
            await self.assumed_age_of_later_backend(backend_clock_ahead_ms=-HOUR_MS), MAX_ASSUMED_AGE_TICKS
        )

    async def test_slow_start_is_not_extended_when_dispatcher_clock_is_an_hour_behind(self) -> None:
        self.assertGreaterEqual(
            await self.assumed_age_of_later_backend(dispatcher_clock_ahead_ms=-HOUR_MS), 0
        )

    async def test_slow_start_is_not_extended_when_backend_clock_is_an_hour_ahead(self) -> None:
        self.assertGreaterEqual(await self.assumed_age_of_later_backend(backend_clock_ahead_ms=HOUR_MS), 0)

    async def test_start_times_are_preserved_when_clocks_are_right(self) -> None:
        """A long-running backend is warm in the first snapshot; a later snapshot preserves its start time."""
        await self.prepare(dispatcher_ahead_ms=0)
        self.list_second_backend(self.true_time_ms() - 5 * HOUR_MS)
        self.endpoints_changed.clear()
        self.config["known"] = self.discovery_answer()
        await self.start_with_wrong_clock()
        self.assertGreater(await self.wait_for_assumed_age(), 4 * HOUR_MS * 10)
        boot_ms = self.true_time_ms() - 1000
        self.list_second_backend(boot_ms)
        registry = self.application.backend_registry
        now = self.application.timers.clock.now
        await self.until(lambda: now() - registry.records[1].endpoint.started_at < MAX_ASSUMED_AGE_TICKS)
        started_at = registry.records[1].endpoint.started_at
        self.assertAlmostEqual(started_at, boot_ms * 10, delta=200)
        counters = self.application.metrics.counters
        snapshots = counters["discovery-snapshots"]
        self.list_second_backend(boot_ms)
        await self.until(lambda: counters["discovery-snapshots"] > snapshots)
        self.assertEqual(registry.records[1].endpoint.started_at, started_at)
