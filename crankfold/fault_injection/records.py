"""What is known of a trial once it is over: the evidence that the invariant checks judge.

Times are nanoseconds on the boot-time clock, by which processes and stand-ins stamp alike.
"""

import json
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

MILLISECOND = 1_000_000  # nanoseconds
FOREVER = 1 << 62  # a time that never comes, in nanoseconds
DOCUMENTS = ("settings", "runners-out")  # the documents that a trial's operators publish
DRAINED_BACKENDS = "runners-out"


class Promise(StrEnum):
    """What a plan can have checked, by the names that plans use."""

    STALENESS_BOUND = "bound"
    KNOWN_BEFORE_EFFECT = "heard-first"
    HISTORY = "history"
    MONOTONIC_VERSIONS = "no-way-back"
    PUBLISHES = "publishes"
    SINGLE_ANSWER = "one-answer"
    NO_DUPLICATE_EFFECT = "no-effect-twice"
    DRAINED_BACKENDS = "out-means-out"
    FINAL_HEALTH = "well-at-the-end"
    FREED_MACHINES = "free-means-free"
    MAINTENANCE_LIMITS = "works-bounds"
    MAINTENANCE_COMMANDS = "commands"
    MAINTENANCE_ENDS = "works-end"


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a promise held; `detail` says what broke it, or a figure of interest where it held."""

    promise: Promise
    held: bool
    detail: str


@dataclass(slots=True)
class Period:
    """From one time to another; to `FOREVER` while it lasts."""

    begin: int
    end: int = FOREVER

    def overlaps(self, begin: int, end: int) -> bool:
        """Whether it has a moment in common with the period from `begin` to `end`."""
        return self.begin <= end and begin <= self.end


class VersionState(NamedTuple):
    """How far a process is with a document; they sort in the order of the history."""

    newest: int  # the newest version that it knows of
    active: int  # the one that it acts on

    def __str__(self) -> str:
        """As verdicts show it."""
        return f"({self.newest}, {self.active})"


@dataclass(slots=True)
class ConfigurationRecord:
    """A process acts on other documents from now on."""

    at: int
    versions: dict[str, VersionState]  # by document
    configuration: dict[str, Any]  # by document, what it acts on


@dataclass(slots=True)
class ActionRecord:
    """A process did something with a request, under the versions it had then."""

    at: int
    kind: str
    request_id: str
    request_class: str
    versions: dict[str, VersionState]  # by document


@dataclass(slots=True)
class TransitionRecord:
    """A process learned that a machine took a step of its maintenance."""

    at: int
    machine_id: str
    job: str
    step: str
    index: int  # of the log entry


ProcessRecord = ConfigurationRecord | ActionRecord | TransitionRecord


def parse_record(raw: dict[str, Any]) -> ProcessRecord:
    """A record as a process wrote it, as one JSON object a line."""
    if raw["what"] == "step":
        return TransitionRecord(
            at=raw["at"],
            machine_id=raw["uid"],
            job=raw["work"],
            step=raw["step"],
            index=raw["index"],
        )
    versions = {
        document: VersionState(newest=newest, active=active)
        for document, (active, newest) in raw["versions"].items()
    }
    if raw["what"] == "rules":
        return ConfigurationRecord(at=raw["at"], versions=versions, configuration=raw["acting"])
    return ActionRecord(
        at=raw["at"],
        kind=raw["what"],
        request_id=raw["unit"],
        request_class=raw["where"],
        versions=versions,
    )


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A stand-in backend received a request."""

    at: int
    backend_id: str
    request_id: str


@dataclass(frozen=True, slots=True)
class SubmittedRequest:
    """A client sent a request to a dispatcher."""

    at: int
    dispatcher: str
    request_class: str


@dataclass(frozen=True, slots=True)
class ClientAnswer:
    """What a client got: status and body, or what became of the connection."""

    at: int
    request_id: str
    dispatcher: str
    text: str

    @property
    def status(self) -> str:
        """The three digits of the HTTP status, if there was one."""
        return self.text[:3]


