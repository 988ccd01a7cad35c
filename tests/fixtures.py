"""Base classes of tests that record events and actions and compare them with a trace in `traces/`."""

import asyncio
import difflib
import os
import re
import unittest
from dataclasses import replace
from pathlib import Path

from crankfold.routing.backend_table import Backend
from crankfold.routing.interface import (
    AttemptEnd,
    DeduplicationScope,
    Endpoint,
    EndpointState,
    Idempotency,
    Outcome,
    RequestArrival,
    RequestClass,
    RoutingConfig,
)
from crankfold.routing.router import Router

TICKS_PER_MS = 10
REQUEST_CLASS = RequestClass(
    Idempotency.IDEMPOTENT,
    DeduplicationScope.GLOBAL,
    0,
    300 * TICKS_PER_MS,
    2.0,
    5000 * TICKS_PER_MS,
    1.0,
    0.0,
)
ROUTING_CONFIG = RoutingConfig(
    request_classes=[REQUEST_CLASS],
    instance_count=2,
    zone=0,
    timer_resolution=2 * TICKS_PER_MS,
    priority_by_work=False,
    worst_class_weight=0.2,
    cancellation_allowed=True,
    probing_allowed=True,
    hedging_allowed=True,
    max_attempts=3,
    max_retry_after=0,
    reports_in_responses=True,
    reports_by_probe=False,
    report_fields=["queue", "free_slots"],
    start_notifications=True,
    progress_interval=0,
    discovery_by_poll=False,
    poll_within=10000 * TICKS_PER_MS,
    initial_capacity=0.2,
    warm_up_time=10000 * TICKS_PER_MS,
    overload_factor=3.0,
    overload_period=1000 * TICKS_PER_MS,
    instance_index=0,
)


