"""The way between two processes that follow one another: a Unix socket that also passes the listening one."""

import asyncio
import contextlib
import os
import socket
import stat
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from crankfold.network.tally import Tally
from crankfold.protocol.kin import Garbled, KinSide, line

ANSWER_WITHIN = 1.0  # a predecessor that hangs must not keep its successor from starting
LUMP = 64 * 1024
MOST_UNSENT = 1024 * 1024


def settle(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)


class Passage:
    def __init__(self, folder: str, name: str, tally: Tally) -> None:
        self.folder, self.name, self.tally = Path(folder), name, tally
        self.loop = asyncio.get_running_loop()
        self.writers: dict[int, asyncio.StreamWriter] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.next = 0
        self.server: asyncio.Server | None = None
        self.inode = 0
        self.met: Callable[[int, socket.socket, dict[str, Any]], None] = lambda kin, sock, hello: None
        self.told: Callable[[int, dict[str, Any]], None] = lambda kin, told: None
        self.lost: Callable[[int], None] = lambda kin: None

    @contextlib.contextmanager
    def _short(self, name: str) -> Any:
        """A socket's path holds 107 bytes at most, and folders may be deep."""
        folder = os.open(self.folder, os.O_PATH | os.O_DIRECTORY)
        try:
            yield f"/proc/self/fd/{folder}/{name}"
        finally:
            os.close(folder)

    # --- records ---

    def record(self, kept: dict[str, Any]) -> None:
        """Whole or not at all: written under another name first."""
        path = self.folder / f"{self.name}.bans"
        half = path.with_suffix(f".{os.getpid()}")
        half.write_bytes(orjson.dumps(kept))
        os.replace(half, path)

    def recorded(self) -> dict[str, Any]:
        path = self.folder / f"{self.name}.bans"
        try:
            kept = orjson.loads(path.read_bytes())
        except FileNotFoundError:
            return {}
        except (OSError, ValueError) as wrong:
            self.tally.say("records", f"{path.name}: {wrong}; starting without")
            return {}
        return kept if isinstance(kept, dict) else {}

    # --- to a predecessor ---

    async def call(self, hello: dict[str, Any]) -> tuple[int, socket.socket | None, dict[str, Any]] | None:
        """Nothing if nobody is there who answers as he should; else who, the socket and the welcome."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            async with asyncio.timeout(ANSWER_WITHIN):
                with self._short(self.name) as path:
                    if os.stat(path).st_uid != os.geteuid():
                        raise Garbled("another user's")
                    await self.loop.sock_connect(sock, path)
                await self.loop.sock_sendall(sock, line(hello))
                passed = await self._passed(sock)
                reader, writer = await asyncio.open_unix_connection(sock=sock, limit=LUMP)
                side = KinSide()
                said: list[dict[str, Any]] = []
                while not said:
                    data = await reader.read(LUMP)
                    if not data:
                        raise Garbled("left in the middle")
                    said = side.feed(data)
        except (OSError, TimeoutError, Garbled) as nobody:
            sock.close()
            if not isinstance(nobody, FileNotFoundError):
                # A leftover of a killed process refuses; anything else that is there is not ours.
                self.tally.say("predecessor", f"{type(nobody).__name__}: {nobody}; starting alone")
            return None
        kin = self._keep(writer)
        self._run(kin, reader, writer, side, said[1:])
        return kin, passed, said[0]

    async def _passed(self, sock: socket.socket) -> socket.socket | None:
        """A first byte, and with it the listening socket if there is one."""
        readable: asyncio.Future[None] = self.loop.create_future()
        self.loop.add_reader(sock, settle, readable)
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
            raise Garbled("no predecessor of ours")
        if passed:
            passed.setblocking(False)
        return passed

    # --- to successors ---

    async def open(self) -> None:
        """Takes the name over from whoever had it."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        half = f"{self.name}.{os.getpid()}"
        with self._short(half) as path:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(path)
            sock.bind(path)
            os.chmod(path, stat.S_IRUSR | stat.S_IWUSR)
            self.inode = os.stat(path).st_ino
        self.server = await asyncio.start_unix_server(self._taken, sock=sock, limit=LUMP)
        os.replace(self.folder / half, self.folder / self.name)

    async def _taken(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        side = KinSide()
        try:
            async with asyncio.timeout(ANSWER_WITHIN):
                said: list[dict[str, Any]] = []
                while not said:
                    data = await reader.read(LUMP)
                    if not data:
                        raise Garbled("said nothing")
                    said = side.feed(data)
        except (OSError, TimeoutError, Garbled) as wrong:
            self.tally.say("successor", f"{type(wrong).__name__}: {wrong}")
            writer.close()
            return
        kin = self._keep(writer)
        with writer.get_extra_info("socket").dup() as sock:
            self.met(kin, sock, said[0])
        self._run(kin, reader, writer, side, said[1:])

    # --- both ways ---

    def _keep(self, writer: asyncio.StreamWriter) -> int:
        self.next += 1
        self.writers[self.next] = writer
        return self.next

    def _run(self, kin: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, side: KinSide,
             more: list[dict[str, Any]]) -> None:
        task = self.loop.create_task(self._read(kin, reader, writer, side, more))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _read(self, kin: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter,
                    side: KinSide, more: list[dict[str, Any]]) -> None:
        try:
            while True:
                for told in more:
                    self.told(kin, told)
                data = await reader.read(LUMP)
                if not data:
                    break
                more = side.feed(data)
        except (OSError, Garbled) as wrong:
            self.tally.say("kin", f"{type(wrong).__name__}: {wrong}")
        finally:
            writer.close()
            if self.writers.pop(kin, None):
                self.lost(kin)

    def say(self, kin: int, told: dict[str, Any]) -> None:
        writer = self.writers.get(kin)
        if writer is None:
            return
        if writer.transport.get_write_buffer_size() > MOST_UNSENT:
            writer.transport.abort()  # it hangs, and what it is told must not fill our memory
        else:
            writer.write(line(told))

    def part(self, kin: int) -> None:
        """What was said still arrives."""
        writer = self.writers.pop(kin, None)
        if writer:
            writer.close()

    def shut(self) -> None:
        """Nobody else can follow; who is here stays."""
        if self.server:
            self.server.close()
            self.server = None

    def close(self) -> None:
        self.shut()
        with contextlib.suppress(OSError):
            if os.stat(self.folder / self.name).st_ino == self.inode:
                os.unlink(self.folder / self.name)
        for kin in list(self.writers):
            self.part(kin)
