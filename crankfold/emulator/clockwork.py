"""Simulated time: calls in the order of their times, and of asking where times are equal."""

import heapq
from collections.abc import Callable


class Clockwork:
    def __init__(self) -> None:
        self.now, self._asked = 0, 0
        self._due: list[tuple[int, int, Callable[[], object]]] = []

    def after(self, wait: int, call: Callable[[], object]) -> None:
        heapq.heappush(self._due, (self.now + max(wait, 0), self._asked, call))
        self._asked += 1

    def run(self, end: int) -> None:
        while self._due and self._due[0][0] <= end:
            self.now, _, call = heapq.heappop(self._due)
            call()
        self.now = max(self.now, end)
