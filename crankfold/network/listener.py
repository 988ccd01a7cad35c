"""Accepts connections from clients and backends, limits their number, and closes those that time out."""

import asyncio
import socket
from collections.abc import Sequence
from typing import Protocol
from weakref import WeakSet

from crankfold.errors import drop_traceback
from crankfold.network.accepted_connection import NEW_CONNECTION_GRACE, READER_LIMIT, AcceptedConnection
from crankfold.network.acceptor import AcceptLimits, Acceptor, open_listening_socket
from crankfold.network.input_scheduler import InputScheduler
from crankfold.network.memory_budget import MemoryBudget, release_order
from crankfold.network.metrics import Metrics
from crankfold.protocol.client_connection import ClientChannel, ClientRequestHandler

# Timeouts of accepted connections, in seconds, checked every SWEEP_INTERVAL. A client that sends nothing, or
# stops in the middle of a request, is disconnected within 3 s; one that keeps sending the same request is
# disconnected after TRANSFER_TIMEOUT.
FIRST_REQUEST_TIMEOUT = 2.0  # from connecting to the first byte of a request or callback
STALL_TIMEOUT = 2.0  # without a byte in the middle of a request
FIRST_HEADER_TIMEOUT = 2.5  # from connecting to the end of the first header
TRANSFER_TIMEOUT = 5.0  # from the first byte of a request to its last, and for the peer to receive a response
IDLE_TIMEOUT = 75.0
SWEEP_INTERVAL = 0.25
LIMITS = AcceptLimits(backlog=1024, read_limit=READER_LIMIT, accepts_per_iteration=4)
RECEIVE_BUFFER_SIZE = 2 * READER_LIMIT  # bytes in the kernel, for each connection
# Iterations of the event loop from accepting a connection until the one evicted for it is closed.
EVICTION_ITERATIONS = 6
UNCOUNTED_SOCKETS = EVICTION_ITERATIONS * LIMITS.accepts_per_iteration  # may be open beyond the limits
CLOSE_CHECKS = 20  # number of times that `close` checks for connections with unwritten bytes
CLOSE_CHECK_INTERVAL = 0.01  # seconds


class ConnectionHandler(ClientRequestHandler, Protocol):
    """Receives requests, and is notified of clients that disconnect."""

    def client_disconnected(self, client: ClientChannel) -> None:
        """The client has disconnected while its request was open."""


