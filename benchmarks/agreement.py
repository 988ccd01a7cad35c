"""What agreement costs and how fast it is. Parts: publish, leaderless, traffic, serve, recovery.

    python benchmarks/agreement.py publish leaderless traffic serve recovery chart

`publish` and `serve` run real processes on this machine; `leaderless` and `traffic` are emulated.
Tables go to benchmarks/agreement-PART.csv, the lines that are printed to benchmarks/agreement.txt.
"""

import asyncio
import csv
import json
import os
import re
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any, Literal, Self, TypeVar

from crankfold.cluster.raft_storage import RaftStorage
from crankfold.consensus.messages import LogEntry, Snapshot
from crankfold.consensus.raft_state import Ready
from crankfold.consensus.timing import Timing
from crankfold.consensus.voter import Voter
from crankfold.fault_injection.harness import TrialHarness
from crankfold.fault_injection.http_client import HOST, http_call, read_http_message
from crankfold.fault_injection.plan import TrialPlan
from crankfold.simulation.consensus_cluster import (
    ClusterCase,
    ClusterFault,
    ClusterFaultKind,
    IdleHost,
    SimulatedCluster,
    settings_document,
)

HERE = Path(__file__).parent
LINES: list[str] = []
Result = TypeVar("Result")


def say(text: str) -> None:
    LINES.append(text)
    print(text, flush=True)


def table(part: str, head: list[str], rows: Iterable[Iterable[object]]) -> None:
    with (HERE / f"agreement-{part}.csv").open("w", newline="") as out:
        writer = csv.writer(out, lineterminator="\n")
        writer.writerow(head)
        writer.writerows(rows)


def middle(values: list[float]) -> str:
    values = sorted(values)
    return (
        f"median {values[len(values) // 2]:.0f}, 95th percentile {values[len(values) * 95 // 100]:.0f}, "
        f"longest {values[-1]:.0f} ms of {len(values)}"
    )


BACKEND_RUN_MS = 5.0


def quiet_plan(*, voters: Literal[3, 5, 7] = 3, followers: int = 0, backends: int = 1) -> TrialPlan:
    """The processes of a trial without load, faults and operators of its own."""
    return TrialPlan(
        "measured",
        1.0,
        ["bound"],
        voters=voters,
        followers=followers,
        backends=backends,
        load=0.0,
        mean_run_ms=BACKEND_RUN_MS,
        failure_share=0.0,
    )


class QuietHarness(TrialHarness):
    """A trial in which nothing happens but what is measured."""

    async def measure(self, what: Callable[[Self], Awaitable[Result]]) -> Result:
        """Start the processes, measure, and end them."""
        await self.prepare()
        try:
            await self.start()
            return await what(self)
        finally:
            await self.shut_down()

    async def publish_once(self, number: int, name: str) -> float:
        """Milliseconds from a publish until it is active at that process and all others know of that.

        Returns:
            -1 if that did not come about.
        """
        known = (await self.admin.call(name, "agreed/settings")).content
        body = {
            "call": f"{number}-{name}",
            "made-from": known["newest"],
            "wait": 20,
            "reason": "measured",
            "text": {**known["versions"][-1]["text"], "revenue-per": ("request", "work")[number % 2]},
        }
        began = time.monotonic()
        response = await http_call(
            self.admin_ports[name], "/control/agreed/settings", json.dumps(body).encode()
        )
        content = json.loads(response.body)
        if not content.get("well") or content["lag"]:
            return -1.0
        return (time.monotonic() - began) * 1000


