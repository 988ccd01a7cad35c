"""The listener on loopback, on ports that the system chooses."""

import asyncio
import contextlib
import os
import resource
import socket
from unittest.mock import Mock, patch

from crankfold.network.accepted_connection import (
    MAX_UNREAD_BYTES,
    MAX_WAITING_BYTES,
    NEW_CONNECTION_GRACE,
    AcceptedConnection,
)
from crankfold.network.listener import UNCOUNTED_SOCKETS, Listener
from crankfold.network.metrics import Metrics
from tests.fixtures import read_message
from tests.loopback import CALLBACK, HEALTH_CHECK, REQUEST, LoopbackTestCase


class ListenerTest(LoopbackTestCase):
    """The listener with a handler that answers no request by itself."""

    async def start_listener(self, max_connections: int = 100) -> None:
        self.handler = Mock(is_serving=lambda: True, knows_request_class=lambda _name: True)
        self.metrics = Metrics()
        self.listener = Listener(self.handler, self.metrics, (), max_connections)
        self.listener.open("127.0.0.1", 0)
        self.addAsyncCleanup(self.listener.close)

    async def connect(self, data: bytes = b"") -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        before = self.metrics.counters["connections-accepted"]
        reader, writer = await asyncio.open_connection("127.0.0.1", self.listener.port())
        self.addCleanup(writer.close)
        writer.write(data)
        await self.until(lambda: self.metrics.counters["connections-accepted"] > before)
        return reader, writer

    async def test_sweep_aborts_connections_without_request_in_time_and_keeps_idle_ones(self) -> None:
        await self.start_listener()
        unidentified = [
            (await self.connect(data))[0] for data in (b"POST /api HTTP/1.1\r\nHo", b"", HEALTH_CHECK)
        ]
        await read_message(unidentified[2])
        identified, _ = await self.connect(CALLBACK)
        stalled, stalled_writer = await self.connect(CALLBACK)
        for reader in (identified, stalled):
            await read_message(reader)
        stalled_writer.write(b"POST /api HTTP/1.1\r\nHo")
        await self.until(
            lambda: sum(client.protocol.is_mid_request() for client in self.listener.connections) == 2
        )
        with (
            patch("crankfold.network.listener.FIRST_REQUEST_TIMEOUT", 0.0),
            patch("crankfold.network.listener.FIRST_HEADER_TIMEOUT", 0.0),
        ):
            self.listener.sweep()
        await self.assert_closed(*unidentified)
        await self.until(lambda: len(self.listener.connections) == 2)
        with patch("crankfold.network.listener.TRANSFER_TIMEOUT", 0.0):
            self.listener.sweep()
        await self.assert_closed(stalled)
        self.assertEqual(self.metrics.counters["clients-timed-out"], 4)
        with patch("crankfold.network.listener.IDLE_TIMEOUT", 0.0):
            self.listener.sweep()
        await self.assert_closed(identified)

    async def test_final_response_to_client_that_has_closed_raises_nothing(self) -> None:
        # Guards against an error of the closing socket that interrupts the router in the middle of an event.
        await self.start_listener()
        with socket.create_connection(("127.0.0.1", self.listener.port())) as client:
            client.sendall(REQUEST)
            await self.until(lambda: self.handler.submit.called)
        # The event loop has not read the close yet, and the peer answers the response by a reset.
        self.handler.submit.call_args[0][0].reject(503)
        await self.until(lambda: not self.listener.connections)

    async def test_response_unread_by_half_closed_client_is_dropped_after_timeout(self) -> None:
        # Guards against descriptors and unsent bytes that no sweep closes any more.
        await self.start_listener()
        open_before = len(os.listdir("/proc/self/fd"))
        _, writer = await self.connect(REQUEST)
        await self.until(lambda: self.handler.submit.called)
        self.handler.submit.call_args[0][0].respond(200, body=b"x" * 50_000_000)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write_eof()
        with patch("crankfold.network.listener.TRANSFER_TIMEOUT", 0.1):
            await self.until(lambda: not self.listener.connections)
        # That of the client is left.
        await self.until(lambda: len(os.listdir("/proc/self/fd")) == open_before + 1)
        writer.close()

    async def test_message_before_end_of_input_is_answered_even_if_it_waits(self) -> None:
        # Guards against a callback that is dropped unread, as the end of its connection is read before it.
        await self.start_listener()
        with patch("crankfold.network.input_scheduler.TIME_SLICE", 0.0):  # one portion at a time
            reader, writer = await self.connect()
            writer.write(CALLBACK)
            writer.write_eof()
            for _ in range(30):
                self.listener.scheduler.add(Mock(process_portion=lambda: False))
            self.assertIn(" 204 ", (await read_message(reader))[0])

    async def test_connection_whose_input_waits_ends_when_it_is_closed(self) -> None:
        # Guards against a task that waits for its time slice after the connection has been closed.
        for close in (AcceptedConnection.close, AcceptedConnection.release_memory, AcceptedConnection.abort):
            await self.start_listener()
            with patch.object(AcceptedConnection, "unsent_bytes", lambda _: 1):
                await self.connect(HEALTH_CHECK * 1000)
                connection = next(iter(self.listener.connections))
                await self.until(lambda waiting=connection: len(waiting.protocol.input) > MAX_WAITING_BYTES)  # type: ignore[misc]
                await asyncio.sleep(0.05)
            close(connection)
            async with asyncio.timeout(2):
                await self.until(lambda: not self.listener.connections)

    async def assert_closed(self, *readers: asyncio.StreamReader) -> None:
        async with asyncio.timeout(5):
            for reader in readers:
                with contextlib.suppress(ConnectionError):
                    self.assertEqual(await reader.read(), b"")

    async def test_eviction_order_is_unidentified_then_client_then_backend_connections(self) -> None:
        await self.start_listener(max_connections=5)
        backend, _ = await self.connect(CALLBACK)
        await read_message(backend)
        identified, _ = await self.connect(REQUEST)
        await self.until(lambda: self.handler.submit.called)
        self.handler.submit.call_args[0][0].respond(200)
        await read_message(identified)
        silent, _ = await self.connect()
        health_checker, _ = await self.connect(HEALTH_CHECK)
        await read_message(health_checker)
        await asyncio.sleep(NEW_CONNECTION_GRACE)
        new_reader, writer = await self.connect()
        for evicted in (silent, health_checker, identified, backend):
            await self.connect(REQUEST)
            await self.assert_closed(evicted)
        await self.until(lambda: self.handler.submit.call_count == 5)
        writer.write(HEALTH_CHECK)
        await read_message(new_reader)
        self.assertEqual(self.metrics.counters["connections-evicted"], 4)

    async def test_burst_of_connections_leaves_descriptors_free(self) -> None:
        await self.start_listener(max_connections=20)
        open_before = len(os.listdir("/proc/self/fd"))
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        sockets = [socket.socket() for _ in range(300)]
        try:
            resource.setrlimit(
                resource.RLIMIT_NOFILE, (open_before + 301 + 20 + UNCOUNTED_SOCKETS, limits[1])
            )
            for sock in sockets:
                # The connections stay in the accept queue until the event loop runs.
                sock.connect(("127.0.0.1", self.listener.port()))
            reader, writer = await asyncio.open_connection("127.0.0.1", self.listener.port())
            writer.write(HEALTH_CHECK)
            exception_handler = Mock()
            asyncio.get_running_loop().set_exception_handler(exception_handler)
            async with asyncio.timeout(9):
                await read_message(reader)
            self.assertFalse(exception_handler.called, exception_handler.mock_calls)
            self.assertEqual(self.metrics.counters["accepts-failed"], 0)
            self.assertLessEqual(len(self.listener.connections), 20)
            writer.close()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
            for sock in sockets:
                sock.close()

    async def test_rejected_request_closes_connection_despite_pipelined_requests(self) -> None:
        await self.start_listener()
        reader, _ = await self.connect(REQUEST.replace(b"Timeout: 1", b"Timeout: soon") * 200 + REQUEST)
        self.assertIn(b" 400 ", (await reader.readuntil(b"\r\n\r\n")))
        await self.assert_closed(reader)
        self.assertEqual(self.metrics.counters["clients-rejected-400"], 1)
        self.assertFalse(self.handler.submit.called)

    async def test_eviction_takes_idle_connections_and_keeps_open_requests(self) -> None:
        await self.start_listener(max_connections=2)
        reader, _writer = await self.connect(REQUEST)
        await self.until(lambda: self.handler.submit.called)
        idle, _ = await self.connect()
        self.assertFalse(self.listener.is_over_limit())
        await self.connect(REQUEST)
        self.assertEqual(await idle.read(), b"")
        await self.until(lambda: self.handler.submit.call_count == 2)
        await self.connect(REQUEST)
        self.assertTrue(self.listener.is_over_limit())  # the handler sheds further requests
        self.assertEqual(self.metrics.counters["connections-over-limit"], 1)
        self.handler.submit.call_args_list[0][0][0].respond(200, [], b"done")
        self.assertEqual((await read_message(reader))[1], b"done")

    async def test_response_to_too_large_body_arrives_while_body_is_sent(self) -> None:
        await self.start_listener()
        reader, _writer = await self.connect(
            REQUEST.replace(b"Length: 2", b"Length: 9000000") + b"x" * 5_000_000
        )
        self.assertIn(b" 413 ", await reader.readline())
        self.assertFalse(self.handler.submit.called)
        failures: list[object] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: failures.append(context))
        client = next(iter(self.listener.connections))
        # Further input stays in the kernel from now on.
        await self.until(lambda: client.unread_bytes > MAX_UNREAD_BYTES)
        tasks = [
            task
            for task in asyncio.all_tasks()
            if getattr(task.get_coro(), "__name__", "") == "_handle_connection"
        ]
        self.assertEqual(len(tasks), 1)
        tasks[0].cancel()  # as at the end of the process
        await self.until(lambda: not self.listener.connections)
        await asyncio.sleep(0)
        self.assertEqual(failures, [])

    async def test_pipelined_input_is_bounded_and_disconnect_is_noticed(self) -> None:
        await self.start_listener()
        reader, _writer = await self.connect(REQUEST + REQUEST * 2000)
        await self.until(lambda: self.handler.submit.called)
        client = self.handler.submit.call_args[0][0]
        await self.until(lambda: client.unread_bytes > MAX_UNREAD_BYTES)
        self.assertLess(client.unread_bytes, 2 * MAX_UNREAD_BYTES)  # further input stays in the kernel
        client.respond(200)
        await read_message(reader)
        await self.until(lambda: self.handler.submit.call_count == 2)
        _, leaving_writer = await self.connect(REQUEST)
        await self.until(lambda: self.handler.submit.call_count == 3)
        leaving_writer.close()
        await self.until(lambda: self.handler.client_disconnected.called)
        self.assertIs(self.handler.client_disconnected.call_args[0][0], self.handler.submit.call_args[0][0])
