"""The records of requests in hand, of their attempts and of the request classes.

Times and work are ticks of 0.1 ms.
"""

from crankfold.routing.backend_table import Backend
from crankfold.routing.interface import RequestClass


class ClassRecord:
    """A request class: its settings in force and what is known of its requests."""

    __slots__ = ("earned_value", "offered_value", "settings", "typical_run")

    def __init__(self, settings: RequestClass) -> None:
        self.settings = settings
        self.offered_value = 0.0  # of requests that came in, fading
        self.earned_value = 0.0  # of those completed in time, fading
        self.typical_run = 0.0  # running time, followed as responses come
        self.forget_run()

    def forget_run(self) -> None:
        """Starts the typical running time anew: a client is taken to wait for some ten times of it."""
        self.typical_run = max(self.settings.deadline / 10, 1.0)


class Attempt:
    """One sending of a request to a backend."""

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
        self.started_at = -1  # -1 until it is known to have started
        self.slow_start = slow_start  # paced by the slow-start budget and outside the concurrency limit
        self.in_flight = True
        self.may_have_executed = True


class PendingRequest:
    """A request that is owed an answer, or that still has attempts in flight."""

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
        self.deadline = deadline  # when the answer has to be under way
        self.objective_at = objective_at  # from then on an answer is late
        self.work = work  # as hinted; 0 without a hint
        self.slots = slots
        self.max_attempts = max_attempts
        self.key = key  # of the data that a backend keeps for the next request with it; 0 for none
        self.attempts: list[Attempt] = []
        self.answered = False
        self.hedge_delay = 0  # until a silent attempt is looked at

    @property
    def expected_work(self) -> float:
        """Ticks of work: as hinted, else the typical running time of the class."""
        return self.work or self.request_class.typical_run

    @property
    def in_flight(self) -> bool:
        """Whether any attempt is in flight."""
        return True in [attempt.in_flight for attempt in self.attempts]  # faster than any() for so few

    def value(self, *, by_work: bool) -> float:
        """What completing it adds to the service: by work done or by request, as the settings say."""
        weight = self.request_class.settings.priority_weight
        return weight * (self.slots * self.expected_work if by_work else 1.0)


class AttemptScope:
    """Where a further attempt may go: within a zone or a cell, -1 for any."""

    __slots__ = ("cell", "zone")

    def __init__(self, zone: int = -1, cell: int = -1) -> None:
        self.zone = zone
        self.cell = cell


ANYWHERE = AttemptScope()
