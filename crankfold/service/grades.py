"""Service grades over changes of the settings: units keep the orders under which they were taken."""

from collections.abc import Iterable, Sequence

from crankfold.dispatch.interface import ServiceGrade


class GradeBook:
    """Rows of grades. A name points to its newest row; older ones stay until their last unit has ended."""

    def __init__(self, names: Iterable[str], grades: Sequence[ServiceGrade]) -> None:
        self.rows = list(grades)
        self.open = [0] * len(self.rows)
        self.anew: frozenset[int] = frozenset()  # rows that the last renewal gave to another name
        self.row_of = {name: row for row, name in enumerate(names)}

    def find(self, name: str) -> int:
        return self.row_of.get(name, -1)

    def took(self, row: int) -> None:
        self.open[row] += 1

    def ended(self, row: int) -> None:
        self.open[row] -= 1

    def renew(self, names: Iterable[str], grades: Sequence[ServiceGrade]) -> bool:
        """Whether anything is different. A name not among `names` is known no longer."""
        before, after = self.row_of, dict(zip(names, grades, strict=True))
        self.row_of = {name: before[name] for name, grade in after.items()
                       if name in before and self.rows[before[name]] == grade}
        kept = set(self.row_of.values())
        free = [row for row, units in enumerate(self.open) if not units and row not in kept]
        for name, grade in after.items():
            if name in self.row_of:
                continue
            if free:
                row = free.pop(0)
                self.rows[row] = grade
            else:
                row = len(self.rows)
                self.rows.append(grade)
                self.open.append(0)
            self.row_of[name] = row
        # One of another name that reads the same is another: what was learnt of one is not the other's.
        self.anew = frozenset(self.row_of.values()) - kept
        return self.row_of != before
