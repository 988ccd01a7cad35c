"""Accepts connections on a listening socket, and retries soon when descriptors or memory run out.

An asyncio server stops accepting for a second after such a failure, and requests with short deadlines expire
in the accept queue meanwhile. An `Acceptor` retries after ACCEPT_RETRY_DELAY.
"""

import asyncio
import select
import socket
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from crankfold.network.metrics import Metrics

ACCEPT_RETRY_DELAY = 0.005  # seconds between a failure of accept and the next call
# Consecutive failures in one iteration of the event loop after which the acceptor waits. The first one may
# concern only the connection at the head of the accept queue.
FAILURES_BEFORE_DELAY = 2

ConnectionCallback = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class AcceptLimits(NamedTuple):
    """Limits of one listening socket.

    Attributes:
        backlog: Connections in the kernel's accept queue.
        read_limit: Bytes; the limit of a connection's `asyncio.StreamReader`.
        accepts_per_iteration: Connections accepted in one iteration of the event loop.
    """

    backlog: int
    read_limit: int
    accepts_per_iteration: int


def open_listening_socket(
    host: str, port: int, limits: AcceptLimits, *, reuse_port: bool = False
) -> socket.socket:
    """Opens a listening TCP socket.

    Args:
        host: An IPv4 or IPv6 address.
        port: The port; 0 lets the system choose one.
        limits: Contains the length of the accept queue.
        reuse_port: Whether another process may listen on the same address.

    Raises:
        OSError: Listening on the address failed.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.create_server((host, port), family=family, backlog=limits.backlog, reuse_port=reuse_port)


class Acceptor:
    """Starts a task for each connection that is accepted on one listening socket.

    Attributes:
        socket: The listening socket; closed with the acceptor.
    """

    def __init__(
        self,
        listening: socket.socket,
        on_connection: ConnectionCallback,
        metrics: Metrics,
        limits: AcceptLimits,
    ) -> None:
        """Starts to accept connections.

        Args:
            listening: A socket that is bound and listening.
            on_connection: Serves one connection, in a task of its own.
            metrics: Counts failures of accept.
            limits: Limits on accepting connections and on reading from them.
        """
        self.socket = listening
        self._on_connection = on_connection
        self._metrics = metrics
        self._read_limit = limits.read_limit
        self._accepts_per_iteration = limits.accepts_per_iteration
        self._loop = asyncio.get_running_loop()
        self._retry_timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        listening.setblocking(False)
        self._loop.add_reader(listening, self._accept_ready)

    def port(self) -> int:
        """Returns the port on which the socket listens."""
        return int(self.socket.getsockname()[1])

    def has_pending(self) -> bool:
        """Whether connections are in the accept queue or do not have their transport yet."""
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
                # Either the client closed the connection, or the process has run out of descriptors or
                # memory. A shortage lasts, and retrying at once would use all of the CPU.
                self._metrics.increment("accepts-failed")
                failures += 1
                if failures < FAILURES_BEFORE_DELAY:
                    continue
                self._pause()
                return
            failures = 0
            task = self._loop.create_task(self._serve(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _pause(self) -> None:
        self._loop.remove_reader(self.socket)
        self._retry_timer = self._loop.call_later(ACCEPT_RETRY_DELAY, self._retry)

    def _retry(self) -> None:
        self._retry_timer = None
        self._loop.add_reader(self.socket, self._accept_ready)

    async def _serve(self, accepted: socket.socket) -> None:
        """Creates the connection's transport, which starts the task that serves the connection."""
        reader = asyncio.StreamReader(limit=self._read_limit, loop=self._loop)
        protocol = asyncio.StreamReaderProtocol(reader, self._on_connection, loop=self._loop)
        try:
            await self._loop.connect_accepted_socket(lambda: protocol, accepted)
        except OSError:
            self._metrics.increment("connections-reset")
            accepted.close()

    def close(self) -> None:
        """Closes the listening socket; accepted connections stay open."""
        if self._retry_timer:
            self._retry_timer.cancel()
        self._loop.remove_reader(self.socket)
        self.socket.close()
