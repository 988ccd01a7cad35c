"""Keeps up the watch on discovery: a whole list first, then what changes."""

import asyncio
from collections.abc import Callable, Sequence

from crankfold.dispatch.interface import Listing
from crankfold.network.tally import Tally
from crankfold.protocol.discovery import DiscoverySide, Enlist, TurnedAway, Unreadable

# What discovery has counts as told 6 s after it could be reached. A watch may fall silent the moment it is
# asked: WAIT and LATE pass until that shows, and the rest is for further calls, each answered at once.
WAIT_MS = 2000
LATE = 0.5  # an answer so long overdue is not waited for alone
CONNECT = 1.0
TURN = 6.0  # where many ask at once they are answered in turn; who hangs up sooner has asked in vain
PAUSE = 0.15  # between calls where lists are pushed: what a silent agent gets at its return counts at once
MOST_CALLS = 4
IN_TURN, CALLS_IN_TURN = 2.5, 2  # the same where lists are asked for: each call costs discovery
QUICKEST = 0.02  # an agent that answers without waiting must not keep us busy; a watch lasts over 0.2 s
LUMP = 64 * 1024


class Call:
    """One call to discovery and the connection it goes by, which a later call may use again."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.side = DiscoverySide(f"{host}:{port}")
        self.asked_at = asyncio.get_running_loop().time()
        self.begun = False  # to be answered
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def ask(self, rev: int, wait_ms: int) -> None:
        """Until the answer is whole."""
        self.begun, self.asked_at = False, asyncio.get_running_loop().time()
        if self.reader is None or self.writer is None:
            async with asyncio.timeout(CONNECT):
                self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
        self.writer.write(self.side.ask(rev, wait_ms))
        while not self.side.feed(data := await self.reader.read(LUMP)):
            if not data:
                raise Unreadable("the connection ended")
            self.begun = True

    def close(self) -> None:
        if self.writer:
            self.writer.close()


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
                await self._watch(again)
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

    async def _watch(self, pushed: bool) -> None:
        """Until nothing answers any more."""
        loop = asyncio.get_running_loop()
        call: Call | None = None
        try:
            while True:
                asked_at = loop.time()
                call = await self._answered(call, pushed)
                self.heard_at = loop.time()
                rev, whole, entries = call.side.told(self.enlist)
                if rev < self.rev and not whole:
                    raise Unreadable("a version older than the last")
                self.rev = rev
                self.tally.count("lists-whole" if whole else "lists-of-changes")
                if entries or whole:
                    self.told(entries, whole)
                await asyncio.sleep(max(asked_at + QUICKEST - loop.time(), 0))
                if not call.side.usable():
                    call.close()  # an answer may close its connection without ending the watch
                    call = None
        finally:
            if call:
                call.close()

    async def _answered(self, kept: Call | None, pushed: bool) -> Call:
        """The first call to be answered.

        A connection that fell silent tells that by nothing: once its answer is overdue others are asked
        beside it, and it is given up when one of them has answered.
        """
        loop = asyncio.get_running_loop()
        every, most = (self.pause, MOST_CALLS) if pushed else (IN_TURN, CALLS_IN_TURN)
        calls: dict[asyncio.Task[None], Call] = {}
        asked_at = loop.time()

        def ask(call: Call, wait_ms: int) -> None:
            task = loop.create_task(call.ask(self.rev, wait_ms))
            task.add_done_callback(lambda done: done.cancelled() or done.exception())  # seen
            calls[task] = call

        wait_ms = WAIT_MS if self.rev >= 0 else 0
        ask(kept or Call(self.host, self.port), wait_ms)
        due = asked_at + wait_ms / 1000 + (LATE if pushed or self.rev >= 0 else IN_TURN)
        broken: BaseException | None = None
        try:
            while calls:
                done, _ = await asyncio.wait(calls, timeout=max(due - loop.time(), 0),
                                             return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    call = calls.pop(task)
                    broken = task.exception()
                    if broken is None:
                        return call
                    call.close()
                    if not isinstance(broken, (OSError, TimeoutError, Unreadable)):
                        raise broken
                if calls and loop.time() >= due:
                    if not pushed and loop.time() - asked_at > wait_ms / 1000 + TURN:
                        raise TimeoutError("no answer")
                    self.tally.count("discovery-silent")
                    self._make_room(calls, most, loop.time())
                    ask(Call(self.host, self.port), 0)
                    due = loop.time() + every
            assert broken is not None
            raise broken
        finally:
            for task, call in calls.items():
                task.cancel()
                call.close()

    def _make_room(self, calls: dict[asyncio.Task[None], Call], most: int, now: float) -> None:
        """Who waits longest may be next in turn, and one being answered, however slowly, is heard out:
        of the others the oldest goes."""
        while len(calls) >= most:
            first = next(iter(calls))
            old = [task for task, call in calls.items() if now - call.asked_at > TURN + WAIT_MS / 1000]
            mute = [task for task, call in calls.items() if task is not first and not call.begun]
            goes = (old or mute or [*calls][1:])[0]
            goes.cancel()
            calls.pop(goes).close()

    def stop(self) -> None:
        if self.task:
            self.task.cancel()
