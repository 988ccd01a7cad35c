"""The runners as the list names them, each with its number, its standing and its connections."""

import zlib
from collections.abc import Collection, Sequence
from dataclasses import replace
from functools import partial
from typing import Any

from crankfold.config.interning import Interner
from crankfold.config.parser import ServiceConfig, setting_text
from crankfold.network.connection_pool import (
    ConnectionLimiter,
    ConnectionPool,
    Exchange,
    ExchangeCallback,
    ExchangeResult,
)
from crankfold.network.timers import Timers
from crankfold.protocol.discovery import DiscoveryEntry, encode_entry
from crankfold.routing.interface import Endpoint, EndpointState
from crankfold.service.manual_drains import ManualDrains

CONTROL_EXCHANGE_TIMEOUT = 10_000  # for exchanges that carry no unit


class BackendRegistry:
    def __init__(self, rules: ServiceConfig, timers: Timers, sockets: ConnectionLimiter) -> None:
        self.config, self.timers, self.sockets = rules, timers, sockets
        self.backend_ids: Interner[str] = Interner()
        self.addresses: list[tuple[str, int, int]] = []  # host, port and start
        self.states: list[EndpointState] = []
        self.endpoints: list[Endpoint] = []  # each runner's entry as it was listed last, without bans
        self.manual_drains = ManualDrains()
        self.cluster_drains = ManualDrains()  # out by what all dispatchers agreed on
        self.known_ids: set[str] = set()  # runners that the process before this one had listed
        self.slow_start_reserved = False  # another process uses what cold runners may be sent
        self.pools: list[ConnectionPool] = []

    def register(self, entry: DiscoveryEntry) -> Endpoint:
        """The endpoint of a discovery entry; a backend not seen before gets the next index."""
        backend = self.backend_ids.intern(entry.backend_id)
        address = (entry.host, entry.port, entry.boot_ms)
        if backend == len(self.pools):
            self.addresses.append(address)
            self.states.append(EndpointState.REMOVED)
            self.endpoints.append(Endpoint(backend, EndpointState.REMOVED, 0.0, 0, 0, 0))
            self.pools.append(ConnectionPool(entry.host, entry.port, self.sockets))
        elif self.addresses[backend] != address:
            # A process that started anew or moved: connections to the old one are not used.
            self.addresses[backend] = address
            self.pools[backend].close()
            self.pools[backend] = ConnectionPool(entry.host, entry.port, self.sockets)
        return Endpoint(
            backend=backend,
            state=entry.state,
            weight=entry.weight,
            zone=self.config.zones.intern(setting_text(entry.zone)),
            cell=entry.cell,
            started_at=entry.boot_ms * 10,
            instance_type=self.config.instance_types.intern(setting_text(entry.instance_type)),
            hash_position=zlib.crc32(entry.backend_id.encode()) / (1 << 32),
        )

    def update_endpoints(self, entries: Sequence[Endpoint], whole: bool) -> list[Endpoint]:
        """The entries with the bans laid over them: what counts from here on."""
        if whole:
            self.states = [EndpointState.REMOVED] * len(self.states)
            self.endpoints = [replace(entry, state=EndpointState.REMOVED) for entry in self.endpoints]
        for entry in entries:
            self.endpoints[entry.backend] = entry
        return [self._effective_endpoint(entry.backend) for entry in entries]

    def _effective_endpoint(self, runner: int) -> Endpoint:
        uid = self.backend_ids.names[runner]
        entry = self.cluster_drains.apply_to(uid, self.manual_drains.apply_to(uid, self.endpoints[runner]))
        if (
            self.slow_start_reserved
            and entry.state == EndpointState.READY
            and entry.started_at
            and self.timers.clock.now() < entry.started_at + self.config.slow_start_duration
        ):
            entry = replace(entry, state=EndpointState.DRAINING)
        self.states[runner] = entry.state
        return entry

    def drain(self, uid: str) -> Endpoint | None:
        """Out by hand: its entry from now on, if that is another; a KeyError if it was never listed."""
        return self._drain(self.manual_drains, uid, self._index_of_known(uid))

    def restore(self, uid: str) -> Endpoint | None:
        return self._restore(self.manual_drains, uid, self._index_of_known(uid))

    def set_cluster_drains(self, out: Collection[str]) -> list[Endpoint]:
        """These are out for all dispatchers and no others; what counts from here on, where that is new."""
        entries = [self._drain(self.cluster_drains, uid, self.backend_ids.find(uid)) for uid in out]
        entries += [
            self._restore(self.cluster_drains, uid, self.backend_ids.find(uid))
            for uid in [*self.cluster_drains.drained_since]
            if uid not in out
        ]
        return [entry for entry in entries if entry]

    def _drain(self, bans: ManualDrains, uid: str, runner: int) -> Endpoint | None:
        new = bans.drain(uid, self.timers.clock.now())
        return self._effective_endpoint(runner) if new and runner >= 0 else None

    def _restore(self, bans: ManualDrains, uid: str, runner: int) -> Endpoint | None:
        since = bans.drained_since.get(uid)
        now = self.timers.clock.now()
        ran_on = (
            since is not None
            and runner >= 0
            and self.pools[runner].has_connection_older_than((now - since) / 10_000)
        )
        ended = bans.restore(uid, now, ran_on)
        return self._effective_endpoint(runner) if ended and runner >= 0 else None

    def _index_of_known(self, uid: str) -> int:
        runner = self.backend_ids.find(uid)
        if runner < 0 and uid not in self.known_ids:
            raise KeyError(uid)
        return runner

    def reserve_slow_start(self, elsewhere: bool) -> list[Endpoint]:
        """What counts from here on, of those for whom that may be something else."""
        self.slow_start_reserved = elsewhere
        return [
            self._effective_endpoint(runner)
            for runner, entry in enumerate(self.endpoints)
            if entry.started_at and entry.state == EndpointState.READY
        ]

    def discovery_entry(self, backend: int) -> dict[str, Any]:
        """The backend's entry as discovery words it."""
        host, port, boot_ms = self.addresses[backend]
        endpoint = self.endpoints[backend]
        return encode_entry(
            DiscoveryEntry(
                backend_id=self.backend_ids.names[backend],
                host=host,
                port=port,
                zone=self.config.zones.names[endpoint.zone],
                instance_type=self.config.instance_types.names[endpoint.instance_type],
                cell=endpoint.cell,
                state=endpoint.state,
                weight=endpoint.weight,
                boot_ms=boot_ms,
            )
        )

    def any_ready(self) -> bool:
        return EndpointState.READY in self.states

    def send_control_request(
        self,
        runner: int,
        method: bytes,
        target: bytes,
        on_end: ExchangeCallback,
    ) -> None:
        """An exchange that carries no unit. A machine that vanished says nothing: it has a time limit too."""
        pool = self.pools[runner]
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
        """The dispatch ended by call-back before its 202, which gets a while to come."""
        if not exchange.finished:
            exchange.finished = True
            self.timers.call_after(CONTROL_EXCHANGE_TIMEOUT, exchange.abort)
