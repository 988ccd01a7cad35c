"""Stand-ins for discovery, runners, clients and the platform, on loopback addresses and the real clock.

They follow the protocol page: discovery answers lists and watches, a runner answers 202 and reports by
callback, a client keeps its connection and sends one request at a time. A case overrides single methods for
the disruption that it is about.
"""

import asyncio
import contextlib
import hashlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
READY_SECONDS = 15.0
CALLBACK_TRIES = 10
CALLBACK_TIMEOUT = 1.0  # seconds that a runner waits for the answer to a callback
CALLBACK_PAUSE = 0.2  # seconds between two tries of a callback
CASE_SECONDS = 100.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be played; nothing was shown."""


class Record:
    """What was sent, answered and run, one line each, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.started_at = time.monotonic()

    def __call__(self, who: str, text: str) -> None:
        print(f"{time.monotonic() - self.started_at:8.3f}  {who:<12} {text}", file=self.file, flush=True)


def trouble() -> bool:
    """Whether the disruption is played; `TROUBLE=0` in the environment leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def result_of(body: bytes) -> str:
    """The result that each runner makes of a request's body, so that a foreign result can be told."""
    return "result " + hashlib.sha256(body).hexdigest()[:16]


# --- HTTP ---


class Message(NamedTuple):
    start: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads one message with a length; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        start, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return Message(start, headers, await reader.readexactly(int(headers.get("content-length", "0"))))
    except (asyncio.IncompleteReadError, OSError):
        return None


