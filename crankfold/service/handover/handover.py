"""Replaces a running process without loss of requests: connects the handover state machine to the process."""

import asyncio
import logging
import socket
import zlib
from collections.abc import Callable

from crankfold.network.handover_channel import SOCKET_SIGNATURE, HandoverChannel, resolve
from crankfold.protocol.callbacks import handle_callback, request_id_of
from crankfold.protocol.handover_messages import (
    FORMAT_VERSION,
    HandoverMessage,
    Hello,
    ManualDrainRecord,
    ProcessState,
    ProcessUsage,
    Welcome,
)
from crankfold.service.backends.registry import BackendRegistry
from crankfold.service.handover import transferred_state
from crankfold.service.handover.state_machine import HandoverRole, HandoverStateMachine
from crankfold.service.requests.collaborators import CallbackAnswer, OtherProcesses
from crankfold.service.serving_parts import ServingParts

logger = logging.getLogger(__name__)

TAKEOVER_TIMEOUT = 1.0  # seconds; then the successor serves beside a predecessor that does not answer
TAKEOVER_RETRY_DELAY = 0.05  # seconds between attempts to find the process that serves


class Handover:
    """The handover at one process.

    It carries out the actions of the state machine and handles the events of the channel. The request handler
    needs it as `OtherProcesses`, so the parts that serve clients are built here.

    Args:
        directory: Has the handover socket and the record of manual drains.
        dispatcher_name: Of the configuration; processes of one dispatcher share it.
        listen_address: Host and port for clients.
        backend_registry: Of this process.
        build_serving_parts: Builds the parts that serve clients, given this object; called once.
    """

    def __init__(
        self,
        directory: str,
        dispatcher_name: str,
        listen_address: tuple[str, int],
        backend_registry: BackendRegistry,
        build_serving_parts: Callable[[OtherProcesses], ServingParts],
    ) -> None:
        # The directory may have the socket or the record of another dispatcher that used the same address, so
        # names are compared as well.
        self.dispatcher_name = dispatcher_name
        self.listen_address = listen_address
        self.backend_registry = backend_registry
        self.predecessor_request_ids: frozenset[str] = frozenset()
        self.loop = backend_registry.timers.loop
        address_hash = zlib.crc32(f"{listen_address[0]}:{listen_address[1]}".encode())
        self.channel = HandoverChannel(directory, f"crankfold-{address_hash:08x}", self)
        self.state_machine = HandoverStateMachine(self)
        self.listening_socket: socket.socket | None = None
        self.takeover_decided = asyncio.Event()  # set when the predecessor grants, refuses or ends
        self.retry_takeover = False
        self.inherited_reports: dict[str, list[float]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.serving_parts = build_serving_parts(self)
        self.request_handler, self.listener, self.socket_budget = self.serving_parts
        self.metrics = self.request_handler.metrics

    # --- as the successor ---

    async def connect(self) -> transferred_state.EndpointDocument | None:
        """Connects to the predecessor and adopts its state.

        Without a predecessor, adopts the saved manual drains.

        Returns:
            The endpoint list of the predecessor in the JSON form of discovery; None if there is none.
        """
        hello = Hello(FORMAT_VERSION, self.listen_address, self.dispatcher_name)
        connection = await self.channel.connect(hello)
        if connection:
            process, listening_socket, welcome = connection
            state = self._state_of_predecessor(welcome, listening_socket)
            if state is not None:
                self.listening_socket = listening_socket
                self.state_machine.predecessor_connected(process)
                return self._adopt_state(state)
            self._warn("predecessor", "has another format version, address or name; starting alone")
            self.channel.disconnect(process)
            if listening_socket:
                listening_socket.close()
        self._adopt_saved_drains()
        return None

    def _state_of_predecessor(
        self, welcome: HandoverMessage, listening_socket: socket.socket | None
    ) -> ProcessState | None:
        """Returns the state in a welcome; None unless its sender is a process of the same dispatcher."""
        if not isinstance(welcome, Welcome) or listening_socket is None:
            return None
        state = welcome.state
        if (
            state.format_version != FORMAT_VERSION
            or state.dispatcher_name != self.dispatcher_name
            or listening_socket.getsockname()[:2] != self.listen_address
        ):
            return None
        return state

    def _adopt_saved_drains(self) -> None:
        """Puts the manual drains in force that an earlier process of the same dispatcher saved."""
        record = self.channel.load_record()
        if record and record.dispatcher_name == self.dispatcher_name:
            transferred_state.adopt_manual_drains(
                self.request_handler, record.manual_drains, times_known=False
            )

    def _adopt_state(self, state: ProcessState) -> transferred_state.EndpointDocument | None:
        self.backend_registry.known_ids.update(state.known_ids)
        transferred_state.adopt_manual_drains(self.request_handler, state.manual_drains)
        self.inherited_reports = transferred_state.inherited_reports(
            state, self.request_handler.config.report_fields
        )
        return transferred_state.inherited_endpoints(state, self.request_handler.routing.weights_follow_load)

    def replay_reports(self) -> None:
        """Passes the last load reports of the predecessor to the router, as results of health checks."""
        field_count = len(self.request_handler.config.report_fields)
        for backend_id, report in self.inherited_reports.items():
            backend = self.backend_registry.backend_ids.find(backend_id)
            if backend >= 0 and len(report) == field_count:
                self.request_handler.notify_routing(
                    self.request_handler.routing.probe_ended, backend, True, tuple(report)
                )

    async def take_over(self) -> socket.socket | None:
        """Waits until the predecessor has stopped accepting.

        Returns:
            The listening socket that the predecessor passed on; None without a predecessor.
        """
        while True:
            self.retry_takeover = False
            self.takeover_decided.clear()
            if not self.state_machine.request_takeover():
                return self.listening_socket
            try:
                async with asyncio.timeout(TAKEOVER_TIMEOUT):
                    await self.takeover_decided.wait()
            except TimeoutError:
                self._warn("predecessor", "does not answer; serving beside it")
                return self.listening_socket
            if not self.retry_takeover:
                return self.listening_socket
            await asyncio.sleep(TAKEOVER_RETRY_DELAY)
            await self.connect()

    async def open(self) -> None:
        """Accepts connections of successors; a failure is logged, and the process serves without it."""
        try:
            await self.channel.open()
        except OSError as error:
            self._warn("records", f"{error}; handover disabled, a restart will drop connections")

    # --- manual drains, requests and callbacks of other processes ---

    async def replicate_manual_drain(self, backend_id: str, drained: bool) -> None:
        """Saves the manual drains and applies a drain, or its end, at the other processes."""
        self._save_manual_drains()
        answered: asyncio.Future[None] = self.loop.create_future()
        self.state_machine.query_manual_drain(
            self.loop.time(), backend_id, drained, lambda _: resolve(answered)
        )
        await answered

    def _save_manual_drains(self) -> None:
        state = transferred_state.manual_drain_state(self.request_handler)
        try:
            self.channel.save_record(ManualDrainRecord(self.dispatcher_name, state))
        except OSError as error:
            self._warn(
                "records", f"{error}; the manual drain is active, but will be lost if all processes end"
            )

    def has_request(self, request_id: str) -> bool:
        """Whether the request is in hand at the predecessor."""
        return request_id in self.predecessor_request_ids

    def forward_callback(self, body: bytes, on_answer: CallbackAnswer) -> bool:
        """Forwards a callback for a request that is not in hand at this process.

        Returns:
            Whether there is another process. If so, `on_answer` is called, possibly before the return.
        """
        if not self.state_machine.processes:
            return False
        self.metrics.increment("callbacks-forwarded")
        self.state_machine.query_callback(self.loop.time(), body.decode(errors="replace"), on_answer)
        return True

    def run_periodic_tasks(self) -> None:
        """Ends queries that have timed out and reports the usage to the successor.

        To be called several times a second.
        """
        self.state_machine.expire_queries(self.loop.time())
        self.state_machine.report_usage()

    def has_successor(self) -> bool:
        """Whether a successor accepts the connections in place of this process."""
        return self.state_machine.role == HandoverRole.SUPERSEDED

    def close(self) -> None:
        """Closes the connections to the other processes."""
        self.channel.close()

    # --- events of the channel ---

    def successor_found(self, process: int, sock: socket.socket, hello: HandoverMessage) -> None:
        """Passes the listening socket to a new process of this dispatcher; disconnects other processes."""
        self.metrics.increment("successors-connected")
        shared_socket = self.listener.shared_socket
        try:
            if shared_socket and hello == Hello(FORMAT_VERSION, self.listen_address, self.dispatcher_name):
                socket.send_fds(sock, [SOCKET_SIGNATURE], [shared_socket.fileno()])
                self.state_machine.successor_connected(process)
                return
        except OSError as error:
            self._warn("successor", str(error))
        self.channel.disconnect(process)

    def message_received(self, process: int, message: HandoverMessage) -> None:
        """Passes a message on to the state machine."""
        self.state_machine.message_received(self.loop.time(), process, message)

    def connection_lost(self, process: int) -> None:
        """Reports a lost connection to the state machine."""
        self.state_machine.disconnected(self.loop.time(), process)

    # --- actions of the state machine ---

    def send(self, process: int, message: HandoverMessage) -> None:
        """Sends a message to another process."""
        self.channel.send(process, message)

    def disconnect(self, process: int) -> None:
        """Closes the connection to a process after all sent messages are written."""
        self.channel.disconnect(process)

    def describe_state(self) -> ProcessState:
        """Returns the state that a successor adopts."""
        return transferred_state.describe_state(self.request_handler, self.dispatcher_name)

    def describe_usage(self) -> ProcessUsage:
        """Returns the requests and connections that this process still has."""
        return transferred_state.describe_usage(self.request_handler, len(self.listener.connections))

    def stop_accepting(self) -> None:
        """Leaves new connections and the slow-start budgets of backends to the successor."""
        logger.info("a successor process takes over")
        self.metrics.increment("handovers")
        self.listener.pause()
        self.socket_budget.yield_to_successor()
        self.request_handler.effective_endpoints_changed(self.backend_registry.reserve_slow_start(True))

    def resume_accepting(self) -> None:
        """Accepts connections again after the successor has ended."""
        logger.info("the successor process has ended; serving again")
        self.metrics.increment("handovers-reverted")
        self.socket_budget.reserve(0, 0)
        self.request_handler.effective_endpoints_changed(self.backend_registry.reserve_slow_start(False))
        task = self.loop.create_task(self._reopen())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _reopen(self) -> None:
        self.listener.resume()
        self.channel.stop_accepting()
        await self.open()

    def takeover_completed(self) -> None:
        """Ends the wait in `take_over`."""
        self.takeover_decided.set()

    def takeover_refused(self) -> None:
        """Makes `take_over` connect again, to the process that serves."""
        self.retry_takeover = True
        self.takeover_decided.set()

    def handle_callback(self, callback: str) -> bool:
        """Handles a callback if its request is in hand at this process; returns whether it is."""
        body = callback.encode()
        callbacks = self.request_handler.callbacks
        return callbacks.has_request(request_id_of(body)) and handle_callback(
            body, callbacks, self.request_handler.config.report_fields
        )

    def apply_manual_drain(self, backend_id: str, drained: bool) -> None:
        """Drains or restores a backend, which may be missing in the endpoint list of this process."""
        self.backend_registry.known_ids.add(backend_id)
        change = self.backend_registry.drain if drained else self.backend_registry.restore
        endpoint = change(backend_id)
        if endpoint:
            self.request_handler.effective_endpoints_changed([endpoint])

    def predecessor_usage_changed(self, usage: ProcessUsage) -> None:
        """Notes the requests in hand at the predecessor and reserves sockets for its connections."""
        self.predecessor_request_ids = frozenset(usage.request_ids)
        self.socket_budget.reserve(usage.accepted_connections, usage.backend_connections)

    @staticmethod
    def _warn(category: str, text: str) -> None:
        logger.warning("%s", text, extra={"category": category})
