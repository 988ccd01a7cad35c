"""The present incarnation, that is process, of each member name."""

MAX_RETIRED_INCARNATIONS = 8  # retained by name


class IncarnationTracker:
    """The present incarnation and the retired ones of each name; messages of retired ones are rejected.

    Attributes:
        current: The present incarnation, by name.
    """

    def __init__(self) -> None:
        """Starts without names."""
        self.current: dict[str, int] = {}
        self._retired: dict[str, list[int]] = {}

    def is_retired(self, name: str, incarnation: int) -> bool:
        """Whether a later incarnation has replaced this one."""
        return incarnation in self._retired.get(name, ())

    def accept(self, name: str, incarnation: int) -> bool:
        """Accepts an incarnation unless it is retired; a new incarnation retires the present one."""
        if self.is_retired(name, incarnation):
            return False
        previous = self.current.get(name)
        if previous is not None and previous != incarnation:
            retired = self._retired.setdefault(name, [])
            retired.append(previous)
            del retired[:-MAX_RETIRED_INCARNATIONS]
        self.current[name] = incarnation
        return True
