"""What must hold in a cluster, checked after every change.

Uses none of the product's bookkeeping beyond what each process would do if a request came in now: what it
acts on, whether it may, and what it knows.
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
from crankfold.time_units import TICKS_PER_SECOND

MAX_VIOLATIONS = 20  # that are kept
TICKS_PER_MS = 10


class LeaseView(NamedTuple):
    """What a process acted on at the last check, and until when it may go on with that."""

    applied: int  # log index
    until: int  # ticks of true time


class CheckPoint(NamedTuple):
    """Up to where a process was checked."""

    generation: int
    applied: int


NOT_CHECKED = CheckPoint(generation=0, applied=-1)


@dataclass(slots=True)
class CheckedProcess:
    """What was seen of a process, in all its generations."""

    history: CheckPoint = NOT_CHECKED
    versions: CheckPoint = NOT_CHECKED
    newest_versions: dict[str, int] = field(default_factory=dict)  # by document, that it acted on


class ClusterInvariants:
    """Looks at all processes, and collects the violations."""

    def __init__(self, events: EventQueue, staleness_bound: int) -> None:
        self.events = events
        self.staleness_bound = staleness_bound
        self.violations: list[str] = []
        self.longest_contradiction = 0  # ticks for which two acted on different versions
        self.first_applied_at: dict[int, int] = {}  # by log index: when somebody first acted on it
        self.highest_applied = 0
        self.leaders_by_term: dict[int, str] = {}
        self.state_by_index: dict[int, bytes] = {}  # after each log index that somebody stopped at
        # By the log index that made a version active: that of its publish.
        self.pending_publishes: dict[int, int] = {}
        self.lease_views: dict[str, LeaseView] = {}  # by process
        self.checked: dict[str, CheckedProcess] = {}

    def report(self, text: str) -> None:
        """Something does not hold."""
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(f"{self.events.now / TICKS_PER_SECOND:.3f} s: {text}")

    def check(self, processes: Mapping[str, SimulatedProcess]) -> None:
        """Check all that holds at this moment."""
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
                remaining = int((member.lease_expires_at - process.local_time()) / process.clock_rate)
                views[name] = LeaseView(member.last_applied, self.events.now + remaining)
                if checked.versions != point:
                    checked.versions = point
                    self._check_versions(name, member, checked)
                for index in range(self.highest_applied + 1, member.last_applied + 1):
                    self.first_applied_at[index] = self.events.now
                self.highest_applied = max(self.highest_applied, member.last_applied)
        self.lease_views = views
        self._check_known_before_active()

    def _check_staleness(self) -> None:
        """Nobody could act on an old state since the last check for longer than the bound."""
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
                self.report(f"{name} acts on {view.applied} {duration / TICKS_PER_MS:.0f} ms after {missed}")

    def _check_leadership(self, name: str, member: Member) -> None:
        """A term has one leader."""
        if isinstance(member, Voter) and member.raft.role == Role.LEADER:
            term = member.raft.term
            leader = self.leaders_by_term.setdefault(term, name)
            if leader != name:
                self.report(f"{name} and {leader} lead in term {term}")

    def _check_history(self, name: str, member: Member) -> None:
        """All have the same documents after the same log entry."""
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
        """Nobody acts on an older version than before."""
        for document, (active, _) in member.documents.version_numbers().items():
            if active < checked.newest_versions.get(document, 0):
                self.report(f"{name} went back to version {active} of {document}")
            checked.newest_versions[document] = active

    def _check_known_before_active(self) -> None:
        """A version is active nowhere while somebody may act who does not know of its publish."""
        lowest = min((view.applied for view in self.lease_views.values()), default=self.highest_applied)
        for activation, publish in self.pending_publishes.items():
            if activation <= self.highest_applied and lowest < publish:
                unaware = [name for name, view in self.lease_views.items() if view.applied < publish]
                self.report(f"{unaware} may act without having heard of {publish}, which counts")
        # What all know of is settled.
        for activation in [index for index in self.pending_publishes if index <= lowest]:
            del self.pending_publishes[activation]

    def check_outcomes(self, responses: Mapping[str, ProposalResponse], members: Iterable[Member]) -> None:
        """At the end: what operators were told is what took effect."""
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
                self.report(f"{call} was confirmed as {response.version_number} and is lost")
            if not response.accepted and response.version_number and outcome and outcome.accepted:
                self.report(f"{call} was refused and took effect")
