"""The processes of the program that a soak starts and ends."""

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import asdict
from pathlib import Path

from crankfold.fault_injection.http_client import HOST
from tests.fixtures import read_message
from tests.soak.faulty_process import ProcessFaults
from tests.soak.observations import Observations

ROOT = Path(__file__).parents[2]
READY_TIMEOUT_SECONDS = 15.0
EARLY_SIGNAL_DELAY = 0.15  # seconds from the start of a process that is ended before it is ready
# Code compiled ahead, as the deploy file's build has it: else the first SIGHUP of each process, which imports
# the schema, holds it up for 0.1 s of processor time in place of 15 ms.
COMPILED_CODE = {
    "PYTHONPYCACHEPREFIX": str(Path(tempfile.gettempdir()) / "crankfold-soak-bytecode"),
    "PYTHONDONTWRITEBYTECODE": "",
}


def compile_program() -> None:
    """Compiles the program for the processes that are started."""
    subprocess.run(
        [sys.executable, "-O", "-m", "compileall", "-q", "crankfold"],
        env={**os.environ, **COMPILED_CODE},
        cwd=ROOT,
        check=True,
    )


class DispatcherProcess:
    """One process of the program, restarted under the same name and address."""

    def __init__(self, name: str, port: int, folder: Path, faults: ProcessFaults) -> None:
        self.name = name
        self.port = port
        self.config = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.faults = faults
        self.process: asyncio.subprocess.Process | None = None
        self.ready = False  # it has said so, and is not told to end
        self.config_lock = asyncio.Lock()  # held while the file is changed, and while a process starts

    async def start(self, observations: Observations, *, early_signal: bool = False) -> None:
        """Starts it and waits until it says that it serves."""
        begin = time.monotonic()
        if early_signal:
            await self._end_before_ready(observations)
        self.process = await self._spawn()
        while not await self._is_ready():
            if time.monotonic() - begin > READY_TIMEOUT_SECONDS or self.process.returncode is not None:
                observations.exits.append(f"{self.name} did not start: {self.process.returncode}")
                return
            await asyncio.sleep(0.02)
        self.ready = True
        observations.slowest_start = max(observations.slowest_start, time.monotonic() - begin)
        observations.starts.append((self.name, begin, time.monotonic()))

    async def _end_before_ready(self, observations: Observations) -> None:
        process = await self._spawn()
        await asyncio.sleep(EARLY_SIGNAL_DELAY)
        process.send_signal(signal.SIGTERM)  # before it is ready, and twice
        process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), READY_TIMEOUT_SECONDS)
        except TimeoutError:
            observations.exits.append(
                f"{self.name} did not end by an early SIGTERM within {READY_TIMEOUT_SECONDS:.0f} s"
            )
            process.kill()
            await process.wait()

    async def _spawn(self) -> asyncio.subprocess.Process:
        with self.log.open("ab") as log:
            return await asyncio.create_subprocess_exec(
                *(sys.executable, "-O", "-m", "tests.soak.faulty_process"),
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={
                    **os.environ,
                    **COMPILED_CODE,
                    "GW_CONFIG": str(self.config),
                    "SOAK_FAULTS": json.dumps(asdict(self.faults)),
                },
            )

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n")
            head, _ = await read_message(reader)
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            return False
        return head.split()[1] == "200"

    async def stop(self, kill_after: float, rng: random.Random, observations: Observations) -> None:
        """SIGTERM, other signals that cross it, and SIGKILL at the earliest moment."""
        assert self.process
        self.ready = False
        if self.process.returncode is not None:
            observations.exits.append(f"{self.name} ended by itself: {self.process.returncode}")
            return
        for number in rng.sample([signal.SIGHUP, signal.SIGUSR1, signal.SIGHUP, signal.SIGTERM], 3):
            self.process.send_signal(number)
        self.process.send_signal(signal.SIGTERM)
        begin = time.monotonic()
        while self.process.returncode is None and time.monotonic() - begin < kill_after:
            await asyncio.sleep(0.05)
            if self.process.returncode is None:
                self.process.send_signal(rng.choice([signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM]))
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
