"""Machines that are worked on in a trial: restarted by commands, by operators and by themselves, and lost."""

import asyncio
import json
import sys
from collections import Counter
from collections.abc import Coroutine
from random import Random
from typing import TYPE_CHECKING, Any

from crankfold.fault_injection.invariants import MaintenanceRun
from crankfold.fault_injection.plan import FaultSpecification, JobSpecification, PlanError
from crankfold.fault_injection.stand_ins import StandInBackend, boot_time_ns

if TYPE_CHECKING:
    from crankfold.fault_injection.harness import TrialHarness

# What a work's command is: it tells the rig that it is there, lasts, and tells that it has ended.
COMMAND_SCRIPT = """
import json, os, random, sys, time
def tell(what):
    env = os.environ
    told = {"what": what, "at": time.clock_gettime_ns(time.CLOCK_BOOTTIME), "uid": env["CRANKFOLD_MACHINE"],
            "work": env["CRANKFOLD_WORK"], "number": int(env["CRANKFOLD_NUMBER"])}
    with open(sys.argv[1], "a") as out:
        out.write(json.dumps(told) + "\\n")
tell("begin")
time.sleep(float(sys.argv[2]))
tell("end")
sys.exit(random.Random(os.environ["CRANKFOLD_MACHINE"] + sys.argv[3]).random() < float(sys.argv[4]))
"""
POLL_INTERVAL = 0.05