def publish() -> None:
    rows = []
    counts: tuple[Literal[3, 5, 7], ...] = (3, 5, 7)
    for voters in counts:
        plan = quiet_plan(voters=voters, followers=2)

        async def measured(trial: QuietHarness) -> dict[str, list[float]]:
            await asyncio.sleep(2.0)  # the first leader waits for leases that it knows nothing of
            found: dict[str, list[float]] = {"calm": [], "a twentieth lost": [], "leader killed": []}
            n = 0
            for how, share in (("calm", 0.0), ("a twentieth lost", 0.05)):
                for link in trial.links.values():
                    link.loss_share = share
                for _ in range(20):
                    n += 1
                    found[how].append(
                        await trial.publish_once(n, trial.process_names[n % len(trial.process_names)])
                    )
                    await asyncio.sleep(0.05)
            for link in trial.links.values():
                link.loss_share = 0.0
            for _ in range(4):
                leader = await trial.admin.find_leader(trial.voters)
                other = next(name for name in trial.process_names if name != leader)
                await asyncio.sleep(2.0)
                await trial.processes[leader].kill()
                n += 1
                began = time.monotonic()
                while (await trial.publish_once(n, other)) < 0 and time.monotonic() - began < 15:
                    n += 1
                found["leader killed"].append((time.monotonic() - began) * 1000)
                await trial.processes[leader].start()
                await trial.wait_until_consistent(15.0)
            return found

        with tempfile.TemporaryDirectory() as folder:
            found = asyncio.run(QuietHarness(plan, 1, Path(folder)).measure(measured))
        for how, spans in found.items():
            good = [span for span in spans if span >= 0]
            none = f", {len(spans) - len(good)} without an outcome" if len(good) < len(spans) else ""
            say(f"publish until all act, {voters} voters and 2 followers, {how}: {middle(good)}{none}")
            rows += [(voters, how, f"{span:.1f}") for span in spans]
    table("publish", ["voters", "how", "ms"], rows)


def _leaderless(asked: tuple[int, int]) -> tuple[int, int, float, float]:
    voters, seed = asked
    found = SimulatedCluster(
        ClusterCase(voter_count=voters, seconds=3.0, seed=seed, with_load=False, publish_every=99.0)
    ).run()
    leader = next(
        (name for name, p in found.processes.items() if isinstance(p.member, Voter) and p.member.is_leader()),
        "v0",
    )
    fleet = SimulatedCluster(
        ClusterCase(
            voter_count=voters,
            seconds=9.0,
            seed=seed,
            with_load=False,
            publish_every=99.0,
            faults=(ClusterFault(ClusterFaultKind.KILL, 30_000, 200_000, leader),),
        )
    )
    spans = [0.0, 0.0]

    def look() -> None:
        members = [p.member for p in fleet.processes.values() if p.member]
        if (
            fleet.events.now > 30_000
            and not spans[0]
            and any(isinstance(m, Voter) and m.is_leader() for m in members)
        ):
            spans[0] = (fleet.events.now - 30_000) / 10
        if fleet.events.now > 30_000 and not all(
            p.member.has_lease(p.local_time()) for p in fleet.processes.values() if p.member
        ):
            spans[1] += 1.0
        fleet.events.schedule(10, look)

    fleet.events.schedule(0, look)
    fleet.run()
    assert not fleet.violations
    return voters, seed, spans[0], spans[1]


def leaderless() -> None:
    with ProcessPoolExecutor() as pool:
        rows = list(pool.map(_leaderless, [(v, seed) for v in (3, 5, 7) for seed in range(100)]))
    for voters in (3, 5, 7):
        spans = [row[2] for row in rows if row[0] == voters]
        without = [row[3] for row in rows if row[0] == voters]
        say(
            f"emulated: without a leader after its death, {voters} voters: {middle(spans)}; somebody without "
            f"a lease in {sum(w > 0 for w in without)} of {len(without)}, for {max(without):.0f} ms at most"
        )
    table("leaderless", ["voters", "seed", "ms_until_led", "ms_somebody_without_lease"], rows)


