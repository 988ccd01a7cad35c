"""Compares this checkout with another one: in a mixed cluster, in handovers, and in speed.

    python -m benchmarks.compare_versions OTHER_CHECKOUT > benchmarks/compare_versions.txt

Each of the three parts runs on loopback with the fake backends and discovery of `benchmarks.upgrades`:

- cluster: Three voters, one of them from the other checkout, agree on a published document. Then two of them
  swap checkouts, keep their storage folders, and agree on another document.
- handover: Processes of the two checkouts replace each other at one address under load.
- speed: Both checkouts serve the same load in turn. The part prints processor time per request, latency,
  memory, start time and imported modules.
"""

import argparse
import asyncio
import json
import os
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from benchmarks.upgrades import HOST, UpgradeFixture, free_port, read_message

THIS_CHECKOUT = Path(__file__).resolve().parent.parent
AGREEMENT_TIMEOUT_SECONDS = 20.0
LOAD_SECONDS = 8.0
IMPORT_RUNS = 5
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


async def admin_call(port: int, path: str, body: dict[str, Any] | None = None) -> tuple[int, Any]:
    """Calls the admin server of a dispatcher and returns the status and the decoded body of its response.

    The method is GET without a body, and POST with one.
    """
    reader, writer = await asyncio.open_connection(HOST, port)
    content = json.dumps(body).encode() if body is not None else b""
    method = "POST" if body is not None else "GET"
    writer.write(
        f"{method} /control/{path} HTTP/1.1\r\nHost: b\r\nContent-Length: {len(content)}\r\n\r\n".encode()
        + content
    )
    head, response_body = await read_message(reader)
    writer.close()
    return int(head.split()[1]), json.loads(response_body) if response_body else None


class Cluster:
    """Runs three voters on loopback, each started from a given checkout."""

    def __init__(self, discovery_config: dict[str, Any]) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.names = ("n0", "n1", "n2")
        self.admin_ports = {name: free_port() for name in self.names}
        voters = {name: f"{HOST}:{free_port()}" for name in self.names}
        for name in self.names:
            config = discovery_config | {
                "name": name,
                "listen": f"{HOST}:{free_port()}",
                "admin_addr": f"{HOST}:{self.admin_ports[name]}",
                "peers": {"name": name, "voters": voters, "folder": str(self.folder / name)},
            }
            (self.folder / f"{name}.json").write_text(json.dumps(config))
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    async def start(self, name: str, checkout: Path) -> None:
        """Starts one voter from a checkout."""
        self.processes[name] = await asyncio.create_subprocess_exec(
            *(
                sys.executable,
                "-O",
                "-m",
                "crankfold",
                "serve",
                "--config",
                str(self.folder / f"{name}.json"),
            ),
            cwd=checkout,
            stderr=subprocess.DEVNULL,
            env={key: value for key, value in os.environ.items() if key != "TMPDIR"},
        )

    async def stop(self, name: str) -> None:
        """Stops one voter by SIGTERM and waits until it has ended."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        await process.wait()

    async def publish(self, settings: dict[str, Any], reason: str) -> int:
        """Publishes settings repeatedly until a version is accepted and every member acts on it.

        Returns:
            The number of the version.

        Raises:
            SystemExit: No version was active everywhere within AGREEMENT_TIMEOUT_SECONDS.
        """
        began = time.monotonic()
        while time.monotonic() < began + AGREEMENT_TIMEOUT_SECONDS:
            await asyncio.sleep(0.2)
            try:
                status, document = await admin_call(self.admin_ports["n0"], "agreed/settings")
                if status != 200 or not document["newest"]:
                    continue
                request = {
                    "call": f"{reason} {document['newest']}",
                    "made-from": document["newest"],
                    "text": settings,
                    "author": "benchmark",
                    "reason": reason,
                    "wait": 5.0,
                }
                status, published = await admin_call(self.admin_ports["n0"], "agreed/settings", request)
            except (OSError, asyncio.IncompleteReadError):
                continue
            if status == 200 and published["counts"] and not published["lag"]:
                return int(published["number"])
        raise SystemExit(f"{reason}: no agreement within {AGREEMENT_TIMEOUT_SECONDS} s")

    async def active_versions(self) -> list[tuple[int, Any]]:
        """Returns each member's active version and the idempotency of its request class."""
        versions = []
        for name in self.names:
            _, document = await admin_call(self.admin_ports[name], "agreed/settings")
            versions.append((document["counts"], document["acting"]["service-grades"][0]["effect"]))
        return versions


