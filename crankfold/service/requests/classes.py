"""Request classes across configuration changes: a request keeps the class that it was admitted under."""

from collections.abc import Iterable, Sequence

from crankfold.routing.interface import RequestClass


class RequestClassTable:
    """The request classes by row; the router identifies a class by the index of its row.

    A name maps to its newest row. An older row stays until its last request has ended.

    Args:
        names: The names of the classes.
        classes: The classes, in the same order.

    Attributes:
        open_counts: The number of requests in progress for each row.
        reassigned: The rows that the last update assigned to another class.
        index_by_name: The row for new requests, by the name of the class.
    """

    def __init__(self, names: Iterable[str], classes: Sequence[RequestClass]) -> None:
        self.classes = list(classes)
        self.open_counts = [0] * len(self.classes)
        self.reassigned: frozenset[int] = frozenset()
        self.index_by_name = {name: index for index, name in enumerate(names)}

    def find(self, name: str) -> int:
        """Returns the row of the class with that name, or -1 if there is none."""
        return self.index_by_name.get(name, -1)

    def request_opened(self, index: int) -> None:
        """Counts a request that was admitted under the class of that row."""
        self.open_counts[index] += 1

    def request_closed(self, index: int) -> None:
        """Stops counting a request, which has ended, for that row."""
        self.open_counts[index] -= 1

    def update(self, names: Iterable[str], classes: Sequence[RequestClass]) -> bool:
        """Replaces the classes with those of a new configuration.

        Returns:
            Whether any name maps to another row than before.
        """
        previous = self.index_by_name
        current = dict(zip(names, classes, strict=True))
        self.index_by_name = {
            name: previous[name]
            for name, request_class in current.items()
            if name in previous and self.classes[previous[name]] == request_class
        }
        unchanged = set(self.index_by_name.values())
        free = [index for index, count in enumerate(self.open_counts) if not count and index not in unchanged]
        for name, request_class in current.items():
            if name not in self.index_by_name:
                self.index_by_name[name] = self._assign_row(request_class, free)
        # Classes with different names differ even if their settings are equal: the statistics of the router
        # for one do not apply to the other.
        self.reassigned = frozenset(self.index_by_name.values()) - unchanged
        return self.index_by_name != previous

    def _assign_row(self, request_class: RequestClass, free: list[int]) -> int:
        """Stores a class in the first free row, which it removes from `free`, or in a new row."""
        if free:
            index = free.pop(0)
            self.classes[index] = request_class
        else:
            index = len(self.classes)
            self.classes.append(request_class)
            self.open_counts.append(0)
        return index
