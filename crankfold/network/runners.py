"""Connections to one runner: kept, used again most recent first, and never used for two exchanges at once."""

import asyncio
from collections.abc import Callable, Sequence

from crankfold.network.tally import Tally
from crankfold.protocol.runners import RunnerSide

LUMP = 64 * 1024


class Errand:
    """One exchange with a runner, from the wish to its end."""

    __slots__ = ("method", "target", "heads", "body", "may_go", "ended", "link", "over")

    def __init__(self, method: bytes, target: bytes, heads: Callable[[], Sequence[tuple[bytes, bytes]]],
                 body: bytes, may_go: Callable[[], bool],
                 ended: Callable[[str, RunnerSide | None], None]) -> None:
        self.method, self.target, self.heads, self.body = method, target, heads, body
        self.may_go, self.ended = may_go, ended
        self.link: Link | None = None
        self.over = False


# How an errand ends.
ANSWERED, BROKEN, UNREACHED, HELD_BACK, WORN = "answered", "broken", "unreached", "held back", "worn"


class Link:
    """One open connection."""

    def __init__(self, pool: "Pool", reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.pool, self.reader, self.writer = pool, reader, writer
        self.side = RunnerSide()
        self.errand: Errand | None = None
        self.idle_since, self.came = 0.0, pool.loop.time()
        self.written = True
        self.draining: asyncio.Task[None] | None = None
        writer.transport.set_write_buffer_limits(high=0)  # so that drained means that nothing is left
        self.task = pool.loop.create_task(self._run())

    def carry(self, errand: Errand) -> None:
        self.errand, errand.link = errand, self
        self.writer.writelines(self.side.ask(errand.method, errand.target, errand.heads(), errand.body))
        self.written = self.writer.transport.get_write_buffer_size() == 0
        if not self.written:
            self.draining = self.pool.loop.create_task(self._drain())

    async def _drain(self) -> None:
        """What left the program's own buffer counts as written: from there on the runner may have it.

        The transport drops its buffer when a connection breaks, so what is left then tells nothing.
        """
        try:
            await self.writer.drain()
            self.written = True
        except OSError:
            pass

    def fit(self) -> bool:
        return not self.reader.at_eof() and not self.writer.is_closing() and self.reader.exception() is None

    def close(self) -> None:
        """At rest and not to be used again."""
        self.pool.wakened(self)
        self.writer.close()

    async def _run(self) -> None:
        try:
            while data := await self.reader.read(LUMP):
                if self.errand is None:
                    self.pool.tally.count("runner-spoke-unasked")
                    break
                if self.side.feed(data):
                    errand, self.errand = self.errand, None
                    if self.side.usable:
                        self.pool.rest(self)
                    self.pool.end(errand, ANSWERED if self.side.status else BROKEN, self.side)
                    if not self.side.usable:
                        break
        except OSError:
            pass
        finally:
            self.pool.gone(self)
            self.writer.close()
            if self.errand is not None:
                self.pool.end(self.errand, self._broken(), self.side)

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
        self.resting: dict[Link, None] = {}

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
            link = next(iter(self.resting))
            if now - link.idle_since < self.idle_for:
                return
            link.close()


class Pool:
    """All connections to one runner at one address."""

    def __init__(self, host: str, port: int, sockets: Sockets) -> None:
        self.host, self.port, self.sockets, self.tally = host, port, sockets, sockets.tally
        self.loop = sockets.loop
        self.idle: list[Link] = []
        self.opening: set[asyncio.Task[None]] = set()
        self.closed = False

    def send(self, errand: Errand) -> None:
        """Goes at once where a connection is at rest. How it ends is told later, never from in here."""
        link = self._rested()
        if link:
            self.tally.count("connections-reused")
            link.carry(errand)
        elif self.closed or not self.sockets.room():
            self.tally.count("no-room-for-a-connection")
            self.loop.call_soon(self.end, errand, HELD_BACK, None)
        else:
            task = self.loop.create_task(self._open(errand))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)

    def _rested(self) -> Link | None:
        while self.idle:
            link = self.idle[-1]
            if link.fit() and self.loop.time() - link.idle_since < self.sockets.idle_for:
                self.wakened(link)
                return link
            link.close()
        return None

    def up_for(self, seconds: float) -> bool:
        """Whether a connection at rest is open since before then: the process there is still the same."""
        return any(link.fit() and self.loop.time() - link.came > seconds for link in self.idle)

    def wakened(self, link: Link) -> None:
        if link in self.sockets.resting:
            del self.sockets.resting[link]
            self.idle.remove(link)

    async def _open(self, errand: Errand) -> None:
        self.tally.count("connections-opened")
        self.sockets.held += 1
        try:
            async with asyncio.timeout(self.sockets.connect_within):
                reader, writer = await asyncio.open_connection(self.host, self.port, limit=LUMP)
        except (OSError, TimeoutError):
            self.sockets.held -= 1
            self.tally.count("connections-not-up")
            self.end(errand, UNREACHED, None)
            return
        link = Link(self, reader, writer)
        if errand.over or self.closed or not errand.may_go():
            self.end(errand, HELD_BACK, None)
            self.rest(link)
        else:
            link.carry(errand)

    def rest(self, link: Link) -> None:
        if self.closed:
            link.writer.close()
            return
        link.idle_since = self.loop.time()
        self.idle.append(link)
        self.sockets.resting[link] = None

    def gone(self, link: Link) -> None:
        self.wakened(link)
        self.sockets.held -= 1

    def end(self, errand: Errand, how: str, side: RunnerSide | None) -> None:
        if not errand.over:
            errand.over = True
            errand.ended(how, side)

    def cut(self, errand: Errand) -> None:
        """Closes the connection that an answer has not come on."""
        errand.over = True
        if errand.link and errand.link.errand is errand:
            errand.link.writer.close()

    def close(self) -> None:
        """The address is no longer the runner's: nothing new, what is under way runs to its end."""
        self.closed = True
        while self.idle:
            self.idle[-1].close()
