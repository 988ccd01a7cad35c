"""The records of pending requests, of their attempts and of the request classes.

Times, durations and work are ticks.
"""

from crankfold.routing.backend_table import Backend
from crankfold.routing.interface import RequestClass

ASSUMED_RUNS_PER_DEADLINE = 10  # typical running times that a deadline covers, while no run is known
MIN_TYPICAL_RUN_TICKS = 1.0
NOT_STARTED = -1  # the value of `started_at` while no start is known


class ClassRecord:
    """A request class: its settings in force, and figures of its requests.

    Attributes:
        settings: The settings in force.
        offered_value: Decaying sum of the values of received requests.
        earned_value: Decaying sum of the values of requests completed in time.
        typical_run: Moving average of the running time.
    """

    __slots__ = ("earned_value", "offered_value", "settings", "typical_run")

    def __init__(self, settings: RequestClass) -> None:
        self.settings = settings
        self.offered_value = 0.0
        self.earned_value = 0.0
        self.typical_run = 0.0
        self.reset_typical_run()

    def reset_typical_run(self) -> None:
        """Resets the typical running time to a value assumed from the deadline."""
        self.typical_run = max(self.settings.deadline / ASSUMED_RUNS_PER_DEADLINE, MIN_TYPICAL_RUN_TICKS)


class Attempt:
    """One attempt to have a request executed by a backend.

    Attributes:
        backend: The backend that it was sent to.
        sent_at: When it was sent.
        last_seen_at: When the backend last notified its start or progress; at first, when it was sent.
        started_at: When it started; NOT_STARTED before.
        slow_start: Whether it is charged to the slow-start budget instead of the concurrency limit.
        in_flight: Whether it has not ended yet.
        may_have_executed: Whether the backend may have executed the request.
    """

    __slots__ = (
        "backend",
        "in_flight",
        "last_seen_at",
        "may_have_executed",
        "sent_at",
        "slow_start",
        "started_at",
    )

    def __init__(self, backend: Backend, now: int, *, slow_start: bool) -> None:
        self.backend = backend
        self.sent_at = now
        self.last_seen_at = now
        self.started_at = NOT_STARTED
        self.slow_start = slow_start
        self.in_flight = True
        self.may_have_executed = True


class PendingRequest:
    """A request without a final answer, or with attempts in flight.

    Attributes:
        request_id: Index of the request.
        request_class: Its class.
        deadline: When its final answer is due, less the margin for late timers.
        objective_at: When its latency objective ends; a later response is late.
        work: Work as hinted by the client; 0 without a hint.
        slots: Slots that it occupies at a backend.
        max_attempts: Highest number of attempts, by the settings at its arrival.
        key: Affinity key of the data that it needs; 0 for none.
        attempts: Its attempts, in the order of their numbers.
        answered: Whether it has its final answer, or needs none.
        hedge_delay: Time until its attempts are next checked for a stall.
    """

    __slots__ = (
        "answered",
        "attempts",
        "deadline",
        "hedge_delay",
        "key",
        "max_attempts",
        "objective_at",
        "request_class",
        "request_id",
        "slots",
        "work",
    )

    def __init__(
        self,
        request_id: int,
        request_class: ClassRecord,
        *,
        deadline: int,
        objective_at: int,
        work: int,
        slots: float,
        max_attempts: int,
        key: int,
    ) -> None:
        self.request_id = request_id
        self.request_class = request_class
        self.deadline = deadline
        self.objective_at = objective_at
        self.work = work
        self.slots = slots
        self.max_attempts = max_attempts
        self.key = key
        self.attempts: list[Attempt] = []
        self.answered = False
        self.hedge_delay = 0

    @property
    def expected_work(self) -> float:
        """The hinted work, or the typical running time of the class without a hint."""
        return self.work or self.request_class.typical_run

    @property
    def in_flight(self) -> bool:
        """Whether any attempt is in flight."""
        return True in [
            attempt.in_flight for attempt in self.attempts
        ]  # faster than any() for a few attempts

    def value(self, *, by_work: bool) -> float:
        """Returns the value of completing the request: its priority weight, times its work if `by_work`."""
        weight = self.request_class.settings.priority_weight
        return weight * (self.slots * self.expected_work if by_work else 1.0)


ANY = -1  # any zone or any cell


class AttemptScope:
    """The backends that another attempt may be sent to: those of a zone, of a cell, or all."""

    __slots__ = ("cell", "zone")

    def __init__(self, zone: int = ANY, cell: int = ANY) -> None:
        self.zone = zone
        self.cell = cell


ANYWHERE = AttemptScope()
