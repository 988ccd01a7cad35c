"""Takes connections from clients and runners and carries bytes between them and their state machines."""

import asyncio
from collections.abc import Sequence
from typing import Protocol

from crankfold.network.tally import Tally
from crankfold.protocol import clients

LUMP = 16 * 1024
SLOWEST = 10.0  # seconds from the first byte of a request to its last, and for an answer to be taken
IDLE = 75.0
FRESH = 0.05  # a connection so young may have its first request under way
LINGER = 0.5  # what still comes after the last answer is read for so long: a reset would overtake it
MOST_UNREAD = 64 * 1024  # pipelined behind a request in hand


class Desk(clients.Desk, Protocol):
    def left(self, client: "Client") -> None: ...


class Client:
    """One connection that was taken."""

    def __init__(self, host: "Listener", reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.host, self.reader, self.writer = host, reader, writer
        self.side = clients.ClientSide(host.desk, self, host.report_fields)
        self.since = host.loop.time()  # of the present idleness, request or answer
        self.unread = 0
        self.answered = asyncio.Event()

    async def serve(self) -> None:
        side = self.side
        while data := await self.reader.read(LUMP):
            if side.closing:
                continue
            if not side.in_hand and not side.midway():
                self.since = self.host.loop.time()
            try:
                side.feed(data)
            except Exception as wrong:
                # A failure of ours must not lose a request that was taken.
                self.host.tally.failed(wrong)
                if side.in_hand:
                    self.answer(500)
                if __debug__:
                    raise
            self._flush()
            self.unread += len(data)
            while side.in_hand and not side.closing and self.unread > MOST_UNREAD:
                self.answered.clear()
                await self.answered.wait()

    def answer(self, status: int, heads: Sequence[tuple[bytes, bytes]] = (), body: bytes = b"") -> None:
        """The answer to the request in hand; what was pipelined behind it is read a turn later."""
        self.side.last = self.side.last or self.host.draining
        self.side.answer(status, heads, body)
        self._flush()
        self.answered.set()
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
        if side.closing and not self.writer.is_closing() and self.writer.can_write_eof():
            self.writer.write_eof()
            self.host.loop.call_later(LINGER, self.writer.close)

    def unwritten(self) -> bool:
        return self.writer.transport.get_write_buffer_size() > 0

    def idle(self) -> bool:
        return not self.side.in_hand and not self.side.midway() and not self.unwritten()

    def close(self) -> None:
        self.side.closing = True
        self.answered.set()
        self.writer.close()


class Listener:
    def __init__(self, desk: Desk, tally: Tally, report_fields: Sequence[str], most: int) -> None:
        self.desk, self.tally, self.report_fields, self.most = desk, tally, report_fields, most
        self.loop = asyncio.get_running_loop()
        self.clients: set[Client] = set()
        self.draining = False
        self.server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        self.server = await asyncio.start_server(self._taken, host, port, backlog=1024, limit=LUMP)

    def port(self) -> int:
        return int(self.server.sockets[0].getsockname()[1]) if self.server else 0

    async def _taken(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        client = Client(self, reader, writer)
        self.tally.count("connections-taken")
        self._make_room()
        self.clients.add(client)
        try:
            await client.serve()
        except OSError:
            self.tally.count("connections-reset")
        finally:
            self.clients.discard(client)
            if client.side.in_hand:
                self.tally.count("clients-left")
                self.desk.left(client)
            writer.close()

    def _make_room(self) -> None:
        """Near the limit on sockets the connection longest idle goes; a request in hand is never dropped."""
        if len(self.clients) < self.most:
            return
        idle = [client for client in self.clients if client.idle() and not client.side.closing]
        if idle:
            self.tally.count("connections-closed-for-room")
            min(idle, key=lambda client: client.since).close()
        else:
            self.tally.count("connections-over-limit")

    def crowded(self) -> bool:
        return len(self.clients) > self.most

    def sweep(self) -> None:
        now = self.loop.time()
        for client in self.clients:
            age = now - client.since
            if age > SLOWEST and (client.unwritten() or client.side.midway()):
                # A head that never ends, or an answer that is never taken.
                self.tally.count("clients-cut-off")
                client.side.closing = True
                client.writer.transport.abort()
            elif age > IDLE and client.idle():
                self.tally.count("connections-idle-closed")
                client.close()

    def close_idle(self) -> None:
        for client in self.clients:
            if client.idle() and not client.side.closing and self.loop.time() - client.since > FRESH:
                client.close()

    async def close(self) -> None:
        """The last: no more connections, and what is written gets a moment to leave."""
        if self.server:
            self.server.close()
        for client in self.clients:
            client.close()
        for _ in range(20):
            if not self.clients:
                return
            await asyncio.sleep(0.01)
