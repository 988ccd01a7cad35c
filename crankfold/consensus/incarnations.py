"""The incarnations of each member name. Every process that uses the name is an incarnation of its own."""

MAX_RETIRED_INCARNATIONS = 8  # retained for each name


class IncarnationTracker:
    """Tracks the current and the retired incarnations of each name. Messages of retired ones are rejected.

    Attributes:
        current: The current incarnation, by name.
    """

    def __init__(self) -> None:
        """Starts without names."""
        self.current: dict[str, int] = {}
        self._retired: dict[str, list[int]] = {}

    def is_retired(self, name: str, incarnation: int) -> bool:
        """Whether a later incarnation has replaced this one."""
        return incarnation in self._retired.get(name, ())

    def accept(self, name: str, incarnation: int) -> bool:
        """Accepts an incarnation unless it is retired; a new incarnation retires the current one."""
        if self.is_retired(name, incarnation):
            return False
        previous = self.current.get(name)
        if previous is not None and previous != incarnation:
            retired = self._retired.setdefault(name, [])
            retired.append(previous)
            del retired[:-MAX_RETIRED_INCARNATIONS]
        self.current[name] = incarnation
        return True
