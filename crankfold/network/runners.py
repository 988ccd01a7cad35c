"""Connections to one runner: kept, used again most recent first, and never used for two exchanges at once."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from typing import SupportsIndex

from crankfold.network.peek import ANYTHING, holds
from crankfold.network.tally import Tally
from crankfold.protocol.runners import TAKEN, RunnerSide, outcome_of

LUMP = 64 * 1024
# A second answer to the last request, some milliseconds late, would be read as the answer to the next: a late
# "never ran" of something that did would have it run twice. Who was just answered rests for so long first.
SETTLE = 0.05


class Exchange:
    """One exchange with a runner, from the wish to its end."""

    __slots__ = ("method", "target", "heads", "body", "may_go", "ended", "connection", "over", "settled")

    def __init__(self, method: bytes, target: bytes, heads: Callable[[], Sequence[tuple[bytes, bytes]]],
                 body: bytes, may_go: Callable[[], bool],
                 ended: Callable[[str, RunnerSide | None], None], settled: bool = True) -> None:
        self.method, self.target, self.heads, self.body = method, target, heads, body
        self.may_go, self.ended = may_go, ended
        self.settled = settled  # its answer counts: not on a connection that was answered a moment ago
        self.connection: Connection | None = None
        self.over = False


# How an exchange ends.
ANSWERED, BROKEN, UNREACHED, HELD_BACK, WORN = "answered", "broken", "unreached", "held back", "worn"


class Incoming(asyncio.StreamReader):
    """Counts what came, read or not."""

    came = 0

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        self.came += len(data)  # type: ignore[arg-type]
        super().feed_data(data)


class Outgoing(asyncio.StreamReaderProtocol):
    """Says in the very moment when nothing is left to be written, so that whatever breaks after it finds the
    request written: taken for one that never went out whole, it would be sent again."""

    emptied: Callable[[], None] = staticmethod(lambda: None)

    def resume_writing(self) -> None:
        self.emptied()
        super().resume_writing()


class Connection:
    """One open connection."""

    def __init__(self, pool: "Pool", reader: Incoming, writer: asyncio.StreamWriter,
                 protocol: Outgoing) -> None:
        self.pool, self.reader, self.writer = pool, reader, writer
        self.side = RunnerSide()
        self.exchange: Exchange | None = None
        self.idle_since, self.came = 0.0, pool.loop.time()
        self.read, self.answered_at = 0, -SETTLE
        self.written = True
        protocol.emptied = self._emptied
        writer.transport.set_write_buffer_limits(high=0)  # so that emptied means that nothing is left
        self.task = pool.loop.create_task(self._run())

    def carry(self, exchange: Exchange) -> None:
        self.exchange, exchange.connection = exchange, self
        asked = self.side.ask(exchange.method, exchange.target, exchange.heads(), exchange.body)
        self.writer.writelines(asked)
        self.written = self.writer.transport.get_write_buffer_size() == 0

    def _emptied(self) -> None:
        """What left the program's own buffer counts as written: from there on the runner may have it.

        The transport drops its buffer when a connection breaks, so what is left then tells nothing.
        """
        self.written = True

    def fit(self) -> bool:
        """Whether it is as it was left: bytes nobody asked for, or its end, may have come unread."""
        if self.reader.at_eof() or self.writer.is_closing() or self.reader.exception() is not None:
            return False
        if self.reader.came != self.read:
            return False
        return not holds(self.writer, ANYTHING)

    def close(self) -> None:
        """At rest and not to be used again."""
        self.pool.wakened(self)
        self.writer.close()

    async def _run(self) -> None:
        try:
            while data := await self.reader.read(LUMP):
                self.read += len(data)
                if self.exchange is None:
                    self.pool.tally.count("runner-spoke-unasked")
                    break
                if self.side.feed(data):
                    exchange, self.exchange = self.exchange, None
                    self.answered_at = self.pool.loop.time()
                    if self.side.usable:
                        self.pool.rest(self)
                    self.pool.end(exchange, ANSWERED if self._answered() else BROKEN, self.side)
                    if not self.side.usable:
                        break
        except OSError:
            pass
        finally:
            self.pool.gone(self)
            self.writer.close()
            if self.exchange is not None:
                self.pool.end(self.exchange, ANSWERED if self._answered() else self._broken(), self.side)

    def _answered(self) -> bool:
        """What broke off in the middle tells nothing that may be relied on, least of all that something never
        ran. But after the head that says so the runner has the unit."""
        return self.side.whole or outcome_of(self.side.status, self.side.not_run) == TAKEN

    def _broken(self) -> str:
        if not self.written:
            return UNREACHED
        # Kept connections die at the runner or on the way, seen only at the next use. Held against runners,
        # these resets had all of a sound fleet doubted.
        return WORN if self.idle_since and not self.side.status else BROKEN


class Sockets:
    """All connections to runners: how many there are, and which are at rest, longest first."""

    def __init__(self, most: int, connect_within: float, idle_for: float, tally: Tally) -> None:
        self.most, self.connect_within, self.idle_for, self.tally = most, connect_within, idle_for, tally
        self.loop = asyncio.get_running_loop()
        self.held = 0
        self.resting: dict[Connection, None] = {}

    def room(self) -> bool:
        if self.held >= self.most and self.resting:
            next(iter(self.resting)).close()
            self.tally.count("runner-connections-closed-for-room")
            return True  # it is let go a turn later; some sockets are kept free for that
        return self.held < self.most

    def sweep(self) -> None:
        """Closes what has rested for long, well before the runner does."""
        now = self.loop.time()
        while self.resting:
            connection = next(iter(self.resting))
            if now - connection.idle_since < self.idle_for:
                return
            connection.close()


class Pool:
    """All connections to one runner at one address."""

    def __init__(self, host: str, port: int, sockets: Sockets) -> None:
        self.host, self.port, self.sockets, self.tally = host, port, sockets, sockets.tally
        self.loop = sockets.loop
        self.idle: list[Connection] = []
        self.opening: set[asyncio.Task[None]] = set()
        self.closed = False

    def send(self, exchange: Exchange) -> None:
        """Goes at once where a connection is at rest. How it ends is told later, never from in here."""
        connection = self._rested(exchange.settled)
        if connection:
            self.tally.count("connections-reused")
            connection.carry(exchange)
        elif self.closed or not self.sockets.room():
            self.tally.count("no-room-for-a-connection")
            self.loop.call_soon(self.end, exchange, HELD_BACK, None)
        else:
            task = self.loop.create_task(self._open(exchange))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)

    def _rested(self, settled: bool) -> Connection | None:
        now = self.loop.time()
        for connection in self.idle[::-1]:
            if not connection.fit() or now - connection.idle_since >= self.sockets.idle_for:
                connection.close()
            elif not settled or now - connection.answered_at >= SETTLE:
                self.wakened(connection)
                return connection
        return None

    def up_for(self, seconds: float) -> bool:
        """Whether a connection at rest is open since before then: the process there is still the same."""
        now = self.loop.time()
        return any(connection.fit() and now - connection.came > seconds for connection in self.idle)

    def wakened(self, connection: Connection) -> None:
        if connection in self.sockets.resting:
            del self.sockets.resting[connection]
            self.idle.remove(connection)

    async def _open(self, exchange: Exchange) -> None:
        self.tally.count("connections-opened")
        self.sockets.held += 1
        try:
            async with asyncio.timeout(self.sockets.connect_within):
                reader = Incoming(limit=LUMP, loop=self.loop)
                protocol = Outgoing(reader, loop=self.loop)
                transport, _ = await self.loop.create_connection(lambda: protocol, self.host, self.port)
        except (OSError, TimeoutError):
            self.sockets.held -= 1
            self.tally.count("connections-not-up")
            self.end(exchange, UNREACHED, None)
            return
        writer = asyncio.StreamWriter(transport, protocol, reader, self.loop)
        connection = Connection(self, reader, writer, protocol)
        if exchange.over or self.closed or not exchange.may_go():
            self.end(exchange, HELD_BACK, None)
            self.rest(connection)
        else:
            connection.carry(exchange)

    def rest(self, connection: Connection) -> None:
        if self.closed:
            connection.writer.close()
            return
        connection.idle_since = self.loop.time()
        self.idle.append(connection)
        self.sockets.resting[connection] = None

    def gone(self, connection: Connection) -> None:
        self.wakened(connection)
        self.sockets.held -= 1

    def end(self, exchange: Exchange, how: str, side: RunnerSide | None) -> None:
        if not exchange.over:
            exchange.over = True
            exchange.ended(how, side)

    def cut(self, exchange: Exchange) -> None:
        """Closes the connection that an answer has not come on; what was not written yet is not sent."""
        exchange.over = True
        if exchange.connection and exchange.connection.exchange is exchange:
            exchange.connection.writer.transport.abort()

    def close(self) -> None:
        """The address is no longer the runner's: nothing new, what is under way runs to its end."""
        self.closed = True
        while self.idle:
            self.idle[-1].close()
