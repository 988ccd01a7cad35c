"""The admin server: calls split at any byte, idle callers, and the limit on descriptors."""

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
from tests.loopback import LoopbackTestCase

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


class AdminServerTest(LoopbackTestCase):
    async def test_call_split_at_any_byte_gets_same_response(self) -> None:
        for name, request in CALLS.items():
            response = await self.execute_call([request])
            self.record(f"{name}: {response}")
            for position in range(1, min(len(request), 400)):
                self.assertEqual(
                    await self.execute_call([request[:position], request[position:]]),
                    response,
                    f"{name}, split at {position}",
                )
        self.assert_matches_trace("operators-calls")

    async def execute_call(self, pieces: list[bytes]) -> str:
        calls: list[str] = []

        def record(operation: str, result: bool) -> bool:
            calls.append(operation)
            return result

        operations = Mock(
            is_ready=lambda: record("ready?", False),
            leave_service=AsyncMock(side_effect=lambda: record("leave", True)),
            drain_backend=AsyncMock(
                side_effect=lambda backend_id: record(f"out {backend_id!r}", backend_id != "nobody")
            ),
            restore_backend=AsyncMock(side_effect=lambda backend_id: record(f"back {backend_id!r}", True)),
            enter_service=AsyncMock(side_effect=lambda: record("enter", True)),
        )
        connection = AdminConnection()
        for piece in pieces:
            connection.receive_data(piece)
        if connection.command:
            await execute(connection, operations)
        head, _, body = b"".join(connection.outgoing).partition(b"\r\n\r\n")
        self.assertIn(b"Connection: close", head)
        return f"{', '.join(calls) or '-'}: {head.split()[1].decode()} {body.decode().strip()}"

    # Guards against calls that cost much more than their bytes.
    def test_call_with_too_many_fields_or_document_without_cluster_is_rejected(self) -> None:
        connection = AdminConnection()
        connection.receive_data(b"GET /control/ready HTTP/1.1\r\nHost: b\r\n" + b"a:\r\n" * 900 + b"\r\n")
        self.assertIn(b" 431 ", connection.outgoing[0])
        head = b"POST /control/agreed/settings HTTP/1.1\r\nHost: b\r\nContent-Length: 9000\r\n\r\n"
        for accepts_documents in (True, False):
            connection = AdminConnection(accepts_documents=accepts_documents)
            for _ in range(8):
                connection.receive_data((head if not connection.head else b"") + b"x" * 1000)
            self.assertEqual(connection.answered, not accepts_documents)

    async def test_idle_connections_do_not_block_calls(self) -> None:
        metrics = Metrics()
        admin_server = AdminServer(Mock(is_ready=lambda: True), metrics)
        admin_server.open("127.0.0.1", 0)
        self.addAsyncCleanup(admin_server.close)
        idle_readers = []
        for number in range(120):
            reader, writer = await asyncio.open_connection("127.0.0.1", admin_server.port())
            self.addCleanup(writer.close)
            writer.write(b"" if number % 2 else b"GET /control/re")
            idle_readers.append(reader)
            self.assertLessEqual(len(admin_server.connections), MAX_CALLERS)
        started_at = time.monotonic()
        self.assertEqual(await self.call(admin_server.port(), "ready", "GET"), "200 ready")
        self.assertLess(time.monotonic() - started_at, 0.5)
        with contextlib.suppress(ConnectionError):
            # The oldest connections were evicted for new ones.
            self.assertEqual(await idle_readers[0].read(), b"")
        async with asyncio.timeout(5):  # a connection that sends no call is answered with a timeout
            self.assertIn(b" 408 ", await idle_readers[-1].readline())
        await self.until(lambda: not admin_server.connections)

    async def test_pending_call_is_not_evicted_for_idle_connections(self) -> None:
        drain_applied = asyncio.Event()

        async def drain_backend(_backend_id: str) -> bool:
            await drain_applied.wait()
            return True

        admin_server = AdminServer(Mock(drain_backend=drain_backend), Metrics())
        admin_server.open("127.0.0.1", 0)
        self.addAsyncCleanup(admin_server.close)
        pending_call = asyncio.create_task(self.call(admin_server.port(), "runners/a/offline"))
        await self.until(lambda: any(connection.command for connection in admin_server.connections))
        for _ in range(2 * MAX_CALLERS):
            _, writer = await asyncio.open_connection("127.0.0.1", admin_server.port())
            self.addCleanup(writer.close)
        await asyncio.sleep(0.05)
        drain_applied.set()
        self.assertEqual(await pending_call, "200 offline")


class SocketLimitTest(LoopbackTestCase):
    async def test_clients_at_socket_limit_leave_descriptors_for_admin_calls(self) -> None:
        config: dict[str, Any] = {"limits": {"sockets": 120}}
        with_admin, without_admin = (
            divide_socket_limit(config, True)[1],
            divide_socket_limit(config, False)[1],
        )
        self.assertGreaterEqual(without_admin - with_admin, MAX_CALLERS)
        metrics = Metrics()
        listener = Listener(Mock(is_serving=lambda: True), metrics, (), with_admin)
        listener.open("127.0.0.1", 0)
        self.addAsyncCleanup(listener.close)
        admin_server = AdminServer(Mock(is_ready=lambda: True), metrics)
        admin_server.open("127.0.0.1", 0)
        self.addAsyncCleanup(admin_server.close)
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        clients = [socket.socket() for _ in range(400)]
        try:
            for client in clients:
                # The connections stay in the accept queue until the event loop runs.
                client.connect(("127.0.0.1", listener.port()))
            open_descriptors = len(os.listdir("/proc/self/fd"))
            resource.setrlimit(resource.RLIMIT_NOFILE, (open_descriptors + 120, limits[1]))
            for _ in range(20):
                started_at = time.monotonic()
                self.assertEqual(await self.call(admin_server.port(), "ready", "GET"), "200 ready")
                self.assertLess(time.monotonic() - started_at, 0.9)
            self.assertLessEqual(len(listener.connections), with_admin)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
            for client in clients:
                client.close()
