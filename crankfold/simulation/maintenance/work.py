"""The work on simulated machines, done by operators or by commands that dispatchers run."""

from collections.abc import Callable, Mapping
from random import Random
from typing import Final, Protocol

from crankfold.maintenance.specification import WorkMethod
from crankfold.maintenance.transitions import MaintenancePhase
from crankfold.simulation.consensus.cluster import Document
from crankfold.simulation.event_queue import EventQueue
from crankfold.simulation.maintenance.checker import MaintenanceChecker
from crankfold.simulation.maintenance.dispatcher import SimulatedDispatcher
from crankfold.simulation.maintenance.machines import WorkRun

FIRST_SUBMIT_TICKS: Final = 15_000
SUBMIT_RETRY_TICKS: Final = 8000
OPERATOR_ROUND_TICKS: Final = 3000
OPERATOR_RETRY_TICKS: Final = 7000
OUTCOME_RETRY_TICKS: Final = 5000
COMMAND_FAILURE_SHARE: Final = 0.05
SUBMIT_CALL: Final = "works"


class MaintainedFleet(Protocol):
    """The part of the fleet that operators and commands use."""

    events: EventQueue
    rng: Random

    @property
    def dispatchers(self) -> Mapping[str, SimulatedDispatcher]:
        """The dispatchers, by name."""

    def is_accepted(self, call: str) -> bool:
        """Whether the call is known to be accepted."""

    def is_decided(self, call: str) -> bool:
        """Whether the outcome of the call is known."""

    def submit_jobs(self, dispatcher: str, call: str) -> None:
        """Publishes the jobs of the case."""

    def propose_transition(self, dispatcher: str, call: str, transition: Document) -> None:
        """Proposes a transition, in its stored form, to the cluster."""

    def restart_machine(self, machine_id: str, then: Callable[[], None]) -> None:
        """Stops a machine for the duration of the work, starts it, and calls `then`."""


class Operators:
    """The operators, who submit the jobs and do the work of jobs without a command."""

    def __init__(self, fleet: MaintainedFleet, checker: MaintenanceChecker) -> None:
        self._fleet = fleet
        self._checker = checker
        self._begun_work: set[tuple[str, int]] = set()  # (machine id, drain number)

    def start(self) -> None:
        """Schedules the first submission and the first round of work."""
        self._fleet.events.schedule(FIRST_SUBMIT_TICKS, self._submit_jobs)
        self._fleet.events.schedule(OPERATOR_ROUND_TICKS, self._work_on_drained)

    def _submit_jobs(self) -> None:
        """Submits the jobs, repeatedly with the same call until it is accepted."""
        fleet = self._fleet
        if fleet.is_accepted(SUBMIT_CALL):
            return
        dispatcher = fleet.rng.choice(list(fleet.dispatchers.values()))
        if dispatcher.member and dispatcher.running:
            fleet.submit_jobs(dispatcher.name, SUBMIT_CALL)
        fleet.events.schedule(SUBMIT_RETRY_TICKS, self._submit_jobs)

    def _work_on_drained(self) -> None:
        """Starts the work on machines that a random dispatcher lists as drained."""
        fleet = self._fleet
        fleet.events.schedule(OPERATOR_ROUND_TICKS, self._work_on_drained)
        dispatcher = fleet.rng.choice(list(fleet.dispatchers.values()))
        if not dispatcher.running or dispatcher.member is None:
            return
        jobs = dispatcher.jobs()
        for machine_id, record in dispatcher.maintenance_state().machines.items():
            job = jobs.get(record.job)
            drained = machine_id, record.drain_number
            if job is None or record.phase != MaintenancePhase.DRAINED or drained in self._begun_work:
                continue
            if job.method == WorkMethod.ENDPOINT_LIST:
                self._begun_work.add(drained)
                fleet.restart_machine(machine_id, lambda: None)
            elif job.method == WorkMethod.OPERATOR:
                self._begun_work.add(drained)
                run = WorkRun(machine_id, record.job, record.drain_number)
                self._propose_transition(run, MaintenancePhase.IN_WORK)

    def work_begun(self, run: WorkRun) -> None:
        """Does the work on a machine; called when the transition that starts the work is committed."""
        self._checker.work_begun(run)
        self._fleet.restart_machine(
            run.machine_id, lambda: self._propose_transition(run, MaintenancePhase.WORK_DONE)
        )

    def _propose_transition(self, run: WorkRun, phase: MaintenancePhase) -> None:
        """Proposes a transition at random dispatchers until its outcome is known."""
        fleet = self._fleet
        call = f"{phase} {run.machine_id} {run.drain_number}"
        if fleet.is_decided(call):
            return
        transition = {
            "uid": run.machine_id,
            "work": run.job,
            "step": phase.value,
            "by": "o",
            "life": 0,
            "number": run.drain_number,
            "why": "",
        }
        fleet.propose_transition(fleet.rng.choice(sorted(fleet.dispatchers)), call, transition)
        fleet.events.schedule(OPERATOR_RETRY_TICKS, lambda: self._propose_transition(run, phase))


class Commands:
    """The commands that dispatchers run on machines."""

    def __init__(self, fleet: MaintainedFleet, checker: MaintenanceChecker) -> None:
        self._fleet = fleet
        self._checker = checker

    def start(self, dispatcher: SimulatedDispatcher, run: WorkRun) -> None:
        """Runs a command, which fails at random; its outcome is lost if the dispatcher restarts."""
        self._checker.command_started(run)
        generation = dispatcher.generation

        def ended() -> None:
            self._checker.command_ended(run)
            if generation == dispatcher.generation:
                failed = self._fleet.rng.random() <= COMMAND_FAILURE_SHARE
                phase = MaintenancePhase.WORK_FAILED if failed else MaintenancePhase.WORK_DONE
                self._report_outcome(dispatcher, generation, run, phase)

        self._fleet.restart_machine(run.machine_id, ended)

    def _report_outcome(
        self, dispatcher: SimulatedDispatcher, generation: int, run: WorkRun, phase: MaintenancePhase
    ) -> None:
        """Proposes the outcome of a command until the proposal is decided or the dispatcher restarts."""
        call = f"{run.machine_id} {run.drain_number}"
        if generation != dispatcher.generation or self._fleet.is_decided(call):
            return
        transition = {
            "uid": run.machine_id,
            "work": run.job,
            "step": phase.value,
            "number": run.drain_number,
            "by": dispatcher.name,
            "why": "",
        }
        self._fleet.propose_transition(dispatcher.name, call, transition)
        self._fleet.events.schedule(
            OUTCOME_RETRY_TICKS, lambda: self._report_outcome(dispatcher, generation, run, phase)
        )
