"""Proposes the transitions of machines in maintenance, at whichever voter leads. No I/O, no clock of its own.

It is told the time and all that is known, and proposes transitions; one is acted on once it is committed.
What it remembers itself is only since when it has known of each transition, so that any voter can go on
where another was.
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

REPROPOSE_AFTER: Final = TICKS_PER_SECOND  # the first proposal may be lost
SHED_COOLDOWN: Final = 5 * TICKS_PER_SECOND  # without too much shedding, before machines go out again


@dataclass(frozen=True, slots=True)
class DepartureBasis:
    """What the last departures were decided on, and when."""

    change_count: int
    jobs_version: int
    proposed_at: int


class Coordinator:
    """Decides on maintenance. Times are ticks of the voter's own clock."""

    def __init__(self, member_name: str, progress: type[MachineProgress] = MachineProgress) -> None:
        """Begins with nothing observed.

        Args:
            member_name: The voter's name.
            progress: Chooses the next transition of each machine.
        """
        self.member_name = member_name
        self.wait_reasons: Sequence[WaitReason] = ()  # as the last look found them
        self.last_departures: DepartureBasis | None = None
        self._progress = progress
        self._observations = Observations()
        self._proposed_at: dict[tuple[str, int, MaintenancePhase], int] = {}
        self._cooldown_until = 0

    def observe(self, now: int, state: MaintenanceState, machines: Sequence[Machine]) -> None:
        """Takes note of what is known, at a voter that does not lead."""
        self._observations.observe(now, state, machines)

    def propose(self, view: FleetView) -> list[Transition]:
        """The transitions to propose now; none of them may be acted on before it is committed."""
        self._observations.observe(view.now, view.state, view.machines)
        view = replace(view, jobs=_with_halted_stopped(view))
        findings = Findings(excess_shedding=view.excess_shedding())
        if findings.excess_shedding:
            self._cooldown_until = view.now + SHED_COOLDOWN
        transitions = self._next_of_each(view, findings)
        transitions += self._halts(view, findings)
        transitions = [
            transition for transition in transitions if self._is_new_proposal(view.now, transition)
        ]
        transitions += self._departures(view, findings)
        self.wait_reasons = findings.wait_reasons()
        return [structs.replace(transition, at_ms=view.wall_ms) for transition in transitions]

    def _next_of_each(self, view: FleetView, findings: Findings) -> list[Transition]:
        progress = self._progress(self.member_name, view, self._observations, findings)
        transitions = [
            progress.next_transition(machine_id, record)
            for machine_id, record in sorted(view.state.machines.items())
        ]
        return [transition for transition in transitions if transition]

    def _is_new_proposal(self, now: int, transition: Transition) -> bool:
        """Not proposed a moment ago: that is on its way to the disks of the others."""
        key = transition.machine_id or transition.job, transition.last_index or 0, transition.phase
        before = self._proposed_at.get(key)
        if before is not None and now - before < REPROPOSE_AFTER:
            return False
        self._proposed_at = {
            known: proposed_at
            for known, proposed_at in self._proposed_at.items()
            if now - proposed_at < REPROPOSE_AFTER
        }
        self._proposed_at[key] = now
        return True

    def _halts(self, view: FleetView, findings: Findings) -> list[Transition]:
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

    def _departures(self, view: FleetView, findings: Findings) -> list[Transition]:
        """Machines to take out, unless some were proposed a moment ago on the same basis."""
        in_cooldown = view.now < self._cooldown_until
        transitions = propose_departures(view, self.member_name, findings, in_cooldown=in_cooldown)
        if not transitions:
            return []
        basis = DepartureBasis(view.state.change_count, view.jobs_version, view.now)
        last = self.last_departures
        if (
            last
            and (last.change_count, last.jobs_version) == (basis.change_count, basis.jobs_version)
            and view.now - last.proposed_at < REPROPOSE_AFTER
        ):
            return []
        self.last_departures = basis
        return transitions


def _with_halted_stopped(view: FleetView) -> dict[str, JobSpecification]:
    """The jobs, those that stopped by themselves as if operators had stopped them."""
    return {
        name: structs.replace(job, state=JobState.STOPPED) if name in view.state.halted_jobs else job
        for name, job in view.jobs.items()
    }


def _halt_reason(view: FleetView, findings: Findings, name: str, job: JobSpecification) -> str:
    """Why a job stops by itself, or ""."""
    streak = view.state.unhealthy_streaks.get(name, 0)
    if streak >= job.max_unhealthy_streak:
        return f"{streak} unwell in a row"
    if job.overdue_policy == OverduePolicy.GIVE_UP:
        return findings.stuck_jobs.get(name, "")
    return ""
