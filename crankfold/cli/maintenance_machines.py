"""The commands of `crankfold maintenance` on one machine: history, and the steps that operators report."""

import sys
import time
from typing import Any

import click
import msgspec
from msgspec import Struct, field

from crankfold.cli.admin_client import (
    EXIT_REJECTED,
    EXIT_UNREACHABLE,
    HTTP_NO_OUTCOME,
    CallRejectedError,
    JsonObject,
    UnreachableError,
    call_admin,
    format_json,
    new_call_id,
)
from crankfold.cli.options import admin_option, author_option, call_option, json_option
from crankfold.time_units import MILLISECONDS_PER_SECOND

MACHINES_PATH = "agreed/machines"
STEP_WAIT_SECONDS = 10.0  # the time that the server may wait until the step is committed
FINAL_STEPS = ("well", "gone", "undone")  # with these, the maintenance of a machine ends
OPERATOR_STEPS = {
    "begin": "Report that work on a drained machine begins; the machine stays out until a further step.",
    "done": "Report that the work on a machine is done; the machine returns and is watched.",
    "unwell": "Report that a returned machine is unhealthy, or that work was not possible; it is drained.",
    "back": "Return a machine to service without work on it.",
    "here": (
        "Send requests to a machine again from this dispatcher alone, while it is isolated from the "
        "cluster. Work on the machine may be in progress."
    ),
}


class MachineView(Struct):
    """A machine that is out of service for a job."""

    job: str = field(name="work")
    state: str
    number: int  # its drain number; 0 before it is drained
    reason: str = field(name="why")


class WaitView(Struct):
    """Why a machine of a job waits; with an empty `machine`, why the other machines of the job wait."""

    machine: str
    job: str = field(name="work")
    reason: str = field(name="why")


class StepView(Struct):
    """A committed step of a machine."""

    machine_id: str = field(name="uid")
    job: str = field(name="work")
    step: str
    by: str
    index: int  # the index of its log entry
    reason: str = field(name="why")
    time_ms: int = field(name="at")  # since the epoch


def fetch_maintenance(address: str) -> JsonObject:
    """Reads the state of all jobs and machines from the dispatcher at `address`, as JSON.

    Raises:
        UnreachableError: The state can't be read there.
    """
    return call_admin(address, MACHINES_PATH).require_ok()


def add_machine_commands(group: click.Group) -> None:
    """Adds the commands on one machine to the group of maintenance commands."""
    group.add_command(show_machine_history)
    for step, description in OPERATOR_STEPS.items():
        _add_step_command(group, step, description)


@click.command("history")
@admin_option
@json_option
@click.argument("machine")
def show_machine_history(address: str, as_json: bool, machine: str) -> None:
    """Show when a machine was out and for which job, with the author and duration of each step."""
    raw = [step for step in fetch_maintenance(address)["steps"] if step["uid"] == machine]
    if as_json:
        click.echo(format_json(raw))
        return
    for line in _describe_history(machine, msgspec.convert(raw, list[StepView])):
        click.echo(line)


def _describe_history(machine: str, steps: list[StepView]) -> list[str]:
    if not steps:
        raise CallRejectedError(f"{machine} has no stored history")
    lines = []
    previous_ms = 0
    for step in steps:
        time_text = time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(step.time_ms / MILLISECONDS_PER_SECOND))
        elapsed = (step.time_ms - previous_ms) / MILLISECONDS_PER_SECOND
        since = f" after {elapsed:.1f} s" if previous_ms else ""
        previous_ms = 0 if step.step in FINAL_STEPS else step.time_ms
        cause = f": {step.reason}" if step.reason else ""
        lines.append(f"{time_text} {step.step:6} {step.job} by {step.by}, entry {step.index}{since}{cause}")
    return lines


def _add_step_command(group: click.Group, step: str, description: str) -> None:
    @group.command(step, help=description)
    @admin_option
    @json_option
    @click.argument("machine")
    @click.option(
        "--number",
        default=0,
        help="Drain number of the machine; the call is rejected if the machine has another one.",
    )
    @click.option("--why", default="", help="Reason, recorded in the history of the machine.")
    @author_option
    @call_option
    def report_step(address: str, as_json: bool, call_id: str, **request: Any) -> None:
        _report_step(address, {"step": step, "call": call_id or new_call_id(), **request}, as_json)


def _report_step(address: str, request: JsonObject, as_json: bool) -> None:
    call_id = request["call"]
    try:
        response = call_admin(address, MACHINES_PATH, request, wait_seconds=STEP_WAIT_SECONDS)
    except UnreachableError as error:
        raise UnreachableError(
            f"{error}; outcome unknown: repeat the command with --call {call_id} to learn it"
        ) from None
    content = response.content
    if as_json:
        click.echo(format_json({**content, "call": call_id}))
        if response.status == HTTP_NO_OUTCOME:
            sys.exit(EXIT_UNREACHABLE)
        if not content["well"]:
            sys.exit(EXIT_REJECTED)
        return
    if response.status == HTTP_NO_OUTCOME:
        raise UnreachableError(f"{content['text']} (--call {call_id})")
    if not content["well"]:
        raise CallRejectedError(f"rejected: {content['text']}")
    click.echo(f"{request['machine']}: {request['step']}")
