"""Machines that are worked on in a trial: restarted by commands, by operators and by themselves, and lost."""

import asyncio
import json
import sys
from collections import Counter
from collections.abc import Coroutine
from random import Random
from typing import TYPE_CHECKING, Any

from crankfold.trial.checker import Run
from crankfold.trial.plan import Fault, Handed, Unfit
from crankfold.trial.stand_ins import Runner, stamp

if TYPE_CHECKING:
    from crankfold.trial.run import Trial

# What a work's command is: it tells the rig that it is there, lasts, and tells that it has ended.
COMMAND = """
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
LOOK = 0.05


class Yard:
    def __init__(self, trial: "Trial") -> None:
        self.trial, self.plan = trial, trial.plan
        self.runners: dict[str, Runner] = {}
        self.runs: list[Run] = []
        self.lost: dict[str, list[tuple[int, int]]] = {}
        self.file = trial.folder / "commands"
        self.read = 0
        self.luck = Random(f"{trial.seed} hands")
        self.begun: set[tuple[str, int]] = set()
        self.handed: set[str] = set()
        self.background: set[asyncio.Task[None]] = set()
        self.over = False
        self.downs: Counter[str] = Counter()  # by machine, how many have it down

    def works(self) -> dict[str, dict[str, Any]]:
        return {handed.name: {"work": handed.work} for handed in self.plan.work}

    def tasks(self) -> list["asyncio.Task[None]"]:
        """Those that end by themselves before the trial's end; the others go on beside."""
        if not self.plan.work:
            return []
        script = self.trial.folder / "command.py"
        script.write_text(COMMAND)
        self.file.touch()
        for work in (self._follow(), self._hands()):
            self._spawn(work)
        return [asyncio.ensure_future(self._hand_in(handed)) for handed in self.plan.work] + [
            asyncio.ensure_future(self._say(turn.name, turn.begin, turn.say)) for turn in self.plan.turn]

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    # --- operators ---

    async def _any(self, what: str, body: bytes | None = None) -> tuple[int, Any]:
        return await self.trial._asks(self.luck.choice(self.trial.names), what, body)

    async def _hand_in(self, handed: Handed) -> None:
        await asyncio.sleep(max(self.trial.began + handed.begin - asyncio.get_running_loop().time(), 0))
        given = dict(handed.work)
        if given.get("way") == "command":
            given["command"] = [sys.executable, "-S", "-E", str(self.trial.folder / "command.py"),
                                str(self.file), str(handed.lasts), str(self.trial.seed), str(handed.fails)]
        await self._publish(lambda works: {**works, handed.name: given}, f"hands in {handed.name}")

    async def _say(self, name: str, begin: float, say: str) -> None:
        await asyncio.sleep(max(self.trial.began + begin - asyncio.get_running_loop().time(), 0))
        await self._publish(lambda works: {**works, name: {**works[name], "state": say,
                                                           "called": works[name].get("called", 0) + 1}},
                            f"{say} {name} {begin}")

    async def _publish(self, change: Any, reason: str) -> None:
        while True:
            status, told = await self._any("agreed/works")
            if status != 200:
                await asyncio.sleep(0.2)
                continue
            texts = {version["number"]: version for version in told["versions"]}
            if any(version["reason"] == reason for version in texts.values()):
                return
            works = texts[told["newest"]]["text"]["works"] if told["newest"] else {}
            body = {"call": f"{reason} {told['newest']}", "made-from": told["newest"], "author": "o",
                    "text": {"works": change(works)}, "reason": reason}
            status, told = await self._any("agreed/works", json.dumps(body).encode())
            if status == 400 or status == 409 and not told.get("number"):
                raise Unfit(f"{reason}: {told['text']}")
            await asyncio.sleep(0.2)

    async def _step(self, uid: str, step: str, number: int) -> bool:
        """Asks until there is an outcome."""
        call = f"{step} {uid} {number}"
        while not self.over:
            status, told = await self._any("agreed/machines", json.dumps(
                {"call": call, "machine": uid, "step": step, "number": number, "author": "o"}).encode())
            if status == 200 or status == 409 and "out for any work" not in told.get("text", ""):
                return status == 200
            await asyncio.sleep(0.2)
        return False

    async def _hands(self) -> None:
        """Somebody looks at some door for machines that are free and works on them."""
        ways = {handed.name: handed.work.get("way", "hand") for handed in self.plan.work}
        while not self.over:
            await asyncio.sleep(0.3)
            status, told = await self._any("agreed/machines")
            if status != 200:
                continue
            for uid, away in told["machines"].items():
                if away["state"] != "free" or (uid, away["number"]) in self.begun:
                    continue
                if ways[away["work"]] == "hand" or away["unwell"]:
                    self.begun.add((uid, away["number"]))
                    self._spawn(self._by_hand(uid, away["work"], away["number"]))
                elif ways[away["work"]] == "list":
                    self.begun.add((uid, away["number"]))
                    self._spawn(self._work(uid, away["work"], away["number"]))

    def _lasts(self, work: str) -> float:
        return next(handed.lasts for handed in self.plan.work if handed.name == work)

    async def _by_hand(self, uid: str, work: str, number: int) -> None:
        if await self._step(uid, "begin", number):
            await self._work(uid, work, number)
            await self._step(uid, "done", number)

    async def _work(self, uid: str, work: str, number: int) -> None:
        run = Run(uid, work, number, stamp())
        self.runs.append(run)
        await self._restart(uid, self._lasts(work))
        run.end = stamp()

    # --- machines ---

    async def _restart(self, uid: str, seconds: float) -> None:
        name = uid.removeprefix("@")
        if name in self.trial.processes and uid not in self.runners:
            await self._restart_process(name, seconds)
            return
        self._down(uid)
        await asyncio.sleep(seconds)
        await self._up(uid)

    async def _restart_process(self, name: str, seconds: float) -> None:
        process = self.trial.processes[name]
        async with process.turn:
            await self.trial._drain(process, Fault("drain", 0, 0), seconds)

    def _down(self, uid: str) -> None:
        self.downs[uid] += 1
        if self.downs[uid] == 1:
            self.runners[uid].die()
            self.trial.roll.drop(uid)

    async def _up(self, uid: str) -> None:
        """Once nobody has it down any more: a loss may come in the middle of work."""
        self.downs[uid] -= 1
        if self.downs[uid]:
            return
        port = await self.runners[uid].open()
        self.trial.roll.put(uid, port, self.plan.machines().get(uid, "here"))

    async def _follow(self) -> None:
        """What commands tell of themselves."""
        while not self.over:
            await asyncio.sleep(LOOK)
            with self.file.open() as told:
                told.seek(self.read)
                lines = told.read()
            self.read += len(lines)
            for line in lines.splitlines():
                one = json.loads(line)
                uid = one["uid"] if one["uid"] in self.runners else f"@{one['uid']}"
                if one["what"] == "begin":
                    self.runs.append(Run(uid, one["work"], one["number"], one["at"]))
                    self._spawn(self._restart(uid, self._lasts(one["work"])))
                for run in self.runs:
                    if (run.uid, run.work, run.number) == (uid, one["work"], one["number"]) \
                            and one["what"] == "end":
                        run.end = one["at"]

    async def fault(self, fault: Fault, rest: float) -> None:
        """Runners that are lost, one or a zone, and come back cold; or another in the place of one."""
        machines = self.plan.machines()
        uids = [uid for uid, zone in machines.items() if fault.at in (uid, zone)]
        for uid in uids:
            self.lost.setdefault(uid, []).append((stamp(), 1 << 62))
            self._down(uid)
        await asyncio.sleep(rest)
        for uid in uids:
            if fault.kind == "lose":
                await self._up(uid)
                self.lost[uid][-1] = self.lost[uid][-1][0], stamp()
            else:
                self.runners[f"{uid}b"] = runner = self.trial.runner(f"{uid}b")
                self.trial.roll.put(f"{uid}b", await runner.open(), machines[uid])

    # --- the end ---

    async def until_over(self, within: float) -> dict[str, str]:
        """Of each work what is wrong with its end: something is left, and nobody says why."""
        loop = asyncio.get_running_loop()
        end = loop.time() + within
        while True:
            views = [await self.trial._asks(name, "agreed/machines") for name in self.trial.names]
            told = next((view for status, view in views if status == 200 and view["leads"]), None)
            states = {name: work["state"] for name, work in told["works"].items()} if told else {}
            ended = told and all(state in ("done", "stop", "stopped by itself") for state in states.values())
            still = {away["work"] for away in told["machines"].values()} if told else set()
            if ended and all(states.get(name) == "stopped by itself" for name in still) or loop.time() > end:
                break
            await asyncio.sleep(0.2)
        self.over = True
        await asyncio.sleep(2 * LOOK)
        for task in list(self.background):
            task.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)
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
        (self.trial.folder / "works.json").write_text(json.dumps(told, indent=1))
        return wrong

