"""Runs simulated cases with random message loss, partitions, pauses, crashes and slow disks.

    python -m benchmarks.schedules --agreement 1000 --works 1000 --workers 6

Writes benchmarks/schedules.csv, with one row for each case, and schedules.txt. The same seed gives the same
case.
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
CASES_PER_WORKER_PER_BATCH = 20  # the time limit is checked between batches
MAX_BROKEN_SHOWN = 10


class CaseKey(NamedTuple):
    """The kind and the seed of a case."""

    kind: str
    seed: int


class CaseResult(NamedTuple):
    """The result of a case.

    Attributes:
        longest_ms: Longest time during which two members acted on versions that differ.
        broken: Violated invariants, empty if all hold.
        done: Number of machines whose maintenance is done; maintenance cases only.
        left: Number of machines not done at the end of the case; maintenance cases only.
        steps: Number of maintenance transitions; maintenance cases only.
    """

    kind: str
    seed: int
    longest_ms: int
    broken: str
    done: int = 0
    left: int = 0
    steps: str = ""


def run_case(case_key: CaseKey) -> CaseResult:
    """Runs one case."""
    if case_key.kind == AGREEMENT:
        voters, followers = CLUSTER_SIZES[case_key.seed % len(CLUSTER_SIZES)]
        case = random_scenario(
            case_key.seed,
            voters,
            followers,
            allocates_quotas=case_key.seed % 2 == 1,
            publishes_limits=case_key.seed % 4 == 0,
        )
        cluster = SimulatedCluster(case).run()
        longest_ms = cluster.longest_contradiction // TICKS_PER_MS
        return CaseResult(*case_key, longest_ms, "; ".join(cluster.violations))
    fleet = MaintenanceFleet(draw_case(case_key.seed)).run()
    members = (process.member for process in fleet.processes.values() if process.member)
    state = max(members, key=lambda member: member.last_applied).documents.replicated.maintenance
    return CaseResult(
        *case_key,
        longest_ms=fleet.longest_contradiction // TICKS_PER_MS,
        broken="; ".join(fleet.violations),
        done=sum(map(len, state.completed.values())),
        left=sum(fleet.machines_left),
        steps=str(len(state.transitions)),
    )


def summarize(kind: str, results: Sequence[CaseResult]) -> list[str]:
    """Returns lines that summarize the cases of a kind."""
    cases = [result for result in results if result.kind == kind]
    broken = [result for result in cases if result.broken]
    longest_ms = max((result.longest_ms for result in cases), default=0)
    text = (
        f"{kind}: {len(cases)} schedules, {len(broken)} broken, longest contradiction {longest_ms} ms of 2000"
    )
    if kind == MAINTENANCE:
        done = sum(result.done for result in cases)
        left = sum(result.left for result in cases)
        text += f"; {done} machines done, {left} left with the reason told"
    return [text, *(f"  seed {result.seed}: {result.broken}" for result in broken[:MAX_BROKEN_SHOWN])]


@click.command()
@click.option("--agreement", default=1000, show_default=True)
@click.option("--works", default=1000, show_default=True)
@click.option("--first", default=0, show_default=True)
@click.option("--workers", default=6, show_default=True)
@click.option("--within", default=3600.0, show_default=True, help="Seconds; no batch starts later.")
def main(agreement: int, works: int, first: int, workers: int, within: float) -> None:
    """Run simulated cases, write a table of their results and print a summary."""
    keys = [
        CaseKey(kind, first + number)
        for number in range(max(agreement, works))
        for kind, count in ((AGREEMENT, agreement), (MAINTENANCE, works))
        if number < count
    ]
    end = time.monotonic() + within
    results: list[CaseResult] = []
    batch_size = CASES_PER_WORKER_PER_BATCH * workers
    with ProcessPoolExecutor(workers) as pool:
        for begin in range(0, len(keys), batch_size):
            if time.monotonic() > end:
                break
            results += pool.map(run_case, keys[begin : begin + batch_size])
    with (HERE / "schedules.csv").open("w", newline="") as out:
        table = csv.writer(out, lineterminator="\n")
        table.writerow(["kind", "seed", "longest_ms", "broken", "done", "left", "steps"])
        table.writerows(results)
    lines = [line for kind in (AGREEMENT, MAINTENANCE) for line in summarize(kind, results)]
    (HERE / "schedules.txt").write_text("\n".join(lines) + "\n")
    click.echo("\n".join(lines))


if __name__ == "__main__":
    main()
