"""Relays between processes: one for each way from a member to a voter. They know nothing of what is said but
where a message ends, so that whole ones are lost, late, doubled or out of order."""

import asyncio
from random import Random

from crankfold.fault_injection.stand_ins import HOST

LUMP = 64 * 1024


class Link:
    """What happens on the way from one to another; changed as faults begin and end."""

    def __init__(self, sender: str, to: str, seed: int) -> None:
        self.sender, self.receiver = sender, to
        self.rng = Random(f"{seed} {sender} {to}")
        self.loss, self.double, self.late, self.rate = 0.0, 0.0, 0.0, 0.0
        self.busy_until = 0.0
        self.messages_passed, self.bytes_passed = 0, 0

    def forward(self, data: bytes, write: asyncio.StreamWriter, first: bool) -> None:
        loop = asyncio.get_running_loop()
        if self.loss >= 1 or not first and self.rng.random() < self.loss:
            return
        self.messages_passed += 1
        self.bytes_passed += len(data)
        wait = self.rng.uniform(0, self.late) if self.late else 0.0
        if self.rate:
            now = loop.time()
            self.busy_until = max(self.busy_until, now) + len(data) / self.rate
            wait += self.busy_until - now
        for _ in range(2 if not first and self.rng.random() < self.double else 1):
            if wait:
                loop.call_later(wait, _write_if_open, write, data)
            else:
                _write_if_open(write, data)


def _write_if_open(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(data)


class FaultProxy:
    """Listens in a voter's place for one member."""

    def __init__(self, there: Link, back: Link, port: int) -> None:
        self.outbound, self.inbound, self.target_port = there, back, port
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def open(self) -> int:
        self.server = await asyncio.start_server(self._accepted, HOST, 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        onward = None
        try:
            far, onward = await asyncio.open_connection(HOST, self.target_port)
            self.writers.add(onward)
            ways = [
                asyncio.ensure_future(self._forward_messages(reader, onward, self.outbound)),
                asyncio.ensure_future(self._forward_messages(far, writer, self.inbound)),
            ]
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

    async def _forward_messages(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: Link
    ) -> None:
        first = True
        try:
            while True:
                head = await reader.readexactly(4)
                link.forward(head + await reader.readexactly(int.from_bytes(head, "big")), writer, first)
                first = False
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass

    def reset_connections(self) -> None:
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self) -> None:
        if self.server:
            self.server.close()
        self.reset_connections()
