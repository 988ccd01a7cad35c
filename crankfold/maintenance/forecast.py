"""The order of a work as it would come about, if nothing fails and each machine takes what it may."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from crankfold.maintenance.scheduler import Machine, schedule
from crankfold.maintenance.specification import JobSpecification

TICKS_PER_SECOND = 10_000


@dataclass(frozen=True, slots=True)
class ForecastDeparture:
    begin_seconds: float  # seconds from now
    end_seconds: float
    machine_id: str
    zone: str
    waited_for: str  # what it waited for until then


@dataclass(frozen=True, slots=True)
class Forecast:
    departures: list[ForecastDeparture]
    wait_reasons: dict[str, str]  # machines that never get their turn, and the bound that holds them


def forecast_job(
    name: str,
    works: dict[str, JobSpecification],
    machines: Sequence[Machine],
    out: dict[str, str],
    done: set[tuple[str, str]],
    now: int,
    drain: float,
    warm: float,
) -> Forecast:
    """`out`: by machine the work that it is out for now; `now`: ms since the epoch; `drain` and `warm`:
    seconds until a machine is free, and until one that is back is warm."""
    asked = [given.to_job(one) for one, given in works.items() if given.state == "go"]
    own = works[name]
    takes = {one: drain + given.takes + max(given.watch, warm) for one, given in works.items()}
    ends = {uid: takes.get(work, 0.0) for uid, work in out.items()}
    at, turns, held = 0.0, list[ForecastDeparture](), dict[str, str]()
    done, away = set(done), dict(out)
    while True:
        told = schedule(
            asked,
            [replace(m, available=m.available and m.machine_id not in away) for m in machines],
            away.items(),
            done,
            now + int(at * 1000),
        )
        zones = {m.machine_id: m.zone for m in machines}
        for uid, work in told.departures:
            away[uid], ends[uid] = work, at + takes[work]
            if work == name:
                turns.append(ForecastDeparture(at, ends[uid], uid, zones[uid], held.get(uid, "")))
        held = {uid: why for (uid, work), why in told.wait_reasons.items() if work == name}
        later = [ends[uid] for uid in away]
        if own.not_before and now + at * 1000 < own.not_before:
            later.append((own.not_before - now) / 1000)
        if not later:
            return Forecast(turns, {uid: why for uid, why in held.items() if (uid, name) not in done})
        at = min(later)
        for uid in [uid for uid, end in ends.items() if uid in away and end <= at]:
            done.add((uid, away.pop(uid)))
            del ends[uid]
