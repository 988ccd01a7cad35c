"""What entries of the replicated log mean: their kinds, and the fields of their data.

The strings and field names are stored in voters' folders and sent between processes.
"""

from enum import StrEnum
from typing import Any

import msgspec
from msgspec import Struct

from crankfold.consensus.messages import LogEntry


class EntryKind(StrEnum):
    """The kind of a log entry, by the string that is stored."""

    NO_OP = "begin"  # the first entry of a leader's term, which commits those of earlier terms
    CHANGE_VOTERS = "voters"
    REGISTER_FOLDER = "folder"  # binds a voter's name to the folder that holds its state
    PUBLISH = "publish"  # a new version of a document
    ACTIVATE = "count"  # every member that may act has applied a version: it is active
    MAINTENANCE = "step"  # transitions of machines that are out for maintenance


class PublishData(Struct):
    """Data of a `PUBLISH` entry.

    Attributes:
        call: The id of the proposal; the same id takes effect once.
        doc: The name of the document.
        made_from: The newest version that the author knew of.
        author: Who published it.
        reason: Why, in the author's words.
        at: Wall time of the publish in milliseconds; shown, never compared.
        text: The content of the version.
    """

    call: str
    doc: str
    made_from: int
    author: str
    reason: str
    at: int
    text: dict[str, Any]


class ActivateData(Struct):
    """Data of an `ACTIVATE` entry: the document and the number of the version."""

    doc: str
    number: int


class RegisterFolderData(Struct):
    """Data of a `REGISTER_FOLDER` entry: a voter's name and the id of its folder."""

    voter: str
    folder: str


def publish_data(entry: LogEntry) -> PublishData:
    """The decoded data of a `PUBLISH` entry.

    Raises:
        msgspec.ValidationError: The entry has other fields.
    """
    return msgspec.convert(entry.data, PublishData)


def activate_data(entry: LogEntry) -> ActivateData:
    """The decoded data of an `ACTIVATE` entry.

    Raises:
        msgspec.ValidationError: The entry has other fields.
    """
    return msgspec.convert(entry.data, ActivateData)


def voters_of(entry: LogEntry) -> dict[str, str]:
    """Addresses by name of the voters that a `CHANGE_VOTERS` entry leaves."""
    return dict(entry.data["voters"])


def proposal_id_of(entry: LogEntry) -> str:
    """The id of the proposal that an entry came from; empty if nobody waits for its outcome."""
    return str(entry.data.get("call", ""))


def folder_ids_after(folder_ids: dict[str, str], entry: LogEntry) -> dict[str, str]:
    """The folder ids by which voters are registered, after one more entry."""
    if entry.kind == EntryKind.REGISTER_FOLDER:
        registered = msgspec.convert(entry.data, RegisterFolderData)
        return {registered.voter: registered.folder, **folder_ids}
    if entry.kind == EntryKind.NO_OP:
        return {**entry.data.get("folders", {}), **folder_ids}
    if entry.kind == EntryKind.CHANGE_VOTERS:
        # A name that was removed and added again may come with another folder.
        return {name: folder for name, folder in folder_ids.items() if name in entry.data["voters"]}
    return folder_ids
