"""Documents with versions, as the history has them. The same entries make the same of them.

A version is published (prepared: whoever has heard of it acts on the stricter of both), then counts. Between
the two all that may act have heard of it; see `docs/bound.md`.
"""

from functools import reduce
from typing import Any

import msgspec
from msgspec import Struct, field

from crankfold.agreement.strict import SETTINGS, WORKS, stricter
from crankfold.agreement.words import Entry
from crankfold.works.ledger import Ledger

VERSIONS_KEPT, CALLS_KEPT = 50, 1000
MACHINES = "machines"  # what changes with a step
MOST_ON_THE_WAY = 8  # versions of a document that do not count yet


class Version(Struct, array_like=True, frozen=True):
    number: int
    made_from: int
    author: str
    reason: str
    at: int  # wall time of whoever led, ms; told, never compared
    text: dict[str, Any]
    index: int  # where in the history it was published


class Document(Struct, array_like=True):
    versions: list[Version] = field(default_factory=list)
    counts: int = 0  # the number that counts

    def latest(self) -> int:
        return self.versions[-1].number if self.versions else 0

    def on_the_way(self) -> list[Version]:
        return [v for v in self.versions if v.number > self.counts]

    def find(self, number: int) -> Version | None:
        return next((v for v in self.versions if v.number == number), None)


class Outcome(Struct, array_like=True, frozen=True):
    well: bool
    text: str
    number: int
    index: int


class Known(Struct, array_like=True):
    """All of the state, as a snapshot has it."""

    docs: dict[str, Document] = field(default_factory=dict)
    calls: dict[str, Outcome] = field(default_factory=dict)
    voters: dict[str, str] = field(default_factory=dict)  # the folders by which voters are known
    ledger: Ledger = field(default_factory=Ledger)  # machines that are out for work


def folders(known: dict[str, str], entry: Entry) -> dict[str, str]:
    """The folders by which voters are known, after one more entry."""
    if entry.kind == "folder":
        return {entry.data["voter"]: entry.data["folder"], **known}
    if entry.kind == "begin":
        return {**entry.data.get("folders", {}), **known}
    if entry.kind == "voters":
        # Taken out and put in again, a name may come with another folder.
        return {name: folder for name, folder in known.items() if name in entry.data["voters"]}
    return known


class Documents:
    def __init__(self, state: bytes = b"") -> None:
        self.known = msgspec.msgpack.decode(state, type=Known) if state else Known()

    def state(self) -> bytes:
        return msgspec.msgpack.encode(self.known)

    def doc(self, name: str) -> Document:
        return self.known.docs.get(name) or Document()

    def apply(self, index: int, entry: Entry) -> str:
        """The document that it changed, or nothing."""
        data = entry.data
        if entry.kind == "publish":
            return self._publish(index, data)
        if entry.kind == "step":
            return self._step(index, data)
        if entry.kind == "count":
            doc = self.known.docs[data["doc"]]
            doc.counts = max(doc.counts, data["number"])
            return str(data["doc"])
        self.known.voters = folders(self.known.voters, entry)
        return ""

    def _step(self, index: int, data: dict[str, Any]) -> str:
        call = data.get("call", "")
        if call in self.known.calls:
            return ""
        void = self.known.ledger.apply(index, data, self.doc(WORKS).latest())
        if call:
            self._called(call, Outcome(not void, void, 0, index))
        return MACHINES

    def _called(self, call: str, made: Outcome) -> None:
        self.known.calls[call] = made
        while len(self.known.calls) > CALLS_KEPT:
            del self.known.calls[next(iter(self.known.calls))]

    def _publish(self, index: int, data: dict[str, Any]) -> str:
        call, name = data["call"], data["doc"]
        if call in self.known.calls:
            return ""  # asked for twice: once only in the history
        doc = self.known.docs.setdefault(name, Document())
        latest = doc.latest()
        changed = False
        if data["made_from"] != latest:
            told = f"made from version {data['made_from']}, but {latest} is there by now"
            made = Outcome(False, told, latest, index)
        elif len(doc.on_the_way()) >= MOST_ON_THE_WAY:
            made = Outcome(False, f"{MOST_ON_THE_WAY} versions are on their way already", latest, index)
        else:
            made, changed = Outcome(True, "", latest + 1, index), True
            doc.versions.append(Version(latest + 1, latest, data["author"], data["reason"], data["at"],
                                        data["text"], index))
            if len(doc.versions) > VERSIONS_KEPT:
                # What counts is needed, however many came after it.
                doc.versions = [v for v in doc.versions[:-VERSIONS_KEPT] if v.number == doc.counts] \
                    + doc.versions[-VERSIONS_KEPT:]
        self._called(call, made)
        if changed and name == WORKS:
            before = doc.find(latest)
            self.known.ledger.handed_in(before.text.get("works", {}) if before else {},
                                        data["text"].get("works", {}))
        return name if changed else ""

    def acting(self, name: str) -> dict[str, Any] | None:
        """What may be acted on: the version that counts, made stricter by each that is on its way."""
        doc = self.doc(name)
        counts = doc.find(doc.counts)
        if counts is None and name == SETTINGS:
            return None  # nobody acts before there are some
        begin = counts.text if counts else {}
        return reduce(lambda old, new: stricter(name, old, new.text), doc.on_the_way(), begin)

    def versions(self) -> dict[str, tuple[int, int]]:
        """Of each document: the version that counts, and the newest."""
        return {name: (doc.counts, doc.latest()) for name, doc in self.known.docs.items()}

    def waits(self) -> list[tuple[str, Version]]:
        return [(name, version) for name, doc in self.known.docs.items() for version in doc.on_the_way()]

    def linger(self) -> int:
        """How long a unit may go on under any version that is still known, tenths of a millisecond."""
        cutoffs = [grade.get("cut-off", 0) for version in self.doc(SETTINGS).versions
                   for grade in version.text.get("service-grades", ())]
        return int(max(cutoffs, default=0)) // 100
