"""Measures the requests that are lost while a dispatcher is replaced repeatedly under load, on loopback.

    python -m benchmarks.upgrades --upgrades 10 > benchmarks/upgrades.txt

Discovery and backends run in this process. The load is open loop; half of the requests use a new connection,
the others a persistent one. The benchmark runs twice: with a handover of the listening socket, for which both
processes share a folder, and with two listeners by SO_REUSEPORT alone, where each process has a folder of its
own and does not find the other. During the load, idle connections to the admin server stay open and its
readiness is polled.
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
BACKEND_COUNT = 4
REQUESTS_PER_SECOND = 120.0
MEAN_RUN_SECONDS = 0.05
MAX_STALLED_CONNECTIONS = 40  # at the admin server


async def read_message(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Returns the head and the body of the next HTTP message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    length = [line for line in head.lower().split("\r\n") if line.startswith("content-length:")]
    return head, await reader.readexactly(int(length[0].partition(":")[2]) if length else 0)


def free_port() -> int:
    """Returns a port on which no socket listens at the moment."""
    with socket.create_server((HOST, 0)) as free:
        return int(free.getsockname()[1])


def address_of(server: asyncio.Server) -> str:
    """Returns the host and port on which a server listens."""
    return f"{HOST}:{server.sockets[0].getsockname()[1]}"


def usage_of(pid: int) -> tuple[int, int]:
    """Returns a process's proportional memory in kB and the number of its open descriptors.

    Raises:
        OSError: The process has ended.
    """
    rollup = Path(f"/proc/{pid}/smaps_rollup").read_text()
    return int(rollup.partition("\nPss:")[2].split()[0]), len(os.listdir(f"/proc/{pid}/fd"))


class UpgradeFixture:
    """Fake backends and discovery, clients, and the dispatchers that replace each other.

    Attributes:
        hands_over: Whether a process finds the one that it replaces and takes over its listening socket.
        outcomes: The number of requests by outcome.
        readiness_latencies: Latency in seconds of each readiness check that was answered.
        failed_readiness_checks: The number of checks that were answered with "not ready" or not at all.
        idle_connections: Persistent client connections without a request.
        peak_memory: Peak of the memory of all processes together, in kB.
        peak_descriptors: Peak of the open descriptors of all processes together.
        admin_port: Port of the admin server of the newest process.
    """

    def __init__(self, hands_over: bool) -> None:
        self.hands_over = hands_over
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

    # --- fake backends and discovery ---

    async def open(self) -> None:
        """Starts the fake backends and discovery, and writes the configuration."""
        endpoints = [await self.start_backend(f"r{number}") for number in range(BACKEND_COUNT)]

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self.serve_discovery(reader, writer, endpoints)

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
        """Starts a fake backend and returns its entry in the endpoint list."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                while True:
                    head, _ = await read_message(reader)
                    writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
                    if head.startswith("POST"):
                        request_id = head.lower().partition("x-request-id: ")[2].split()[0]
                        self.spawn(self.execute_request(request_id, name))
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
        endpoints: list[dict[str, object]],
    ) -> None:
        """Answers a poll for changes without a change after a wait, and any other call with all backends."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                head, _ = await read_message(reader)
                is_poll = "after=" in head
                if is_poll:
                    await asyncio.sleep(3)
                entries = [] if is_poll else endpoints
                body = json.dumps({"rev": 1, "all": not is_poll, "targets": entries}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        writer.close()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Starts a task; `measure` waits until all of them have ended."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def execute_request(self, request_id: str, name: str) -> None:
        """Executes a request at a backend, and sends its callback up to 10 times until it is accepted."""
        await asyncio.sleep(random.expovariate(1 / MEAN_RUN_SECONDS))
        body = json.dumps({"id": request_id, "from": name, "state": "done", "result": request_id}).encode()
        for _ in range(10):
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

    async def send_request(self, request_id: str, keep_alive: bool) -> None:
        """Sends a request and counts its outcome.

        Args:
            request_id: Identifies the request; the number of the attempt is appended.
            keep_alive: Whether to use a persistent connection instead of a new one.
        """
        for attempt in range(2):
            sent = False
            try:
                is_reused = bool(keep_alive and self.idle_connections)
                reader, writer = (
                    self.idle_connections.pop()
                    if is_reused
                    else await asyncio.open_connection(HOST, self.port)
                )
                close = "" if keep_alive else "Connection: close\r\n"
                writer.write(
                    f"POST /api HTTP/1.1\r\nHost: b\r\nX-Request-ID: {request_id}-{attempt}\r\n{close}"
                    "X-Priority-Class: g\r\nX-Timeout: 3\r\nContent-Length: 0\r\n\r\n".encode()
                )
                sent = True
                async with asyncio.timeout(4):
                    head, body = await read_message(reader)
            except (ConnectionError, asyncio.IncompleteReadError, TimeoutError) as error:
                # A server may close a persistent connection while a request is on its way; clients then
                # repeat the request on a new connection.
                if is_reused and attempt == 0:
                    self.outcomes["crossed"] += 1
                    continue
                self.outcomes[
                    f"lost ({'no response' if sent else 'not accepted'}, {type(error).__name__})"
                ] += 1
                return
            succeeded = head.split()[1] == "200" and body.decode() == f"{request_id}-{attempt}"
            self.outcomes["done" if succeeded else f"answered {head.split()[1]}"] += 1
            if keep_alive and "connection: close" not in head.lower():
                self.idle_connections.append((reader, writer))
            else:
                writer.close()
            return

    async def generate_load(self, finished: asyncio.Event) -> None:
        """Sends requests at random times, independent of earlier responses, until `finished` is set."""
        count = 0
        next_send_at = time.monotonic()
        while not finished.is_set():
            count += 1
            next_send_at += random.expovariate(REQUESTS_PER_SECOND)
            await asyncio.sleep(max(next_send_at - time.monotonic(), 0))
            self.spawn(self.send_request(f"u{count}", count % 2 == 0))

    async def check_readiness(self, admin_port: int) -> bool:
        """Returns whether the process with this admin port is ready, and records the latency."""
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

    async def poll_readiness(self, finished: asyncio.Event) -> None:
        """Polls the readiness while other admin connections stay open without a complete request."""
        stalled: list[asyncio.StreamWriter] = []
        count = 0
        while not finished.is_set():
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

    async def sample_usage(self, finished: asyncio.Event) -> None:
        """Records the peaks of the memory and of the descriptors of all processes together."""
        while not finished.is_set():
            memory = descriptors = 0
            for process in self.processes:
                with contextlib.suppress(OSError):
                    usage = usage_of(process.pid)
                    memory += usage[0]
                    descriptors += usage[1]
            self.peak_memory = max(self.peak_memory, memory)
            self.peak_descriptors = max(self.peak_descriptors, descriptors)
            await asyncio.sleep(0.02)

    # --- the dispatcher ---

    async def start(self) -> float:
        """Starts a dispatcher and returns the seconds until it is ready.

        Raises:
            SystemExit: The dispatcher ended before its admin server listened.
        """
        began = time.monotonic()
        folder = self.folder if self.hands_over else Path(tempfile.mkdtemp())
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
                raise SystemExit("the dispatcher ended before its admin server listened")
            if "operators at" in line:
                admin_port = int(line.rpartition(":")[2])
        self.log_readers.add(asyncio.get_running_loop().create_task(self.discard_log(process)))
        while not await self.check_readiness(admin_port):  # noqa: ASYNC110 - another process is polled
            await asyncio.sleep(0.02)
        self.admin_port = admin_port
        return time.monotonic() - began

    async def discard_log(self, process: asyncio.subprocess.Process) -> None:
        """Reads and discards the log of a process, which would otherwise block once the pipe is full."""
        assert process.stderr
        while await process.stderr.readline():
            pass

    async def replace(self) -> tuple[float, float]:
        """Replaces the dispatcher.

        Returns:
            The seconds until the successor is ready, and from SIGTERM until the predecessor has ended.
        """
        predecessor = self.processes[0]
        startup = await self.start()
        began = time.monotonic()
        predecessor.send_signal(signal.SIGTERM)
        await predecessor.wait()
        self.processes.remove(predecessor)
        return startup, time.monotonic() - began


async def measure(hands_over: bool, upgrades: int) -> None:
    """Replaces the dispatcher `upgrades` times under load, and prints the results."""
    fixture = UpgradeFixture(hands_over)
    await fixture.open()
    await fixture.start()
    finished = asyncio.Event()
    activities = (fixture.generate_load, fixture.poll_readiness, fixture.sample_usage)
    running = [asyncio.create_task(activity(finished)) for activity in activities]
    await asyncio.sleep(2)
    times = []
    for _ in range(upgrades):
        times.append(await fixture.replace())
        await asyncio.sleep(0.5)
    finished.set()
    await asyncio.gather(*running)
    while fixture.tasks:  # noqa: ASYNC110 - a task may start another
        await asyncio.sleep(0.05)
    fixture.processes[0].terminate()
    await fixture.processes[0].wait()
    print_results(fixture, times)


def print_results(fixture: UpgradeFixture, times: list[tuple[float, float]]) -> None:
    """Prints the outcomes of the requests and the times of the upgrades."""
    lost = sum(count for outcome, count in fixture.outcomes.items() if outcome.startswith("lost"))
    outcomes = ", ".join(f"{outcome} {count}" for outcome, count in sorted(fixture.outcomes.items()))
    ready, ended = zip(*times, strict=True)
    latencies = sorted(1000 * latency for latency in fixture.readiness_latencies)
    print(
        f"{'the listening socket handed over' if fixture.hands_over else 'two listeners, SO_REUSEPORT alone'}"
    )
    print(
        f"  upgrades {len(times)}; ready after {min(ready):.2f} to {max(ready):.2f} s, the old process ended "
        f"{min(ended):.2f} to {max(ended):.2f} s after SIGTERM"
    )
    print(f"  requests {sum(fixture.outcomes.values())}: {outcomes}")
    print(f"  requests lost in an upgrade: {lost / len(times):.1f}")
    print(
        f"  readiness checks: {len(latencies)}, median {latencies[len(latencies) // 2]:.1f} ms, "
        f"99th percentile {latencies[int(len(latencies) * 0.99)]:.1f} ms, longest {latencies[-1]:.1f} ms, "
        f"failed {fixture.failed_readiness_checks}"
    )
    print(
        f"  both processes together at most: {fixture.peak_memory / 1024:.1f} MB (proportional), "
        f"{fixture.peak_descriptors} descriptors",
        flush=True,
    )


def main() -> None:
    """Measures upgrades with a handover of the listening socket, and then with SO_REUSEPORT alone."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--upgrades", type=int, default=10)
    upgrades = parser.parse_args().upgrades
    random.seed(1)
    for hands_over in (True, False):
        asyncio.run(measure(hands_over, upgrades))


if __name__ == "__main__":
    main()
