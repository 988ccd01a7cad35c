"""Keeps the list of endpoints up to date: asks discovery for all of it first, then for what changes."""

import asyncio
import logging
from collections.abc import Callable, Sequence

from crankfold.network.metrics import Metrics
from crankfold.protocol.discovery import DiscoveryConnection, DiscoveryError, EndpointFactory, RejectedError
from crankfold.routing.interface import Endpoint

logger = logging.getLogger(__name__)

# What discovery has counts as known here 6 s after it could be reached. A watch may fall silent the moment it
# is asked: LONG_POLL_MS and OVERDUE_GRACE pass until that shows, and the rest is for further calls, each
# answered at once. Times are in seconds where their names don't say otherwise.
LONG_POLL_MS = 2000  # that discovery may wait for a change
OVERDUE_GRACE = 0.5  # an answer so long overdue is not waited for alone
# The same for a pushed watch. Its wait may end in a short silence of the agent; what that gets at its return
# counts at once, and this with the call that follows has to fit into the grace of a drain.
WATCH_OVERDUE_GRACE = 0.1
CONNECT_TIMEOUT = 1.0
QUEUE_TIMEOUT = 6.0  # where many ask at once they are answered in turn; who hangs up sooner has asked in vain
RETRY_INTERVAL = 0.15  # between calls where lists are pushed: what a silent agent gets at its return counts
MAX_WATCH_CALLS = 4  # at once, where lists are pushed
POLL_RETRY_INTERVAL = 2.5  # between calls where lists are asked for: each call costs discovery
MAX_POLL_CALLS = 2  # at once, where lists are asked for
MIN_CALL_INTERVAL = (
    0.02  # an agent that answers without waiting must not keep us busy; a watch lasts over 0.2 s
)
READ_SIZE = 64 * 1024  # bytes


