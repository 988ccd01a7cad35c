"""Case: a call that a runner repeats, as its answer got lost, ends a later attempt at that runner."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import world  # noqa: E402

BUSY = 0.15  # seconds in which the runners are full and hand back what comes
JOBS = 6


class FullRunner(world.SlotRunner):
    """A runner that is full at times, and hands back what comes then."""

    full_until = 0.0
    lossy: "LossyLink"

    async def take(self, job: str, message: world.Message, writer: asyncio.StreamWriter) -> None:
        """Takes a job, or hands it back unstarted."""
        if self.record.now() >= self.full_until:
            await super().take(job, message, writer)
            return
        world.write_response(writer, 202)
        self.record.write(f"{self.uid}: is full and hands back {job}")
        self.ledger.end(job, self.uid)
        self.lossy.loses_next = self.lossy.trouble
        self.spawn(self.call(job, "returned", port=self.lossy.port))


class LossyLink:
    """A link from a runner to the dispatcher; the answer to a call can get lost with its connection."""

    def __init__(self, record: world.Record, target: int, trouble: bool) -> None:
        self.record = record
        self.target = target
        self.trouble = trouble
        self.port = world.free_port()
        self.loses_next = False

    async def start(self) -> None:
        """Starts to listen."""
        self.server = await asyncio.start_server(self.connected, world.HOST, self.port)

    async def connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Passes on one call and its answer."""
        message = await world.read_message(reader)
        if message is None:
            return
        answer = await world.exchange(self.target, "POST", "/v1/job-events", {}, message.body, 2.0)
        if self.loses_next:
            self.loses_next = False
            self.record.write(f"link: the answer {answer and answer.first[1]} to {message.body!r} gets lost")
            writer.transport.abort()
        elif answer:
            world.write_response(writer, int(answer.first[1]))
        writer.close()


async def case(
    record: world.Record, temporary: Path, dispatchers: list[world.Dispatcher], trouble: bool
) -> str:
    """Counts jobs that have two attempts out at once while that is forbidden."""
    port = world.free_port()
    discovery = world.Discovery()
    await discovery.start()
    ledger = world.Ledger(record)
    runners = []
    for uid in ("r1", "r2"):
        runner = FullRunner(uid, record, port, ledger, 2)
        runner.lossy = LossyLink(record, port, trouble)
        runner.call_pause = 0.7
        await runner.lossy.start()
        await runner.start()
        runners.append(runner)
        discovery.add(runner.uid, runner.port)
    settings = world.settings(report={"names": ["queue", "x0"], "via": "inline"})
    settings["allowed"] |= {"second-copies": False, "most-dispatches": 4}
    dispatcher = world.Dispatcher(
        record, temporary, "n0", world.config("n0", port, discovery, settings=settings)
    )
    dispatchers.append(dispatcher)
    await dispatcher.start()
    await dispatcher.wait_until_ready()
    for number in range(JOBS):
        for runner in runners:
            runner.full_until = record.now() + BUSY
        await world.client_request(port, f"job{number}", "look", 8.0, record, 2.0)
        await asyncio.sleep(0.5)
    return f"two attempts out at once, though forbidden: {ledger.doubled}" if ledger.doubled else ""


# With TROUBLE=0 the same is played without the disruption.
world.run_case(FOLDER, case, trouble=os.environ.get("TROUBLE", "1") != "0")
