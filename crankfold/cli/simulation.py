"""`crankfold emulate` and `crankfold experiment`: compare policies in simulated time."""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import TextIO

import click

from crankfold.simulation.traffic import comparison, experiment
from crankfold.simulation.traffic.comparison import PRODUCT, DayResult
from crankfold.simulation.traffic.experiment import ExperimentPlan, Row
from crankfold.simulation.traffic.scenario import Scenario
from crankfold.time_units import TICKS_PER_SECOND

SLOTS_PER_BACKEND = 4
DEFAULT_SEEDS = 10

DISPATCHERS = click.IntRange(1, 2000)
BACKENDS = click.IntRange(1, 2000)
LOAD_SHARE = click.FloatRange(0.01, 3)
WORK_SECONDS = click.FloatRange(0.001, 60)
REPORT_SECONDS = click.FloatRange(0.01, 60)
DAY_SECONDS = click.IntRange(1, 3600)
SEEDS = click.IntRange(2, 1000)
WORKERS = click.IntRange(1, 64)


@dataclass(frozen=True, slots=True)
class DayOptions:
    """A simulated day as the options of `emulate` describe it.

    Attributes:
        dispatchers: The number of dispatchers.
        backends: The number of backends.
        load: The mean share of all slots that are in use.
        work: The mean running time of a request, in seconds.
        report_every: The seconds between the load reports of a backend.
        seconds: The length of the day.
    """

    dispatchers: int = 40
    backends: int = 60
    load: float = 0.6
    work: float = 0.35
    report_every: float = 1.0
    seconds: int = 10

    def to_scenario(self) -> Scenario:
        """Returns the scenario of the simulation, with times in ticks."""
        return Scenario(
            dispatcher_count=self.dispatchers,
            backend_count=self.backends,
            mean_service_time=int(self.work * TICKS_PER_SECOND),
            seconds=self.seconds,
            arrival_rate=self.load * self.backends * SLOTS_PER_BACKEND / self.work / self.dispatchers,
            report_interval=int(self.report_every * TICKS_PER_SECOND),
        )


DEFAULT_DAY = DayOptions()


@click.command()
@click.option("--dispatchers", default=DEFAULT_DAY.dispatchers, show_default=True, type=DISPATCHERS)
@click.option("--runners", "backends", default=DEFAULT_DAY.backends, show_default=True, type=BACKENDS)
@click.option(
    "--load",
    default=DEFAULT_DAY.load,
    show_default=True,
    type=LOAD_SHARE,
    help="Mean share of all slots in use.",
)
@click.option(
    "--work",
    default=DEFAULT_DAY.work,
    show_default=True,
    type=WORK_SECONDS,
    help="Mean running time of a request, in seconds.",
)
@click.option(
    "--report-every",
    default=DEFAULT_DAY.report_every,
    show_default=True,
    type=REPORT_SECONDS,
    help="Seconds.",
)
@click.option("--seconds", default=DEFAULT_DAY.seconds, show_default=True, type=DAY_SECONDS)
@click.option("--seeds", default=DEFAULT_SEEDS, show_default=True, type=SEEDS)
@click.option(
    "--policy", "policies", multiple=True, help="Policy to compare with; may be repeated. All if not given."
)
@click.option(
    "--csv", "table", type=click.File("w", lazy=False), help="File for a table with a row for each day."
)
def emulate(seeds: int, policies: tuple[str, ...], table: TextIO | None, **options: float) -> None:
    """Simulate days and compare policies on the same seeds.

    A request counts if it is completed in time: within 80 ms and twice its running time.
    """
    chosen = _known_policies(policies) or tuple(name for name in comparison.POLICIES if name != PRODUCT)
    scenario = DayOptions(**options).to_scenario()  # type: ignore[arg-type]  # click checked the types
    days = [
        comparison.simulate_day(name, scenario, comparison.DEFAULT_CONFIG, seed)
        for seed in range(1, seeds + 1)
        for name in dict.fromkeys((PRODUCT, *chosen))
    ]
    if table:
        comparison.write_table(days, table)
    _print_comparison(days, chosen, seeds)


def _known_policies(names: tuple[str, ...]) -> tuple[str, ...]:
    unknown = [name for name in names if name not in comparison.POLICIES]
    if unknown:
        raise click.UsageError(f"no policy {unknown[0]!r}; there are {', '.join(comparison.POLICIES)}")
    return names


def _print_comparison(days: Sequence[DayResult], chosen: Sequence[str], seeds: int) -> None:
    ratios = {name: [day.on_time_share for day in days if day.policy == name] for name in (PRODUCT, *chosen)}
    own = ratios[PRODUCT]
    click.echo(f"{PRODUCT}: {sum(own) / seeds:.3f} in time, over {seeds} seeds")
    for name in chosen:
        mean, low, high = comparison.confidence_interval(own, ratios[name])
        click.echo(
            f"{name}: {sum(ratios[name]) / seeds:.3f} in time; {PRODUCT} {mean:+.3f} "
            f"({low:+.3f} to {high:+.3f}): {comparison.verdict(low, high)}"
        )
    violations = sum(day.violation_count for day in days if day.policy == PRODUCT)
    click.echo(f"rules broken by {PRODUCT}: {violations}")


@click.command("experiment")
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--out",
    "folder",
    default="benchmarks",
    show_default=True,
    type=click.Path(path_type=Path),
    help="Folder for the table, the summary and the chart.",
)
@click.option("--workers", default=1, show_default=True, type=WORKERS, help="Processes.")
@click.option(
    "--no-chart", is_flag=True, help="Write no chart; a chart needs matplotlib, from the extra `charts`."
)
def run_experiment(file: Path, folder: Path, workers: int, no_chart: bool) -> None:
    """Run the experiment that FILE describes (docs/emulator.md), and write its results."""
    plan, scenarios = _load_plan(file, folder)
    rows = experiment.run_experiment(plan, scenarios, workers)
    for line in _write_results(plan, rows, folder, with_chart=not no_chart):
        click.echo(line)


def _load_plan(file: Path, folder: Path) -> tuple[ExperimentPlan, dict[str, Scenario]]:
    """Loads the plan, and checks before hours of simulation that the table can be written."""
    try:
        plan, scenarios = experiment.load_plan(file)
        folder.mkdir(parents=True, exist_ok=True)
        with (folder / f"{plan.name}.csv").open("a"):
            pass
    except (experiment.PlanError, OSError) as error:
        raise click.UsageError(str(error)) from None
    return plan, scenarios


def _write_results(plan: ExperimentPlan, rows: Sequence[Row], folder: Path, *, with_chart: bool) -> list[str]:
    """Writes the table, the summary and the chart; returns the lines of the summary."""
    try:
        experiment.write_table(rows, folder / f"{plan.name}.csv")
        lines = experiment.summarize(plan, rows)
        (folder / f"{plan.name}.txt").write_text("\n".join(lines) + "\n")
        if with_chart:
            experiment.write_chart(plan, rows, folder / f"{plan.name}.svg")
    except ImportError:
        click.echo("no chart: matplotlib is not installed", err=True)
    except OSError as error:
        raise click.UsageError(str(error)) from None
    return lines
