"""Streams that count their unread input, for connections that carry one exchange after another."""

import asyncio
from collections.abc import Iterable
from typing import SupportsIndex

from crankfold.network.socket_state import ANY_INPUT, has_pending


class CountingStreamReader(asyncio.StreamReader):
    """A stream reader that counts its unread bytes.

    Attributes:
        unread_bytes: Number of bytes received and not read yet.
    """

    unread_bytes = 0

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Receives bytes from the transport."""
        self.unread_bytes += len(data)  # type: ignore[arg-type]
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Reads up to `n` bytes; returns no bytes at the end of the input."""
        data = await super().read(n)
        self.unread_bytes -= len(data)
        return data


async def open_connection(
    host: str, port: int, limit: int
) -> tuple[CountingStreamReader, asyncio.StreamWriter]:
    """Opens a connection as `asyncio.open_connection` does; `limit` is that of the reader, in bytes.

    Raises:
        OSError: The connection could not be established.
    """
    loop = asyncio.get_running_loop()
    reader = CountingStreamReader(limit=limit, loop=loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


def is_open_without_input(reader: CountingStreamReader, writer: asyncio.StreamWriter) -> bool:
    """Whether a connection is open and nothing was received on it that was not read."""
    if reader.at_eof() or writer.is_closing() or reader.exception() is not None:
        return False
    return not reader.unread_bytes and not has_pending(writer, ANY_INPUT)
