"""Maintenance in a trial: submits jobs and stands in for commands, operators and machines."""

import asyncio
import json
import sys
from collections.abc import Callable, Coroutine
from random import Random

import msgspec
from msgspec import Struct, field

from crankfold.fault_injection.context import TrialContext
from crankfold.fault_injection.http_client import (
    STATUS_BAD_REQUEST,
    STATUS_CONFLICT,
    AdminResponse,
    boot_time_ns,
)
from crankfold.fault_injection.maintenance_invariants import DISPATCHER_PREFIX
from crankfold.fault_injection.plan import JobCommand, JobSpecification, PlanError
from crankfold.fault_injection.records import JsonObject, MaintenanceRun

# The command of a job: logs its begin, sleeps, logs its end, and fails with the given probability.
COMMAND_SCRIPT = """
import json, os, random, sys, time
def write(what):
    env = os.environ
    line = {"what": what, "at": time.clock_gettime_ns(time.CLOCK_BOOTTIME), "uid": env["CRANKFOLD_MACHINE"],
            "work": env["CRANKFOLD_WORK"], "number": int(env["CRANKFOLD_NUMBER"])}
    with open(sys.argv[1], "a") as out:
        out.write(json.dumps(line) + "\\n")
write("begin")
time.sleep(float(sys.argv[2]))
write("end")
sys.exit(random.Random(os.environ["CRANKFOLD_MACHINE"] + sys.argv[3]).random() < float(sys.argv[4]))
"""
POLL_INTERVAL = 0.05  # seconds between reads of the command log
FINAL_READ_DELAY = 2 * POLL_INTERVAL  # seconds, for the last read of the command log
OPERATOR_INTERVAL = 0.3  # seconds between checks for free machines
RETRY_INTERVAL = 0.2  # seconds
HALTED = "stopped by itself"
ENDED_STATES = ("done", "stop", HALTED)
JOBS_PATH = "agreed/works"
MACHINES_PATH = "agreed/machines"

Jobs = dict[str, JsonObject]  # specification by name, in the form of the document


class JobsVersion(Struct):
    """A version of the jobs document."""

    number: int
    reason: str
    content: dict[str, Jobs] = field(name="text")

    def jobs(self) -> Jobs:
        """Returns the jobs of this version."""
        return self.content["works"]


class JobsHistory(Struct):
    """The jobs document at a process."""

    newest: int  # the number of the newest version; 0 if there is none
    versions: list[JobsVersion]

    def newest_jobs(self) -> Jobs:
        """Returns the jobs of the newest version."""
        if not self.newest:
            return {}
        by_number = {version.number: version for version in self.versions}
        return by_number[self.newest].jobs()


class JobView(Struct):
    """The progress of a job as reported by the leader."""

    state: str
    halted: str  # the reason why the leader halted it, or ""
    left: list[str]  # machines not done


class MachineView(Struct):
    """A machine that is out."""

    job: str = field(name="work")
    state: str
    number: int
    unhealthy: bool = field(name="unwell")


class WaitView(Struct):
    """A machine that waits to go out, or for which its job waits."""

    machine: str
    job: str = field(name="work")


class MaintenanceView(Struct):
    """The state of maintenance as reported by a process."""

    leads: bool
    jobs: dict[str, JobView] = field(name="works")
    machines: dict[str, MachineView]
    waits: list[WaitView]

    def is_finished(self) -> bool:
        """Whether no job makes further progress without an operator."""
        ended = all(job.state in ENDED_STATES for job in self.jobs.values())
        return ended and all(
            machine.job in self.jobs and self.jobs[machine.job].state == HALTED
            for machine in self.machines.values()
        )


class CommandLogEntry(Struct):
    """A line that a command of a job wrote to the command log."""

    event: str = field(name="what")
    at: int
    machine_id: str = field(name="uid")
    job: str = field(name="work")
    number: int


