"""Checks the four invariants of a routing policy from the events of a simulated fleet.

The checker keeps its own state and does not read that of the policy. Times are ticks. The invariants:

1. A request gets one answer, by its deadline.
2. A request that may have been executed is not sent again, unless its class permits it.
3. A request is not sent to a backend that is known to drain or to be removed.
4. A backend in slow start does not receive more work than its reduced capacity can process.
"""

from collections import Counter, defaultdict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from math import sqrt

from crankfold.routing.interface import (
    DeduplicationScope,
    Endpoint,
    EndpointState,
    Idempotency,
    RequestClass,
    RoutingConfig,
)
from crankfold.time_units import TICKS_PER_MILLISECOND

MAX_HISTORY_EVENTS = 12  # of each request, shown in the report of a violation
PROPAGATION_LIMIT_TICKS = 60_000  # from a change in discovery until every dispatcher must know it
DISCONNECT_GRACE_TICKS = 1_000  # an attempt may still start this long after its client disconnected
# The number of arrivals in a period varies by chance, so that this much above the limit is no violation.
ALLOWED_STANDARD_DEVIATIONS = 2
ALLOWED_EXTRA_REQUESTS = 2


class Invariant(IntEnum):
    """The invariants, with their numbers in reports."""

    ANSWERS = 1
    EXECUTIONS = 2
    LEAVING_BACKENDS = 3
    WARMING_BACKENDS = 4


class Answer(StrEnum):
    """How a request ended for its client; the values appear in reports."""

    COMPLETED = "done"
    SHED = "shed"
    FAILED = "given up"
    DISCONNECTED = "left"  # the client closed its connection first
    LOST = "lost"  # its dispatcher was killed


@dataclass(frozen=True, slots=True)
class Execution:
    """An attempt that a backend may have executed."""

    sent_at: int  # ticks
    backend: int


@dataclass(slots=True)
class RequestRecord:
    """The events of one request. Times are ticks."""

    dispatcher: int
    request_id: int
    request_class: int
    deadline: int
    answer: Answer | None = None
    disconnected_at: int = 0
    possible_executions: list[Execution] = field(default_factory=list)
    history: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_HISTORY_EVENTS))

    def add_event(self, now: int, event: str) -> None:
        """Adds an event to the history that the report of a violation shows."""
        self.history.append(f"{now / TICKS_PER_MILLISECOND:.1f} {event}")


@dataclass(frozen=True, slots=True)
class WarmingArrival:
    """The arrival of a request at a backend in slow start."""

    at: int  # ticks
    service_time: int  # ticks on a warm backend


