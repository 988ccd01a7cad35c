"""Configuration files of every bad kind and then a good one, read while a dispatcher serves."""

import asyncio
import copy
import signal

import orjson

from tests.fixtures import read_message
from tests.loopback import OK, DispatcherTestCase


class ReloadTest(DispatcherTestCase):
    async def test_files_of_every_bad_kind_then_a_good_one(self) -> None:
        sent: list[str] = []

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_message(reader)
                request_id = head.lower().partition("x-request-id: ")[2].split()[0]
                sent.append(request_id)
                if request_id.startswith("fails"):
                    writer.write(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
                    continue
                writer.write(OK)
                if not request_id.startswith("held"):
                    await self.send_callback(id=request_id, **{"from": "a"}, state="done", result="done")

        await self.begin(backend)
        # Several dispatches to one runner: none fails for want of another to try.
        self.config["settings"]["allowed"]["most-dispatches"] = 3
        lines = await self.start_process(["-O", "-m", "crankfold", "serve"])
        good = copy.deepcopy(self.config)
        before = orjson.dumps(good)
        pending = asyncio.create_task(self.send_request("held"))
        await self.until(lambda: sent == ["held"])
        bad = copy.deepcopy(good)
        bad["settings"]["service-grades"].append(
            {"name": "new", "effect": "safe", "cut-off": 0, "expected-time": 1}
        )
        incomplete = copy.deepcopy(good)
        del incomplete["settings"]["allowed"]["most-dispatches"]
        incomplete["settings"]["service-grades"][0]["name"] = "new"
        for broken in (b"", before[:-40], orjson.dumps(bad), orjson.dumps(incomplete)):
            await self.reload(broken)
            self.assertEqual(await self.status("new"), "400")
        request_classes = good["settings"]["service-grades"]
        request_classes.append({**request_classes[0], "name": "new", "effect": "unsafe"})
        for _ in range(2):  # and the same again
            await self.reload(orjson.dumps(good))
            self.assertEqual(await self.status("new"), "200")
        self.assertEqual(await self.status("g"), "200")
        self.assertEqual((await self.status("new", "fails-1"), sent.count("fails-1")), ("504", 1))
        good["settings"]["service-grades"] = [
            {**request_classes[1], "effect": "safe"}
        ]  # g goes, new runs again
        await self.reload(orjson.dumps(good))
        self.assertEqual(await self.status("g"), "400")
        self.assertEqual(await self.status("new", "fails-2"), "503")
        good["settings"]["service-grades"].append({**request_classes[0], "effect": "unsafe"})
        await self.reload(orjson.dumps(good))  # g is back with another effect, while one of the old g is open
        self.assertEqual((await self.status("g", "fails-3"), sent.count("fails-3")), ("504", 1))
        await self.send_callback(id="held", **{"from": "a"}, state="done", result="held")
        self.assertEqual((await pending)[1], b"held")  # of the dropped grade
        self.process.terminate()
        printed = await lines
        self.assertIn("settings.service-grades[1].cut-off: found 0; expected `float` > 0.0", printed)
        self.assertIn("config-reloads=4 config-reloads-rejected=4", printed)

    async def reload(self, body: bytes) -> None:
        self.config_file.write_bytes(body)
        self.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.1)

    async def status(self, request_class: str, request_id: str = "") -> str:
        self.request_count = getattr(self, "request_count", 0) + 1
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(
            f"POST /api HTTP/1.1\r\nHost: b\r\nX-Request-ID: {request_id or f'u{self.request_count}'}\r\n"
            f"X-Priority-Class: {request_class}\r\nX-Timeout: 2\r\nContent-Length: 0\r\n\r\n".encode()
        )
        async with asyncio.timeout(5):
            head, _ = await read_message(reader)
        writer.close()
        return head.split()[1]
