"""The state that a process transfers to its successor, and the part of it that the successor adopts.

Weights are adopted if both processes interpret them in the same way, and load reports if both have the same
report fields; manual drains, starts and states of backends are always adopted. Queued requests, ejections,
moving averages, preferred backends and concurrency limits are not transferred, as the successor rebuilds them
within seconds.
"""

from collections.abc import Iterable, Sequence

from crankfold.protocol.discovery import DiscoveryEntry, EndpointDocument, snapshot_document, without_weights
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
from crankfold.service.backends.registry import BackendRegistry
from crankfold.service.backends.starts import MAX_CLOCK_ERROR
from crankfold.service.requests.handler import RequestHandler

MAX_REPORT_AGE = 50_000  # ticks; older load reports are not transferred


def weight_semantics(weights_follow_load: bool) -> str:
    """Returns the wire name of how weights in endpoint lists are interpreted."""
    return DYNAMIC_WEIGHTS if weights_follow_load else STATIC_WEIGHTS


def inherited_endpoints(state: ProcessState, weights_follow_load: bool) -> EndpointDocument | None:
    """Returns the endpoint list of the predecessor in the JSON form of discovery; None if it has none.

    Weights are reset if the predecessor interprets them differently.
    """
    endpoints = state.endpoints
    if endpoints is None:
        return None
    if state.weight_semantics == weight_semantics(weights_follow_load):
        return endpoints
    return without_weights(endpoints)


def inherited_reports(state: ProcessState, report_fields: Sequence[str]) -> dict[str, list[float]]:
    """Returns the last load reports by backend id; none if the report fields differ."""
    if state.report_fields is not None and state.report_fields != list(report_fields):
        return {}
    return state.load_reports


def describe_state(
    request_handler: RequestHandler, dispatcher_name: str, *, service_drained: bool
) -> ProcessState:
    """Returns the state for a successor of this process."""
    registry = request_handler.backends
    routing = request_handler.routing
    names = registry.backend_ids.names
    now = request_handler.timers.clock.now()
    return ProcessState(
        format_version=FORMAT_VERSION,
        dispatcher_name=dispatcher_name,
        weight_semantics=weight_semantics(routing.weights_follow_load),
        report_fields=list(request_handler.config.report_fields),
        manual_drains=manual_drain_state(registry),
        known_ids=sorted({*names, *registry.known_ids}),
        endpoints=_transferred_endpoints(request_handler),
        load_reports={
            names[backend]: list(report)
            for backend, report in request_handler.load_reports.received_since(now - MAX_REPORT_AGE).items()
        },
        service_drained=service_drained,
    )


def _transferred_endpoints(request_handler: RequestHandler) -> EndpointDocument | None:
    """Returns the endpoint list in the JSON form of discovery; None if no backend is listed."""
    registry = request_handler.backends
    entries = [
        _transferred_entry(request_handler, backend)
        for backend, record in enumerate(registry.records)
        if record.endpoint.state != EndpointState.REMOVED
    ]
    return snapshot_document(entries) if entries else None


def _transferred_entry(request_handler: RequestHandler, backend: int) -> DiscoveryEntry:
    entry = request_handler.backends.discovery_entry(backend)
    routing = request_handler.routing
    if not routing.weights_follow_load:
        return entry
    # The router has the weight without the load; a listed weight that follows the load is outdated at once.
    return entry._replace(weight=routing.backend_weight(backend))


def manual_drain_state(registry: BackendRegistry) -> ManualDrainState:
    """Returns the manual drains of this process, with times of the current wall clock."""
    drains = registry.manual_drains
    shift = registry.timers.clock.wall_shift()
    assumed_starts = {
        backend_id: (assumed.drained_at + shift, assumed.started_at + shift)
        for backend_id, assumed in drains.assumed_starts.items()
    }
    drained_since = {backend_id: at + shift for backend_id, at in drains.drained_since.items()}
    return ManualDrainState(drained_since, assumed_starts)


def adopt_manual_drains(
    registry: BackendRegistry, state: ManualDrainState, *, times_known: bool = True
) -> None:
    """Applies the manual drains of an earlier process.

    Args:
        registry: The backends of this process.
        state: The manual drains of the earlier process.
        times_known: Whether the state was received from a running process, so that the wall clock was not
            stepped in between. Otherwise backends that may still be in slow start are assumed to start now.
    """
    now = registry.timers.clock.now()
    uncertain_from = now + 1 if times_known else now - MAX_CLOCK_ERROR
    registry.manual_drains.drained_since.update(
        {backend_id: min(at, now) for backend_id, at in state.drained_since.items()}
    )
    registry.manual_drains.assumed_starts.update(
        {
            backend_id: AssumedStart(
                min(drained_at, now), now if started_at >= uncertain_from else started_at
            )
            for backend_id, (drained_at, started_at) in state.assumed_starts.items()
        }
    )
    registry.known_ids.update(registry.manual_drains.drained_since)


def describe_usage(
    request_handler: RequestHandler, predecessor_request_ids: Iterable[str], *, accepted_connections: int
) -> ProcessUsage:
    """Returns the request ids in use here and at the predecessor, and the numbers of connections here."""
    return ProcessUsage(
        request_ids=[
            *request_handler.request_table.by_request_id,
            *request_handler.reservations.request_ids(),
            *predecessor_request_ids,
        ],
        accepted_connections=accepted_connections,
        backend_connections=request_handler.backends.sockets.max_connections,
    )
