"""The parts of the consensus benchmark in simulated time, and the recovery of a voter from its disk."""

import tempfile
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.agreement_report import median, quantiles, say, write_table
from crankfold.cluster.raft_storage import RaftStorage
from crankfold.consensus.log_entries import EntryKind
from crankfold.consensus.messages import LogEntry, Snapshot
from crankfold.consensus.raft_state import Ready
from crankfold.consensus.timing import Timing
from crankfold.consensus.voter import Voter
from crankfold.simulation.consensus.cluster import (
    ClusterCase,
    ClusterFault,
    ClusterFaultKind,
    IdleHost,
    MessageCount,
    SimulatedCluster,
    settings_document,
)
from crankfold.simulation.maintenance.cases import MaintenanceCase
from crankfold.simulation.maintenance.fleet import MaintenanceFleet

VOTER_COUNTS = (3, 5, 7)
SEEDS = 100
DEATH = 30_000  # ticks, when the leader dies
LONG_AFTER = 200_000  # ticks
NEVER = 99.0  # seconds between publishes, longer than a case
LOOK_INTERVAL = 10  # ticks, a millisecond
CLUSTER_SIZES = (3, 50, 200, 1000)
TRAFFIC_SECONDS = 10.0
MAINTENANCE_SIZES = (3, 50, 200)
MACHINES = 9
JOB = {"way": "list", "at-once": 3, "stays": 0.0, "watch": 1.0, "least-answers": 0}
ENTRY_COUNTS = (10, 100, 1000, 10_000)
ENTRIES_PER_WRITE = 10
RECOVERIES = 5
COMPACTED_AT = 256  # entries


def _leader(cluster: SimulatedCluster) -> str | None:
    return next(
        (
            name
            for name, process in cluster.processes.items()
            if isinstance(process.member, Voter) and process.member.is_leader()
        ),
        None,
    )


# --- leaderless ---


@dataclass(frozen=True, slots=True)
class LeaderlessRow:
    """What followed the death of a leader."""

    voters: int
    seed: int
    ms_until_led: float
    ms_without_lease: float  # in which somebody had none


class LeaderlessWatch:
    """Looks at a cluster each millisecond after its leader's death."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster
        self.ms_until_led = 0.0
        self.ms_without_lease = 0.0

    def look(self) -> None:
        """Look, and again."""
        now = self.cluster.events.now
        if now > DEATH:
            if not self.ms_until_led and _leader(self.cluster):
                self.ms_until_led = (now - DEATH) / LOOK_INTERVAL
            if not all(
                process.member.has_lease(process.local_time())
                for process in self.cluster.processes.values()
                if process.member
            ):
                self.ms_without_lease += 1.0
        self.cluster.events.schedule(LOOK_INTERVAL, self.look)


def _measure_leaderless(job: tuple[int, int]) -> LeaderlessRow:
    voters, seed = job
    calm = ClusterCase(voter_count=voters, seconds=3.0, seed=seed, with_load=False, publish_every=NEVER)
    leader = _leader(SimulatedCluster(calm).run()) or "v0"
    case = ClusterCase(
        voter_count=voters,
        seconds=9.0,
        seed=seed,
        with_load=False,
        publish_every=NEVER,
        faults=(ClusterFault(ClusterFaultKind.KILL, DEATH, LONG_AFTER, leader),),
    )
    cluster = SimulatedCluster(case)
    watch = LeaderlessWatch(cluster)
    cluster.events.schedule(0, watch.look)
    cluster.run()
    assert not cluster.violations
    return LeaderlessRow(voters, seed, watch.ms_until_led, watch.ms_without_lease)


def leaderless() -> None:
    """How long a cluster is without a leader after its leader's death."""
    jobs = [(voters, seed) for voters in VOTER_COUNTS for seed in range(SEEDS)]
    with ProcessPoolExecutor() as pool:
        rows = list(pool.map(_measure_leaderless, jobs))
    for voters in VOTER_COUNTS:
        own = [row for row in rows if row.voters == voters]
        without = [row.ms_without_lease for row in own]
        say(
            f"emulated: without a leader after its death, {voters} voters: "
            f"{quantiles(row.ms_until_led for row in own)}; somebody without "
            f"a lease in {sum(ms > 0 for ms in without)} of {len(without)}, for {max(without):.0f} ms at most"
        )
    write_table(
        "leaderless",
        ["voters", "seed", "ms_until_led", "ms_somebody_without_lease"],
        [(row.voters, row.seed, row.ms_until_led, row.ms_without_lease) for row in rows],
    )


# --- traffic ---


@dataclass(frozen=True, slots=True)
class TrafficRow:
    """What a member of a kind sends in a second, on average."""

    size: int
    activity: str
    kind: str
    messages: float
    bytes_sent: float


