"""Records when a voter first observed machines, transitions and starts."""

from collections.abc import Sequence
from dataclasses import dataclass

from crankfold.maintenance.scheduler import Machine
from crankfold.maintenance.state import MaintenanceState


@dataclass(frozen=True, slots=True)
class ReadyStart:
    """A start of a machine that is listed as ready."""

    started_at: int  # as listed
    since: int  # when it was first observed


class Observations:
    """The observations of one voter. Every voter records its own, so that each can take over as the leader.

    Times are ticks of the voter's clock.
    """

    def __init__(self) -> None:
        """Starts without observations."""
        self.first_observed_at: int | None = None
        self._first_seen: dict[str, int] = {}  # by machine: when an endpoint list first contained it
        self._known_since: dict[tuple[str, int], int] = {}  # by machine and index of its last transition
        self._out_since: dict[tuple[str, int], int] = {}  # by machine and index of its draining
        self._ready: dict[str, ReadyStart] = {}

    def observe(self, now: int, state: MaintenanceState, machines: Sequence[Machine]) -> None:
        """Records new machines and transitions, and drops those of ended maintenance."""
        if self.first_observed_at is None:
            self.first_observed_at = now
        for machine in machines:
            self._first_seen.setdefault(machine.machine_id, now)
        out = [(machine_id, record.out_index) for machine_id, record in state.machines.items()]
        known = [(machine_id, record.last_index) for machine_id, record in state.machines.items()]
        self._out_since = {key: self._out_since.get(key, now) for key in out}
        self._known_since = {key: self._known_since.get(key, now) for key in known}
        self._ready = {
            machine_id: start for machine_id, start in self._ready.items() if machine_id in state.machines
        }

    def track_ready(self, now: int, machine_id: str, machine: Machine | None) -> None:
        """Records whether a machine in maintenance is ready; `machine` is None if it is not."""
        if machine is None:
            self._ready.pop(machine_id, None)
            return
        start = self._ready.get(machine_id)
        if start is None or start.started_at != machine.started_at:
            self._ready[machine_id] = ReadyStart(machine.started_at, now)

    def known_since(self, machine_id: str, last_index: int) -> int:
        """Returns when this voter first observed the machine's last transition."""
        return self._known_since[machine_id, last_index]

    def out_since(self, machine_id: str, out_index: int) -> int:
        """Returns when this voter first observed the draining of the machine."""
        return self._out_since[machine_id, out_index]

    def first_seen(self, machine_id: str) -> int:
        """Returns when this voter first observed the machine on an endpoint list."""
        return self._first_seen[machine_id]

    def ready_since(self, machine_id: str) -> int:
        """Returns since when this voter has observed the current start of the machine as ready."""
        return self._ready[machine_id].since
