"""Connects a process to the one that replaces it: a Unix socket, which also passes the listening one.

In the same directory lies the file of manual drains, for a start after both processes have died.
"""

import asyncio
import contextlib
import logging
import os
import socket
import stat
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple, Protocol

from crankfold.protocol.handover_messages import (
    HandoverDecoder,
    HandoverMessage,
    ManualDrainRecord,
    ProtocolError,
    decode_drain_record,
    encode_drain_record,
    encode_message,
)

logger = logging.getLogger(__name__)

ANSWER_TIMEOUT = 1.0  # seconds; a predecessor that hangs must not keep its successor from starting
READ_SIZE = 64 * 1024  # bytes
MAX_UNSENT_BYTES = 1024 * 1024
SOCKET_SIGNATURE = b"!"  # the byte with which the listening socket is passed
MAX_DESCRIPTORS = 4  # taken in one message; all but the first are closed


class HandoverChannelEvents(Protocol):
    """Who is told of other processes. They are given by numbers that are never used again."""

    def successor_found(self, process: int, sock: socket.socket, hello: HandoverMessage) -> None:
        """Another process has connected; `sock` is only for passing the listening socket, during the call."""

    def message_received(self, process: int, message: HandoverMessage) -> None:
        """A process says something."""

    def connection_lost(self, process: int) -> None:
        """A process has closed its connection, or sent what is no message."""


class PredecessorConnection(NamedTuple):
    """A process that answered: its number, its listening socket and the first message from it."""

    process: int
    listening_socket: socket.socket | None
    welcome: HandoverMessage


def resolve(future: asyncio.Future[None]) -> None:
    """Ends the wait for a future, unless it has ended."""
    if not future.done():
        future.set_result(None)


