"""The admin server: serves operators' calls on an address of its own, one call per connection."""

import asyncio
from http import HTTPStatus

from crankfold.errors import drop_traceback
from crankfold.network.acceptor import AcceptLimits, Acceptor, open_listening_socket
from crankfold.network.metrics import Metrics
from crankfold.protocol.admin_api import AdminConnection, AdminOperations, execute
from crankfold.time_units import MILLISECONDS_PER_SECOND

MAX_CALLERS = 16  # open connections; `divide_socket_limit` reserves their descriptors
CALL_TIMEOUT = 2.0  # seconds from connecting to the end of a call
# Seconds for which input is read and discarded after the response. Closing a socket with unread input resets
# the connection, and the caller could lose the response.
CLOSE_DELAY = 0.2
READ_SIZE = 1024  # bytes; chunks of one byte in them take h11 two milliseconds
LIMITS = AcceptLimits(backlog=256, read_limit=READ_SIZE, accepts_per_iteration=2)


class AdminServer:
    """The listening socket for operators, and the calls in progress on its connections.

    Attributes:
        connections: The open connections with their writers, in the order in which they were accepted.
        acceptor: None before `open` and after `close`.
    """

    def __init__(self, operations: AdminOperations, metrics: Metrics) -> None:
        self.operations = operations
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        self.connections: dict[AdminConnection, asyncio.StreamWriter] = {}
        self.acceptor: Acceptor | None = None

    def open(self, host: str, port: int) -> None:
        """Starts to accept connections; port 0 lets the system choose one.

        Raises:
            OSError: Listening on the address failed.
        """
        listening = open_listening_socket(host, port, LIMITS)
        self.acceptor = Acceptor(listening, self._handle_connection, self.metrics, LIMITS)

    def port(self) -> int:
        """Returns the port on which the server listens, or 0 if it does not listen."""
        return self.acceptor.port() if self.acceptor else 0

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.metrics.increment("admin-connections")
        if not self._try_admit():
            writer.transport.abort()
            return
        connection = AdminConnection(accepts_documents=self.operations.cluster_admin is not None)
        self.connections[connection] = writer
        try:
            await self._serve_call(connection, reader, writer)
        except (OSError, TimeoutError, asyncio.CancelledError) as error:
            drop_traceback(error)
        finally:
            self.connections.pop(connection, None)
            writer.close()

    async def _serve_call(
        self, connection: AdminConnection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        started_at = self.loop.time()
        if not await self._read_call(connection, reader, writer):
            return
        if connection.command:
            await self._execute(connection)
        writer.writelines(connection.outgoing)
        self.metrics.increment("admin-calls" if connection.command else "admin-calls-rejected")
        duration_ms = int((self.loop.time() - started_at) * MILLISECONDS_PER_SECOND)
        self.metrics.record_maximum("admin-longest-call-ms", duration_ms)
        if writer.can_write_eof():
            writer.write_eof()
        async with asyncio.timeout(CLOSE_DELAY):
            while await reader.read(READ_SIZE):
                pass

    def _try_admit(self) -> bool:
        """Frees a slot for a connection: at MAX_CALLERS, closes the oldest one without a complete call.

        A connection whose call was read is never closed, because the call may already have taken effect.

        Returns:
            Whether one more connection may be served.
        """
        while len(self.connections) >= MAX_CALLERS:
            oldest = next((connection for connection in self.connections if not connection.command), None)
            if oldest is None:
                return False
            self.metrics.increment("admin-connections-evicted")
            self.connections.pop(oldest).transport.abort()
        return True

    async def _read_call(
        self, connection: AdminConnection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Reads until the call is complete or rejected.

        Returns:
            False if the caller closed the connection before that.
        """
        try:
            async with asyncio.timeout(CALL_TIMEOUT):
                while not connection.command and not connection.answered:
                    data = await reader.read(READ_SIZE)
                    if not data:
                        return False
                    connection.receive_data(data)
                    if connection.outgoing and not connection.answered:
                        writer.writelines(connection.outgoing)  # 100 Continue
                        connection.outgoing.clear()
        except TimeoutError:
            connection.respond(HTTPStatus.REQUEST_TIMEOUT)
        return True

    async def _execute(self, connection: AdminConnection) -> None:
        try:
            await execute(connection, self.operations)
        except Exception as error:
            self.metrics.record_exception(error)
            connection.respond(HTTPStatus.INTERNAL_SERVER_ERROR)
            if __debug__:
                raise

    async def close(self) -> None:
        """Stops accepting and closes all connections."""
        if self.acceptor:
            self.acceptor.close()
            self.acceptor = None
        for writer in self.connections.values():
            writer.close()
