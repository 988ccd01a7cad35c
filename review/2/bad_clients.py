"""Bad clients: each sends a body of 60 MB at full speed, reads its error, and sends the same again.

python bad_clients.py HOST PORT CLIENTS SECONDS
"""

import asyncio
import contextlib
import sys
import time

HOST, PORT, CLIENTS, SECONDS = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])
BODY_SIZE = 60_000_000
BLOCK = b"x" * 65536
ANSWER_TIMEOUT = 6.0  # seconds; within them such a client is owed an error or a close


async def send_body(writer: asyncio.StreamWriter, request_id: str) -> None:
    writer.write(
        f"POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {request_id}\r\n"
        f"X-Priority-Class: my-shifts\r\nX-Timeout: 5.0\r\nContent-Length: {BODY_SIZE}\r\n\r\n".encode()
    )
    with contextlib.suppress(OSError):
        for _ in range(BODY_SIZE // len(BLOCK)):
            writer.write(BLOCK)
            await writer.drain()


async def send_again_and_again(name: str, counts: dict[str, int]) -> None:
    end = time.monotonic() + SECONDS
    sequence = 0
    while time.monotonic() < end:
        sequence += 1
        outcome = "closed"
        writer = None
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(HOST, PORT)
            sending = asyncio.create_task(send_body(writer, f"{name}-{sequence}"))
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT):
                    answer = await reader.read(4096)
                outcome = answer.split(b"\r\n")[0].decode("latin-1") or "closed"
            finally:
                sending.cancel()
                await asyncio.gather(sending, return_exceptions=True)
        if writer:
            writer.close()
        counts[outcome] = counts.get(outcome, 0) + 1
        if outcome == "closed":
            await asyncio.sleep(0.01)


async def main() -> None:
    counts: dict[str, int] = {}
    await asyncio.gather(*(send_again_and_again(f"bad-{number}", counts) for number in range(CLIENTS)))
    print(counts)


asyncio.run(main())