async def read_message(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Reads one HTTP request or response; returns its head and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    length = re.search(r"(?i)content-length: (\d+)", head)
    return head, await reader.readexactly(int(length[1]) if length else 0)


class TraceTestCase(unittest.TestCase):
    """Records lines of text and compares them with the trace that an earlier run recorded."""

    def setUp(self) -> None:
        self.lines: list[str] = []

    def record(self, text: str) -> None:
        """Adds a line to the recorded trace."""
        self.lines.append(text)

    def assert_matches_trace(self, name: str) -> None:
        """Compares the recorded lines with `traces/NAME.txt`; `KEEP_TRACES` writes it first."""
        trace_file = Path(__file__).parent / "traces" / f"{name}.txt"
        if os.environ.get("KEEP_TRACES"):
            trace_file.write_text("\n".join(self.lines) + "\n")
        expected = trace_file.read_text().splitlines()
        diff = list(difflib.unified_diff(expected, self.lines, "kept", "now", lineterm=""))
        self.assertFalse(diff, "\n" + "\n".join(diff))


class RouterTestCase(TraceTestCase):
    """A router whose actions are recorded and to which the test sends events.

    The methods of this class take times in milliseconds; the router takes ticks.
    """

    def open(
        self,
        *,
        backend_count: int = 2,
        free_slots: float = 4.0,
        idempotency: Idempotency = Idempotency.IDEMPOTENT,
        deduplication_scope: DeduplicationScope = DeduplicationScope.GLOBAL,
        deduplication_window: int = 0,
        seed: int = 7,
        **settings: object,
    ) -> None:
        """Starts a router with backends that are ready.

        Args:
            backend_count: The number of backends.
            free_slots: What each backend has reported; 0 for no report.
            idempotency: That of the request class.
            deduplication_scope: That of the request class.
            deduplication_window: That of the request class, in milliseconds.
            seed: Of the router's random numbers.
            **settings: Fields of the `RoutingConfig` to replace.
        """
        self.lines: list[str] = []
        self.now = 100_000
        self.timers: list[tuple[int, int]] = []
        request_class = replace(
            REQUEST_CLASS,
            idempotency=idempotency,
            deduplication_scope=deduplication_scope,
            deduplication_window=deduplication_window * TICKS_PER_MS,
        )
        config = replace(ROUTING_CONFIG, **{"request_classes": [request_class], **settings})  # type: ignore[arg-type]
        self.router = Router(config, seed, self)
        if backend_count:
            self.change_endpoints(
                [
                    Endpoint(backend, EndpointState.READY, 1.0, backend % 2, backend % 2, 0)
                    for backend in range(backend_count)
                ]
            )
        if free_slots:
            for backend in range(backend_count):
                self.router.probe_ended(self.now, backend, True, (0.0, free_slots))

    @property
    def backends(self) -> list[Backend]:
        return self.router.state.table.backends

    @property
    def subset(self) -> list[int]:
        """The indices of the backends in the subset of this instance."""
        return [backend.index for backend in self.router.subset.members]

    def record(self, text: str) -> None:
        self.lines.append(f"{(self.now - 100_000) / TICKS_PER_MS:7.1f}  {text}")

    # The actions of the router (`RoutingActions`) are recorded with the texts of the stored traces.
    def send_attempt(self, request_id: int, backend: int) -> None:
        self.record(f"unit {request_id} -> runner {backend}")

    def shed(self, request_id: int, retry_after: int) -> None:  # noqa: ARG002 - a parameter of `RoutingActions`
        self.record(f"unit {request_id} shed")

    def fail_request(self, request_id: int) -> None:
        self.record(f"unit {request_id} given up")

    def cancel_attempt(self, request_id: int, attempt_number: int) -> None:
        self.record(f"unit {request_id} dispatch {attempt_number} called off")

    def set_timer(self, delay: int, token: int) -> None:
        self.timers.append((self.now + delay, token))

    def probe(self, backend: int) -> None:
        self.record(f"probe of runner {backend}")

    def poll_endpoints(self) -> None:
        self.record("asks for the list")

    # Events for the router (`RoutingEvents`), at the present time.
    def advance_to(self, time_ms: float) -> None:
        """Moves the clock to that time since the start and fires the timers that are due by then."""
        end = 100_000 + int(time_ms * TICKS_PER_MS)
        while due := [timer for timer in self.timers if timer[0] <= end]:
            fires_at, token = min(due)
            self.timers.remove((fires_at, token))
            self.now = max(self.now, fires_at)
            self.router.timer_fired(self.now, token)
        self.now = end

    def change_endpoints(self, endpoints: list[Endpoint], snapshot: bool = True) -> None:
        self.router.endpoints_changed(self.now, endpoints, snapshot)

    def receive_request(
        self,
        request_id: int,
        timeout: float = 5000,
        work: float = 100,
        slots: float = 1.0,
        request_class: int = 0,
        key: int = 0,
        is_retry: bool = False,
    ) -> None:
        self.record(f"  takes unit {request_id}" + (f" of grade {request_class}" if request_class else ""))
        arrival = RequestArrival(
            request_id,
            request_class,
            deadline=self.now + int(timeout * TICKS_PER_MS),
            work=int(work * TICKS_PER_MS),
            slots=slots,
            key=key,
            is_retry=is_retry,
        )
        self.router.request_received(self.now, arrival)

    def start_attempt(self, request_id: int, backend: int, attempt_number: int = 0) -> None:
        self.record(f"  unit {request_id} starts on runner {backend}")
        self.router.attempt_started(self.now, request_id, attempt_number, backend)

    def end_attempt(
        self,
        request_id: int,
        backend: int,
        outcome: Outcome = Outcome.COMPLETED,
        attempt_number: int = 0,
        *,
        last: bool = False,
        report: tuple[float, ...] = (),
    ) -> None:
        self.record(f"  unit {request_id} on runner {backend}: {outcome.name.lower()}")
        end = AttemptEnd(outcome, last or outcome == Outcome.COMPLETED, report)
        self.router.attempt_ended(self.now, request_id, attempt_number, backend, end)

    def report_busy(self, backend: int) -> None:
        """Sends reports of a long queue and no free slot, so that the router does not choose the backend."""
        for report in range(40):
            self.router.probe_ended(self.now, backend, True, (0.5 + report / 100, 0.0))
