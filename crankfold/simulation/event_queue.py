"""The event queue of a simulation: runs calls in order of time, equal times in order of scheduling."""

import heapq
from collections.abc import Callable


class EventQueue:
    """Runs scheduled calls in virtual time: `now` advances from one call to the next."""

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
        """Runs all calls due up to `end` (ticks, inclusive), including those scheduled while it runs."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = max(self.now, end)
