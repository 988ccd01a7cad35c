"""The records of a trial, from which the invariant checks give their verdicts.

Times are nanoseconds on the boot-time clock, which all processes and stand-ins of a trial share.
"""

import json
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

MILLISECOND = 1_000_000  # nanoseconds
NANOSECONDS_PER_SECOND = 1e9
FOREVER = 1 << 62  # nanoseconds, after the end of every trial
SETTINGS = "settings"
DRAINED_BACKENDS = "runners-out"
DOCUMENTS = (SETTINGS, DRAINED_BACKENDS)  # published by the operators of a trial
STATUS_DIGITS = 3  # of an HTTP response
DEFAULT_REMAINING_SHARE = 0.5  # of all machines, for a job that does not state its share

JsonObject = dict[str, Any]  # in the form of the program's files and messages


class Promise(StrEnum):
    """The guarantees that a plan can check; the values are the names in plans."""

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
    """The result of checking one guarantee.

    `detail` describes the first violation, or summarizes the trial if there is none.
    """

    promise: Promise
    satisfied: bool
    detail: str


@dataclass(slots=True)
class Period:
    """A period of time, in nanoseconds; its end is `FOREVER` while it lasts."""

    begin: int
    end: int = FOREVER

    def overlaps(self, begin: int, end: int) -> bool:
        """Whether the period overlaps the one from `begin` to `end`, both inclusive."""
        return self.begin <= end and begin <= self.end


class VersionState(NamedTuple):
    """The versions of a document at a process. States sort in the order of the history."""

    newest: int  # the newest version that the process knows
    active: int  # the version in force at the process

    def __str__(self) -> str:
        """Returns the form that verdicts show."""
        return f"({self.newest}, {self.active})"


@dataclass(slots=True)
class ConfigurationRecord:
    """A process activated other versions of documents."""

    at: int
    versions: dict[str, VersionState]  # by document
    configuration: JsonObject  # content in force, by document


@dataclass(slots=True)
class ActionRecord:
    """A process accepted, sent or answered a request, with its document versions at that time."""

    at: int
    kind: str
    request_id: str
    request_class: str
    versions: dict[str, VersionState]  # by document


@dataclass(slots=True)
class TransitionRecord:
    """A process learned of a step in the maintenance of a machine."""

    at: int
    machine_id: str
    job: str
    step: str
    index: int  # of the log entry


ProcessRecord = ConfigurationRecord | ActionRecord | TransitionRecord


def is_step_record(raw: JsonObject, step: str, since: int) -> bool:
    """Whether a raw record is a maintenance step of this name after `since` (nanoseconds)."""
    return bool(raw["what"] == "step" and raw["step"] == step and raw["at"] > since)


def parse_record(raw: JsonObject) -> ProcessRecord:
    """Decodes a record; a process writes each as one JSON object a line."""
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
    """A stand-in client sent a request to a dispatcher."""

    at: int
    dispatcher: str
    request_class: str


@dataclass(frozen=True, slots=True)
class ClientAnswer:
    """The answer to a client: status and body, or the failure of the connection."""

    at: int
    request_id: str
    dispatcher: str
    text: str

    @property
    def status(self) -> str:
        """The digits of the HTTP status; another text if the connection failed."""
        return self.text[:STATUS_DIGITS]


@dataclass(slots=True)
class Observations:
    """The events at the stand-ins, in the order of their times."""

    received_requests: list[ReceivedRequest] = field(default_factory=list)
    answers: list[ClientAnswer] = field(default_factory=list)
    requests: dict[str, SubmittedRequest] = field(default_factory=dict)  # by request id


class PublishOutcome(StrEnum):
    """The result of a publish as its operator received it."""

    CONFIRMED = "confirmed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class PublishRecord:
    """A publish with its result. Times are nanoseconds."""

    call_id: str
    started_at: int
    process: str
    document: str
    content: JsonObject
    outcome: PublishOutcome = PublishOutcome.UNKNOWN
    version: int = 0
    ended_at: int = 0


@dataclass(slots=True)
class DocumentVersion:
    """A version of a document in the history of a process at the end of the trial."""

    number: int
    reason: str
    content: JsonObject
    other_fields: JsonObject = field(default_factory=dict)

    @classmethod
    def from_raw(cls, raw: JsonObject) -> "DocumentVersion":
        """Decodes a version from the response of an admin server."""
        other = {name: value for name, value in raw.items() if name not in ("number", "reason", "text")}
        return cls(number=raw["number"], reason=raw["reason"], content=raw["text"], other_fields=other)

    def canonical(self) -> str:
        """Returns a text that is equal for two versions if and only if all their fields are."""
        return json.dumps([self.number, self.reason, self.content, self.other_fields], sort_keys=True)


# By process, document and number of the version.
Histories = dict[str, dict[str, dict[int, DocumentVersion]]]


@dataclass(frozen=True, slots=True)
class JobLimits:
    """The limits of a maintenance job, decoded without the program's own code."""

    on_dispatchers: bool
    at_once: int  # machines
    per_zone: int  # machines; 0 for no limit
    remaining_share: float  # share of all machines that must stay in service
    repeatable: bool  # the command may run again on a machine
    zones: frozenset[str]  # empty for all zones
    machines: frozenset[str]  # empty for all machines

    @classmethod
    def from_specification(cls, specification: JsonObject) -> "JobLimits":
        """Decodes the limits from the specification of a job in a plan."""
        return cls(
            on_dispatchers=specification.get("of") == "dispatchers",
            at_once=specification.get("at-once", 1),
            per_zone=specification.get("a-zone", 0),
            remaining_share=specification.get("stays", DEFAULT_REMAINING_SHARE),
            repeatable=specification.get("again", False),
            zones=frozenset(specification.get("zones") or ()),
            machines=frozenset(specification.get("machines") or ()),
        )


@dataclass(slots=True)
class MaintenanceRun:
    """Work on a machine, recorded by the operator or the command that did it."""

    machine_id: str
    job: str
    number: int  # log index of the step that freed the machine
    began_at: int
    ended_at: int = 0  # 0 while the work lasts

    def format_line(self) -> str:
        """Returns the line for the file `runs.txt` of the trial."""
        return (
            f"Run(uid={self.machine_id!r}, work={self.job!r}, number={self.number}, "
            f"begin={self.began_at}, end={self.ended_at})"
        )


@dataclass(slots=True)
class TrialRecord:
    """All records of a finished trial."""

    staleness_bound: int  # nanoseconds in which two processes may act on different documents
    process_records: dict[str, list[ProcessRecord]]  # by process, in the order written
    observations: Observations
    publishes: list[PublishRecord]
    histories: Histories
    downtimes: dict[str, list[Period]]  # by process
    final_faults: dict[str, str] = field(default_factory=dict)  # reason by process; "" if healthy
    zones: dict[str, str] = field(default_factory=dict)  # by backend
    jobs: dict[str, JobLimits] = field(default_factory=dict)
    runs: list[MaintenanceRun] = field(default_factory=list)
    losses: dict[str, list[Period]] = field(default_factory=dict)  # by backend
    unfinished_jobs: dict[str, str] = field(default_factory=dict)  # reason by job

    def started_at(self) -> int:
        """Returns the time of the first record of any process."""
        return min((records[0].at for records in self.process_records.values() if records), default=0)

    def format_time(self, time_ns: int) -> str:
        """Returns the time since the start of the trial, in seconds."""
        return f"{(time_ns - self.started_at()) / NANOSECONDS_PER_SECOND:.3f} s"