def _traffic(size: int) -> list[tuple[int, str, str, float, float]]:
    rows = []
    for every, what in ((99.0, "nothing published"), (1.0, "a publish each second")):
        seconds = 10.0
        fleet = SimulatedCluster(
            ClusterCase(
                follower_count=size - 3,
                seconds=seconds,
                with_load=False,
                publish_every=every,
                seed=5,
                polls_when_due=True,
            )
        ).run()
        assert not fleet.violations
        leader = next(
            name
            for name, p in fleet.processes.items()
            if isinstance(p.member, Voter) and p.member.is_leader()
        )
        kinds = {
            "leader": [leader],
            "voter": [v for v in fleet.voters if v != leader],
            "follower": [name for name in fleet.processes if name not in fleet.voters],
        }
        for kind, names in kinds.items():
            if names:
                sent = [fleet.message_counts.get(name, [0, 0]) for name in names]
                rows.append(
                    (
                        size,
                        what,
                        kind,
                        sum(s[0] for s in sent) / len(names) / seconds,
                        sum(s[1] for s in sent) / len(names) / seconds,
                    )
                )
    return rows


def traffic() -> None:
    with ProcessPoolExecutor() as pool:
        rows = [row for part in pool.map(_traffic, (3, 50, 200, 1000)) for row in part]
    for size, what, kind, messages, size_ in rows:
        say(
            f"emulated: {size} dispatchers, {what}: a {kind} sends {messages:.0f} messages, "
            f"{size_ / 1000:.1f} kB a second"
        )
    table(
        "traffic",
        ["dispatchers", "what", "who", "messages_a_second", "bytes_a_second"],
        [(*row[:3], f"{row[3]:.1f}", f"{row[4]:.0f}") for row in rows],
    )


class ServedHarness(QuietHarness):
    """Three dispatchers that may know nothing of each other."""

    def __init__(self, plan: TrialPlan, seed: int, folder: Path, how: str) -> None:
        self.with_peers = how != "off"
        self.publishing = how == "a publish each second"
        self.working = how == "a work going on"
        super().__init__(plan, seed, folder, self._adjust)

    def _adjust(self, configuration: dict[str, Any]) -> None:
        configuration["peers"]["record"] = ""
        if not self.with_peers:
            del configuration["peers"]

    async def wait_until_consistent(self, seconds: float) -> dict[str, str]:
        """Without peers there is nothing to agree on; the processes have a while to start."""
        if self.with_peers:
            return await super().wait_until_consistent(seconds)
        await asyncio.sleep(1.5)
        return {}


