"""Connections between cluster members.

Each voter opens a connection to every other voter and sends messages over it. A follower opens a connection
to its voter, and both send over it. Send buffers are bounded: a connection whose receiver does not read is
aborted, and the next message opens a new one.
"""

import asyncio
import contextlib
import logging
from collections.abc import Coroutine
from random import Random
from typing import Any, Protocol

from crankfold.cluster.framing import (
    MAX_HELLO_FRAME_BYTES,
    PROTOCOL_VERSION,
    FrameDecoder,
    Hello,
    ProtocolError,
    encode_frame,
)
from crankfold.consensus.messages import Message, Rejection
from crankfold.errors import drop_traceback
from crankfold.network.acceptor import AcceptLimits, Acceptor, open_listening_socket
from crankfold.network.metrics import Metrics

READ_BYTES = 64 * 1024
MAX_UNSENT_BYTES = 8 * 1024 * 1024
MAX_INCOMING_CONNECTIONS = 2048
MAX_UNIDENTIFIED_CONNECTIONS = 64
LIMITS = AcceptLimits(backlog=128, read_limit=READ_BYTES, accepts_per_iteration=16)
HELLO_TIMEOUT_SECONDS = 2.0
CONNECT_TIMEOUT_SECONDS = 1.0
MIN_RECONNECT_DELAY_SECONDS = 0.05
MAX_RECONNECT_DELAY_SECONDS = 0.5
RECONNECT_BACKOFF_FACTOR = 2

logger = logging.getLogger(__name__)
LOG_CATEGORY = {"category": "cluster"}


class TransportHandler(Protocol):
    """The member to which a transport delivers messages."""

    def admit(self, hello: Hello) -> str:
        """Admits the sender of a hello; returns the reason if it is not admitted, else an empty string."""

    def handle_message(self, sender: str, message: Message) -> None:
        """Handles a message from `sender`."""


