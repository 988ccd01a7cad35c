"""Runs trials of real processes with random faults and measures how long two acted on versions that differ.

    python benchmarks/trials.py --trials 200 --workers 8
    python benchmarks/trials.py --trials 200 --workers 12 --works

Writes benchmarks/trials.csv, with one row for each trial, and prints a summary; with `--works`, the trials
include maintenance jobs and the table is works-trials.csv. The same seed gives the same plan.
"""

import csv
import os
import subprocess
import sys
import tempfile
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from random import Random
from typing import NamedTuple

import click

from crankfold.fault_injection.plan import PROMISES

HERE = Path(__file__).parent
TRIAL_SECONDS = 12.0
MAINTENANCE_TRIAL_SECONDS = 16.0
FAULTLESS_SECONDS = 3  # at the end of a trial, so that its processes can agree again
MAINTENANCE_FAULTLESS_SECONDS = 4
TRIAL_TIMEOUT_SECONDS = 300
EXIT_PLAN_ERROR = 2
FAULTS = (
    *("loss", "cut", "cut", "delay", "double", "reset", "slow"),
    *("kill", "kill", "pause", "pause", "disk"),
)
MAINTENANCE_FAULTS = (
    *("cut", "cut", "loss", "delay", "kill", "kill", "pause", "pause"),
    *("lose", "list-late", "list-down"),
)
JOB_WAYS = ('way = "hand"', 'way = "list"', 'way = "command"', 'way = "command", again = true')


class TrialResult(NamedTuple):
    """The result of a trial.

    Attributes:
        longest_ms: Longest time during which two processes acted on versions that differ; -1 if that bound
            was broken or not checked.
        broken: The broken promises, or the reason why the plan was rejected.
    """

    seed: int
    exit_code: int
    longest_ms: float
    broken: str


def draw_plan(seed: int) -> str:
    """Returns a plan in TOML with random faults of processes and links.

    The draws stand in one function because later draws depend on earlier ones, and their order fixes the plan
    of a seed.
    """
    rng = Random(f"trial {seed}")
    voters, followers = rng.choice(((3, 2), (3, 2), (3, 3), (5, 1)))
    names = [f"n{number}" for number in range(voters + followers)]
    lines = [
        f'name = "drawn-{seed}"',
        *(f"seconds = {TRIAL_SECONDS}", f"seed = {seed}", f"voters = {voters}", f"followers = {followers}"),
        *(f"promises = {list(PROMISES)}", "load = 30.0"),
        "[publish]",
        f"every = {rng.choice((0.15, 0.3, 0.6))}",
        f"until = {TRIAL_SECONDS - FAULTLESS_SECONDS}",
        f"at-once = {rng.choice((1, 1, 2))}",
        "repeat = 0.2",
    ]
    process_fault_until = 0.0
    for _ in range(rng.randrange(2, 7)):
        kind = rng.choice(FAULTS)
        begin = round(rng.uniform(0.5, TRIAL_SECONDS - 4), 2)
        end = round(min(begin + rng.choice((0.1, 0.6, 1.7, 3.0)), TRIAL_SECONDS - FAULTLESS_SECONDS), 2)
        target = rng.choice([*names, "leader"])
        receiver = rng.choice([*names, "*"])
        fault = ["", "[[fault]]", f'kind = "{kind}"', f"begin = {begin}", f"end = {end}", f'at = "{target}"']
        if kind in ("kill", "pause", "disk"):
            # Faults of processes do not overlap, as a process that is down cannot be stopped again and the
            # leader may be any voter. A full disk affects only voters, as followers store nothing.
            has_disk = target in (*names[:voters], "leader")
            if (kind == "disk" and not has_disk) or process_fault_until > begin:
                continue
            process_fault_until = end + 0.5
        else:
            fault += _draw_link_options(rng, kind, receiver)
        lines += fault
    return "\n".join(lines) + "\n"


def _draw_link_options(rng: Random, kind: str, receiver: str) -> list[str]:
    options = [f'to = "{receiver}"', f"both = {_draw_flag(rng)}"]
    if kind in ("loss", "double"):
        options.append(f"share = {rng.choice((0.05, 0.3, 0.6))}")
    if kind == "delay":
        options.append(f"ms = {rng.choice((20.0, 200.0, 700.0))}")
    return options


def _draw_flag(rng: Random) -> str:
    return str(rng.random() < 0.5).lower()


def draw_maintenance_plan(seed: int) -> str:
    """Returns a plan in TOML with maintenance jobs and faults of processes, links, discovery and machines."""
    rng = Random(f"works {seed}")
    voters, followers = rng.choice(((3, 2), (3, 2), (5, 1)))
    names = [f"n{number}" for number in range(voters + followers)]
    seconds = MAINTENANCE_TRIAL_SECONDS
    documents = rng.choice((["settings"], ["settings", "runners-out"]))
    lines = [
        f'name = "works-{seed}"',
        *(f"seconds = {seconds}", f"seed = {seed}", f"voters = {voters}", f"followers = {followers}"),
        *(f"promises = {list(PROMISES)}", "load = 30.0", "runners = 6", "zones = 3"),
        *("fails = 0.0", "long = 0.01", "warm-after = 1.0", "settle = 30.0"),
        *("[publish]", "every = 1.5", f"until = {seconds - MAINTENANCE_FAULTLESS_SECONDS}"),
        f"documents = {documents}",
    ]
    for name in ("disks", "cables")[: rng.choice((1, 1, 2))]:
        lines += _draw_job(rng, name)
    process_fault_until = 0.0
    for _ in range(rng.randrange(1, 5)):
        kind = rng.choice(MAINTENANCE_FAULTS)
        begin = round(rng.uniform(1, seconds - 6), 2)
        end = round(min(begin + rng.choice((0.6, 1.7, 3.0)), seconds - MAINTENANCE_FAULTLESS_SECONDS), 2)
        if kind in ("kill", "pause"):
            if process_fault_until > begin:
                continue
            process_fault_until = end + 0.5
        lines += ["", "[[fault]]", f'kind = "{kind}"', f"begin = {begin}", f"end = {end}"]
        lines += _draw_maintenance_fault_options(rng, kind, names)
    return "\n".join(lines) + "\n"


