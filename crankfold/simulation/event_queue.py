"""Simulated time: calls in the order of their times, and of scheduling where times are equal."""

import heapq
from collections.abc import Callable


class EventQueue:
    """A clock that jumps from one scheduled call to the next."""

    def __init__(self) -> None:
        self.now = 0  # ticks
        self._sequence_number = 0
        self._heap: list[tuple[int, int, Callable[[], object]]] = []

    def schedule(self, delay: int, call: Callable[[], object]) -> None:
        """Call it so many ticks from now; at once if the delay is negative."""
        heapq.heappush(self._heap, (self.now + max(delay, 0), self._sequence_number, call))
        self._sequence_number += 1

    def run(self, end: int) -> None:
        """Make all calls up to that time, those that are scheduled meanwhile too."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = max(self.now, end)