def _measure_traffic(size: int) -> list[TrafficRow]:
    rows = []
    for interval, activity in ((NEVER, "nothing published"), (1.0, "a publish each second")):
        case = ClusterCase(
            follower_count=size - 3,
            seconds=TRAFFIC_SECONDS,
            with_load=False,
            publish_every=interval,
            seed=5,
            polls_when_due=True,
        )
        cluster = SimulatedCluster(case).run()
        assert not cluster.violations
        leader = _leader(cluster)
        kinds = {
            "leader": [leader] if leader else [],
            "voter": [name for name in cluster.voters if name != leader],
            "follower": [name for name in cluster.processes if name not in cluster.voters],
        }
        for kind, names in kinds.items():
            if names:
                counts = [cluster.message_counts.get(name, MessageCount()) for name in names]
                messages = sum(count.messages for count in counts)
                size_sent = sum(count.bytes_sent for count in counts)
                divisor = len(names) * TRAFFIC_SECONDS
                rows.append(TrafficRow(size, activity, kind, messages / divisor, size_sent / divisor))
    return rows


def traffic() -> None:
    """What members send each other."""
    with ProcessPoolExecutor() as pool:
        rows = [row for part in pool.map(_measure_traffic, CLUSTER_SIZES) for row in part]
    for row in rows:
        say(
            f"emulated: {row.size} dispatchers, {row.activity}: a {row.kind} sends "
            f"{row.messages:.0f} messages, {row.bytes_sent / 1000:.1f} kB a second"
        )
    write_table(
        "traffic",
        ["dispatchers", "what", "who", "messages_a_second", "bytes_a_second"],
        [(row.size, row.activity, row.kind, f"{row.messages:.1f}", f"{row.bytes_sent:.0f}") for row in rows],
    )


# --- maintenance ---


def _messages_sent(size: int, jobs: dict[str, Any]) -> dict[str, MessageCount]:
    """Returns the messages sent by each process of a fleet with these jobs."""
    case = ClusterCase(follower_count=size - 3, seconds=40.0, publish_every=1000.0, with_load=True)
    fleet = MaintenanceFleet(MaintenanceCase(case, jobs, request_rate=0.1)).run()
    assert not fleet.violations, fleet.violations
    if jobs:
        member = next(iter(fleet.processes.values())).member
        assert member
        completed = member.documents.replicated.maintenance.completed
        assert sum(len(machines) for machines in completed.values()) == MACHINES, completed
    return fleet.message_counts


def works() -> None:
    """What each machine costs that is taken out, worked on and brought back, in messages."""
    rows = []
    for size in MAINTENANCE_SIZES:
        with_job = _messages_sent(size, {"w": JOB})
        without = _messages_sent(size, {})
        for sender, names in (("all", list(with_job)), ("a follower", ["f0"])):
            known = [name for name in names if name in with_job]
            messages = sum(with_job[name].messages - without[name].messages for name in known) / MACHINES
            size_sent = sum(with_job[name].bytes_sent - without[name].bytes_sent for name in known) / MACHINES
            if sender == "all" or size > 3:
                rows.append((size, sender, f"{messages:.1f}", f"{size_sent:.0f}"))
                say(
                    f"works, emulated, {size} dispatchers: {sender} sends {messages:.1f} messages and "
                    f"{size_sent:.0f} bytes more for each machine"
                )
    write_table("works", ["dispatchers", "who", "messages", "bytes"], rows)


# --- recovery ---


def _entries(first: int) -> Iterator[LogEntry]:
    content = settings_document("safe")
    for index in range(first, first + ENTRIES_PER_WRITE):
        publish = {
            "call": str(index),
            "doc": "settings",
            "made_from": index - 1,
            "at": 0,
            "author": "o",
            "reason": "r",
            "text": content,
        }
        yield LogEntry(1, EntryKind.PUBLISH, publish)


def _write_log(folder: Path, count: int) -> int:
    """Store so many entries; the bytes that the log takes."""
    storage = RaftStorage(folder, "n0")
    snapshot = Snapshot(0, 0, {"n0": ""}, b"")
    storage.save(Ready(term=1, vote="n0", founding_member=True, hard_state_changed=True, snapshot=snapshot))
    for first in range(1, count + 1, ENTRIES_PER_WRITE):
        storage.save(
            Ready(
                term=1,
                vote="n0",
                founding_member=True,
                hard_state_changed=False,
                first_index=first,
                entries=list(_entries(first)),
            )
        )
    storage.close()
    return (folder / "history").stat().st_size


def _recover(folder: Path) -> float:
    """Milliseconds until a voter has read its log and applied it."""
    began = time.perf_counter()
    storage = RaftStorage(folder, "n0")
    voter = Voter(
        "n0",
        storage.persistent_state,
        {"n0": ""},
        timing=Timing(20_000),
        now=0,
        seed=1,
        incarnation=1,
        folder_id=storage.folder_id,
        host=IdleHost(),
    )
    voter.raft.commit_index = voter.raft.log.last_index()
    voter.process(1)
    duration = (time.perf_counter() - began) * 1000
    storage.close()
    return duration


def recovery() -> None:
    """How long a voter takes to read and apply its log."""
    rows = []
    for count in ENTRY_COUNTS:
        with tempfile.TemporaryDirectory() as name:
            size = _write_log(Path(name), count)
            duration = median([_recover(Path(name)) for _ in range(RECOVERIES)])
        rows.append((count, size, f"{duration:.1f}"))
        note = "" if count <= COMPACTED_AT else f" (a voter compacts its history at {COMPACTED_AT})"
        say(f"recovery of {count} entries, {size // 1000} kB: {duration:.1f} ms until applied{note}")
    write_table("recovery", ["entries", "bytes", "ms"], rows)
