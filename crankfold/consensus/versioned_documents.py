"""Documents with versions: the replicated state machine.

The same log entries make the same state on every member. A published version is pending at first: whoever
has applied it acts on the conservative merge of it and the versions before. It becomes active by a later
entry, once all members that may act have applied it; see `docs/bound.md`.
"""

from functools import reduce
from typing import Any

import msgspec
from msgspec import Struct, field

from crankfold.consensus.conservative_merge import MAINTENANCE, SETTINGS, conservative_merge
from crankfold.consensus.log_entries import (
    EntryKind,
    PublishData,
    activate_data,
    folder_ids_after,
    proposal_id_of,
    publish_data,
)
from crankfold.consensus.messages import LogEntry
from crankfold.maintenance.state import MaintenanceState
from crankfold.time_units import MICROSECONDS_PER_TICK

MAX_VERSIONS = 50  # kept of a document, besides the active one
MAX_OUTCOMES = 1000  # of proposals, so that a repeated one takes no effect
MAX_PENDING_VERSIONS = 8  # of a document
MACHINES = "machines"  # reported as the changed document after a maintenance entry


class DocumentVersion(Struct, array_like=True, frozen=True):
    """One version of a document.

    Attributes:
        number: From 1 on.
        made_from: The version that was the newest one at the publish.
        author: Who published it.
        reason: Why, in the author's words.
        at: Wall time of the publish in milliseconds; shown, never compared.
        text: The content.
        index: The index of its entry in the log.
    """

    number: int
    made_from: int
    author: str
    reason: str
    at: int
    text: dict[str, Any]
    index: int


class Document(Struct, array_like=True):
    """The versions of a document that are kept, and the number of the active one (0 for none)."""

    versions: list[DocumentVersion] = field(default_factory=list)
    active_number: int = 0

    def latest_number(self) -> int:
        """The number of the newest version; 0 for none."""
        return self.versions[-1].number if self.versions else 0

    def pending(self) -> list[DocumentVersion]:
        """The versions that are newer than the active one."""
        return [version for version in self.versions if version.number > self.active_number]

    def find(self, number: int) -> DocumentVersion | None:
        """The version of that number, if it is kept."""
        return next((version for version in self.versions if version.number == number), None)

    def drop_oldest(self) -> None:
        """Keeps the newest `MAX_VERSIONS`, and the active one however many came after it."""
        if len(self.versions) <= MAX_VERSIONS:
            return
        oldest = self.versions[:-MAX_VERSIONS]
        active = [version for version in oldest if version.number == self.active_number]
        self.versions = active + self.versions[-MAX_VERSIONS:]


class ProposalOutcome(Struct, array_like=True, frozen=True):
    """What became of a proposal.

    Attributes:
        reason: Why it was not accepted.
        version_number: The version that it made, or the newest one that it conflicted with; 0 for none.
        log_index: Where in the log it stands.
    """

    accepted: bool
    reason: str
    version_number: int
    log_index: int


class ReplicatedState(Struct, array_like=True):
    """The whole replicated state, as a snapshot stores it.

    Attributes:
        documents: By name.
        outcomes: Of the latest proposals, by their ids.
        voter_folder_ids: The id of the folder by which a voter is registered, by the voter's name.
        maintenance: Machines that are out for maintenance.
    """

    documents: dict[str, Document] = field(default_factory=dict)
    outcomes: dict[str, ProposalOutcome] = field(default_factory=dict)
    voter_folder_ids: dict[str, str] = field(default_factory=dict)
    maintenance: MaintenanceState = field(default_factory=MaintenanceState)


class VersionedDocuments:
    """The state machine: log entries are applied in order, and what may be acted on is read."""

    def __init__(self, state: bytes = b"", last_applied: int = 0) -> None:
        """Starts from the encoded state of a snapshot up to `last_applied`, or from nothing.

        Raises:
            msgspec.DecodeError: The state cannot be decoded.
        """
        self.restore(state, last_applied)

    def restore(self, state: bytes, last_applied: int) -> None:
        """Replaces everything by the encoded state of a snapshot up to `last_applied`.

        Raises:
            msgspec.DecodeError: The state cannot be decoded.
        """
        self.replicated = msgspec.msgpack.decode(state, type=ReplicatedState) if state else ReplicatedState()
        self.last_applied = last_applied

    def encode(self) -> bytes:
        """The whole state, for a snapshot."""
        return msgspec.msgpack.encode(self.replicated)

    def document(self, name: str) -> Document:
        """The document of that name; an empty one if nothing was published."""
        return self.replicated.documents.get(name) or Document()

    def apply(self, index: int, entry: LogEntry) -> str:
        """Applies the entry at `index`; returns the name of the document that it changed, or nothing."""
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
            return ""  # proposed twice, takes effect once
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

    def effective_content(self, name: str) -> dict[str, Any] | None:
        """What may be acted on: the active version, merged conservatively with each pending one.

        None for the settings before any are active: nobody acts until then.
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
        """By document: the number of the active version, and of the newest."""
        return {
            name: (document.active_number, document.latest_number())
            for name, document in self.replicated.documents.items()
        }

    def pending_versions(self) -> list[tuple[str, DocumentVersion]]:
        """The versions that are not active yet, each with its document's name."""
        return [
            (name, version)
            for name, document in self.replicated.documents.items()
            for version in document.pending()
        ]

    def max_request_duration(self) -> int:
        """How long, in ticks, a request may last under any version that is kept."""
        deadlines = [
            request_class.get("cut-off", 0)
            for version in self.document(SETTINGS).versions
            for request_class in version.text.get("service-grades", ())
        ]
        return int(max(deadlines, default=0)) // MICROSECONDS_PER_TICK
