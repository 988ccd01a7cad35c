"""A process of a simulated cluster: its clock, its disk, its requests and its member."""

from collections.abc import Callable
from random import Random
from typing import Protocol

from crankfold.consensus.follower import Follower
from crankfold.consensus.member import Member
from crankfold.consensus.messages import MaintenanceReport, Message, ProposalResponse
from crankfold.consensus.raft_state import PersistentState, Ready, Role
from crankfold.consensus.voter import Voter
from crankfold.document_names import QUOTAS
from crankfold.simulation.consensus.case import ClusterCase, Document
from crankfold.simulation.event_queue import EventQueue

POLL_INTERVAL_TICKS = 20  # between two calls of Member.tick
MAX_CLOCK_OFFSET_TICKS = 1_000_000  # between the clocks of two processes at the start
QUOTA_KEY = "all"  # the only quota


class ClusterEnvironment(Protocol):
    """The part of a cluster that its processes use."""

    cluster_case: ClusterCase
    events: EventQueue
    rng: Random
    sends_before_write: bool
    forgets_votes: bool

    def make_member(self, process: "SimulatedProcess") -> Member:
        """Creates the member of a starting process."""

    def disk_delay(self, name: str) -> int:
        """Returns the duration of a disk write that begins now, in ticks."""

    def send_message(self, sender: "SimulatedProcess", receiver: str, message: Message) -> None:
        """Sends a message of the process."""

    def publish_answered(self, response: ProposalResponse) -> None:
        """Called with the response to an operator's publish."""

    def check_invariants(self) -> None:
        """Checks the invariants; called after a change of a process."""


class IdleHost:
    """A member's host without requests or maintenance; it accepts every document."""

    def quiesced_index(self, last_applied: int) -> int:
        """Returns `last_applied`: no request uses an older version."""
        return last_applied

    def collect_quota_usage(self) -> dict[str, int]:
        """Returns an empty map."""
        return {}

    def build_maintenance_report(self) -> MaintenanceReport | None:
        """Returns None."""
        return None

    def validate_document(self, name: str, content: Document) -> str:  # noqa: ARG002 - a Protocol's signature
        """Returns "": the document is valid."""
        return ""


