"""Takes connections from clients and runners and carries bytes between them and their state machines."""

import asyncio
import socket
from collections.abc import Sequence
from typing import Protocol

from crankfold.network.metrics import Metrics
from crankfold.network.socket_state import PEER_CLOSED, has_pending
from crankfold.protocol import client_connection

READ_SIZE = 16 * 1024
FIRST_REQUEST_TIMEOUT = (
    2.0  # seconds from connecting to a first unit or call-back; who sends neither must be out by 3
)
TRANSFER_TIMEOUT = 5.0  # from the first byte of a later request to its last, and for an answer to be taken
IDLE_TIMEOUT = 75.0
SWEEP_INTERVAL = 0.25
NEW_CONNECTION_GRACE = 0.1  # a connection so young may have its first request under way
CLOSE_LINGER = 0.5  # what still comes after the last answer is read for so long: a reset would overtake it
MAX_UNREAD_BYTES = 64 * 1024  # pipelined behind a request in hand, or read only to be thrown away
THROTTLE_DELAY = (
    0.002  # between lumps of what is thrown away; each who sends such waits for all others who do
)
ACCEPT_BACKLOG, ACCEPTS_PER_TURN = (
    1024,
    4,
)  # connections not accepted yet, and accepted in one turn of the loop
UNCOUNTED_SOCKETS = (
    6 * ACCEPTS_PER_TURN
)  # asyncio takes some turns from accepting one to telling, and to close another for it


class ConnectionHandler(client_connection.ClientRequestHandler, Protocol):
    def client_disconnected(self, client: "AcceptedConnection") -> None: ...


