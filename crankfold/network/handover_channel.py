"""Connects a process to its successor through a Unix socket, which also passes the listening TCP socket.

The file of manual drains is in the same directory. It preserves the drains when both processes have died.
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

from crankfold.errors import drop_traceback
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

ANSWER_TIMEOUT = 1.0  # seconds; a process starts without a predecessor that does not answer within this time
READ_SIZE = 64 * 1024  # bytes
MAX_UNSENT_BYTES = 1024 * 1024  # limit of a connection's buffer, above which `send` aborts the connection
SOCKET_SIGNATURE = b"!"  # the byte that accompanies the listening socket
MAX_DESCRIPTORS = 4  # accepted in one message; all but the first are closed


class HandoverChannelEvents(Protocol):
    """Receives the events of a channel. Each connected process has a number that is never reused."""

    def successor_found(self, process: int, sock: socket.socket, hello: HandoverMessage) -> None:
        """A process has connected; the listening socket may be passed over `sock` only during this call."""

    def message_received(self, process: int, message: HandoverMessage) -> None:
        """A process has sent a message."""

    def connection_lost(self, process: int) -> None:
        """A process has closed its connection, or has sent bytes that are not a message."""


class PredecessorConnection(NamedTuple):
    """A predecessor that answered.

    Attributes:
        process: The number of the process.
        listening_socket: The TCP socket that the predecessor passed, or None.
        welcome: The first message of the predecessor.
    """

    process: int
    listening_socket: socket.socket | None
    welcome: HandoverMessage


class _Peer(NamedTuple):
    """A connected process: its number and its streams."""

    process: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    decoder: HandoverDecoder


def resolve(future: asyncio.Future[None]) -> None:
    """Completes a future, unless it is done."""
    if not future.done():
        future.set_result(None)


class HandoverChannel:
    """Connects to a predecessor, accepts successors, and carries messages both ways.

    Attributes:
        writers: The writers of the connected processes, by process number.
        inode: The inode of this process's socket; 0 before `open`.
    """

    def __init__(self, directory: str, name: str, events: HandoverChannelEvents) -> None:
        """Creates a channel without connections.

        Args:
            directory: The directory of the socket and of the file of manual drains.
            name: The name of the socket; the file has the same name with a suffix.
            events: Receives the events.
        """
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
        """Yields a path of the file that fits into a socket address (107 bytes) for any directory."""
        directory = os.open(self.directory, os.O_PATH | os.O_DIRECTORY)
        try:
            yield f"/proc/self/fd/{directory}/{name}"
        finally:
            os.close(directory)

    # --- the file of manual drains ---

    def save_record(self, record: ManualDrainRecord) -> None:
        """Replaces the file of manual drains atomically.

        Raises:
            OSError: The file can't be written.
        """
        path = self.directory / f"{self.name}.bans"
        temporary_path = path.with_suffix(f".{os.getpid()}")
        temporary_path.write_bytes(encode_drain_record(record))
        os.replace(temporary_path, path)

    def load_record(self) -> ManualDrainRecord | None:
        """Returns the content of the file; logs a file that can't be read. None without a readable file."""
        path = self.directory / f"{self.name}.bans"
        try:
            return decode_drain_record(path.read_bytes())
        except FileNotFoundError:
            return None
        except (OSError, ProtocolError) as error:
            _warn("records", f"{path.name}: {error}; starting without manual drains")
            return None

    # --- to a predecessor ---

    async def connect(self, hello: HandoverMessage) -> PredecessorConnection | None:
        """Connects to the serving process; returns None if there is none or its answer is not as expected."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.setblocking(False)
        decoder = HandoverDecoder()
        listening_socket: socket.socket | None = None
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT):
                await self._connect_socket(sock)
                await self.loop.sock_sendall(sock, encode_message(hello))
                listening_socket = await self._receive_socket(sock)
                reader, writer = await asyncio.open_unix_connection(sock=sock, limit=READ_SIZE)
                messages = await _read_messages(reader, decoder)
        except (OSError, TimeoutError, ProtocolError) as error:
            if writer:
                writer.close()  # the transport owns the socket
            else:
                sock.close()
            if listening_socket:
                listening_socket.close()
            if not isinstance(error, FileNotFoundError):  # no socket, so no predecessor
                _warn("predecessor", f"{type(error).__name__}: {error}; starting without a predecessor")
            return None
        peer = self._register(reader, writer, decoder)
        self._start_reading(peer, messages[1:])
        return PredecessorConnection(peer.process, listening_socket, messages[0])

    async def _connect_socket(self, sock: socket.socket) -> None:
        with self._short_path(self.name) as path:
            if os.stat(path).st_uid != os.geteuid():
                raise ProtocolError("the socket belongs to another user")
            await self.loop.sock_connect(sock, path)

    async def _receive_socket(self, sock: socket.socket) -> socket.socket | None:
        """Waits for the first byte, and receives the listening socket if it accompanies that byte.

        Raises:
            ProtocolError: The byte is not SOCKET_SIGNATURE.
        """
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
            raise ProtocolError("the other side is not a process of this program")
        if listening_socket:
            listening_socket.setblocking(False)
        return listening_socket

    # --- to successors ---

    async def open(self) -> None:
        """Starts to accept successors, and replaces the socket of an earlier process at the same path.

        Raises:
            OSError: The socket can't be created in the directory.
        """
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        temporary_name = f"{self.name}.{os.getpid()}"
        with self._short_path(temporary_name) as path:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(path)
            sock.bind(path)
            os.chmod(path, stat.S_IRUSR | stat.S_IWUSR)
            self.inode = os.stat(path).st_ino
        self.server = await asyncio.start_unix_server(self._handle_connection, sock=sock, limit=READ_SIZE)
        os.replace(self.directory / temporary_name, self.directory / self.name)

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        decoder = HandoverDecoder()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT):
                messages = await _read_messages(reader, decoder)
        except (OSError, TimeoutError, ProtocolError) as error:
            _warn("successor", f"{type(error).__name__}: {error}")
            drop_traceback(error)
            writer.close()
            return
        peer = self._register(reader, writer, decoder)
        with writer.get_extra_info("socket").dup() as sock:
            self.events.successor_found(peer.process, sock, messages[0])
        self._start_reading(peer, messages[1:])

    # --- both ways ---

    def _register(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, decoder: HandoverDecoder
    ) -> _Peer:
        self.last_process_id += 1
        self.writers[self.last_process_id] = writer
        return _Peer(self.last_process_id, reader, writer, decoder)

    def _start_reading(self, peer: _Peer, messages: list[HandoverMessage]) -> None:
        task = self.loop.create_task(self._read(peer, messages))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _read(self, peer: _Peer, messages: list[HandoverMessage]) -> None:
        """Passes on `messages`, which were already received, and all that follow."""
        try:
            while True:
                for message in messages:
                    self.events.message_received(peer.process, message)
                data = await peer.reader.read(READ_SIZE)
                if not data:
                    break
                messages = peer.decoder.receive_data(data)
        except (OSError, ProtocolError) as error:
            _warn("handover", f"{type(error).__name__}: {error}")
            drop_traceback(error)
        finally:
            peer.writer.close()
            if self.writers.pop(peer.process, None):
                self.events.connection_lost(peer.process)

    def send(self, process: int, message: HandoverMessage) -> None:
        """Sends a message if that process is connected; disconnects one that does not read."""
        writer = self.writers.get(process)
        if writer is None:
            return
        if writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            writer.transport.abort()  # bounds the memory for a process that does not read
        else:
            writer.write(encode_message(message))

    def can_send_callback(self, size: int) -> bool:
        """Whether a callback of that size may be sent to every connected process.

        Callbacks may be large, and anybody may send them; so they leave half of each buffer to the messages
        whose loss would separate the processes.
        """
        most_unsent = max(
            (writer.transport.get_write_buffer_size() for writer in self.writers.values()), default=0
        )
        return most_unsent + size <= MAX_UNSENT_BYTES // 2

    def disconnect(self, process: int) -> None:
        """Closes a connection once all messages are written, without calling `connection_lost`."""
        writer = self.writers.pop(process, None)
        if writer:
            writer.close()

    def stop_accepting(self) -> None:
        """Accepts no more successors; those that are connected stay connected."""
        if self.server:
            self.server.close()
            self.server = None

    def close(self) -> None:
        """Closes all connections, and removes the socket if it is still the one of this process."""
        self.stop_accepting()
        with contextlib.suppress(OSError):
            if os.stat(self.directory / self.name).st_ino == self.inode:
                os.unlink(self.directory / self.name)
        for process in list(self.writers):
            self.disconnect(process)


async def _read_messages(reader: asyncio.StreamReader, decoder: HandoverDecoder) -> list[HandoverMessage]:
    """Reads until a message is complete; returns it and those that were received with it.

    Raises:
        ProtocolError: The other side closed the connection before that, or sent bytes that are not a message.
    """
    messages: list[HandoverMessage] = []
    while not messages:
        data = await reader.read(READ_SIZE)
        if not data:
            raise ProtocolError("connection closed before the first message was complete")
        messages = decoder.receive_data(data)
    return messages


def _warn(category: str, text: str) -> None:
    logger.warning("%s", text, extra={"category": category})
