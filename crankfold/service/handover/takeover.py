"""The start of a process as a successor: adopts the state of its predecessor and takes over from it."""

import asyncio
import logging
import socket
from collections.abc import Callable

from crankfold.network.handover_channel import HandoverChannel
from crankfold.protocol.discovery import EndpointDocument
from crankfold.protocol.handover_messages import ProcessState
from crankfold.service.handover import transferred_state
from crankfold.service.handover.identity import DispatcherIdentity
from crankfold.service.handover.manual_drain_file import ManualDrainFile
from crankfold.service.handover.state_machine import HandoverStateMachine
from crankfold.service.requests.handler import RequestHandler
from crankfold.service.service_drain import ServiceDrain

logger = logging.getLogger(__name__)

TAKEOVER_TIMEOUT = 1.0  # seconds; then the successor serves beside a predecessor that does not answer
TAKEOVER_RETRY_DELAY = 0.05  # seconds between attempts to find the process that serves


class TakeoverDecision:
    """The response to the last takeover request.

    Attributes:
        refused: Whether the predecessor does not serve, so that the process that serves has to be found.
    """

    def __init__(self) -> None:
        self.refused = False
        self._decided = asyncio.Event()

    def clear(self) -> None:
        """Discards an earlier response."""
        self.refused = False
        self._decided.clear()

    def complete(self) -> None:
        """Ends the wait: the predecessor has stopped accepting or has ended."""
        self._decided.set()

    def refuse(self) -> None:
        """Ends the wait: the predecessor does not serve."""
        self.refused = True
        self._decided.set()

    async def wait(self) -> None:
        """Waits for the response.

        Raises:
            TimeoutError: There was no response within `TAKEOVER_TIMEOUT`.
        """
        async with asyncio.timeout(TAKEOVER_TIMEOUT):
            await self._decided.wait()


class Takeover:
    """Takes over from the predecessor in three steps: `connect`, `replay_reports` and `take_over`.

    Attributes:
        listening_socket: The listening socket that the predecessor passed on; None without a predecessor.
    """

    def __init__(
        self,
        *,
        identity: DispatcherIdentity,
        channel: HandoverChannel,
        state_machine: HandoverStateMachine,
        decision: TakeoverDecision,
        manual_drain_file: ManualDrainFile,
        request_handler: RequestHandler,
        service_drain: ServiceDrain,
    ) -> None:
        self.identity = identity
        self.channel = channel
        self.state_machine = state_machine
        self.decision = decision
        self.manual_drain_file = manual_drain_file
        self.request_handler = request_handler
        self.service_drain = service_drain
        self.backend_registry = request_handler.backends
        self.listening_socket: socket.socket | None = None
        self._inherited_reports: dict[str, list[float]] = {}

    async def connect(self) -> EndpointDocument | None:
        """Connects to the predecessor and adopts its state.

        Without a predecessor, adopts the saved manual drains.

        Returns:
            The endpoint list of the predecessor in the JSON form of discovery; None if it has none, or
            without a predecessor.
        """
        connection = await self.channel.connect(self.identity.hello())
        if connection:
            process, listening_socket, welcome = connection
            state = None
            if listening_socket:
                state = self.identity.state_in_welcome(welcome, listening_socket.getsockname()[:2])
            if state is not None:
                self._replace_listening_socket(listening_socket)
                self.state_machine.predecessor_connected(process)
                return self._adopt_state(state)
            self._warn("has another format version, address or name; starting without a predecessor")
            self.channel.disconnect(process)
            if listening_socket:
                listening_socket.close()
        self.manual_drain_file.adopt()
        self._adopt_service_drain(self.manual_drain_file.service_drained)
        return None

    def _adopt_service_drain(self, drained: bool) -> None:
        self.manual_drain_file.service_drained = drained
        if drained:
            logger.info("drained by an earlier process; POST /control/in-service ends the drain")
            self.service_drain.start(in_replacement=True)
        else:
            self.service_drain.end()

    def _replace_listening_socket(self, listening_socket: socket.socket | None) -> None:
        if self.listening_socket and self.listening_socket is not listening_socket:
            self.listening_socket.close()
        self.listening_socket = listening_socket

    def _adopt_state(self, state: ProcessState) -> EndpointDocument | None:
        self.backend_registry.known_ids.update(state.known_ids)
        transferred_state.adopt_manual_drains(self.backend_registry, state.manual_drains)
        self._adopt_service_drain(state.service_drained)
        self._inherited_reports = transferred_state.inherited_reports(
            state, self.request_handler.config.report_fields
        )
        return transferred_state.inherited_endpoints(state, self.request_handler.routing.weights_follow_load)

    def replay_reports(self) -> None:
        """Passes the last load reports of the predecessor to the router, as results of health checks."""
        field_count = len(self.request_handler.config.report_fields)
        for backend_id, report in self._inherited_reports.items():
            backend = self.backend_registry.backend_ids.find(backend_id)
            if backend >= 0 and len(report) == field_count:
                self.request_handler.notify_routing(
                    self.request_handler.routing.probe_ended, backend, True, tuple(report)
                )

    async def take_over(
        self, on_endpoints: Callable[[EndpointDocument], None] | None = None
    ) -> socket.socket | None:
        """Waits until the predecessor has stopped accepting.

        Args:
            on_endpoints: Called with the endpoint list of each predecessor found after another one refused.

        Returns:
            The listening socket that the predecessor passed on; None without a predecessor.
        """
        while True:
            self.decision.clear()
            if not self.state_machine.request_takeover():
                return self.listening_socket
            try:
                await self.decision.wait()
            except TimeoutError:
                self._warn("does not answer; serving beside it")
                return self.listening_socket
            if not self.decision.refused:
                return self.listening_socket
            await asyncio.sleep(TAKEOVER_RETRY_DELAY)
            endpoints = await self.connect()
            if endpoints is not None and on_endpoints:
                on_endpoints(endpoints)
            self.request_handler.effective_endpoints_changed(self.backend_registry.drained_endpoints())
            self.replay_reports()

    @staticmethod
    def _warn(text: str) -> None:
        logger.warning("%s", text, extra={"category": "predecessor"})
