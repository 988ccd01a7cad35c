"""Proposes transitions of machines in maintenance at the leader, without I/O and without a clock.

A run takes the state of the fleet and proposes transitions, which take effect when they are committed. A
coordinator stores only when it observed things and what it proposed recently, so any voter can take over.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Final

from msgspec import structs

from crankfold.maintenance.departures import propose_departures
from crankfold.maintenance.findings import Findings, WaitReason
from crankfold.maintenance.fleet_view import FleetView
from crankfold.maintenance.machine_progress import MachineProgress
from crankfold.maintenance.observations import Observations
from crankfold.maintenance.scheduler import Machine
from crankfold.maintenance.specification import JobSpecification, JobState, OverduePolicy
from crankfold.maintenance.state import MaintenanceState
from crankfold.maintenance.transitions import MaintenancePhase, Transition
from crankfold.time_units import TICKS_PER_SECOND

# A transition is not proposed again within this time, as its first proposal may not be committed yet.
REPROPOSE_TICKS: Final = TICKS_PER_SECOND
SHED_COOLDOWN_TICKS: Final = 5 * TICKS_PER_SECOND  # no machine is drained for this long after excess shedding


@dataclass(frozen=True, slots=True)
class DepartureBasis:
    """The state on which the last departures were decided, and the time of their proposal."""

    change_count: int
    jobs_version: int
    proposed_at: int


class Coordinator:
    """Proposes transitions. Times are ticks of the voter's clock.

    Attributes:
        member_name: The name of the voter.
        wait_reasons: Why machines and jobs wait, as of the last run.
        last_departures: The state on which the last departures were decided; None before any.
    """

    def __init__(self, member_name: str, progress: type[MachineProgress] = MachineProgress) -> None:
        """Starts without observations.

        Args:
            member_name: The name of the voter.
            progress: Decides the next transition of each machine.
        """
        self.member_name = member_name
        self.wait_reasons: Sequence[WaitReason] = ()
        self.last_departures: DepartureBasis | None = None
        self._progress = progress
        self._observations = Observations()
        self._proposed_at: dict[tuple[str, int, MaintenancePhase], int] = {}
        self._cooldown_until = 0

    def observe(self, now: int, state: MaintenanceState, machines: Sequence[Machine]) -> None:
        """Records observations at a voter that does not lead."""
        self._observations.observe(now, state, machines)

    def propose(self, view: FleetView) -> list[Transition]:
        """Returns the transitions to propose; they take effect when they are committed."""
        self._observations.observe(view.now, view.state, view.machines)
        view = replace(view, jobs=_with_halted_jobs_stopped(view))
        findings = Findings(excess_shedding=view.excess_shedding())
        if findings.excess_shedding:
            self._cooldown_until = view.now + SHED_COOLDOWN_TICKS
        transitions = self._machine_transitions(view, findings)
        transitions += self._halt_transitions(view, findings)
        transitions = self._record_new_proposals(view.now, transitions)
        transitions += self._departure_transitions(view, findings)
        self.wait_reasons = findings.wait_reasons()
        return [structs.replace(transition, at_ms=view.wall_ms) for transition in transitions]

    def _machine_transitions(self, view: FleetView, findings: Findings) -> list[Transition]:
        progress = self._progress(self.member_name, view, self._observations, findings)
        transitions = [
            progress.next_transition(machine_id, record)
            for machine_id, record in sorted(view.state.machines.items())
        ]
        return [transition for transition in transitions if transition]

    def _record_new_proposals(self, now: int, transitions: Sequence[Transition]) -> list[Transition]:
        """Returns the transitions that were not proposed recently, and records them as proposed."""
        self._proposed_at = {
            key: proposed_at
            for key, proposed_at in self._proposed_at.items()
            if now - proposed_at < REPROPOSE_TICKS
        }
        new: list[Transition] = []
        for transition in transitions:
            key = transition.machine_id or transition.job, transition.last_index or 0, transition.phase
            if key not in self._proposed_at:
                self._proposed_at[key] = now
                new.append(transition)
        return new

    def _halt_transitions(self, view: FleetView, findings: Findings) -> list[Transition]:
        reasons = {
            name: _halt_reason(view, findings, name, job)
            for name, job in view.jobs.items()
            if name not in view.state.halted_jobs
        }
        return [
            Transition(
                machine_id="", job=name, phase=MaintenancePhase.HALTED, by=self.member_name, reason=reason
            )
            for name, reason in reasons.items()
            if reason
        ]

    def _departure_transitions(self, view: FleetView, findings: Findings) -> list[Transition]:
        """Returns transitions that drain machines; none if some were proposed recently on the same state."""
        in_cooldown = view.now < self._cooldown_until
        transitions = propose_departures(view, self.member_name, findings, in_cooldown=in_cooldown)
        if not transitions:
            return []
        basis = DepartureBasis(view.state.change_count, view.jobs_version, view.now)
        last = self.last_departures
        if (
            last
            and (last.change_count, last.jobs_version) == (basis.change_count, basis.jobs_version)
            and view.now - last.proposed_at < REPROPOSE_TICKS
        ):
            return []
        self.last_departures = basis
        return transitions


def _with_halted_jobs_stopped(view: FleetView) -> dict[str, JobSpecification]:
    """Returns the jobs, with halted ones as if an operator had stopped them."""
    return {
        name: structs.replace(job, state=JobState.STOPPED) if name in view.state.halted_jobs else job
        for name, job in view.jobs.items()
    }


def _halt_reason(view: FleetView, findings: Findings, name: str, job: JobSpecification) -> str:
    """Returns the reason why a job halts; empty if it continues."""
    streak = view.state.unhealthy_streaks.get(name, 0)
    if streak >= job.max_unhealthy_streak:
        return f"{streak} unwell in a row"
    if job.overdue_policy == OverduePolicy.GIVE_UP:
        return findings.stuck_jobs.get(name, "")
    return ""
