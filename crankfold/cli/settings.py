"""`crankfold settings`: the replicated documents and their versions."""

import difflib
import json
import sys
from dataclasses import dataclass
from typing import Any, BinaryIO

import click
import msgspec
from msgspec import Struct, field

from crankfold.cli.admin_client import (
    EXIT_NOT_APPLIED,
    EXIT_REJECTED,
    HTTP_NO_OUTCOME,
    JsonObject,
    UnreachableError,
    call_admin,
    format_json,
    new_call_id,
)
from crankfold.cli.options import (
    admin_option,
    author_option,
    call_option,
    document_option,
    json_option,
    required_reason_option,
    wait_option,
)


class VersionView(Struct):
    """One version of a document."""

    number: int
    made_from: int
    author: str
    reason: str
    content: JsonObject = field(name="text")


class DocumentView(Struct):
    """A document with the versions that the dispatcher stores."""

    active: int = field(name="counts")
    newest: int
    versions: list[VersionView]

    def find(self, number: int) -> VersionView | None:
        """Returns the version of that number; None if the dispatcher does not store it."""
        return next((version for version in self.versions if version.number == number), None)


class PublishResponse(Struct):
    """The response of a dispatcher to the publication of a version."""

    accepted: bool = field(name="well", default=False)
    reason: str = field(name="text", default="")
    number: int = 0
    active: bool = field(name="counts", default=True)
    lag: list[str] = []  # the members at which the version is not active yet, each with the reason


@dataclass(frozen=True, slots=True)
class Publication:
    """A new version of a document.

    Attributes:
        document: The name of the document.
        content: The content of the new version.
        made_from: The version that the operator changed; if it is not the newest, the publish is rejected.
        reason: The reason for the change, recorded in the history.
        author: Who made the change, recorded in the history.
        wait_seconds: How long to wait until the version is active at each dispatcher.
        call_id: The identifier under which a repeated call takes effect once; random if empty.
    """

    document: str
    content: JsonObject
    made_from: int
    reason: str
    author: str
    wait_seconds: float = 0.0
    call_id: str = ""

    def to_request(self, call_id: str) -> JsonObject:
        """Returns the body of the call to the admin server."""
        return {
            "call": call_id,
            "made-from": self.made_from,
            "text": self.content,
            "author": self.author,
            "reason": self.reason,
            "wait": self.wait_seconds,
        }


@click.group()
def settings() -> None:
    """Show and publish the documents that the dispatchers replicate.

    Exit: 0 done; 1 rejected; 2 unusable call; 3 no outcome or no response; 4 published, but not active at
    each dispatcher yet.
    """


@settings.command("show")
@admin_option
@json_option
@document_option
@click.option("--version", "number", type=int, default=0, help="An earlier one; the newest if not given.")
@click.option(
    "--at-least",
    "minimum",
    type=int,
    default=0,
    help="Wait for this version or a newer one.",
)
def show_version(address: str, as_json: bool, document: str, number: int, minimum: int) -> None:
    """Print a version's content, as JSON that can be published again."""
    raw = _fetch_raw(address, document, max(minimum, number))
    if as_json and not number:
        click.echo(format_json({name: part for name, part in raw.items() if name != "versions"}))
        return
    view = msgspec.convert(raw, DocumentView)
    version = _find_shown_version(view, document, number)
    if as_json:
        click.echo(format_json(next(item for item in raw["versions"] if item["number"] == version.number)))
        return
    click.echo(format_json(version.content))
    if version.number == view.active:
        state = "active"
    else:
        state = "pending" if version.number > view.active else "superseded"
    click.echo(f"version {version.number} of {document}, {state}", err=True)


def _find_shown_version(view: DocumentView, document: str, number: int) -> VersionView:
    """Returns the version of that number, or the newest one for 0."""
    version = view.find(number or view.newest)
    if version is None:
        raise UnreachableError(
            f"{document} has no version {number}" if number else f"{document} has no version yet"
        )
    return version


@settings.command("history")
@admin_option
@json_option
@document_option
def show_history(address: str, as_json: bool, document: str) -> None:
    """List the versions with author and reason."""
    raw = _fetch_raw(address, document)
    if as_json:
        click.echo(format_json(raw["versions"]))
        return
    view = msgspec.convert(raw, DocumentView)
    for version in sorted(view.versions, key=lambda version: version.number, reverse=True):
        marker = "*" if version.number == view.active else " "
        author = version.author or "unknown"
        click.echo(f"{marker}{version.number} from {version.made_from} by {author}: {version.reason}")


@settings.command("diff")
@admin_option
@document_option
@click.argument("one", type=int)
@click.argument("other", type=int)
def show_difference(address: str, document: str, one: int, other: int) -> None:
    """Print the differences between two versions."""
    view = fetch_document(address, document)
    for line in _diff_lines(
        _find_compared_version(view, document, one), _find_compared_version(view, document, other)
    ):
        click.echo(line)


