"""Observations for maintenance reports: attempts at machines, and numbers of accepted and shed requests."""

import time
from collections import Counter, deque
from collections.abc import Collection
from typing import NamedTuple

from crankfold.consensus.messages import MaintenanceReport
from crankfold.routing.interface import Outcome
from crankfold.service.requests.handler import (
    ADMITTED_COUNTER,
    NO_VALID_CONFIG,
    OVERLOADED,
    QUOTA_USED_UP,
    RequestHandler,
)
from crankfold.service.requests.table import Disposition

LOAD_WINDOW = 5.0  # seconds; reports count the requests that were accepted or shed in this period
MAX_UNCONFIRMED = 1000  # request ids for each machine; the oldest are dropped
MAX_UNCONFIRMED_REPORTED = 5  # request ids for each machine; the newest are reported
FAILURES = (Outcome.ERROR, Outcome.TIMED_OUT, Outcome.UNREACHABLE, Outcome.RESET, Outcome.UNKNOWN)
RESPONSES = (Outcome.COMPLETED, *FAILURES)
SHED_BY_ROUTING_COUNTER = Disposition.SHED.counter
SHED_COUNTERS = (
    SHED_BY_ROUTING_COUNTER,
    OVERLOADED.counter,
    QUOTA_USED_UP.counter,
    NO_VALID_CONFIG.counter,
)


class LoadSample(NamedTuple):
    """The numbers of requests accepted and shed since the start of the process."""

    time: float  # seconds of the monotonic clock
    accepted: int
    shed: int


class ResponseCount:
    """The number of attempts at a machine since its return, and of those that failed."""

    def __init__(self) -> None:
        self.total = 0
        self.failed = 0


class MaintenanceObservations:
    """Collects the contents of the maintenance reports of this dispatcher."""

    def __init__(self, request_handler: RequestHandler, counters: Counter[str]) -> None:
        self.request_handler = request_handler
        self.counters = counters
        # By machine id, the ids of requests whose abandoned attempts it may still execute, oldest first.
        self.unconfirmed: dict[str, dict[str, None]] = {}
        self.response_counts: dict[str, ResponseCount] = {}
        self.returned_machines: dict[str, int] = {}  # machine id to the log index of its return
        self.load_samples: deque[LoadSample] = deque()

    def attempt_abandoned(self, machine_id: str, request_id: str) -> None:
        """Records that an attempt was abandoned; the machine may still execute it."""
        request_ids = self.unconfirmed.setdefault(machine_id, {})
        request_ids[request_id] = None
        if len(request_ids) > MAX_UNCONFIRMED:
            del request_ids[next(iter(request_ids))]

    def abandoned_attempt_finished(self, request_id: str, machine_id: str) -> None:
        """Records that the machine confirmed the end of an abandoned attempt."""
        self.unconfirmed.get(machine_id, {}).pop(request_id, None)

    def attempt_finished(self, machine_id: str, outcome: Outcome) -> None:
        """Counts the outcome of an attempt at a machine that has returned."""
        if machine_id in self.returned_machines:
            count = self.response_counts.setdefault(machine_id, ResponseCount())
            count.total += outcome in RESPONSES
            count.failed += outcome in FAILURES

    def state_changed(self, returned_machines: dict[str, int]) -> None:
        """Sets the machines that have returned, by id, with the log index of their return.

        Drops the counts of machines that are not among them, or have since been out and returned again.
        """
        for machine_id, index in self.returned_machines.items():
            if returned_machines.get(machine_id) != index:
                self.response_counts.pop(machine_id, None)
        self.returned_machines = returned_machines
        for machine_id in [machine_id for machine_id, ids in self.unconfirmed.items() if not ids]:
            del self.unconfirmed[machine_id]

    def fill_report(self, report: MaintenanceReport, machines_out: Collection[str]) -> None:
        """Adds the observations to a report: on machines that are out, on returned machines, and in total."""
        names = self.request_handler.backends.backend_ids.names
        for request in self.request_handler.request_table.requests.values():
            report.open_requests += request.is_open
            for attempt in request.attempts:
                machine_id = names[attempt.backend]
                if attempt.in_flight and machine_id in machines_out:
                    report.in_flight[machine_id] = report.in_flight.get(machine_id, 0) + 1
        report.unresolved = {
            machine_id: [*self.unconfirmed[machine_id]][-MAX_UNCONFIRMED_REPORTED:]
            for machine_id in machines_out
            if self.unconfirmed.get(machine_id)
        }
        report.response_counts = {
            machine_id: (count.total, count.failed) for machine_id, count in self.response_counts.items()
        }
        self._sample_load()
        first, last = self.load_samples[0], self.load_samples[-1]
        report.recent_accepted = max(last.accepted - first.accepted, 0)
        report.recent_shed = last.shed - first.shed

    def _sample_load(self) -> None:
        sample = LoadSample(
            time=time.monotonic(),
            accepted=self.counters[ADMITTED_COUNTER] - self.counters[SHED_BY_ROUTING_COUNTER],
            shed=sum(self.counters[name] for name in SHED_COUNTERS),
        )
        self.load_samples.append(sample)
        while sample.time - self.load_samples[0].time > LOAD_WINDOW:
            self.load_samples.popleft()
