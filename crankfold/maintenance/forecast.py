"""Forecasts the schedule of a job, assuming that no machine fails and each takes its longest time."""

from collections.abc import Mapping, Sequence, Set
from dataclasses import dataclass, replace

from crankfold.maintenance.scheduler import Machine, SchedulingFacts, schedule
from crankfold.maintenance.specification import JobSpecification, JobState
from crankfold.time_units import MILLISECONDS_PER_SECOND


@dataclass(frozen=True, slots=True)
class ForecastDeparture:
    """The forecast absence of one machine."""

    begin_seconds: float  # from now
    end_seconds: float  # from now
    machine_id: str
    zone: str
    waited_for: str  # the reason for waiting until `begin_seconds`; empty for none


@dataclass(frozen=True, slots=True)
class Forecast:
    """The forecast of a job."""

    departures: list[ForecastDeparture]
    wait_reasons: dict[str, str]  # the bound that prevents it, by machine that is never drained


@dataclass(frozen=True, slots=True)
class ForecastInputs:
    """The state from which a forecast starts."""

    jobs: Mapping[str, JobSpecification]
    machines: Sequence[Machine]
    out_for: Mapping[str, str]  # the job, by absent machine
    completed: Set[tuple[str, str]]  # machine and job
    now_ms: int  # since the epoch
    drain_seconds: float  # from the start of draining to drained
    warm_up_seconds: float  # the slow start of a returned machine


def forecast_job(name: str, inputs: ForecastInputs) -> Forecast:
    """Forecasts the departures of one job while the other active jobs run too."""
    return _ForecastRun(name, inputs).run()


class _ForecastRun:
    """Simulates the scheduler, from each return of a machine or opening of a time window to the next."""

    def __init__(self, name: str, inputs: ForecastInputs) -> None:
        self._name = name
        self._inputs = inputs
        self._scheduled_jobs = [
            job.to_job(other) for other, job in inputs.jobs.items() if job.state == JobState.GO
        ]
        self._absence_seconds = {other: self._longest_absence(job) for other, job in inputs.jobs.items()}
        self._out_for = dict(inputs.out_for)
        self._completed = set(inputs.completed)
        self._return_times = {
            machine: self._absence_seconds.get(job, 0.0) for machine, job in self._out_for.items()
        }
        self._zones = {machine.machine_id: machine.zone for machine in inputs.machines}
        self._departures: list[ForecastDeparture] = []
        self._wait_reasons: dict[str, str] = {}

    def _longest_absence(self, job: JobSpecification) -> float:
        watch_seconds = max(job.watch_seconds, self._inputs.warm_up_seconds)
        return self._inputs.drain_seconds + job.work_seconds + watch_seconds

    def run(self) -> Forecast:
        seconds = 0.0
        while True:
            self._schedule_at(seconds)
            next_changes = self._next_changes(seconds)
            if not next_changes:
                return Forecast(self._departures, self._never_drained())
            seconds = min(next_changes)
            self._record_returns(seconds)

    def _schedule_at(self, seconds: float) -> None:
        machines = [
            replace(machine, available=machine.available and machine.machine_id not in self._out_for)
            for machine in self._inputs.machines
        ]
        facts = SchedulingFacts(
            machines=machines,
            out=self._out_for.items(),
            completed=self._completed,
            now_ms=self._inputs.now_ms + int(seconds * MILLISECONDS_PER_SECOND),
        )
        result = schedule(self._scheduled_jobs, facts)
        for machine_id, job in result.departures:
            end = seconds + self._absence_seconds[job]
            self._out_for[machine_id] = job
            self._return_times[machine_id] = end
            if job == self._name:
                waited_for = self._wait_reasons.get(machine_id, "")
                zone = self._zones[machine_id]
                self._departures.append(ForecastDeparture(seconds, end, machine_id, zone, waited_for))
        self._wait_reasons = {
            machine_id: reason
            for (machine_id, job), reason in result.wait_reasons.items()
            if job == self._name
        }

    def _next_changes(self, seconds: float) -> list[float]:
        """When machines return and when the job's time window opens; seconds from now."""
        next_changes = [self._return_times[machine_id] for machine_id in self._out_for]
        not_before_ms = self._inputs.jobs[self._name].not_before_ms
        now_ms = self._inputs.now_ms
        if not_before_ms and now_ms + seconds * MILLISECONDS_PER_SECOND < not_before_ms:
            next_changes.append((not_before_ms - now_ms) / MILLISECONDS_PER_SECOND)
        return next_changes

    def _record_returns(self, seconds: float) -> None:
        returned = [
            machine
            for machine, end in self._return_times.items()
            if machine in self._out_for and end <= seconds
        ]
        for machine_id in returned:
            self._completed.add((machine_id, self._out_for.pop(machine_id)))
            del self._return_times[machine_id]

    def _never_drained(self) -> dict[str, str]:
        return {
            machine_id: reason
            for machine_id, reason in self._wait_reasons.items()
            if (machine_id, self._name) not in self._completed
        }
