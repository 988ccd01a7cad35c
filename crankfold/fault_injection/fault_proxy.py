"""Proxies between processes: one for each way from a member to a voter.

They know nothing of the messages but where each ends, so that whole ones are lost, delayed, duplicated or
reordered.
"""

import asyncio
from random import Random

from crankfold.fault_injection.http_client import HOST

LENGTH_SIZE = 4  # bytes before each message that say how long it is


class Link:
    """What happens on the way from one process to another; changed as faults begin and end."""

    def __init__(self, sender: str, receiver: str, seed: int) -> None:
        self.sender = sender
        self.receiver = receiver
        self.rng = Random(f"{seed} {sender} {receiver}")
        self.loss_share = 0.0
        self.duplicate_share = 0.0
        self.max_delay = 0.0  # seconds, drawn anew for each message
        self.bytes_per_second = 0.0  # 0 if it is not limited
        self.busy_until = 0.0  # on the loop's clock
        self.messages_passed = 0
        self.bytes_passed = 0

    def forward(self, data: bytes, writer: asyncio.StreamWriter, *, is_first: bool) -> None:
        """Pass a message on as the faults let it; the first one of a connection gets lost only in a cut."""
        loop = asyncio.get_running_loop()
        if self.loss_share >= 1 or (not is_first and self.rng.random() < self.loss_share):
            return
        self.messages_passed += 1
        self.bytes_passed += len(data)
        delay = self.rng.uniform(0, self.max_delay) if self.max_delay else 0.0
        if self.bytes_per_second:
            now = loop.time()
            self.busy_until = max(self.busy_until, now) + len(data) / self.bytes_per_second
            delay += self.busy_until - now
        is_duplicated = not is_first and self.rng.random() < self.duplicate_share
        for _ in range(2 if is_duplicated else 1):
            if delay:
                loop.call_later(delay, _write_if_open, writer, data)
            else:
                _write_if_open(writer, data)


def _write_if_open(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(data)


class FaultProxy:
    """Listens in a voter's place for one member."""

    def __init__(self, outbound: Link, inbound: Link, target_port: int) -> None:
        self.outbound = outbound  # from the member to the voter
        self.inbound = inbound
        self.target_port = target_port
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def open(self) -> int:
        """Listen; the port."""
        self.server = await asyncio.start_server(self._accepted, HOST, 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        target_writer = None
        try:
            target_reader, target_writer = await asyncio.open_connection(HOST, self.target_port)
            self.writers.add(target_writer)
            directions = [
                asyncio.ensure_future(self._forward_messages(reader, target_writer, self.outbound)),
                asyncio.ensure_future(self._forward_messages(target_reader, writer, self.inbound)),
            ]
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
            for direction in directions:
                direction.cancel()
            await asyncio.gather(*directions, return_exceptions=True)
        except OSError:
            pass
        finally:
            for end in (writer, target_writer):
                if end:
                    self.writers.discard(end)
                    end.close()

    async def _forward_messages(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: Link
    ) -> None:
        is_first = True
        try:
            while True:
                length = await reader.readexactly(LENGTH_SIZE)
                message = await reader.readexactly(int.from_bytes(length, "big"))
                link.forward(length + message, writer, is_first=is_first)
                is_first = False
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass

    def reset_connections(self) -> None:
        """Break all connections that are open."""
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop to listen, and break all connections."""
        if self.server:
            self.server.close()
        self.reset_connections()