@dataclass(slots=True)
class Observations:
    """What the stand-ins saw, in the order of time."""

    received_requests: list[ReceivedRequest] = field(default_factory=list)
    answers: list[ClientAnswer] = field(default_factory=list)
    requests: dict[str, SubmittedRequest] = field(default_factory=dict)  # by request id


class PublishOutcome(StrEnum):
    """What an operator was told of a publish."""

    CONFIRMED = "confirmed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class PublishRecord:
    """A publish as its operator saw it."""

    call_id: str
    started_at: int
    process: str
    document: str
    content: dict[str, Any]
    outcome: PublishOutcome = PublishOutcome.UNKNOWN
    version: int = 0
    ended_at: int = 0


@dataclass(slots=True)
class DocumentVersion:
    """A version of a document, as a process has it at the end."""

    number: int
    reason: str
    content: dict[str, Any]
    other_fields: dict[str, Any] = field(default_factory=dict)

    @classmethod
    def from_raw(cls, raw: dict[str, Any]) -> "DocumentVersion":
        """A version as the admin server shows it."""
        other = {name: value for name, value in raw.items() if name not in ("number", "reason", "text")}
        return cls(number=raw["number"], reason=raw["reason"], content=raw["text"], other_fields=other)

    def canonical(self) -> str:
        """A text that is the same for two versions only if all their fields are."""
        return json.dumps([self.number, self.reason, self.content, self.other_fields], sort_keys=True)


# By process, document and number of the version.
Histories = dict[str, dict[str, dict[int, DocumentVersion]]]


@dataclass(frozen=True, slots=True)
class JobLimits:
    """What a maintenance job allows, read from its specification without the program's code."""

    on_dispatchers: bool
    at_once: int
    per_zone: int  # 0 if it is not limited
    remaining_share: float  # of all machines, that has to stay in service
    repeatable: bool  # its command may run again on a machine
    zones: frozenset[str]  # empty for all
    machines: frozenset[str]  # empty for all

    @classmethod
    def from_specification(cls, specification: dict[str, Any]) -> "JobLimits":
        """The limits of a job as a plan hands it in."""
        return cls(
            on_dispatchers=specification.get("of") == "dispatchers",
            at_once=specification.get("at-once", 1),
            per_zone=specification.get("a-zone", 0),
            remaining_share=specification.get("stays", 0.5),
            repeatable=specification.get("again", False),
            zones=frozenset(specification.get("zones") or ()),
            machines=frozenset(specification.get("machines") or ()),
        )


@dataclass(slots=True)
class MaintenanceRun:
    """Work on a machine, as whoever did it saw it."""

    machine_id: str
    job: str
    number: int  # under which the machine was called free
    began_at: int
    ended_at: int = 0  # 0 while it goes on

    def format_line(self) -> str:
        """The line that a trial's folder keeps of it."""
        return (
            f"Run(uid={self.machine_id!r}, work={self.job!r}, number={self.number}, "
            f"begin={self.began_at}, end={self.ended_at})"
        )


@dataclass(slots=True)
class TrialRecord:
    """All that is known of a trial once it is over."""

    staleness_bound: int  # how long two processes may act on contradicting documents
    process_records: dict[str, list[ProcessRecord]]  # by process, in the order written
    observations: Observations
    publishes: list[PublishRecord]
    histories: Histories
    downtimes: dict[str, list[Period]]  # by process
    final_faults: dict[str, str] = field(default_factory=dict)  # by process, why it is not healthy, or ""
    zones: dict[str, str] = field(default_factory=dict)  # by backend
    jobs: dict[str, JobLimits] = field(default_factory=dict)
    runs: list[MaintenanceRun] = field(default_factory=list)
    losses: dict[str, list[Period]] = field(default_factory=dict)  # by backend
    unfinished_jobs: dict[str, str] = field(default_factory=dict)  # by job, what is wrong with its end

    def started_at(self) -> int:
        """When the first process wrote its first record."""
        return min((records[0].at for records in self.process_records.values() if records), default=0)

    def format_time(self, time_ns: int) -> str:
        """The time since the start, in seconds."""
        return f"{(time_ns - self.started_at()) / 1e9:.3f} s"
