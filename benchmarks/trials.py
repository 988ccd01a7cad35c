"""Trials of real processes with faults drawn by their seeds: how long two acted on rules that differ.

    python benchmarks/trials.py --trials 200 --workers 8
    python benchmarks/trials.py --trials 200 --workers 12 --works

Writes benchmarks/trials.csv, one row a trial, and prints what came of them; with `--works` of machines taken
out for work, to works-trials.csv. A seed makes its trial again.
"""

import csv
import os
import subprocess
import sys
import tempfile
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from random import Random

import click

from crankfold.fault_injection.plan import PROMISES

HERE = Path(__file__).parent
SECONDS = 12.0


def drawn(seed: int) -> str:
    luck = Random(f"trial {seed}")
    voters, followers = luck.choice(((3, 2), (3, 2), (3, 3), (5, 1)))
    names = [f"n{n}" for n in range(voters + followers)]
    lines = [
        f'name = "drawn-{seed}"',
        f"seconds = {SECONDS}",
        f"seed = {seed}",
        f"voters = {voters}",
        f"followers = {followers}",
        f"promises = {list(PROMISES)}",
        "load = 30.0",
        "[publish]",
        f"every = {luck.choice((0.15, 0.3, 0.6))}",
        f"until = {SECONDS - 3}",
        f"at-once = {luck.choice((1, 1, 2))}",
        "repeat = 0.2",
    ]
    busy: dict[str, float] = {}
    for _ in range(luck.randrange(2, 7)):
        kind = luck.choice(
            (
                "loss",
                "cut",
                "cut",
                "delay",
                "double",
                "reset",
                "slow",
                "kill",
                "kill",
                "pause",
                "pause",
                "disk",
            )
        )
        begin = round(luck.uniform(0.5, SECONDS - 4), 2)
        end = round(min(begin + luck.choice((0.1, 0.6, 1.7, 3.0)), SECONDS - 3), 2)
        at, to = luck.choice([*names, "leader"]), luck.choice([*names, "*"])
        fault = [f'kind = "{kind}"', f"begin = {begin}", f"end = {end}"]
        if kind in ("kill", "pause", "disk"):
            # One that is dead can't be stopped, and who leads may be any of them.
            if kind == "disk" and at not in (*names[:voters], "leader") or busy.get("any", 0) > begin:
                continue
            busy["any"] = end + 0.5
            fault.append(f'at = "{at}"')
        else:
            fault += [f'at = "{at}"', f'to = "{to}"', f"both = {str(luck.random() < 0.5).lower()}"]
            if kind in ("loss", "double"):
                fault.append(f"share = {luck.choice((0.05, 0.3, 0.6))}")
            fault += [f"ms = {luck.choice((20.0, 200.0, 700.0))}"] if kind == "delay" else []
        lines += ["", "[[fault]]", *fault]
    return "\n".join(lines) + "\n"


def of_works(seed: int) -> str:
    """Works on machines, with faults at dispatchers, links, lists and machines."""
    luck = Random(f"works {seed}")
    voters, followers = luck.choice(((3, 2), (3, 2), (5, 1)))
    names, seconds = [f"n{n}" for n in range(voters + followers)], 16.0
    documents = luck.choice((["settings"], ["settings", "runners-out"]))
    lines = [
        f'name = "works-{seed}"',
        f"seconds = {seconds}",
        f"seed = {seed}",
        f"voters = {voters}",
        f"followers = {followers}",
        f"promises = {list(PROMISES)}",
        "load = 30.0",
        "runners = 6",
        "zones = 3",
        "fails = 0.0",
        "long = 0.01",
        "warm-after = 1.0",
        "settle = 30.0",
        "[publish]",
        "every = 1.5",
        f"until = {seconds - 4}",
        f"documents = {documents}",
    ]
    for name in ("disks", "cables")[: luck.choice((1, 1, 2))]:
        way = luck.choice(
            ('way = "hand"', 'way = "list"', 'way = "command"', 'way = "command", again = true')
        )
        zones = luck.sample(["z0", "z1", "z2"], luck.choice((2, 3)))
        lines += [
            "[[work]]",
            f'name = "{name}"',
            f"begin = {luck.choice((0.5, 3.0))}",
            f"lasts = {luck.choice((0.3, 1.5))}",
            f"work = {{ {way}, at-once = {luck.choice((1, 2, 3))}, a-zone = {luck.choice((0, 1))}, "
            f"stays = {luck.choice((0.0, 0.5))}, takes = 8.0, watch = 0.5, least-answers = 0, "
            f'zones = {zones}, not-back = "{luck.choice(("hold", "go-on"))}" }}',
        ]
    busy = 0.0
    for _ in range(luck.randrange(1, 5)):
        kind = luck.choice(
            (
                "cut",
                "cut",
                "loss",
                "delay",
                "kill",
                "kill",
                "pause",
                "pause",
                "lose",
                "list-late",
                "list-down",
            )
        )
        begin = round(luck.uniform(1, seconds - 6), 2)
        end = round(min(begin + luck.choice((0.6, 1.7, 3.0)), seconds - 4), 2)
        fault = ["", "[[fault]]", f'kind = "{kind}"', f"begin = {begin}", f"end = {end}"]
        if kind in ("kill", "pause"):
            if busy > begin:
                continue
            busy = end + 0.5
        where = f"r{luck.randrange(6)}" if kind == "lose" else luck.choice([*names, "leader"])
        fault.append(f'at = "{where}"')
        fault += {
            "cut": [f"both = {str(luck.random() < 0.5).lower()}"],
            "loss": ["share = 0.3"],
            "delay": ["ms = 300.0"],
            "list-late": ["ms = 1200.0"],
        }.get(kind, [])
        lines += fault
    return "\n".join(lines) + "\n"


