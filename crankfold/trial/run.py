"""Starts the processes of a plan, carries its faults out, and has the records judged."""

import asyncio
import contextlib
import json
import os
import resource
import shutil
import signal
import sys
import tempfile
from pathlib import Path
from random import Random
from typing import Any

import click
from msgspec import structs

from crankfold.trial.checker import Asked, Checker, Story, Verdict
from crankfold.trial.plan import AT_LISTS, AT_PROCESSES, AT_RUNNERS, Fault, Plan, Unfit, read
from crankfold.trial.relay import Link, Relay
from crankfold.trial.stand_ins import HOST, Clients, Discovery, Roll, Runner, Seen, call, free_port, stamp
from crankfold.trial.yard import Yard

READY_WITHIN, SETTLE_WITHIN, END_WITHIN = 20.0, 15.0, 8.0
ALIVE_AGAIN = 1 << 62  # not yet
EFFECTS = ("safe", "keyed", "unsafe", "dropped")


def grades(effect: str) -> list[dict[str, Any]]:
    times = {"cut-off": 3_000_000, "expected-time": 1_000_000}
    if effect == "dropped":
        return grades("safe")[1:]
    flips = {"name": "flips", "effect": effect, **times}
    if effect == "keyed":
        flips |= {"group": "all", "repeat-window": 2_000_000}
    return [flips, {"name": "once", "effect": "unsafe", **times}, {"name": "free", "effect": "safe", **times}]


class Process:
    def __init__(self, name: str, folder: Path, file: Path, port: int) -> None:
        self.name, self.folder, self.file, self.port = name, folder, file, port
        self.running: asyncio.subprocess.Process | None = None
        self.turn = asyncio.Lock()  # one ends and starts it at a time
        self.records: dict[str, list[dict[str, Any]]] = {}  # those that were there side by side apart
        self.key = name
        self.tmp = folder.parent / f"{name}.tmp"
        self.reading: list[asyncio.Task[None]] = []
        self.log = folder.parent / f"{name}.log"
        self.dead: list[tuple[int, int]] = []

    async def start(self, *more: str) -> None:
        log = self.log.open("ab")
        self.running = await asyncio.create_subprocess_exec(
            sys.executable, "-O", "-m", "crankfold", "serve", "--config", str(self.file),
            "--hand-over", str(self.tmp), *more, stdout=asyncio.subprocess.PIPE, stderr=log, limit=1 << 24,
            cwd=Path(__file__).parents[2])
        log.close()
        kept = self.records.setdefault(self.key, [])
        self.reading.append(asyncio.ensure_future(self._read(self.running, kept)))
        while self.dead and self.dead[-1][1] == ALIVE_AGAIN and self.running.returncode is None:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(HOST, self.port)
                writer.close()
                self.dead[-1] = self.dead[-1][0], stamp()
            await asyncio.sleep(0.02)

    async def _read(self, running: asyncio.subprocess.Process, kept: list[dict[str, Any]]) -> None:
        assert running.stdout is not None
        while line := await running.stdout.readline():
            if line.endswith(b"}\n"):
                kept.append(json.loads(line))

    def signal(self, number: int) -> None:
        if self.running and self.running.returncode is None:
            self.running.send_signal(number)

    async def kill(self) -> None:
        if self.running and self.running.returncode is None:
            self.dead.append((stamp(), ALIVE_AGAIN))
            self.running.kill()
            await self.running.wait()


