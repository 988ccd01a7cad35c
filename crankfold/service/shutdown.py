"""Ends the process: no new connections, then no new requests, then everything is closed."""

import asyncio
import logging
from typing import TYPE_CHECKING

from crankfold.network.admin_server import AdminServer
from crankfold.network.discovery_watcher import DiscoveryWatcher
from crankfold.network.listener import Listener
from crankfold.network.signals import ignore_signals_at_end
from crankfold.service.lifecycle import Lifecycle
from crankfold.service.requests.handler import RequestHandler

if TYPE_CHECKING:
    from crankfold.service.cluster.replicated_config import ReplicatedConfig
    from crankfold.service.handover.handover import Handover

logger = logging.getLogger(__name__)

LATE_CONNECTION_PERIOD = 0.45  # seconds; connections go on arriving for so long after the order to end
# The platform ends the process soon after the longest deadline, or after so many seconds if that is less.
MAX_DRAIN_DURATION = 3.0
DRAIN_MARGIN = 0.5  # seconds; how soon after that
IDLE_CLIENT_PERIOD = 0.5  # seconds in which an idle client may use its connection once more after a handover
FINAL_DRAIN_PERIOD = 1.5  # seconds; the last part of a drain, in which no new request is wanted
CHECK_INTERVAL = 0.01  # seconds


class ShutdownSequence:
    """Drains and closes the parts of an application."""

    def __init__(
        self,
        *,
        lifecycle: Lifecycle,
        request_handler: RequestHandler,
        listener: Listener,
        admin_server: AdminServer,
        discovery_watcher: DiscoveryWatcher,
        handover: "Handover | None",
        replicated_config: "ReplicatedConfig | None",
    ) -> None:
        self.lifecycle = lifecycle
        self.request_handler = request_handler
        self.listener = listener
        self.admin_server = admin_server
        self.discovery_watcher = discovery_watcher
        self.handover = handover
        self.replicated_config = replicated_config
        self.loop = asyncio.get_running_loop()

    async def drain(self, longest_deadline: float) -> None:
        """Returns once every request is answered, or no more time is left.

        `longest_deadline` is in seconds. Clients go on using the connections they have. While another
        dispatcher restarts these may be all they have: with them closed at once a rolling restart left a
        second without any dispatcher.
        """
        end = self.loop.time() + min(longest_deadline, MAX_DRAIN_DURATION) + DRAIN_MARGIN
        logger.info("draining")
        self.lifecycle.start_shutdown(self.loop.time())
        if self.handover and self.handover.has_successor():
            await self._drain_to_successor(end)
        else:
            await self._drain_without_successor(end)

    async def _drain_without_successor(self, end: float) -> None:
        await asyncio.sleep(LATE_CONNECTION_PERIOD)
        # Not by events: these would have to come from every connection and every request, for one use each.
        while self.loop.time() < end - FINAL_DRAIN_PERIOD and self.listener.has_connections():  # noqa: ASYNC110 - no event
            await asyncio.sleep(CHECK_INTERVAL)
        self.listener.closing = True
        self.listener.close_idle(spare_backends=True)
        while self.loop.time() < end and (
            self.request_handler.open_request_count() or self.listener.expects_data()
        ):
            await asyncio.sleep(CHECK_INTERVAL)
            # A backend whose connection is closed sends its callback again later, perhaps after our end.
            self.listener.close_idle(spare_backends=True)

    async def _drain_to_successor(self, end: float) -> None:
        """New connections go to the successor; clients move there with the next answer, idle ones soon."""
        self.listener.closing = True
        close_idle_at = self.loop.time() + IDLE_CLIENT_PERIOD
        while self.loop.time() < end and (
            self.request_handler.open_request_count() or self.listener.has_client_connections()
        ):
            if self.loop.time() > close_idle_at:
                self.listener.close_idle(spare_backends=True)
            await asyncio.sleep(CHECK_INTERVAL)

    async def close(self) -> None:
        """Answers what is still open and closes every connection, without waiting for anybody."""
        self.request_handler.answer_all_open()
        ignore_signals_at_end(self.loop)
        self.discovery_watcher.stop()
        if self.replicated_config:
            await self.replicated_config.close()
        await self.admin_server.close()
        await self.listener.close()
        if self.handover:
            self.handover.close()
