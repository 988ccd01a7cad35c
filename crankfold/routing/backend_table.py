"""The table of backends: a record for each backend that was ever listed, by its index.

Times and durations are ticks. A slot is the capacity for one request of usual size.
"""

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from crankfold.routing.interface import Endpoint, EndpointState
from crankfold.routing.smoothing import exponential_average
from crankfold.time_units import TICKS_PER_SECOND

REPORT_DELAY_TICKS = 4 * TICKS_PER_SECOND // 10  # from the creation of a load report to its arrival
NEVER = -(1 << 62)  # a tick before every event
# The entry of a backend that is not in any list yet.
UNLISTED = Endpoint(-1, EndpointState.REMOVED, weight=0.0, zone=0, cell=0, started_at=0)


class SlotChange(NamedTuple):
    """Slots that this instance takes at a backend (positive) or frees there (negative)."""

    at: int  # ticks
    slots: float


class Backend:
    """What is known of a backend from the endpoint list, its load reports and this instance's attempts."""

    __slots__ = (
        "backoff_until",
        "capacity",
        "ejected_until",
        "ejection_time",
        "endpoint",
        "error_rate",
        "hinted_work_sum",
        "index",
        "last_seen_at",
        "load",
        "own_attempts",
        "own_slots",
        "probe_in_flight",
        "recent_changes",
        "report",
        "reported_at",
        "reported_queue",
        "run_time_sum",
        "score_factor",
        "slow_start_next",
        "slow_start_share",
        "state",
        "unstarted",
        "utilization",
        "warm_from",
        "weight",
        "zone",
    )

    def __init__(self, index: int, now: int) -> None:
        """Creates the record of a backend that is first listed at `now` ticks."""
        self.index = index
        self.endpoint = UNLISTED  # the newest entry of the endpoint list
        self.state = EndpointState.REMOVED  # state in the entry; REMOVED if the last snapshot has none
        self.zone = 0  # zone in the entry, copied because it is read for each candidate
        self.warm_from = 0  # end of its warm-up; 0 if its start is unknown
        self.weight = 0.0  # size: the listed weight, less the load if listed weights follow the load
        self.utilization = 0.0  # requests per core, from a listed weight that follows the load
        self.capacity = 0.0  # slots; 0 while unknown
        self.reported_queue = 0.0  # slots of work of other instances, estimated from reports
        self.own_attempts = 0  # attempts of this instance in flight
        self.own_slots = 0.0  # slots of these attempts; may keep a rounding residue
        self.load = 0.0  # sum of reported_queue and own_slots
        self.report: Sequence[float] = ()
        self.reported_at = NEVER
        self.last_seen_at = now  # last response or notification
        self.probe_in_flight = False
        self.recent_changes: deque[SlotChange] = deque()

        self.run_time_sum = 0.0  # decaying sum over completed hinted requests
        self.hinted_work_sum = 0.0  # decaying sum over the same requests
        self.score_factor = 0.0  # one over the weight; larger for a slow or warming backend
        self.error_rate = 0.0  # moving average, from 0 to 1
        self.ejection_time = 0  # length of the latest ejection; 0 for a trusted backend
        self.ejected_until = 0
        self.backoff_until = 0  # end of the backoff after it refused a request or was unreachable
        self.unstarted = 0  # own attempts whose start the backend has not notified
        self.slow_start_share = 0.0  # own share of the slow-start budget of all instances
        self.slow_start_next = 0  # when the budget allows the next attempt; 0 until the first time is drawn

    def attempt_sent(self, now: int, slots: float) -> None:
        """Counts an attempt of this instance and its slots at tick `now`."""
        self.own_attempts += 1
        self._add_slots(now, slots)

    def attempt_ended(self, now: int, slots: float) -> None:
        """Removes an ended attempt of this instance and its slots at tick `now`."""
        self.own_attempts -= 1
        self._add_slots(now, -slots)

    def _add_slots(self, now: int, slots: float) -> None:
        self.own_slots += slots
        self.load += slots
        self._drop_old_changes(now)
        self.recent_changes.append(SlotChange(now, slots))

    def update_reported_queue(self, now: int, reported: float, weight: float) -> None:
        """Updates the estimate of other instances' work from a report.

        The own work at the time of the report, REPORT_DELAY_TICKS ago, is subtracted from it.

        Args:
            now: Ticks.
            reported: Slots of work in the report, including this instance's own work.
            weight: Weight of the report in the estimate, from 0 (no effect) to 1 (only the report counts).
        """
        self._drop_old_changes(now)
        own_then = self.own_slots - sum(change.slots for change in self.recent_changes)
        others = max(reported - own_then, 0.0)
        self.reported_queue = exponential_average(self.reported_queue, others, weight)
        self.load = self.reported_queue + self.own_slots

    def _drop_old_changes(self, now: int) -> None:
        oldest = now - REPORT_DELAY_TICKS
        changes = self.recent_changes
        while changes and changes[0].at < oldest:
            changes.popleft()


