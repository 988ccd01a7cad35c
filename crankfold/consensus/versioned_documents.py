"""The replicated state machine: documents with versions, outcomes of proposals, machines in maintenance.

Applying the same log entries yields the same state on every member. A published version is pending at first:
a member that has applied it acts on the conservative merge of the active version and all pending ones. A
later entry activates it, once every member with a lease has applied it; see `docs/bound.md`.
"""

from functools import reduce
from typing import NamedTuple

import msgspec
from msgspec import Struct, field

from crankfold.consensus.conservative_merge import conservative_merge
from crankfold.consensus.log_entries import (
    EntryKind,
    PublishData,
    activate_data,
    folder_ids_after,
    proposal_id_of,
    publish_data,
)
from crankfold.consensus.messages import DocumentContent, LogEntry
from crankfold.document_names import MAINTENANCE, SETTINGS
from crankfold.maintenance.state import MaintenanceState
from crankfold.time_units import MICROSECONDS_PER_TICK

MAX_VERSIONS = 50  # retained for each document; an active version that is older is retained as well
MAX_OUTCOMES = 1000  # a proposal that is sent again takes effect once while its outcome is retained
MAX_PENDING_VERSIONS = 8  # for each document
MACHINES = "machines"  # stands for a document name if an entry changed machines in maintenance


class DocumentVersion(Struct, array_like=True, frozen=True):
    """One version of a document.

    Attributes:
        number: The number of the version, from 1.
        made_from: The number of the version before this one.
        author: The name of the author.
        reason: Why, in the author's words.
        at: Wall time of the publish in milliseconds; shown, never compared.
        text: The content, with the keys of the stored document.
        index: The log index of the entry that published it.
    """

    number: int
    made_from: int
    author: str
    reason: str
    at: int
    text: DocumentContent
    index: int


class Document(Struct, array_like=True):
    """The retained versions of a document.

    Attributes:
        versions: The versions, by ascending number.
        active_number: The number of the active version; 0 for none.
    """

    versions: list[DocumentVersion] = field(default_factory=list)
    active_number: int = 0

    def latest_number(self) -> int:
        """Returns the number of the newest version; 0 for none."""
        return self.versions[-1].number if self.versions else 0

    def pending(self) -> list[DocumentVersion]:
        """Returns the versions that are newer than the active one."""
        return [version for version in self.versions if version.number > self.active_number]

    def find(self, number: int) -> DocumentVersion | None:
        """Returns the version with that number; None if it is not retained."""
        return next((version for version in self.versions if version.number == number), None)

    def drop_oldest(self) -> None:
        """Drops versions beyond the newest `MAX_VERSIONS`, but never the active one."""
        if len(self.versions) <= MAX_VERSIONS:
            return
        oldest = self.versions[:-MAX_VERSIONS]
        active = [version for version in oldest if version.number == self.active_number]
        self.versions = active + self.versions[-MAX_VERSIONS:]


class ProposalOutcome(Struct, array_like=True, frozen=True):
    """The outcome of a committed proposal.

    Attributes:
        accepted: Whether it took effect.
        reason: Why it was not accepted; empty if it was.
        version_number: The version that it created, or the newest version that it conflicted with; 0 for
            none.
        log_index: The log index of its entry.
    """

    accepted: bool
    reason: str
    version_number: int
    log_index: int


class PendingVersion(NamedTuple):
    """A pending version with the name of its document."""

    document: str
    version: DocumentVersion


class ReplicatedState(Struct, array_like=True):
    """The complete replicated state, in the form that snapshots store.

    Attributes:
        documents: The documents, by name.
        outcomes: Outcomes of the newest proposals, by proposal id.
        voter_folder_ids: The registered folder ids, by voter.
        maintenance: Machines in maintenance.
    """

    documents: dict[str, Document] = field(default_factory=dict)
    outcomes: dict[str, ProposalOutcome] = field(default_factory=dict)
    voter_folder_ids: dict[str, str] = field(default_factory=dict)
    maintenance: MaintenanceState = field(default_factory=MaintenanceState)


