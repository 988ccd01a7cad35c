"""The state that the routing rules share: settings in force, records and random numbers."""

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

# An event may be late by one timer resolution, and the decision on it by another.
CLOCK_MARGIN_RESOLUTIONS = 2


class RoutingState:
    """The settings in force and the records of requests, request classes and backends.

    Attributes:
        config: The configuration in force.
        requests: Pending requests, by index.
        classes: Records of the request classes, by index.
        worst_class: Index of the class that earns the smallest share of its offered value.
        mean_objective: Mean latency objective of the classes, in ticks.
        has_own_index: Whether the index is configured, so that no other instance has the same.
        clock_margin: Ticks by which an event and the decision on it may be late together.
        keys_seen: Whether any request had an affinity key.
        uses_subset: Whether requests go to a part of the fleet, so that little is known of other instances.
    """

    def __init__(self, config: RoutingConfig, seed: int, actions: RoutingActions, short_share: float) -> None:
        """Starts without requests, and assumes that short requests are `short_share` of the work."""
        self.config = config
        self.actions = actions
        self.random = RandomGenerator(seed)
        self.table = BackendTable(config.warm_up_time)
        self.requests: dict[int, PendingRequest] = {}
        self.classes: list[ClassRecord] = []
        self.worst_class = 0
        self.mean_objective = 0.0
        self.set_classes(config.request_classes)
        self.averages = TrafficAverages([record.typical_run for record in self.classes], short_share)
        # A reload of the configuration does not change these:
        self.zone = config.zone
        self.clock_margin = CLOCK_MARGIN_RESOLUTIONS * config.timer_resolution
        self.instance_count = config.instance_count
        configured_index = config.instance_index
        self.has_own_index = configured_index >= 0
        self.instance_index = (
            configured_index if self.has_own_index else self.random.below(config.instance_count)
        )
        self.start_notifications = config.start_notifications
        self.weights_follow_load = config.weights_follow_load
        self.key_affinity = config.key_affinity
        self.keys_seen = False
        self.uses_subset = False

    def set_config(self, config: RoutingConfig, new_rows: Collection[int]) -> None:
        """Applies a changed configuration; the classes at the indices `new_rows` replace unrelated ones."""
        self.config = config
        self.set_classes(config.request_classes, new_rows)

    def set_classes(self, classes: Sequence[RequestClass], new_rows: Collection[int] = ()) -> None:
        """Applies the settings of the classes; only an unchanged class retains its typical running time."""
        self.worst_class = 0
        self.mean_objective = sum(request_class.latency_objective for request_class in classes) / max(
            len(classes), 1
        )
        for row, settings in enumerate(classes):
            if row == len(self.classes):
                self.classes.append(ClassRecord(settings))
                continue
            record = self.classes[row]
            changed = record.settings != settings or row in new_rows
            record.settings = settings
            record.offered_value = 0.0
            record.earned_value = 0.0
            if changed:
                record.reset_typical_run()

    def set_request_timer(self, now: int, request: PendingRequest, at: int) -> None:
        """Sets a timer of the request for tick `at`, or for its deadline if that is earlier."""
        self.actions.set_timer(
            max(min(at, request.deadline) - now, 0), FIRST_REQUEST_TIMER + request.request_id
        )

    def record_completion(self, now: int, request: PendingRequest, attempt: Attempt) -> None:
        """Counts the value and the running time of an attempt that was completed at tick `now`."""
        if now <= request.objective_at and not request.answered:
            request.request_class.earned_value += request.value(by_work=self.config.priority_by_work)
        if attempt.started_at >= 0:
            self.averages.record_run(now, request, attempt)

    def add_request(self, arrival: RequestArrival, first_try_at: int) -> PendingRequest:
        """Creates the record of a request and counts its work and value.

        Args:
            arrival: The request.
            first_try_at: Ticks, when the client first sent it; its latency objective counts from then.
        """
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
        """Cancels the attempts of the request that are in flight, if the settings permit it."""
        if self.config.cancellation_allowed:
            for number, attempt in enumerate(request.attempts):
                if attempt.in_flight and (attempt.started_at < 0 or not unstarted_only):
                    self.actions.cancel_attempt(request.request_id, number)
