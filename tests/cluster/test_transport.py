"""Closing a transport at each step of accepting a connection."""

import asyncio
import socket
import unittest

from crankfold.cluster.framing import LENGTH_BYTES, PROTOCOL_VERSION, FrameDecoder, Hello, encode_frame
from crankfold.cluster.transport import MAX_UNIDENTIFIED_CONNECTIONS, Transport
from crankfold.consensus.messages import Message, Rejection
from crankfold.fault_injection.loopback import HOST, find_free_port
from crankfold.network.metrics import Metrics
from tests.ended_connections import EndedConnectionsTestCase

# Iterations of the event loop between connecting and closing: at first the connection is in the accept queue,
# after the last of them the transport waits for its hello.
ITERATIONS = range(8)
# Less than the timeout of the hello, which would close the connection too.
CLOSE_TIMEOUT_SECONDS = 1.0
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


async def run_event_loop(iterations: int) -> None:
    """Runs the event loop for some iterations."""
    for _ in range(iterations):
        await asyncio.sleep(0)


class TransportCloseTest(unittest.IsolatedAsyncioTestCase):
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

    async def receive_until_closed(self, client: socket.socket) -> bytes:
        """Returns what a connection receives before it is closed or reset."""
        loop = asyncio.get_running_loop()
        received = b""
        async with asyncio.timeout(CLOSE_TIMEOUT_SECONDS):
            try:
                while data := await loop.sock_recv(client, 1024):
                    received += data
            except ConnectionResetError:
                pass
        return received

    # Guards against senders that are not identified and take memory and descriptors from the dispatcher.
    async def test_unidentified_senders_are_bounded_in_size_and_number(self) -> None:
        await self.open_transport()
        client = self.connect()
        client.sendall((8 * 1024 * 1024).to_bytes(LENGTH_BYTES, "big"))
        self.assertEqual(await self.receive_until_closed(client), b"")
        clients = [self.connect() for _ in range(MAX_UNIDENTIFIED_CONNECTIONS + 1)]
        self.assertEqual(await self.receive_until_closed(clients[0]), b"")
        clients[1].sendall(encode_frame(SENDER_HELLO))
        async with asyncio.timeout(CLOSE_TIMEOUT_SECONDS):
            while not self.handler.admitted:  # noqa: ASYNC110 - no event is set for this
                await asyncio.sleep(0.01)

    # Guards against a closed member that reconnects while another process may already use its name.
    async def test_send_after_close_opens_no_connection(self) -> None:
        receiver = await self.open_transport()
        closed = make_transport("n1", RecordingHandler(), {"n0": (HOST, self.port)})
        await closed.close()
        closed.send("n0", Rejection("late"))
        await asyncio.sleep(0.05)
        self.assertEqual(self.handler.admitted, [])
        await receiver.close()

    async def test_close_ends_connection_that_has_sent_no_hello(self) -> None:
        for iterations in ITERATIONS:
            with self.subTest(iterations=iterations):
                transport = await self.open_transport()
                client = self.connect()
                await run_event_loop(iterations)
                await transport.close()
                self.assertEqual(await self.receive_until_closed(client), b"")

    async def test_hello_that_arrives_during_close_is_not_admitted(self) -> None:
        for iterations in ITERATIONS:
            with self.subTest(iterations=iterations):
                transport = await self.open_transport()
                client = self.connect()
                await run_event_loop(iterations)
                client.send(encode_frame(SENDER_HELLO) + encode_frame(Rejection("no")))
                await transport.close()
                self.assertEqual(await self.receive_until_closed(client), b"")
        self.assertEqual((self.handler.admitted, self.handler.messages), ([], []))

    async def test_sender_reaches_transport_opened_after_previous_one_closes(self) -> None:
        for iterations in ITERATIONS:
            with self.subTest(iterations=iterations):
                sender = make_transport("n1", RecordingHandler(), {"n0": (HOST, self.port)})
                self.addAsyncCleanup(sender.close)
                closing = await self.open_transport()
                sender.send("n0", Rejection("connect"))
                await run_event_loop(iterations)
                await closing.close()
                handler = RecordingHandler()
                successor = await self.open_transport(handler)
                async with asyncio.timeout(CLOSE_TIMEOUT_SECONDS):
                    while not handler.messages:
                        sender.send("n0", Rejection("again"))
                        await asyncio.sleep(0.01)
                self.assertEqual(handler.messages[0], ("n1", Rejection("again")))
                await sender.close()
                await successor.close()


class TransportMemoryTest(EndedConnectionsTestCase):
    # Guards against errors whose frames hold a decoder, with up to 8 MiB of an incomplete frame.
    async def test_ended_connections_of_members_leave_nothing(self) -> None:
        transport = make_transport("n0", RecordingHandler(), {})
        port = find_free_port()
        transport.open(HOST, port)
        self.addAsyncCleanup(transport.close)
        incomplete_frame = (1 << 20).to_bytes(LENGTH_BYTES, "big") + b"x" * 60_000
        malformed_frame = (1).to_bytes(LENGTH_BYTES, "big") + b"x" * 60_000

        async def play_members() -> None:
            hello = encode_frame(SENDER_HELLO)
            for data in (incomplete_frame, hello + incomplete_frame, hello + malformed_frame):
                await self.play_client(port, data, host=HOST, awaits_response=False, resets=True)

        await self.assert_released(play_members, FrameDecoder, asyncio.StreamReader)
