"""The four rules, checked from what happens in the world and not from what a policy keeps."""

from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field
from math import sqrt

from crankfold.routing.interface import DeduplicationScope, EndpointState, Idempotency, RoutingConfig

HISTORY_LENGTH = 12
PROPAGATION_LIMIT = 60_000  # a change counts as told so long after discovery had it and could be reached
DISCONNECT_GRACE = 1_000  # nothing is sent so long after the client has gone


@dataclass(slots=True)
class RequestRecord:
    """What happened to one unit."""

    dispatcher: int
    request_id: int
    request_class: int
    deadline: int
    answer: str = ""
    disconnected_at: int = 0  # when its client went
    # When sent and where, unless known not to have run there.
    possible_executions: list[tuple[int, int]] = field(default_factory=list)
    history: deque[str] = field(default_factory=lambda: deque(maxlen=HISTORY_LENGTH))


class InvariantChecker:
    def __init__(self, orders: RoutingConfig, grace: int) -> None:
        self.config, self.drain_grace = orders, grace
        self.requests: dict[tuple[int, int], RequestRecord] = {}
        self.answer_counts: Counter[str] = Counter()
        self.zone_of: dict[int, int] = {}
        self.cell_of: dict[int, int] = {}
        # By dispatcher and runner: when it was told that the runner drains or is gone.
        self.excluded_since: dict[tuple[int, int], int] = {}
        self.warming_arrivals: dict[int, deque[tuple[int, float]]] = defaultdict(deque)
        self.change_counts: dict[int, int] = {}  # by runner, how many discovery has had
        self.violations: list[str] = []

    def _report_violation(self, now: int, rule: int, what: str, record: RequestRecord) -> None:
        self.violations.append(
            f"rule {rule} at {now / 10:.1f} ms: unit {record.request_id} of dispatcher "
            f"{record.dispatcher} {what}; before: {'; '.join(record.history)}"
        )

    def request_received(self, now: int, dispatcher: int, unit: int, grade: int, cutoff: int) -> None:
        record = self.requests[dispatcher, unit] = RequestRecord(dispatcher, unit, grade, cutoff)
        record.history.append(f"{now / 10:.1f} taken")

    def state_told(
        self, now: int, dispatcher: int, runner: int, standing: EndpointState, zone: int, cell: int
    ) -> None:
        self.zone_of[runner], self.cell_of[runner] = zone, cell
        if standing == EndpointState.READY:
            self.excluded_since.pop((dispatcher, runner), None)
        else:
            self.excluded_since.setdefault((dispatcher, runner), now)

    def change_discovered(self, runner: int) -> int:
        """A change that discovery could tell of from now on, had it been asked: its number."""
        self.change_counts[runner] = self.change_counts.get(runner, 0) + 1
        return self.change_counts[runner]

    def propagation_expired(
        self, now: int, dispatcher: int, runner: int, standing: EndpointState, change: int
    ) -> None:
        """Its time to be told is over, whether or not it was. News that came since goes before it."""
        if self.change_counts[runner] == change and standing != EndpointState.READY:
            self.excluded_since.setdefault((dispatcher, runner), now)

    def client_disconnected(self, now: int, dispatcher: int, unit: int) -> None:
        record = self.requests[dispatcher, unit]
        if not record.answer:
            record.disconnected_at, record.answer = now, "left"
            record.history.append(f"{now / 10:.1f} left")

    def attempt_sent(self, now: int, dispatcher: int, unit: int, runner: int) -> None:
        record = self.requests[dispatcher, unit]
        if record.disconnected_at:
            if now > record.disconnected_at + DISCONNECT_GRACE:
                self._report_violation(
                    now,
                    1,
                    f"was sent to runner {runner} for a client gone since {record.disconnected_at / 10:.1f}",
                    record,
                )
        elif record.answer:
            self._report_violation(now, 1, f"was sent to runner {runner} after its answer", record)
        since = self.excluded_since.get((dispatcher, runner))
        if since is not None and now > since + self.drain_grace:
            self._report_violation(
                now, 3, f"was sent to runner {runner}, known to end since {since / 10:.1f}", record
            )
        grade = self.config.request_classes[record.request_class]
        for sent_at, other in record.possible_executions:
            inside = (
                grade.idempotency == Idempotency.IDEMPOTENT_WITH_KEY
                and now < sent_at + grade.deduplication_window
                and (
                    grade.deduplication_scope == DeduplicationScope.GLOBAL
                    or grade.deduplication_scope == DeduplicationScope.ZONE
                    and self.zone_of[other] == self.zone_of[runner]
                    or grade.deduplication_scope == DeduplicationScope.CELL
                    and self.cell_of[other] == self.cell_of[runner]
                )
            )
            if grade.idempotency != Idempotency.IDEMPOTENT and not inside:
                self._report_violation(
                    now, 2, f"was sent to runner {runner} though it may have run at {other}", record
                )
        record.possible_executions.append((now, runner))
        record.history.append(f"{now / 10:.1f} to {runner}")

    def attempt_not_executed(self, now: int, dispatcher: int, unit: int, runner: int) -> None:
        """A dispatch that is known not to have run: the last one there."""
        record = self.requests[dispatcher, unit]
        for place in range(len(record.possible_executions) - 1, -1, -1):
            if record.possible_executions[place][1] == runner:
                del record.possible_executions[place]
                break
        record.history.append(f"{now / 10:.1f} not run at {runner}")

    def request_answered(self, now: int, dispatcher: int, unit: int, how: str) -> None:
        record = self.requests[dispatcher, unit]
        self.answer_counts[how] += 1
        if record.disconnected_at:
            return  # nobody hears it
        if record.answer:
            self._report_violation(now, 1, f"was answered again ({how})", record)
        elif now > record.deadline:
            self._report_violation(now, 1, f"was answered after its cut-off ({how})", record)
        grade = self.config.request_classes[record.request_class]
        harmless = grade.idempotency == Idempotency.IDEMPOTENT or (
            grade.idempotency == Idempotency.IDEMPOTENT_WITH_KEY
            and grade.deduplication_scope == DeduplicationScope.GLOBAL
        )
        if how == "shed" and record.possible_executions and not harmless:
            self._report_violation(now, 2, "was shed though it may have run", record)
        record.answer = how
        record.history.append(f"{now / 10:.1f} {how}")

    def dispatcher_killed(self, now: int, dispatcher: int) -> None:
        """What it had in hand is lost with it, which no rule forbids; told anew, it knows nothing."""
        for record in self.requests.values():
            if record.dispatcher == dispatcher and not record.answer:
                record.answer = "lost"
                record.history.append(f"{now / 10:.1f} lost")

    def warming_backend_reached(
        self, now: int, dispatcher: int, unit: int, runner: int, burden: float, capacity: float, mean: float
    ) -> None:
        """At a cold runner: work that came within the stated time, against what it can do at this moment, and
        calls against what are allowed of mean work; beyond these only 2 x root of N + 2 are chance. Whoever
        sent them: the sum of all dispatchers counts."""
        came = self.warming_arrivals[runner]
        came.append((now, burden))
        while came[0][0] <= now - self.config.overload_period:
            came.popleft()
        if sum(one for _, one in came) > self.config.overload_factor * capacity * self.config.overload_period:
            self._report_violation(
                now, 4, f"pushed the cold runner {runner} over", self.requests[dispatcher, unit]
            )
        budget = self.config.overload_factor * capacity * self.config.overload_period / mean
        if len(came) > budget + 2 * sqrt(budget) + 2:
            self._report_violation(
                now,
                4,
                f"is call {len(came)} at the cold runner {runner}, of {budget:.1f}",
                self.requests[dispatcher, unit],
            )

    def finish(self, now: int) -> None:
        """At the end: whoever has no answer though the cut-off has passed."""
        for record in self.requests.values():
            if not record.answer and now > record.deadline:
                self._report_violation(now, 1, "has no answer", record)
