"""The command line."""

import asyncio
import sys
from functools import partial
from pathlib import Path
from typing import BinaryIO, TextIO

import click

from crankfold import __version__
from crankfold.config.parser import flatten_settings, read_routing_config, read_service_config
from crankfold.errors import ConfigError
from crankfold.network.log_handler import configure_logging
from crankfold.network.signals import catch_reload_signal
from crankfold.service.application import Application
from crankfold.service.config_file import parse_address, read_config

_config = click.option(
    "--config",
    envvar="GW_CONFIG",
    default="",
    show_envvar=True,
    help="The dispatcher's configuration, a JSON file.",
)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """crankfold pushes work units to runners."""


@main.command()
@_config
@click.option("--listen", envvar="GW_LISTEN", show_envvar=True, help="HOST:PORT, not the file's.")
@click.option("--discovery", envvar="GW_DISCOVERY", show_envvar=True, help="HOST:PORT, not the file's.")
@click.option("--admin", envvar="GW_ADMIN_ADDR", show_envvar=True, help="HOST:PORT for operators' calls.")
@click.option(
    "--hand-over",
    envvar="TMPDIR",
    show_envvar=True,
    default="",
    help="Folder by which a process that replaces this one finds it; only with --admin.",
)
def serve(config: str, listen: str | None, discovery: str | None, admin: str | None, hand_over: str) -> None:
    """Serve until SIGTERM or SIGINT, then drain.

    SIGHUP reads the file again, all of it or nothing: grades, bounds, limits and the address of discovery
    count from then on, whatever was given here, and what else differs waits for a restart. SIGUSR1 prints the
    counters.
    """
    catch_reload_signal()
    configure_logging()

    async def whole() -> None:
        given = read_config(config)
        if listen:
            given["listen"] = listen
        if discovery:
            given["discovery"] = discovery
        if admin:
            given["admin_addr"] = admin
        await Application(given, partial(read_config, config), hand_over).run()

    try:
        asyncio.run(whole())
    except ConfigError as wrong:
        print(f"crankfold: {wrong}", file=sys.stderr)
        sys.exit(1)


@main.command()
@_config
def check(config: str) -> None:
    """Read a configuration and print what follows from it, without serving."""
    from crankfold.config import schema  # not for `serve`, which starts without it

    try:
        given = read_config(config)
        schema.validate(given)
        settings = flatten_settings(given["settings"])
        orders, rules = read_routing_config(settings), read_service_config(settings)
        parse_address(given["listen"], "listen")
        parse_address(given["discovery"], "discovery")
    except (ConfigError, ValueError) as wrong:
        print(f"crankfold: {wrong}", file=sys.stderr)
        sys.exit(1)
    for name, grade in zip(rules.request_classes.names, orders.request_classes, strict=True):
        click.echo(
            f"grade {name}: {grade.idempotency.name.lower()}, expected in {grade.latency_objective / 10} ms, "
            f"cut off after {grade.deadline / 10} ms, revenue {grade.priority_weight}"
        )
    click.echo(
        f"zones: {', '.join(rules.zones.names) or 'none'}; reports: "
        f"{', '.join(orders.report_fields) or 'none'}; dispatches a unit: {orders.max_attempts}"
    )


