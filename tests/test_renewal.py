"""New settings while it serves: what a file must look like, and requests from before and after."""

import asyncio
import copy
import signal
from dataclasses import replace
from typing import Any

import orjson

from crankfold.config import schema
from crankfold.routing.interface import DeduplicationScope, Idempotency, Outcome
from tests.loopback import OK, DispatcherTestCase
from tests.scene import GRADE, MS, ORDERS, Kept, Scene, read_request

FILE: dict[str, Any] = {
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "seed": "1f",
    "limits": {"sockets": 256},
    "known": None,
    "settings": {
        "allowed": {"most-dispatches": 3, "cancel": True},
        "tick": 2000,
        "specifics": {"tells-start": True},
        "service-grades": [
            {"name": "a", "effect": "safe", "cut-off": 3e6, "expected-time": 1000},
            {"name": "b", "effect": "keyed", "group": "zone", "cut-off": 3_000_000, "expected-time": 0},
        ],
    },
}


class Forms(Kept):
    def tried(self, what: str, *path: Any, value: Any = None, lacks: bool = False) -> None:
        given = copy.deepcopy(FILE)
        at: Any = given
        for step in path[:-1]:
            at = at[step]
        if lacks:
            del at[path[-1]]
        elif path:
            at[path[-1]] = value
        try:
            schema.validate(given, FILE)
        except schema.SchemaError as wrong:
            self.say(f"{what}: {wrong}")
        else:
            self.say(f"{what}: taken")

    def test_what_a_file_must_look_like(self) -> None:
        grades = ("settings", "service-grades")
        self.tried("the same")
        for name in ("listen", "discovery", "settings", "limits", "seed", "known"):
            self.tried(f"no {name}", name, lacks=True)
        for name in ("service-grades", "allowed", "tick", "specifics"):
            self.tried(f"no {name}", "settings", name, lacks=True)
        self.tried("no key deep inside", "settings", "specifics", "tells-start", lacks=True)
        self.tried("no cut-off", *grades, 1, "cut-off", lacks=True)
        self.tried("no group, which not all have", *grades, 1, "group", lacks=True)
        for value in (0, -1, "soon", None, True, "5"):
            self.tried(f"cut-off {value!r}", *grades, 0, "cut-off", value=value)
        for most in (0, -3, 2.5, "many", None):
            self.tried(f"dispatches {most!r}", "settings", "allowed", "most-dispatches", value=most)
        self.tried("no grade at all", *grades, value=[])
        self.tried("one grade fewer", *grades, value=FILE["settings"]["service-grades"][:1])
        self.tried("a name twice", *grades, 1, "name", value="a")
        self.tried("an effect unknown", *grades, 0, "effect", value="harmless")
        self.tried("settings a list", "settings", value=[])
        self.tried("a grade no object", *grades, 0, value="a")
        self.close("renewal-forms")


class Renewed(Scene):
    def fails(self, unit: int) -> None:
        """Where it was sent first."""
        sent_to = next(line for line in self.lines if f"unit {unit} -> runner" in line)
        self.end(unit, int(sent_to[-1]), Outcome.ERROR)

    def test_units_in_hand_keep_their_orders(self) -> None:
        self.open(runners=4, effect=Idempotency.IDEMPOTENT)
        old = replace(GRADE)
        new = replace(old, idempotency=Idempotency.NON_IDEMPOTENT)
        self.take(0)
        self.say("the grade becomes once-only, in a row of its own")
        self.told.config_changed(self.now, replace(ORDERS, request_classes=[old, new]))
        self.take(1, grade=1)
        self.fails(0)
        self.fails(1)
        self.say("one dispatch is allowed from here on, also for what was taken before")
        self.take(2)
        self.told.config_changed(self.now, replace(ORDERS, request_classes=[old, new], max_attempts=1))
        self.fails(2)
        self.say("three are allowed again, but not for what was taken meanwhile")
        self.take(3)
        self.told.config_changed(self.now, replace(ORDERS, request_classes=[old, new]))
        self.fails(3)
        self.close("renewal-units")

    def test_what_is_known_of_runners_and_runs_stays(self) -> None:
        self.open(runners=3)
        self.told.state.classes[0].typical_run, self.told.limit.limit = 77.0, 5.0
        self.backends[1].reported_queue, self.backends[2].ejection_time = 4.5, 10_000
        self.told.config_changed(
            self.now,
            replace(
                ORDERS, request_classes=[GRADE, replace(GRADE, deduplication_scope=DeduplicationScope.ZONE)]
            ),
        )
        self.assertEqual(
            ([known.typical_run for known in self.told.state.classes], self.told.limit.limit),
            ([77.0, 500.0 * MS], 5.0),
        )
        self.assertEqual((self.backends[1].reported_queue, self.backends[2].ejection_time), (4.5, 10_000))


