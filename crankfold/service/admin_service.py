"""Carries out admin calls: readiness, manual drains of backends, and the drain of this process."""

import logging

from crankfold.protocol.admin_api import ClusterOperations
from crankfold.service.backends.registry import UnknownBackendError
from crankfold.service.requests.collaborators import OtherProcesses
from crankfold.service.requests.handler import RequestHandler
from crankfold.service.service_drain import ServiceDrain

logger = logging.getLogger(__name__)


class AdminService:
    """Implements the admin calls that `protocol.admin_api` decodes."""

    def __init__(
        self,
        request_handler: RequestHandler,
        service_drain: ServiceDrain,
        other_processes: OtherProcesses,
    ) -> None:
        self.request_handler = request_handler
        self.backend_registry = request_handler.backends
        self.metrics = request_handler.metrics
        self.service_drain = service_drain
        self.lifecycle = service_drain.lifecycle
        self.other_processes = other_processes
        self.cluster_admin: ClusterOperations | None = None
        """None if there is no cluster, or until this process has joined it."""

    def is_ready(self) -> bool:
        """Whether this process would admit a request and could send it to a backend.

        A drain of the dispatcher does not keep a process that replaces another one from being ready.
        """
        return (
            self.lifecycle.is_ready()
            and self.request_handler.cluster.may_act()
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

    async def leave_service(self) -> bool:
        """Drains this dispatcher; returns False if another process of it has not confirmed that in time."""
        self.service_drain.start(in_replacement=self.other_processes.replaces_predecessor())
        return await self.other_processes.replicate_service_drain(True)

    async def enter_service(self) -> bool:
        """Ends the drain of this dispatcher.

        Returns:
            False if no process serves from now on, as this one is shutting down without a successor, or if
            another process has not confirmed it in time.
        """
        allowed = self.service_drain.end()
        confirmed = await self.other_processes.replicate_service_drain(False)
        return confirmed and (allowed or self.other_processes.has_successor())
