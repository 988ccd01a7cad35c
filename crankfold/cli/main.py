"""The entry point of the command line, and `serve`.

Other commands are imported on their first use, so that `serve` starts without them.
"""

import asyncio
import sys
from functools import partial
from importlib import import_module

import click

from crankfold import __version__
from crankfold.cli.options import config_option
from crankfold.errors import ConfigError
from crankfold.network.log_handler import configure_logging
from crankfold.network.signals import catch_early_signals
from crankfold.service.application import Application
from crankfold.service.config_file import read_config

# For each command, its module below `crankfold.cli` and its name there.
LAZY_COMMANDS = {
    "check": ("check", "check"),
    "emulate": ("simulation", "emulate"),
    "experiment": ("simulation", "run_experiment"),
    "fleet": ("fleet", "fleet"),
    "maintenance": ("maintenance", "maintenance"),
    "settings": ("settings", "settings"),
    "trial": ("trial", "trial"),
    "works": ("maintenance", "maintenance"),
}
FORMER_NAMES = frozenset({"works"})  # still accepted, but not listed in the help text


class LazyGroup(click.Group):
    """A group that also has the commands of `LAZY_COMMANDS`, each imported on its first use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names that the help text lists."""
        return sorted({*super().list_commands(ctx), *LAZY_COMMANDS} - FORMER_NAMES)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Returns the command of that name; None if there is none."""
        if cmd_name not in LAZY_COMMANDS:
            return super().get_command(ctx, cmd_name)
        module, attribute = LAZY_COMMANDS[cmd_name]
        command: click.Command = getattr(import_module(f"crankfold.cli.{module}"), attribute)
        return command


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Route requests to backends."""


@main.command()
@config_option
@click.option(
    "--listen", envvar="GW_LISTEN", show_envvar=True, help="HOST:PORT to listen on; overrides the file."
)
@click.option(
    "--discovery",
    envvar="GW_DISCOVERY",
    show_envvar=True,
    help="HOST:PORT of the discovery service; overrides the file.",
)
@click.option("--admin", envvar="GW_ADMIN_ADDR", show_envvar=True, help="HOST:PORT of the admin server.")
@click.option(
    "--hand-over",
    "handover_directory",
    envvar="TMPDIR",
    show_envvar=True,
    default="",
    help="Directory in which a successor finds this process; needs --admin.",
)
def serve(
    config: str, listen: str | None, discovery: str | None, admin: str | None, handover_directory: str
) -> None:
    """Serve until SIGTERM or SIGINT, then drain.

    SIGHUP reloads the file atomically. Request classes, bounds, limits and the address of discovery take
    effect at once and override the options given here; other changes need a restart. SIGUSR1 prints the
    counters.
    """
    catch_early_signals()
    configure_logging()

    async def run() -> None:
        document = read_config(config)
        if listen:
            document["listen"] = listen
        if discovery:
            document["discovery"] = discovery
        if admin:
            document["admin_addr"] = admin
        await Application(document, partial(read_config, config), handover_directory).run()

    try:
        asyncio.run(run())
    except ConfigError as error:
        print(f"crankfold: {error}", file=sys.stderr)
        sys.exit(1)


@main.command("version")
def show_version() -> None:
    """Print the version."""
    click.echo(f"crankfold {__version__}")
