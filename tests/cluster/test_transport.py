"""The connections of a member that closes, at each step of accepting one."""

import asyncio
import socket
import unittest

from crankfold.cluster.framing import PROTOCOL_VERSION, Hello, encode_frame
from crankfold.cluster.transport import Transport
from crankfold.consensus.messages import Message, Rejection
from crankfold.fault_injection.http_client import HOST, find_free_port
from crankfold.network.metrics import Metrics

# Iterations of the event loop between a connection and the close: from one that waits in the accept queue to
# one whose hello is awaited.
ITERATIONS = range(8)
# Seconds. Less than the timeout of a hello, which would close the connection by itself.
CLOSE_TIMEOUT = 1.0
SENDER_HELLO = Hello(PROTOCOL_VERSION, "n1", 1, "folder")


class RecordingHandler:
    """Admits each sender, and records the senders and their messages."""

    def __init__(self) -> None:
        self.admitted: list[str] = []
        self.messages: list[tuple[str, Message]] = []

    def admit(self, hello: Hello) -> str:
        self.admitted.append(hello.name)
        return ""

    def handle_message(self, sender: str, message: Message) -> None:
        self.messages.append((sender, message))


def make_transport(name: str, handler: RecordingHandler, addresses: dict[str, tuple[str, int]]) -> Transport:
    hello = Hello(PROTOCOL_VERSION, name, 1, name)
    return Transport(hello, addresses, metrics=Metrics(), handler=handler)


async def iterate(iterations: int) -> None:
    """Lets the event loop run so many iterations."""
    for _ in range(iterations):
        await asyncio.sleep(0)


class ClosedTransportTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.port = find_free_port()
        self.handler = RecordingHandler()

    async def open_transport(self, handler: RecordingHandler | None = None) -> Transport:
        transport = make_transport("n0", handler or self.handler, {})
        transport.open(HOST, self.port)
        self.addAsyncCleanup(transport.close)
        return transport

    def connect(self) -> socket.socket:
        client = self.enterContext(socket.create_connection((HOST, self.port)))
        client.setblocking(False)
        return client

    async def received_until_closed(self, client: socket.socket) -> bytes:
        """What a connection receives before it is closed or reset."""
        loop = asyncio.get_running_loop()
        received = b""
        async with asyncio.timeout(CLOSE_TIMEOUT):
            try:
                while data := await loop.sock_recv(client, 1024):
                    received += data
            except ConnectionResetError:
                pass
        return received

    # Guards against a member that has left and connects once more, when another process may have its name.
    async def test_a_message_after_the_close_opens_no_connection(self) -> None:
        receiver = await self.open_transport()
        closed = make_transport("n1", RecordingHandler(), {"n0": (HOST, self.port)})
        await closed.close()
        closed.send("n0", Rejection("late"))
        await asyncio.sleep(0.05)
        self.assertEqual(self.handler.admitted, [])
        await receiver.close()

    async def test_a_connection_without_its_hello_is_closed_with_the_transport(self) -> None:
        for iterations in ITERATIONS:
            with self.subTest(iterations=iterations):
                transport = await self.open_transport()
                client = self.connect()
                await iterate(iterations)
                await transport.close()
                self.assertEqual(await self.received_until_closed(client), b"")

    async def test_a_hello_that_comes_with_the_close_is_not_admitted(self) -> None:
        for iterations in ITERATIONS:
            with self.subTest(iterations=iterations):
                transport = await self.open_transport()
                client = self.connect()
                await iterate(iterations)
                client.send(encode_frame(SENDER_HELLO) + encode_frame(Rejection("no")))
                await transport.close()
                self.assertEqual(await self.received_until_closed(client), b"")
        self.assertEqual((self.handler.admitted, self.handler.messages), ([], []))

    async def test_a_sender_reaches_the_transport_that_is_opened_after_one_that_closes(self) -> None:
        for iterations in ITERATIONS:
            with self.subTest(iterations=iterations):
                sender = make_transport("n1", RecordingHandler(), {"n0": (HOST, self.port)})
                self.addAsyncCleanup(sender.close)
                closing = await self.open_transport()
                sender.send("n0", Rejection("connect"))
                await iterate(iterations)
                await closing.close()
                handler = RecordingHandler()
                successor = await self.open_transport(handler)
                async with asyncio.timeout(CLOSE_TIMEOUT):
                    while not handler.messages:
                        sender.send("n0", Rejection("again"))
                        await asyncio.sleep(0.01)
                self.assertEqual(handler.messages[0], ("n1", Rejection("again")))
                await sender.close()
                await successor.close()
