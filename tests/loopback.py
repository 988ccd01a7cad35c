"""Test cases with fake servers and a complete dispatcher, on ephemeral loopback ports."""

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
NOT_PROCESSED = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
ACCEPTED = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"


async def accept_requests(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serves one connection of a fake backend that accepts every request."""
    while True:
        await read_message(reader)
        writer.write(ACCEPTED)


class LoopbackTestCase(TraceTestCase, unittest.IsolatedAsyncioTestCase):
    """Provides fake servers, admin calls, and waiting for a condition."""

    async def start_fake_server(self, handler: Handler) -> int:
        """Serves connections with the handler until the test ends; returns the port."""

        async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await handler(reader, writer)
            except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                pass  # the peer has disconnected, or the test is over
            finally:
                writer.close()

        server = await asyncio.start_server(serve_connection, "127.0.0.1", 0)
        self.addCleanup(server.close)
        return int(server.sockets[0].getsockname()[1])

    async def call(self, port: int, path: str, method: str = "POST") -> str:
        """Sends an admin call; returns the status and text of the response."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"{method} /control/{path} HTTP/1.1\r\nHost: b\r\n\r\n".encode())
        async with asyncio.timeout(5):
            head, body = await read_message(reader)
            self.assertEqual(await reader.read(), b"")  # one call per connection
        writer.close()
        return f"{head.split()[1]} {body.decode().strip()}"

    async def until(self, condition: Callable[[], bool]) -> None:
        """Waits for a condition; raises TimeoutError after 30 seconds."""
        async with asyncio.timeout(30):
            while not condition():  # noqa: ASYNC110 - no event is set for the condition
                await asyncio.sleep(0.001)


class DispatcherTestCase(LoopbackTestCase):
    """A dispatcher with a client, a backend and discovery that are played by the test."""

    def setUp(self) -> None:
        super().setUp()
        for signal_number in OPERATOR_SIGNALS:  # a dispatcher run in this process ignores them at its end
            self.addCleanup(signal.signal, signal_number, signal.getsignal(signal_number))

    async def begin(self, backend: Handler, **settings: Any) -> None:
        """Starts fake discovery and one fake backend, and creates the configuration in `config`."""
        self.backend_port = await self.start_fake_server(backend)
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
            "discovery": f"127.0.0.1:{await self.start_fake_server(discovery)}",
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
        """Returns the current discovery response, a full snapshot of the endpoints."""
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
        run_task = asyncio.create_task(self.application.run())
        await self.until(lambda: self.application.request_handler.is_serving())
        self.port = self.application.listener.port()

        async def shut_down() -> None:
            self.application.shutdown_requested.set()
            await run_task

        self.addAsyncCleanup(shut_down)

    async def send_request(self, request_id: str, headers: str = "", wait: float = 2.5) -> tuple[str, bytes]:
        """Sends a request as a client; returns the status line and body of the response."""
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
        """Sends a callback as a backend; records it in the trace with the status of its response."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        body = orjson.dumps(fields)
        writer.write(
            b"POST /v1/job-events HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        )
        head, _ = await read_message(reader)
        self.record(f"  {fields} {head.split()[1]}")
        writer.close()

    async def start_process(self, command: list[str], folder: str = "") -> asyncio.Task[str]:
        """Starts the program as operators do; the returned task has its output once it ends."""
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
        stderr = self.process.stderr
        assert stderr
        self.addAsyncCleanup(self.kill_process, self.process)
        output = [(await stderr.readline()).decode()]
        while "serving on" not in output[-1]:
            self.assertTrue(output[-1], output)
            output.append((await stderr.readline()).decode())
        self.port = int(output[-1].rpartition(":")[2])
        if "admin_addr" in self.config:
            output.append((await stderr.readline()).decode())
            self.admin_port = int(output[-1].rpartition(":")[2])
        process = self.process

        async def read_remaining_output() -> str:
            output.append((await stderr.read()).decode())
            await process.wait()
            return "".join(output)

        return asyncio.create_task(read_remaining_output())

    async def kill_process(self, process: asyncio.subprocess.Process) -> None:
        if process.returncode is None:  # a failed test must not leave a process running
            process.kill()
            await process.wait()
