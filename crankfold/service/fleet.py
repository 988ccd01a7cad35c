"""The runners as the list names them, each with its number, its standing and its connections."""

import zlib
from collections.abc import Callable, Collection, Sequence
from dataclasses import replace
from functools import partial
from typing import Any

from crankfold.dispatch.interface import Listing, Standing
from crankfold.network.runners import BROKEN, Exchange, Pool, Sockets
from crankfold.network.timers import Timers
from crankfold.orders.places import Places
from crankfold.orders.reader import HouseRules, plain
from crankfold.protocol.discovery import wording
from crankfold.protocol.runners import RunnerSide
from crankfold.service.bans import Bans

ANSWER_WITHIN = 10_000  # for exchanges that carry no unit


class Fleet:
    def __init__(self, rules: HouseRules, timers: Timers, sockets: Sockets) -> None:
        self.rules, self.timers, self.sockets = rules, timers, sockets
        self.numbers: Places[str] = Places()
        self.address: list[tuple[str, int, int]] = []  # host, port and start
        self.standing: list[Standing] = []
        self.said: list[Listing] = []  # each runner's entry as it was listed last, without bans
        self.bans = Bans()
        self.agreed = Bans()  # out by what all dispatchers agreed on
        self.heard_of: set[str] = set()  # runners that the process before this one had listed
        self.cold_elsewhere = False  # another process uses what cold runners may be sent
        self.pools: list[Pool] = []

    def enlist(self, uid: str, host: str, port: int, zone: str, kind: str, cell: int, standing: Standing,
               weight: float, boot_ms: int) -> Listing:
        runner = self.numbers.place(uid)
        if runner == len(self.pools):
            self.address.append((host, port, boot_ms))
            self.standing.append(Standing.GONE)
            self.said.append(Listing(runner, Standing.GONE, 0.0, 0, 0, 0))
            self.pools.append(Pool(host, port, self.sockets))
        elif self.address[runner] != (host, port, boot_ms):
            # A process that started anew or moved: connections to the old one are not used.
            self.address[runner] = (host, port, boot_ms)
            self.pools[runner].close()
            self.pools[runner] = Pool(host, port, self.sockets)
        mark = zlib.crc32(uid.encode()) / (1 << 32)
        return Listing(runner, standing, weight, self.rules.zones.place(plain(zone)), cell, boot_ms * 10,
                       self.rules.kinds.place(plain(kind)), mark)

    def listed(self, entries: Sequence[Listing], whole: bool) -> list[Listing]:
        """The entries with the bans laid over them: what counts from here on."""
        if whole:
            self.standing = [Standing.GONE] * len(self.standing)
            self.said = [replace(entry, standing=Standing.GONE) for entry in self.said]
        for entry in entries:
            self.said[entry.runner] = entry
        return [self._counts(entry.runner) for entry in entries]

    def _counts(self, runner: int) -> Listing:
        uid = self.numbers.names[runner]
        entry = self.agreed.over(uid, self.bans.over(uid, self.said[runner]))
        if self.cold_elsewhere and entry.standing == Standing.READY and entry.since \
                and self.timers.clock.now() < entry.since + self.rules.warm_after:
            entry = replace(entry, standing=Standing.DRAINING)
        self.standing[runner] = entry.standing
        return entry

    def out(self, uid: str) -> Listing | None:
        """Out by hand: its entry from now on, if that is another; a KeyError if it was never listed."""
        return self._out(self.bans, uid, self._known(uid))

    def back(self, uid: str) -> Listing | None:
        return self._back(self.bans, uid, self._known(uid))

    def agree(self, out: Collection[str]) -> list[Listing]:
        """These are out for all dispatchers and no others; what counts from here on, where that is new."""
        entries = [self._out(self.agreed, uid, self.numbers.find(uid)) for uid in out]
        entries += [self._back(self.agreed, uid, self.numbers.find(uid))
                    for uid in [*self.agreed.since] if uid not in out]
        return [entry for entry in entries if entry]

    def _out(self, bans: Bans, uid: str, runner: int) -> Listing | None:
        new = bans.out(uid, self.timers.clock.now())
        return self._counts(runner) if new and runner >= 0 else None

    def _back(self, bans: Bans, uid: str, runner: int) -> Listing | None:
        since = bans.since.get(uid)
        now = self.timers.clock.now()
        ran_on = since is not None and runner >= 0 and self.pools[runner].up_for((now - since) / 10_000)
        ended = bans.back(uid, now, ran_on)
        return self._counts(runner) if ended and runner >= 0 else None

    def _known(self, uid: str) -> int:
        runner = self.numbers.find(uid)
        if runner < 0 and uid not in self.heard_of:
            raise KeyError(uid)
        return runner

    def leave_cold(self, elsewhere: bool) -> list[Listing]:
        """What counts from here on, of those for whom that may be something else."""
        self.cold_elsewhere = elsewhere
        return [self._counts(runner) for runner, entry in enumerate(self.said)
                if entry.since and entry.standing == Standing.READY]

    def as_listed(self, runner: int) -> dict[str, Any]:
        """The entry as discovery words it."""
        host, port, boot_ms = self.address[runner]
        entry = self.said[runner]
        return {"uid": self.numbers.names[runner], "endpoint": f"{host}:{port}", "boot_ms": boot_ms,
                "az": self.rules.zones.names[entry.zone], "model": self.rules.kinds.names[entry.kind],
                "pod_group": entry.cell, "state": wording(entry.standing), "capacity_hint": entry.weight}

    def anywhere(self) -> bool:
        return Standing.READY in self.standing

    def exchange(self, runner: int, method: bytes, target: bytes,
               ended: Callable[[str, RunnerSide | None], None]) -> None:
        """An exchange that carries no unit. A machine that vanished says nothing: it has a time limit too."""
        pool = self.pools[runner]
        host = f"{pool.host}:{pool.port}".encode()
        exchange = Exchange(method, target, lambda: [(b"Host", host)], b"", lambda: True, ended, False)
        pool.send(exchange)
        self.timers.wake(ANSWER_WITHIN, partial(self._overdue, pool, exchange))

    def _overdue(self, pool: Pool, exchange: Exchange) -> None:
        pool.end(exchange, BROKEN, None)
        pool.cut(exchange)

    def let_go(self, runner: int, exchange: Exchange) -> None:
        """The dispatch ended by call-back before its 202, which gets a while to come."""
        if not exchange.over:
            exchange.over = True
            self.timers.wake(ANSWER_WITHIN, partial(self.pools[runner].cut, exchange))
