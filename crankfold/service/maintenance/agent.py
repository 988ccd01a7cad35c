"""Maintenance at one dispatcher: reports its observations, and proposes transitions while it is the leader.

The decisions are made in `crankfold/maintenance/`. This module is imported only once there is a maintenance
job.
"""

import logging
from collections.abc import Callable, Collection
from functools import partial

from crankfold.cluster.node import ClusterNode
from crankfold.consensus.maintenance_reports import ClusterReport
from crankfold.consensus.messages import MaintenanceReport
from crankfold.consensus.reported_fleet import add_reports
from crankfold.consensus.voter import Voter
from crankfold.document_names import MAINTENANCE
from crankfold.maintenance import specification
from crankfold.maintenance.coordinator import Coordinator
from crankfold.maintenance.fleet_view import Area, FleetView
from crankfold.maintenance.scheduler import Machine
from crankfold.maintenance.state import (
    DISPATCHER_PREFIX,
    MaintenanceState,
    dispatcher_id,
    is_dispatcher_id,
)
from crankfold.maintenance.transitions import MaintenancePhase, TransitionDocument, coordinator_document
from crankfold.network.metrics import Metrics
from crankfold.routing.interface import DeduplicationScope, Idempotency, Outcome
from crankfold.service.admin_service import AdminService
from crankfold.service.maintenance.admin import MaintenanceAdmin
from crankfold.service.maintenance.commands import CommandExecutor
from crankfold.service.maintenance.machine_inventory import MachineInventory, dispatcher_machines
from crankfold.service.maintenance.observations import MaintenanceObservations
from crankfold.service.requests.handler import RequestHandler
from crankfold.service.wall_clock import wall_clock_ms
from crankfold.time_units import TICKS_PER_SECOND

logger = logging.getLogger(__name__)

MAX_ENDPOINT_LIST_AGE = 15 * TICKS_PER_SECOND  # no machine is taken out while the list is older
AREA_OF_SCOPE = {DeduplicationScope.ZONE: Area.ZONE, DeduplicationScope.CELL: Area.CELL}