class DiscoveryCall:
    """One call to discovery and the connection it goes by, which a later call may use again.

    Attributes:
        sent_at: when it was last sent, in seconds of the loop's clock.
        response_started: some of the answer has come.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.protocol = DiscoveryConnection(f"{host}:{port}")
        self.sent_at = asyncio.get_running_loop().time()
        self.response_started = False
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def fetch(self, revision: int, wait_ms: int) -> None:
        """Asks for what changed after a revision, and returns once the answer is complete.

        Raises:
            DiscoveryError: the answer can't be read or breaks off.
            OSError: the connection did not come up or broke.
            TimeoutError: the connection did not come up in time.
        """
        self.response_started = False
        self.sent_at = asyncio.get_running_loop().time()
        if self.reader is None or self.writer is None:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
        self.writer.write(self.protocol.request(revision, wait_ms))
        while not self.protocol.receive_data(data := await self.reader.read(READ_SIZE)):
            if not data:
                raise DiscoveryError("the connection ended")
            self.response_started = True

    def close(self) -> None:
        """Ends its connection."""
        if self.writer:
            self.writer.close()


class _CallRace:
    """Asks by one call, then by more beside it, until the first of them is answered.

    A connection that fell silent tells that by nothing: once its answer is overdue others are asked beside
    it, and it is given up when one of them has answered.
    """

    def __init__(self, host: str, port: int, revision: int, metrics: Metrics) -> None:
        self.host = host
        self.port = port
        self.revision = revision
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        self.calls: dict[asyncio.Task[None], DiscoveryCall] = {}  # the first to be asked first
        self.error: BaseException | None = None  # of the last call that failed

    async def first_answered(
        self, call: DiscoveryCall | None, *, interval: float, max_calls: int, is_pushed: bool
    ) -> DiscoveryCall:
        """The first call that is answered; `call` is one whose connection may be used again.

        Raises:
            DiscoveryError, OSError, TimeoutError: as the last call failed, or none was answered in time.
        """
        started_at = self.loop.time()
        has_list = self.revision >= 0
        wait = LONG_POLL_MS / 1000 if has_list else 0.0
        self._ask(call or DiscoveryCall(self.host, self.port), LONG_POLL_MS if has_list else 0)
        due = started_at + wait + _overdue_grace(is_pushed=is_pushed, has_list=has_list)
        while self.calls:
            answered = await self._next_answered(due)
            if answered:
                return answered
            if self.calls and self.loop.time() >= due:
                if not is_pushed and self.loop.time() - started_at > wait + QUEUE_TIMEOUT:
                    raise TimeoutError("no answer")
                self.metrics.increment("discovery-silent")
                self._drop_surplus_calls(max_calls)
                self._ask(DiscoveryCall(self.host, self.port), 0)
                due = self.loop.time() + interval
        assert self.error is not None
        raise self.error

    def _ask(self, call: DiscoveryCall, wait_ms: int) -> None:
        task = self.loop.create_task(call.fetch(self.revision, wait_ms))
        # Its error is looked at here, so that asyncio does not report one that nobody waits for any more.
        task.add_done_callback(lambda done: done.cancelled() or done.exception())
        self.calls[task] = call

    async def _next_answered(self, due: float) -> DiscoveryCall | None:
        """A call that is answered before that time, if there is one; those that failed are closed."""
        timeout = max(due - self.loop.time(), 0)
        done, _ = await asyncio.wait(self.calls, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            call = self.calls.pop(task)
            self.error = task.exception()
            if self.error is None:
                return call
            call.close()
            if not isinstance(self.error, (OSError, TimeoutError, DiscoveryError)):
                raise self.error
        return None

    def _drop_surplus_calls(self, max_calls: int) -> None:
        """Makes room for one more call.

        The one that waits longest may be next in turn, and one being answered, however slowly, is heard out:
        of the others the oldest goes.
        """
        while len(self.calls) >= max_calls:
            first = next(iter(self.calls))
            latest = self.loop.time() - QUEUE_TIMEOUT - LONG_POLL_MS / 1000
            expired = [task for task, call in self.calls.items() if call.sent_at < latest]
            silent = [
                task for task, call in self.calls.items() if task is not first and not call.response_started
            ]
            dropped = (expired or silent or [*self.calls][1:])[0]
            dropped.cancel()
            self.calls.pop(dropped).close()

    def close(self) -> None:
        """Gives up the calls that were not answered."""
        for task, call in self.calls.items():
            task.cancel()
            call.close()


def _overdue_grace(*, is_pushed: bool, has_list: bool) -> float:
    if is_pushed:
        return WATCH_OVERDUE_GRACE if has_list else OVERDUE_GRACE
    return OVERDUE_GRACE if has_list else POLL_RETRY_INTERVAL


class DiscoveryWatcher:
    """Asks discovery again and again and tells what it answers.

    Attributes:
        make_endpoint: turns the names in an entry into indices.
        on_endpoints: is told the endpoints that changed, or all of them, in which case the flag is true.
        on_failure: is told of each watch that broke.
        retry_interval: between calls where lists are pushed, in seconds.
        revision: of the list that is known; negative for none.
        last_answer_at: when discovery last answered, in seconds of the loop's clock.
    """

    def __init__(
        self,
        host: str,
        port: int,
        make_endpoint: EndpointFactory,
        *,
        on_endpoints: Callable[[Sequence[Endpoint], bool], None],
        on_failure: Callable[[], None],
        metrics: Metrics,
        retry_interval: float = RETRY_INTERVAL,
    ) -> None:
        """Does nothing before `start`; the address is the discovery agent's."""
        self.host = host
        self.port = port
        self.make_endpoint = make_endpoint
        self.on_endpoints = on_endpoints
        self.on_failure = on_failure
        self.metrics = metrics
        self.retry_interval = retry_interval
        self.revision = -1
        self.task: asyncio.Task[None] | None = None
        self.last_answer_at = 0.0

    def start(self, keep_running: bool) -> None:
        """Begins to watch, unless it does. With `keep_running` a watch that breaks is taken up again."""
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self._run(keep_running))

    def switch_to(self, host: str, port: int, keep_running: bool) -> None:
        """Watches another agent, at once: what the old one says and its revisions mean nothing there."""
        self.stop()
        self.host = host
        self.port = port
        self.task = None
        self.revision = -1
        self.start(keep_running)

    def stop(self) -> None:
        """Ends the watch."""
        if self.task:
            self.task.cancel()

    async def _run(self, keep_running: bool) -> None:
        while True:
            try:
                await self._follow(keep_running)
            except (OSError, TimeoutError, DiscoveryError) as error:
                # A call that was not answered leaves the revision as it is, and changes are a shorter answer
                # than the whole list.
                if isinstance(error, DiscoveryError) and not isinstance(error, RejectedError):
                    self.revision = -1
                self.metrics.increment("discovery-failed")
                logger.warning(
                    "%s: %s; the old list stands",
                    type(error).__name__,
                    error,
                    extra={"category": "discovery"},
                )
            self.on_failure()
            if not keep_running:
                return
            await asyncio.sleep(self.retry_interval)

    async def _follow(self, is_pushed: bool) -> None:
        """Asks until nothing answers any more."""
        loop = asyncio.get_running_loop()
        call: DiscoveryCall | None = None
        try:
            while True:
                asked_at = loop.time()
                call = await self._first_answer(call, is_pushed)
                self.last_answer_at = loop.time()
                self._take_answer(call)
                await asyncio.sleep(max(asked_at + MIN_CALL_INTERVAL - loop.time(), 0))
                if not call.protocol.is_reusable():
                    call.close()  # an answer may close its connection without ending the watch
                    call = None
        finally:
            if call:
                call.close()

    async def _first_answer(self, call: DiscoveryCall | None, is_pushed: bool) -> DiscoveryCall:
        race = _CallRace(self.host, self.port, self.revision, self.metrics)
        try:
            return await race.first_answered(
                call,
                interval=self.retry_interval if is_pushed else POLL_RETRY_INTERVAL,
                max_calls=MAX_WATCH_CALLS if is_pushed else MAX_POLL_CALLS,
                is_pushed=is_pushed,
            )
        finally:
            race.close()

    def _take_answer(self, call: DiscoveryCall) -> None:
        update = call.protocol.decode_response(self.make_endpoint)
        if update.revision < self.revision and not update.is_snapshot:
            raise DiscoveryError("a version older than the last")
        self.revision = update.revision
        self.metrics.increment("discovery-snapshots" if update.is_snapshot else "discovery-deltas")
        if update.endpoints or update.is_snapshot:
            self.on_endpoints(update.endpoints, update.is_snapshot)
