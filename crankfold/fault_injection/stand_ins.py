"""Runners, discovery and clients, in the rig's own process. They write down all that they saw."""

import asyncio
import contextlib
import json
import os
import re
import socket
import time
from dataclasses import dataclass, field
from random import Random

# Of the whole loopback range, so that trials side by side take no port from each other.
HOST = f"127.{os.getpid() >> 16 & 255 or 1}.{os.getpid() >> 8 & 255}.{os.getpid() & 255 or 1}"


def boot_time_ns() -> int:
    """Nanoseconds on the clock by which the processes stamp their records."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class Observations:
    """By the stand-ins, in the order of time."""

    received_requests: list[tuple[int, str, str]] = field(
        default_factory=list
    )  # when, which runner, which unit
    answers: list[tuple[int, str, str, str]] = field(default_factory=list)  # when, unit, dispatcher, answer
    requests: dict[str, tuple[int, str, str]] = field(
        default_factory=dict
    )  # by unit: when, dispatcher, grade


async def read_http_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    split = (line.partition(":") for line in lines[1:])
    heads = {name.strip().lower(): value.strip() for name, _, value in split}
    return lines[0], heads, await reader.readexactly(int(heads.get("content-length", 0)))


CANDIDATE_PORTS = iter(range(20_001, 30_000))


def find_free_port() -> int:
    """Under those that connections are given: a call to a process not there yet could take its port."""
    while True:
        port = next(CANDIDATE_PORTS)
        with contextlib.suppress(OSError), socket.create_server((HOST, port)):
            return port


class StandInServer:
    """Listens on a port that it keeps, also where it dies and comes back."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.port = 0  # the one that it has, if it was there before
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> int:
        self.port = self.port or find_free_port()
        self.server = await asyncio.start_server(self._handle_connection, HOST, self.port)
        return self.port

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self._serve(reader, writer)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass  # the other side is done, or the trial
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def close(self) -> None:
        if self.server:
            self.server.close()

    def abort(self) -> None:
        """As a machine that is gone: nobody listens, and connections break."""
        self.close()
        for writer in list(self.writers):
            writer.transport.abort()


class StandInBackend(StandInServer):
    def __init__(
        self,
        uid: str,
        seen: Observations,
        doors: dict[str, int],
        work: float,
        fails: float,
        seed: int,
        long: float = 0.0,
        long_for: float = 0.0,
    ) -> None:
        self.backend_id, self.observations, self.callback_ports, self.mean_seconds, self.failure_rate = (
            uid,
            seen,
            doors,
            work,
            fails,
        )
        self.long_share, self.long_seconds = long, long_for  # share of the units that run so many seconds
        self.rng = Random(f"{seed} {uid}")
        self.slots = asyncio.Semaphore(4)
        self.busy_slots = 0
        self.tasks: set[asyncio.Task[None]] = set()
        super().__init__()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, heads, _ = await read_http_message(reader)
            if head.startswith("POST"):
                ident = heads["x-request-id"]
                self.observations.received_requests.append((boot_time_ns(), self.backend_id, ident))
                task = asyncio.ensure_future(self._run(ident))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
                writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
            else:
                load = f"TEXT queue=0, x0={4 - self.busy_slots}".encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(load) + load)

    async def _run(self, ident: str) -> None:
        async with self.slots:
            self.busy_slots += 1
            long = self.long_share and self.rng.random() < self.long_share
            await asyncio.sleep(self.long_seconds if long else self.mean_seconds * self.rng.uniform(0.5, 1.5))
            self.busy_slots -= 1
        state = "failed" if self.rng.random() < self.failure_rate else "done"
        body = json.dumps(
            {
                "id": ident,
                "from": self.backend_id,
                "state": state,
                "result": ident,
                "load": {"queue": 0, "x0": 4 - self.busy_slots},
            }
        ).encode()
        for _ in range(5):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(1):
                    head, _ = await http_call(
                        self.callback_ports[ident.split("-")[0]], "/v1/job-events", body
                    )
                if head.split()[1] in ("200", "204"):
                    return
            await asyncio.sleep(0.1)

    def close(self) -> None:
        super().close()
        for task in self.tasks:
            task.cancel()
        self.slots, self.busy_slots = asyncio.Semaphore(4), 0


