"""`crankfold emulate` and `crankfold experiment`: policies compared in simulated time."""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import TextIO

import click

from crankfold.simulation.traffic import comparison, experiment
from crankfold.simulation.traffic.comparison import PRODUCT, DayResult
from crankfold.simulation.traffic.scenario import Scenario
from crankfold.time_units import TICKS_PER_SECOND

SLOTS = 4  # of a backend


@dataclass(frozen=True, slots=True)
class DayOptions:
    """A day as the options of `emulate` describe it."""

    dispatchers: int
    backends: int
    load: float  # share of all slots
    work: float  # seconds
    report_every: float  # seconds
    seconds: int

    def to_scenario(self) -> Scenario:
        """The scenario of the simulation, with times in ticks."""
        return Scenario(
            dispatcher_count=self.dispatchers,
            backend_count=self.backends,
            mean_service_time=int(self.work * TICKS_PER_SECOND),
            seconds=self.seconds,
            arrival_rate=self.load * self.backends * SLOTS / self.work / self.dispatchers,
            report_interval=int(self.report_every * TICKS_PER_SECOND),
        )


@click.command()
@click.option("--dispatchers", default=40, show_default=True, type=click.IntRange(1, 2000))
@click.option("--runners", "backends", default=60, show_default=True, type=click.IntRange(1, 2000))
@click.option("--load", default=0.6, show_default=True, type=click.FloatRange(0.01, 3), help="Of all slots.")
@click.option(
    "--work",
    default=0.35,
    show_default=True,
    type=click.FloatRange(0.001, 60),
    help="Mean running time, seconds.",
)
@click.option(
    "--report-every", default=1.0, show_default=True, type=click.FloatRange(0.01, 60), help="Seconds."
)
@click.option("--seconds", default=10, show_default=True, type=click.IntRange(1, 3600))
@click.option("--seeds", default=10, show_default=True, type=click.IntRange(2, 1000))
@click.option("--policy", "policies", multiple=True, help="Against crankfold; again for more; all if none.")
@click.option("--csv", "table", type=click.File("w", lazy=False), help="Where a row for each day goes.")
def emulate(seeds: int, policies: tuple[str, ...], table: TextIO | None, **options: float) -> None:
    """Simulate days and compare policies on the same seeds.

    A request counts if it is completed in time: within 80 ms and twice its running time.
    """
    chosen = policies or tuple(name for name in comparison.POLICIES if name != PRODUCT)
    unknown = [name for name in chosen if name not in comparison.POLICIES]
    if unknown:
        raise click.UsageError(f"no policy {unknown[0]!r}; there are {', '.join(comparison.POLICIES)}")
    scenario = DayOptions(**options).to_scenario()  # type: ignore[arg-type]  # click checked the types
    days = [
        comparison.simulate_day(name, scenario, comparison.DEFAULT_CONFIG, seed)
        for seed in range(1, seeds + 1)
        for name in dict.fromkeys((PRODUCT, *chosen))
    ]
    if table:
        comparison.write_table(days, table)
    _print_comparison(days, chosen, seeds)


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
@click.option("--workers", default=1, show_default=True, type=click.IntRange(1, 64), help="Processes.")
@click.option("--no-chart", is_flag=True, help="Charts want matplotlib, which the extra `charts` brings.")
def run_experiment(file: Path, folder: Path, workers: int, no_chart: bool) -> None:
    """Run the experiment that FILE describes (docs/emulator.md), and keep its results."""
    try:
        plan, scenarios = experiment.load_plan(file)
        folder.mkdir(parents=True, exist_ok=True)
        with (folder / f"{plan.name}.csv").open("a"):
            pass  # a folder that can't be written to is known before an hour of simulation
    except (experiment.PlanError, OSError) as error:
        raise click.UsageError(str(error)) from None
    rows = experiment.run_experiment(plan, scenarios, workers)
    try:
        experiment.write_table(rows, folder / f"{plan.name}.csv")
        lines = experiment.summarize(plan, rows)
        (folder / f"{plan.name}.txt").write_text("\n".join(lines) + "\n")
        if not no_chart:
            experiment.write_chart(plan, rows, folder / f"{plan.name}.svg")
    except ImportError:
        click.echo("no chart: matplotlib is not installed", err=True)
    except OSError as error:
        raise click.UsageError(str(error)) from None
    for line in lines:
        click.echo(line)