class VersionedDocuments:
    """Applies log entries in order and derives the content that a member may act on.

    Attributes:
        replicated: The replicated state.
        last_applied: The index of the last applied entry.
    """

    def __init__(self, state: bytes = b"", last_applied: int = 0) -> None:
        """Starts from the encoded state of a snapshot up to `last_applied`, or from an empty state.

        Raises:
            msgspec.DecodeError: The state cannot be decoded.
        """
        self.restore(state, last_applied)

    def restore(self, state: bytes, last_applied: int) -> None:
        """Replaces the state by the encoded state of a snapshot up to `last_applied`.

        Raises:
            msgspec.DecodeError: The state cannot be decoded.
        """
        self.replicated = msgspec.msgpack.decode(state, type=ReplicatedState) if state else ReplicatedState()
        self.last_applied = last_applied

    def encode(self) -> bytes:
        """Encodes the state for a snapshot."""
        return msgspec.msgpack.encode(self.replicated)

    def document(self, name: str) -> Document:
        """Returns the document with that name; an empty one if none was published."""
        return self.replicated.documents.get(name) or Document()

    def apply(self, index: int, entry: LogEntry) -> str:
        """Applies the entry at `index`.

        Returns:
            The name of the changed document, `MACHINES`, or the empty string for neither.

        Raises:
            msgspec.ValidationError: The data of the entry does not have the fields of its kind.
        """
        self.last_applied = index
        if entry.kind == EntryKind.PUBLISH:
            return self._apply_publish(index, publish_data(entry))
        if entry.kind == EntryKind.MAINTENANCE:
            return self._apply_maintenance(index, entry)
        if entry.kind == EntryKind.ACTIVATE:
            activated = activate_data(entry)
            document = self.replicated.documents[activated.doc]
            document.active_number = max(document.active_number, activated.number)
            return activated.doc
        self.replicated.voter_folder_ids = folder_ids_after(self.replicated.voter_folder_ids, entry)
        return ""

    def _apply_maintenance(self, index: int, entry: LogEntry) -> str:
        proposal_id = proposal_id_of(entry)
        if proposal_id in self.replicated.outcomes:
            return ""
        jobs_version = self.document(MAINTENANCE).latest_number()
        error = self.replicated.maintenance.apply(index, entry.data, jobs_version)
        if proposal_id:
            outcome = ProposalOutcome(accepted=not error, reason=error, version_number=0, log_index=index)
            self._record_outcome(proposal_id, outcome)
        return MACHINES

    def _record_outcome(self, proposal_id: str, outcome: ProposalOutcome) -> None:
        outcomes = self.replicated.outcomes
        outcomes[proposal_id] = outcome
        while len(outcomes) > MAX_OUTCOMES:
            del outcomes[next(iter(outcomes))]

    def _apply_publish(self, index: int, data: PublishData) -> str:
        if data.call in self.replicated.outcomes:
            return ""  # the log has this proposal twice, and the first entry is already applied
        document = self.replicated.documents.setdefault(data.doc, Document())
        latest = document.latest_number()
        error = ""
        if data.made_from != latest:
            error = f"made from version {data.made_from}, but {latest} is there by now"
        elif len(document.pending()) >= MAX_PENDING_VERSIONS:
            error = f"{MAX_PENDING_VERSIONS} versions are on their way already"
        outcome = ProposalOutcome(
            accepted=not error,
            reason=error,
            version_number=latest if error else latest + 1,
            log_index=index,
        )
        self._record_outcome(data.call, outcome)
        if error:
            return ""
        self._add_version(document, index, data)
        return data.doc

    def _add_version(self, document: Document, index: int, data: PublishData) -> None:
        latest = document.latest_number()
        version = DocumentVersion(
            number=latest + 1,
            made_from=latest,
            author=data.author,
            reason=data.reason,
            at=data.at,
            text=data.text,
            index=index,
        )
        document.versions.append(version)
        document.drop_oldest()
        if data.doc == MAINTENANCE:
            previous = document.find(latest)
            self.replicated.maintenance.jobs_changed(
                previous.text.get("works", {}) if previous else {}, data.text.get("works", {})
            )

    def effective_content(self, name: str) -> DocumentContent | None:
        """Returns the content to act on: the active version, merged conservatively with each pending one.

        Returns:
            The content; None for settings without an active version, on which no member may act.
        """
        document = self.document(name)
        active = document.find(document.active_number)
        if active is None and name == SETTINGS:
            return None
        return reduce(
            lambda merged, version: conservative_merge(name, merged, version.text),
            document.pending(),
            active.text if active else {},
        )

    def version_numbers(self) -> dict[str, tuple[int, int]]:
        """Returns the active and the newest version number by document; event logs store the pairs."""
        return {
            name: (document.active_number, document.latest_number())
            for name, document in self.replicated.documents.items()
        }

    def pending_versions(self) -> list[PendingVersion]:
        """Returns the pending versions of all documents."""
        return [
            PendingVersion(name, version)
            for name, document in self.replicated.documents.items()
            for version in document.pending()
        ]

    def max_request_duration(self) -> int:
        """Returns the longest deadline of any request class in the retained settings, in ticks."""
        deadlines = [
            request_class.get("cut-off", 0)
            for version in self.document(SETTINGS).versions
            for request_class in version.text.get("service-grades", ())
        ]
        return int(max(deadlines, default=0)) // MICROSECONDS_PER_TICK
