"""Trial plans: decoded from TOML and validated. `docs/trial.md` explains each key."""

import tomllib
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct, field

from crankfold.errors import CrankfoldError
from crankfold.fault_injection.records import JsonObject, Promise

PositiveNumber = Annotated[float, Meta(gt=0)]
NonNegativeNumber = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]

PROMISES = tuple(promise.value for promise in Promise)
ANY = "*"  # every process, or every receiver
LEADER = "leader"  # the process that is the leader when the fault begins
UNLIMITED_SECONDS = 1e9


class PlanError(CrankfoldError):
    """A plan is not valid or cannot be carried out; the message is one line with the place and the reason."""


class FaultKind(StrEnum):
    """Kinds of faults; the values are the names in plans."""

    LOSS = "loss"  # a link drops a share of the messages
    DELAY = "delay"  # a link delays each message by a random time below `ms`, so that it reorders them
    DUPLICATION = "double"  # a link delivers a share of the messages twice
    CUT = "cut"  # a link drops all messages
    RESET = "reset"  # connections are reset repeatedly
    SLOW = "slow"  # a link has the bandwidth `bytes-a-second`
    KILL = "kill"  # a process is killed and restarts at the end of the fault
    PAUSE = "pause"  # a process is stopped and continues at the end of the fault
    FULL_DISK = "disk"  # the files of a process cannot grow
    DRAIN = "drain"  # a process ends gracefully and restarts at the end of the fault
    REPLACEMENT = "replace"  # a new process takes over, as at an upgrade
    LATE_LIST = "list-late"  # discovery publishes changes late
    SILENT_LIST = "list-down"  # discovery does not answer
    BACKEND_LOSS = "lose"  # backends fail and return in slow start
    BACKEND_SUCCESSION = "succeed"  # new backends replace failed ones


PROCESS_FAULTS = frozenset(
    {FaultKind.KILL, FaultKind.PAUSE, FaultKind.FULL_DISK, FaultKind.DRAIN, FaultKind.REPLACEMENT}
)
DISCOVERY_FAULTS = frozenset({FaultKind.LATE_LIST, FaultKind.SILENT_LIST})
BACKEND_FAULTS = frozenset({FaultKind.BACKEND_LOSS, FaultKind.BACKEND_SUCCESSION})


class PublishSpecification(Struct, rename="kebab", forbid_unknown_fields=True):
    """The publishes of operators during the trial."""

    mean_interval: PositiveNumber = field(name="every", default=0.7)  # seconds
    until: NonNegativeNumber = UNLIMITED_SECONDS  # seconds from the start
    documents: list[Literal["settings", "runners-out"]] = field(
        default_factory=lambda: ["settings", "runners-out"]
    )
    at_once: Annotated[int, Meta(ge=1, le=8)] = 1  # operators that publish at the same moment
    # Share of the publishes that are sent twice, with the same call id.
    repeat_share: Share = field(name="repeat", default=0.0)


class FaultSpecification(Struct, rename="kebab", forbid_unknown_fields=True):
    """A fault from `begin` to `end`, in seconds from the start."""

    kind: FaultKind
    begin: NonNegativeNumber
    end: NonNegativeNumber
    # A backend or zone for faults of backends, else a process, LEADER or ANY; the sender for faults of links.
    target: str = field(name="at", default=ANY)
    receiver: str = field(name="to", default=ANY)  # of a link
    both_ways: bool = field(name="both", default=False)  # of a link: also from the receiver to the sender
    share: Share = 1.0  # of the messages
    delay_ms: NonNegativeNumber = field(name="ms", default=0.0)
    bytes_per_second: PositiveNumber = field(name="bytes-a-second", default=10_000.0)
    keep_folder: bool = True  # whether a killed process keeps its storage
    on_step: str = ""  # if set, the fault begins at the first record of this maintenance step after `begin`


class JobSpecification(Struct, rename="kebab", forbid_unknown_fields=True):
    """A maintenance job that an operator submits; the program validates its specification."""

    name: str
    specification: JsonObject = field(name="work")
    begin: NonNegativeNumber = 1.0  # seconds from the start
    down_seconds: PositiveNumber = field(name="lasts", default=0.5)  # downtime of each machine
    failure_share: Share = field(name="fails", default=0.0)  # of the commands


