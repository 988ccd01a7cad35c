"""Accepts connections on a listening socket, also where accept fails for a while.

After accept has failed for want of descriptors or memory an asyncio server accepts nobody for a second, in
which requests with short deadlines are lost in the queue. Here it is asked again within milliseconds.
"""

import asyncio
import select
import socket
from collections.abc import Awaitable, Callable

from crankfold.network.metrics import Metrics

ACCEPT_RETRY_DELAY = 0.005  # seconds until accept is called again, after it failed
FAILURES_BEFORE_DELAY = 2  # in a row: the first may concern one connection, and others wait behind it

ConnectionCallback = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Acceptor:
    """Serves each connection that comes to one listening socket.

    Attributes:
        socket: the listening one, closed with the acceptor.
    """

    def __init__(
        self,
        listening: socket.socket,
        on_connection: ConnectionCallback,
        *,
        metrics: Metrics,
        read_limit: int,
        accepts_per_iteration: int,
    ) -> None:
        """Begins to accept.

        Args:
            listening: that was bound and listens.
            on_connection: serves a connection, in a task of its own.
            metrics: counts failures of accept.
            read_limit: bytes that a connection's reader is limited to.
            accepts_per_iteration: connections that are accepted in one iteration of the event loop.
        """
        self.socket = listening
        self._on_connection = on_connection
        self._metrics = metrics
        self._read_limit = read_limit
        self._accepts_per_iteration = accepts_per_iteration
        self._loop = asyncio.get_running_loop()
        self._retry_timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        listening.setblocking(False)
        self._loop.add_reader(listening, self._accept_ready)

    def port(self) -> int:
        """The port that is listened on."""
        return int(self.socket.getsockname()[1])

    def has_pending(self) -> bool:
        """Whether connections wait to be accepted, or are just being set up."""
        poll = select.poll()
        poll.register(self.socket.fileno(), select.POLLIN)
        return bool(self._tasks) or bool(poll.poll(0))

    def _accept_ready(self) -> None:
        failures = 0
        for _ in range(self._accepts_per_iteration):
            try:
                accepted, _address = self.socket.accept()
            except BlockingIOError:
                return
            except OSError:
                # The connection is gone, or there are no descriptors or memory: asked again and again at
                # once, what lasts would keep the process busy.
                self._metrics.increment("accepts-failed")
                failures += 1
                if failures < FAILURES_BEFORE_DELAY:
                    continue
                self._loop.remove_reader(self.socket)
                self._retry_timer = self._loop.call_later(ACCEPT_RETRY_DELAY, self._retry)
                return
            failures = 0
            task = self._loop.create_task(self._serve(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _retry(self) -> None:
        self._retry_timer = None
        self._loop.add_reader(self.socket, self._accept_ready)

    async def _serve(self, accepted: socket.socket) -> None:
        """Gives the connection a transport, which starts the task that serves it."""
        reader = asyncio.StreamReader(limit=self._read_limit, loop=self._loop)
        protocol = asyncio.StreamReaderProtocol(reader, self._on_connection, loop=self._loop)
        try:
            await self._loop.connect_accepted_socket(lambda: protocol, accepted)
        except OSError:
            self._metrics.increment("connections-reset")
            accepted.close()

    def close(self) -> None:
        """Accepts nobody any more; the connections that were accepted stay."""
        if self._retry_timer:
            self._retry_timer.cancel()
        self._loop.remove_reader(self.socket)
        self.socket.close()
