"""`crankfold trial`: runs dispatchers as processes, injects faults, and checks invariants."""

import sys
from pathlib import Path

import click

from crankfold.fault_injection import harness


@click.command()
@click.argument("plan", type=click.Path(path_type=Path))
@click.option("--seed", type=int, default=0, help="Seed of the faults; that of the plan if not given.")
@click.option(
    "--keep", type=click.Path(path_type=Path), help="Folder in which the records and logs are stored."
)
def trial(plan: Path, seed: int, keep: Path | None) -> None:
    """Start the processes of PLAN, inject its faults, and check its invariants (docs/trial.md).

    Exit: 0 if no invariant was violated, 1 if one was, 2 for a plan that can't be used.
    """
    sys.exit(harness.run_command(plan, seed, keep))
