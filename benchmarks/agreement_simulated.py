"""Runs the parts of the consensus benchmark in simulated time, and measures recovery of a voter from disk."""

import tempfile
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.agreement_report import median, print_line, quantiles, write_table
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
SEED_COUNT = 100
LEADER_KILL_TICK = 30_000
KILL_END_TICK = 200_000  # past the end of the case, so that the leader stays down
NO_PUBLISH_SECONDS = 99.0  # publish interval longer than a case, so that nothing is published
SAMPLE_INTERVAL_TICKS = 10  # 1 ms
CLUSTER_SIZES = (3, 50, 200, 1000)
TRAFFIC_SECONDS = 10.0
MAINTENANCE_SIZES = (3, 50, 200)
MACHINE_COUNT = 9
JOB = {"way": "list", "at-once": 3, "stays": 0.0, "watch": 1.0, "least-answers": 0}
ENTRY_COUNTS = (10, 100, 1000, 10_000)
ENTRIES_PER_WRITE = 10
RECOVERY_RUNS = 5
COMPACTION_ENTRIES = 256


def _find_leader(cluster: SimulatedCluster) -> str | None:
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
    """How long a cluster was without a leader and members without a lease after the leader was killed.

    Attributes:
        ms_without_lease: Time during which at least one member had no lease.
    """

    voters: int
    seed: int
    ms_until_led: float
    ms_without_lease: float


