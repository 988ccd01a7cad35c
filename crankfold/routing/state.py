"""What all parts of the decisions share: settings in force, the records and the random numbers."""

from collections.abc import Collection, Sequence

from crankfold.routing.averages import TrafficAverages
from crankfold.routing.backend_table import BackendTable
from crankfold.routing.interface import (
    FIRST_REQUEST_TIMER,
    RequestArrival,
    RequestClass,
    RoutingActions,
    RoutingConfig,
)
from crankfold.routing.random_generator import RandomGenerator
from crankfold.routing.records import Attempt, ClassRecord, PendingRequest


class RoutingState:
    """Settings and records, each part of which one module of the decisions changes."""

    def __init__(self, config: RoutingConfig, seed: int, actions: RoutingActions, short_share: float) -> None:
        """Reads the settings; `short_share` is the share of short requests that is assumed at first."""
        self.config = config  # in force
        self.actions = actions
        self.random = RandomGenerator(seed)
        self.table = BackendTable(config.warm_up_time)
        self.requests: dict[int, PendingRequest] = {}
        self.classes: list[ClassRecord] = []
        self.worst_class = 0  # index of the class that earns the smallest share of its value
        self.mean_objective = 0.0  # latency objective, ticks
        self.set_classes(config.request_classes)
        self.averages = TrafficAverages([known.typical_run for known in self.classes], short_share)
        # What no later settings change:
        self.zone = config.zone
        self.clock_margin = 2 * config.timer_resolution  # ticks
        self.instance_count = config.instance_count
        given = config.instance_index
        self.instance_index = given if given >= 0 else self.random.below(config.instance_count)
        self.start_notifications = config.start_notifications
        self.weights_follow_load = config.weights_follow_load
        self.key_affinity = config.key_affinity
        # What traffic and list show:
        self.keys_seen = False
        self.sparse = False  # the subset is a small part of the fleet: little is seen of what others send

    def set_config(self, config: RoutingConfig, new_rows: Collection[int]) -> None:
        """Puts other classes and bounds in force; the classes at `new_rows` are other ones than before."""
        self.config = config
        self.set_classes(config.request_classes, new_rows)

    def set_classes(self, classes: Sequence[RequestClass], new_rows: Collection[int] = ()) -> None:
        """Takes the settings of the classes; what is known of a class stays if it is the same as before."""
        self.worst_class = 0
        self.mean_objective = sum(given.latency_objective for given in classes) / max(len(classes), 1)
        for row, settings in enumerate(classes):
            if row == len(self.classes):
                self.classes.append(ClassRecord(settings))
                continue
            known = self.classes[row]
            changed = known.settings != settings or row in new_rows
            known.settings = settings
            known.offered_value = 0.0
            known.earned_value = 0.0
            if changed:
                known.forget_run()

    def set_request_timer(self, now: int, request: PendingRequest, at: int) -> None:
        """Asks for a timer of this request at `at`, or at its deadline where that is sooner."""
        self.actions.set_timer(
            max(min(at, request.deadline) - now, 0), FIRST_REQUEST_TIMER + request.request_id
        )

    def record_completion(self, now: int, request: PendingRequest, attempt: Attempt) -> None:
        """Counts what an attempt that is completed now has earned, and its running time."""
        if now <= request.objective_at and not request.answered:
            request.request_class.earned_value += request.value(by_work=self.config.priority_by_work)
        if attempt.started_at >= 0:
            self.averages.record_run(now, request, attempt)

    def add_request(self, arrival: RequestArrival, first_try_at: int) -> PendingRequest:
        """Makes the record of a request, whose objective counts from `first_try_at`, and counts its work."""
        request_class = self.classes[arrival.class_index]
        settings = request_class.settings
        work = arrival.work or request_class.typical_run
        objective = settings.latency_objective + int(settings.objective_per_work * work)
        request = PendingRequest(
            arrival.request_id,
            request_class,
            deadline=arrival.deadline - self.clock_margin,
            objective_at=first_try_at + objective,
            work=arrival.work,
            slots=arrival.slots if arrival.slots > 0 else 1.0,
            max_attempts=self.config.max_attempts,
            key=arrival.key if self.key_affinity else 0,
        )
        self.requests[request.request_id] = request
        self.keys_seen = self.keys_seen or request.key > 0
        request_class.offered_value += request.value(by_work=self.config.priority_by_work)
        self.averages.record_request(work, arrival.slots)
        return request

    def cancel_attempts(self, request: PendingRequest, *, unstarted_only: bool = False) -> None:
        """Cancels what the request has in flight, where the settings allow it."""
        if self.config.cancellation_allowed:
            for number, attempt in enumerate(request.attempts):
                if attempt.in_flight and (attempt.started_at < 0 or not unstarted_only):
                    self.actions.cancel_attempt(request.request_id, number)
