"""Races in a complete dispatcher on real sockets: disconnects, drains, deadlines and signals."""

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
from tests.loopback import ACCEPTED, REQUEST, DispatcherTestCase, Handler


class DispatcherRacesTest(DispatcherTestCase):
    async def begin(self, backend: Handler, effect: str = "safe", **class_settings: Any) -> None:
        await super().begin(backend)
        self.config["settings"]["service-grades"][0].update(effect=effect, **class_settings)

    async def test_request_is_not_sent_if_client_disconnected_before_read(self) -> None:
        async def backend(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            self.record((await read_message(reader))[0].splitlines()[0])

        await self.begin(backend)
        await self.start_in_process()
        client = socket.create_connection(("127.0.0.1", self.port))
        client.sendall(REQUEST)
        client.close()  # in the same iteration of the event loop, so the connection is not accepted yet
        await self.until(lambda: self.application.metrics.counters["clients-closed-before-read"] == 1)
        await self.until(lambda: not self.application.listener.connections)
        self.assertEqual((self.lines, self.application.metrics.counters["attempts"]), ([], 0))

    async def test_request_is_not_sent_if_client_disconnects_while_connecting(self) -> None:
        async def backend(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            self.record((await read_message(reader))[0].splitlines()[0])

        await self.begin(backend)
        await self.start_in_process()
        pool = self.application.backend_registry.records[0].pool
        connect, connected = pool._connect, asyncio.Event()

        async def connect_after_disconnect(exchange: Exchange) -> None:
            pending_response.cancel()
            await self.until(lambda: self.application.metrics.counters["clients-disconnected"] == 1)
            await connect(exchange)
            connected.set()

        pool._connect = connect_after_disconnect  # type: ignore[method-assign]
        pending_response = asyncio.create_task(self.send_request("u1"))
        async with asyncio.timeout(5):
            await connected.wait()
        await asyncio.sleep(0.02)
        self.assertEqual(self.lines, [])
        self.assertEqual(self.application.request_handler.open_request_count(), 0)

    async def test_request_read_after_end_of_drain_is_shed(self) -> None:
        async def backend(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            self.record("request sent to the backend")

        await self.begin(backend)
        await self.start_in_process()
        close_started, may_close = asyncio.Event(), asyncio.Event()

        async def blocked_close() -> None:
            close_started.set()
            await may_close.wait()

        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(REQUEST[:-1])  # the last byte is sent later
        await self.until(
            lambda: any(client.protocol.is_mid_request() for client in self.application.listener.connections)
        )
        with (
            patch.object(self.application.admin_server, "close", blocked_close),
            patch("crankfold.service.shutdown.MAX_DRAIN_DURATION", 0.1),
            patch("crankfold.service.shutdown.DRAIN_MARGIN", 0.0),
        ):
            self.application.shutdown_requested.set()
            await close_started.wait()
            writer.write(REQUEST[-1:])
            head, _ = await read_message(reader)
            may_close.set()
        self.assertEqual((head.split()[1], self.lines), ("503", []))
        self.assertEqual(await reader.read(), b"")
        writer.close()

    async def test_backend_connection_stays_open_during_drain_until_request_ends(self) -> None:
        sent = asyncio.Event()

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(ACCEPTED)
            sent.set()
            await reader.read()

        async def send_callback(state: str, **fields: str) -> str:
            body = orjson.dumps({"id": "u1", "from": "a", "state": state, **fields})
            head = b"POST /v1/job-events HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n"
            writer.write(head % len(body) + body)
            return (await read_message(reader))[0].split()[1]

        await self.begin(backend)
        await self.start_in_process()
        pending_response = asyncio.create_task(self.send_request("u1"))
        await sent.wait()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.assertEqual(await send_callback("started"), "204")
        with (
            patch("crankfold.service.shutdown.MAX_DRAIN_DURATION", 2.0),
            patch("crankfold.service.shutdown.LATE_CONNECTION_PERIOD", 0.0),
        ):
            self.application.shutdown_requested.set()
            await self.until(lambda: self.application.listener.closing)
            # Client connections that are idle for this long are closed.
            await asyncio.sleep(3 * NEW_CONNECTION_GRACE)
            self.assertEqual(await send_callback("done", result="ran"), "204")
            self.assertEqual((await pending_response)[1], b"ran")
        writer.close()

    async def test_retry_is_not_sent_if_deduplication_window_ends_while_connecting(self) -> None:
        async def backend(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            # The connection closes after the read, so the backend may have executed the request.
            self.record((await read_message(reader))[0].splitlines()[0])

        await self.begin(backend, "keyed", group="zone", **{"repeat-window": 300_000})
        await self.start_in_process()
        pool = self.application.backend_registry.records[0].pool
        connect = pool._connect
        connection_count = 0

        async def connect_late(exchange: Exchange) -> None:
            nonlocal connection_count
            connection_count += 1
            if connection_count > 1:
                first = next(iter(self.application.request_handler.request_table.requests.values())).attempts[
                    0
                ]
                await self.until(lambda: self.application.timers.clock.now() > first.created_at + 3000)
            await connect(exchange)

        routing = self.application.request_handler.routing
        with (
            patch.object(pool, "_connect", connect_late),
            patch.object(
                routing.selection.candidates, "_available", lambda *_: routing.state.table.backends[:1]
            ),
            patch("crankfold.service.requests.table.Attempt.was_assigned_connection", lambda _attempt: False),
        ):
            response = await self.send_request("u1")
        self.assertEqual((response[0].split()[1], connection_count, len(self.lines)), ("504", 2, 1))

    async def test_repeated_callback_is_not_treated_as_end_of_second_attempt(self) -> None:
        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            self.record("sent")
            writer.write(ACCEPTED)
            for _ in range(2):  # simulates a backend that did not receive the response to its first callback
                await self.send_callback(id="u1", **{"from": "a"}, state="returned")

        await self.begin(backend, "unsafe")
        await self.start_in_process()
        # 503 and not 504: the backend has reported that it did not execute the request.
        self.assertEqual((await self.send_request("u1"))[0].split()[1], "503")
        self.assertEqual(self.lines.count("sent"), 1)

    async def status_if_connection_is_lost(self, callback_first: bool) -> str:
        """Sends a non-idempotent request whose backend connection is aborted; returns the response status.

        The backend reports the completion before it aborts the connection, or after the request failed.
        """
        connection_lost = asyncio.Event()

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            if callback_first:
                await self.send_callback(id="u1", **{"from": "a"}, state="done", result="ran")
            writer.transport.abort()
            connection_lost.set()

        await self.begin(backend, "unsafe")
        await self.start_in_process()
        pending_response = asyncio.create_task(self.send_request("u1"))
        await connection_lost.wait()
        if not callback_first:
            await self.until(lambda: self.application.metrics.counters["requests-failed"] == 1)
            await self.send_callback(id="u1", **{"from": "a"}, state="done", result="ran")
        response = await pending_response
        self.assertEqual(self.application.metrics.counters["attempts"], 1)
        return response[0].split()[1]

    async def test_callback_before_connection_is_lost_completes_request(self) -> None:
        self.assertEqual(await self.status_if_connection_is_lost(True), "200")

    async def test_callback_after_connection_was_lost_changes_nothing(self) -> None:
        self.assertEqual(await self.status_if_connection_is_lost(False), "504")

    async def test_process_stopped_before_serving_accepts_no_connection(self) -> None:
        async def backend(_reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            raise AssertionError("nothing is sent")

        await self.begin(backend)
        application = Application(self.config, lambda: self.config)
        application.shutdown_requested.set()
        with patch.object(application.listener, "open") as open_listener:
            async with asyncio.timeout(5):
                await application.run()
        self.assertFalse(open_listener.called)

    async def test_reload_signal_during_import_is_not_lost(self) -> None:
        async def backend(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await read_message(reader)

        await self.begin(backend)
        program = (
            "import os, runpy, signal, sys\n"
            "class SignalOnImport:\n"
            "    def find_spec(self, name, path=None, target=None):\n"
            "        if name == 'crankfold.cli.main': os.kill(os.getpid(), signal.SIGHUP)\n"
            "sys.meta_path.insert(0, SignalOnImport())\n"
            "sys.argv = ['crankfold', 'serve']\n"
            "runpy.run_module('crankfold', run_name='__main__')"
        )
        output = await self.start_process(["-O", "-c", program])
        self.process.send_signal(signal.SIGTERM)
        log = await output
        self.assertEqual(self.process.returncode, 0, log)
        self.assertIn("config-reloads=1", log)

    async def test_idle_clients_leave_descriptors_for_discovery_and_backends(self) -> None:
        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_message(reader)
                request_id = head.lower().partition("x-request-id: ")[2].partition("\r\n")[0]
                await self.send_callback(id=request_id, **{"from": "a"}, state="done", result="done")
                writer.write(ACCEPTED)

        discovery_restored = asyncio.Event()

        async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            responds = discovery_restored.is_set()
            await read_message(reader)
            if responds:
                body = orjson.dumps({**self.discovery_answer(), "rev": 9})
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await reader.read()

        await self.begin(backend)
        self.config |= {
            "discovery": f"127.0.0.1:{await self.start_fake_server(discovery)}",
            "limits": {"sockets": 128},
        }
        self.config["known"]["targets"][0]["uid"] = "gone"
        program = (
            "import resource; resource.setrlimit(resource.RLIMIT_NOFILE, (128, 128))\n"
            "from crankfold.cli.main import main; main(['serve'])"
        )
        output = await self.start_process(["-O", "-c", program])
        idle_connections = [socket.create_connection(("127.0.0.1", self.port)) for _ in range(400)]
        await asyncio.sleep(0.3)
        discovery_restored.set()
        async with asyncio.timeout(6):
            while (await self.send_request("u1"))[1] != b"done":  # noqa: ASYNC110 - each iteration sends a request
                await asyncio.sleep(0.05)
        for connection in idle_connections:
            connection.close()
        self.process.terminate()
        log = await output
        self.assertEqual((self.process.returncode, "failures=" in log), (0, False), log)

    async def test_failed_first_discovery_call_does_not_end_wait_for_endpoint_list(self) -> None:
        async def backend(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            self.record("request sent to a backend that is draining in the endpoint list")

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
        self.config["discovery"] = f"127.0.0.1:{await self.start_fake_server(discovery)}"
        # On a busy machine the second call comes late.
        with patch("crankfold.service.application.FIRST_LIST_TIMEOUT", 5.0):
            await self.start_in_process()
        self.assertEqual(((await self.send_request("u1", wait=0.2))[0].split()[1], self.lines), ("503", []))

    async def test_unsent_request_is_shed_at_deadline_even_if_router_timer_is_late(self) -> None:
        async def backend(_reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            raise AssertionError("nothing is sent")

        await self.begin(backend)
        self.backend_state = "terminating"
        self.config["known"] = self.discovery_answer()
        await self.start_in_process()
        with patch.object(self.application.request_handler.routing, "timer_fired", lambda _now, _token: None):
            self.assertEqual((await self.send_request("u1", wait=0.1))[0].split()[1], "503")
        self.assertEqual(self.application.metrics.counters["requests-open-at-deadline"], 1)

    async def test_longest_deadline_in_force_limits_drain(self) -> None:
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
