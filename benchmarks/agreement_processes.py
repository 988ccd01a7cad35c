"""Runs the parts of the consensus benchmark that use real processes: `publish` and `serve`."""

import asyncio
import json
import os
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Literal, Self, TypeVar

from benchmarks.agreement_report import median, print_line, quantiles, write_table
from crankfold.fault_injection.harness import TrialHarness
from crankfold.fault_injection.http_client import http_call, read_http_message
from crankfold.fault_injection.loopback import HOST
from crankfold.fault_injection.plan import TrialPlan

Result = TypeVar("Result")
BACKEND_RUN_MS = 5.0
VOTER_COUNTS: tuple[Literal[3, 5, 7], ...] = (3, 5, 7)
PUBLISHES_PER_CONDITION = 20
LEADER_KILLS = 4
LOSS_SHARE = 0.05
RECOVERY_TIMEOUT_SECONDS = 15.0
CLIENTS = 8
LOAD_SECONDS = 4.0
REPETITIONS = 5
PEERS_OFF = "off"
PEERS_ON = "on"
PUBLISHING = "a publish each second"
MAINTENANCE = "a work going on"
MODES = (PEERS_OFF, PEERS_ON, PUBLISHING, MAINTENANCE)


def idle_plan(*, voters: Literal[3, 5, 7] = 3, followers: int = 0, backends: int = 1) -> TrialPlan:
    """Returns the plan of a trial that applies no load, faults or operator calls of its own."""
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


class BenchmarkHarness(TrialHarness):
    """Runs the processes of a trial for one measurement, without the trial's own load and faults."""

    async def measure(self, measurement: Callable[[Self], Awaitable[Result]]) -> Result:
        """Starts the processes, returns the result of the measurement, and shuts the processes down."""
        await self.prepare()
        try:
            await self.start()
            return await measurement(self)
        finally:
            await self.shut_down()

    async def publish_once(self, number: int, name: str) -> float:
        """Publishes once through a process and measures how long the version takes to be active everywhere.

        Args:
            number: Number of the publish; it makes the call id unique and alternates the content.
            name: Process that receives the publish.

        Returns:
            Milliseconds until the version is active and no member lags behind; -1 if the publish was not
            accepted or members still lag.
        """
        document = (await self.admin.call(name, "agreed/settings")).content
        body = {
            "call": f"{number}-{name}",
            "made-from": document["newest"],
            "wait": 20,
            "reason": "measured",
            "text": {**document["versions"][-1]["text"], "revenue-per": ("request", "work")[number % 2]},
        }
        began = time.monotonic()
        response = await http_call(
            self.admin_ports[name], "/control/agreed/settings", json.dumps(body).encode()
        )
        content = json.loads(response.body)
        if not content.get("well") or content["lag"]:
            return -1.0
        return (time.monotonic() - began) * 1000


# --- publish ---


class PublishBenchmark:
    """Measures publishes without faults, with message loss, and after the leader was killed."""

    def __init__(self, harness: BenchmarkHarness) -> None:
        self.harness = harness
        self.publish_count = 0

    async def measure(self) -> dict[str, list[float]]:
        """Returns the durations of the publishes in ms, by condition."""
        await asyncio.sleep(2.0)  # a new leader first waits until leases of an earlier one have expired
        return {
            "calm": await self._publish_with_losses(0.0),
            "a twentieth lost": await self._publish_with_losses(LOSS_SHARE),
            "leader killed": [await self._publish_without_leader() for _ in range(LEADER_KILLS)],
        }

    async def _publish_with_losses(self, share: float) -> list[float]:
        self._set_losses(share)
        durations = []
        names = self.harness.process_names
        for _ in range(PUBLISHES_PER_CONDITION):
            self.publish_count += 1
            durations.append(
                await self.harness.publish_once(self.publish_count, names[self.publish_count % len(names)])
            )
            await asyncio.sleep(0.05)
        self._set_losses(0.0)
        return durations

    def _set_losses(self, share: float) -> None:
        for link in self.harness.links.values():
            link.loss_share = share

    async def _publish_without_leader(self) -> float:
        harness = self.harness
        leader = await harness.admin.find_leader(harness.voters)
        survivor = next(name for name in harness.process_names if name != leader)
        await asyncio.sleep(2.0)
        await harness.processes[leader].kill()
        self.publish_count += 1
        began = time.monotonic()
        while (await harness.publish_once(self.publish_count, survivor)) < 0:
            if time.monotonic() - began >= RECOVERY_TIMEOUT_SECONDS:
                break
            self.publish_count += 1
        duration = (time.monotonic() - began) * 1000
        await harness.processes[leader].start()
        await harness.wait_until_consistent(RECOVERY_TIMEOUT_SECONDS)
        return duration


def measure_publish() -> None:
    """Measures how long a publish takes until all members act on it."""
    rows: list[tuple[int, str, str]] = []
    for voters in VOTER_COUNTS:
        with tempfile.TemporaryDirectory() as folder:
            harness = BenchmarkHarness(idle_plan(voters=voters, followers=2), 1, Path(folder))
            durations = asyncio.run(harness.measure(lambda running: PublishBenchmark(running).measure()))
        for condition, durations_ms in durations.items():
            completed = [duration for duration in durations_ms if duration >= 0]
            unknown = len(durations_ms) - len(completed)
            note = f", {unknown} without an outcome" if unknown else ""
            print_line(
                f"publish until all act, {voters} voters and 2 followers, {condition}: "
                f"{quantiles(completed)}{note}"
            )
            rows += [(voters, condition, f"{duration:.1f}") for duration in durations_ms]
    write_table("publish", ["voters", "how", "ms"], rows)


