"""Runs experiments described in files: cases, faults, policies, seeds. The same file gives the same table."""

import csv
import tomllib
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import msgspec
from msgspec import Meta, Struct, field

from crankfold import __version__
from crankfold.errors import CrankfoldError
from crankfold.simulation.traffic.comparison import (
    DEFAULT_CONFIG,
    POLICIES,
    PRODUCT,
    DayResult,
    confidence_interval,
    simulate_day,
    verdict,
)
from crankfold.simulation.traffic.faults import Fault, FaultKind
from crankfold.simulation.traffic.scenario import ZONE_COUNT, Scenario
from crankfold.time_units import TICKS_PER_SECOND

Seconds = Annotated[float, Meta(ge=0, le=3600)]
Count = Annotated[int, Meta(ge=1, le=2000)]
PositiveNumber = Annotated[float, Meta(gt=0)]
PANEL_WIDTH_INCHES = 3.2
LABEL_WIDTH_INCHES = 1
CHART_HEIGHT_INCHES = 3.4
TITLE_FONT_POINTS = 10
PANEL_FONT_POINTS = 9
AXIS_FONT_POINTS = 8
TICK_FONT_POINTS = 7
MARKER_POINTS = 3
PRODUCT_LINE_POINTS = 2.0
BASELINE_LINE_POINTS = 0.9
GRID_OPACITY = 0.3


class PlanError(CrankfoldError):
    """Raised for an invalid experiment file; the text names the field, its value and the permitted values."""


class FaultSpecification(Struct, forbid_unknown_fields=True, rename="kebab"):
    """A fault in an experiment file; the fields are those of `Fault`."""

    kind: FaultKind
    at: Seconds
    until: Seconds
    share: Annotated[float, Meta(gt=0, le=1)] = 0.2
    zone: Annotated[int, Meta(ge=0, lt=ZONE_COUNT)] = 0
    factor: PositiveNumber = 4.0

    def to_fault(self) -> Fault:
        """Returns the fault of the scenario."""
        return Fault(
            kind=self.kind,
            at=self.at,
            until=self.until,
            share=self.share,
            zone=self.zone,
            factor=self.factor,
        )


class DaySpecification(Struct, forbid_unknown_fields=True, rename="kebab"):
    """A simulated day: the table `[day]` of the file, overridden by that of a case. Times are seconds."""

    dispatchers: Count = 3
    backends: Count = field(name="runners", default=9)
    slots: Annotated[int, Meta(ge=1, le=64)] = 4
    load: Annotated[float, Meta(gt=0, le=3)] = 0.6  # share of all slots
    mean_service_time: PositiveNumber = field(name="work", default=0.35)
    seconds: Annotated[int, Meta(ge=1, le=3600)] = 10
    report_interval: PositiveNumber = field(name="report-every", default=1.0)
    discovery_delay: Seconds = field(name="list-late", default=1.0)
    network_delay: Seconds = field(name="way", default=0.0005)
    cross_zone_delay: Seconds = field(name="cross", default=0.0005)
    retries: Annotated[int, Meta(ge=0, le=10)] = 0
    faults: list[FaultSpecification] = []


class CaseSpecification(Struct, forbid_unknown_fields=True):
    """A case: its overrides of `[day]` and its position in the chart."""

    name: Annotated[str, Meta(min_length=1)]
    group: str = ""  # panel of the chart
    position: float = field(name="at", default=0.0)  # on the x axis of the panel
    day: dict[str, Any] = {}


class ExperimentPlan(Struct, forbid_unknown_fields=True):
    """The contents of an experiment file."""

    name: Annotated[str, Meta(pattern="^[a-z0-9-]+$")]
    cases: Annotated[list[CaseSpecification], Meta(min_length=1)] = field(name="case")
    title: str = ""
    axis_label: str = field(name="across", default="case")
    seeds: Annotated[int, Meta(ge=2, le=1000)] = 10
    policies: Annotated[list[str], Meta(min_length=1)] = field(default_factory=lambda: list(POLICIES))
    day: dict[str, Any] = {}


class Job(NamedTuple):
    """A day to simulate: one case, one policy, one seed."""

    case: str
    policy: str
    scenario: Scenario
    seed: int


class Row(NamedTuple):
    """The result of one day of a case."""

    case: str
    day: DayResult


def load_plan(path: Path) -> tuple[ExperimentPlan, dict[str, Scenario]]:
    """Reads an experiment file.

    Returns:
        The plan, and the scenario of each case by its name.

    Raises:
        PlanError: The file is not valid.
    """
    try:
        plan = msgspec.convert(tomllib.loads(path.read_text()), ExperimentPlan)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise PlanError(f"{path}: {error}") from None
    unknown = [name for name in plan.policies if name not in POLICIES]
    if unknown:
        raise PlanError(f"{path}: policies: found {unknown[0]!r}; there are {', '.join(POLICIES)}")
    if PRODUCT not in plan.policies:
        plan.policies.insert(0, PRODUCT)
    scenarios: dict[str, Scenario] = {}
    for case in plan.cases:
        try:
            scenario = _case_scenario(plan, case)
        except (msgspec.ValidationError, PlanError) as error:
            raise PlanError(f"{path}: case {case.name!r}: {error}") from None
        if case.name in scenarios:
            raise PlanError(f"{path}: case {case.name!r} is there twice")
        scenarios[case.name] = scenario
    return plan, scenarios


def _case_scenario(plan: ExperimentPlan, case: CaseSpecification) -> Scenario:
    day = msgspec.convert(plan.day | case.day, DaySpecification)
    for fault in day.faults:
        if not fault.at < fault.until <= day.seconds:
            raise PlanError(
                f"{fault.kind} from {fault.at} to {fault.until}; "
                f"allowed within a day of {day.seconds}, the end after the start"
            )
    return make_scenario(day)


