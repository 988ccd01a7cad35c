"""The listener on loopback, on ports the system picks."""

import asyncio
import contextlib
import os
import resource
import socket
from unittest.mock import Mock, patch

from crankfold.network.accepted_connection import MAX_UNREAD_BYTES, NEW_CONNECTION_GRACE
from crankfold.network.listener import UNCOUNTED_SOCKETS, Listener
from crankfold.network.metrics import Metrics
from tests.fixtures import read_message
from tests.loopback import CALLBACK, HEALTH_CHECK, REQUEST, Loopback


class ListenerTest(Loopback):
    """The listener before a handler that answers nothing by itself."""

    async def begin(self, max_connections: int = 100) -> None:
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

    async def test_connections_without_a_request_in_time_are_aborted_and_others_may_be_idle(self) -> None:
        await self.begin()
        unidentified = [
            (await self.connect(data))[0] for data in (b"POST /api HTTP/1.1\r\nHo", b"", HEALTH_CHECK)
        ]
        await read_message(unidentified[2])
        identified, _ = await self.connect(CALLBACK)
        later, more = await self.connect(CALLBACK)
        for reader in (identified, later):
            await read_message(reader)
        more.write(b"POST /api HTTP/1.1\r\nHo")
        await self.until(
            lambda: sum(client.protocol.is_mid_request() for client in self.listener.connections) == 2
        )
        with (
            patch("crankfold.network.listener.FIRST_REQUEST_TIMEOUT", 0.0),
            patch("crankfold.network.listener.FIRST_HEADER_TIMEOUT", 0.0),
        ):
            self.listener.sweep()
        await self.ended(*unidentified)
        await self.until(lambda: len(self.listener.connections) == 2)
        with patch("crankfold.network.listener.TRANSFER_TIMEOUT", 0.0):
            self.listener.sweep()
        await self.ended(later)
        self.assertEqual(self.metrics.counters["clients-timed-out"], 4)
        with patch("crankfold.network.listener.IDLE_TIMEOUT", 0.0):
            self.listener.sweep()
        await self.ended(identified)

    async def ended(self, *readers: asyncio.StreamReader) -> None:
        async with asyncio.timeout(5):
            for reader in readers:
                with contextlib.suppress(ConnectionError):
                    self.assertEqual(await reader.read(), b"")

    async def test_at_the_limit_unidentified_connections_go_first_and_new_ones_and_backends_last(
        self,
    ) -> None:
        await self.begin(max_connections=5)
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
        young, writer = await self.connect()
        for gone in (silent, health_checker, identified, backend):
            await self.connect(REQUEST)
            await self.ended(gone)
        await self.until(lambda: self.handler.submit.call_count == 5)
        writer.write(HEALTH_CHECK)
        await read_message(young)
        self.assertEqual(self.metrics.counters["connections-evicted"], 4)

    async def test_a_rush_of_connections_leaves_descriptors_free(self) -> None:
        await self.begin(max_connections=20)
        open_before = len(os.listdir("/proc/self/fd"))
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        rush = [socket.socket() for _ in range(300)]
        try:
            resource.setrlimit(
                resource.RLIMIT_NOFILE, (open_before + 301 + 20 + UNCOUNTED_SOCKETS, limits[1])
            )
            for sock in rush:
                sock.connect(("127.0.0.1", self.listener.port()))  # the system takes them; nobody here yet
            reader, writer = await asyncio.open_connection("127.0.0.1", self.listener.port())
            writer.write(HEALTH_CHECK)
            failed = Mock()
            asyncio.get_running_loop().set_exception_handler(failed)
            async with asyncio.timeout(9):
                await read_message(reader)
            self.assertFalse(failed.called, failed.mock_calls)
            self.assertEqual(self.metrics.counters["accepts-failed"], 0)
            self.assertLessEqual(len(self.listener.connections), 20)
            writer.close()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
            for sock in rush:
                sock.close()

    async def test_one_rejected_request_ends_the_connection_whatever_is_pipelined_behind(self) -> None:
        await self.begin()
        reader, _ = await self.connect(REQUEST.replace(b"Timeout: 1", b"Timeout: soon") * 200 + REQUEST)
        self.assertIn(b" 400 ", (await reader.readuntil(b"\r\n\r\n")))
        await self.ended(reader)
        self.assertEqual(self.metrics.counters["clients-rejected-400"], 1)
        self.assertFalse(self.handler.submit.called)

    async def test_at_the_limit_idle_connections_go_and_a_request_in_hand_stays(self) -> None:
        await self.begin(max_connections=2)
        reader, _writer = await self.connect(REQUEST)
        await self.until(lambda: self.handler.submit.called)
        idle, _ = await self.connect()
        self.assertFalse(self.listener.is_over_limit())
        await self.connect(REQUEST)
        self.assertEqual(await idle.read(), b"")
        await self.until(lambda: self.handler.submit.call_count == 2)
        await self.connect(REQUEST)
        self.assertTrue(self.listener.is_over_limit())  # the handler sheds what comes now
        self.assertEqual(self.metrics.counters["connections-over-limit"], 1)
        self.handler.submit.call_args_list[0][0][0].respond(200, [], b"done")
        self.assertEqual((await read_message(reader))[1], b"done")

    async def test_the_response_to_a_body_too_large_arrives_while_it_is_still_sent(self) -> None:
        await self.begin()
        reader, _writer = await self.connect(
            REQUEST.replace(b"Length: 2", b"Length: 9000000") + b"x" * 5_000_000
        )
        self.assertIn(b" 413 ", await reader.readline())
        self.assertFalse(self.handler.submit.called)
        failures: list[object] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: failures.append(context))
        client = next(iter(self.listener.connections))
        # From here on the rest is left outside.
        await self.until(lambda: client.unread_bytes > MAX_UNREAD_BYTES)
        tasks = [
            task
            for task in asyncio.all_tasks()
            if getattr(task.get_coro(), "__name__", "") == "_handle_connection"
        ]
        self.assertEqual(len(tasks), 1)
        tasks[0].cancel()  # as the end of the program does
        await self.until(lambda: not self.listener.connections)
        await asyncio.sleep(0)
        self.assertEqual(failures, [])

    async def test_a_client_that_disconnects_and_one_that_pipelines_without_end(self) -> None:
        await self.begin()
        reader, _writer = await self.connect(REQUEST + REQUEST * 2000)
        await self.until(lambda: self.handler.submit.called)
        client = self.handler.submit.call_args[0][0]
        await self.until(lambda: client.unread_bytes > MAX_UNREAD_BYTES)
        self.assertLess(client.unread_bytes, 2 * MAX_UNREAD_BYTES)  # the rest waits outside
        client.respond(200)
        await read_message(reader)
        await self.until(lambda: self.handler.submit.call_count == 2)
        _, leaving = await self.connect(REQUEST)
        await self.until(lambda: self.handler.submit.call_count == 3)
        leaving.close()
        await self.until(lambda: self.handler.client_disconnected.called)
        self.assertIs(self.handler.client_disconnected.call_args[0][0], self.handler.submit.call_args[0][0])
