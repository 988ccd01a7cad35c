"""Binds the succession of processes to the desk, the listener and the runners of this one."""

import asyncio
import socket
import zlib
from collections.abc import Callable
from typing import Any

from crankfold.network.handover_channel import HandoverChannel, resolve
from crankfold.network.listener import Listener
from crankfold.network.metrics import Metrics, log_line
from crankfold.protocol.callbacks import handle_callback, request_id_of
from crankfold.protocol.handover_messages import FORMAT_VERSION, int_mapping, string_list
from crankfold.routing.interface import EndpointState
from crankfold.service import handover_state
from crankfold.service.admin_service import AdminService
from crankfold.service.backend_registry import BackendRegistry
from crankfold.service.handover_state_machine import HandoverRole, HandoverStateMachine
from crankfold.service.request_handler import RequestHandler

TAKEOVER_RETRY_DELAY = 0.05  # seconds until it is asked again who serves
MAX_REPORT_AGE = 50_000  # older ones tell nothing


class Handover:
    def __init__(
        self,
        folder: str,
        name: str,
        at: tuple[str, int],
        backends: BackendRegistry,
        metrics: Metrics,
    ) -> None:
        # Of which dispatcher: a folder may hold what another one's process left, or have one behind it that
        # serves other customers at what is now our address.
        self.dispatcher_name = name
        self.listen_address, self.backend_registry, self.metrics = at, backends, metrics
        self.request_handler: RequestHandler
        self.listener: Listener
        self.admin_service: AdminService
        self.share_sockets: Callable[[int, int, bool], None]
        self.predecessor_request_ids: frozenset[str] = frozenset()
        self.loop = backends.timers.loop
        self.channel = HandoverChannel(
            folder, f"crankfold-{zlib.crc32(f'{at[0]}:{at[1]}'.encode()):08x}", metrics
        )
        self.channel.on_successor, self.channel.on_message, self.channel.on_lost = (
            self._successor_connected,
            self._message_received,
            self._disconnected,
        )
        self.state_machine = HandoverStateMachine(self)
        self.listening_socket: socket.socket | None = None
        self.takeover_decided = asyncio.Event()  # the predecessor has given way, or there is none
        self.retry_takeover = False
        self.inherited_reports: dict[str, Any] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def attach(
        self,
        request_handler: RequestHandler,
        listener: Listener,
        admin_service: AdminService,
        share_sockets: Callable[[int, int, bool], None],
    ) -> None:
        """Gives it the parts that it hands over; they need it for their own construction.

        To be called before anything else.
        """
        self.request_handler = request_handler
        self.listener = listener
        self.admin_service = admin_service
        self.share_sockets = share_sockets

    # --- as the one that follows ---

    async def connect(self) -> dict[str, Any] | None:
        """Learns from a predecessor, if one serves; gives the list as that has it."""
        met = await self.channel.connect(
            {"hello": FORMAT_VERSION, "at": list(self.listen_address), "of": self.dispatcher_name}
        )
        if met:
            kin, sock, said = met
            welcome = said.get("welcome")
            if (
                isinstance(welcome, dict)
                and welcome.get("form") == FORMAT_VERSION
                and welcome.get("of") == self.dispatcher_name
                and sock
                and sock.getsockname()[:2] == self.listen_address
            ):
                self.listening_socket = sock
                self.state_machine.predecessor_connected(kin)
                self._import_state(welcome)
                return handover_state.inherited_endpoints(
                    welcome, self.request_handler.routing.weights_follow_load
                )
            self.metrics.warn("predecessor", "speaks another form or has another address; starting alone")
            self.channel.disconnect(kin)
            if sock:
                sock.close()
        recorded = self.channel.load_record()
        if recorded.get("of") == self.dispatcher_name:
            self._import_manual_drains(recorded)
        return None

    def _import_state(self, welcome: dict[str, Any]) -> None:
        self.backend_registry.known_ids.update(string_list(welcome.get("ever")))
        self._import_manual_drains(welcome)
        self.inherited_reports = handover_state.inherited_reports(
            welcome, self.request_handler.config.report_fields
        )

    def _import_manual_drains(self, kept: dict[str, Any]) -> None:
        self.backend_registry.manual_drains.drained_since.update(int_mapping(kept.get("bans")))
        for uid, pair in (kept.get("assumed") or {}).items():
            if isinstance(pair, list) and len(pair) == 2 and all(type(one) is int for one in pair):
                self.backend_registry.manual_drains.assumed_starts[uid] = (pair[0], pair[1])
        self.backend_registry.known_ids.update(self.backend_registry.manual_drains.drained_since)

    def replay_reports(self) -> None:
        """What runners last said to the predecessor, as if they had been probed."""
        wanted = len(self.request_handler.config.report_fields)
        for uid, report in self.inherited_reports.items():
            runner = self.backend_registry.backend_ids.find(uid)
            if (
                runner >= 0
                and isinstance(report, list)
                and len(report) == wanted
                and all(type(one) is float for one in report)
            ):
                self.request_handler.notify_routing(
                    self.request_handler.routing.probe_ended, runner, True, tuple(report)
                )

    async def take_over(self) -> socket.socket | None:
        """Waits until the predecessor has given way; the listening socket, where there was one."""
        while True:
            self.retry_takeover = False
            self.takeover_decided.clear()
            if not self.state_machine.request_takeover():
                return self.listening_socket
            try:
                async with asyncio.timeout(1.0):
                    await self.takeover_decided.wait()
            except TimeoutError:
                self.metrics.warn("predecessor", "hangs; serving beside it")
                return self.listening_socket
            if not self.retry_takeover:
                return self.listening_socket
            await asyncio.sleep(TAKEOVER_RETRY_DELAY)
            await self.connect()

    async def open(self) -> None:
        try:
            await self.channel.open()
        except OSError as wrong:
            self.metrics.warn("records", f"{wrong}; nobody can follow")

    # --- both ways ---

    async def replicate_manual_drain(self, what: str, uid: str) -> None:
        """Recorded here, and bound by the other process."""
        self._save_manual_drains()
        answered: asyncio.Future[None] = self.loop.create_future()
        self.state_machine.query(self.loop.time(), {"what": what, "uid": uid}, lambda _: resolve(answered))
        await answered

    def _save_manual_drains(self) -> None:
        try:
            self.channel.save_record(
                {
                    "of": self.dispatcher_name,
                    "bans": self.backend_registry.manual_drains.drained_since,
                    "assumed": self.backend_registry.manual_drains.assumed_starts,
                }
            )
        except OSError as wrong:
            self.metrics.warn("records", f"{wrong}; a ban binds, but is forgotten if both processes die")

    def forward_callback(self, body: bytes, done: Callable[[bool | None], None]) -> bool:
        """A call-back for a unit that is not in hand here; whether there is somebody to ask."""
        if not self.state_machine.processes:
            return False
        self.metrics.increment("call-backs-passed-on")
        told = {"what": "event", "body": body.decode(errors="replace")}
        self.state_machine.query(self.loop.time(), told, done)
        return True

    def _successor_connected(self, kin: int, sock: socket.socket, hello: dict[str, Any]) -> None:
        self.metrics.increment("successors-met")
        copy = self.listener.shared_socket
        try:
            if (
                hello.get("hello") == FORMAT_VERSION
                and copy
                and hello.get("at") == list(self.listen_address)
                and hello.get("of") == self.dispatcher_name
            ):
                socket.send_fds(sock, [b"!"], [copy.fileno()])
                self.state_machine.successor_connected(kin)
                return
        except OSError as wrong:
            self.metrics.warn("successor", str(wrong))
        self.channel.disconnect(kin)

    def _message_received(self, kin: int, told: dict[str, Any]) -> None:
        self.state_machine.message_received(self.loop.time(), kin, told)

    def _disconnected(self, kin: int) -> None:
        self.state_machine.disconnected(self.loop.time(), kin)

    def run_periodic_tasks(self) -> None:
        self.state_machine.expire_queries(self.loop.time())
        self.state_machine.report_usage()

    def has_request(self, request_id: str) -> bool:
        """Whether the predecessor still has that request in hand."""
        return request_id in self.predecessor_request_ids

    def has_successor(self) -> bool:
        return self.state_machine.role == HandoverRole.HANDED_OVER

    def close(self) -> None:
        self.channel.close()

    # --- the port: what the succession decides ---

    def send(self, kin: int, told: dict[str, Any]) -> None:
        self.channel.send(kin, told)

    def disconnect(self, kin: int) -> None:
        self.channel.disconnect(kin)

    def describe_state(self) -> dict[str, Any]:
        now, fleet = self.request_handler.timers.clock.now(), self.backend_registry
        names = fleet.backend_ids.names
        decisions = self.request_handler.routing
        listed = [
            fleet.discovery_entry(runner)
            for runner, entry in enumerate(fleet.endpoints)
            if entry.state != EndpointState.REMOVED
        ]
        if decisions.weights_follow_load:  # the size is what lasts of a weight that moves
            for entry in listed:
                entry["capacity_hint"] = decisions.backend_weight(fleet.backend_ids.intern(entry["uid"]))
        return {
            "form": FORMAT_VERSION,
            "of": self.dispatcher_name,
            "weights": handover_state.weight_semantics(decisions.weights_follow_load),
            "fields": list(self.request_handler.config.report_fields),
            "bans": fleet.manual_drains.drained_since,
            "assumed": fleet.manual_drains.assumed_starts,
            "ever": sorted({*names, *fleet.known_ids}),
            "known": {"rev": 0, "all": True, "targets": listed} if listed else None,
            "reports": {
                names[runner]: list(report)
                for runner, (at, report) in self.request_handler.load_reports.items()
                if now - at < MAX_REPORT_AGE
            },
        }

    def describe_usage(self) -> dict[str, Any]:
        return {
            "ids": [work.request_id for work in self.request_handler.request_table.requests.values()],
            "clients": len(self.listener.connections),
            "runners": self.backend_registry.sockets.max_connections,
        }

    def stop_accepting(self) -> None:
        log_line("crankfold: another process takes over")
        self.metrics.increment("handed-over")
        self.listener.pause()
        self.share_sockets(0, 0, True)
        self.admin_service.endpoints_changed(self.backend_registry.reserve_slow_start(True))

    def resume_accepting(self) -> None:
        log_line("crankfold: the process that took over is gone; serving again")
        self.metrics.increment("taken-up-again")
        self.share_sockets(0, 0, False)
        self.admin_service.endpoints_changed(self.backend_registry.reserve_slow_start(False))
        task = self.loop.create_task(self._reopen())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _reopen(self) -> None:
        await self.listener.resume()
        self.channel.stop_accepting()
        await self.open()

    def takeover_completed(self) -> None:
        self.takeover_decided.set()

    def takeover_refused(self) -> None:
        self.retry_takeover = True
        self.takeover_decided.set()

    def handle_callback(self, body: str) -> bool:
        told = body.encode()
        return self.request_handler.has_request(request_id_of(told)) and handle_callback(
            told, self.request_handler, self.request_handler.config.report_fields
        )

    def apply_manual_drain(self, uid: str, out: bool) -> None:
        self.backend_registry.known_ids.add(uid)
        entry = self.backend_registry.drain(uid) if out else self.backend_registry.restore(uid)
        if entry:
            self.admin_service.endpoints_changed([entry])

    def predecessor_usage_changed(self, told: dict[str, Any]) -> None:
        self.predecessor_request_ids = frozenset(string_list(told.get("ids")))
        held = int_mapping(told)
        self.share_sockets(held.get("clients", 0), held.get("runners", 0), False)