@main.command()
@click.option("--dispatchers", default=40, show_default=True, type=click.IntRange(1, 2000))
@click.option("--runners", default=60, show_default=True, type=click.IntRange(1, 2000))
@click.option("--load", default=0.6, show_default=True, type=click.FloatRange(0.01, 3), help="Of all slots.")
@click.option(
    "--work",
    default=0.35,
    show_default=True,
    type=click.FloatRange(0.001, 60),
    help="Mean running time, seconds.",
)
@click.option(
    "--report-every", default=1.0, show_default=True, type=click.FloatRange(0.01, 60), help="Seconds."
)
@click.option("--seconds", default=10, show_default=True, type=click.IntRange(1, 3600))
@click.option("--seeds", default=10, show_default=True, type=click.IntRange(2, 1000))
@click.option("--policy", "policies", multiple=True, help="Against crankfold; again for more; all if none.")
@click.option("--csv", "table", type=click.File("w", lazy=False), help="Where a row for each day goes.")
def emulate(
    dispatchers: int,
    runners: int,
    load: float,
    work: float,
    report_every: float,
    seconds: int,
    seeds: int,
    policies: tuple[str, ...],
    table: TextIO | None,
) -> None:
    """Play emulated days and compare policies on the same seeds.

    A unit counts if it is done in time: within 80 ms and twice its running time.
    """
    from crankfold.simulation import comparison  # not for `serve`, which starts without it
    from crankfold.simulation.fleet import Scenario

    chosen = policies or tuple(name for name in comparison.POLICIES if name != comparison.PRODUCT)
    unknown = [name for name in chosen if name not in comparison.POLICIES]
    if unknown:
        raise click.UsageError(f"no policy {unknown[0]!r}; there are {', '.join(comparison.POLICIES)}")
    scenario = Scenario(
        dispatcher_count=dispatchers,
        backend_count=runners,
        mean_service_time=int(work * 10_000),
        seconds=seconds,
        arrival_rate=load * runners * 4 / work / dispatchers,
        report_interval=int(report_every * 10_000),
    )
    rows = [
        comparison.simulate_day(name, scenario, comparison.DEFAULT_CONFIG, seed)
        for seed in range(1, seeds + 1)
        for name in dict.fromkeys((comparison.PRODUCT, *chosen))
    ]
    if table:
        comparison.write_table(rows, table)
    shares = {
        name: [row.on_time_share for row in rows if row.policy == name]
        for name in (comparison.PRODUCT, *chosen)
    }
    ours = shares[comparison.PRODUCT]
    click.echo(f"{comparison.PRODUCT}: {sum(ours) / seeds:.3f} in time, over {seeds} seeds")
    for name in chosen:
        mean, low, high = comparison.confidence_interval(ours, shares[name])
        click.echo(
            f"{name}: {sum(shares[name]) / seeds:.3f} in time; {comparison.PRODUCT} {mean:+.3f} "
            f"({low:+.3f} to {high:+.3f}): {comparison.verdict(low, high)}"
        )
    broken = sum(row.violation_count for row in rows if row.policy == comparison.PRODUCT)
    click.echo(f"rules broken by {comparison.PRODUCT}: {broken}")


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--out",
    default="benchmarks",
    show_default=True,
    type=click.Path(path_type=Path),
    help="Folder for the table, the summary and the chart.",
)
@click.option("--workers", default=1, show_default=True, type=click.IntRange(1, 64), help="Processes.")
@click.option("--no-chart", is_flag=True, help="Charts want matplotlib, which the extra `charts` brings.")
def experiment(file: Path, out: Path, workers: int, no_chart: bool) -> None:
    """Play the experiment that FILE describes (docs/emulator.md), and keep what came of it."""
    from crankfold.simulation import experiment as plan  # not for `serve`, which starts without it

    try:
        described, scenarios = plan.load_plan(file)
        out.mkdir(parents=True, exist_ok=True)
        with (out / f"{described.name}.csv").open("a"):
            pass  # a folder that can't be written to is known before an hour of play
    except (plan.PlanError, OSError) as wrong:
        raise click.UsageError(str(wrong)) from None
    rows = plan.run_experiment(described, scenarios, workers)
    try:
        plan.write_table(rows, out / f"{described.name}.csv")
        lines = plan.summarize(described, rows)
        (out / f"{described.name}.txt").write_text("\n".join(lines) + "\n")
        if not no_chart:
            plan.write_chart(described, rows, out / f"{described.name}.svg")
    except ImportError:
        click.echo("no chart: matplotlib is not installed", err=True)
    except OSError as wrong:
        raise click.UsageError(str(wrong)) from None
    for line in lines:
        click.echo(line)


_door = click.option(
    "--door",
    envvar="GW_ADMIN_ADDR",
    show_envvar=True,
    required=True,
    help="HOST:PORT of a dispatcher's door for operators.",
)
_json = click.option("--json", "as_json", is_flag=True, help="JSON in place of text.")
_doc = click.option(
    "--doc",
    default="settings",
    show_default=True,
    type=click.Choice(["settings", "runners-out", "runners-never", "limits", "deal", "works"]),
)


