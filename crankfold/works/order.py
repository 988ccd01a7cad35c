"""Which machines may go out next, and why the others wait. The same facts give the same answer everywhere.

So far: what works want, what is out or lost, what the bounds leave. Carrying steps out, and letting machines
back in, comes on top of the agreed lists (`docs/agreement.md`).
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Machine:
    uid: str
    zone: str = ""
    kind: str = ""
    cell: str = ""
    size: float = 1.0  # as listed
    since: int = 0  # its start, tenths of a millisecond
    up: bool = True  # carries work: neither out nor lost, and warm


@dataclass(frozen=True, slots=True)
class Work:
    """What is wanted. A bound of 0 is none."""

    name: str
    uids: frozenset[str] = frozenset()  # these, or by what follows; nothing of it is all
    zones: frozenset[str] = frozenset()
    kinds: frozenset[str] = frozenset()
    cells: frozenset[str] = frozenset()
    listed_before: int = 0
    at_once: int = 1
    a_zone: int = 0
    a_kind: int = 0
    a_cell: int = 0
    stays: float = 0.0  # least share of the listed sizes that carries work, in all
    stays_in_zone: float = 0.0  # and in each zone
    not_before: int = 0
    not_after: int = 0
    alone: frozenset[str] = frozenset()  # works that may not be under way at the same time
    after: frozenset[str] = frozenset()  # works that have to be done first

    def wants(self, machine: Machine) -> bool:
        return ((not self.uids or machine.uid in self.uids) and (not self.zones or machine.zone in self.zones)
                and (not self.kinds or machine.kind in self.kinds)
                and (not self.cells or machine.cell in self.cells)
                and (not self.listed_before or machine.since < self.listed_before))


@dataclass(slots=True)
class Order:
    go: list[tuple[str, str]] = field(default_factory=list)  # machine and work, in this order
    waits: dict[tuple[str, str], str] = field(default_factory=dict)  # of the others the bound that holds them


def impossible(work: Work, machines: Sequence[Machine]) -> str:
    """The bound under which the work could never take a single one of its machines out, or nothing."""
    wanted = [machine for machine in machines if work.wants(machine)]
    if not wanted:
        return "no machine is meant"
    if work.not_after and work.not_after <= work.not_before:
        return "not-after comes before not-before"
    whole = [Machine(m.uid, m.zone, m.kind, m.cell, m.size, m.since) for m in machines]
    for machine in wanted:
        why = _capacity(work, machine, whole, set())
        if why:
            return f"{machine.uid}: {why}, even with all others up"
    return ""


def order(works: Sequence[Work], machines: Sequence[Machine], out: Iterable[tuple[str, str]],
          done: Iterable[tuple[str, str]], now: int) -> Order:
    """`out`: machine and work of what is out by them; `done`: of what has been worked on and is back.

    Works take turns, the one with the least part of its machines done first, so that a small one does not
    wait for a large one. A machine that two want goes out for the first; the other finds it out and waits.
    """
    told, gone, ended = Order(), dict(out), set(done)
    left = {work.name: [m for m in machines if work.wants(m) and (m.uid, work.name) not in ended
                        and m.uid not in gone] for work in works}
    part = {work.name: 1.0 - len(left[work.name]) / max(sum(map(work.wants, machines)), 1) for work in works}
    under_way = set(gone.values())
    for work in sorted(works, key=lambda work: (part[work.name], work.name)):
        # Spread over zones: from where the most is up, then by name.
        for machine in sorted(left[work.name], key=lambda m: (-_up(machines, m.zone, gone), m.uid)):
            why = _held(work, machine, machines, gone, under_way, left, now)
            for other in works:  # another work's bounds hold for its machines, whoever takes them out
                if not why and other.name != work.name and other.name in under_way and other.wants(machine):
                    why = _bounds(other, machine, machines, gone)
                    why = why and f"{why} by {other.name}"
            if why:
                told.waits[machine.uid, work.name] = why
            else:
                told.go.append((machine.uid, work.name))
                gone[machine.uid] = work.name
                under_way.add(work.name)
    return told


def _up(machines: Iterable[Machine], zone: str, gone: Iterable[str]) -> float:
    out = set(gone)
    zoned = [m for m in machines if m.zone == zone]
    return sum(m.size for m in zoned if m.up and m.uid not in out) / (sum(m.size for m in zoned) or 1.0)


def _held(work: Work, machine: Machine, machines: Sequence[Machine], gone: dict[str, str],
          under_way: set[str], left: dict[str, list[Machine]], now: int) -> str:
    if machine.uid in gone:
        return f"out for {gone[machine.uid]}"
    if now < work.not_before:
        return "not before its time"
    if work.not_after and now >= work.not_after:
        return "after its time"
    for other in sorted(work.after):
        if left.get(other) or other in under_way:
            return f"after {other}"
    together = sorted(work.alone & under_way - {work.name})
    if together:
        return f"never together with {together[0]}"
    return _bounds(work, machine, machines, gone)


def _bounds(work: Work, machine: Machine, machines: Sequence[Machine], gone: dict[str, str]) -> str:
    # An unplanned loss takes a place too: what is out of a zone is out, whoever took it.
    lost = [m for m in machines if (not m.up or m.uid in gone) and m.uid != machine.uid]
    mine = [m for m in lost if work.wants(m)]
    if len(mine) >= work.at_once:
        return f"{len(mine)} of {work.at_once} at once"
    for what, most, count in (("zone", work.a_zone, Counter(m.zone for m in mine)[machine.zone]),
                              ("kind", work.a_kind, Counter(m.kind for m in mine)[machine.kind]),
                              ("cell", work.a_cell, Counter(m.cell for m in mine)[machine.cell])):
        if most and count >= most:
            return f"{count} of {most} in its {what}"
    return _capacity(work, machine, machines, set(gone))


def _capacity(work: Work, machine: Machine, machines: Sequence[Machine], gone: set[str]) -> str:
    zoned = [m for m in machines if m.zone == machine.zone]
    for what, share, among in (("all", work.stays, machines), (machine.zone, work.stays_in_zone, zoned)):
        stays = sum(m.size for m in among if m.up and m.uid not in gone and m.uid != machine.uid)
        whole = sum(m.size for m in among) or 1.0
        if share and stays / whole < share:
            return f"{stays / whole:.2f} of {what} would stay, {share:.2f} has to"
    return ""
