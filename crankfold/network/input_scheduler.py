"""Shares the time of the event loop among connections whose input waits to be processed."""

import asyncio
from collections import deque
from typing import Protocol

from crankfold.network.metrics import Metrics
from crankfold.time_units import MILLISECONDS_PER_SECOND

# Seconds of processing, after which the event loop runs timers and reads other connections.
TIME_SLICE = 0.002
# While processing takes a smaller share of the time than this, input is processed as it arrives.
IMMEDIATE_SHARE = 0.5
MAX_DEBT = 0.02  # seconds of processing that count against later input


class InputProcessor(Protocol):
    """A connection with input to be processed."""

    def process_portion(self) -> bool:
        """Processes a portion of the input of bounded cost; returns whether more can be processed."""


class InputScheduler:
    """Schedules the processing of input fairly, one portion a connection.

    A connection whose input has just arrived comes before those that have processed a portion already. So the
    single request of a usual client does not wait behind what others have pipelined, which is processed round
    robin in the rest of each time slice. While there is little to process, no input waits.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._new: deque[InputProcessor] = deque()
        self._continued: deque[InputProcessor] = deque()
        self._queued: set[InputProcessor] = set()
        self._is_scheduled = False
        self._credit = TIME_SLICE  # seconds of immediate processing
        self._credited_at = self._loop.time()

    def __contains__(self, connection: InputProcessor) -> bool:
        """Whether a connection is queued."""
        return connection in self._queued

    def process(self, connection: InputProcessor) -> bool:
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
        self._credit = min(self._credit + (now - self._credited_at) * IMMEDIATE_SHARE, TIME_SLICE)
        self._credited_at = now
        return self._credit > 0

    def add(self, connection: InputProcessor) -> None:
        """Queues a connection that can process input, unless it is queued."""
        if connection not in self._queued:
            self._queued.add(connection)
            self._new.append(connection)
            self._schedule()

    def discard(self, connection: InputProcessor) -> None:
        """Removes a connection that has ended."""
        self._queued.discard(connection)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run_slice)

    def _run_slice(self) -> None:
        self._is_scheduled = False
        started_at = self._loop.time()
        end = started_at + TIME_SLICE
        waiting = len(self._continued)
        self._process_until(end, self._new, len(self._new))
        self._process_until(end, self._continued, waiting)
        duration = self._loop.time() - started_at
        self._spend(duration)
        self._metrics.record_maximum("longest-input-slice-ms", int(duration * MILLISECONDS_PER_SECOND))
        if self._queued:
            self._schedule()

    def _process_until(self, end: float, queue: deque[InputProcessor], most: int) -> None:
        """Processes portions of one connection at least, and of `most`, until the time slice ends."""
        for number in range(most):
            if number and self._loop.time() >= end:
                return
            self._process(queue.popleft())

    def _process(self, connection: InputProcessor) -> None:
        if connection not in self._queued:
            return  # it has ended
        if connection.process_portion() and connection in self._queued:
            self._continued.append(connection)
        else:
            self._queued.discard(connection)
