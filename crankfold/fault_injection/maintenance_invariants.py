"""Whether machines were out as their maintenance jobs allow, from what was recorded alone.

Shares no code with the program: what a step means for a machine is worked out here again. A check returns
what broke the promise, or an empty text.
"""

from collections import Counter, defaultdict
from collections.abc import Callable

from crankfold.fault_injection.records import (
    FOREVER,
    MILLISECOND,
    JobLimits,
    MaintenanceRun,
    Promise,
    TransitionRecord,
    TrialRecord,
)

DISCOVERY_DELAY = 1500 * MILLISECOND  # a loss is listed after this long at most, if no fault is between
OUT = "out"
FREE = "free"
RETURNING_STEPS = ("back", "gone", "out", "unwell")  # after these, a machine is not free any more
FAILED_STEPS = ("unwell", "undone")
FINAL_STEPS = ("well", "undone", "gone")
DISPATCHER_PREFIX = "@"  # of machines that are dispatchers
ROUNDING = 1e-9  # of shares


class MaintenanceChecker:
    """Judges the promises on maintenance of a trial that is over."""

    def __init__(self, trial: TrialRecord) -> None:
        self.trial = trial
        # By log entry, machine and step: the record of the process that knew of it first.
        first_known: dict[tuple[int, str, str], TransitionRecord] = {}
        for records in trial.process_records.values():
            for record in records:
                if isinstance(record, TransitionRecord):
                    key = (record.index, record.machine_id, record.step)
                    if key not in first_known or record.at < first_known[key].at:
                        first_known[key] = record
        self.transitions = [first_known[key] for key in sorted(first_known)]  # in the log's order

    def checks(self) -> dict[Promise, Callable[[], str]]:
        """The check of each promise on maintenance."""
        return {
            Promise.FREED_MACHINES: self.check_freed_machines,
            Promise.MAINTENANCE_LIMITS: self.check_limits,
            Promise.MAINTENANCE_COMMANDS: self.check_commands,
            Promise.MAINTENANCE_ENDS: self.check_job_ends,
        }

    def check_freed_machines(self) -> str:
        """Nothing reaches a machine from when anybody knew that it is free until it is back."""
        numbers: dict[str, int] = {}  # under which each machine was called free last
        for freed in self.transitions:
            machine_id = freed.machine_id
            if freed.step != FREE:
                continue
            if freed.index <= numbers.get(machine_id, 0):
                return f"{machine_id} is free under {freed.index} after {numbers[machine_id]}"
            numbers[machine_id] = freed.index
            end = self._free_until(freed)
            for received in self.trial.observations.received_requests:
                if received.backend_id == machine_id and freed.at < received.at < end:
                    return (
                        f"{received.request_id} reached {machine_id} "
                        f"at {self.trial.format_time(received.at)}, "
                        f"which is free since {self.trial.format_time(freed.at)}"
                    )
        return ""

    def _free_until(self, freed: TransitionRecord) -> int:
        return min(
            (
                later.at
                for later in self.transitions
                if later.machine_id == freed.machine_id
                and later.index > freed.index
                and later.step in RETURNING_STEPS
            ),
            default=FOREVER,
        )

    def check_limits(self) -> str:
        """No limit of a job is exceeded when one more machine goes out; unplanned losses count."""
        absent: dict[str, str] = {}  # machine to its job
        for transition in self.transitions:
            machine_id = transition.machine_id
            if transition.step == OUT and not machine_id.startswith(DISPATCHER_PREFIX):
                violation = self._limit_violation(transition, absent)
                if violation:
                    moment = self.trial.format_time(transition.at)
                    return f"{machine_id} went out for {transition.job} at {moment}: {violation}"
            if transition.step in FINAL_STEPS:
                absent.pop(machine_id, None)
            elif machine_id:
                absent[machine_id] = transition.job
        return self._check_dispatcher_limits()

    def _check_dispatcher_limits(self) -> str:
        """At no moment more of them in work than their job allows; those killed by faults do not count."""
        runs = [run for run in self.trial.runs if run.machine_id.startswith(DISPATCHER_PREFIX)]
        for run in runs:
            at_once = [
                other.machine_id
                for other in runs
                if other.began_at <= run.began_at < (other.ended_at or FOREVER)
            ]
            if len(at_once) > self.trial.jobs[run.job].at_once:
                moment = self.trial.format_time(run.began_at)
                return f"{sorted(at_once)} were worked on at the same time, {moment}"
        return ""

    def _limit_violation(self, transition: TransitionRecord, absent: dict[str, str]) -> str:
        machine_id = transition.machine_id
        lost = self._lost_machines(transition.at)
        out = {one for one in absent if not one.startswith(DISPATCHER_PREFIX)} | lost
        out.discard(machine_id)
        for name, job in self.trial.jobs.items():
            concerned = name == transition.job or (name in absent.values() and self._selects(job, machine_id))
            if job.on_dispatchers or not concerned:
                continue
            violation = self._job_violation(name, machine_id, out)
            if violation:
                return violation
        return ""

    def _job_violation(self, name: str, machine_id: str, out: set[str]) -> str:
        job = self.trial.jobs[name]
        zones = self.trial.zones
        own = {one for one in out if self._selects(job, one)}
        if len(own) >= job.at_once:
            return f"{sorted(own)} are out, {name} allows {job.at_once} at once"
        zoned = {one for one in own if zones.get(one) == zones.get(machine_id)}
        if job.per_zone and len(zoned) >= job.per_zone:
            return f"{sorted(zoned)} are out, {name} allows {job.per_zone} in a zone"
        remaining = sum(one not in out and one != machine_id for one in zones) / max(len(zones), 1)
        if remaining < job.remaining_share - ROUNDING:
            return f"{remaining:.2f} stay, {name} wants {job.remaining_share}"
        return ""

    def _selects(self, job: JobLimits, machine_id: str) -> bool:
        zone_fits = not job.zones or self.trial.zones.get(machine_id) in job.zones
        return zone_fits and (not job.machines or machine_id in job.machines)

    def _lost_machines(self, at: int) -> set[str]:
        return {
            machine_id
            for machine_id, periods in self.trial.losses.items()
            if any(period.begin + DISCOVERY_DELAY < at < period.end for period in periods)
        }

    def check_commands(self) -> str:
        """Each ran once unless its job allows more, on a machine that was free, and never two at once."""
        runs: dict[tuple[str, str], list[MaintenanceRun]] = defaultdict(list)
        for run in self.trial.runs:
            runs[run.machine_id, run.job].append(run)
            if not self._was_free(run):
                moment = self.trial.format_time(run.began_at)
                return f"{run.machine_id} was worked on at {moment}, not free under {run.number}"
        for (machine_id, job), repeated in runs.items():
            numbers = [run.number for run in repeated]
            if len(set(numbers)) < len(numbers):
                return f"{machine_id} was worked on twice for {job} under one number, {numbers}"
            failed = any(
                transition.machine_id == machine_id and transition.step in FAILED_STEPS
                for transition in self.transitions
            )
            if len(repeated) > 1 and not self.trial.jobs[job].repeatable and not failed:
                return f"{machine_id} was worked on {len(repeated)} times for {job}"
        return ""

    def _was_free(self, run: MaintenanceRun) -> bool:
        freed = [
            transition.at
            for transition in self.transitions
            if transition.machine_id == run.machine_id
            and transition.step == FREE
            and transition.index == run.number
        ]
        return bool(freed) and freed[0] <= run.began_at

    def check_job_ends(self) -> str:
        """Every job is done, or it is said of each machine that is left why it is."""
        return "; ".join(f"{job}: {fault}" for job, fault in self.trial.unfinished_jobs.items() if fault)

    def summary(self, promise: Promise) -> str:
        """A figure of interest for a promise that held."""
        if promise is Promise.MAINTENANCE_LIMITS:
            steps = Counter(transition.step for transition in self.transitions)
            return ", ".join(f"{count} {step}" for step, count in steps.items())
        if promise is Promise.MAINTENANCE_COMMANDS:
            return f"{len(self.trial.runs)} runs"
        if promise is Promise.FREED_MACHINES:
            return f"from out to free, longest {self._longest_drain() / MILLISECOND:.0f} ms"
        return ""

    def _longest_drain(self) -> int:
        """From going out to the machine's next step, in nanoseconds."""
        durations = []
        for departure in self.transitions:
            if departure.step == OUT:
                next_at = min(
                    (
                        later.at
                        for later in self.transitions
                        if later.machine_id == departure.machine_id and later.index > departure.index
                    ),
                    default=departure.at,
                )
                durations.append(next_at - departure.at)
        return max(durations, default=0)
