"""The backends as the endpoint list names them, each with its index, its state and its connections."""

import zlib
from collections.abc import Collection, Sequence
from dataclasses import replace
from functools import partial
from typing import Any, NamedTuple

from crankfold.config.interning import Interner
from crankfold.config.parser import ServiceConfig, setting_text
from crankfold.errors import CrankfoldError
from crankfold.network.connection_pool import ConnectionLimiter, ConnectionPool
from crankfold.network.exchange import Exchange, ExchangeCallback, ExchangeResult
from crankfold.network.timers import Timers
from crankfold.protocol.discovery import DiscoveryEntry, encode_entry
from crankfold.routing.interface import Endpoint, EndpointState
from crankfold.service.backends.manual_drains import ManualDrains
from crankfold.service.backends.starts import BackendStarts
from crankfold.time_units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND

CONTROL_EXCHANGE_TIMEOUT = 10_000  # ticks, for exchanges that carry no request
HASH_RANGE = 1 << 32  # of a CRC


class UnknownBackendError(CrankfoldError):
    """No backend of that id was ever listed."""


class BackendAddress(NamedTuple):
    """Where a backend listens, and when the process there started, in milliseconds since the epoch."""

    host: str
    port: int
    boot_ms: int

    def announced_start(self) -> int:
        """The start of the process in ticks since the epoch, 0 for long ago; all dispatchers see the same."""
        return self.boot_ms * TICKS_PER_MILLISECOND


class BackendRecord:
    """One backend.

    Attributes:
        address: As it was listed last.
        endpoint: As it was listed last, without drains.
        state: In force, with drains.
        pool: The connections to it.
    """

    __slots__ = ("address", "endpoint", "pool", "state")

    def __init__(self, address: BackendAddress, endpoint: Endpoint, pool: ConnectionPool) -> None:
        self.address = address
        self.endpoint = endpoint
        self.state = endpoint.state
        self.pool = pool


class BackendRegistry:
    """All backends that were ever listed.

    Args:
        config: Names of zones and instance types, and how long a backend warms up.
        timers: Time exchanges out.
        sockets: Limits the connections to all backends together.

    Attributes:
        backend_ids: The index of each backend, by its id.
        records: The backends, by index.
        manual_drains: What operators drained at this dispatcher.
        cluster_drains: What is drained for all dispatchers.
        starts: When the backends started.
        known_ids: Ids that the process before this one had listed.
        slow_start_reserved: Another process sends what backends that warm up may be sent.
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
        """The endpoint of a discovery entry; a backend not seen before gets the next index.

        Its start is as listed, by the clock of the backends.
        """
        backend = self.backend_ids.intern(entry.backend_id)
        address = BackendAddress(entry.host, entry.port, entry.boot_ms)
        if backend == len(self.records):
            unlisted = Endpoint(backend, EndpointState.REMOVED, weight=0.0, zone=0, cell=0, started_at=0)
            pool = ConnectionPool(entry.host, entry.port, self.sockets)
            self.records.append(BackendRecord(address, unlisted, pool))
        elif self.records[backend].address != address:
            # A process that started anew or moved: connections to the old one are not used.
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
        """Takes over the endpoint list: all there are for a snapshot, else those that have changed.

        Returns:
            The same endpoints as they are in force, with drains.
        """
        if is_snapshot:
            for record in self.records:
                record.state = EndpointState.REMOVED
                record.endpoint = replace(record.endpoint, state=EndpointState.REMOVED)
        starts = self.starts.estimate({endpoint.backend: endpoint.started_at for endpoint in endpoints})
        for endpoint in endpoints:
            record = self.records[endpoint.backend]
            record.endpoint = replace(endpoint, started_at=starts[endpoint.backend])
        return [self._put_in_force(endpoint.backend) for endpoint in endpoints]

    def _put_in_force(self, backend: int) -> Endpoint:
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

    def discovery_entry(self, backend: int) -> dict[str, Any]:
        """The backend's entry as discovery words it."""
        record = self.records[backend]
        endpoint = record.endpoint
        return encode_entry(
            DiscoveryEntry(
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
        )

    def any_ready(self) -> bool:
        """Whether requests may be sent to any backend."""
        return any(record.state == EndpointState.READY for record in self.records)

    # --- drains ---

    def drain(self, backend_id: str) -> Endpoint | None:
        """Drains a backend for an operator.

        Returns:
            Its endpoint as it is in force now, or None where nothing changes.

        Raises:
            UnknownBackendError: It was never listed.
        """
        return self._drain(self.manual_drains, backend_id, self._index_of_known(backend_id))

    def restore(self, backend_id: str) -> Endpoint | None:
        """Ends the drain of a backend for an operator.

        Returns:
            Its endpoint as it is in force now, or None where nothing changes.

        Raises:
            UnknownBackendError: It was never listed.
        """
        return self._restore(self.manual_drains, backend_id, self._index_of_known(backend_id))

    def set_cluster_drains(self, drained: Collection[str]) -> list[Endpoint]:
        """Makes these ids, and no others, the backends that are drained for all dispatchers.

        Returns:
            The endpoints that changed, as they are in force now.
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

    def reserve_slow_start(self, is_reserved: bool) -> list[Endpoint]:
        """Leaves backends that warm up to another process, or takes them back.

        Returns:
            The endpoints that may have changed, as they are in force now.
        """
        self.slow_start_reserved = is_reserved
        return [
            self._put_in_force(backend)
            for backend, record in enumerate(self.records)
            if record.endpoint.started_at and record.endpoint.state == EndpointState.READY
        ]

    def _drain(self, drains: ManualDrains, backend_id: str, backend: int) -> Endpoint | None:
        is_new = drains.drain(backend_id, self.timers.clock.now())
        return self._put_in_force(backend) if is_new and backend >= 0 else None

    def _restore(self, drains: ManualDrains, backend_id: str, backend: int) -> Endpoint | None:
        drained_at = drains.drained_since.get(backend_id)
        now = self.timers.clock.now()
        same_process = False
        if drained_at is not None and backend >= 0:
            # A connection that is older than the drain shows that the process there never restarted.
            drained_for = (now - drained_at) / TICKS_PER_SECOND
            same_process = self.records[backend].pool.has_connection_older_than(drained_for)
        was_drained = drains.restore(backend_id, now, same_process)
        return self._put_in_force(backend) if was_drained and backend >= 0 else None

    def _index_of_known(self, backend_id: str) -> int:
        """The index of a backend; -1 for one that only the process before this one had listed."""
        backend = self.backend_ids.find(backend_id)
        if backend < 0 and backend_id not in self.known_ids:
            raise UnknownBackendError(backend_id)
        return backend

    # --- exchanges ---

    def send_control_request(
        self, backend: int, method: bytes, target: bytes, on_end: ExchangeCallback
    ) -> None:
        """Sends what is no attempt, such as a probe. It times out: a machine that vanished says nothing."""
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
        """Waits for no response to an attempt that ended by callback; the connection gets a while for it."""
        if not exchange.finished:
            exchange.finished = True
            self.timers.call_after(CONTROL_EXCHANGE_TIMEOUT, exchange.abort)
