"""The fields of a load report: their order is configured."""

from collections.abc import Sequence


class ReportFields:
    """Finds in a report, a sequence of figures, those that the decisions know by name."""

    def __init__(self, names: Sequence[str]) -> None:
        indices = {name: index for index, name in enumerate(names)}
        self._queue = indices.get("queue", -1)
        self._free_slots = indices.get("free_slots", -1)

    def queue(self, report: Sequence[float]) -> float:
        """Requests that wait at the backend; 0 where the report does not say."""
        return report[self._queue] if 0 <= self._queue < len(report) else 0.0

    def free_slots(self, report: Sequence[float]) -> float:
        """Slots that are free there; 0 where the report does not say."""
        return report[self._free_slots] if 0 <= self._free_slots < len(report) else 0.0
