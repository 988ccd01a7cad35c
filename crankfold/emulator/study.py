"""Policies against each other on the same seeds, with the uncertainty of the difference."""

import csv
from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random
from typing import TextIO

from crankfold.dispatch.interface import Effect, Group, ServiceGrade, StandingOrders
from crankfold.dispatch.policy import Dispatcher
from crankfold.emulator.baselines import BASELINES
from crankfold.emulator.world import Make, Scenario, World

OURS = "crankfold"
POLICIES: dict[str, Make] = {OURS: Dispatcher, **BASELINES}
RESAMPLES = 2000
GRADE = ServiceGrade(Effect.REPEATABLE, Group.ALL, 0, 800, 2.0, 50_000, 1.0, 0.0)
ORDERS = StandingOrders(
    grades=[GRADE], dispatchers=1, zone=0, tick=20, by_work=False, worst_grade_care=0.0, may_cancel=False,
    may_probe=True, may_copy=False, most_dispatches=3, longest_advice=0, reports_in_answers=True,
    reports_by_probe=False, report_names=["queue", "free_slots"], tells_start=True, progress=0,
    must_ask=False, ask_within=100_000, cold_from=0.2, warm_after=100_000, overload_factor=4.0,
    overload_for=10_000)


@dataclass(frozen=True, slots=True)
class Row:
    policy: str
    seed: int
    units: int
    in_time: float  # share
    broken: int  # rules


def play(policy: str, scenario: Scenario, orders: StandingOrders, seed: int) -> Row:
    world = World(replace(scenario, seed=seed), orders, POLICIES[policy])
    world.run()
    return Row(policy, seed, world.asked, world.in_time / max(world.asked, 1), len(world.rules.broken))


def interval(ours: Sequence[float], theirs: Sequence[float]) -> tuple[float, float, float]:
    """The mean difference of pairs, and where 95 of 100 resampled means lie."""
    pairs = [a - b for a, b in zip(ours, theirs, strict=True)]
    luck = Random("bootstrap")
    means = sorted(sum(luck.choices(pairs, k=len(pairs))) / len(pairs) for _ in range(RESAMPLES))
    return sum(pairs) / len(pairs), means[RESAMPLES // 40], means[-RESAMPLES // 40 - 1]


def verdict(low: float, high: float) -> str:
    return "no difference shown" if low <= 0 <= high else "better" if low > 0 else "worse"


def write(rows: Sequence[Row], out: TextIO) -> None:
    table = csv.writer(out, lineterminator="\n")
    table.writerow(["policy", "seed", "units", "in_time", "rules_broken"])
    table.writerows([row.policy, row.seed, row.units, f"{row.in_time:.6f}", row.broken] for row in rows)
