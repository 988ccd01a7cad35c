"""Test cases on loopback, on ports the system picks: stand-ins, and a whole dispatcher between them."""

import asyncio
import os
import signal
import sys
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import orjson

from crankfold.network.signals import OPERATOR_SIGNALS
from crankfold.service.application import Application
from tests.fixtures import TraceTestCase, read_message

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
REQUEST = (
    b"POST /api HTTP/1.1\r\nHost: b\r\nX-Request-ID: u1\r\nX-Priority-Class: g\r\n"
    b"X-Timeout: 1\r\nContent-Length: 2\r\n\r\nhi"
)
HEALTH_CHECK = b"GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n"
CALLBACK = (
    b"POST /v1/job-events HTTP/1.1\r\nHost: b\r\nContent-Length: 40\r\n\r\n"
    b'{"id":"u0","from":"a","state":"started"}'
)
NEVER_RAN = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
OK = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"


async def accepting(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A backend that takes whatever it is sent."""
    while True:
        await read_message(reader)
        writer.write(OK)


class Loopback(TraceTestCase, unittest.IsolatedAsyncioTestCase):
    """Listening stand-ins, calls of operators, and waiting for a condition."""

    async def stand_in(self, handler: Handler) -> int:
        """Serves connections by the handler until the test ends; gives the port."""

        async def served(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await handler(reader, writer)
            except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                pass  # the other side is done, or the test
            finally:
                writer.close()

        server = await asyncio.start_server(served, "127.0.0.1", 0)
        self.addCleanup(server.close)
        return int(server.sockets[0].getsockname()[1])

    async def call(self, port: int, path: str, method: str = "POST") -> str:
        """An operator's call; the answer's status and text."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"{method} /control/{path} HTTP/1.1\r\nHost: b\r\n\r\n".encode())
        async with asyncio.timeout(5):
            head, body = await read_message(reader)
            self.assertEqual(await reader.read(), b"")  # one call a connection
        writer.close()
        return f"{head.split()[1]} {body.decode().strip()}"

    async def until(self, holds: Callable[[], bool]) -> None:
        """Waits for a condition; fails after half a minute."""
        async with asyncio.timeout(30):
            while not holds():  # noqa: ASYNC110 - what is waited for sets no event
                await asyncio.sleep(0.001)


class DispatcherTestCase(Loopback):
    """A dispatcher between a client, a backend and discovery that the test plays."""

    def setUp(self) -> None:
        super().setUp()
        for number in OPERATOR_SIGNALS:  # a dispatcher that ends in this process leaves them ignored
            self.addCleanup(signal.signal, number, signal.getsignal(number))

    async def begin(self, backend: Handler, **settings: Any) -> None:
        """Starts discovery and the one backend, and writes the configuration."""
        self.backend_port = await self.stand_in(backend)
        self.backend_state = "in_service"
        self.endpoints_changed = asyncio.Event()

        async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                if "after=" in (await read_message(reader))[0]:
                    await self.endpoints_changed.wait()
                    self.endpoints_changed.clear()
                body = orjson.dumps(self.discovery_answer())
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

        request_class = {"name": "g", "effect": "safe", "cut-off": 3_000_000, "expected-time": 2_000_000}
        self.config: dict[str, Any] = {
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{await self.stand_in(discovery)}",
            "seed": "1f",
            "known": self.discovery_answer(),
            "limits": {"sockets": 256},
            "settings": {
                "allowed": {"most-dispatches": 2, "cancel": True},
                "service-grades": [request_class],
                "specifics": {"tells-start": True},
                "tick": 2000,
                **settings,
            },
        }

    def discovery_answer(self) -> dict[str, Any]:
        """The list as discovery has it now."""
        return {
            "rev": 1,
            "all": True,
            "targets": [
                {"uid": "a", "endpoint": f"127.0.0.1:{self.backend_port}", "state": self.backend_state}
            ],
        }

    async def start_in_process(self) -> None:
        """Runs the dispatcher in this process until the test ends."""
        self.application = Application(self.config, lambda: self.config)
        running = asyncio.create_task(self.application.run())
        await self.until(lambda: self.application.request_handler.is_serving())
        self.port = self.application.listener.port()

        async def end() -> None:
            self.application.shutdown_requested.set()
            await running

        self.addAsyncCleanup(end)

    async def send_request(self, request_id: str, headers: str = "", wait: float = 2.5) -> tuple[str, bytes]:
        """A client's request; the status line and body of its response."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(
            f"POST /api?x=1 HTTP/1.1\r\nHost: b\r\nX-Request-ID: {request_id}\r\nX-Priority-Class: g\r\n"
            f"X-Timeout: {wait}\r\nContent-Length: 2\r\n{headers}\r\nhi".encode()
        )
        try:
            async with asyncio.timeout(5):
                head, body = await read_message(reader)
        finally:
            writer.close()
        return head.split("\r\n")[0], body

    async def send_callback(self, **fields: Any) -> None:
        """A backend's callback, with the status that answers it in the trace."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        body = orjson.dumps(fields)
        writer.write(
            b"POST /v1/job-events HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        )
        head, _ = await read_message(reader)
        self.record(f"  {fields} {head.split()[1]}")
        writer.close()

    async def start_process(self, command: list[str], folder: str = "") -> asyncio.Task[str]:
        """The program as operators start it; gives what it prints until it ends."""
        folder = folder or self.enterContext(tempfile.TemporaryDirectory())
        self.config_file = Path(folder) / "config.json"
        self.config_file.write_bytes(orjson.dumps(self.config))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *command,
            stderr=asyncio.subprocess.PIPE,
            limit=1 << 20,
            env={**os.environ, "GW_CONFIG": str(self.config_file), "TMPDIR": folder},
        )
        errors = self.process.stderr
        assert errors
        self.addAsyncCleanup(self.kill_process, self.process)
        printed = [(await errors.readline()).decode()]
        while "serving on" not in printed[-1]:
            self.assertTrue(printed[-1], printed)
            printed.append((await errors.readline()).decode())
        self.port = int(printed[-1].rpartition(":")[2])
        if "admin_addr" in self.config:
            printed.append((await errors.readline()).decode())
            self.admin_port = int(printed[-1].rpartition(":")[2])
        process = self.process

        async def rest() -> str:
            printed.append((await errors.read()).decode())
            await process.wait()
            return "".join(printed)

        return asyncio.create_task(rest())

    async def kill_process(self, process: asyncio.subprocess.Process) -> None:
        if process.returncode is None:  # a test that failed must leave nothing running
            process.kill()
            await process.wait()
