"""Proxies between processes: one for each pair of a member and a voter.

A proxy reads only the length of each message, so that it drops, delays, duplicates and reorders
complete messages.
"""

import asyncio
from random import Random

from crankfold.fault_injection.loopback import HOST

LENGTH_PREFIX_BYTES = 4  # before each message, big-endian


class Link:
    """One direction between two processes, with the faults in force on it."""

    def __init__(self, sender: str, receiver: str, seed: int) -> None:
        self.sender = sender
        self.receiver = receiver
        self.rng = Random(f"{seed} {sender} {receiver}")
        self.loss_share = 0.0
        self.duplicate_share = 0.0
        self.max_delay = 0.0  # seconds; each message is delayed by a random time up to this
        self.bytes_per_second = 0.0  # 0 for no limit
        self.busy_until = 0.0  # seconds on the event loop's clock
        self.messages_passed = 0
        self.bytes_passed = 0

    def forward(self, data: bytes, writer: asyncio.StreamWriter, *, is_first: bool) -> None:
        """Forwards a message subject to the faults of the link.

        Args:
            data: The message with its length prefix.
            writer: To the receiver.
            is_first: Whether it is the first of its connection. The first message is never duplicated, and
                dropped only by a link that drops all messages.
        """
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
    """Accepts the connections of one member on behalf of a voter."""

    def __init__(self, outbound: Link, inbound: Link, target_port: int) -> None:
        self.outbound = outbound  # from the member to the voter
        self.inbound = inbound
        self.target_port = target_port
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def open(self) -> int:
        """Starts to listen and returns the port."""
        self.server = await asyncio.start_server(self._handle_connection, HOST, 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
                length = await reader.readexactly(LENGTH_PREFIX_BYTES)
                message = await reader.readexactly(int.from_bytes(length, "big"))
                link.forward(length + message, writer, is_first=is_first)
                is_first = False
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass

    def reset_connections(self) -> None:
        """Aborts all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stops listening and aborts all connections."""
        if self.server:
            self.server.close()
        self.reset_connections()
