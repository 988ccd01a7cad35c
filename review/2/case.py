"""A few bad clients send bodies of 60 MB again and again; the dispatcher must stay within its memory."""

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import standins
from standins import Answer, Client, Discovery, Dispatcher, Record, Runner, free_port, trouble

SECONDS = 60.0
JOBS_A_SECOND = 10
BAD_CLIENTS = 10
CHECK_INTERVAL = 0.02  # seconds between two looks at the memory of the process


async def play(record: Record, folder: Path) -> list[str]:
    discovery = Discovery(record)
    await discovery.open()
    port = free_port()
    runners = [
        Runner(f"s-{number}", record, (standins.HOST, port), zone="bangkok", cell=0) for number in range(3)
    ]
    for runner in runners:
        await runner.open()
        discovery.set_entry(runner)
    config = standins.configuration("n0", port, discovery, standins.roster_settings())
    dispatcher = Dispatcher("n0", record, folder, config, admin_port=free_port())
    bad_clients = None
    try:
        await dispatcher.start()
        await dispatcher.wait_until_ready()
        watch = asyncio.create_task(enforce_memory_limit(record, dispatcher))
        if trouble():
            bad_clients = await start_bad_clients(record, port)
        answers = await send_jobs(record, dispatcher)
        breaks = await watch
        if breaks:
            unanswered = [answer.request_id for answer in answers if not answer.status]
            breaks += [f"{request_id} got no answer" for request_id in unanswered]
        return breaks
    finally:
        await dispatcher.end()
        if bad_clients and bad_clients.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                bad_clients.kill()
            await bad_clients.wait()


async def start_bad_clients(record: Record, port: int) -> asyncio.subprocess.Process:
    record("platform", f"{BAD_CLIENTS} bad clients begin")
    return await asyncio.create_subprocess_exec(
        sys.executable,
        str(Path(__file__).with_name("bad_clients.py")),
        standins.HOST,
        str(port),
        str(BAD_CLIENTS),
        str(SECONDS),
        stdout=asyncio.subprocess.DEVNULL,
    )


async def enforce_memory_limit(record: Record, dispatcher: Dispatcher) -> list[str]:
    """Kills the dispatcher over `limits.memory_mb`, as the platform does; returns the break, if any."""
    assert dispatcher.process is not None
    limit = dispatcher.config["limits"]["memory_mb"]
    loop = asyncio.get_running_loop()
    end = loop.time() + SECONDS
    peak = 0.0
    noted_at = loop.time()
    while loop.time() < end and dispatcher.process.returncode is None:
        peak = max(peak, resident_megabytes(dispatcher.process.pid))
        if peak > limit:
            record("platform", f"{peak:.1f} MB resident, over the limit of {limit} MB: kills the dispatcher")
            dispatcher.signal(signal.SIGKILL)
            return [f"the dispatcher was killed for memory: {peak:.1f} MB of {limit} MB"]
        if loop.time() - noted_at > 0.5:
            noted_at = loop.time()
            record("platform", f"{peak:.0f} MB resident at most so far")
        await asyncio.sleep(CHECK_INTERVAL)
    if dispatcher.process.returncode is not None:
        return [f"the dispatcher ended by itself, status {dispatcher.process.returncode}"]
    return []


def resident_megabytes(process_id: int) -> float:
    with contextlib.suppress(OSError, IndexError):
        status = Path(f"/proc/{process_id}/status").read_text()
        return int(status.split("VmRSS:")[1].split()[0]) / 1024
    return 0.0


async def send_jobs(record: Record, dispatcher: Dispatcher) -> list[Answer]:
    """The usual clients, until the dispatcher is gone or the time is over."""
    assert dispatcher.process is not None
    tasks = []
    for number in range(int(SECONDS * JOBS_A_SECOND)):
        if dispatcher.process.returncode is not None:
            break
        client = Client(f"client-{number}", record, dispatcher.listen)
        name = f"job-{number}"
        tasks.append(asyncio.create_task(send_one(client, name)))
        await asyncio.sleep(1 / JOBS_A_SECOND)
    return [answer for answer in await asyncio.gather(*tasks) if answer]


async def send_one(client: Client, name: str) -> Answer | None:
    """One job; None if no connection could be made, so that nothing was sent."""
    try:
        await client.connect()
    except OSError:
        return None
    return await client.send(name, "my-shifts", name.encode(), wait=5.0, cost=0.4)


standins.main(play, __file__)
