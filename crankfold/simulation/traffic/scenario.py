"""The day that a simulated fleet plays, and what all parts of the fleet share."""

from collections.abc import Callable
from dataclasses import dataclass

from crankfold.routing.interface import RoutingActions, RoutingConfig, RoutingEvents
from crankfold.simulation.event_queue import EventQueue
from crankfold.simulation.traffic.faults import Fault
from crankfold.simulation.traffic.invariants import InvariantChecker
from crankfold.time_units import TICKS_PER_SECOND

START = TICKS_PER_SECOND  # the time when the day begins: 0 stands for long ago
ZONE_COUNT = 3
CELL_COUNT = 2 * ZONE_COUNT
PolicyFactory = Callable[[RoutingConfig, int, RoutingActions], RoutingEvents]  # the number is a seed


@dataclass(frozen=True, slots=True)
class Scenario:
    """A day of a fleet. Times are ticks where nothing else is said."""

    dispatcher_count: int = 3
    backend_count: int = 9
    slots_per_backend: int = 4
    queue_capacity: int = 40  # places behind the slots of a backend
    arrival_rate: float = 10.0  # requests a second at each dispatcher
    mean_service_time: int = 2_000  # on a warm backend, exponential
    seconds: int = 10
    network_delay: int = 5  # one way
    cross_zone_delay: int = 5  # the same between zones
    client_retries: int = 0  # of a client whose request was shed, while its time lasts
    retry_delay: int = 100
    report_interval: int = TICKS_PER_SECOND
    discovery_delay: int = TICKS_PER_SECOND
    seed: int = 1
    faults: tuple[Fault, ...] = ()


@dataclass(frozen=True, slots=True)
class FleetContext:
    """What backends, dispatchers and faults of one fleet share."""

    scenario: Scenario
    config: RoutingConfig
    events: EventQueue
    invariants: InvariantChecker


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request as its client sends it, for the first time or again."""

    service_time: int  # on a warm backend
    arrived_at: int  # for the first time
    tries: int = 0  # before this one


def zone_of(index: int) -> int:
    """The zone of a backend or a dispatcher."""
    return index % ZONE_COUNT


def cell_of(backend: int) -> int:
    """The cell of a backend, a part of its zone."""
    return backend % CELL_COUNT
