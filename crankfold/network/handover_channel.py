"""The way between two processes that follow one another: a Unix socket that also passes the listening one."""

import asyncio
import contextlib
import logging
import os
import socket
import stat
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from crankfold.network.metrics import Metrics
from crankfold.protocol.handover_messages import HandoverDecoder, ProtocolError, encode_line

logger = logging.getLogger(__name__)

ANSWER_TIMEOUT = 1.0  # a predecessor that hangs must not keep its successor from starting
READ_SIZE = 64 * 1024
MAX_UNSENT_BYTES = 1024 * 1024


def resolve(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)


class HandoverChannel:
    def __init__(self, folder: str, name: str, tally: Metrics) -> None:
        self.directory, self.name, self.metrics = Path(folder), name, tally
        self.loop = asyncio.get_running_loop()
        self.writers: dict[int, asyncio.StreamWriter] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.last_process_id = 0
        self.server: asyncio.Server | None = None
        self.inode = 0
        self.on_successor: Callable[[int, socket.socket, dict[str, Any]], None] = lambda kin, sock, hello: (
            None
        )
        self.on_message: Callable[[int, dict[str, Any]], None] = lambda kin, told: None
        self.on_lost: Callable[[int], None] = lambda kin: None

    @contextlib.contextmanager
    def _short_path(self, name: str) -> Any:
        """A socket's path holds 107 bytes at most, and folders may be deep."""
        folder = os.open(self.directory, os.O_PATH | os.O_DIRECTORY)
        try:
            yield f"/proc/self/fd/{folder}/{name}"
        finally:
            os.close(folder)

    # --- records ---

    def save_record(self, kept: dict[str, Any]) -> None:
        """Whole or not at all: written under another name first."""
        path = self.directory / f"{self.name}.bans"
        half = path.with_suffix(f".{os.getpid()}")
        half.write_bytes(orjson.dumps(kept))
        os.replace(half, path)

    def load_record(self) -> dict[str, Any]:
        path = self.directory / f"{self.name}.bans"
        try:
            kept = orjson.loads(path.read_bytes())
        except FileNotFoundError:
            return {}
        except (OSError, ValueError) as wrong:
            logger.warning("%s: %s; starting without", path.name, wrong, extra={"category": "records"})
            return {}
        return kept if isinstance(kept, dict) else {}

    # --- to a predecessor ---

    async def connect(self, hello: dict[str, Any]) -> tuple[int, socket.socket | None, dict[str, Any]] | None:
        """Nothing if nobody is there who answers as he should; else who, the socket and the welcome."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT):
                with self._short_path(self.name) as path:
                    if os.stat(path).st_uid != os.geteuid():
                        raise ProtocolError("another user's")
                    await self.loop.sock_connect(sock, path)
                await self.loop.sock_sendall(sock, encode_line(hello))
                passed = await self._receive_socket(sock)
                reader, writer = await asyncio.open_unix_connection(sock=sock, limit=READ_SIZE)
                side = HandoverDecoder()
                said: list[dict[str, Any]] = []
                while not said:
                    data = await reader.read(READ_SIZE)
                    if not data:
                        raise ProtocolError("left in the middle")
                    said = side.receive_data(data)
        except (OSError, TimeoutError, ProtocolError) as nobody:
            sock.close()
            if not isinstance(nobody, FileNotFoundError):
                # A leftover of a killed process refuses; anything else that is there is not ours.
                logger.warning(
                    "%s: %s; starting alone", type(nobody).__name__, nobody, extra={"category": "predecessor"}
                )
            return None
        kin = self._register(writer)
        self._start_reading(kin, reader, writer, side, said[1:])
        return kin, passed, said[0]

    async def _receive_socket(self, sock: socket.socket) -> socket.socket | None:
        """A first byte, and with it the listening socket if there is one."""
        readable: asyncio.Future[None] = self.loop.create_future()
        self.loop.add_reader(sock, resolve, readable)
        try:
            await readable
        finally:
            self.loop.remove_reader(sock)
        byte, descriptors, _, _ = socket.recv_fds(sock, 1, 4)
        for extra in descriptors[1:]:
            os.close(extra)
        passed = socket.socket(fileno=descriptors[0]) if descriptors else None
        if byte != b"!":
            if passed:
                passed.close()
            raise ProtocolError("no predecessor of ours")
        if passed:
            passed.setblocking(False)
        return passed

    # --- to successors ---

    async def open(self) -> None:
        """Takes the name over from whoever had it."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        half = f"{self.name}.{os.getpid()}"
        with self._short_path(half) as path:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(path)
            sock.bind(path)
            os.chmod(path, stat.S_IRUSR | stat.S_IWUSR)
            self.inode = os.stat(path).st_ino
        self.server = await asyncio.start_unix_server(self._handle_connection, sock=sock, limit=READ_SIZE)
        os.replace(self.directory / half, self.directory / self.name)

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        side = HandoverDecoder()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT):
                said: list[dict[str, Any]] = []
                while not said:
                    data = await reader.read(READ_SIZE)
                    if not data:
                        raise ProtocolError("said nothing")
                    said = side.receive_data(data)
        except (OSError, TimeoutError, ProtocolError) as wrong:
            logger.warning("%s: %s", type(wrong).__name__, wrong, extra={"category": "successor"})
            writer.close()
            return
        kin = self._register(writer)
        with writer.get_extra_info("socket").dup() as sock:
            self.on_successor(kin, sock, said[0])
        self._start_reading(kin, reader, writer, side, said[1:])

    # --- both ways ---

    def _register(self, writer: asyncio.StreamWriter) -> int:
        self.last_process_id += 1
        self.writers[self.last_process_id] = writer
        return self.last_process_id

    def _start_reading(
        self,
        kin: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        side: HandoverDecoder,
        more: list[dict[str, Any]],
    ) -> None:
        task = self.loop.create_task(self._read(kin, reader, writer, side, more))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _read(
        self,
        kin: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        side: HandoverDecoder,
        more: list[dict[str, Any]],
    ) -> None:
        try:
            while True:
                for told in more:
                    self.on_message(kin, told)
                data = await reader.read(READ_SIZE)
                if not data:
                    break
                more = side.receive_data(data)
        except (OSError, ProtocolError) as wrong:
            logger.warning("%s: %s", type(wrong).__name__, wrong, extra={"category": "handover"})
        finally:
            writer.close()
            if self.writers.pop(kin, None):
                self.on_lost(kin)

    def send(self, kin: int, told: dict[str, Any]) -> None:
        writer = self.writers.get(kin)
        if writer is None:
            return
        if writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            writer.transport.abort()  # it hangs, and what it is told must not fill our memory
        else:
            writer.write(encode_line(told))

    def disconnect(self, kin: int) -> None:
        """What was said still arrives."""
        writer = self.writers.pop(kin, None)
        if writer:
            writer.close()

    def stop_accepting(self) -> None:
        """Nobody else can follow; who is here stays."""
        if self.server:
            self.server.close()
            self.server = None

    def close(self) -> None:
        self.stop_accepting()
        with contextlib.suppress(OSError):
            if os.stat(self.directory / self.name).st_ino == self.inode:
                os.unlink(self.directory / self.name)
        for kin in list(self.writers):
            self.disconnect(kin)
