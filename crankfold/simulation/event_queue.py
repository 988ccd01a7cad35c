"""The clock of a simulation: calls run in the order of their times; equal times keep scheduling order."""

import heapq
from collections.abc import Callable


class EventQueue:
    """A clock that jumps from one scheduled call to the next."""

    def __init__(self) -> None:
        self.now = 0  # ticks
        self._sequence_number = 0
        self._heap: list[tuple[int, int, Callable[[], object]]] = []

    def schedule(self, delay: int, call: Callable[[], object]) -> None:
        """Schedules a call.

        Args:
            delay: Ticks from now; a negative delay counts as 0.
            call: Called without arguments; its result is ignored.
        """
        heapq.heappush(self._heap, (self.now + max(delay, 0), self._sequence_number, call))
        self._sequence_number += 1

    def run(self, end: int) -> None:
        """Runs all calls due up to `end` (ticks, inclusive), also those scheduled while it runs."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = max(self.now, end)
