"""Ids that come again after their client has left, at the same process or at the other one."""

import asyncio
from collections import Counter

from tests.fixtures import read_message
from tests.loopback import REQUEST
from tests.replacement_scene import SERVE, ReplacementTestCase

CONFLICT = "409"
IDS = 20


class RepeatedIdTest(ReplacementTestCase):
    """Requests with the prefix `held` are accepted by the backend and stay open; others are completed."""

    async def start_with_effect(self, effect: str) -> None:
        await self.start()
        request_class = self.config["settings"]["service-grades"][0]
        request_class |= {"effect": effect, "group": "all", "repeat-window": 2_000_000}
        await self.start_process(SERVE, self.folder)

    async def send_and_leave(self, request_id: str) -> None:
        """Sends a request, waits until the backend has accepted it, and closes the connection."""
        _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(REQUEST.replace(b"u1", request_id.encode()))
        await self.until(lambda: request_id in self.received_ids)
        writer.close()
        await asyncio.sleep(0.02)  # until the dispatcher has seen the close

    async def status_of(self, request_id: str) -> str:
        """Sends a request; returns the status of its answer, or `none` within the time of the client."""
        try:
            status, _ = await self.send_request(request_id, wait=0.5)
        except (TimeoutError, asyncio.IncompleteReadError):
            return "none"
        return status.split()[1]

    def repeated(self) -> list[str]:
        return [request_id for request_id, count in Counter(self.received_ids).items() if count > 1]

    # Guards against an id that nothing remembers once its client has left.
    async def test_id_whose_client_has_left_is_not_run_for_another_client(self) -> None:
        for effect in ("unsafe", "keyed"):
            with self.subTest(effect):
                await self.start_with_effect(effect)
                for number in range(IDS):
                    await self.send_and_leave(f"held-{number}")
                statuses = [await self.status_of(f"held-{number}") for number in range(IDS)]
                self.assertEqual((self.repeated(), set(statuses)), ([], {CONFLICT}))

    # Guards against a second effect of a request that was completed.
    async def test_id_that_was_completed_is_not_run_for_another_client(self) -> None:
        await self.start_with_effect("unsafe")
        self.assertEqual(await self.status_of("done-1"), "200")
        self.assertEqual(await self.status_of("done-1"), CONFLICT)
        self.assertEqual(self.repeated(), [])

    # Guards against ids that the other process of a replacement does not know.
    async def test_id_that_ran_at_predecessor_is_not_run_at_successor(self) -> None:
        await self.start_with_effect("unsafe")
        await self.send_and_leave("held-before")
        kept = await asyncio.open_connection("127.0.0.1", self.port)
        kept[1].write(REQUEST.replace(b"u1", b"done-kept"))
        await read_message(kept[0])
        await self.start_process(SERVE, self.folder)
        kept[1].write(REQUEST.replace(b"u1", b"held-beside"))
        await self.until(lambda: "held-beside" in self.received_ids)
        kept[1].close()
        await asyncio.sleep(0.05)
        for request_id in ("held-before", "done-kept", "held-beside"):
            self.assertEqual((request_id, await self.status_of(request_id)), (request_id, CONFLICT))
        self.assertEqual(self.repeated(), [])

    async def test_id_that_ran_at_successor_is_not_run_at_predecessor(self) -> None:
        await self.start_with_effect("unsafe")
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(REQUEST.replace(b"u1", b"done-kept"))
        await read_message(reader)
        await self.start_process(SERVE, self.folder)
        await self.send_and_leave("held-1")
        writer.write(REQUEST.replace(b"u1", b"held-1"))
        async with asyncio.timeout(5):
            head, _ = await read_message(reader)
        self.assertEqual(head.split()[1], CONFLICT)
        self.assertEqual(self.repeated(), [])

    async def test_id_of_request_without_attempt_may_come_again(self) -> None:
        await self.start_with_effect("unsafe")
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        expired = REQUEST.replace(b"u1", b"done-1").replace(b"X-Timeout: 1", b"X-Timeout: 0")
        writer.write(expired)
        self.assertIn(" 503 ", (await read_message(reader))[0])
        writer.close()
        self.assertEqual(self.received_ids, [])
        self.assertEqual(await self.status_of("done-1"), "200")
