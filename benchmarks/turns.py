"""Measures the late requests caused by maintenance of a whole fleet, by the order of the machines.

    python -m benchmarks.turns --runners 30 --workers 6

The days are simulated, and all strategies run with the same seeds. With `--runners 30`, writes
benchmarks/turns-30.csv, turns-30.txt and turns-30.svg.
"""

import csv
from collections.abc import Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from pathlib import Path
from typing import NamedTuple

import click

from crankfold.simulation.maintenance.study import Strategy, StudyResult, run_study
from crankfold.simulation.traffic.comparison import DEFAULT_CONFIG, confidence_interval, verdict
from crankfold.simulation.traffic.faults import Fault, FaultKind
from crankfold.simulation.traffic.scenario import Scenario
from crankfold.time_units import TICKS_PER_SECOND

OUTPUT_DIRECTORY = Path(__file__).parent
WARM_UP_TICKS = 30_000
DAY_SECONDS = 70
DISCOVERY_DELAY_TICKS = 3000
SLOTS_PER_BACKEND = 4
FAULTS = {
    "calm": (),
    "losses": (Fault(FaultKind.ZONE_LOSS, 20, 28), Fault(FaultKind.DEAD, 40, 55, share=0.05)),
}
TABLE_COLUMNS = (
    "runners",
    "dispatchers",
    "load",
    "faults",
    "order",
    "seed",
    "units",
    "in_time",
    "done",
    "seconds",
    "rules_broken",
)


class FleetSize(NamedTuple):
    """The size and the load of a fleet.

    Attributes:
        mean_service_time: In ticks.
        load: Share of the slots that are busy on average.
    """

    backend_count: int
    dispatcher_count: int
    mean_service_time: int
    load: float


SIZES = (
    FleetSize(30, 10, 4000, 0.6),
    FleetSize(30, 10, 4000, 0.75),
    FleetSize(100, 40, 4000, 0.6),
    FleetSize(300, 300, 12_000, 0.6),
)


class RunKey(NamedTuple):
    """The parameters of one simulated day of the study."""

    size: FleetSize
    faults: str
    strategy: Strategy
    seed: int


@dataclass(frozen=True, slots=True)
class ChartPoint:
    """The result of a strategy in a case, as the chart shows it."""

    case: str
    strategy: Strategy
    duration_seconds: float
    late_per_machine: float


Results = Mapping[RunKey, StudyResult]


def list_run_keys(seeds: int, sizes: Sequence[FleetSize]) -> list[RunKey]:
    """Returns the keys of all days; each strategy runs with every seed, so that results can be paired."""
    return [
        RunKey(size, faults, strategy, seed)
        for size in sizes
        for faults in FAULTS
        for seed in range(1, seeds + 1)
        for strategy in Strategy
    ]


def run_day(key: RunKey) -> tuple[RunKey, StudyResult]:
    """Simulates one day."""
    size = key.size
    busy_ticks_per_second = size.load * size.backend_count * SLOTS_PER_BACKEND * TICKS_PER_SECOND
    scenario = Scenario(
        dispatcher_count=size.dispatcher_count,
        backend_count=size.backend_count,
        mean_service_time=size.mean_service_time,
        seconds=DAY_SECONDS,
        discovery_delay=DISCOVERY_DELAY_TICKS,
        arrival_rate=busy_ticks_per_second / size.mean_service_time / size.dispatcher_count,
        faults=FAULTS[key.faults],
    )
    config = replace(DEFAULT_CONFIG, warm_up_time=WARM_UP_TICKS)
    return key, run_study(key.strategy, scenario, config, key.seed)


def write_table(path: Path, results: Results) -> None:
    """Writes a table with one row for each day."""
    with path.open("w", newline="") as out:
        table = csv.writer(out, lineterminator="\n")
        table.writerow(TABLE_COLUMNS)
        for key, result in results.items():
            table.writerow(
                [
                    key.size.backend_count,
                    key.size.dispatcher_count,
                    key.size.load,
                    key.faults,
                    key.strategy,
                    key.seed,
                    result.request_count,
                    f"{result.in_time_share:.6f}",
                    f"{result.completed_share:.4f}",
                    f"{result.duration_seconds:.1f}",
                    result.violation_count,
                ]
            )


