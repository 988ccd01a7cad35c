"""The other processes of the dispatcher, as request handling and the admin calls use them."""

import asyncio

from crankfold.network.handover_channel import resolve
from crankfold.network.metrics import Metrics
from crankfold.service.handover.manual_drain_file import ManualDrainFile
from crankfold.service.handover.state_machine import NO_PROCESS, HandoverRole, HandoverStateMachine
from crankfold.service.requests.collaborators import CallbackAnswer, ReservationAnswer


class ConnectedProcesses:
    """The predecessor and the successors that are connected; implements `OtherProcesses`.

    Attributes:
        predecessor_request_ids: The request ids that are in use or reserved at the predecessor.
    """

    def __init__(
        self, state_machine: HandoverStateMachine, manual_drain_file: ManualDrainFile, metrics: Metrics
    ) -> None:
        self.state_machine = state_machine
        self.channel = manual_drain_file.channel
        self.manual_drain_file = manual_drain_file
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        self.predecessor_request_ids: set[str] = set()

    def has_successor(self) -> bool:
        """Whether a successor accepts connections in place of this process."""
        return self.state_machine.role == HandoverRole.SUPERSEDED

    def replaces_predecessor(self) -> bool:
        """Whether a predecessor of this process still runs."""
        return self.state_machine.predecessor != NO_PROCESS

    def has_request(self, request_id: str) -> bool:
        """Whether the predecessor handles the request."""
        return request_id in self.predecessor_request_ids

    def reserve_request_id(self, request_id: str, on_answer: ReservationAnswer) -> None:
        """Reserves a request id at the successor; see `OtherProcesses`."""
        self.state_machine.reserve_request_id(self.loop.time(), request_id, on_answer)

    def release_request_id(self, request_id: str, *, executed: bool = False, attempted: bool = False) -> None:
        """Tells the other processes that a request id is no longer in use; see `OtherProcesses`."""
        self.state_machine.report_request_ended(request_id, executed=executed, attempted=attempted)

    def forward_callback(self, body: bytes, on_answer: CallbackAnswer) -> bool:
        """Forwards a callback for a request that this process does not handle.

        Returns:
            Whether there is another process. If so, `on_answer` is called, possibly before the return; with
            None at once if that process does not read, so that the backend tries again.
        """
        if not self.state_machine.processes:
            return False
        if not self.channel.can_send_callback(len(body)):
            self.metrics.increment("callbacks-not-forwarded")
            on_answer(None)
            return True
        self.metrics.increment("callbacks-forwarded")
        self.state_machine.query_callback(self.loop.time(), body.decode(errors="replace"), on_answer)
        return True

    async def replicate_manual_drain(self, backend_id: str, drained: bool) -> None:
        """Saves the manual drains and applies a drain, or its end, at the other processes.

        Returns when all of them have answered, or when the query has timed out.
        """
        self.manual_drain_file.save()
        answered: asyncio.Future[None] = self.loop.create_future()
        self.state_machine.query_manual_drain(
            self.loop.time(), backend_id, drained, lambda _: resolve(answered)
        )
        await answered

    async def replicate_service_drain(self, drained: bool) -> bool:
        """Saves the drain of the dispatcher, or its end, and applies it at the other processes.

        Returns:
            Whether all other processes have confirmed it or have ended before the query timed out.
        """
        self.manual_drain_file.service_drained = drained
        self.manual_drain_file.save()
        answered: asyncio.Future[bool] = self.loop.create_future()

        def on_answer(answer: bool | None) -> None:
            if not answered.done():
                answered.set_result(answer is not None)

        self.state_machine.query_service_drain(self.loop.time(), drained, on_answer)
        return await answered
