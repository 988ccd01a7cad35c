"""The admin server: calls in pieces, silent callers, and descriptors at the limit."""

import asyncio
import contextlib
import os
import resource
import socket
import time
from typing import Any
from unittest.mock import AsyncMock, Mock

from crankfold.network.admin_server import MAX_CALLERS, AdminServer
from crankfold.network.listener import Listener
from crankfold.network.metrics import Metrics
from crankfold.protocol.admin_api import MAX_CALL_SIZE, AdminConnection, execute
from crankfold.service.config_file import divide_socket_limit
from tests.loopback import Loopback

CALLS = {
    "ready": b"GET /control/ready HTTP/1.1\r\nHost: b\r\n\r\n",
    "out": b"POST /control/runners/s-1/offline HTTP/1.1\r\nHost: b\r\nContent-Length: 2\r\n\r\nhi",
    "in, an odd id": b"POST /control/runners/a%2Fb%20c/online?why=x HTTP/1.0\r\n\r\n",
    "never listed": b"POST /control/runners/nobody/offline HTTP/1.1\r\nHost: b\r\n\r\n",
    "drain, in chunks": b"POST /control/out-of-service HTTP/1.1\r\nHost: b\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
    "back": b"POST /control/in-service HTTP/1.1\r\nHost: b\r\n\r\n",
    "twice in one": b"GET /control/ready HTTP/1.1\r\nHost: b\r\n\r\n" * 2,
    "wrong method": b"GET /control/in-service HTTP/1.1\r\nHost: b\r\n\r\n",
    "ready by post": b"POST /control/ready HTTP/1.1\r\nHost: b\r\n\r\n",
    "no such path": b"POST /control/runners HTTP/1.1\r\nHost: b\r\n\r\n",
    "no id": b"POST /control/runners//offline HTTP/1.1\r\nHost: b\r\n\r\n",
    "a long id": b"POST /control/runners/" + b"x" * 300 + b"/offline HTTP/1.1\r\nHost: b\r\n\r\n",
    "no HTTP": b"ready?\r\n\r\n",
    "a bad length": b"POST /control/in-service HTTP/1.1\r\nHost: b\r\nContent-Length: -1\r\n\r\n",
    "no host": b"GET /control/ready HTTP/1.1\r\n\r\n",
    "too long": b"POST /control/in-service HTTP/1.1\r\nHost: b\r\nContent-Length: 9000\r\n\r\n" + b"x" * 9000,
    "a head without end": b"GET /control/ready HTTP/1.1\r\n" + b"X-A: b\r\n" * 2 * (MAX_CALL_SIZE // 8),
}


class AdminCallsTest(Loopback):
    async def test_calls_whole_and_cut_at_every_byte(self) -> None:
        for what, request in CALLS.items():
            response = await self.responses([request])
            self.record(f"{what}: {response}")
            for cut in range(1, min(len(request), 400)):
                self.assertEqual(
                    await self.responses([request[:cut], request[cut:]]), response, f"{what} at {cut}"
                )
        self.assert_matches_trace("operators-calls")

    async def responses(self, pieces: list[bytes]) -> str:
        calls: list[str] = []

        def record(what: str, yes: bool) -> bool:
            calls.append(what)
            return yes

        operations = Mock(
            is_ready=lambda: record("ready?", False),
            leave_service=lambda: record("leave", True),
            drain_backend=AsyncMock(side_effect=lambda uid: record(f"out {uid!r}", uid != "nobody")),
            restore_backend=AsyncMock(side_effect=lambda uid: record(f"back {uid!r}", True)),
            enter_service=lambda: record("enter", True),
        )
        connection = AdminConnection()
        for piece in pieces:
            connection.receive_data(piece)
        if connection.command:
            await execute(connection, operations)
        head, _, body = b"".join(connection.outgoing).partition(b"\r\n\r\n")
        self.assertIn(b"Connection: close", head)
        return f"{', '.join(calls) or '-'}: {head.split()[1].decode()} {body.decode().strip()}"

    async def test_silent_callers_by_hundreds_keep_nobody_out(self) -> None:
        metrics = Metrics()
        admin_server = AdminServer(Mock(is_ready=lambda: True), metrics)
        admin_server.open("127.0.0.1", 0)
        self.addAsyncCleanup(admin_server.close)
        silent = []
        for n in range(120):
            reader, writer = await asyncio.open_connection("127.0.0.1", admin_server.port())
            self.addCleanup(writer.close)
            writer.write(b"" if n % 2 else b"GET /control/re")
            silent.append(reader)
            self.assertLessEqual(len(admin_server.connections), MAX_CALLERS)
        began = time.monotonic()
        self.assertEqual(await self.call(admin_server.port(), "ready", "GET"), "200 ready")
        self.assertLess(time.monotonic() - began, 0.5)
        with contextlib.suppress(ConnectionError):
            self.assertEqual(await silent[0].read(), b"")  # the first to come went for the last
        async with asyncio.timeout(5):  # and who stays without a call is told so
            self.assertIn(b" 408 ", await silent[-1].readline())
        await self.until(lambda: not admin_server.connections)

    async def test_who_waits_for_a_decision_is_not_sent_away_for_who_says_nothing(self) -> None:
        decided = asyncio.Event()

        async def drain_backend(_uid: str) -> bool:
            await decided.wait()
            return True

        admin_server = AdminServer(Mock(drain_backend=drain_backend), Metrics())
        admin_server.open("127.0.0.1", 0)
        self.addAsyncCleanup(admin_server.close)
        waiting = asyncio.create_task(self.call(admin_server.port(), "runners/a/offline"))
        await self.until(lambda: any(connection.command for connection in admin_server.connections))
        for _ in range(2 * MAX_CALLERS):
            _, writer = await asyncio.open_connection("127.0.0.1", admin_server.port())
            self.addCleanup(writer.close)
        await asyncio.sleep(0.05)
        decided.set()
        self.assertEqual(await waiting, "200 offline")


class SocketLimitTest(Loopback):
    async def test_clients_that_use_up_their_places_leave_the_operators_theirs(self) -> None:
        given: dict[str, Any] = {"limits": {"sockets": 120}}
        with_admin_server, without = divide_socket_limit(given, True)[1], divide_socket_limit(given, False)[1]
        self.assertGreaterEqual(without - with_admin_server, MAX_CALLERS)
        metrics = Metrics()
        listener = Listener(Mock(is_serving=lambda: True), metrics, (), with_admin_server)
        listener.open("127.0.0.1", 0)
        self.addAsyncCleanup(listener.close)
        admin_server = AdminServer(Mock(is_ready=lambda: True), metrics)
        admin_server.open("127.0.0.1", 0)
        self.addAsyncCleanup(admin_server.close)
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        rush = [socket.socket() for _ in range(400)]
        try:
            for client in rush:
                client.connect(("127.0.0.1", listener.port()))  # the system takes them; nobody here yet
            inside = len(os.listdir("/proc/self/fd"))
            resource.setrlimit(resource.RLIMIT_NOFILE, (inside + 120, limits[1]))
            for _ in range(20):
                began = time.monotonic()
                self.assertEqual(await self.call(admin_server.port(), "ready", "GET"), "200 ready")
                self.assertLess(time.monotonic() - began, 0.9)
            self.assertLessEqual(len(listener.connections), with_admin_server)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
            for client in rush:
                client.close()