async def compare_in_cluster(other: Path) -> None:
    """Publishes to three voters of both checkouts, swaps the checkouts of two, and publishes again."""
    fixture = UpgradeFixture(hands_over=True)
    await fixture.open()
    config = json.loads(fixture.config.read_text())
    settings = {name: config["settings"][name] for name in ("service-grades", "allowed")}
    cluster = Cluster(config)

    def with_effect(effect: str) -> dict[str, Any]:
        return settings | {"service-grades": [{**settings["service-grades"][0], "effect": effect}]}

    for name, checkout in (("n0", THIS_CHECKOUT), ("n1", other), ("n2", THIS_CHECKOUT)):
        await cluster.start(name, checkout)
    number = await cluster.publish(with_effect("unsafe"), "one of three is the other checkout")
    active = await cluster.active_versions()
    print(f"cluster: n1 is the other checkout; version {number} active: {active}")
    for name in ("n0", "n1"):
        await cluster.stop(name)
    await cluster.start("n0", other)
    await cluster.start("n1", THIS_CHECKOUT)
    number = await cluster.publish(with_effect("safe"), "two have swapped checkouts over their folders")
    active = await cluster.active_versions()
    print(f"cluster: n0 is the other checkout, folders kept; version {number} active: {active}")
    for name in cluster.names:
        await cluster.stop(name)


class CheckoutFixture(UpgradeFixture):
    """Starts the dispatcher from the checkout in the `checkout` attribute."""

    checkout = THIS_CHECKOUT

    async def start(self) -> float:
        """Starts a dispatcher in the checkout and returns the seconds until it is ready."""
        previous_directory = Path.cwd()
        os.chdir(self.checkout)
        try:
            return await super().start()
        finally:
            os.chdir(previous_directory)


async def compare_handover(other: Path, rounds: int) -> None:
    """Replaces the dispatcher by the two checkouts in turn under load, and prints request outcomes."""
    fixture = CheckoutFixture(hands_over=True)
    await fixture.open()
    fixture.checkout = other
    await fixture.start()
    finished = asyncio.Event()
    activities = (fixture.generate_load, fixture.poll_readiness)
    running = [asyncio.create_task(activity(finished)) for activity in activities]
    await asyncio.sleep(1.0)
    for number in range(rounds):
        fixture.checkout = (THIS_CHECKOUT, other)[number % 2]
        await fixture.replace()
        await asyncio.sleep(0.5)
    finished.set()
    await asyncio.gather(*running)
    await asyncio.sleep(4.0)
    fixture.processes[0].terminate()
    await fixture.processes[0].wait()
    outcomes = ", ".join(f"{outcome} {count}" for outcome, count in sorted(fixture.outcomes.items()))
    print(
        f"handover: {rounds} times in turn, beginning with the other checkout; requests: {outcomes}",
        flush=True,
    )


