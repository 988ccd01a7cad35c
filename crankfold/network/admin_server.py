"""Takes operators' calls on an address of its own."""

import asyncio
import socket

from crankfold.network.metrics import Metrics
from crankfold.protocol.admin_api import AdminConnection, AdminOperations, execute

MAX_CALLERS = 16  # callers at once; their descriptors are kept free of clients and runners
CALL_TIMEOUT = 2.0
CLOSE_LINGER = 0.2
READ_SIZE = 4 * 1024


class AdminServer:
    def __init__(self, operated: AdminOperations, tally: Metrics) -> None:
        self.operations, self.metrics = operated, tally
        self.loop = asyncio.get_running_loop()
        # The first to come first. Who has said what he wants is not sent away for others.
        self.connections: dict[AdminConnection, asyncio.StreamWriter] = {}
        self.server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        door = socket.create_server((host, port), family=family, backlog=256)
        self.server = await asyncio.start_server(
            self._handle_connection, sock=door, backlog=2, limit=READ_SIZE
        )
        door.listen(256)  # asyncio takes one figure for both: two are accepted in a turn

    def port(self) -> int:
        return int(self.server.sockets[0].getsockname()[1]) if self.server else 0

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.metrics.increment("operators-callers")
        while len(self.connections) >= MAX_CALLERS:
            # Who stays and says nothing would keep out the call that matters.
            oldest = next((side for side in self.connections if not side.command), None)
            if oldest is None:
                writer.transport.abort()
                return
            self.metrics.increment("operators-sent-away")
            self.connections.pop(oldest).transport.abort()
        side = AdminConnection()
        self.connections[side] = writer
        began = self.loop.time()
        try:
            try:
                async with asyncio.timeout(CALL_TIMEOUT):
                    while not side.command and not side.answered:
                        data = await reader.read(READ_SIZE)
                        if not data:
                            return
                        side.receive_data(data)
                        if side.outgoing and not side.answered:  # go on sending
                            writer.writelines(side.outgoing)
                            side.outgoing.clear()
            except TimeoutError:
                side.respond(408)
            if side.command:
                await self._execute(side)
            writer.writelines(side.outgoing)
            self.metrics.increment("operators-calls" if side.command else "operators-refused")
            self.metrics.record_maximum("operators-longest-ms", int((self.loop.time() - began) * 1000))
            if writer.can_write_eof():
                writer.write_eof()
            async with asyncio.timeout(CLOSE_LINGER):  # a reset would overtake the answer
                while await reader.read(READ_SIZE):
                    pass
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self.connections.pop(side, None)
            writer.close()

    async def _execute(self, side: AdminConnection) -> None:
        try:
            await execute(side, self.operations)
        except Exception as wrong:
            self.metrics.record_exception(wrong)
            side.respond(500)
            if __debug__:
                raise

    async def close(self) -> None:
        if self.server:
            self.server.close()
        for writer in self.connections.values():
            writer.close()
