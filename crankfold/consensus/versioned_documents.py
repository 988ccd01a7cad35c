"""Documents with versions, as the history has them. The same entries make the same of them.

A version is published (prepared: whoever has heard of it acts on the stricter of both), then counts. Between
the two all that may act have heard of it; see `docs/bound.md`.
"""

from functools import reduce
from typing import Any

import msgspec
from msgspec import Struct, field

from crankfold.consensus.conservative_merge import MAINTENANCE, SETTINGS, conservative_merge
from crankfold.consensus.messages import LogEntry
from crankfold.maintenance.state import MaintenanceState

MAX_VERSIONS, MAX_OUTCOMES = 50, 1000
MACHINES = "machines"  # what changes with a step
MAX_PENDING_VERSIONS = 8  # versions of a document that do not count yet


class DocumentVersion(Struct, array_like=True, frozen=True):
    number: int
    made_from: int
    author: str
    reason: str
    at: int  # wall time of whoever led, ms; told, never compared
    text: dict[str, Any]
    index: int  # where in the history it was published


class Document(Struct, array_like=True):
    versions: list[DocumentVersion] = field(default_factory=list)
    active_number: int = 0  # the number that counts

    def latest_number(self) -> int:
        return self.versions[-1].number if self.versions else 0

    def pending(self) -> list[DocumentVersion]:
        return [v for v in self.versions if v.number > self.active_number]

    def find(self, number: int) -> DocumentVersion | None:
        return next((v for v in self.versions if v.number == number), None)


class ProposalOutcome(Struct, array_like=True, frozen=True):
    accepted: bool
    reason: str
    version_number: int
    log_index: int


class ReplicatedState(Struct, array_like=True):
    """All of the state, as a snapshot has it."""

    documents: dict[str, Document] = field(default_factory=dict)
    outcomes: dict[str, ProposalOutcome] = field(default_factory=dict)
    voter_folder_ids: dict[str, str] = field(default_factory=dict)  # the folders by which voters are known
    maintenance: MaintenanceState = field(default_factory=MaintenanceState)  # machines that are out for work


def folder_ids_after(known: dict[str, str], entry: LogEntry) -> dict[str, str]:
    """The folders by which voters are known, after one more entry."""
    if entry.kind == "folder":
        return {entry.data["voter"]: entry.data["folder"], **known}
    if entry.kind == "begin":
        return {**entry.data.get("folders", {}), **known}
    if entry.kind == "voters":
        # Taken out and put in again, a name may come with another folder.
        return {name: folder for name, folder in known.items() if name in entry.data["voters"]}
    return known


class VersionedDocuments:
    def __init__(self, state: bytes = b"") -> None:
        self.replicated = msgspec.msgpack.decode(state, type=ReplicatedState) if state else ReplicatedState()

    def encode(self) -> bytes:
        return msgspec.msgpack.encode(self.replicated)

    def document(self, name: str) -> Document:
        return self.replicated.documents.get(name) or Document()

    def apply(self, index: int, entry: LogEntry) -> str:
        """The document that it changed, or nothing."""
        data = entry.data
        if entry.kind == "publish":
            return self._apply_publish(index, data)
        if entry.kind == "step":
            return self._apply_maintenance(index, data)
        if entry.kind == "count":
            doc = self.replicated.documents[data["doc"]]
            doc.active_number = max(doc.active_number, data["number"])
            return str(data["doc"])
        self.replicated.voter_folder_ids = folder_ids_after(self.replicated.voter_folder_ids, entry)
        return ""

    def _apply_maintenance(self, index: int, data: dict[str, Any]) -> str:
        call = data.get("call", "")
        if call in self.replicated.outcomes:
            return ""
        void = self.replicated.maintenance.apply(index, data, self.document(MAINTENANCE).latest_number())
        if call:
            self._record_outcome(call, ProposalOutcome(not void, void, 0, index))
        return MACHINES

    def _record_outcome(self, call: str, made: ProposalOutcome) -> None:
        self.replicated.outcomes[call] = made
        while len(self.replicated.outcomes) > MAX_OUTCOMES:
            del self.replicated.outcomes[next(iter(self.replicated.outcomes))]

    def _apply_publish(self, index: int, data: dict[str, Any]) -> str:
        call, name = data["call"], data["doc"]
        if call in self.replicated.outcomes:
            return ""  # asked for twice: once only in the history
        doc = self.replicated.documents.setdefault(name, Document())
        latest = doc.latest_number()
        changed = False
        if data["made_from"] != latest:
            told = f"made from version {data['made_from']}, but {latest} is there by now"
            made = ProposalOutcome(False, told, latest, index)
        elif len(doc.pending()) >= MAX_PENDING_VERSIONS:
            made = ProposalOutcome(
                False, f"{MAX_PENDING_VERSIONS} versions are on their way already", latest, index
            )
        else:
            made, changed = ProposalOutcome(True, "", latest + 1, index), True
            doc.versions.append(
                DocumentVersion(
                    latest + 1, latest, data["author"], data["reason"], data["at"], data["text"], index
                )
            )
            if len(doc.versions) > MAX_VERSIONS:
                # What counts is needed, however many came after it.
                doc.versions = [
                    v for v in doc.versions[:-MAX_VERSIONS] if v.number == doc.active_number
                ] + doc.versions[-MAX_VERSIONS:]
        self._record_outcome(call, made)
        if changed and name == MAINTENANCE:
            before = doc.find(latest)
            self.replicated.maintenance.jobs_changed(
                before.text.get("works", {}) if before else {}, data["text"].get("works", {})
            )
        return name if changed else ""

    def effective_content(self, name: str) -> dict[str, Any] | None:
        """What may be acted on: the version that counts, made stricter by each that is on its way."""
        doc = self.document(name)
        counts = doc.find(doc.active_number)
        if counts is None and name == SETTINGS:
            return None  # nobody acts before there are some
        begin = counts.text if counts else {}
        return reduce(lambda old, new: conservative_merge(name, old, new.text), doc.pending(), begin)

    def version_numbers(self) -> dict[str, tuple[int, int]]:
        """Of each document: the version that counts, and the newest."""
        return {
            name: (doc.active_number, doc.latest_number()) for name, doc in self.replicated.documents.items()
        }

    def pending_versions(self) -> list[tuple[str, DocumentVersion]]:
        return [
            (name, version) for name, doc in self.replicated.documents.items() for version in doc.pending()
        ]

    def max_request_duration(self) -> int:
        """How long a unit may go on under any version that is still known, tenths of a millisecond."""
        cutoffs = [
            grade.get("cut-off", 0)
            for version in self.document(SETTINGS).versions
            for grade in version.text.get("service-grades", ())
        ]
        return int(max(cutoffs, default=0)) // 100
