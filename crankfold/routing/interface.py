"""The interface of the router: the types of its configuration, of its events and of its actions.

Times and durations are integer ticks of a monotonic clock. The work of a request is its running time, in
ticks, on a slot of a backend of typical speed. Backends, requests and request classes are identified by dense
indices; the codecs map names to them.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Final, Protocol

# Tokens of timers that do not belong to a request; a request's own token is FIRST_REQUEST_TIMER + its index.
POLL_TIMER: Final = 1
REFRESH_TIMER: Final = 2
FIRST_REQUEST_TIMER: Final = 8


class Idempotency(IntEnum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = 0
    IDEMPOTENT_WITH_KEY = 1  # backends of the deduplication scope execute a key once within the window
    NON_IDEMPOTENT = 2


class DeduplicationScope(IntEnum):
    """Which backends know each other's idempotency keys."""

    GLOBAL = 0
    ZONE = 1
    CELL = 2


class EndpointState(IntEnum):
    """The state of a backend in the endpoint list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class Outcome(IntEnum):
    """How an attempt ended."""

    COMPLETED = 0
    ERROR = 1
    OVERLOADED = 2
    TIMED_OUT = 3
    UNREACHABLE = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7
    UNKNOWN = 8
    STALE_CONNECTION = 9  # a reused connection was closed: may have executed, but the backend has not failed


# Outcomes that prove that the backend has not executed the request.
NEVER_EXECUTED: Final = (Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.NOT_SENT)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The settings of one class of requests."""

    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: int  # ticks for which backends of the scope remember an idempotency key
    latency_objective: int  # ticks: the part of the objective that does not depend on the work
    objective_per_work: float  # the part that does, as a multiple of the work
    deadline: int  # ticks from the arrival of a request that has no deadline of its own
    priority_weight: float
    late_value: float  # share of the priority weight that a late response earns


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """The configuration of the router."""

    request_classes: Sequence[RequestClass]
    instance_count: int  # processes that route to the same backends
    zone: int  # zone of this instance
    timer_resolution: int  # ticks by which a timer may be late
    priority_by_work: bool  # whether the value of a request is in proportion to its work
    worst_class_weight: float  # weight of the worst-served class in the service's value, from 0 to 1
    cancellation_allowed: bool
    probing_allowed: bool
    hedging_allowed: bool
    max_attempts: int
    max_retry_after: int  # ticks; 0 sends no Retry-After
    reports_in_responses: bool
    reports_by_probe: bool
    report_fields: Sequence[str]
    start_notifications: bool  # whether backends notify the start of a request
    progress_interval: int  # ticks between two notifications of progress; 0 if there are none
    discovery_by_poll: bool  # whether the endpoint list is polled instead of watched
    poll_within: int  # ticks within which a poll is answered
    initial_capacity: float  # share of its full capacity that a backend has when it has just started
    warm_up_time: int  # ticks from its start until a backend has its full capacity
    overload_factor: float  # a warming backend may be sent this many times its present capacity
    overload_period: int  # ticks over which the work sent to it is summed
    weights_follow_load: bool = False  # a listed weight is size / (requests per core + 1)
    key_affinity: bool = True  # whether backends cache the data of a request's key
    change_notice_within: int = 1 << 62  # ticks within which a change of an endpoint must be known
    instance_index: int = -1  # index of this instance among all, from 0; -1 if not configured


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An entry of the endpoint list."""

    backend: int
    state: EndpointState
    weight: float
    zone: int
    cell: int
    started_at: int  # ticks; 0 if unknown, which means that the backend is warm
    instance_type: int = 0  # backends of one type have the same number of slots
    hash_position: float = 1.0  # hash of its id, from 0 to 1, the same at every instance


# The records of events are plain classes: each dataclass adds about a millisecond to the start-up.
class RequestArrival:
    """A request that a client has sent."""

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
        self.work = work  # ticks, as hinted by the client; 0 without a hint
        self.slots = slots
        self.key = key  # affinity key; 0 for none
        self.is_retry = is_retry  # whether the client marked it as a retry


class AttemptEnd:
    """The outcome of an attempt, and its load report."""

    __slots__ = ("outcome", "report", "request_over")

    def __init__(self, outcome: Outcome, request_over: bool, report: Sequence[float] = ()) -> None:
        self.outcome = outcome
        self.request_over = request_over  # whether the request needs no final answer from the router
        self.report = report  # load report in the order of the configured fields; empty for none


class RoutingActions(Protocol):
    """The actions that the router calls."""

    def send_attempt(self, request_id: int, backend: int) -> None:
        """Sends a request to a backend."""

    def shed(self, request_id: int, retry_after: int) -> None:
        """Answers that a request is shed, safe to retry after `retry_after` ticks; 0 for no Retry-After."""

    def fail_request(self, request_id: int) -> None:
        """Answers that the request has failed and may have been executed."""

    def cancel_attempt(self, request_id: int, attempt_number: int) -> None:
        """Cancels an attempt in flight at its backend."""

    def set_timer(self, delay: int, token: int) -> None:
        """Schedules `timer_fired` with the token after `delay` ticks; timers are never cancelled."""

    def probe(self, backend: int) -> None:
        """Sends a health check to a backend; the response may contain a load report."""

    def poll_endpoints(self) -> None:
        """Polls the endpoint list from the discovery service."""


class RoutingEvents(Protocol):
    """The events that are reported to the router, each with the current time `now` in ticks."""

    def endpoints_changed(self, now: int, endpoints: Sequence[Endpoint], snapshot: bool) -> None:
        """An endpoint list was received: all endpoints if a snapshot, else those that have changed."""

    def discovery_failed(self, now: int) -> None:
        """A poll of the endpoint list has failed."""

    def request_received(self, now: int, arrival: RequestArrival) -> None:
        """A request was received."""

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
        """The client of a request has disconnected and cannot get an answer."""

    def request_aborted(self, now: int, request_id: int) -> None:
        """A request must be answered at once because the process ends."""

    def config_changed(self, now: int, config: RoutingConfig, new_rows: Collection[int] = ()) -> None:
        """The configuration has changed; the classes at the indices `new_rows` replace unrelated ones."""

    def timer_fired(self, now: int, token: int) -> None:
        """A timer has expired."""