class UnderWay(DispatcherTestCase):
    async def test_files_of_every_bad_kind_then_a_good_one(self) -> None:
        sent: list[str] = []

        async def runner(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_request(reader)
                ident = head.lower().partition("x-request-id: ")[2].split()[0]
                sent.append(ident)
                if ident.startswith("fails"):
                    writer.write(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
                    continue
                writer.write(OK)
                if not ident.startswith("held"):
                    await self.send_callback(id=ident, **{"from": "a"}, state="done", result="done")

        await self.begin(runner)
        # Several dispatches to one runner: none fails for want of another to try.
        self.config["settings"]["allowed"]["most-dispatches"] = 3
        lines = await self.start_process(["-O", "-m", "crankfold", "serve"])
        good = copy.deepcopy(self.config)
        before = orjson.dumps(good)
        held = asyncio.create_task(self.send_request("held"))
        await self.until(lambda: sent == ["held"])
        bad = copy.deepcopy(good)
        bad["settings"]["service-grades"].append(
            {"name": "new", "effect": "safe", "cut-off": 0, "expected-time": 1}
        )
        lacks = copy.deepcopy(good)
        del lacks["settings"]["allowed"]["most-dispatches"]
        lacks["settings"]["service-grades"][0]["name"] = "new"
        for broken in (b"", before[:-40], orjson.dumps(bad), orjson.dumps(lacks)):
            await self.renew(broken)
            self.assertEqual(await self.status("new"), "400")
        grades = good["settings"]["service-grades"]
        grades.append({**grades[0], "name": "new", "effect": "unsafe"})
        for _ in range(2):  # and the same again
            await self.renew(orjson.dumps(good))
            self.assertEqual(await self.status("new"), "200")
        self.assertEqual(await self.status("g"), "200")
        self.assertEqual((await self.status("new", "fails-1"), sent.count("fails-1")), ("504", 1))
        good["settings"]["service-grades"] = [{**grades[1], "effect": "safe"}]  # g goes, new runs again
        await self.renew(orjson.dumps(good))
        self.assertEqual(await self.status("g"), "400")
        self.assertEqual(await self.status("new", "fails-2"), "503")
        good["settings"]["service-grades"].append({**grades[0], "effect": "unsafe"})
        await self.renew(orjson.dumps(good))  # g is back with another effect, while one of the old g is open
        self.assertEqual((await self.status("g", "fails-3"), sent.count("fails-3")), ("504", 1))
        await self.send_callback(id="held", **{"from": "a"}, state="done", result="held")
        self.assertEqual((await held)[1], b"held")  # of the dropped grade
        self.process.terminate()
        printed = await lines
        self.assertIn("settings.service-grades[1].cut-off: found 0; expected `float` > 0.0", printed)
        self.assertIn("config-reloads=4 config-reloads-rejected=4", printed)

    async def renew(self, body: bytes) -> None:
        self.config_file.write_bytes(body)
        self.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.1)

    async def status(self, grade: str, ident: str = "") -> str:
        self.asked = getattr(self, "asked", 0) + 1
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(
            f"POST /api HTTP/1.1\r\nHost: b\r\nX-Request-ID: {ident or f'u{self.asked}'}\r\n"
            f"X-Priority-Class: {grade}\r\nX-Timeout: 2\r\nContent-Length: 0\r\n\r\n".encode()
        )
        async with asyncio.timeout(5):
            head, _ = await read_request(reader)
        writer.close()
        return head.split()[1]