def serve() -> None:
    """The same load at one of three dispatchers; what the process needed for a unit, and what clients saw."""
    rows = []

    async def load(port: int, seconds: float) -> list[float]:
        spans: list[float] = []
        end = time.monotonic() + seconds

        async def client(n: int) -> None:
            reader, writer = await asyncio.open_connection(*port_of, limit=1 << 16)
            k = 0
            while time.monotonic() < end:
                k += 1
                began = time.monotonic()
                writer.write(
                    f"POST /api HTTP/1.1\r\nHost: b\r\nX-Request-ID: n0-{n}-{k}-{began}\r\n"
                    f"X-Priority-Class: free\r\nX-Timeout: 3\r\nX-Cost: 5000\r\n"
                    f"Content-Length: 0\r\n\r\n".encode()
                )
                await read_http_message(reader)
                spans.append((time.monotonic() - began) * 1000)
            writer.close()

        port_of = HOST, port
        await asyncio.gather(*(client(n) for n in range(8)))
        return spans

    def cpu(pid: int) -> float:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def measured(trial: ServedHarness) -> tuple[float, float, float, float]:
        running = trial.processes["n0"].running
        assert running
        await load(trial.client_ports["n0"], 0.5)
        n, over = 0, asyncio.Event()
        if trial.working:
            work = {"way": "command", "command": ["true"], "watch": 0.2, "least-answers": 0, "stays": 0.0}
            body = {"call": "w", "made-from": 0, "text": {"works": {"w": work}}, "reason": "measured"}
            response = await trial.admin.call("n1", "agreed/works", body)
            assert response.ok

        async def publishes() -> None:
            nonlocal n
            while trial.publishing and not over.is_set():
                n += 1
                await trial.publish_once(n, "n1")
                await asyncio.sleep(1)

        publishing = asyncio.ensure_future(publishes())
        before = cpu(running.pid)
        spans = sorted(await load(trial.client_ports["n0"], 4.0))
        used = cpu(running.pid) - before
        over.set()
        publishing.cancel()
        memory = int(Path(f"/proc/{running.pid}/statm").read_text().split()[1]) * 4096 / 1e6
        return len(spans) / 4.0, spans[len(spans) * 99 // 100], used / len(spans) * 1e6, memory

    hows = ("off", "on", "a publish each second", "a work going on")
    for turn in range(5):
        for how in hows:
            with tempfile.TemporaryDirectory() as folder:
                trial = ServedHarness(quiet_plan(backends=4), turn + 1, Path(folder), how)
                rows.append((turn, how, *asyncio.run(trial.measure(measured))))
    for how in hows:
        mine = [row for row in rows if row[1] == how]
        offs = [row for row in rows if row[1] == "off"]
        pairs = [(row[2] / off[2], row[4] / off[4]) for row, off in zip(mine, offs, strict=True)]
        ratio = [sorted(p[n] for p in pairs)[len(pairs) // 2] for n in (0, 1)]
        half = [sorted(row[n] for row in mine)[len(mine) // 2] for n in (2, 3, 4, 5)]
        say(
            f"serve, peers {how}: {half[0]:.0f} units a second, 99th percentile {half[1]:.1f} ms, "
            f"{half[2]:.0f} us of processor a unit, {half[3]:.1f} MB (medians of 5; pairwise against off: "
            f"units {ratio[0]:.3f}, processor {ratio[1]:.3f})"
        )
    table(
        "serve",
        ["turn", "peers", "units_a_second", "p99_ms", "us_a_unit", "mb"],
        [(*row[:2], *(f"{v:.2f}" for v in row[2:])) for row in rows],
    )


def works() -> None:
    """What each machine costs that is taken out, worked on and brought back, in messages."""
    from crankfold.simulation.maintenance_cases import MaintenanceCase
    from crankfold.simulation.maintenance_fleet import MaintenanceFleet

    work = {"w": {"way": "list", "at-once": 3, "stays": 0.0, "watch": 1.0, "least-answers": 0}}
    rows = []
    for size in (3, 50, 200):
        sent: list[dict[str, list[int]]] = []
        for given in (work, {}):
            case = ClusterCase(follower_count=size - 3, seconds=40.0, publish_every=1000.0, with_load=True)
            yard = MaintenanceFleet(MaintenanceCase(case, given, request_rate=0.1)).run()
            assert not yard.violations, yard.violations
            sent.append(yard.message_counts)
            if given:
                done = sum(
                    len(ended)
                    for ended in next(
                        iter(yard.processes.values())
                    ).member.documents.replicated.maintenance.completed.values()
                )
                assert done == 9, done
        for who, names in (("all", list(sent[0])), ("a follower", ["f0"])):
            more = [
                sum(sent[0][name][n] - sent[1][name][n] for name in names if name in sent[0]) / 9
                for n in (0, 1)
            ]
            if who == "all" or size > 3:
                rows.append((size, who, f"{more[0]:.1f}", f"{more[1]:.0f}"))
                say(
                    f"works, emulated, {size} dispatchers: {who} sends {more[0]:.1f} messages and "
                    f"{more[1]:.0f} bytes more for each machine"
                )
    table("works", ["dispatchers", "who", "messages", "bytes"], rows)


def recovery() -> None:
    rows = []
    text = settings_document("safe")
    for count in (10, 100, 1000, 10_000):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            store = RaftStorage(folder, "n0")
            store.save(Ready(1, "n0", True, True, Snapshot(0, 0, {"n0": ""}, b"")))
            for n in range(1, count + 1, 10):
                store.save(
                    Ready(
                        1,
                        "n0",
                        True,
                        False,
                        None,
                        n,
                        [
                            LogEntry(
                                1,
                                "publish",
                                {
                                    "call": str(k),
                                    "doc": "settings",
                                    "made_from": k - 1,
                                    "at": 0,
                                    "author": "o",
                                    "reason": "r",
                                    "text": text,
                                },
                            )
                            for k in range(n, n + 10)
                        ],
                    )
                )
            size = (folder / "history").stat().st_size
            store.close()
            spans = []
            for _ in range(5):
                began = time.perf_counter()
                again = RaftStorage(folder, "n0")
                voter = Voter(
                    "n0",
                    again.persistent_state,
                    {"n0": ""},
                    timing=Timing(20_000),
                    now=0,
                    seed=1,
                    incarnation=1,
                    folder_id=again.folder_id,
                    host=IdleHost(),
                )
                voter.raft.commit_index = voter.raft.log.last_index()
                voter.process(1)
                spans.append((time.perf_counter() - began) * 1000)
                again.close()
        rows.append((count, size, f"{sorted(spans)[2]:.1f}"))
        more = "" if count <= 256 else " (a voter compacts its history at 256)"
        say(f"recovery of {count} entries, {size // 1000} kB: {sorted(spans)[2]:.1f} ms until applied{more}")
    table("recovery", ["entries", "bytes", "ms"], rows)


def chart() -> None:
    """Of the tables that are there."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    matplotlib.rcParams["svg.hashsalt"] = "agreement"

    def rows(part: str) -> list[dict[str, str]]:
        with (HERE / f"agreement-{part}.csv").open() as file:
            return list(csv.DictReader(file))

    figure, ((a, b), (c, d)) = pyplot.subplots(2, 2, figsize=(10, 7))
    spans: dict[str, list[float]] = {}
    for row in rows("publish"):
        if float(row["ms"]) >= 0:
            spans.setdefault(f"{row['voters']} {row['how']}", []).append(float(row["ms"]))
    a.boxplot(list(spans.values()), orientation="horizontal")
    a.set_yticklabels(list(spans), fontsize=7)
    a.set_xlabel("publish until all act, ms, by voters")
    for voters in ("3", "5", "7"):
        b.hist(
            [float(row["ms_until_led"]) for row in rows("leaderless") if row["voters"] == voters],
            bins=list(range(0, 701, 50)),
            histtype="step",
            label=f"{voters} voters",
        )
    b.set_xlabel("without a leader after its death, ms (emulated)")
    b.legend()
    for who in ("leader", "voter", "follower"):
        mine = [row for row in rows("traffic") if row["who"] == who and row["what"] == "nothing published"]
        c.loglog(
            [int(row["dispatchers"]) for row in mine],
            [float(row["messages_a_second"]) for row in mine],
            marker="o",
            label=who,
        )
    c.set_xlabel("dispatchers")
    c.set_ylabel("messages sent a second (emulated)")
    c.legend()
    hows = ("off", "on", "a publish each second", "a work going on")
    served = rows("serve")
    d.boxplot([[float(row["units_a_second"]) for row in served if row["peers"] == how] for how in hows])
    d.set_xticklabels(["peers off", "on", "a publish a second", "a work"], fontsize=8)
    d.set_ylabel("units a second at one dispatcher")
    figure.tight_layout()
    figure.savefig(HERE / "agreement.svg", metadata={"Date": None})


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    parts = sys.argv[1:] or ["publish", "leaderless", "traffic", "serve", "works", "recovery", "chart"]
    for part in parts:
        globals()[part]()
    kept = HERE / "agreement.txt"
    old = kept.read_text().splitlines() if kept.exists() else []
    begins = {re.split(r"\d", line)[0] for line in LINES}
    old = [line for line in old if re.split(r"\d", line)[0] not in begins]
    kept.write_text("\n".join(old + LINES) + "\n")