def late_per_machine(
    results: Results, size: FleetSize, faults: str, strategy: Strategy, seeds: int
) -> list[float]:
    """Returns, by seed, the additional late requests for each completed machine.

    They are counted against the day without maintenance and with the same seed.
    """
    costs = []
    for seed in range(1, seeds + 1):
        result = results[RunKey(size, faults, strategy, seed)]
        baseline = results[RunKey(size, faults, Strategy.NO_MAINTENANCE, seed)]
        late = (baseline.in_time_share - result.in_time_share) * result.request_count
        costs.append(late / max(result.completed_share * size.backend_count, 1))
    return costs


def summarize(
    results: Results, size: FleetSize, faults: str, seeds: int
) -> tuple[list[str], list[ChartPoint]]:
    """Returns the lines that summarize a case, and its points on the chart."""
    seed_range = range(1, seeds + 1)
    baseline_days = [results[RunKey(size, faults, Strategy.NO_MAINTENANCE, seed)] for seed in seed_range]
    baseline_share = sum(result.in_time_share for result in baseline_days) / seeds
    lines = [
        f"{size.backend_count} runners, {size.dispatcher_count} dispatchers, load {size.load}, {faults}; "
        f"share in time without any work {baseline_share:.4f}"
    ]
    points = []
    coordinator_costs = late_per_machine(results, size, faults, Strategy.COORDINATOR, seeds)
    for strategy in Strategy:
        if strategy == Strategy.NO_MAINTENANCE:
            continue
        days = [results[RunKey(size, faults, strategy, seed)] for seed in seed_range]
        costs = late_per_machine(results, size, faults, strategy, seeds)
        seconds = sum(result.duration_seconds for result in days) / seeds
        done = sum(result.completed_share for result in days) / seeds
        mean_cost = sum(costs) / seeds
        text = (
            f"  {strategy}: {seconds:.1f} s, {done:.2f} of the machines, {mean_cost:.2f} units late a machine"
        )
        if strategy != Strategy.COORDINATOR:
            text += compare_with_coordinator(coordinator_costs, costs)
        lines.append(text)
        case = f"{size.backend_count}/{size.dispatcher_count} {size.load} {faults}"
        points.append(ChartPoint(case, strategy, seconds, mean_cost))
    return lines, points


def compare_with_coordinator(coordinator_costs: Sequence[float], costs: Sequence[float]) -> str:
    """Returns a phrase with the difference of the coordinator from a strategy and its confidence interval."""
    difference, low, high = confidence_interval(
        [-cost for cost in coordinator_costs], [-cost for cost in costs]
    )
    return f"; {Strategy.COORDINATOR} {-difference:+.2f} ({-high:+.2f} to {-low:+.2f}): {verdict(low, high)}"


def draw_chart(path: Path, points: Sequence[ChartPoint]) -> None:
    """Draws late requests against the duration of the maintenance, with one panel for each case."""
    import matplotlib
    from matplotlib import pyplot

    matplotlib.rcParams["svg.hashsalt"] = "turns"
    cases = list(dict.fromkeys(point.case for point in points))
    figure, axes = pyplot.subplots(1, len(cases), figsize=(4 * len(cases), 4))
    for panel, case in zip(axes.flat, cases, strict=False):
        for point in points:
            if point.case == case:
                panel.scatter(point.duration_seconds, point.late_per_machine, label=str(point.strategy))
        panel.set_title(case, fontsize=9)
        panel.set_xlabel("seconds to get through")
        panel.set_ylabel("units late a machine")
    axes.flat[0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


@click.command()
@click.option("--seeds", default=10, show_default=True)
@click.option("--workers", default=6, show_default=True)
@click.option("--runners", type=click.Choice(["30", "100", "300"]), required=True)
def main(seeds: int, workers: int, runners: str) -> None:
    """Simulate all days of fleets with this number of backends, and write table, summary and chart."""
    sizes = [size for size in SIZES if size.backend_count == int(runners)]
    name = f"turns-{runners}"
    with ProcessPoolExecutor(workers) as pool:
        results = dict(pool.map(run_day, list_run_keys(seeds, sizes)))
    write_table(OUTPUT_DIRECTORY / f"{name}.csv", results)
    lines: list[str] = []
    points: list[ChartPoint] = []
    for size in sizes:
        for faults in FAULTS:
            case_lines, case_points = summarize(results, size, faults, seeds)
            lines += case_lines
            points += case_points
    lines.append(f"rules broken: {sum(result.violation_count for result in results.values())}")
    (OUTPUT_DIRECTORY / f"{name}.txt").write_text("\n".join(lines) + "\n")
    click.echo("\n".join(lines))
    draw_chart(OUTPUT_DIRECTORY / f"{name}.svg", points)


if __name__ == "__main__":
    main()