@main.group(invoke_without_command=True)
@_door
@_json
@click.pass_context
def fleet(context: click.Context, door: str, as_json: bool) -> None:
    """Members, versions, leader, who is behind and who is cut off, as one dispatcher sees them.

    Exit: 0 if that dispatcher acts on what is agreed, 3 if not, or if it can't be reached.
    """
    from crankfold.cli import cluster  # not for `serve`

    if context.invoked_subcommand is None:
        sys.exit(cluster.show_cluster(door, as_json))
    context.obj = door


@fleet.command("voters")
@click.option("--add", default="", metavar="NAME=HOST:PORT")
@click.option("--remove", default="", metavar="NAME")
@click.pass_obj
def fleet_voters(door: str, add: str, remove: str) -> None:
    """Add a voter or take one out, one at a time. Exit: 0 done, 1 turned down, 3 nobody there."""
    from crankfold.cli import cluster

    if bool(add) == bool(remove) or add and "=" not in add:
        raise click.UsageError("one of --add NAME=HOST:PORT and --remove NAME")
    sys.exit(cluster.change_voters(door, add, remove))


@main.group()
def settings() -> None:
    """What all dispatchers agree on, with its versions.

    Exit: 0 done; 1 turned down; 2 unusable call; 3 no outcome or nobody there; 4 published, but not all
    act on it yet.
    """


@settings.command("show")
@_door
@_json
@_doc
@click.option("--version", "number", type=int, default=0, help="An earlier one; the newest if not given.")
@click.option(
    "--at-least",
    "least",
    type=int,
    default=0,
    help="Not older than this one, of which you have been told elsewhere; waits for it.",
)
def settings_show(door: str, as_json: bool, doc: str, number: int, least: int) -> None:
    """A version's text, as JSON that can be published again."""
    from crankfold.cli import cluster

    sys.exit(cluster.show_version(door, doc, number, least, as_json))


@settings.command("history")
@_door
@_json
@_doc
def settings_history(door: str, as_json: bool, doc: str) -> None:
    """Who published what, when and why."""
    from crankfold.cli import cluster

    sys.exit(cluster.show_history(door, doc, as_json))


@settings.command("diff")
@_door
@_doc
@click.argument("one", type=int)
@click.argument("other", type=int)
def settings_diff(door: str, doc: str, one: int, other: int) -> None:
    """What is different between two versions."""
    from crankfold.cli import cluster

    sys.exit(cluster.show_difference(door, doc, one, other))


@settings.command("publish")
@_door
@_json
@_doc
@click.argument("file", type=click.File("rb"))
@click.option("--from", "made_from", type=int, required=True, help="The version that it was made from.")
@click.option("--reason", required=True)
@click.option("--author", envvar="USER", default="", show_envvar=True)
@click.option("--wait", type=click.FloatRange(0, 60), default=0.0, help="Seconds, until all act on it.")
@click.option("--call", default="", help="The same call again has one effect; drawn if not given.")
def settings_publish(
    door: str,
    as_json: bool,
    doc: str,
    file: BinaryIO,
    made_from: int,
    reason: str,
    author: str,
    wait: float,
    call: str,
) -> None:
    """Publish FILE as a new version."""
    from crankfold.cli import cluster

    sys.exit(cluster.publish(door, doc, file.read(), made_from, reason, author, wait, call, as_json))


@settings.command("back")
@_door
@_json
@_doc
@click.argument("number", type=int)
@click.option("--reason", required=True)
@click.option("--author", envvar="USER", default="", show_envvar=True)
@click.option("--wait", type=click.FloatRange(0, 60), default=0.0, help="Seconds, until all act on it.")
def settings_back(
    door: str, as_json: bool, doc: str, number: int, reason: str, author: str, wait: float
) -> None:
    """Publish an earlier version again, as a new one."""
    from crankfold.cli import cluster

    sys.exit(cluster.republish(door, doc, number, reason, author, wait, as_json))


_reason = click.option("--reason", default="", help="For the history.")
_author = click.option("--author", envvar="USER", default="", show_envvar=True)


@main.group()
def works() -> None:
    """Machines taken out for work, in an order that the dispatchers settle (docs/works.md).

    Exit: 0 done; 1 turned down; 2 unusable call; 3 no outcome or nobody there.
    """


