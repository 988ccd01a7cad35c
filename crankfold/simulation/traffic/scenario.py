"""The scenario of a simulated fleet, and the objects that all parts of the fleet share."""

from collections.abc import Callable
from dataclasses import dataclass

from crankfold.routing.interface import RoutingActions, RoutingConfig, RoutingEvents
from crankfold.simulation.event_queue import EventQueue
from crankfold.simulation.traffic.faults import Fault
from crankfold.simulation.traffic.invariants import InvariantChecker
from crankfold.time_units import TICKS_PER_SECOND

START = TICKS_PER_SECOND  # ticks; a scenario starts after 0, as 0 means "never" in timestamps
ZONE_COUNT = 3
CELL_COUNT = 2 * ZONE_COUNT
# Creates a policy from its configuration, a seed and the actions that it may take.
PolicyFactory = Callable[[RoutingConfig, int, RoutingActions], RoutingEvents]


@dataclass(frozen=True, slots=True)
class Scenario:
    """Size, load and faults of a fleet. Times are ticks unless a field states another unit."""

    dispatcher_count: int = 3
    backend_count: int = 9
    slots_per_backend: int = 4
    queue_capacity: int = 40  # requests in the queue of a backend
    arrival_rate: float = 10.0  # requests a second at each dispatcher
    mean_service_time: int = 2_000  # on a warm backend, exponentially distributed
    seconds: int = 10
    network_delay: int = 5  # one way
    cross_zone_delay: int = 5  # one way, between zones
    client_retries: int = 0  # per request, after shed answers
    retry_delay: int = 100
    report_interval: int = TICKS_PER_SECOND
    discovery_delay: int = TICKS_PER_SECOND
    seed: int = 1
    faults: tuple[Fault, ...] = ()


@dataclass(frozen=True, slots=True)
class FleetContext:
    """The objects that backends, dispatchers and faults of one fleet share."""

    scenario: Scenario
    config: RoutingConfig
    events: EventQueue
    invariants: InvariantChecker


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request that a client sends, or a retry of it."""

    service_time: int  # ticks on a warm backend
    arrived_at: int  # ticks; arrival of the first try
    tries: int = 0  # number of earlier tries


def zone_of(index: int) -> int:
    """Returns the zone of the backend or dispatcher with this index."""
    return index % ZONE_COUNT


def cell_of(backend: int) -> int:
    """Returns the cell of a backend; a cell is a part of a zone."""
    return backend % CELL_COUNT
