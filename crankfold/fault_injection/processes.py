"""The dispatcher processes of a trial: start, end, and faults of a single process."""

import asyncio
import contextlib
import json
import resource
import shutil
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

from crankfold.fault_injection.http_client import STATUS_OK, boot_time_ns, http_call
from crankfold.fault_injection.loopback import HOST, find_free_port
from crankfold.fault_injection.records import FOREVER, JsonObject, Period

ROOT = Path(__file__).parents[2]
READY_TIMEOUT = 20.0  # seconds
SHUTDOWN_TIMEOUT = 8.0  # seconds
POLL_INTERVAL = 0.02  # seconds
READY_POLL_INTERVAL = 0.05  # seconds
RECORD_LINE_LIMIT = 1 << 24  # bytes
FULL_DISK_FILE_SIZE = 16  # bytes; the limit of each file of a process with a full disk
RESUME_GRACE = 500_000_000  # nanoseconds after a pause in which clients may still time out


@dataclass(frozen=True, slots=True)
class ProcessFiles:
    """The paths of the files of a process in the folder of the trial."""

    config: Path
    storage: Path  # folder of the voter's log
    handover: Path  # folder of the handover socket
    log: Path

    @classmethod
    def in_folder(cls, folder: Path, name: str) -> "ProcessFiles":
        """Returns the paths for the process `name`."""
        return cls(
            config=folder / f"{name}.json",
            storage=folder / name,
            handover=folder / f"{name}.tmp",
            log=folder / f"{name}.log",
        )


class ManagedProcess:
    """A dispatcher process that the trial starts, ends and injects faults into."""

    def __init__(self, name: str, files: ProcessFiles, port: int) -> None:
        self.name = name
        self.files = files
        self.port = port  # for clients
        self.running: asyncio.subprocess.Process | None = None
        self.admin_options: tuple[str, ...] = ()  # set by the latest replacement; its restarts use them too
        self.restart_lock = asyncio.Lock()  # serializes restarts by faults and jobs
        self.record_key = name
        # By record key; a replacement writes under a key of its own, as it runs beside its predecessor.
        self.raw_records: dict[str, list[JsonObject]] = {}
        self.reader_tasks: list[asyncio.Task[None]] = []
        self.downtimes: list[Period] = []

    async def start(self) -> None:
        """Starts the process; after a downtime, waits until it accepts connections again."""
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
    async def _read_records(running: asyncio.subprocess.Process, records: list[JsonObject]) -> None:
        assert running.stdout is not None
        while line := await running.stdout.readline():
            if line.endswith(b"}\n"):  # a killed process may leave an incomplete last line
                records.append(json.loads(line))

    def is_alive(self) -> bool:
        """Whether the process has started and not ended."""
        return self.running is not None and self.running.returncode is None

    def send_signal(self, signal_number: int) -> None:
        """Sends a signal to the process if it is alive."""
        if self.running and self.is_alive():
            self.running.send_signal(signal_number)

    async def kill(self) -> None:
        """Kills the process; its downtime lasts until the next start."""
        if self.running and self.is_alive():
            self.downtimes.append(Period(boot_time_ns()))
            self.running.kill()
            await self.running.wait()

    async def shut_down(self) -> None:
        """Waits until the process ends, kills it after `SHUTDOWN_TIMEOUT`, and reads its last records."""
        if self.running:
            try:
                async with asyncio.timeout(SHUTDOWN_TIMEOUT):
                    await self.running.wait()
            except TimeoutError:
                self.running.kill()
                await self.running.wait()
        await asyncio.gather(*self.reader_tasks, return_exceptions=True)

    # --- faults; `seconds` is the duration of each ---

    async def kill_and_restart(self, seconds: float, *, keep_folder: bool) -> None:
        """Kills the process, optionally deletes its storage, and starts it again."""
        await self.kill()
        if not keep_folder:
            shutil.rmtree(self.files.storage)
        await asyncio.sleep(seconds)
        await self.start()

    async def pause(self, seconds: float) -> None:
        """Stops the process with SIGSTOP, then continues it."""
        begin = boot_time_ns()
        self.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send_signal(signal.SIGCONT)
        self.downtimes.append(Period(begin, boot_time_ns() + RESUME_GRACE))

    async def drain_and_restart(self, seconds: float) -> None:
        """Ends the process gracefully and starts it again; it refuses connections in between."""
        if self.running and self.is_alive():
            self.downtimes.append(Period(boot_time_ns()))
            self.send_signal(signal.SIGTERM)
            await asyncio.gather(self.running.wait(), asyncio.sleep(seconds))
        await self.start()

    async def replace(self, admin_ports: dict[str, int]) -> None:
        """Replaces the process under load, as at an upgrade; the replacement gets its own admin port.

        Args:
            admin_ports: By process; receives the new admin port.
        """
        predecessor = self.running
        admin_port = find_free_port()
        self.record_key += "'"
        self.admin_options = ("--admin", f"{HOST}:{admin_port}")
        await self.start()
        await _wait_until_ready(admin_port)
        admin_ports[self.name] = admin_port
        if predecessor and predecessor.returncode is None:
            predecessor.send_signal(signal.SIGTERM)
            await predecessor.wait()
        await asyncio.sleep(0)

    async def fill_disk(self, seconds: float) -> None:
        """Limits the size of the process's files as a full disk does, then kills and starts it."""
        if self.running and self.is_alive():
            limits = (FULL_DISK_FILE_SIZE, resource.RLIM_INFINITY)
            resource.prlimit(self.running.pid, resource.RLIMIT_FSIZE, limits)
        await asyncio.sleep(seconds)
        await self.kill()
        await self.start()


async def _wait_until_ready(admin_port: int) -> None:
    """Polls the readiness of a process, for `READY_TIMEOUT` at most."""
    loop = asyncio.get_running_loop()
    end = loop.time() + READY_TIMEOUT
    while loop.time() < end:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            response = await http_call(admin_port, "/control/ready")
            if response.status == STATUS_OK:
                break
        await asyncio.sleep(READY_POLL_INTERVAL)