class JobCommand(Struct, rename="kebab", forbid_unknown_fields=True):
    """An operator's change of the state of a running job."""

    name: str
    begin: NonNegativeNumber  # seconds from the start
    state: Literal["hold", "go", "stop"] = field(name="say")


class TrialPlan(Struct, rename="kebab", forbid_unknown_fields=True):
    """A trial: its processes, load, faults, and the guarantees to check."""

    name: Annotated[str, Meta(pattern="^[a-z0-9-]+$")]
    seconds: PositiveNumber
    promises: Annotated[list[str], Meta(min_length=1)]
    seed: int = 1
    voters: Literal[3, 5, 7] = 3
    followers: Annotated[int, Meta(ge=0, le=50)] = 2
    staleness_bound: Annotated[float, Meta(ge=0.5, le=60)] = field(name="stated-time", default=2.0)  # seconds
    without_lease: Literal["shed", "go-on"] = field(name="when-cut-off", default="shed")
    backends: Annotated[int, Meta(ge=1, le=50)] = field(name="runners", default=4)
    load: Annotated[float, Meta(ge=0, le=2000)] = 60.0  # requests a second at all processes together
    mean_run_ms: PositiveNumber = field(name="work-ms", default=40.0)
    failure_share: Share = field(name="fails", default=0.1)  # of the requests at backends
    long_share: Share = field(name="long", default=0.0)  # of the requests, with the duration `long_ms`
    long_ms: PositiveNumber = 8000.0
    zones: Annotated[int, Meta(ge=1, le=10)] = 1
    slow_start_seconds: NonNegativeNumber = field(name="warm-after", default=0.0)
    settle_seconds: NonNegativeNumber = field(name="settle", default=15.0)  # for jobs, after the load
    publish: PublishSpecification = field(default_factory=PublishSpecification)
    faults: list[FaultSpecification] = field(name="fault", default_factory=list)
    jobs: list[JobSpecification] = field(name="work", default_factory=list)
    job_commands: list[JobCommand] = field(name="turn", default_factory=list)

    def process_names(self) -> list[str]:
        """Returns the names of all processes, voters first."""
        return [f"n{number}" for number in range(self.voters + self.followers)]

    def voter_names(self) -> list[str]:
        """Returns the names of the voters."""
        return self.process_names()[: self.voters]

    def machine_zones(self) -> dict[str, str]:
        """Returns the zone by backend."""
        return {f"r{number}": f"z{number % self.zones}" for number in range(self.backends)}


def load_plan(path: Path) -> TrialPlan:
    """Reads and validates a plan.

    Raises:
        PlanError: The file cannot be read or is not valid.
    """
    try:
        plan = msgspec.convert(tomllib.loads(path.read_text()), TrialPlan)
        for promise in plan.promises:
            if promise not in PROMISES:
                raise PlanError(f"promises: found {promise!r}; there are {', '.join(PROMISES)}")
        for number, fault in enumerate(plan.faults):
            _check_fault(plan, number, fault)
    except OSError as error:
        raise PlanError(f"{path}: {error.strerror}") from None
    except (PlanError, tomllib.TOMLDecodeError, UnicodeDecodeError, msgspec.ValidationError) as error:
        raise PlanError(f"{path}: {error}") from None
    return plan


def _check_fault(plan: TrialPlan, number: int, fault: FaultSpecification) -> None:
    machines = {*plan.machine_zones(), *plan.machine_zones().values()}
    processes = {ANY, LEADER, *plan.process_names()}
    known = machines if fault.kind in BACKEND_FAULTS else processes
    for key, name in (("at", fault.target), ("to", fault.receiver)):
        if name not in known and not (key == "to" and name == ANY):
            raise PlanError(f"fault[{number}].{key}: found {name!r}; there are {', '.join(sorted(known))}")
    if fault.end < fault.begin or fault.end > plan.seconds:
        raise PlanError(f"fault[{number}]: from {fault.begin} to {fault.end}, in {plan.seconds} s in all")
    if fault.kind in PROCESS_FAULTS and fault.target == ANY:
        raise PlanError(f"fault[{number}].at: missing; a {fault.kind} has to say at which process")
