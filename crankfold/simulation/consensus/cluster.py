"""A simulated cluster of members with message loss, partitions, pauses, crashes and clock drift."""

from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Self

import msgspec

from crankfold.consensus.follower import Follower
from crankfold.consensus.log_entries import EntryKind
from crankfold.consensus.member import MaintenanceCoordinator, Member
from crankfold.consensus.messages import Message, ProposalResponse
from crankfold.consensus.raft_state import PersistentState
from crankfold.consensus.timing import Timing
from crankfold.consensus.voter import Voter
from crankfold.document_names import LIMITS, QUOTAS, SETTINGS
from crankfold.simulation.consensus.case import (
    REQUEST_DEADLINE,
    TOTAL_QUOTA,
    ClusterCase,
    ClusterFault,
    ClusterFaultKind,
    Document,
    random_scenario,
    settings_document,
)
from crankfold.simulation.consensus.invariants import ClusterInvariants
from crankfold.simulation.consensus.process import QUOTA_KEY, IdleHost, SimulatedProcess
from crankfold.simulation.event_queue import EventQueue
from crankfold.time_units import TICKS_PER_SECOND

__all__ = [
    "REQUEST_DEADLINE",
    "ClusterCase",
    "ClusterFault",
    "ClusterFaultKind",
    "Document",
    "IdleHost",
    "MessageCount",
    "SimulatedCluster",
    "SimulatedProcess",
    "random_scenario",
    "settings_document",
]

IDEMPOTENCY_VALUES = ("safe", "keyed", "unsafe")  # values that operators publish for the request class
FRAME_HEADER_BYTES = 4  # before each message
MAX_START_DELAY_TICKS = 2000
LOAD_START_TICKS = 5000
LOAD_INTERVAL_TICKS = 400
MIN_REQUEST_DURATION_TICKS = 500
MAX_DUPLICATE_DELAY_TICKS = 5000
REPEAT_INTERVAL_TICKS = 4000  # after which an operator repeats a publish
SUBMISSION_COUNTS = (1, 1, 2)  # drawn for each publish, so that a third of them is sent twice
QUOTA_SHARE = 0.6  # share of the publishes that allocate quotas, if operators do so
LIMITS_SHARE = 0.3  # share of the publishes that change limits, if operators do so
NEW_DEMAND_SHARE = 0.01  # share of the rounds in which the demand of a member changes
SEED_COUNT = 1 << 62  # range of the seeds of members
INCARNATION_COUNT = 1 << 40  # range of the incarnations of members


@dataclass(slots=True)
class MessageCount:
    """The messages that a process has sent, including lost ones."""

    messages: int = 0
    bytes_sent: int = 0  # including the header of each frame


