"""What the fleet agreed on, laid over a dispatcher's own file. Not imported unless there are peers."""

import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, TextIO

import msgspec
import orjson
from msgspec import Meta, Struct, field, structs

from crankfold.cluster.node import ClusterNode, StorageError, parse_address, read_cluster_config
from crankfold.config import schema
from crankfold.config.parser import (
    RELOADABLE,
    ServiceConfig,
    flatten_settings,
    read_routing_config,
    read_service_config,
)
from crankfold.consensus.conservative_merge import (
    DOCUMENTS,
    DRAINED_BACKENDS,
    EXCLUDED_BACKENDS,
    LIMITS,
    MAINTENANCE,
    QUOTAS,
    SETTINGS,
)
from crankfold.consensus.versioned_documents import MACHINES
from crankfold.consensus.voter import Voter
from crankfold.network.metrics import Metrics
from crankfold.routing.interface import Outcome, RoutingConfig
from crankfold.service.admin_service import AdminService
from crankfold.service.backend_registry import BackendRegistry
from crankfold.service.collaborators import RecordedEvent
from crankfold.service.quotas import Quotas
from crankfold.service.request_handler import RequestHandler

if TYPE_CHECKING:
    from crankfold.service.maintenance_agent import MaintenanceAgent

PUBLISH_TIMEOUT, MAX_WAIT, READ_TIMEOUT = 10.0, 60.0, 2.0
OK, REFUSED, INVALID, UNKNOWN, MISSING = 200, 409, 400, 504, 404


class PublishRequest(Struct, rename="kebab", forbid_unknown_fields=True):
    """What an operator hands in with a version."""

    call: str
    made_from: int
    text: dict[str, Any]
    author: str = ""
    reason: str = ""
    wait: float = 0.0


class MembershipChangeRequest(Struct, forbid_unknown_fields=True):
    """Of the voters, one at a time."""

    call: str
    add: dict[str, str] = field(default_factory=dict)
    remove: str = ""


class QuotaDocument(Struct, forbid_unknown_fields=True):
    limits: dict[str, Annotated[int, Meta(ge=0)]] = field(default_factory=dict)


class ManualDrainDocument(Struct, forbid_unknown_fields=True):
    runners: dict[str, str] = field(default_factory=dict)  # by id, why


def replicated_settings(settings: dict[str, Any]) -> dict[str, Any]:
    return {name: settings[name] for name in RELOADABLE if name in settings}


