"""Keeps up the watch on discovery: a whole list first, then what changes."""

import asyncio
from collections.abc import Callable, Sequence

from crankfold.dispatch.interface import Listing
from crankfold.network.tally import Tally
from crankfold.protocol.discovery import DiscoverySide, Enlist, TurnedAway, Unreadable

WAIT_MS = 4000
CONNECT = 1.0
TURN = 6.0  # where many ask at once they are answered in turn; who hangs up sooner has asked in vain
PAUSE = 0.25
QUICKEST = 0.02  # an agent that answers without waiting must not keep us busy; a watch lasts over 0.2 s
LUMP = 64 * 1024


class Watch:
    def __init__(self, host: str, port: int, enlist: Enlist, told: Callable[[Sequence[Listing], bool], None],
                 failed: Callable[[], None], tally: Tally, pause: float = PAUSE) -> None:
        self.host, self.port, self.enlist, self.told, self.failed = host, port, enlist, told, failed
        self.tally, self.pause, self.rev = tally, pause, -1
        self.task: asyncio.Task[None] | None = None
        self.heard_at = 0.0  # when it last answered, by the loop's clock

    def start(self, again: bool) -> None:
        """With `again` a broken watch is taken up by itself; else it lasts until it breaks."""
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self._run(again))

    def move(self, host: str, port: int, again: bool) -> None:
        """To another agent, at once: what the old one still says and its versions mean nothing there."""
        self.stop()
        self.host, self.port, self.task, self.rev = host, port, None, -1
        self.start(again)

    async def _run(self, again: bool) -> None:
        while True:
            try:
                while True:  # an answer may close its connection without ending the watch
                    await self._watch()
            except (OSError, TimeoutError, Unreadable) as broken:
                # A call that was not answered leaves the versions as they are, and changes are a shorter
                # answer than the whole list.
                if isinstance(broken, Unreadable) and not isinstance(broken, TurnedAway):
                    self.rev = -1
                self.tally.count("discovery-failed")
                self.tally.say("discovery", f"{type(broken).__name__}: {broken}; the old list stands")
            self.failed()
            if not again:
                return
            await asyncio.sleep(self.pause)

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT):
            reader, writer = await asyncio.open_connection(self.host, self.port)
        try:
            side = DiscoverySide(f"{self.host}:{self.port}")
            while True:
                asked_at = loop.time()
                writer.write(side.ask(self.rev, WAIT_MS))
                async with asyncio.timeout(TURN + (WAIT_MS / 1000 if self.rev >= 0 else 0)):
                    while not side.feed(data := await reader.read(LUMP)):
                        if not data:
                            raise Unreadable("the connection ended")
                self.heard_at = loop.time()
                rev, whole, entries = side.told(self.enlist)
                if rev < self.rev and not whole:
                    raise Unreadable("a version older than the last")
                self.rev = rev
                self.tally.count("lists-whole" if whole else "lists-of-changes")
                if entries or whole:
                    self.told(entries, whole)
                await asyncio.sleep(max(asked_at + QUICKEST - loop.time(), 0))
                if not side.usable():
                    return
        finally:
            writer.close()

    def stop(self) -> None:
        if self.task:
            self.task.cancel()