class AcceptedConnection:
    """One connection that was taken."""

    def __init__(self, host: "Listener", reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.listener, self.reader, self.writer = host, reader, writer
        self.protocol = client_connection.ClientConnection(host.handler, self, host.report_fields)
        self.accepted_at = self.phase_started_at = (
            host.loop.time()
        )  # of the present idleness, request or answer
        self.unread_bytes = 0  # came behind a request in hand, or after the last answer

    async def run(self) -> None:
        side = self.protocol
        while data := await self.reader.read(4 * READ_SIZE):
            if side.closing or side.awaiting_response and not side.discarding_input:
                self.unread_bytes += len(data)
            if side.closing:
                if self.unread_bytes > MAX_UNREAD_BYTES:
                    # Sixty megabytes at full speed would cost the others time; left unread they wait outside.
                    await asyncio.sleep(CLOSE_LINGER)
                    return
                continue
            if side.discarding_input:
                await asyncio.sleep(THROTTLE_DELAY * len(self.listener.flooding_connections))
                continue
            if not side.awaiting_response and not side.is_mid_request():
                self.phase_started_at = self.listener.loop.time()
            try:
                side.receive_data(data)
            except Exception as wrong:
                # A failure of ours must not lose a request that was taken.
                self.listener.metrics.record_exception(wrong)
                if side.awaiting_response:
                    self.respond(500)
                if __debug__:
                    raise
            self._flush()
            if side.identified:
                self.listener.unidentified_connections.pop(self, None)
            if self.unread_bytes > MAX_UNREAD_BYTES and side.awaiting_response:
                # Its end stands behind what it sends: left unread, the client's leaving would not be seen and
                # its unit be sent on for nobody. Clients send one request at a time; here the rest is lost.
                side.discarding_input = True
                self.listener.flooding_connections.add(self)

    def peer_has_closed(self) -> bool:
        """Whether its end has come, read or not: one that gave up while it waited to be accepted."""
        return has_pending(self.writer, PEER_CLOSED)

    def respond(self, status: int, headers: Sequence[tuple[bytes, bytes]] = (), body: bytes = b"") -> None:
        """The answer to the request in hand; what was pipelined behind it is read a turn later."""
        self.protocol.close_after_response = self.protocol.close_after_response or self.listener.closing
        self.protocol.respond(status, headers, body)
        self._flush()
        self.listener.loop.call_soon(self._resume_reading)

    def exceeds_limit(self) -> bool:
        """Whether more connections are open than may be: what comes on this one is to be shed."""
        return self.listener.is_over_limit()

    def reject(self, status: int) -> None:
        self.protocol.close_after_response = True
        self.respond(status)

    def _resume_reading(self) -> None:
        if not self.protocol.closing and not self.protocol.awaiting_response:
            self.unread_bytes = 0
            self.protocol.process_buffered()
            self._flush()

    def _flush(self) -> None:
        side = self.protocol
        if side.rejected_status:
            self.listener.metrics.increment(f"clients-answered-{side.rejected_status}")
            side.rejected_status = 0
        if side.outgoing:
            self.writer.writelines(side.outgoing)
            side.outgoing.clear()
            self.phase_started_at = self.listener.loop.time()
        if side.closing:
            self._half_close()

    def _half_close(self) -> None:
        """Nothing more is written. What still comes is read and thrown away: a close over unread bytes resets
        the connection, and that overtakes the last answer."""
        if not self.writer.is_closing() and self.writer.can_write_eof():
            self.writer.write_eof()
            self.listener.loop.call_later(CLOSE_LINGER, self.writer.close)

    def has_unsent_data(self) -> bool:
        return self.writer.transport.get_write_buffer_size() > 0

    def is_idle(self) -> bool:
        return (
            not self.protocol.awaiting_response
            and not self.protocol.is_mid_request()
            and not self.has_unsent_data()
        )

    def expects_data(self) -> bool:
        """More is to be read from it: the rest of a request, or its first one."""
        return (
            not self.protocol.closing
            and not self.protocol.awaiting_response
            and (
                self.protocol.is_mid_request()
                or self.listener.loop.time() - self.phase_started_at <= NEW_CONNECTION_GRACE
            )
        )

    def close(self) -> None:
        """Between requests. One that crosses is not read as one, and its client sends it again elsewhere."""
        self.protocol.closing = True
        self._half_close()

    def abort(self) -> None:
        self.protocol.closing = True
        self.writer.transport.abort()

    def eviction_order(self) -> tuple[bool, bool, float]:
        """Who of those at rest goes first when room is short: who is done, then clients, then runners."""
        return not self.protocol.closing, self.protocol.is_backend, self.phase_started_at


class Listener:
    def __init__(
        self, desk: ConnectionHandler, tally: Metrics, report_fields: Sequence[str], most: int
    ) -> None:
        self.handler, self.metrics, self.report_fields, self.max_connections = (
            desk,
            tally,
            report_fields,
            most,
        )
        self.loop = asyncio.get_running_loop()
        self.connections: set[AcceptedConnection] = set()
        self.flooding_connections: set[AcceptedConnection] = set()  # send more behind a request than is kept
        self.unidentified_connections: dict[
            AcceptedConnection, None
        ] = {}  # no unit or call-back so far, the first to come first
        self.closing = False  # out of service or ending: answers are the last on their connections
        self.server: asyncio.Server | None = None
        self.shared_socket: socket.socket | None = None  # of the listening one, to be passed on

    async def open(
        self, host: str, port: int, inherited: socket.socket | None = None, reuse_port: bool = False
    ) -> None:
        """With `shared`, where processes follow one another; `passed` is what the one before listened on."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        door = inherited or socket.create_server(
            (host, port), family=family, backlog=ACCEPT_BACKLOG, reuse_port=reuse_port
        )
        # Taken over by each connection: asyncio reads all that the system holds, for each at once.
        door.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2 * READ_SIZE)
        if reuse_port:
            self.shared_socket = door.dup()
        await self._start_accepting(door)

    async def _start_accepting(self, door: socket.socket) -> None:
        self.server = await asyncio.start_server(
            self._handle_connection, sock=door, backlog=ACCEPTS_PER_TURN, limit=READ_SIZE
        )
        # asyncio takes one figure for both; with as many taken in a turn a rush runs out of descriptors, and
        # asyncio then accepts nobody for a second.
        door.listen(ACCEPT_BACKLOG)

    def pause(self) -> None:
        """Takes nobody new. The copy keeps the queue of those who wait, for whoever accepts next."""
        if self.server:
            self.server.close()
            self.server = None

    async def resume(self) -> None:
        if self.shared_socket and not self.server:
            await self._start_accepting(self.shared_socket.dup())

    def port(self) -> int:
        return int(self.server.sockets[0].getsockname()[1]) if self.server else 0

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        client = AcceptedConnection(self, reader, writer)
        self.metrics.increment("connections-taken")
        self._evict_if_full()
        self.connections.add(client)
        self.unidentified_connections[client] = None
        try:
            await client.run()
        except OSError:
            self.metrics.increment("connections-reset")
        except asyncio.CancelledError:
            pass  # the program ends while a refused client is still sending: no failure of ours
        finally:
            self._remove(client)
            if client.protocol.awaiting_response:
                self.metrics.increment("clients-left")
                self.handler.client_disconnected(client)
            writer.close()

    def _evict_if_full(self) -> None:
        """Near the limit on sockets somebody goes; a request in hand is never dropped."""
        if len(self.connections) < self.max_connections:
            return
        # Some come by hundreds, say nothing or ask for our health once, and stay: they go before the rest.
        # Among the young ones are call-backs under way; closed for room these were told again 0.2 s later.
        least = next(iter(self.unidentified_connections), None)
        if not least or self.loop.time() - least.accepted_at < NEW_CONNECTION_GRACE:
            resting = (
                client for client in self.connections if client.protocol.identified and client.is_idle()
            )
            least = min(resting, key=AcceptedConnection.eviction_order, default=least)
        if least:
            self.metrics.increment("connections-closed-for-room")
            self._remove(least)
            least.abort()
        else:
            self.metrics.increment("connections-over-limit")

    def _remove(self, client: AcceptedConnection) -> None:
        self.connections.discard(client)
        self.flooding_connections.discard(client)
        self.unidentified_connections.pop(client, None)

    def is_over_limit(self) -> bool:
        return len(self.connections) > self.max_connections

    def sweep(self) -> None:
        now = self.loop.time()
        for client in list(self.unidentified_connections):
            if now - client.accepted_at <= FIRST_REQUEST_TIMEOUT:
                break
            if not client.protocol.closing:  # else it has LINGER
                # Says nothing, sends a head without end, or asked for our health alone.
                self.metrics.increment("clients-cut-off")
                client.abort()
        for client in list(self.connections):
            side, age = client.protocol, now - client.phase_started_at
            if not side.identified or side.closing:
                continue
            if age > TRANSFER_TIMEOUT and (client.has_unsent_data() or side.is_mid_request()):
                self.metrics.increment("clients-cut-off")
                client.abort()
            elif age > IDLE_TIMEOUT and client.is_idle():
                self.metrics.increment("connections-idle-closed")
                client.close()

    def has_client_connections(self) -> bool:
        return any(not client.protocol.is_backend for client in self.connections)

    def expects_data(self) -> bool:
        return any(client.expects_data() for client in self.connections)

    def close_idle(self, spare_backends: bool = False) -> None:
        for client in self.connections:
            if spare_backends and client.protocol.is_backend:
                continue
            if (
                client.is_idle()
                and not client.protocol.closing
                and self.loop.time() - client.phase_started_at > NEW_CONNECTION_GRACE
            ):
                client.close()

    async def close(self) -> None:
        """The last: no more connections, and what is written gets a moment to leave."""
        self.pause()
        if self.shared_socket:
            self.shared_socket.close()
        for client in self.connections:
            client.close()
        for _ in range(20):
            if not self.connections:
                return
            await asyncio.sleep(0.01)
        for client in list(self.connections):
            client.writer.close()
