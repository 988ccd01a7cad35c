"""Races between what a client sends and the close of its connection, on real sockets."""

import asyncio
import contextlib
from unittest.mock import Mock

from crankfold.network.accepted_connection import MAX_UNREAD_BYTES
from crankfold.network.listener import Listener
from crankfold.network.metrics import Metrics
from tests.fixtures import read_message
from tests.loopback import REQUEST, LoopbackTestCase


class ListenerRacesTest(LoopbackTestCase):
    async def start_listener(self) -> None:
        self.handler = Mock(is_serving=lambda: True, knows_request_class=lambda _name: True)
        self.metrics = Metrics()
        self.listener = Listener(self.handler, self.metrics, (), 100)
        self.listener.open("127.0.0.1", 0)
        self.addAsyncCleanup(self.listener.close)

    async def test_disconnect_after_large_request_or_flood_is_noticed(self) -> None:
        await self.start_listener()
        large_request = REQUEST.replace(b"Length: 2", b"Length: 60000") + b"x" * 59_998
        for number, flood in enumerate((b"", b"y" * 400_000), 1):
            _reader, writer = await asyncio.open_connection("127.0.0.1", self.listener.port())
            writer.write(large_request + flood)
            await self.until(lambda count=number: self.handler.submit.call_count == count)  # type: ignore[misc]
            with contextlib.suppress(ConnectionError):
                await writer.drain()
            writer.close()
            async with asyncio.timeout(2):
                await self.until(lambda count=number: self.handler.client_disconnected.call_count == count)  # type: ignore[misc]

    async def test_client_that_floods_after_its_request_receives_complete_response(self) -> None:
        await self.start_listener()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.listener.port())
        writer.write(REQUEST)
        await self.until(lambda: self.handler.submit.called)
        client = self.handler.submit.call_args[0][0]
        writer.write(b"y" * 9 * MAX_UNREAD_BYTES)
        await self.until(lambda: client.protocol.discarding_input)
        client.respond(200, [], b"done")
        self.assertEqual((await read_message(reader))[1], b"done")
        writer.close()

    async def test_request_in_transit_while_idle_connection_closes_is_not_forwarded(self) -> None:
        await self.start_listener()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.listener.port())
        writer.write(REQUEST)
        await self.until(lambda: self.handler.submit.called)
        client = self.handler.submit.call_args[0][0]
        client.respond(200, [], b"done")
        await asyncio.sleep(0.01)
        writer.write(REQUEST.replace(b"u1", b"u2"))  # in the kernel by now, and not read
        client.close()
        self.assertEqual((await read_message(reader))[1], b"done")  # a TCP reset did not discard the response
        self.assertEqual(await reader.read(), b"")
        self.assertEqual(self.handler.submit.call_count, 1)
        writer.close()
