"""Runs the commands of maintenance jobs that the cluster assigns to this dispatcher."""

import asyncio
import contextlib
import logging
import os
import signal
from collections.abc import Mapping
from typing import NamedTuple

from crankfold.cluster.node import ClusterNode
from crankfold.consensus.log_entries import EntryKind
from crankfold.maintenance.specification import JobSpecification
from crankfold.maintenance.state import DISPATCHER_PREFIX, MaintenanceState
from crankfold.maintenance.transitions import MaintenancePhase, Transition, outcome_document
from crankfold.service.backends.registry import BackendRegistry
from crankfold.service.wall_clock import wall_clock_ms

logger = logging.getLogger(__name__)

PROPOSE_TIMEOUT = 10.0  # seconds until an outcome is proposed again
MAX_ERROR_OUTPUT = 200  # characters; a longer standard error output of a command is cut to its end


class CommandKey(NamedTuple):
    """The identity of one run of a command: the machine and its drain number."""

    machine_id: str
    drain_number: int


class Command(NamedTuple):
    """A command to run, as assigned by the cluster."""

    key: CommandKey
    job_name: str
    job: JobSpecification
    incarnation: int  # of this process


class CommandOutcome(NamedTuple):
    """The phase that a command has brought its machine to, and why."""

    phase: MaintenancePhase
    reason: str


class CommandExecutor:
    """Starts each assigned command once, and proposes its outcome until the cluster has committed it.

    Each command runs in a process group of its own.
    """

    def __init__(self, cluster_node: ClusterNode, backend_registry: BackendRegistry) -> None:
        self.cluster_node = cluster_node
        self.backend_registry = backend_registry
        self.tasks: dict[CommandKey, asyncio.Task[None]] = {}
        self.processes: dict[CommandKey, asyncio.subprocess.Process] = {}

    def start_due(self, state: MaintenanceState, jobs: Mapping[str, JobSpecification]) -> None:
        """Starts the commands that are assigned to this process, while it holds a lease."""
        member = self.cluster_node.consensus
        for machine_id, machine in state.machines.items():
            key = CommandKey(machine_id, machine.drain_number)
            if (
                machine.phase != MaintenancePhase.IN_WORK
                or machine.executor != member.name
                or machine.executor_incarnation != member.incarnation
                or key in self.tasks
                or not self.cluster_node.has_lease()
            ):
                continue
            job = jobs.get(machine.job)
            if job and job.command:
                command = Command(key, machine.job, job, machine.executor_incarnation)
                self.tasks[key] = asyncio.get_running_loop().create_task(self._run(command))

    def close(self) -> None:
        """Kills the commands, as no process would be left to report their outcomes."""
        for process in self.processes.values():
            _kill_process_group(process)
        for task in self.tasks.values():
            task.cancel()

    async def _run(self, command: Command) -> None:
        key = command.key
        logger.info("maintenance: %s: command for %s started, drain number %s", command.job_name, *key)
        try:
            outcome = await self._execute(command)
        except OSError as error:
            outcome = CommandOutcome(MaintenancePhase.WORK_FAILED, f"could not be run: {error}")
        finally:
            self.processes.pop(key, None)
        logger.info(
            "maintenance: %s: command for %s, drain number %s: %s, %s", command.job_name, *key, *outcome
        )
        transition = outcome_document(
            Transition(
                machine_id=key.machine_id,
                job=command.job_name,
                phase=outcome.phase,
                drain_number=key.drain_number,
                by=self.cluster_node.consensus.name,
                reason=outcome.reason,
                at_ms=wall_clock_ms(),
            )
        )
        call = f"{key.machine_id} {key.drain_number} {command.incarnation}"
        while True:  # until the proposal is known to be committed or rejected
            response = await self.cluster_node.propose(
                EntryKind.MAINTENANCE, {"steps": [transition]}, call, PROPOSE_TIMEOUT
            )
            if response.accepted or response.log_index:
                return

    async def _execute(self, command: Command) -> CommandOutcome:
        """Runs a command, and kills it if it exceeds the time limit of its job.

        Raises:
            OSError: The command cannot be started.
        """
        process = await asyncio.create_subprocess_exec(
            *command.job.command,
            env={**os.environ, **self._environment(command)},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        self.processes[command.key] = process
        try:
            async with asyncio.timeout(command.job.work_seconds):
                _, error_output = await process.communicate()
        except TimeoutError:
            _kill_process_group(process)
            return CommandOutcome(
                MaintenancePhase.WORK_FAILED, f"was ended after {command.job.work_seconds:g} s"
            )
        if process.returncode == 0:
            return CommandOutcome(MaintenancePhase.WORK_DONE, "exit 0")
        reason = f"exit {process.returncode}"
        if error_output:
            reason += f": {error_output.decode(errors='replace').strip()[-MAX_ERROR_OUTPUT:]}"
        return CommandOutcome(MaintenancePhase.WORK_FAILED, reason)

    def _environment(self, command: Command) -> dict[str, str]:
        """Returns the environment variables that describe the machine to its command."""
        machine_id, drain_number = command.key
        backend = self.backend_registry.backend_ids.find(machine_id)
        address = self.backend_registry.records[backend].address if backend >= 0 else None
        return {
            "CRANKFOLD_MACHINE": machine_id.removeprefix(DISPATCHER_PREFIX),
            "CRANKFOLD_WORK": command.job_name,
            "CRANKFOLD_NUMBER": str(drain_number),
            "CRANKFOLD_ADDRESS": f"{address.host}:{address.port}" if address and address.host else "",
        }


def _kill_process_group(process: asyncio.subprocess.Process) -> None:
    with contextlib.suppress(ProcessLookupError):
        os.killpg(process.pid, signal.SIGKILL)
