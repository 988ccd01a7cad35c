"""Real processes that replace one another under load."""

import asyncio
import contextlib
import os
import signal
import socket
import sys
import tempfile

import orjson

from crankfold.service.application import Application
from tests.fixtures import read_message
from tests.loopback import OK, REQUEST, DispatcherTestCase

SERVE = ["-O", "-m", "crankfold", "serve"]


class ReplacementTest(DispatcherTestCase):
    """Real processes that follow one another, between stand-ins."""

    async def start(self) -> None:
        self.sent: list[str] = []

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_message(reader)
                writer.write(OK)
                if head.startswith("DELETE"):
                    continue
                request_id = head.lower().partition("x-request-id: ")[2].split()[0]
                self.sent.append(request_id)
                if not request_id.startswith("held"):
                    await self.send_callback(id=request_id, **{"from": "a"}, state="done", result="done")

        await self.begin(backend)
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.config["listen"] = f"127.0.0.1:{free.getsockname()[1]}"
        self.config["admin_addr"] = "127.0.0.1:0"
        self.folder = self.enterContext(tempfile.TemporaryDirectory())

    async def send_pending(self, *request_ids: str) -> list[asyncio.Task[tuple[str, bytes]]]:
        pending = [asyncio.create_task(self.send_request(request_id)) for request_id in request_ids]
        await self.until(lambda: set(request_ids) <= set(self.sent))
        return pending

    async def finish(self, *request_ids: str) -> None:
        for request_id in request_ids:
            await self.send_callback(id=request_id, **{"from": "a"}, state="done", result=request_id)

    async def load(self, until: asyncio.Event) -> list[str]:
        """Clients that keep their connections and use them until an answer is the last."""
        ends: list[str] = []

        async def client(name: int) -> None:
            n = 0
            while not until.is_set():
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                last = False
                while not last and not until.is_set():
                    n += 1
                    writer.write(REQUEST.replace(b"u1", f"l{name}-{n}".encode()))
                    try:
                        async with asyncio.timeout(5):
                            head, body = await read_message(reader)
                    except (ConnectionError, asyncio.IncompleteReadError):
                        ends.append("lost")
                        break
                    ends.append(f"{head.split()[1]} {body.decode()}")
                    last = "Connection: close" in head
                    await asyncio.sleep(0.005)
                writer.close()

        await asyncio.gather(*(client(name) for name in range(6)))
        return ends

    async def test_another_dispatchers_process_and_records_give_nothing(self) -> None:
        await self.start()
        self.config["name"] = "n0"
        lines = await self.start_process(["-O", "-m", "crankfold", "serve"], self.folder)
        self.assertEqual((await self.call(self.admin_port, "runners/a/offline")).split()[0], "200")

        async def learnt(name: str) -> tuple[bool, bool, list[str]]:
            application = Application({**self.config, "name": name}, lambda: self.config, self.folder)
            handover = application.handover
            assert handover
            welcome = await handover.takeover.connect()
            handover.close()
            return (
                welcome is not None,
                handover.takeover.listening_socket is not None,
                list(application.backend_registry.manual_drains.drained_since),
            )

        self.assertEqual(await learnt("n1"), (False, False, []))
        self.assertEqual(await learnt("n0"), (True, True, ["a"]))
        self.process.kill()
        await lines
        self.assertEqual(await learnt("n1"), (False, False, []))
        self.assertEqual(await learnt("n0"), (False, False, ["a"]))

    async def test_replaced_twice_under_load_nothing_is_lost(self) -> None:
        await self.start()
        ends = await self.start_process(SERVE, self.folder)
        first, first_admin_port = self.process, self.admin_port
        over = asyncio.Event()
        load = asyncio.create_task(self.load(over))
        pending = await self.send_pending("held1", "held2", "held3")
        printed = []
        for _ in range(2):
            old, old_ends = self.process, ends
            ends = await self.start_process(SERVE, self.folder)
            self.assertEqual(await self.call(self.admin_port, "ready", "GET"), "200 ready")
            if old is first:
                self.assertEqual(await self.call(first_admin_port, "ready", "GET"), "503 not ready")
                self.assertEqual(
                    (await self.send_request("held2"))[0].split()[1], "409"
                )  # in hand at the old one
                await self.finish("held1")  # reaches the new one, which does not hold it
                self.assertEqual((await pending[0])[1], b"held1")
            old.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.3)
            if old is first:
                await self.finish("held2", "held3")
                self.assertEqual([(await one)[1] for one in pending[1:]], [b"held2", b"held3"])
            printed.append(await old_ends)
            self.assertEqual(old.returncode, 0, printed[-1])
            self.assertIn("open-requests=0", printed[-1])
        over.set()
        self.assertEqual(set(await load), {"200 done"})
        self.assertEqual(len(self.sent), len(set(self.sent)))  # no second run of any
        self.assertIn("handovers=1", printed[0])
        self.process.terminate()
        await ends
        self.assertEqual(
            sorted(os.listdir(self.folder)),
            sorted(["config.json", *(n for n in os.listdir(self.folder) if n.endswith(".bans"))]),
        )

    async def test_a_ban_outlives_the_process_it_was_called_at(self) -> None:
        await self.start()
        before = await self.start_process(SERVE, self.folder)
        await self.call(self.admin_port, "runners/a/offline")
        old, old_admin_port = self.process, self.admin_port
        after = await self.start_process(SERVE, self.folder)
        self.assertEqual(await self.call(self.admin_port, "ready", "GET"), "503 not ready")
        # Called at either, it binds both.
        for port, other_port in ((old_admin_port, self.admin_port), (self.admin_port, old_admin_port)):
            self.assertEqual(await self.call(port, "runners/a/online"), "200 online")
            self.assertEqual(await self.call(self.admin_port, "ready", "GET"), "200 ready")
            self.assertEqual(await self.call(other_port, "runners/a/offline"), "200 offline")
            self.assertEqual(await self.call(self.admin_port, "ready", "GET"), "503 not ready")
        old.kill()
        await before
        self.process.kill()
        await after
        await self.start_process(SERVE, self.folder)  # nobody is left to tell it
        self.assertEqual((await self.send_request("u1", wait=0.3))[0].split()[1], "503")
        self.assertEqual(await self.call(self.admin_port, "runners/a/online"), "200 online")
        self.assertEqual(((await self.send_request("u2"))[1], self.sent), (b"done", ["u2"]))

    async def test_the_new_one_is_killed_and_the_old_one_goes_on(self) -> None:
        await self.start()
        await self.start_process(SERVE, self.folder)
        old, old_admin_port = self.process, self.admin_port
        pending = await self.send_pending("held1")
        polled = asyncio.Event()

        async def silent(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            polled.set()
            await reader.read()

        usual = self.config["discovery"]
        self.config["discovery"] = f"127.0.0.1:{await self.stand_in(silent)}"
        self.config_file.write_bytes(orjson.dumps(self.config))
        self.config["discovery"] = usual
        early = await asyncio.create_subprocess_exec(
            sys.executable,
            *SERVE,
            stderr=asyncio.subprocess.DEVNULL,
            env={**os.environ, "GW_CONFIG": str(self.config_file), "TMPDIR": self.folder},
        )
        async with asyncio.timeout(5):
            await polled.wait()  # it has met the old one, and waits for a list
        early.kill()
        await early.wait()
        self.assertEqual((await self.send_request("u0"))[1], b"done")
        ends = await self.start_process(SERVE, self.folder)
        self.process.kill()  # after it
        await ends
        async with asyncio.timeout(5):
            while True:
                with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                    if (await self.send_request(f"u{len(self.sent)}"))[1] == b"done":
                        break
        await self.finish("held1")
        self.assertEqual((await pending[0])[1], b"held1")
        self.assertEqual(await self.call(old_admin_port, "ready", "GET"), "200 ready")
        ends = await self.start_process(SERVE, self.folder)  # and it can be replaced again
        old.terminate()
        await old.wait()
        self.assertEqual((await self.send_request("last"))[1], b"done")

    async def test_the_old_one_is_killed_with_units_open(self) -> None:
        await self.start()
        await self.start_process(SERVE, self.folder)
        old = self.process
        pending = await self.send_pending("held1")
        await self.start_process(SERVE, self.folder)
        old.kill()
        with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
            await pending[0]
        await self.finish("held1")  # answered, though nobody holds it
        self.assertTrue(self.lines[-1].endswith(" 204"))
        self.assertEqual((await self.send_request("u1"))[1], b"done")

    async def test_without_an_address_for_operators_nothing_is_left_in_the_folder(self) -> None:
        await self.start()
        del self.config["admin_addr"]
        await self.start_process(SERVE, self.folder)
        self.assertEqual(os.listdir(self.folder), ["config.json"])
        self.assertEqual(orjson.loads(self.config_file.read_bytes())["listen"], self.config["listen"])
