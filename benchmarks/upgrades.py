"""Replaces a dispatcher again and again under load, on loopback, and counts the requests that are lost.

    python -m benchmarks.upgrades --upgrades 10 > benchmarks/upgrades.txt

Discovery and backends run in this process. The load is open loop; half of the requests use a new connection,
the others a persistent one. Measured twice: with the listening socket handed over (both processes share a
folder), and with two listeners by SO_REUSEPORT alone (each process has a folder of its own, so neither finds
the other). Beside the load, idle connections are open at the admin server, and its readiness is polled.
"""

import argparse
import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

HOST = "127.0.0.1"
BACKENDS = 4
RATE = 120.0  # requests a second
MEAN_RUN_SECONDS = 0.05
MAX_STALLED_CONNECTIONS = 40  # at the admin server


async def read_message(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Reads the head and the body of the next HTTP message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    length = [line for line in head.lower().split("\r\n") if line.startswith("content-length:")]
    return head, await reader.readexactly(int(length[0].partition(":")[2]) if length else 0)


def free_port() -> int:
    """Returns a port on which nobody listens at the moment."""
    with socket.create_server((HOST, 0)) as free:
        return int(free.getsockname()[1])


def address_of(server: asyncio.Server) -> str:
    """Returns the address of a server."""
    return f"{HOST}:{server.sockets[0].getsockname()[1]}"


def usage_of(pid: int) -> tuple[int, int]:
    """Returns a process's proportional memory in kB and the number of its open descriptors.

    Raises:
        OSError: The process has ended.
    """
    rollup = Path(f"/proc/{pid}/smaps_rollup").read_text()
    return int(rollup.partition("\nPss:")[2].split()[0]), len(os.listdir(f"/proc/{pid}/fd"))


class Rig:
    """Stand-ins, load, and the dispatchers that replace each other.

    Attributes:
        is_shared: Whether a process finds the one that it replaces.
        outcomes: The number of requests by outcome.
        readiness_latencies: Seconds of each readiness check that was answered.
        failed_readiness_checks: Those answered with "not ready", or not at all.
        idle_connections: Persistent client connections without a request.
        peak_memory: Of all processes together, in kB.
        peak_descriptors: Of all processes together.
        admin_port: The admin server of the newest process.
    """

    def __init__(self, is_shared: bool) -> None:
        self.is_shared = is_shared
        self.port = free_port()
        self.outcomes: Counter[str] = Counter()
        self.readiness_latencies: list[float] = []
        self.failed_readiness_checks = 0
        self.idle_connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.peak_memory = 0
        self.peak_descriptors = 0
        self.folder = Path(tempfile.mkdtemp())
        self.processes: list[asyncio.subprocess.Process] = []
        self.admin_port = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.log_readers: set[asyncio.Task[None]] = set()

    # --- stand-ins ---

    async def open(self) -> None:
        """Starts the stand-ins and writes the configuration."""
        targets = [await self.start_backend(f"r{number}") for number in range(BACKENDS)]

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self.serve_discovery(reader, writer, targets)

        discovery = await asyncio.start_server(serve, HOST, 0)
        request_class = {"name": "g", "effect": "safe", "cut-off": 3_000_000, "expected-time": 1_000_000}
        configuration = {
            "listen": f"{HOST}:{self.port}",
            "discovery": address_of(discovery),
            "admin_addr": f"{HOST}:0",
            "limits": {"sockets": 384},
            "settings": {
                "allowed": {"most-dispatches": 3, "cancel": True},
                "tick": 2000,
                "specifics": {"tells-start": True},
                "service-grades": [request_class],
            },
        }
        self.config = self.folder / "config.json"
        self.config.write_text(json.dumps(configuration))

    async def start_backend(self, name: str) -> dict[str, object]:
        """Starts a backend and returns its entry in the list of discovery."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                while True:
                    head, _ = await read_message(reader)
                    writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
                    if head.startswith("POST"):
                        request_id = head.lower().partition("x-request-id: ")[2].split()[0]
                        self.spawn(self.work(request_id, name))
            writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        return {
            "uid": name,
            "endpoint": address_of(server),
            "state": "in_service",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    async def serve_discovery(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        targets: list[dict[str, object]],
    ) -> None:
        """Answers with all backends; a call for changes waits and is answered with none."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                head, _ = await read_message(reader)
                is_poll = "after=" in head
                if is_poll:
                    await asyncio.sleep(3)
                entries = [] if is_poll else targets
                body = json.dumps({"rev": 1, "all": not is_poll, "targets": entries}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        writer.close()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Starts a task whose end `measure` awaits."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def work(self, request_id: str, name: str) -> None:
        """Executes a request at a backend, and then calls back."""
        await asyncio.sleep(random.expovariate(1 / MEAN_RUN_SECONDS))
        body = json.dumps({"id": request_id, "from": name, "state": "done", "result": request_id}).encode()
        for _ in range(10):  # a callback is repeated until it is accepted
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(
                    b"POST /v1/job-events HTTP/1.1\r\nHost: b\r\nConnection: close\r\n"
                    b"Content-Length: %d\r\n\r\n" % len(body) + body
                )
                async with asyncio.timeout(1):
                    head, _ = await read_message(reader)
                writer.close()
                if head.split()[1] in ("200", "204"):
                    return
            await asyncio.sleep(0.2)

    # --- clients and operators ---

    async def client(self, request_id: str, keep: bool) -> None:
        """Sends a request on a new connection, or on a persistent one if `keep`."""
        for attempt in range(2):
            is_sent = False
            try:
                is_reused = bool(keep and self.idle_connections)
                reader, writer = (
                    self.idle_connections.pop()
                    if is_reused
                    else await asyncio.open_connection(HOST, self.port)
                )
                close = "" if keep else "Connection: close\r\n"
                writer.write(
                    f"POST /api HTTP/1.1\r\nHost: b\r\nX-Request-ID: {request_id}-{attempt}\r\n{close}"
                    "X-Priority-Class: g\r\nX-Timeout: 3\r\nContent-Length: 0\r\n\r\n".encode()
                )
                is_sent = True
                async with asyncio.timeout(4):
                    head, body = await read_message(reader)
            except (ConnectionError, asyncio.IncompleteReadError, TimeoutError) as error:
                # The close of a persistent connection crossed the request: clients repeat it on a new one.
                if is_reused and attempt == 0:
                    self.outcomes["crossed"] += 1
                    continue
                self.outcomes[
                    f"lost ({'no response' if is_sent else 'not accepted'}, {type(error).__name__})"
                ] += 1
                return
            succeeded = head.split()[1] == "200" and body.decode() == f"{request_id}-{attempt}"
            self.outcomes["done" if succeeded else f"answered {head.split()[1]}"] += 1
            if keep and "connection: close" not in head.lower():
                self.idle_connections.append((reader, writer))
            else:
                writer.close()
            return

    async def load(self, over: asyncio.Event) -> None:
        """Sends requests at random times until `over` is set, whatever became of earlier ones."""
        count = 0
        due = time.monotonic()
        while not over.is_set():
            count += 1
            due += random.expovariate(RATE)
            await asyncio.sleep(max(due - time.monotonic(), 0))
            self.spawn(self.client(f"u{count}", count % 2 == 0))

    async def check_readiness(self, admin_port: int) -> bool:
        """Asks the process with that admin port whether it is ready, and records the latency."""
        began = time.monotonic()
        try:
            async with asyncio.timeout(5):
                reader, writer = await asyncio.open_connection(HOST, admin_port)
                writer.write(b"GET /control/ready HTTP/1.1\r\nHost: b\r\n\r\n")
                head, _ = await read_message(reader)
                writer.close()
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            return False
        self.readiness_latencies.append(time.monotonic() - began)
        return head.split()[1] == "200"

    async def poll_readiness(self, over: asyncio.Event) -> None:
        """Polls the readiness beside connections that send nothing, or half of a request, and stay open."""
        stalled: list[asyncio.StreamWriter] = []
        count = 0
        while not over.is_set():
            count += 1
            admin_port = self.admin_port
            with contextlib.suppress(ConnectionError):
                _, writer = await asyncio.open_connection(HOST, admin_port)
                writer.write(b"GET /control" if count % 2 else b"")
                stalled.append(writer)
            if len(stalled) > MAX_STALLED_CONNECTIONS:
                stalled.pop(0).close()
            if not await self.check_readiness(admin_port) and admin_port == self.admin_port:
                self.failed_readiness_checks += 1
            await asyncio.sleep(0.02)

    async def sample_usage(self, over: asyncio.Event) -> None:
        """Records the peak of memory and of descriptors, of all processes together."""
        while not over.is_set():
            memory = descriptors = 0
            for process in self.processes:
                with contextlib.suppress(OSError):
                    used = usage_of(process.pid)
                    memory += used[0]
                    descriptors += used[1]
            self.peak_memory = max(self.peak_memory, memory)
            self.peak_descriptors = max(self.peak_descriptors, descriptors)
            await asyncio.sleep(0.02)

    # --- the dispatcher ---

    async def start(self) -> float:
        """Starts a dispatcher and returns the seconds until it is ready.

        Raises:
            SystemExit: It ended before it was ready.
        """
        began = time.monotonic()
        folder = self.folder if self.is_shared else Path(tempfile.mkdtemp())
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-O",
            "-m",
            "crankfold",
            "serve",
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "GW_CONFIG": str(self.config), "TMPDIR": str(folder)},
        )
        self.processes.append(process)
        assert process.stderr
        admin_port = 0
        while not admin_port:
            line = (await process.stderr.readline()).decode()
            if not line:
                raise SystemExit("the dispatcher did not start")
            if "operators at" in line:
                admin_port = int(line.rpartition(":")[2])
        self.log_readers.add(asyncio.get_running_loop().create_task(self.discard_log(process)))
        while not await self.check_readiness(admin_port):  # noqa: ASYNC110 - another process is polled
            await asyncio.sleep(0.02)
        self.admin_port = admin_port
        return time.monotonic() - began

    async def discard_log(self, process: asyncio.subprocess.Process) -> None:
        """Reads the log of a process, which would block once the pipe is full."""
        assert process.stderr
        while await process.stderr.readline():
            pass

    async def replace(self) -> tuple[float, float]:
        """Replaces the process; the seconds until the new one is ready, and until the old one has ended."""
        old = self.processes[0]
        startup = await self.start()
        began = time.monotonic()
        old.send_signal(signal.SIGTERM)
        await old.wait()
        self.processes.remove(old)
        return startup, time.monotonic() - began


