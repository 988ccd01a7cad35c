"""The fields of a load report, whose order is configured."""

from collections.abc import Sequence


class ReportFields:
    """Reads the values that the rules use from a report, a sequence of values."""

    def __init__(self, names: Sequence[str]) -> None:
        indices = {name: index for index, name in enumerate(names)}
        self._queue = indices.get("queue", -1)
        self._free_slots = indices.get("free_slots", -1)

    def queue(self, report: Sequence[float]) -> float:
        """Returns the number of requests queued at the backend; 0 if the report does not contain it."""
        return report[self._queue] if 0 <= self._queue < len(report) else 0.0

    def free_slots(self, report: Sequence[float]) -> float:
        """Returns the number of free slots of the backend; 0 if the report does not contain it."""
        return report[self._free_slots] if 0 <= self._free_slots < len(report) else 0.0
