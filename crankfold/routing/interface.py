"""The types between the decisions and whatever carries them: no decision, no wire.

Times are whole ticks of 0.1 ms on a clock that never goes back; work is a running time in ticks on a slot
of a usual backend. Backends, requests and request classes are dense indices, given out where names come in.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Final, Protocol

# Tokens of timers that concern no request; a request's own is FIRST_REQUEST_TIMER + its index.
POLL_TIMER: Final = 1
REFRESH_TIMER: Final = 2
FIRST_REQUEST_TIMER: Final = 8


class Idempotency(IntEnum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = 0
    IDEMPOTENT_WITH_KEY = 1  # backends of the deduplication scope execute it once within the window
    NON_IDEMPOTENT = 2


class DeduplicationScope(IntEnum):
    """The backends that know each other's idempotency keys."""

    GLOBAL = 0
    ZONE = 1
    CELL = 2


class EndpointState(IntEnum):
    """What the endpoint list says of a backend."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class Outcome(IntEnum):
    """How an attempt has ended."""

    COMPLETED = 0
    ERROR = 1
    OVERLOADED = 2
    TIMED_OUT = 3
    UNREACHABLE = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7
    UNKNOWN = 8
    STALE_CONNECTION = 9  # an idle connection was closed: may have executed, says nothing of the backend


# After these a backend has certainly not executed the request.
NEVER_EXECUTED: Final = (Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.NOT_SENT)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What the settings promise to, and ask of, requests of one class."""

    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: int  # ticks for which the scope remembers an idempotency key
    latency_objective: int  # ticks: the part of the objective that does not grow with the work
    objective_per_work: float  # the part that does, as a multiple of the work
    deadline: int  # ticks that a client usually waits
    priority_weight: float
    late_value: float  # share of the priority weight that a late answer still earns


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """What the decisions are configured by."""

    request_classes: Sequence[RequestClass]
    instance_count: int  # processes that route to the same backends
    zone: int  # of this instance
    timer_resolution: int  # ticks by which a timer may be late
    priority_by_work: bool  # a request counts by its work, not as one
    worst_class_weight: float  # share of the service's value that is the worst-served class's
    cancellation_allowed: bool
    probing_allowed: bool
    hedging_allowed: bool
    max_attempts: int
    max_retry_after: int  # ticks; 0 where clients hear of none
    reports_in_responses: bool
    reports_by_probe: bool
    report_fields: Sequence[str]
    start_notifications: bool  # backends say when they begin with a request
    progress_interval: int  # ticks between two signs of progress; 0 where there are none
    discovery_by_poll: bool  # the endpoint list has to be asked for
    poll_within: int  # ticks within which a poll is answered
    initial_capacity: float  # share of its capacity that a backend has when it has just started
    warm_up_time: int  # ticks
    overload_factor: float  # times its capacity that a warming backend may be sent
    overload_period: int  # ticks over which that is counted
    weights_follow_load: bool = False  # a weight is the size over one more than the requests for each core
    key_affinity: bool = True  # backends keep the data of a request's key for the next one with it
    change_notice_within: int = 1 << 62  # ticks after which an endpoint's change counts as known
    instance_index: int = -1  # of this instance among all, from 0; -1 where not told


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A backend as the endpoint list has it."""

    backend: int
    state: EndpointState
    weight: float
    zone: int
    cell: int
    started_at: int  # ticks; 0 for long ago
    instance_type: int = 0  # backends of a type are alike in their slots
    hash_position: float = 1.0  # drawn from its id, below 1, the same at every instance


# The records of events are plain classes: a dataclass costs a start about a millisecond each.
class RequestArrival:
    """A request as it comes in."""

    __slots__ = ("class_index", "deadline", "is_retry", "key", "request_id", "slots", "work")

    def __init__(
        self,
        request_id: int,
        class_index: int,
        *,
        deadline: int,
        work: int,
        slots: float,
        key: int = 0,
        is_retry: bool = False,
    ) -> None:
        self.request_id = request_id
        self.class_index = class_index
        self.deadline = deadline  # ticks: when the client waits no longer
        self.work = work  # ticks, as hinted; 0 without a hint
        self.slots = slots
        self.key = key  # of the data that it works on; 0 for none
        self.is_retry = is_retry  # the client marks it as one


class AttemptEnd:
    """How an attempt has ended, and what came with it."""

    __slots__ = ("outcome", "report", "request_over")

    def __init__(self, outcome: Outcome, request_over: bool, report: Sequence[float] = ()) -> None:
        self.outcome = outcome
        self.request_over = request_over  # the request has its answer, or none is owed any more
        self.report = report  # a load report, in the order of the configured fields


class RoutingActions(Protocol):
    """What the decisions have done."""

    def send_attempt(self, request_id: int, backend: int) -> None:
        """Sends a request to a backend."""

    def shed(self, request_id: int, retry_after: int) -> None:
        """Answers that a retry is harmless, after `retry_after` ticks; 0 for no such advice."""

    def fail_request(self, request_id: int) -> None:
        """Answers that the request has failed and may have been executed."""

    def cancel_attempt(self, request_id: int, attempt_number: int) -> None:
        """Tells the backend of an attempt in flight that nobody waits for it."""

    def set_timer(self, delay: int, token: int) -> None:
        """Has `timer_fired` called with the token after `delay` ticks; timers are not cancelled."""

    def probe(self, backend: int) -> None:
        """Asks a backend for a sign of life and a load report."""

    def poll_endpoints(self) -> None:
        """Asks the discovery service for the endpoint list."""


class RoutingEvents(Protocol):
    """What the decisions are told. Every call comes with the present time, in ticks."""

    def endpoints_changed(self, now: int, endpoints: Sequence[Endpoint], snapshot: bool) -> None:
        """The endpoint list: all there are for a snapshot, else those that have changed."""

    def discovery_failed(self, now: int) -> None:
        """The endpoint list that was asked for did not come."""

    def request_received(self, now: int, arrival: RequestArrival) -> None:
        """A request has come in."""

    def attempt_started(self, now: int, request_id: int, attempt_number: int, backend: int) -> None:
        """A backend has begun with an attempt."""

    def attempt_progressed(self, now: int, request_id: int, attempt_number: int, backend: int) -> None:
        """A backend gets on with an attempt."""

    def attempt_ended(
        self, now: int, request_id: int, attempt_number: int, backend: int, end: AttemptEnd
    ) -> None:
        """An attempt is over."""

    def probe_ended(self, now: int, backend: int, healthy: bool, report: Sequence[float]) -> None:
        """A probe was answered, with a load report if there is one, or has failed."""

    def client_disconnected(self, now: int, request_id: int) -> None:
        """Nobody waits for the answer any more."""

    def request_aborted(self, now: int, request_id: int) -> None:
        """An answer is owed at once, as the process ends."""

    def config_changed(self, now: int, config: RoutingConfig, new_rows: Collection[int] = ()) -> None:
        """Other request classes and bounds; the classes at `new_rows` are other ones than before."""

    def timer_fired(self, now: int, token: int) -> None:
        """A timer that was asked for has run out."""
