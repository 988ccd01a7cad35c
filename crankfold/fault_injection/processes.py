"""The dispatcher processes of a trial: how each is started, and the faults that hit one of them."""

import asyncio
import contextlib
import json
import resource
import shutil
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from crankfold.fault_injection.http_client import HOST, boot_time_ns, find_free_port, http_call
from crankfold.fault_injection.records import FOREVER, Period

ROOT = Path(__file__).parents[2]
READY_TIMEOUT = 20.0  # seconds
SHUTDOWN_TIMEOUT = 8.0  # seconds
POLL_INTERVAL = 0.02  # seconds
READY_POLL_INTERVAL = 0.05  # seconds
RECORD_LINE_LIMIT = 1 << 24  # bytes
FULL_DISK_FILE_SIZE = 16  # bytes that a file may grow to
RESUME_GRACE = 500_000_000  # nanoseconds; clients may have given up on a process that stood still


@dataclass(frozen=True, slots=True)
class ProcessFiles:
    """Where a process keeps what it needs, all in the trial's folder."""

    config: Path
    storage: Path  # folder of the voter's log
    handover: Path  # folder by which a replacement finds it
    log: Path

    @classmethod
    def in_folder(cls, folder: Path, name: str) -> "ProcessFiles":
        """The files of the process of that name."""
        return cls(
            config=folder / f"{name}.json",
            storage=folder / name,
            handover=folder / f"{name}.tmp",
            log=folder / f"{name}.log",
        )


class ManagedProcess:
    """A dispatcher that the trial starts, ends, and disturbs."""

    def __init__(self, name: str, files: ProcessFiles, port: int) -> None:
        self.name = name
        self.files = files
        self.port = port  # for clients
        self.running: asyncio.subprocess.Process | None = None
        self.admin_options: tuple[str, ...] = ()  # of the last replacement: it keeps its port when restarted
        self.restart_lock = asyncio.Lock()  # one fault or job ends and starts it at a time
        self.record_key = name
        # As written, one JSON object each; those of two processes that ran side by side apart.
        self.raw_records: dict[str, list[dict[str, Any]]] = {}
        self.reader_tasks: list[asyncio.Task[None]] = []
        self.downtimes: list[Period] = []

    async def start(self) -> None:
        """Start it; if it was down, wait until it accepts connections again."""
        with self.files.log.open("ab") as log:
            self.running = await asyncio.create_subprocess_exec(
                *(sys.executable, "-O", "-m", "crankfold", "serve"),
                *("--config", str(self.files.config), "--hand-over", str(self.files.handover)),
                *self.admin_options,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                limit=RECORD_LINE_LIMIT,
                cwd=ROOT,
            )
        records = self.raw_records.setdefault(self.record_key, [])
        self.reader_tasks.append(asyncio.ensure_future(self._read_records(self.running, records)))
        while self._is_down() and self.running.returncode is None:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(HOST, self.port)
                writer.close()
                self.downtimes[-1].end = boot_time_ns()
            await asyncio.sleep(POLL_INTERVAL)

    def _is_down(self) -> bool:
        return bool(self.downtimes) and self.downtimes[-1].end == FOREVER

    @staticmethod
    async def _read_records(running: asyncio.subprocess.Process, records: list[dict[str, Any]]) -> None:
        assert running.stdout is not None
        while line := await running.stdout.readline():
            if line.endswith(b"}\n"):  # one that was killed may leave a part of a line
                records.append(json.loads(line))

    def is_alive(self) -> bool:
        """Whether it was started and has not ended."""
        return self.running is not None and self.running.returncode is None

    def send_signal(self, number: int) -> None:
        """Signal it, if it is there."""
        if self.running and self.is_alive():
            self.running.send_signal(number)

    async def kill(self) -> None:
        """End it at once; it is down until it is started again."""
        if self.running and self.is_alive():
            self.downtimes.append(Period(boot_time_ns()))
            self.running.kill()
            await self.running.wait()

    async def shut_down(self) -> None:
        """Wait until it has ended by itself, or kill it; all its records are read then."""
        if self.running:
            try:
                async with asyncio.timeout(SHUTDOWN_TIMEOUT):
                    await self.running.wait()
            except TimeoutError:
                self.running.kill()
                await self.running.wait()
        await asyncio.gather(*self.reader_tasks, return_exceptions=True)

    # --- faults; each takes so many seconds ---

    async def kill_and_restart(self, seconds: float, *, keep_folder: bool) -> None:
        """It dies, perhaps with what it stored, and starts again."""
        await self.kill()
        if not keep_folder:
            shutil.rmtree(self.files.storage)
        await asyncio.sleep(seconds)
        await self.start()

    async def pause(self, seconds: float) -> None:
        """It stands still."""
        begin = boot_time_ns()
        self.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send_signal(signal.SIGCONT)
        self.downtimes.append(Period(begin, boot_time_ns() + RESUME_GRACE))

    async def drain_and_restart(self, seconds: float) -> None:
        """It is told to end, and started again; meanwhile its clients find nobody."""
        if self.running and self.is_alive():
            self.downtimes.append(Period(boot_time_ns()))
            self.send_signal(signal.SIGTERM)
            await asyncio.gather(self.running.wait(), asyncio.sleep(seconds))
        await self.start()

    async def replace(self, admin_ports: dict[str, int]) -> None:
        """Another process takes its place under load, as at an upgrade, with an admin port of its own."""
        predecessor = self.running
        admin_port = find_free_port()
        self.record_key += "'"
        self.admin_options = ("--admin", f"{HOST}:{admin_port}")
        await self.start()
        loop = asyncio.get_running_loop()
        end = loop.time() + READY_TIMEOUT
        while loop.time() < end:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                response = await http_call(admin_port, "/control/ready")
                if response.status == 200:
                    break
            await asyncio.sleep(READY_POLL_INTERVAL)
        admin_ports[self.name] = admin_port
        if predecessor and predecessor.returncode is None:
            predecessor.send_signal(signal.SIGTERM)
            await predecessor.wait()
        await asyncio.sleep(0)

    async def fill_disk(self, seconds: float) -> None:
        """None of its files may grow any more: it disables itself, is killed, and starts again."""
        if self.running and self.is_alive():
            limits = (FULL_DISK_FILE_SIZE, resource.RLIM_INFINITY)
            resource.prlimit(self.running.pid, resource.RLIMIT_FSIZE, limits)
        await asyncio.sleep(seconds)
        await self.kill()
        await self.start()
