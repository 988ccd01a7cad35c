"""The four rules, checked from what happens in the fleet and not from what a policy keeps.

A request is answered once and by its deadline (1), not executed again where it must not be (2), not sent to
a backend known to end (3), and a cold backend is not pushed over what it can do (4). Times are ticks.
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

HISTORY_LENGTH = 12  # events kept of a request, for the report of a violation
PROPAGATION_LIMIT = 60_000  # a change counts as told so long after discovery had it and could be reached
DISCONNECT_GRACE = 1_000  # nothing is sent so long after the client has gone
TICKS_PER_MS = 10


class Rule(IntEnum):
    """What a policy must keep, by the numbers that reports name."""

    ANSWERS = 1
    EXECUTIONS = 2
    LEAVING_BACKENDS = 3
    WARMING_BACKENDS = 4


class Answer(StrEnum):
    """How a request ended for its client, in the words of the reports."""

    COMPLETED = "done"
    SHED = "shed"
    FAILED = "given up"
    DISCONNECTED = "left"  # the client did not wait
    LOST = "lost"  # with its dispatcher


@dataclass(frozen=True, slots=True)
class Execution:
    """A request may have been executed at a backend to which it was sent."""

    sent_at: int
    backend: int


@dataclass(slots=True)
class RequestRecord:
    """What happened to one request."""

    dispatcher: int
    request_id: int
    request_class: int
    deadline: int
    answer: Answer | None = None
    disconnected_at: int = 0
    possible_executions: list[Execution] = field(default_factory=list)
    history: deque[str] = field(default_factory=lambda: deque(maxlen=HISTORY_LENGTH))

    def add_event(self, now: int, event: str) -> None:
        """Keep it for a report."""
        self.history.append(f"{now / TICKS_PER_MS:.1f} {event}")


@dataclass(frozen=True, slots=True)
class WarmingArrival:
    """A request arrived at a backend that is warming up."""

    at: int
    service_time: int


class InvariantChecker:
    """Is told what happens, and collects the violations."""

    def __init__(self, config: RoutingConfig, drain_grace: int) -> None:
        self.config = config
        self.drain_grace = drain_grace  # a request may still be sent so long after the backend's end is known
        self.requests: dict[tuple[int, int], RequestRecord] = {}  # by dispatcher and request
        self.answer_counts: Counter[Answer] = Counter()
        self.zone_of: dict[int, int] = {}  # by backend
        self.cell_of: dict[int, int] = {}
        # By dispatcher and backend: when it learned that the backend drains or is gone.
        self.excluded_since: dict[tuple[int, int], int] = {}
        self.warming_arrivals: dict[int, deque[WarmingArrival]] = defaultdict(deque)  # by backend
        self.change_counts: Counter[int] = Counter()  # by backend, how many discovery has had
        self.violations: list[str] = []

    def _report_violation(self, now: int, rule: Rule, text: str, record: RequestRecord) -> None:
        self.violations.append(
            f"rule {rule} at {now / TICKS_PER_MS:.1f} ms: unit {record.request_id} of dispatcher "
            f"{record.dispatcher} {text}; before: {'; '.join(record.history)}"
        )

    # --- what dispatchers know of backends ---

    def endpoints_updated(self, now: int, dispatcher: int, endpoints: Sequence[Endpoint]) -> None:
        """A dispatcher learns the states of backends."""
        for endpoint in endpoints:
            self.zone_of[endpoint.backend] = endpoint.zone
            self.cell_of[endpoint.backend] = endpoint.cell
            if endpoint.state == EndpointState.READY:
                self.excluded_since.pop((dispatcher, endpoint.backend), None)
            else:
                self.excluded_since.setdefault((dispatcher, endpoint.backend), now)

    def change_discovered(self, backend: int) -> int:
        """A change that discovery could tell of from now on, had it been asked: its number."""
        self.change_counts[backend] += 1
        return self.change_counts[backend]

    def propagation_expired(
        self, now: int, dispatcher: int, *, backend: int, state: EndpointState, change: int
    ) -> None:
        """The time to learn of a change is over; later changes of the backend go before it."""
        if self.change_counts[backend] == change and state != EndpointState.READY:
            self.excluded_since.setdefault((dispatcher, backend), now)

    # --- what happens to requests ---

    def request_received(self, now: int, record: RequestRecord) -> None:
        """A dispatcher has a new request in hand."""
        self.requests[record.dispatcher, record.request_id] = record
        record.add_event(now, "taken")

    def client_disconnected(self, now: int, dispatcher: int, request_id: int) -> None:
        """Nobody waits for the answer any more."""
        record = self.requests[dispatcher, request_id]
        if record.answer is None:
            record.disconnected_at = now
            record.answer = Answer.DISCONNECTED
            record.add_event(now, "left")

    def attempt_sent(self, now: int, dispatcher: int, request_id: int, backend: int) -> None:
        """A dispatcher sends a request to a backend."""
        record = self.requests[dispatcher, request_id]
        if record.disconnected_at:
            if now > record.disconnected_at + DISCONNECT_GRACE:
                gone_since = f"{record.disconnected_at / TICKS_PER_MS:.1f}"
                text = f"was sent to runner {backend} for a client gone since {gone_since}"
                self._report_violation(now, Rule.ANSWERS, text, record)
        elif record.answer is not None:
            self._report_violation(
                now, Rule.ANSWERS, f"was sent to runner {backend} after its answer", record
            )
        since = self.excluded_since.get((dispatcher, backend))
        if since is not None and now > since + self.drain_grace:
            text = f"was sent to runner {backend}, known to end since {since / TICKS_PER_MS:.1f}"
            self._report_violation(now, Rule.LEAVING_BACKENDS, text, record)
        request_class = self.config.request_classes[record.request_class]
        for execution in record.possible_executions:
            if not self._may_repeat(now, request_class, execution, backend):
                text = f"was sent to runner {backend} though it may have run at {execution.backend}"
                self._report_violation(now, Rule.EXECUTIONS, text, record)
        record.possible_executions.append(Execution(now, backend))
        record.add_event(now, f"to {backend}")

    def _may_repeat(self, now: int, request_class: RequestClass, execution: Execution, backend: int) -> bool:
        """Whether a request that may have been executed may be sent to that backend."""
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
        """The last attempt at the backend is known not to have been executed."""
        record = self.requests[dispatcher, request_id]
        for position in range(len(record.possible_executions) - 1, -1, -1):
            if record.possible_executions[position].backend == backend:
                del record.possible_executions[position]
                break
        record.add_event(now, f"not run at {backend}")

    def request_answered(self, now: int, dispatcher: int, request_id: int, answer: Answer) -> None:
        """A dispatcher answers a request."""
        record = self.requests[dispatcher, request_id]
        self.answer_counts[answer] += 1
        if record.disconnected_at:
            return  # nobody gets it
        if record.answer is not None:
            self._report_violation(now, Rule.ANSWERS, f"was answered again ({answer})", record)
        elif now > record.deadline:
            self._report_violation(now, Rule.ANSWERS, f"was answered after its cut-off ({answer})", record)
        request_class = self.config.request_classes[record.request_class]
        is_harmless = request_class.idempotency == Idempotency.IDEMPOTENT or (
            request_class.idempotency == Idempotency.IDEMPOTENT_WITH_KEY
            and request_class.deduplication_scope == DeduplicationScope.GLOBAL
        )
        if answer is Answer.SHED and record.possible_executions and not is_harmless:
            self._report_violation(now, Rule.EXECUTIONS, "was shed though it may have run", record)
        record.answer = answer
        record.add_event(now, answer)

    def dispatcher_killed(self, now: int, dispatcher: int) -> None:
        """What it had in hand is lost with it, which no rule forbids."""
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
        """A request arrives at a backend that is warming up, with `capacity` slots' worth of speed now.

        The work that arrived within the overload period is held against what it can do, and the number of
        requests against what is allowed of mean work; of these, twice the root and two more are chance. The
        sum of all dispatchers counts, whoever sent them.
        """
        record = self.requests[dispatcher, request_id]
        arrivals = self._recent_arrivals(now, backend, service_time)
        allowed_work = self.config.overload_factor * capacity * self.config.overload_period
        if sum(arrival.service_time for arrival in arrivals) > allowed_work:
            self._report_violation(
                now, Rule.WARMING_BACKENDS, f"pushed the cold runner {backend} over", record
            )
        allowed_count = allowed_work / mean_service_time
        if len(arrivals) > allowed_count + 2 * sqrt(allowed_count) + 2:
            text = f"is call {len(arrivals)} at the cold runner {backend}, of {allowed_count:.1f}"
            self._report_violation(now, Rule.WARMING_BACKENDS, text, record)

    def _recent_arrivals(self, now: int, backend: int, service_time: int) -> Sequence[WarmingArrival]:
        """Those at the backend within the overload period, this one among them."""
        arrivals = self.warming_arrivals[backend]
        arrivals.append(WarmingArrival(now, service_time))
        while arrivals[0].at <= now - self.config.overload_period:
            arrivals.popleft()
        return arrivals

    def finish(self, now: int) -> None:
        """At the end: nobody may be without an answer whose deadline has passed."""
        for record in self.requests.values():
            if record.answer is None and now > record.deadline:
                self._report_violation(now, Rule.ANSWERS, "has no answer", record)
