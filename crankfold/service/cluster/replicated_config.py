"""Applies the replicated configuration of the cluster, which overrides the configuration file.

Imported only with peers.
"""

import logging
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Final

from crankfold.cluster.config import ClusterConfig
from crankfold.cluster.node import ClusterNode
from crankfold.cluster.raft_storage import StorageError
from crankfold.consensus.messages import DocumentContent, MaintenanceReport
from crankfold.consensus.versioned_documents import MACHINES
from crankfold.document_names import DRAINED_BACKENDS, EXCLUDED_BACKENDS, MAINTENANCE, QUOTAS, SETTINGS
from crankfold.errors import ConfigError
from crankfold.maintenance.transitions import TransitionDocument
from crankfold.routing.interface import Outcome
from crankfold.service.admin_service import AdminService
from crankfold.service.cluster.admin import ClusterAdmin
from crankfold.service.cluster.document_validation import replicated_settings, validation_error
from crankfold.service.cluster.event_log import EventLog
from crankfold.service.config_file import Settings, parse_settings
from crankfold.service.reload import ConfigApplier
from crankfold.service.requests.collaborators import RecordedEvent
from crankfold.service.requests.quotas import Quotas

if TYPE_CHECKING:
    from crankfold.service.maintenance.agent import MaintenanceAgent

logger = logging.getLogger(__name__)

CONTINUE_WHEN_ISOLATED: Final = "go-on"  # the isolation policy of the configuration


