"""Pools of persistent connections to backends, with one limit for all of them."""

import asyncio
import errno

from crankfold.network.exchange import Exchange, ExchangeResult
from crankfold.network.metrics import Metrics
from crankfold.network.pooled_connection import (
    READ_SIZE,
    DrainNotifyingProtocol,
    PooledConnection,
)
from crankfold.network.streams import CountingStreamReader

# Errors of connect that concern this machine (descriptors, memory, ports) and not the backend.
LOCAL_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
CONNECT_RETRY_DELAY = 0.005  # seconds between a local error and the next connect


class ConnectionLimiter:
    """Limits the open connections to all backends together.

    Attributes:
        max_connections: Limit on `open_count`.
        connect_timeout: Seconds within which a connection must be established.
        idle_timeout: Seconds after which an idle connection is closed.
        open_count: Number of connections that are open or being established.
        idle_connections: The idle connections, in the order in which they became idle.
    """

    def __init__(
        self, max_connections: int, connect_timeout: float, idle_timeout: float, metrics: Metrics
    ) -> None:
        """Starts without connections; see the attributes for units."""
        self.max_connections = max_connections
        self.connect_timeout = connect_timeout
        self.idle_timeout = idle_timeout
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        self.open_count = 0
        self.idle_connections: dict[PooledConnection, None] = {}

    def try_admit(self) -> bool:
        """Frees a slot for a connection: at the limit, closes the one that has been idle longest.

        Returns:
            Whether one more connection may be opened.
        """
        if self.open_count >= self.max_connections and self.idle_connections:
            next(iter(self.idle_connections)).close()
            self.metrics.increment("backend-connections-evicted")
            # The evicted socket closes an iteration of the event loop later; UNCOUNTED_SOCKETS allow for it.
            return True
        return self.open_count < self.max_connections

    def sweep(self) -> None:
        """Closes the connections that have been idle for `idle_timeout`."""
        now = self.loop.time()
        while self.idle_connections:
            connection = next(iter(self.idle_connections))
            if now - connection.idle_since < self.idle_timeout:
                return
            connection.close()


class ConnectionPool:
    """The connections to one backend at one address; the one that became idle last is reused first."""

    def __init__(self, host: str, port: int, limiter: ConnectionLimiter) -> None:
        self.host = host
        self.port = port
        self.limiter = limiter
        self.metrics = limiter.metrics
        self.loop = limiter.loop
        self.idle_connections: list[PooledConnection] = []  # in the order in which they became idle
        self.connect_tasks: set[asyncio.Task[None]] = set()
        self.closed = False

    def send(self, exchange: Exchange) -> None:
        """Starts an exchange: on an idle connection at once, else on a new one.

        `exchange.on_end` is called in a later iteration of the event loop, never during this call.
        """
        connection = self._take_idle(exchange.needs_cooldown)
        if connection:
            self.metrics.increment("backend-connections-reused")
            connection.start(exchange)
        elif self.closed or not self.limiter.try_admit():
            self.metrics.increment("backend-connections-over-limit")
            self.loop.call_soon(exchange.finish, ExchangeResult.NOT_SENT, None)
        else:
            task = self.loop.create_task(self._connect(exchange))
            self.connect_tasks.add(task)
            task.add_done_callback(self.connect_tasks.discard)

    def _take_idle(self, needs_cooldown: bool) -> PooledConnection | None:
        """Removes and returns the idle connection to use next, one past its cooldown if possible."""
        now = self.loop.time()
        cooling: PooledConnection | None = None
        for connection in self.idle_connections[::-1]:
            if not connection.is_reusable() or now - connection.idle_since >= self.limiter.idle_timeout:
                connection.close()
            elif connection.is_past_cooldown():
                self.remove_idle(connection)
                return connection
            else:
                cooling = cooling or connection
        if cooling is None or needs_cooldown:
            return None
        self.remove_idle(cooling)
        return cooling

    def has_connection_older_than(self, seconds: float) -> bool:
        """Whether an idle connection is open for longer, which shows that the backend has not restarted."""
        now = self.loop.time()
        return any(
            connection.is_reusable() and now - connection.opened_at > seconds
            for connection in self.idle_connections
        )

    def remove_idle(self, connection: PooledConnection) -> None:
        """Removes a connection from the idle connections; does nothing if it is not idle."""
        if connection in self.limiter.idle_connections:
            del self.limiter.idle_connections[connection]
            self.idle_connections.remove(connection)

    async def _connect(self, exchange: Exchange) -> None:
        self.metrics.increment("backend-connections-opened")
        self.limiter.open_count += 1
        try:
            async with asyncio.timeout(self.limiter.connect_timeout):
                writer, protocol, reader = await self._open()
        except (OSError, TimeoutError):
            self.limiter.open_count -= 1
            self.metrics.increment("backend-connections-failed")
            exchange.finish(ExchangeResult.UNREACHABLE, None)
            return
        connection = PooledConnection(self, reader, writer, protocol)
        if exchange.finished or self.closed or not exchange.may_send():
            exchange.finish(ExchangeResult.NOT_SENT, None)
            self.release(connection)
            return
        if exchange.on_connect:
            exchange.on_connect()
        connection.start(exchange)

    async def _open(self) -> tuple[asyncio.StreamWriter, DrainNotifyingProtocol, CountingStreamReader]:
        """Opens a connection; repeats a connect that failed locally until the caller cancels it.

        Raises:
            OSError: The backend is not reachable.
        """
        while True:
            reader = CountingStreamReader(limit=READ_SIZE, loop=self.loop)
            protocol = DrainNotifyingProtocol(reader, loop=self.loop)
            try:
                transport, _ = await self.loop.create_connection(lambda: protocol, self.host, self.port)  # noqa: B023 - called before the next iteration
            except OSError as error:
                if error.errno not in LOCAL_ERRORS:
                    raise
                self.metrics.increment("connects-failed-locally")
                await asyncio.sleep(CONNECT_RETRY_DELAY)
            else:
                return asyncio.StreamWriter(transport, protocol, reader, self.loop), protocol, reader

    def release(self, connection: PooledConnection) -> None:
        """Makes a connection idle, or closes it if the pool is closed."""
        if self.closed:
            connection.writer.close()
            return
        connection.idle_since = self.loop.time()
        self.idle_connections.append(connection)
        self.limiter.idle_connections[connection] = None

    def connection_lost(self, connection: PooledConnection) -> None:
        """Stops counting a connection that was closed."""
        self.remove_idle(connection)
        self.limiter.open_count -= 1

    def close(self) -> None:
        """Closes the idle connections and opens no more; exchanges in progress run to their end.

        Called when the address of the backend changes.
        """
        self.closed = True
        while self.idle_connections:
            self.idle_connections[-1].close()
