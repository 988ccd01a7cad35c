"""The last load report of each backend, for the process that takes over."""

from collections.abc import Sequence
from typing import NamedTuple

from crankfold.network.timers import Clock


class LoadReport(NamedTuple):
    """A load report and when it came, in ticks; `values` stand in the order of the configured fields."""

    received_at: int
    values: Sequence[float]


class LoadReportStore:
    """Keeps one report for each backend, by its index."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.by_backend: dict[int, LoadReport] = {}

    def store(self, backend: int, values: Sequence[float]) -> None:
        """Replaces the backend's report; an empty one says nothing and is left out."""
        if values:
            self.by_backend[backend] = LoadReport(self.clock.now(), values)

    def received_since(self, earliest: int) -> dict[int, Sequence[float]]:
        """The reports that came after that tick, by backend."""
        return {
            backend: report.values
            for backend, report in self.by_backend.items()
            if report.received_at > earliest
        }
