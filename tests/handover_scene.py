"""A dispatcher's process, and this test in the place of the process that it follows or is followed by.

All is said and heard as bytes on the Unix socket. Ports differ from run to run; in what is kept they read
18080 (the dispatcher's) and 19001 (the runner's).
"""

import asyncio
import socket
import zlib
from pathlib import Path
from typing import Any

import orjson

from crankfold.service.application import Application
from tests.loopback import DispatcherTestCase
from tests.scene import read_request

LISTEN, RUNNER = 18080, 19001
EVENT = {"id": "u7", "from": "a", "state": "done", "result": "x"}


async def gone(reader: asyncio.StreamReader) -> None:
    while await reader.read(65536):
        pass


class Kin:
    """The other process, as bytes."""

    def __init__(self, sock: socket.socket, here: int, runner: int) -> None:
        self.sock, self.here, self.runner = sock, here, runner
        self.rest = b""

    async def said(self) -> bytes:
        """The next line, with its ports as they are kept; what is in hand is told again and again."""
        loop = asyncio.get_running_loop()
        while True:
            while b"\n" not in self.rest:
                data = await loop.sock_recv(self.sock, 65536)
                if not data:
                    return b""
                self.rest += data
            line, _, self.rest = self.rest.partition(b"\n")
            if not line.startswith(b'{"holds"'):
                return self.kept(line + b"\n")

    def kept(self, line: bytes) -> bytes:
        line = line.replace(b'["127.0.0.1",%d]' % self.here, b'["127.0.0.1",%d]' % LISTEN)
        return line.replace(b"127.0.0.1:%d" % self.runner, b"127.0.0.1:%d" % RUNNER)

    async def say(self, line: bytes) -> None:
        line = line.replace(b'["127.0.0.1",%d]' % LISTEN, b'["127.0.0.1",%d]' % self.here)
        line = line.replace(b"127.0.0.1:%d" % RUNNER, b"127.0.0.1:%d" % self.runner)
        await asyncio.get_running_loop().sock_sendall(self.sock, line)

    async def first_byte(self) -> bytes:
        return await asyncio.get_running_loop().sock_recv(self.sock, 1)


def ban_file(listen: int) -> str:
    return f"{socket_name(listen)}.bans"


def socket_name(listen: int) -> str:
    return f"crankfold-{zlib.crc32(f'127.0.0.1:{listen}'.encode()):08x}"