@works.command("plan")
@_door
@_json
@click.argument("file", type=click.File("rb"))
def works_plan(door: str, as_json: bool, file: BinaryIO) -> None:
    """The order in which the work of FILE would come about, and why machines wait. Changes nothing."""
    from crankfold.cli import maintenance

    sys.exit(maintenance.show_forecast(door, file.read(), as_json))


@works.command("start")
@_door
@_json
@click.argument("file", type=click.File("rb"))
@_reason
@_author
def works_start(door: str, as_json: bool, file: BinaryIO, reason: str, author: str) -> None:
    """Hand in the work of FILE."""
    from crankfold.cli import maintenance

    sys.exit(maintenance.start_job(door, file.read(), reason, author, as_json))


@works.command("list")
@_door
@_json
def works_list(door: str, as_json: bool) -> None:
    """All works and how far they are."""
    from crankfold.cli import maintenance

    sys.exit(maintenance.list_jobs(door, as_json))


@works.command("show")
@_door
@_json
@click.argument("name")
def works_show(door: str, as_json: bool, name: str) -> None:
    """Each machine of a work, and what is waited for."""
    from crankfold.cli import maintenance

    sys.exit(maintenance.show_job(door, name, as_json))


@works.command("history")
@_door
@_json
@click.argument("machine")
def works_history(door: str, as_json: bool, machine: str) -> None:
    """When a machine was out, for which work, who took each step and how long it lasted."""
    from crankfold.cli import maintenance

    sys.exit(maintenance.show_machine_history(door, machine, as_json))


def _turn(state: str, told: str) -> None:
    @works.command(state, help=told)
    @_door
    @_json
    @click.argument("name")
    @_reason
    @_author
    def turn(door: str, as_json: bool, name: str, reason: str, author: str) -> None:
        from crankfold.cli import maintenance

        sys.exit(maintenance.set_job_state(door, name, state, reason, author, as_json))


_turn("hold", "No further machine of the work goes out; those that are out are finished.")
_turn("go", "The work goes on, also where it had stopped by itself.")
_turn("stop", "As hold, and machines on which nothing was begun come back.")


@works.command("forget")
@_door
@_json
@click.argument("name")
@_reason
@_author
def works_forget(door: str, as_json: bool, name: str, reason: str, author: str) -> None:
    """Take the work out of the list, with what was done for it."""
    from crankfold.cli import maintenance

    sys.exit(maintenance.forget_job(door, name, reason, author, as_json))


def _step(what: str, told: str) -> None:
    @works.command(what, help=told)
    @_door
    @_json
    @click.argument("machine")
    @click.option("--number", default=0, help="Under which the machine was called free; else refused.")
    @click.option("--why", default="", help="For the machine's history.")
    @_author
    @click.option("--call", default="", help="The same call again has one effect; drawn if not given.")
    def step(door: str, as_json: bool, machine: str, number: int, why: str, author: str, call: str) -> None:
        from crankfold.cli import maintenance

        sys.exit(maintenance.report_step(door, what, machine, number, why, author, call, as_json))


_step("begin", "Work on a machine that is free begins: from now on it is not brought back by others.")
_step("done", "Work on a machine is done: it comes back, and is watched.")
_step("unwell", "A machine that is back is not well, or could not be worked on: out with it.")
_step("back", "A machine comes back though nothing was done.")
_step(
    "here",
    "A machine comes back at this dispatcher alone, which is cut off. Nobody can say then that "
    "nothing is done there.",
)


@main.command()
@click.argument("plan", type=click.Path(path_type=Path))
@click.option("--seed", type=int, default=0, help="Of the faults; the plan's if not given.")
@click.option("--keep", type=click.Path(path_type=Path), help="Folder in which records and logs stay.")
def trial(plan: Path, seed: int, keep: Path | None) -> None:
    """Start the processes of PLAN, put its faults between them, and check its promises (docs/trial.md).

    Exit: 0 if every promise held, 1 with the first that did not, 2 for a plan that can't be used.
    """
    from crankfold.fault_injection import harness

    sys.exit(harness.run_command(plan, seed, keep))


@main.command("version")
def show_version() -> None:
    """Print the version."""
    click.echo(f"crankfold {__version__}")
