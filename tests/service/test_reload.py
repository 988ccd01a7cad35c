"""Reloads of invalid and of valid configuration files by a dispatcher that serves requests."""

import asyncio
import copy
import signal

import orjson

from tests.fixtures import read_message
from tests.loopback import ACCEPTED, DispatcherTestCase


class ConfigReloadTest(DispatcherTestCase):
    async def test_invalid_files_change_nothing_and_valid_ones_apply(self) -> None:
        received: list[str] = []

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_message(reader)
                request_id = head.lower().partition("x-request-id: ")[2].split()[0]
                received.append(request_id)
                if request_id.startswith("fails"):
                    writer.write(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
                    continue
                writer.write(ACCEPTED)
                if not request_id.startswith("held"):
                    await self.send_callback(id=request_id, **{"from": "a"}, state="done", result="done")

        await self.begin(backend)
        # Three attempts, so that no request fails only because there is no other backend to try.
        self.config["settings"]["allowed"]["most-dispatches"] = 3
        output = await self.start_process(["-O", "-m", "crankfold", "serve"])
        valid = copy.deepcopy(self.config)
        valid_body = orjson.dumps(valid)
        pending = asyncio.create_task(self.send_request("held"))
        await self.until(lambda: received == ["held"])
        invalid = copy.deepcopy(valid)
        invalid["settings"]["service-grades"].append(
            {"name": "new", "effect": "safe", "cut-off": 0, "expected-time": 1}
        )
        incomplete = copy.deepcopy(valid)
        del incomplete["settings"]["allowed"]["most-dispatches"]
        incomplete["settings"]["service-grades"][0]["name"] = "new"
        for rejected_body in (b"", valid_body[:-40], orjson.dumps(invalid), orjson.dumps(incomplete)):
            await self.reload(rejected_body)
            self.assertEqual(await self.status("new"), "400")
        request_classes = valid["settings"]["service-grades"]
        request_classes.append({**request_classes[0], "name": "new", "effect": "unsafe"})
        for _ in range(2):  # the second reload has the same document
            await self.reload(orjson.dumps(valid))
            self.assertEqual(await self.status("new"), "200")
        self.assertEqual(await self.status("g"), "200")
        self.assertEqual((await self.status("new", "fails-1"), received.count("fails-1")), ("504", 1))
        # Class "g" is removed, and requests of class "new" may be executed again.
        valid["settings"]["service-grades"] = [{**request_classes[1], "effect": "safe"}]
        await self.reload(orjson.dumps(valid))
        self.assertEqual(await self.status("g"), "400")
        self.assertEqual(await self.status("new", "fails-2"), "503")
        valid["settings"]["service-grades"].append({**request_classes[0], "effect": "unsafe"})
        # "g" is back with another effect while a request of the old "g" is open.
        await self.reload(orjson.dumps(valid))
        self.assertEqual((await self.status("g", "fails-3"), received.count("fails-3")), ("504", 1))
        await self.send_callback(id="held", **{"from": "a"}, state="done", result="held")
        self.assertEqual((await pending)[1], b"held")  # the open request of the removed class
        self.process.terminate()
        log = await output
        self.assertIn("settings.service-grades[1].cut-off: found 0; expected `float` > 0.0", log)
        self.assertIn("config-reloads=4 config-reloads-rejected=4", log)

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
