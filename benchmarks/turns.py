"""What it costs to take a whole fleet through a work, by the order of its machines. Emulated, paired seeds.

    python -m benchmarks.turns --runners 30 --workers 6

Writes benchmarks/turns-30.csv, .txt and .svg.
"""

import csv
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path

import click

from crankfold.simulation.comparison import DEFAULT_CONFIG as DEFAULT_CONFIG
from crankfold.simulation.comparison import confidence_interval, verdict
from crankfold.simulation.faults import Fault, FaultKind
from crankfold.simulation.maintenance_study import FOREMAN, NOTHING, ORDERS, StudyResult, run_study
from crankfold.simulation.scenario import Scenario

OUTPUT_DIRECTORY = Path(__file__).parent
WARM_UP_TICKS = 30_000  # a machine is cold for so long
LOSS_FAULTS = (Fault(FaultKind.ZONE_LOSS, 20, 28), Fault(FaultKind.DEAD, 40, 55, share=0.05))
# Runners, dispatchers, mean running time in tenths of a millisecond, load.
SIZES = ((30, 10, 4000, 0.6), (30, 10, 4000, 0.75), (100, 40, 4000, 0.6), (300, 300, 12_000, 0.6))
RunKey = tuple[int, int, int, float, str, str, int]


def run_keys(seeds: int, sizes: list[tuple[int, int, int, float]]) -> list[RunKey]:
    return [
        (*size, faults, order, seed)
        for size in sizes
        for faults in ("calm", "losses")
        for seed in range(1, seeds + 1)
        for order in ORDERS
    ]


def run_one(job: RunKey) -> tuple[RunKey, StudyResult]:
    runners, dispatchers, work, load, faults, order, seed = job
    scenario = Scenario(
        dispatcher_count=dispatchers,
        backend_count=runners,
        mean_service_time=work,
        seconds=70,
        discovery_delay=3000,
        arrival_rate=load * runners * 4 * 10_000 / work / dispatchers,
        faults=LOSS_FAULTS if faults == "losses" else (),
    )
    return job, run_study(order, scenario, replace(DEFAULT_CONFIG, warm_up_time=WARM_UP_TICKS), seed)


@click.command()
@click.option("--seeds", default=10, show_default=True)
@click.option("--workers", default=6, show_default=True)
@click.option("--runners", type=click.Choice(["30", "100", "300"]), required=True)
def main(seeds: int, workers: int, runners: str) -> None:
    sizes, name = [size for size in SIZES if size[0] == int(runners)], f"turns-{runners}"
    rows: dict[RunKey, StudyResult] = {}
    with ProcessPoolExecutor(workers) as pool:
        for job, told in pool.map(run_one, run_keys(seeds, sizes)):
            rows[job] = told
    with (OUTPUT_DIRECTORY / f"{name}.csv").open("w", newline="") as out:
        table = csv.writer(out, lineterminator="\n")
        table.writerow(
            [
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
            ]
        )
        for (machines, dispatchers, _, load, faults, order, seed), told in rows.items():
            table.writerow(
                [
                    machines,
                    dispatchers,
                    load,
                    faults,
                    order,
                    seed,
                    told.request_count,
                    f"{told.in_time_share:.6f}",
                    f"{told.completed_share:.4f}",
                    f"{told.duration_seconds:.1f}",
                    told.violation_count,
                ]
            )
    lines, charted = [], []
    for size in sizes:
        for faults in ("calm", "losses"):
            idle = sum(rows[(*size, faults, NOTHING, s)].in_time_share for s in range(1, seeds + 1)) / seeds
            lines.append(
                f"{size[0]} runners, {size[1]} dispatchers, load {size[3]}, {faults}; share in time "
                f"without any work {idle:.4f}"
            )
            costs: dict[str, list[float]] = {}
            for order in ORDERS[:-1]:
                played = [
                    (rows[(*size, faults, order, s)], rows[(*size, faults, NOTHING, s)])
                    for s in range(1, seeds + 1)
                ]
                costs[order] = [
                    (calm.in_time_share - told.in_time_share)
                    * told.request_count
                    / max(told.completed_share * size[0], 1)
                    for told, calm in played
                ]
                seconds = sum(told.duration_seconds for told, _ in played) / seeds
                done = sum(told.completed_share for told, _ in played) / seeds
                mean = sum(costs[order]) / seeds
                text = (
                    f"  {order}: {seconds:.1f} s, {done:.2f} of the machines, {mean:.2f} units late a machine"
                )
                if order != FOREMAN:
                    diff, low, high = confidence_interval(
                        [-c for c in costs[FOREMAN]], [-c for c in costs[order]]
                    )
                    text += f"; {FOREMAN} {-diff:+.2f} ({-high:+.2f} to {-low:+.2f}): {verdict(low, high)}"
                lines.append(text)
                charted.append((f"{size[0]}/{size[1]} {size[3]} {faults}", order, seconds, mean))
    lines.append(f"rules broken: {sum(told.violation_count for told in rows.values())}")
    (OUTPUT_DIRECTORY / f"{name}.txt").write_text("\n".join(lines) + "\n")
    click.echo("\n".join(lines))
    import matplotlib
    from matplotlib import pyplot

    matplotlib.rcParams["svg.hashsalt"] = "turns"
    cases = list(dict.fromkeys(case for case, *_ in charted))
    figure, axes = pyplot.subplots(1, len(cases), figsize=(4 * len(cases), 4))
    for place, case in zip(axes.flat, cases, strict=False):
        for played_as, order, seconds, mean in charted:
            if played_as == case:
                place.scatter(seconds, mean, label=order)
        place.set_title(case, fontsize=9)
        place.set_xlabel("seconds to get through")
        place.set_ylabel("units late a machine")
    axes.flat[0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(OUTPUT_DIRECTORY / f"{name}.svg", metadata={"Date": None})


if __name__ == "__main__":
    main()
