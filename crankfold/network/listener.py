"""Accepts connections from clients and backends, within a limit, and ends those that take too long."""

import asyncio
import socket
from collections.abc import Sequence
from typing import Protocol

from crankfold.network.accepted_connection import NEW_CONNECTION_GRACE, READ_SIZE, AcceptedConnection
from crankfold.network.acceptor import Acceptor
from crankfold.network.metrics import Metrics
from crankfold.protocol.client_connection import ClientChannel, ClientRequestHandler

# A client that says nothing, or stops in the middle of a request and stays, must be out 3 seconds later; who
# goes on, however slowly, is heard. All in seconds, and looked at once in SWEEP_INTERVAL.
FIRST_REQUEST_TIMEOUT = 2.0  # from connecting to the first byte of a request or callback
STALL_TIMEOUT = 2.0  # without a byte in the middle of a request, the first on its connection or a later one
FIRST_HEADER_TIMEOUT = 2.5  # from connecting to the end of the first header: some send one without end
TRANSFER_TIMEOUT = 5.0  # from the first byte of a request to its last, and for a response to be taken
IDLE_TIMEOUT = 75.0  # seconds
SWEEP_INTERVAL = 0.25  # seconds
ACCEPT_BACKLOG = 1024  # connections not accepted yet
ACCEPTS_PER_ITERATION = 4  # connections accepted in one iteration of the loop
# It takes some turns of the loop from accepting a connection to telling, and to close another for it.
UNCOUNTED_SOCKETS = 6 * ACCEPTS_PER_ITERATION
CLOSE_CHECKS = 20  # how often the end looks whether all is written
CLOSE_CHECK_INTERVAL = 0.01  # seconds


class ConnectionHandler(ClientRequestHandler, Protocol):
    """Where requests go, and who hears of clients that leave."""

    def client_disconnected(self, client: ClientChannel) -> None:
        """The client has gone before its request was answered."""


