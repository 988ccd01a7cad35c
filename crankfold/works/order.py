"""Which machines may go out next, and why the others wait. The same facts give the same answer everywhere."""

from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterable, Sequence
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
    listed: bool = True  # not only remembered from earlier lists


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
    last: str = ""  # a machine that goes when all others are done

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
    yard = _Yard([work], whole, {})
    for machine in wanted:
        if why := yard.capacity(work, machine):
            return f"{machine.uid}: {why}, even with all others up"
    return ""


class _Yard:
    """What is up and what is out, counted once and kept as machines go."""

    def __init__(self, works: Sequence[Work], machines: Sequence[Machine], gone: dict[str, str]) -> None:
        self.gone = gone
        self.whole: dict[str, float] = defaultdict(float)  # sizes by zone, "" for all
        self.up: dict[str, float] = defaultdict(float)
        self.wanted = {work.name: [m for m in machines if work.wants(m)] for work in works}
        # Of each work's machines those that are out or lost: in all, and by zone, kind and cell.
        self.out: dict[str, Counter[tuple[str, str]]] = {work.name: Counter() for work in works}
        self.works = works
        for machine in machines:
            for place in self._places(machine):
                self.whole[place] += machine.size
                if machine.up and machine.uid not in gone:
                    self.up[place] += machine.size
            if not machine.up or machine.uid in gone:
                self._count_out(machine)

    @staticmethod
    def _places(machine: Machine) -> tuple[str, str]:
        return "", f"zone {machine.zone}"

    def _count_out(self, machine: Machine) -> None:
        for work in self.works:
            if work.wants(machine):
                self.out[work.name].update((("", ""), ("zone", machine.zone), ("kind", machine.kind),
                                            ("cell", machine.cell)))

    def take(self, machine: Machine, work: str) -> None:
        self.gone[machine.uid] = work
        if machine.up:
            for place in self._places(machine):
                self.up[place] -= machine.size
            self._count_out(machine)

    def share(self, zone: str) -> float:
        return self.up[f"zone {zone}"] / (self.whole[f"zone {zone}"] or 1.0)

    def bounds(self, work: Work, machine: Machine) -> str:
        # An unplanned loss takes a place too: what is out of a zone is out, whoever took it.
        out, own = self.out[work.name], 0 if machine.up else 1
        if out["", ""] - own >= work.at_once:
            return f"{out['', ''] - own} of {work.at_once} at once"
        for what, where, most in (("zone", machine.zone, work.a_zone), ("kind", machine.kind, work.a_kind),
                                  ("cell", machine.cell, work.a_cell)):
            if most and out[what, where] - own >= most:
                return f"{out[what, where] - own} of {most} in its {what}"
        return self.capacity(work, machine)

    def capacity(self, work: Work, machine: Machine) -> str:
        for what, place, share in (("all", "", work.stays),
                                   (machine.zone, f"zone {machine.zone}", work.stays_in_zone)):
            stays = self.up[place] - (machine.size if machine.up and machine.uid not in self.gone else 0)
            whole = self.whole[place] or 1.0
            if share and stays / whole < share - 1e-9:
                return f"{stays / whole:.2f} of {what} would stay, {share:.2f} has to"
        return ""


def order(works: Sequence[Work], machines: Sequence[Machine], out: Iterable[tuple[str, str]],
          done: Collection[tuple[str, str]], now: int,
          more: Callable[[Machine, Collection[str]], str] = lambda machine, gone: "",
          halted: Sequence[Work] = ()) -> Order:
    """`out`: machine and work of what is out by them; `done`: of what has been worked on and is back. `more`
    tells what else holds a machine, with these out already. Works that are `halted` take no more machines,
    but their bounds hold while theirs are out.

    Works take turns, the one with the least part of its machines done first, so that a small one does not
    wait for a large one. A machine that two want goes out for the first; the other finds it out and waits.
    """
    told = Order()
    yard = _Yard([*works, *halted], machines, dict(out))
    left = {work.name: [m for m in yard.wanted[work.name] if (m.uid, work.name) not in done
                        and m.uid not in yard.gone] for work in works}
    part = {work.name: 1.0 - len(left[work.name]) / max(len(yard.wanted[work.name]), 1) for work in works}
    under_way = set(yard.gone.values())
    for work in sorted(works, key=lambda work: (part[work.name], work.name)):
        # Spread over zones: from where the most is up, then by name.
        share = {m.zone: yard.share(m.zone) for m in left[work.name]}
        for machine in sorted(left[work.name], key=lambda m: (m.uid == work.last, -share[m.zone], m.uid)):
            why = _held(work, machine, yard, under_way, left, now)
            for other in (*works, *halted):  # another's bounds hold for its machines, whoever takes them out
                if not why and other.name != work.name and other.name in under_way and other.wants(machine):
                    why = yard.bounds(other, machine)
                    why = why and f"{why} by {other.name}"
            why = why or more(machine, yard.gone)
            if why:
                told.waits[machine.uid, work.name] = why
            else:
                told.go.append((machine.uid, work.name))
                yard.take(machine, work.name)
                under_way.add(work.name)
    return told


def timely(work: Work, now: int) -> str:
    if now < work.not_before:
        return "not before its time"
    return "after its time" if work.not_after and now >= work.not_after else ""


def _held(work: Work, machine: Machine, yard: _Yard, under_way: set[str], left: dict[str, list[Machine]],
          now: int) -> str:
    if machine.uid in yard.gone:
        return f"out for {yard.gone[machine.uid]}"
    if why := timely(work, now):
        return why
    for other in sorted(work.after):
        if left.get(other) or other in under_way:
            return f"after {other}"
    together = sorted(work.alone & under_way - {work.name})
    if together:
        return f"never together with {together[0]}"
    if work.last == machine.uid and (len(left[work.name]) > 1 or work.name in yard.gone.values()):
        return "last, as it leads"
    return yard.bounds(work, machine)