class SpeedFixture(CheckoutFixture):
    """Runs backends without execution time and records the latency of each request in seconds."""

    def __init__(self) -> None:
        super().__init__(hands_over=True)
        self.latencies: list[float] = []

    async def execute_request(self, request_id: str, name: str) -> None:
        """Sends the callback of a completed request at once."""
        body = json.dumps({"id": request_id, "from": name, "state": "done", "result": request_id}).encode()
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(
            b"POST /v1/job-events HTTP/1.1\r\nHost: b\r\nConnection: close\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body) + body
        )
        await read_message(reader)
        writer.close()

    async def send_request(self, request_id: str, keep_alive: bool) -> None:
        """Sends a request and records its latency in seconds."""
        began = time.monotonic()
        await super().send_request(request_id, keep_alive)
        self.latencies.append(time.monotonic() - began)

    def processor_seconds(self) -> float:
        """Returns the processor time of the dispatcher since its start, in seconds."""
        fields = Path(f"/proc/{self.processes[0].pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND

    def memory_kilobytes(self) -> int:
        """Returns the proportional set size of the dispatcher, in kB."""
        rollup = Path(f"/proc/{self.processes[0].pid}/smaps_rollup").read_text()
        return int(rollup.partition("\nPss:")[2].split()[0])


async def measure_speed(checkout: Path) -> dict[str, float]:
    """Serves a load from a checkout and returns the figures, keyed by name and unit."""
    random.seed(1)
    fixture = SpeedFixture()
    fixture.checkout = checkout
    await fixture.open()
    start_seconds = await fixture.start()
    await asyncio.sleep(0.5)
    processor_seconds = fixture.processor_seconds()
    finished = asyncio.Event()
    load = asyncio.create_task(fixture.generate_load(finished))
    await asyncio.sleep(LOAD_SECONDS)
    finished.set()
    await load
    await asyncio.sleep(0.5)
    processor_seconds = fixture.processor_seconds() - processor_seconds
    memory_kilobytes = fixture.memory_kilobytes()
    fixture.processes[0].terminate()
    await fixture.processes[0].wait()
    latencies = sorted(fixture.latencies)
    return {
        "processor, ms a request": 1000 * processor_seconds / len(latencies),
        "median latency, ms": 1000 * latencies[len(latencies) // 2],
        "99th percentile, ms": 1000 * latencies[int(len(latencies) * 0.99)],
        "memory, MB": memory_kilobytes / 1024,
        "start until ready, s": start_seconds,
        "answered otherwise": sum(count for outcome, count in fixture.outcomes.items() if outcome != "done"),
    }


def imported_modules(checkout: Path) -> tuple[set[str], float]:
    """Measures the imports of `serve`, which ends here as its configuration file does not exist.

    Returns:
        The imported modules, and the shortest duration of a run in ms.
    """
    names: set[str] = set()
    durations = []
    for _ in range(IMPORT_RUNS):
        began = time.perf_counter()
        result = subprocess.run(
            [sys.executable, "-O", "-X", "importtime", "-m", "crankfold", "serve", "--config", "/nowhere"],
            cwd=checkout,
            capture_output=True,
            text=True,
        )
        durations.append(1000 * (time.perf_counter() - began))
        lines = result.stderr.splitlines()
        names = {line.rpartition("|")[2].strip() for line in lines if line.startswith("import time:")}
    return names, min(durations)


async def compare_speed(other: Path, rounds: int) -> None:
    """Measures both checkouts in turn and prints medians and pairwise ratios."""
    checkouts = {"other": other, "this": THIS_CHECKOUT}
    runs: dict[str, list[dict[str, float]]] = {name: [] for name in checkouts}
    for number in range(rounds):
        for name in sorted(checkouts, reverse=number % 2 == 1):
            runs[name].append(await measure_speed(checkouts[name]))
    print(f"speed: {rounds} runs each, in turn, {LOAD_SECONDS:.0f} s of load; medians, this / other by pairs")
    for figure in runs["this"][0]:
        medians = {name: statistics.median(run[figure] for run in runs[name]) for name in runs}
        line = f"  {figure:<26} other {medians['other']:8.3f}  this {medians['this']:8.3f}"
        if medians["other"]:
            ratios = [new[figure] / old[figure] for new, old in zip(runs["this"], runs["other"], strict=True)]
            line += f"  ratio {statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f})"
        print(line)
    modules = {name: imported_modules(checkout) for name, checkout in checkouts.items()}
    for name, (names, milliseconds) in modules.items():
        own = sum(module.startswith("crankfold") for module in names)
        print(
            f"  imports of serve, {name}: {len(names)} modules, {own} of the project's, {milliseconds:.0f} ms"
        )
    libraries = {
        name: {module for module in names if not module.startswith("crankfold")}
        for name, (names, _) in modules.items()
    }
    print(f"  libraries imported that were not: {sorted(libraries['this'] - libraries['other']) or 'none'}")


def compile_checkout(checkout: Path) -> None:
    """Compiles a checkout as the build in the deploy file does, so that no start includes it."""
    command = [sys.executable, "-O", "-m", "compileall", "-q", "crankfold"]
    subprocess.run(command, cwd=checkout, check=True)


async def compare(other: Path, rounds: int) -> None:
    """Compiles both checkouts and runs the three parts of the comparison."""
    for checkout in (other, THIS_CHECKOUT):
        compile_checkout(checkout)
    await compare_in_cluster(other)
    await compare_handover(other, rounds)
    await compare_speed(other, rounds)


def main() -> None:
    """Compares this checkout with the one that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("other", type=Path, help="the root of the other checkout")
    parser.add_argument("--rounds", type=int, default=6)
    arguments = parser.parse_args()
    random.seed(1)
    asyncio.run(compare(arguments.other.resolve(), arguments.rounds))


if __name__ == "__main__":
    main()
