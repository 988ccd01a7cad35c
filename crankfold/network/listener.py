"""Takes connections from clients and runners and carries bytes between them and their state machines."""

import asyncio
from collections.abc import Sequence
from typing import Protocol

from crankfold.network.tally import Tally
from crankfold.protocol import clients

LUMP = 64 * 1024
SLOWEST = 10.0  # seconds from the first byte of a request to its last, and for an answer to be taken
IDLE = 75.0
LINGER = 0.5  # what still comes after the last answer is read for so long, or the answer would be lost
MOST_UNREAD = 256 * 1024  # pipelined behind a request in hand


class Desk(clients.Desk, Protocol):
    def left(self, client: "Client") -> None: ...


class Client:
    """One connection that was taken."""

    def __init__(self, host: "Listener", reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.host, self.reader, self.writer = host, reader, writer
        self.side = clients.ClientSide(host.desk, self, host.report_fields)
        self.since = host.loop.time()  # of the present idleness, request or answer
        self.unread = 0

    async def serve(self) -> None:
        side = self.side
        while not side.closing:
            data = await self.reader.read(LUMP)
            if not data:
                break
            if side.in_hand:
                self.unread += len(data)
                if self.unread > MOST_UNREAD:
                    self.host.tally.count("clients-cut-off")
                    break
            elif not side.midway():
                self.since = self.host.loop.time()
            side.feed(data)
            self._flush()

    def answer(self, status: int, heads: Sequence[tuple[bytes, bytes]] = (), body: bytes = b"") -> None:
        """The answer to the request in hand; what was pipelined behind it is read a turn later."""
        self.side.last = self.side.last or self.host.draining
        self.side.answer(status, heads, body)
        self._flush()
        self.host.loop.call_soon(self._go_on)

    def _go_on(self) -> None:
        if not self.side.closing and not self.side.in_hand:
            self.unread = 0
            self.side.go_on()
            self._flush()

    def _flush(self) -> None:
        side = self.side
        if side.refused:
            self.host.tally.count(f"clients-answered-{side.refused}")
            side.refused = 0
        if side.out:
            self.writer.writelines(side.out)
            side.out.clear()
            self.since = self.host.loop.time()
        if side.closing and self.writer.can_write_eof() and not self.writer.is_closing():
            self.writer.write_eof()
            self.host.loop.call_later(LINGER, self.writer.close)

    def idle(self) -> bool:
        return not self.side.in_hand and not self.side.midway() and self.reader_empty()

    def reader_empty(self) -> bool:
        return self.writer.transport.get_write_buffer_size() == 0

    def close_idle(self) -> None:
        self.side.closing = True
        self.writer.close()


class Listener:
    def __init__(self, desk: Desk, tally: Tally, report_fields: Sequence[str], most: int) -> None:
        self.desk, self.tally, self.report_fields, self.most = desk, tally, report_fields, most
        self.loop = asyncio.get_running_loop()
        self.clients: dict[Client, None] = {}
        self.draining = False
        self.server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        self.server = await asyncio.start_server(self._taken, host, port, backlog=1024, limit=LUMP)
        self.loop.call_later(1.0, self._sweep)

    async def _taken(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        client = Client(self, reader, writer)
        self.clients[client] = None
        self.tally.count("connections-taken")
        if len(self.clients) > self.most:
            self._make_room()
        try:
            await client.serve()
        except OSError:
            pass
        finally:
            del self.clients[client]
            if client.side.in_hand:
                self.tally.count("clients-left")
                self.desk.left(client)
            if not client.side.closing:
                writer.close()

    def _make_room(self) -> None:
        """Near the limit on sockets the connection longest idle goes; a request in hand is never dropped."""
        for client in self.clients:
            if client.idle():
                self.tally.count("connections-closed-for-room")
                client.close_idle()
                return
        self.tally.count("connections-over-limit")

    def crowded(self) -> bool:
        return len(self.clients) > self.most

    def _sweep(self) -> None:
        self.loop.call_later(1.0, self._sweep)
        now = self.loop.time()
        for client in list(self.clients):
            age = now - client.since
            slow = client.side.midway() or not client.reader_empty()
            if slow and age > SLOWEST or client.idle() and age > IDLE:
                self.tally.count("clients-cut-off" if slow else "connections-idle-closed")
                client.close_idle()

    def stop_taking(self) -> None:
        if self.server:
            self.server.close()

    def close_idle(self) -> None:
        for client in list(self.clients):
            if client.idle():
                client.close_idle()
