"""Relays between processes: one for each way from a member to a voter. They know nothing of what is said but
where a message ends, so that whole ones are lost, late, doubled or out of order."""

import asyncio
from random import Random

from crankfold.trial.stand_ins import HOST

LUMP = 64 * 1024


class Link:
    """What happens on the way from one to another; changed as faults begin and end."""

    def __init__(self, sender: str, to: str, seed: int) -> None:
        self.sender, self.to = sender, to
        self.luck = Random(f"{seed} {sender} {to}")
        self.loss, self.double, self.late, self.rate = 0.0, 0.0, 0.0, 0.0
        self.free_at = 0.0
        self.passed, self.bytes = 0, 0

    def carry(self, data: bytes, write: asyncio.StreamWriter, first: bool) -> None:
        loop = asyncio.get_running_loop()
        if self.loss >= 1 or not first and self.luck.random() < self.loss:
            return
        self.passed += 1
        self.bytes += len(data)
        wait = self.luck.uniform(0, self.late) if self.late else 0.0
        if self.rate:
            now = loop.time()
            self.free_at = max(self.free_at, now) + len(data) / self.rate
            wait += self.free_at - now
        for _ in range(2 if not first and self.luck.random() < self.double else 1):
            if wait:
                loop.call_later(wait, _put, write, data)
            else:
                _put(write, data)


def _put(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(data)


class Relay:
    """Listens in a voter's place for one member."""

    def __init__(self, there: Link, back: Link, port: int) -> None:
        self.there, self.back, self.port = there, back, port
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def open(self) -> int:
        self.server = await asyncio.start_server(self._taken, HOST, 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def _taken(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        onward = None
        try:
            far, onward = await asyncio.open_connection(HOST, self.port)
            self.writers.add(onward)
            ways = [asyncio.ensure_future(self._pump(reader, onward, self.there)),
                    asyncio.ensure_future(self._pump(far, writer, self.back))]
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            for way in ways:
                way.cancel()
            await asyncio.gather(*ways, return_exceptions=True)
        except OSError:
            pass
        finally:
            for end in (writer, onward):
                if end:
                    self.writers.discard(end)
                    end.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: Link) -> None:
        first = True
        try:
            while True:
                head = await reader.readexactly(4)
                link.carry(head + await reader.readexactly(int.from_bytes(head, "big")), writer, first)
                first = False
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass

    def reset(self) -> None:
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self) -> None:
        if self.server:
            self.server.close()
        self.reset()
