"""Simulated time: calls in the order of their times, and of asking where times are equal."""

import heapq
from collections.abc import Callable

TICKS_PER_SECOND = 10_000  # a tick is a tenth of a millisecond


class EventQueue:
    def __init__(self) -> None:
        self.now, self._sequence_number = 0, 0
        self._heap: list[tuple[int, int, Callable[[], object]]] = []

    def schedule(self, wait: int, call: Callable[[], object]) -> None:
        heapq.heappush(self._heap, (self.now + max(wait, 0), self._sequence_number, call))
        self._sequence_number += 1

    def run(self, end: int) -> None:
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = max(self.now, end)