class Transport:
    """The connections of one member.

    Attributes:
        addresses: Host and port, by name, of the voters to which the member connects.
    """

    def __init__(
        self,
        hello: Hello,
        addresses: dict[str, tuple[str, int]],
        *,
        metrics: Metrics,
        handler: TransportHandler,
    ) -> None:
        """Starts without connections; `hello` is the first message on each outgoing one."""
        self.addresses = addresses
        self._hello = hello
        self._metrics = metrics
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self._outgoing: dict[str, asyncio.StreamWriter] = {}
        self._incoming: dict[str, asyncio.StreamWriter] = {}
        self._accepted: set[asyncio.StreamWriter] = set()  # including those that have not sent a hello yet
        self._unidentified: dict[asyncio.StreamWriter, None] = {}  # those without a hello, the oldest first
        self._closed = False
        self._active_receivers: set[str] = set()
        self._reconnect_not_before: dict[str, float] = {}
        self._reconnect_delay: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._jitter = Random(hello.incarnation)
        self._acceptor: Acceptor | None = None

    def open(self, host: str, port: int) -> None:
        """Listens for connections from other members.

        Raises:
            OSError: The address cannot be bound.
        """
        listening_socket = open_listening_socket(host, port, LIMITS)
        self._acceptor = Acceptor(listening_socket, self._run_incoming, self._metrics, LIMITS)

    def send(self, receiver: str, message: Message) -> None:
        """Sends a message; without a connection, drops it and starts to connect.

        Senders repeat their requests, so messages need not be queued until the connection is open.
        """
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
        has_address = receiver in self.addresses
        backoff_is_over = self._loop.time() >= self._reconnect_not_before.get(receiver, 0)
        if has_address and backoff_is_over and not self._closed and receiver not in self._active_receivers:
            self._active_receivers.add(receiver)
            self._spawn(self._run_outgoing(receiver))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_outgoing(self, receiver: str) -> None:
        writer = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(*self.addresses[receiver], limit=READ_BYTES)
            writer.write(encode_frame(self._hello))
            self._outgoing[receiver] = writer
            self._reconnect_delay.pop(receiver, None)
            await self._read_messages(receiver, reader, FrameDecoder(), [])
        except ProtocolError as error:
            logger.warning("protocol error from %s: %s", receiver, error, extra=LOG_CATEGORY)
        except (OSError, TimeoutError) as error:
            drop_traceback(error)  # the connection failed or was reset: a later message opens a new one
        finally:
            self._active_receivers.discard(receiver)
            self._outgoing.pop(receiver, None)
            if writer:
                writer.close()
            self._delay_reconnect(receiver)

    def _delay_reconnect(self, receiver: str) -> None:
        """Backs off exponentially, with jitter so that members do not reconnect at the same time."""
        previous = self._reconnect_delay.get(receiver, MIN_RECONNECT_DELAY_SECONDS)
        delay = min(RECONNECT_BACKOFF_FACTOR * previous, MAX_RECONNECT_DELAY_SECONDS)
        self._reconnect_delay[receiver] = delay
        self._reconnect_not_before[receiver] = self._loop.time() + self._jitter.uniform(delay / 2, delay)

    async def _run_incoming(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        name = ""
        self._accepted.add(writer)
        try:
            if self._closed or len(self._incoming) >= MAX_INCOMING_CONNECTIONS:
                return
            self._unidentified[writer] = None
            self._evict_unidentified()
            decoder = FrameDecoder(MAX_HELLO_FRAME_BYTES)
            messages = await self._read_first_messages(reader, decoder)
            if self._closed or not messages:
                return
            name = self._admit(messages[0], writer)
            if name:
                self._unidentified.pop(writer, None)
                await self._read_messages(name, reader, decoder, messages[1:])
        except ProtocolError as error:
            logger.warning("protocol error from %s: %s", name or "unknown", error, extra=LOG_CATEGORY)
        except (OSError, TimeoutError) as error:
            drop_traceback(error)  # the sender opens a new connection
        finally:
            self._accepted.discard(writer)
            self._unidentified.pop(writer, None)
            if name and self._incoming.get(name) is writer:
                del self._incoming[name]
            with contextlib.suppress(OSError):
                writer.close()

    def _evict_unidentified(self) -> None:
        """Closes the oldest connection without a hello if there are too many."""
        if len(self._unidentified) > MAX_UNIDENTIFIED_CONNECTIONS:
            oldest = next(iter(self._unidentified))
            del self._unidentified[oldest]
            oldest.transport.abort()
            self._metrics.increment("cluster-connections-evicted")

    @staticmethod
    async def _read_first_messages(
        reader: asyncio.StreamReader, decoder: FrameDecoder
    ) -> list[Message | Hello]:
        """Returns the first messages of a connection; an empty list if it ends before any."""
        async with asyncio.timeout(HELLO_TIMEOUT_SECONDS):
            while True:
                data = await reader.read(READ_BYTES)
                if not data:
                    return []
                messages = decoder.feed(data)
                if messages:
                    return messages

    def _admit(self, hello: Message | Hello, writer: asyncio.StreamWriter) -> str:
        """Returns the name of the sender of a new connection; empty if it is not admitted.

        Raises:
            ProtocolError: The first message is not a hello of this protocol version.
        """
        if not isinstance(hello, Hello) or hello.protocol_version != PROTOCOL_VERSION:
            raise ProtocolError(f"the first message is not a hello of protocol version {PROTOCOL_VERSION}")
        error = self._handler.admit(hello)
        if error:
            logger.warning("%s not admitted: %s", hello.name, error, extra=LOG_CATEGORY)
            writer.write(encode_frame(Rejection(error)))
            return ""
        previous = self._incoming.get(hello.name)
        self._incoming[hello.name] = writer
        if previous:
            previous.transport.abort()  # a member has one connection, so the earlier one is broken
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
                    raise ProtocolError("received a second hello")
                self._metrics.increment("cluster-messages-received")
                self._handler.handle_message(sender, message)
            data = await reader.read(READ_BYTES)
            if not data:
                return
            messages = decoder.feed(data)

    async def close(self) -> None:
        """Stops listening and closes all connections, including accepted ones that have not sent a hello yet.

        If the latter stayed open, their senders would keep using them instead of connecting to the next voter
        at the same address.
        """
        self._closed = True
        if self._acceptor:
            self._acceptor.close()
            self._acceptor = None
        for writer in [*self._outgoing.values(), *self._accepted]:
            writer.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
