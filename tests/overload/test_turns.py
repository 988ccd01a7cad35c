"""The time of usual requests beside clients that keep the event loop busy."""

import asyncio

from tests.overload.scene import OverloadTestCase

SECONDS = 5.0
HUNDREDS = 341  # a third of the descriptors
DELAY_BY_ONE_CLIENT = 0.1  # seconds: 99 in 100 usual requests are delayed by no more
DELAY_BY_HUNDREDS = 0.5
SHARE_IN_TIME = 0.99


class TurnsTest(OverloadTestCase):
    async def assert_usual_requests_in_time(self, kind: str, clients: int, delay: float) -> None:
        await self.start_dispatcher()
        alone = await self.send_usual_requests(2.0)
        self.assertEqual(alone.missed, 0)
        await self.start_bad_clients(kind, clients, SECONDS + 1.0)
        await asyncio.sleep(0.5)  # until they have connected
        beside = await self.send_usual_requests(SECONDS)
        allowed = alone.percentile(SHARE_IN_TIME) + delay
        self.assertLessEqual(beside.percentile(SHARE_IN_TIME), allowed, f"alone: {alone}; beside: {beside}")

    # Guards against a turn of the event loop that answers all that one client has pipelined.
    async def test_usual_requests_are_in_time_beside_one_client(self) -> None:
        for kind in ("health-checks", "expired-requests", "unknown-callbacks", "new-names", "small-chunks"):
            with self.subTest(kind):
                await self.assert_usual_requests_in_time(kind, 1, DELAY_BY_ONE_CLIENT)

    # Guards against turns that grow with the number of clients, until no usual request is answered.
    async def test_usual_requests_are_in_time_beside_hundreds(self) -> None:
        for kind in ("health-checks", "expired-requests", "small-chunks", "many-fields", "unsound-requests"):
            with self.subTest(kind):
                await self.assert_usual_requests_in_time(kind, HUNDREDS, DELAY_BY_HUNDREDS)