class InvariantChecker:
    """Receives the events of a fleet and collects the violations.

    Args:
        config: The configuration of the policy under test.
        drain_grace: Ticks in which a dispatcher may still send requests to a backend after it learned that
            the backend drains or is removed.
    """

    def __init__(self, config: RoutingConfig, drain_grace: int) -> None:
        self.config = config
        self.drain_grace = drain_grace
        self.requests: dict[tuple[int, int], RequestRecord] = {}  # by dispatcher and request
        self.answer_counts: Counter[Answer] = Counter()
        self.zone_of: dict[int, int] = {}  # by backend
        self.cell_of: dict[int, int] = {}
        # Time at which a dispatcher learned that a backend drains or is removed, by dispatcher and backend.
        self.excluded_since: dict[tuple[int, int], int] = {}
        self.warming_arrivals: dict[int, deque[WarmingArrival]] = defaultdict(deque)  # by backend
        self.change_counts: Counter[int] = Counter()  # changes published by discovery, by backend
        self.violations: list[str] = []

    def _report_violation(self, now: int, invariant: Invariant, text: str, record: RequestRecord) -> None:
        self.violations.append(
            f"rule {invariant} at {now / TICKS_PER_MILLISECOND:.1f} ms: unit {record.request_id} "
            f"of dispatcher {record.dispatcher} {text}; before: {'; '.join(record.history)}"
        )

    # --- endpoints as dispatchers know them ---

    def endpoints_updated(self, now: int, dispatcher: int, endpoints: Sequence[Endpoint]) -> None:
        """Records the states of backends that a dispatcher received."""
        for endpoint in endpoints:
            self.zone_of[endpoint.backend] = endpoint.zone
            self.cell_of[endpoint.backend] = endpoint.cell
            if endpoint.state == EndpointState.READY:
                self.excluded_since.pop((dispatcher, endpoint.backend), None)
            else:
                self.excluded_since.setdefault((dispatcher, endpoint.backend), now)

    def change_discovered(self, backend: int) -> int:
        """Records that discovery publishes a change of a backend; returns the number of the change."""
        self.change_counts[backend] += 1
        return self.change_counts[backend]

    def propagation_expired(
        self, now: int, dispatcher: int, *, backend: int, state: EndpointState, change: int
    ) -> None:
        """Treats a change as known to a dispatcher, `PROPAGATION_LIMIT_TICKS` after its publication.

        Has no effect if the backend has changed again since.
        """
        if self.change_counts[backend] == change and state != EndpointState.READY:
            self.excluded_since.setdefault((dispatcher, backend), now)

    # --- events of requests ---

    def request_received(self, now: int, record: RequestRecord) -> None:
        """Records that a dispatcher received a new request."""
        self.requests[record.dispatcher, record.request_id] = record
        record.add_event(now, "taken")

    def client_disconnected(self, now: int, dispatcher: int, request_id: int) -> None:
        """Records that the client of an unanswered request closed its connection."""
        record = self.requests[dispatcher, request_id]
        if record.answer is None:
            record.disconnected_at = now
            record.answer = Answer.DISCONNECTED
            record.add_event(now, "left")

    def attempt_sent(self, now: int, dispatcher: int, request_id: int, backend: int) -> None:
        """Checks invariants 1 to 3 for an attempt that a dispatcher sends to a backend."""
        record = self.requests[dispatcher, request_id]
        self._check_unanswered(now, record, backend)
        self._check_not_excluded(now, record, backend)
        self._check_repetition(now, record, backend)
        record.possible_executions.append(Execution(now, backend))
        record.add_event(now, f"to {backend}")

    def _check_unanswered(self, now: int, record: RequestRecord, backend: int) -> None:
        if record.disconnected_at:
            if now > record.disconnected_at + DISCONNECT_GRACE_TICKS:
                gone_since = f"{record.disconnected_at / TICKS_PER_MILLISECOND:.1f}"
                text = f"was sent to runner {backend} for a client gone since {gone_since}"
                self._report_violation(now, Invariant.ANSWERS, text, record)
        elif record.answer is not None:
            text = f"was sent to runner {backend} after its answer"
            self._report_violation(now, Invariant.ANSWERS, text, record)

    def _check_not_excluded(self, now: int, record: RequestRecord, backend: int) -> None:
        since = self.excluded_since.get((record.dispatcher, backend))
        if since is not None and now > since + self.drain_grace:
            text = f"was sent to runner {backend}, known to end since {since / TICKS_PER_MILLISECOND:.1f}"
            self._report_violation(now, Invariant.LEAVING_BACKENDS, text, record)

    def _check_repetition(self, now: int, record: RequestRecord, backend: int) -> None:
        request_class = self.config.request_classes[record.request_class]
        for execution in record.possible_executions:
            if not self._may_repeat(now, request_class, execution, backend):
                text = f"was sent to runner {backend} though it may have run at {execution.backend}"
                self._report_violation(now, Invariant.EXECUTIONS, text, record)

    def _may_repeat(self, now: int, request_class: RequestClass, execution: Execution, backend: int) -> bool:
        """Whether a request may be sent to `backend` after a possible execution elsewhere.

        Permitted for idempotent requests, and for requests with a deduplication key while the deduplication
        window lasts and `backend` belongs to the same deduplication scope.
        """
        if request_class.idempotency == Idempotency.IDEMPOTENT:
            return True
        if request_class.idempotency != Idempotency.IDEMPOTENT_WITH_KEY:
            return False
        if now >= execution.sent_at + request_class.deduplication_window:
            return False
        scope = request_class.deduplication_scope
        if scope == DeduplicationScope.ZONE:
            return self.zone_of[execution.backend] == self.zone_of[backend]
        if scope == DeduplicationScope.CELL:
            return self.cell_of[execution.backend] == self.cell_of[backend]
        return scope == DeduplicationScope.GLOBAL

    def attempt_not_executed(self, now: int, dispatcher: int, request_id: int, backend: int) -> None:
        """Records that the last attempt at the backend was not executed."""
        record = self.requests[dispatcher, request_id]
        for position in range(len(record.possible_executions) - 1, -1, -1):
            if record.possible_executions[position].backend == backend:
                del record.possible_executions[position]
                break
        record.add_event(now, f"not run at {backend}")

    def request_answered(self, now: int, dispatcher: int, request_id: int, answer: Answer) -> None:
        """Checks invariants 1 and 2 for the answer of a dispatcher to a request."""
        record = self.requests[dispatcher, request_id]
        self.answer_counts[answer] += 1
        if record.disconnected_at:
            return  # the client does not receive the answer
        if record.answer is not None:
            self._report_violation(now, Invariant.ANSWERS, f"was answered again ({answer})", record)
        elif now > record.deadline:
            self._report_violation(
                now, Invariant.ANSWERS, f"was answered after its deadline ({answer})", record
            )
        if answer is Answer.SHED and record.possible_executions and not self._client_may_retry(record):
            self._report_violation(now, Invariant.EXECUTIONS, "was shed though it may have run", record)
        record.answer = answer
        record.add_event(now, answer)

    def _client_may_retry(self, record: RequestRecord) -> bool:
        """Whether the client may safely retry a shed request, at any backend, after a possible execution."""
        request_class = self.config.request_classes[record.request_class]
        return request_class.idempotency == Idempotency.IDEMPOTENT or (
            request_class.idempotency == Idempotency.IDEMPOTENT_WITH_KEY
            and request_class.deduplication_scope == DeduplicationScope.GLOBAL
        )

    def dispatcher_killed(self, now: int, dispatcher: int) -> None:
        """Marks the unanswered requests of a killed dispatcher as lost, which violates no invariant."""
        for record in self.requests.values():
            if record.dispatcher == dispatcher and record.answer is None:
                record.answer = Answer.LOST
                record.add_event(now, "lost")

    def warming_backend_reached(
        self,
        now: int,
        dispatcher: int,
        request_id: int,
        *,
        backend: int,
        service_time: int,
        capacity: float,
        mean_service_time: int,
    ) -> None:
        """Checks invariant 4 for a request that arrives at a backend in slow start.

        Both the work and the number of the requests that arrived within the overload period are limited.
        The limits apply to the sum over all dispatchers.

        Args:
            now: Ticks.
            dispatcher: The sender.
            request_id: The arriving request.
            backend: The receiver.
            service_time: Duration of the request on a warm backend, ticks.
            capacity: Current speed of the backend, in slots of a warm backend.
            mean_service_time: Mean duration of all requests on a warm backend, ticks.
        """
        record = self.requests[dispatcher, request_id]
        arrivals = self._recent_arrivals(now, backend, service_time)
        allowed_work = self.config.overload_factor * capacity * self.config.overload_period
        violations = (
            _excess_work(arrivals, backend, allowed_work),
            _excess_requests(arrivals, backend, allowed_work / mean_service_time),
        )
        for text in filter(None, violations):
            self._report_violation(now, Invariant.WARMING_BACKENDS, text, record)

    def _recent_arrivals(self, now: int, backend: int, service_time: int) -> Sequence[WarmingArrival]:
        """Adds an arrival; returns the arrivals at the backend within the overload period."""
        arrivals = self.warming_arrivals[backend]
        arrivals.append(WarmingArrival(now, service_time))
        while arrivals[0].at <= now - self.config.overload_period:
            arrivals.popleft()
        return arrivals

    def finish(self, now: int) -> None:
        """Checks at the end of the run that each request whose deadline has passed has an answer."""
        for record in self.requests.values():
            if record.answer is None and now > record.deadline:
                self._report_violation(now, Invariant.ANSWERS, "has no answer", record)


def _excess_work(arrivals: Sequence[WarmingArrival], backend: int, allowed_work: float) -> str:
    """Returns the violation if the work of the arrivals exceeds `allowed_work` ticks, or ""."""
    if sum(arrival.service_time for arrival in arrivals) <= allowed_work:
        return ""
    return f"pushed the cold runner {backend} over"


def _excess_requests(arrivals: Sequence[WarmingArrival], backend: int, allowed_count: float) -> str:
    """Returns the violation if the number of arrivals exceeds `allowed_count` by more than chance, or ""."""
    chance = ALLOWED_STANDARD_DEVIATIONS * sqrt(allowed_count)
    if len(arrivals) <= allowed_count + chance + ALLOWED_EXTRA_REQUESTS:
        return ""
    return f"is call {len(arrivals)} at the cold runner {backend}, of {allowed_count:.1f}"
