"""The registry of backends: the index, the endpoint, the state and the connections of each."""

import zlib
from collections.abc import Collection, Sequence
from dataclasses import replace
from functools import partial
from typing import NamedTuple

from crankfold.config.interning import Interner
from crankfold.config.parser import ServiceConfig, setting_text
from crankfold.errors import CrankfoldError
from crankfold.network.connection_pool import ConnectionLimiter, ConnectionPool
from crankfold.network.exchange import Exchange, ExchangeCallback, ExchangeResult
from crankfold.network.timers import Timers
from crankfold.protocol.discovery import DiscoveryEntry
from crankfold.routing.interface import Endpoint, EndpointState
from crankfold.service.backends.manual_drains import ManualDrains
from crankfold.service.backends.starts import BackendStarts
from crankfold.time_units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND

CONTROL_EXCHANGE_TIMEOUT = TICKS_PER_SECOND  # ticks; applies to health checks and cancellations
HASH_RANGE = 1 << 32  # number of values of a CRC-32


class UnknownBackendError(CrankfoldError):
    """No backend with that id was ever in the endpoint list."""


class BackendAddress(NamedTuple):
    """The address of a backend, and the start of its process in milliseconds since the epoch."""

    host: str
    port: int
    boot_ms: int

    def announced_start(self) -> int:
        """Returns the start of the process by the clock of the backend, in ticks since the epoch.

        0 means that the backend started long ago. Every dispatcher gets the same value.
        """
        return self.boot_ms * TICKS_PER_MILLISECOND


class BackendRecord:
    """One backend that was ever in the endpoint list.

    Attributes:
        address: As in the newest endpoint list.
        endpoint: As in the newest endpoint list, without manual drains.
        state: The effective state, with manual drains.
        pool: The connections to the backend.
    """

    __slots__ = ("address", "endpoint", "pool", "state")

    def __init__(self, address: BackendAddress, endpoint: Endpoint, pool: ConnectionPool) -> None:
        self.address = address
        self.endpoint = endpoint
        self.state = endpoint.state
        self.pool = pool


