"""The shutdown of the process: drains clients, then closes all parts."""

import asyncio
import logging
from typing import TYPE_CHECKING

from crankfold.network.admin_server import AdminServer
from crankfold.network.discovery_watcher import DiscoveryWatcher
from crankfold.network.listener import Listener
from crankfold.network.signals import ignore_signals_at_end
from crankfold.service.lifecycle import Lifecycle
from crankfold.service.requests.collaborators import OtherProcesses
from crankfold.service.requests.handler import RequestHandler

if TYPE_CHECKING:
    from crankfold.service.cluster.membership import ClusterMembership
    from crankfold.service.handover.handover import Handover

logger = logging.getLogger(__name__)

LATE_CONNECTION_PERIOD = 0.45  # seconds after the signal in which clients may still open connections
# Seconds. The platform kills the process soon after the longest deadline; a longer one counts as this.
MAX_DRAIN_DURATION = 3.0
DRAIN_MARGIN = 0.5  # seconds after the longest deadline by which the process has to end
IDLE_CLIENT_PERIOD = 0.5  # seconds in which an idle client may send one more request after a handover
FINAL_DRAIN_PERIOD = 1.5  # seconds; the last part of a drain, in which each response closes its connection
CHECK_INTERVAL = 0.01  # seconds between two checks of whether a drain is complete


class ShutdownSequence:
    """Drains and closes the parts of the process."""

    def __init__(
        self,
        *,
        lifecycle: Lifecycle,
        request_handler: RequestHandler,
        listener: Listener,
        admin_server: AdminServer,
        discovery_watcher: DiscoveryWatcher,
        other_processes: OtherProcesses,
        handover: "Handover | None",
        cluster: "ClusterMembership | None",
    ) -> None:
        self.lifecycle = lifecycle
        self.request_handler = request_handler
        self.listener = listener
        self.admin_server = admin_server
        self.discovery_watcher = discovery_watcher
        self.other_processes = other_processes
        self.handover = handover
        self.cluster = cluster
        self.loop = asyncio.get_running_loop()

    async def drain(self, longest_deadline: float) -> None:
        """Drains until all requests are answered or the time for the drain is over.

        Connections stay open until the final period of the drain: during a rolling restart a client may have
        connections to this dispatcher only.

        Args:
            longest_deadline: The longest deadline of the request classes in force, in seconds.
        """
        end = self.loop.time() + min(longest_deadline, MAX_DRAIN_DURATION) + DRAIN_MARGIN
        logger.info("draining")
        self.lifecycle.start_shutdown(self.loop.time())
        if self.other_processes.has_successor():
            await self._drain_to_successor(end)
        else:
            await self._drain_without_successor(end)

    async def _drain_without_successor(self, end: float) -> None:
        await asyncio.sleep(LATE_CONNECTION_PERIOD)
        while self.loop.time() < end - FINAL_DRAIN_PERIOD and self.listener.has_connections():  # noqa: ASYNC110 - connections signal no event
            await asyncio.sleep(CHECK_INTERVAL)
        self.listener.closing = True
        self.listener.close_idle(spare_backends=True)
        while self.loop.time() < end and (
            self.request_handler.open_request_count() or self.listener.expects_data()
        ):
            await asyncio.sleep(CHECK_INTERVAL)
            # Connections of backends stay open: on a closed one a callback is retried, possibly too late.
            self.listener.close_idle(spare_backends=True)

    async def _drain_to_successor(self, end: float) -> None:
        """Moves each client to the successor with its next response, or by closing its idle connection."""
        self.listener.closing = True
        close_idle_at = self.loop.time() + IDLE_CLIENT_PERIOD
        while self.loop.time() < end and (
            self.request_handler.open_request_count() or self.listener.has_client_connections()
        ):
            if self.loop.time() > close_idle_at:
                self.listener.close_idle(spare_backends=True)
            await asyncio.sleep(CHECK_INTERVAL)

    async def close(self) -> None:
        """Aborts the open requests and closes all connections."""
        self.request_handler.answer_all_open()
        ignore_signals_at_end(self.loop)
        self.discovery_watcher.stop()
        if self.cluster:
            await self.cluster.close()
        await self.admin_server.close()
        await self.listener.close()
        if self.handover:
            self.handover.close()