async def measure(is_shared: bool, upgrades: int) -> None:
    """Replaces the process so many times under load, and prints the results."""
    rig = Rig(is_shared)
    await rig.open()
    await rig.start()
    over = asyncio.Event()
    activities = (rig.load, rig.poll_readiness, rig.sample_usage)
    running = [asyncio.create_task(activity(over)) for activity in activities]
    await asyncio.sleep(2)
    times = []
    for _ in range(upgrades):
        times.append(await rig.replace())
        await asyncio.sleep(0.5)
    over.set()
    await asyncio.gather(*running)
    while rig.tasks:  # noqa: ASYNC110 - a task may start another
        await asyncio.sleep(0.05)
    rig.processes[0].terminate()
    await rig.processes[0].wait()
    print_results(rig, times)


def print_results(rig: Rig, times: list[tuple[float, float]]) -> None:
    """Prints the outcomes of the requests and the durations of the upgrades."""
    lost = sum(count for outcome, count in rig.outcomes.items() if outcome.startswith("lost"))
    outcomes = ", ".join(f"{outcome} {count}" for outcome, count in sorted(rig.outcomes.items()))
    ready, ended = zip(*times, strict=True)
    latencies = sorted(1000 * latency for latency in rig.readiness_latencies)
    print(f"{'the listening socket handed over' if rig.is_shared else 'two listeners, SO_REUSEPORT alone'}")
    print(
        f"  upgrades {len(times)}; ready after {min(ready):.2f} to {max(ready):.2f} s, the old process ended "
        f"{min(ended):.2f} to {max(ended):.2f} s after SIGTERM"
    )
    print(f"  requests {sum(rig.outcomes.values())}: {outcomes}")
    print(f"  requests lost in an upgrade: {lost / len(times):.1f}")
    print(
        f"  readiness checks: {len(latencies)}, median {latencies[len(latencies) // 2]:.1f} ms, "
        f"99th percentile {latencies[int(len(latencies) * 0.99)]:.1f} ms, longest {latencies[-1]:.1f} ms, "
        f"failed {rig.failed_readiness_checks}"
    )
    print(
        f"  both processes together at most: {rig.peak_memory / 1024:.1f} MB (proportional), "
        f"{rig.peak_descriptors} descriptors",
        flush=True,
    )


def main() -> None:
    """Measures both ways of listening."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--upgrades", type=int, default=10)
    upgrades = parser.parse_args().upgrades
    random.seed(1)
    for is_shared in (True, False):
        asyncio.run(measure(is_shared, upgrades))


if __name__ == "__main__":
    main()
