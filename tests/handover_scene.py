"""A dispatcher's process, with the test in the place of its predecessor or its successor.

Messages are compared as bytes on the Unix socket. Ports differ from run to run; in the fixtures they are
18080 (the dispatcher's) and 19001 (the backend's).
"""

import asyncio
import socket
import zlib
from pathlib import Path
from typing import Any

import orjson

from crankfold.service.application import Application
from tests.fixtures import read_message
from tests.loopback import DispatcherTestCase

DISPATCHER_PORT, BACKEND_PORT = 18080, 19001
EVENT = {"id": "u7", "from": "a", "state": "done", "result": "x"}


async def gone(reader: asyncio.StreamReader) -> None:
    while await reader.read(65536):
        pass


class OtherProcess:
    """The other end of the handover channel, as bytes."""

    def __init__(self, sock: socket.socket, dispatcher_port: int, backend_port: int) -> None:
        self.sock, self.dispatcher_port, self.backend_port = sock, dispatcher_port, backend_port
        self.unread = b""

    async def read_line(self) -> bytes:
        """The next line with the ports of the fixtures; usage reports, which are repeated, are left out."""
        loop = asyncio.get_running_loop()
        while True:
            while b"\n" not in self.unread:
                data = await loop.sock_recv(self.sock, 65536)
                if not data:
                    return b""
                self.unread += data
            line, _, self.unread = self.unread.partition(b"\n")
            if not line.startswith(b'{"holds"'):
                return self.with_fixed_ports(line + b"\n")

    def with_fixed_ports(self, line: bytes) -> bytes:
        line = line.replace(b'["127.0.0.1",%d]' % self.dispatcher_port, b'["127.0.0.1",%d]' % DISPATCHER_PORT)
        return line.replace(b"127.0.0.1:%d" % self.backend_port, b"127.0.0.1:%d" % BACKEND_PORT)

    async def send_line(self, line: bytes) -> None:
        line = line.replace(b'["127.0.0.1",%d]' % DISPATCHER_PORT, b'["127.0.0.1",%d]' % self.dispatcher_port)
        line = line.replace(b"127.0.0.1:%d" % BACKEND_PORT, b"127.0.0.1:%d" % self.backend_port)
        await asyncio.get_running_loop().sock_sendall(self.sock, line)

    async def read_byte(self) -> bytes:
        return await asyncio.get_running_loop().sock_recv(self.sock, 1)


def drains_file(listen: int) -> str:
    return f"{socket_name(listen)}.bans"


def socket_name(listen: int) -> str:
    return f"crankfold-{zlib.crc32(f'127.0.0.1:{listen}'.encode()):08x}"


