"""Which machines may go out next, and why the others wait. The same facts give the same answer everywhere."""

from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Machine:
    machine_id: str
    zone: str = ""
    instance_type: str = ""
    cell: str = ""
    size: float = 1.0  # as listed
    started_at: int = 0  # its start, tenths of a millisecond
    available: bool = True  # carries work: neither out nor lost, and warm
    listed: bool = True  # not only remembered from earlier lists


@dataclass(frozen=True, slots=True)
class MaintenanceJob:
    """What is wanted. A bound of 0 is none."""

    name: str
    machine_ids: frozenset[str] = frozenset()  # these, or by what follows; nothing of it is all
    zones: frozenset[str] = frozenset()
    instance_types: frozenset[str] = frozenset()
    cells: frozenset[str] = frozenset()
    started_before: int = 0
    max_out: int = 1
    max_out_per_zone: int = 0
    max_out_per_instance_type: int = 0
    max_out_per_cell: int = 0
    min_remaining_share: float = 0.0  # least share of the listed sizes that carries work, in all
    min_remaining_zone_share: float = 0.0  # and in each zone
    not_before: int = 0
    not_after: int = 0
    exclusive_with: frozenset[str] = frozenset()  # works that may not be under way at the same time
    after: frozenset[str] = frozenset()  # works that have to be done first
    last_machine_id: str = ""  # a machine that goes when all others are done

    def covers(self, machine: Machine) -> bool:
        return (
            (not self.machine_ids or machine.machine_id in self.machine_ids)
            and (not self.zones or machine.zone in self.zones)
            and (not self.instance_types or machine.instance_type in self.instance_types)
            and (not self.cells or machine.cell in self.cells)
            and (not self.started_before or machine.started_at < self.started_before)
        )


@dataclass(slots=True)
class Schedule:
    departures: list[tuple[str, str]] = field(default_factory=list)  # machine and work, in this order
    wait_reasons: dict[tuple[str, str], str] = field(
        default_factory=dict
    )  # of the others the bound that holds them


def infeasibility_reason(work: MaintenanceJob, machines: Sequence[Machine]) -> str:
    """The bound under which the work could never take a single one of its machines out, or nothing."""
    wanted = [machine for machine in machines if work.covers(machine)]
    if not wanted:
        return "no machine is meant"
    if work.not_after and work.not_after <= work.not_before:
        return "not-after comes before not-before"
    whole = [Machine(m.machine_id, m.zone, m.instance_type, m.cell, m.size, m.started_at) for m in machines]
    yard = _Occupancy([work], whole, {})
    for machine in wanted:
        if why := yard.exceeded_capacity(work, machine):
            return f"{machine.machine_id}: {why}, even with all others up"
    return ""


class _Occupancy:
    """What is up and what is out, counted once and kept as machines go."""

    def __init__(
        self, works: Sequence[MaintenanceJob], machines: Sequence[Machine], gone: dict[str, str]
    ) -> None:
        self.out_for = gone
        self.total_size: dict[str, float] = defaultdict(float)  # sizes by zone, "" for all
        self.available_size: dict[str, float] = defaultdict(float)
        self.covered = {work.name: [m for m in machines if work.covers(m)] for work in works}
        # Of each work's machines those that are out or lost: in all, and by zone, kind and cell.
        self.out_counts: dict[str, Counter[tuple[str, str]]] = {work.name: Counter() for work in works}
        self.jobs = works
        for machine in machines:
            for place in self._areas(machine):
                self.total_size[place] += machine.size
                if machine.available and machine.machine_id not in gone:
                    self.available_size[place] += machine.size
            if not machine.available or machine.machine_id in gone:
                self._count_out(machine)

    @staticmethod
    def _areas(machine: Machine) -> tuple[str, str]:
        return "", f"zone {machine.zone}"

    def _count_out(self, machine: Machine) -> None:
        for work in self.jobs:
            if work.covers(machine):
                self.out_counts[work.name].update(
                    (
                        ("", ""),
                        ("zone", machine.zone),
                        ("kind", machine.instance_type),
                        ("cell", machine.cell),
                    )
                )

    def take_out(self, machine: Machine, work: str) -> None:
        self.out_for[machine.machine_id] = work
        if machine.available:
            for place in self._areas(machine):
                self.available_size[place] -= machine.size
            self._count_out(machine)

    def available_share(self, zone: str) -> float:
        return self.available_size[f"zone {zone}"] / (self.total_size[f"zone {zone}"] or 1.0)

    def exceeded_bound(self, work: MaintenanceJob, machine: Machine) -> str:
        # An unplanned loss takes a place too: what is out of a zone is out, whoever took it.
        out, own = self.out_counts[work.name], 0 if machine.available else 1
        if out["", ""] - own >= work.max_out:
            return f"{out['', ''] - own} of {work.max_out} at once"
        for what, where, most in (
            ("zone", machine.zone, work.max_out_per_zone),
            ("kind", machine.instance_type, work.max_out_per_instance_type),
            ("cell", machine.cell, work.max_out_per_cell),
        ):
            if most and out[what, where] - own >= most:
                return f"{out[what, where] - own} of {most} in its {what}"
        return self.exceeded_capacity(work, machine)

    def exceeded_capacity(self, work: MaintenanceJob, machine: Machine) -> str:
        for what, place, share in (
            ("all", "", work.min_remaining_share),
            (machine.zone, f"zone {machine.zone}", work.min_remaining_zone_share),
        ):
            stays = self.available_size[place] - (
                machine.size if machine.available and machine.machine_id not in self.out_for else 0
            )
            whole = self.total_size[place] or 1.0
            if share and stays / whole < share - 1e-9:
                return f"{stays / whole:.2f} of {what} would stay, {share:.2f} has to"
        return ""


