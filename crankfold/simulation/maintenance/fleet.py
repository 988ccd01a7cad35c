"""A simulated fleet in maintenance: machines, and a cluster of dispatchers that send requests to them."""

from collections.abc import Callable
from typing import Final

from crankfold.consensus.follower import Follower
from crankfold.consensus.log_entries import EntryKind
from crankfold.consensus.member import MaintenanceCoordinator
from crankfold.consensus.voter import Voter
from crankfold.document_names import MAINTENANCE
from crankfold.maintenance.coordinator import Coordinator
from crankfold.maintenance.scheduler import Machine
from crankfold.maintenance.specification import WorkMethod, parse_jobs
from crankfold.maintenance.state import TransitionRecord
from crankfold.maintenance.transitions import MaintenancePhase
from crankfold.simulation.consensus.cluster import (
    REQUEST_DEADLINE,
    Document,
    SimulatedCluster,
    SimulatedProcess,
)
from crankfold.simulation.maintenance.cases import MaintenanceCase
from crankfold.simulation.maintenance.checker import WARM_UP_TICKS, MaintenanceChecker
from crankfold.simulation.maintenance.dispatcher import (
    DispatcherEnvironment,
    SimulatedDispatcher,
    WaitingAttempt,
)
from crankfold.simulation.maintenance.machines import (
    INSTANCE_TYPE,
    RunningRequest,
    SimulatedMachine,
    WorkRun,
)
from crankfold.simulation.maintenance.work import Commands, Operators

REQUEST_ROUND_TICKS: Final = 400  # between the rounds in which dispatchers send requests
LONG_REQUEST_SHARE: Final = 0.06  # share of the requests that may run past their deadline
MAX_LONG_REQUEST_TICKS: Final = 2 * REQUEST_DEADLINE
MIN_REQUEST_TICKS: Final = 200
MAX_REQUEST_TICKS: Final = 4000
MACHINE_SIZES: Final = (1.0, 2.0)  # assigned to machines in turn


