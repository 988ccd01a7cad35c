"""The admin API of maintenance: status, forecast of a job, transitions that operators request.

`admin_messages` defines the JSON keys of calls and answers.
"""

import msgspec

from crankfold.cluster.clock import boottime_ticks
from crankfold.consensus.log_entries import EntryKind
from crankfold.consensus.voter import Voter
from crankfold.document_names import MAINTENANCE
from crankfold.maintenance.forecast import Forecast, ForecastInputs, forecast_job
from crankfold.maintenance.scheduler import Machine
from crankfold.maintenance.specification import (
    JobSpecification,
    Target,
    WorkMethod,
    parse_jobs,
    validation_error,
)
from crankfold.maintenance.state import MachineInMaintenance, is_dispatcher_id
from crankfold.maintenance.transitions import MaintenancePhase, Transition, operator_document
from crankfold.service.cluster.admin_messages import CallOutcome
from crankfold.service.maintenance.admin_messages import (
    ForecastAnswer,
    ForecastDeparture,
    ForecastRequest,
    JobStatus,
    MachineWait,
    MaintenanceOverview,
    TransitionRequest,
    TransitionResult,
)
from crankfold.service.maintenance.interface import MaintenanceStatus
from crankfold.service.wall_clock import wall_clock_ms
from crankfold.time_units import TICKS_PER_SECOND

PROPOSE_TIMEOUT = 10.0  # seconds until the outcome of a proposal is reported as unknown
RESTORE_LOCALLY = "here"  # the step that affects this dispatcher only
OPERATOR_TRANSITIONS = {
    "begin": MaintenancePhase.IN_WORK,
    "done": MaintenancePhase.WORK_DONE,
    "unwell": MaintenancePhase.UNHEALTHY,
    "back": MaintenancePhase.RETURNING,
}
MAY_RETURN = (
    MaintenancePhase.DRAINING,
    MaintenancePhase.DRAINED,
    MaintenancePhase.WORK_FAILED,
    MaintenancePhase.UNHEALTHY,
)


