"""What a trial is to do, read from TOML and checked."""

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field

PositiveNumber = Annotated[float, Meta(gt=0)]
NonNegativeNumber = Annotated[float, Meta(ge=0)]
PROMISES = (
    "bound",
    "heard-first",
    "history",
    "no-way-back",
    "publishes",
    "one-answer",
    "no-effect-twice",
    "out-means-out",
    "well-at-the-end",
    "free-means-free",
    "works-bounds",
    "commands",
    "works-end",
)
PROCESS_FAULTS = ("kill", "pause", "disk", "drain", "replace")
DISCOVERY_FAULTS = ("list-late", "list-down")
BACKEND_FAULTS = ("lose", "succeed")


class PlanError(Exception):
    """The plan can't be used; the text says where and why, in a line."""


class PublishSpecification(Struct, rename="kebab", forbid_unknown_fields=True):
    every: PositiveNumber = 0.7
    until: NonNegativeNumber = 1e9
    documents: list[Literal["settings", "runners-out"]] = field(
        default_factory=lambda: ["settings", "runners-out"]
    )
    at_once: Annotated[int, Meta(ge=1, le=8)] = 1  # operators that publish at the same moment
    repeat: Annotated[float, Meta(ge=0, le=1)] = 0.0  # share that is asked for twice with the same call


class FaultSpecification(Struct, rename="kebab", forbid_unknown_fields=True):
    kind: Literal[
        "loss",
        "delay",
        "double",
        "cut",
        "reset",
        "slow",
        "kill",
        "pause",
        "disk",
        "drain",
        "replace",
        "list-late",
        "list-down",
        "lose",
        "succeed",
    ]
    begin: NonNegativeNumber
    end: NonNegativeNumber
    at: str = "*"  # a process, "leader" or "*"; of a link the sender
    to: str = "*"
    both: bool = False  # of a link: the way back too
    share: Annotated[float, Meta(ge=0, le=1)] = 1.0
    ms: NonNegativeNumber = 0.0
    bytes_a_second: PositiveNumber = 10_000.0
    keep_folder: bool = True
    on_step: str = ""  # not at `begin`, but when a machine's next such step after it is told anywhere


class JobSpecification(Struct, rename="kebab", forbid_unknown_fields=True):
    """A work that is handed in; what it says itself is checked by the program."""

    name: str
    work: dict[str, Any]
    begin: NonNegativeNumber = 1.0
    lasts: PositiveNumber = 0.5  # seconds that a machine is down for it
    fails: Annotated[float, Meta(ge=0, le=1)] = 0.0  # share of the commands


class JobCommand(Struct, rename="kebab", forbid_unknown_fields=True):
    """An operator's word about a work under way."""

    name: str
    begin: NonNegativeNumber
    say: Literal["hold", "go", "stop"]


class TrialPlan(Struct, rename="kebab", forbid_unknown_fields=True):
    name: Annotated[str, Meta(pattern="^[a-z0-9-]+$")]
    seconds: PositiveNumber
    promises: Annotated[list[str], Meta(min_length=1)]
    seed: int = 1
    voters: Literal[3, 5, 7] = 3
    followers: Annotated[int, Meta(ge=0, le=50)] = 2
    stated_time: Annotated[float, Meta(ge=0.5, le=60)] = 2.0
    when_cut_off: Literal["shed", "go-on"] = "shed"
    runners: Annotated[int, Meta(ge=1, le=50)] = 4
    load: Annotated[float, Meta(ge=0, le=2000)] = 60.0  # units a second at all processes together
    work_ms: PositiveNumber = 40.0
    fails: Annotated[float, Meta(ge=0, le=1)] = 0.1  # share of the runs that a runner calls failed
    long: Annotated[float, Meta(ge=0, le=1)] = 0.0  # share of the units that run for `long-ms`
    long_ms: PositiveNumber = 8000.0
    zones: Annotated[int, Meta(ge=1, le=10)] = 1
    warm_after: NonNegativeNumber = 0.0
    settle: NonNegativeNumber = 15.0
    publish: PublishSpecification = field(default_factory=PublishSpecification)
    fault: list[FaultSpecification] = []
    work: list[JobSpecification] = []
    turn: list[JobCommand] = []

    def process_names(self) -> list[str]:
        return [f"n{n}" for n in range(self.voters + self.followers)]

    def machine_zones(self) -> dict[str, str]:
        """By id their zones."""
        return {f"r{n}": f"z{n % self.zones}" for n in range(self.runners)}


def load_plan(path: Path) -> TrialPlan:
    try:
        plan = msgspec.convert(tomllib.loads(path.read_text()), TrialPlan)
    except OSError as wrong:
        raise PlanError(f"{path}: {wrong.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as wrong:
        raise PlanError(f"{path}: {wrong}") from None
    except msgspec.ValidationError as wrong:
        raise PlanError(f"{path}: {wrong}") from None
    for promise in plan.promises:
        if promise not in PROMISES:
            raise PlanError(f"{path}: promises: found {promise!r}; there are {', '.join(PROMISES)}")
    processes = {"*", "leader", *plan.process_names()}
    machines = {*plan.machine_zones(), *plan.machine_zones().values()}
    for n, fault in enumerate(plan.fault):
        known = machines if fault.kind in BACKEND_FAULTS else processes
        for what, name in (("at", fault.at), ("to", fault.to)):
            if name not in known and not (what == "to" and name == "*"):
                raise PlanError(
                    f"{path}: fault[{n}].{what}: found {name!r}; there are {', '.join(sorted(known))}"
                )
        if fault.end < fault.begin or fault.end > plan.seconds:
            raise PlanError(
                f"{path}: fault[{n}]: from {fault.begin} to {fault.end}, in {plan.seconds} s in all"
            )
        if fault.kind in PROCESS_FAULTS and fault.at == "*":
            raise PlanError(f"{path}: fault[{n}].at: missing; a {fault.kind} has to say at which process")
    return plan