class BackendRegistry:
    """All backends that were ever in the endpoint list.

    Args:
        config: Provides the names of zones and instance types and the duration of a slow start.
        timers: Schedules the timeouts of exchanges.
        sockets: Limits the connections to all backends together.

    Attributes:
        backend_ids: The index of each backend, by its id.
        records: The backends, by index.
        manual_drains: Manual drains at this dispatcher.
        cluster_drains: Drains that are in force at all dispatchers.
        starts: Estimates the starts of backends.
        known_ids: The backend ids that the predecessor process knew.
        slow_start_reserved: Whether the slow-start budgets of backends are left to a successor process.
    """

    def __init__(self, config: ServiceConfig, timers: Timers, sockets: ConnectionLimiter) -> None:
        self.config = config
        self.timers = timers
        self.sockets = sockets
        self.backend_ids: Interner[str] = Interner()
        self.records: list[BackendRecord] = []
        self.manual_drains = ManualDrains()
        self.cluster_drains = ManualDrains()
        self.starts = BackendStarts(
            timers.clock,
            warm_up_time=config.slow_start_duration,
            initial_capacity=config.initial_capacity,
        )
        self.known_ids: set[str] = set()
        self.slow_start_reserved = False

    # --- the endpoint list ---

    def register(self, entry: DiscoveryEntry) -> Endpoint:
        """Returns the endpoint of a discovery entry; assigns an index to a backend that is new.

        The start in the endpoint is that of the entry, by the clock of the backend.
        """
        backend = self.backend_ids.intern(entry.backend_id)
        address = BackendAddress(entry.host, entry.port, entry.boot_ms)
        if backend == len(self.records):
            unlisted = Endpoint(backend, EndpointState.REMOVED, weight=0.0, zone=0, cell=0, started_at=0)
            pool = ConnectionPool(entry.host, entry.port, self.sockets)
            self.records.append(BackendRecord(address, unlisted, pool))
        elif self.records[backend].address != address:
            # The backend has restarted or moved, so the connections to its earlier process are closed.
            record = self.records[backend]
            record.address = address
            record.pool.close()
            record.pool = ConnectionPool(entry.host, entry.port, self.sockets)
        return Endpoint(
            backend=backend,
            state=entry.state,
            weight=entry.weight,
            zone=self.config.zones.intern(setting_text(entry.zone)),
            cell=entry.cell,
            started_at=address.announced_start(),
            instance_type=self.config.instance_types.intern(setting_text(entry.instance_type)),
            hash_position=zlib.crc32(entry.backend_id.encode()) / HASH_RANGE,
        )

    def update_endpoints(self, endpoints: Sequence[Endpoint], is_snapshot: bool) -> list[Endpoint]:
        """Applies a snapshot or a delta of the endpoint list.

        Returns:
            The same endpoints with manual drains applied.
        """
        if is_snapshot:
            for record in self.records:
                record.state = EndpointState.REMOVED
                record.endpoint = replace(record.endpoint, state=EndpointState.REMOVED)
        starts = self.starts.estimate({endpoint.backend: endpoint.started_at for endpoint in endpoints})
        for endpoint in endpoints:
            record = self.records[endpoint.backend]
            record.endpoint = replace(endpoint, started_at=starts[endpoint.backend])
        return [self._update_effective_endpoint(endpoint.backend) for endpoint in endpoints]

    def _update_effective_endpoint(self, backend: int) -> Endpoint:
        """Applies drains and the slow-start reservation; returns the endpoint, whose state it stores."""
        backend_id = self.backend_ids.names[backend]
        record = self.records[backend]
        endpoint = self.manual_drains.apply_to(backend_id, record.endpoint)
        endpoint = self.cluster_drains.apply_to(backend_id, endpoint)
        if (
            self.slow_start_reserved
            and endpoint.state == EndpointState.READY
            and endpoint.started_at
            and self.timers.clock.now() < endpoint.started_at + self.config.slow_start_duration
        ):
            endpoint = replace(endpoint, state=EndpointState.DRAINING)
        record.state = endpoint.state
        return endpoint

    def discovery_entry(self, backend: int) -> DiscoveryEntry:
        """Returns the newest discovery entry of a backend."""
        record = self.records[backend]
        endpoint = record.endpoint
        return DiscoveryEntry(
            backend_id=self.backend_ids.names[backend],
            host=record.address.host,
            port=record.address.port,
            zone=self.config.zones.names[endpoint.zone],
            instance_type=self.config.instance_types.names[endpoint.instance_type],
            cell=endpoint.cell,
            state=endpoint.state,
            weight=endpoint.weight,
            boot_ms=record.address.boot_ms,
        )

    def any_ready(self) -> bool:
        """Whether at least one backend may get requests."""
        return any(record.state == EndpointState.READY for record in self.records)

    # --- drains ---

    def drain(self, backend_id: str) -> Endpoint | None:
        """Starts the manual drain of a backend.

        Returns:
            Its effective endpoint, or None if nothing changes.

        Raises:
            UnknownBackendError: The backend was never in the endpoint list.
        """
        return self._drain(self.manual_drains, backend_id, self._index_of_known(backend_id))

    def restore(self, backend_id: str) -> Endpoint | None:
        """Ends the manual drain of a backend.

        Returns:
            Its effective endpoint, or None if nothing changes.

        Raises:
            UnknownBackendError: The backend was never in the endpoint list.
        """
        return self._restore(self.manual_drains, backend_id, self._index_of_known(backend_id))

    def set_cluster_drains(self, drained: Collection[str]) -> list[Endpoint]:
        """Replaces the set of backends that are drained at all dispatchers.

        Returns:
            The effective endpoints of the backends that changed.
        """
        drains = self.cluster_drains
        changed = [
            self._drain(drains, backend_id, self.backend_ids.find(backend_id)) for backend_id in drained
        ]
        changed += [
            self._restore(drains, backend_id, self.backend_ids.find(backend_id))
            for backend_id in [*drains.drained_since]
            if backend_id not in drained
        ]
        return [endpoint for endpoint in changed if endpoint]

    def drained_endpoints(self) -> list[Endpoint]:
        """Applies all manual drains, after those of another process were adopted.

        Returns:
            The effective endpoints of the drained backends.
        """
        indices = [self.backend_ids.find(backend_id) for backend_id in self.manual_drains.drained_since]
        return [self._update_effective_endpoint(backend) for backend in indices if backend >= 0]

    def reserve_slow_start(self, is_reserved: bool) -> list[Endpoint]:
        """Reserves the slow-start budgets of backends for a successor process, or ends the reservation.

        Returns:
            The effective endpoints of the backends that may have changed.
        """
        self.slow_start_reserved = is_reserved
        return [
            self._update_effective_endpoint(backend)
            for backend, record in enumerate(self.records)
            if record.endpoint.started_at and record.endpoint.state == EndpointState.READY
        ]

    def _drain(self, drains: ManualDrains, backend_id: str, backend: int) -> Endpoint | None:
        is_new = drains.drain(backend_id, self.timers.clock.now())
        return self._update_effective_endpoint(backend) if is_new and backend >= 0 else None

    def _restore(self, drains: ManualDrains, backend_id: str, backend: int) -> Endpoint | None:
        drained_at = drains.drained_since.get(backend_id)
        now = self.timers.clock.now()
        same_process = False
        if drained_at is not None and backend >= 0:
            # An open connection that is older than the drain proves that the backend has not restarted since.
            drained_seconds = (now - drained_at) / TICKS_PER_SECOND
            same_process = self.records[backend].pool.has_connection_older_than(drained_seconds)
        was_drained = drains.restore(backend_id, now, same_process)
        return self._update_effective_endpoint(backend) if was_drained and backend >= 0 else None

    def _index_of_known(self, backend_id: str) -> int:
        """Returns the index of a backend; -1 for one that only the predecessor process knew.

        Raises:
            UnknownBackendError: No process knew the backend.
        """
        backend = self.backend_ids.find(backend_id)
        if backend < 0 and backend_id not in self.known_ids:
            raise UnknownBackendError(backend_id)
        return backend

    # --- exchanges ---

    def send_control_request(
        self, backend: int, method: bytes, target: bytes, on_end: ExchangeCallback
    ) -> None:
        """Sends an exchange that is not an attempt, such as a health check.

        It has a timeout, because a machine that is down may neither answer nor reset the connection.
        """
        pool = self.records[backend].pool
        host = f"{pool.host}:{pool.port}".encode()
        exchange = Exchange(
            method,
            target,
            lambda: [(b"Host", host)],
            b"",
            may_send=lambda: True,
            on_end=on_end,
            needs_cooldown=False,
        )
        pool.send(exchange)
        self.timers.call_after(CONTROL_EXCHANGE_TIMEOUT, partial(self._on_exchange_timeout, exchange))

    def _on_exchange_timeout(self, exchange: Exchange) -> None:
        exchange.finish(ExchangeResult.BROKEN, None)
        exchange.abort()

    def abandon_exchange(self, exchange: Exchange) -> None:
        """Ignores the response to an attempt that has ended without it, such as by callback.

        The connection is aborted if the response does not arrive within `CONTROL_EXCHANGE_TIMEOUT`.
        """
        if not exchange.finished:
            exchange.finished = True
            self.timers.call_after(CONTROL_EXCHANGE_TIMEOUT, exchange.abort)
