"""`crankfold maintenance`, also called `works`: maintenance jobs on machines and their progress."""

import tomllib
from dataclasses import dataclass
from typing import BinaryIO

import click
import msgspec
from msgspec import Struct, field

from crankfold.cli.admin_client import (
    HTTP_OK,
    CallRejectedError,
    JsonObject,
    call_admin,
    format_json,
)
from crankfold.cli.maintenance_machines import (
    MachineView,
    WaitView,
    add_machine_commands,
    fetch_maintenance,
)
from crankfold.cli.options import admin_option, author_option, json_option, reason_option
from crankfold.cli.settings import Publication, fetch_document, publish
from crankfold.document_names import MAINTENANCE

FORECAST_WAIT_SECONDS = 10.0  # the time that the server may take for a forecast
REPLACED = "gone"  # the outcome for a machine that another one has replaced

file_argument = click.argument("file", type=click.File("rb"))


class DepartureView(Struct):
    """The forecast absence of one machine, in seconds from now."""

    begin: float
    end: float
    machine: str
    zone: str
    waited_for: str = field(name="why")


class ForecastView(Struct):
    """The forecast for a job, assuming that it is submitted now."""

    departures: list[DepartureView] = field(name="turns")
    never: dict[str, str] = field(name="waits")  # the reason, by machine that would never be taken out


class JobView(Struct):
    """The progress of a job."""

    state: str
    halted: str  # why the job halted; empty if it did not
    wanted: int  # the number of machines
    done: dict[str, str]  # the outcome, by machine
    reason: str = field(name="why")


class JobsView(Struct):
    """All jobs, the machines out of service for them, and why machines wait."""

    jobs: dict[str, JobView] = field(name="works")
    machines: dict[str, MachineView]
    waits: list[WaitView]
    leads: bool
    leader: str
    restored_locally: list[str] = field(name="here")


@dataclass(frozen=True, slots=True)
class JobChange:
    """A change of one job.

    Attributes:
        name: The name of the job.
        fields: The changed fields; None to remove the job.
        reason: The reason for the change, recorded in the history.
        author: Who makes the change, recorded in the history.
        is_new: Whether this change submits the job.
    """

    name: str
    fields: JsonObject | None
    reason: str
    author: str
    is_new: bool = False


@click.group()
def maintenance() -> None:
    """Take machines out of service for maintenance, scheduled by the dispatchers (docs/maintenance.md).

    Exit: 0 done; 1 rejected; 2 unusable call; 3 no outcome or no response.
    """


@maintenance.command("plan")
@admin_option
@json_option
@file_argument
def show_forecast(address: str, as_json: bool, file: BinaryIO) -> None:
    """Forecast when the machines of the job in FILE would be taken out, and why they wait; change nothing."""
    name, job = parse_job_file(file.read())
    content = _fetch_forecast(address, name, job)
    if as_json:
        click.echo(format_json(content))
        return
    for line in _describe_forecast(msgspec.convert(content, ForecastView)):
        click.echo(line)


def _fetch_forecast(address: str, name: str, job: JsonObject) -> JsonObject:
    response = call_admin(
        address, "agreed/plan", {"name": name, "work": job}, wait_seconds=FORECAST_WAIT_SECONDS
    )
    if response.status != HTTP_OK:
        raise CallRejectedError(f"rejected: {response.content['text']}")
    return response.content


def _describe_forecast(forecast: ForecastView) -> list[str]:
    lines = []
    for departure in forecast.departures:
        cause = f"  before: {departure.waited_for}" if departure.waited_for else ""
        times = f"{departure.begin:8.0f} s to {departure.end:6.0f} s"
        lines.append(f"{times}  {departure.machine:20} {departure.zone:12}{cause}")
    for machine, reason in sorted(forecast.never.items()):
        lines.append(f"{'never':>8}                {machine:20} {reason}")
    return lines


@maintenance.command("start")
@admin_option
@json_option
@file_argument
@reason_option
@author_option
def start_job(address: str, as_json: bool, file: BinaryIO, reason: str, author: str) -> None:
    """Submit the job in FILE."""
    name, job = parse_job_file(file.read())
    change = JobChange(name, job, reason or job.get("why", ""), author, is_new=True)
    _publish_change(address, change, as_json)


@maintenance.command("list")
@admin_option
@json_option
def list_jobs(address: str, as_json: bool) -> None:
    """List all jobs with their progress."""
    content = fetch_maintenance(address)
    if as_json:
        shown = ("works", "machines", "waits", "leads", "leader")
        click.echo(format_json({name: content[name] for name in shown}))
        return
    view = msgspec.convert(content, JobsView)
    for name, job in sorted(view.jobs.items()):
        outcomes = list(job.done.values())
        out = sum(machine.job == name for machine in view.machines.values())
        replaced = f", {outcomes.count(REPLACED)} of them replaced" if REPLACED in outcomes else ""
        halted = f"; {job.halted}" if job.halted else ""
        progress = f"{len(outcomes)} of {job.wanted} machines done, {out} out"
        click.echo(f"{name}: {job.state}, {progress}{replaced}{halted}")


