"""Runners, clients and lists round many dispatchers; one seed, one history."""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from random import Random

from crankfold.routing.interface import (
    AttemptEnd,
    Endpoint,
    EndpointState,
    Outcome,
    RequestArrival,
    RoutingActions,
    RoutingConfig,
    RoutingEvents,
)
from crankfold.simulation.event_queue import TICKS_PER_SECOND, EventQueue
from crankfold.simulation.faults import Fault, FaultKind, affected_indices
from crankfold.simulation.invariants import PROPAGATION_LIMIT, InvariantChecker

ZONE_COUNT = 3
ERROR_DELAY = 200  # how soon a failing runner says so
FAILOVER_DELAY = TICKS_PER_SECOND // 2  # until clients go round a dead dispatcher
PolicyFactory = Callable[[RoutingConfig, int, RoutingActions], RoutingEvents]


@dataclass(frozen=True, slots=True)
class Scenario:
    dispatcher_count: int = 3
    backend_count: int = 9
    slots_per_backend: int = 4
    queue_capacity: int = 40  # places behind the slots
    arrival_rate: float = 10.0  # units a second at each dispatcher
    mean_service_time: int = 2_000  # mean running time on a warm runner, exponential
    seconds: int = 10
    network_delay: int = 5  # one way, in tenths of a millisecond
    cross_zone_delay: int = 5  # the same between zones
    client_retries: int = 0  # of a client that was shed, while its time lasts
    retry_delay: int = 100
    report_interval: int = TICKS_PER_SECOND
    discovery_delay: int = TICKS_PER_SECOND
    seed: int = 1
    faults: tuple[Fault, ...] = ()


@dataclass(slots=True)
class SimulatedAttempt:
    dispatcher: "SimulatedDispatcher"
    request_id: int
    attempt_number: int
    service_time: int


class SimulatedBackend:
    """First come first served by so many slots, the rest in a bounded queue."""

    def __init__(self, world: "SimulatedFleet", no: int) -> None:
        self.fleet, self.index, self.ready_since, self.state = world, no, 0, EndpointState.READY
        self.busy_slots, self.queue = 0, deque[SimulatedAttempt]()
        # What faults make of it; a life ends with the process, and takes with it what ran.
        self.slowdown, self.error_rate, self.generation = 1.0, 0.0, 0
        self.hangs = self.dead = self.reports_frozen = False
        self.running: dict[int, SimulatedAttempt] = {}
        self.rng = Random(f"{world.scenario.seed} runner {no}")
        self.report: tuple[float, ...] = (0.0, float(world.scenario.slots_per_backend))
        self.queue_times: list[int] = []
        self.enqueued_at: dict[int, int] = {}

    def slow_start_factor(self) -> float:
        orders, age = self.fleet.config, self.fleet.events.now - self.ready_since
        if not self.ready_since or age >= orders.warm_up_time:
            return 1.0
        return orders.initial_capacity + (1.0 - orders.initial_capacity) * age / orders.warm_up_time

    def refresh_report(self) -> None:
        if not self.reports_frozen:
            self.report = (
                float(len(self.queue)),
                float(self.fleet.scenario.slots_per_backend - self.busy_slots),
            )
        self.fleet.events.schedule(self.fleet.scenario.report_interval, self.refresh_report)

    def receive(self, job: SimulatedAttempt) -> None:
        world, warmth = self.fleet, self.slow_start_factor()
        if warmth < 1.0:
            world.invariants.warming_backend_reached(
                world.events.now,
                job.dispatcher.index,
                job.request_id,
                self.index,
                job.service_time,
                warmth * world.scenario.slots_per_backend,
                world.scenario.mean_service_time,
            )
        if self.state == EndpointState.REMOVED or self.dead:
            job.dispatcher.backend_answered(job, self.index, Outcome.UNREACHABLE, ())
        elif self.hangs:
            pass
        elif self.error_rate and self.rng.random() < self.error_rate:
            world.events.schedule(
                ERROR_DELAY,
                partial(job.dispatcher.backend_answered, job, self.index, Outcome.ERROR, self.report),
            )
        elif len(self.queue) >= world.scenario.queue_capacity:
            job.dispatcher.backend_answered(job, self.index, Outcome.OVERLOADED, self.report)
        else:
            self.enqueued_at[id(job)] = world.events.now
            self.queue.append(job)
            self._start_queued()

    def _start_queued(self) -> None:
        while self.queue and self.busy_slots < self.fleet.scenario.slots_per_backend:
            job = self.queue.popleft()
            self.busy_slots += 1
            self.queue_times.append(self.fleet.events.now - self.enqueued_at.pop(id(job)))
            job.dispatcher.backend_started(job, self.index)
            self.running[id(job)] = job
            took = int(job.service_time * self.slowdown / self.slow_start_factor())
            self.fleet.events.schedule(took, partial(self._completed, job, self.generation))

    def terminate(self) -> None:
        """The process is gone: what ran or waited there is reset."""
        self.generation += 1
        for job in [*self.running.values(), *self.queue]:
            self.enqueued_at.pop(id(job), None)
            job.dispatcher.backend_answered(job, self.index, Outcome.RESET, ())
        self.running.clear()
        self.queue.clear()
        self.busy_slots = 0

    def _completed(self, job: SimulatedAttempt, life: int) -> None:
        if life != self.generation:
            return
        del self.running[id(job)]
        self.busy_slots -= 1
        job.dispatcher.backend_answered(job, self.index, Outcome.COMPLETED, self.report)
        self._start_queued()