class HandoverChannel:
    """Connects to a predecessor, lets successors connect, and carries messages both ways."""

    def __init__(self, directory: str, name: str, events: HandoverChannelEvents) -> None:
        """`name` is that of the socket in the directory, and begins that of the file of manual drains."""
        self.directory = Path(directory)
        self.name = name
        self.events = events
        self.loop = asyncio.get_running_loop()
        self.writers: dict[int, asyncio.StreamWriter] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.last_process_id = 0
        self.server: asyncio.Server | None = None
        self.inode = 0

    @contextlib.contextmanager
    def _short_path(self, name: str) -> Iterator[str]:
        """A socket's path holds 107 bytes at most, and directories may be deep."""
        directory = os.open(self.directory, os.O_PATH | os.O_DIRECTORY)
        try:
            yield f"/proc/self/fd/{directory}/{name}"
        finally:
            os.close(directory)

    # --- the file of manual drains ---

    def save_record(self, record: ManualDrainRecord) -> None:
        """Replaces the file as a whole or not at all.

        Raises:
            OSError: if it cannot be written.
        """
        path = self.directory / f"{self.name}.bans"
        unfinished = path.with_suffix(f".{os.getpid()}")
        unfinished.write_bytes(encode_drain_record(record))
        os.replace(unfinished, path)

    def load_record(self) -> ManualDrainRecord | None:
        """What the file holds; None, with a line in the log where there is one, if it is of no use."""
        path = self.directory / f"{self.name}.bans"
        try:
            return decode_drain_record(path.read_bytes())
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            _warn("records", f"{path.name}: {error}; starting without")
            return None

    # --- to a predecessor ---

    async def connect(self, hello: HandoverMessage) -> PredecessorConnection | None:
        """None if nobody is there who answers as a process of this program does."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.setblocking(False)
        decoder = HandoverDecoder()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT):
                await self._connect_socket(sock)
                await self.loop.sock_sendall(sock, encode_message(hello))
                listening_socket = await self._receive_socket(sock)
                reader, writer = await asyncio.open_unix_connection(sock=sock, limit=READ_SIZE)
                messages = await _read_messages(reader, decoder)
        except (OSError, TimeoutError, ProtocolError) as error:
            sock.close()
            if not isinstance(error, FileNotFoundError):
                # The socket that a killed process left refuses; anything else that is there is not ours.
                _warn("predecessor", f"{type(error).__name__}: {error}; starting alone")
            return None
        process = self._register(writer)
        self._start_reading(process, reader, writer, decoder, messages[1:])
        return PredecessorConnection(process, listening_socket, messages[0])

    async def _connect_socket(self, sock: socket.socket) -> None:
        with self._short_path(self.name) as path:
            if os.stat(path).st_uid != os.geteuid():
                raise ProtocolError("another user's")
            await self.loop.sock_connect(sock, path)

    async def _receive_socket(self, sock: socket.socket) -> socket.socket | None:
        """Waits for the first byte, and takes the listening socket that may come with it."""
        readable: asyncio.Future[None] = self.loop.create_future()
        self.loop.add_reader(sock, resolve, readable)
        try:
            await readable
        finally:
            self.loop.remove_reader(sock)
        signature, descriptors, _, _ = socket.recv_fds(sock, len(SOCKET_SIGNATURE), MAX_DESCRIPTORS)
        for descriptor in descriptors[1:]:
            os.close(descriptor)
        listening_socket = socket.socket(fileno=descriptors[0]) if descriptors else None
        if signature != SOCKET_SIGNATURE:
            if listening_socket:
                listening_socket.close()
            raise ProtocolError("no predecessor of ours")
        if listening_socket:
            listening_socket.setblocking(False)
        return listening_socket

    # --- to successors ---

    async def open(self) -> None:
        """Lets successors connect, in place of whichever process had the name.

        Raises:
            OSError: if there can be no socket in the directory.
        """
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        unfinished = f"{self.name}.{os.getpid()}"
        with self._short_path(unfinished) as path:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(path)
            sock.bind(path)
            os.chmod(path, stat.S_IRUSR | stat.S_IWUSR)
            self.inode = os.stat(path).st_ino
        self.server = await asyncio.start_unix_server(self._handle_connection, sock=sock, limit=READ_SIZE)
        os.replace(self.directory / unfinished, self.directory / self.name)

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        decoder = HandoverDecoder()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT):
                messages = await _read_messages(reader, decoder)
        except (OSError, TimeoutError, ProtocolError) as error:
            _warn("successor", f"{type(error).__name__}: {error}")
            writer.close()
            return
        process = self._register(writer)
        with writer.get_extra_info("socket").dup() as sock:
            self.events.successor_found(process, sock, messages[0])
        self._start_reading(process, reader, writer, decoder, messages[1:])

    # --- both ways ---

    def _register(self, writer: asyncio.StreamWriter) -> int:
        self.last_process_id += 1
        self.writers[self.last_process_id] = writer
        return self.last_process_id

    def _start_reading(
        self,
        process: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        decoder: HandoverDecoder,
        messages: list[HandoverMessage],
    ) -> None:
        task = self.loop.create_task(self._read(process, reader, writer, decoder, messages))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _read(
        self,
        process: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        decoder: HandoverDecoder,
        messages: list[HandoverMessage],
    ) -> None:
        try:
            while True:
                for message in messages:
                    self.events.message_received(process, message)
                data = await reader.read(READ_SIZE)
                if not data:
                    break
                messages = decoder.receive_data(data)
        except (OSError, ProtocolError) as error:
            _warn("handover", f"{type(error).__name__}: {error}")
        finally:
            writer.close()
            if self.writers.pop(process, None):
                self.events.connection_lost(process)

    def send(self, process: int, message: HandoverMessage) -> None:
        """Sends a message, unless that process has gone; one that reads nothing is disconnected."""
        writer = self.writers.get(process)
        if writer is None:
            return
        if writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            writer.transport.abort()  # it hangs, and what it is told must not fill our memory
        else:
            writer.write(encode_message(message))

    def disconnect(self, process: int) -> None:
        """Closes a connection when all that was sent on it has been written; its loss is not told."""
        writer = self.writers.pop(process, None)
        if writer:
            writer.close()

    def stop_accepting(self) -> None:
        """Lets no more successors connect; those that are connected stay."""
        if self.server:
            self.server.close()
            self.server = None

    def close(self) -> None:
        """Ends all connections and removes the socket, if it is still that of this process."""
        self.stop_accepting()
        with contextlib.suppress(OSError):
            if os.stat(self.directory / self.name).st_ino == self.inode:
                os.unlink(self.directory / self.name)
        for process in list(self.writers):
            self.disconnect(process)


async def _read_messages(reader: asyncio.StreamReader, decoder: HandoverDecoder) -> list[HandoverMessage]:
    """The first message, and those that came with it.

    Raises:
        ProtocolError: if the other side leaves before, or sends what is no message.
    """
    messages: list[HandoverMessage] = []
    while not messages:
        data = await reader.read(READ_SIZE)
        if not data:
            raise ProtocolError("left before its first message was complete")
        messages = decoder.receive_data(data)
    return messages


def _warn(category: str, text: str) -> None:
    logger.warning("%s", text, extra={"category": category})
