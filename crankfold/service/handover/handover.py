"""Replaces a running process without loss of requests: builds the parts of the handover and connects them."""

import logging
import socket
from collections.abc import Callable

from crankfold.network.handover_channel import SOCKET_SIGNATURE, HandoverChannel
from crankfold.network.metrics import Metrics
from crankfold.protocol.handover_messages import HandoverMessage
from crankfold.service.backends.registry import BackendRegistry
from crankfold.service.handover.actions import ActionExecutor
from crankfold.service.handover.identity import DispatcherIdentity
from crankfold.service.handover.manual_drain_file import ManualDrainFile
from crankfold.service.handover.takeover import Takeover
from crankfold.service.requests.collaborators import OtherProcesses
from crankfold.service.serving_parts import ServingParts

logger = logging.getLogger(__name__)


class Handover:
    """The handover in one process; passes the events of its channel on to the state machine.

    The request handler needs the other processes, so the parts that serve clients are built here.

    Args:
        directory: The directory of the handover socket and of the file of manual drains.
        identity: The identity of the dispatcher, which all its processes share.
        backend_registry: The backends of this process.
        metrics: The counters of this process.
        build_serving_parts: Builds the parts that serve clients, given the other processes; called once.
        reload_config: Reloads the configuration file of this process.

    Attributes:
        other_processes: The predecessor and the successors, for request handling and the admin calls.
        takeover: The takeover from the predecessor.
        service_drain: Drains this process.
        serving_parts: The result of `build_serving_parts`.
    """

    def __init__(
        self,
        directory: str,
        identity: DispatcherIdentity,
        backend_registry: BackendRegistry,
        metrics: Metrics,
        build_serving_parts: Callable[[OtherProcesses], ServingParts],
        reload_config: Callable[[], None],
    ) -> None:
        self.identity = identity
        self.metrics = metrics
        self.loop = backend_registry.timers.loop
        self.channel = HandoverChannel(directory, identity.socket_name(), self)
        manual_drain_file = ManualDrainFile(self.channel, identity.dispatcher_name, backend_registry)
        self.actions = ActionExecutor(
            self.channel, manual_drain_file, metrics, build_serving_parts, reload_config
        )
        self.state_machine = self.actions.state_machine
        self.other_processes = self.actions.other_processes
        self.serving_parts = self.actions.serving_parts
        self.service_drain = self.actions.service_drain
        self.takeover = Takeover(
            identity=identity,
            channel=self.channel,
            state_machine=self.state_machine,
            decision=self.actions.takeover_decision,
            manual_drain_file=manual_drain_file,
            request_handler=self.serving_parts.request_handler,
            service_drain=self.service_drain,
        )

    async def open(self) -> None:
        """Accepts connections of successors.

        A failure is logged, and this process serves without the handover channel.
        """
        await self.actions.accept_successors()

    def run_periodic_tasks(self) -> None:
        """Ends queries that have timed out and reports the usage to the successor.

        Must be called several times a second.
        """
        self.state_machine.expire_queries(self.loop.time())
        self.state_machine.report_usage()

    def report_reload(self) -> None:
        """Makes the other processes reload their configuration files."""
        self.state_machine.report_reload()

    def close(self) -> None:
        """Closes the connections to the other processes."""
        self.channel.close()

    # --- events of the channel ---

    def successor_found(self, process: int, sock: socket.socket, hello: HandoverMessage) -> None:
        """Passes the listening socket to a new process of this dispatcher; disconnects any other process."""
        self.metrics.increment("successors-connected")
        shared_socket = self.serving_parts.listener.shared_socket
        try:
            if shared_socket and hello == self.identity.hello():
                socket.send_fds(sock, [SOCKET_SIGNATURE], [shared_socket.fileno()])
                self.state_machine.successor_connected(process)
                return
        except OSError as error:
            logger.warning("%s", error, extra={"category": "successor"})
        self.channel.disconnect(process)

    def message_received(self, process: int, message: HandoverMessage) -> None:
        """Passes a message on to the state machine."""
        self.state_machine.message_received(self.loop.time(), process, message)

    def connection_lost(self, process: int) -> None:
        """Reports a lost connection to the state machine."""
        self.state_machine.disconnected(self.loop.time(), process)
