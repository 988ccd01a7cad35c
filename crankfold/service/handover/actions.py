"""Carries out the actions of the handover state machine in this process."""

import asyncio
import logging
from collections.abc import Callable

from crankfold.network.handover_channel import HandoverChannel
from crankfold.network.metrics import Metrics
from crankfold.protocol.callbacks import handle_callback, request_id_of
from crankfold.protocol.handover_messages import (
    HandoverMessage,
    PastRequestIds,
    ProcessState,
    ProcessUsage,
)
from crankfold.service.handover import transferred_state
from crankfold.service.handover.manual_drain_file import ManualDrainFile
from crankfold.service.handover.other_processes import ConnectedProcesses
from crankfold.service.handover.state_machine import HandoverStateMachine
from crankfold.service.handover.takeover import TakeoverDecision
from crankfold.service.requests.collaborators import OtherProcesses
from crankfold.service.service_drain import ServiceDrain
from crankfold.service.serving_parts import ServingParts

logger = logging.getLogger(__name__)


class ActionExecutor:
    """Owns the state machine and carries out its actions; implements `HandoverActions`.

    The actions need the parts that serve clients. These parts need the other processes, which the state
    machine keeps track of. So the constructor builds the state machine first and the serving parts last.

    Args:
        channel: The connections to the other processes.
        manual_drain_file: Stores the manual drains of this dispatcher.
        metrics: The counters of this process.
        build_serving_parts: Builds the parts that serve clients, given the other processes; called once.
        reload_config: Reloads the configuration file of this process.

    Attributes:
        takeover_decision: The response to the last takeover request of this process.
    """

    def __init__(
        self,
        channel: HandoverChannel,
        manual_drain_file: ManualDrainFile,
        metrics: Metrics,
        build_serving_parts: Callable[[OtherProcesses], ServingParts],
        reload_config: Callable[[], None],
    ) -> None:
        self.channel = channel
        self.dispatcher_name = manual_drain_file.dispatcher_name
        self.backend_registry = manual_drain_file.backend_registry
        self._reload_config = reload_config
        self.takeover_decision = TakeoverDecision()
        self.metrics = metrics
        self.state_machine = HandoverStateMachine(self)
        self.other_processes = ConnectedProcesses(self.state_machine, manual_drain_file, metrics)
        self.serving_parts = build_serving_parts(self.other_processes)
        self.request_handler, self.listener, self.socket_budget = self.serving_parts
        self.manual_drain_file = manual_drain_file
        self.service_drain = ServiceDrain(self.request_handler, self.listener)
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, process: int, message: HandoverMessage) -> None:
        """Sends a message to another process."""
        self.channel.send(process, message)

    def disconnect(self, process: int) -> None:
        """Closes the connection to a process after all sent messages are written."""
        self.channel.disconnect(process)

    def describe_state(self) -> ProcessState:
        """Returns the state that a successor adopts."""
        return transferred_state.describe_state(
            self.request_handler,
            self.dispatcher_name,
            service_drained=self.manual_drain_file.service_drained,
        )

    def describe_usage(self) -> ProcessUsage:
        """Returns the requests that this process still handles, and its numbers of connections."""
        return transferred_state.describe_usage(
            self.request_handler,
            self.other_processes.predecessor_request_ids,
            accepted_connections=len(self.listener.connections),
        )

    def stop_accepting(self) -> None:
        """Stops accepting connections, and leaves the slow-start budgets of backends to the successor."""
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
        task = asyncio.get_running_loop().create_task(self._reopen())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _reopen(self) -> None:
        self.listener.resume()
        self.channel.stop_accepting()
        await self.accept_successors()

    async def accept_successors(self) -> None:
        """Opens the handover channel to successors.

        A failure is logged, and this process serves without the channel.
        """
        try:
            await self.channel.open()
        except OSError as error:
            logger.warning(
                "%s; handover disabled, a restart will drop connections",
                error,
                extra={"category": "records"},
            )

    def takeover_completed(self) -> None:
        """Ends the wait for the predecessor."""
        self.takeover_decision.complete()

    def takeover_refused(self) -> None:
        """Makes the takeover connect again, to the process that serves."""
        self.takeover_decision.refuse()

    def handle_callback(self, callback: str) -> bool:
        """Handles a callback if this process has its request; returns whether it handled the callback."""
        body = callback.encode()
        callbacks = self.request_handler.callbacks
        return callbacks.has_request(request_id_of(body)) and handle_callback(
            body, callbacks, self.request_handler.config.report_fields
        )

    def apply_manual_drain(self, backend_id: str, drained: bool) -> None:
        """Drains or restores a backend, which may be missing from the endpoint list of this process."""
        self.backend_registry.known_ids.add(backend_id)
        change = self.backend_registry.drain if drained else self.backend_registry.restore
        endpoint = change(backend_id)
        if endpoint:
            self.request_handler.effective_endpoints_changed([endpoint])

    def apply_service_drain(self, drained: bool) -> None:
        """Drains this process or ends its drain, as an operator told another process."""
        self.manual_drain_file.service_drained = drained
        if drained:
            self.service_drain.start(in_replacement=self.other_processes.replaces_predecessor())
        else:
            self.service_drain.end()

    def reload_config(self) -> None:
        """Reloads the configuration file of this process."""
        self._reload_config()

    def predecessor_usage_changed(self, usage: ProcessUsage) -> None:
        """Records which requests the predecessor handles and reserves sockets for its connections."""
        self.other_processes.predecessor_request_ids = set(usage.request_ids)
        self.socket_budget.reserve(usage.accepted_connections, usage.backend_connections)

    def reserve_for_predecessor(self, request_id: str) -> bool:
        """Reserves a request id for the predecessor; returns False if the id is in use."""
        if self.request_handler.uses_request_id(request_id):
            return False
        self.other_processes.predecessor_request_ids.add(request_id)
        return True

    def release_for_predecessor(self, request_id: str) -> None:
        """Ends the use of a request id by the predecessor."""
        self.other_processes.predecessor_request_ids.discard(request_id)

    def request_ended_elsewhere(self, request_id: str, *, executed: bool) -> None:
        """Records that a request of another process is over, and whether it may have been executed."""
        self.request_handler.request_table.request_ended(request_id, executed=executed)

    def describe_past_ids(self) -> PastRequestIds:
        """Returns the ids of the requests that this process or its predecessors have attempted."""
        request_table = self.request_handler.request_table
        return PastRequestIds(request_table.executed_ids.encode(), request_table.attempted_ids.encode())

    def adopt_past_ids(self, past_ids: PastRequestIds) -> None:
        """Records the ids of the requests that the predecessor has attempted."""
        request_table = self.request_handler.request_table
        try:
            request_table.executed_ids.adopt(past_ids.executed)
            request_table.attempted_ids.adopt(past_ids.attempted)
        except ValueError as error:
            logger.warning("%s", error, extra={"category": "handover"})
