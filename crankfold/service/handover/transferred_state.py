"""What a process tells its successor of the backends, and what of that the successor may go by.

Weights are inherited between processes that read weights alike, load reports between those that know the same
fields. Manual drains, starts and states of backends mean the same everywhere. Queued requests, ejections,
running averages, preferred backends and concurrency limits start afresh: they are learnt within seconds.
"""

from collections.abc import Sequence
from typing import Any

from crankfold.protocol.handover_messages import (
    DYNAMIC_WEIGHTS,
    FORMAT_VERSION,
    STATIC_WEIGHTS,
    ManualDrainState,
    ProcessState,
    ProcessUsage,
)
from crankfold.routing.interface import EndpointState
from crankfold.service.backends.manual_drains import AssumedStart
from crankfold.service.backends.starts import MAX_CLOCK_ERROR
from crankfold.service.requests.handler import RequestHandler

MAX_REPORT_AGE = 50_000  # tenths of a millisecond; older load reports say nothing of the present


def weight_semantics(weights_follow_load: bool) -> str:
    """How this process reads weights in endpoint lists, as it is told to others."""
    return DYNAMIC_WEIGHTS if weights_follow_load else STATIC_WEIGHTS


def inherited_endpoints(state: ProcessState, weights_follow_load: bool) -> dict[str, Any] | None:
    """The predecessor's endpoint list as discovery words it; weights of another meaning are left out."""
    endpoints = state.endpoints
    if endpoints is None:
        return None
    if state.weight_semantics == weight_semantics(weights_follow_load):
        return endpoints
    targets = endpoints.get("targets")
    if not isinstance(targets, list):
        return None
    without_weights = [target | {"capacity_hint": 0.0} for target in targets if isinstance(target, dict)]
    return endpoints | {"targets": without_weights}


def inherited_reports(state: ProcessState, report_fields: Sequence[str]) -> dict[str, list[float]]:
    """Last load reports by backend id; none where their fields are not those of this process."""
    if state.report_fields is not None and state.report_fields != list(report_fields):
        return {}
    return state.load_reports


def describe_state(request_handler: RequestHandler, dispatcher_name: str) -> ProcessState:
    """What a successor of this process is told."""
    registry = request_handler.backends
    routing = request_handler.routing
    names = registry.backend_ids.names
    now = request_handler.timers.clock.now()
    targets = [
        registry.discovery_entry(backend)
        for backend, record in enumerate(registry.records)
        if record.endpoint.state != EndpointState.REMOVED
    ]
    if routing.weights_follow_load:  # of a weight that follows load only the size behind it lasts
        for target in targets:
            target["capacity_hint"] = routing.backend_weight(registry.backend_ids.intern(target["uid"]))
    return ProcessState(
        format_version=FORMAT_VERSION,
        dispatcher_name=dispatcher_name,
        weight_semantics=weight_semantics(routing.weights_follow_load),
        report_fields=list(request_handler.config.report_fields),
        manual_drains=manual_drain_state(request_handler),
        known_ids=sorted({*names, *registry.known_ids}),
        endpoints={"rev": 0, "all": True, "targets": targets} if targets else None,
        load_reports={
            names[backend]: list(report)
            for backend, report in request_handler.load_reports.received_since(now - MAX_REPORT_AGE).items()
        },
    )


def manual_drain_state(request_handler: RequestHandler) -> ManualDrainState:
    """The manual drains in force in this process; times by the wall clock as it is now."""
    drains = request_handler.backends.manual_drains
    shift = request_handler.timers.clock.wall_shift()
    assumed_starts = {
        backend_id: (assumed.drained_at + shift, assumed.started_at + shift)
        for backend_id, assumed in drains.assumed_starts.items()
    }
    drained_since = {backend_id: at + shift for backend_id, at in drains.drained_since.items()}
    return ManualDrainState(drained_since, assumed_starts)


def adopt_manual_drains(
    request_handler: RequestHandler, state: ManualDrainState, *, times_known: bool = True
) -> None:
    """Puts in force the manual drains of a process before this one.

    Args:
        request_handler: Of this process.
        state: As the process before this one told it.
        times_known: It was told just now, so that no step of the wall clock lies between; else backends that
            may still be warming up by any clock are taken to have started now.
    """
    registry = request_handler.backends
    now = request_handler.timers.clock.now()
    doubtful_from = now + 1 if times_known else now - MAX_CLOCK_ERROR
    registry.manual_drains.drained_since.update(
        {backend_id: min(at, now) for backend_id, at in state.drained_since.items()}
    )
    registry.manual_drains.assumed_starts.update(
        {
            backend_id: AssumedStart(min(drained_at, now), now if started_at >= doubtful_from else started_at)
            for backend_id, (drained_at, started_at) in state.assumed_starts.items()
        }
    )
    registry.known_ids.update(registry.manual_drains.drained_since)


def describe_usage(request_handler: RequestHandler, accepted_connections: int) -> ProcessUsage:
    """What this process holds while it finishes its requests."""
    return ProcessUsage(
        request_ids=[request.request_id for request in request_handler.request_table.requests.values()],
        accepted_connections=accepted_connections,
        backend_connections=request_handler.backends.sockets.max_connections,
    )