class MaintenanceAdmin:
    """Carries out admin calls about maintenance at one dispatcher."""

    def __init__(self, agent: MaintenanceStatus) -> None:
        self.agent = agent

    def describe(self) -> MaintenanceOverview:
        """Returns the jobs, the machines in maintenance, the wait reasons and the transitions."""
        agent = self.agent
        state = agent.state
        member = agent.cluster_node.consensus
        machines = agent.machines()
        if isinstance(member, Voter):
            machines += agent.dispatchers(member, boottime_ticks())
        return MaintenanceOverview(
            jobs={name: self._job_status(name, job, machines) for name, job in agent.jobs().items()},
            machines={machine_id: machine.to_document() for machine_id, machine in state.machines.items()},
            transitions=[transition.to_document() for transition in state.transitions],
            waits=[
                MachineWait(wait.machine_id, wait.job, wait.text) for wait in agent.coordinator.wait_reasons
            ],
            is_leader=isinstance(member, Voter) and member.is_leader(),
            leader=member.raft.leader if isinstance(member, Voter) else "",
            restored_locally=sorted(agent.restored_locally),
        )

    def _job_status(self, name: str, job: JobSpecification, machines: list[Machine]) -> JobStatus:
        state = self.agent.state
        completed = state.completed.get(name, {})
        target = job.to_job(name)
        wanted = [
            machine.machine_id
            for machine in machines
            if is_dispatcher_id(machine.machine_id) == (job.target == Target.DISPATCHERS)
            and target.covers(machine)
        ]
        in_progress = any(machine.job == name for machine in state.machines.values())
        job_state: str = job.state
        if name in state.halted_jobs:
            job_state = "stopped by itself"
        elif wanted and not in_progress and all(machine_id in completed for machine_id in wanted):
            job_state = "done"
        return JobStatus(
            reason=job.reason,
            state=job_state,
            halted=state.halted_jobs.get(name, ""),
            wanted=len(wanted),
            done=dict(completed),
            left=[
                machine_id
                for machine_id in wanted
                if machine_id not in completed and machine_id not in state.machines
            ],
        )

    def forecast(self, body: bytes) -> ForecastAnswer | CallOutcome:
        """Returns the departures of machines if this job were published now; does not publish it.

        Raises:
            msgspec.DecodeError: The body is not a `ForecastRequest`.
        """
        request = msgspec.json.decode(body, type=ForecastRequest)
        agent = self.agent
        document = agent.cluster_node.consensus.documents.document(MAINTENANCE)
        previous = document.versions[-1].text if document.versions else {}
        content = {"works": {**previous.get("works", {}), request.name: request.job}}
        error = validation_error(content, previous, agent.machines())
        if error:
            return CallOutcome(False, error)
        jobs = parse_jobs(content)
        target = jobs[request.name].target
        machines = agent.machines()
        if target == Target.DISPATCHERS:
            member = agent.cluster_node.consensus
            if not isinstance(member, Voter):
                # Only voters forecast jobs on dispatchers; the text refers the caller to one.
                return CallOutcome(False, "ask at the door of a voter")
            machines = agent.dispatchers(member, boottime_ticks())
        jobs_of_target = {name: job for name, job in jobs.items() if job.target == target}
        return _forecast_answer(forecast_job(request.name, self._forecast_inputs(jobs_of_target, machines)))

    def _forecast_inputs(self, jobs: dict[str, JobSpecification], machines: list[Machine]) -> ForecastInputs:
        agent = self.agent
        drain_ticks = agent.cluster_node.consensus.documents.max_request_duration()
        return ForecastInputs(
            jobs=jobs,
            machines=machines,
            out_for={machine_id: machine.job for machine_id, machine in agent.state.machines.items()},
            completed=agent.state.completed_pairs(),
            now_ms=wall_clock_ms(),
            drain_seconds=drain_ticks / TICKS_PER_SECOND,
            warm_up_seconds=agent.request_handler.config.slow_start_duration / TICKS_PER_SECOND,
        )

    async def request_transition(self, body: bytes) -> TransitionResult:
        """Proposes the transition that an operator requests.

        Raises:
            msgspec.DecodeError: The body is not a `TransitionRequest`.
        """
        request = msgspec.json.decode(body, type=TransitionRequest)
        if request.step == RESTORE_LOCALLY:
            return self._restore_locally(request.machine_id)
        phase = OPERATOR_TRANSITIONS.get(request.step)
        if phase is None:
            known = ", ".join(OPERATOR_TRANSITIONS)
            return TransitionResult(False, f"step: found {request.step!r}; {known}")
        machine = self.agent.state.machines.get(request.machine_id)
        if machine is None:
            return _not_out(request.machine_id)
        objection = self._objection(request.machine_id, machine, phase)
        if objection:
            return TransitionResult(False, objection)
        transition = operator_document(_requested_transition(request, machine.job, phase))
        response = await self.agent.cluster_node.propose(
            EntryKind.MAINTENANCE, {"steps": [transition]}, request.call, PROPOSE_TIMEOUT
        )
        return TransitionResult(
            response.accepted, response.reason, response.accepted or response.log_index > 0
        )

    def _objection(self, machine_id: str, machine: MachineInMaintenance, phase: MaintenancePhase) -> str:
        """Returns why an operator may not request a transition; empty if the agent has no objection.

        Whether the replicated state permits the transition is checked when it is applied.
        """
        job = self.agent.jobs().get(machine.job)
        if (
            phase in (MaintenancePhase.IN_WORK, MaintenancePhase.WORK_DONE)
            and machine.phase in (MaintenancePhase.DRAINED, MaintenancePhase.IN_WORK)
            and not machine.unhealthy
            and job
            and job.method == WorkMethod.COMMAND
        ):
            # The job runs a command at this point, so operators may not request these phases.
            return f"{machine_id} is for {machine.job}'s command"
        if phase == MaintenancePhase.RETURNING and machine.phase not in MAY_RETURN:
            return f"{machine_id} is in state {machine.phase}"
        return ""

    def _restore_locally(self, machine_id: str) -> TransitionResult:
        """Restores a machine at this dispatcher only, if it is isolated and cannot propose a transition."""
        if machine_id not in self.agent.state.out_of_rotation():
            return _not_out(machine_id)
        if self.agent.cluster_node.has_lease():
            # This dispatcher is not isolated; the step `back` restores the machine cluster-wide.
            return TransitionResult(False, "the fleet is heard here; hand it in as a step of all: back")
        self.agent.restore_locally(machine_id)
        return TransitionResult(True)


def _requested_transition(request: TransitionRequest, job: str, phase: MaintenancePhase) -> Transition:
    return Transition(
        machine_id=request.machine_id,
        job=job,
        phase=phase,
        by=request.author or "an operator",
        incarnation=0,
        reason=request.reason,
        at_ms=wall_clock_ms(),
        drain_number=request.drain_number or None,
    )


def _not_out(machine_id: str) -> TransitionResult:
    return TransitionResult(False, f"{machine_id} is not out for any work, as far as is known here")


def _forecast_answer(forecast: Forecast) -> ForecastAnswer:
    return ForecastAnswer(
        accepted=True,
        departures=[
            ForecastDeparture(
                begin=departure.begin_seconds,
                end=departure.end_seconds,
                machine_id=departure.machine_id,
                zone=departure.zone,
                waited_for=departure.waited_for,
            )
            for departure in forecast.departures
        ],
        wait_reasons=forecast.wait_reasons,
    )
