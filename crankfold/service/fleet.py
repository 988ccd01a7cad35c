"""The runners as the list names them, each with its number, its standing and its connections."""

import zlib
from collections.abc import Callable, Sequence
from functools import partial

from crankfold.dispatch.interface import Listing, Standing
from crankfold.network.runners import BROKEN, Errand, Pool, Sockets
from crankfold.network.timers import Timers
from crankfold.orders.places import Places
from crankfold.orders.reader import HouseRules, plain
from crankfold.protocol.runners import RunnerSide

ANSWER_WITHIN = 10_000  # for exchanges that carry no unit


class Fleet:
    def __init__(self, rules: HouseRules, timers: Timers, sockets: Sockets) -> None:
        self.rules, self.timers, self.sockets = rules, timers, sockets
        self.numbers: Places[str] = Places()
        self.address: list[tuple[str, int, int]] = []  # host, port and start
        self.standing: list[Standing] = []
        self.pools: list[Pool] = []

    def enlist(self, uid: str, host: str, port: int, zone: str, kind: str, cell: int, standing: Standing,
               weight: float, boot_ms: int) -> Listing:
        runner = self.numbers.place(uid)
        if runner == len(self.pools):
            self.address.append((host, port, boot_ms))
            self.standing.append(Standing.GONE)
            self.pools.append(Pool(host, port, self.sockets))
        elif self.address[runner] != (host, port, boot_ms):
            # A process that started anew or moved: connections to the old one are not used.
            self.address[runner] = (host, port, boot_ms)
            self.pools[runner].close()
            self.pools[runner] = Pool(host, port, self.sockets)
        mark = zlib.crc32(uid.encode()) / (1 << 32)
        return Listing(runner, standing, weight, self.rules.zones.place(plain(zone)), cell, boot_ms * 10,
                       self.rules.kinds.place(plain(kind)), mark)

    def listed(self, entries: Sequence[Listing], whole: bool) -> None:
        if whole:
            self.standing = [Standing.GONE] * len(self.standing)
        for entry in entries:
            self.standing[entry.runner] = entry.standing

    def errand(self, runner: int, method: bytes, target: bytes,
               ended: Callable[[str, RunnerSide | None], None]) -> None:
        """An exchange that carries no unit. A machine that vanished says nothing: it has a time limit too."""
        pool = self.pools[runner]
        host = f"{pool.host}:{pool.port}".encode()
        errand = Errand(method, target, lambda: [(b"Host", host)], b"", lambda: True, ended)
        pool.send(errand)
        self.timers.wake(ANSWER_WITHIN, partial(self._overdue, pool, errand))

    def _overdue(self, pool: Pool, errand: Errand) -> None:
        pool.end(errand, BROKEN, None)
        pool.cut(errand)

    def let_go(self, runner: int, errand: Errand) -> None:
        """The dispatch ended by call-back before its 202, which gets a while to come."""
        if not errand.over:
            errand.over = True
            self.timers.wake(ANSWER_WITHIN, partial(self.pools[runner].cut, errand))
