"""Which process speaks for a name."""

MAX_RETIRED_INCARNATIONS = 8  # remembered of a name


class IncarnationTracker:
    """The present incarnation of each name, and earlier ones, which do not speak for it any more.

    Attributes:
        current: The present incarnation, by name.
    """

    def __init__(self) -> None:
        """Knows no name yet."""
        self.current: dict[str, int] = {}
        self._retired: dict[str, list[int]] = {}

    def accept(self, name: str, incarnation: int) -> bool:
        """Whether this incarnation speaks for the name; a new one does, and retires the one before it."""
        if incarnation in self._retired.get(name, ()):
            return False
        previous = self.current.get(name)
        if previous is not None and previous != incarnation:
            retired = self._retired.setdefault(name, [])
            retired.append(previous)
            del retired[:-MAX_RETIRED_INCARNATIONS]
        self.current[name] = incarnation
        return True