def schedule(
    works: Sequence[MaintenanceJob],
    machines: Sequence[Machine],
    out: Iterable[tuple[str, str]],
    done: Collection[tuple[str, str]],
    now: int,
    more: Callable[[Machine, Collection[str]], str] = lambda machine, gone: "",
    halted: Sequence[MaintenanceJob] = (),
) -> Schedule:
    """`out`: machine and work of what is out by them; `done`: of what has been worked on and is back. `more`
    tells what else holds a machine, with these out already. Works that are `halted` take no more machines,
    but their bounds hold while theirs are out.

    Works take turns, the one with the least part of its machines done first, so that a small one does not
    wait for a large one. A machine that two want goes out for the first; the other finds it out and waits.
    """
    told = Schedule()
    yard = _Occupancy([*works, *halted], machines, dict(out))
    left = {
        work.name: [
            m
            for m in yard.covered[work.name]
            if (m.machine_id, work.name) not in done and m.machine_id not in yard.out_for
        ]
        for work in works
    }
    part = {work.name: 1.0 - len(left[work.name]) / max(len(yard.covered[work.name]), 1) for work in works}
    under_way = set(yard.out_for.values())
    for work in sorted(works, key=lambda work: (part[work.name], work.name)):
        # Spread over zones: from where the most is up, then by name.
        share = {m.zone: yard.available_share(m.zone) for m in left[work.name]}
        for machine in sorted(
            left[work.name],
            key=lambda m: (m.machine_id == work.last_machine_id, -share[m.zone], m.machine_id),
        ):
            why = _wait_reason(work, machine, yard, under_way, left, now)
            for other in (*works, *halted):  # another's bounds hold for its machines, whoever takes them out
                if not why and other.name != work.name and other.name in under_way and other.covers(machine):
                    why = yard.exceeded_bound(other, machine)
                    why = why and f"{why} by {other.name}"
            why = why or more(machine, yard.out_for)
            if why:
                told.wait_reasons[machine.machine_id, work.name] = why
            else:
                told.departures.append((machine.machine_id, work.name))
                yard.take_out(machine, work.name)
                under_way.add(work.name)
    return told


def outside_time_window(work: MaintenanceJob, now: int) -> str:
    if now < work.not_before:
        return "not before its time"
    return "after its time" if work.not_after and now >= work.not_after else ""


def _wait_reason(
    work: MaintenanceJob,
    machine: Machine,
    yard: _Occupancy,
    under_way: set[str],
    left: dict[str, list[Machine]],
    now: int,
) -> str:
    if machine.machine_id in yard.out_for:
        return f"out for {yard.out_for[machine.machine_id]}"
    if why := outside_time_window(work, now):
        return why
    for other in sorted(work.after):
        if left.get(other) or other in under_way:
            return f"after {other}"
    together = sorted(work.exclusive_with & under_way - {work.name})
    if together:
        return f"never together with {together[0]}"
    if work.last_machine_id == machine.machine_id and (
        len(left[work.name]) > 1 or work.name in yard.out_for.values()
    ):
        return "last, as it leads"
    return yard.exceeded_bound(work, machine)