class Trial:
    def __init__(self, plan: Plan, seed: int, folder: Path) -> None:
        self.plan, self.seed, self.folder = plan, seed, folder
        self.luck = Random(f"{seed} operators")
        self.names = plan.names()
        self.voters = self.names[:plan.voters]
        self.seen = Seen()
        self.ports = {name: free_port() for name in self.names}
        self.doors = {name: free_port() for name in self.names}
        self.peers = {name: free_port() for name in self.voters}
        self.links = {(a, b): Link(a, b, seed) for a in self.names for b in self.names if a != b}
        self.relays: dict[tuple[str, str], Relay] = {}
        self.processes: dict[str, Process] = {}
        self.publishes: list[Asked] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.told: list[str] = []
        self.lists: dict[str, Discovery] = {}
        self.out: set[str] = set()

    async def run(self) -> list[Verdict]:
        plan = self.plan
        self.uids = list(plan.machines())
        self.roll = Roll()
        self.yard = Yard(self)
        for uid, zone in plan.machines().items():
            self.yard.runners[uid] = runner = self.runner(uid)
            self.roll.put(uid, await runner.open(), zone)
        for name in self.names:
            self.lists[name] = Discovery(self.roll)
            await self._prepare(name, await self.lists[name].open())
        try:
            await asyncio.gather(*(process.start() for process in self.processes.values()))
            await self._until_all_act(READY_WITHIN, "start")
            self.began = asyncio.get_running_loop().time()
            clients = Clients(self.names, self.ports, ["flips", "once", "free"], plan.load, self.seed,
                              self.seen)
            self.tasks += [asyncio.ensure_future(self._fault(fault)) for fault in plan.fault]
            self.tasks.append(asyncio.ensure_future(self._operators()))
            self.tasks += self.yard.tasks()
            await clients.run(plan.seconds)
            await asyncio.sleep(max(self.began + plan.seconds - asyncio.get_running_loop().time(), 0))
            await asyncio.gather(*self.tasks)
            over = stamp()
            ends = await self.yard.until_over(plan.settle) if plan.work else {}
            wells = await self._until_all_act(SETTLE_WITHIN, "")
            story = Story(int(plan.stated_time * 1e9), {}, self.seen, self.publishes, await self._histories(),
                          {name: process.dead for name, process in self.processes.items()}, wells, over,
                          plan.machines(), self.yard.works(), self.yard.runs, self.yard.lost, ends)
        finally:
            await self._end()
            for end in (*self.yard.runners.values(), *self.lists.values()):
                end.close()
        story.records = {key: kept for process in self.processes.values()
                         for key, kept in process.records.items()}
        self._keep(story)
        checker = Checker(story)
        return [checker.judge(promise) for promise in plan.promises]

    def runner(self, uid: str) -> Runner:
        plan = self.plan
        return Runner(uid, self.seen, self.ports, plan.work_ms / 1000, plan.fails, self.seed, plan.long,
                      plan.long_ms / 1000)

    async def _prepare(self, name: str, discovery: int) -> None:
        folder = self.folder / name
        folder.mkdir(parents=True)
        voters = {}
        for voter in self.voters:
            if voter == name:
                voters[voter] = f"{HOST}:{self.peers[voter]}"
                continue
            relay = Relay(self.links[name, voter], self.links[voter, name], self.peers[voter])
            self.relays[name, voter] = relay
            voters[voter] = f"{HOST}:{await relay.open()}"
        given = {
            "listen": f"{HOST}:{self.ports[name]}", "discovery": f"{HOST}:{discovery}",
            "admin_addr": f"{HOST}:{self.doors[name]}", "seed": f"{self.seed:x}",
            "peers": {"name": name, "voters": voters, "folder": str(folder), "record": "-",
                      "stated-time": self.plan.stated_time, "when-cut-off": self.plan.when_cut_off},
            "settings": {"allowed": {"most-dispatches": 3, "cancel": True, "second-copies": True},
                         "tick": 2000, "zones": sorted(set(self.plan.machines().values())),
                         "balancers": len(self.names),
                         "rules": {"cold-from": 0.5, "warm-after": int(self.plan.warm_after * 1_000_000),
                                   "overload-factor": 3.0, "overload-for": 1_000_000},
                         "specifics": {"tells-start": False, "report-x0": "free slots"},
                         "report": {"names": ["queue", "x0"], "via": "inline"},
                         "service-grades": grades("safe")}}
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps(given))
        (self.folder / f"{name}.tmp").mkdir()
        self.processes[name] = Process(name, folder, file, self.ports[name])

    # --- what is going on ---

    async def _asks(self, name: str, what: str, body: bytes | None = None) -> tuple[int, Any]:
        try:
            async with asyncio.timeout(1.0 if body is None else 6.0):
                head, text = await call(self.doors[name], f"/control/{what}", body)
            return int(head.split()[1]), json.loads(text)
        except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError):
            return 0, {}

    async def _until_all_act(self, within: float, what: str) -> dict[str, str]:
        """All act on the same versions, nothing on its way; else who does not, and why."""
        loop = asyncio.get_running_loop()
        end = loop.time() + within
        wrong: dict[str, str] = {}
        while True:
            views = {name: await self._asks(name, "fleet") for name in self.names}
            newest = max((json.dumps(view.get("versions"), sort_keys=True) for _, view in views.values()),
                         key=len, default="")
            wrong = {}
            for name, (status, view) in views.items():
                versions = view.get("versions", {})
                if status != 200 or not view.get("acts"):
                    wrong[name] = view.get("why-not") or "does not answer at its door"
                elif any(one["counts"] != one["newest"] for one in versions.values()):
                    wrong[name] = f"on its way: {versions}"
                elif json.dumps(versions, sort_keys=True) != newest:
                    wrong[name] = f"acts on {versions}"
            if not wrong or loop.time() > end:
                break
            await asyncio.sleep(0.1)
        if wrong and what:
            raise Unfit(f"no {what}: {wrong}")
        return wrong

    async def _leader(self) -> str:
        for name in self.voters:
            _, view = await self._asks(name, "fleet")
            if view.get("leader"):
                return str(view["leader"])
        return self.voters[0]

    def _links(self, fault: Fault, at: str, to: str) -> list[Link]:
        return [link for (a, b), link in self.links.items()
                if at in ("*", a) and to in ("*", b) or fault.both and at in ("*", b) and to in ("*", a)]

    async def _fault(self, fault: Fault) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(self.began + fault.begin - loop.time(), 0))
        if fault.on_step:
            fault = await self._on_step(fault)
        at = await self._leader() if fault.at == "leader" else fault.at
        to = await self._leader() if fault.to == "leader" else fault.to
        self.told.append(f"{loop.time() - self.began:.2f} s: {fault.kind} at {at} to {to}, until {fault.end}")
        rest = max(self.began + fault.end - loop.time(), 0)
        if fault.kind in AT_RUNNERS:
            await self.yard.fault(fault, rest)
            return
        if fault.kind in AT_LISTS:
            await self._list(fault, at, rest)
            return
        if fault.kind in AT_PROCESSES:
            process = self.processes[at]
            async with process.turn:
                await getattr(self, f"_{fault.kind}")(process, fault, rest)
            return
        links = self._links(fault, at, to)
        what, much = {"loss": ("loss", fault.share), "cut": ("loss", 1.0), "double": ("double", fault.share),
                      "delay": ("late", fault.ms / 1000), "slow": ("rate", fault.bytes_a_second),
                      "reset": ("", 0.0)}[fault.kind]
        if fault.kind == "reset":
            while loop.time() < self.began + fault.end:
                for relay in self.relays.values():
                    if relay.there in links or relay.back in links:
                        relay.reset()
                await asyncio.sleep(0.25)
            return
        for link in links:
            setattr(link, what, much)
        await asyncio.sleep(rest)
        for link in links:
            setattr(link, what, 0.0)

    async def _on_step(self, fault: Fault) -> Fault:
        """The fault as it is to be from the moment when such a step is told. A plan without one is unfit."""
        loop, begin = asyncio.get_running_loop(), stamp()
        while not any(record["what"] == "step" and record["step"] == fault.on_step and record["at"] > begin
                      for process in self.processes.values() for kept in process.records.values()
                      for record in kept[-50:]):
            if loop.time() > self.began + self.plan.seconds:
                raise Unfit(f"no step {fault.on_step} came after {fault.begin} s")
            await asyncio.sleep(0.005)
        now = loop.time() - self.began
        return structs.replace(fault, begin=now, end=now + fault.end - fault.begin)

    async def _list(self, fault: Fault, at: str, rest: float) -> None:
        lists = [one for name, one in self.lists.items() if at in ("*", name)]
        for one in lists:
            one.late, one.down = (fault.ms / 1000, False) if fault.kind == "list-late" else (0.0, True)
            if one.down:
                one.die()
                await one.open()  # who calls is heard, and not answered
        await asyncio.sleep(rest)
        for one in lists:
            one.late, one.down = 0.0, False

    async def _kill(self, process: Process, fault: Fault, rest: float) -> None:
        await process.kill()
        if not fault.keep_folder:
            shutil.rmtree(process.folder)
        await asyncio.sleep(rest)
        await process.start()

    async def _pause(self, process: Process, fault: Fault, rest: float) -> None:
        begin = stamp()
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(rest)
        process.signal(signal.SIGCONT)
        process.dead.append((begin, stamp() + 500_000_000))  # its clients may have given up

    async def _drain(self, process: Process, fault: Fault, rest: float) -> None:
        """Told to end, and started anew at the end; meanwhile its clients find nobody."""
        if process.running and process.running.returncode is None:
            process.dead.append((stamp(), ALIVE_AGAIN))
            process.signal(signal.SIGTERM)
            await asyncio.gather(process.running.wait(), asyncio.sleep(rest))
        await process.start()

    async def _replace(self, process: Process, fault: Fault, rest: float) -> None:
        """Another process takes its place under load, as at an upgrade."""
        before, door = process.running, free_port()
        process.key += "'"
        await process.start("--admin", f"{HOST}:{door}")
        end = asyncio.get_running_loop().time() + READY_WITHIN
        while asyncio.get_running_loop().time() < end:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                head, _ = await call(door, "/control/ready")
                if " 200 " in head:
                    break
            await asyncio.sleep(0.05)
        self.doors[process.name] = door
        if before and before.returncode is None:
            before.send_signal(signal.SIGTERM)
            await before.wait()
        await asyncio.sleep(0)

    async def _disk(self, process: Process, fault: Fault, rest: float) -> None:
        """No file of the process may grow any more, as on a full disk: it steps aside, and starts anew."""
        if process.running and process.running.returncode is None:
            resource.prlimit(process.running.pid, resource.RLIMIT_FSIZE, (16, resource.RLIM_INFINITY))
        await asyncio.sleep(rest)
        await process.kill()
        await process.start()

    # --- operators ---

    async def _operators(self) -> None:
        loop, publish = asyncio.get_running_loop(), self.plan.publish
        n = 0
        asking: list[asyncio.Task[None]] = []
        while True:
            await asyncio.sleep(self.luck.expovariate(1 / publish.every))
            if loop.time() - self.began > min(publish.until, self.plan.seconds):
                break
            doc = self.luck.choice(publish.documents)
            for name in self.luck.sample(self.names, min(publish.at_once, len(self.names))):
                n += 1
                asking.append(asyncio.ensure_future(self._publish(f"call{n}", name, doc)))
        await asyncio.gather(*asking)

    def _text(self, doc: str) -> dict[str, Any]:
        if doc == "settings":
            return {"service-grades": grades(self.luck.choice(EFFECTS)),
                    "allowed": {"most-dispatches": 3, "cancel": True, "second-copies": True}}
        return {"runners": {uid: "trial" for uid in self.luck.sample(self.uids, self.luck.randrange(
            max(len(self.uids) // 2, 1) + 1))}}

    async def _publish(self, ident: str, name: str, doc: str) -> None:
        text, again = self._text(doc), self.luck.random() < self.plan.publish.repeat
        status, known = await self._asks(name, f"agreed/{doc}")
        if status != 200:
            return
        asked = Asked(ident, stamp(), name, doc, text)
        self.publishes.append(asked)
        body = json.dumps({"call": ident, "made-from": known["newest"], "text": text, "author": name,
                           "reason": ident}).encode()
        answers = await asyncio.gather(*(self._asks(name, f"agreed/{doc}", body) for _ in range(1 + again)))
        asked.ended = stamp()
        for status, told in answers:
            if status == 200 and told.get("well"):
                asked.outcome, asked.number = "confirmed", told["number"]
            elif status == 409 and asked.outcome == "unknown":
                asked.outcome = "refused"

    async def _histories(self) -> dict[str, dict[str, dict[int, dict[str, Any]]]]:
        found: dict[str, dict[str, dict[int, dict[str, Any]]]] = {}
        for name in self.names:
            for doc in ("settings", "runners-out"):
                status, told = await self._asks(name, f"agreed/{doc}")
                if status == 200:
                    found.setdefault(name, {})[doc] = {v["number"]: v for v in told["versions"]}
        return found

    async def _end(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        for process in self.processes.values():
            if process.running:
                try:
                    async with asyncio.timeout(END_WITHIN):
                        await process.running.wait()
                except TimeoutError:
                    process.running.kill()
                    await process.running.wait()
            await asyncio.gather(*process.reading, return_exceptions=True)
        for relay in self.relays.values():
            relay.close()

    def _keep(self, story: Story) -> None:
        (self.folder / "faults.txt").write_text("\n".join(self.told) + "\n")
        (self.folder / "runs.txt").write_text("".join(f"{run}\n" for run in self.yard.runs))
        for name, records in story.records.items():
            (self.folder / f"{name}.records").write_text("".join(json.dumps(one) + "\n" for one in records))


def play(plan: Plan, seed: int, folder: Path) -> list[Verdict]:
    async def whole() -> list[Verdict]:
        return await Trial(plan, seed, folder).run()

    return asyncio.run(whole())


def main(path: Path, seed: int, keep: Path | None) -> int:
    try:
        plan = read(path)
        seed = seed or plan.seed
        with tempfile.TemporaryDirectory(prefix="crankfold-trial-") as scratch:
            folder = keep or Path(scratch)
            folder.mkdir(parents=True, exist_ok=True)
            if os.listdir(folder):
                raise Unfit(f"{folder}: not empty")
            verdicts = play(plan, seed, folder)
    except (Unfit, OSError) as wrong:
        click.echo(f"crankfold: {wrong}", err=True)
        return 2
    click.echo(f"{plan.name}, seed {seed}: {plan.voters} voters, {plan.followers} followers, "
               f"{plan.seconds} s")
    for verdict in verdicts:
        click.echo(f"{'held  ' if verdict.held else 'BROKEN'}  {verdict.promise:16} {verdict.told}".rstrip())
    return 0 if all(verdict.held for verdict in verdicts) else 1
