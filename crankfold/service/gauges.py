"""The present figures of a process, which its counters are logged with."""

from crankfold.network.connection_pool import ConnectionLimiter
from crankfold.network.process_memory import BYTES_PER_KIBIBYTE, peak_resident_bytes, resident_bytes
from crankfold.service.serving_parts import ServingParts


def process_gauges(parts: ServingParts, connection_limiter: ConnectionLimiter) -> dict[str, int]:
    """Returns the numbers of requests and connections, the memory in KiB, and the bytes of buffers."""
    request_handler, listener, _ = parts
    return {
        "open-requests": request_handler.open_request_count(),
        "tracked-requests": len(request_handler.request_table.requests),
        "open-backend-connections": connection_limiter.open_count,
        "open-accepted-connections": len(listener.connections),
        "ended-accepted-connections-in-memory": listener.ended_connections_in_memory(),
        "executed-ids": len(request_handler.request_table.executed_ids),
        "executed-ids-forgotten": request_handler.request_table.executed_ids.forgotten,
        "attempted-ids": len(request_handler.request_table.attempted_ids),
        "peak-resident-kilobytes": peak_resident_bytes() // BYTES_PER_KIBIBYTE,
        "resident-kilobytes": resident_bytes() // BYTES_PER_KIBIBYTE,
        **buffered_bytes(parts),
    }


def buffered_bytes(parts: ServingParts) -> dict[str, int]:
    """Returns the bytes of buffers for clients, by purpose."""
    request_handler, listener, _ = parts
    connections = listener.connections
    return {
        "buffered-bytes": listener.memory.allocated,
        "buffered-bytes-limit": listener.memory.limit,
        "buffered-input-bytes": sum(connection.protocol.buffered_bytes() for connection in connections),
        "buffered-unsent-bytes": sum(connection.unsent_bytes() for connection in connections),
        "buffered-request-bytes": request_handler.request_table.buffered_bytes(),
    }
