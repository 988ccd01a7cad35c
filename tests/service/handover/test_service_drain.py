"""Drains of the dispatcher while a process of it is replaced, with real processes."""

import asyncio
import signal

from tests.fixtures import read_message
from tests.loopback import HEALTH_CHECK
from tests.replacement_scene import SERVE, ReplacementTestCase


class ServiceDrainTest(ReplacementTestCase):
    async def start_old(self) -> None:
        await self.start()
        await self.start_process(SERVE, self.folder)
        self.old, self.old_admin = self.process, self.admin_port

    async def start_new(self) -> None:
        await self.start_process(SERVE, self.folder)
        self.new, self.new_admin = self.process, self.admin_port
        await self.until_answer(self.new_admin, "ready", "200 ready")

    async def until_answer(self, port: int, path: str, answer: str) -> None:
        async with asyncio.timeout(6):
            while await self.call(port, path, "GET") != answer:  # noqa: ASYNC110 - no event is set for it
                await asyncio.sleep(0.02)

    async def health(self) -> str:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(HEALTH_CHECK)
        head, _ = await read_message(reader)
        writer.close()
        return head.split()[1]

    async def assert_drains_and_serves_again(self, admin_port: int) -> None:
        self.assertEqual(await self.health(), "200")
        self.assertEqual(await self.call(admin_port, "out-of-service"), "200 out of service")
        self.assertEqual(await self.health(), "503")
        self.assertEqual(await self.call(admin_port, "in-service"), "200 in service")
        self.assertEqual(await self.health(), "200")

    # Guards against a drain that is accepted by a process that is being replaced and does not take place.
    async def test_calls_at_predecessor_bind_successor(self) -> None:
        await self.start_old()
        await self.start_new()
        await self.assert_drains_and_serves_again(self.old_admin)
        await self.assert_drains_and_serves_again(self.new_admin)

    # Guards against the same while the predecessor shuts down.
    async def test_calls_at_predecessor_that_shuts_down_bind_successor(self) -> None:
        await self.start_old()
        pending = await self.send_pending("held1")
        await self.start_new()
        self.old.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        await self.assert_drains_and_serves_again(self.old_admin)
        await self.finish("held1")
        await asyncio.gather(*pending)

    # Guards against a drain that is lost when the process at which it was called dies.
    async def test_drain_called_at_successor_holds_when_successor_dies(self) -> None:
        await self.start_old()
        await self.start_new()
        self.assertEqual(await self.call(self.new_admin, "out-of-service"), "200 out of service")
        await self.kill_process(self.new)
        await asyncio.sleep(0.3)
        self.assertEqual(await self.health(), "503")
        self.assertEqual(await self.call(self.old_admin, "in-service"), "200 in service")
        self.assertEqual(await self.health(), "200")

    # Guards against a successor that serves although the dispatcher was drained before.
    async def test_successor_of_drained_process_is_ready_and_drained(self) -> None:
        await self.start_old()
        self.assertEqual(await self.call(self.old_admin, "out-of-service"), "200 out of service")
        await self.start_new()
        self.assertEqual(await self.health(), "503")
        self.old.send_signal(signal.SIGTERM)
        await self.old.wait()
        self.assertEqual(await self.health(), "503")
        self.assertEqual(await self.call(self.new_admin, "ready", "GET"), "200 ready")
        self.assertEqual(await self.call(self.new_admin, "in-service"), "200 in service")
        self.assertEqual(await self.health(), "200")

    # Guards against a drain that is forgotten when all processes of the dispatcher die.
    async def test_drain_holds_after_kill(self) -> None:
        await self.start_old()
        self.assertEqual(await self.call(self.old_admin, "out-of-service"), "200 out of service")
        await self.kill_process(self.old)
        await self.start_new()
        self.assertEqual(await self.health(), "503")

    # Guards against a yes for a drain that the process that serves has not applied.
    async def test_drain_is_not_confirmed_while_successor_is_suspended(self) -> None:
        await self.start_old()
        await self.start_new()
        self.new.send_signal(signal.SIGSTOP)
        try:
            self.assertEqual(await self.call(self.old_admin, "out-of-service"), "503 unconfirmed")
        finally:
            self.new.send_signal(signal.SIGCONT)
        await asyncio.sleep(0.3)
        self.assertEqual(await self.health(), "503")
        self.assertEqual(await self.call(self.old_admin, "out-of-service"), "200 out of service")
