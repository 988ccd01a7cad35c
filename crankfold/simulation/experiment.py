"""Experiments described in a file: cases, faults, policies and seeds; the same file gives the same table."""

import csv
import tomllib
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import fields, replace
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from crankfold import __version__
from crankfold.simulation.comparison import (
    DEFAULT_CONFIG,
    POLICIES,
    PRODUCT,
    DayResult,
    confidence_interval,
    simulate_day,
    verdict,
)
from crankfold.simulation.event_queue import TICKS_PER_SECOND
from crankfold.simulation.faults import Fault, FaultKind
from crankfold.simulation.fleet import ZONE_COUNT, Scenario

Seconds = Annotated[float, Meta(ge=0, le=3600)]
Count = Annotated[int, Meta(ge=1, le=2000)]
PositiveNumber = Annotated[float, Meta(gt=0)]


class PlanError(ValueError):
    """The file can't be played: which field, what was found, what is allowed."""


class FaultSpecification(Struct, forbid_unknown_fields=True, rename="kebab"):
    kind: FaultKind
    at: Seconds
    until: Seconds
    share: Annotated[float, Meta(gt=0, le=1)] = 0.2
    zone: Annotated[int, Meta(ge=0, lt=ZONE_COUNT)] = 0
    factor: PositiveNumber = 4.0


class DaySpecification(Struct, forbid_unknown_fields=True, rename="kebab"):
    """Of a case what is not said is as in `[day]`. Times in seconds; load as a share of all slots."""

    dispatchers: Count = 3
    runners: Count = 9
    slots: Annotated[int, Meta(ge=1, le=64)] = 4
    load: Annotated[float, Meta(gt=0, le=3)] = 0.6
    work: PositiveNumber = 0.35
    seconds: Annotated[int, Meta(ge=1, le=3600)] = 10
    report_every: PositiveNumber = 1.0
    list_late: Seconds = 1.0
    way: Seconds = 0.0005
    cross: Seconds = 0.0005
    retries: Annotated[int, Meta(ge=0, le=10)] = 0
    faults: list[FaultSpecification] = []


class CaseSpecification(Struct, forbid_unknown_fields=True):
    name: Annotated[str, Meta(min_length=1)]
    group: str = ""
    at: float = 0.0
    day: dict[str, Any] = {}


class ExperimentPlan(Struct, forbid_unknown_fields=True):
    name: Annotated[str, Meta(pattern="^[a-z0-9-]+$")]
    case: Annotated[list[CaseSpecification], Meta(min_length=1)]
    title: str = ""
    across: str = "case"
    seeds: Annotated[int, Meta(ge=2, le=1000)] = 10
    policies: Annotated[list[str], Meta(min_length=1)] = msgspec.field(default_factory=lambda: list(POLICIES))
    day: dict[str, Any] = {}


def load_plan(path: Path) -> tuple[ExperimentPlan, dict[str, Scenario]]:
    try:
        given = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as wrong:
        raise PlanError(f"{path}: {wrong}") from None
    try:
        file = msgspec.convert(given, ExperimentPlan)
    except msgspec.ValidationError as wrong:
        raise PlanError(f"{path}: {wrong}") from None
    unknown = [name for name in file.policies if name not in POLICIES]
    if unknown:
        raise PlanError(f"{path}: policies: found {unknown[0]!r}; there are {', '.join(POLICIES)}")
    if PRODUCT not in file.policies:
        file.policies.insert(0, PRODUCT)
    scenarios: dict[str, Scenario] = {}
    for case in file.case:
        try:
            day = msgspec.convert(file.day | case.day, DaySpecification)
        except msgspec.ValidationError as wrong:
            raise PlanError(f"{path}: case {case.name!r}: {wrong}") from None
        for fault in day.faults:
            if not fault.at < fault.until <= day.seconds:
                raise PlanError(
                    f"{path}: case {case.name!r}: {fault.kind} from {fault.at} to {fault.until}; "
                    f"allowed within a day of {day.seconds}, the end after the start"
                )
        if case.name in scenarios:
            raise PlanError(f"{path}: case {case.name!r} is there twice")
        scenarios[case.name] = make_scenario(day)
    return file, scenarios


