"""The kinds of log entries and the data of each kind.

The strings and field names are stored in voters' folders and sent between processes.
"""

from enum import StrEnum

import msgspec
from msgspec import UNSET, Struct, UnsetType

from crankfold.consensus.messages import DocumentContent, EntryData, LogEntry


class EntryKind(StrEnum):
    """The kind of a log entry; the values are stored."""

    NO_OP = "begin"  # the first entry of a leader's term, which commits the entries of earlier terms
    CHANGE_VOTERS = "voters"
    REGISTER_FOLDER = "folder"  # binds a voter's name to the folder that holds its state
    PUBLISH = "publish"  # adds a version of a document
    ACTIVATE = "count"  # makes a version active, once every member with a lease has applied it
    MAINTENANCE = "step"  # records transitions of machines in maintenance


class NoOpData(Struct):
    """Data of a `NO_OP` entry.

    Attributes:
        by: The name of the leader.
        folders: The folder ids, by name, of the voters that elected it; only in the first entry of a log.
    """

    by: str
    folders: dict[str, str] | UnsetType = UNSET


class PublishData(Struct):
    """Data of a `PUBLISH` entry.

    Attributes:
        call: The id of the proposal; of several entries with the same id, only the first takes effect.
        doc: The name of the document.
        made_from: The newest version that the author had read.
        author: The name of the author.
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
    text: DocumentContent


class ActivateData(Struct):
    """Data of an `ACTIVATE` entry.

    Attributes:
        doc: The name of the document.
        number: The number of the version.
    """

    doc: str
    number: int


class RegisterFolderData(Struct):
    """Data of a `REGISTER_FOLDER` entry.

    Attributes:
        voter: The name of the voter.
        folder: The id of its folder.
    """

    voter: str
    folder: str


def entry_data(data: NoOpData | PublishData | ActivateData | RegisterFolderData) -> EntryData:
    """Returns the data of a log entry: the fields in their order, which is the stored order of the keys."""
    return {key: value for key, value in msgspec.structs.asdict(data).items() if value is not UNSET}


def publish_data(entry: LogEntry) -> PublishData:
    """Decodes the data of a `PUBLISH` entry.

    Raises:
        msgspec.ValidationError: The data does not have the fields of this kind.
    """
    return msgspec.convert(entry.data, PublishData)


def activate_data(entry: LogEntry) -> ActivateData:
    """Decodes the data of an `ACTIVATE` entry.

    Raises:
        msgspec.ValidationError: The data does not have the fields of this kind.
    """
    return msgspec.convert(entry.data, ActivateData)


def voters_of(entry: LogEntry) -> dict[str, str]:
    """Returns the addresses, by name, of the voters after a `CHANGE_VOTERS` entry."""
    return dict(entry.data["voters"])


def proposal_id_of(entry: LogEntry) -> str:
    """Returns the id of the proposal of an entry; empty for an entry without a recorded outcome."""
    return str(entry.data.get("call", ""))


def folder_ids_after(folder_ids: dict[str, str], entry: LogEntry) -> dict[str, str]:
    """Returns the registered folder ids by voter, after one more entry.

    Raises:
        msgspec.ValidationError: The data of the entry does not have the fields of its kind.
    """
    if entry.kind == EntryKind.REGISTER_FOLDER:
        registered = msgspec.convert(entry.data, RegisterFolderData)
        return {registered.voter: registered.folder, **folder_ids}
    if entry.kind == EntryKind.NO_OP:
        return {**entry.data.get("folders", {}), **folder_ids}
    if entry.kind == EntryKind.CHANGE_VOTERS:
        # A voter that is removed and added again registers a new folder.
        return {name: folder for name, folder in folder_ids.items() if name in entry.data["voters"]}
    return folder_ids
