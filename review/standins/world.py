"""Stand-ins for the cases 6 to 10: discovery, runners, clients, a proxy, and the dispatcher as a process.

They follow the users' pages: PROTOCOL.md and DEPLOY.md. Everything is on loopback addresses and the real
clock. Only the standard library is used.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
PORTS = (12000, 32000)
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
REASONS = {200: "OK", 202: "Accepted", 204: "No Content", 404: "Not Found", 503: "Service Unavailable"}


def free_port() -> int:
    """Returns a port that is free now, and below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            return port


class Record:
    """Writes what was sent, answered and run to record.txt of the case."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        """Writes a line with the time."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Message:
    """An HTTP message: its first line in parts, its headers in lower case, its body."""

    def __init__(self, first: list[str], headers: dict[str, str], body: bytes) -> None:
        self.first = first
        self.headers = headers
        self.body = body


async def read_message(reader: asyncio.StreamReader, has_body: bool = True) -> Message | None:
    """Reads one message; None if the connection ends before it is complete."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = dict(line.split(":", 1) for line in lines[1:] if line)
        headers = {name.strip().lower(): value.strip() for name, value in headers.items()}
        size = int(headers.get("content-length", "0")) if has_body else 0
        body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Message(lines[0].split(" ", 2), headers, body)


def write_response(writer: asyncio.StreamWriter, status: int, body: bytes = b"", extra: str = "") -> None:
    """Writes a response with a length."""
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
    writer.write(head.encode() + body)


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


async def serve(port: int, handler: Handler) -> asyncio.Server:
    """Serves HTTP; the handler writes one response for each message, or closes."""

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while message := await read_message(reader):
                await handler(message, writer)
        with contextlib.suppress(OSError):
            writer.close()

    return await asyncio.start_server(connected, HOST, port)


class Discovery:
    """The agent of discovery: whole lists and watches."""

    def __init__(self) -> None:
        self.port = free_port()
        self.revision = 1
        self.targets: dict[str, dict[str, object]] = {}
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen."""
        self.server = await serve(self.port, self.handle)

    def add(self, uid: str, port: int, **more: object) -> None:
        """Lists a runner, or changes its entry."""
        entry: dict[str, object] = {
            "uid": uid,
            "endpoint": f"{HOST}:{port}",
            "az": "here",
            "model": "m1",
            "pod_group": 1,
            "state": "in_service",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        self.targets[uid] = entry | more
        self.revision += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def document(self) -> dict[str, object]:
        """Returns the whole list."""
        return {"rev": self.revision, "all": True, "targets": list(self.targets.values())}

    async def handle(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answers a call; a watch waits for something newer."""
        _, _, query = message.first[1].partition("?")
        asked = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        if int(asked.get("after", -1)) == self.revision:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), min(int(asked.get("wait_ms", 0)), 60000) / 1000)
        document = self.document()
        if int(asked.get("after", -1)) == self.revision:
            document = {"rev": self.revision, "all": False, "targets": []}
        write_response(writer, 200, json.dumps(document).encode())


class Ledger:
    """The attempts that are out: begun, and neither ended nor given up. Notes those that may not be begun."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.out: dict[str, list[str]] = {}  # the runners at which attempts of a job are out
        self.doubled: dict[str, str] = {}  # jobs with two attempts out at once, and where

    def begin(self, job: str, uid: str) -> None:
        """An attempt has come to a runner."""
        others = self.out.setdefault(job, [])
        if others:
            self.doubled.setdefault(job, f"{uid} beside {', '.join(others)}")
            self.record.write(f"SECOND COPY of {job} at {uid}: one is out at {', '.join(others)}")
        others.append(uid)

    def end(self, job: str, uid: str) -> None:
        """An attempt has ended or was given up."""
        if uid in self.out.get(job, []):
            self.out[job].remove(uid)


class Runner:
    """A runner: answers 202, tells of the job by callbacks, and tries each call until it is answered.

    `on_attempt` takes each attempt, with the id of its job, and answers it.
    """

    def __init__(self, uid: str, record: Record, callback_port: int, ledger: Ledger) -> None:
        self.uid = uid
        self.record = record
        self.ledger = ledger
        self.port = free_port()
        self.callback_port = callback_port
        self.server: asyncio.Server | None = None
        self.attempts: dict[str, int] = {}
        self.on_attempt: Callable[[str, Message, asyncio.StreamWriter], Awaitable[None]] | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.call_timeout = 0.5  # seconds that a call waits for its answer
        self.call_pause = 0.1  # seconds until it is tried again

    async def start(self) -> None:
        """Starts to listen."""
        self.server = await serve(self.port, self.handle)

    async def handle(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Takes a job, or hears that one is given up."""
        method, path, _ = message.first
        if method == "DELETE":
            job = path.rpartition("/")[2]
            self.ledger.end(job, self.uid)
            self.record.write(f"{self.uid}: {job} given up by the dispatcher (DELETE)")
            write_response(writer, 200)
        elif method == "POST":
            job = message.headers.get("x-request-id", "")
            self.attempts[job] = self.attempts.get(job, 0) + 1
            self.record.write(f"{self.uid}: attempt {self.attempts[job]} of {job} has come")
            self.ledger.begin(job, self.uid)
            assert self.on_attempt
            await self.on_attempt(job, message, writer)
        else:
            write_response(writer, 404)

    def spawn(self, work: Awaitable[None]) -> None:
        """Runs something beside the present response."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def call(self, job: str, state: str, port: int = 0, **more: object) -> bool:
        """Tells the dispatcher something; tries ten times at most, until the call is answered."""
        body = json.dumps({"id": job, "from": self.uid, "state": state, **more}).encode()
        for number in range(1, 11):
            status = await request(
                port or self.callback_port, "POST", "/v1/job-events", {}, body, self.call_timeout
            )
            self.record.write(f"{self.uid}: call '{state}' of {job}, try {number}: {status or 'no answer'}")
            if status in (200, 204):
                return True
            await asyncio.sleep(self.call_pause)
        return False


async def request(
    port: int, method: str, path: str, headers: dict[str, str], body: bytes, seconds: float
) -> int:
    """Sends one request on a connection of its own; returns the status, 0 without an answer."""
    answer = await exchange(port, method, path, headers, body, seconds)
    return int(answer.first[1]) if answer else 0


async def exchange(
    port: int, method: str, path: str, headers: dict[str, str], body: bytes, seconds: float
) -> Message | None:
    """Sends one request on a connection of its own; returns the whole answer, None without one."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(HOST, port)
            lines = [f"{method} {path} HTTP/1.1", "Host: backend.local", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer:
            writer.close()


async def client_request(
    port: int,
    job: str,
    request_class: str,
    time_left: float,
    record: Record,
    seconds: float = 0.1,
    **headers: str,
) -> int:
    """Hands in a job as a client does, and waits until half a second after its time."""
    record.write(f"client: {job} ({request_class}, {time_left} s) sent")
    fields = {"X-Request-ID": job, "X-Priority-Class": request_class, "X-Timeout": f"{time_left:.3f}"}
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    body = f"work of {job}, seconds={seconds}".encode()
    answer = await exchange(port, "POST", "/api", fields, body, time_left + 0.5)
    status = int(answer.first[1]) if answer else 0
    text = answer.body.decode() if answer else ""
    record.write(f"client: {job} answered {status or 'with nothing'} {text}")
    return status


class Dispatcher:
    """One process of the dispatcher, started by the `run` command of the deploy file."""

    def __init__(self, record: Record, folder: Path, name: str, config: dict[str, object]) -> None:
        self.record = record
        self.name = name
        self.config = config
        self.listen_port = int(str(config["listen"]).rpartition(":")[2])
        self.folder = folder / name
        self.folder.mkdir(exist_ok=True)
        self.config_path = self.folder / "config.json"
        self.process: asyncio.subprocess.Process | None = None
        self.write_config()

    def write_config(self) -> None:
        """Writes the configuration file whole."""
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.replace(self.config_path)

    async def start(self, tmpdir: Path | None = None, admin_port: int = 0) -> None:
        """Starts the process."""
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        own_tmpdir = tmpdir or self.folder / "tmp"
        own_tmpdir.mkdir(exist_ok=True)
        environment = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        environment |= {
            "GW_NAME": self.name,
            "GW_LISTEN": str(self.config["listen"]),
            "GW_DISCOVERY": str(self.config["discovery"]),
            "GW_CONFIG": str(self.config_path),
            "TMPDIR": str(own_tmpdir),
        }
        if admin_port:
            environment["GW_ADMIN_ADDR"] = f"{HOST}:{admin_port}"
        log = (self.folder / "log.txt").open("a")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log,
            start_new_session=True,
        )  # fmt: skip
        self.record.write(f"dispatcher {self.name}: started")

    async def wait_until_ready(self, seconds: float = 30.0) -> None:
        """Waits until /healthz answers 200.

        Raises:
            RuntimeError: It does not.
        """
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await request(self.listen_port, "GET", "/healthz", {}, b"", 1.0) == 200:
                self.record.write(f"dispatcher {self.name}: ready")
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"dispatcher {self.name} is not ready")

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process
        self.record.write(f"dispatcher {self.name}: {number.name}")
        self.process.send_signal(number)

    async def end(self) -> None:
        """Ends the process if it runs."""
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGKILL)
            await self.process.wait()


Case = Callable[[Record, Path, list[Dispatcher], bool], Awaitable[str]]


def run_case(folder: Path, case: Case, *, trouble: bool) -> None:
    """Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    The case gets the record, a temporary folder, a list for the dispatchers that it starts, and `trouble`:
    whether the disruption takes place. It returns how the rule was broken, or "".
    """
    record = Record(folder)
    temporary = Path(tempfile.mkdtemp(prefix="case-"))
    dispatchers: list[Dispatcher] = []

    async def run() -> str:
        main_task = asyncio.current_task()
        assert main_task
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, main_task.cancel)
        try:
            async with asyncio.timeout(110):
                return await case(record, temporary, dispatchers, trouble)
        finally:
            for dispatcher in dispatchers:
                await dispatcher.end()

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"the case could not run: {type(error).__name__}: {error}")
        sys.exit(COULD_NOT_RUN)
    finally:
        for log in temporary.glob("*/log.txt"):
            for line in log.read_text(errors="replace").splitlines():
                record.write(f"log of {log.parent.name}: {line}")
        shutil.rmtree(temporary, ignore_errors=True)
    record.write(f"broken: {broken}" if broken else "the rule held")
    print(broken or "the rule held")
    sys.exit(BROKEN if broken else HELD)


def settings(**changes: object) -> dict[str, object]:
    """Returns the settings of a small deployment, of the sizes of the briefs, with some changed."""
    base: dict[str, object] = {
        "allowed": {
            "cancel": True, "probing": False, "retry-after": True, "second-copies": True,
            "most-dispatches": 5, "max-retry-after": 2000000, "connect-timeout": 250000,
            "conn-idle": 10000000, "most-held": 20000,
        },
        "balancers": 1,
        "service-grades": [
            {"name": "look", "effect": "safe", "expected-time": 4000000, "cut-off": 8000000,
             "group": "all", "repeat-window": 5000000, "revenue": 1.0, "tardy-revenue": 0.5},
            {"name": "order", "effect": "unsafe", "expected-time": 4000000, "cut-off": 8000000,
             "group": "all", "repeat-window": 5000000, "revenue": 5.0, "tardy-revenue": 0.5},
        ],
        "kinds": ["m1"],
        "membership-mode": "pushed",
        "report": {"names": ["queue", "x0"], "via": "off"},
        "rules": {"answer-slack": 8000, "drain-grace": 300000, "ask-within": 10000000, "cold-from": 0.2,
                  "warm-after": 10000000, "overload-factor": 3.0, "overload-for": 1000000},
        "specifics": {"tells-start": True, "progress": 0, "report-x0": "free slots"},
        "tick": 2000, "weights": "nominal", "zone": 0, "zones": ["here"],
    }  # fmt: skip
    return base | changes


def config(name: str, listen_port: int, discovery: Discovery, **changes: object) -> dict[str, object]:
    """Returns a configuration; limits as on the days that are scored."""
    base: dict[str, object] = {
        "name": name,
        "listen": f"{HOST}:{listen_port}",
        "discovery": f"{HOST}:{discovery.port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.document(),
        "settings": settings(),
    }
    return base | changes


class SlotRunner(Runner):
    """A sound runner with slots: it begins waiting jobs in order, and tells of starts and ends.

    The seconds that a job takes stand in its body, as `seconds=0.5`; without that it takes 0.1 s.
    """

    def __init__(self, uid: str, record: Record, callback_port: int, ledger: Ledger, slots: int) -> None:
        super().__init__(uid, record, callback_port, ledger)
        self.slots = slots
        self.free = asyncio.Semaphore(slots)
        self.running = 0
        self.waiting = 0
        self.on_attempt = self.take

    def load(self) -> dict[str, int]:
        """Returns the load report."""
        return {"queue": self.waiting, "x0": self.slots - self.running}

    async def take(self, job: str, message: Message, writer: asyncio.StreamWriter) -> None:
        """Takes a job."""
        self.waiting += 1
        self.spawn(self.execute(job, message.body.decode()))
        write_response(writer, 202)

    async def execute(self, job: str, body: str) -> None:
        """Executes a job when a slot is free."""
        seconds = float(body.rpartition("seconds=")[2]) if "seconds=" in body else 0.1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            self.record.write(f"{self.uid}: {job} begins")
            self.spawn(self.call(job, "started"))
            await asyncio.sleep(seconds)
            self.running -= 1
            self.ledger.end(job, self.uid)
            self.record.write(f"{self.uid}: {job} ends")
        await self.call(job, "done", result=f"{self.uid} did {job}", load=self.load())