def _draw_job(rng: Random, name: str) -> list[str]:
    way = rng.choice(JOB_WAYS)
    zones = rng.sample(["z0", "z1", "z2"], rng.choice((2, 3)))
    return [
        "[[work]]",
        f'name = "{name}"',
        f"begin = {rng.choice((0.5, 3.0))}",
        f"lasts = {rng.choice((0.3, 1.5))}",
        f"work = {{ {way}, at-once = {rng.choice((1, 2, 3))}, a-zone = {rng.choice((0, 1))}, "
        f"stays = {rng.choice((0.0, 0.5))}, takes = 8.0, watch = 0.5, least-answers = 0, "
        f'zones = {zones}, not-back = "{rng.choice(("hold", "go-on"))}" }}',
    ]


def _draw_maintenance_fault_options(rng: Random, kind: str, names: Sequence[str]) -> list[str]:
    target = f"r{rng.randrange(6)}" if kind == "lose" else rng.choice([*names, "leader"])
    both_ways = _draw_flag(rng)  # drawn for every kind, so that the plan of a seed does not depend on it
    options = {
        "cut": [f"both = {both_ways}"],
        "loss": ["share = 0.3"],
        "delay": ["ms = 300.0"],
        "list-late": ["ms = 1200.0"],
    }
    return [f'at = "{target}"', *options.get(kind, [])]


def run_trial(seed: int, draw: Callable[[int], str] = draw_plan) -> TrialResult:
    """Runs the trial of a seed.

    Args:
        seed: The same seed gives the same plan.
        draw: Returns the plan of a seed in TOML.
    """
    with tempfile.TemporaryDirectory() as folder:
        plan = Path(folder) / "plan.toml"
        plan.write_text(draw(seed))
        command = [sys.executable, "-m", "crankfold", "trial", str(plan), "--keep", f"{folder}/kept"]
        completed = subprocess.run(
            command,
            capture_output=True,
            text=True,
            cwd=HERE.parent,
            timeout=TRIAL_TIMEOUT_SECONDS,
            check=False,
        )
    longest_ms = -1.0
    broken = []
    for line in completed.stdout.splitlines():
        words = line.split()
        if words[:2] == ["held", "bound"]:
            longest_ms = float(words[3])
        if words and words[0] == "BROKEN":
            broken.append(" ".join(words[1:]))
    if completed.returncode == EXIT_PLAN_ERROR:
        broken.append(completed.stderr.strip()[-400:])
    return TrialResult(seed, completed.returncode, longest_ms, "; ".join(broken))


@click.command()
@click.option("--trials", default=200, show_default=True)
@click.option("--first", default=1, show_default=True, help="Seed of the first trial.")
@click.option("--workers", default=max((os.cpu_count() or 2) - 1, 1), show_default=True)
@click.option("--show", type=int, help="Print the plan of this seed and run no trial.")
@click.option("--works", is_flag=True, help="Include maintenance jobs.")
def main(trials: int, first: int, workers: int, show: int | None, works: bool) -> None:
    """Run trials, write a table of their results and print a summary."""
    draw, name = (draw_maintenance_plan, "works-trials") if works else (draw_plan, "trials")
    if show is not None:
        click.echo(draw(show), nl=False)
        return
    results = []
    with ThreadPoolExecutor(workers) as pool:
        for result in pool.map(partial(run_trial, draw=draw), range(first, first + trials)):
            results.append(result)
            if result.exit_code:
                click.echo(f"seed {result.seed}: exit {result.exit_code}: {result.broken}")
    with (HERE / f"{name}.csv").open("w", newline="") as out:
        table = csv.writer(out, lineterminator="\n")
        table.writerow(["seed", "exit", "longest_ms", "broken"])
        table.writerows(results)
    durations = sorted(result.longest_ms for result in results if result.exit_code == 0)
    text = (
        f"{len(results)} trials, {len(durations)} with every promise held; longest contradiction, ms of "
        f"2000: median {durations[len(durations) // 2]:.0f}, "
        f"99th percentile {durations[len(durations) * 99 // 100]:.0f}, longest {durations[-1]:.0f} ms"
    )
    (HERE / f"{name}.txt").write_text(text + "\n")
    click.echo(text)
    if not works:
        draw_chart(durations)


def draw_chart(durations: Sequence[float]) -> None:
    """Draws a histogram of the longest contradictions, in ms, as trials.svg."""
    import matplotlib
    from matplotlib import pyplot

    matplotlib.rcParams["svg.hashsalt"] = "trials"
    figure, axes = pyplot.subplots(figsize=(7, 3.5))
    axes.hist(durations, bins=[10 * step for step in range(0, 211, 5)])
    axes.axvline(2000, color="red")
    axes.set_xlabel("longest time on rules that differ, ms (red: stated)")
    axes.set_ylabel("trials")
    figure.tight_layout()
    figure.savefig(HERE / "trials.svg", metadata={"Date": None})


if __name__ == "__main__":
    main()
