"""Connections between members. Each voter calls each other one; followers call a voter and hear on the same
connection. What waits to be sent is bounded: who does not read is cut off and called again."""

import asyncio
import contextlib
from collections.abc import Callable
from random import Random

from crankfold.agreement.words import Message, Refused
from crankfold.network.tally import Tally
from crankfold.peers.frames import FORM, Frames, Garbled, Hello, frame

LUMP = 64 * 1024
MOST_UNSENT = 8 * 1024 * 1024
MOST_CALLERS = 2048
HELLO_WITHIN, CALL_WITHIN = 2.0, 1.0
AGAIN = 0.05, 0.5  # seconds until the next call, from and to


class Links:
    def __init__(self, hello: Hello, addresses: dict[str, tuple[str, int]], tally: Tally,
                 admits: Callable[[Hello], str], received: Callable[[str, Message], None]) -> None:
        self.hello, self.addresses, self.tally = hello, addresses, tally
        self.admits, self.received = admits, received
        self.loop = asyncio.get_running_loop()
        self.called: dict[str, asyncio.StreamWriter] = {}
        self.callers: dict[str, asyncio.StreamWriter] = {}
        self.calling: set[str] = set()
        self.not_before: dict[str, float] = {}
        self.pause: dict[str, float] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.luck = Random(hello.incarnation)
        self.server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        self.server = await asyncio.start_server(self._taken, host, port, limit=LUMP)

    def send(self, to: str, told: Message) -> None:
        """Lost if nobody is there: whoever needs an answer asks again."""
        writer = self.callers.get(to) if to not in self.addresses else self.called.get(to)
        if writer is None:
            self._call(to)
            return
        if writer.transport.get_write_buffer_size() > MOST_UNSENT:
            self.tally.count("peers-cut-off-unread")
            writer.transport.abort()
            return
        try:
            writer.write(frame(told))
            self.tally.count("peers-sent")
        except Garbled as wrong:
            self.tally.say("peers", f"not sent to {to}: {wrong}")

    def _call(self, to: str) -> None:
        if to in self.addresses and to not in self.calling and self.loop.time() >= self.not_before.get(to, 0):
            self.calling.add(to)
            self._spawn(self._calls(to))

    def _spawn(self, work: "asyncio._CoroutineLike[None]") -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _calls(self, to: str) -> None:
        writer = None
        try:
            async with asyncio.timeout(CALL_WITHIN):
                reader, writer = await asyncio.open_connection(*self.addresses[to], limit=LUMP)
            writer.write(frame(self.hello))
            self.called[to] = writer
            self.pause.pop(to, None)
            await self._read(to, reader, Frames())
        except (OSError, TimeoutError, Garbled) as wrong:
            if isinstance(wrong, Garbled):
                self.tally.say("peers", f"{to}: {wrong}")
        finally:
            self.calling.discard(to)
            self.called.pop(to, None)
            if writer:
                writer.close()
            # Nobody there: later each time, and not all at once.
            longest = self.pause[to] = min(2 * self.pause.get(to, AGAIN[0]), AGAIN[1])
            self.not_before[to] = self.loop.time() + self.luck.uniform(longest / 2, longest)

    async def _taken(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        name = ""
        try:
            if len(self.callers) >= MOST_CALLERS:
                return
            frames = Frames()
            said: list[Message | Hello] = []
            async with asyncio.timeout(HELLO_WITHIN):
                while not said:
                    data = await reader.read(LUMP)
                    if not data:
                        return
                    said = frames.feed(data)
            hello = said[0]
            if not isinstance(hello, Hello) or hello.form != FORM:
                raise Garbled("no hello of this form")
            why = self.admits(hello)
            if why:
                self.tally.say("peers", f"{hello.name}: {why}")
                writer.write(frame(Refused(why)))
                return
            name = hello.name
            before = self.callers.get(name)
            self.callers[name] = writer
            if before:
                before.transport.abort()  # what it still holds was said in an earlier life, or before a break
            await self._read(name, reader, frames, said[1:])
        except (OSError, TimeoutError, Garbled) as wrong:
            if isinstance(wrong, Garbled):
                self.tally.say("peers", f"{name or 'somebody'}: {wrong}")
        finally:
            if name and self.callers.get(name) is writer:
                del self.callers[name]
            with contextlib.suppress(OSError):
                writer.close()

    async def _read(self, name: str, reader: asyncio.StreamReader, frames: Frames,
                    said: list[Message | Hello] | None = None) -> None:
        while True:
            for told in said or []:
                if isinstance(told, Hello):
                    raise Garbled("a second hello")
                self.tally.count("peers-received")
                self.received(name, told)
            data = await reader.read(LUMP)
            if not data:
                return
            said = frames.feed(data)

    async def close(self) -> None:
        if self.server:
            self.server.close()
        for writer in [*self.called.values(), *self.callers.values()]:
            writer.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
