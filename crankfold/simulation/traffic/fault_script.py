"""Schedules the faults of a scenario in a simulated fleet."""

from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from crankfold.routing.interface import EndpointState
from crankfold.simulation.event_queue import EventQueue
from crankfold.simulation.traffic.backend import SimulatedBackend
from crankfold.simulation.traffic.dispatcher import SimulatedDispatcher
from crankfold.simulation.traffic.faults import Fault, FaultKind, affected_indices
from crankfold.simulation.traffic.scenario import START, Scenario, zone_of
from crankfold.time_units import TICKS_PER_SECOND

DRAIN_TICKS = TICKS_PER_SECOND  # how long a backend drains in a rolling release
RESTART_TICKS = TICKS_PER_SECOND // 2  # from the removal of the old backend until its replacement is ready
TENTHS_PER_SECOND = 10  # the unit of the factor of CLIENTS_LEAVE is a tenth of a second
DISPATCHER_FAULTS = frozenset(
    {FaultKind.DISPATCHERS_KILLED, FaultKind.DISPATCHERS_STALLED, FaultKind.SILENT_WATCH}
)


@dataclass(slots=True)
class FleetConditions:
    """Conditions of the fleet that faults change. Times are ticks."""

    arrival_rate: float  # requests a second at each dispatcher
    discovery_resumes_at: int = 0
    silent_watchers: frozenset[int] = frozenset()  # dispatchers whose watches deliver late
    silence_duration: int = 0  # delay of those deliveries
    departure_rate: float = 0.0  # share of the clients that disconnect without waiting for the answer
    departure_delay: int = 0  # from the request to the disconnection


class FaultyFleet(Protocol):
    """The part of a fleet that fault injection uses."""

    scenario: Scenario
    events: EventQueue
    conditions: FleetConditions
    backends: list[SimulatedBackend]
    dispatchers: list[SimulatedDispatcher]

    def change_state(self, at: int, backend: int, state: EndpointState, since: int = 0) -> None:
        """Schedules a change of a backend's state; see `SimulatedFleet.change_state`."""

    def kill_dispatcher(self, index: int) -> None:
        """Kills a dispatcher."""

    def restart_dispatcher(self, index: int) -> None:
        """Restarts a killed dispatcher."""


class FaultScript:
    """Schedules the start and the end of each fault."""

    def __init__(self, fleet: FaultyFleet) -> None:
        self.fleet = fleet

    def schedule(self, fault: Fault) -> None:
        """Schedules the effects of a fault."""
        fleet = self.fleet
        begin = START + int(fault.at * TICKS_PER_SECOND)
        end = START + int(fault.until * TICKS_PER_SECOND)
        if fault.kind is FaultKind.ROLLING_RELEASE:
            self._schedule_release(fault, begin, end)
            return
        if fault.kind is FaultKind.ZONE_LOSS:
            self._schedule_zone_loss(fault, begin, end)
            return
        count = len(fleet.dispatchers if fault.kind in DISPATCHER_FAULTS else fleet.backends)
        affected = affected_indices(fault, fleet.scenario.seed, count)
        for is_on, at in ((True, begin), (False, end)):
            switch = partial(self._switch, fault, affected, is_on=is_on, end=end)
            fleet.events.schedule(at - fleet.events.now, switch)

    def _schedule_release(self, fault: Fault, begin: int, end: int) -> None:
        """Schedules the replacement of the affected backends, one after another, evenly over the period."""
        fleet = self.fleet
        released = affected_indices(fault, fleet.scenario.seed, len(fleet.backends))
        for position, backend in enumerate(released):
            drains_at = begin + (end - begin) * position // len(released)
            removed_at = drains_at + DRAIN_TICKS
            back_at = removed_at + RESTART_TICKS
            fleet.change_state(drains_at, backend, EndpointState.DRAINING)
            fleet.change_state(removed_at, backend, EndpointState.REMOVED)
            fleet.change_state(back_at, backend, EndpointState.READY, since=back_at)

    def _schedule_zone_loss(self, fault: Fault, begin: int, end: int) -> None:
        fleet = self.fleet
        for backend in fleet.backends:
            if zone_of(backend.index) == fault.zone:
                fleet.change_state(begin, backend.index, EndpointState.REMOVED)
                fleet.events.schedule(begin - fleet.events.now, backend.terminate)
                fleet.change_state(end, backend.index, EndpointState.READY, since=end)

    def _switch(self, fault: Fault, affected: Sequence[int], *, is_on: bool, end: int) -> None:
        """Starts or ends a fault."""
        fleet = self.fleet
        if fault.kind is FaultKind.DISPATCHERS_KILLED:
            for index in affected:
                if is_on:
                    fleet.kill_dispatcher(index)
                else:
                    fleet.restart_dispatcher(index)
        elif fault.kind is FaultKind.DISPATCHERS_STALLED:
            for index in affected:
                fleet.dispatchers[index].stalled_until = end if is_on else 0
        elif fault.kind in (
            FaultKind.BURST,
            FaultKind.SILENT_WATCH,
            FaultKind.CLIENTS_LEAVE,
            FaultKind.DISCOVERY_DOWN,
        ):
            self._switch_condition(fault, affected, is_on=is_on, end=end)
        else:
            for index in affected:
                _switch_backend(fleet.backends[index], fault, is_on=is_on)

    def _switch_condition(self, fault: Fault, affected: Sequence[int], *, is_on: bool, end: int) -> None:
        conditions = self.fleet.conditions
        if fault.kind is FaultKind.BURST:
            factor = fault.factor if is_on else 1.0
            conditions.arrival_rate = self.fleet.scenario.arrival_rate * factor
        elif fault.kind is FaultKind.SILENT_WATCH:
            conditions.silent_watchers = frozenset(affected if is_on else ())
            conditions.silence_duration = int(fault.factor * TICKS_PER_SECOND)
        elif fault.kind is FaultKind.CLIENTS_LEAVE:
            conditions.departure_rate = fault.share if is_on else 0.0
            conditions.departure_delay = int(fault.factor * TICKS_PER_SECOND / TENTHS_PER_SECOND)
        else:
            conditions.discovery_resumes_at = end if is_on else 0


def _switch_backend(backend: SimulatedBackend, fault: Fault, *, is_on: bool) -> None:
    if fault.kind is FaultKind.SLOW:
        backend.slowdown = fault.factor if is_on else 1.0
    elif fault.kind is FaultKind.ERRORS:
        backend.error_rate = min(fault.factor, 1.0) if is_on else 0.0
    elif fault.kind is FaultKind.HANG:
        backend.unresponsive = is_on
    elif fault.kind is FaultKind.STALE_REPORTS:
        backend.reports_frozen = is_on
    else:
        backend.dead = is_on
        if is_on:
            backend.terminate()
