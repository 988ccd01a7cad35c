"""Manual drains and the drain of a dispatcher, called at its admin server on loopback."""

import asyncio
from unittest.mock import patch

import orjson

from crankfold.network.exchange import Exchange
from tests.fixtures import read_message
from tests.loopback import OK, DispatcherTestCase


class AdminServiceTest(DispatcherTestCase):
    """A dispatcher with an admin server, between stand-ins."""

    async def start_with_admin_server(self, **entry: object) -> None:  # noqa: ARG002 - as the base names it
        self.reads = 0

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_message(reader)
                self.reads += 1
                writer.write(OK)
                request_id = head.lower().partition("x-request-id: ")[2].split()[0]
                if not request_id.startswith("held"):
                    await self.send_callback(id=request_id, **{"from": "a"}, state="done", result="done")

        await self.begin(backend, rules={"cold-from": 0.2, "warm-after": 10_000_000})
        self.config["admin_addr"] = "127.0.0.1:0"
        await self.start_in_process()
        self.admin_port = self.application.admin_server.port()

    async def test_out_by_hand_until_the_call_back_whatever_lists_say(self) -> None:
        await self.start_with_admin_server()
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
            self.application.request_handler.routing.state.table.backends[0].endpoint.started_at, 0
        )  # its kept connection shows it never restarted

    async def test_back_after_a_restart_that_the_list_does_not_show_it_is_cold(self) -> None:
        await self.start_with_admin_server()
        self.assertEqual((await self.send_request("u1"))[1], b"done")
        await self.call(self.admin_port, "runners/a/offline")
        for link in list(self.application.backend_registry.records[0].pool.idle_connections):
            link.close()  # as the restarted runner does
        before = self.application.timers.clock.now()
        await self.call(self.admin_port, "runners/a/online")
        decisions = self.application.request_handler.routing
        self.assertGreaterEqual(decisions.state.table.backends[0].endpoint.started_at, before)
        self.assertGreater(
            decisions.state.table.backends[0].warm_from, self.application.timers.clock.now() + 50_000
        )

    async def test_a_ban_called_while_the_connection_comes_up_holds_the_unit_back(self) -> None:
        await self.start_with_admin_server()
        pool = self.application.backend_registry.records[0].pool
        opening = pool._connect

        async def banned_meanwhile(exchange: Exchange) -> None:
            self.assertEqual(await self.call(self.admin_port, "runners/a/offline"), "200 offline")
            await opening(exchange)

        pool._connect = banned_meanwhile  # type: ignore[method-assign]
        self.assertEqual((await self.send_request("u1", wait=0.5))[0].split()[1], "503")
        self.assertEqual((self.reads, self.application.metrics.counters["attempts-ended-not-sent"]), (0, 1))

    async def test_a_drain_serves_what_comes_closes_what_rests_and_returns(self) -> None:
        await self.start_with_admin_server()
        resting, keep = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(keep.close)
        keep.write(
            b"POST /v1/job-events HTTP/1.1\r\nHost: b\r\nContent-Length: 40\r\n\r\n"
            + orjson.dumps({"id": "u0", "from": "a", "state": "started"})
        )
        await read_message(resting)
        used, use = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(use.close)
        request = (
            b"POST /api HTTP/1.1\r\nHost: b\r\nX-Request-ID: %s\r\nX-Priority-Class: g\r\n"
            b"X-Timeout: 2\r\nContent-Length: 0\r\n\r\n"
        )
        use.write(request % b"u1")
        self.assertNotIn("close", (await read_message(used))[0])
        pending = asyncio.create_task(self.send_request("held"))
        await self.until(lambda: self.reads == 2)
        with patch("crankfold.service.lifecycle.CLIENT_MIGRATION_PERIOD", 0.3):
            for _ in range(2):
                self.assertEqual(await self.call(self.admin_port, "out-of-service"), "200 out of service")
            self.assertEqual(await self.call(self.admin_port, "ready", "GET"), "503 not ready")
            self.assertEqual(await self.health(), "503")
            self.assertEqual((await self.send_request("new"))[1], b"done")  # the front still brings some
            use.write(request % b"u2")
            head, body = await read_message(used)
            self.assertEqual((body, "Connection: close" in head, await used.read()), (b"done", True, b""))
            idle, rest = await asyncio.open_connection("127.0.0.1", self.port)
            self.addCleanup(rest.close)
            async with asyncio.timeout(2):
                self.assertEqual(await idle.read(), b"")
            self.assertFalse(pending.done())
            await self.send_callback(id="held", **{"from": "a"}, state="done", result="held")
            self.assertEqual((await pending)[1], b"held")
            await self.until(lambda: self.application.lifecycle.state.value == "out of service")
        self.assertFalse(resting.at_eof())  # a runner's
        self.assertEqual(await self.call(self.admin_port, "in-service"), "200 in service")
        self.assertEqual(await self.health(), "200")
        self.assertEqual((await self.send_request("later"))[1], b"done")
        # Drained once more, and called back in its last moment: as the last connection goes.
        last_request = asyncio.create_task(self.send_request("held2"))
        await self.until(lambda: "held2" in self.application.request_handler.request_table.by_request_id)
        with patch("crankfold.service.lifecycle.CLIENT_MIGRATION_PERIOD", 0.0):
            await self.call(self.admin_port, "out-of-service")
            await self.send_callback(id="held2", **{"from": "a"}, state="done", result="held2")
            self.assertEqual((await last_request)[1], b"held2")
            self.assertEqual(await self.call(self.admin_port, "in-service"), "200 in service")
        await asyncio.sleep(0.1)
        self.assertEqual((self.application.lifecycle.state.value, await self.health()), ("in service", "200"))
        # Called back in the middle: whoever was not closed yet is kept.
        use.close()
        used, use = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(use.close)
        await self.call(self.admin_port, "out-of-service")
        await self.call(self.admin_port, "in-service")
        use.write(request % b"u3")
        self.assertNotIn("close", (await read_message(used))[0])
        await self.call(self.admin_port, "out-of-service")
        self.application.shutdown_requested.set()  # SIGTERM, in the middle of a drain by call
        await self.until(lambda: self.application.lifecycle.state.value == "ending")
        self.assertEqual(await self.call(self.admin_port, "in-service"), "409 ending")

    async def health(self) -> str:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n")
        head, _ = await read_message(reader)
        writer.close()
        return head.split()[1]
