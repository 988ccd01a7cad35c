"""Races in a whole dispatcher: clients that disconnect, drains, deadlines and signals, on real sockets."""

import asyncio
import signal
import socket
from typing import Any
from unittest.mock import patch

import orjson

from crankfold.network.accepted_connection import NEW_CONNECTION_GRACE
from crankfold.network.exchange import Exchange
from crankfold.service.application import Application
from tests.fixtures import read_message
from tests.loopback import OK, REQUEST, DispatcherTestCase, Handler


class DispatcherCrossings(DispatcherTestCase):
    async def begin(self, backend: Handler, effect: str = "safe", **more: Any) -> None:
        await super().begin(backend)
        self.config["settings"]["service-grades"][0].update(effect=effect, **more)

    async def test_a_client_that_disconnected_before_it_was_read_has_nothing_sent(self) -> None:
        async def backend(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            self.record((await read_message(reader))[0].splitlines()[0])

        await self.begin(backend)
        await self.start_in_process()
        client = socket.create_connection(("127.0.0.1", self.port))
        client.sendall(REQUEST)
        client.close()  # all in one turn: nobody accepted it so far
        await self.until(lambda: self.application.metrics.counters["clients-closed-before-read"] == 1)
        await self.until(lambda: not self.application.listener.connections)
        self.assertEqual((self.lines, self.application.metrics.counters["attempts"]), ([], 0))

    async def test_a_client_that_disconnects_while_its_request_waits_for_a_connection_has_nothing_sent(
        self,
    ) -> None:
        async def backend(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            self.record((await read_message(reader))[0].splitlines()[0])

        await self.begin(backend)
        await self.start_in_process()
        pool = self.application.backend_registry.records[0].pool
        opening, up = pool._connect, asyncio.Event()

        async def late(exchange: Exchange) -> None:
            pending_response.cancel()
            await self.until(lambda: self.application.metrics.counters["clients-disconnected"] == 1)
            await opening(exchange)
            up.set()

        pool._connect = late  # type: ignore[method-assign]
        pending_response = asyncio.create_task(self.send_request("u1"))
        async with asyncio.timeout(5):
            await up.wait()
        await asyncio.sleep(0.02)
        self.assertEqual(self.lines, [])
        self.assertEqual(self.application.request_handler.open_request_count(), 0)

    async def test_a_request_read_after_the_last_responses_is_shed_and_not_forwarded(self) -> None:
        async def backend(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            self.record("sent on")

        await self.begin(backend)
        await self.start_in_process()
        ended, may_finish = asyncio.Event(), asyncio.Event()

        async def blocked_close() -> None:
            ended.set()
            await may_finish.wait()

        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(REQUEST[:-1])  # its last byte is still under way
        await self.until(
            lambda: any(client.protocol.is_mid_request() for client in self.application.listener.connections)
        )
        with (
            patch.object(self.application.admin_server, "close", blocked_close),
            patch("crankfold.service.shutdown.MAX_DRAIN_DURATION", 0.1),
            patch("crankfold.service.shutdown.DRAIN_MARGIN", 0.0),
        ):
            self.application.shutdown_requested.set()
            await ended.wait()
            writer.write(REQUEST[-1:])
            head, _ = await read_message(reader)
            may_finish.set()
        self.assertEqual((head.split()[1], self.lines), ("503", []))
        self.assertEqual(await reader.read(), b"")
        writer.close()

    async def test_a_backends_connection_stays_through_a_drain_until_its_request_has_ended(self) -> None:
        sent = asyncio.Event()

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(OK)
            sent.set()
            await reader.read()

        async def back(state: str, **more: str) -> str:
            body = orjson.dumps({"id": "u1", "from": "a", "state": state, **more})
            head = b"POST /v1/job-events HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n"
            writer.write(head % len(body) + body)
            return (await read_message(reader))[0].split()[1]

        await self.begin(backend)
        await self.start_in_process()
        pending_response = asyncio.create_task(self.send_request("u1"))
        await sent.wait()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.assertEqual(await back("started"), "204")
        with (
            patch("crankfold.service.shutdown.MAX_DRAIN_DURATION", 2.0),
            patch("crankfold.service.shutdown.LATE_CONNECTION_PERIOD", 0.0),
        ):
            self.application.shutdown_requested.set()
            await self.until(lambda: self.application.listener.closing)
            await asyncio.sleep(3 * NEW_CONNECTION_GRACE)  # what is at rest for so long is closed
            self.assertEqual(await back("done", result="ran"), "204")
            self.assertEqual((await pending_response)[1], b"ran")
        writer.close()

    async def test_a_deduplication_window_that_ends_while_connecting_holds_a_request_with_key_back(
        self,
    ) -> None:
        async def backend(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            self.record((await read_message(reader))[0].splitlines()[0])  # and breaks: it may have run

        await self.begin(backend, "keyed", group="zone", **{"repeat-window": 300_000})
        await self.start_in_process()
        pool = self.application.backend_registry.records[0].pool
        opening = pool._connect
        opened = 0

        async def late(exchange: Exchange) -> None:
            nonlocal opened
            opened += 1
            if opened > 1:
                first = next(iter(self.application.request_handler.request_table.requests.values())).attempts[
                    0
                ]
                await self.until(lambda: self.application.timers.clock.now() > first.created_at + 3000)
            await opening(exchange)

        routing = self.application.request_handler.routing
        with (
            patch.object(pool, "_connect", late),
            patch.object(
                routing.selection.candidates, "_available", lambda *_: routing.state.table.backends[:1]
            ),
            patch("crankfold.service.requests.table.Attempt.was_assigned_connection", lambda _attempt: False),
        ):
            answer = await self.send_request("u1")
        self.assertEqual((answer[0].split()[1], opened, len(self.lines)), ("504", 2, 1))

    async def test_an_end_reported_twice_is_not_taken_for_that_of_a_second_attempt(self) -> None:
        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            self.record("sent")
            writer.write(OK)
            for _ in range(2):  # as if the first telling's answer had been lost
                await self.send_callback(id="u1", **{"from": "a"}, state="returned")

        await self.begin(backend, "unsafe")
        await self.start_in_process()
        self.assertEqual((await self.send_request("u1"))[0].split()[1], "503")  # known not to have run
        self.assertEqual(self.lines.count("sent"), 1)

    async def beside(self, callback_first: bool) -> str:
        """A once-only unit whose dispatch breaks, and the call-back of its end; how it was answered."""
        broken = asyncio.Event()

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            if callback_first:
                await self.send_callback(id="u1", **{"from": "a"}, state="done", result="ran")
            writer.transport.abort()
            broken.set()

        await self.begin(backend, "unsafe")
        await self.start_in_process()
        pending_response = asyncio.create_task(self.send_request("u1"))
        await broken.wait()
        if not callback_first:
            await self.until(lambda: self.application.metrics.counters["requests-failed"] == 1)
            await self.send_callback(id="u1", **{"from": "a"}, state="done", result="ran")
        answer = await pending_response
        self.assertEqual(self.application.metrics.counters["attempts"], 1)
        return answer[0].split()[1]

    async def test_an_end_reported_before_its_attempt_breaks_counts(self) -> None:
        self.assertEqual(await self.beside(True), "200")

    async def test_an_end_reported_after_its_attempt_broke_changes_nothing(self) -> None:
        self.assertEqual(await self.beside(False), "504")

    async def test_ended_before_it_serves_it_accepts_nobody(self) -> None:
        async def backend(_reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            raise AssertionError("nothing is sent")

        await self.begin(backend)
        node = Application(self.config, lambda: self.config)
        node.shutdown_requested.set()
        with patch.object(node.listener, "open") as opened:
            async with asyncio.timeout(5):
                await node.run()
        self.assertFalse(opened.called)

    async def test_a_reload_signal_before_the_program_is_imported_is_not_lost(self) -> None:
        async def backend(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await read_message(reader)

        await self.begin(backend)
        program = (
            "import os, runpy, signal, sys\n"
            "class Early:\n"
            "    def find_spec(self, name, path=None, target=None):\n"
            "        if name == 'crankfold.cli.main': os.kill(os.getpid(), signal.SIGHUP)\n"
            "sys.meta_path.insert(0, Early())\n"
            "sys.argv = ['crankfold', 'serve']\n"
            "runpy.run_module('crankfold', run_name='__main__')"
        )
        lines = await self.start_process(["-O", "-c", program])
        self.process.send_signal(signal.SIGTERM)
        printed = await lines
        self.assertEqual(self.process.returncode, 0, printed)
        self.assertIn("config-reloads=1", printed)

    async def test_idle_clients_fill_the_descriptors_while_discovery_is_down(self) -> None:
        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_message(reader)
                request_id = head.lower().partition("x-request-id: ")[2].partition("\r\n")[0]
                await self.send_callback(id=request_id, **{"from": "a"}, state="done", result="done")
                writer.write(OK)

        back = asyncio.Event()

        async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            answers = back.is_set()
            await read_message(reader)
            if answers:
                body = orjson.dumps({**self.discovery_answer(), "rev": 9})
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await reader.read()

        await self.begin(backend)
        self.config |= {
            "discovery": f"127.0.0.1:{await self.stand_in(discovery)}",
            "limits": {"sockets": 128},
        }
        self.config["known"]["targets"][0]["uid"] = "gone"
        program = (
            "import resource; resource.setrlimit(resource.RLIMIT_NOFILE, (128, 128))\n"
            "from crankfold.cli.main import main; main(['serve'])"
        )
        lines = await self.start_process(["-O", "-c", program])
        idle = [socket.create_connection(("127.0.0.1", self.port)) for _ in range(400)]
        await asyncio.sleep(0.3)
        back.set()
        async with asyncio.timeout(6):
            while (await self.send_request("u1"))[1] != b"done":  # noqa: ASYNC110 - each turn asks again
                await asyncio.sleep(0.05)
        for one in idle:
            one.close()
        self.process.terminate()
        printed = await lines
        self.assertEqual((self.process.returncode, "failures=" in printed), (0, False), printed)

    async def test_a_first_discovery_call_that_breaks_does_not_end_the_wait_for_the_list(self) -> None:
        async def backend(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            self.record("sent to a runner that discovery has as draining")

        calls = 0

        async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal calls
            calls += 1
            await read_message(reader)
            if calls == 1:
                return
            self.backend_state = "terminating"
            body = orjson.dumps(self.discovery_answer())
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await reader.read()

        await self.begin(backend)
        self.config["discovery"] = f"127.0.0.1:{await self.stand_in(discovery)}"
        with patch(
            "crankfold.service.application.FIRST_LIST_TIMEOUT", 5.0
        ):  # on a busy machine the second call is late
            await self.start_in_process()
        self.assertEqual(((await self.send_request("u1", wait=0.2))[0].split()[1], self.lines), ("503", []))

    async def test_a_deadline_before_the_routing_timer_fired_sheds_what_was_never_sent(self) -> None:
        async def backend(_reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            raise AssertionError("nothing is sent")

        await self.begin(backend)
        self.backend_state = "terminating"
        self.config["known"] = self.discovery_answer()
        await self.start_in_process()
        with patch.object(self.application.request_handler.routing, "timer_fired", lambda _now, _label: None):
            self.assertEqual((await self.send_request("u1", wait=0.1))[0].split()[1], "503")
        self.assertEqual(self.application.metrics.counters["requests-open-at-deadline"], 1)

    async def test_the_request_classes_in_force_bound_the_drain(self) -> None:
        async def backend(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await read_message(reader)

        await self.begin(backend)
        await self.start_in_process()
        request_class = {"name": "h", "effect": "safe", "cut-off": 500_000, "expected-time": 100_000}
        self.config = {
            **self.config,
            "settings": {**self.config["settings"], "service-grades": [request_class]},
        }
        self.application.reloader.reload()
        self.assertEqual(self.application.config_applier.longest_deadline, 0.5)
