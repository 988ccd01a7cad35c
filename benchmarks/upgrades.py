"""Replaces a dispatcher again and again under load, on loopback, and counts the requests that are lost.

    python -m benchmarks.upgrades --upgrades 10 > benchmarks/upgrades.txt

Discovery and backends are played in this process. Load is open loop; half of the requests come on
connections of their own, the others on kept ones. Two ways: the listening socket passed on (both processes
share a folder), and two listeners with SO_REUSEPORT alone (each has a folder of its own, so they don't find
each other). Beside the load, silent connections are open at the admin server, and readiness is asked all the
time.
"""

import argparse
import asyncio
import contextlib
import json
import os
import random
import signal
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


async def message(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """The head and the body of the next HTTP message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    length = [line for line in head.lower().split("\r\n") if line.startswith("content-length:")]
    return head, await reader.readexactly(int(length[0].partition(":")[2]) if length else 0)


def free_port() -> int:
    """A port that nobody listens on at the moment."""
    import socket

    with socket.create_server((HOST, 0)) as free:
        return int(free.getsockname()[1])


def where(server: asyncio.Server) -> str:
    """The address of a server."""
    return f"{HOST}:{server.sockets[0].getsockname()[1]}"


def usage_of(pid: int) -> tuple[int, int]:
    """A process's proportional memory in kB, and how many descriptors it has open.

    Raises:
        OSError: it has ended.
    """
    rollup = Path(f"/proc/{pid}/smaps_rollup").read_text()
    return int(rollup.partition("\nPss:")[2].split()[0]), len(os.listdir(f"/proc/{pid}/fd"))


class Rig:
    """Stand-ins, load, and the dispatchers that replace each other."""

    def __init__(self, shared: bool) -> None:
        self.shared = shared  # whether a process finds the one that it replaces
        self.port = free_port()
        self.ends: Counter[str] = Counter()  # how requests ended
        self.calls: list[float] = []  # seconds that calls of the admin server took
        self.wrong_calls = 0  # that said not ready, or were not answered
        self.kept: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.most_memory = 0  # kB
        self.most_descriptors = 0
        self.folder = Path(tempfile.mkdtemp())
        self.processes: list[asyncio.subprocess.Process] = []
        self.door = 0  # port of the admin server
        self.tasks: set[asyncio.Task[None]] = set()

    # --- stand-ins ---

    async def open(self) -> None:
        """Start the stand-ins, and write the configuration."""
        targets = [await self.start_backend(f"r{number}") for number in range(BACKENDS)]

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self.serve_discovery(reader, writer, targets)

        discovery = await asyncio.start_server(serve, HOST, 0)
        request_class = {"name": "g", "effect": "safe", "cut-off": 3_000_000, "expected-time": 1_000_000}
        configuration = {
            "listen": f"{HOST}:{self.port}",
            "discovery": where(discovery),
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
        """Start one, and how discovery lists it."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                while True:
                    head, _ = await message(reader)
                    writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
                    if head.startswith("POST"):
                        ident = head.lower().partition("x-request-id: ")[2].split()[0]
                        self.spawn(self.work(ident, name))
            writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        return {
            "uid": name,
            "endpoint": where(server),
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
        """All backends at first; a poll for changes waits, and there are none."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                head, _ = await message(reader)
                is_poll = "after=" in head
                if is_poll:
                    await asyncio.sleep(3)
                entries = [] if is_poll else targets
                body = json.dumps({"rev": 1, "all": not is_poll, "targets": entries}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        writer.close()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run it beside the rest."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def work(self, ident: str, name: str) -> None:
        """A request runs at a backend, which calls back then."""
        await asyncio.sleep(random.expovariate(1 / MEAN_RUN_SECONDS))
        body = json.dumps({"id": ident, "from": name, "state": "done", "result": ident}).encode()
        for _ in range(10):  # a callback is tried until it is answered
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(
                    b"POST /v1/job-events HTTP/1.1\r\nHost: b\r\nConnection: close\r\n"
                    b"Content-Length: %d\r\n\r\n" % len(body) + body
                )
                async with asyncio.timeout(1):
                    head, _ = await message(reader)
                writer.close()
                if head.split()[1] in ("200", "204"):
                    return
            await asyncio.sleep(0.2)

    # --- clients and callers ---

    async def client(self, ident: str, keep: bool) -> None:
        """One request, on a connection of its own or a kept one."""
        for attempt in range(2):
            sent = False
            try:
                used = bool(keep and self.kept)
                reader, writer = self.kept.pop() if used else await asyncio.open_connection(HOST, self.port)
                close = "" if keep else "Connection: close\r\n"
                writer.write(
                    f"POST /api HTTP/1.1\r\nHost: b\r\nX-Request-ID: {ident}-{attempt}\r\n{close}"
                    "X-Priority-Class: g\r\nX-Timeout: 3\r\nContent-Length: 0\r\n\r\n".encode()
                )
                sent = True
                async with asyncio.timeout(4):
                    head, body = await message(reader)
            except (ConnectionError, asyncio.IncompleteReadError, TimeoutError) as broken:
                # On a kept one the close crossed the request: sent once more on a new one, as clients do.
                if used and attempt == 0:
                    self.ends["crossed"] += 1
                    continue
                self.ends[f"lost ({'no answer' if sent else 'not let in'}, {type(broken).__name__})"] += 1
                return
            good = head.split()[1] == "200" and body.decode() == f"{ident}-{attempt}"
            self.ends["done" if good else f"answered {head.split()[1]}"] += 1
            if keep and "connection: close" not in head.lower():
                self.kept.append((reader, writer))
            else:
                writer.close()
            return

    async def load(self, over: asyncio.Event) -> None:
        """Requests at random times, whatever became of those before."""
        n = 0
        due = time.monotonic()
        while not over.is_set():
            n += 1
            due += random.expovariate(RATE)
            await asyncio.sleep(max(due - time.monotonic(), 0))
            self.spawn(self.client(f"u{n}", n % 2 == 0))

    async def ask(self, door: int) -> bool:
        """Whether the process with that admin port says that it is ready."""
        began = time.monotonic()
        try:
            async with asyncio.timeout(5):
                reader, writer = await asyncio.open_connection(HOST, door)
                writer.write(b"GET /control/ready HTTP/1.1\r\nHost: b\r\n\r\n")
                head, _ = await message(reader)
                writer.close()
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            return False
        self.calls.append(time.monotonic() - began)
        return head.split()[1] == "200"

    async def callers(self, over: asyncio.Event) -> None:
        """Readiness, beside callers that say nothing, or half a call, and stay."""
        silent: list[asyncio.StreamWriter] = []
        n = 0
        while not over.is_set():
            n += 1
            door = self.door
            with contextlib.suppress(ConnectionError):
                _, writer = await asyncio.open_connection(HOST, door)
                writer.write(b"GET /control" if n % 2 else b"")
                silent.append(writer)
            if len(silent) > 40:
                silent.pop(0).close()
            if not await self.ask(door) and door == self.door:
                self.wrong_calls += 1
            await asyncio.sleep(0.02)

    async def watch(self, over: asyncio.Event) -> None:
        """Proportional memory and descriptors of all processes together."""
        while not over.is_set():
            memory = descriptors = 0
            for process in self.processes:
                with contextlib.suppress(OSError):
                    used = usage_of(process.pid)
                    memory += used[0]
                    descriptors += used[1]
            self.most_memory = max(self.most_memory, memory)
            self.most_descriptors = max(self.most_descriptors, descriptors)
            await asyncio.sleep(0.02)

    # --- the dispatcher ---

    async def start(self) -> float:
        """Until it says ready; how long that took."""
        began = time.monotonic()
        folder = self.folder if self.shared else Path(tempfile.mkdtemp())
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
        door = 0
        while not door:
            line = (await process.stderr.readline()).decode()
            if not line:
                raise SystemExit("the dispatcher did not start")
            if "operators at" in line:
                door = int(line.rpartition(":")[2])
        self.spawn(self.drink(process))
        while not await self.ask(door):  # noqa: ASYNC110 - another process is asked
            await asyncio.sleep(0.02)
        self.door = door
        return time.monotonic() - began

    async def drink(self, process: asyncio.subprocess.Process) -> None:
        """Read what the process logs, so that it is not held up."""
        assert process.stderr
        while await process.stderr.readline():
            pass

    async def replace(self) -> tuple[float, float]:
        """Start another process and end the present one; seconds until each was done."""
        old = self.processes[0]
        took = await self.start()
        began = time.monotonic()
        old.send_signal(signal.SIGTERM)
        await old.wait()
        self.processes.remove(old)
        return took, time.monotonic() - began


async def play(shared: bool, upgrades: int) -> None:
    """Replace the process so many times, and print what came of the requests."""
    rig = Rig(shared)
    await rig.open()
    await rig.start()
    over = asyncio.Event()
    about = [asyncio.create_task(each(over)) for each in (rig.load, rig.callers, rig.watch)]
    await asyncio.sleep(2)
    times = []
    for _ in range(upgrades):
        times.append(await rig.replace())
        await asyncio.sleep(0.5)
    over.set()
    await asyncio.gather(*about)
    while rig.tasks - {t for t in rig.tasks if "drink" in repr(t.get_coro())}:  # noqa: ASYNC110 - may start others
        await asyncio.sleep(0.05)
    rig.processes[0].terminate()
    await rig.processes[0].wait()
    print_results(rig, times)


def print_results(rig: Rig, times: list[tuple[float, float]]) -> None:
    """What came of the requests, and how long the upgrades took."""
    calls = sorted(rig.calls)
    upgrades = len(times)
    lost = sum(count for end, count in rig.ends.items() if end.startswith("lost"))
    print(f"{'the listening socket passed on' if rig.shared else 'two listeners, SO_REUSEPORT alone'}")
    ready, gone = zip(*times, strict=True)
    print(
        f"  upgrades {upgrades}; ready after {min(ready):.2f} to {max(ready):.2f} s, the old one gone "
        f"{min(gone):.2f} to {max(gone):.2f} s after SIGTERM"
    )
    print(f"  units {sum(rig.ends.values())}: " + ", ".join(f"{e} {n}" for e, n in sorted(rig.ends.items())))
    print(f"  lost at the door in an upgrade: {lost / upgrades:.1f}")
    print(
        f"  door: {len(calls)} calls, median {1000 * calls[len(calls) // 2]:.1f} ms, 99th percentile "
        f"{1000 * calls[int(len(calls) * 0.99)]:.1f} ms, worst {1000 * calls[-1]:.1f} ms, "
        f"not answered with yes {rig.wrong_calls}"
    )
    print(
        f"  both together at most: {rig.most_memory / 1024:.1f} MB (proportional), "
        f"{rig.most_descriptors} descriptors",
        flush=True,
    )


def main() -> None:
    """Measure both ways."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--upgrades", type=int, default=10)
    upgrades = parser.parse_args().upgrades
    random.seed(1)
    for shared in (True, False):
        asyncio.run(play(shared, upgrades))


if __name__ == "__main__":
    main()
