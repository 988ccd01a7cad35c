"""Checks the guarantees of maintenance against the records of a trial.

Shares no code with the program under test: the meaning of each step is defined independently. A check returns
a description of the first violation, or an empty string.
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

DISCOVERY_DELAY = 1500 * MILLISECOND  # nanoseconds until a dispatcher without faults knows of a lost machine
OUT = "out"
FREE = "free"
RETURNING_STEPS = ("back", "gone", "out", "unwell")  # end the period in which a machine is free
FAILED_STEPS = ("unwell", "undone")
FINAL_STEPS = ("well", "undone", "gone")
DISPATCHER_PREFIX = "@"  # of the ids of dispatchers
SHARE_TOLERANCE = 1e-9  # for rounding of shares


class MaintenanceChecker:
    """Checks the guarantees of maintenance against the records of a finished trial."""

    def __init__(self, trial: TrialRecord) -> None:
        self.trial = trial
        # By log index, machine and step: the earliest record of any process.
        first_known: dict[tuple[int, str, str], TransitionRecord] = {}
        for records in trial.process_records.values():
            for record in records:
                if isinstance(record, TransitionRecord):
                    key = (record.index, record.machine_id, record.step)
                    if key not in first_known or record.at < first_known[key].at:
                        first_known[key] = record
        self.transitions = [first_known[key] for key in sorted(first_known)]  # in the log's order

    def checks(self) -> dict[Promise, Callable[[], str]]:
        """Returns the check of each guarantee of maintenance."""
        return {
            Promise.FREED_MACHINES: self.check_freed_machines,
            Promise.MAINTENANCE_LIMITS: self.check_limits,
            Promise.MAINTENANCE_COMMANDS: self.check_commands,
            Promise.MAINTENANCE_ENDS: self.check_job_ends,
        }

    def check_freed_machines(self) -> str:
        """No request reaches a machine from the first record that it is free until its return."""
        numbers: dict[str, int] = {}  # log index of the latest free step, by machine
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
        """No limit of a job is exceeded when a machine goes out; lost machines count as out."""
        absent: dict[str, str] = {}  # job by machine
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
        """Checks how many dispatchers are in maintenance at once; killed dispatchers do not count."""
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
        out = {absent_id for absent_id in absent if not absent_id.startswith(DISPATCHER_PREFIX)} | lost
        out.discard(machine_id)
        for name, job in self.trial.jobs.items():
            is_concerned = name == transition.job or (
                name in absent.values() and self._selects(job, machine_id)
            )
            if job.on_dispatchers or not is_concerned:
                continue
            violation = self._job_violation(name, machine_id, out)
            if violation:
                return violation
        return ""

    def _job_violation(self, name: str, machine_id: str, out: set[str]) -> str:
        job = self.trial.jobs[name]
        zones = self.trial.zones
        selected = {other for other in out if self._selects(job, other)}
        if len(selected) >= job.at_once:
            return f"{sorted(selected)} are out, {name} allows {job.at_once} at once"
        same_zone = {other for other in selected if zones.get(other) == zones.get(machine_id)}
        if job.per_zone and len(same_zone) >= job.per_zone:
            return f"{sorted(same_zone)} are out, {name} allows {job.per_zone} in a zone"
        remaining = sum(other not in out and other != machine_id for other in zones) / max(len(zones), 1)
        if remaining < job.remaining_share - SHARE_TOLERANCE:
            return f"{remaining:.2f} stay, {name} wants {job.remaining_share}"
        return ""

    def _selects(self, job: JobLimits, machine_id: str) -> bool:
        zone_matches = not job.zones or self.trial.zones.get(machine_id) in job.zones
        return zone_matches and (not job.machines or machine_id in job.machines)

    def _lost_machines(self, at: int) -> set[str]:
        return {
            machine_id
            for machine_id, periods in self.trial.losses.items()
            if any(period.begin + DISCOVERY_DELAY < at < period.end for period in periods)
        }

    def check_commands(self) -> str:
        """Work is done on free machines only, and once for each job unless the job is repeatable."""
        runs: dict[tuple[str, str], list[MaintenanceRun]] = defaultdict(list)
        for run in self.trial.runs:
            runs[run.machine_id, run.job].append(run)
            if not self._was_free(run):
                moment = self.trial.format_time(run.began_at)
                return f"{run.machine_id} was worked on at {moment}, not free under {run.number}"
        for (machine_id, job), repeated in runs.items():
            violation = self._repetition_violation(machine_id, job, repeated)
            if violation:
                return violation
        return ""

    def _repetition_violation(self, machine_id: str, job: str, runs: list[MaintenanceRun]) -> str:
        numbers = [run.number for run in runs]
        if len(set(numbers)) < len(numbers):
            return f"{machine_id} was worked on twice for {job} under one number, {numbers}"
        failed = any(
            transition.machine_id == machine_id and transition.step in FAILED_STEPS
            for transition in self.transitions
        )
        if len(runs) > 1 and not self.trial.jobs[job].repeatable and not failed:
            return f"{machine_id} was worked on {len(runs)} times for {job}"
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
        """Every job is done, or the leader reports a reason for each machine that is left."""
        return "; ".join(f"{job}: {reason}" for job, reason in self.trial.unfinished_jobs.items() if reason)

    def summary(self, promise: Promise) -> str:
        """Returns the detail of a verdict without violation."""
        if promise is Promise.MAINTENANCE_LIMITS:
            steps = Counter(transition.step for transition in self.transitions)
            return ", ".join(f"{count} {step}" for step, count in steps.items())
        if promise is Promise.MAINTENANCE_COMMANDS:
            return f"{len(self.trial.runs)} runs"
        if promise is Promise.FREED_MACHINES:
            return f"from out to free, longest {self._longest_drain() / MILLISECOND:.0f} ms"
        return ""

    def _longest_drain(self) -> int:
        """Returns the longest time from a machine's step out to its next step, in nanoseconds."""
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
