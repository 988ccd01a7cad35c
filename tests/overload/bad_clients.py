"""Clients that cost a dispatcher more than they send.

Started by `python -m tests.overload.bad_clients PORT KIND CLIENTS SECONDS`. Each client connects again when
its connection ends. `KINDS` has what each kind sends.
"""

import asyncio
import contextlib
import socket
import struct
import sys
from collections.abc import Awaitable, Callable

HOST = "127.0.0.1"
STEP_SECONDS = 0.5  # between two pieces of a client that writes slowly
RECONNECT_SECONDS = 0.05
READ_BYTES = 65536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # the option SO_LINGER: on, for no time


def request_head(request_id: str, fields: str = "", timeout: float = 1.0) -> bytes:
    """Returns a head for a request of class `g` without its last, empty line."""
    return (
        f"POST /api HTTP/1.1\r\nHost: b\r\nX-Request-ID: {request_id}\r\nX-Priority-Class: g\r\n"
        f"X-Timeout: {timeout}\r\n{fields}"
    ).encode()


class Client:
    """One connection of a bad client, with an id that no other connection has."""

    def __init__(self, sock: socket.socket, name: str) -> None:
        self.sock = sock
        self.name = name
        self.loop = asyncio.get_running_loop()

    async def send(self, data: bytes) -> None:
        await self.loop.sock_sendall(self.sock, data)

    async def wait_for_close(self) -> None:
        while await self.loop.sock_recv(self.sock, READ_BYTES):
            pass


async def send_many_fields(client: Client) -> None:
    """Sends 3,900 fields of four bytes in a head of 16 KB, a part of the body, and stops."""
    await client.send(
        request_head(client.name, "Content-Length: 60000\r\n" + "a:\r\n" * 3850 + "\r\n") + b"x"
    )
    await client.wait_for_close()


async def send_many_fields_slowly(client: Client) -> None:
    """Sends many fields, and the body in pieces, so that there is progress until the transfer times out."""
    await client.send(request_head(client.name, "Content-Length: 60000\r\n" + "a:\r\n" * 3850 + "\r\n"))
    while True:
        await client.send(b"x" * 6000)
        await asyncio.sleep(STEP_SECONDS)


async def stop_in_body(client: Client) -> None:
    """Sends all of a large body but its last byte, and stops."""
    await client.send(request_head(client.name, "Content-Length: 65000\r\n\r\n") + b"x" * 64999)
    await client.wait_for_close()


async def send_body_slowly(client: Client) -> None:
    """Sends a body of 65,000 bytes in pieces over longer than a transfer may take."""
    await client.send(request_head(client.name, "Content-Length: 65000\r\n\r\n") + b"x" * 55000)
    while True:
        await client.send(b"x" * 900)
        await asyncio.sleep(STEP_SECONDS)


async def send_whole_requests(client: Client) -> None:
    """Sends one whole request with a large body after another, on one connection."""
    number = 0
    while True:
        number += 1
        head = request_head(f"held-{client.name}-{number}", "Content-Length: 65000\r\n\r\n")
        await client.send(head + b"x" * 65000)
        if not await client.loop.sock_recv(client.sock, READ_BYTES):
            return


async def leave_after_request(client: Client) -> None:
    """Sends a whole request with a large body, and leaves while it is executed."""
    head = request_head(f"held-{client.name}", "Content-Length: 60000\r\n\r\n", timeout=300.0)
    await client.send(head + b"x" * 60000)
    await asyncio.sleep(STEP_SECONDS)


async def flood_and_reset(client: Client) -> None:
    """Sends a whole request with much behind it, and resets the connection."""
    await client.send(request_head(f"held-{client.name}", "Content-Length: 0\r\n\r\n"))
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(RECONNECT_SECONDS):
            await client.send(b"x" * 1_000_000)
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


async def send_trailers(client: Client) -> None:
    """Sends a chunked body that ends with thousands of short trailers, and then an incomplete body."""
    head = request_head(client.name, "Transfer-Encoding: chunked\r\n\r\n")
    await client.send(head + b"1\r\nx\r\n0\r\n" + b"a:\r\n" * 3900 + b"\r\n")
    await client.wait_for_close()