class Listener:
    """The listening socket and all connections accepted on it.

    Attributes:
        max_connections: from which on one connection is closed for each new one.
        flooding_connections: send more behind a request than is kept.
        unidentified_connections: no request or callback so far, the first to come first.
        closing: out of service or ending: responses are the last on their connections.
        shared_socket: a copy of the listening one, to be handed to a successor.
    """

    def __init__(
        self,
        handler: ConnectionHandler,
        metrics: Metrics,
        report_fields: Sequence[str],
        max_connections: int,
    ) -> None:
        self.handler = handler
        self.metrics = metrics
        self.report_fields = report_fields
        self.max_connections = max_connections
        self.loop = asyncio.get_running_loop()
        self.connections: set[AcceptedConnection] = set()
        self.flooding_connections: set[AcceptedConnection] = set()
        self.unidentified_connections: dict[AcceptedConnection, None] = {}
        self.closing = False
        self.acceptor: Acceptor | None = None
        self.shared_socket: socket.socket | None = None

    def open(
        self, host: str, port: int, inherited: socket.socket | None = None, reuse_port: bool = False
    ) -> None:
        """Begins to accept.

        Args:
            host: an address, of the older or the newer kind.
            port: 0 for one that the system picks.
            inherited: what the predecessor listened on, in place of a new socket.
            reuse_port: processes follow one another; the listening socket can be handed on.

        Raises:
            OSError: the address can't be listened on.
        """
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listening = inherited or socket.create_server(
            (host, port), family=family, backlog=ACCEPT_BACKLOG, reuse_port=reuse_port
        )
        # Each connection inherits it: asyncio reads all that the system holds, for each at once.
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2 * READ_SIZE)
        if reuse_port:
            self.shared_socket = listening.dup()
        listening.listen(ACCEPT_BACKLOG)
        self._start_accepting(listening)

    def _start_accepting(self, listening: socket.socket) -> None:
        self.acceptor = Acceptor(
            listening,
            self._handle_connection,
            metrics=self.metrics,
            read_limit=READ_SIZE,
            accepts_per_iteration=ACCEPTS_PER_ITERATION,
        )

    def pause(self) -> None:
        """Accepts nobody new. The shared socket keeps the queue of those who wait for the next to accept."""
        if self.acceptor:
            self.acceptor.close()
            self.acceptor = None

    def resume(self) -> None:
        """Accepts again after a pause."""
        if self.shared_socket and not self.acceptor:
            self._start_accepting(self.shared_socket.dup())

    def _has_pending_connections(self) -> bool:
        # Their requests may have come whole: closed unread, they would be lost.
        return self.acceptor is not None and self.acceptor.has_pending()

    def port(self) -> int:
        """The port that is listened on, 0 for none."""
        return self.acceptor.port() if self.acceptor else 0

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = AcceptedConnection(self, reader, writer)
        self.metrics.increment("connections-accepted")
        self._evict_if_full()
        self.connections.add(connection)
        self.unidentified_connections[connection] = None
        try:
            await connection.run()
        except OSError:
            self.metrics.increment("connections-reset")
        except asyncio.CancelledError:
            pass  # the program ends while a rejected client is still sending: no failure of ours
        finally:
            self._remove(connection)
            if connection.protocol.awaiting_response:
                self.metrics.increment("clients-disconnected")
                self.handler.client_disconnected(connection)
            writer.close()

    def _evict_if_full(self) -> None:
        """Near the limit on sockets one connection is ended; a request in hand is never dropped."""
        if len(self.connections) < self.max_connections:
            return
        # Some come by hundreds, say nothing or ask for our health once, and stay: they go before the rest.
        # Among the young ones are callbacks under way; closed for room these were sent again 0.2 s later.
        evicted = next(iter(self.unidentified_connections), None)
        if not evicted or self.loop.time() - evicted.accepted_at < NEW_CONNECTION_GRACE:
            idle = (
                connection
                for connection in self.connections
                if connection.protocol.identified and connection.is_idle()
            )
            evicted = min(idle, key=AcceptedConnection.eviction_order, default=evicted)
        if evicted:
            self.metrics.increment("connections-evicted")
            self._remove(evicted)
            evicted.abort()
        else:
            self.metrics.increment("connections-over-limit")

    def _remove(self, connection: AcceptedConnection) -> None:
        self.connections.discard(connection)
        self.flooding_connections.discard(connection)
        self.unidentified_connections.pop(connection, None)

    def is_over_limit(self) -> bool:
        """Whether there are more connections than allowed, all of them with a request in hand."""
        return len(self.connections) > self.max_connections

    def sweep(self) -> None:
        """Ends the connections whose time is up; to be called once an interval."""
        now = self.loop.time()
        for connection in list(self.connections):
            if self._is_timed_out(now, connection):
                self.metrics.increment("clients-timed-out")
                connection.abort()
            elif now - connection.phase_started_at > IDLE_TIMEOUT and connection.is_idle():
                self.metrics.increment("connections-idle-closed")
                connection.close()

    @staticmethod
    def _is_timed_out(now: float, connection: AcceptedConnection) -> bool:
        protocol = connection.protocol
        overdue = now - connection.phase_started_at > TRANSFER_TIMEOUT
        if protocol.closing:  # else it ends after its linger time
            return overdue and connection.has_unsent_data()
        if protocol.is_mid_request():
            stalled = now - connection.last_progress_at() > STALL_TIMEOUT
            if protocol.identified or protocol.is_in_body():
                return stalled or overdue
            return stalled or now - connection.accepted_at > FIRST_HEADER_TIMEOUT
        if protocol.identified:
            return overdue and connection.has_unsent_data()
        # Says nothing, or asked for our health alone.
        return not protocol.awaiting_response and now - connection.accepted_at > FIRST_REQUEST_TIMEOUT

    def has_client_connections(self) -> bool:
        """Whether any connection is not a backend's."""
        return any(not connection.protocol.is_backend for connection in self.connections)

    def has_connections(self) -> bool:
        """Whether there is any connection, accepted or waiting to be."""
        return bool(self.connections) or self._has_pending_connections()

    def expects_data(self) -> bool:
        """Whether a request may be under way on any connection, accepted or waiting to be."""
        return self._has_pending_connections() or any(
            connection.expects_data() for connection in self.connections
        )

    def close_idle(self, spare_backends: bool = False) -> None:
        """Ends the connections on which nothing is under way, and which are not new."""
        for connection in self.connections:
            if spare_backends and connection.protocol.is_backend:
                continue
            if not connection.is_idle() or connection.protocol.closing:
                continue
            if self.loop.time() - connection.phase_started_at > NEW_CONNECTION_GRACE:
                connection.close()

    async def close(self) -> None:
        """The last: no more connections, and what is written gets a moment to leave.

        Whoever still waits to be accepted, or has just connected, is heard before that: the request handler
        sheds what comes by now.
        """
        end = self.loop.time() + NEW_CONNECTION_GRACE
        while self.loop.time() < end and self.expects_data():  # noqa: ASYNC110 - no event
            await asyncio.sleep(CLOSE_CHECK_INTERVAL)
        self.pause()
        if self.shared_socket:
            self.shared_socket.close()
        for connection in self.connections:
            connection.close()
        for _ in range(CLOSE_CHECKS):
            if not self.connections:
                return
            await asyncio.sleep(CLOSE_CHECK_INTERVAL)
        for connection in list(self.connections):
            connection.writer.close()