class MaintenanceDriver:
    """Stands in for the operators and the machines of a trial's maintenance jobs."""

    def __init__(self, context: TrialContext) -> None:
        self.context = context
        self.plan = context.plan
        self.runs: list[MaintenanceRun] = []
        self.script = context.folder / "command.py"
        self.command_log = context.folder / "commands"
        self.command_log_offset = 0  # characters read
        self.rng = Random(f"{context.seed} hands")
        self.started_work: set[tuple[str, int]] = set()  # machine and log index of its free step
        self.background_tasks: set[asyncio.Task[None]] = set()
        self.finished = False

    def start_tasks(self) -> list["asyncio.Task[None]"]:
        """Starts all tasks; returns those that end before the end of the trial."""
        if not self.plan.jobs:
            return []
        self.script.write_text(COMMAND_SCRIPT)
        self.command_log.touch()
        for background in (self._follow_commands(), self._run_operators()):
            self._spawn(background)
        submissions = [asyncio.ensure_future(self._submit_job(job)) for job in self.plan.jobs]
        commands = [asyncio.ensure_future(self._command_job(command)) for command in self.plan.job_commands]
        return submissions + commands

    def _spawn(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.ensure_future(work)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    # --- operators ---

    async def _call_any(self, path: str, body: JsonObject | None = None) -> AdminResponse:
        """Calls a random process."""
        process = self.rng.choice(self.plan.process_names())
        return await self.context.admin.call(process, path, body)

    async def _submit_job(self, job: JobSpecification) -> None:
        await self.context.clock.sleep_until(job.begin)
        specification = dict(job.specification)
        if specification.get("way") == "command":
            specification["command"] = [
                sys.executable,
                "-S",
                "-E",
                str(self.script),
                str(self.command_log),
                str(job.down_seconds),
                str(self.context.seed),
                str(job.failure_share),
            ]
        await self._publish_jobs(lambda jobs: {**jobs, job.name: specification}, f"hands in {job.name}")

    async def _command_job(self, command: JobCommand) -> None:
        await self.context.clock.sleep_until(command.begin)

        def change(jobs: Jobs) -> Jobs:
            job = jobs[command.name]
            return {
                **jobs,
                command.name: {**job, "state": command.state, "called": job.get("called", 0) + 1},
            }

        reason = f"{command.state} {command.name} {command.begin}"
        await self._publish_jobs(change, reason, changed_job=command.name)

    async def _publish_jobs(
        self, change: Callable[[Jobs], Jobs], reason: str, *, changed_job: str = ""
    ) -> None:
        """Publishes a change of the jobs; repeats it until a process has it in its history.

        Args:
            change: Makes the new jobs from the newest ones that a process knows.
            reason: Identifies the change in the history.
            changed_job: A job that the process must already know; one that lags behind may not know it yet.

        Raises:
            PlanError: The content was rejected.
        """
        while True:
            response = await self._call_any(JOBS_PATH)
            if response.ok:
                history = msgspec.convert(response.content, JobsHistory)
                if any(version.reason == reason for version in history.versions):
                    return
                jobs = history.newest_jobs()
                if not changed_job or changed_job in jobs:
                    await self._send_jobs(change(jobs), reason, history.newest)
            await asyncio.sleep(RETRY_INTERVAL)

    async def _send_jobs(self, jobs: Jobs, reason: str, base_version: int) -> None:
        request = {
            "call": f"{reason} {base_version}",
            "made-from": base_version,
            "author": "o",
            "text": {"works": jobs},
            "reason": reason,
        }
        response = await self._call_any(JOBS_PATH, request)
        is_conflict = response.status == STATUS_CONFLICT
        if response.status == STATUS_BAD_REQUEST or (is_conflict and not response.content.get("number")):
            raise PlanError(f"{reason}: {response.content['text']}")

    async def _report_step(self, machine_id: str, step: str, number: int) -> bool:
        """Reports a maintenance step until a process accepts or rejects it; returns whether accepted."""
        request = {
            "call": f"{step} {machine_id} {number}",
            "machine": machine_id,
            "step": step,
            "number": number,
            "author": "o",
        }
        while not self.finished:
            response = await self._call_any(MACHINES_PATH, request)
            if response.ok:
                return True
            if response.status == STATUS_CONFLICT and "out for any work" not in response.content.get(
                "text", ""
            ):
                return False
            await asyncio.sleep(RETRY_INTERVAL)
        return False

    async def _run_operators(self) -> None:
        """Polls random processes for free machines and starts the work on them."""
        modes = {job.name: job.specification.get("way", "hand") for job in self.plan.jobs}
        while not self.finished:
            await asyncio.sleep(OPERATOR_INTERVAL)
            response = await self._call_any(MACHINES_PATH)
            if not response.ok:
                continue
            for machine_id, machine in msgspec.convert(response.content, MaintenanceView).machines.items():
                if machine.state == "free" and (machine_id, machine.number) not in self.started_work:
                    self._start_work(machine_id, machine, modes[machine.job])

    def _start_work(self, machine_id: str, machine: MachineView, mode: str) -> None:
        if mode == "hand" or machine.unhealthy:
            self.started_work.add((machine_id, machine.number))
            self._spawn(self._work_manually(machine_id, machine.job, machine.number))
        elif mode == "list":
            self.started_work.add((machine_id, machine.number))
            self._spawn(self._work_on(machine_id, machine.job, machine.number))

    async def _work_manually(self, machine_id: str, job: str, number: int) -> None:
        if await self._report_step(machine_id, "begin", number):
            await self._work_on(machine_id, job, number)
            await self._report_step(machine_id, "done", number)

    async def _work_on(self, machine_id: str, job: str, number: int) -> None:
        run = MaintenanceRun(machine_id, job, number, boot_time_ns())
        self.runs.append(run)
        await self._restart_machine(machine_id, job)
        run.ended_at = boot_time_ns()

    # --- machines ---

    async def _restart_machine(self, machine_id: str, job: str) -> None:
        seconds = next(submitted.down_seconds for submitted in self.plan.jobs if submitted.name == job)
        backends = self.context.backends
        process = self.context.processes.get(machine_id.removeprefix(DISPATCHER_PREFIX))
        if process and machine_id not in backends.backends:
            async with process.restart_lock:
                await process.drain_and_restart(seconds)
            return
        backends.take_down(machine_id)
        await asyncio.sleep(seconds)
        await backends.bring_up(machine_id)

    async def _follow_commands(self) -> None:
        """Reads the command log and restarts the machines on which commands run."""
        while not self.finished:
            await asyncio.sleep(POLL_INTERVAL)
            with self.command_log.open() as log:
                log.seek(self.command_log_offset)
                text = log.read()
            self.command_log_offset += len(text)
            for line in text.splitlines():
                self._handle_log_entry(msgspec.json.decode(line, type=CommandLogEntry))

    def _handle_log_entry(self, entry: CommandLogEntry) -> None:
        machine_id = entry.machine_id
        if machine_id not in self.context.backends.backends:
            machine_id = DISPATCHER_PREFIX + machine_id
        if entry.event == "begin":
            self.runs.append(MaintenanceRun(machine_id, entry.job, entry.number, entry.at))
            self._spawn(self._restart_machine(machine_id, entry.job))
            return
        for run in self.runs:
            if (run.machine_id, run.job, run.number) == (machine_id, entry.job, entry.number):
                run.ended_at = entry.at

    # --- end of the trial ---

    async def wait_until_finished(self, seconds: float) -> dict[str, str]:
        """Waits until the leader reports that all jobs have ended, for `seconds` at most.

        Returns:
            The reason by job, for jobs that did not end as specified.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while True:
            leading = await self._query_leader()
            if (leading and msgspec.convert(leading, MaintenanceView).is_finished()) or loop.time() > end:
                break
            await asyncio.sleep(RETRY_INTERVAL)
        self.finished = True
        await asyncio.sleep(FINAL_READ_DELAY)
        for task in list(self.background_tasks):
            task.cancel()
        await asyncio.gather(*self.background_tasks, return_exceptions=True)
        if leading is None:
            return {job.name: "no process is the leader" for job in self.plan.jobs}
        (self.context.folder / "works.json").write_text(json.dumps(leading, indent=1))
        return self._unfinished_jobs(msgspec.convert(leading, MaintenanceView))

    async def _query_leader(self) -> JsonObject | None:
        """Returns the maintenance state of the leader, or None without one."""
        names = self.plan.process_names()
        responses = [await self.context.admin.call(name, MACHINES_PATH) for name in names]
        return next(
            (response.content for response in responses if response.ok and response.content["leads"]), None
        )

    def _unfinished_jobs(self, view: MaintenanceView) -> dict[str, str]:
        """Returns the reason by job, for jobs with machines that are left without a reported reason."""
        waiting_machines = {wait.machine for wait in view.waits}
        waiting_jobs = {wait.job for wait in view.waits}
        faults = {}
        for submitted in self.plan.jobs:
            job = view.jobs.get(submitted.name)
            if job is None:
                faults[submitted.name] = "was submitted and is unknown to the leader"
                continue
            left = [machine for machine in job.left if machine not in waiting_machines]
            explained = job.halted or submitted.name in waiting_jobs or job.state != "go"
            if left and not explained:
                faults[submitted.name] = f"{left} are left without a stated reason"
        return faults
