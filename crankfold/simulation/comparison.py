"""Policies against each other on the same seeds, with the uncertainty of the difference."""

import csv
from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random
from typing import TextIO

from crankfold.routing.interface import DeduplicationScope, Idempotency, RequestClass, RoutingConfig
from crankfold.routing.router import Router
from crankfold.simulation.baselines import BASELINES
from crankfold.simulation.fleet import PolicyFactory, Scenario, SimulatedFleet

PRODUCT = "crankfold"
POLICIES: dict[str, PolicyFactory] = {PRODUCT: Router, **BASELINES}
BOOTSTRAP_RESAMPLES = 2000
DEFAULT_CLASS = RequestClass(Idempotency.IDEMPOTENT, DeduplicationScope.GLOBAL, 0, 800, 2.0, 50_000, 1.0, 0.0)
DEFAULT_CONFIG = RoutingConfig(
    request_classes=[DEFAULT_CLASS],
    instance_count=1,
    zone=0,
    timer_resolution=20,
    priority_by_work=False,
    worst_class_weight=0.0,
    cancellation_allowed=False,
    probing_allowed=True,
    hedging_allowed=False,
    max_attempts=3,
    max_retry_after=0,
    reports_in_responses=True,
    reports_by_probe=False,
    report_fields=["queue", "free_slots"],
    start_notifications=True,
    progress_interval=0,
    discovery_by_poll=False,
    poll_within=100_000,
    initial_capacity=0.2,
    warm_up_time=100_000,
    overload_factor=4.0,
    overload_period=10_000,
)


@dataclass(frozen=True, slots=True)
class DayResult:
    policy: str
    seed: int
    request_count: int
    on_time_share: float  # share
    violation_count: int  # rules


def simulate_day(policy: str, scenario: Scenario, orders: RoutingConfig, seed: int) -> DayResult:
    world = SimulatedFleet(replace(scenario, seed=seed), orders, POLICIES[policy])
    world.run()
    return DayResult(
        policy,
        seed,
        world.request_count,
        world.on_time_count / max(world.request_count, 1),
        len(world.invariants.violations),
    )


def confidence_interval(ours: Sequence[float], theirs: Sequence[float]) -> tuple[float, float, float]:
    """The mean difference of pairs, and where 95 of 100 resampled means lie."""
    pairs = [a - b for a, b in zip(ours, theirs, strict=True)]
    luck = Random("bootstrap")
    means = sorted(sum(luck.choices(pairs, k=len(pairs))) / len(pairs) for _ in range(BOOTSTRAP_RESAMPLES))
    return sum(pairs) / len(pairs), means[BOOTSTRAP_RESAMPLES // 40], means[-BOOTSTRAP_RESAMPLES // 40 - 1]


def verdict(low: float, high: float) -> str:
    return "no difference shown" if low <= 0 <= high else "better" if low > 0 else "worse"


def write_table(rows: Sequence[DayResult], out: TextIO) -> None:
    table = csv.writer(out, lineterminator="\n")
    table.writerow(["policy", "seed", "units", "in_time", "rules_broken"])
    table.writerows(
        [row.policy, row.seed, row.request_count, f"{row.on_time_share:.6f}", row.violation_count]
        for row in rows
    )
