"""Stores the last load report of each backend, which a successor process inherits."""

from collections.abc import Sequence
from typing import NamedTuple

from crankfold.network.timers import Clock


class LoadReport(NamedTuple):
    """A load report with its arrival time in ticks; `values` has the order of the configured fields."""

    received_at: int
    values: Sequence[float]


class LoadReportStore:
    """Holds the last report of each backend, by the index of the backend."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.by_backend: dict[int, LoadReport] = {}

    def store(self, backend: int, values: Sequence[float]) -> None:
        """Replaces the report of a backend, unless the new one is empty."""
        if values:
            self.by_backend[backend] = LoadReport(self.clock.now(), values)

    def received_since(self, earliest: int) -> dict[int, Sequence[float]]:
        """Returns the reports that arrived after the tick `earliest`, by backend."""
        return {
            backend: report.values
            for backend, report in self.by_backend.items()
            if report.received_at > earliest
        }
