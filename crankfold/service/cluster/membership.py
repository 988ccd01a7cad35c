"""The membership of this dispatcher in its cluster, including the time before it joins.

Imported only with peers.
"""

from collections.abc import Callable, Sequence

from msgspec import structs

from crankfold.cluster.config import read_cluster_config
from crankfold.config import schema
from crankfold.network.metrics import Metrics
from crankfold.routing.interface import Outcome
from crankfold.service.admin_service import AdminService
from crankfold.service.cluster.event_log import EventLog
from crankfold.service.cluster.replicated_config import ReplicatedConfig
from crankfold.service.config_file import ConfigDocument, Settings
from crankfold.service.reload import ConfigApplier
from crankfold.service.requests.collaborators import ClusterServices, NoCluster, RecordedEvent


class _NotJoined(NoCluster):
    """The services until the cluster is joined: no action is permitted without a valid configuration."""

    def may_act(self) -> bool:
        """See `ClusterServices`."""
        return False


class ClusterMembership:
    """Joins the cluster; implements `ClusterServices` by passing each call to the replicated configuration.

    It exists before the cluster is joined, as request handling depends on it, and the cluster in turn depends
    on request handling. No request is admitted until the cluster is joined.
    """

    def __init__(self, document: ConfigDocument, metrics: Metrics) -> None:
        """Reads the configuration of the cluster and opens the event log.

        Args:
            document: The configuration file as decoded.
            metrics: The counters of this process.

        Raises:
            ValueError: The document is not valid.
            OSError: The event log cannot be opened.
        """
        self.metrics = metrics
        self.local_settings: Settings = document["settings"]
        self.cluster_config = read_cluster_config(document["peers"])
        schema.validate({name: part for name, part in document.items() if name != "peers"})
        event_log_path = self.cluster_config.event_log_path
        self.event_log = EventLog(event_log_path) if event_log_path else None
        self._services: ClusterServices = _NotJoined()
        self._replicated_config: ReplicatedConfig | None = None

    async def join(
        self,
        admin_service: AdminService,
        config_applier: ConfigApplier,
        endpoint_list_age: Callable[[], int],
        *,
        is_successor: bool,
    ) -> None:
        """Joins the cluster; the admin server answers calls about the cluster from then on.

        Args:
            admin_service: Drains this process for maintenance jobs, and answers calls about the cluster.
            config_applier: Applies replicated settings.
            endpoint_list_age: Returns the ticks since the last answer of discovery.
            is_successor: Whether this process replaces one of the same name that is still a member.

        Raises:
            ConfigError: The storage folder of a voter cannot be used.
            OSError: An address cannot be opened.
        """
        self._replicated_config = ReplicatedConfig(
            structs.replace(self.cluster_config, is_successor=is_successor),
            local_settings=self.local_settings,
            admin_service=admin_service,
            config_applier=config_applier,
            endpoint_list_age=endpoint_list_age,
            event_log=self.event_log,
        )
        self._services = self._replicated_config
        await self._replicated_config.open()

    async def close(self) -> None:
        """Leaves the cluster, if it was joined."""
        if self._replicated_config:
            await self._replicated_config.close()

    # --- ClusterServices ---

    def may_act(self) -> bool:
        """See `ClusterServices`."""
        return self._services.may_act()

    def authorize_action(self) -> bool:
        """See `ClusterServices`."""
        return self._services.authorize_action()

    def acquire_quota(self, request_class: str, tenant: str) -> Sequence[str] | None:
        """See `ClusterServices`."""
        return self._services.acquire_quota(request_class, tenant)

    def release_quota(self, limits: Sequence[str]) -> None:
        """See `ClusterServices`."""
        self._services.release_quota(limits)

    def record_event(self, event: RecordedEvent, request_id: str, subject: str) -> None:
        """See `ClusterServices`."""
        self._services.record_event(event, request_id, subject)

    def attempt_abandoned(self, backend_id: str, request_id: str) -> None:
        """See `ClusterServices`."""
        self._services.attempt_abandoned(backend_id, request_id)

    def attempt_finished(self, backend: int, outcome: Outcome) -> None:
        """See `ClusterServices`."""
        self._services.attempt_finished(backend, outcome)

    def abandoned_attempt_finished(self, request_id: str, backend_id: str) -> None:
        """See `ClusterServices`."""
        self._services.abandoned_attempt_finished(request_id, backend_id)