class MaintenanceFleet(SimulatedCluster):
    """A simulated cluster whose members are dispatchers that maintain machines."""

    def __init__(
        self,
        case: MaintenanceCase,
        voter: type[Voter] = Voter,
        follower: type[Follower] = Follower,
        *,
        make_coordinator: Callable[[str], Coordinator] = Coordinator,
        warm_up_ticks: int = WARM_UP_TICKS,
    ) -> None:
        """Creates the fleet without starting a process.

        Args:
            case: The cluster, the machines and the jobs.
            voter: The class of the voters; tests use subclasses with a fault.
            follower: The class of the followers.
            make_coordinator: Creates the coordinator of a dispatcher from its name.
            warm_up_ticks: Duration of a machine's slow start, as the coordinators assume it.
        """
        super().__init__(case.cluster_case, voter, follower)
        self.maintenance_case = case
        self.machines = _make_machines(case)
        self.dispatchers = self._make_dispatchers(make_coordinator, warm_up_ticks)
        self.processes = {**self.dispatchers}
        self.jobs = parse_jobs({"works": case.jobs})
        self.request_count = 0
        self.machines_left: list[int] = []  # number of machines not completed at the end, one value per job
        self._last_checked_index = 0  # log index of the last checked transition
        self._checker = self._make_checker()
        self._operators = Operators(self, self._checker)
        self._commands = Commands(self, self._checker)

    def _make_checker(self) -> MaintenanceChecker:
        return MaintenanceChecker(
            self.events, self.machines, self.dispatchers, self.jobs, self._report_violation
        )

    def _make_dispatchers(
        self, make_coordinator: Callable[[str], Coordinator], warm_up_ticks: int
    ) -> dict[str, SimulatedDispatcher]:
        environment = DispatcherEnvironment(
            machines=self.machines,
            make_coordinator=make_coordinator,
            warm_up_ticks=warm_up_ticks,
            start_command=self._start_command,
        )
        return {
            name: SimulatedDispatcher(self, name, process.clock_rate, environment)
            for name, process in self.processes.items()
        }

    def coordinator_of(self, process: SimulatedProcess) -> MaintenanceCoordinator | None:
        """Returns the dispatcher, which proposes the transitions of its member."""
        return self.dispatchers[process.name]

    def run(self) -> "MaintenanceFleet":
        """Runs the case to its end and returns the fleet."""
        for loss in self.maintenance_case.losses:
            machine = self.machines[loss.machine_id]
            self.events.schedule(loss.begin, _set_running(self, machine, False))
            self.events.schedule(loss.end, _set_running(self, machine, True))
        self._operators.start()
        super().run()
        return self

    # --- operators and commands ---

    def is_accepted(self, call: str) -> bool:
        """Whether the call is known to be accepted."""
        return call in self.outcomes and self.outcomes[call].accepted

    def is_decided(self, call: str) -> bool:
        """Whether the outcome of the call is known."""
        return call in self.outcomes and (self.outcomes[call].accepted or self.outcomes[call].log_index > 0)

    def submit_jobs(self, dispatcher: str, call: str) -> None:
        """Publishes the jobs of the case."""
        data = {
            "doc": MAINTENANCE,
            "made_from": 0,
            "author": "o",
            "reason": "r",
            "at": 0,
            "text": {"works": self.maintenance_case.jobs},
        }
        self._submit_publish(dispatcher, call, data)

    def propose_transition(self, dispatcher: str, call: str, transition: Document) -> None:
        """Proposes a transition, in its stored form, to the cluster."""
        self.dispatchers[dispatcher].deliver(
            lambda member, now: member.propose(  # type: ignore[attr-defined]
                now, call, EntryKind.MAINTENANCE, {"steps": [transition]}
            )
        )

    def restart_machine(self, machine_id: str, then: Callable[[], None]) -> None:
        """Stops a machine for the duration of the work, starts it, and calls `then`."""
        machine = self.machines[machine_id]
        machine.set_running(self.events.now, False)

        def start_machine() -> None:
            machine.set_running(self.events.now, True)
            then()

        self.events.schedule(self.maintenance_case.work_duration, start_machine)

    def _start_command(self, dispatcher: SimulatedDispatcher, run: WorkRun) -> None:
        self._commands.start(dispatcher, run)

    # --- requests ---

    def _generate_load(self) -> None:
        self.events.schedule(REQUEST_ROUND_TICKS, self._generate_load)
        now = self.events.now
        for dispatcher in self.dispatchers.values():
            if not dispatcher.running or dispatcher.member is None or now < dispatcher.paused_until:
                continue
            dispatcher.follow_maintenance()
            if (
                not dispatcher.member.has_lease(dispatcher.local_time())
                or self.rng.random() > self.maintenance_case.request_rate
            ):
                continue
            ready = dispatcher.ready_machines()
            if ready:
                self._send_request(dispatcher, self.rng.choice(ready))

    def _send_request(self, dispatcher: SimulatedDispatcher, machine_id: str) -> None:
        now = self.events.now
        machine = self.machines[machine_id]
        self.request_count += 1
        request = f"{dispatcher.name} {self.request_count}"
        self._checker.request_sent(request, machine_id)
        if not machine.running:
            if machine_id in dispatcher.answer_counts:
                dispatcher.answer_counts[machine_id].add(bad=True)
            return
        duration = self._draw_duration()
        wait_ticks = min(duration, REQUEST_DEADLINE)
        dispatcher.attempts.append(WaitingAttempt(now + wait_ticks, machine_id, request))
        machine.requests = [other for other in machine.requests if other.ends_at > now]
        machine.requests.append(RunningRequest(now + duration, request, now + REQUEST_DEADLINE))
        generation = dispatcher.generation

        def ended() -> None:
            if generation == dispatcher.generation:
                dispatcher.request_ended(request, machine, timed_out=duration > REQUEST_DEADLINE)

        self.events.schedule(wait_ticks, ended)

    def _draw_duration(self) -> int:
        if self.rng.random() < LONG_REQUEST_SHARE:
            return self.rng.randrange(MAX_LONG_REQUEST_TICKS)
        return self.rng.randrange(MIN_REQUEST_TICKS, MAX_REQUEST_TICKS)

    # --- invariants ---

    def check_invariants(self) -> None:
        """Also checks each transition that a dispatcher has newly applied."""
        super().check_invariants()
        for dispatcher in self.dispatchers.values():
            member = dispatcher.member
            if not dispatcher.running or member is None or member.last_applied <= self._last_checked_index:
                continue
            for record in dispatcher.maintenance_state().transitions:
                if record.index > self._last_checked_index:
                    self._transition_committed(record)
            self._last_checked_index = member.last_applied

    def _transition_committed(self, record: TransitionRecord) -> None:
        self._checker.transition_committed(record)
        if record.phase == MaintenancePhase.IN_WORK and self.jobs[record.job].method == WorkMethod.OPERATOR:
            number = self._checker.drain_numbers[record.machine_id]
            self._operators.work_begun(WorkRun(record.machine_id, record.job, number))

    def _check_final_state(self) -> None:
        super()._check_final_state()
        leader = self._leader()
        if leader is None or not self.maintenance_case.faults_end_at:
            return
        state = leader.maintenance_state()
        for name, job in self.jobs.items():
            completed = state.completed.get(name, {})
            remaining = [
                machine.machine_id
                for machine in self.machines.values()
                if machine.machine_id not in completed
                and job.to_job(name).covers(Machine(machine.machine_id, machine.zone, INSTANCE_TYPE))
            ]
            self.machines_left.append(len(remaining))
            explained = any(
                wait.job == name or wait.machine_id in remaining for wait in leader.coordinator.wait_reasons
            )
            if remaining and not explained and name not in state.halted_jobs:
                self._report_violation(f"{name} has {remaining} left without a stated reason")

    def _leader(self) -> SimulatedDispatcher | None:
        for dispatcher in self.dispatchers.values():
            if dispatcher.running and isinstance(dispatcher.member, Voter) and dispatcher.member.is_leader():
                return dispatcher
        return None


def _make_machines(case: MaintenanceCase) -> dict[str, SimulatedMachine]:
    """Creates machines of alternating sizes, spread over the zones."""
    return {
        f"m{n}": SimulatedMachine(
            machine_id=f"m{n}",
            zone=f"z{n % case.zone_count}",
            size=MACHINE_SIZES[n % len(MACHINE_SIZES)],
            unhealthy=f"m{n}" in case.unhealthy,
        )
        for n in range(case.machine_count)
    }


def _set_running(fleet: SimulatedCluster, machine: SimulatedMachine, running: bool) -> Callable[[], None]:
    return lambda: machine.set_running(fleet.events.now, running)