class ReplicatedConfig:
    def __init__(
        self,
        given: dict[str, Any],
        tally: Metrics,
        backends: BackendRegistry,
        renewed: Callable[[RoutingConfig, ServiceConfig], None],
        list_age: Callable[[], int],
    ) -> None:
        self.local_settings, self.backend_registry, self.apply_config = given["settings"], backends, renewed
        self.request_handler: RequestHandler  # these two once it is opened
        self.admin_service: AdminService
        self.metrics, self.endpoint_list_age = tally, list_age
        self.maintenance: MaintenanceAgent | None = None  # once some are handed in
        peers = read_cluster_config(given["peers"])
        self.acts_when_isolated = peers.when_cut_off == "go-on"
        schema.validate({name: part for name, part in given.items() if name != "peers"})
        self.effective_settings: dict[str, Any] | None = None
        self.cluster_config, self.quotas = peers, Quotas()
        self.cluster_node: ClusterNode
        self.was_isolated = False
        self.recorded_index = 0  # the entry up to which steps of machines are recorded
        self.event_log: TextIO | None = None
        if peers.record:
            # Until the process ends; "-" is standard output, on which nothing else is said.
            self.event_log = sys.stdout if peers.record == "-" else Path(peers.record).open("a")  # noqa: SIM115

    async def open(
        self, request_handler: RequestHandler, admin_service: AdminService, succeeds: bool
    ) -> None:
        """With `succeeds` a process before this one is still there, under the same name."""
        self.request_handler = request_handler
        self.admin_service = admin_service
        try:
            self.cluster_node = ClusterNode(
                structs.replace(self.cluster_config, succeeds=succeeds),
                self.metrics,
                self.validate,
                replicated_settings(self.local_settings),
                self._documents_changed,
                self.quotas.collect_usage,
                self._quiesced_index,
            )
        except StorageError as wrong:
            raise ValueError(f"peers: {wrong}") from None
        await self.cluster_node.open()
        self.admin_service.replicated_config = (
            self  # not before: the door is open already, and there was nothing to ask
        )

    def _maintenance_agent(self) -> "MaintenanceAgent":
        if self.maintenance is None:
            from crankfold.service import maintenance_agent  # nothing of it before works are handed in

            self.maintenance = maintenance_agent.MaintenanceAgent(
                self.request_handler,
                self.admin_service,
                self.cluster_node,
                self.metrics,
                self.endpoint_list_age,
                self._apply_manual_drains,
            )
        return self.maintenance

    async def close(self) -> None:
        if self.maintenance:
            self.maintenance.close()
        await self.cluster_node.close()

    # --- acting ---

    def acquire_quota(self, request_class: str, tenant: str) -> Sequence[str] | None:
        """Counts one more request; None where a limit for the whole fleet is used up."""
        return self.quotas.acquire(request_class, tenant)

    def release_quota(self, limits: Sequence[str]) -> None:
        """Counts a request no longer."""
        self.quotas.release(limits)

    def attempt_abandoned(self, backend_id: str, request_id: str) -> None:
        """An attempt was given up, and the backend may still execute it."""
        if self.maintenance:
            self.maintenance.attempt_abandoned(backend_id, request_id)

    def attempt_finished(self, backend: int, outcome: Outcome) -> None:
        """An attempt on the backend with that index has ended."""
        if self.maintenance:
            self.maintenance.attempt_finished(backend, outcome)

    def abandoned_attempt_finished(self, request_id: str, backend_id: str) -> None:
        """The backend told the end of an attempt that is not waited for."""
        if self.maintenance:
            self.maintenance.abandoned_attempt_finished(request_id, backend_id)

    def has_valid_config(self) -> bool:
        if self.effective_settings is None:
            return False
        if self.cluster_node.has_lease():
            self.was_isolated = False
            return True
        if not self.was_isolated:
            self.was_isolated = True
            self.metrics.warn(
                "peers",
                f"{self.cluster_node.inactive_reason()}; "
                + ("goes on under the last rules" if self.acts_when_isolated else "takes nothing new"),
            )
        if self.acts_when_isolated:
            self.metrics.increment("acted-while-cut-off")
        return self.acts_when_isolated

    def validate(self, doc: str, text: dict[str, Any]) -> str:
        """Why a dispatcher could not use that document, with path, found and allowed; or nothing."""
        try:
            if doc == SETTINGS:
                for name in text:
                    if name not in RELOADABLE:
                        return (
                            f"settings.{name}: is each dispatcher's own; agreed are {', '.join(RELOADABLE)}"
                        )
                whole = {**self.local_settings, **text}
                latest = self.cluster_node.consensus.documents.document(SETTINGS).versions
                running = {"settings": {**self.local_settings, **latest[-1].text}} if latest else None
                schema.validate(
                    {"listen": "-", "discovery": "-", "settings": whole},
                    {"listen": "-", "discovery": "-", **running} if running else None,
                )
                read_service_config(flatten_settings(whole))
                read_routing_config(flatten_settings(whole))
            elif doc in (DRAINED_BACKENDS, EXCLUDED_BACKENDS):
                msgspec.convert(text, ManualDrainDocument)
            elif doc == MAINTENANCE:
                from crankfold.maintenance import specification as of_works

                versions = self.cluster_node.consensus.documents.document(MAINTENANCE).versions
                return of_works.validation_error(
                    text, versions[-1].text if versions else {}, self._maintenance_agent().machines()
                )
            elif doc == LIMITS:
                for name in msgspec.convert(text, QuotaDocument).limits:
                    if name != "all" and name.partition(":")[0] not in ("grade", "tenant"):
                        return f"limits.{name}: found {name!r}; all, grade:NAME or tenant:NAME"
            else:
                return f"{doc}: dealt by whoever leads, not by operators"
        except ValueError as wrong:
            return str(wrong)
        return ""

    def _documents_changed(self, docs: set[str]) -> None:
        """At once, before anybody is told that we have heard."""
        member = self.cluster_node.consensus
        text = member.effective_content(SETTINGS)
        if SETTINGS in docs and text is not None and text != self.effective_settings:
            flat = flatten_settings({**self.local_settings, **text})
            self.apply_config(read_routing_config(flat), read_service_config(flat))
            self.effective_settings = text
        if (
            member.documents.document(MAINTENANCE).versions
            or member.documents.replicated.maintenance.machines
        ):
            self._maintenance_agent()
        if DRAINED_BACKENDS in docs or EXCLUDED_BACKENDS in docs or MACHINES in docs:
            self._apply_manual_drains()
        if self.maintenance and (MACHINES in docs or MAINTENANCE in docs):
            self.maintenance.state_changed()
        if QUOTAS in docs:
            dealt = (member.effective_content(QUOTAS) or {}).get("shares", {})
            self.quotas.allocated = {limit: parts.get(member.name, 0) for limit, parts in dealt.items()}
        self.metrics.increment("documents-changed")
        if self.event_log:
            self.record_event(RecordedEvent.CONFIG_APPLIED, "", "")
            self._record_transitions()

    def _apply_manual_drains(self) -> None:
        member = self.cluster_node.consensus
        out = {
            uid
            for doc in (DRAINED_BACKENDS, EXCLUDED_BACKENDS)
            for uid in (member.effective_content(doc) or {}).get("runners", {})
        }
        entries = self.backend_registry.set_cluster_drains(
            out | self.maintenance.machines_out() if self.maintenance else out
        )
        if entries:
            self.admin_service.endpoints_changed(entries)

    def _quiesced_index(self, applied: int) -> int:
        """Units taken under a larger share hold their places until they are answered."""
        if self.quotas.within_allocation():
            return applied
        waits = [
            version.index
            for doc, version in self.cluster_node.consensus.documents.pending_versions()
            if doc == QUOTAS
        ]
        return min([applied, *(index - 1 for index in waits)])

    def record_event(self, event: RecordedEvent, request_id: str, subject: str) -> None:
        """Writes an event to the record, if one is kept, with the versions in force."""
        if self.event_log is None:
            return
        member = self.cluster_node.consensus
        told: dict[str, Any] = {
            "at": time.clock_gettime_ns(time.CLOCK_BOOTTIME),
            "what": event.value,
            "unit": request_id,
            "where": subject,
            "applied": member.last_applied,
            "versions": member.documents.version_numbers(),
        }
        if event is RecordedEvent.CONFIG_APPLIED:
            told["acting"] = {
                doc: member.effective_content(doc)
                for doc in (SETTINGS, DRAINED_BACKENDS, EXCLUDED_BACKENDS, QUOTAS)
            }
        self.event_log.write(orjson.dumps(told).decode() + "\n")
        self.event_log.flush()

    def _record_transitions(self) -> None:
        assert self.event_log is not None
        for step in self.cluster_node.consensus.documents.replicated.maintenance.transitions:
            if step.index > self.recorded_index:
                told = {
                    "at": time.clock_gettime_ns(time.CLOCK_BOOTTIME),
                    "what": "step",
                    **{
                        "uid": step.machine_id,
                        "work": step.job,
                        "step": step.phase,
                        "index": step.index,
                        "by": step.by,
                        "why": step.reason,
                    },
                }
                self.event_log.write(orjson.dumps(told).decode() + "\n")
        self.recorded_index = max(self.recorded_index, self.cluster_node.consensus.last_applied)
        self.event_log.flush()

    # --- operators ---

    def cluster_status(self) -> tuple[int, str]:
        return OK, orjson.dumps(self.cluster_node.status()).decode()

    async def read_document(self, doc: str, least: int) -> tuple[int, str]:
        """Never older than what the reader says to have been told; where that is not known, it is said."""
        if doc == MACHINES:
            return OK, orjson.dumps(self._maintenance_agent().describe()).decode()
        if doc not in DOCUMENTS:
            return MISSING, orjson.dumps({"text": f"there are {', '.join(DOCUMENTS)}"}).decode()
        if not await self.cluster_node.wait_until_known(doc, least, READ_TIMEOUT):
            why = self.cluster_node.inactive_reason() or "it lags behind"
            text = f"version {least} of {doc} is not known here yet: {why}"
            return UNKNOWN, orjson.dumps({"text": text}).decode()
        known = self.cluster_node.consensus.documents.document(doc)
        told = {
            "doc": doc,
            "counts": known.active_number,
            "newest": known.latest_number(),
            "acts": self.cluster_node.has_lease(),
            "acting": self.cluster_node.consensus.effective_content(doc),
            "versions": [structs.asdict(version) for version in known.versions],
        }
        return OK, orjson.dumps(told).decode()

    async def _change_voters(self, body: bytes) -> tuple[int, str]:
        try:
            asked = msgspec.json.decode(body, type=MembershipChangeRequest)
            for at in asked.add.values():
                parse_address(at)
        except (msgspec.DecodeError, ValueError) as wrong:
            return INVALID, orjson.dumps({"well": False, "text": str(wrong)}).decode()
        member = self.cluster_node.consensus
        if not isinstance(member, Voter):
            return INVALID, orjson.dumps({"well": False, "text": "ask at the door of a voter"}).decode()
        voters = {name: at for name, at in member.raft.voters.items() if name != asked.remove} | asked.add
        made = await self.cluster_node.propose("voters", {"voters": voters}, asked.call, PUBLISH_TIMEOUT)
        told = {"well": made.accepted, "text": made.reason, "voters": voters}
        return OK if made.accepted else REFUSED, orjson.dumps(told).decode()

    async def publish(self, doc: str, body: bytes) -> tuple[int, str]:
        if doc == "voters":
            return await self._change_voters(body)
        if doc in (MACHINES, "plan"):
            return await self._handle_maintenance(doc, body)
        try:
            asked = msgspec.json.decode(body, type=PublishRequest)
        except msgspec.DecodeError as wrong:
            return INVALID, orjson.dumps({"well": False, "text": str(wrong)}).decode()
        made = await self.cluster_node.propose(
            "publish",
            {
                "doc": doc,
                "made_from": asked.made_from,
                "author": asked.author[:200],
                "reason": asked.reason[:2000],
                "at": time.time_ns() // 1_000_000,
                "text": asked.text,
            },
            asked.call,
            PUBLISH_TIMEOUT,
        )
        told: dict[str, Any] = {"well": made.accepted, "text": made.reason, "number": made.version_number}
        if not made.accepted:
            known = made.version_number or not made.reason.startswith("no outcome")
            return REFUSED if known else UNKNOWN, orjson.dumps(told).decode()
        if asked.wait:
            wait = min(asked.wait, MAX_WAIT)
            began = time.monotonic()
            index = await self.cluster_node.wait_until_active(doc, made.version_number, wait)
            told["counts"] = index > 0
            all_act = index > 0 and await self.cluster_node.wait_until_cluster_applied(
                index, wait - (time.monotonic() - began)
            )
            told["lag"] = [] if all_act else self._lagging_members()
        return OK, orjson.dumps(told).decode()

    async def _handle_maintenance(self, doc: str, body: bytes) -> tuple[int, str]:
        works = self._maintenance_agent()
        try:
            if doc == "plan":
                told = works.forecast(body)
                return OK if told["well"] else REFUSED, orjson.dumps(told).decode()
            well, text, known = await works.request_transition(body)
        except msgspec.DecodeError as wrong:
            return INVALID, orjson.dumps({"well": False, "text": str(wrong)}).decode()
        status = OK if well else REFUSED if known else UNKNOWN
        return status, orjson.dumps({"well": well, "text": text}).decode()

    def _lagging_members(self) -> list[str]:
        """Who does not act on all that is known here, as far as this member can tell."""
        view = self.cluster_node.status()
        late = [
            f"{one['name']} at {one['at']}: {one['state']}, {one['lag']} behind"
            for one in view.get("members", ())
            if one["lag"] and one["state"] != "left"
        ]
        late += [f"voter {name}: {lag} behind" for name, lag in view.get("lag", {}).items() if lag]
        return late or ["somebody, who is not known here; ask at the leader's door"]
