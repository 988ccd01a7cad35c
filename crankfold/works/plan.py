"""The order of a work as it would come about, if nothing fails and each machine takes what it may."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from crankfold.works.form import Given
from crankfold.works.order import Machine, order

SECOND = 10_000


@dataclass(frozen=True, slots=True)
class Turn:
    begin: float  # seconds from now
    end: float
    uid: str
    zone: str
    why: str  # what it waited for until then


@dataclass(frozen=True, slots=True)
class Plan:
    turns: list[Turn]
    waits: dict[str, str]  # machines that never get their turn, and the bound that holds them


def plan(name: str, works: dict[str, Given], machines: Sequence[Machine], out: dict[str, str],
         done: set[tuple[str, str]], now: int, drain: float, warm: float) -> Plan:
    """`out`: by machine the work that it is out for now; `now`: ms since the epoch; `drain` and `warm`:
    seconds until a machine is free, and until one that is back is warm."""
    asked = [given.work(one) for one, given in works.items() if given.state == "go"]
    own = works[name]
    takes = {one: drain + given.takes + max(given.watch, warm) for one, given in works.items()}
    ends = {uid: takes.get(work, 0.0) for uid, work in out.items()}
    at, turns, held = 0.0, list[Turn](), dict[str, str]()
    done, away = set(done), dict(out)
    while True:
        told = order(asked, [replace(m, up=m.up and m.uid not in away) for m in machines], away.items(),
                     done, now + int(at * 1000))
        zones = {m.uid: m.zone for m in machines}
        for uid, work in told.go:
            away[uid], ends[uid] = work, at + takes[work]
            if work == name:
                turns.append(Turn(at, ends[uid], uid, zones[uid], held.get(uid, "")))
        held = {uid: why for (uid, work), why in told.waits.items() if work == name}
        later = [ends[uid] for uid in away]
        if own.not_before and now + at * 1000 < own.not_before:
            later.append((own.not_before - now) / 1000)
        if not later:
            return Plan(turns, {uid: why for uid, why in held.items() if (uid, name) not in done})
        at = min(later)
        for uid in [uid for uid, end in ends.items() if uid in away and end <= at]:
            done.add((uid, away.pop(uid)))
            del ends[uid]
