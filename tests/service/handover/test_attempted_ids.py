"""The ids of attempted requests at both processes of a replacement, with real processes."""

import asyncio
import signal

from tests.replacement_scene import SERVE, ReplacementTestCase


class AttemptedIdsTest(ReplacementTestCase):
    async def return_request(self) -> None:
        """Sends a request that the backend returns unstarted; it is shed."""
        self.received_ids.clear()
        (response,) = await self.send_pending("held1")
        await self.send_callback(id="held1", **{"from": "a"}, state="returned")
        self.assertEqual((await response)[0].split()[1], "503")

    # Guards against a callback for a request of the predecessor that ends an attempt of its successor.
    async def test_return_at_successor_is_uncertain_after_attempt_of_predecessor(self) -> None:
        await self.start()
        self.config["settings"]["allowed"]["most-dispatches"] = 1
        await self.start_process(SERVE, self.folder)
        await self.return_request()
        output = await self.start_process(SERVE, self.folder)
        await self.return_request()
        self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(10):
            self.assertIn("callbacks-of-uncertain-attempt", await output)
