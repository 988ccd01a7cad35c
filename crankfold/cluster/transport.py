"""Connections between members. Each voter calls each other one; followers call a voter and hear on the same
connection. What waits to be sent is bounded: who does not read is cut off and called again."""

import asyncio
import contextlib
from collections.abc import Callable
from random import Random

from crankfold.cluster.framing import PROTOCOL_VERSION, FrameDecoder, Hello, ProtocolError, encode_frame
from crankfold.consensus.messages import Message, Rejection
from crankfold.network.metrics import Metrics

READ_SIZE = 64 * 1024
MAX_UNSENT_BYTES = 8 * 1024 * 1024
MAX_INCOMING = 2048
HELLO_TIMEOUT, CONNECT_TIMEOUT = 2.0, 1.0
RECONNECT_DELAY = 0.05, 0.5  # seconds until the next call, from and to


class Transport:
    def __init__(
        self,
        hello: Hello,
        addresses: dict[str, tuple[str, int]],
        tally: Metrics,
        admits: Callable[[Hello], str],
        received: Callable[[str, Message], None],
    ) -> None:
        self.hello, self.addresses, self.metrics = hello, addresses, tally
        self.admission_error, self.on_message = admits, received
        self.loop = asyncio.get_running_loop()
        self.outgoing: dict[str, asyncio.StreamWriter] = {}
        self.incoming: dict[str, asyncio.StreamWriter] = {}
        self.connecting: set[str] = set()
        self.reconnect_not_before: dict[str, float] = {}
        self.reconnect_delay: dict[str, float] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.jitter = Random(hello.incarnation)
        self.server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        self.server = await asyncio.start_server(self._run_incoming, host, port, limit=READ_SIZE)

    def send(self, to: str, told: Message) -> None:
        """Lost if nobody is there: whoever needs an answer asks again."""
        writer = self.incoming.get(to) if to not in self.addresses else self.outgoing.get(to)
        if writer is None:
            self._connect(to)
            return
        if writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.metrics.increment("peers-cut-off-unread")
            writer.transport.abort()
            return
        try:
            writer.write(encode_frame(told))
            self.metrics.increment("peers-sent")
        except ProtocolError as wrong:
            self.metrics.warn("peers", f"not sent to {to}: {wrong}")

    def _connect(self, to: str) -> None:
        if (
            to in self.addresses
            and to not in self.connecting
            and self.loop.time() >= self.reconnect_not_before.get(to, 0)
        ):
            self.connecting.add(to)
            self._spawn(self._run_outgoing(to))

    def _spawn(self, work: "asyncio._CoroutineLike[None]") -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run_outgoing(self, to: str) -> None:
        writer = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                reader, writer = await asyncio.open_connection(*self.addresses[to], limit=READ_SIZE)
            writer.write(encode_frame(self.hello))
            self.outgoing[to] = writer
            self.reconnect_delay.pop(to, None)
            await self._read_messages(to, reader, FrameDecoder())
        except (OSError, TimeoutError, ProtocolError) as wrong:
            if isinstance(wrong, ProtocolError):
                self.metrics.warn("peers", f"{to}: {wrong}")
        finally:
            self.connecting.discard(to)
            self.outgoing.pop(to, None)
            if writer:
                writer.close()
            # Nobody there: later each time, and not all at once.
            longest = self.reconnect_delay[to] = min(
                2 * self.reconnect_delay.get(to, RECONNECT_DELAY[0]), RECONNECT_DELAY[1]
            )
            self.reconnect_not_before[to] = self.loop.time() + self.jitter.uniform(longest / 2, longest)

    async def _run_incoming(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        name = ""
        try:
            if len(self.incoming) >= MAX_INCOMING:
                return
            frames = FrameDecoder()
            said: list[Message | Hello] = []
            async with asyncio.timeout(HELLO_TIMEOUT):
                while not said:
                    data = await reader.read(READ_SIZE)
                    if not data:
                        return
                    said = frames.feed(data)
            hello = said[0]
            if not isinstance(hello, Hello) or hello.protocol_version != PROTOCOL_VERSION:
                raise ProtocolError("no hello of this form")
            why = self.admission_error(hello)
            if why:
                self.metrics.warn("peers", f"{hello.name}: {why}")
                writer.write(encode_frame(Rejection(why)))
                return
            name = hello.name
            before = self.incoming.get(name)
            self.incoming[name] = writer
            if before:
                before.transport.abort()  # what it still holds was said in an earlier life, or before a break
            await self._read_messages(name, reader, frames, said[1:])
        except (OSError, TimeoutError, ProtocolError) as wrong:
            if isinstance(wrong, ProtocolError):
                self.metrics.warn("peers", f"{name or 'somebody'}: {wrong}")
        finally:
            if name and self.incoming.get(name) is writer:
                del self.incoming[name]
            with contextlib.suppress(OSError):
                writer.close()

    async def _read_messages(
        self,
        name: str,
        reader: asyncio.StreamReader,
        frames: FrameDecoder,
        said: list[Message | Hello] | None = None,
    ) -> None:
        while True:
            for told in said or []:
                if isinstance(told, Hello):
                    raise ProtocolError("a second hello")
                self.metrics.increment("peers-received")
                self.on_message(name, told)
            data = await reader.read(READ_SIZE)
            if not data:
                return
            said = frames.feed(data)

    async def close(self) -> None:
        if self.server:
            self.server.close()
        for writer in [*self.outgoing.values(), *self.incoming.values()]:
            writer.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
