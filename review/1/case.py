"""Runners answer some requests twice; once-only requests must still run once."""

import asyncio
import sys
from collections import defaultdict
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import standins
from standins import Client, Discovery, Dispatcher, Job, Record, Runner, free_port, response, trouble

SECONDS = 30.0
JOBS_A_SECOND = 12
FULL_EVERY = 8  # a runner turns away every eighth request as full: 503 with X-Not-Processed: 1


class FullRunner(Runner):
    """A runner that is full now and then. With the disruption it sends that answer twice, at once."""

    asked = 0

    async def take(self, job: Job, writer: asyncio.StreamWriter) -> None:
        self.asked += 1
        if self.asked % FULL_EVERY:
            self.accept(job, writer)
            return
        answer = response(503, headers={"X-Not-Processed": "1"})
        self.record(self.uid, f"turns {job.request_id} away as full{', answering twice' * trouble()}")
        writer.write(answer * (2 if trouble() else 1))


async def play(record: Record, folder: Path) -> list[str]:
    discovery = Discovery(record)
    await discovery.open()
    port = free_port()
    runners = [
        FullRunner(f"s-{zone}", record, (standins.HOST, port), zone=zone, cell=cell)
        for cell, zone in enumerate(("bangkok", "chiang-mai", "khon-kaen"))
    ]
    for runner in runners:
        await runner.open()
        discovery.set_entry(runner)
    settings = standins.roster_settings()
    settings["service-grades"][3]["effect"] = "unsafe"  # urgent-cover is once-only on this day
    config = standins.configuration("n0", port, discovery, settings)
    dispatcher = Dispatcher("n0", record, folder, config, admin_port=free_port())
    try:
        await dispatcher.start()
        await dispatcher.wait_until_ready()
        await send_jobs(record, dispatcher)
        await asyncio.sleep(1.0)  # the last runs end
    finally:
        await dispatcher.end()
    return judge(runners)


async def send_jobs(record: Record, dispatcher: Dispatcher) -> None:
    clients = [Client(f"client-{number}", record, dispatcher.listen) for number in range(JOBS_A_SECOND)]
    for client in clients:
        await client.connect()
    end = asyncio.get_running_loop().time() + SECONDS
    await asyncio.gather(*(send_each_second(client, end) for client in clients))


async def send_each_second(client: Client, end: float) -> None:
    loop = asyncio.get_running_loop()
    number = int(client.name.partition("-")[2])
    await asyncio.sleep(number / JOBS_A_SECOND)
    sequence = 0
    while loop.time() < end:
        due = loop.time() + 1.0
        grade = ("urgent-cover", "shift-signup", "urgent-cover", "my-shifts")[number % 4]
        request_id = f"{grade}-{number}-{sequence}"
        key = f"key-{request_id}" if grade == "shift-signup" else ""
        await client.send(request_id, grade, request_id.encode(), wait=5.0, cost=0.15, key=key)
        sequence += 1
        await asyncio.sleep(max(due - loop.time(), 0))


def judge(runners: list[FullRunner]) -> list[str]:
    """A once-only request runs once; a tagged one only in the cell that drops its repeats."""
    runs = defaultdict(list)
    for runner in runners:
        for run in runner.runs:
            runs[run.job.request_id].append(run)
    breaks = []
    for request_id, all_runs in sorted(runs.items()):
        grade = all_runs[0].job.grade
        places = ", ".join(run.runner.uid for run in all_runs)
        if grade == "urgent-cover" and len(all_runs) > 1:
            breaks.append(f"once-only {request_id} ran {len(all_runs)} times: {places}")
        if grade == "shift-signup" and len({run.runner.cell for run in all_runs}) > 1:
            breaks.append(f"tagged {request_id} ran in several cells: {places}")
    return breaks


standins.main(play, __file__)
