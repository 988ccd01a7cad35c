"""The file of manual drains, which preserves them while no process of the dispatcher runs."""

import logging

from crankfold.network.handover_channel import HandoverChannel
from crankfold.protocol.handover_messages import ManualDrainRecord
from crankfold.service.backends.registry import BackendRegistry
from crankfold.service.handover.transferred_state import adopt_manual_drains, manual_drain_state

logger = logging.getLogger(__name__)


class ManualDrainFile:
    """Saves the manual drains of a dispatcher, and applies those that an earlier process saved.

    Attributes:
        service_drained: Whether operators have drained the dispatcher itself.
    """

    def __init__(
        self, channel: HandoverChannel, dispatcher_name: str, backend_registry: BackendRegistry
    ) -> None:
        self.channel = channel
        self.dispatcher_name = dispatcher_name
        self.backend_registry = backend_registry
        self.service_drained = False

    def save(self) -> None:
        """Saves the manual drains of this process; a failure is logged."""
        state = manual_drain_state(self.backend_registry)
        try:
            self.channel.save_record(ManualDrainRecord(self.dispatcher_name, state, self.service_drained))
        except OSError as error:
            logger.warning(
                "%s; the manual drain is active, but will be lost if all processes end",
                error,
                extra={"category": "records"},
            )

    def adopt(self) -> None:
        """Applies the manual drains that an earlier process of the same dispatcher saved."""
        record = self.channel.load_record()
        if record and record.dispatcher_name == self.dispatcher_name:
            adopt_manual_drains(self.backend_registry, record.manual_drains, times_known=False)
            self.service_drained = record.service_drained
