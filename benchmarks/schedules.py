"""Schedules of losses, cuts, pauses, deaths and late disks, drawn by seeds, in simulated time.

    python -m benchmarks.schedules --agreement 1000 --works 1000 --workers 6

Writes benchmarks/schedules.csv, one row a schedule, and schedules.txt. A seed makes its schedule again.
"""

import csv
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

from crankfold.simulation.consensus_cluster import SimulatedCluster, random_scenario
from crankfold.simulation.maintenance_cases import draw_case
from crankfold.simulation.maintenance_fleet import MaintenanceFleet

HERE = Path(__file__).parent


def one(job: tuple[str, int]) -> tuple[str, int, int, str, int, int, str]:
    """Kind, seed, longest contradiction in ms, what was broken; of works: machines done, left, steps."""
    kind, seed = job
    if kind == "agreement":
        voters, followers = ((3, 2), (5, 3), (3, 6))[seed % 3]
        fleet = SimulatedCluster(
            random_scenario(
                seed, voters, followers, allocates_quotas=seed % 2 == 1, publishes_limits=seed % 4 == 0
            )
        ).run()
        return kind, seed, fleet.longest_contradiction // 10, "; ".join(fleet.violations), 0, 0, ""
    yard = MaintenanceFleet(draw_case(seed)).run()
    newest = max((p.member for p in yard.processes.values() if p.member), key=lambda m: m.last_applied)
    ledger = newest.documents.replicated.maintenance
    done = sum(map(len, ledger.completed.values()))
    broken, steps = "; ".join(yard.violations), str(len(ledger.transitions))
    return kind, seed, yard.longest_contradiction // 10, broken, done, sum(yard.machines_left), steps


@click.command()
@click.option("--agreement", default=1000, show_default=True)
@click.option("--works", default=1000, show_default=True)
@click.option("--first", default=0, show_default=True)
@click.option("--workers", default=6, show_default=True)
@click.option("--within", default=3600.0, show_default=True, help="Seconds; what is not begun is left out.")
def main(agreement: int, works: int, first: int, workers: int, within: float) -> None:
    jobs = [
        (kind, first + n)
        for n in range(max(agreement, works))
        for kind, count in (("agreement", agreement), ("works", works))
        if n < count
    ]
    end, rows = time.monotonic() + within, []
    with ProcessPoolExecutor(workers) as pool:
        for begin in range(0, len(jobs), 20 * workers):
            if time.monotonic() > end:
                break
            rows += pool.map(one, jobs[begin : begin + 20 * workers])
    with (HERE / "schedules.csv").open("w", newline="") as out:
        table = csv.writer(out, lineterminator="\n")
        table.writerow(["kind", "seed", "longest_ms", "broken", "done", "left", "steps"])
        table.writerows(rows)
    lines = []
    for kind in ("agreement", "works"):
        mine = [row for row in rows if row[0] == kind]
        broken = [row for row in mine if row[3]]
        lines.append(
            f"{kind}: {len(mine)} schedules, {len(broken)} broken, longest contradiction "
            f"{max((row[2] for row in mine), default=0)} ms of 2000"
            + (
                f"; {sum(row[4] for row in mine)} machines done, {sum(row[5] for row in mine)} left "
                f"with the reason told"
                if kind == "works"
                else ""
            )
        )
        lines += [f"  seed {row[1]}: {row[3]}" for row in broken[:10]]
    (HERE / "schedules.txt").write_text("\n".join(lines) + "\n")
    click.echo("\n".join(lines))


if __name__ == "__main__":
    main()
