"""Requests of clients that close their connection while much of what they wrote is still unread."""

import asyncio
import socket

from tests.fixtures import read_message
from tests.loopback import ACCEPTED, NOT_PROCESSED, REQUEST, DispatcherTestCase
from tests.overload.scene import SERVE

CLIENTS = 60
FLOOD_BYTES = 2_000_000
NOTICE_SECONDS = 0.1  # after a close, in which an attempt may still begin
TURNED_AWAY_AFTER = 0.3  # seconds after which the backend hands back a first attempt


class LeavingClientTest(DispatcherTestCase):
    async def start_dispatcher(self, *, hand_back: bool) -> None:
        self.loop = asyncio.get_running_loop()
        self.received_at: list[float] = []

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_message(reader)
                if not head.startswith("POST"):
                    writer.write(ACCEPTED)
                    continue
                self.received_at.append(self.loop.time())
                if hand_back:
                    await asyncio.sleep(TURNED_AWAY_AFTER)
                writer.write(NOT_PROCESSED if hand_back else ACCEPTED)

        await self.begin(backend)
        self.config["limits"] = {"memory_mb": 192, "sockets": 1024}
        await self.start_process(SERVE)

    def flood_and_leave(self, name: str) -> None:
        """Writes as many requests as the kernel takes at once, and closes the connection."""
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, FLOOD_BYTES)
            sock.connect(("127.0.0.1", self.port))
            sock.setblocking(False)
            requests = [REQUEST.replace(b"u1", f"{name}-{number}".encode()) for number in range(20_000)]
            sock.send(b"".join(requests))

    async def latest_attempt_after_close(self) -> float:
        """Returns the seconds from the last close of a client to the last attempt."""
        for number in range(CLIENTS):
            self.flood_and_leave(f"c{number}")
            await asyncio.sleep(0)
        closed_at = self.loop.time()
        await asyncio.sleep(3.0)
        self.assertTrue(self.received_at)
        return max(self.received_at) - closed_at

    # Guards against requests of a client whose close stands behind unread bytes.
    async def test_requests_of_client_that_has_left_are_not_sent_on(self) -> None:
        for hand_back in (False, True):
            with self.subTest(hand_back=hand_back):
                await self.start_dispatcher(hand_back=hand_back)
                self.assertLessEqual(await self.latest_attempt_after_close(), NOTICE_SECONDS)
