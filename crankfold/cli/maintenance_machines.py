"""The commands of `crankfold maintenance` on single machines: history and steps by operators."""

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
STEP_WAIT = 10.0  # seconds until the outcome of a step is known
FINAL_STEPS = ("well", "gone", "undone")  # these end the maintenance of a machine
OPERATOR_STEPS = {
    "begin": "Report that work on a drained machine has started, so that it stays out.",
    "done": "Report that work on a machine is done: it returns to service and is monitored.",
    "unwell": "Report that a returned machine is unhealthy or that work on it failed: it goes out.",
    "back": "Return a machine to service without work on it.",
    "here": (
        "Return a machine to service at this dispatcher only, which is isolated. Work on the machine may "
        "be in progress."
    ),
}


class MachineView(Struct):
    """A machine that is out for a job."""

    job: str = field(name="work")
    state: str
    number: int  # the drain number; 0 before it is drained
    reason: str = field(name="why")


class WaitView(Struct):
    """Why a machine of a job waits; without a machine, why all others wait."""

    machine: str
    job: str = field(name="work")
    reason: str = field(name="why")


class StepView(Struct):
    """A committed transition of a machine."""

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
    """Show when a machine was out, for which job, and the author and duration of each step."""
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
    @click.option(
        "--number", default=0, help="The drain number of the machine; with another one the call is rejected."
    )
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
