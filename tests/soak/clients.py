"""Clients of a soak: they keep connections, leave, stop in the middle, and crowd."""

import asyncio
import contextlib
import random
import time

from crankfold.fault_injection.http_client import HOST
from tests.fixtures import read_message
from tests.soak.observations import Observations, RequestClass, SeenRequest, StalledClient

PAUSE = 0.05  # seconds between the requests of one client, in the mean
LEAVE_SHARE = 0.08  # of requests whose client closes its connection before the answer
STALLED_FOR = 4.5  # seconds that a client that stopped stays
RESPONSE_GRACE = 1.5  # seconds after a request's deadline until its client closes the connection


class Front:
    """Distributes new connections over the dispatchers that are in service."""

    def __init__(self, ports: dict[str, int], rng: random.Random) -> None:
        self.ports = ports
        self.rng = rng
        self.serving = set(ports)

    async def connect(self) -> tuple[str, asyncio.StreamReader, asyncio.StreamWriter]:
        """A new connection, and the dispatcher that it leads to."""
        while True:
            names = sorted(self.serving)
            if names:
                name = self.rng.choice(names)
                try:
                    return name, *(await asyncio.open_connection(HOST, self.ports[name]))
                except OSError:
                    pass
            await asyncio.sleep(0.02)


class Client:
    """Sends one request at a time on a connection that it keeps."""

    def __init__(
        self,
        number: int,
        front: Front,
        classes: list[RequestClass],
        seen: Observations,
        rng: random.Random,
        leave_share: float,
    ) -> None:
        self.leave_share = leave_share
        self.number = number
        self.front = front
        self.classes = classes
        self.seen = seen
        self.rng = rng
        self.count = 0
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.dispatcher = ""
        self.is_new = True

    async def run(self, until: float) -> None:
        """Sends requests until that time."""
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.expovariate(1 / PAUSE))
            try:
                await self._send_one()
            except OSError:
                self._forget()
        self._forget()

    def _forget(self) -> None:
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def _send_one(self) -> None:
        if self.reader is None or self.writer is None:
            self.dispatcher, self.reader, self.writer = await self.front.connect()
            self.is_new = True
        self.count += 1
        request = SeenRequest(
            f"{self.dispatcher}-{self.number}-{self.count}",
            self.dispatcher,
            self.rng.choice(self.classes),
            self.is_new,
            0.0,
        )
        self.is_new = False
        data = _encode(request)
        if self.rng.random() < 0.1:  # in two pieces
            cut = self.rng.randrange(1, len(data))
            self.writer.write(data[:cut])
            await asyncio.sleep(self.rng.uniform(0, 0.1))
            data = data[cut:]
        if self.reader.at_eof() or self.writer.is_closing():
            self._forget()  # it ended while nothing was under way
            return
        self.writer.write(data)
        request.sent_at = time.monotonic()
        self.seen.requests[request.request_id] = request
        if self.rng.random() < self.leave_share:
            await self._leave(request)
        else:
            await self._receive(request, self.reader)

    async def _leave(self, request: SeenRequest) -> None:
        await asyncio.sleep(self.rng.choice([0.0, 0.001, 0.01, 0.05, 0.2]))
        self._forget()
        request.left_at = time.monotonic()

    async def _receive(self, request: SeenRequest, reader: asyncio.StreamReader) -> None:
        try:
            async with asyncio.timeout(request.request_class.timeout + RESPONSE_GRACE):
                head, body = await read_message(reader)
        except TimeoutError:
            self._forget()
            return  # no answer: the judge finds it
        except (asyncio.IncompleteReadError, OSError):
            request.closed_at = time.monotonic()
            self._forget()
            return
        request.answered_at = time.monotonic()
        request.status = int(head.split()[1])
        request.body = body
        if "connection: close" in head.lower():
            self._forget()


def _encode(request: SeenRequest) -> bytes:
    request_class = request.request_class
    key = f"Idempotency-Key: {request.request_id}\r\n" if request_class.effect == "keyed" else ""
    return (
        f"POST /api HTTP/1.1\r\nHost: b\r\nX-Request-ID: {request.request_id}\r\n"
        f"X-Priority-Class: {request_class.name}\r\nX-Timeout: {request_class.timeout}\r\n{key}"
        f"Content-Length: 5\r\n\r\nhello"
    ).encode()


async def stall(front: Front, request_class: RequestClass, seen: Observations, rng: random.Random) -> None:
    """Stops in the middle of a request, and stays."""
    name, reader, writer = await front.connect()
    request = SeenRequest(f"{name}-stalled-{rng.random()}", name, request_class, True, 0.0)
    data = _encode(request)
    writer.write(data[: rng.randrange(1, len(data))])
    client = StalledClient(time.monotonic())
    seen.stalled.append(client)
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(STALLED_FOR):
            await reader.read()
    client.ended_at = time.monotonic()
    writer.close()


async def crowd(front: Front, size: int, seconds: float) -> None:
    """Connects many times, says nothing, and stays."""
    writers = []
    for _ in range(size):
        _, _, writer = await front.connect()
        writers.append(writer)
    await asyncio.sleep(seconds)
    for writer in writers:
        writer.transport.abort()