def response(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    lines = [f"HTTP/1.1 {status} {'OK' if status < 400 else 'Error'}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def request(method: str, path: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "Host: backend.local", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def status_of(message: Message | None) -> int:
    return int(message.start.split()[1]) if message else 0


async def call(address: tuple[str, int], method: str, path: str, body: bytes = b"") -> Message | None:
    """One call on a connection of its own; None if it has no whole answer."""
    writer = None
    try:
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(request(method, path, {"Connection": "close"}, body))
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer:
            writer.close()


class Server:
    """A server on a free loopback port; a subclass answers its messages."""

    def __init__(self) -> None:
        self.address = (HOST, 0)
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while message := await read_message(reader):
                await self.handle(message, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, message: Message, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


# --- discovery ---


class Discovery(Server):
    """The agent of discovery: the whole list, and a watch that waits for a change."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.revision = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}
        self.changed = asyncio.Event()

    def set_entry(self, runner: "Runner", state: str = "in_service") -> None:
        """Lists a runner, or changes its state; from now on the dispatchers can be told."""
        self.revision += 1
        self.entries[runner.uid] = {
            "uid": runner.uid,
            "endpoint": f"{runner.address[0]}:{runner.address[1]}",
            "az": runner.zone,
            "model": "fast",
            "pod_group": runner.cell,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        self.changed_at[runner.uid] = self.revision
        self.record("discovery", f"revision {self.revision}: {runner.uid} {state}")
        self.changed.set()
        self.changed = asyncio.Event()

    def whole_list(self) -> dict[str, Any]:
        return {"rev": self.revision, "all": True, "targets": list(self.entries.values())}

    async def handle(self, message: Message, writer: asyncio.StreamWriter) -> None:
        query = dict(
            pair.split("=") for pair in message.start.split()[1].partition("?")[2].split("&") if "=" in pair
        )
        document = self.whole_list()
        if "after" in query:
            after = int(query["after"])
            if after >= self.revision:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), int(query.get("wait_ms", "0")) / 1000)
            newer = [entry for uid, entry in self.entries.items() if self.changed_at[uid] > after]
            document = {"rev": self.revision, "all": False, "targets": newer}
        writer.write(response(200, json.dumps(document).encode()))


# --- runners ---


class Job(NamedTuple):
    request_id: str
    grade: str
    key: str
    body: bytes
    seconds: float


class Run(NamedTuple):
    """One attempt that a runner took, from its 202 on."""

    at: float
    runner: "Runner"
    job: Job


class Runner(Server):
    """A runner with a few slots: it answers 202, tells start and end by callback, and runs each job once."""

    def __init__(
        self, uid: str, record: Record, dispatcher: tuple[str, int], *, zone: str, cell: int
    ) -> None:
        super().__init__()
        self.uid = uid
        self.record = record
        self.dispatcher = dispatcher
        self.zone = zone
        self.cell = cell
        self.slot_count = 4
        self.slots = asyncio.Semaphore(self.slot_count)
        self.held = 0
        self.runs: list[Run] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        self.slots = asyncio.Semaphore(self.slot_count)
        await super().open()

    def report(self) -> dict[str, float]:
        free = self.slot_count - self.held
        return {"qps": 1.0, "queue": float(max(-free, 0)), "x0": float(max(free, 0))}

    async def handle(self, message: Message, writer: asyncio.StreamWriter) -> None:
        method, path, _ = message.start.split()
        if method == "POST":
            headers = message.headers
            job = Job(
                headers.get("x-request-id", ""),
                headers.get("x-priority-class", ""),
                headers.get("idempotency-key", ""),
                message.body,
                int(headers.get("x-cost", "100000")) / 1e6,
            )
            await self.take(job, writer)
        elif method == "GET" and path in ("/load", "/healthz"):
            fields = ", ".join(f"{name}={value}" for name, value in self.report().items())
            writer.write(response(200, f"TEXT {fields}".encode() if path == "/load" else b""))
        elif method == "DELETE":
            self.record(self.uid, f"told to give up {path.removeprefix('/jobs/')}")
            self.given_up(path.removeprefix("/jobs/"))
            writer.write(response(200))
        else:
            writer.write(response(404))

    def given_up(self, request_id: str) -> None:
        """The dispatcher has given the attempt up; running work goes on."""

    async def take(self, job: Job, writer: asyncio.StreamWriter) -> None:
        """Answers 202 and runs the job."""
        self.accept(job, writer)

    def accept(self, job: Job, writer: asyncio.StreamWriter) -> None:
        self.record(self.uid, f"takes {job.request_id} ({job.grade}): 202")
        self.runs.append(Run(time.monotonic(), self, job))
        self.held += 1
        writer.write(response(202))
        self.spawn(self.run(job))

    def spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self, job: Job) -> None:
        async with self.slots:
            self.record(self.uid, f"begins {job.request_id}")
            await self.call_back({"id": job.request_id, "state": "started"})
            await asyncio.sleep(job.seconds)
            self.record(self.uid, f"has run {job.request_id}")
        self.held -= 1
        await self.call_back(
            {"id": job.request_id, "state": "done", "result": result_of(job.body), "load": self.report()}
        )

    async def call_back(self, event: dict[str, Any]) -> None:
        """Tells the dispatcher; tries again until it is answered, ten times at most."""
        body = json.dumps({"from": self.uid, **event}).encode()
        for _ in range(CALLBACK_TRIES):
            answer = await call(self.dispatcher, "POST", "/v1/job-events", body)
            self.record(
                self.uid, f"tells {event['state']} of {event['id']}: {status_of(answer) or 'no answer'}"
            )
            if status_of(answer) in (200, 204):
                return
            await asyncio.sleep(CALLBACK_PAUSE)


# --- clients ---


class Answer(NamedTuple):
    request_id: str
    status: int  # 0: the connection ended without a whole answer
    body: bytes
    seconds: float


class Client:
    """A client with one connection, which it keeps; it opens another one if that was closed."""

    def __init__(self, name: str, record: Record, dispatcher: tuple[str, int]) -> None:
        self.name = name
        self.record = record
        self.dispatcher = dispatcher
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.open_connection(*self.dispatcher)

    async def send(
        self,
        request_id: str,
        grade: str,
        body: bytes,
        *,
        wait: float,
        cost: float,
        key: str = "",
    ) -> Answer:
        """Sends one job and waits for its answer; `wait` is its X-Timeout, `cost` its work, in seconds."""
        if self.writer is None or self.writer.is_closing() or (self.reader and self.reader.at_eof()):
            await self.connect()
        assert self.reader is not None
        assert self.writer is not None
        headers = {
            "X-Request-ID": request_id,
            "X-Priority-Class": grade,
            "X-Timeout": f"{wait:.3f}",
            "X-Cost": str(int(cost * 1e6)),
        }
        if key:
            headers["Idempotency-Key"] = key
        sent_at = time.monotonic()
        self.record(self.name, f"sends {request_id} ({grade}) {body!r}")
        answer = None
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(wait + 2.0):
                self.writer.write(request("POST", "/api", headers, body))
                answer = await read_message(self.reader)
        seconds = time.monotonic() - sent_at
        text = answer.body.decode("latin-1") if answer else "no whole answer"
        self.record(self.name, f"gets {status_of(answer)} for {request_id}: {text}")
        if answer is None or answer.headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(request_id, status_of(answer), answer.body if answer else b"", seconds)

    def close(self) -> None:
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


# --- the platform ---


class Dispatcher:
    """One process of a dispatcher, started by the `run` command of the deploy file."""

    def __init__(
        self,
        name: str,
        record: Record,
        folder: Path,
        config: dict[str, Any],
        *,
        admin_port: int,
        log: str = "",
    ) -> None:
        self.name = name
        self.record = record
        self.folder = folder
        self.config = config
        self.admin = (HOST, admin_port)
        self.config_path = folder / f"{name}.json"
        self.log_path = folder / f"{log or name}.log"
        self.process: asyncio.subprocess.Process | None = None

    @property
    def listen(self) -> tuple[str, int]:
        host, _, port = self.config["listen"].rpartition(":")
        return host, int(port)

    def write_config(self) -> None:
        temporary = self.config_path.with_suffix(".new")
        temporary.write_text(json.dumps(self.config))
        temporary.replace(self.config_path)

    async def start(self) -> None:
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.write_config()
        environment = os.environ | {
            "GW_NAME": self.name,
            "GW_CONFIG": str(self.config_path),
            "GW_LISTEN": self.config["listen"],
            "GW_DISCOVERY": self.config["discovery"],
            "GW_ADMIN_ADDR": f"{self.admin[0]}:{self.admin[1]}",
            "TMPDIR": str(self.folder / "tmp"),
        }
        (self.folder / "tmp").mkdir(exist_ok=True)
        with self.log_path.open("w") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record("platform", f"starts {self.log_path.stem}, process {self.process.pid}")

    async def wait_until_ready(self) -> None:
        end = time.monotonic() + READY_SECONDS
        while time.monotonic() < end:
            if self.process is None or self.process.returncode is not None:
                break
            if status_of(await call(self.admin, "GET", "/control/ready")) == 200:
                self.record("platform", f"{self.log_path.stem} is ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.log_path.stem} is not ready: {self.log_path.read_text()[-2000:]}")

    def signal(self, number: signal.Signals) -> None:
        if self.process and self.process.returncode is None:
            self.record("platform", f"sends {number.name} to {self.log_path.stem}")
            self.process.send_signal(number)

    async def end(self) -> None:
        """Ends the process, if it still runs."""
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


GRADES: list[dict[str, Any]] = [
    # The service grades of the site roster-thailand, as on the wire.
    {
        "name": "my-shifts",
        "effect": "safe",
        "group": "all",
        "expected-time": 80_000,
        "cut-off": 5_000_000,
        "repeat-window": 5_000_000,
        "revenue": 5.0,
        "tardy-revenue": 0.0,
        "stream": False,
    },
    {
        "name": "open-count",
        "effect": "safe",
        "group": "all",
        "expected-time": 80_000,
        "cut-off": 5_000_000,
        "repeat-window": 5_000_000,
        "revenue": 1.0,
        "tardy-revenue": 0.0,
        "stream": False,
    },
    {
        "name": "shift-signup",
        "effect": "keyed",
        "group": "cell",
        "expected-time": 600_000,
        "cut-off": 8_000_000,
        "repeat-window": 12_000_000,
        "revenue": 5.0,
        "tardy-revenue": 0.0,
        "stream": False,
    },
    {
        "name": "urgent-cover",
        "effect": "keyed",
        "group": "zone",
        "expected-time": 300_000,
        "cut-off": 12_000_000,
        "repeat-window": 20_000_000,
        "revenue": 10.0,
        "tardy-revenue": 0.0,
        "stream": False,
    },
]


def roster_settings() -> dict[str, Any]:
    """The settings of the site roster-thailand at its first size, as the wire page shows them."""
    return {
        "allowed": {
            "cancel": True,
            "conn-idle": 10_000_000,
            "connect-timeout": 250_000,
            "max-retry-after": 2_000_000,
            "most-dispatches": 5,
            "most-held": 20_000,
            "probing": True,
            "retry-after": True,
            "second-copies": True,
        },
        "balancers": 1,
        "kinds": ["fast", "mid", "slow"],
        "me": 0,
        "membership-mode": "pushed",
        "orgs": [],
        "report": {"names": ["qps", "queue", "x0"], "via": "inline"},
        "revenue-per": "work",
        "rules": {
            "cold-from": 0.13,
            "drain-grace": 300_000,
            "overload-factor": 4.0,
            "overload-for": 1_000_000,
            "warm-after": 24_000_000,
        },
        "score-parts": {"whole": 0.45, "worst-class": 0.2, "worst-tenant": 0.0, "worst-window": 0.35},
        "service-grades": json.loads(json.dumps(GRADES)),
        "specifics": {
            "class-stretch": [2.0, 2.0, 2.0, 1.75],
            "progress": 0,
            "report-x0": "free_slots",
            "tells-start": True,
        },
        "tick": 2000,
        "weights": "nominal",
        "zone": 0,
        "zones": ["bangkok", "chiang-mai", "khon-kaen"],
    }


def configuration(
    name: str, listen_port: int, discovery: Discovery, settings: dict[str, Any]
) -> dict[str, Any]:
    return {
        "name": name,
        "listen": f"{HOST}:{listen_port}",
        "discovery": f"{discovery.address[0]}:{discovery.address[1]}",
        "seed": os.urandom(8).hex(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.whole_list(),
        "settings": settings,
    }


@contextlib.contextmanager
def temporary_folder() -> Iterator[Path]:
    with tempfile.TemporaryDirectory(prefix="case-") as folder:
        yield Path(folder)


def main(play: Any, case_file: str) -> None:
    """Plays a case: `play` takes the record and the temporary folder and returns the breaks that it found."""
    record = Record(Path(case_file).with_name("record.txt"))
    record("case", f"TROUBLE={int(trouble())}")
    try:
        with temporary_folder() as folder:
            breaks = asyncio.run(_play(play, record, folder))
    except (Exception, asyncio.CancelledError) as error:
        record("case", f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(COULD_NOT_RUN)
    for text in breaks:
        record("judge", f"BROKEN {text}")
    verdict = f"the rule was broken {len(breaks)} times" if breaks else "the rule held"
    record("judge", verdict)
    print(verdict)
    sys.exit(BROKEN if breaks else HELD)


async def _play(play: Any, record: Record, folder: Path) -> list[str]:
    """Plays the case within its time; SIGTERM ends it early, and with it the processes that it started."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(CASE_SECONDS):
        breaks: list[str] = await play(record, folder)
        return breaks
