"""Follows the endpoint list of discovery: a snapshot first, then deltas by long polls.

A watch is a sequence of long polls that ends when one fails. Where discovery pushes lists, the watcher starts
the next watch itself; where lists are polled, the routing decides when.
"""

import asyncio
import logging
import os
from collections.abc import Callable, Sequence
from typing import NamedTuple

from crankfold.errors import drop_traceback
from crankfold.network.metrics import Metrics
from crankfold.network.streams import CountingStreamReader, is_open_without_input, open_connection
from crankfold.protocol.discovery import DiscoveryConnection, DiscoveryError, EndpointFactory, RejectedError
from crankfold.routing.interface import Endpoint
from crankfold.time_units import MILLISECONDS_PER_SECOND

logger = logging.getLogger(__name__)

# A change must be applied within 6 s of the moment when discovery has it and is reachable. The connection of
# a long poll can fail without notice as soon as the call is sent. Detecting that takes LONG_POLL_MS and
# OVERDUE_GRACE; the remainder of the 6 s is the budget of further calls. Times are in seconds unless the name
# says otherwise.
LONG_POLL_MS = 2000  # discovery may wait this long for a change
OVERDUE_GRACE = 0.5  # from the expected end of a long poll until a further call is started beside it
# Replaces OVERDUE_GRACE where lists are pushed, for every call. A call can begin or end while the agent is
# briefly unresponsive, and a drain that the agent learns of as it recovers is in force at once: this time and
# the further call must fit into the grace period of that drain.
WATCH_OVERDUE_GRACE = 0.1
CONNECT_TIMEOUT = 1.0
QUEUE_TIMEOUT = 6.0  # discovery answers calls in order, and a cancelled call loses its place in the queue
# Between calls where lists are pushed. A call that starts while the agent is unresponsive may never be
# answered. The next one starts within this interval after the agent recovers, and is answered.
RETRY_INTERVAL = 0.15
MAX_WATCH_CALLS = 4  # limit on concurrent calls where lists are pushed
POLL_RETRY_INTERVAL = 2.5  # between calls where lists are polled; long, because each call loads discovery
MAX_POLL_CALLS = 2  # limit on concurrent calls where lists are polled
# Between the starts of two calls, for agents that answer long polls at once. Less than the 0.2 s within which
# discovery expects the next call of a watch.
MIN_CALL_INTERVAL = 0.02
READ_SIZE = 64 * 1024  # bytes
NO_REVISION = -1  # the next call requests a snapshot
CATEGORY = {"category": "discovery"}  # limits the rate of this module's log records