class SimulatedCluster:
    """Simulates a case and collects the violations of the invariants.

    Args:
        case: The size, the load and the faults.
        voter_type: The class of the voters; tests use subclasses with a fault.
        follower_type: The class of the followers.
    """

    # Faults that tests inject.
    sends_before_write = False
    forgets_votes = False

    def __init__(
        self,
        case: ClusterCase,
        voter_type: type[Voter] = Voter,
        follower_type: type[Follower] = Follower,
    ) -> None:
        self.cluster_case = case
        self.voter_type = voter_type
        self.follower_type = follower_type
        self.events = EventQueue()
        self.rng = Random(case.seed)
        self.timing = Timing(case.staleness_bound)
        self.voters = case.process_names()[: case.voter_count]
        self.processes = {
            name: SimulatedProcess(self, name, 1 + self.rng.uniform(-case.clock_drift, case.clock_drift))
            for name in case.process_names()
        }
        self.invariants = ClusterInvariants(self.events, case.staleness_bound)
        self.message_counts: dict[str, MessageCount] = {}  # by sender
        self.outcomes: dict[str, ProposalResponse] = {}  # by proposal id
        self.call_count = 0

    @property
    def violations(self) -> list[str]:
        """Descriptions of the violations, each with its time."""
        return self.invariants.violations

    @property
    def longest_contradiction(self) -> int:
        """The longest period in which two processes acted on different versions, in ticks."""
        return self.invariants.longest_contradiction

    def run(self) -> Self:
        """Runs the case to its end and returns the cluster."""
        case = self.cluster_case
        for process in self.processes.values():
            self.events.schedule(self.rng.randrange(MAX_START_DELAY_TICKS), process.start)
        for fault in case.faults:
            self._schedule_fault(fault)
        self.events.schedule(int(case.publish_every * TICKS_PER_SECOND), self._publish_at_random)
        if case.with_load:
            self.events.schedule(LOAD_START_TICKS, self._generate_load)
        self.events.run(int(case.seconds * TICKS_PER_SECOND))
        self._check_final_state()
        return self

    # --- invariants ---

    def _report_violation(self, text: str) -> None:
        self.invariants.report(text)

    def check_invariants(self) -> None:
        """Checks the invariants of all processes; called after a change of any process."""
        self.invariants.check(self.processes)

    def _check_final_state(self) -> None:
        members = [process.member for process in self.processes.values() if process.member]
        self.invariants.check_outcomes(self.outcomes, members)

    # --- processes, disks and the network ---

    def make_member(self, process: SimulatedProcess) -> Member:
        """Creates the member of a starting process from its storage."""
        seed = self.rng.randrange(SEED_COUNT)
        now = process.local_time()
        incarnation = self.rng.randrange(INCARNATION_COUNT)
        if process.name not in self.voters:
            return self.follower_type(
                process.name,
                self.voters,
                timing=self.timing,
                now=now,
                seed=seed,
                incarnation=incarnation,
                host=process,
            )
        stored = msgspec.msgpack.encode(process.persistent_state)
        return self.voter_type(
            process.name,
            msgspec.msgpack.decode(stored, type=PersistentState),
            dict.fromkeys(self.voters, ""),
            timing=self.timing,
            now=now,
            seed=seed,
            incarnation=incarnation,
            folder_id=process.storage_id,
            host=process,
            coordinator=self.coordinator_of(process),
            initial_settings=settings_document("safe"),
        )

    def coordinator_of(self, process: SimulatedProcess) -> MaintenanceCoordinator | None:  # noqa: ARG002 - overridden
        """Returns the maintenance coordinator of a process; None without maintenance."""
        return None

    def disk_delay(self, name: str) -> int:
        """Returns the duration in ticks of a disk write that begins now."""
        for fault in self._active_faults(ClusterFaultKind.SLOW_DISK):
            if fault.process == name:
                return fault.end - self.events.now
        return self.rng.randrange(*self.cluster_case.disk_write_range)

    def _active_faults(self, kind: ClusterFaultKind) -> list[ClusterFault]:
        return [
            fault
            for fault in self.cluster_case.faults
            if fault.kind is kind and fault.is_active(self.events.now)
        ]

    def _schedule_fault(self, fault: ClusterFault) -> None:
        if fault.kind is ClusterFaultKind.PAUSE:
            self.events.schedule(fault.begin, partial(self._pause, fault))
        elif fault.kind in (ClusterFaultKind.KILL, ClusterFaultKind.WIPE):
            process = self.processes[fault.process]
            is_kill = fault.kind is ClusterFaultKind.KILL
            self.events.schedule(fault.begin, process.kill if is_kill else process.kill_and_wipe)
            self.events.schedule(fault.end, process.start)

    def _pause(self, fault: ClusterFault) -> None:
        self.processes[fault.process].paused_until = fault.end

    def send_message(self, sender: SimulatedProcess, receiver: str, message: Message) -> None:
        """Sends a message; active faults drop, delay or duplicate it."""
        count = self.message_counts.setdefault(sender.name, MessageCount())
        count.messages += 1
        count.bytes_sent += len(msgspec.msgpack.encode(message)) + FRAME_HEADER_BYTES
        for fault in self._active_faults(ClusterFaultKind.LOSS):
            if fault.affects(sender.name, receiver) and self.rng.random() < fault.magnitude:
                return
        network_delay = self.cluster_case.network_delay
        delay = network_delay + self.rng.randrange(network_delay + 1)
        for fault in self._active_faults(ClusterFaultKind.DELAY):
            if fault.affects(sender.name, receiver):
                delay += self.rng.randrange(int(fault.magnitude) + 1)
        arrive = partial(self._message_arrived, sender.name, receiver, message)
        for fault in self._active_faults(ClusterFaultKind.DUPLICATION):
            if self.rng.random() < fault.magnitude:
                self.events.schedule(delay + self.rng.randrange(MAX_DUPLICATE_DELAY_TICKS), arrive)
        self.events.schedule(delay, arrive)

    def _message_arrived(self, sender: str, receiver: str, message: Message) -> None:
        process = self.processes.get(receiver)
        if process is None:
            return
        if isinstance(process.member, Voter) and sender in self.voters:
            storage_id = self.processes[sender].storage_id
            if process.member.admit(sender, storage_id):
                return
        process.deliver(lambda member, now: member.receive(now, sender, message))  # type: ignore[attr-defined]

    # --- operators ---

    def _publish_at_random(self) -> None:
        case = self.cluster_case
        delay = int(self.rng.expovariate(1 / case.publish_every) * TICKS_PER_SECOND) + 1
        self.events.schedule(delay, self._publish_at_random)
        process = self.rng.choice(list(self.processes.values()))
        is_over = self.events.now > case.publish_until * TICKS_PER_SECOND
        if process.member is None or not process.running or is_over:
            return
        self.call_count += 1
        document = self._random_document()
        publish = {
            "doc": document,
            "made_from": process.member.documents.document(document).latest_number(),
            "author": "o",
            "reason": "r",
            "at": 0,
            "text": self._random_content(document),
        }
        submit = partial(self._submit_publish, process.name, f"c{self.call_count}", publish)
        # Operators repeat a publish with the same call id, as its response may be lost.
        for repetition in range(self.rng.choice(SUBMISSION_COUNTS)):
            self.events.schedule(repetition * REPEAT_INTERVAL_TICKS, submit)

    def _random_document(self) -> str:
        case = self.cluster_case
        document = QUOTAS if case.allocates_quotas and self.rng.random() < QUOTA_SHARE else SETTINGS
        if case.publishes_limits and self.rng.random() < LIMITS_SHARE:
            document = LIMITS
        return document

    def _random_content(self, document: str) -> Document:
        if document == LIMITS:
            return {"limits": {QUOTA_KEY: self.rng.choice((TOTAL_QUOTA, TOTAL_QUOTA // 2))}}
        if document == SETTINGS:
            return settings_document(self.rng.choice(IDEMPOTENCY_VALUES))
        names = list(self.processes)
        cuts = sorted(self.rng.randrange(TOTAL_QUOTA + 1) for _ in names[1:])
        quotas = [high - low for low, high in zip([0, *cuts], [*cuts, TOTAL_QUOTA], strict=True)]
        return {"shares": {QUOTA_KEY: dict(zip(names, quotas, strict=True))}}

    def _submit_publish(self, name: str, call: str, data: Document) -> None:
        self.processes[name].deliver(lambda member, now: member.propose(now, call, EntryKind.PUBLISH, data))  # type: ignore[attr-defined]

    def publish_answered(self, response: ProposalResponse) -> None:
        """Records the response to an operator's publish; an acceptance is final."""
        before = self.outcomes.get(response.proposal_id)
        if before and before.accepted and not response.accepted and response.version_number:
            self._report_violation(f"{response.proposal_id} was accepted, then rejected")
        if not before or response.accepted:
            self.outcomes[response.proposal_id] = response

    # --- load ---

    def allocation_count(self) -> int:
        """Returns how many allocations of quotas the members know."""
        members = [process.member for process in self.processes.values() if process.member]
        return max((member.documents.document(QUOTAS).latest_number() for member in members), default=0)

    def _generate_load(self) -> None:
        """Lets each process accept requests within its quota, and checks their total against the limit."""
        self.events.schedule(LOAD_INTERVAL_TICKS, self._generate_load)
        for process in self.processes.values():
            self._accept_requests(process)
        if all(process.has_active_quota() for process in self.processes.values() if process.running):
            total = sum(len(process.request_ends) for process in self.processes.values())
            if total > TOTAL_QUOTA:
                self._report_violation(f"{total} requests in flight of a total quota of {TOTAL_QUOTA}")

    def _accept_requests(self, process: SimulatedProcess) -> None:
        now = self.events.now
        process.request_ends = [end for end in process.request_ends if end > now]
        if not process.running or now < process.paused_until or process.member is None:
            return
        if not process.member.has_lease(process.local_time()):
            return
        quota = process.quota()
        if self.rng.random() < NEW_DEMAND_SHARE:
            process.wanted_requests = self.rng.randrange(TOTAL_QUOTA)
        if quota is not None and len(process.request_ends) < quota:
            duration = self.rng.randrange(MIN_REQUEST_DURATION_TICKS, REQUEST_DEADLINE)
            process.request_ends.append(now + duration)
