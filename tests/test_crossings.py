"""Two events that cross, forced on real sockets: a byte is held back until the other event has happened."""

import asyncio
import contextlib
import signal
import socket
from dataclasses import replace
from typing import Any
from unittest.mock import Mock, patch

import orjson

from crankfold.config.parser import read_service_config
from crankfold.network.accepted_connection import MAX_UNREAD_BYTES, NEW_CONNECTION_GRACE
from crankfold.network.connection_pool import ConnectionLimiter, ConnectionPool
from crankfold.network.discovery_watcher import CONNECT_TIMEOUT
from crankfold.network.exchange import Exchange, ExchangeResult
from crankfold.network.listener import Listener
from crankfold.network.metrics import Metrics
from crankfold.network.pooled_connection import REUSE_COOLDOWN, PooledConnection
from crankfold.protocol.backend_connection import BackendConnection
from crankfold.routing.interface import POLL_TIMER, Idempotency
from crankfold.service.application import Application
from crankfold.service.requests.classes import RequestClassTable
from crankfold.time_units import TICKS_PER_SECOND
from tests.loopback import NEVER_RAN, OK, UNIT, DispatcherTestCase, Handler, Loopback, accepting
from tests.scene import GRADE, ORDERS, Scene, read_request


class ConnectionPoolCrossings(Loopback):
    async def begin(self, handler: Handler) -> None:
        self.ends: list[str] = []
        self.links: list[asyncio.StreamWriter] = []

        async def kept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.links.append(writer)
            await handler(reader, writer)

        self.metrics = Metrics()
        self.pool = ConnectionPool(
            "127.0.0.1", await self.stand_in(kept), ConnectionLimiter(9, 0.25, 5.0, self.metrics)
        )
        self.addCleanup(self.pool.close)

    def send(self, body: bytes = b"x", needs_cooldown: bool = True) -> Exchange:
        def on_end(result: ExchangeResult, protocol: BackendConnection | None) -> None:
            self.ends.append(f"{result.value} {protocol.status if protocol else ''}")

        exchange = Exchange(
            b"POST",
            b"/api",
            lambda: [(b"Host", b"b")],
            body,
            may_send=lambda: True,
            on_end=on_end,
            needs_cooldown=needs_cooldown,
        )
        self.pool.send(exchange)
        return exchange

    async def test_bytes_unread_when_a_connection_is_reused_answer_nothing(self) -> None:
        await self.begin(accepting)
        for unasked in (NEVER_RAN, b"HTTP/1.1 503 Serv"):
            self.ends.clear()
            self.send()
            await self.until(lambda: len(self.ends) == 1)
            await asyncio.sleep(1.2 * REUSE_COOLDOWN)
            (connection,) = self.pool.idle_connections
            self.links[-1].write(unasked)  # with the system by now, and in this turn nobody reads it
            second = self.send()
            await self.until(lambda: len(self.ends) == 2)
            self.assertEqual(self.ends, ["answered 202"] * 2)
            self.assertIsNot(second.connection, connection)
            await asyncio.sleep(1.2 * REUSE_COOLDOWN)

    async def test_bytes_read_but_not_processed_when_a_connection_is_reused_answer_nothing(self) -> None:
        await self.begin(accepting)
        self.send()
        await self.until(lambda: len(self.ends) == 1)
        await asyncio.sleep(1.2 * REUSE_COOLDOWN)
        (connection,) = self.pool.idle_connections
        connection.reader.feed_data(NEVER_RAN)  # as the loop does before it calls what comes in this turn
        self.send()
        await self.until(lambda: len(self.ends) == 2)
        self.assertEqual(self.ends, ["answered 202"] * 2)

    async def test_a_second_response_some_milliseconds_late_answers_nothing(self) -> None:
        asked: list[int] = []
        told_twice = asyncio.Event()

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            n = len(self.links)
            while True:
                await read_request(reader)
                asked.append(n)
                if len(asked) == 2:
                    self.links[0].write(NEVER_RAN)  # of the first, while the second is being worked on
                    await told_twice.wait()
                writer.write(OK)

        await self.begin(backend)
        self.send()
        await self.until(lambda: len(self.ends) == 1)
        self.send()  # at once: the connection has hardly come to rest
        await self.until(lambda: len(asked) == 2)
        await self.until(lambda: self.metrics.counters["backend-unsolicited-data"] == 1)
        told_twice.set()
        await self.until(lambda: len(self.ends) == 2)
        self.assertEqual((asked, self.ends), ([1, 2], ["answered 202"] * 2))
        self.send(needs_cooldown=False)  # what carries no unit waits for nothing
        await self.until(lambda: len(self.ends) == 3)
        self.assertEqual(asked, [1, 2, 2])

    async def test_a_response_that_breaks_off_says_only_that_the_request_was_accepted(self) -> None:
        answers: list[tuple[bytes, str]] = [
            (NEVER_RAN.replace(b"Length: 0", b"Length: 9") + b"half", "broken 503"),
            (
                NEVER_RAN.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked") + b"zz\r\n",
                "broken 503",
            ),
            (b"HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\nhalf", "answered 202"),
            (b"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "answered 202"),
            (b"HTTP/1.1 202 Acc", "broken 0"),
            (NEVER_RAN.replace(b"Length: 0", b"Length: 900000") + b"x" * 900_000, "broken 503"),
        ]

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_request(reader)
            writer.write(answers[len(self.ends)][0])
            await writer.drain()
            writer.write_eof()
            await reader.read()

        await self.begin(backend)
        for n in range(len(answers)):
            self.send()
            await self.until(lambda n=n: len(self.ends) > n)  # type: ignore[misc]
        self.assertEqual(self.ends, [ending for _, ending in answers])

    async def test_an_exchange_aborted_while_it_is_written_never_arrives(self) -> None:
        called_off, came = asyncio.Event(), asyncio.get_running_loop().create_future()

        async def backend(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await called_off.wait()
            with contextlib.suppress(ConnectionError):
                came.set_result(len(await reader.read(-1)))

        await self.begin(backend)
        exchange = self.send(b"x" * 30_000_000)
        await self.until(lambda: exchange.connection is not None)
        assert isinstance(exchange.connection, PooledConnection)
        self.assertFalse(exchange.connection.request_written)
        exchange.abort()
        called_off.set()
        async with asyncio.timeout(9):
            self.assertLess(await came, 30_000_000)

    async def test_a_break_in_the_loop_iteration_in_which_the_last_byte_left_may_have_executed(self) -> None:
        async def backend(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await reader.read()

        await self.begin(backend)
        exchange = self.send(b"x" * 30_000_000)
        await self.until(lambda: exchange.connection is not None)
        assert isinstance(exchange.connection, PooledConnection)
        transport: Any = exchange.connection.writer.transport
        transport._buffer.clear()  # as the system takes the last of it ...
        transport._maybe_resume_protocol()
        transport.abort()  # ... and the connection breaks before any task had its turn
        await self.until(lambda: bool(self.ends))
        self.assertEqual(self.ends, ["broken 0"])


class ListenerCrossings(Loopback):
    async def begin(self) -> None:
        self.handler = Mock(is_serving=lambda: True, knows_request_class=lambda _name: True)
        self.metrics = Metrics()
        self.listener = Listener(self.handler, self.metrics, (), 100)
        self.listener.open("127.0.0.1", 0)
        self.addAsyncCleanup(self.listener.close)

    async def test_a_client_that_floods_or_sends_a_large_request_and_disconnects_is_noticed(self) -> None:
        await self.begin()
        large = UNIT.replace(b"Length: 2", b"Length: 60000") + b"x" * 59_998
        for number, behind in enumerate((b"", b"y" * 400_000), 1):
            _reader, writer = await asyncio.open_connection("127.0.0.1", self.listener.port())
            writer.write(large + behind)
            await self.until(lambda n=number: self.handler.submit.call_count == n)  # type: ignore[misc]
            with contextlib.suppress(ConnectionError):
                await writer.drain()
            writer.close()
            async with asyncio.timeout(2):
                await self.until(lambda n=number: self.handler.client_disconnected.call_count == n)  # type: ignore[misc]

    async def test_a_client_that_floods_behind_a_request_has_its_response_whole(self) -> None:
        await self.begin()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.listener.port())
        writer.write(UNIT)
        await self.until(lambda: self.handler.submit.called)
        client = self.handler.submit.call_args[0][0]
        writer.write(b"y" * 9 * MAX_UNREAD_BYTES)
        await self.until(lambda: client.protocol.discarding_input)
        client.respond(200, [], b"done")
        self.assertEqual((await read_request(reader))[1], b"done")
        writer.close()

    async def test_a_request_that_crosses_the_close_of_an_idle_connection_is_not_forwarded(self) -> None:
        await self.begin()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.listener.port())
        writer.write(UNIT)
        await self.until(lambda: self.handler.submit.called)
        client = self.handler.submit.call_args[0][0]
        client.respond(200, [], b"done")
        await asyncio.sleep(0.01)
        writer.write(UNIT.replace(b"u1", b"u2"))  # with the system by now, read by nobody
        client.close()
        self.assertEqual((await read_request(reader))[1], b"done")  # no reset overtakes it
        self.assertEqual(await reader.read(), b"")
        self.assertEqual(self.handler.submit.call_count, 1)
        writer.close()


class DispatcherCrossings(DispatcherTestCase):
    async def begin(self, backend: Handler, effect: str = "safe", **more: Any) -> None:
        await super().begin(backend)
        self.config["settings"]["service-grades"][0].update(effect=effect, **more)

    async def test_a_client_that_disconnected_before_it_was_read_has_nothing_sent(self) -> None:
        async def backend(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            self.say((await read_request(reader))[0].splitlines()[0])

        await self.begin(backend)
        await self.start_in_process()
        client = socket.create_connection(("127.0.0.1", self.port))
        client.sendall(UNIT)
        client.close()  # all in one turn: nobody accepted it so far
        await self.until(lambda: self.application.metrics.counters["clients-closed-before-read"] == 1)
        await self.until(lambda: not self.application.listener.connections)
        self.assertEqual((self.lines, self.application.metrics.counters["attempts"]), ([], 0))

    async def test_a_client_that_disconnects_while_its_request_waits_for_a_connection_has_nothing_sent(
        self,
    ) -> None:
        async def backend(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            self.say((await read_request(reader))[0].splitlines()[0])

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
            await read_request(reader)
            self.say("sent on")

        await self.begin(backend)
        await self.start_in_process()
        ended, may_finish = asyncio.Event(), asyncio.Event()

        async def blocked_close() -> None:
            ended.set()
            await may_finish.wait()

        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(UNIT[:-1])  # its last byte is still under way
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
            writer.write(UNIT[-1:])
            head, _ = await read_request(reader)
            may_finish.set()
        self.assertEqual((head.split()[1], self.lines), ("503", []))
        self.assertEqual(await reader.read(), b"")
        writer.close()

    async def test_a_backends_connection_stays_through_a_drain_until_its_request_has_ended(self) -> None:
        taken = asyncio.Event()

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_request(reader)
            writer.write(OK)
            taken.set()
            await reader.read()

        async def back(state: str, **more: str) -> str:
            body = orjson.dumps({"id": "u1", "from": "a", "state": state, **more})
            head = b"POST /v1/job-events HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n"
            writer.write(head % len(body) + body)
            return (await read_request(reader))[0].split()[1]

        await self.begin(backend)
        await self.start_in_process()
        pending_response = asyncio.create_task(self.send_request("u1"))
        await taken.wait()
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
            self.say((await read_request(reader))[0].splitlines()[0])  # and breaks: it may have run

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
            patch("crankfold.service.requests.table.Attempt.was_sent", lambda _trip: False),
        ):
            answer = await self.send_request("u1")
        self.assertEqual((answer[0].split()[1], opened, len(self.lines)), ("504", 2, 1))

    async def test_an_end_reported_twice_is_not_taken_for_that_of_a_second_attempt(self) -> None:
        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_request(reader)
            self.say("sent")
            writer.write(OK)
            for _ in range(2):  # as if the first telling's answer had been lost
                await self.send_callback(id="u1", **{"from": "a"}, state="returned")

        await self.begin(backend, "unsafe")
        await self.start_in_process()
        self.assertEqual((await self.send_request("u1"))[0].split()[1], "503")  # known not to have run
        self.assertEqual(self.lines.count("sent"), 1)

    async def beside(self, told_first: bool) -> str:
        """A once-only unit whose dispatch breaks, and the call-back of its end; how it was answered."""
        broken = asyncio.Event()

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_request(reader)
            if told_first:
                await self.send_callback(id="u1", **{"from": "a"}, state="done", result="ran")
            writer.transport.abort()
            broken.set()

        await self.begin(backend, "unsafe")
        await self.start_in_process()
        pending_response = asyncio.create_task(self.send_request("u1"))
        await broken.wait()
        if not told_first:
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
            await read_request(reader)

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
                head, _ = await read_request(reader)
                request_id = head.lower().partition("x-request-id: ")[2].partition("\r\n")[0]
                await self.send_callback(id=request_id, **{"from": "a"}, state="done", result="done")
                writer.write(OK)

        back = asyncio.Event()

        async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            answers = back.is_set()
            await read_request(reader)
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
            await read_request(reader)
            self.say("sent to a runner that discovery has as draining")

        calls = 0

        async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal calls
            calls += 1
            await read_request(reader)
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
            await read_request(reader)

        await self.begin(backend)
        await self.start_in_process()
        grade = {"name": "h", "effect": "safe", "cut-off": 500_000, "expected-time": 100_000}
        self.config = {**self.config, "settings": {**self.config["settings"], "service-grades": [grade]}}
        self.application.reloader.reload()
        self.assertEqual(self.application.config_applier.longest_deadline, 0.5)


class RequestClassCrossings(Scene):
    def test_what_was_learnt_of_a_request_class_is_not_kept_for_another_with_equal_settings(self) -> None:
        self.open()
        book = RequestClassTable(["a"], [GRADE])
        self.told.state.classes[0].typical_run = 77.0
        book.update(["a"], [GRADE])
        self.told.config_changed(self.now, replace(ORDERS, request_classes=book.classes), book.reassigned)
        self.assertEqual(
            ([known.typical_run for known in self.told.state.classes], book.reassigned), ([77.0], frozenset())
        )
        book.update(["b"], [GRADE])
        self.told.config_changed(self.now, replace(ORDERS, request_classes=book.classes), book.reassigned)
        self.assertEqual(
            ([known.typical_run for known in self.told.state.classes], book.reassigned),
            ([GRADE.deadline / 10], frozenset({0})),
        )
        self.assertEqual(
            [known.settings.idempotency for known in self.told.state.classes], [Idempotency.IDEMPOTENT]
        )


class DiscoveryCrossings(Scene):
    def test_where_endpoints_are_polled_no_pause_is_longer_than_a_change_may_take(self) -> None:
        self.open(
            runners=0,
            discovery_by_poll=True,
            poll_within=200_000,
            instance_count=400,
            change_notice_within=60_000,
        )
        for _ in range(9):
            self.told.discovery_failed(self.now)
        pauses = [at - self.now for at, label in self.wakes if label == POLL_TIMER]
        self.assertEqual(len(pauses), 10)
        self.assertLess(
            max(pauses), 60_000 - CONNECT_TIMEOUT * 20_000
        )  # what is left: to connect and to be answered

    def test_defaults_of_timeouts_allow_a_lost_packet_and_a_backend_that_closes_early(self) -> None:
        rules = read_service_config({})
        self.assertGreater(
            rules.connect_timeout, TICKS_PER_SECOND
        )  # a first packet that is lost is sent again after it
        self.assertLess(rules.idle_timeout, 5 * TICKS_PER_SECOND)
