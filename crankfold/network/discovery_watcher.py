"""Keeps up the watch on discovery: a whole list first, then what changes."""

import asyncio
import logging
from collections.abc import Callable, Sequence

from crankfold.network.metrics import Metrics
from crankfold.protocol.discovery import DiscoveryConnection, DiscoveryError, EndpointFactory, RejectedError
from crankfold.routing.interface import Endpoint

logger = logging.getLogger(__name__)

# What discovery has counts as told 6 s after it could be reached. A watch may fall silent the moment it is
# asked: WAIT and LATE pass until that shows, and the rest is for further calls, each answered at once.
LONG_POLL_MS = 2000
OVERDUE_GRACE = 0.5  # an answer so long overdue is not waited for alone
CONNECT_TIMEOUT = 1.0
QUEUE_TIMEOUT = 6.0  # where many ask at once they are answered in turn; who hangs up sooner has asked in vain
RETRY_INTERVAL = (
    0.15  # between calls where lists are pushed: what a silent agent gets at its return counts at once
)
MAX_WATCH_CALLS = 4
POLL_RETRY_INTERVAL, MAX_POLL_CALLS = 2.5, 2  # the same where lists are asked for: each call costs discovery
MIN_CALL_INTERVAL = (
    0.02  # an agent that answers without waiting must not keep us busy; a watch lasts over 0.2 s
)
READ_SIZE = 64 * 1024


class DiscoveryCall:
    """One call to discovery and the connection it goes by, which a later call may use again."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.protocol = DiscoveryConnection(f"{host}:{port}")
        self.sent_at = asyncio.get_running_loop().time()
        self.response_started = False  # to be answered
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def fetch(self, rev: int, wait_ms: int) -> None:
        """Until the answer is whole."""
        self.response_started, self.sent_at = False, asyncio.get_running_loop().time()
        if self.reader is None or self.writer is None:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
        self.writer.write(self.protocol.request(rev, wait_ms))
        while not self.protocol.receive_data(data := await self.reader.read(READ_SIZE)):
            if not data:
                raise DiscoveryError("the connection ended")
            self.response_started = True

    def close(self) -> None:
        if self.writer:
            self.writer.close()


class DiscoveryWatcher:
    def __init__(
        self,
        host: str,
        port: int,
        make_endpoint: EndpointFactory,
        on_endpoints: Callable[[Sequence[Endpoint], bool], None],
        on_failure: Callable[[], None],
        metrics: Metrics,
        retry_interval: float = RETRY_INTERVAL,
    ) -> None:
        self.host, self.port, self.make_endpoint, self.on_endpoints, self.on_failure = (
            host,
            port,
            make_endpoint,
            on_endpoints,
            on_failure,
        )
        self.metrics, self.retry_interval, self.revision = metrics, retry_interval, -1
        self.task: asyncio.Task[None] | None = None
        self.last_answer_at = 0.0  # when it last answered, by the loop's clock

    def start(self, keep_running: bool) -> None:
        """With `again` a broken watch is taken up by itself; else it lasts until it breaks."""
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self._run(keep_running))

    def switch_to(self, host: str, port: int, keep_running: bool) -> None:
        """To another agent, at once: what the old one still says and its versions mean nothing there."""
        self.stop()
        self.host, self.port, self.task, self.revision = host, port, None, -1
        self.start(keep_running)

    async def _run(self, again: bool) -> None:
        while True:
            try:
                await self._follow(again)
            except (OSError, TimeoutError, DiscoveryError) as broken:
                # A call that was not answered leaves the versions as they are, and changes are a shorter
                # answer than the whole list.
                if isinstance(broken, DiscoveryError) and not isinstance(broken, RejectedError):
                    self.revision = -1
                self.metrics.increment("discovery-failed")
                logger.warning(
                    "%s: %s; the old list stands",
                    type(broken).__name__,
                    broken,
                    extra={"category": "discovery"},
                )
            self.on_failure()
            if not again:
                return
            await asyncio.sleep(self.retry_interval)

    async def _follow(self, pushed: bool) -> None:
        """Until nothing answers any more."""
        loop = asyncio.get_running_loop()
        call: DiscoveryCall | None = None
        try:
            while True:
                asked_at = loop.time()
                call = await self._first_answer(call, pushed)
                self.last_answer_at = loop.time()
                rev, whole, entries = call.protocol.decode_response(self.make_endpoint)
                if rev < self.revision and not whole:
                    raise DiscoveryError("a version older than the last")
                self.revision = rev
                self.metrics.increment("lists-whole" if whole else "lists-of-changes")
                if entries or whole:
                    self.on_endpoints(entries, whole)
                await asyncio.sleep(max(asked_at + MIN_CALL_INTERVAL - loop.time(), 0))
                if not call.protocol.is_reusable():
                    call.close()  # an answer may close its connection without ending the watch
                    call = None
        finally:
            if call:
                call.close()

    async def _first_answer(self, kept: DiscoveryCall | None, pushed: bool) -> DiscoveryCall:
        """The first call to be answered.

        A connection that fell silent tells that by nothing: once its answer is overdue others are asked
        beside it, and it is given up when one of them has answered.
        """
        loop = asyncio.get_running_loop()
        every, most = (
            (self.retry_interval, MAX_WATCH_CALLS) if pushed else (POLL_RETRY_INTERVAL, MAX_POLL_CALLS)
        )
        calls: dict[asyncio.Task[None], DiscoveryCall] = {}
        asked_at = loop.time()

        def ask(call: DiscoveryCall, wait_ms: int) -> None:
            task = loop.create_task(call.fetch(self.revision, wait_ms))
            task.add_done_callback(lambda done: done.cancelled() or done.exception())  # seen
            calls[task] = call

        wait_ms = LONG_POLL_MS if self.revision >= 0 else 0
        ask(kept or DiscoveryCall(self.host, self.port), wait_ms)
        due = (
            asked_at
            + wait_ms / 1000
            + (OVERDUE_GRACE if pushed or self.revision >= 0 else POLL_RETRY_INTERVAL)
        )
        broken: BaseException | None = None
        try:
            while calls:
                done, _ = await asyncio.wait(
                    calls, timeout=max(due - loop.time(), 0), return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    call = calls.pop(task)
                    broken = task.exception()
                    if broken is None:
                        return call
                    call.close()
                    if not isinstance(broken, (OSError, TimeoutError, DiscoveryError)):
                        raise broken
                if calls and loop.time() >= due:
                    if not pushed and loop.time() - asked_at > wait_ms / 1000 + QUEUE_TIMEOUT:
                        raise TimeoutError("no answer")
                    self.metrics.increment("discovery-silent")
                    self._drop_surplus_calls(calls, most, loop.time())
                    ask(DiscoveryCall(self.host, self.port), 0)
                    due = loop.time() + every
            assert broken is not None
            raise broken
        finally:
            for task, call in calls.items():
                task.cancel()
                call.close()

    def _drop_surplus_calls(
        self, calls: dict[asyncio.Task[None], DiscoveryCall], most: int, now: float
    ) -> None:
        """Who waits longest may be next in turn, and one being answered, however slowly, is heard out:
        of the others the oldest goes."""
        while len(calls) >= most:
            first = next(iter(calls))
            old = [
                task
                for task, call in calls.items()
                if now - call.sent_at > QUEUE_TIMEOUT + LONG_POLL_MS / 1000
            ]
            mute = [task for task, call in calls.items() if task is not first and not call.response_started]
            goes = (old or mute or [*calls][1:])[0]
            goes.cancel()
            calls.pop(goes).close()

    def stop(self) -> None:
        if self.task:
            self.task.cancel()
