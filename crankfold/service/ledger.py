"""The units in hand: which id is which number, and what became of each dispatch."""

import asyncio
from collections.abc import Callable, Sequence

from crankfold.network.listener import Client
from crankfold.network.runners import Exchange
from crankfold.service.grades import GradeBook


class Trip:
    """One dispatch."""

    __slots__ = ("nth", "runner", "began", "exchange", "out", "started", "taken", "ran_on", "may_have_run")

    def __init__(self, nth: int, runner: int, began: int) -> None:
        self.nth, self.runner, self.began = nth, runner, began
        self.exchange: Exchange | None = None
        self.out, self.started, self.taken = True, False, False
        self.ran_on = False  # given up without news of its end: the runner may still have it
        self.may_have_run = True

    def reached(self) -> bool:
        """Whether it went out on a connection."""
        return self.exchange is not None and self.exchange.connection is not None


class Work:
    """One unit."""

    __slots__ = ("no", "ident", "client", "cutoff", "again", "trips", "open", "time_up", "row", "counted")

    def __init__(self, no: int, row: int, ident: str, client: Client, cutoff: int,
                 again: tuple[bytes, bytes, list[tuple[bytes, bytes]], bytes]) -> None:
        self.row = row  # of its grade
        self.no, self.ident, self.client, self.cutoff, self.again = no, ident, client, cutoff, again
        self.trips: list[Trip] = []
        self.open = True
        self.counted: Sequence[str] = ()  # the limits for the whole fleet of which it holds a place
        self.time_up: asyncio.TimerHandle | None = None


class Ledger:
    """Units are numbered as they come, and kept until they are answered and their last dispatch has ended."""

    def __init__(self, grades: GradeBook) -> None:
        self.grades = grades
        self.units: dict[int, Work] = {}
        self.by_ident: dict[str, Work] = {}
        self.by_client: dict[Client, Work] = {}
        self.next = 0
        self.let_go: Callable[[Sequence[str]], None] | None = None

    def enter(self, row: int, ident: str, client: Client, cutoff: int,
              again: tuple[bytes, bytes, list[tuple[bytes, bytes]], bytes]) -> Work:
        work = Work(self.next, row, ident, client, cutoff, again)
        self.next += 1
        self.grades.took(row)
        self.units[work.no] = self.by_ident[ident] = self.by_client[client] = work
        return work

    def close(self, work: Work) -> None:
        if work.counted and work.open and self.let_go:
            self.let_go(work.counted)
        work.open = False
        self.by_client.pop(work.client, None)

    def forget(self, work: Work) -> None:
        """If nothing more can come for it: an answer is owed no longer, and no dispatch is out."""
        if not work.open and not any(trip.out for trip in work.trips):
            if self.units.pop(work.no, None):
                self.grades.ended(work.row)
            if work.time_up:
                work.time_up.cancel()  # or it would keep the body until the cut-off
            if self.by_ident.get(work.ident) is work:
                del self.by_ident[work.ident]

    def trip(self, ident: str, runner: int) -> tuple[Work, Trip] | None:
        """The dispatch that a runner speaks of; it has one of a unit at a time."""
        work = self.by_ident.get(ident)
        for trip in work.trips if work else ():
            if work and trip.runner == runner and trip.out:
                return work, trip
        return None

    def ended_after_all(self, ident: str, runner: int) -> None:
        """A dispatch that was given up on has come to its end at the runner."""
        work = self.by_ident.get(ident)
        for trip in work.trips if work else ():
            if trip.runner == runner:
                trip.ran_on = False
