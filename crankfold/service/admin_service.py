"""Carries out admin calls: readiness, manual drains of backends, and the drain of this process."""

import logging

from crankfold.network.listener import Listener
from crankfold.protocol.admin_api import ClusterOperations
from crankfold.service.backends.registry import UnknownBackendError
from crankfold.service.lifecycle import Lifecycle
from crankfold.service.requests.collaborators import OtherProcesses
from crankfold.service.requests.handler import RequestHandler

logger = logging.getLogger(__name__)

DRAIN_CHECK_INTERVAL = 0.05  # seconds between two checks of whether a drain is complete


class AdminService:
    """Implements the admin calls that `protocol.admin_api` decodes."""

    def __init__(
        self,
        request_handler: RequestHandler,
        listener: Listener,
        lifecycle: Lifecycle,
        other_processes: OtherProcesses,
    ) -> None:
        self.request_handler = request_handler
        self.backend_registry = request_handler.backends
        self.metrics = request_handler.metrics
        self.listener = listener
        self.lifecycle = lifecycle
        self.other_processes = other_processes
        self.loop = request_handler.timers.loop
        self.cluster_admin: ClusterOperations | None = None
        """None if there is no cluster, or until this process has joined it."""
        self._checking_drain = False

    def is_ready(self) -> bool:
        """Whether this process would admit a request and could send it to a backend."""
        return (
            self.request_handler.is_serving()
            and self.backend_registry.any_ready()
            and not self.other_processes.has_successor()
        )

    async def drain_backend(self, backend_id: str) -> bool:
        """Drains a backend; returns False if no backend with that id was ever listed."""
        return await self._set_manual_drain(backend_id, drained=True)

    async def restore_backend(self, backend_id: str) -> bool:
        """Ends a manual drain; returns False if no backend with that id was ever listed."""
        return await self._set_manual_drain(backend_id, drained=False)

    async def _set_manual_drain(self, backend_id: str, *, drained: bool) -> bool:
        change = self.backend_registry.drain if drained else self.backend_registry.restore
        try:
            endpoint = change(backend_id)
        except UnknownBackendError:
            self.metrics.increment("unknown-backends")
            return False
        if endpoint:
            action = "drained" if drained else "restored"
            self.metrics.increment(f"backends-{action}-manually")
            logger.info("manually %s backend %r", action, backend_id)
            self.request_handler.effective_endpoints_changed([endpoint])
        await self.other_processes.replicate_manual_drain(backend_id, drained)
        return True

    def leave_service(self) -> None:
        """Drains this process; a repeated call has no effect."""
        if self.lifecycle.start_drain(self.loop.time()):
            self.metrics.increment("drains")
            logger.info("out of service: draining")
        if not self._checking_drain:
            self._checking_drain = True
            self._check_drain()

    def enter_service(self) -> bool:
        """Ends the drain of this process; returns False if it is shutting down."""
        allowed = self.lifecycle.resume_serving(self.loop.time())
        if allowed and self.listener.closing:
            self.listener.closing = False
            logger.info("back in service")
        return allowed

    def _check_drain(self) -> None:
        """Closes idle client connections; repeats itself until this process resumes service or shuts down."""
        self._checking_drain = self.lifecycle.is_leaving()
        if not self._checking_drain:
            return
        now = self.loop.time()
        self.listener.closing = True
        if self.lifecycle.closes_idle_connections(now):
            self.listener.close_idle(spare_backends=True)
        empty = not self.request_handler.open_request_count() and not self.listener.has_client_connections()
        if self.lifecycle.finish_drain(now, empty):
            logger.info("drain complete: no client connections left")
        self.loop.call_later(DRAIN_CHECK_INTERVAL, self._check_drain)
