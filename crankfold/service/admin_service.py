"""Where operators' calls meet the desk, the runners and the clients' connections."""

from collections.abc import Sequence

from crankfold.network.listener import Listener
from crankfold.network.metrics import log_line
from crankfold.protocol.admin_api import ReplicatedConfigAdmin
from crankfold.routing.interface import Endpoint
from crankfold.service.collaborators import OtherProcesses
from crankfold.service.lifecycle import Lifecycle
from crankfold.service.request_handler import RequestHandler

DRAIN_CHECK_INTERVAL = 0.05  # seconds, during a drain


class AdminService:
    def __init__(
        self,
        desk: RequestHandler,
        listener: Listener,
        duty: Lifecycle,
        other_processes: OtherProcesses,
    ) -> None:
        self.request_handler, self.backend_registry, self.metrics = desk, desk.backends, desk.metrics
        self.listener, self.lifecycle, self.loop = listener, duty, desk.timers.loop
        self._checking_drain = False
        self.other_processes = other_processes
        self.replicated_config: ReplicatedConfigAdmin | None = None

    def is_ready(self) -> bool:
        """A unit would be taken now, and there is somewhere to send it."""
        return (
            self.request_handler.is_serving()
            and self.backend_registry.any_ready()
            and not self.other_processes.has_successor()
        )

    async def drain_backend(self, uid: str) -> bool:
        return await self._set_manual_drain("out", uid)

    async def restore_backend(self, uid: str) -> bool:
        return await self._set_manual_drain("back", uid)

    async def _set_manual_drain(self, what: str, uid: str) -> bool:
        try:
            entry = self.backend_registry.drain(uid) if what == "out" else self.backend_registry.restore(uid)
        except KeyError:
            self.metrics.increment("runners-not-known")
            return False
        if entry:
            self.metrics.increment(f"runners-{what}-by-hand")
            log_line(f"crankfold: runner {what} by hand: {uid!r}")
            self.endpoints_changed([entry])
        await self.other_processes.replicate_manual_drain(what, uid)
        return True

    def endpoints_changed(self, entries: Sequence[Endpoint]) -> None:
        self.request_handler.notify_routing(self.request_handler.routing.endpoints_changed, entries, False)

    def leave_service(self) -> None:
        if self.lifecycle.start_drain(self.loop.time()):
            self.metrics.increment("drains")
            log_line("crankfold: out of service, draining")
        self._start_drain_checks()

    def enter_service(self) -> bool:
        may = self.lifecycle.resume_serving(self.loop.time())
        if may and self.listener.closing:
            self.listener.closing = False
            log_line("crankfold: back in service")
        return may

    def _start_drain_checks(self) -> None:
        if not self._checking_drain:
            self._checking_drain = True
            self._check_drain()

    def _check_drain(self) -> None:
        """Connections to clients go one by one, until there is none."""
        self._checking_drain = self.lifecycle.is_leaving()
        if not self._checking_drain:
            return
        now = self.loop.time()
        self.listener.closing = True
        if self.lifecycle.closes_idle_connections(now):
            self.listener.close_idle(spare_backends=True)
        if self.lifecycle.finish_drain(
            now, not self.request_handler.open_request_count() and not self.listener.has_client_connections()
        ):
            log_line("crankfold: out of service, nobody left")
        self.loop.call_later(DRAIN_CHECK_INTERVAL, self._check_drain)
