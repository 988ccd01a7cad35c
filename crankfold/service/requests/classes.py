"""Request classes over changes of the configuration: a request keeps the class that it came under."""

from collections.abc import Iterable, Sequence

from crankfold.routing.interface import RequestClass


class RequestClassTable:
    """Rows of request classes, as routing knows them by index.

    A name points to its newest row; an older one stays until its last request has ended.

    Args:
        names: The names of the classes.
        classes: The classes, in the same order.

    Attributes:
        open_counts: How many requests in hand came under each row.
        reassigned: The rows that the last update gave to another class.
        index_by_name: The row that requests of a class come under now.
    """

    def __init__(self, names: Iterable[str], classes: Sequence[RequestClass]) -> None:
        self.classes = list(classes)
        self.open_counts = [0] * len(self.classes)
        self.reassigned: frozenset[int] = frozenset()
        self.index_by_name = {name: index for index, name in enumerate(names)}

    def find(self, name: str) -> int:
        """The row of that class, -1 if there is none of that name."""
        return self.index_by_name.get(name, -1)

    def request_opened(self, index: int) -> None:
        """Counts a request under that row."""
        self.open_counts[index] += 1

    def request_closed(self, index: int) -> None:
        """Counts a request under that row no longer."""
        self.open_counts[index] -= 1

    def update(self, names: Iterable[str], classes: Sequence[RequestClass]) -> bool:
        """Takes over the classes of another configuration; a name that is not among them is forgotten.

        Returns:
            Whether any name points to another row than before.
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
        # A class of another name with the same settings is another class: what routing learnt of one says
        # nothing of the other.
        self.reassigned = frozenset(self.index_by_name.values()) - unchanged
        return self.index_by_name != previous

    def _assign_row(self, request_class: RequestClass, free: list[int]) -> int:
        """Puts a class in the first free row, which is taken off the list, or in a new one."""
        if free:
            index = free.pop(0)
            self.classes[index] = request_class
        else:
            index = len(self.classes)
            self.classes.append(request_class)
            self.open_counts.append(0)
        return index
