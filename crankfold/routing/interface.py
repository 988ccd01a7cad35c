"""The types between the decisions and whatever carries them: no code, no wire.

Times are whole tenths of a millisecond; runners and work units are dense indices given out at the door.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol


class Idempotency(IntEnum):
    IDEMPOTENT = 0
    IDEMPOTENT_WITH_KEY = 1
    NON_IDEMPOTENT = 2


class DeduplicationScope(IntEnum):
    GLOBAL = 0
    ZONE = 1
    CELL = 2


class EndpointState(IntEnum):
    REMOVED = 0
    READY = 1
    DRAINING = 2


class Outcome(IntEnum):
    COMPLETED = 0
    ERROR = 1
    OVERLOADED = 2
    TIMED_OUT = 3
    UNREACHABLE = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7
    UNKNOWN = 8
    STALE_CONNECTION = (
        9  # a connection at rest turned out to be closed: may have run, but says nothing about the runner
    )


@dataclass(frozen=True, slots=True)
class RequestClass:
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: int  # how long the group remembers a tagged unit
    latency_objective: int  # the part of the expected time that does not grow with the work
    objective_per_work: float  # the part that does, as a multiple of the work
    deadline: int
    priority_weight: float
    late_value: float  # share of the revenue that a late answer still earns


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """What a dispatcher is handed at start; it keeps only what it derives from this."""

    request_classes: Sequence[RequestClass]
    instance_count: int
    zone: int
    timer_resolution: int
    priority_by_work: bool  # revenue counts by work done, not by unit
    worst_class_weight: float  # share of the service that is the worst-served grade's
    cancellation_allowed: bool
    probing_allowed: bool
    hedging_allowed: bool
    max_attempts: int
    max_retry_after: int  # retry-after advice; 0 where clients hear none
    reports_in_responses: bool
    reports_by_probe: bool
    report_fields: Sequence[str]
    start_notifications: bool
    progress_interval: int
    discovery_by_poll: bool
    poll_within: int
    initial_capacity: float
    warm_up_time: int
    overload_factor: float
    overload_period: int
    weights_follow_load: bool = (
        False  # list weights are sizes divided by one more than the units held for each core
    )
    key_affinity: bool = True  # runners keep the data of a unit's key for the next one that has it
    change_notice_within: int = (
        1 << 62
    )  # what the list service could tell counts as told then, refused or not
    instance_index: int = -1  # this dispatcher's among all, from 0; -1 where not told


@dataclass(frozen=True, slots=True)
class Endpoint:
    backend: int
    state: EndpointState
    weight: float
    zone: int
    cell: int
    started_at: int  # when it last started; 0 for long ago
    instance_type: int = 0  # runners of a kind are alike in their slots
    hash_position: float = (
        1.0  # drawn from its id, below 1 and the same at every dispatcher; says nothing else
    )


class RoutingActions(Protocol):
    """Where the decisions go."""

    def send_attempt(self, unit: int, runner: int, limit: int) -> None: ...
    def shed(self, unit: int, advice: int) -> None: ...
    def fail_request(self, unit: int) -> None: ...
    def cancel_attempt(self, unit: int, nth: int) -> None: ...
    def set_timer(self, after: int, label: int) -> None: ...
    def probe(self, runner: int) -> None: ...
    def poll_endpoints(self) -> None: ...


class RoutingEvents(Protocol):
    """What may be told to the decisions. Every call comes with the present time."""

    def endpoints_changed(self, now: int, entries: Sequence[Endpoint], whole: bool) -> None: ...
    def discovery_failed(self, now: int) -> None: ...
    def request_received(
        self,
        now: int,
        unit: int,
        grade: int,
        tenant: int,
        cutoff: int,
        work: int,
        slots: float,
        key: int = 0,
        again: bool = False,
    ) -> None: ...
    def attempt_started(self, now: int, unit: int, nth: int, runner: int) -> None: ...
    def attempt_progressed(self, now: int, unit: int, nth: int, runner: int, share: float) -> None: ...
    def attempt_ended(
        self,
        now: int,
        unit: int,
        nth: int,
        runner: int,
        outcome: Outcome,
        last: bool,
        report: Sequence[float],
    ) -> None: ...
    def probe_ended(self, now: int, runner: int, well: bool, report: Sequence[float]) -> None: ...
    def client_disconnected(self, now: int, unit: int) -> None: ...
    def request_aborted(self, now: int, unit: int) -> None: ...
    def config_changed(self, now: int, orders: RoutingConfig, anew: Collection[int] = ()) -> None: ...
    def timer_fired(self, now: int, label: int) -> None: ...
