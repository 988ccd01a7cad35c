"""What this instance knows of each backend: one typed record each, in the order of their indices.

Times are ticks of 0.1 ms; a slot is room for one request of the usual size.
"""

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from crankfold.routing.interface import Endpoint, EndpointState
from crankfold.time_units import TICKS_PER_SECOND

REPORT_DELAY = 4 * TICKS_PER_SECOND // 10  # ticks between the taking of a load report and its arrival
NEVER = -(1 << 62)  # before every time that is told


class SlotChange(NamedTuple):
    """Own slots taken at a backend (positive) or freed there (negative)."""

    at: int  # ticks
    slots: float


class Backend:
    """One backend, as the list, the load reports and the own attempts show it."""

    __slots__ = (
        "announced_weight",
        "capacity",
        "cell",
        "ejected_until",
        "ejection_time",
        "error_rate",
        "hash_position",
        "hinted_work_sum",
        "index",
        "instance_type",
        "last_seen_at",
        "load",
        "overloaded_until",
        "own_share",
        "own_slots",
        "probe_in_flight",
        "recent_changes",
        "report",
        "reported_at",
        "reported_queue",
        "run_time_sum",
        "score_factor",
        "slow_start_next",
        "started_at",
        "state",
        "unstarted",
        "utilization",
        "warm_from",
        "weight",
        "zone",
    )

    def __init__(self, index: int, now: int) -> None:
        """Makes the record of a backend that is first heard of at `now` ticks."""
        # Over 30 lines as there is one for each field; a dataclass would cost each start a millisecond.
        self.index = index
        self.state = EndpointState.REMOVED
        self.zone = 0
        self.cell = 0
        self.instance_type = 0
        self.hash_position = 0.0  # below 1, the same at every instance
        self.started_at = 0  # by the list; 0 for long ago
        self.warm_from = 0  # end of its warm-up
        self.announced_weight = 0.0
        self.weight = 0.0  # size: the listed weight, without the load where weights follow the load
        self.utilization = 0.0  # requests for each core that a weight which follows the load shows
        self.capacity = 0.0  # slots; 0 while not known

        self.reported_queue = 0.0  # slots of work of others, by the reports
        self.own_slots = 0.0  # slots of work of this instance in flight there
        self.load = 0.0  # both together: what the score weighs
        self.report: Sequence[float] = ()
        self.reported_at = NEVER
        self.last_seen_at = now  # last sign of life
        self.probe_in_flight = False
        self.recent_changes: deque[SlotChange] = deque()

        self.run_time_sum = 0.0  # ticks, fading
        self.hinted_work_sum = 0.0  # ticks, fading: what those runs were announced to take
        self.score_factor = 0.0  # one over the weight, less what a slowed or warming backend lacks
        self.error_rate = 0.0  # share of attempts, fading
        self.ejection_time = 0  # length of the present ejection; 0 for a trusted backend
        self.ejected_until = 0
        self.overloaded_until = 0  # rests after it refused work or could not be reached
        self.unstarted = 0  # own attempts whose start is not notified yet
        self.own_share = 0.0  # of the slow-start budget that all instances share
        self.slow_start_next = 0  # when the budget allows the next request; 0 while not drawn

    def add_slots(self, now: int, slots: float) -> None:
        """Counts slots taken (positive) or freed (negative) by this instance's own attempts."""
        self.own_slots += slots
        self.load += slots
        self._forget_changes(now)
        self.recent_changes.append(SlotChange(now, slots))

    def blend_queue(self, now: int, seen: float, share: float) -> None:
        """Moves the estimate of others' work by `share` of the way to what a report shows.

        Args:
            now: The present time, ticks.
            seen: Slots of work that the report shows, own work included.
            share: From 0 (no move) to 1 (the report alone counts).
        """
        # What was sent or came back too lately for this report to count is still own work since the report.
        self._forget_changes(now)
        own_then = self.own_slots - sum(change.slots for change in self.recent_changes)
        self.reported_queue += share * (max(seen - own_then, 0.0) - self.reported_queue)
        self.load = self.reported_queue + self.own_slots

    def _forget_changes(self, now: int) -> None:
        oldest = now - REPORT_DELAY
        changes = self.recent_changes
        while changes and changes[0].at < oldest:
            changes.popleft()


Backends = list[Backend]


class BackendTable:
    """All backends that were ever listed, by index, and those that are ready."""

    def __init__(self, warm_up_time: int) -> None:
        """Starts without backends; each is taken to warm up for `warm_up_time` ticks after its start."""
        self.backends: Backends = []
        self.ready: Backends = []
        self._warm_up_time = warm_up_time
        self._largest_weight: dict[int, float] = {}  # of those listed, by instance type
        self._capacity: dict[int, float] = {}  # slots by instance type, as reports and starts show

    def update(self, now: int, endpoints: Sequence[Endpoint], *, snapshot: bool) -> None:
        """Takes a list over; ready backends that a snapshot does not name are removed."""
        if snapshot:
            for backend in self.ready:
                backend.state = EndpointState.REMOVED
        for endpoint in endpoints:
            while endpoint.backend >= len(self.backends):
                self.backends.append(Backend(len(self.backends), now))
            self._apply(self.backends[endpoint.backend], endpoint)
        self.ready = [backend for backend in self.backends if backend.state == EndpointState.READY]

    def _apply(self, backend: Backend, endpoint: Endpoint) -> None:
        if endpoint.started_at > backend.started_at:
            # A restarted process holds nothing of what its old self reported or was ejected for.
            backend.reported_queue = 0.0
            backend.error_rate = 0.0
            backend.load = backend.own_slots
            backend.ejection_time = 0
            backend.slow_start_next = 0
        backend.state = endpoint.state
        backend.announced_weight = endpoint.weight
        backend.weight = endpoint.weight if endpoint.weight > 0 else 1.0
        backend.zone = endpoint.zone
        backend.cell = endpoint.cell
        backend.started_at = endpoint.started_at
        backend.warm_from = endpoint.started_at + self._warm_up_time if endpoint.started_at else 0
        backend.hash_position = endpoint.hash_position
        backend.instance_type = endpoint.instance_type
        backend.capacity = self._capacity.get(endpoint.instance_type, 0.0)
        if endpoint.weight > 0:
            largest = self._largest_weight.get(endpoint.instance_type, 0.0)
            self._largest_weight[endpoint.instance_type] = max(largest, endpoint.weight)

    def separate_load(self, backend: Backend) -> None:
        """Takes a listed weight that follows the load apart.

        The size is the largest weight that was listed for the instance type, and what the listed weight lacks
        of it shows how many requests each core holds.
        """
        backend.weight = self._largest_weight.get(backend.instance_type, 1.0)
        announced = backend.announced_weight if backend.announced_weight > 0 else backend.weight
        backend.utilization = backend.weight / announced - 1.0

    def learn_capacity(self, backend: Backend, seen: float) -> None:
        """Raises the capacity to `seen` slots on each ready backend of the type, though never idle there."""
        if seen <= backend.capacity:
            return
        self._capacity[backend.instance_type] = seen
        for other in self.ready:
            if other.instance_type == backend.instance_type:
                other.capacity = seen
