"""Since when a voter has known of machines and transitions: all that a coordinator remembers of them."""

from collections.abc import Sequence
from dataclasses import dataclass

from crankfold.maintenance.scheduler import Machine
from crankfold.maintenance.state import MaintenanceState


@dataclass(frozen=True, slots=True)
class ReadyStart:
    """A start of a machine that is listed as ready."""

    started_at: int  # as listed
    since: int  # when it was seen first; ticks of the voter's own clock


class Observations:
    """Kept by every voter, so that any one can go on where another was. Times are ticks of its own clock."""

    def __init__(self) -> None:
        """Begins with nothing observed."""
        self.first_observed_at: int | None = None
        self._first_seen: dict[str, int] = {}  # by machine, since when any list had it
        self._known_since: dict[tuple[str, int], int] = {}  # by machine and its last transition
        self._out_since: dict[tuple[str, int], int] = {}  # by machine and the transition by which it is out
        self._ready: dict[str, ReadyStart] = {}

    def observe(self, now: int, state: MaintenanceState, machines: Sequence[Machine]) -> None:
        """Takes note of what is new, and forgets what is over."""
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
        """Takes note of a machine in maintenance that is ready now; `machine` is None for one that is not."""
        if machine is None:
            self._ready.pop(machine_id, None)
            return
        start = self._ready.get(machine_id)
        if start is None or start.started_at != machine.started_at:
            self._ready[machine_id] = ReadyStart(machine.started_at, now)

    def known_since(self, machine_id: str, last_index: int) -> int:
        """When the machine's last transition was known here first."""
        return self._known_since[machine_id, last_index]

    def out_since(self, machine_id: str, out_index: int) -> int:
        """When the transition by which the machine is out was known here first."""
        return self._out_since[machine_id, out_index]

    def first_seen(self, machine_id: str) -> int:
        """When any list had the machine first."""
        return self._first_seen[machine_id]

    def ready_since(self, machine_id: str) -> int:
        """When the present start of a machine was seen as ready first."""
        return self._ready[machine_id].since
