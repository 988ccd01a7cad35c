"""A simulated fleet: dispatchers, backends, clients and discovery. The same seed gives the same run."""

from functools import partial
from random import Random

from crankfold.routing.interface import EndpointState, RoutingConfig
from crankfold.simulation.event_queue import EventQueue
from crankfold.simulation.traffic.backend import SimulatedBackend
from crankfold.simulation.traffic.dispatcher import ONLY_CLASS, SimulatedDispatcher
from crankfold.simulation.traffic.fault_script import FaultScript, FleetConditions
from crankfold.simulation.traffic.invariants import PROPAGATION_LIMIT_TICKS, InvariantChecker
from crankfold.simulation.traffic.scenario import (
    START,
    ClientRequest,
    FleetContext,
    PolicyFactory,
    Scenario,
)
from crankfold.time_units import TICKS_PER_SECOND

FAILOVER_DELAY_TICKS = TICKS_PER_SECOND // 2  # until the clients of a dead dispatcher try another one
DEFAULT_DRAIN_GRACE_TICKS = 3_000


class SimulatedFleet:
    """Simulates a scenario with one instance of a policy at each dispatcher.

    Args:
        scenario: The load, the backends and the faults.
        config: The configuration of every policy.
        policy_factory: Creates the policy of a dispatcher.
        drain_grace: See `InvariantChecker`; ticks.
    """

    def __init__(
        self,
        scenario: Scenario,
        config: RoutingConfig,
        policy_factory: PolicyFactory,
        drain_grace: int = DEFAULT_DRAIN_GRACE_TICKS,
    ) -> None:
        self.scenario = scenario
        self.config = config
        self.policy_factory = policy_factory
        self.events = EventQueue()
        self.events.now = START
        self.invariants = InvariantChecker(config, drain_grace)
        self.context = FleetContext(scenario, config, self.events, self.invariants)
        self.conditions = FleetConditions(arrival_rate=scenario.arrival_rate)
        self.request_count = 0  # without retries by clients
        self.on_time_count = 0
        self.last_request_id = -1
        self.departure_rng = Random(f"{scenario.seed} leave")
        self.backends = [SimulatedBackend(self.context, index) for index in range(scenario.backend_count)]
        self.dispatchers = [self._make_dispatcher(index) for index in range(scenario.dispatcher_count)]
        self._start()

    def _make_dispatcher(self, index: int) -> SimulatedDispatcher:
        return SimulatedDispatcher(
            self.context, index, self.policy_factory, backends=self.backends, clients=self
        )

    def _start(self) -> None:
        scenario = self.scenario
        for backend in self.backends:
            rng = Random(f"{scenario.seed} report {backend.index}")
            self.events.schedule(rng.randrange(scenario.report_interval), backend.refresh_report)
        for dispatcher in self.dispatchers:
            dispatcher.update_endpoints(range(scenario.backend_count), snapshot=True)
            self._schedule_arrival(dispatcher.index, Random(f"{scenario.seed} client {dispatcher.index}"))
        script = FaultScript(self)
        for fault in scenario.faults:
            script.schedule(fault)

    def run(self) -> None:
        """Runs the scenario until the deadline of its last request has passed."""
        day_end = START + self.scenario.seconds * TICKS_PER_SECOND
        last_deadline = day_end + self.config.request_classes[ONLY_CLASS].deadline
        self.events.run(last_deadline + TICKS_PER_SECOND)
        self.invariants.finish(self.events.now)

    # --- clients ---

    def submit_request(self, dispatcher: int, request: ClientRequest) -> None:
        """Sends a request to a dispatcher, or to the next live one after a failover delay."""
        for offset in range(len(self.dispatchers)):
            candidate = self.dispatchers[(dispatcher + offset) % len(self.dispatchers)]
            if not candidate.alive:
                continue
            if offset and not request.tries:
                retry = ClientRequest(request.service_time, request.arrived_at, request.tries + 1)
                submit = partial(self.submit_request, candidate.index, retry)
                self.events.schedule(FAILOVER_DELAY_TICKS, submit)
            else:
                self._deliver(candidate, request)
            return

    def _deliver(self, dispatcher: SimulatedDispatcher, request: ClientRequest) -> None:
        self.last_request_id += 1
        dispatcher.receive_request(self.last_request_id, request)
        departure_rate = self.conditions.departure_rate
        if departure_rate and self.departure_rng.random() < departure_rate:
            disconnect = partial(dispatcher.disconnect_client, self.last_request_id)
            self.events.schedule(self.conditions.departure_delay, disconnect)

    def request_completed(self, *, on_time: bool) -> None:
        """Counts a completed request if it was on time."""
        self.on_time_count += on_time

    def _schedule_arrival(self, dispatcher: int, rng: Random) -> None:
        """Schedules the next request of an open loop: arrivals do not wait for earlier answers."""

        def arrive() -> None:
            self.request_count += 1
            service_time = max(int(rng.expovariate(1 / self.scenario.mean_service_time)), 1)
            self.submit_request(dispatcher, ClientRequest(service_time, self.events.now))
            self._schedule_arrival(dispatcher, rng)

        delay = int(rng.expovariate(self.conditions.arrival_rate / TICKS_PER_SECOND))
        if self.events.now + delay < START + self.scenario.seconds * TICKS_PER_SECOND:
            self.events.schedule(delay, arrive)

    # --- backends and discovery ---

    def change_state(self, at: int, backend: int, state: EndpointState, since: int = 0) -> None:
        """Schedules a change of a backend's state; discovery publishes it later.

        Args:
            at: Time of the change, ticks.
            backend: Index of the backend.
            state: The new state.
            since: Start of the slow start, ticks; 0 for a warm backend.
        """
        change = partial(self._change_state_now, backend, state, since)
        self.events.schedule(at - self.events.now, change)

    def _change_state_now(self, backend: int, state: EndpointState, since: int) -> None:
        self.backends[backend].state = state
        self.backends[backend].ready_since = since
        conditions = self.conditions
        delay = max(self.scenario.discovery_delay, conditions.discovery_resumes_at - self.events.now)
        self.events.schedule(delay, partial(self._change_discovered, backend, state))
        for dispatcher in range(len(self.dispatchers)):
            is_silent = dispatcher in conditions.silent_watchers
            self.events.schedule(
                delay + (conditions.silence_duration if is_silent else 0),
                partial(self._send_update, dispatcher, backend),
            )

    def _change_discovered(self, backend: int, state: EndpointState) -> None:
        change = self.invariants.change_discovered(backend)
        expires_at = self.events.now + PROPAGATION_LIMIT_TICKS
        for dispatcher in range(len(self.dispatchers)):
            expire = partial(
                self.invariants.propagation_expired,
                expires_at,
                dispatcher,
                backend=backend,
                state=state,
                change=change,
            )
            self.events.schedule(PROPAGATION_LIMIT_TICKS, expire)

    def _send_update(self, dispatcher: int, backend: int) -> None:
        if self.dispatchers[dispatcher].alive:
            self.dispatchers[dispatcher].update_endpoints((backend,), snapshot=False)

    def kill_dispatcher(self, index: int) -> None:
        """Kills a dispatcher; its unanswered requests are lost."""
        self.dispatchers[index].alive = False
        self.invariants.dispatcher_killed(self.events.now, index)

    def restart_dispatcher(self, index: int) -> None:
        """Restarts a killed dispatcher without its earlier state."""
        self.dispatchers[index] = self._make_dispatcher(index)
        self.dispatchers[index].update_endpoints(range(len(self.backends)), snapshot=True)
