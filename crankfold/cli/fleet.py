"""`crankfold fleet`: the state of the cluster as one dispatcher knows it, and changes of the voters."""

import json
import sys

import click
import msgspec
from msgspec import Struct, field

from crankfold.cli.admin_client import (
    EXIT_UNREACHABLE,
    JSON_INDENT,
    CallRejectedError,
    JsonObject,
    call_admin,
    new_call_id,
)
from crankfold.cli.options import admin_option, json_option
from crankfold.time_units import MILLISECONDS_PER_SECOND

QUIET_STATES = ("there", "left")  # states of a follower that are shown without the time of its last heartbeat


class DocumentVersions(Struct):
    """The numbers of the active and the newest version of a document."""

    active: int = field(name="counts")
    newest: int


class FollowerView(Struct):
    """A follower, as the voter that renews its lease sees it."""

    name: str
    state: str
    incarnation: int
    lag: int  # log entries
    voter: str = field(name="at")
    member_seconds: int = field(name="for-s")
    silent_ms: int | None = field(name="heard-ms-ago", default=None)


class ClusterView(Struct):
    """The cluster as one dispatcher knows it."""

    name: str
    acts: bool
    inactive_reason: str = field(name="why-not")
    lease_ms: int = field(name="lease-ms")
    leader: str
    versions: dict[str, DocumentVersions]
    term: int | None = None
    voters: dict[str, str] = {}  # address by name
    lag: dict[str, int] = {}  # by voter, in log entries; only the leader knows it
    voter_lease_ms: dict[str, int] = field(name="leases-ms", default_factory=dict)
    members: list[FollowerView] = []


@click.group(invoke_without_command=True)
@admin_option
@json_option
@click.pass_context
def fleet(context: click.Context, address: str, as_json: bool) -> None:
    """Show leader, document versions, voters, followers and their lag, as one dispatcher knows them.

    Exit: 0 if that dispatcher is active, 3 if it is inactive or can't be reached.
    """
    if context.invoked_subcommand is None:
        _show_cluster(address, as_json)
    context.obj = address


@fleet.command("voters")
@click.option("--add", default="", metavar="NAME=HOST:PORT")
@click.option("--remove", default="", metavar="NAME")
@click.pass_obj
def change_voters(address: str, add: str, remove: str) -> None:
    """Add or remove one voter. Exit: 0 done, 1 rejected, 3 no response."""
    content = _request_voter_change(address, _voter_change(add, remove))
    click.echo(f"voters: {', '.join(sorted(content['voters']))}")


def _voter_change(add: str, remove: str) -> JsonObject:
    if bool(add) == bool(remove) or (add and "=" not in add):
        raise click.UsageError("one of --add NAME=HOST:PORT and --remove NAME")
    name, _, voter_address = add.partition("=")
    return {"call": new_call_id(), "remove": remove, "add": {name: voter_address} if add else {}}


def _request_voter_change(address: str, request: JsonObject) -> JsonObject:
    response = call_admin(address, "agreed/voters", request)
    if not response.content["well"]:
        raise CallRejectedError(f"rejected: {response.reason}")
    return response.content


def _show_cluster(address: str, as_json: bool) -> None:
    content = call_admin(address, "fleet").require_ok()
    if as_json:
        click.echo(json.dumps(content, indent=JSON_INDENT))
    else:
        for line in _describe_cluster(msgspec.convert(content, ClusterView)):
            click.echo(line)
    if not content["acts"]:
        sys.exit(EXIT_UNREACHABLE)


def _describe_activity(view: ClusterView) -> str:
    if view.acts:
        return f"active, lease expires in {view.lease_ms} ms"
    return f"inactive: {view.inactive_reason}"


def _describe_cluster(view: ClusterView) -> list[str]:
    term = "" if view.term is None else f", term {view.term}"
    lines = [f"{view.name}: {_describe_activity(view)}", f"leader {view.leader or 'unknown'}{term}"]
    for document, version in view.versions.items():
        pending = f", version {version.newest} is pending" if version.newest > version.active else ""
        lines.append(f"{document}: version {version.active} is active{pending}")
    for voter, voter_address in sorted(view.voters.items()):
        lag = f", {_describe_lag(view.lag[voter])}" if voter in view.lag else ""
        lease = f", lease expires in {view.voter_lease_ms[voter]} ms" if voter in view.voter_lease_ms else ""
        lines.append(f"voter {voter} {voter_address}{lag}{lease}")
    return lines + [_describe_follower(follower) for follower in view.members]


def _describe_lag(entries: int) -> str:
    return f"{entries} log {'entry' if entries == 1 else 'entries'} behind"


def _describe_follower(follower: FollowerView) -> str:
    silence = ""
    if follower.state not in QUIET_STATES and follower.silent_ms is not None:
        silence = f", last heartbeat {follower.silent_ms / MILLISECONDS_PER_SECOND:.1f} s ago"
    return (
        f"follower {follower.name} at {follower.voter}: {follower.state}{silence}, joined "
        f"{follower.member_seconds} s ago, {_describe_lag(follower.lag)}, "
        f"incarnation {follower.incarnation:x}"
    )