class SimulatedDispatcher:
    """One dispatcher's port into the world."""

    def __init__(self, world: "SimulatedFleet", no: int, make: PolicyFactory) -> None:
        self.fleet, self.index, self.events = world, no, world.events
        self.alive, self.stalled_until = True, 0
        self.client_retries: dict[int, int] = {}
        self.in_flight: set[tuple[int, int]] = set()  # dispatches that have not ended
        self.attempt_counts: dict[int, int] = {}
        self.service_times: dict[int, int] = {}
        self.arrived_at: dict[int, int] = {}
        self.policy = make(
            replace(
                world.config,
                instance_index=no,
                zone=no % ZONE_COUNT,
                instance_count=world.scenario.dispatcher_count,
            ),
            world.scenario.seed * 1000 + no,
            self,
        )

    def receive_request(self, unit: int, work: int, came: int, tries: int) -> None:
        now = self.events.now
        (
            self.service_times[unit],
            self.attempt_counts[unit],
            self.arrived_at[unit],
            self.client_retries[unit],
        ) = work, 0, came, tries
        cutoff = came + self.fleet.config.request_classes[0].deadline
        self.fleet.invariants.request_received(now, self.index, unit, 0, cutoff)
        self._notify(self.policy.request_received, RequestArrival(unit, 0, cutoff, work, 1.0))

    def _notify(self, call: Callable[..., None], *args: object) -> None:
        """A dispatcher that stands still hears it later, one that was killed never."""
        if not self.alive:
            return
        if self.events.now < self.stalled_until:
            self.events.schedule(self.stalled_until - self.events.now, partial(self._notify, call, *args))
        else:
            call(self.events.now, *args)

    def network_delay(self, runner: int) -> int:
        here = runner % ZONE_COUNT == self.index % ZONE_COUNT
        return (
            self.fleet.scenario.network_delay
            if here
            else max(self.fleet.scenario.cross_zone_delay, self.fleet.scenario.network_delay)
        )

    def send_attempt(self, unit: int, runner: int) -> None:
        self.fleet.invariants.attempt_sent(self.events.now, self.index, unit, runner)
        job = SimulatedAttempt(self, unit, self.attempt_counts[unit], self.service_times[unit])
        self.attempt_counts[unit] += 1
        self.in_flight.add((unit, job.attempt_number))
        until = self.arrived_at[unit] + self.fleet.config.request_classes[0].deadline - self.events.now
        self.events.schedule(until, partial(self._attempt_ended, job, runner, Outcome.TIMED_OUT, ()))
        self.events.schedule(self.network_delay(runner), partial(self.fleet.backends[runner].receive, job))

    def disconnect_client(self, unit: int) -> None:
        """Its client closes its connection."""
        if self.alive and not self.fleet.invariants.requests[self.index, unit].answer:
            self.fleet.invariants.client_disconnected(self.events.now, self.index, unit)
            self._notify(self.policy.client_disconnected, unit)

    def shed(self, unit: int, advice: int) -> None:
        self.fleet.invariants.request_answered(self.events.now, self.index, unit, "shed")
        if self.client_retries[unit] < self.fleet.scenario.client_retries:
            self.events.schedule(
                self.fleet.scenario.retry_delay,
                partial(
                    self.fleet.submit_request,
                    self.index,
                    self.service_times[unit],
                    self.arrived_at[unit],
                    self.client_retries[unit] + 1,
                ),
            )

    def fail_request(self, unit: int) -> None:
        self.fleet.invariants.request_answered(self.events.now, self.index, unit, "given up")

    def cancel_attempt(self, unit: int, nth: int) -> None:
        pass  # as at runners that stop nothing: the end is heard when it comes

    def set_timer(self, after: int, label: int) -> None:
        self.events.schedule(after, lambda: self._notify(self.policy.timer_fired, label))

    def probe(self, runner: int) -> None:
        def answered() -> None:
            it = self.fleet.backends[runner]
            well = not it.dead and not it.hangs and it.state != EndpointState.REMOVED
            self._notify(self.policy.probe_ended, runner, well, it.report if well else ())

        self.events.schedule(2 * self.network_delay(runner), answered)

    def poll_endpoints(self) -> None:
        self.events.schedule(
            self.fleet.scenario.network_delay,
            lambda: self.update_endpoints(range(len(self.fleet.backends)), True),
        )

    def update_endpoints(self, runners: Sequence[int], whole: bool) -> None:
        now, entries = self.events.now, []
        for r in runners:
            it = self.fleet.backends[r]
            mark = r / len(self.fleet.backends)
            entries.append(
                Endpoint(r, it.state, 1.0, r % ZONE_COUNT, r % (2 * ZONE_COUNT), it.ready_since, 0, mark)
            )
            self.fleet.invariants.state_told(
                max(now, self.stalled_until), self.index, r, it.state, r % ZONE_COUNT, r % (2 * ZONE_COUNT)
            )
        self._notify(self.policy.endpoints_changed, entries, whole)

    def backend_started(self, job: SimulatedAttempt, runner: int) -> None:
        self.events.schedule(
            self.network_delay(runner),
            lambda: self._notify(self.policy.attempt_started, job.request_id, job.attempt_number, runner),
        )

    def backend_answered(
        self, job: SimulatedAttempt, runner: int, outcome: Outcome, report: Sequence[float]
    ) -> None:
        self.events.schedule(
            self.network_delay(runner), partial(self._attempt_ended, job, runner, outcome, report)
        )

    def _attempt_ended(
        self, job: SimulatedAttempt, runner: int, outcome: Outcome, report: Sequence[float]
    ) -> None:
        now, record = self.events.now, self.fleet.invariants.requests[self.index, job.request_id]
        if not self.alive:
            return
        if now < self.stalled_until:
            self.events.schedule(
                self.stalled_until - now, partial(self._attempt_ended, job, runner, outcome, report)
            )
            return
        if (job.request_id, job.attempt_number) not in self.in_flight:
            return  # nobody waits for it any more
        self.in_flight.discard((job.request_id, job.attempt_number))
        if outcome in (Outcome.OVERLOADED, Outcome.UNREACHABLE):
            self.fleet.invariants.attempt_not_executed(now, self.index, job.request_id, runner)
        last = bool(record.answer) or outcome == Outcome.COMPLETED
        if outcome == Outcome.COMPLETED and not record.answer:
            self.fleet.invariants.request_answered(now, self.index, job.request_id, "done")
            grade = self.fleet.config.request_classes[0]
            self.fleet.on_time_count += now <= self.arrived_at[
                job.request_id
            ] + grade.latency_objective + int(grade.objective_per_work * job.service_time)
        end = AttemptEnd(outcome, last, report)
        self.policy.attempt_ended(now, job.request_id, job.attempt_number, runner, end)


