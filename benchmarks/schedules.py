"""Cases of losses, cuts, pauses, deaths and slow disks, drawn by seeds, in simulated time.

    python -m benchmarks.schedules --agreement 1000 --works 1000 --workers 6

Writes benchmarks/schedules.csv, one row a case, and schedules.txt. A seed makes its case again.
"""

import csv
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import NamedTuple

import click

from crankfold.simulation.consensus.cluster import SimulatedCluster, random_scenario
from crankfold.simulation.maintenance.cases import draw_case
from crankfold.simulation.maintenance.fleet import MaintenanceFleet

HERE = Path(__file__).parent
AGREEMENT = "agreement"
MAINTENANCE = "works"
CLUSTER_SIZES = ((3, 2), (5, 3), (3, 6))  # voters and followers
TICKS_PER_MS = 10
CASES_PER_WORKER = 20  # between two looks at the time
MAX_SHOWN = 10  # broken cases


class Job(NamedTuple):
    """A case to play."""

    kind: str
    seed: int


class Result(NamedTuple):
    """What came of a case; the last three of maintenance only."""

    kind: str
    seed: int
    longest_ms: int  # that two acted on differing versions
    broken: str
    done: int = 0  # machines
    left: int = 0
    steps: str = ""


def play(job: Job) -> Result:
    """Play one case."""
    if job.kind == AGREEMENT:
        voters, followers = CLUSTER_SIZES[job.seed % len(CLUSTER_SIZES)]
        case = random_scenario(
            job.seed,
            voters,
            followers,
            allocates_quotas=job.seed % 2 == 1,
            publishes_limits=job.seed % 4 == 0,
        )
        cluster = SimulatedCluster(case).run()
        longest_ms = cluster.longest_contradiction // TICKS_PER_MS
        return Result(*job, longest_ms, "; ".join(cluster.violations))
    fleet = MaintenanceFleet(draw_case(job.seed)).run()
    members = (process.member for process in fleet.processes.values() if process.member)
    state = max(members, key=lambda member: member.last_applied).documents.replicated.maintenance
    return Result(
        *job,
        longest_ms=fleet.longest_contradiction // TICKS_PER_MS,
        broken="; ".join(fleet.violations),
        done=sum(map(len, state.completed.values())),
        left=sum(fleet.machines_left),
        steps=str(len(state.transitions)),
    )


def summarize(kind: str, results: Sequence[Result]) -> list[str]:
    """Lines that say what came of the cases of a kind."""
    own = [result for result in results if result.kind == kind]
    broken = [result for result in own if result.broken]
    longest_ms = max((result.longest_ms for result in own), default=0)
    text = (
        f"{kind}: {len(own)} schedules, {len(broken)} broken, longest contradiction {longest_ms} ms of 2000"
    )
    if kind == MAINTENANCE:
        done = sum(result.done for result in own)
        left = sum(result.left for result in own)
        text += f"; {done} machines done, {left} left with the reason told"
    return [text, *(f"  seed {result.seed}: {result.broken}" for result in broken[:MAX_SHOWN])]


@click.command()
@click.option("--agreement", default=1000, show_default=True)
@click.option("--works", default=1000, show_default=True)
@click.option("--first", default=0, show_default=True)
@click.option("--workers", default=6, show_default=True)
@click.option("--within", default=3600.0, show_default=True, help="Seconds; what is not begun is left out.")
def main(agreement: int, works: int, first: int, workers: int, within: float) -> None:
    """Play cases, write their table, and print what came of them."""
    jobs = [
        Job(kind, first + number)
        for number in range(max(agreement, works))
        for kind, count in ((AGREEMENT, agreement), (MAINTENANCE, works))
        if number < count
    ]
    end = time.monotonic() + within
    results: list[Result] = []
    batch = CASES_PER_WORKER * workers
    with ProcessPoolExecutor(workers) as pool:
        for begin in range(0, len(jobs), batch):
            if time.monotonic() > end:
                break
            results += pool.map(play, jobs[begin : begin + batch])
    with (HERE / "schedules.csv").open("w", newline="") as out:
        table = csv.writer(out, lineterminator="\n")
        table.writerow(["kind", "seed", "longest_ms", "broken", "done", "left", "steps"])
        table.writerows(results)
    lines = [line for kind in (AGREEMENT, MAINTENANCE) for line in summarize(kind, results)]
    (HERE / "schedules.txt").write_text("\n".join(lines) + "\n")
    click.echo("\n".join(lines))


if __name__ == "__main__":
    main()
