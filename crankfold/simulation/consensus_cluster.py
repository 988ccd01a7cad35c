"""Many members of a fleet in simulated time, with losses, cuts, pauses, crashes and clocks that differ.

What holds is checked after every event by code that uses none of the product's bookkeeping beyond what each
process would do if a unit came in now: what it acts on, whether it may, and what it holds.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

import msgspec

from crankfold.consensus.conservative_merge import LIMITS, QUOTAS, SETTINGS
from crankfold.consensus.follower import Follower
from crankfold.consensus.log_entries import EntryKind
from crankfold.consensus.member import MaintenanceCoordinator, Member
from crankfold.consensus.messages import MaintenanceReport, Message, ProposalResponse
from crankfold.consensus.raft_state import PersistentState, Ready, Role
from crankfold.consensus.timing import Timing
from crankfold.consensus.voter import Voter
from crankfold.simulation.event_queue import EventQueue

IDEMPOTENCY_VALUES = ("safe", "keyed", "unsafe")
REQUEST_DEADLINE = 20_000  # of the only grade, tenths of a millisecond
POLL_INTERVAL = 20
TOTAL_QUOTA = 30


@dataclass(frozen=True, slots=True)
class ClusterFault:
    """From one time to another, tenths of a millisecond.

    `loss`: a share of the messages from `at` to `to` ("" for any); `delay`: so much more, drawn for each, so
    that they overtake one another; `double`: a share comes twice; `pause`: `at` stands still and wakes;
    `kill`: it dies and starts at the end; `wipe`: without its folder; `disk`: what it writes takes until the
    end.
    """

    kind: str
    begin: int
    end: int
    process: str = ""
    receiver: str = ""
    magnitude: float = 1.0


@dataclass(frozen=True, slots=True)
class ClusterCase:
    voter_count: int = 3
    follower_count: int = 2
    seconds: float = 12.0
    seed: int = 1
    publish_every: float = 0.7
    publish_until: float = 1e9
    allocates_quotas: bool = False  # drawn by operators
    publishes_limits: bool = False  # dealt by whoever leads
    with_load: bool = True  # units in hand, counted against shares
    staleness_bound: int = 20_000
    faults: tuple[ClusterFault, ...] = ()
    network_delay: int = 4
    disk_write_range: tuple[int, int] = (5, 40)  # what a write takes, from and to
    polls_when_due: bool = False  # looks at the time only when a member asked for it
    clock_drift: float = 0.01


class IdleHost:
    """The host of a member without requests and machines in maintenance; it can use any document."""

    def quiesced_index(self, last_applied: int) -> int:
        """All of it."""
        return last_applied

    def quota_usage(self) -> dict[str, int]:
        """None."""
        return {}

    def maintenance_report(self) -> MaintenanceReport | None:
        """None."""
        return None

    def validate_document(self, name: str, content: dict[str, Any]) -> str:  # noqa: ARG002 - a Protocol's signature
        """No error."""
        return ""


class SimulatedProcess(IdleHost):
    def __init__(self, fleet: "SimulatedCluster", name: str, rate: float) -> None:
        self.cluster, self.name, self.clock_rate = fleet, name, rate
        self.clock_offset = fleet.rng.randrange(1_000_000)
        self.persistent_state, self.storage_id = PersistentState(), f"{name} 0"
        self.generation, self.running, self.writing = 0, False, False
        self.paused_until = 0
        self.request_ends: list[int] = []  # when each that is in hand ends, by true time
        self.wanted_requests = 0  # units that it would take if it could
        self.member: Member | None = None
        self.newest_versions: dict[str, int] = {}  # of all its lives, the newest versions that it acted on
        self.checked_history, self.checked_versions = (
            (0, -1),
            (0, -1),
        )  # the life and index that were checked last

    def local_time(self) -> int:
        return self.clock_offset + int(self.cluster.events.now * self.clock_rate)

    def start(self) -> None:
        self.generation += 1
        self.running, self.writing, self.request_ends = True, False, []
        self.member = self.cluster.make_member(self)
        self._poll(self.generation)

    def quiesced_index(self, last_applied: int) -> int:
        """Up to which index its requests in hand keep within its quota."""
        assert self.member is not None
        quota = self.cluster.quota_of(self)
        if quota is None or len(self.request_ends) <= quota:
            return last_applied
        pending = [
            version.index for name, version in self.member.documents.pending_versions() if name == QUOTAS
        ]
        return min([last_applied, *(index - 1 for index in pending)])

    def quota_usage(self) -> dict[str, int]:
        """Requests in hand and wanted."""
        return {"all": len(self.request_ends) + self.wanted_requests}

    def _poll(self, life: int) -> None:
        if life != self.generation or not self.running:
            return
        if self.cluster.events.now >= self.paused_until:
            self.deliver(lambda member, now: member.tick(now))  # type: ignore[attr-defined]
        wait = POLL_INTERVAL
        if self.cluster.cluster_case.polls_when_due and isinstance(self.member, Voter | Follower):
            wait = max(POLL_INTERVAL, self.member.next_deadline() - self.local_time())
        self.cluster.events.schedule(wait, lambda: self._poll(life))

    def deliver(self, call: Callable[[Member, int], None]) -> None:
        """Something happens here, unless it stands still: then it happens when it wakes."""
        fleet, life = self.cluster, self.generation
        if not self.running or self.member is None:
            return
        if fleet.events.now < self.paused_until:
            fleet.events.schedule(
                self.paused_until - fleet.events.now,
                lambda: self.deliver(call) if life == self.generation else None,
            )
            return
        before = self._decision_state()
        call(self.member, self.local_time())
        self.flush_ready()
        for told in self.member.proposal_responses:
            fleet.publish_answered(told)
        self.member.proposal_responses.clear()
        if before != self._decision_state():
            fleet.check_invariants()

    def _decision_state(self) -> tuple[int, int, bool]:
        member = self.member
        assert member is not None
        return (
            member.last_applied,
            member.lease_expires_at,
            isinstance(member, Voter) and member.raft.role == Role.LEADER,
        )

    def flush_ready(self) -> None:
        assert isinstance(self.member, Voter | Follower)
        for to, message in self.member.take_immediate_messages():
            self.cluster.send_message(self, to, message)
        if self.writing or not isinstance(self.member, Voter):
            return
        batch = self.member.take_ready(self.local_time())
        if batch.must_sync():
            self.writing = True
            life = self.generation
            self.cluster.events.schedule(
                self.cluster.disk_delay(self.name), lambda: self._written(life, batch)
            )
            if not self.cluster.sends_before_write:
                return
        self._send_messages(batch)

    def _written(self, life: int, batch: Ready) -> None:
        if life != self.generation or not self.running:
            return  # died before it was on the disk
        self.persist(batch)
        self.writing = False
        if not self.cluster.sends_before_write:
            self._send_messages(batch)
        assert isinstance(self.member, Voter)
        self.member.advance(self.local_time(), batch)
        self.flush_ready()
        self.cluster.check_invariants()

    def persist(self, batch: Ready) -> None:
        stored = self.persistent_state
        stored.term = batch.term
        stored.vote = batch.vote if not self.cluster.forgets_votes else ""
        stored.founding_member = batch.founding_member
        if batch.snapshot:
            stored.snapshot = batch.snapshot
            stored.entries = []
        if batch.entries:
            del stored.entries[batch.first_index - stored.snapshot.index - 1 :]
            stored.entries += batch.entries

    def _send_messages(self, batch: Ready) -> None:
        for to, message in batch.messages:
            self.cluster.send_message(self, to, message)

    def kill_and_wipe(self) -> None:
        self.kill()
        self.persistent_state, self.storage_id = PersistentState(), f"{self.name} {self.generation}"

    def kill(self) -> None:
        self.cluster.check_invariants()
        self.running, self.member, self.request_ends = False, None, []
        self.generation += 1


class SimulatedCluster:
    """Plays a case. `broken` has what did not hold, told with the time and the processes."""

    sends_before_write = forgets_votes = False  # faults that tests plant

    def __init__(
        self, case: ClusterCase, voter: type[Voter] = Voter, follower: type[Follower] = Follower
    ) -> None:
        self.cluster_case, self.events, self.rng = case, EventQueue(), Random(case.seed)
        self.member_types = voter, follower
        self.timing = Timing(case.staleness_bound)
        self.voters = [f"v{n}" for n in range(case.voter_count)]
        names = self.voters + [f"f{n}" for n in range(case.follower_count)]
        self.processes = {
            name: SimulatedProcess(self, name, 1 + self.rng.uniform(-case.clock_drift, case.clock_drift))
            for name in names
        }
        self.violations: list[str] = []
        self.message_counts: dict[str, list[int]] = {}  # by sender: how many, bytes
        self.first_applied_at: dict[int, int] = {}  # by index: when somebody first acted on it
        self.leaders_by_term: dict[int, str] = {}  # by term
        self.state_by_index: dict[int, bytes] = {}  # of all, after each index that somebody stopped at
        self.pending_publishes: dict[int, int] = {}  # by the index of a count: that of its publish
        self.highest_applied, self.longest_contradiction = 0, 0
        self.outcomes: dict[str, ProposalResponse] = {}
        self.publish_attempts: dict[str, tuple[int, int]] = {}  # by call: when, and how often
        self.lease_views: dict[
            str, tuple[int, int]
        ] = {}  # what each acted on at the last look, and until when
        self.call_count = 0

    # --- the world ---

    def make_member(self, process: SimulatedProcess) -> Member:
        voter, follower = self.member_types
        seed = self.rng.randrange(1 << 62)
        now, life = process.local_time(), self.rng.randrange(1 << 40)
        if process.name in self.voters:
            stored = msgspec.msgpack.decode(
                msgspec.msgpack.encode(process.persistent_state), type=PersistentState
            )
            return voter(
                process.name,
                stored,
                {v: "" for v in self.voters},
                timing=self.timing,
                now=now,
                seed=seed,
                incarnation=life,
                folder_id=process.storage_id,
                host=process,
                coordinator=self.coordinator_of(process),
                initial_settings=settings_document("safe"),
            )
        return follower(
            process.name,
            self.voters,
            timing=self.timing,
            now=now,
            seed=seed,
            incarnation=life,
            host=process,
        )

    def coordinator_of(self, process: SimulatedProcess) -> MaintenanceCoordinator | None:
        """Who decides about machines in maintenance if that process leads; None here."""
        return None

    def disk_delay(self, name: str) -> int:
        for trouble in self._active_faults("disk"):
            if trouble.process == name:
                return trouble.end - self.events.now
        return self.rng.randrange(*self.cluster_case.disk_write_range)

    def _active_faults(self, kind: str) -> list[ClusterFault]:
        return [t for t in self.cluster_case.faults if t.kind == kind and t.begin <= self.events.now < t.end]

    def send_message(self, sender: SimulatedProcess, to: str, message: Message) -> None:
        tally = self.message_counts.setdefault(sender.name, [0, 0])
        tally[0] += 1
        tally[1] += len(msgspec.msgpack.encode(message)) + 4
        for trouble in self._active_faults("loss"):
            if (
                trouble.process in ("", sender.name)
                and trouble.receiver in ("", to)
                and self.rng.random() < trouble.magnitude
            ):
                return
        wait = self.cluster_case.network_delay + self.rng.randrange(self.cluster_case.network_delay + 1)
        for trouble in self._active_faults("delay"):
            if trouble.process in ("", sender.name) and trouble.receiver in ("", to):
                wait += self.rng.randrange(int(trouble.magnitude) + 1)
        for trouble in self._active_faults("double"):
            if self.rng.random() < trouble.magnitude:
                again = wait + self.rng.randrange(5000)
                self.events.schedule(again, lambda: self._message_arrived(sender.name, to, message))
        self.events.schedule(wait, lambda: self._message_arrived(sender.name, to, message))

    def _message_arrived(self, sender: str, to: str, message: Message) -> None:
        process, folder = self.processes.get(to), self.processes[sender].storage_id
        if (
            process
            and isinstance(process.member, Voter)
            and sender in self.voters
            and process.member.admission_error(sender, folder)
        ):
            return
        if process:
            process.deliver(lambda member, now: member.receive(now, sender, message))  # type: ignore[attr-defined]

    def run(self) -> "SimulatedCluster":
        for process in self.processes.values():
            self.events.schedule(self.rng.randrange(2000), process.start)
        for trouble in self.cluster_case.faults:
            if trouble.kind in ("kill", "wipe"):
                process = self.processes[trouble.process]
                self.events.schedule(
                    trouble.begin, process.kill if trouble.kind == "kill" else process.kill_and_wipe
                )
                self.events.schedule(trouble.end, self.processes[trouble.process].start)
            elif trouble.kind == "pause":
                self.events.schedule(trouble.begin, lambda t=trouble: self._pause(t))  # type: ignore[misc]
        end = int(self.cluster_case.seconds * 10_000)
        self.events.schedule(int(self.cluster_case.publish_every * 10_000), self._publish_at_random)
        if self.cluster_case.with_load:
            self.events.schedule(5000, self._generate_load)
        self.events.run(end)
        self._check_final_state()
        return self

    def _pause(self, trouble: ClusterFault) -> None:
        self.processes[trouble.process].paused_until = trouble.end

    # --- operators and units ---

    def _publish_at_random(self) -> None:
        self.events.schedule(
            int(self.rng.expovariate(1 / self.cluster_case.publish_every) * 10_000) + 1,
            self._publish_at_random,
        )
        process = self.rng.choice(list(self.processes.values()))
        if (
            process.member is None
            or not process.running
            or self.events.now > self.cluster_case.publish_until * 10_000
        ):
            return
        self.call_count += 1
        call = f"c{self.call_count}"
        doc = QUOTAS if self.cluster_case.allocates_quotas and self.rng.random() < 0.6 else SETTINGS
        if self.cluster_case.publishes_limits and self.rng.random() < 0.3:
            doc = LIMITS
        text: dict[str, Any]
        if doc == QUOTAS:
            names = list(self.processes)
            cuts = sorted(self.rng.randrange(TOTAL_QUOTA + 1) for _ in names[1:])
            parts = [b - a for a, b in zip([0, *cuts], [*cuts, TOTAL_QUOTA], strict=True)]
            text = {"shares": {"all": dict(zip(names, parts, strict=True))}}
        elif doc == LIMITS:
            text = {"limits": {"all": self.rng.choice((TOTAL_QUOTA, TOTAL_QUOTA // 2))}}
        else:
            text = settings_document(self.rng.choice(IDEMPOTENCY_VALUES))
        latest = process.member.documents.document(doc).latest_number()
        data = {"doc": doc, "made_from": latest, "author": "o", "reason": "r", "at": 0, "text": text}
        for again in range(self.rng.choice((1, 1, 2))):  # the answer may be lost, and it is asked for again
            self.events.schedule(again * 4000, lambda: self._submit_publish(process.name, call, data))

    def _submit_publish(self, name: str, call: str, data: dict[str, Any]) -> None:
        when, often = self.publish_attempts.get(call, (self.events.now, 0))
        self.publish_attempts[call] = when, often + 1
        self.processes[name].deliver(lambda member, now: member.propose(now, call, EntryKind.PUBLISH, data))  # type: ignore[attr-defined]

    def publish_answered(self, told: ProposalResponse) -> None:
        before = self.outcomes.get(told.proposal_id)
        if before and before.accepted and not told.accepted and told.version_number:
            self._report_violation(f"{told.proposal_id} was confirmed, then refused")
        if not before or told.accepted:
            self.outcomes[told.proposal_id] = told

    def quota_of(self, process: SimulatedProcess) -> int | None:
        deal = process.member.effective_content(QUOTAS) if process.member else None
        parts = (deal or {}).get("shares", {}).get("all")
        return None if parts is None else int(parts.get(process.name, 0))

    def _quota_in_effect(self, process: SimulatedProcess) -> bool:
        """Whether a deal counts there: a first one binds all from then on."""
        if process.member is None:
            return False
        doc = process.member.documents.document(QUOTAS)
        version = doc.find(doc.active_number)
        return version is not None and "all" in version.text["shares"]

    def allocation_count(self) -> int:
        """How many deals there were."""
        return max(
            (
                p.member.documents.document(QUOTAS).latest_number()
                for p in self.processes.values()
                if p.member
            ),
            default=0,
        )

    def _generate_load(self) -> None:
        """Each takes what its share lets it, under the rules it acts on."""
        self.events.schedule(400, self._generate_load)
        now = self.events.now
        for process in self.processes.values():
            process.request_ends = [end for end in process.request_ends if end > now]
            if (
                not process.running
                or now < process.paused_until
                or process.member is None
                or not process.member.has_lease(process.local_time())
            ):
                continue
            part = self.quota_of(process)
            process.wanted_requests = (
                self.rng.randrange(TOTAL_QUOTA) if self.rng.random() < 0.01 else process.wanted_requests
            )
            if part is not None and len(process.request_ends) < part:
                process.request_ends.append(now + self.rng.randrange(500, REQUEST_DEADLINE))
        if all(self._quota_in_effect(p) for p in self.processes.values() if p.running):
            whole = sum(len(p.request_ends) for p in self.processes.values())
            if whole > TOTAL_QUOTA:
                self._report_violation(f"{whole} units in hand of {TOTAL_QUOTA} that are allowed to all")

    # --- what must hold ---

    def _report_violation(self, what: str) -> None:
        if len(self.violations) < 20:
            self.violations.append(f"{self.events.now / 10_000:.3f} s: {what}")

    def check_invariants(self) -> None:
        now = self.events.now
        for name, (applied, until) in self.lease_views.items():
            # It could have acted on this since the last look, for as long as its lease was.
            behind = [i for i in range(applied + 1, self.highest_applied + 1) if i in self.first_applied_at]
            if behind:
                late = min(until, now) - self.first_applied_at[behind[0]]
                self.longest_contradiction = max(self.longest_contradiction, late)
                if late > self.cluster_case.staleness_bound:
                    self._report_violation(f"{name} acts on {applied} {late / 10:.0f} ms after {behind[0]}")
        held = {}
        for name, process in self.processes.items():
            member = process.member
            if not process.running or member is None:
                continue
            if process.checked_history != (process.generation, member.last_applied):
                process.checked_history = process.generation, member.last_applied
                self._check_history(name, member)
            if (
                isinstance(member, Voter)
                and member.raft.role == Role.LEADER
                and self.leaders_by_term.setdefault(member.raft.term, name) != name
            ):
                self._report_violation(
                    f"{name} and {self.leaders_by_term[member.raft.term]} lead in term {member.raft.term}"
                )
            if member.has_lease(process.local_time()):
                left = int((member.lease_expires_at - process.local_time()) / process.clock_rate)
                held[name] = member.last_applied, now + left
                if process.checked_versions != (process.generation, member.last_applied):
                    process.checked_versions = process.generation, member.last_applied
                    self._check_versions(name, member, process)
                for index in range(self.highest_applied + 1, member.last_applied + 1):
                    self.first_applied_at[index] = now
                self.highest_applied = max(self.highest_applied, member.last_applied)
        self.lease_views = held
        least = min((applied for applied, _ in held.values()), default=self.highest_applied)
        for count, publish in self.pending_publishes.items():
            if count <= self.highest_applied and least < publish:
                late_ones = [name for name, (applied, _) in held.items() if applied < publish]
                self._report_violation(f"{late_ones} may act without having heard of {publish}, which counts")
        # What all have heard of is over.
        for index in [c for c, _ in self.pending_publishes.items() if c <= least]:
            del self.pending_publishes[index]

    def _check_history(self, name: str, member: Member) -> None:
        state = self.state_by_index.get(member.last_applied)
        if state is None:
            self.state_by_index[member.last_applied] = state = member.documents.encode()
            for doc in member.documents.replicated.documents.values():
                for version in doc.versions:
                    if version.number == doc.active_number and member.last_applied > version.index:
                        self.pending_publishes.setdefault(member.last_applied, version.index)
        elif state != member.documents.encode():
            self._report_violation(f"{name} has another history up to {member.last_applied}")

    def _check_versions(self, name: str, member: Member, process: SimulatedProcess) -> None:
        for doc, (counts, _) in member.documents.version_numbers().items():
            if counts < process.newest_versions.get(doc, 0):
                self._report_violation(f"{name} went back to version {counts} of {doc}")
            process.newest_versions[doc] = counts

    def _check_final_state(self) -> None:
        newest = max(
            (p.member for p in self.processes.values() if p.member),
            key=lambda m: m.last_applied,
            default=None,
        )
        if newest is None:
            return
        calls = newest.documents.replicated.outcomes
        for call, told in self.outcomes.items():
            made = calls.get(call)
            if told.accepted and (
                made is None or (made.version_number, made.log_index) != (told.version_number, told.log_index)
            ):
                self._report_violation(f"{call} was confirmed as {told.version_number} and is lost")
            if not told.accepted and told.version_number and made and made.accepted:
                self._report_violation(f"{call} was refused and took effect")


def settings_document(effect: str) -> dict[str, Any]:
    grade = {"name": "g", "effect": effect, "cut-off": REQUEST_DEADLINE * 100, "expected-time": 1000}
    return {"service-grades": [grade], "allowed": {"most-dispatches": 3}}


def random_scenario(
    seed: int,
    voter_count: int = 3,
    follower_count: int = 2,
    seconds: float = 12.0,
    allocates_quotas: bool = False,
    publishes_limits: bool = False,
) -> ClusterCase:
    """A case with troubles drawn by the seed, the last two seconds without."""
    luck = Random(f"schedule {seed}")
    names = [f"v{n}" for n in range(voter_count)] + [f"f{n}" for n in range(follower_count)]
    troubles = []
    end = int((seconds - 2) * 10_000)
    for _ in range(luck.randrange(2, 9)):
        kind = luck.choice(
            ("loss", "loss", "cut", "cut", "delay", "double", "pause", "pause", "kill", "kill", "disk", "all")
        )
        begin = luck.randrange(5000, end)
        until = min(begin + luck.choice((20, 300, 1000, 5000, 15_000, 30_000)), end + 1)
        at, to = luck.choice(names), luck.choice(names)
        if kind == "loss":
            troubles.append(ClusterFault(kind, begin, until, magnitude=luck.choice((0.05, 0.3, 0.6))))
        elif kind == "cut":
            troubles.append(ClusterFault("loss", begin, until, at, luck.choice((to, ""))))
            if luck.random() < 0.5:
                troubles.append(ClusterFault("loss", begin, until, luck.choice((to, "")), at))
        elif kind == "delay":
            troubles.append(ClusterFault(kind, begin, until, magnitude=luck.choice((100, 2000, 8000))))
        elif kind == "double":
            troubles.append(ClusterFault(kind, begin, until, magnitude=0.3))
        elif kind == "all":
            troubles += [
                ClusterFault("kill", begin, until + luck.randrange(3000), name)
                for name in names[:voter_count]
            ]
        elif kind == "disk":
            troubles.append(ClusterFault(kind, begin, until, luck.choice(names[:voter_count])))
        else:
            troubles.append(ClusterFault(kind, begin, until, at))
    return ClusterCase(
        voter_count,
        follower_count,
        seconds,
        seed,
        faults=_without_overlapping_kills(troubles),
        allocates_quotas=allocates_quotas,
        publishes_limits=publishes_limits,
    )


def _without_overlapping_kills(troubles: Sequence[ClusterFault]) -> tuple[ClusterFault, ...]:
    """One that is dead is not killed again."""
    kept: list[ClusterFault] = []
    for trouble in troubles:
        if trouble.kind == "kill" and any(
            t.kind == "kill"
            and t.process == trouble.process
            and t.begin <= trouble.end
            and trouble.begin <= t.end
            for t in kept
        ):
            continue
        kept.append(trouble)
    return tuple(kept)