class SimulatedFleet:
    def __init__(
        self, scenario: Scenario, orders: RoutingConfig, make: PolicyFactory, drain_grace: int = 3_000
    ) -> None:
        self.scenario, self.config, self.events = scenario, orders, EventQueue()
        self.invariants = InvariantChecker(orders, drain_grace)
        self.request_count = self.on_time_count = 0
        self.events.now = TICKS_PER_SECOND
        self.policy_factory, self.last_request_id, self.arrival_rate, self.discovery_resumes_at = (
            make,
            -1,
            scenario.arrival_rate,
            0,
        )
        self.silent_watchers, self.silence_duration = (
            frozenset[int](),
            0,
        )  # whose watches are silent, and until they see
        self.departure_rate, self.departure_delay, self.departure_rng = (
            0.0,
            0,
            Random(f"{scenario.seed} leave"),
        )
        self.backends = [SimulatedBackend(self, r) for r in range(scenario.backend_count)]
        self.dispatchers = [SimulatedDispatcher(self, no, make) for no in range(scenario.dispatcher_count)]
        for r in self.backends:
            phase = Random(f"{scenario.seed} report {r.index}").randrange(scenario.report_interval)
            self.events.schedule(phase, r.refresh_report)
        for post in self.dispatchers:
            post.update_endpoints(range(scenario.backend_count), True)
            self._schedule_arrival(post.index, Random(f"{scenario.seed} client {post.index}"))
        for fault in scenario.faults:
            self._schedule_fault(fault)

    def submit_request(self, no: int, work: int, came: int, tries: int) -> None:
        """A unit at the front of one dispatcher; where that is dead, after a while at another."""
        for step in range(len(self.dispatchers)):
            post = self.dispatchers[(no + step) % len(self.dispatchers)]
            if post.alive:
                if step and not tries:
                    self.events.schedule(
                        FAILOVER_DELAY, partial(self.submit_request, post.index, work, came, tries + 1)
                    )
                    return
                self.last_request_id += 1
                post.receive_request(self.last_request_id, work, came, tries)
                if self.departure_rate and self.departure_rng.random() < self.departure_rate:
                    self.events.schedule(
                        self.departure_delay, partial(post.disconnect_client, self.last_request_id)
                    )
                return

    def _schedule_arrival(self, no: int, luck: Random) -> None:
        """Open loop: the next arrival does not wait for any answer."""

        def come() -> None:
            self.request_count += 1
            self.submit_request(
                no, max(int(luck.expovariate(1 / self.scenario.mean_service_time)), 1), self.events.now, 0
            )
            self._schedule_arrival(no, luck)

        wait = int(luck.expovariate(self.arrival_rate / TICKS_PER_SECOND))
        if self.events.now + wait < (self.scenario.seconds + 1) * TICKS_PER_SECOND:
            self.events.schedule(wait, come)

    def change_state(self, at: int, runner: int, standing: EndpointState, since: int = 0) -> None:
        """A runner drains, goes or comes back cold; lists tell of it later."""

        def now() -> None:
            self.backends[runner].state, self.backends[runner].ready_since = standing, since
            late = max(self.scenario.discovery_delay, self.discovery_resumes_at - self.events.now)
            self.events.schedule(late, partial(self._change_discovered, runner, standing))
            for no in range(len(self.dispatchers)):
                self.events.schedule(
                    late + self.silence_duration * (no in self.silent_watchers),
                    partial(self._send_update, no, runner),
                )

        self.events.schedule(at - self.events.now, now)

    def _change_discovered(self, runner: int, standing: EndpointState) -> None:
        change = self.invariants.change_discovered(runner)
        then = self.events.now + PROPAGATION_LIMIT
        for no in range(len(self.dispatchers)):
            self.events.schedule(
                PROPAGATION_LIMIT,
                partial(self.invariants.propagation_expired, then, no, runner, standing, change),
            )

    def _send_update(self, no: int, runner: int) -> None:
        if self.dispatchers[no].alive:
            self.dispatchers[no].update_endpoints((runner,), False)

    # --- faults ---

    def _schedule_fault(self, fault: Fault) -> None:
        start, end = (TICKS_PER_SECOND + int(at * TICKS_PER_SECOND) for at in (fault.at, fault.until))
        whom = affected_indices(fault, self.scenario.seed, len(self.backends))
        if fault.kind == FaultKind.ZONE_LOSS:
            whom = [r for r in range(len(self.backends)) if r % ZONE_COUNT == fault.zone]
        if fault.kind == FaultKind.ROLLING_RELEASE:
            # One after the other: it drains while another, or itself, is on its way back.
            for place, r in enumerate(whom):
                at = start + (end - start) * place // len(whom)
                self.change_state(at, r, EndpointState.DRAINING)
                self.change_state(at + TICKS_PER_SECOND, r, EndpointState.REMOVED)
                self.change_state(
                    at + 3 * TICKS_PER_SECOND // 2,
                    r,
                    EndpointState.READY,
                    since=at + 3 * TICKS_PER_SECOND // 2,
                )
            return
        if fault.kind == FaultKind.ZONE_LOSS:
            for r in whom:
                self.change_state(start, r, EndpointState.REMOVED)
                self.events.schedule(start - self.events.now, self.backends[r].terminate)
                self.change_state(end, r, EndpointState.READY, since=end)
            return
        if fault.kind in (
            FaultKind.DISPATCHERS_KILLED,
            FaultKind.DISPATCHERS_STALLED,
            FaultKind.SILENT_WATCH,
        ):
            whom = affected_indices(fault, self.scenario.seed, len(self.dispatchers))
        for on, at in ((True, start), (False, end)):
            self.events.schedule(at - self.events.now, partial(self._switch_fault, fault, on, whom, end))

    def _switch_fault(self, fault: Fault, on: bool, whom: Sequence[int], end: int) -> None:
        kind = fault.kind
        if kind == FaultKind.BURST:
            self.arrival_rate = self.scenario.arrival_rate * (fault.factor if on else 1.0)
        elif kind == FaultKind.SILENT_WATCH:
            self.silent_watchers, self.silence_duration = (
                frozenset(whom if on else ()),
                int(fault.factor * TICKS_PER_SECOND),
            )
        elif kind == FaultKind.CLIENTS_LEAVE:
            self.departure_rate, self.departure_delay = (
                (fault.share if on else 0.0),
                int(fault.factor * TICKS_PER_SECOND / 10),
            )
        elif kind == FaultKind.DISCOVERY_DOWN:
            self.discovery_resumes_at = end if on else 0
        elif kind == FaultKind.DISPATCHERS_KILLED:
            for no in whom:
                if on:
                    self.dispatchers[no].alive = False
                    self.invariants.dispatcher_killed(self.events.now, no)
                else:
                    self.dispatchers[no] = SimulatedDispatcher(self, no, self.policy_factory)
                    self.dispatchers[no].update_endpoints(range(len(self.backends)), True)
        elif kind == FaultKind.DISPATCHERS_STALLED:
            for no in whom:
                self.dispatchers[no].stalled_until = end if on else 0
        else:
            for r in whom:
                it = self.backends[r]
                if kind == FaultKind.SLOW:
                    it.slowdown = fault.factor if on else 1.0
                elif kind == FaultKind.ERRORS:
                    it.error_rate = min(fault.factor, 1.0) if on else 0.0
                elif kind == FaultKind.HANG:
                    it.hangs = on
                elif kind == FaultKind.DEAD:
                    it.dead = on
                    if on:
                        it.terminate()
                elif kind == FaultKind.STALE_REPORTS:
                    it.reports_frozen = on

    def run(self) -> None:
        self.events.run(
            (self.scenario.seconds + 1) * TICKS_PER_SECOND
            + self.config.request_classes[0].deadline
            + TICKS_PER_SECOND
        )
        self.invariants.finish(self.events.now)