Backends = list[Backend]


class BackendTable:
    """All backends that were ever listed, by index, and those that are ready."""

    def __init__(self, warm_up_time: int) -> None:
        """Creates an empty table; backends are in slow start for `warm_up_time` ticks after their start."""
        self.backends: Backends = []
        self.ready: Backends = []
        self._warm_up_time = warm_up_time
        self._largest_weight: dict[int, float] = {}  # largest listed weight, by instance type
        self._capacity: dict[int, float] = {}  # slots by instance type, from reports and own attempts

    def update(self, now: int, endpoints: Sequence[Endpoint], *, snapshot: bool) -> None:
        """Applies an endpoint list at tick `now`; ready backends not in a snapshot become REMOVED."""
        if snapshot:
            for backend in self.ready:
                backend.state = EndpointState.REMOVED
        for endpoint in endpoints:
            while endpoint.backend >= len(self.backends):
                self.backends.append(Backend(len(self.backends), now))
            self._apply(self.backends[endpoint.backend], endpoint)
        self.ready = [backend for backend in self.backends if backend.state == EndpointState.READY]

    def _apply(self, backend: Backend, endpoint: Endpoint) -> None:
        if endpoint.started_at > backend.endpoint.started_at:
            # The load, errors and ejection of the previous process do not apply to the restarted one.
            backend.reported_queue = 0.0
            backend.error_rate = 0.0
            backend.load = backend.own_slots
            backend.ejection_time = 0
            backend.slow_start_next = 0
        backend.endpoint = endpoint
        backend.state = endpoint.state
        backend.weight = endpoint.weight if endpoint.weight > 0 else 1.0
        backend.zone = endpoint.zone
        backend.warm_from = endpoint.started_at + self._warm_up_time if endpoint.started_at else 0
        backend.capacity = self._capacity.get(endpoint.instance_type, 0.0)
        if endpoint.weight > 0:
            largest = self._largest_weight.get(endpoint.instance_type, 0.0)
            self._largest_weight[endpoint.instance_type] = max(largest, endpoint.weight)

    def derive_size_and_utilization(self, backend: Backend) -> None:
        """Derives size and utilization from a listed weight that follows the load.

        The size is the largest weight that was listed for the instance type. The listed weight is the size
        divided by the number of requests per core plus one.
        """
        backend.weight = self._largest_weight.get(backend.endpoint.instance_type, 1.0)
        listed_weight = backend.endpoint.weight if backend.endpoint.weight > 0 else backend.weight
        backend.utilization = backend.weight / listed_weight - 1.0

    def learn_capacity(self, backend: Backend, slots: float) -> None:
        """Raises the capacity of all ready backends of the same instance type to `slots`, if it is lower."""
        if slots <= backend.capacity:
            return
        instance_type = backend.endpoint.instance_type
        self._capacity[instance_type] = slots
        for other in self.ready:
            if other.endpoint.instance_type == instance_type:
                other.capacity = slots
