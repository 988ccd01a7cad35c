"""Shares the time of the event loop among connections whose input waits to be processed."""

import asyncio
from collections import deque
from typing import Protocol

from crankfold.network.metrics import Metrics
from crankfold.time_units import MILLISECONDS_PER_SECOND

# Seconds of one turn, after which the event loop runs timers and reads other connections.
TURN_DURATION = 0.002
# While turns take a smaller share of the time than this, input is processed as soon as it arrives.
IMMEDIATE_SHARE = 0.5
MAX_DEBT = 0.02  # seconds of processing that count against later input


class TurnTaker(Protocol):
    """A connection with input to be processed."""

    def process_portion(self) -> bool:
        """Processes a portion of the input of bounded cost; returns whether more can be processed."""


class TurnQueue:
    """Lets connections process their input in turn, one portion each.

    A connection whose input has just arrived comes before those that had a portion already. So the single
    request of a usual client does not wait behind what others have pipelined, and each of those gets a
    portion of every turn's rest. While there is little to process, nothing waits for a turn.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._new: deque[TurnTaker] = deque()
        self._continued: deque[TurnTaker] = deque()
        self._queued: set[TurnTaker] = set()
        self._is_scheduled = False
        self._credit = TURN_DURATION  # seconds of immediate processing
        self._credited_at = self._loop.time()

    def __contains__(self, connection: TurnTaker) -> bool:
        """Whether a connection waits for its turn."""
        return connection in self._queued

    def process(self, connection: TurnTaker) -> bool:
        """Processes a portion of new input at once, or queues the connection; returns whether it did so.

        Must not be called by a connection that is processing input.
        """
        if self._queued or not self._has_credit():
            self.add(connection)
            return False
        started_at = self._loop.time()
        self._queued.add(connection)
        self._process(connection)
        self._spend(self._loop.time() - started_at)
        if self._continued:
            self._schedule()
        return True

    def _spend(self, seconds: float) -> None:
        self._credit = max(self._credit - seconds, -MAX_DEBT)

    def _has_credit(self) -> bool:
        now = self._loop.time()
        self._credit = min(self._credit + (now - self._credited_at) * IMMEDIATE_SHARE, TURN_DURATION)
        self._credited_at = now
        return self._credit > 0

    def add(self, connection: TurnTaker) -> None:
        """Queues a connection that can process input, unless it is queued."""
        if connection not in self._queued:
            self._queued.add(connection)
            self._new.append(connection)
            self._schedule()

    def discard(self, connection: TurnTaker) -> None:
        """Removes a connection that has ended."""
        self._queued.discard(connection)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._is_scheduled = False
        started_at = self._loop.time()
        end = started_at + TURN_DURATION
        waiting = len(self._continued)
        self._process_until(end, self._new, len(self._new))
        self._process_until(end, self._continued, waiting)
        duration = self._loop.time() - started_at
        self._spend(duration)
        self._metrics.record_maximum("longest-turn-ms", int(duration * MILLISECONDS_PER_SECOND))
        if self._queued:
            self._schedule()

    def _process_until(self, end: float, queue: deque[TurnTaker], most: int) -> None:
        """Processes portions of at least one connection and at most that number, until the turn ends."""
        for number in range(most):
            if number and self._loop.time() >= end:
                return
            self._process(queue.popleft())

    def _process(self, connection: TurnTaker) -> None:
        if connection not in self._queued:
            return  # it has ended
        if connection.process_portion() and connection in self._queued:
            self._continued.append(connection)
        else:
            self._queued.discard(connection)
