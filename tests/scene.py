"""Stages for tests: what is told and what is done becomes a short trace, kept in traces/."""

import asyncio
import difflib
import os
import re
import unittest
from dataclasses import replace
from pathlib import Path

from crankfold.routing import interface as words
from crankfold.routing.backend_table import Backend
from crankfold.routing.interface import (
    AttemptEnd,
    DeduplicationScope,
    Endpoint,
    EndpointState,
    Idempotency,
    Outcome,
    RequestArrival,
)
from crankfold.routing.router import Router

MS = 10
REQUEST_CLASS = words.RequestClass(
    Idempotency.IDEMPOTENT, DeduplicationScope.GLOBAL, 0, 300 * MS, 2.0, 5000 * MS, 1.0, 0.0
)
ROUTING_CONFIG = words.RoutingConfig(
    request_classes=[REQUEST_CLASS],
    instance_count=2,
    zone=0,
    timer_resolution=2 * MS,
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
    poll_within=10000 * MS,
    initial_capacity=0.2,
    warm_up_time=10000 * MS,
    overload_factor=3.0,
    overload_period=1000 * MS,
    instance_index=0,
)


async def read_request(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """A head and its body, of a request or of an answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    length = re.search(r"(?i)content-length: (\d+)", head)
    return head, await reader.readexactly(int(length[1]) if length else 0)


class TraceTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.lines: list[str] = []

    def say(self, text: str) -> None:
        self.lines.append(text)

    def close(self, name: str) -> None:
        kept = Path(__file__).parent / "traces" / f"{name}.txt"
        if os.environ.get("KEEP_TRACES"):
            kept.write_text("\n".join(self.lines) + "\n")
        then = kept.read_text().splitlines()
        diff = list(difflib.unified_diff(then, self.lines, "kept", "now", lineterm=""))
        self.assertFalse(diff, "\n" + "\n".join(diff))


class RouterTestCase(TraceTestCase):
    """Stands round the decisions, as their port and as whoever tells them what happens."""

    def open(
        self,
        *,
        runners: int = 2,
        free: float = 4.0,
        effect: Idempotency = Idempotency.IDEMPOTENT,
        group: DeduplicationScope = DeduplicationScope.GLOBAL,
        window: int = 0,
        seed: int = 7,
        **orders: object,
    ) -> None:
        self.lines: list[str] = []
        self.now = 100_000
        self.wakes: list[tuple[int, int]] = []
        grade = replace(
            REQUEST_CLASS, idempotency=effect, deduplication_scope=group, deduplication_window=window * MS
        )
        self.told = Router(replace(ROUTING_CONFIG, **{"request_classes": [grade], **orders}), seed, self)  # type: ignore[arg-type]
        if runners:
            self.list([Endpoint(r, EndpointState.READY, 1.0, r % 2, r % 2, 0) for r in range(runners)])
        if free:
            for r in range(runners):
                self.told.probe_ended(self.now, r, True, (0.0, free))

    @property
    def backends(self) -> list[Backend]:
        return self.told.state.table.backends

    @property
    def members(self) -> list[int]:
        """The indices of the backends in the subset."""
        return [backend.index for backend in self.told.subset.members]

    def say(self, text: str) -> None:
        self.lines.append(f"{(self.now - 100_000) / MS:7.1f}  {text}")

    # What the decisions do.
    def send_attempt(self, unit: int, runner: int) -> None:
        self.say(f"unit {unit} -> runner {runner}")

    def shed(self, unit: int, advice: int) -> None:  # noqa: ARG002 - as the base names it
        self.say(f"unit {unit} shed")

    def fail_request(self, unit: int) -> None:
        self.say(f"unit {unit} given up")

    def cancel_attempt(self, unit: int, nth: int) -> None:
        self.say(f"unit {unit} dispatch {nth} called off")

    def set_timer(self, after: int, label: int) -> None:
        self.wakes.append((self.now + after, label))

    def probe(self, runner: int) -> None:
        self.say(f"probe of runner {runner}")

    def poll_endpoints(self) -> None:
        self.say("asks for the list")

    # What they are told.
    def at(self, ms: float) -> None:
        """Lets time pass, with the wakes asked for until then."""
        end = 100_000 + int(ms * MS)
        while due := [w for w in self.wakes if w[0] <= end]:
            first = min(due)
            self.wakes.remove(first)
            self.now = max(self.now, first[0])
            self.told.timer_fired(self.now, first[1])
        self.now = end

    def list(self, entries: list[Endpoint], whole: bool = True) -> None:
        self.told.endpoints_changed(self.now, entries, whole)

    def take(
        self,
        unit: int,
        cutoff: float = 5000,
        work: float = 100,
        slots: float = 1.0,
        grade: int = 0,
        key: int = 0,
        again: bool = False,
    ) -> None:
        self.say(f"  takes unit {unit}" + (f" of grade {grade}" if grade else ""))
        arrival = RequestArrival(
            unit,
            grade,
            deadline=self.now + int(cutoff * MS),
            work=int(work * MS),
            slots=slots,
            key=key,
            is_retry=again,
        )
        self.told.request_received(self.now, arrival)

    def start(self, unit: int, runner: int, nth: int = 0) -> None:
        self.say(f"  unit {unit} starts on runner {runner}")
        self.told.attempt_started(self.now, unit, nth, runner)

    def end(
        self,
        unit: int,
        runner: int,
        outcome: Outcome = Outcome.COMPLETED,
        nth: int = 0,
        *,
        last: bool = False,
        report: tuple[float, ...] = (),
    ) -> None:
        self.say(f"  unit {unit} on runner {runner}: {outcome.name.lower()}")
        end = AttemptEnd(outcome, last or outcome == Outcome.COMPLETED, report)
        self.told.attempt_ended(self.now, unit, nth, runner, end)

    def held_back(self, runner: int) -> None:
        """Puts a runner out of the running by its report: much queued, nothing free."""
        for n in range(40):
            self.told.probe_ended(self.now, runner, True, (0.5 + n / 100, 0.0))
