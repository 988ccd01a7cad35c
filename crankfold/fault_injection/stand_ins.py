"""Backends, discovery and clients, in the trial's own process. They write down all that they see."""

import asyncio
import contextlib
import json
import re
import time
from dataclasses import dataclass
from random import Random
from typing import Any

from crankfold.fault_injection.http_client import (
    HOST,
    boot_time_ns,
    find_free_port,
    http_call,
    read_http_message,
)
from crankfold.fault_injection.records import (
    ClientAnswer,
    Observations,
    ReceivedRequest,
    SubmittedRequest,
)

SLOTS = 4  # requests that a stand-in backend runs at the same time
CALLBACK_ATTEMPTS = 5
CALLBACK_TIMEOUT = 1.0  # seconds
CALLBACK_PAUSE = 0.1  # seconds between attempts
POLL_DURATION = 3.0  # seconds that discovery keeps a poll waiting if nothing changes
POLL_STEP = 0.03  # seconds
CLIENT_TIMEOUT = 7.0  # seconds; clients give the dispatchers three
LAST_ANSWERS_TIMEOUT = 8.0  # seconds after the load's end


class StandInServer:
    """Listens on a port that it keeps, also where it dies and comes back."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.port = 0  # the one that it has, if it was there before
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> int:
        """Listen; the port."""
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
        """Stop to listen."""
        if self.server:
            self.server.close()

    def abort(self) -> None:
        """As a machine that is gone: nobody listens, and connections break."""
        self.close()
        for writer in list(self.writers):
            writer.transport.abort()


@dataclass(frozen=True, slots=True)
class BackendBehavior:
    """How long requests run at stand-in backends, and how many fail."""

    mean_seconds: float
    failure_share: float
    long_share: float = 0.0  # share of the requests that run for `long_seconds`
    long_seconds: float = 0.0


class StandInBackend(StandInServer):
    """Runs requests for a while and tells their dispatcher by a callback what became of them."""

    def __init__(
        self,
        backend_id: str,
        behavior: BackendBehavior,
        *,
        observations: Observations,
        callback_ports: dict[str, int],
        seed: int,
    ) -> None:
        super().__init__()
        self.backend_id = backend_id
        self.behavior = behavior
        self.observations = observations
        self.callback_ports = callback_ports  # by dispatcher
        self.rng = Random(f"{seed} {backend_id}")
        self.slots = asyncio.Semaphore(SLOTS)
        self.busy_slots = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            message = await read_http_message(reader)
            if message.start_line.startswith("POST"):
                request_id = message.headers["x-request-id"]
                self.observations.received_requests.append(
                    ReceivedRequest(boot_time_ns(), self.backend_id, request_id)
                )
                task = asyncio.ensure_future(self._run(request_id))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
                writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
            else:
                load = f"TEXT queue=0, x0={SLOTS - self.busy_slots}".encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(load) + load)

    async def _run(self, request_id: str) -> None:
        behavior = self.behavior
        async with self.slots:
            self.busy_slots += 1
            is_long = behavior.long_share and self.rng.random() < behavior.long_share
            await asyncio.sleep(
                behavior.long_seconds if is_long else behavior.mean_seconds * self.rng.uniform(0.5, 1.5)
            )
            self.busy_slots -= 1
        state = "failed" if self.rng.random() < behavior.failure_share else "done"
        await self._call_back(request_id, state)

    async def _call_back(self, request_id: str, state: str) -> None:
        body = json.dumps(
            {
                "id": request_id,
                "from": self.backend_id,
                "state": state,
                "result": request_id,
                "load": {"queue": 0, "x0": SLOTS - self.busy_slots},
            }
        ).encode()
        dispatcher = request_id.split("-")[0]
        for _ in range(CALLBACK_ATTEMPTS):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(CALLBACK_TIMEOUT):
                    response = await http_call(self.callback_ports[dispatcher], "/v1/job-events", body)
                if response.status in (200, 204):
                    return
            await asyncio.sleep(CALLBACK_PAUSE)

    def close(self) -> None:
        """Stop to listen; what runs is lost."""
        super().close()
        for task in self.tasks:
            task.cancel()
        self.slots = asyncio.Semaphore(SLOTS)
        self.busy_slots = 0


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """A backend as discovery lists it."""

    port: int
    zone: str
    started_ms: int  # since the epoch

    def to_target(self, backend_id: str) -> dict[str, Any]:
        """The entry on the wire."""
        return {
            "uid": backend_id,
            "endpoint": f"{HOST}:{self.port}",
            "az": self.zone,
            "model": "m",
            "pod_group": 0,
            "state": "in_service",
            "capacity_hint": 1.0,
            "boot_ms": self.started_ms,
        }


@dataclass(frozen=True, slots=True)
class ListVersion:
    """The list as it is from a moment on the monotonic clock, in seconds."""

    since: float
    targets: list[dict[str, Any]]


class EndpointList:
    """The backends as they are listed, with all versions of the list; a version's index is its revision."""

    def __init__(self) -> None:
        self.endpoints: dict[str, EndpointEntry] = {}  # by backend
        self.versions = [ListVersion(0.0, [])]

    def add(self, backend_id: str, port: int, zone: str = "here") -> None:
        """List a backend, as started now."""
        self.endpoints[backend_id] = EndpointEntry(port, zone, time.time_ns() // 1_000_000)
        self._add_version()

    def remove(self, backend_id: str) -> None:
        """List it no more."""
        self.endpoints.pop(backend_id, None)
        self._add_version()

    def _add_version(self) -> None:
        targets = [endpoint.to_target(backend_id) for backend_id, endpoint in self.endpoints.items()]
        self.versions.append(ListVersion(time.monotonic(), targets))


class StandInDiscovery(StandInServer):
    """Tells one dispatcher of the list, late or not at all if a fault says so."""

    def __init__(self, endpoint_list: EndpointList) -> None:
        super().__init__()
        self.endpoint_list = endpoint_list
        self.delay = 0.0  # seconds until it knows of a change
        self.silent = False  # it reads requests and answers none

    def _visible_revision(self) -> int:
        latest = time.monotonic() - self.delay
        versions = enumerate(self.endpoint_list.versions)
        return max(revision for revision, version in versions if version.since <= latest)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            message = await read_http_message(reader)
            known = re.search(r"after=(\d+)", message.start_line)
            end = time.monotonic() + POLL_DURATION
            # What is visible changes by the clock, which sets no event.
            while (  # noqa: ASYNC110 - the clock sets no event
                known and int(known[1]) == self._visible_revision() and time.monotonic() < end
            ):
                await asyncio.sleep(POLL_STEP)
            if self.silent:
                raise OSError("down")
            revision = self._visible_revision()
            targets = self.endpoint_list.versions[revision].targets
            body = json.dumps({"rev": revision, "all": True, "targets": targets}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


class LoadGenerator:
    """Open loop: requests come when they come, whatever became of those before."""

    def __init__(
        self,
        ports: dict[str, int],
        request_classes: list[str],
        *,
        rate: float,
        seed: int,
        observations: Observations,
    ) -> None:
        self.ports = ports  # by dispatcher
        self.request_classes = request_classes
        self.rate = rate  # requests a second at all dispatchers together
        self.observations = observations
        self.rng = Random(f"{seed} clients")
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Send requests for so long, and wait for their answers."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        end = due + seconds
        dispatchers = list(self.ports)
        count = 0
        while self.rate:
            due += self.rng.expovariate(self.rate)
            if due >= end:
                break
            await asyncio.sleep(max(due - loop.time(), 0))
            count += 1
            request_id = f"{self.rng.choice(dispatchers)}-{count}"
            request_class = self.rng.choice(self.request_classes)
            task = asyncio.ensure_future(self._send_request(request_id, request_class))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=LAST_ANSWERS_TIMEOUT)

    async def _send_request(self, request_id: str, request_class: str) -> None:
        dispatcher = request_id.split("-")[0]
        self.observations.requests[request_id] = SubmittedRequest(boot_time_ns(), dispatcher, request_class)
        headers = (
            f"X-Request-ID: {request_id}\r\nIdempotency-Key: {request_id}\r\n"
            f"X-Priority-Class: {request_class}\r\nX-Timeout: 3\r\nX-Cost: 40000\r\n"
        )
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT):
                response = await http_call(self.ports[dispatcher], "/api", b"", headers)
            text = str(response.status) + (f" {response.body.decode()}" if response.body else "")
        except TimeoutError:
            text = "nothing"
        except (OSError, asyncio.IncompleteReadError) as error:
            text = f"lost: {type(error).__name__}"
        self.observations.answers.append(ClientAnswer(boot_time_ns(), request_id, dispatcher, text))
