"""Takes operators' calls on an address of its own."""

import asyncio
import socket
from http import HTTPStatus

from crankfold.network.acceptor import Acceptor
from crankfold.network.metrics import Metrics
from crankfold.protocol.admin_api import AdminConnection, AdminOperations, execute

MAX_CALLERS = 16  # connections at once; their descriptors are kept free of clients and backends
CALL_TIMEOUT = 2.0  # seconds from connecting to the end of a call
CLOSE_DELAY = 0.2  # seconds that what comes after the response is read: a reset would overtake it
READ_SIZE = 4 * 1024  # bytes
ACCEPT_BACKLOG = 256  # connections not accepted yet
ACCEPTS_PER_ITERATION = 2  # connections accepted in one iteration of the loop


class AdminServer:
    """The listening socket for operators, and the calls under way on it."""

    def __init__(self, operations: AdminOperations, metrics: Metrics) -> None:
        self.operations = operations
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        # The first to come first. One that has sent its call is not closed for others.
        self.connections: dict[AdminConnection, asyncio.StreamWriter] = {}
        self.acceptor: Acceptor | None = None

    def open(self, host: str, port: int) -> None:
        """Begins to accept; port 0 is one that the system picks.

        Raises:
            OSError: the address can't be listened on.
        """
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listening = socket.create_server((host, port), family=family, backlog=ACCEPT_BACKLOG)
        self.acceptor = Acceptor(
            listening,
            self._handle_connection,
            metrics=self.metrics,
            read_limit=READ_SIZE,
            accepts_per_iteration=ACCEPTS_PER_ITERATION,
        )

    def port(self) -> int:
        """The port that is listened on, 0 for none."""
        return self.acceptor.port() if self.acceptor else 0

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.metrics.increment("admin-connections")
        if not self._make_room():
            writer.transport.abort()
            return
        connection = AdminConnection()
        self.connections[connection] = writer
        started_at = self.loop.time()
        try:
            if not await self._read_call(connection, reader, writer):
                return
            if connection.command:
                await self._execute(connection)
            writer.writelines(connection.outgoing)
            self.metrics.increment("admin-calls" if connection.command else "admin-calls-rejected")
            duration_ms = int((self.loop.time() - started_at) * 1000)
            self.metrics.record_maximum("admin-longest-call-ms", duration_ms)
            if writer.can_write_eof():
                writer.write_eof()
            async with asyncio.timeout(CLOSE_DELAY):
                while await reader.read(READ_SIZE):
                    pass
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self.connections.pop(connection, None)
            writer.close()

    def _make_room(self) -> bool:
        """Whether one more connection may be served; closes the oldest that has sent no call yet."""
        while len(self.connections) >= MAX_CALLERS:
            # One that stays and says nothing would keep out the call that matters.
            oldest = next((connection for connection in self.connections if not connection.command), None)
            if oldest is None:
                return False
            self.metrics.increment("admin-connections-evicted")
            self.connections.pop(oldest).transport.abort()
        return True

    async def _read_call(
        self, connection: AdminConnection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Reads until there is a command or a response; false if the caller went before that."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT):
                while not connection.command and not connection.answered:
                    data = await reader.read(READ_SIZE)
                    if not data:
                        return False
                    connection.receive_data(data)
                    if connection.outgoing and not connection.answered:  # the caller is to go on sending
                        writer.writelines(connection.outgoing)
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
        """Accepts nobody new and ends all connections."""
        if self.acceptor:
            self.acceptor.close()
            self.acceptor = None
        for writer in self.connections.values():
            writer.close()