class MaintenanceAgent:
    """Connects the maintenance decisions to requests, the cluster node and commands at this dispatcher.

    Args:
        request_handler: The request handler of this process.
        admin_service: Drains this process for a job on dispatchers.
        cluster_node: Holds the replicated state and accepts proposals.
        metrics: The counters of this process.
        endpoint_list_age: Returns the ticks since the last answer of discovery.
        machines_out_changed: Called when `machines_out` changes without a change of the replicated state.
    """

    def __init__(
        self,
        request_handler: RequestHandler,
        admin_service: AdminService,
        cluster_node: ClusterNode,
        *,
        metrics: Metrics,
        endpoint_list_age: Callable[[], int],
        machines_out_changed: Callable[[], None],
    ) -> None:
        self.request_handler = request_handler
        self.admin_service = admin_service
        self.cluster_node = cluster_node
        self.metrics = metrics
        self.endpoint_list_age = endpoint_list_age
        self.machines_out_changed = machines_out_changed
        self.coordinator = Coordinator(cluster_node.consensus.name)
        self.inventory = MachineInventory(request_handler.backends)
        self.observations = MaintenanceObservations(request_handler, metrics.counters)
        self.commands = CommandExecutor(cluster_node, request_handler.backends)
        self.admin = MaintenanceAdmin(self)
        self.out_of_service = False  # whether a job on dispatchers drains this process
        self.dispatcher_zones: dict[str, str] = {}  # by dispatcher name, as last reported
        self.restored_locally: set[str] = set()  # machine ids
        self._jobs: dict[str, specification.JobSpecification] = {}
        self._jobs_version = -1

    @property
    def state(self) -> MaintenanceState:
        """The replicated state of maintenance that this member has applied."""
        return self.cluster_node.consensus.documents.replicated.maintenance

    def jobs(self) -> dict[str, specification.JobSpecification]:
        """Returns the newest version of the jobs, by name."""
        document = self.cluster_node.consensus.documents.document(MAINTENANCE)
        if document.latest_number() != self._jobs_version:
            self._jobs_version = document.latest_number()
            try:
                self._jobs = specification.parse_jobs(document.versions[-1].text) if document.versions else {}
            except ValueError as error:  # members with another program version have validated it
                logger.warning(
                    "job document not valid for this version of the program: %s",
                    error,
                    extra={"category": "maintenance"},
                )
                self._jobs = {}
        return self._jobs

    def machines(self) -> list[Machine]:
        """Returns the backends as the machines of maintenance jobs."""
        return self.inventory.machines(self.state)

    def dispatchers(self, member: Voter, now: int) -> list[Machine]:
        """Returns the members of the cluster as the machines of jobs on dispatchers.

        `now` is in ticks of the boot clock.
        """
        return dispatcher_machines(member, now, self.dispatcher_zones)

    def machines_out(self) -> set[str]:
        """Returns the ids of the machines that this dispatcher sends no requests to."""
        return self.state.out_of_rotation() - self.restored_locally

    def restore_locally(self, machine_id: str) -> None:
        """Restores a machine at this dispatcher only, until this dispatcher holds a lease again."""
        self.restored_locally.add(machine_id)
        self.metrics.increment("machines-restored-locally")
        logger.info(
            "maintenance: %s restored at this dispatcher only, while isolated; work may be in progress",
            machine_id,
        )
        self.machines_out_changed()

    def close(self) -> None:
        """Kills the commands of this dispatcher."""
        self.commands.close()

    # --- events of attempts ---

    def attempt_abandoned(self, backend_id: str, request_id: str) -> None:
        """Records that an attempt was abandoned; the backend may still execute it."""
        self.observations.attempt_abandoned(backend_id, request_id)

    def abandoned_attempt_finished(self, request_id: str, backend_id: str) -> None:
        """Records that the backend confirmed the end of an abandoned attempt."""
        self.observations.abandoned_attempt_finished(request_id, backend_id)

    def attempt_finished(self, backend: int, outcome: Outcome) -> None:
        """Records the outcome of an attempt at the backend with that index."""
        backend_id = self.request_handler.backends.backend_ids.names[backend]
        self.observations.attempt_finished(backend_id, outcome)

    # --- the replicated state ---

    def state_changed(self) -> None:
        """Applies the replicated state: drains or resumes this process, and starts commands that are due."""
        machines = self.state.machines
        out_of_rotation = self.state.out_of_rotation()
        self.observations.state_changed(
            {
                machine_id: machine.last_index
                for machine_id, machine in machines.items()
                if machine.phase == MaintenancePhase.RETURNING
            }
        )
        self.restored_locally &= out_of_rotation
        is_out = dispatcher_id(self.cluster_node.consensus.name) in out_of_rotation
        if is_out and not self.out_of_service:
            self.admin_service.service_drain.start()
        elif not is_out and self.out_of_service:
            self.admin_service.service_drain.end()
        self.out_of_service = is_out
        self.commands.start_due(self.state, self.jobs())

    def build_report(self) -> MaintenanceReport | None:
        """Returns the report that each lease request carries; None while there is no maintenance.

        Also starts commands that are due, and ends local restorations once this member holds a lease.
        """
        if not self.jobs() and not self.state.machines:
            return None
        if self.restored_locally and self.cluster_node.has_lease():
            self.restored_locally.clear()  # the replicated state is in force again
            self.machines_out_changed()
        self.commands.start_due(self.state, self.jobs())
        report = MaintenanceReport()
        out_of_rotation = self.state.out_of_rotation()
        self.observations.fill_report(report, out_of_rotation)
        report.unavailable = [
            machine.machine_id
            for machine in self.machines()
            if not machine.available and machine.machine_id not in out_of_rotation
        ]
        name = self.cluster_node.consensus.name
        if self.cluster_node.config.zone:
            report.dispatcher_zones = {name: self.cluster_node.config.zone}
        if self.out_of_service and not self.request_handler.open_request_count():
            report.idle_dispatchers = [name]
        return report

    # --- as the leader ---

    def propose_transitions(self, now: int) -> list[TransitionDocument]:
        """Returns the transitions to propose; none unless this member is the leader and holds a lease.

        `now` is in ticks of the boot clock.
        """
        member = self.cluster_node.consensus
        if not isinstance(member, Voter) or (not self.jobs() and not self.state.machines):
            return []
        if not member.is_leader() or not self.cluster_node.has_lease():
            self.coordinator.observe(now, self.state, self.machines())
            self.coordinator.wait_reasons = ()
            return []
        return [
            coordinator_document(transition)
            for transition in self.coordinator.propose(self._fleet_view(member, now))
        ]

    def _fleet_view(self, member: Voter, now: int) -> FleetView:
        """Returns the inputs of the coordinator's decisions."""
        cluster_report = member.cluster_report(now)
        self.dispatcher_zones |= cluster_report.combined.dispatcher_zones
        dispatchers = self.dispatchers(member, now)
        available = {machine.machine_id for machine in dispatchers if machine.available}
        view = FleetView(
            now=now,
            wall_ms=wall_clock_ms(),
            jobs_version=member.documents.document(MAINTENANCE).latest_number(),
            jobs=dict(self.jobs()),
            state=self.state,
            machines=self.machines(),
            dispatchers=dispatchers,
            stale_reason=self._stale_reason(),
            blocking_holders=partial(_blocking_reason, member.name, cluster_report, available),
            warm_up_ticks=self.request_handler.config.slow_start_duration,
            deduplication_scopes=self._deduplication_areas(),
        )
        return add_reports(view, member, cluster_report)

    def _stale_reason(self) -> str:
        """Returns why the endpoint list is too old for decisions; empty if it is not."""
        age = self.endpoint_list_age()
        if age <= MAX_ENDPOINT_LIST_AGE:
            return ""
        return f"the list was not heard of for {age // TICKS_PER_SECOND} s"

    def _deduplication_areas(self) -> list[Area]:
        """Returns the areas that retries of requests with an idempotency key must not leave."""
        return sorted(
            {
                AREA_OF_SCOPE[request_class.deduplication_scope]
                for request_class in self.request_handler.request_classes.classes
                if request_class.idempotency == Idempotency.IDEMPOTENT_WITH_KEY
                and request_class.deduplication_scope in AREA_OF_SCOPE
            }
        )


def _blocking_reason(
    own_name: str,
    cluster_report: ClusterReport,
    available_dispatchers: Collection[str],
    machine_id: str,
    index: int,
) -> str:
    """Returns why a machine that is out may still have requests; empty if it has none.

    The text is shown to operators as a wait reason.

    Args:
        own_name: The name of this dispatcher.
        cluster_report: The reports of all dispatchers.
        available_dispatchers: Machine ids of dispatchers that hold a lease and are up to date.
        machine_id: The machine id of a backend or a dispatcher.
        index: The log index of the transition that took the machine out.
    """
    if not is_dispatcher_id(machine_id):
        return cluster_report.blocking_reason(machine_id, index)
    name = machine_id.removeprefix(DISPATCHER_PREFIX)
    is_running = name == own_name or machine_id in available_dispatchers
    has_requests = name not in cluster_report.combined.idle_dispatchers
    return "it has units in hand" if is_running and has_requests else ""
