"""The operators' door, bans and duty: bytes, decisions told the time, and a dispatcher on loopback."""

import asyncio
import contextlib
import os
import resource
import socket
import time
from typing import Any
from unittest.mock import AsyncMock, Mock, patch

import orjson

from crankfold.network.admin_server import MAX_CALLERS, AdminServer
from crankfold.network.exchange import Exchange
from crankfold.network.listener import Listener
from crankfold.network.metrics import Metrics
from crankfold.protocol.admin_api import MAX_CALL_SIZE, AdminConnection, execute
from crankfold.service.config_file import SocketLimits, divide_socket_limit
from crankfold.service.lifecycle import Lifecycle
from crankfold.service.socket_budget import SocketBudget
from tests.loopback import OK, DispatcherTestCase, Loopback
from tests.scene import Kept, read_request

CALLS = {
    "ready": b"GET /control/ready HTTP/1.1\r\nHost: b\r\n\r\n",
    "out": b"POST /control/runners/s-1/offline HTTP/1.1\r\nHost: b\r\nContent-Length: 2\r\n\r\nhi",
    "in, an odd id": b"POST /control/runners/a%2Fb%20c/online?why=x HTTP/1.0\r\n\r\n",
    "never listed": b"POST /control/runners/nobody/offline HTTP/1.1\r\nHost: b\r\n\r\n",
    "drain, in chunks": b"POST /control/out-of-service HTTP/1.1\r\nHost: b\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
    "back": b"POST /control/in-service HTTP/1.1\r\nHost: b\r\n\r\n",
    "twice in one": b"GET /control/ready HTTP/1.1\r\nHost: b\r\n\r\n" * 2,
    "wrong method": b"GET /control/in-service HTTP/1.1\r\nHost: b\r\n\r\n",
    "ready by post": b"POST /control/ready HTTP/1.1\r\nHost: b\r\n\r\n",
    "no such path": b"POST /control/runners HTTP/1.1\r\nHost: b\r\n\r\n",
    "no id": b"POST /control/runners//offline HTTP/1.1\r\nHost: b\r\n\r\n",
    "a long id": b"POST /control/runners/" + b"x" * 300 + b"/offline HTTP/1.1\r\nHost: b\r\n\r\n",
    "no HTTP": b"ready?\r\n\r\n",
    "a bad length": b"POST /control/in-service HTTP/1.1\r\nHost: b\r\nContent-Length: -1\r\n\r\n",
    "no host": b"GET /control/ready HTTP/1.1\r\n\r\n",
    "too long": b"POST /control/in-service HTTP/1.1\r\nHost: b\r\nContent-Length: 9000\r\n\r\n" + b"x" * 9000,
    "a head without end": b"GET /control/ready HTTP/1.1\r\n" + b"X-A: b\r\n" * 2 * (MAX_CALL_SIZE // 8),
}


class Calls(Loopback):
    async def test_calls_whole_and_cut_at_every_byte(self) -> None:
        for what, call in CALLS.items():
            whole = await self.answered([call])
            self.say(f"{what}: {whole}")
            for cut in range(1, min(len(call), 400)):
                self.assertEqual(await self.answered([call[:cut], call[cut:]]), whole, f"{what} at {cut}")
        self.close("operators-calls")

    async def answered(self, pieces: list[bytes]) -> str:
        told: list[str] = []

        def heard(what: str, yes: bool) -> bool:
            told.append(what)
            return yes

        operated = Mock(
            is_ready=lambda: heard("ready?", False),
            leave_service=lambda: heard("leave", True),
            drain_backend=AsyncMock(side_effect=lambda uid: heard(f"out {uid!r}", uid != "nobody")),
            restore_backend=AsyncMock(side_effect=lambda uid: heard(f"back {uid!r}", True)),
            enter_service=lambda: heard("enter", True),
        )
        side = AdminConnection()
        for piece in pieces:
            side.receive_data(piece)
        if side.command:
            await execute(side, operated)
        head, _, body = b"".join(side.outgoing).partition(b"\r\n\r\n")
        self.assertIn(b"Connection: close", head)
        return f"{', '.join(told) or '-'}: {head.split()[1].decode()} {body.decode().strip()}"

    async def test_silent_callers_by_hundreds_keep_nobody_out(self) -> None:
        tally = Metrics()
        door = AdminServer(Mock(is_ready=lambda: True), tally)
        door.open("127.0.0.1", 0)
        self.addAsyncCleanup(door.close)
        silent = []
        for n in range(120):
            reader, writer = await asyncio.open_connection("127.0.0.1", door.port())
            self.addCleanup(writer.close)
            writer.write(b"" if n % 2 else b"GET /control/re")
            silent.append(reader)
            self.assertLessEqual(len(door.connections), MAX_CALLERS)
        began = time.monotonic()
        self.assertEqual(await self.call(door.port(), "ready", "GET"), "200 ready")
        self.assertLess(time.monotonic() - began, 0.5)
        with contextlib.suppress(ConnectionError):
            self.assertEqual(await silent[0].read(), b"")  # the first to come went for the last
        async with asyncio.timeout(5):  # and who stays without a call is told so
            self.assertIn(b" 408 ", await silent[-1].readline())
        await self.until(lambda: not door.connections)

    async def test_who_waits_for_a_decision_is_not_sent_away_for_who_says_nothing(self) -> None:
        decided = asyncio.Event()

        async def out(_uid: str) -> bool:
            await decided.wait()
            return True

        door = AdminServer(Mock(drain_backend=out), Metrics())
        door.open("127.0.0.1", 0)
        self.addAsyncCleanup(door.close)
        waiting = asyncio.create_task(self.call(door.port(), "runners/a/offline"))
        await self.until(lambda: any(side.command for side in door.connections))
        for _ in range(2 * MAX_CALLERS):
            _, writer = await asyncio.open_connection("127.0.0.1", door.port())
            self.addCleanup(writer.close)
        await asyncio.sleep(0.05)
        decided.set()
        self.assertEqual(await waiting, "200 offline")


class AtTheLimit(Loopback):
    async def test_clients_that_use_up_their_places_leave_the_operators_theirs(self) -> None:
        given: dict[str, Any] = {"limits": {"sockets": 120}}
        with_door, without = divide_socket_limit(given, True)[1], divide_socket_limit(given, False)[1]
        self.assertGreaterEqual(without - with_door, MAX_CALLERS)
        tally = Metrics()
        listener = Listener(Mock(is_serving=lambda: True), tally, (), with_door)
        listener.open("127.0.0.1", 0)
        self.addAsyncCleanup(listener.close)
        door = AdminServer(Mock(is_ready=lambda: True), tally)
        door.open("127.0.0.1", 0)
        self.addAsyncCleanup(door.close)
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        rush = [socket.socket() for _ in range(400)]
        try:
            for one in rush:
                one.connect(("127.0.0.1", listener.port()))  # the system takes them; nobody here yet
            inside = len(os.listdir("/proc/self/fd"))
            resource.setrlimit(resource.RLIMIT_NOFILE, (inside + 120, limits[1]))
            for _ in range(20):
                began = time.monotonic()
                self.assertEqual(await self.call(door.port(), "ready", "GET"), "200 ready")
                self.assertLess(time.monotonic() - began, 0.9)
            self.assertLessEqual(len(listener.connections), with_door)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
            for one in rush:
                one.close()


class Decided(Kept):
    def test_duty_from_start_to_end(self) -> None:
        duty = Lifecycle()

        def shown(at: float, what: str, yes: bool | None = None) -> None:
            self.say(
                f"{at:3} {what}{'' if yes is None else ' yes' if yes else ' no'}: {duty.state.value}"
                f"{', healthy' if duty.is_serving() else ''}{', last answers' if duty.is_leaving() else ''}"
                f"{', closes idle' if duty.closes_idle_connections(at) else ''}"
            )

        shown(0.0, "made")
        duty.start_serving(0.1)
        shown(0.1, "begun")
        shown(1.0, "leave", duty.start_drain(1.0))
        shown(1.2, "empty already", duty.finish_drain(1.2, True))
        shown(2.0, "leave again", duty.start_drain(2.0))
        shown(2.6, "somebody left", duty.finish_drain(2.6, False))
        shown(2.7, "back in the middle", duty.resume_serving(2.7))
        shown(2.8, "nobody left, but in service", duty.finish_drain(2.8, True))
        shown(3.0, "leave", duty.start_drain(3.0))
        shown(5.0, "nobody left", duty.finish_drain(5.0, True))
        shown(5.1, "leave again", duty.start_drain(5.1))
        shown(6.0, "back", duty.resume_serving(6.0))
        shown(6.1, "back again", duty.resume_serving(6.1))
        duty.start_shutdown(7.0)
        shown(7.0, "ended")
        shown(7.1, "leave", duty.start_drain(7.1))
        shown(7.2, "back", duty.resume_serving(7.2))
        early = Lifecycle()
        early.start_drain(0.0)
        early.start_serving(0.1)
        self.say(f"told to leave before it had begun: {early.state.value}")
        self.close("operators-duty")


class TwoProcesses(Kept):
    """What the one that goes leaves to the one that comes."""

    def test_descriptors_of_both_stay_under_the_limit(self) -> None:
        given: dict[str, Any] = {"limits": {"sockets": 384}}
        to_runners, others = divide_socket_limit(given, True)
        for held in (0, 100, others):
            node, old = (SocketBudget(SocketLimits(to_runners, others), Mock(), Mock()) for _ in "no")
            old.yield_to_successor()
            node.reserve(held, old.connection_limiter.max_connections)
            self.assertLessEqual(node.listener.max_connections + held + to_runners + 2 * MAX_CALLERS, 384)
            self.assertLessEqual(
                node.connection_limiter.max_connections + old.connection_limiter.max_connections, to_runners
            )
            node.reserve(0, 0)  # the old one has left
            self.assertEqual(
                (node.connection_limiter.max_connections, node.listener.max_connections), (to_runners, others)
            )


class InService(DispatcherTestCase):
    """A dispatcher with its door, between stand-ins."""

    async def with_door(self, **entry: object) -> None:  # noqa: ARG002 - as the base names it
        self.reads = 0

        async def runner(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_request(reader)
                self.reads += 1
                writer.write(OK)
                ident = head.lower().partition("x-request-id: ")[2].split()[0]
                if not ident.startswith("held"):
                    await self.send_callback(id=ident, **{"from": "a"}, state="done", result="done")

        await self.begin(runner, rules={"cold-from": 0.2, "warm-after": 10_000_000})
        self.config["admin_addr"] = "127.0.0.1:0"
        await self.start_in_process()
        self.admin_port = self.application.admin_server.port()

    async def test_out_by_hand_until_the_call_back_whatever_lists_say(self) -> None:
        await self.with_door()
        self.assertEqual(await self.call(self.admin_port, "ready", "GET"), "200 ready")
        self.assertEqual((await self.send_request("u1"))[1], b"done")
        self.assertEqual(
            await self.call(self.admin_port, "runners/b/offline"), "404 no such runner was ever listed"
        )
        for _ in range(2):
            self.assertEqual(await self.call(self.admin_port, "runners/a/offline"), "200 offline")
        self.assertEqual(await self.call(self.admin_port, "ready", "GET"), "503 not ready")  # nowhere to send
        counters = self.application.metrics.counters
        for state in ("terminating", "in_service"):
            before, self.backend_state = self.application.metrics.counters["discovery-snapshots"], state
            self.endpoints_changed.set()
            await self.until(lambda before=before: counters["discovery-snapshots"] > before)  # type: ignore[misc]
        self.assertEqual(((await self.send_request("u2", wait=0.3))[0].split()[1], self.reads), ("503", 1))
        self.assertEqual(await self.call(self.admin_port, "runners/a/online"), "200 online")
        self.assertEqual(((await self.send_request("u3"))[1], self.reads), (b"done", 2))
        self.assertEqual(self.application.request_handler.request_classes.open_counts, [0])
        self.assertEqual(
            self.application.request_handler.routing.state.table.backends[0].started_at, 0
        )  # its kept connection shows it never restarted

    async def test_back_after_a_restart_that_the_list_does_not_show_it_is_cold(self) -> None:
        await self.with_door()
        self.assertEqual((await self.send_request("u1"))[1], b"done")
        await self.call(self.admin_port, "runners/a/offline")
        for link in list(self.application.backend_registry.records[0].pool.idle_connections):
            link.close()  # as the restarted runner does
        before = self.application.timers.clock.now()
        await self.call(self.admin_port, "runners/a/online")
        decisions = self.application.request_handler.routing
        self.assertGreaterEqual(decisions.state.table.backends[0].started_at, before)
        self.assertGreater(
            decisions.state.table.backends[0].warm_from, self.application.timers.clock.now() + 50_000
        )

    async def test_a_ban_called_while_the_connection_comes_up_holds_the_unit_back(self) -> None:
        await self.with_door()
        pool = self.application.backend_registry.records[0].pool
        opening = pool._connect

        async def banned_meanwhile(exchange: Exchange) -> None:
            self.assertEqual(await self.call(self.admin_port, "runners/a/offline"), "200 offline")
            await opening(exchange)

        pool._connect = banned_meanwhile  # type: ignore[method-assign]
        self.assertEqual((await self.send_request("u1", wait=0.5))[0].split()[1], "503")
        self.assertEqual((self.reads, self.application.metrics.counters["attempts-ended-not-sent"]), (0, 1))

    async def test_a_drain_serves_what_comes_closes_what_rests_and_returns(self) -> None:
        await self.with_door()
        resting, keep = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(keep.close)
        keep.write(
            b"POST /v1/job-events HTTP/1.1\r\nHost: b\r\nContent-Length: 40\r\n\r\n"
            + orjson.dumps({"id": "u0", "from": "a", "state": "started"})
        )
        await read_request(resting)
        used, use = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(use.close)
        unit = (
            b"POST /api HTTP/1.1\r\nHost: b\r\nX-Request-ID: %s\r\nX-Priority-Class: g\r\n"
            b"X-Timeout: 2\r\nContent-Length: 0\r\n\r\n"
        )
        use.write(unit % b"u1")
        self.assertNotIn("close", (await read_request(used))[0])
        held = asyncio.create_task(self.send_request("held"))
        await self.until(lambda: self.reads == 2)
        with patch("crankfold.service.lifecycle.CLIENT_MIGRATION_PERIOD", 0.3):
            for _ in range(2):
                self.assertEqual(await self.call(self.admin_port, "out-of-service"), "200 out of service")
            self.assertEqual(await self.call(self.admin_port, "ready", "GET"), "503 not ready")
            self.assertEqual(await self.health(), "503")
            self.assertEqual((await self.send_request("new"))[1], b"done")  # the front still brings some
            use.write(unit % b"u2")
            head, body = await read_request(used)
            self.assertEqual((body, "Connection: close" in head, await used.read()), (b"done", True, b""))
            idle, rest = await asyncio.open_connection("127.0.0.1", self.port)
            self.addCleanup(rest.close)
            async with asyncio.timeout(2):
                self.assertEqual(await idle.read(), b"")
            self.assertFalse(held.done())
            await self.send_callback(id="held", **{"from": "a"}, state="done", result="held")
            self.assertEqual((await held)[1], b"held")
            await self.until(lambda: self.application.lifecycle.state.value == "out of service")
        self.assertFalse(resting.at_eof())  # a runner's
        self.assertEqual(await self.call(self.admin_port, "in-service"), "200 in service")
        self.assertEqual(await self.health(), "200")
        self.assertEqual((await self.send_request("later"))[1], b"done")
        # Drained once more, and called back in its last moment: as the last connection goes.
        last = asyncio.create_task(self.send_request("held2"))
        await self.until(lambda: "held2" in self.application.request_handler.request_table.by_request_id)
        with patch("crankfold.service.lifecycle.CLIENT_MIGRATION_PERIOD", 0.0):
            await self.call(self.admin_port, "out-of-service")
            await self.send_callback(id="held2", **{"from": "a"}, state="done", result="held2")
            self.assertEqual((await last)[1], b"held2")
            self.assertEqual(await self.call(self.admin_port, "in-service"), "200 in service")
        await asyncio.sleep(0.1)
        self.assertEqual((self.application.lifecycle.state.value, await self.health()), ("in service", "200"))
        # Called back in the middle: whoever was not closed yet is kept.
        use.close()
        used, use = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(use.close)
        await self.call(self.admin_port, "out-of-service")
        await self.call(self.admin_port, "in-service")
        use.write(unit % b"u3")
        self.assertNotIn("close", (await read_request(used))[0])
        await self.call(self.admin_port, "out-of-service")
        self.application.shutdown_requested.set()  # SIGTERM, in the middle of a drain by call
        await self.until(lambda: self.application.lifecycle.state.value == "ending")
        self.assertEqual(await self.call(self.admin_port, "in-service"), "409 ending")

    async def health(self) -> str:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n")
        head, _ = await read_request(reader)
        writer.close()
        return head.split()[1]