def make_scenario(day: DaySpecification) -> Scenario:
    """Converts a day with times in seconds to a scenario with times in ticks."""
    return Scenario(
        dispatcher_count=day.dispatchers,
        backend_count=day.backends,
        slots_per_backend=day.slots,
        seconds=day.seconds,
        arrival_rate=day.load * day.backends * day.slots / day.mean_service_time / day.dispatchers,
        mean_service_time=_ticks(day.mean_service_time),
        report_interval=_ticks(day.report_interval),
        discovery_delay=_ticks(day.discovery_delay),
        network_delay=_ticks(day.network_delay),
        cross_zone_delay=_ticks(day.cross_zone_delay),
        client_retries=day.retries,
        faults=tuple(fault.to_fault() for fault in day.faults),
    )


def _ticks(seconds: float) -> int:
    return int(seconds * TICKS_PER_SECOND)


def _simulate_one(job: Job) -> Row:
    config = replace(DEFAULT_CONFIG, cancellation_allowed=False)
    return Row(job.case, simulate_day(job.policy, job.scenario, config, job.seed))


def run_experiment(plan: ExperimentPlan, scenarios: dict[str, Scenario], workers: int) -> list[Row]:
    """Simulates all days in `workers` processes and returns their rows in the order of the file."""
    jobs = [
        Job(case, policy, scenario, seed)
        for case, scenario in scenarios.items()
        for policy in dict.fromkeys(plan.policies)
        for seed in range(1, plan.seeds + 1)
    ]
    if workers <= 1:
        return [_simulate_one(job) for job in jobs]
    with ProcessPoolExecutor(workers) as pool:
        return list(pool.map(_simulate_one, jobs, chunksize=1))


def on_time_ratios(rows: Sequence[Row], case: str, policy: str) -> list[float]:
    """Returns the share of requests completed on time, one value per seed in ascending order."""
    return [row.day.on_time_share for row in rows if row.case == case and row.day.policy == policy]


def write_table(rows: Sequence[Row], path: Path) -> None:
    """Writes a CSV table with a row for each simulated day."""
    with path.open("w", newline="") as out:
        writer = csv.writer(out, lineterminator="\n")
        writer.writerow(["case", "policy", "seed", "units", "in_time", "rules_broken"])
        writer.writerows(
            [
                case,
                day.policy,
                day.seed,
                day.request_count,
                f"{day.on_time_share:.6f}",
                day.violation_count,
            ]
            for case, day in rows
        )


def summarize(plan: ExperimentPlan, rows: Sequence[Row]) -> list[str]:
    """Returns lines that compare the product with each other policy, case by case."""
    lines = [
        f"{plan.title or plan.name}: share of units in time, mean of {plan.seeds} seeds; "
        f"crankfold less the other with 95% interval; made by crankfold {__version__}"
    ]
    for case in plan.cases:
        own = on_time_ratios(rows, case.name, PRODUCT)
        lines.append(f"{case.name}: {PRODUCT} {_mean(own):.3f}")
        for policy in dict.fromkeys(plan.policies):
            if policy != PRODUCT:
                other = on_time_ratios(rows, case.name, policy)
                mean, low, high = confidence_interval(own, other)
                lines.append(
                    f"  {policy} {_mean(other):.3f}; {mean:+.3f} "
                    f"({low:+.3f} to {high:+.3f}): {verdict(low, high)}"
                )
    violations = sum(row.day.violation_count for row in rows if row.day.policy == PRODUCT)
    return [*lines, f"rules broken by {PRODUCT}: {violations}"]


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values)


def write_chart(plan: ExperimentPlan, rows: Sequence[Row], path: Path) -> None:
    """Writes an SVG chart with a panel for each group of cases and a line for each policy.

    The same rows give the same file, byte by byte.

    Raises:
        ImportError: matplotlib is not installed.
    """
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = plan.name
    from matplotlib import pyplot

    groups = list(dict.fromkeys(case.group for case in plan.cases))
    figure, panels = pyplot.subplots(
        1,
        len(groups),
        sharey=True,
        squeeze=False,
        figsize=(PANEL_WIDTH_INCHES * len(groups) + LABEL_WIDTH_INCHES, CHART_HEIGHT_INCHES),
    )
    for panel, group in zip(panels[0], groups, strict=True):
        _draw_group(panel, plan, rows, group)
    panels[0][0].set_ylabel("in time", fontsize=AXIS_FONT_POINTS)
    panels[0][-1].legend(fontsize=TICK_FONT_POINTS)
    figure.suptitle(plan.title or plan.name, fontsize=TITLE_FONT_POINTS)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)


def _draw_group(panel: Any, plan: ExperimentPlan, rows: Sequence[Row], group: str) -> None:
    cases = [case for case in plan.cases if case.group == group]
    for policy in dict.fromkeys(plan.policies):
        panel.plot(
            [f"{case.position:g}" for case in cases],
            [_mean(on_time_ratios(rows, case.name, policy)) for case in cases],
            marker="o",
            markersize=MARKER_POINTS,
            linewidth=PRODUCT_LINE_POINTS if policy == PRODUCT else BASELINE_LINE_POINTS,
            label=policy,
        )
    panel.set_title(group, fontsize=PANEL_FONT_POINTS)
    panel.set_xlabel(plan.axis_label, fontsize=AXIS_FONT_POINTS)
    panel.tick_params(labelsize=TICK_FONT_POINTS)
    panel.grid(alpha=GRID_OPACITY)