@maintenance.command("show")
@admin_option
@json_option
@click.argument("name")
def show_job(address: str, as_json: bool, name: str) -> None:
    """Show the machines of a job, and why machines wait."""
    content = fetch_maintenance(address)
    job = _require_job(content["works"], name)
    if as_json:
        machines = {
            machine_id: machine
            for machine_id, machine in content["machines"].items()
            if machine["work"] == name
        }
        waits = [wait for wait in content["waits"] if wait["work"] == name]
        click.echo(format_json({**job, "machines": machines, "waits": waits}))
        return
    for line in _describe_job(msgspec.convert(content, JobsView), name):
        click.echo(line)


def _require_job(jobs: dict[str, JsonObject], name: str) -> JsonObject:
    if name not in jobs:
        raise CallRejectedError(f"no job {name!r}; jobs: {', '.join(jobs) or 'none'}")
    return jobs[name]


@maintenance.command("forget")
@admin_option
@json_option
@click.argument("name")
@reason_option
@author_option
def forget_job(address: str, as_json: bool, name: str, reason: str, author: str) -> None:
    """Delete the job and its results."""
    _publish_change(address, JobChange(name, None, reason, author), as_json)


def parse_job_file(text: bytes) -> tuple[str, JsonObject]:
    """Parses a TOML file; returns the name and the fields of the job.

    Raises:
        click.UsageError: The file is not TOML, or has no name.
    """
    try:
        job = tomllib.loads(text.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise click.UsageError(f"invalid TOML: {error}") from None
    name = job.pop("name", "")
    if not isinstance(name, str) or not name:
        raise click.UsageError("name: missing; the name of the job")
    return name, job


def _describe_job(view: JobsView, name: str) -> list[str]:
    job = view.jobs[name]
    halted = f", {job.halted}" if job.halted else ""
    reason = f" ({job.reason})" if job.reason else ""
    lines = [f"{name}: {job.state}{halted}{reason}"]
    for machine_id, machine in sorted(view.machines.items()):
        if machine.job == name:
            number = f", drain number {machine.number}" if machine.number else ""
            cause = f", {machine.reason}" if machine.reason else ""
            local = " (restored at this dispatcher)" if machine_id in view.restored_locally else ""
            lines.append(f"  {machine_id}: {machine.state}{number}{cause}{local}")
    if not view.leads:
        lines.append(f"  wait reasons are known at the leader only, which is {view.leader or 'unknown here'}")
    lines += [
        f"  {wait.machine or 'all others'} waiting: {wait.reason}" for wait in view.waits if wait.job == name
    ]
    lines += [f"  {machine_id}: done, {outcome}" for machine_id, outcome in sorted(job.done.items())]
    return lines


def _publish_change(address: str, change: JobChange, as_json: bool) -> None:
    """Publishes all jobs with the change.

    The publish is rejected if another version was published after the jobs were read.
    """
    view = fetch_document(address, MAINTENANCE)
    newest = view.find(view.newest)
    jobs: dict[str, JsonObject] = newest.content["works"] if newest else {}
    if change.is_new and change.name in jobs:
        raise CallRejectedError(f"rejected: the job {change.name!r} exists already")
    if not change.is_new and change.name not in jobs:
        raise CallRejectedError(f"rejected: no job {change.name!r}; jobs: {', '.join(jobs) or 'none'}")
    if change.fields is None:
        del jobs[change.name]
    else:
        job = {**jobs.get(change.name, {}), **change.fields}
        if not change.is_new:
            # A halted job resumes only if its fields change, so a repeated request has to change one.
            job["called"] = job.get("called", 0) + 1
        jobs[change.name] = job
    publication = Publication(
        document=MAINTENANCE,
        content={"works": jobs},
        made_from=view.newest,
        reason=change.reason,
        author=change.author,
    )
    publish(address, publication, as_json)


def _add_state_command(state: str, description: str) -> None:
    @maintenance.command(state, help=description)
    @admin_option
    @json_option
    @click.argument("name")
    @reason_option
    @author_option
    def set_job_state(address: str, as_json: bool, name: str, reason: str, author: str) -> None:
        _publish_change(address, JobChange(name, {"state": state}, reason, author), as_json)


_add_state_command("hold", "Drain no more machines of the job; finish those that are out.")
_add_state_command("go", "Resume the job, also after it has halted.")
_add_state_command("stop", "Like hold, and return the machines on which no work has begun.")
add_machine_commands(maintenance)