class SimulatedProcess(IdleHost):
    """A process that runs a member; faults kill, pause and restart it."""

    def __init__(self, cluster: ClusterEnvironment, name: str, clock_rate: float) -> None:
        self.cluster = cluster
        self.name = name
        self.clock_rate = clock_rate
        self.clock_offset = cluster.rng.randrange(MAX_CLOCK_OFFSET_TICKS)
        self.persistent_state = PersistentState()
        self.storage_id = f"{name} 0"
        self.generation = 0  # incremented at each start and kill
        self.running = False
        self.writing = False
        self.paused_until = 0
        self.request_ends: list[int] = []  # of each request in flight, ticks of simulated time
        self.wanted_requests = 0  # unmet demand, beyond the requests in flight
        self.member: Member | None = None

    def local_time(self) -> int:
        """Returns the time of the process's own clock, in ticks."""
        return self.clock_offset + int(self.cluster.events.now * self.clock_rate)

    def start(self) -> None:
        """Starts the process from its disk, without requests."""
        self.generation += 1
        self.running = True
        self.writing = False
        self.request_ends = []
        self.member = self.cluster.make_member(self)
        self._poll(self.generation)

    def kill(self) -> None:
        """Kills the process; writes in progress are lost."""
        self.cluster.check_invariants()
        self.running = False
        self.member = None
        self.request_ends = []
        self.generation += 1

    def kill_and_wipe(self) -> None:
        """Kills the process and deletes its disk."""
        self.kill()
        self.persistent_state = PersistentState()
        self.storage_id = f"{self.name} {self.generation}"

    # --- requests and quotas ---

    def quota(self) -> int | None:
        """Returns the requests that the process may have in flight; None without quotas."""
        document = self.member.effective_content(QUOTAS) if self.member else None
        quotas = (document or {}).get("shares", {}).get(QUOTA_KEY)
        return None if quotas is None else int(quotas.get(self.name, 0))

    def has_active_quota(self) -> bool:
        """Whether an allocation of quotas is active at the process."""
        if self.member is None:
            return False
        document = self.member.documents.document(QUOTAS)
        version = document.find(document.active_number)
        return version is not None and QUOTA_KEY in version.text["shares"]

    def collect_quota_usage(self) -> dict[str, int]:
        """Returns the number of requests in flight plus the unmet demand."""
        return {QUOTA_KEY: len(self.request_ends) + self.wanted_requests}

    def quiesced_index(self, last_applied: int) -> int:
        """Returns the log index up to which the requests in flight conform to the quota."""
        assert self.member is not None
        quota = self.quota()
        if quota is None or len(self.request_ends) <= quota:
            return last_applied
        pending = [
            version.index for name, version in self.member.documents.pending_versions() if name == QUOTAS
        ]
        return min([last_applied, *(index - 1 for index in pending)])

    # --- the member ---

    def _poll(self, generation: int) -> None:
        if generation != self.generation or not self.running:
            return
        events = self.cluster.events
        if events.now >= self.paused_until:
            self.deliver(lambda member, now: member.tick(now))  # type: ignore[attr-defined]
        delay = POLL_INTERVAL_TICKS
        if self.cluster.cluster_case.polls_when_due and isinstance(self.member, Voter | Follower):
            delay = max(POLL_INTERVAL_TICKS, self.member.next_deadline() - self.local_time())
        events.schedule(delay, lambda: self._poll(generation))

    def deliver(self, event: Callable[[Member, int], None]) -> None:
        """Calls `event` with the member and its local time; a pause of the process delays the call."""
        events = self.cluster.events
        generation = self.generation
        if not self.running or self.member is None:
            return
        if events.now < self.paused_until:
            events.schedule(
                self.paused_until - events.now,
                lambda: self.deliver(event) if generation == self.generation else None,
            )
            return
        before = self._decision_state()
        event(self.member, self.local_time())
        self._flush_ready()
        for response in self.member.proposal_responses:
            self.cluster.publish_answered(response)
        self.member.proposal_responses.clear()
        if before != self._decision_state():
            self.cluster.check_invariants()

    def _decision_state(self) -> tuple[int, int, bool]:
        """Returns the state that the invariants depend on: applied index, lease and leadership."""
        member = self.member
        assert member is not None
        leads = isinstance(member, Voter) and member.raft.role == Role.LEADER
        return member.last_applied, member.lease_expires_at, leads

    def _flush_ready(self) -> None:
        """Starts the next write of the member and sends its messages."""
        assert isinstance(self.member, Voter | Follower)
        for receiver, message in self.member.take_immediate_messages():
            self.cluster.send_message(self, receiver, message)
        if self.writing or not isinstance(self.member, Voter):
            return
        ready = self.member.take_ready(self.local_time())
        if ready.must_sync():
            self.writing = True
            generation = self.generation
            delay = self.cluster.disk_delay(self.name)
            self.cluster.events.schedule(delay, lambda: self._written(generation, ready))
            if not self.cluster.sends_before_write:
                return
        self._send_messages(ready)

    def _written(self, generation: int, ready: Ready) -> None:
        if generation != self.generation or not self.running:
            return  # killed before the write completed
        self._persist(ready)
        self.writing = False
        if not self.cluster.sends_before_write:
            self._send_messages(ready)
        assert isinstance(self.member, Voter)
        self.member.advance(self.local_time(), ready)
        self._flush_ready()
        self.cluster.check_invariants()

    def _persist(self, ready: Ready) -> None:
        stored = self.persistent_state
        stored.term = ready.term
        stored.vote = "" if self.cluster.forgets_votes else ready.vote
        stored.founding_member = ready.founding_member
        if ready.snapshot:
            stored.snapshot = ready.snapshot
            stored.entries = []
        if ready.entries:
            del stored.entries[ready.first_index - stored.snapshot.index - 1 :]
            stored.entries += ready.entries

    def _send_messages(self, ready: Ready) -> None:
        for receiver, message in ready.messages:
            self.cluster.send_message(self, receiver, message)