class Listener:
    """The listening socket and all connections accepted on it.

    Attributes:
        max_connections: From this number on, one connection is evicted for each new one.
        flooding_connections: Connections whose input is discarded, as too much is pipelined behind a request.
        unidentified_connections: Connections without a request or callback so far, the oldest first.
        memory: Accounts for the buffers of the connections.
        scheduler: Shares the time of the event loop among the connections with input.
        closing: Whether each response is the last on its connection: out of service or shutting down.
        shared_socket: A duplicate of the listening socket, for a successor.
    """

    def __init__(
        self,
        handler: ConnectionHandler,
        metrics: Metrics,
        report_fields: Sequence[str],
        max_connections: int,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.handler = handler
        self.metrics = metrics
        self.report_fields = report_fields
        self.max_connections = max_connections
        self.loop = asyncio.get_running_loop()
        self.connections: set[AcceptedConnection] = set()
        self._connections_in_memory: WeakSet[AcceptedConnection] = WeakSet()
        self.flooding_connections: set[AcceptedConnection] = set()
        self.unidentified_connections: dict[AcceptedConnection, None] = {}
        self.scheduler = InputScheduler(metrics)
        self.memory = memory or MemoryBudget()
        self._releasing_memory = False
        self.closing = False
        self.acceptor: Acceptor | None = None
        self.shared_socket: socket.socket | None = None

    def open(
        self, host: str, port: int, inherited: socket.socket | None = None, reuse_port: bool = False
    ) -> None:
        """Starts to accept connections.

        Args:
            host: An IPv4 or IPv6 address.
            port: The port; 0 lets the system choose one.
            inherited: The predecessor's listening socket, used instead of a new one.
            reuse_port: Whether the listening socket can be passed to a successor.

        Raises:
            OSError: Listening on the address failed.
        """
        listening = inherited or open_listening_socket(host, port, LIMITS, reuse_port=reuse_port)
        # Accepted connections inherit this size, which bounds how much asyncio reads from one at once.
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_SIZE)
        if reuse_port:
            self.shared_socket = listening.dup()
        listening.listen(LIMITS.backlog)
        self._start_accepting(listening)

    def _start_accepting(self, listening: socket.socket) -> None:
        self.acceptor = Acceptor(listening, self._handle_connection, self.metrics, LIMITS)

    def pause(self) -> None:
        """Stops accepting. The shared socket keeps the accept queue for `resume` or a successor."""
        if self.acceptor:
            self.acceptor.close()
            self.acceptor = None

    def resume(self) -> None:
        """Accepts connections again after `pause`."""
        if self.shared_socket and not self.acceptor:
            self._start_accepting(self.shared_socket.dup())

    def _has_pending_connections(self) -> bool:
        # The kernel's buffers of a pending connection may already hold complete requests.
        return self.acceptor is not None and self.acceptor.has_pending()

    def port(self) -> int:
        """Returns the port on which the listener accepts connections, or 0 if it does not accept any."""
        return self.acceptor.port() if self.acceptor else 0

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = AcceptedConnection(self, reader, writer)
        self.metrics.increment("connections-accepted")
        self._evict_if_full()
        self.connections.add(connection)
        self._connections_in_memory.add(connection)
        self.unidentified_connections[connection] = None
        try:
            await connection.run()
        except OSError as error:
            self.metrics.increment("connections-reset")
            drop_traceback(error)
        except asyncio.CancelledError:
            pass  # the process exits while a rejected client is still sending
        finally:
            self._end_connection(connection)

    def _end_connection(self, connection: AcceptedConnection) -> None:
        """Closes a connection that is read no more; after TRANSFER_TIMEOUT, unsent bytes are dropped."""
        self._remove(connection)
        if connection.protocol.awaiting_response:
            self.metrics.increment("clients-disconnected")
            self.handler.client_disconnected(connection)
        connection.writer.close()
        if connection.has_unsent_data():
            self.loop.call_later(TRANSFER_TIMEOUT, connection.writer.transport.abort)
        connection.connection_lost()

    def _evict_if_full(self) -> None:
        """Closes one connection if the limit is reached, but never one with an open request."""
        if len(self.connections) < self.max_connections:
            return
        evicted = self._eviction_candidate()
        if evicted:
            self.metrics.increment("connections-evicted")
            self._remove(evicted)
            evicted.abort()
        else:
            self.metrics.increment("connections-over-limit")

    def _eviction_candidate(self) -> AcceptedConnection | None:
        """Returns the connection to evict.

        That is the oldest unidentified connection if NEW_CONNECTION_GRACE has passed since it was accepted,
        else an idle one, else the oldest unidentified one. During the grace the first request or callback may
        be in transit. A connection whose first input is not processed yet may have sent a request.
        """
        oldest = next((it for it in self.unidentified_connections if not it.awaits_first_slice()), None)
        if oldest and self.loop.time() - oldest.accepted_at >= NEW_CONNECTION_GRACE:
            return oldest
        idle = (
            connection
            for connection in self.connections
            if connection.protocol.identified and connection.is_idle()
        )
        return min(idle, key=AcceptedConnection.eviction_order, default=oldest)

    def account(self, connection: AcceptedConnection) -> None:
        """Accounts for the memory that a connection holds, and releases some if the limit is exceeded."""
        if connection not in self.connections:
            return
        self.memory.charge(connection, connection.buffered_bytes())
        if self.memory.is_exceeded() and not self._releasing_memory:
            self._releasing_memory = True
            self._release_memory()
            self._releasing_memory = False

    def _release_memory(self) -> None:
        now = self.loop.time()
        transfers = [(connection, connection.unfinished_transfer(now)) for connection in self.connections]
        for connection in release_order(item for item in transfers if item[1].size):
            if not self.memory.needs_release():
                return
            connection.release_memory()
            self.memory.charge(connection, connection.buffered_bytes())

    def _remove(self, connection: AcceptedConnection) -> None:
        self.connections.discard(connection)
        self.memory.release(connection)
        self.flooding_connections.discard(connection)
        self.unidentified_connections.pop(connection, None)

    def is_over_limit(self) -> bool:
        """Whether more connections are open than allowed, because none could be evicted."""
        return len(self.connections) > self.max_connections

    def ended_connections_in_memory(self) -> int:
        """Returns the number of connections that have ended and whose memory is not released."""
        return len(self._connections_in_memory) - len(self.connections)

    def sweep(self) -> None:
        """Closes the connections that timed out; called every SWEEP_INTERVAL."""
        now = self.loop.time()
        for connection in list(self.connections):
            connection.resume()  # it may have waited until its peer received the responses
            self.account(connection)
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
        if protocol.closing:  # without unsent data, the connection closes after CLOSE_DELAY
            return overdue and connection.has_unsent_data()
        if protocol.is_mid_request():
            stalled = now - connection.last_progress_at() > STALL_TIMEOUT
            if protocol.identified or protocol.is_in_body():
                return stalled or overdue
            return stalled or now - connection.accepted_at > FIRST_HEADER_TIMEOUT
        if protocol.identified:
            return overdue and connection.has_unsent_data()
        # The connection has sent nothing, or only health checks.
        return not protocol.awaiting_response and now - connection.accepted_at > FIRST_REQUEST_TIMEOUT

    def has_client_connections(self) -> bool:
        """Whether any connection is a client's: one without a callback so far."""
        return any(not connection.protocol.is_backend for connection in self.connections)

    def has_connections(self) -> bool:
        """Whether there is any connection, accepted or in the accept queue."""
        return bool(self.connections) or self._has_pending_connections()

    def expects_data(self) -> bool:
        """Whether a request may be in transit on any connection, accepted or in the accept queue."""
        return self._has_pending_connections() or any(
            connection.expects_data() for connection in self.connections
        )

    def close_idle(self, spare_backends: bool = False) -> None:
        """Closes the connections that have been idle for NEW_CONNECTION_GRACE.

        Args:
            spare_backends: Whether connections of backends stay open.
        """
        for connection in self.connections:
            if spare_backends and connection.protocol.is_backend:
                continue
            if not connection.is_idle() or connection.protocol.closing:
                continue
            if self.loop.time() - connection.phase_started_at > NEW_CONNECTION_GRACE:
                connection.close()

    async def close(self) -> None:
        """Closes the listening socket, and each connection once its responses are written.

        Before that, new connections and those in the accept queue are read for up to NEW_CONNECTION_GRACE;
        the request handler sheds their requests.
        """
        end = self.loop.time() + NEW_CONNECTION_GRACE
        while self.loop.time() < end and self.expects_data():  # noqa: ASYNC110 - no event is set for this
            await asyncio.sleep(CLOSE_CHECK_INTERVAL)
        self.pause()
        if self.shared_socket:
            self.shared_socket.close()
        for connection in list(self.connections):
            connection.process_portion()  # a request that was read gets a response
            connection.close()
        for _ in range(CLOSE_CHECKS):
            if not self.connections:
                return
            await asyncio.sleep(CLOSE_CHECK_INTERVAL)
        for connection in list(self.connections):
            connection.writer.close()