class ReplicatedConfig:
    """Implements `ClusterServices` for requests, and applies changed documents of the cluster.

    Args:
        cluster_config: The `peers` section of the configuration file.
        local_settings: The settings in the configuration file, which the replicated ones override.
        admin_service: Drains this process for maintenance jobs, and answers calls about the cluster.
        config_applier: Applies replicated settings.
        endpoint_list_age: Returns the ticks since the last answer of discovery.
        event_log: Records events; None unless the configuration names a file for it.

    Raises:
        ConfigError: The storage folder of a voter cannot be used.
    """

    def __init__(
        self,
        cluster_config: ClusterConfig,
        *,
        local_settings: Settings,
        admin_service: AdminService,
        config_applier: ConfigApplier,
        endpoint_list_age: Callable[[], int],
        event_log: EventLog | None,
    ) -> None:
        self.local_settings = local_settings
        self.admin_service = admin_service
        self.request_handler = admin_service.request_handler
        self.backend_registry = admin_service.backend_registry
        self.metrics = admin_service.metrics
        self.config_applier = config_applier
        self.endpoint_list_age = endpoint_list_age
        self.event_log = event_log
        self.acts_when_isolated = cluster_config.isolation_policy == CONTINUE_WHEN_ISOLATED
        self.quotas = Quotas()
        self.maintenance: MaintenanceAgent | None = None  # once there is a maintenance job
        self.effective_settings: Settings | None = None
        self.was_isolated = False
        self.cluster_node = self._build_cluster_node(cluster_config)

    def _build_cluster_node(self, cluster_config: ClusterConfig) -> ClusterNode:
        try:
            return ClusterNode(
                cluster_config,
                metrics=self.metrics,
                dispatcher=self,
                initial_settings=replicated_settings(self.local_settings),
            )
        except StorageError as error:
            raise ConfigError(f"peers: {error}") from None

    async def open(self) -> None:
        """Joins the cluster; the admin server answers calls about the cluster from then on.

        Raises:
            OSError: An address cannot be opened.
        """
        await self.cluster_node.open()
        # The admin server is already open, so these calls are answered from here on.
        self.admin_service.cluster_admin = ClusterAdmin(
            self.cluster_node, lambda: self._maintenance_agent().admin
        )

    def _maintenance_agent(self) -> "MaintenanceAgent":
        if self.maintenance is None:
            from crankfold.service.maintenance import agent  # imported only where maintenance is used

            self.maintenance = agent.MaintenanceAgent(
                self.request_handler,
                self.admin_service,
                self.cluster_node,
                metrics=self.metrics,
                endpoint_list_age=self.endpoint_list_age,
                machines_out_changed=self._apply_cluster_drains,
            )
        return self.maintenance

    async def close(self) -> None:
        """Leaves the cluster and kills the commands of maintenance jobs."""
        if self.maintenance:
            self.maintenance.close()
        await self.cluster_node.close()

    # --- ClusterServices, called for requests and attempts ---

    def may_act(self) -> bool:
        """See `ClusterServices`.

        An action is permitted while this member holds a lease, or while it is isolated if it is configured to
        continue then.
        """
        has_settings = self.effective_settings is not None
        return has_settings and (self.cluster_node.has_lease() or self.acts_when_isolated)

    def authorize_action(self) -> bool:
        """See `ClusterServices`."""
        if self.effective_settings is None:
            return False
        has_lease = self.cluster_node.has_lease()
        if not has_lease:
            self._record_isolation()
        self.was_isolated = not has_lease
        return self.may_act()

    def _record_isolation(self) -> None:
        """Logs the loss of the lease at the first action after it, and counts actions that are permitted."""
        if not self.was_isolated:
            logger.warning(
                "%s; %s",
                self.cluster_node.inactive_reason(),
                "continues with the last configuration" if self.acts_when_isolated else "sheds new requests",
                extra={"category": "cluster"},
            )
        if self.acts_when_isolated:
            self.metrics.increment("acted-while-isolated")

    def acquire_quota(self, request_class: str, tenant: str) -> Sequence[str] | None:
        """See `ClusterServices`."""
        return self.quotas.acquire(request_class, tenant)

    def release_quota(self, limits: Sequence[str]) -> None:
        """See `ClusterServices`."""
        self.quotas.release(limits)

    def record_event(self, event: RecordedEvent, request_id: str, subject: str) -> None:
        """See `ClusterServices`."""
        if self.event_log:
            self.event_log.record_event(event, request_id, subject, self.cluster_node.consensus)

    def attempt_abandoned(self, backend_id: str, request_id: str) -> None:
        """See `ClusterServices`."""
        if self.maintenance:
            self.maintenance.attempt_abandoned(backend_id, request_id)

    def attempt_finished(self, backend: int, outcome: Outcome) -> None:
        """See `ClusterServices`."""
        if self.maintenance:
            self.maintenance.attempt_finished(backend, outcome)

    def abandoned_attempt_finished(self, request_id: str, backend_id: str) -> None:
        """See `ClusterServices`."""
        if self.maintenance:
            self.maintenance.abandoned_attempt_finished(request_id, backend_id)

    # --- cluster.node.Dispatcher, called by the cluster node ---

    def validate_document(self, name: str, content: DocumentContent) -> str:
        """Returns why a new version of a document is not valid at this dispatcher; empty if it is valid."""
        previous = None
        if name in (SETTINGS, MAINTENANCE):
            versions = self.cluster_node.consensus.documents.document(name).versions
            previous = versions[-1].text if versions else None
        return validation_error(
            name,
            content,
            previous=previous,
            local_settings=self.local_settings,
            list_machines=lambda: self._maintenance_agent().machines(),
        )

    def documents_changed(self, names: set[str]) -> None:
        """Applies the effective content of changed documents.

        The member confirms the new versions to the cluster only after this method returns.
        """
        member = self.cluster_node.consensus
        settings = member.effective_content(SETTINGS)
        if SETTINGS in names and settings is not None and settings != self.effective_settings:
            parsed = parse_settings({**self.local_settings, **settings})
            self.config_applier.apply(parsed.routing, parsed.service)
            self.effective_settings = settings
        replicated = member.documents.replicated
        if member.documents.document(MAINTENANCE).versions or replicated.maintenance.machines:
            self._maintenance_agent()
        if names & {DRAINED_BACKENDS, EXCLUDED_BACKENDS, MACHINES}:
            self._apply_cluster_drains()
        if self.maintenance and names & {MACHINES, MAINTENANCE}:
            self.maintenance.state_changed()
        if QUOTAS in names:
            allocation = (member.effective_content(QUOTAS) or {}).get("shares", {})
            self.quotas.allocated = {limit: parts.get(member.name, 0) for limit, parts in allocation.items()}
        self.metrics.increment("documents-changed")
        if self.event_log:
            self.record_event(RecordedEvent.CONFIG_APPLIED, "", "")
            self.event_log.record_transitions(member)

    def _apply_cluster_drains(self) -> None:
        member = self.cluster_node.consensus
        drained = {
            backend_id
            for document in (DRAINED_BACKENDS, EXCLUDED_BACKENDS)
            for backend_id in (member.effective_content(document) or {}).get("runners", {})
        }
        if self.maintenance:
            drained |= self.maintenance.machines_out()
        endpoints = self.backend_registry.set_cluster_drains(drained)
        if endpoints:
            self.request_handler.effective_endpoints_changed(endpoints)

    def collect_quota_usage(self) -> dict[str, int]:
        """See `MemberHost`."""
        return self.quotas.collect_usage()

    def quiesced_index(self, applied: int) -> int:
        """Returns the log index up to which no request depends on an earlier quota allocation.

        Requests that were admitted under a larger quota may exceed a new one until they are answered.

        Args:
            applied: The last applied index; it is returned unless a quota is exceeded.
        """
        if self.quotas.within_allocation():
            return applied
        pending = [
            version.index
            for name, version in self.cluster_node.consensus.documents.pending_versions()
            if name == QUOTAS
        ]
        return min([applied, *(index - 1 for index in pending)])

    def build_maintenance_report(self) -> MaintenanceReport | None:
        """See `MemberHost`."""
        return self.maintenance.build_report() if self.maintenance else None

    def propose_transitions(self, now: int) -> list[TransitionDocument]:
        """Returns the transitions of machines to propose; none unless this member is the leader.

        `now` is in ticks of the boot clock.
        """
        return self.maintenance.propose_transitions(now) if self.maintenance else []