class MaintenanceDriver:
    def __init__(self, trial: "TrialHarness") -> None:
        self.harness, self.plan = trial, trial.plan
        self.backends: dict[str, StandInBackend] = {}
        self.runs: list[MaintenanceRun] = []
        self.losses: dict[str, list[tuple[int, int]]] = {}
        self.command_log = trial.folder / "commands"
        self.command_log_offset = 0
        self.rng = Random(f"{trial.seed} hands")
        self.started_work: set[tuple[str, int]] = set()
        self.handed: set[str] = set()
        self.background_tasks: set[asyncio.Task[None]] = set()
        self.finished = False
        self.down_counts: Counter[str] = Counter()  # by machine, how many have it down

    def job_documents(self) -> dict[str, dict[str, Any]]:
        return {handed.name: {"work": handed.work} for handed in self.plan.work}

    def start_tasks(self) -> list["asyncio.Task[None]"]:
        """Those that end by themselves before the trial's end; the others go on beside."""
        if not self.plan.work:
            return []
        script = self.harness.folder / "command.py"
        script.write_text(COMMAND_SCRIPT)
        self.command_log.touch()
        for work in (self._follow_commands(), self._play_operators()):
            self._spawn(work)
        return [asyncio.ensure_future(self._submit_job(handed)) for handed in self.plan.work] + [
            asyncio.ensure_future(self._command_job(turn.name, turn.begin, turn.say))
            for turn in self.plan.turn
        ]

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    # --- operators ---

    async def _call_any(self, what: str, body: bytes | None = None) -> tuple[int, Any]:
        return await self.harness.call_admin(self.rng.choice(self.harness.process_names), what, body)

    async def _submit_job(self, handed: JobSpecification) -> None:
        await asyncio.sleep(
            max(self.harness.started_at + handed.begin - asyncio.get_running_loop().time(), 0)
        )
        given = dict(handed.work)
        if given.get("way") == "command":
            given["command"] = [
                sys.executable,
                "-S",
                "-E",
                str(self.harness.folder / "command.py"),
                str(self.command_log),
                str(handed.lasts),
                str(self.harness.seed),
                str(handed.fails),
            ]
        await self._publish_jobs(lambda works: {**works, handed.name: given}, f"hands in {handed.name}")

    async def _command_job(self, name: str, begin: float, say: str) -> None:
        await asyncio.sleep(max(self.harness.started_at + begin - asyncio.get_running_loop().time(), 0))
        await self._publish_jobs(
            lambda works: {
                **works,
                name: {**works[name], "state": say, "called": works[name].get("called", 0) + 1},
            },
            f"{say} {name} {begin}",
        )

    async def _publish_jobs(self, change: Any, reason: str) -> None:
        while True:
            status, told = await self._call_any("agreed/works")
            if status != 200:
                await asyncio.sleep(0.2)
                continue
            texts = {version["number"]: version for version in told["versions"]}
            if any(version["reason"] == reason for version in texts.values()):
                return
            works = texts[told["newest"]]["text"]["works"] if told["newest"] else {}
            body = {
                "call": f"{reason} {told['newest']}",
                "made-from": told["newest"],
                "author": "o",
                "text": {"works": change(works)},
                "reason": reason,
            }
            status, told = await self._call_any("agreed/works", json.dumps(body).encode())
            if status == 400 or status == 409 and not told.get("number"):
                raise PlanError(f"{reason}: {told['text']}")
            await asyncio.sleep(0.2)

    async def _report_step(self, uid: str, step: str, number: int) -> bool:
        """Asks until there is an outcome."""
        call = f"{step} {uid} {number}"
        while not self.finished:
            status, told = await self._call_any(
                "agreed/machines",
                json.dumps(
                    {"call": call, "machine": uid, "step": step, "number": number, "author": "o"}
                ).encode(),
            )
            if status == 200 or status == 409 and "out for any work" not in told.get("text", ""):
                return status == 200
            await asyncio.sleep(0.2)
        return False

    async def _play_operators(self) -> None:
        """Somebody looks at some door for machines that are free and works on them."""
        ways = {handed.name: handed.work.get("way", "hand") for handed in self.plan.work}
        while not self.finished:
            await asyncio.sleep(0.3)
            status, told = await self._call_any("agreed/machines")
            if status != 200:
                continue
            for uid, away in told["machines"].items():
                if away["state"] != "free" or (uid, away["number"]) in self.started_work:
                    continue
                if ways[away["work"]] == "hand" or away["unwell"]:
                    self.started_work.add((uid, away["number"]))
                    self._spawn(self._work_manually(uid, away["work"], away["number"]))
                elif ways[away["work"]] == "list":
                    self.started_work.add((uid, away["number"]))
                    self._spawn(self._work_on(uid, away["work"], away["number"]))

    def _work_seconds(self, work: str) -> float:
        return next(handed.lasts for handed in self.plan.work if handed.name == work)

    async def _work_manually(self, uid: str, work: str, number: int) -> None:
        if await self._report_step(uid, "begin", number):
            await self._work_on(uid, work, number)
            await self._report_step(uid, "done", number)

    async def _work_on(self, uid: str, work: str, number: int) -> None:
        run = MaintenanceRun(uid, work, number, boot_time_ns())
        self.runs.append(run)
        await self._restart_machine(uid, self._work_seconds(work))
        run.end = boot_time_ns()

    # --- machines ---

    async def _restart_machine(self, uid: str, seconds: float) -> None:
        name = uid.removeprefix("@")
        if name in self.harness.processes and uid not in self.backends:
            await self._restart_process(name, seconds)
            return
        self._take_down(uid)
        await asyncio.sleep(seconds)
        await self._bring_up(uid)

    async def _restart_process(self, name: str, seconds: float) -> None:
        process = self.harness.processes[name]
        async with process.restart_lock:
            await self.harness._drain(process, FaultSpecification("drain", 0, 0), seconds)

    def _take_down(self, uid: str) -> None:
        self.down_counts[uid] += 1
        if self.down_counts[uid] == 1:
            self.backends[uid].abort()
            self.harness.endpoint_list.remove(uid)

    async def _bring_up(self, uid: str) -> None:
        """Once nobody has it down any more: a loss may come in the middle of work."""
        self.down_counts[uid] -= 1
        if self.down_counts[uid]:
            return
        port = await self.backends[uid].open()
        self.harness.endpoint_list.add(uid, port, self.plan.machine_zones().get(uid, "here"))

    async def _follow_commands(self) -> None:
        """What commands tell of themselves."""
        while not self.finished:
            await asyncio.sleep(POLL_INTERVAL)
            with self.command_log.open() as told:
                told.seek(self.command_log_offset)
                lines = told.read()
            self.command_log_offset += len(lines)
            for line in lines.splitlines():
                one = json.loads(line)
                uid = one["uid"] if one["uid"] in self.backends else f"@{one['uid']}"
                if one["what"] == "begin":
                    self.runs.append(MaintenanceRun(uid, one["work"], one["number"], one["at"]))
                    self._spawn(self._restart_machine(uid, self._work_seconds(one["work"])))
                for run in self.runs:
                    if (run.uid, run.work, run.number) == (uid, one["work"], one["number"]) and one[
                        "what"
                    ] == "end":
                        run.end = one["at"]

    async def run_fault(self, fault: FaultSpecification, rest: float) -> None:
        """Runners that are lost, one or a zone, and come back cold; or another in the place of one."""
        machines = self.plan.machine_zones()
        uids = [uid for uid, zone in machines.items() if fault.at in (uid, zone)]
        for uid in uids:
            self.losses.setdefault(uid, []).append((boot_time_ns(), 1 << 62))
            self._take_down(uid)
        await asyncio.sleep(rest)
        for uid in uids:
            if fault.kind == "lose":
                await self._bring_up(uid)
                self.losses[uid][-1] = self.losses[uid][-1][0], boot_time_ns()
            else:
                self.backends[f"{uid}b"] = runner = self.harness.make_backend(f"{uid}b")
                self.harness.endpoint_list.add(f"{uid}b", await runner.open(), machines[uid])

    # --- the end ---

    async def wait_until_finished(self, within: float) -> dict[str, str]:
        """Of each work what is wrong with its end: something is left, and nobody says why."""
        loop = asyncio.get_running_loop()
        end = loop.time() + within
        while True:
            views = [
                await self.harness.call_admin(name, "agreed/machines") for name in self.harness.process_names
            ]
            told = next((view for status, view in views if status == 200 and view["leads"]), None)
            states = {name: work["state"] for name, work in told["works"].items()} if told else {}
            ended = told and all(state in ("done", "stop", "stopped by itself") for state in states.values())
            still = {away["work"] for away in told["machines"].values()} if told else set()
            if ended and all(states.get(name) == "stopped by itself" for name in still) or loop.time() > end:
                break
            await asyncio.sleep(0.2)
        self.finished = True
        await asyncio.sleep(2 * POLL_INTERVAL)
        for task in list(self.background_tasks):
            task.cancel()
        await asyncio.gather(*self.background_tasks, return_exceptions=True)
        if told is None:
            return {handed.name: "nobody leads" for handed in self.plan.work}
        wrong = {}
        for handed in self.plan.work:
            work = told["works"].get(handed.name)
            if work is None:
                wrong[handed.name] = "was handed in and is not known"
                continue
            said = {wait["machine"] for wait in told["waits"]}
            named = {wait["work"] for wait in told["waits"]}
            left = [uid for uid in work["left"] if uid not in said]
            if left and not work["halted"] and handed.name not in named and work["state"] == "go":
                wrong[handed.name] = f"{left} are left and nobody says why"
        (self.harness.folder / "works.json").write_text(json.dumps(told, indent=1))
        return wrong