def _find_compared_version(view: DocumentView, document: str, number: int) -> VersionView:
    if not view.versions:
        raise UnreachableError(f"{document} has no version yet")
    version = view.find(number)
    if version is None:
        raise UnreachableError(f"{document} has no version {number}, or no longer stores it")
    return version


@settings.command("publish")
@admin_option
@json_option
@document_option
@click.argument("file", type=click.File("rb"))
@click.option(
    "--from", "made_from", type=int, required=True, help="Number of the version that FILE was made from."
)
@required_reason_option
@author_option
@wait_option
@call_option
def publish_file(address: str, as_json: bool, file: BinaryIO, **publication: Any) -> None:
    """Publish FILE as a new version."""
    publish(address, Publication(content=_parse_content(file.read()), **publication), as_json)


def _parse_content(text: bytes) -> JsonObject:
    try:
        content = json.loads(text)
    except ValueError as error:
        raise click.UsageError(f"no JSON: {error}") from None
    if not isinstance(content, dict):
        raise click.UsageError("not a JSON object")
    return content


@settings.command("back")
@admin_option
@json_option
@document_option
@click.argument("number", type=int)
@required_reason_option
@author_option
@wait_option
def republish(address: str, as_json: bool, document: str, number: int, **publication: Any) -> None:
    """Publish an earlier version again, as a new one."""
    view = fetch_document(address, document)
    content = _content_of_version(view, document, number)
    publish(address, Publication(document, content, made_from=view.newest, **publication), as_json)


def _content_of_version(view: DocumentView, document: str, number: int) -> JsonObject:
    version = view.find(number)
    if version is None:
        raise UnreachableError(f"no version {number} of {document} is stored")
    return version.content


def fetch_document(address: str, document: str) -> DocumentView:
    """Reads a document from the dispatcher at `address`.

    Raises:
        UnreachableError: The document can't be read there.
    """
    return msgspec.convert(_fetch_raw(address, document), DocumentView)


def publish(address: str, publication: Publication, as_json: bool) -> None:
    """Publishes a version and prints the outcome; exits unless the version is active at each dispatcher.

    Raises:
        UnreachableError: The outcome is unknown; the text has the identifier for a repeated call.
        SystemExit: The dispatcher rejected it, or it is not active at each dispatcher yet.
    """
    call_id = publication.call_id or new_call_id()
    request = publication.to_request(call_id)
    path = f"agreed/{publication.document}"
    try:
        response = call_admin(address, path, request, wait_seconds=publication.wait_seconds)
    except UnreachableError as error:
        raise UnreachableError(
            f"{error}; outcome unknown: repeat the command with --call {call_id} to learn it"
        ) from None
    if as_json:
        click.echo(format_json({**response.content, "call": call_id}))
    outcome = msgspec.convert(response.content, PublishResponse, strict=False)
    if response.status == HTTP_NO_OUTCOME:
        if not outcome.accepted:
            raise UnreachableError(f"{response.reason} (--call {call_id})")
        return
    if not outcome.accepted:
        _exit_rejected(address, publication, outcome, as_json)
    _report_published(publication, outcome, as_json)


def _exit_rejected(address: str, publication: Publication, outcome: PublishResponse, as_json: bool) -> None:
    """Exits with EXIT_REJECTED; if another version was published first, prints the differences to it."""
    if not as_json:
        click.echo(f"crankfold: rejected: {outcome.reason}", err=True)
        if outcome.number:
            view = fetch_document(address, publication.document)
            before = view.find(publication.made_from)
            after = view.find(outcome.number)
            if before and after:
                click.echo("\n".join(_diff_lines(before, after)), err=True)
    sys.exit(EXIT_REJECTED)


def _report_published(publication: Publication, outcome: PublishResponse, as_json: bool) -> None:
    applied_by_all = outcome.active and not outcome.lag
    if not as_json:
        if not publication.wait_seconds:
            state = ""
        elif applied_by_all:
            state = ", applied by all dispatchers"
        else:
            state = _describe_unapplied(outcome)
        click.echo(f"version {outcome.number} of {publication.document}{state}")
    if not applied_by_all:
        sys.exit(EXIT_NOT_APPLIED)


def _describe_unapplied(outcome: PublishResponse) -> str:
    if outcome.lag:
        return f", not applied yet by {'; '.join(outcome.lag)}"
    return ", not active yet"


def _fetch_raw(address: str, document: str, minimum: int = 0) -> JsonObject:
    """Returns the JSON of a document at version `minimum` or a newer one."""
    return call_admin(address, f"agreed/{document}?least={minimum}").require_ok()


def _diff_lines(one: VersionView, other: VersionView) -> list[str]:
    return list(
        difflib.unified_diff(
            format_json(one.content).splitlines(),
            format_json(other.content).splitlines(),
            f"version {one.number}",
            f"version {other.number}",
            lineterm="",
        )
    )
