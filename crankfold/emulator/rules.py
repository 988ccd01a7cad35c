"""The four rules, checked from what happens in the world and not from what a policy keeps."""

from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field
from math import sqrt

from crankfold.dispatch.interface import Effect, Group, Standing, StandingOrders

HISTORY = 12
TOLD = 60_000  # a change counts as told so long after discovery had it and could be reached
LEFT = 1_000  # nothing is sent so long after the client has gone


@dataclass(slots=True)
class Record:
    """What happened to one unit."""

    dispatcher: int
    unit: int
    grade: int
    cutoff: int
    answered: str = ""
    left: int = 0  # when its client went
    # When sent and where, unless known not to have run there.
    may_have_run: list[tuple[int, int]] = field(default_factory=list)
    past: deque[str] = field(default_factory=lambda: deque(maxlen=HISTORY))


class Rules:
    def __init__(self, orders: StandingOrders, grace: int) -> None:
        self.orders, self.grace = orders, grace
        self.units: dict[tuple[int, int], Record] = {}
        self.ended_as: Counter[str] = Counter()
        self.zone: dict[int, int] = {}
        self.cell: dict[int, int] = {}
        # By dispatcher and runner: when it was told that the runner drains or is gone.
        self.unwanted: dict[tuple[int, int], int] = {}
        self.burdens: dict[int, deque[tuple[int, float]]] = defaultdict(deque)
        self.changes: dict[int, int] = {}  # by runner, how many discovery has had
        self.broken: list[str] = []

    def _break(self, now: int, rule: int, what: str, record: Record) -> None:
        self.broken.append(f"rule {rule} at {now / 10:.1f} ms: unit {record.unit} of dispatcher "
                           f"{record.dispatcher} {what}; before: {'; '.join(record.past)}")

    def taken(self, now: int, dispatcher: int, unit: int, grade: int, cutoff: int) -> None:
        record = self.units[dispatcher, unit] = Record(dispatcher, unit, grade, cutoff)
        record.past.append(f"{now / 10:.1f} taken")

    def told(self, now: int, dispatcher: int, runner: int, standing: Standing, zone: int, cell: int) -> None:
        self.zone[runner], self.cell[runner] = zone, cell
        if standing == Standing.READY:
            self.unwanted.pop((dispatcher, runner), None)
        else:
            self.unwanted.setdefault((dispatcher, runner), now)

    def discovered(self, runner: int) -> int:
        """A change that discovery could tell of from now on, had it been asked: its number."""
        self.changes[runner] = self.changes.get(runner, 0) + 1
        return self.changes[runner]

    def counts_as_told(self, now: int, dispatcher: int, runner: int, standing: Standing, change: int) -> None:
        """Its time to be told is over, whether or not it was. News that came since goes before it."""
        if self.changes[runner] == change and standing != Standing.READY:
            self.unwanted.setdefault((dispatcher, runner), now)

    def client_left(self, now: int, dispatcher: int, unit: int) -> None:
        record = self.units[dispatcher, unit]
        if not record.answered:
            record.left, record.answered = now, "left"
            record.past.append(f"{now / 10:.1f} left")

    def dispatched(self, now: int, dispatcher: int, unit: int, runner: int) -> None:
        record = self.units[dispatcher, unit]
        if record.left:
            if now > record.left + LEFT:
                self._break(now, 1, f"was sent to runner {runner} for a client gone since "
                            f"{record.left / 10:.1f}", record)
        elif record.answered:
            self._break(now, 1, f"was sent to runner {runner} after its answer", record)
        since = self.unwanted.get((dispatcher, runner))
        if since is not None and now > since + self.grace:
            self._break(now, 3, f"was sent to runner {runner}, known to end since {since / 10:.1f}", record)
        grade = self.orders.grades[record.grade]
        for sent_at, other in record.may_have_run:
            inside = grade.effect == Effect.TAGGED and now < sent_at + grade.window and (
                grade.group == Group.ALL
                or grade.group == Group.ZONE and self.zone[other] == self.zone[runner]
                or grade.group == Group.CELL and self.cell[other] == self.cell[runner])
            if grade.effect != Effect.REPEATABLE and not inside:
                self._break(now, 2, f"was sent to runner {runner} though it may have run at {other}", record)
        record.may_have_run.append((now, runner))
        record.past.append(f"{now / 10:.1f} to {runner}")

    def never_ran(self, now: int, dispatcher: int, unit: int, runner: int) -> None:
        """A dispatch that is known not to have run: the last one there."""
        record = self.units[dispatcher, unit]
        for place in range(len(record.may_have_run) - 1, -1, -1):
            if record.may_have_run[place][1] == runner:
                del record.may_have_run[place]
                break
        record.past.append(f"{now / 10:.1f} not run at {runner}")

    def answered(self, now: int, dispatcher: int, unit: int, how: str) -> None:
        record = self.units[dispatcher, unit]
        self.ended_as[how] += 1
        if record.left:
            return  # nobody hears it
        if record.answered:
            self._break(now, 1, f"was answered again ({how})", record)
        elif now > record.cutoff:
            self._break(now, 1, f"was answered after its cut-off ({how})", record)
        grade = self.orders.grades[record.grade]
        harmless = grade.effect == Effect.REPEATABLE or (
            grade.effect == Effect.TAGGED and grade.group == Group.ALL)
        if how == "shed" and record.may_have_run and not harmless:
            self._break(now, 2, "was shed though it may have run", record)
        record.answered = how
        record.past.append(f"{now / 10:.1f} {how}")

    def killed(self, now: int, dispatcher: int) -> None:
        """What it had in hand is lost with it, which no rule forbids; told anew, it knows nothing."""
        for record in self.units.values():
            if record.dispatcher == dispatcher and not record.answered:
                record.answered = "lost"
                record.past.append(f"{now / 10:.1f} lost")

    def arrived(self, now: int, dispatcher: int, unit: int, runner: int, burden: float,
                capacity: float, mean: float) -> None:
        """At a cold runner: work that came within the stated time, against what it can do at this moment, and
        calls against what are allowed of mean work; beyond these only 2 x root of N + 2 are chance. Whoever
        sent them: the sum of all dispatchers counts."""
        came = self.burdens[runner]
        came.append((now, burden))
        while came[0][0] <= now - self.orders.overload_for:
            came.popleft()
        if sum(one for _, one in came) > self.orders.overload_factor * capacity * self.orders.overload_for:
            self._break(now, 4, f"pushed the cold runner {runner} over", self.units[dispatcher, unit])
        budget = self.orders.overload_factor * capacity * self.orders.overload_for / mean
        if len(came) > budget + 2 * sqrt(budget) + 2:
            self._break(now, 4, f"is call {len(came)} at the cold runner {runner}, of {budget:.1f}",
                        self.units[dispatcher, unit])

    def over(self, now: int) -> None:
        """At the end: whoever has no answer though the cut-off has passed."""
        for record in self.units.values():
            if not record.answered and now > record.cutoff:
                self._break(now, 1, "has no answer", record)
