"""The interface of the routing: the types of its configuration, of its events and of its actions.

Times and durations are whole ticks of a monotonic clock. The work of a request is its running time, in ticks,
on a slot of a backend of typical speed. Backends, requests and request classes are dense indices; the codecs
map names to them.
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
    STALE_CONNECTION = 9  # a reused connection was closed: may have executed, no failure of the backend


# Outcomes that prove that the backend has not executed the request.
NEVER_EXECUTED: Final = (Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.NOT_SENT)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The settings of one class of requests."""

    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: int  # ticks for which the scope remembers an idempotency key
    latency_objective: int  # ticks: the part of the objective that is independent of the work
    objective_per_work: float  # the other part, as a multiple of the work
    deadline: int  # ticks from the arrival, unless the request has its own
    priority_weight: float
    late_value: float  # share of the priority weight that a late response earns


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """The configuration of the routing."""

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
    max_retry_after: int  # ticks; 0 for no Retry-After
    reports_in_responses: bool
    reports_by_probe: bool
    report_fields: Sequence[str]
    start_notifications: bool  # backends notify the start of a request
    progress_interval: int  # ticks between two notifications of progress; 0 for none
    discovery_by_poll: bool  # the endpoint list is polled, not watched
    poll_within: int  # ticks within which a poll is answered
    initial_capacity: float  # share of its capacity that a backend has at its start
    warm_up_time: int  # ticks
    overload_factor: float  # times its capacity that a warming backend may be sent
    overload_period: int  # ticks over which that is counted
    weights_follow_load: bool = False  # a weight is the size over one more than the requests for each core
    key_affinity: bool = True  # backends cache the data of a request's key
    change_notice_within: int = 1 << 62  # ticks after which a change of an endpoint must be known
    instance_index: int = -1  # of this instance among all, from 0; -1 if not configured


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An entry of the endpoint list."""

    backend: int
    state: EndpointState
    weight: float
    zone: int
    cell: int
    started_at: int  # ticks; 0 if unknown, which counts as long ago
    instance_type: int = 0  # backends of a type have equal slots
    hash_position: float = 1.0  # hash of its id, from 0 to 1, the same at every instance


# The records of events are plain classes: a dataclass costs a start about a millisecond each.
class RequestArrival:
    """A request that has come in."""

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
        self.deadline = deadline  # ticks
        self.work = work  # ticks, as hinted; 0 without a hint
        self.slots = slots
        self.key = key  # affinity key; 0 for none
        self.is_retry = is_retry  # marked so by the client


class AttemptEnd:
    """The outcome of an attempt, and its load report."""

    __slots__ = ("outcome", "report", "request_over")

    def __init__(self, outcome: Outcome, request_over: bool, report: Sequence[float] = ()) -> None:
        self.outcome = outcome
        self.request_over = request_over  # the request needs no final answer from the router
        self.report = report  # load report in the order of the configured fields; empty for none


class RoutingActions(Protocol):
    """The actions that the router calls."""

    def send_attempt(self, request_id: int, backend: int) -> None:
        """Sends a request to a backend."""

    def shed(self, request_id: int, retry_after: int) -> None:
        """Answers that a retry is harmless, after `retry_after` ticks; 0 for no Retry-After."""

    def fail_request(self, request_id: int) -> None:
        """Answers that the request has failed and may have been executed."""

    def cancel_attempt(self, request_id: int, attempt_number: int) -> None:
        """Cancels an attempt in flight at its backend."""

    def set_timer(self, delay: int, token: int) -> None:
        """Schedules `timer_fired` with the token after `delay` ticks; a timer is never cancelled."""

    def probe(self, backend: int) -> None:
        """Sends a health check to a backend; the response may have a load report."""

    def poll_endpoints(self) -> None:
        """Polls the endpoint list from the discovery service."""


class RoutingEvents(Protocol):
    """The events that are reported to the router, each with the present time `now` in ticks."""

    def endpoints_changed(self, now: int, endpoints: Sequence[Endpoint], snapshot: bool) -> None:
        """The endpoint list has come: all endpoints if it is a snapshot, else those that have changed."""

    def discovery_failed(self, now: int) -> None:
        """A poll of the endpoint list has failed."""

    def request_received(self, now: int, arrival: RequestArrival) -> None:
        """A request has come in."""

    def attempt_started(self, now: int, request_id: int, attempt_number: int, backend: int) -> None:
        """A backend has started an attempt."""

    def attempt_progressed(self, now: int, request_id: int, attempt_number: int, backend: int) -> None:
        """A backend makes progress with an attempt."""

    def attempt_ended(
        self, now: int, request_id: int, attempt_number: int, backend: int, end: AttemptEnd
    ) -> None:
        """An attempt has ended."""

    def probe_ended(self, now: int, backend: int, healthy: bool, report: Sequence[float]) -> None:
        """A health check was answered, with or without a load report, or has failed."""

    def client_disconnected(self, now: int, request_id: int) -> None:
        """The client of a request has disconnected and gets no answer."""

    def request_aborted(self, now: int, request_id: int) -> None:
        """A request must be answered at once, as the process ends."""

    def config_changed(self, now: int, config: RoutingConfig, new_rows: Collection[int] = ()) -> None:
        """The configuration has changed; the classes at `new_rows` replace unrelated ones."""

    def timer_fired(self, now: int, token: int) -> None:
        """A timer has expired."""
