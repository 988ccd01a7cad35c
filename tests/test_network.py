"""The drivers on loopback, on ports the system picks, and a whole dispatcher between stand-ins."""

import asyncio
import contextlib
import logging
import os
import resource
import signal
import socket
import sys
import tempfile
from functools import partial
from pathlib import Path
from typing import Any
from unittest.mock import Mock, patch

import orjson

from crankfold.network.accepted_connection import MAX_UNREAD_BYTES, NEW_CONNECTION_GRACE
from crankfold.network.connection_pool import (
    REUSE_COOLDOWN,
    ConnectionLimiter,
    ConnectionPool,
    Exchange,
    ExchangeResult,
)
from crankfold.network.discovery_watcher import (
    CONNECT_TIMEOUT,
    LONG_POLL_MS,
    MAX_WATCH_CALLS,
    OVERDUE_GRACE,
    POLL_RETRY_INTERVAL,
    RETRY_INTERVAL,
    DiscoveryWatcher,
)
from crankfold.network.listener import UNCOUNTED_SOCKETS, Listener
from crankfold.network.metrics import Metrics
from crankfold.network.timers import Clock, Timers
from crankfold.protocol.backend_connection import BackendConnection
from crankfold.protocol.discovery import DiscoveryEntry
from tests.loopback import BACK, HEALTH, OK, UNIT, Between, Handler, Loopback
from tests.scene import read_request

CHANGES = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 83\r\n\r\n"
    b'{"rev":%d,"all":false,"targets":[{"uid":"a","endpoint":"h:1","state":"in_service"}]}'
)


