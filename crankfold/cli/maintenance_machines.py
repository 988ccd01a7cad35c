"""The commands of `crankfold maintenance` on single machines: their history, and steps by operators."""

import secrets
import sys
import time
from typing import Any

import click
import msgspec
from msgspec import Struct, field

from crankfold.cli.admin_client import (
    EXIT_REFUSED,
    EXIT_UNREACHABLE,
    HTTP_NO_OUTCOME,
    RefusedError,
    UnreachableError,
    call_admin,
    format_json,
)
from crankfold.cli.options import admin_option, author_option, call_option, json_option

MACHINES_PATH = "agreed/machines"
STEP_WAIT = 10.0  # seconds until the dispatchers agreed on a step
FINAL_STEPS = ("well", "gone", "undone")  # with these a machine's time out is over
OPERATOR_STEPS = {
    "begin": "Work on a machine that is free begins: from now on others do not bring it back.",
    "done": "Work on a machine is done: it comes back, and is watched.",
    "unwell": "A machine that is back is not well, or could not be worked on: out with it.",
    "back": "A machine comes back though nothing was done.",
    "here": (
        "A machine comes back at this dispatcher alone, which is cut off. Nobody can say then that "
        "nothing is done there."
    ),
}


class MachineView(Struct):
    """A machine that is out for a job."""

    job: str = field(name="work")
    state: str
    number: int  # under which it was called free; 0 before
    reason: str = field(name="why")


class WaitView(Struct):
    """What a machine of a job waits for; no machine if it holds for all the others."""

    machine: str
    job: str = field(name="work")
    reason: str = field(name="why")


class StepView(Struct):
    """A step of a machine that the dispatchers agreed on."""

    machine_id: str = field(name="uid")
    job: str = field(name="work")
    step: str
    by: str
    index: int  # of the log entry
    reason: str = field(name="why")
    time_ms: int = field(name="at")  # since the epoch


def fetch_maintenance(address: str) -> dict[str, Any]:
    """The state of all jobs and machines, as the dispatcher knows it.

    Raises:
        UnreachableError: it can not be read there.
    """
    return call_admin(address, MACHINES_PATH).require_ok()


def add_machine_commands(group: click.Group) -> None:
    """Add the commands on single machines to the group of maintenance commands."""
    group.add_command(show_machine_history)
    for step, description in OPERATOR_STEPS.items():
        _add_step_command(group, step, description)


@click.command("history")
@admin_option
@json_option
@click.argument("machine")
def show_machine_history(address: str, as_json: bool, machine: str) -> None:
    """When a machine was out, for which job, who took each step and how long it lasted."""
    raw = [step for step in fetch_maintenance(address)["steps"] if step["uid"] == machine]
    if as_json:
        click.echo(format_json(raw))
        return
    if not raw:
        raise RefusedError(f"{machine} has no stored history")
    previous_ms = 0
    for step in msgspec.convert(raw, list[StepView]):
        moment = time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(step.time_ms / 1000))
        since = f" after {(step.time_ms - previous_ms) / 1000:.1f} s" if previous_ms else ""
        previous_ms = 0 if step.step in FINAL_STEPS else step.time_ms
        cause = f": {step.reason}" if step.reason else ""
        click.echo(f"{moment} {step.step:6} {step.job} by {step.by}, entry {step.index}{since}{cause}")


def _add_step_command(group: click.Group, step: str, description: str) -> None:
    @group.command(step, help=description)
    @admin_option
    @json_option
    @click.argument("machine")
    @click.option("--number", default=0, help="Under which the machine was called free; else refused.")
    @click.option("--why", default="", help="For the machine's history.")
    @author_option
    @call_option
    def report_step(address: str, as_json: bool, call_id: str, **request: Any) -> None:
        _report_step(address, {"step": step, "call": call_id or secrets.token_hex(8), **request}, as_json)


def _report_step(address: str, request: dict[str, Any], as_json: bool) -> None:
    call_id = request["call"]
    try:
        response = call_admin(address, MACHINES_PATH, request, wait_seconds=STEP_WAIT)
    except UnreachableError as error:
        raise UnreachableError(
            f"{error}; the outcome is unknown, repeat the command with --call {call_id} to learn it"
        ) from None
    content = response.content
    if as_json:
        click.echo(format_json({**content, "call": call_id}))
        if response.status == HTTP_NO_OUTCOME:
            sys.exit(EXIT_UNREACHABLE)
        if not content["well"]:
            sys.exit(EXIT_REFUSED)
        return
    if response.status == HTTP_NO_OUTCOME:
        raise UnreachableError(f"{content['text']} (--call {call_id})")
    if not content["well"]:
        raise RefusedError(f"rejected: {content['text']}")
    click.echo(f"{request['machine']}: {request['step']}")
