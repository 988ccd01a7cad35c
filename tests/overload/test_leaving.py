"""Requests of clients that close their connection while much of what they wrote is still unread."""

import asyncio
import socket

from tests.fixtures import read_message
from tests.loopback import ACCEPTED, NOT_PROCESSED, REQUEST, DispatcherTestCase
from tests.overload.scene import SERVE

CLIENTS = 120
REQUESTS = 4_000  # of each client, about 500 KB
NOTICE_SECONDS = 0.1  # after a close, in which an attempt may still begin
HANDED_BACK_AFTER = 0.3  # seconds after which the backend hands back a first attempt


class LeavingClientTest(DispatcherTestCase):
    async def start_dispatcher(self, *, hand_back: bool) -> None:
        self.loop = asyncio.get_running_loop()
        self.attempts: list[tuple[str, float]] = []  # name of the client, and when its request was received

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_message(reader)
                if not head.startswith("POST"):
                    writer.write(ACCEPTED)
                    continue
                request_id = head.lower().partition("x-request-id: ")[2].split()[0]
                self.attempts.append((request_id.partition("-")[0], self.loop.time()))
                if hand_back:
                    await asyncio.sleep(HANDED_BACK_AFTER)
                writer.write(NOT_PROCESSED if hand_back else ACCEPTED)

        await self.begin(backend)
        self.config["limits"] = {"memory_mb": 192, "sockets": 1024}
        await self.start_process(SERVE)

    def flood_and_leave(self, requests: bytes) -> float:
        """Writes as many requests as the kernel takes at once; returns when the connection was closed."""
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, len(requests))
            sock.connect(("127.0.0.1", self.port))
            sock.setblocking(False)
            sock.send(requests)
        return self.loop.time()

    async def latest_attempt_after_close(self) -> float:
        """Returns the most seconds from the close of a client to an attempt of one of its requests."""
        floods = {
            f"c{client}": b"".join(
                REQUEST.replace(b"u1", f"c{client}-{number}".encode()) for number in range(REQUESTS)
            )
            for client in range(CLIENTS)
        }
        closed_at = {}
        for name, requests in floods.items():
            closed_at[name] = self.flood_and_leave(requests)
            await asyncio.sleep(0.002)  # the backend of the test runs on the same event loop
        await asyncio.sleep(3.0)
        self.assertTrue(self.attempts)
        return max(received_at - closed_at[name] for name, received_at in self.attempts)

    # Guards against requests of a client whose close stands behind unread bytes.
    async def test_requests_of_client_that_has_left_are_not_sent_on(self) -> None:
        for hand_back in (False, True):
            with self.subTest(hand_back=hand_back):
                await self.start_dispatcher(hand_back=hand_back)
                self.assertLessEqual(await self.latest_attempt_after_close(), NOTICE_SECONDS)