class HandoverScene(DispatcherTestCase):
    """`n0` with three runners: `a` out by hand, `b` draining, with a start taken for granted, `c` serving."""

    async def prepare(self, folder: Path, bans: bytes) -> None:
        self.folder = folder
        self.sent = asyncio.Event()

        async def runner(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_request(reader)
            writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
            self.sent.set()
            await gone(reader)

        async def silent(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await gone(reader)

        await self.begin(
            runner,
            report={"names": ["queue", "x0"], "via": "inline"},
            zones=["north", "south"],
            kinds=["big"],
        )
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.listen = int(free.getsockname()[1])
        self.config |= {
            "name": "n0",
            "listen": f"127.0.0.1:{self.listen}",
            "admin_addr": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{await self.stand_in(silent)}",
            "known": {
                "rev": 4,
                "all": True,
                "targets": [
                    {
                        "uid": uid,
                        "endpoint": f"127.0.0.1:{self.backend_port}",
                        "state": "terminating" if uid == "b" else "in_service",
                        "az": "south" if uid == "b" else "north",
                        "model": "big",
                        "pod_group": n,
                        "boot_ms": 20 + n,
                        "capacity_hint": 1.0 + n,
                    }
                    for n, uid in enumerate("abc")
                ],
            },
        }
        (folder / ban_file(self.listen)).write_bytes(bans)

    async def serve(self) -> "asyncio.Task[None]":
        self.application = Application(self.config, lambda: self.config, str(self.folder))
        running = asyncio.create_task(self.application.run())

        async def end() -> None:
            self.application.shutdown_requested.set()
            await running

        self.addAsyncCleanup(end)
        return running

    async def serving(self) -> None:
        await self.until(
            lambda: (
                self.application.request_handler.is_serving()
                and self.application.listener.acceptor is not None
            )
        )
        self.port, self.admin_port = self.application.listener.port(), self.application.admin_server.port()

    async def successor(self) -> Kin:
        """Another process that wants to follow, up to the passing of the listening socket."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.setblocking(False)
        self.addCleanup(sock.close)
        await asyncio.get_running_loop().sock_connect(sock, str(self.folder / socket_name(self.listen)))
        return Kin(sock, self.listen, self.backend_port)

    async def as_predecessor(self, told: list[bytes]) -> list[bytes]:
        """What it says that serves, to two that want to follow; `told` is what the first of them says."""
        await self.serve()
        await self.serving()
        self.application.request_handler.load_reports.store(2, (3.0, 2.5))
        held = asyncio.create_task(self.send_request("held1", wait=2.9))
        await self.sent.wait()
        first, late = await self.successor(), await self.successor()
        hello, take, *asks = told
        heard = []
        for kin in (first, late):
            await kin.say(hello)
            self.assertEqual(await kin.first_byte(), b"!")
            heard.append(await kin.said())
        self.assertEqual(heard[0], heard[1])
        await first.say(take)
        heard[1] = await first.said()
        await late.say(take)
        heard.append(await late.said())
        self.assertEqual(await late.said(), b"")  # and it is parted from
        for ask in asks:
            await first.say(ask)
            heard.append(await first.said())
        calling = asyncio.create_task(self.call(self.admin_port, "runners/c/offline"))
        heard.append(await first.said())
        await first.say(b'{"re":1,"yes":false}\n')
        self.assertEqual(await calling, "200 offline")
        loop = asyncio.get_running_loop()
        while not (line := first.rest.partition(b"\n")[0]).startswith(b'{"holds"'):
            first.rest += await loop.sock_recv(first.sock, 65536)  # what it still holds, told now and then
        heard.append(line + b"\n")
        await first.say(ENDS)
        heard.append(await first.said())
        self.assertEqual((await held)[1], b"x")
        return heard

    async def as_successor(self, told: list[bytes]) -> list[bytes]:
        """What it says that follows; `told` is what its predecessor says."""
        loop = asyncio.get_running_loop()
        listening = socket.create_server(("127.0.0.1", self.listen))
        way = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.addCleanup(listening.close)
        self.addCleanup(way.close)
        way.bind(str(self.folder / socket_name(self.listen)))
        way.listen()
        way.setblocking(False)
        welcome, yours, holds, *asks = told
        await self.serve()
        sock, _ = await loop.sock_accept(way)
        self.addCleanup(sock.close)
        kin = Kin(sock, self.listen, self.backend_port)
        heard = [await kin.said()]
        socket.send_fds(sock, [b"!"], [listening.fileno()])
        await kin.say(welcome)
        heard.append(await kin.said())
        await kin.say(yours)
        await self.serving()
        await kin.say(holds)
        for ask in asks:
            await kin.say(ask)
            heard.append(await kin.said())
        calling = asyncio.create_task(self.call(self.admin_port, "runners/b/offline"))
        heard.append(await kin.said())
        await kin.say(b'{"re":1,"yes":false}\n')
        self.assertEqual(await calling, "200 offline")
        event = asyncio.create_task(self.send_callback(**EVENT))
        heard.append(await kin.said())
        await kin.say(b'{"re":2,"yes":true}\n')
        await event
        return heard


def said(**told: Any) -> bytes:
    return orjson.dumps(told) + b"\n"


# What the process that follows asks of the one before it, and what that one asks; and both answer.
ASKS = [
    said(ask=1, what="out", uid="c"),
    said(ask=2, what="back", uid="c"),
    said(ask=3, what="event", body=orjson.dumps(EVENT).decode()),
    said(ask=4, what="sing"),
]
HELLO = said(hello=1, at=["127.0.0.1", LISTEN], of="n0")
TAKE = said(take=True)
# And that the unit in hand at the one before it is done.
ENDS = said(ask=5, what="event", body=orjson.dumps({**EVENT, "id": "held1", "from": "c"}).decode())
