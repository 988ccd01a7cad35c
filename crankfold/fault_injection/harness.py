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

from crankfold.fault_injection.fault_proxy import FaultProxy, Link
from crankfold.fault_injection.invariants import PublishRecord, TrialChecker, TrialRecord, Verdict
from crankfold.fault_injection.maintenance_driver import MaintenanceDriver
from crankfold.fault_injection.plan import (
    BACKEND_FAULTS,
    DISCOVERY_FAULTS,
    PROCESS_FAULTS,
    FaultSpecification,
    PlanError,
    TrialPlan,
    load_plan,
)
from crankfold.fault_injection.stand_ins import (
    HOST,
    EndpointList,
    LoadGenerator,
    Observations,
    StandInBackend,
    StandInDiscovery,
    boot_time_ns,
    find_free_port,
    http_call,
)

READY_TIMEOUT, SETTLE_TIMEOUT, SHUTDOWN_TIMEOUT = 20.0, 15.0, 8.0
STILL_DOWN = 1 << 62  # not yet
IDEMPOTENCY_VALUES = ("safe", "keyed", "unsafe", "dropped")


def request_class_settings(effect: str) -> list[dict[str, Any]]:
    times = {"cut-off": 3_000_000, "expected-time": 1_000_000}
    if effect == "dropped":
        return request_class_settings("safe")[1:]
    flips = {"name": "flips", "effect": effect, **times}
    if effect == "keyed":
        flips |= {"group": "all", "repeat-window": 2_000_000}
    return [flips, {"name": "once", "effect": "unsafe", **times}, {"name": "free", "effect": "safe", **times}]


class ManagedProcess:
    def __init__(self, name: str, folder: Path, file: Path, port: int) -> None:
        self.name, self.storage_folder, self.config_file, self.port = name, folder, file, port
        self.running: asyncio.subprocess.Process | None = None
        self.restart_lock = asyncio.Lock()  # one ends and starts it at a time
        self.records: dict[str, list[dict[str, Any]]] = {}  # those that were there side by side apart
        self.record_key = name
        self.handover_folder = folder.parent / f"{name}.tmp"
        self.reader_tasks: list[asyncio.Task[None]] = []
        self.log_file = folder.parent / f"{name}.log"
        self.downtimes: list[tuple[int, int]] = []

    async def start(self, *more: str) -> None:
        log = self.log_file.open("ab")
        self.running = await asyncio.create_subprocess_exec(
            sys.executable,
            "-O",
            "-m",
            "crankfold",
            "serve",
            "--config",
            str(self.config_file),
            "--hand-over",
            str(self.handover_folder),
            *more,
            stdout=asyncio.subprocess.PIPE,
            stderr=log,
            limit=1 << 24,
            cwd=Path(__file__).parents[2],
        )
        log.close()
        kept = self.records.setdefault(self.record_key, [])
        self.reader_tasks.append(asyncio.ensure_future(self._read_records(self.running, kept)))
        while self.downtimes and self.downtimes[-1][1] == STILL_DOWN and self.running.returncode is None:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(HOST, self.port)
                writer.close()
                self.downtimes[-1] = self.downtimes[-1][0], boot_time_ns()
            await asyncio.sleep(0.02)

    async def _read_records(self, running: asyncio.subprocess.Process, kept: list[dict[str, Any]]) -> None:
        assert running.stdout is not None
        while line := await running.stdout.readline():
            if line.endswith(b"}\n"):
                kept.append(json.loads(line))

    def send_signal(self, number: int) -> None:
        if self.running and self.running.returncode is None:
            self.running.send_signal(number)

    async def kill(self) -> None:
        if self.running and self.running.returncode is None:
            self.downtimes.append((boot_time_ns(), STILL_DOWN))
            self.running.kill()
            await self.running.wait()


