"""The machines that maintenance jobs may cover: listed backends and the members of the cluster."""

from crankfold.cluster.clock import boottime_ticks
from crankfold.consensus.leases import LeaseHolderState
from crankfold.consensus.voter import Voter
from crankfold.maintenance.scheduler import FOLLOWER, VOTER, Machine
from crankfold.maintenance.state import MaintenanceState, dispatcher_id
from crankfold.maintenance.transitions import MaintenancePhase
from crankfold.routing.interface import EndpointState
from crankfold.service.backends.registry import BackendRecord, BackendRegistry
from crankfold.time_units import TICKS_PER_SECOND

MISSING_MACHINE_PERIOD = 600 * TICKS_PER_SECOND  # a machine missing from the list for longer is omitted
MAX_LOG_LAG = 50  # log entries; a dispatcher that lags by more is not available


class MachineInventory:
    """The backends as machines, with those that have been missing from the endpoint list for a short time."""

    def __init__(self, backend_registry: BackendRegistry) -> None:
        self.backend_registry = backend_registry
        self.missing_since: dict[str, int] = {}  # ticks of the boot clock, by machine id

    def machines(self, state: MaintenanceState) -> list[Machine]:
        """Returns the listed machines, and the missing ones that were not replaced."""
        machines = []
        for backend, record in enumerate(self.backend_registry.records):
            machine_id = self.backend_registry.backend_ids.names[backend]
            if record.endpoint.state != EndpointState.REMOVED:
                self.missing_since.pop(machine_id, None)
            elif self._is_missing_too_long(machine_id):
                continue
            machines.append(self._machine(machine_id, record, state))
        replaced = {
            transition.machine_id
            for transition in state.transitions
            if transition.phase == MaintenancePhase.REPLACED
        }
        return [machine for machine in machines if machine.discovered or machine.machine_id not in replaced]

    def _machine(self, machine_id: str, record: BackendRecord, state: MaintenanceState) -> Machine:
        endpoint = record.endpoint
        config = self.backend_registry.config
        return Machine(
            machine_id=machine_id,
            zone=config.zones.names[endpoint.zone],
            instance_type=config.instance_types.names[endpoint.instance_type],
            cell=str(endpoint.cell),
            size=endpoint.weight or 1.0,
            started_at=record.address.announced_start(),
            available=endpoint.state == EndpointState.READY
            and not self._is_drained_manually(machine_id, state),
            discovered=endpoint.state != EndpointState.REMOVED,
        )

    def _is_missing_too_long(self, machine_id: str) -> bool:
        now = boottime_ticks()
        return now - self.missing_since.setdefault(machine_id, now) > MISSING_MACHINE_PERIOD

    def _is_drained_manually(self, machine_id: str, state: MaintenanceState) -> bool:
        """Whether a manual drain, not a maintenance job, drains the machine here or cluster-wide."""
        registry = self.backend_registry
        if machine_id in registry.manual_drains.drained_since:
            return True
        return machine_id in registry.cluster_drains.drained_since and machine_id not in state.machines


def dispatcher_machines(member: Voter, now: int, zones: dict[str, str]) -> list[Machine]:
    """Returns the members of the cluster that a voter knows, as machines.

    The `started_at` of such a machine is the incarnation of its process.

    Args:
        member: The voter.
        now: In ticks of the boot clock.
        zones: The zones of dispatchers, by dispatcher name.
    """
    statuses = [(member.name, member.incarnation, member.last_applied, True)]
    for holder in [*member.leases.statuses(now), *member.remote_lease_holders.all()]:
        is_alive = holder.state == LeaseHolderState.ALIVE
        statuses.append((holder.name, holder.incarnation, holder.last_applied, is_alive))
    machines: dict[str, Machine] = {}
    for name, incarnation, last_applied, is_alive in statuses:
        available = is_alive and last_applied >= member.last_applied - MAX_LOG_LAG
        known = machines.get(name)
        if known is None or (available and not known.available):
            machines[name] = _dispatcher_machine(member, name, incarnation, available, zones)
    for name in member.raft.voters:
        if name not in machines:
            machines[name] = _dispatcher_machine(member, name, 0, False, zones)
    return list(machines.values())


def _dispatcher_machine(
    member: Voter, name: str, incarnation: int, available: bool, zones: dict[str, str]
) -> Machine:
    return Machine(
        machine_id=dispatcher_id(name),
        zone=zones.get(name, ""),
        instance_type=VOTER if name in member.raft.voters else FOLLOWER,
        started_at=incarnation,
        available=available,
    )