class DiscoveryCall:
    """One call to discovery and its connection, which a later call may reuse.

    Attributes:
        sent_at: When the last call began, in seconds of the event loop's clock.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.protocol = DiscoveryConnection(f"{host}:{port}")
        self.sent_at = asyncio.get_running_loop().time()
        self.reader: CountingStreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def fetch(self, revision: int, wait_ms: int) -> None:
        """Requests the changes after a revision and returns once the response is complete.

        Raises:
            DiscoveryError: The response is not valid HTTP, too long, or incomplete.
            OSError: The connection could not be established, or broke.
            TimeoutError: The connection was not established within CONNECT_TIMEOUT.
        """
        self.sent_at = asyncio.get_running_loop().time()
        if self.reader is None or self.writer is None:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                self.reader, self.writer = await open_connection(self.host, self.port, READ_SIZE)
        self.writer.write(self.protocol.request(revision, wait_ms))
        while not self.protocol.receive_data(await self._next_data(self.reader)):
            pass

    async def _next_data(self, reader: CountingStreamReader) -> bytes:
        """Returns the next input, or no bytes after other events if there is some left to process."""
        if not self.protocol.can_proceed:
            return await reader.read(READ_SIZE)
        await asyncio.sleep(0)
        return b""

    def is_reusable(self) -> bool:
        """Whether the connection may be used for another call: it is open, without unsolicited input."""
        if self.reader is None or self.writer is None:
            return False
        return self.protocol.is_reusable() and is_open_without_input(self.reader, self.writer)

    def close(self) -> None:
        """Closes the connection."""
        if self.writer:
            self.writer.close()


class _CallPolicy(NamedTuple):
    """How an overdue call is hedged.

    Attributes:
        is_pushed: Whether lists are pushed: a call then has no timeout, and is hedged until it is answered.
        interval: Seconds between further calls.
        max_calls: Limit on concurrent calls.
    """

    is_pushed: bool
    interval: float
    max_calls: int


class _CallRace:
    """Hedged calls to discovery: the first response wins, and the other calls are cancelled.

    An overdue call may be queued or may have lost its connection, which nothing reports. So it is hedged and
    not cancelled.
    """

    def __init__(
        self, host: str, port: int, revision: int, wait_ms: int, policy: _CallPolicy, metrics: Metrics
    ) -> None:
        self.host = host
        self.port = port
        self.revision = revision
        self.wait_ms = wait_ms  # of the first call
        self.policy = policy
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        self.calls: dict[asyncio.Task[None], DiscoveryCall] = {}  # the oldest first
        self.error: BaseException | None = None  # of the last call that failed

    async def first_answered(self, call: DiscoveryCall | None) -> DiscoveryCall:
        """Returns the first call that has a complete response.

        Args:
            call: A finished call whose connection is reused, if there is one.

        Raises:
            DiscoveryError, OSError: All calls failed, the last one with this error.
            TimeoutError: No call was answered in time, or the last one could not connect in time.
        """
        started_at = self.loop.time()
        wait = self.wait_ms / MILLISECONDS_PER_SECOND
        self._start(call or DiscoveryCall(self.host, self.port), self.wait_ms)
        due = started_at + wait + self._overdue_grace()
        while self.calls:
            answered = await self._next_answered(due)
            if answered:
                return answered
            if not self.calls or self.loop.time() < due:
                continue
            if not self.policy.is_pushed and self.loop.time() - started_at > wait + QUEUE_TIMEOUT:
                raise TimeoutError("no response")
            self._hedge()
            due = self.loop.time() + self.policy.interval
        assert self.error is not None
        raise self.error

    def _overdue_grace(self) -> float:
        """Returns the seconds from the expected end of the first call until it is hedged."""
        if self.policy.is_pushed:
            return WATCH_OVERDUE_GRACE
        return OVERDUE_GRACE if self.wait_ms else POLL_RETRY_INTERVAL

    def _hedge(self) -> None:
        """Starts a further call, which discovery answers without waiting for a change."""
        self.metrics.increment("discovery-silent")
        self._drop_surplus_calls()
        self._start(DiscoveryCall(self.host, self.port), 0)

    def _start(self, call: DiscoveryCall, wait_ms: int) -> None:
        task = self.loop.create_task(call.fetch(self.revision, wait_ms))
        # Retrieves the exception of a task that is no longer awaited; asyncio would report it otherwise.
        task.add_done_callback(lambda done: done.cancelled() or done.exception())
        self.calls[task] = call

    async def _next_answered(self, due: float) -> DiscoveryCall | None:
        """Waits until a call ends, but not beyond `due` (seconds of the event loop's clock).

        Returns:
            A call with a complete response, or None. Calls that failed are closed.
        """
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
            drop_traceback(self.error)
        return None

    def _drop_surplus_calls(self) -> None:
        """Cancels calls until one more may start."""
        while len(self.calls) >= self.policy.max_calls:
            dropped = self._least_promising_call()
            dropped.cancel()
            self.calls.pop(dropped).close()

    def _least_promising_call(self) -> asyncio.Task[None]:
        """Returns the oldest expired call, else the oldest without response bytes, else the second oldest.

        The oldest call is retained unless it has expired, because discovery may answer it next.
        """
        expired_before = self.loop.time() - QUEUE_TIMEOUT - LONG_POLL_MS / MILLISECONDS_PER_SECOND
        expired = [task for task, call in self.calls.items() if call.sent_at < expired_before]
        _oldest, *others = self.calls
        silent = [task for task in others if not self.calls[task].protocol.response_started]
        return (expired or silent or others)[0]

    def close(self) -> None:
        """Cancels the calls in progress and closes their connections."""
        for task, call in self.calls.items():
            task.cancel()
            call.close()


class DiscoveryWatcher:
    """Calls discovery and passes on the endpoints in its responses.

    Attributes:
        make_endpoint: Turns the names in an entry into indices.
        on_endpoints: Called with the endpoints of a response, and whether they are a snapshot.
        on_failure: Called at the end of each watch.
        retry_interval: Seconds between calls of a watch.
        revision: The next call requests the changes after it; negative to request a snapshot.
        list_revision: Revision of the last list received from this agent; negative if there is none.
        last_answer_at: When discovery last answered, in seconds of the event loop's clock.
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
        """Creates an idle watcher; `host` and `port` are the address of the discovery agent."""
        self.host = host
        self.port = port
        self.make_endpoint = make_endpoint
        self.on_endpoints = on_endpoints
        self.on_failure = on_failure
        self.metrics = metrics
        self.retry_interval = retry_interval
        self.revision = NO_REVISION
        self.list_revision = NO_REVISION
        self.task: asyncio.Task[None] | None = None
        self.last_answer_at = 0.0
        self._lost_connection = False  # whether the last call broke or timed out

    def start(self, keep_running: bool) -> None:
        """Starts a watch, unless one runs; with `keep_running`, the next one starts when it fails."""
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self._run(keep_running))

    def switch_to(self, host: str, port: int, keep_running: bool) -> None:
        """Follows the agent at that address; does nothing if the watcher already does.

        A new agent is followed at once and from a snapshot, as revisions of two agents are not comparable.
        """
        if (host, port) == (self.host, self.port):
            return
        self.stop()
        self.host = host
        self.port = port
        self.task = None
        self.revision = NO_REVISION
        self.list_revision = NO_REVISION
        self.start(keep_running)

    def stop(self) -> None:
        """Cancels the watch."""
        if self.task:
            self.task.cancel()

    async def _run(self, keep_running: bool) -> None:
        while True:
            try:
                await self._follow(keep_running)
            except (OSError, TimeoutError, DiscoveryError) as error:
                self._record_failure(error)
                drop_traceback(error)
            self.on_failure()
            if not keep_running:
                return
            await asyncio.sleep(self.retry_interval)

    def _record_failure(self, error: OSError | DiscoveryError) -> None:
        self._lost_connection = not isinstance(error, DiscoveryError)
        # The revision stays valid after a connection failure or a rejected call. It is retained, because a
        # delta is shorter than a snapshot.
        if isinstance(error, DiscoveryError) and not isinstance(error, RejectedError):
            self.revision = NO_REVISION
        self.metrics.increment("discovery-failed")
        reason = self._describe_failure(error)
        if self.list_revision >= 0:
            logger.warning(
                "%s; keeping endpoint list of revision %s", reason, self.list_revision, extra=CATEGORY
            )
        else:
            logger.warning("%s; no endpoint list received yet", reason, extra=CATEGORY)

    def _describe_failure(self, error: OSError | DiscoveryError) -> str:
        """Returns the cause of a failure; errors of the connection include the address of the agent."""
        if isinstance(error, DiscoveryError):
            return str(error)
        if error.errno and error.errno > 0:
            cause = os.strerror(error.errno).lower()
        else:  # errno is negative after a failed name resolution, and None after a timeout of asyncio
            cause = error.strerror or str(error) or "connect timed out"
        return f"{cause} ({self.host}:{self.port})"

    async def _follow(self, is_pushed: bool) -> None:
        """Runs one watch.

        Raises:
            DiscoveryError, OSError, TimeoutError: A call failed.
        """
        loop = asyncio.get_running_loop()
        call: DiscoveryCall | None = None
        try:
            while True:
                called_at = loop.time()
                call = await self._first_answer(call, is_pushed)
                self.last_answer_at = loop.time()
                self._lost_connection = False
                self._apply_response(call)
                await asyncio.sleep(max(called_at + MIN_CALL_INTERVAL - loop.time(), 0))
                if not call.is_reusable():
                    call.close()  # no failure: discovery may close the connection after a response
                    call = None
        finally:
            if call:
                call.close()

    async def _first_answer(self, call: DiscoveryCall | None, is_pushed: bool) -> DiscoveryCall:
        if is_pushed:
            policy = _CallPolicy(True, self.retry_interval, MAX_WATCH_CALLS)
        else:
            policy = _CallPolicy(False, POLL_RETRY_INTERVAL, MAX_POLL_CALLS)
        race = _CallRace(self.host, self.port, self.revision, self._wait_ms(is_pushed), policy, self.metrics)
        try:
            return await race.first_answered(call)
        finally:
            race.close()

    def _wait_ms(self, is_pushed: bool) -> int:
        """Returns for how many milliseconds discovery may wait for a change before it answers the next call.

        After a lost connection the agent may be unresponsive. A call without a wait detects that sooner than
        a long poll.
        """
        if self.revision < 0 or (is_pushed and self._lost_connection):
            return 0
        return LONG_POLL_MS

    def _apply_response(self, call: DiscoveryCall) -> None:
        update = call.protocol.decode_response(self.make_endpoint)
        if update.revision < self.revision and not update.is_snapshot:
            raise DiscoveryError(f"received revision {update.revision} after revision {self.revision}")
        self.revision = update.revision
        self.list_revision = update.revision
        self.metrics.increment("discovery-snapshots" if update.is_snapshot else "discovery-deltas")
        if update.endpoints or update.is_snapshot:
            self.on_endpoints(update.endpoints, update.is_snapshot)
