"""Connections between cluster members.

Each voter connects to each other one; a follower connects to a voter and hears from it on the same
connection. What waits to be sent is bounded: a receiver that does not read is disconnected, and connected to
again.
"""

import asyncio
import contextlib
import logging
from collections.abc import Coroutine
from random import Random
from typing import Any, Protocol

from crankfold.cluster.framing import (
    PROTOCOL_VERSION,
    FrameDecoder,
    Hello,
    ProtocolError,
    encode_frame,
)
from crankfold.consensus.messages import Message, Rejection
from crankfold.network.acceptor import AcceptLimits, Acceptor, open_listening_socket
from crankfold.network.metrics import Metrics

READ_SIZE = 64 * 1024  # bytes
MAX_UNSENT_BYTES = 8 * 1024 * 1024
MAX_INCOMING = 2048  # connections
LIMITS = AcceptLimits(backlog=128, read_limit=READ_SIZE, accepts_per_iteration=16)
HELLO_TIMEOUT = 2.0  # seconds
CONNECT_TIMEOUT = 1.0  # seconds
MIN_RECONNECT_DELAY = 0.05  # seconds
MAX_RECONNECT_DELAY = 0.5  # seconds

logger = logging.getLogger(__name__)
LOG_CATEGORY = {"category": "cluster"}


class TransportHandler(Protocol):
    """The member that the connections are for."""

    def admission_error(self, hello: Hello) -> str:
        """Why the sender of a hello is not admitted; empty if it is."""

    def handle_message(self, sender: str, message: Message) -> None:
        """Takes a message."""


class Transport:
    """The connections of one member.

    Attributes:
        addresses: Host and port of the voters that it connects to, by name.
    """

    def __init__(
        self,
        hello: Hello,
        addresses: dict[str, tuple[str, int]],
        *,
        metrics: Metrics,
        handler: TransportHandler,
    ) -> None:
        """Connects to nobody yet; `hello` is how the member introduces itself."""
        self.addresses = addresses
        self._hello = hello
        self._metrics = metrics
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self._outgoing: dict[str, asyncio.StreamWriter] = {}
        self._incoming: dict[str, asyncio.StreamWriter] = {}
        self._connecting: set[str] = set()
        self._reconnect_not_before: dict[str, float] = {}
        self._reconnect_delay: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._jitter = Random(hello.incarnation)
        self._acceptor: Acceptor | None = None

    def open(self, host: str, port: int) -> None:
        """Listens for connections of other members.

        Raises:
            OSError: The address cannot be listened at.
        """
        listening = open_listening_socket(host, port, LIMITS)
        self._acceptor = Acceptor(listening, self._run_incoming, self._metrics, LIMITS)

    def send(self, receiver: str, message: Message) -> None:
        """Sends a message; it is lost without a connection, as whoever needs an answer asks again."""
        connections = self._outgoing if receiver in self.addresses else self._incoming
        writer = connections.get(receiver)
        if writer is None:
            self._connect(receiver)
            return
        if writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._metrics.increment("cluster-connections-overflowed")
            writer.transport.abort()
            return
        try:
            writer.write(encode_frame(message))
            self._metrics.increment("cluster-messages-sent")
        except ProtocolError as error:
            logger.warning("message to %s not sent: %s", receiver, error, extra=LOG_CATEGORY)

    def _connect(self, receiver: str) -> None:
        known = receiver in self.addresses
        due = self._loop.time() >= self._reconnect_not_before.get(receiver, 0)
        if known and due and receiver not in self._connecting:
            self._connecting.add(receiver)
            self._spawn(self._run_outgoing(receiver))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_outgoing(self, receiver: str) -> None:
        writer = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                reader, writer = await asyncio.open_connection(*self.addresses[receiver], limit=READ_SIZE)
            writer.write(encode_frame(self._hello))
            self._outgoing[receiver] = writer
            self._reconnect_delay.pop(receiver, None)
            await self._read_messages(receiver, reader, FrameDecoder(), [])
        except ProtocolError as error:
            logger.warning("protocol error from %s: %s", receiver, error, extra=LOG_CATEGORY)
        except (OSError, TimeoutError):
            pass  # nobody there, or the connection broke: the next message connects again
        finally:
            self._connecting.discard(receiver)
            self._outgoing.pop(receiver, None)
            if writer:
                writer.close()
            self._delay_reconnect(receiver)

    def _delay_reconnect(self, receiver: str) -> None:
        """The next attempt is later each time, and not at the same time as those of others."""
        delay = min(2 * self._reconnect_delay.get(receiver, MIN_RECONNECT_DELAY), MAX_RECONNECT_DELAY)
        self._reconnect_delay[receiver] = delay
        self._reconnect_not_before[receiver] = self._loop.time() + self._jitter.uniform(delay / 2, delay)

    async def _run_incoming(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        name = ""
        try:
            if len(self._incoming) >= MAX_INCOMING:
                return
            decoder = FrameDecoder()
            messages = await self._read_first(reader, decoder)
            if not messages:
                return
            name = self._admit(messages[0], writer)
            if name:
                await self._read_messages(name, reader, decoder, messages[1:])
        except ProtocolError as error:
            logger.warning("protocol error from %s: %s", name or "unknown", error, extra=LOG_CATEGORY)
        except (OSError, TimeoutError):
            pass  # the sender connects again
        finally:
            if name and self._incoming.get(name) is writer:
                del self._incoming[name]
            with contextlib.suppress(OSError):
                writer.close()

    @staticmethod
    async def _read_first(reader: asyncio.StreamReader, decoder: FrameDecoder) -> list[Message | Hello]:
        """The hello and what came with it; nothing if the connection ends before."""
        async with asyncio.timeout(HELLO_TIMEOUT):
            while True:
                data = await reader.read(READ_SIZE)
                if not data:
                    return []
                messages = decoder.feed(data)
                if messages:
                    return messages

    def _admit(self, hello: Message | Hello, writer: asyncio.StreamWriter) -> str:
        """The name of the member that a new connection is from; empty if it is not admitted.

        Raises:
            ProtocolError: The first message is no hello of this version.
        """
        if not isinstance(hello, Hello) or hello.protocol_version != PROTOCOL_VERSION:
            raise ProtocolError("no hello of this form")
        error = self._handler.admission_error(hello)
        if error:
            logger.warning("%s not admitted: %s", hello.name, error, extra=LOG_CATEGORY)
            writer.write(encode_frame(Rejection(error)))
            return ""
        previous = self._incoming.get(hello.name)
        self._incoming[hello.name] = writer
        if previous:
            previous.transport.abort()  # its bytes are from an earlier process, or from before a break
        return hello.name

    async def _read_messages(
        self,
        sender: str,
        reader: asyncio.StreamReader,
        decoder: FrameDecoder,
        messages: list[Message | Hello],
    ) -> None:
        while True:
            for message in messages:
                if isinstance(message, Hello):
                    raise ProtocolError("a second hello")
                self._metrics.increment("cluster-messages-received")
                self._handler.handle_message(sender, message)
            data = await reader.read(READ_SIZE)
            if not data:
                return
            messages = decoder.feed(data)

    async def close(self) -> None:
        """Ends all connections."""
        if self._acceptor:
            self._acceptor.close()
            self._acceptor = None
        for writer in [*self._outgoing.values(), *self._incoming.values()]:
            writer.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
