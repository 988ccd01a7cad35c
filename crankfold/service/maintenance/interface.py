"""The interface between the maintenance agent and the admin API of maintenance."""

from typing import Protocol

from crankfold.cluster.node import ClusterNode
from crankfold.consensus.voter import Voter
from crankfold.maintenance.coordinator import Coordinator
from crankfold.maintenance.scheduler import Machine
from crankfold.maintenance.specification import JobSpecification
from crankfold.maintenance.state import MaintenanceState
from crankfold.service.requests.handler import RequestHandler


class MaintenanceStatus(Protocol):
    """The maintenance agent as the admin API uses it.

    Attributes:
        request_handler: The request handler of this process.
        cluster_node: Holds the replicated state and accepts proposals.
        coordinator: Holds the wait reasons while this member is the leader.
        restored_locally: The ids of machines that are restored at this dispatcher only.
    """

    request_handler: RequestHandler
    cluster_node: ClusterNode
    coordinator: Coordinator
    restored_locally: set[str]

    @property
    def state(self) -> MaintenanceState:
        """The replicated state of maintenance that this member has applied."""

    def jobs(self) -> dict[str, JobSpecification]:
        """Returns the newest version of the jobs, by name."""

    def machines(self) -> list[Machine]:
        """Returns the backends as the machines of maintenance jobs."""

    def dispatchers(self, member: Voter, now: int) -> list[Machine]:
        """Returns the members of the cluster as the machines of jobs on dispatchers.

        `now` is in ticks of the boot clock.
        """

    def restore_locally(self, machine_id: str) -> None:
        """Restores a machine at this dispatcher only, until this dispatcher holds a lease again."""
