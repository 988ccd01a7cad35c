"""Checks the invariants of a simulated cluster after each change.

Of each member, the checks read only the state that decides on its requests: the active versions, the lease
and the applied log index.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from crankfold.consensus.member import Member
from crankfold.consensus.messages import ProposalResponse
from crankfold.consensus.raft_state import Role
from crankfold.consensus.voter import Voter
from crankfold.simulation.consensus.process import SimulatedProcess
from crankfold.simulation.event_queue import EventQueue
from crankfold.time_units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND

MAX_VIOLATIONS = 20  # recorded; further ones are dropped


class LeaseView(NamedTuple):
    """The applied index and the lease of a process at the last check."""

    applied: int  # log index
    until: int  # end of the lease, ticks of simulated time


class CheckPoint(NamedTuple):
    """The generation and the log index up to which a process is checked."""

    generation: int
    applied: int


NOT_CHECKED = CheckPoint(generation=0, applied=-1)


@dataclass(slots=True)
class CheckedProcess:
    """The progress of the checks of a process, over all its generations."""

    history: CheckPoint = NOT_CHECKED
    versions: CheckPoint = NOT_CHECKED
    newest_versions: dict[str, int] = field(default_factory=dict)  # highest active version, by document


class ClusterInvariants:
    """Checks all processes and collects the violations.

    Args:
        events: The simulated time.
        staleness_bound: Ticks for which two processes may act on different versions.
    """

    def __init__(self, events: EventQueue, staleness_bound: int) -> None:
        self.events = events
        self.staleness_bound = staleness_bound
        self.violations: list[str] = []
        self.longest_contradiction = 0  # ticks for which two processes acted on different versions
        self.first_applied_at: dict[int, int] = {}  # ticks, by log index; time at the first process
        self.highest_applied = 0
        self.leaders_by_term: dict[int, str] = {}
        self.state_by_index: dict[int, bytes] = {}  # encoded documents by applied log index
        # Log index of the publish of a version, by the log index that activates the version.
        self.pending_publishes: dict[int, int] = {}
        self.lease_views: dict[str, LeaseView] = {}  # by process
        self.checked: dict[str, CheckedProcess] = {}

    def report(self, text: str) -> None:
        """Records a violation with the current time."""
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(f"{self.events.now / TICKS_PER_SECOND:.3f} s: {text}")

    def check(self, processes: Mapping[str, SimulatedProcess]) -> None:
        """Checks all invariants at the current time."""
        self._check_staleness()
        views: dict[str, LeaseView] = {}
        for name, process in processes.items():
            member = process.member
            if not process.running or member is None:
                continue
            checked = self.checked.setdefault(name, CheckedProcess())
            point = CheckPoint(process.generation, member.last_applied)
            if checked.history != point:
                checked.history = point
                self._check_history(name, member)
            self._check_leadership(name, member)
            if member.has_lease(process.local_time()):
                views[name] = self._lease_view(process, member)
                if checked.versions != point:
                    checked.versions = point
                    self._check_versions(name, member, checked)
                self._record_applied(member.last_applied)
        self.lease_views = views
        self._check_known_before_active()

    def _lease_view(self, process: SimulatedProcess, member: Member) -> LeaseView:
        remaining = int((member.lease_expires_at - process.local_time()) / process.clock_rate)
        return LeaseView(member.last_applied, self.events.now + remaining)

    def _record_applied(self, last_applied: int) -> None:
        for index in range(self.highest_applied + 1, last_applied + 1):
            self.first_applied_at[index] = self.events.now
        self.highest_applied = max(self.highest_applied, last_applied)

    def _check_staleness(self) -> None:
        """Checks that no process with a lease acts on an old state for longer than the bound."""
        for name, view in self.lease_views.items():
            missed = next(
                (
                    index
                    for index in range(view.applied + 1, self.highest_applied + 1)
                    if index in self.first_applied_at
                ),
                None,
            )
            if missed is None:
                continue
            duration = min(view.until, self.events.now) - self.first_applied_at[missed]
            self.longest_contradiction = max(self.longest_contradiction, duration)
            if duration > self.staleness_bound:
                self.report(
                    f"{name} acts on index {view.applied} "
                    f"{duration / TICKS_PER_MILLISECOND:.0f} ms after {missed} was applied"
                )

    def _check_leadership(self, name: str, member: Member) -> None:
        """Checks that each term has at most one leader."""
        if isinstance(member, Voter) and member.raft.role == Role.LEADER:
            term = member.raft.term
            leader = self.leaders_by_term.setdefault(term, name)
            if leader != name:
                self.report(f"{name} and {leader} lead in term {term}")

    def _check_history(self, name: str, member: Member) -> None:
        """Checks that all members have the same documents after the same log entry."""
        index = member.last_applied
        state = self.state_by_index.get(index)
        if state is not None:
            if state != member.documents.encode():
                self.report(f"{name} has another history up to {index}")
            return
        self.state_by_index[index] = member.documents.encode()
        for document in member.documents.replicated.documents.values():
            for version in document.versions:
                if version.number == document.active_number and index > version.index:
                    self.pending_publishes.setdefault(index, version.index)

    def _check_versions(self, name: str, member: Member, checked: CheckedProcess) -> None:
        """Checks that no process returns to an older version of a document."""
        for document, (active, _) in member.documents.version_numbers().items():
            if active < checked.newest_versions.get(document, 0):
                self.report(f"{name} went back to version {active} of {document}")
            checked.newest_versions[document] = active

    def _check_known_before_active(self) -> None:
        """Checks that no version is active before each process with a lease has applied its publish."""
        lowest = min((view.applied for view in self.lease_views.values()), default=self.highest_applied)
        for activation, publish in self.pending_publishes.items():
            if activation <= self.highest_applied and lowest < publish:
                unaware = [name for name, view in self.lease_views.items() if view.applied < publish]
                self.report(f"{unaware} may act without having heard of {publish}, which is active")
        # Publishes that all processes with a lease have applied need no further check.
        for activation in [index for index in self.pending_publishes if index <= lowest]:
            del self.pending_publishes[activation]

    def check_outcomes(self, responses: Mapping[str, ProposalResponse], members: Iterable[Member]) -> None:
        """Checks that the responses to operators agree with the replicated outcomes."""
        newest = max(members, key=lambda member: member.last_applied, default=None)
        if newest is None:
            return
        outcomes = newest.documents.replicated.outcomes
        for call, response in responses.items():
            outcome = outcomes.get(call)
            if response.accepted and (
                outcome is None
                or (outcome.version_number, outcome.log_index)
                != (response.version_number, response.log_index)
            ):
                self.report(f"{call} was accepted as {response.version_number} and is lost")
            if not response.accepted and response.version_number and outcome and outcome.accepted:
                self.report(f"{call} was rejected but took effect")
