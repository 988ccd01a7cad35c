"""The dispatcher as a process of its own: starts, signals, reloads and kills, between stand-ins."""

import asyncio
import os
import signal
import sys
import tempfile
from functools import partial
from pathlib import Path

import orjson

from tests.fixtures import read_message
from tests.loopback import OK, REQUEST, DispatcherTestCase

SERVE = ["-O", "-m", "crankfold", "serve"]


class ProcessTest(DispatcherTestCase):
    async def test_an_exception_in_the_routing_fails_the_request_in_hand_and_serving_goes_on(self) -> None:
        async def backend(_reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            raise AssertionError("nothing is sent")

        await self.begin(backend)
        program = (
            "import sys; from crankfold.routing.router import Router\n"
            "def broken(*told): raise ValueError('a bug')\n"
            "Router.request_received = broken\n"
            "from crankfold.cli.main import main; main(['serve'])"
        )
        lines = await self.start_process(["-O", "-c", program])
        for request_id in ("u1", "u2"):  # at once, not when their time is up
            self.assertEqual((await self.send_request(request_id, wait=60))[0].split()[1], "504")
        self.process.terminate()
        printed = await lines
        self.assertIn("ValueError('a bug')", printed)
        self.assertEqual(self.process.returncode, 0, printed)

    async def test_sigterm_with_requests_in_hand(self) -> None:
        accepted = asyncio.Queue[str]()

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_message(reader)
                writer.write(OK)
                await accepted.put(head.split("\r\n")[0])

        await self.begin(backend)
        self.config["settings"]["service-grades"] = [{"name": "g", "effect": "safe", "cut-off": 1_000_000}]
        lines = await self.start_process(SERVE)
        pending = asyncio.create_task(self.send_request("u1"))
        never = asyncio.create_task(self.send_request("u2", wait=9))  # the drain ends before its time is up
        for _ in range(2):
            await accepted.get()
        self.process.send_signal(signal.SIGTERM)
        self.process.send_signal(signal.SIGTERM)
        late = asyncio.create_task(self.send_request("u3"))  # connections still come for a moment
        await accepted.get()
        await self.send_callback(id="u3", **{"from": "a"}, state="done", result="3")
        await asyncio.sleep(0.6)  # past the moment: call-backs are received all the same
        await self.send_callback(id="u1", **{"from": "a"}, state="done", result="1")
        for response in (pending, late, never):
            head, body = await response
            self.record(f"{head} {body.decode()}")
        printed = await lines
        self.assertEqual(self.process.returncode, 0, printed)
        counted = dict(pair.split("=") for pair in printed.rpartition("counters: ")[2].split())
        self.record(
            " ".join(
                f"{name} {counted.get(name)}"
                for name in (
                    "requests-admitted",
                    "requests-completed",
                    "open-requests",
                )
            )
        )
        self.assert_matches_trace("sigterm")

    async def test_a_reload_switches_the_watch_and_an_unusable_file_changes_nothing(self) -> None:
        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str) -> None:
            while True:
                request_id = (await read_message(reader))[0].lower().partition("x-request-id: ")[2].split()[0]
                if request_id != "held":
                    await self.send_callback(id=request_id, **{"from": name}, state="done", result=name)
                writer.write(OK)
                sent.set()

        async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str) -> None:
            while True:
                polls.append(f"{name} {(await read_message(reader))[0].split()[1]}")
                if "after=" in polls[-1]:
                    await reader.read()
                entry = {"uid": name, "endpoint": f"127.0.0.1:{ports[name]}", "state": "in_service"}
                body = orjson.dumps({"rev": 3, "all": True, "targets": [entry]})
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

        polls: list[str] = []
        sent = asyncio.Event()
        await self.begin(partial(backend, name="a"))
        ports = {name: await self.stand_in(partial(backend, name=name)) for name in "bc"}
        lines = await self.start_process(SERVE)
        pending = asyncio.create_task(self.send_request("held"))
        async with asyncio.timeout(5):
            await sent.wait()
        for name in "bc":
            self.config["settings"]["tick"] += 1
            self.config["discovery"] = f"127.0.0.1:{await self.stand_in(partial(discovery, name=name))}"
            for broken in (b"", b'{"listen":', orjson.dumps({**self.config, "discovery": "here"})):
                self.config_file.write_bytes(broken)
                self.process.send_signal(signal.SIGHUP)
                await self.send_request("u0", wait=0.001)  # read by now
            self.config_file.write_bytes(orjson.dumps(self.config))
            self.process.send_signal(signal.SIGHUP)
            self.process.send_signal(signal.SIGHUP)
            await self.until(lambda name=name: f"{name} /v1/servers" in polls)  # type: ignore[misc]
            await self.until(lambda name=name: any(f"{name} /v1/servers?" in poll for poll in polls))  # type: ignore[misc]
            self.assertEqual((await self.send_request(f"u{name}"))[1].decode(), name)
        await self.send_callback(id="held", **{"from": "a"}, state="done", result="held")
        self.assertEqual((await pending)[1], b"held")  # a unit in hand outlives it, though its runner is gone
        self.process.terminate()
        self.process.send_signal(signal.SIGHUP)
        printed = await lines
        self.assertEqual(self.process.returncode, 0, printed)
        self.assertIn("settings.tick differs and waits for a restart", printed)
        self.assertIn("the old one stays in force", printed)

    async def test_after_sigterm_connections_are_accepted_and_kept_until_the_final_drain_period(self) -> None:
        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await read_message(reader)
                await self.send_callback(id="u1", **{"from": "a"}, state="done", result="result")
                writer.write(OK)

        await self.begin(backend)
        lines = await self.start_process(SERVE)
        self.process.terminate()
        await asyncio.sleep(0.2)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        for pause in (1.0, 0.0):  # the second when others would have closed long since
            writer.write(REQUEST.replace(b"Timeout: 1", b"Timeout: 2"))
            head, body = await read_message(reader)
            self.assertEqual((head.split()[1], body, "Connection: close" in head), ("200", b"result", False))
            await asyncio.sleep(pause)
        self.assertEqual(await reader.read(), b"")  # closed at rest, before the end
        self.assertIn("open-requests=0", await lines)
        self.assertEqual(self.process.returncode, 0)

    async def test_killed_and_started_again_it_serves_and_takes_old_callbacks(self) -> None:
        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await read_message(reader)
                writer.write(OK)
                posted.set()

        posted = asyncio.Event()
        await self.begin(backend)
        before = await self.start_process(SERVE)
        lost = asyncio.create_task(self.send_request("u1"))
        async with asyncio.timeout(5):
            await posted.wait()
        self.process.kill()
        await before
        with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
            await lost
        self.config["listen"] = f"127.0.0.1:{self.port}"
        lines = await self.start_process(SERVE)
        await self.send_callback(id="u1", **{"from": "a"}, state="done", result="1")
        self.assertTrue(self.lines[-1].endswith(" 204"))
        self.process.terminate()
        self.assertIn("callbacks-unknown-request=1", await lines)

    async def test_a_configuration_it_cannot_start_from_is_reported_in_one_line(self) -> None:
        async def backend(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await reader.read()

        port = await self.stand_in(backend)
        await self.begin(backend)
        with tempfile.TemporaryDirectory() as folder:
            for name, body in {
                "none": None,
                "broken": b"{",
                "bare": b'{"listen":"127.0.0.1:0"}',
                "no address": orjson.dumps({**self.config, "listen": "here"}),
                "odd figure": orjson.dumps({**self.config, "settings": {"tick": "x"}}),
                "taken": orjson.dumps({**self.config, "listen": f"127.0.0.1:{port}"}),
            }.items():
                path = Path(folder) / name
                if body is not None:
                    path.write_bytes(body)
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "crankfold",
                    "serve",
                    stderr=asyncio.subprocess.PIPE,
                    env={**os.environ, "GW_CONFIG": str(path)},
                )
                _, errors = await process.communicate()
                self.assertEqual((process.returncode, errors.count(b"\n")), (1, 1), f"{name}: {errors!r}")
