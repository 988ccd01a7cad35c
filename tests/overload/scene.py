"""Fixture of the tests in which bad clients overload a dispatcher process beside usual clients."""

import asyncio
import gc
import socket
import statistics
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from tests.fixtures import read_message
from tests.loopback import ACCEPTED, DispatcherTestCase

SERVE = ["-O", "-m", "crankfold", "serve"]
CALLBACK_CONNECTIONS = 4  # of the backend to the dispatcher
SAMPLE_INTERVAL = 0.02  # seconds between two looks at the memory of the process
USUAL_WAIT = 2.0  # seconds that a usual client waits for its answer
CALLBACK = b"POST /v1/job-events HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n%b"


class UsualClients:
    """What usual clients saw.

    Attributes:
        latencies: Seconds until each answer 200.
        missed: Number of requests with another answer or none.
    """

    def __init__(self) -> None:
        self.latencies: list[float] = []
        self.missed = 0

    def percentile(self, share: float) -> float:
        """Returns the latency that this share of all requests did not exceed; infinite without an answer."""
        ordered = sorted(self.latencies) + [float("inf")] * self.missed
        return ordered[min(int(share * len(ordered)), len(ordered) - 1)]

    def served_share(self) -> float:
        """Returns the share of the requests that were answered with 200."""
        return len(self.latencies) / max(len(self.latencies) + self.missed, 1)

    def __str__(self) -> str:
        median = statistics.median(self.latencies) if self.latencies else float("inf")
        return (
            f"{len(self.latencies)} served, {self.missed} not, median {median:.3f} s,"
            f" 99 in 100 within {self.percentile(0.99):.3f} s"
        )


class OverloadTestCase(DispatcherTestCase):
    """A dispatcher process under bad clients.

    The backend completes each request at once, unless its id has the prefix `held`.
    """

    replaceable = False
    folder = ""
    callback_tasks: Sequence[asyncio.Task[None]] = ()

    async def asyncSetUp(self) -> None:
        # The usual clients and the backend run in the process of the test, whose own pauses would count as
        # latency: those of asyncio's debug mode, and of collecting the objects of all tests.
        asyncio.get_running_loop().set_debug(False)
        gc.collect()
        gc.freeze()
        self.addCleanup(gc.unfreeze)

    def enable_replacement(self) -> None:
        """Makes `start_dispatcher` start a process that a successor can replace."""
        self.replaceable = True
        self.folder = self.enterContext(tempfile.TemporaryDirectory())

    async def start_successor(self) -> None:
        """Starts a process that takes over; `process` is the successor from then on."""
        await self.start_process(SERVE, self.folder)

    async def start_dispatcher(self, memory_mb: int = 192, descriptors: int = 1024, **settings: Any) -> None:
        """Starts the process in place of an earlier one; `output` has its log once it has ended.

        Args:
            memory_mb: The memory limit.
            descriptors: The limit of open file descriptors.
            **settings: Settings that differ from those of `begin`.
        """
        if self.callback_tasks:
            await self.end_dispatcher()
        self.received_ids: list[str] = []  # request ids, in the order in which the backend received them

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_message(reader)
                writer.write(ACCEPTED)
                if head.startswith("POST"):
                    request_id = head.lower().partition("x-request-id: ")[2].split()[0]
                    self.received_ids.append(request_id)
                    if not request_id.startswith("held"):
                        self.callbacks.put_nowait(request_id)

        self.callbacks: asyncio.Queue[str] = asyncio.Queue()
        await self.begin(backend, **settings)
        folder = ""
        if self.replaceable:
            with socket.create_server(("127.0.0.1", 0)) as server:
                self.config["listen"] = f"127.0.0.1:{server.getsockname()[1]}"
            self.config["admin_addr"] = "127.0.0.1:0"
            folder = self.folder
        self.config["limits"] = {"memory_mb": memory_mb, "sockets": descriptors}
        self.output = await self.start_process(SERVE, folder)
        self.callback_tasks = [
            asyncio.create_task(self.send_callbacks()) for _ in range(CALLBACK_CONNECTIONS)
        ]
        self.addAsyncCleanup(self.end_dispatcher)

    async def end_dispatcher(self) -> None:
        """Ends the process and the callbacks to it."""
        for task in self.callback_tasks:
            task.cancel()
        await asyncio.gather(*self.callback_tasks, return_exceptions=True)
        await self.kill_process(self.process)

    async def send_callbacks(self) -> None:
        """Completes requests on one connection after another, as a backend does."""
        while True:
            request_id = await self.callbacks.get()
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                while True:
                    body = f'{{"id":"{request_id}","from":"a","state":"done","result":"ok"}}'.encode()
                    writer.write(CALLBACK % (len(body), body))
                    async with asyncio.timeout(5):
                        await read_message(reader)
                    request_id = await self.callbacks.get()
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                self.callbacks.put_nowait(request_id)

    async def start_bad_clients(self, kind: str, clients: int, seconds: float) -> asyncio.subprocess.Process:
        """Starts bad clients of one kind, which end by themselves."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.overload.bad_clients",
            str(self.port),
            kind,
            str(clients),
            str(seconds),
        )
        self.addAsyncCleanup(self.kill_process, process)
        return process

    async def send_usual_requests(self, seconds: float, rate: float = 20.0) -> UsualClients:
        """Sends requests at that rate (per second), each on a connection of its own."""
        usual = UsualClients()
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        number = 0
        tasks = []
        while loop.time() < end:
            number += 1
            tasks.append(asyncio.create_task(self.send_usual_request(usual, f"usual-{id(usual)}-{number}")))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*tasks)
        return usual

    async def send_usual_request(self, usual: UsualClients, request_id: str) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            async with asyncio.timeout(USUAL_WAIT):
                status, _ = await self.send_request(request_id, wait=USUAL_WAIT)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status = ""
        if "200" in status:
            usual.latencies.append(loop.time() - started_at)
        else:
            usual.missed += 1

    async def peak_memory(self, seconds: float, *others: asyncio.subprocess.Process) -> float:
        """Returns the most megabytes that the process and others have resident together in that time."""
        process_ids = [process.pid for process in (self.process, *others)]
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        peak = 0.0
        while loop.time() < end:
            peak = max(peak, sum(map(resident_megabytes, process_ids)))
            await asyncio.sleep(SAMPLE_INTERVAL)
        return peak


def resident_megabytes(process_id: int) -> float:
    """Returns the resident memory of a process, 0 if it has ended."""
    try:
        status = Path(f"/proc/{process_id}/status").read_text()
        return int(status.split("VmRSS:")[1].split()[0]) / 1024
    except (OSError, IndexError):
        return 0.0