# --- serve ---


class ServeHarness(BenchmarkHarness):
    """Runs three dispatchers under load in one of `MODES`."""

    def __init__(self, plan: TrialPlan, seed: int, folder: Path, mode: str) -> None:
        self.mode = mode
        super().__init__(plan, seed, folder, self._adjust)

    def _adjust(self, configuration: dict[str, Any]) -> None:
        configuration["peers"]["record"] = ""
        if self.mode == PEERS_OFF:
            del configuration["peers"]

    async def wait_until_consistent(self, seconds: float) -> dict[str, str]:
        """Waits until the processes agree; without peers, only gives them a fixed time to start."""
        if self.mode != PEERS_OFF:
            return await super().wait_until_consistent(seconds)
        await asyncio.sleep(1.5)
        return {}


@dataclass(frozen=True, slots=True)
class ServeFigures:
    """Results of one run of the load.

    Attributes:
        cpu_us: CPU time of the dispatcher per request.
    """

    requests_per_second: float
    p99_ms: float
    cpu_us: float
    memory_mb: float

    def columns(self) -> list[str]:
        """Returns the figures as they stand in the table."""
        figures = (self.requests_per_second, self.p99_ms, self.cpu_us, self.memory_mb)
        return [f"{figure:.2f}" for figure in figures]


async def _run_clients(port: int, seconds: float) -> list[float]:
    """Runs closed-loop clients against a port and returns the latency of each request in ms."""
    durations: list[float] = []
    end = time.monotonic() + seconds

    async def client(number: int) -> None:
        reader, writer = await asyncio.open_connection(HOST, port, limit=1 << 16)
        count = 0
        while time.monotonic() < end:
            count += 1
            began = time.monotonic()
            writer.write(
                f"POST /api HTTP/1.1\r\nHost: b\r\nX-Request-ID: n0-{number}-{count}-{began}\r\n"
                f"X-Priority-Class: free\r\nX-Timeout: 3\r\nX-Cost: 5000\r\n"
                f"Content-Length: 0\r\n\r\n".encode()
            )
            await read_http_message(reader)
            durations.append((time.monotonic() - began) * 1000)
        writer.close()

    await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    return durations


def _cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _memory_mb(pid: int) -> float:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


async def _publish_each_second(harness: ServeHarness) -> None:
    number = 0
    while True:
        number += 1
        await harness.publish_once(number, "n1")
        await asyncio.sleep(1)


async def _submit_job(harness: ServeHarness) -> None:
    job = {"way": "command", "command": ["true"], "watch": 0.2, "least-answers": 0, "stays": 0.0}
    body = {"call": "w", "made-from": 0, "text": {"works": {"w": job}}, "reason": "measured"}
    response = await harness.admin.call("n1", "agreed/works", body)
    assert response.ok


async def _measure_load(harness: ServeHarness) -> ServeFigures:
    running = harness.processes["n0"].running
    assert running
    await _run_clients(harness.client_ports["n0"], 0.5)
    if harness.mode == MAINTENANCE:
        await _submit_job(harness)
    publisher = None
    if harness.mode == PUBLISHING:
        publisher = asyncio.ensure_future(_publish_each_second(harness))
    cpu_seconds_before = _cpu_seconds(running.pid)
    durations = sorted(await _run_clients(harness.client_ports["n0"], LOAD_SECONDS))
    cpu_seconds = _cpu_seconds(running.pid) - cpu_seconds_before
    if publisher:
        publisher.cancel()
    return ServeFigures(
        requests_per_second=len(durations) / LOAD_SECONDS,
        p99_ms=durations[len(durations) * 99 // 100],
        cpu_us=cpu_seconds / len(durations) * 1e6,
        memory_mb=_memory_mb(running.pid),
    )


def measure_serve() -> None:
    """Measures CPU time, memory and latency under the same load at one of three dispatchers, in each mode."""
    figures: dict[str, list[ServeFigures]] = {mode: [] for mode in MODES}
    rows = []
    for repetition in range(REPETITIONS):
        for mode in MODES:
            with tempfile.TemporaryDirectory() as folder:
                harness = ServeHarness(idle_plan(backends=4), repetition + 1, Path(folder), mode)
                run = asyncio.run(harness.measure(_measure_load))
            figures[mode].append(run)
            rows.append([repetition, mode, *run.columns()])
    for mode in MODES:
        _print_serve_figures(mode, figures[mode], figures[PEERS_OFF])
    write_table("serve", ["turn", "peers", "units_a_second", "p99_ms", "us_a_unit", "mb"], rows)


def _print_serve_figures(
    mode: str, runs: Sequence[ServeFigures], runs_without_peers: Sequence[ServeFigures]
) -> None:
    pairs = list(zip(runs, runs_without_peers, strict=True))
    rate_ratio = median(run.requests_per_second / off.requests_per_second for run, off in pairs)
    cpu_ratio = median(run.cpu_us / off.cpu_us for run, off in pairs)
    print_line(
        f"serve, peers {mode}: {median(run.requests_per_second for run in runs):.0f} units a second, "
        f"99th percentile {median(run.p99_ms for run in runs):.1f} ms, "
        f"{median(run.cpu_us for run in runs):.0f} us of processor a unit, "
        f"{median(run.memory_mb for run in runs):.1f} MB (medians of 5; pairwise against off: "
        f"units {rate_ratio:.3f}, processor {cpu_ratio:.3f})"
    )
