"""The calls and answers of the admin API of maintenance, with the JSON keys that operators' commands use.

Only this module maps these keys to the names in the code.
"""

from typing import Any, NamedTuple

from msgspec import Struct, field


class TransitionRequest(Struct, rename="kebab", forbid_unknown_fields=True):
    """The call that requests a transition of a machine."""

    call: str  # idempotency key of the call
    machine_id: str = field(name="machine")
    step: str
    drain_number: int = field(name="number", default=0)
    author: str = ""
    reason: str = field(name="why", default="")


class ForecastRequest(Struct, rename="kebab", forbid_unknown_fields=True):
    """The call that requests a forecast of a job that is not published."""

    name: str
    job: dict[str, Any] = field(name="work")


class TransitionResult(NamedTuple):
    """The outcome of a transition that an operator requested."""

    accepted: bool
    reason: str = ""  # of a rejection
    outcome_known: bool = True  # False if the transition may have been accepted, or may still be


class JobStatus(Struct):
    """A job and its progress."""

    reason: str = field(name="why")
    state: str
    halted: str  # why the job has halted by itself; empty if it has not
    wanted: int  # number of machines that the job covers
    done: dict[str, str]  # machine id to the phase in which its maintenance ended
    left: list[str]  # ids of machines that have not been taken out yet


class MachineWait(Struct):
    """The reason why a machine waits; an empty machine id stands for the job itself."""

    machine_id: str = field(name="machine")
    job: str = field(name="work")
    reason: str = field(name="why")


class MaintenanceOverview(Struct):
    """The status of maintenance: jobs, machines in maintenance, transitions and wait reasons."""

    jobs: dict[str, JobStatus] = field(name="works")
    machines: dict[str, dict[str, Any]]
    transitions: list[dict[str, Any]] = field(name="steps")
    waits: list[MachineWait]
    is_leader: bool = field(name="leads")
    leader: str
    restored_locally: list[str] = field(name="here")


class ForecastDeparture(Struct):
    """The period for which a machine would be out; times are seconds from now."""

    begin: float
    end: float
    machine_id: str = field(name="machine")
    zone: str
    waited_for: str = field(name="why")  # what the machine would wait for before


class ForecastAnswer(Struct):
    """The departures of machines if a job were published now, and the machines that would never be out."""

    accepted: bool = field(name="well")
    departures: list[ForecastDeparture] = field(name="turns")
    wait_reasons: dict[str, str] = field(name="waits")  # by id of a machine that would never be out
