"""The dispatcher as a separate process: starts, signals, reloads and kills, with fake peers."""

import asyncio
import os
import signal
import sys
import tempfile
from functools import partial
from pathlib import Path

import orjson

from tests.fixtures import read_message
from tests.loopback import ACCEPTED, REQUEST, DispatcherTestCase

SERVE = ["-O", "-m", "crankfold", "serve"]


class ProcessTest(DispatcherTestCase):
    async def test_router_exception_fails_its_request_and_serving_continues(self) -> None:
        async def backend(_reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            raise AssertionError("nothing is sent")

        await self.begin(backend)
        program = (
            "import sys; from crankfold.routing.router import Router\n"
            "def raise_error(*arguments): raise ValueError('a bug')\n"
            "Router.request_received = raise_error\n"
            "from crankfold.cli.main import main; main(['serve'])"
        )
        output = await self.start_process(["-O", "-c", program])
        for request_id in ("u1", "u2"):  # responses arrive immediately, not at the deadline of 60 s
            self.assertEqual((await self.send_request(request_id, wait=60))[0].split()[1], "504")
        self.process.terminate()
        log = await output
        self.assertIn("ValueError('a bug')", log)
        self.assertEqual(self.process.returncode, 0, log)

    async def test_sigterm_lets_open_requests_complete_during_drain(self) -> None:
        accepted = asyncio.Queue[str]()

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_message(reader)
                writer.write(ACCEPTED)
                await accepted.put(head.split("\r\n")[0])

        await self.begin(backend)
        self.config["settings"]["service-grades"] = [{"name": "g", "effect": "safe", "cut-off": 1_000_000}]
        output = await self.start_process(SERVE)
        pending = asyncio.create_task(self.send_request("u1"))
        unfinished = asyncio.create_task(self.send_request("u2", wait=9))  # its deadline is after the drain
        for _ in range(2):
            await accepted.get()
        self.process.send_signal(signal.SIGTERM)
        self.process.send_signal(signal.SIGTERM)
        # The process still accepts connections for a moment.
        late = asyncio.create_task(self.send_request("u3"))
        await accepted.get()
        await self.send_callback(id="u3", **{"from": "a"}, state="done", result="3")
        await asyncio.sleep(0.6)  # after that period, callbacks are still received
        await self.send_callback(id="u1", **{"from": "a"}, state="done", result="1")
        for response in (pending, late, unfinished):
            head, body = await response
            self.record(f"{head} {body.decode()}")
        log = await output
        self.assertEqual(self.process.returncode, 0, log)
        counters = dict(pair.split("=") for pair in log.rpartition("counters: ")[2].split())
        self.record(
            " ".join(
                f"{name} {counters.get(name)}"
                for name in (
                    "requests-admitted",
                    "requests-completed",
                    "open-requests",
                )
            )
        )
        self.assert_matches_trace("sigterm")

    async def test_reload_switches_discovery_and_invalid_file_changes_nothing(self) -> None:
        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str) -> None:
            while True:
                request_id = (await read_message(reader))[0].lower().partition("x-request-id: ")[2].split()[0]
                if request_id != "held":
                    await self.send_callback(id=request_id, **{"from": name}, state="done", result=name)
                writer.write(ACCEPTED)
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
        ports = {name: await self.start_fake_server(partial(backend, name=name)) for name in "bc"}
        output = await self.start_process(SERVE)
        pending = asyncio.create_task(self.send_request("held"))
        async with asyncio.timeout(5):
            await sent.wait()
        for name in "bc":
            self.config["settings"]["tick"] += 1
            self.config["discovery"] = (
                f"127.0.0.1:{await self.start_fake_server(partial(discovery, name=name))}"
            )
            for invalid_body in (b"", b'{"listen":', orjson.dumps({**self.config, "discovery": "here"})):
                self.config_file.write_bytes(invalid_body)
                self.process.send_signal(signal.SIGHUP)
                await self.send_request("u0", wait=0.001)  # the signal has been handled once it is answered
            self.config_file.write_bytes(orjson.dumps(self.config))
            self.process.send_signal(signal.SIGHUP)
            self.process.send_signal(signal.SIGHUP)
            await self.until(lambda name=name: f"{name} /v1/servers" in polls)  # type: ignore[misc]
            await self.until(lambda name=name: any(f"{name} /v1/servers?" in poll for poll in polls))  # type: ignore[misc]
            self.assertEqual((await self.send_request(f"u{name}"))[1].decode(), name)
        await self.send_callback(id="held", **{"from": "a"}, state="done", result="held")
        # An open request survives the reload, although its backend is no longer listed.
        self.assertEqual((await pending)[1], b"held")
        self.process.terminate()
        self.process.send_signal(signal.SIGHUP)
        log = await output
        self.assertEqual(self.process.returncode, 0, log)
        self.assertIn("settings.tick differs and waits for a restart", log)
        self.assertIn("the old one stays in force", log)

    async def test_connections_are_accepted_and_persist_after_sigterm_until_final_drain_period(self) -> None:
        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await read_message(reader)
                await self.send_callback(id="u1", **{"from": "a"}, state="done", result="result")
                writer.write(ACCEPTED)

        await self.begin(backend)
        output = await self.start_process(SERVE)
        self.process.terminate()
        await asyncio.sleep(0.2)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        for pause in (1.0, 0.0):  # seconds; the second request comes late in the drain
            writer.write(REQUEST.replace(b"Timeout: 1", b"Timeout: 2"))
            head, body = await read_message(reader)
            self.assertEqual((head.split()[1], body, "Connection: close" in head), ("200", b"result", False))
            await asyncio.sleep(pause)
        self.assertEqual(await reader.read(), b"")  # closed while idle, before the process ends
        self.assertIn("open-requests=0", await output)
        self.assertEqual(self.process.returncode, 0)

    async def test_restart_after_kill_serves_and_acknowledges_old_callbacks(self) -> None:
        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await read_message(reader)
                writer.write(ACCEPTED)
                posted.set()

        posted = asyncio.Event()
        await self.begin(backend)
        first_output = await self.start_process(SERVE)
        lost_request = asyncio.create_task(self.send_request("u1"))
        async with asyncio.timeout(5):
            await posted.wait()
        self.process.kill()
        await first_output
        with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
            await lost_request
        self.config["listen"] = f"127.0.0.1:{self.port}"
        output = await self.start_process(SERVE)
        await self.send_callback(id="u1", **{"from": "a"}, state="done", result="1")
        self.assertTrue(self.lines[-1].endswith(" 204"))
        self.process.terminate()
        self.assertIn("callbacks-unknown-request=1", await output)

    async def test_invalid_configuration_is_reported_in_one_line(self) -> None:
        async def backend(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await reader.read()

        port = await self.start_fake_server(backend)
        await self.begin(backend)
        with tempfile.TemporaryDirectory() as directory:
            for name, body in {
                "none": None,
                "broken": b"{",
                "bare": b'{"listen":"127.0.0.1:0"}',
                "no address": orjson.dumps({**self.config, "listen": "here"}),
                "odd figure": orjson.dumps({**self.config, "settings": {"tick": "x"}}),
                "taken": orjson.dumps({**self.config, "listen": f"127.0.0.1:{port}"}),
            }.items():
                path = Path(directory) / name
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
