"""What it costs to take a whole fleet through a work, by the order of its machines. Emulated, paired seeds.

    python -m benchmarks.turns --runners 30 --workers 6

Writes benchmarks/turns-30.csv, .txt and .svg.
"""

import csv
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path

import click

from crankfold.emulator.faults import Fault, Kind
from crankfold.emulator.study import ORDERS as STANDING
from crankfold.emulator.study import interval, verdict
from crankfold.emulator.turns import FOREMAN, NOTHING, ORDERS, Through, play
from crankfold.emulator.world import Scenario

HERE = Path(__file__).parent
WARM = 30_000  # a machine is cold for so long
LOSSES = (Fault(Kind.LOST_ZONE, 20, 28), Fault(Kind.DEAD, 40, 55, share=0.05))
# Runners, dispatchers, mean running time in tenths of a millisecond, load.
SIZES = ((30, 10, 4000, 0.6), (30, 10, 4000, 0.75), (100, 40, 4000, 0.6), (300, 300, 12_000, 0.6))
Job = tuple[int, int, int, float, str, str, int]


def jobs(seeds: int, sizes: list[tuple[int, int, int, float]]) -> list[Job]:
    return [(*size, faults, order, seed) for size in sizes for faults in ("calm", "losses")
            for seed in range(1, seeds + 1) for order in ORDERS]


def one(job: Job) -> tuple[Job, Through]:
    runners, dispatchers, work, load, faults, order, seed = job
    scenario = Scenario(dispatchers=dispatchers, runners=runners, work=work, seconds=70, list_late=3000,
                        rate=load * runners * 4 * 10_000 / work / dispatchers,
                        faults=LOSSES if faults == "losses" else ())
    return job, play(order, scenario, replace(STANDING, warm_after=WARM), seed)


@click.command()
@click.option("--seeds", default=10, show_default=True)
@click.option("--workers", default=6, show_default=True)
@click.option("--runners", type=click.Choice(["30", "100", "300"]), required=True)
def main(seeds: int, workers: int, runners: str) -> None:
    sizes, name = [size for size in SIZES if size[0] == int(runners)], f"turns-{runners}"
    rows: dict[Job, Through] = {}
    with ProcessPoolExecutor(workers) as pool:
        for job, told in pool.map(one, jobs(seeds, sizes)):
            rows[job] = told
    with (HERE / f"{name}.csv").open("w", newline="") as out:
        table = csv.writer(out, lineterminator="\n")
        table.writerow(["runners", "dispatchers", "load", "faults", "order", "seed", "units", "in_time",
                        "done", "seconds", "rules_broken"])
        for (machines, dispatchers, _, load, faults, order, seed), told in rows.items():
            table.writerow([machines, dispatchers, load, faults, order, seed, told.units,
                            f"{told.in_time:.6f}", f"{told.done:.4f}", f"{told.took:.1f}", told.broken])
    lines, charted = [], []
    for size in sizes:
        for faults in ("calm", "losses"):
            idle = sum(rows[(*size, faults, NOTHING, s)].in_time for s in range(1, seeds + 1)) / seeds
            lines.append(f"{size[0]} runners, {size[1]} dispatchers, load {size[3]}, {faults}; share in time "
                         f"without any work {idle:.4f}")
            costs: dict[str, list[float]] = {}
            for order in ORDERS[:-1]:
                played = [(rows[(*size, faults, order, s)], rows[(*size, faults, NOTHING, s)])
                          for s in range(1, seeds + 1)]
                costs[order] = [(calm.in_time - told.in_time) * told.units
                                / max(told.done * size[0], 1) for told, calm in played]
                seconds = sum(told.took for told, _ in played) / seeds
                done = sum(told.done for told, _ in played) / seeds
                mean = sum(costs[order]) / seeds
                text = (f"  {order}: {seconds:.1f} s, {done:.2f} of the machines, "
                        f"{mean:.2f} units late a machine")
                if order != FOREMAN:
                    diff, low, high = interval([-c for c in costs[FOREMAN]], [-c for c in costs[order]])
                    text += (f"; {FOREMAN} {-diff:+.2f} ({-high:+.2f} to {-low:+.2f}): "
                             f"{verdict(low, high)}")
                lines.append(text)
                charted.append((f"{size[0]}/{size[1]} {size[3]} {faults}", order, seconds, mean))
    lines.append(f"rules broken: {sum(told.broken for told in rows.values())}")
    (HERE / f"{name}.txt").write_text("\n".join(lines) + "\n")
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
    figure.savefig(HERE / f"{name}.svg", metadata={"Date": None})


if __name__ == "__main__":
    main()
