"""Compares policies on the same seeds and computes a confidence interval of their difference."""

import csv
from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random
from typing import NamedTuple, TextIO

from crankfold.routing.interface import DeduplicationScope, Idempotency, RequestClass, RoutingConfig
from crankfold.routing.router import Router
from crankfold.simulation.traffic.baselines import BASELINES
from crankfold.simulation.traffic.fleet import SimulatedFleet
from crankfold.simulation.traffic.scenario import PolicyFactory, Scenario

PRODUCT = "crankfold"
POLICIES: dict[str, PolicyFactory] = {PRODUCT: Router, **BASELINES}
BOOTSTRAP_RESAMPLES = 2000
TAIL_RESAMPLES = BOOTSTRAP_RESAMPLES // 40  # 2.5% lie beyond each end of a 95% interval
# Times are ticks: the latency objective is 80 ms plus twice the service time, the deadline five seconds.
DEFAULT_CLASS = RequestClass(
    idempotency=Idempotency.IDEMPOTENT,
    deduplication_scope=DeduplicationScope.GLOBAL,
    deduplication_window=0,
    latency_objective=800,
    objective_per_work=2.0,
    deadline=50_000,
    priority_weight=1.0,
    late_value=0.0,
)
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
    """The result of one simulated day, that is, of one scenario with one seed."""

    policy: str
    seed: int
    request_count: int
    on_time_share: float
    violation_count: int


class Interval(NamedTuple):
    """A mean difference with its 95% confidence interval."""

    mean: float
    low: float
    high: float


def simulate_day(policy: str, scenario: Scenario, config: RoutingConfig, seed: int) -> DayResult:
    """Simulates the scenario with the named policy; `seed` replaces the scenario's own seed."""
    fleet = SimulatedFleet(replace(scenario, seed=seed), config, POLICIES[policy])
    fleet.run()
    return DayResult(
        policy=policy,
        seed=seed,
        request_count=fleet.request_count,
        on_time_share=fleet.on_time_count / max(fleet.request_count, 1),
        violation_count=len(fleet.invariants.violations),
    )


def confidence_interval(own: Sequence[float], other: Sequence[float]) -> Interval:
    """Returns the mean of the pairwise differences `own - other`, with its bootstrap interval.

    The values at one position come from the same seed.
    """
    differences = [mine - theirs for mine, theirs in zip(own, other, strict=True)]
    rng = Random("bootstrap")
    means = sorted(
        sum(rng.choices(differences, k=len(differences))) / len(differences)
        for _ in range(BOOTSTRAP_RESAMPLES)
    )
    return Interval(
        mean=sum(differences) / len(differences), low=means[TAIL_RESAMPLES], high=means[-TAIL_RESAMPLES - 1]
    )


def verdict(low: float, high: float) -> str:
    """Returns in words whether an interval of differences shows the first policy to be better or worse."""
    if low <= 0 <= high:
        return "no difference shown"
    return "better" if low > 0 else "worse"


def write_table(days: Sequence[DayResult], out: TextIO) -> None:
    """Writes a CSV table with a row for each simulated day."""
    table = csv.writer(out, lineterminator="\n")
    table.writerow(["policy", "seed", "units", "in_time", "rules_broken"])
    table.writerows(
        [day.policy, day.seed, day.request_count, f"{day.on_time_share:.6f}", day.violation_count]
        for day in days
    )
