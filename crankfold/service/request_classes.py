"""Service grades over changes of the settings: units keep the orders under which they were taken."""

from collections.abc import Iterable, Sequence

from crankfold.routing.interface import RequestClass


class RequestClassTable:
    """Rows of grades. A name points to its newest row; older ones stay until their last unit has ended."""

    def __init__(self, names: Iterable[str], grades: Sequence[RequestClass]) -> None:
        self.classes = list(grades)
        self.open_counts = [0] * len(self.classes)
        self.reassigned: frozenset[int] = frozenset()  # rows that the last renewal gave to another name
        self.index_by_name = {name: row for row, name in enumerate(names)}

    def find(self, name: str) -> int:
        return self.index_by_name.get(name, -1)

    def request_opened(self, row: int) -> None:
        self.open_counts[row] += 1

    def request_closed(self, row: int) -> None:
        self.open_counts[row] -= 1

    def update(self, names: Iterable[str], grades: Sequence[RequestClass]) -> bool:
        """Whether anything is different. A name not among `names` is known no longer."""
        before, after = self.index_by_name, dict(zip(names, grades, strict=True))
        self.index_by_name = {
            name: before[name]
            for name, grade in after.items()
            if name in before and self.classes[before[name]] == grade
        }
        kept = set(self.index_by_name.values())
        free = [row for row, units in enumerate(self.open_counts) if not units and row not in kept]
        for name, grade in after.items():
            if name in self.index_by_name:
                continue
            if free:
                row = free.pop(0)
                self.classes[row] = grade
            else:
                row = len(self.classes)
                self.classes.append(grade)
                self.open_counts.append(0)
            self.index_by_name[name] = row
        # One of another name that reads the same is another: what was learnt of one is not the other's.
        self.reassigned = frozenset(self.index_by_name.values()) - kept
        return self.index_by_name != before
