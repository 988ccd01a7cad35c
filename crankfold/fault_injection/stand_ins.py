"""Stand-ins for backends, discovery and clients, in the trial's own process; they record all events."""

import asyncio
import contextlib
import json
import re
import time
from dataclasses import dataclass
from random import Random

from crankfold.fault_injection.http_client import (
    STATUS_NO_CONTENT,
    STATUS_OK,
    boot_time_ns,
    http_call,
    read_http_message,
)
from crankfold.fault_injection.loopback import HOST, find_free_port
from crankfold.fault_injection.records import (
    ClientAnswer,
    JsonObject,
    Observations,
    ReceivedRequest,
    SubmittedRequest,
)

SLOTS = 4  # requests that a stand-in backend runs at the same time
CALLBACK_ATTEMPTS = 5
CALLBACK_TIMEOUT = 1.0  # seconds
CALLBACK_PAUSE = 0.1  # seconds between the attempts of a callback
MIN_RUN_FACTOR = 0.5  # of the mean duration of a request
MAX_RUN_FACTOR = 1.5
POLL_DURATION = 3.0  # seconds until discovery answers a long poll without a change
POLL_STEP = 0.03  # seconds between checks for a change
REQUEST_TIMEOUT = 3  # seconds that clients give the dispatchers
CLIENT_TIMEOUT = 7.0  # seconds until a client closes its connection
LAST_ANSWERS_TIMEOUT = 8.0  # seconds after the end of the load
NANOSECONDS_PER_MILLISECOND = 1_000_000


class StandInServer:
    """A server that keeps its port when it is closed and opened again."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.port = 0  # 0 until the server is opened for the first time
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> int:
        """Starts to listen and returns the port."""
        self.port = self.port or find_free_port()
        self.server = await asyncio.start_server(self._handle_connection, HOST, self.port)
        return self.port

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self._serve(reader, writer)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass  # the peer closed the connection, or the trial ends
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def close(self) -> None:
        """Stops listening."""
        if self.server:
            self.server.close()

    def abort(self) -> None:
        """Stops listening and aborts all connections, as a failed machine does."""
        self.close()
        for writer in list(self.writers):
            writer.transport.abort()


@dataclass(frozen=True, slots=True)
class BackendBehavior:
    """Durations and failures of requests at stand-in backends."""

    mean_seconds: float
    failure_share: float  # of the requests
    long_share: float = 0.0  # share of the requests that run for `long_seconds`
    long_seconds: float = 0.0


class StandInBackend(StandInServer):
    """Executes requests by waiting, and reports each result to its dispatcher by a callback."""

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
            if is_long:
                seconds = behavior.long_seconds
            else:
                seconds = behavior.mean_seconds * self.rng.uniform(MIN_RUN_FACTOR, MAX_RUN_FACTOR)
            await asyncio.sleep(seconds)
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
                if response.status in (STATUS_OK, STATUS_NO_CONTENT):
                    return
            await asyncio.sleep(CALLBACK_PAUSE)

    def close(self) -> None:
        """Stops listening and drops all requests."""
        super().close()
        for task in self.tasks:
            task.cancel()
        self.slots = asyncio.Semaphore(SLOTS)
        self.busy_slots = 0


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """A backend in the endpoint list."""

    port: int
    zone: str
    started_ms: int  # since the epoch

    def to_target(self, backend_id: str) -> JsonObject:
        """Encodes the entry in the form of the discovery protocol."""
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
    """A version of the endpoint list."""

    since: float  # seconds on the monotonic clock
    targets: list[JsonObject]  # encoded entries


class EndpointList:
    """The endpoint list with all its versions; the index of a version is its revision."""

    def __init__(self) -> None:
        self.endpoints: dict[str, EndpointEntry] = {}  # by backend
        self.versions = [ListVersion(0.0, [])]

    def add(self, backend_id: str, port: int, zone: str = "here") -> None:
        """Adds a backend that starts now."""
        self.endpoints[backend_id] = EndpointEntry(port, zone, time.time_ns() // NANOSECONDS_PER_MILLISECOND)
        self._add_version()

    def remove(self, backend_id: str) -> None:
        """Removes a backend."""
        self.endpoints.pop(backend_id, None)
        self._add_version()

    def _add_version(self) -> None:
        targets = [endpoint.to_target(backend_id) for backend_id, endpoint in self.endpoints.items()]
        self.versions.append(ListVersion(time.monotonic(), targets))


class StandInDiscovery(StandInServer):
    """Serves the endpoint list to one dispatcher by long polling; faults delay or silence it."""

    def __init__(self, endpoint_list: EndpointList) -> None:
        super().__init__()
        self.endpoint_list = endpoint_list
        self.delay = 0.0  # seconds until a change is visible
        self.silent = False  # whether requests get no response

    def _visible_revision(self) -> int:
        latest = time.monotonic() - self.delay
        versions = enumerate(self.endpoint_list.versions)
        return max(revision for revision, version in versions if version.since <= latest)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            message = await read_http_message(reader)
            known_revision = re.search(r"after=(\d+)", message.start_line)
            end = time.monotonic() + POLL_DURATION
            while (  # noqa: ASYNC110 - the visible revision depends on the clock, which sets no event
                known_revision
                and int(known_revision[1]) == self._visible_revision()
                and time.monotonic() < end
            ):
                await asyncio.sleep(POLL_STEP)
            if self.silent:
                raise OSError("down")
            revision = self._visible_revision()
            targets = self.endpoint_list.versions[revision].targets
            body = json.dumps({"rev": revision, "all": True, "targets": targets}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


class LoadGenerator:
    """Sends requests in an open loop: arrivals do not depend on earlier answers."""

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
        """Sends requests for `seconds`, then waits for the last answers."""
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
            f"X-Priority-Class: {request_class}\r\nX-Timeout: {REQUEST_TIMEOUT}\r\nX-Cost: 40000\r\n"
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