class Listeners(Loopback):
    """The listener before a desk that answers nothing by itself."""

    async def begin(self, most: int = 100) -> None:
        self.desk = Mock(is_serving=lambda: True, knows_request_class=lambda name: True)
        self.tally = Metrics()
        self.listener = Listener(self.desk, self.tally, (), most)
        await self.listener.open("127.0.0.1", 0)
        self.addAsyncCleanup(self.listener.close)

    async def connect(self, data: bytes = b"") -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        before = self.tally.counters["connections-accepted"]
        reader, writer = await asyncio.open_connection("127.0.0.1", self.listener.port())
        self.addCleanup(writer.close)
        writer.write(data)
        await self.until(lambda: self.tally.counters["connections-accepted"] > before)
        return reader, writer

    async def test_who_brings_nothing_in_time_is_cut_off_and_who_did_may_rest(self) -> None:
        await self.begin()
        strangers = [(await self.connect(data))[0] for data in (b"POST /api HTTP/1.1\r\nHo", b"", HEALTH)]
        await read_request(strangers[2])
        usual, _ = await self.connect(BACK)
        later, more = await self.connect(BACK)
        for reader in (usual, later):
            await read_request(reader)
        more.write(b"POST /api HTTP/1.1\r\nHo")
        await self.until(
            lambda: sum(client.protocol.is_mid_request() for client in self.listener.connections) == 2
        )
        with patch("crankfold.network.listener.FIRST_REQUEST_TIMEOUT", 0.0):
            self.listener.sweep()
        await self.ended(*strangers)
        await self.until(lambda: len(self.listener.connections) == 2)
        with patch("crankfold.network.listener.TRANSFER_TIMEOUT", 0.0):
            self.listener.sweep()
        await self.ended(later)
        self.assertEqual(self.tally.counters["clients-timed-out"], 4)
        with patch("crankfold.network.listener.IDLE_TIMEOUT", 0.0):
            self.listener.sweep()
        await self.ended(usual)

    async def ended(self, *readers: asyncio.StreamReader) -> None:
        async with asyncio.timeout(5):
            for reader in readers:
                with contextlib.suppress(ConnectionError):
                    self.assertEqual(await reader.read(), b"")

    async def test_when_room_is_short_strangers_go_first_but_young_ones_and_runners_last(self) -> None:
        await self.begin(most=5)
        runner, _ = await self.connect(BACK)
        await read_request(runner)
        usual, _ = await self.connect(UNIT)
        await self.until(lambda: self.desk.submit.called)
        self.desk.submit.call_args[0][0].respond(200)
        await read_request(usual)
        silent, _ = await self.connect()
        asked, _ = await self.connect(HEALTH)
        await read_request(asked)
        await asyncio.sleep(NEW_CONNECTION_GRACE)
        young, writer = await self.connect()
        for gone in (silent, asked, usual, runner):
            await self.connect(UNIT)
            await self.ended(gone)
        await self.until(lambda: self.desk.submit.call_count == 5)
        writer.write(HEALTH)
        await read_request(young)
        self.assertEqual(self.tally.counters["connections-evicted"], 4)

    async def test_a_rush_of_connections_leaves_descriptors_free(self) -> None:
        await self.begin(most=20)
        open_before = len(os.listdir("/proc/self/fd"))
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        rush = [socket.socket() for _ in range(300)]
        try:
            resource.setrlimit(
                resource.RLIMIT_NOFILE, (open_before + 301 + 20 + UNCOUNTED_SOCKETS, limits[1])
            )
            for one in rush:
                one.connect(("127.0.0.1", self.listener.port()))  # the system takes them; nobody here yet
            reader, writer = await asyncio.open_connection("127.0.0.1", self.listener.port())
            writer.write(HEALTH)
            failed = Mock()
            asyncio.get_running_loop().set_exception_handler(failed)
            async with asyncio.timeout(9):
                await read_request(reader)
            self.assertFalse(failed.called, failed.mock_calls)  # asyncio tells of it and rests for a second
            self.assertLessEqual(len(self.listener.connections), 20)
            writer.close()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
            for one in rush:
                one.close()

    async def test_one_refusal_ends_the_connection_whatever_stands_behind(self) -> None:
        await self.begin()
        reader, _ = await self.connect(UNIT.replace(b"Timeout: 1", b"Timeout: soon") * 200 + UNIT)
        self.assertIn(b" 400 ", (await reader.readuntil(b"\r\n\r\n")))
        await self.ended(reader)
        self.assertEqual(self.tally.counters["clients-rejected-400"], 1)
        self.assertFalse(self.desk.submit.called)

    async def test_near_the_limit_the_idle_go_and_a_request_in_hand_stays(self) -> None:
        await self.begin(most=2)
        reader, writer = await self.connect(UNIT)
        await self.until(lambda: self.desk.submit.called)
        idle, _ = await self.connect()
        self.assertFalse(self.listener.is_over_limit())
        await self.connect(UNIT)
        self.assertEqual(await idle.read(), b"")
        await self.until(lambda: self.desk.submit.call_count == 2)
        await self.connect(UNIT)
        self.assertTrue(self.listener.is_over_limit())  # the desk sheds what comes now
        self.assertEqual(self.tally.counters["connections-over-limit"], 1)
        self.desk.submit.call_args_list[0][0][0].respond(200, [], b"done")
        self.assertEqual((await read_request(reader))[1], b"done")

    async def test_the_answer_to_a_body_too_large_arrives_while_it_is_still_sent(self) -> None:
        await self.begin()
        reader, writer = await self.connect(UNIT.replace(b"Length: 2", b"Length: 9000000") + b"x" * 5_000_000)
        self.assertIn(b" 413 ", await reader.readline())
        self.assertFalse(self.desk.submit.called)
        failures: list[object] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: failures.append(context))
        client = next(iter(self.listener.connections))
        await self.until(
            lambda: client.unread_bytes > MAX_UNREAD_BYTES
        )  # from here on the rest is left outside
        for task in asyncio.all_tasks():
            if getattr(task.get_coro(), "__name__", "") == "_taken":
                task.cancel()  # as the end of the program does
        await self.until(lambda: not self.listener.connections)
        await asyncio.sleep(0)
        self.assertEqual(failures, [])

    async def test_a_client_that_leaves_and_one_that_pipelines_without_end(self) -> None:
        await self.begin()
        reader, writer = await self.connect(UNIT + UNIT * 2000)
        await self.until(lambda: self.desk.submit.called)
        client = self.desk.submit.call_args[0][0]
        await self.until(lambda: client.unread_bytes > MAX_UNREAD_BYTES)
        self.assertLess(client.unread_bytes, 2 * MAX_UNREAD_BYTES)  # the rest waits outside
        client.respond(200)
        await read_request(reader)
        await self.until(lambda: self.desk.submit.call_count == 2)
        _, leaving = await self.connect(UNIT)
        await self.until(lambda: self.desk.submit.call_count == 3)
        leaving.close()
        await self.until(lambda: self.desk.client_disconnected.called)
        self.assertIs(self.desk.client_disconnected.call_args[0][0], self.desk.submit.call_args[0][0])