def make_scenario(day: DaySpecification) -> Scenario:
    faults = tuple(
        Fault(**{field.name: getattr(given, field.name) for field in fields(Fault)}) for given in day.faults
    )
    return Scenario(
        dispatcher_count=day.dispatchers,
        backend_count=day.runners,
        slots_per_backend=day.slots,
        seconds=day.seconds,
        arrival_rate=day.load * day.runners * day.slots / day.work / day.dispatchers,
        mean_service_time=int(day.work * TICKS_PER_SECOND),
        report_interval=int(day.report_every * TICKS_PER_SECOND),
        discovery_delay=int(day.list_late * TICKS_PER_SECOND),
        network_delay=int(day.way * TICKS_PER_SECOND),
        cross_zone_delay=int(day.cross * TICKS_PER_SECOND),
        client_retries=day.retries,
        faults=faults,
    )


def _simulate_one(told: tuple[str, str, Scenario, int]) -> tuple[str, DayResult]:
    case, policy, scenario, seed = told
    return case, simulate_day(policy, scenario, replace(DEFAULT_CONFIG, cancellation_allowed=False), seed)


def run_experiment(
    file: ExperimentPlan, scenarios: dict[str, Scenario], workers: int
) -> list[tuple[str, DayResult]]:
    """All rows in the file's order, whoever played them."""
    all_of_it = [
        (case, policy, scenario, seed)
        for case, scenario in scenarios.items()
        for policy in dict.fromkeys(file.policies)
        for seed in range(1, file.seeds + 1)
    ]
    if workers <= 1:
        return [_simulate_one(one) for one in all_of_it]
    with ProcessPoolExecutor(workers) as pool:
        return list(pool.map(_simulate_one, all_of_it, chunksize=1))


def on_time_shares(rows: Sequence[tuple[str, DayResult]], case: str, policy: str) -> list[float]:
    return [row.on_time_share for name, row in rows if name == case and row.policy == policy]


def write_table(rows: Sequence[tuple[str, DayResult]], path: Path) -> None:
    with path.open("w", newline="") as out:
        writer = csv.writer(out, lineterminator="\n")
        writer.writerow(["case", "policy", "seed", "units", "in_time", "rules_broken"])
        writer.writerows(
            [case, row.policy, row.seed, row.request_count, f"{row.on_time_share:.6f}", row.violation_count]
            for case, row in rows
        )


def summarize(file: ExperimentPlan, rows: Sequence[tuple[str, DayResult]]) -> list[str]:
    lines = [
        f"{file.title or file.name}: share of units in time, mean of {file.seeds} seeds; "
        f"crankfold less the other with 95% interval; made by crankfold {__version__}"
    ]
    for case in file.case:
        ours = on_time_shares(rows, case.name, PRODUCT)
        lines.append(f"{case.name}: {PRODUCT} {sum(ours) / len(ours):.3f}")
        for policy in dict.fromkeys(file.policies):
            if policy != PRODUCT:
                theirs = on_time_shares(rows, case.name, policy)
                mean, low, high = confidence_interval(ours, theirs)
                lines.append(
                    f"  {policy} {sum(theirs) / len(theirs):.3f}; {mean:+.3f} "
                    f"({low:+.3f} to {high:+.3f}): {verdict(low, high)}"
                )
    broken = sum(row.violation_count for _, row in rows if row.policy == PRODUCT)
    return [*lines, f"rules broken by {PRODUCT}: {broken}"]


def write_chart(file: ExperimentPlan, rows: Sequence[tuple[str, DayResult]], path: Path) -> None:
    """A panel for each group of cases, a line for each policy; the same bytes each time."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = file.name
    from matplotlib import pyplot

    groups = list(dict.fromkeys(case.group for case in file.case))
    figure, panels = pyplot.subplots(
        1, len(groups), sharey=True, squeeze=False, figsize=(3.2 * len(groups) + 1, 3.4)
    )
    for panel, group in zip(panels[0], groups, strict=True):
        cases = [case for case in file.case if case.group == group]
        for policy in dict.fromkeys(file.policies):
            means = [sum(one := on_time_shares(rows, case.name, policy)) / len(one) for case in cases]
            panel.plot(
                [str(f"{case.at:g}") for case in cases],
                means,
                marker="o",
                markersize=3,
                linewidth=2.0 if policy == PRODUCT else 0.9,
                label=policy,
            )
        panel.set_title(group, fontsize=9)
        panel.set_xlabel(file.across, fontsize=8)
        panel.tick_params(labelsize=7)
        panel.grid(alpha=0.3)
    panels[0][0].set_ylabel("in time", fontsize=8)
    panels[0][-1].legend(fontsize=7)
    figure.suptitle(file.title or file.name, fontsize=10)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