class TrialHarness:
    def __init__(self, plan: TrialPlan, seed: int, folder: Path) -> None:
        self.plan, self.seed, self.folder = plan, seed, folder
        self.rng = Random(f"{seed} operators")
        self.process_names = plan.process_names()
        self.voters = self.process_names[: plan.voters]
        self.observations = Observations()
        self.client_ports = {name: find_free_port() for name in self.process_names}
        self.admin_ports = {name: find_free_port() for name in self.process_names}
        self.peer_ports = {name: find_free_port() for name in self.voters}
        self.links = {
            (a, b): Link(a, b, seed) for a in self.process_names for b in self.process_names if a != b
        }
        self.proxies: dict[tuple[str, str], FaultProxy] = {}
        self.processes: dict[str, ManagedProcess] = {}
        self.publishes: list[PublishRecord] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.fault_log: list[str] = []
        self.discoveries: dict[str, StandInDiscovery] = {}
        self.out: set[str] = set()

    async def run(self) -> list[Verdict]:
        plan = self.plan
        self.backend_ids = list(plan.machine_zones())
        self.endpoint_list = EndpointList()
        self.maintenance = MaintenanceDriver(self)
        for uid, zone in plan.machine_zones().items():
            self.maintenance.backends[uid] = runner = self.make_backend(uid)
            self.endpoint_list.add(uid, await runner.open(), zone)
        for name in self.process_names:
            self.discoveries[name] = StandInDiscovery(self.endpoint_list)
            await self.prepare_process(name, await self.discoveries[name].open())
        try:
            await asyncio.gather(*(process.start() for process in self.processes.values()))
            await self.wait_until_consistent(READY_TIMEOUT, "start")
            self.started_at = asyncio.get_running_loop().time()
            clients = LoadGenerator(
                self.process_names,
                self.client_ports,
                ["flips", "once", "free"],
                plan.load,
                self.seed,
                self.observations,
            )
            self.tasks += [asyncio.ensure_future(self._run_fault(fault)) for fault in plan.fault]
            self.tasks.append(asyncio.ensure_future(self._publish_periodically()))
            self.tasks += self.maintenance.start_tasks()
            await clients.run(plan.seconds)
            await asyncio.sleep(max(self.started_at + plan.seconds - asyncio.get_running_loop().time(), 0))
            await asyncio.gather(*self.tasks)
            over = boot_time_ns()
            ends = await self.maintenance.wait_until_finished(plan.settle) if plan.work else {}
            wells = await self.wait_until_consistent(SETTLE_TIMEOUT, "")
            story = TrialRecord(
                int(plan.stated_time * 1e9),
                {},
                self.observations,
                self.publishes,
                await self._collect_histories(),
                {name: process.downtimes for name, process in self.processes.items()},
                wells,
                over,
                plan.machine_zones(),
                self.maintenance.job_documents(),
                self.maintenance.runs,
                self.maintenance.losses,
                ends,
            )
        finally:
            await self.shut_down()
            for end in (*self.maintenance.backends.values(), *self.discoveries.values()):
                end.close()
        story.process_records = {
            key: kept for process in self.processes.values() for key, kept in process.records.items()
        }
        self._write_records(story)
        checker = TrialChecker(story)
        return [checker.judge(promise) for promise in plan.promises]

    def make_backend(self, uid: str) -> StandInBackend:
        plan = self.plan
        return StandInBackend(
            uid,
            self.observations,
            self.client_ports,
            plan.work_ms / 1000,
            plan.fails,
            self.seed,
            plan.long,
            plan.long_ms / 1000,
        )

    async def prepare_process(self, name: str, discovery: int) -> None:
        folder = self.folder / name
        folder.mkdir(parents=True)
        voters = {}
        for voter in self.voters:
            if voter == name:
                voters[voter] = f"{HOST}:{self.peer_ports[voter]}"
                continue
            relay = FaultProxy(self.links[name, voter], self.links[voter, name], self.peer_ports[voter])
            self.proxies[name, voter] = relay
            voters[voter] = f"{HOST}:{await relay.open()}"
        given = {
            "listen": f"{HOST}:{self.client_ports[name]}",
            "discovery": f"{HOST}:{discovery}",
            "admin_addr": f"{HOST}:{self.admin_ports[name]}",
            "seed": f"{self.seed:x}",
            "peers": {
                "name": name,
                "voters": voters,
                "folder": str(folder),
                "record": "-",
                "stated-time": self.plan.stated_time,
                "when-cut-off": self.plan.when_cut_off,
            },
            "settings": {
                "allowed": {"most-dispatches": 3, "cancel": True, "second-copies": True},
                "tick": 2000,
                "zones": sorted(set(self.plan.machine_zones().values())),
                "balancers": len(self.process_names),
                "rules": {
                    "cold-from": 0.5,
                    "warm-after": int(self.plan.warm_after * 1_000_000),
                    "overload-factor": 3.0,
                    "overload-for": 1_000_000,
                },
                "specifics": {"tells-start": False, "report-x0": "free slots"},
                "report": {"names": ["queue", "x0"], "via": "inline"},
                "service-grades": request_class_settings("safe"),
            },
        }
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps(given))
        (self.folder / f"{name}.tmp").mkdir()
        self.processes[name] = ManagedProcess(name, folder, file, self.client_ports[name])

    # --- what is going on ---

    async def call_admin(self, name: str, what: str, body: bytes | None = None) -> tuple[int, Any]:
        try:
            async with asyncio.timeout(1.0 if body is None else 6.0):
                head, text = await http_call(self.admin_ports[name], f"/control/{what}", body)
            return int(head.split()[1]), json.loads(text)
        except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError):
            return 0, {}

    async def wait_until_consistent(self, within: float, what: str) -> dict[str, str]:
        """All act on the same versions, nothing on its way; else who does not, and why."""
        loop = asyncio.get_running_loop()
        end = loop.time() + within
        wrong: dict[str, str] = {}
        while True:
            views = {name: await self.call_admin(name, "fleet") for name in self.process_names}
            newest = max(
                (json.dumps(view.get("versions"), sort_keys=True) for _, view in views.values()),
                key=len,
                default="",
            )
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
            raise PlanError(f"no {what}: {wrong}")
        return wrong

    async def find_leader(self) -> str:
        for name in self.voters:
            _, view = await self.call_admin(name, "fleet")
            if view.get("leader"):
                return str(view["leader"])
        return self.voters[0]

    def _affected_links(self, fault: FaultSpecification, at: str, to: str) -> list[Link]:
        return [
            link
            for (a, b), link in self.links.items()
            if at in ("*", a) and to in ("*", b) or fault.both and at in ("*", b) and to in ("*", a)
        ]

    async def _run_fault(self, fault: FaultSpecification) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(self.started_at + fault.begin - loop.time(), 0))
        if fault.on_step:
            fault = await self._wait_for_step(fault)
        at = await self.find_leader() if fault.at == "leader" else fault.at
        to = await self.find_leader() if fault.to == "leader" else fault.to
        self.fault_log.append(
            f"{loop.time() - self.started_at:.2f} s: {fault.kind} at {at} to {to}, until {fault.end}"
        )
        rest = max(self.started_at + fault.end - loop.time(), 0)
        if fault.kind in BACKEND_FAULTS:
            await self.maintenance.run_fault(fault, rest)
            return
        if fault.kind in DISCOVERY_FAULTS:
            await self._run_discovery_fault(fault, at, rest)
            return
        if fault.kind in PROCESS_FAULTS:
            process = self.processes[at]
            async with process.restart_lock:
                await getattr(self, f"_{fault.kind}")(process, fault, rest)
            return
        links = self._affected_links(fault, at, to)
        what, much = {
            "loss": ("loss", fault.share),
            "cut": ("loss", 1.0),
            "double": ("double", fault.share),
            "delay": ("late", fault.ms / 1000),
            "slow": ("rate", fault.bytes_a_second),
            "reset": ("", 0.0),
        }[fault.kind]
        if fault.kind == "reset":
            while loop.time() < self.started_at + fault.end:
                for relay in self.proxies.values():
                    if relay.outbound in links or relay.inbound in links:
                        relay.reset_connections()
                await asyncio.sleep(0.25)
            return
        for link in links:
            setattr(link, what, much)
        await asyncio.sleep(rest)
        for link in links:
            setattr(link, what, 0.0)

    async def _wait_for_step(self, fault: FaultSpecification) -> FaultSpecification:
        """The fault as it is to be from the moment when such a step is told. A plan without one is unfit."""
        loop, begin = asyncio.get_running_loop(), boot_time_ns()
        while not any(
            record["what"] == "step" and record["step"] == fault.on_step and record["at"] > begin
            for process in self.processes.values()
            for kept in process.records.values()
            for record in kept[-50:]
        ):
            if loop.time() > self.started_at + self.plan.seconds:
                raise PlanError(f"no step {fault.on_step} came after {fault.begin} s")
            await asyncio.sleep(0.005)
        now = loop.time() - self.started_at
        return structs.replace(fault, begin=now, end=now + fault.end - fault.begin)

    async def _run_discovery_fault(self, fault: FaultSpecification, at: str, rest: float) -> None:
        lists = [one for name, one in self.discoveries.items() if at in ("*", name)]
        for one in lists:
            one.delay, one.silent = (fault.ms / 1000, False) if fault.kind == "list-late" else (0.0, True)
            if one.silent:
                one.abort()
                await one.open()  # who calls is heard, and not answered
        await asyncio.sleep(rest)
        for one in lists:
            one.delay, one.silent = 0.0, False

    async def _kill(self, process: ManagedProcess, fault: FaultSpecification, rest: float) -> None:
        await process.kill()
        if not fault.keep_folder:
            shutil.rmtree(process.storage_folder)
        await asyncio.sleep(rest)
        await process.start()

    async def _pause(self, process: ManagedProcess, fault: FaultSpecification, rest: float) -> None:
        begin = boot_time_ns()
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(rest)
        process.send_signal(signal.SIGCONT)
        process.downtimes.append((begin, boot_time_ns() + 500_000_000))  # its clients may have given up

    async def _drain(self, process: ManagedProcess, fault: FaultSpecification, rest: float) -> None:
        """Told to end, and started anew at the end; meanwhile its clients find nobody."""
        if process.running and process.running.returncode is None:
            process.downtimes.append((boot_time_ns(), STILL_DOWN))
            process.send_signal(signal.SIGTERM)
            await asyncio.gather(process.running.wait(), asyncio.sleep(rest))
        await process.start()

    async def _replace(self, process: ManagedProcess, fault: FaultSpecification, rest: float) -> None:
        """Another process takes its place under load, as at an upgrade."""
        before, door = process.running, find_free_port()
        process.record_key += "'"
        await process.start("--admin", f"{HOST}:{door}")
        end = asyncio.get_running_loop().time() + READY_TIMEOUT
        while asyncio.get_running_loop().time() < end:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                head, _ = await http_call(door, "/control/ready")
                if " 200 " in head:
                    break
            await asyncio.sleep(0.05)
        self.admin_ports[process.name] = door
        if before and before.returncode is None:
            before.send_signal(signal.SIGTERM)
            await before.wait()
        await asyncio.sleep(0)

    async def _disk(self, process: ManagedProcess, fault: FaultSpecification, rest: float) -> None:
        """No file of the process may grow any more, as on a full disk: it steps aside, and starts anew."""
        if process.running and process.running.returncode is None:
            resource.prlimit(process.running.pid, resource.RLIMIT_FSIZE, (16, resource.RLIM_INFINITY))
        await asyncio.sleep(rest)
        await process.kill()
        await process.start()

    # --- operators ---

    async def _publish_periodically(self) -> None:
        loop, publish = asyncio.get_running_loop(), self.plan.publish
        n = 0
        asking: list[asyncio.Task[None]] = []
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / publish.every))
            if loop.time() - self.started_at > min(publish.until, self.plan.seconds):
                break
            doc = self.rng.choice(publish.documents)
            for name in self.rng.sample(self.process_names, min(publish.at_once, len(self.process_names))):
                n += 1
                asking.append(asyncio.ensure_future(self._publish(f"call{n}", name, doc)))
        await asyncio.gather(*asking)

    def _random_content(self, doc: str) -> dict[str, Any]:
        if doc == "settings":
            return {
                "service-grades": request_class_settings(self.rng.choice(IDEMPOTENCY_VALUES)),
                "allowed": {"most-dispatches": 3, "cancel": True, "second-copies": True},
            }
        return {
            "runners": {
                uid: "trial"
                for uid in self.rng.sample(
                    self.backend_ids, self.rng.randrange(max(len(self.backend_ids) // 2, 1) + 1)
                )
            }
        }

    async def _publish(self, ident: str, name: str, doc: str) -> None:
        text, again = self._random_content(doc), self.rng.random() < self.plan.publish.repeat
        status, known = await self.call_admin(name, f"agreed/{doc}")
        if status != 200:
            return
        asked = PublishRecord(ident, boot_time_ns(), name, doc, text)
        self.publishes.append(asked)
        body = json.dumps(
            {"call": ident, "made-from": known["newest"], "text": text, "author": name, "reason": ident}
        ).encode()
        answers = await asyncio.gather(
            *(self.call_admin(name, f"agreed/{doc}", body) for _ in range(1 + again))
        )
        asked.ended_at = boot_time_ns()
        for status, told in answers:
            if status == 200 and told.get("well"):
                asked.outcome, asked.version = "confirmed", told["number"]
            elif status == 409 and asked.outcome == "unknown":
                asked.outcome = "refused"

    async def _collect_histories(self) -> dict[str, dict[str, dict[int, dict[str, Any]]]]:
        found: dict[str, dict[str, dict[int, dict[str, Any]]]] = {}
        for name in self.process_names:
            for doc in ("settings", "runners-out"):
                status, told = await self.call_admin(name, f"agreed/{doc}")
                if status == 200:
                    found.setdefault(name, {})[doc] = {v["number"]: v for v in told["versions"]}
        return found

    async def shut_down(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            if process.running:
                try:
                    async with asyncio.timeout(SHUTDOWN_TIMEOUT):
                        await process.running.wait()
                except TimeoutError:
                    process.running.kill()
                    await process.running.wait()
            await asyncio.gather(*process.reader_tasks, return_exceptions=True)
        for relay in self.proxies.values():
            relay.close()

    def _write_records(self, story: TrialRecord) -> None:
        (self.folder / "faults.txt").write_text("\n".join(self.fault_log) + "\n")
        (self.folder / "runs.txt").write_text("".join(f"{run}\n" for run in self.maintenance.runs))
        for name, records in story.process_records.items():
            (self.folder / f"{name}.records").write_text("".join(json.dumps(one) + "\n" for one in records))


def run_trial(plan: TrialPlan, seed: int, folder: Path) -> list[Verdict]:
    async def whole() -> list[Verdict]:
        return await TrialHarness(plan, seed, folder).run()

    return asyncio.run(whole())


def run_command(path: Path, seed: int, keep: Path | None) -> int:
    try:
        plan = load_plan(path)
        seed = seed or plan.seed
        with tempfile.TemporaryDirectory(prefix="crankfold-trial-") as scratch:
            folder = keep or Path(scratch)
            folder.mkdir(parents=True, exist_ok=True)
            if os.listdir(folder):
                raise PlanError(f"{folder}: not empty")
            verdicts = run_trial(plan, seed, folder)
    except (PlanError, OSError) as wrong:
        click.echo(f"crankfold: {wrong}", err=True)
        return 2
    click.echo(
        f"{plan.name}, seed {seed}: {plan.voters} voters, {plan.followers} followers, {plan.seconds} s"
    )
    for verdict in verdicts:
        click.echo(
            f"{'held  ' if verdict.held else 'BROKEN'}  {verdict.promise:16} {verdict.detail}".rstrip()
        )
    return 0 if all(verdict.held for verdict in verdicts) else 1
