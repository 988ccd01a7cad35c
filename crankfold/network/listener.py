"""Takes connections from clients and runners and carries bytes between them and their state machines."""

import asyncio
import socket
from collections.abc import Sequence
from typing import Protocol

from crankfold.network.peek import ENDED, holds
from crankfold.network.tally import Tally
from crankfold.protocol import clients

LUMP = 16 * 1024
FIRST = 2.0  # seconds from connecting to a first unit or call-back; who sends neither must be out by 3
SLOWEST = 5.0  # from the first byte of a later request to its last, and for an answer to be taken
IDLE = 75.0
SWEEP = 0.25
FRESH = 0.1  # a connection so young may have its first request under way
LINGER = 0.5  # what still comes after the last answer is read for so long: a reset would overtake it
MOST_UNREAD = 64 * 1024  # pipelined behind a request in hand, or read only to be thrown away
GLANCE = 0.002  # between lumps of what is thrown away; each who sends such waits for all others who do
WAITING, AT_ONCE = 1024, 4  # connections not accepted yet, and accepted in one turn of the loop
UNCOUNTED = 6 * AT_ONCE  # asyncio takes some turns from accepting one to telling, and to close another for it


class Desk(clients.Desk, Protocol):
    def left(self, client: "Client") -> None: ...


class Client:
    """One connection that was taken."""

    def __init__(self, host: "Listener", reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.host, self.reader, self.writer = host, reader, writer
        self.side = clients.ClientSide(host.desk, self, host.report_fields)
        self.came = self.since = host.loop.time()  # of the present idleness, request or answer
        self.unread = 0  # came behind a request in hand, or after the last answer

    async def serve(self) -> None:
        side = self.side
        while data := await self.reader.read(4 * LUMP):
            if side.closing or side.in_hand and not side.deaf:
                self.unread += len(data)
            if side.closing:
                if self.unread > MOST_UNREAD:
                    # Sixty megabytes at full speed would cost the others time; left unread they wait outside.
                    await asyncio.sleep(LINGER)
                    return
                continue
            if side.deaf:
                await asyncio.sleep(GLANCE * len(self.host.floods))
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
            if side.known:
                self.host.strangers.pop(self, None)
            if self.unread > MOST_UNREAD and side.in_hand:
                # Its end stands behind what it sends: left unread, the client's leaving would not be seen and
                # its unit be sent on for nobody. Clients send one request at a time; here the rest is lost.
                side.deaf = True
                self.host.floods.add(self)

    def has_gone(self) -> bool:
        """Whether its end has come, read or not: one that gave up while it waited to be accepted."""
        return holds(self.writer, ENDED)

    def answer(self, status: int, heads: Sequence[tuple[bytes, bytes]] = (), body: bytes = b"") -> None:
        """The answer to the request in hand; what was pipelined behind it is read a turn later."""
        self.side.last = self.side.last or self.host.parting
        self.side.answer(status, heads, body)
        self._flush()
        self.host.loop.call_soon(self._go_on)

    def refuse(self, status: int) -> None:
        self.side.last = True
        self.answer(status)

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
        if side.closing:
            self._half_close()

    def _half_close(self) -> None:
        """Nothing more is written. What still comes is read and thrown away: a close over unread bytes resets
        the connection, and that overtakes the last answer."""
        if not self.writer.is_closing() and self.writer.can_write_eof():
            self.writer.write_eof()
            self.host.loop.call_later(LINGER, self.writer.close)

    def unwritten(self) -> bool:
        return self.writer.transport.get_write_buffer_size() > 0

    def idle(self) -> bool:
        return not self.side.in_hand and not self.side.midway() and not self.unwritten()

    def expected(self) -> bool:
        """More is to be read from it: the rest of a request, or its first one."""
        return not self.side.closing and not self.side.in_hand and (
            self.side.midway() or self.host.loop.time() - self.since <= FRESH)

    def close(self) -> None:
        """Between requests. One that crosses is not read as one, and its client sends it again elsewhere."""
        self.side.closing = True
        self._half_close()

    def abort(self) -> None:
        self.side.closing = True
        self.writer.transport.abort()

    def standing(self) -> tuple[bool, bool, float]:
        """Who of those at rest goes first when room is short: who is done, then clients, then runners."""
        return not self.side.closing, self.side.calls_back, self.since


class Listener:
    def __init__(self, desk: Desk, tally: Tally, report_fields: Sequence[str], most: int) -> None:
        self.desk, self.tally, self.report_fields, self.most = desk, tally, report_fields, most
        self.loop = asyncio.get_running_loop()
        self.clients: set[Client] = set()
        self.floods: set[Client] = set()  # send more behind a request than is kept
        self.strangers: dict[Client, None] = {}  # no unit or call-back so far, the first to come first
        self.parting = False  # out of service or ending: answers are the last on their connections
        self.server: asyncio.Server | None = None
        self.copy: socket.socket | None = None  # of the listening one, to be passed on

    async def open(self, host: str, port: int, passed: socket.socket | None = None,
                   shared: bool = False) -> None:
        """With `shared`, where processes follow one another; `passed` is what the one before listened on."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        door = passed or socket.create_server((host, port), family=family, backlog=WAITING,
                                              reuse_port=shared)
        # Taken over by each connection: asyncio reads all that the system holds, for each at once.
        door.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2 * LUMP)
        if shared:
            self.copy = door.dup()
        await self._accept(door)

    async def _accept(self, door: socket.socket) -> None:
        self.server = await asyncio.start_server(self._taken, sock=door, backlog=AT_ONCE, limit=LUMP)
        # asyncio takes one figure for both; with as many taken in a turn a rush runs out of descriptors, and
        # asyncio then accepts nobody for a second.
        door.listen(WAITING)

    def pause(self) -> None:
        """Takes nobody new. The copy keeps the queue of those who wait, for whoever accepts next."""
        if self.server:
            self.server.close()
            self.server = None

    async def resume(self) -> None:
        if self.copy and not self.server:
            await self._accept(self.copy.dup())

    def port(self) -> int:
        return int(self.server.sockets[0].getsockname()[1]) if self.server else 0

    async def _taken(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        client = Client(self, reader, writer)
        self.tally.count("connections-taken")
        self._make_room()
        self.clients.add(client)
        self.strangers[client] = None
        try:
            await client.serve()
        except OSError:
            self.tally.count("connections-reset")
        except asyncio.CancelledError:
            pass  # the program ends while a refused client is still sending: no failure of ours
        finally:
            self._forget(client)
            if client.side.in_hand:
                self.tally.count("clients-left")
                self.desk.left(client)
            writer.close()

    def _make_room(self) -> None:
        """Near the limit on sockets somebody goes; a request in hand is never dropped."""
        if len(self.clients) < self.most:
            return
        # Some come by hundreds, say nothing or ask for our health once, and stay: they go before the rest.
        # Among the young ones are call-backs under way; closed for room these were told again 0.2 s later.
        least = next(iter(self.strangers), None)
        if not least or self.loop.time() - least.came < FRESH:
            resting = (client for client in self.clients if client.side.known and client.idle())
            least = min(resting, key=Client.standing, default=least)
        if least:
            self.tally.count("connections-closed-for-room")
            self._forget(least)
            least.abort()
        else:
            self.tally.count("connections-over-limit")

    def _forget(self, client: Client) -> None:
        self.clients.discard(client)
        self.floods.discard(client)
        self.strangers.pop(client, None)

    def crowded(self) -> bool:
        return len(self.clients) > self.most

    def sweep(self) -> None:
        now = self.loop.time()
        for client in list(self.strangers):
            if now - client.came <= FIRST:
                break
            if not client.side.closing:  # else it has LINGER
                # Says nothing, sends a head without end, or asked for our health alone.
                self.tally.count("clients-cut-off")
                client.abort()
        for client in list(self.clients):
            side, age = client.side, now - client.since
            if not side.known or side.closing:
                continue
            if age > SLOWEST and (client.unwritten() or side.midway()):
                self.tally.count("clients-cut-off")
                client.abort()
            elif age > IDLE and client.idle():
                self.tally.count("connections-idle-closed")
                client.close()

    def of_clients(self) -> bool:
        return any(not client.side.calls_back for client in self.clients)

    def expects(self) -> bool:
        return any(client.expected() for client in self.clients)

    def close_idle(self, spare_call_backs: bool = False) -> None:
        for client in self.clients:
            if spare_call_backs and client.side.calls_back:
                continue
            if client.idle() and not client.side.closing and self.loop.time() - client.since > FRESH:
                client.close()

    async def close(self) -> None:
        """The last: no more connections, and what is written gets a moment to leave."""
        self.pause()
        if self.copy:
            self.copy.close()
        for client in self.clients:
            client.close()
        for _ in range(20):
            if not self.clients:
                return
            await asyncio.sleep(0.01)
        for client in list(self.clients):
            client.writer.close()