class HandoverScene(DispatcherTestCase):
    """`n0` with three backends: `a` drained manually, `b` draining, with an assumed start, `c` ready."""

    async def prepare(self, folder: Path, manual_drains: bytes) -> None:
        self.folder = folder
        self.sent = asyncio.Event()

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
            self.sent.set()
            await gone(reader)

        async def silent(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await gone(reader)

        await self.begin(
            backend,
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
                        "uid": backend_id,
                        "endpoint": f"127.0.0.1:{self.backend_port}",
                        "state": "terminating" if backend_id == "b" else "in_service",
                        "az": "south" if backend_id == "b" else "north",
                        "model": "big",
                        "pod_group": n,
                        "boot_ms": 20 + n,
                        "capacity_hint": 1.0 + n,
                    }
                    for n, backend_id in enumerate("abc")
                ],
            },
        }
        (folder / drains_file(self.listen)).write_bytes(manual_drains)

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

    async def successor(self) -> OtherProcess:
        """Connects as a process that wants to take over."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.setblocking(False)
        self.addCleanup(sock.close)
        await asyncio.get_running_loop().sock_connect(sock, str(self.folder / socket_name(self.listen)))
        return OtherProcess(sock, self.listen, self.backend_port)

    async def as_predecessor(self, received: list[bytes]) -> list[bytes]:
        """The lines of a serving dispatcher to two successors; `received` are the lines of the first."""
        await self.serve()
        await self.serving()
        self.application.request_handler.load_reports.store(2, (3.0, 2.5))
        pending = asyncio.create_task(self.send_request("held1", wait=2.9))
        await self.sent.wait()
        first, second = await self.successor(), await self.successor()
        hello, takeover_request, *queries = received
        lines = []
        for process in (first, second):
            await process.send_line(hello)
            self.assertEqual(await process.read_byte(), b"!")
            lines.append(await process.read_line())
        self.assertEqual(lines[0], lines[1])
        await first.send_line(takeover_request)
        lines[1] = await first.read_line()
        await second.send_line(takeover_request)
        lines.append(await second.read_line())
        self.assertEqual(await second.read_line(), b"")  # its connection is closed
        for query in queries:
            await first.send_line(query)
            lines.append(await first.read_line())
        call = asyncio.create_task(self.call(self.admin_port, "runners/c/offline"))
        lines.append(await first.read_line())
        await first.send_line(b'{"re":1,"yes":false}\n')
        self.assertEqual(await call, "200 offline")
        loop = asyncio.get_running_loop()
        while not (line := first.unread.partition(b"\n")[0]).startswith(b'{"holds"'):
            first.unread += await loop.sock_recv(first.sock, 65536)  # its usage, reported at intervals
        lines.append(line + b"\n")
        await first.send_line(CALLBACK_QUERY)
        lines.append(await first.read_line())
        self.assertEqual((await pending)[1], b"x")
        return lines

    async def as_successor(self, received: list[bytes]) -> list[bytes]:
        """The lines of a dispatcher that takes over; `received` are the lines of its predecessor."""
        loop = asyncio.get_running_loop()
        listening = socket.create_server(("127.0.0.1", self.listen))
        channel = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.addCleanup(listening.close)
        self.addCleanup(channel.close)
        channel.bind(str(self.folder / socket_name(self.listen)))
        channel.listen()
        channel.setblocking(False)
        welcome, yours, holds, *queries = received
        await self.serve()
        sock, _ = await loop.sock_accept(channel)
        self.addCleanup(sock.close)
        process = OtherProcess(sock, self.listen, self.backend_port)
        lines = [await process.read_line()]
        socket.send_fds(sock, [b"!"], [listening.fileno()])
        await process.send_line(welcome)
        lines.append(await process.read_line())
        await process.send_line(yours)
        await self.serving()
        await process.send_line(holds)
        for query in queries:
            await process.send_line(query)
            lines.append(await process.read_line())
        call = asyncio.create_task(self.call(self.admin_port, "runners/b/offline"))
        lines.append(await process.read_line())
        await process.send_line(b'{"re":1,"yes":false}\n')
        self.assertEqual(await call, "200 offline")
        event = asyncio.create_task(self.send_callback(**EVENT))
        lines.append(await process.read_line())
        await process.send_line(b'{"re":2,"yes":true}\n')
        await event
        return lines


def encode_line(**fields: Any) -> bytes:
    return orjson.dumps(fields) + b"\n"


# Queries that a successor sends to its predecessor and the other way round; both answer them.
QUERIES = [
    encode_line(ask=1, what="out", uid="c"),
    encode_line(ask=2, what="back", uid="c"),
    encode_line(ask=3, what="event", body=orjson.dumps(EVENT).decode()),
    encode_line(ask=4, what="sing"),
]
HELLO = encode_line(hello=1, at=["127.0.0.1", DISPATCHER_PORT], of="n0")
TAKEOVER_REQUEST = encode_line(take=True)
# The callback of the request that is in flight at the predecessor.
CALLBACK_QUERY = encode_line(
    ask=5, what="event", body=orjson.dumps({**EVENT, "id": "held1", "from": "c"}).decode()
)