def one(seed: int, draw: Callable[[int], str] = drawn) -> tuple[int, int, float, str]:
    """Seed, exit, longest contradiction in ms, what was broken."""
    with tempfile.TemporaryDirectory() as folder:
        plan = Path(folder) / "plan.toml"
        plan.write_text(draw(seed))
        command = [sys.executable, "-m", "crankfold", "trial", str(plan), "--keep", f"{folder}/kept"]
        done = subprocess.run(command, capture_output=True, text=True, cwd=HERE.parent, timeout=300)
    longest, broken = -1.0, []
    for line in done.stdout.splitlines():
        words = line.split()
        if words[:2] == ["held", "bound"]:
            longest = float(words[3])
        if words and words[0] == "BROKEN":
            broken.append(" ".join(words[1:]))
    if done.returncode == 2:
        broken.append(done.stderr.strip()[-400:])
    return seed, done.returncode, longest, "; ".join(broken)


@click.command()
@click.option("--trials", default=200, show_default=True)
@click.option("--first", default=1, show_default=True, help="Seed of the first.")
@click.option("--workers", default=max((os.cpu_count() or 2) - 1, 1), show_default=True)
@click.option("--show", type=int, help="Print the plan of a seed instead.")
@click.option("--works", is_flag=True, help="Machines taken out for work.")
def main(trials: int, first: int, workers: int, show: int | None, works: bool) -> None:
    draw, name = (of_works, "works-trials") if works else (drawn, "trials")
    if show is not None:
        click.echo(draw(show), nl=False)
        return
    rows = []
    with ThreadPoolExecutor(workers) as pool:
        for row in pool.map(partial(one, draw=draw), range(first, first + trials)):
            rows.append(row)
            if row[1]:
                click.echo(f"seed {row[0]}: exit {row[1]}: {row[3]}")
    with (HERE / f"{name}.csv").open("w", newline="") as out:
        table = csv.writer(out, lineterminator="\n")
        table.writerow(["seed", "exit", "longest_ms", "broken"])
        table.writerows(rows)
    held = [row for row in rows if row[1] == 0]
    spans = sorted(row[2] for row in held)
    text = (
        f"{len(rows)} trials, {len(held)} with every promise held; longest contradiction, ms of 2000: "
        f"median {spans[len(spans) // 2]:.0f}, 99th percentile {spans[len(spans) * 99 // 100]:.0f}, "
        f"longest {spans[-1]:.0f} ms"
    )
    (HERE / f"{name}.txt").write_text(text + "\n")
    click.echo(text)
    if works:
        return
    import matplotlib
    from matplotlib import pyplot

    matplotlib.rcParams["svg.hashsalt"] = "trials"
    figure, axes = pyplot.subplots(figsize=(7, 3.5))
    axes.hist(spans, bins=[10 * n for n in range(0, 211, 5)])
    axes.axvline(2000, color="red")
    axes.set_xlabel("longest time on rules that differ, ms (red: stated)")
    axes.set_ylabel("trials")
    figure.tight_layout()
    figure.savefig(HERE / "trials.svg", metadata={"Date": None})


if __name__ == "__main__":
    main()