async def pipeline_after_each_answer(client: Client) -> None:
    """Writes 40 KB of further sound requests after each answer."""
    number = 0
    await client.send(request_head(f"{client.name}-0", "Content-Length: 0\r\n\r\n"))
    while await client.loop.sock_recv(client.sock, READ_BYTES):
        requests = b""
        while len(requests) < 40_000:
            number += 1
            requests += request_head(f"{client.name}-{number}", "Content-Length: 0\r\n\r\n")
        await client.send(requests)


async def pipeline_unread(client: Client, request: Callable[[int], bytes]) -> None:
    """Sends requests at full speed and reads no answer."""
    number = 0
    while True:
        await client.send(b"".join(request(number + offset) for offset in range(200)))
        number += 200


async def pipeline_health_checks(client: Client) -> None:
    await pipeline_unread(client, lambda _: b"GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n")


async def pipeline_expired_requests(client: Client) -> None:
    def request(number: int) -> bytes:
        return request_head(f"{client.name}-{number}", "Content-Length: 0\r\n\r\n", timeout=0.0)

    await pipeline_unread(client, request)


async def pipeline_unknown_callbacks(client: Client) -> None:
    def callback(number: int) -> bytes:
        body = f'{{"id":"{client.name}-{number}","from":"a","state":"done"}}'.encode()
        return b"POST /v1/job-events HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    await pipeline_unread(client, callback)


async def pipeline_new_names(client: Client) -> None:
    """Sends requests without time left, each with a key, a tenant and an id that never came before."""

    def request(number: int) -> bytes:
        name = f"{client.name}-{number}"
        fields = f"X-Route-Key: {name}\r\nX-Tenant-ID: {name}\r\nContent-Length: 0\r\n\r\n"
        return request_head(name, fields, timeout=0.05)

    await pipeline_unread(client, request)


async def send_small_chunks(client: Client) -> None:
    """Sends a body in chunks of one byte at full speed."""
    await client.send(request_head(client.name, "Transfer-Encoding: chunked\r\n\r\n"))
    while True:
        await client.send(b"1\r\nx\r\n" * 10_000)


async def send_unsound_requests(client: Client) -> None:
    """Sends an unsound request on each connection; the answer closes it."""
    await client.send(b"POST /api HTTP/1.1\r\nHost: b\r\n\r\n")
    await client.wait_for_close()


KINDS: dict[str, Callable[[Client], Awaitable[None]]] = {
    "many-fields": send_many_fields,
    "many-fields-slowly": send_many_fields_slowly,
    "stop-in-body": stop_in_body,
    "body-slowly": send_body_slowly,
    "whole-requests": send_whole_requests,
    "flood-and-reset": flood_and_reset,
    "leave-after-request": leave_after_request,
    "trailers": send_trailers,
    "pipeline-after-answer": pipeline_after_each_answer,
    "health-checks": pipeline_health_checks,
    "expired-requests": pipeline_expired_requests,
    "unknown-callbacks": pipeline_unknown_callbacks,
    "new-names": pipeline_new_names,
    "small-chunks": send_small_chunks,
    "unsound-requests": send_unsound_requests,
}


async def play(port: int, kind: str, number: int, end: float) -> None:
    """Opens one connection after another until `end`, in seconds of the event loop's clock."""
    loop = asyncio.get_running_loop()
    sequence = 0
    while loop.time() < end:
        sequence += 1
        with socket.socket() as sock, contextlib.suppress(OSError, TimeoutError):
            sock.setblocking(False)
            async with asyncio.timeout_at(end):
                await loop.sock_connect(sock, (HOST, port))
                await KINDS[kind](Client(sock, f"bad-{number}-{sequence}"))
        await asyncio.sleep(RECONNECT_SECONDS)


async def main() -> None:
    port, kind, clients, seconds = sys.argv[1:]
    end = asyncio.get_running_loop().time() + float(seconds)
    await asyncio.gather(*(play(int(port), kind, number, end) for number in range(int(clients))))


if __name__ == "__main__":
    asyncio.run(main())
