"""The memory limit under clients that make the dispatcher hold or build more than they send."""

import asyncio

from tests.overload.scene import OverloadTestCase, resident_megabytes

MEMORY_LIMIT_MEGABYTES = 192
DESCRIPTORS = 1024
HUNDREDS = DESCRIPTORS // 3  # clients hold a third of the descriptors at most for requests
MOST_CLIENTS = 700  # more than the connections that the descriptors allow
SECONDS = 8.0
SERVED_SHARE = 0.8  # of the usual requests, beside as many bad clients as the descriptors allow


class MemoryTest(OverloadTestCase):
    async def peak_beside(self, kind: str, clients: int, memory_mb: int = MEMORY_LIMIT_MEGABYTES) -> float:
        """Returns the peak of the memory in megabytes, after a check that usual clients were served."""
        await self.start_dispatcher(memory_mb, DESCRIPTORS)
        await self.start_bad_clients(kind, clients, SECONDS)
        usual, peak = await asyncio.gather(self.send_usual_requests(SECONDS), self.peak_memory(SECONDS))
        self.assertIsNone(self.process.returncode, "the process ended by itself")
        self.assertGreaterEqual(usual.served_share(), SERVED_SHARE, f"{usual}")
        return peak

    # Guards against heads of 16 KB that h11 turns into 400 KB of objects each.
    async def test_heads_of_short_fields_stay_within_limit(self) -> None:
        for kind in ("many-fields", "many-fields-slowly", "trailers"):
            with self.subTest(kind):
                self.assertLess(await self.peak_beside(kind, HUNDREDS), MEMORY_LIMIT_MEGABYTES)

    # Guards against large requests and their copies, which no limit summed up over all clients.
    async def test_large_requests_stay_within_limit(self) -> None:
        limit = 64
        # Whole requests are open until their deadline; more of them than connections would be an overload.
        clients_of_kind = {
            "stop-in-body": MOST_CLIENTS,
            "body-slowly": MOST_CLIENTS,
            "small-chunks": MOST_CLIENTS,
            "whole-requests": HUNDREDS,
        }
        for kind, clients in clients_of_kind.items():
            with self.subTest(kind):
                self.assertLess(await self.peak_beside(kind, clients, limit), limit)

    # Guards against requests that are executed on after their clients have left, with all that these sent.
    async def test_requests_of_clients_that_left_stay_within_limit(self) -> None:
        limit = 64
        unsafe_class = {"name": "g", "effect": "unsafe", "cut-off": 300_000_000, "expected-time": 2_000_000}
        settings = {
            "allowed": {"most-dispatches": 2, "cancel": False},
            "service-grades": [unsafe_class],
        }
        await self.start_dispatcher(limit, DESCRIPTORS, **settings)
        await self.start_bad_clients("leave-after-request", HUNDREDS, SECONDS)
        self.assertLess(await self.peak_memory(SECONDS), limit)
        self.assertGreater(len(self.received_ids), 1000)

    # Guards against input that is read behind an open request and counted anew after each answer.
    async def test_pipelined_requests_do_not_grow_memory(self) -> None:
        await self.start_dispatcher(MEMORY_LIMIT_MEGABYTES, DESCRIPTORS)
        await self.send_usual_requests(1.0)
        before = resident_megabytes(self.process.pid)
        await self.start_bad_clients("pipeline-after-answer", 8, SECONDS)
        peak = await self.peak_memory(SECONDS)
        allowed_growth = 8 * 1.0  # megabytes: a connection holds 64 KB of input, with its copies at most 1 MB
        self.assertLess(peak - before, allowed_growth)


class MemoryInReplacementTest(OverloadTestCase):
    # Guards against two processes that use up the limit of one dispatcher each.
    async def test_two_processes_stay_within_one_limit(self) -> None:
        limit = 96
        self.enable_replacement()
        await self.start_dispatcher(limit, DESCRIPTORS)
        predecessor = self.process
        await self.start_bad_clients("whole-requests", HUNDREDS, 2 * SECONDS)
        await self.start_bad_clients("small-chunks", HUNDREDS, 2 * SECONDS)
        peak = await self.peak_memory(SECONDS / 2)
        await self.start_successor()
        await self.start_bad_clients("stop-in-body", HUNDREDS, SECONDS)
        await self.start_bad_clients("small-chunks", HUNDREDS, SECONDS)
        peak = max(peak, await self.peak_memory(SECONDS, predecessor))
        self.assertIsNone(predecessor.returncode)
        self.assertIsNone(self.process.returncode)
        self.assertLess(peak, limit)