async def http_call(port: int, target: str, body: bytes | None = None, heads: str = "") -> tuple[str, bytes]:
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        method = "GET" if body is None else "POST"
        writer.write(
            f"{method} {target} HTTP/1.1\r\nHost: trial\r\n{heads}Connection: close\r\n"
            f"Content-Length: {len(body or b'')}\r\n\r\n".encode()
            + (body or b"")
        )
        head, _, text = await read_http_message(reader)
        return head, text
    finally:
        writer.close()


class EndpointList:
    """The runners as they are listed, with the versions of the list."""

    def __init__(self) -> None:
        self.endpoints: dict[str, tuple[int, str, int]] = {}  # by id: port, zone, start in ms
        self.versions: list[tuple[float, list[dict[str, object]]]] = [(0.0, [])]

    def add(self, uid: str, port: int, zone: str = "here") -> None:
        self.endpoints[uid] = port, zone, time.time_ns() // 1_000_000
        self._add_version()

    def remove(self, uid: str) -> None:
        self.endpoints.pop(uid, None)
        self._add_version()

    def _add_version(self) -> None:
        targets: list[dict[str, object]] = [
            {
                "uid": uid,
                "endpoint": f"{HOST}:{port}",
                "az": zone,
                "model": "m",
                "pod_group": 0,
                "state": "in_service",
                "capacity_hint": 1.0,
                "boot_ms": start,
            }
            for uid, (port, zone, start) in self.endpoints.items()
        ]
        self.versions.append((time.monotonic(), targets))


class StandInDiscovery(StandInServer):
    """Tells one dispatcher of the list, late if it is to."""

    def __init__(self, roll: EndpointList) -> None:
        self.endpoint_list, self.delay, self.silent = roll, 0.0, False
        super().__init__()

    def _visible_revision(self) -> int:
        known = time.monotonic() - self.delay
        return max(rev for rev, (at, _) in enumerate(self.endpoint_list.versions) if at <= known)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _, _ = await read_http_message(reader)
            after, end = re.search(r"after=(\d+)", head), time.monotonic() + 3
            while after and int(after[1]) == self._visible_revision() and time.monotonic() < end:
                await asyncio.sleep(0.03)
            if self.silent:
                raise OSError("down")
            rev = self._visible_revision()
            body = json.dumps(
                {"rev": rev, "all": True, "targets": self.endpoint_list.versions[rev][1]}
            ).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


class LoadGenerator:
    """Open loop: units come when they come, whatever became of those before."""

    def __init__(
        self,
        names: list[str],
        ports: dict[str, int],
        grades: list[str],
        rate: float,
        seed: int,
        seen: Observations,
    ) -> None:
        self.dispatcher_names, self.ports, self.request_classes, self.rate, self.observations = (
            names,
            ports,
            grades,
            rate,
            seen,
        )
        self.rng = Random(f"{seed} clients")
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        end, due, n = loop.time() + seconds, loop.time(), 0
        while self.rate:
            due += self.rng.expovariate(self.rate)
            if due >= end:
                break
            await asyncio.sleep(max(due - loop.time(), 0))
            n += 1
            task = asyncio.ensure_future(
                self._send_request(
                    f"{self.rng.choice(self.dispatcher_names)}-{n}", self.rng.choice(self.request_classes)
                )
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=8)

    async def _send_request(self, ident: str, grade: str) -> None:
        name = ident.split("-")[0]
        self.observations.requests[ident] = boot_time_ns(), name, grade
        try:
            async with asyncio.timeout(7):
                head, text = await http_call(
                    self.ports[name],
                    "/api",
                    b"",
                    f"X-Request-ID: {ident}\r\nIdempotency-Key: {ident}\r\n"
                    f"X-Priority-Class: {grade}\r\nX-Timeout: 3\r\nX-Cost: 40000\r\n",
                )
            told = head.split()[1] + (" " + text.decode() if text else "")
        except TimeoutError:
            told = "nothing"
        except (OSError, asyncio.IncompleteReadError) as broken:
            told = f"lost: {type(broken).__name__}"
        self.observations.answers.append((boot_time_ns(), ident, name, told))