class Runners(Loopback):
    def pool(self, port: int, room: bool = True) -> ConnectionPool:
        self.tally = Metrics()
        return ConnectionPool("127.0.0.1", port, ConnectionLimiter(9 if room else 0, 0.25, 5.0, self.tally))

    async def carry(self, pool: ConnectionPool, what: str, body: bytes = b"x", may_go: bool = True) -> None:
        ends: list[str] = []

        def ended(how: ExchangeResult, side: BackendConnection | None) -> None:
            ends.append(f"{what}: {how.value} {side.status if side else ''}".strip())

        exchange = Exchange(
            b"POST", b"/api", lambda: [(b"Host", b"b")], body, may_send=lambda: may_go, on_end=ended
        )
        pool.send(exchange)
        self.assertEqual(ends, [])  # never from within the call
        await self.until(lambda: bool(ends))
        await asyncio.sleep(1.2 * REUSE_COOLDOWN)  # from then on the connection may be used again
        self.lines += ends

    async def test_how_an_exchange_ends(self) -> None:
        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            for _ in range(3):
                await read_request(reader)
                writer.write(OK)

        async def hang_up(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_request(reader)

        async def babble(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_request(reader)
            writer.write(b"what?\r\n\r\n")

        async def speak_first(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_request(reader)
            writer.write(OK + OK)

        async def close_at_the_second(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_request(reader)
            writer.write(OK)
            await read_request(reader)

        good = self.pool(await self.stand_in(accept))
        for n in range(4):
            await self.carry(good, f"taken {n}")
        opened = self.tally.counters["backend-connections-opened"]
        self.say(f"  opened {opened} for 4, as the runner closes after three")
        await self.carry(self.pool(await self.stand_in(hang_up)), "closed before the answer")
        kept = self.pool(await self.stand_in(close_at_the_second))
        await self.carry(kept, "taken")
        await self.carry(kept, "closed before the answer, on a kept connection")
        await self.carry(self.pool(await self.stand_in(babble)), "garbage")
        twice = self.pool(await self.stand_in(speak_first))
        await self.carry(twice, "answered twice")
        self.say(f"  kept {len(twice.idle_connections)}")
        port = await self.stand_in(accept)
        await self.carry(self.pool(port, room=False), "no socket left")
        drained = self.pool(port)
        await self.carry(drained, "drained while connecting", may_go=False)
        self.say(f"  kept {len(drained.idle_connections)}")
        drained.limiter.sweep()
        self.say(f"  kept after a sweep {len(drained.idle_connections)}")
        drained.limiter.idle_timeout = 0.0
        drained.limiter.sweep()
        self.say(f"  kept after its time at rest {len(drained.idle_connections)}")
        drained.close()
        await self.carry(drained, "moved away")
        server = await asyncio.start_server(hang_up, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await self.carry(self.pool(port), "refused")
        self.close("exchanges")

    async def test_a_break_before_the_last_byte_is_written_never_ran(self) -> None:
        async def read_little(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readexactly(10)
            writer.transport.abort()

        await self.carry(self.pool(await self.stand_in(read_little)), "broken", body=b"x" * 20_000_000)
        self.assertEqual(self.lines, ["broken: unreachable 0"])

    async def test_called_off_before_the_answer_closes_the_connection(self) -> None:
        closed = asyncio.Event()

        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_request(reader)
            await reader.read()
            closed.set()

        pool = self.pool(await self.stand_in(silent))
        exchange = Exchange(
            b"POST", b"/api", lambda: [(b"Host", b"b")], b"", may_send=lambda: True, on_end=lambda *_: None
        )
        pool.send(exchange)
        await self.until(lambda: exchange.connection is not None)
        exchange.abort()
        async with asyncio.timeout(5):
            await closed.wait()
        await self.until(lambda: pool.limiter.open_count == 0)


class Watches(Loopback):
    async def test_a_watch_that_breaks_is_taken_up_with_the_whole_list(self) -> None:
        answers = [
            b'{"rev":1,"all":true,"targets":[{"uid":"a","endpoint":"h:1","state":"in_service"}]}',
            b'{"rev":2,"all":false,"targets":[{"uid":"a","endpoint":"h:1","state":"terminating"}]}',
            b'{"rev":2,"all":false,"targets":[]}',
            b'{"rev":1,"all":false,"targets":[]}',
            b"{",
            b'{"rev":1,"all":true,"targets":[]}',
            b'{"rev":9,"all":true,"targets":[{"uid":"b","endpoint":"h:1","state":"in_service"}]}',
        ]
        done = asyncio.Event()

        async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                self.say((await read_request(reader))[0].splitlines()[0])
                if not answers:
                    done.set()
                    await reader.read()
                body = answers.pop(0)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

        def make_endpoint(entry: DiscoveryEntry) -> Any:
            return f"{entry.backend_id} {entry.state.name.lower()}"

        tally = Metrics()
        logged = patch.object(
            logging.getLogger("crankfold.network.discovery_watcher"),
            "handle",
            lambda record: self.say(f"  logged: {record.getMessage().partition(':')[0]}"),
        )
        self.enterContext(logged)
        watch = DiscoveryWatcher(
            "127.0.0.1",
            await self.stand_in(discovery),
            make_endpoint,
            on_endpoints=lambda entries, whole: self.say(
                f"  {'whole' if whole else 'changes'} {list(entries)}"
            ),
            on_failure=lambda: None,
            metrics=tally,
            retry_interval=0.01,
        )
        watch.start(True)
        async with asyncio.timeout(5):
            await done.wait()
        watch.stop()
        self.close("watch")

    async def test_a_call_waits_its_turn_and_asks_for_changes_after_a_refusal(self) -> None:
        told = asyncio.Event()

        async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.say((await read_request(reader))[0].splitlines()[0])
            if len(self.lines) == 1:
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                return
            await asyncio.sleep(1.2)  # others were before us
            body = b'{"rev":6,"all":false,"targets":[{"uid":"a","endpoint":"h:1","state":"in_service"}]}'
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await reader.read()

        def heard(entries: Any, whole: bool) -> None:
            self.say(f"told {'the whole' if whole else 'changes'}")
            told.set()

        watch = DiscoveryWatcher(
            "127.0.0.1",
            await self.stand_in(discovery),
            Mock(),
            on_endpoints=heard,
            on_failure=lambda: None,
            metrics=Metrics(),
            retry_interval=0.01,
        )
        watch.revision = 5
        watch.start(True)
        async with asyncio.timeout(5):
            await told.wait()
        watch.stop()
        self.close("watch-turn")

    async def test_an_agent_that_answers_without_waiting_keeps_nobody_busy(self) -> None:
        asked: list[str] = []

        async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                asked.append((await read_request(reader))[0])
                body = b'{"rev":1,"all":false,"targets":[]}'
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

        watch = DiscoveryWatcher(
            "127.0.0.1",
            await self.stand_in(discovery),
            Mock(),
            on_endpoints=lambda *_: None,
            on_failure=lambda: None,
            metrics=Metrics(),
        )
        watch.start(True)
        await asyncio.sleep(0.2)
        watch.stop()
        self.assertLess(1, len(asked))
        self.assertLess(len(asked), 12)

    async def watched(self, discovery: Handler, rev: int = -1) -> tuple[DiscoveryWatcher, asyncio.Event]:
        told = asyncio.Event()

        def heard(entries: Any, whole: bool) -> None:
            self.say(f"told {'the whole' if whole else 'changes'}")
            told.set()

        watch = DiscoveryWatcher(
            "127.0.0.1",
            await self.stand_in(discovery),
            Mock(),
            on_endpoints=heard,
            on_failure=lambda: None,
            metrics=Metrics(),
        )
        watch.revision = rev
        self.addCleanup(watch.stop)
        watch.start(True)
        return watch, told

    def test_the_longest_way_to_a_change_is_under_six_seconds(self) -> None:
        """Silent from the moment it was asked, and the next two connections not up or silent as well."""
        of_pushed = (
            LONG_POLL_MS / 1000 + OVERDUE_GRACE + 2 * max(RETRY_INTERVAL, CONNECT_TIMEOUT) + RETRY_INTERVAL
        )
        self.assertLess(of_pushed, 5.0)
        self.assertLess(LONG_POLL_MS / 1000 + OVERDUE_GRACE + POLL_RETRY_INTERVAL, 5.5)
        self.assertLess(
            RETRY_INTERVAL, 0.25
        )  # less than any grace after a discovery that is back has told a drain

    async def test_a_watch_that_falls_silent_for_good_is_opened_anew_beside_it(self) -> None:
        silent = asyncio.Event()
        kept: list[bytes] = []

        async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.say((await read_request(reader))[0].splitlines()[0])
            if not kept:
                kept.append(CHANGES % 6)
                writer.write(kept[0])
                self.say((await read_request(reader))[0].splitlines()[0])
                silent.set()
                await reader.read()  # says nothing any more and stays open
            writer.write(CHANGES % 7)
            await reader.read()

        with (
            patch("crankfold.network.discovery_watcher.LONG_POLL_MS", 20),
            patch("crankfold.network.discovery_watcher.OVERDUE_GRACE", 0.05),
        ):
            watch, told = await self.watched(discovery, rev=5)
            async with asyncio.timeout(2):
                await silent.wait()
                self.assertEqual(watch.revision, 6)
                await self.until(lambda: watch.revision == 7)
        self.close("watch-silent")

    async def test_discovery_that_accepts_and_is_silent_is_heard_at_once_when_it_is_back(self) -> None:
        back, begun = asyncio.Event(), asyncio.Event()
        open_now: set[asyncio.StreamWriter] = set()
        most = 0

        async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal most
            answers = back.is_set()  # who came before stays unanswered for good
            open_now.add(writer)
            most = max(most, len(open_now))
            await read_request(reader)
            begun.set()
            if answers:
                writer.write(CHANGES % 6)
            await reader.read()
            open_now.discard(writer)

        watch, told = await self.watched(discovery, rev=5)
        with (
            patch("crankfold.network.discovery_watcher.LONG_POLL_MS", 20),
            patch("crankfold.network.discovery_watcher.OVERDUE_GRACE", 0.01),
        ):
            await begun.wait()
            await self.until(lambda: most >= MAX_WATCH_CALLS)
            await asyncio.sleep(4 * RETRY_INTERVAL)
            back.set()
            async with asyncio.timeout(2 * RETRY_INTERVAL):
                await told.wait()
            self.assertLessEqual(most, MAX_WATCH_CALLS + 1)  # one whose end has not arrived yet

    async def test_an_answer_that_trickles_is_heard_out_while_others_are_silent(self) -> None:
        calls = 0

        async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal calls
            calls += 1
            await read_request(reader)
            if calls == 2:
                for byte in CHANGES % 6:
                    before = calls
                    writer.write(bytes([byte]))
                    await writer.drain()
                    if byte == 10:
                        await self.until(lambda: calls > before)  # another has been asked meanwhile  # noqa: B023
            await reader.read()

        with (
            patch("crankfold.network.discovery_watcher.OVERDUE_GRACE", 0.01),
            patch("crankfold.network.discovery_watcher.RETRY_INTERVAL", 0.01),
        ):
            watch, told = await self.watched(discovery)
            watch.retry_interval = 0.01
            async with asyncio.timeout(5):
                await told.wait()
        self.assertGreater(calls, MAX_WATCH_CALLS)


class Wakes(Loopback):
    async def test_a_wake_never_comes_early(self) -> None:
        clock = Clock()
        timers = Timers(clock, Metrics())
        woken: list[int] = []
        for after in (0, 1, 9, 15, 33):
            due = clock.now() + after
            timers.call_after(after, partial(lambda due: woken.append(clock.now() - due), due))
        await self.until(lambda: len(woken) == 5)
        self.assertGreaterEqual(min(woken), 0)
        early = clock.now() + 20
        timers._fire(early, lambda: woken.append(clock.now() - early))  # as a loop with coarse steps would
        self.assertEqual(len(woken), 5)
        await self.until(lambda: len(woken) == 6)
        self.assertGreaterEqual(woken[5], 0)


class Whole(Between):
    async def test_a_unit_from_client_to_runner_and_back(self) -> None:
        told = asyncio.Event()

        async def runner(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, body = await read_request(reader)
                first = head.split("\r\n")[0]
                self.say(f"runner reads {first} {body!r} timed {'X-Timeout: 2.' in head}")
                # A call-back may come before the 202, twice, from another runner or for no unit.
                await self.tell(id="u1", **{"from": "b"}, state="done", result="not it")
                await self.tell(id="u1", **{"from": "a"}, state="started")
                await self.tell(id="u1", **{"from": "a"}, state="done", result="result")
                await self.tell(id="u1", **{"from": "a"}, state="done", result="again")
                await self.tell(id="u0", **{"from": "a"}, state="lost")
                writer.write(OK)
                told.set()

        await self.begin(runner)
        await self.inside()
        answer = await self.ask("u1", "Idempotency-Key: t\r\nX-Cost: 20\r\n")
        async with asyncio.timeout(5):
            await told.wait()
        await self.until(
            lambda: (
                not self.node.request_handler.request_table.requests
                and not self.node.request_handler.request_table.by_request_id
            )
        )
        counts = self.node.metrics.counters
        self.say(f"client reads {answer}")
        self.say(
            " ".join(
                f"{name} {counts[name]}"
                for name in (
                    "requests-admitted",
                    "attempts",
                    "requests-completed",
                    "requests-shed",
                    "attempts-ended-completed",
                )
            )
        )
        self.close("whole")

    async def test_where_the_list_must_be_asked_for_it_is_asked_for_again_when_that_failed(self) -> None:
        async def runner(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await read_request(reader)
                await self.tell(id="u1", **{"from": "a"}, state="done", result="result")
                writer.write(OK)

        asked: list[str] = []

        async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append((await read_request(reader))[0].split()[1])
            if len(asked) < 3:
                return
            body = orjson.dumps(self.targets())
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await reader.read()

        await self.begin(runner, **{"membership-mode": "on_request", "rules": {"ask-within": 80_000}})
        self.given["discovery"] = f"127.0.0.1:{await self.stand_in(discovery)}"
        del self.given["known"]
        await self.inside()
        await self.until(lambda: self.node.metrics.counters["discovery-snapshots"] == 1)
        self.assertEqual(await self.ask("u1"), ("HTTP/1.1 200 OK", b"result"))
        self.assertEqual((asked, self.node.metrics.counters["discovery-failed"]), (["/v1/servers"] * 3, 2))

    async def test_a_runner_that_vanished_holds_no_unit_past_its_cut_off(self) -> None:
        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            heads.append((await reader.read(1 << 16)).split()[0])
            heads.append(await reader.read())

        heads: list[bytes] = []
        once_only = [{"name": "g", "effect": "unsafe", "cut-off": 3_000_000, "expected-time": 2_000_000}]
        await self.begin(silent, **{"service-grades": once_only})
        await self.inside()
        began = asyncio.get_running_loop().time()
        self.assertEqual((await self.ask("u1", wait=0.2))[0].split()[1], "504")
        self.assertLess(asyncio.get_running_loop().time() - began, 1.0)
        await self.until(
            lambda: (
                not self.node.request_handler.request_table.requests
                and not self.node.connection_limiter.open_count
            )
        )
        await self.until(lambda: len(heads) == 2)
        self.assertEqual(heads, [b"POST", b""])  # before the 202 a dispatch is called off by closing

    async def test_a_runners_refusal_is_not_passed_through(self) -> None:
        async def runner(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await read_request(reader)
                writer.write(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")  # it may have run

        once_only = [{"name": "g", "effect": "unsafe", "cut-off": 3_000_000, "expected-time": 2_000_000}]
        await self.begin(runner, **{"service-grades": once_only})
        await self.inside()
        self.assertEqual((await self.ask("u1"))[0].split()[1], "504")
        self.assertEqual(self.node.metrics.counters["requests-failed"], 1)

    async def test_a_unit_that_a_runner_finds_unfit_is_tried_once_and_nobody_is_doubted(self) -> None:
        async def runner(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await read_request(reader)
                writer.write(b"HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n")

        await self.begin(runner)
        await self.inside()
        for ident in ("u1", "u2", "u3"):
            self.assertEqual((await self.ask(ident))[0].split()[1], "400")
        self.assertEqual(
            (
                self.node.metrics.counters["attempts"],
                [backend.error_rate for backend in self.node.request_handler.routing.state.table.backends],
            ),
            (3, [0.0]),
        )

    async def test_ids_in_hand_a_full_house_and_a_runner_that_moves(self) -> None:
        posts: list[str] = []

        async def runner(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_request(reader)
                posts.append(head.split()[0])
                writer.write(OK)

        async def moved(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_request(reader)
            await self.tell(id="u3", **{"from": "a"}, state="done", result="moved")
            await reader.read()

        await self.begin(runner)
        await self.inside()
        first = asyncio.create_task(self.ask("u1"))
        await self.until(lambda: self.node.metrics.counters["attempts"] == 1 and len(posts) == 1)
        self.assertEqual((await self.ask("u1"))[0].split()[1], "409")
        with patch.object(self.node.listener, "is_over_limit", lambda: True):
            self.assertEqual((await self.ask("u2"))[0].split()[1], "503")
        self.assertEqual((self.node.metrics.counters["shed-overloaded"], posts), (1, ["POST"]))
        # Called off, but the runner does not heed it: no second dispatch goes there, and it ends as not sent.
        await self.until(lambda: self.node.request_handler.request_table.requests[0].attempts[0].accepted)
        self.node.request_handler.cancel_attempt(0, 0)
        self.assertEqual((await first)[0].split()[1], "503")
        self.assertEqual(
            (posts, self.node.metrics.counters["attempts-ended-not-sent"]), (["POST", "DELETE"], 1)
        )
        self.runner_port = await self.stand_in(moved)
        self.changed.set()
        await self.until(lambda: self.node.metrics.counters["discovery-snapshots"] == 2)
        self.assertEqual((await self.ask("u3"))[1], b"moved")

    async def test_a_client_that_leaves_is_forgotten_and_its_dispatch_called_off(self) -> None:
        called_off = asyncio.Event()
        taken = asyncio.Event()

        async def runner(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_request(reader)
                writer.write(OK)
                (called_off if head.startswith("DELETE /jobs/u1 ") else taken).set()

        await self.begin(runner)
        await self.inside()
        asking = asyncio.create_task(self.ask("u1"))
        async with asyncio.timeout(5):
            await taken.wait()
            units = self.node.request_handler.request_table.requests
            await self.until(lambda: any(trip.accepted for work in units.values() for trip in work.attempts))
            asking.cancel()
            await called_off.wait()
        await self.until(
            lambda: (
                not self.node.request_handler.request_table.requests
                and not self.node.request_handler.request_table.by_client
            )
        )

    async def test_a_drain_told_while_connecting_holds_the_unit_back(self) -> None:
        async def runner(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.say(f"runner reads {(await read_request(reader))[0]}")

        await self.begin(runner)
        await self.inside()
        pool = self.node.backend_registry.pools[0]
        opening = pool._connect

        async def told_meanwhile(exchange: Exchange) -> None:
            self.state = "terminating"
            self.changed.set()
            await self.until(lambda: self.node.metrics.counters["discovery-snapshots"] == 2)
            await opening(exchange)

        pool._connect = told_meanwhile  # type: ignore[method-assign]
        self.assertEqual((await self.ask("u1"))[0].split()[1], "503")
        self.assertEqual((self.lines, self.node.metrics.counters["attempts-ended-not-sent"]), ([], 1))

    async def test_a_failure_in_the_decisions_gives_up_the_unit_in_hand_and_serving_goes_on(self) -> None:
        async def runner(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            raise AssertionError("nothing is sent")

        await self.begin(runner)
        program = (
            "import sys; from crankfold.routing.router import Router\n"
            "def broken(*told): raise ValueError('a bug')\n"
            "Router.request_received = broken\n"
            "from crankfold.cli.main import main; main(['serve'])"
        )
        lines = await self.outside(["-O", "-c", program])
        for ident in ("u1", "u2"):  # at once, not when their time is up
            self.assertEqual((await self.ask(ident, wait=60))[0].split()[1], "504")
        self.process.terminate()
        printed = await lines
        self.assertIn("ValueError('a bug')", printed)
        self.assertEqual(self.process.returncode, 0, printed)

    async def test_sigterm_with_units_in_hand(self) -> None:
        taken = asyncio.Queue[str]()

        async def runner(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_request(reader)
                writer.write(OK)
                await taken.put(head.split("\r\n")[0])

        await self.begin(runner)
        self.given["settings"]["service-grades"] = [{"name": "g", "effect": "safe", "cut-off": 1_000_000}]
        lines = await self.outside(["-O", "-m", "crankfold", "serve"])
        held = asyncio.create_task(self.ask("u1"))
        never = asyncio.create_task(self.ask("u2", wait=9))  # the drain ends before its time is up
        for _ in range(2):
            await taken.get()
        self.process.send_signal(signal.SIGTERM)
        self.process.send_signal(signal.SIGTERM)
        late = asyncio.create_task(self.ask("u3"))  # connections still come for a moment
        await taken.get()
        await self.tell(id="u3", **{"from": "a"}, state="done", result="3")
        await asyncio.sleep(0.6)  # past the moment: call-backs are received all the same
        await self.tell(id="u1", **{"from": "a"}, state="done", result="1")
        for asked in (held, late, never):
            head, body = await asked
            self.say(f"{head} {body.decode()}")
        printed = await lines
        self.assertEqual(self.process.returncode, 0, printed)
        counted = dict(pair.split("=") for pair in printed.rpartition("counters: ")[2].split())
        self.say(
            " ".join(
                f"{name} {counted.get(name)}"
                for name in ("requests-admitted", "requests-completed", "open-requests")
            )
        )
        self.close("sigterm")

    async def test_a_new_configuration_moves_the_watch_and_outlives_what_it_cannot_use(self) -> None:
        async def runner(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str) -> None:
            while True:
                ident = (await read_request(reader))[0].lower().partition("x-request-id: ")[2].split()[0]
                if ident != "held":
                    await self.tell(id=ident, **{"from": name}, state="done", result=name)
                writer.write(OK)
                sent.set()

        async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str) -> None:
            while True:
                asked.append(f"{name} {(await read_request(reader))[0].split()[1]}")
                if "after=" in asked[-1]:
                    await reader.read()
                entry = {"uid": name, "endpoint": f"127.0.0.1:{ports[name]}", "state": "in_service"}
                body = orjson.dumps({"rev": 3, "all": True, "targets": [entry]})
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

        asked: list[str] = []
        sent = asyncio.Event()
        await self.begin(partial(runner, name="a"))
        ports = {name: await self.stand_in(partial(runner, name=name)) for name in "bc"}
        lines = await self.outside(["-O", "-m", "crankfold", "serve"])
        held = asyncio.create_task(self.ask("held"))
        async with asyncio.timeout(5):
            await sent.wait()
        for name in "bc":
            self.given["settings"]["tick"] += 1
            self.given["discovery"] = f"127.0.0.1:{await self.stand_in(partial(discovery, name=name))}"
            for broken in (b"", b'{"listen":', orjson.dumps({**self.given, "discovery": "here"})):
                self.file.write_bytes(broken)
                self.process.send_signal(signal.SIGHUP)
                await self.ask("u0", wait=0.001)  # read by now
            self.file.write_bytes(orjson.dumps(self.given))
            self.process.send_signal(signal.SIGHUP)
            self.process.send_signal(signal.SIGHUP)
            await self.until(lambda name=name: f"{name} /v1/servers" in asked)  # type: ignore[misc]
            await self.until(lambda name=name: any(f"{name} /v1/servers?" in a for a in asked))  # type: ignore[misc]
            self.assertEqual((await self.ask(f"u{name}"))[1].decode(), name)
        await self.tell(id="held", **{"from": "a"}, state="done", result="held")
        self.assertEqual((await held)[1], b"held")  # a unit in hand outlives it, though its runner is gone
        self.process.terminate()
        self.process.send_signal(signal.SIGHUP)
        printed = await lines
        self.assertEqual(self.process.returncode, 0, printed)
        self.assertIn("settings.tick differs and waits for a restart", printed)
        self.assertIn("the old one stays in force", printed)

    async def test_after_sigterm_connections_still_come_and_are_kept_until_its_last_part(self) -> None:
        async def runner(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await read_request(reader)
                await self.tell(id="u1", **{"from": "a"}, state="done", result="result")
                writer.write(OK)

        await self.begin(runner)
        lines = await self.outside(["-O", "-m", "crankfold", "serve"])
        self.process.terminate()
        await asyncio.sleep(0.2)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        for pause in (1.0, 0.0):  # the second when others would have closed long since
            writer.write(UNIT.replace(b"Timeout: 1", b"Timeout: 2"))
            head, body = await read_request(reader)
            self.assertEqual((head.split()[1], body, "Connection: close" in head), ("200", b"result", False))
            await asyncio.sleep(pause)
        self.assertEqual(await reader.read(), b"")  # closed at rest, before the end
        self.assertIn("open-requests=0", await lines)
        self.assertEqual(self.process.returncode, 0)

    async def test_at_the_end_of_a_drain_only_what_may_have_run_is_given_up(self) -> None:
        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()

        once_only = [{"name": "g", "effect": "unsafe", "cut-off": 3_000_000, "expected-time": 2_000_000}]
        await self.begin(silent, **{"service-grades": once_only})
        await self.inside()
        asked = [asyncio.create_task(self.ask("sent"))]
        await self.until(lambda: self.node.metrics.counters["attempts"] == 1)
        self.node.request_handler.routing.limit.limit = 0.0  # what comes from here on is held
        asked.append(asyncio.create_task(self.ask("held")))
        await self.until(lambda: self.node.request_handler.open_request_count() == 2)
        self.node.request_handler.answer_all_open()
        self.assertEqual([(await one)[0].split()[1] for one in asked], ["504", "503"])

    async def test_killed_and_started_again_it_serves_and_takes_old_call_backs(self) -> None:
        async def runner(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await read_request(reader)
                writer.write(OK)
                posted.set()

        posted = asyncio.Event()
        await self.begin(runner)
        before = await self.outside(["-O", "-m", "crankfold", "serve"])
        lost = asyncio.create_task(self.ask("u1"))
        async with asyncio.timeout(5):
            await posted.wait()
        self.process.kill()
        await before
        with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
            await lost
        self.given["listen"] = f"127.0.0.1:{self.port}"
        lines = await self.outside(["-O", "-m", "crankfold", "serve"])
        await self.tell(id="u1", **{"from": "a"}, state="done", result="1")
        self.assertTrue(self.lines[-1].endswith(" 204"))
        self.process.terminate()
        self.assertIn("callbacks-unknown-request=1", await lines)

    async def test_what_it_cannot_start_from_is_said_in_one_line(self) -> None:
        async def runner(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()

        port = await self.stand_in(runner)
        await self.begin(runner)
        with tempfile.TemporaryDirectory() as folder:
            for name, body in {
                "none": None,
                "broken": b"{",
                "bare": b'{"listen":"127.0.0.1:0"}',
                "no address": orjson.dumps({**self.given, "listen": "here"}),
                "odd figure": orjson.dumps({**self.given, "settings": {"tick": "x"}}),
                "taken": orjson.dumps({**self.given, "listen": f"127.0.0.1:{port}"}),
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
