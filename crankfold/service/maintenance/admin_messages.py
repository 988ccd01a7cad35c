"""The calls and answers of the admin API of maintenance, with the JSON keys that operators' commands use.

This is the one place where these keys are mapped to the names in the code.
"""

from typing import Any, NamedTuple

from msgspec import Struct, field


class TransitionRequest(Struct, rename="kebab", forbid_unknown_fields=True):
    """The call for a transition of a machine."""

    call: str  # idempotency key of the call
    machine_id: str = field(name="machine")
    step: str
    drain_number: int = field(name="number", default=0)
    author: str = ""
    reason: str = field(name="why", default="")


class ForecastRequest(Struct, rename="kebab", forbid_unknown_fields=True):
    """The call for the forecast of a job that is not published."""

    name: str
    job: dict[str, Any] = field(name="work")


class TransitionResult(NamedTuple):
    """The outcome of a transition that an operator requested."""

    accepted: bool
    reason: str = ""  # of a rejection
    outcome_known: bool = True  # False if the transition may still be accepted


class JobStatus(Struct):
    """A job and its progress."""

    reason: str = field(name="why")
    state: str
    halted: str  # why the job halted by itself; empty if it has not
    wanted: int  # machines that the job covers
    done: dict[str, str]  # machine id to the phase in which its maintenance ended
    left: list[str]  # ids of machines that are not taken out yet


class MachineWait(Struct):
    """Why a machine waits, or a whole job if the machine id is empty."""

    machine_id: str = field(name="machine")
    job: str = field(name="work")
    reason: str = field(name="why")


class MaintenanceOverview(Struct):
    """The jobs, the machines in maintenance, the transitions and the wait reasons."""

    jobs: dict[str, JobStatus] = field(name="works")
    machines: dict[str, dict[str, Any]]
    transitions: list[dict[str, Any]] = field(name="steps")
    waits: list[MachineWait]
    is_leader: bool = field(name="leads")
    leader: str
    restored_locally: list[str] = field(name="here")


class ForecastDeparture(Struct):
    """When a machine would be taken out; times are seconds from now."""

    begin: float
    end: float
    machine_id: str = field(name="machine")
    zone: str
    waited_for: str = field(name="why")


class ForecastAnswer(Struct):
    """The departures of a job, if it were published now, and the machines that would never go out."""

    accepted: bool = field(name="well")
    departures: list[ForecastDeparture] = field(name="turns")
    wait_reasons: dict[str, str] = field(name="waits")
