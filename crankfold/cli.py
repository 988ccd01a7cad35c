"""The command line."""

import asyncio
import signal
import sys
from functools import partial

import click

from crankfold import __version__
from crankfold.orders.reader import from_nested, house_rules, standing_orders
from crankfold.service.node import Node, Unusable, address, read

_config = click.option("--config", envvar="GW_CONFIG", default="", show_envvar=True,
                       help="The dispatcher's configuration, a JSON file.")


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """crankfold pushes work units to runners."""


@main.command()
@_config
@click.option("--listen", envvar="GW_LISTEN", show_envvar=True, help="HOST:PORT, not the file's.")
@click.option("--discovery", envvar="GW_DISCOVERY", show_envvar=True, help="HOST:PORT, not the file's.")
def serve(config: str, listen: str | None, discovery: str | None) -> None:
    """Serve until SIGTERM or SIGINT, then drain.

    SIGHUP reads the file again: its address of discovery and its limits count from then on, whatever was
    given here, and what else differs waits for a restart. SIGUSR1 prints the counters.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to renew

    async def whole() -> None:
        given = read(config)
        if listen:
            given["listen"] = listen
        if discovery:
            given["discovery"] = discovery
        await Node(given, partial(read, config)).run()

    try:
        asyncio.run(whole())
    except Unusable as wrong:
        print(f"crankfold: {wrong}", file=sys.stderr)
        sys.exit(1)


@main.command()
@_config
def check(config: str) -> None:
    """Read a configuration and print what follows from it, without serving."""
    try:
        given = read(config)
        settings = from_nested(given["settings"])
        orders, rules = standing_orders(settings), house_rules(settings)
        address(given["listen"], "listen")
        address(given["discovery"], "discovery")
    except (Unusable, ValueError) as wrong:
        print(f"crankfold: {wrong}", file=sys.stderr)
        sys.exit(1)
    for name, grade in zip(rules.grades.names, orders.grades, strict=True):
        click.echo(f"grade {name}: {grade.effect.name.lower()}, expected in {grade.expected / 10} ms, "
                   f"cut off after {grade.cutoff / 10} ms, revenue {grade.revenue}")
    click.echo(f"zones: {', '.join(rules.zones.names) or 'none'}; reports: "
               f"{', '.join(orders.report_names) or 'none'}; dispatches a unit: {orders.most_dispatches}")


@main.command("version")
def show_version() -> None:
    """Print the version."""
    click.echo(f"crankfold {__version__}")