class LeaderlessSampler:
    """Samples the leader and the leases of a cluster each millisecond after its leader was killed."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster
        self.ms_until_led = 0.0
        self.ms_without_lease = 0.0

    def sample(self) -> None:
        """Takes a sample and schedules the next one."""
        now = self.cluster.events.now
        if now > LEADER_KILL_TICK:
            if not self.ms_until_led and _find_leader(self.cluster):
                self.ms_until_led = (now - LEADER_KILL_TICK) / SAMPLE_INTERVAL_TICKS
            if not all(
                process.member.has_lease(process.local_time())
                for process in self.cluster.processes.values()
                if process.member
            ):
                self.ms_without_lease += 1.0
        self.cluster.events.schedule(SAMPLE_INTERVAL_TICKS, self.sample)


def _measure_leaderless_case(parameters: tuple[int, int]) -> LeaderlessRow:
    voters, seed = parameters
    faultless_case = ClusterCase(
        voter_count=voters, seconds=3.0, seed=seed, with_load=False, publish_every=NO_PUBLISH_SECONDS
    )
    leader = _find_leader(SimulatedCluster(faultless_case).run()) or "v0"
    case = ClusterCase(
        voter_count=voters,
        seconds=9.0,
        seed=seed,
        with_load=False,
        publish_every=NO_PUBLISH_SECONDS,
        faults=(ClusterFault(ClusterFaultKind.KILL, LEADER_KILL_TICK, KILL_END_TICK, leader),),
    )
    cluster = SimulatedCluster(case)
    sampler = LeaderlessSampler(cluster)
    cluster.events.schedule(0, sampler.sample)
    cluster.run()
    assert not cluster.violations
    return LeaderlessRow(voters, seed, sampler.ms_until_led, sampler.ms_without_lease)


def measure_leaderless() -> None:
    """Measures how long a cluster is without a leader after its leader was killed."""
    cases = [(voters, seed) for voters in VOTER_COUNTS for seed in range(SEED_COUNT)]
    with ProcessPoolExecutor() as pool:
        rows = list(pool.map(_measure_leaderless_case, cases))
    for voters in VOTER_COUNTS:
        rows_of_size = [row for row in rows if row.voters == voters]
        gaps_ms = [row.ms_without_lease for row in rows_of_size]
        print_line(
            f"emulated: without a leader after its death, {voters} voters: "
            f"{quantiles(row.ms_until_led for row in rows_of_size)}; somebody without "
            f"a lease in {sum(ms > 0 for ms in gaps_ms)} of {len(gaps_ms)}, for {max(gaps_ms):.0f} ms at most"
        )
    write_table(
        "leaderless",
        ["voters", "seed", "ms_until_led", "ms_somebody_without_lease"],
        [(row.voters, row.seed, row.ms_until_led, row.ms_without_lease) for row in rows],
    )


# --- traffic ---


@dataclass(frozen=True, slots=True)
class TrafficRow:
    """What a member of a kind sends per second on average, in a cluster of `size` dispatchers."""

    size: int
    activity: str
    kind: str
    messages: float
    bytes_sent: float


def _measure_traffic_at_size(size: int) -> list[TrafficRow]:
    rows = []
    for interval, activity in ((NO_PUBLISH_SECONDS, "nothing published"), (1.0, "a publish each second")):
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
        leader = _find_leader(cluster)
        kinds = {
            "leader": [leader] if leader else [],
            "voter": [name for name in cluster.voters if name != leader],
            "follower": [name for name in cluster.processes if name not in cluster.voters],
        }
        for kind, names in kinds.items():
            if names:
                counts = [cluster.message_counts.get(name, MessageCount()) for name in names]
                messages = sum(count.messages for count in counts)
                bytes_sent = sum(count.bytes_sent for count in counts)
                member_seconds = len(names) * TRAFFIC_SECONDS
                rows.append(
                    TrafficRow(size, activity, kind, messages / member_seconds, bytes_sent / member_seconds)
                )
    return rows


def measure_traffic() -> None:
    """Measures the messages and bytes that members send each other, by size of the cluster."""
    with ProcessPoolExecutor() as pool:
        rows = [
            row for rows_of_size in pool.map(_measure_traffic_at_size, CLUSTER_SIZES) for row in rows_of_size
        ]
    for row in rows:
        print_line(
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
    """Returns the messages and bytes sent by each process of a fleet with these maintenance jobs."""
    case = ClusterCase(follower_count=size - 3, seconds=40.0, publish_every=1000.0, with_load=True)
    fleet = MaintenanceFleet(MaintenanceCase(case, jobs, request_rate=0.1)).run()
    assert not fleet.violations, fleet.violations
    if jobs:
        member = next(iter(fleet.processes.values())).member
        assert member
        completed = member.documents.replicated.maintenance.completed
        assert sum(len(machines) for machines in completed.values()) == MACHINE_COUNT, completed
    return fleet.message_counts


def measure_maintenance() -> None:
    """Measures the additional messages for each machine that is drained, worked on and put back."""
    rows = []
    for size in MAINTENANCE_SIZES:
        with_job = _messages_sent(size, {"w": JOB})
        without_job = _messages_sent(size, {})
        for sender, names in (("all", list(with_job)), ("a follower", ["f0"])):
            members = [name for name in names if name in with_job]
            messages = (
                sum(with_job[name].messages - without_job[name].messages for name in members) / MACHINE_COUNT
            )
            bytes_sent = (
                sum(with_job[name].bytes_sent - without_job[name].bytes_sent for name in members)
                / MACHINE_COUNT
            )
            if sender == "all" or size > 3:
                rows.append((size, sender, f"{messages:.1f}", f"{bytes_sent:.0f}"))
                print_line(
                    f"works, emulated, {size} dispatchers: {sender} sends {messages:.1f} messages and "
                    f"{bytes_sent:.0f} bytes more for each machine"
                )
    write_table("works", ["dispatchers", "who", "messages", "bytes"], rows)


# --- recovery ---


def _publish_entries(first: int) -> Iterator[LogEntry]:
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
    """Stores `count` entries and returns the size of the log in bytes."""
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
                entries=list(_publish_entries(first)),
            )
        )
    storage.close()
    return (folder / "history").stat().st_size


def _recover(folder: Path) -> float:
    """Recovers a voter from its log and returns the milliseconds until all entries are applied."""
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


def measure_recovery() -> None:
    """Measures how long a voter takes to read and apply its log, by the number of entries."""
    rows = []
    for count in ENTRY_COUNTS:
        with tempfile.TemporaryDirectory() as name:
            size = _write_log(Path(name), count)
            duration = median([_recover(Path(name)) for _ in range(RECOVERY_RUNS)])
        rows.append((count, size, f"{duration:.1f}"))
        note = (
            "" if count <= COMPACTION_ENTRIES else f" (a voter compacts its history at {COMPACTION_ENTRIES})"
        )
        print_line(f"recovery of {count} entries, {size // 1000} kB: {duration:.1f} ms until applied{note}")
    write_table("recovery", ["entries", "bytes", "ms"], rows)
