"""Manual drains of a backend and the drain of a dispatcher, by calls to its admin server on loopback."""

import asyncio
from unittest.mock import patch

import orjson

from crankfold.network.exchange import Exchange
from tests.fixtures import read_message
from tests.loopback import ACCEPTED, DispatcherTestCase


class AdminServiceTest(DispatcherTestCase):
    async def start_with_admin_server(self, **entry: object) -> None:  # noqa: ARG002 - not used
        self.received_count = 0

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_message(reader)
                self.received_count += 1
                writer.write(ACCEPTED)
                request_id = head.lower().partition("x-request-id: ")[2].split()[0]
                if not request_id.startswith("held"):
                    await self.send_callback(id=request_id, **{"from": "a"}, state="done", result="done")

        await self.begin(backend, rules={"cold-from": 0.2, "warm-after": 10_000_000})
        self.config["admin_addr"] = "127.0.0.1:0"
        await self.start_in_process()
        self.admin_port = self.application.admin_server.port()

    async def test_manual_drain_overrides_endpoint_lists_until_restore(self) -> None:
        await self.start_with_admin_server()
        self.assertEqual(await self.call(self.admin_port, "ready", "GET"), "200 ready")
        self.assertEqual((await self.send_request("u1"))[1], b"done")
        self.assertEqual(
            await self.call(self.admin_port, "runners/b/offline"), "404 no such runner was ever listed"
        )
        for _ in range(2):
            self.assertEqual(await self.call(self.admin_port, "runners/a/offline"), "200 offline")
        # No backend is ready.
        self.assertEqual(await self.call(self.admin_port, "ready", "GET"), "503 not ready")
        counters = self.application.metrics.counters
        for state in ("terminating", "in_service"):
            before, self.backend_state = self.application.metrics.counters["discovery-snapshots"], state
            self.endpoints_changed.set()
            await self.until(lambda before=before: counters["discovery-snapshots"] > before)  # type: ignore[misc]
        self.assertEqual(
            ((await self.send_request("u2", wait=0.3))[0].split()[1], self.received_count), ("503", 1)
        )
        self.assertEqual(await self.call(self.admin_port, "runners/a/online"), "200 online")
        self.assertEqual(((await self.send_request("u3"))[1], self.received_count), (b"done", 2))
        self.assertEqual(self.application.request_handler.request_classes.open_counts, [0])
        # The persistent connection proves that the backend has not restarted.
        self.assertEqual(
            self.application.request_handler.routing.state.table.backends[0].endpoint.started_at, 0
        )

    async def test_backend_restored_after_unlisted_restart_warms_up(self) -> None:
        await self.start_with_admin_server()
        self.assertEqual((await self.send_request("u1"))[1], b"done")
        await self.call(self.admin_port, "runners/a/offline")
        for connection in list(self.application.backend_registry.records[0].pool.idle_connections):
            connection.close()  # as a backend that restarts does
        before = self.application.timers.clock.now()
        await self.call(self.admin_port, "runners/a/online")
        router = self.application.request_handler.routing
        self.assertGreaterEqual(router.state.table.backends[0].endpoint.started_at, before)
        self.assertGreater(
            router.state.table.backends[0].warm_from, self.application.timers.clock.now() + 50_000
        )

    async def test_attempt_is_not_sent_if_backend_is_drained_while_connecting(self) -> None:
        await self.start_with_admin_server()
        pool = self.application.backend_registry.records[0].pool
        connect = pool._connect

        async def connect_after_drain(exchange: Exchange) -> None:
            self.assertEqual(await self.call(self.admin_port, "runners/a/offline"), "200 offline")
            await connect(exchange)

        pool._connect = connect_after_drain  # type: ignore[method-assign]
        self.assertEqual((await self.send_request("u1", wait=0.5))[0].split()[1], "503")
        self.assertEqual(
            (self.received_count, self.application.metrics.counters["attempts-ended-not-sent"]), (0, 1)
        )

    async def test_draining_process_serves_requests_closes_idle_clients_and_resumes(self) -> None:
        await self.start_with_admin_server()
        backend_reader, backend_writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(backend_writer.close)
        backend_writer.write(
            b"POST /v1/job-events HTTP/1.1\r\nHost: b\r\nContent-Length: 40\r\n\r\n"
            + orjson.dumps({"id": "u0", "from": "a", "state": "started"})
        )
        await read_message(backend_reader)
        client_reader, client_writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(client_writer.close)
        request = (
            b"POST /api HTTP/1.1\r\nHost: b\r\nX-Request-ID: %s\r\nX-Priority-Class: g\r\n"
            b"X-Timeout: 2\r\nContent-Length: 0\r\n\r\n"
        )
        client_writer.write(request % b"u1")
        self.assertNotIn("close", (await read_message(client_reader))[0])
        pending = asyncio.create_task(self.send_request("held"))
        await self.until(lambda: self.received_count == 2)
        with patch("crankfold.service.lifecycle.CLIENT_MIGRATION_PERIOD", 0.3):
            for _ in range(2):
                self.assertEqual(await self.call(self.admin_port, "out-of-service"), "200 out of service")
            self.assertEqual(await self.call(self.admin_port, "ready", "GET"), "503 not ready")
            self.assertEqual(await self.health(), "503")
            # Clients that have not learnt of the drain still connect.
            self.assertEqual((await self.send_request("new"))[1], b"done")
            client_writer.write(request % b"u2")
            head, body = await read_message(client_reader)
            self.assertEqual(
                (body, "Connection: close" in head, await client_reader.read()), (b"done", True, b"")
            )
            idle_reader, idle_writer = await asyncio.open_connection("127.0.0.1", self.port)
            self.addCleanup(idle_writer.close)
            async with asyncio.timeout(2):
                self.assertEqual(await idle_reader.read(), b"")
            self.assertFalse(pending.done())
            await self.send_callback(id="held", **{"from": "a"}, state="done", result="held")
            self.assertEqual((await pending)[1], b"held")
            await self.until(lambda: self.application.lifecycle.state.value == "out of service")
        self.assertFalse(backend_reader.at_eof())  # the connection of a backend stays open
        self.assertEqual(await self.call(self.admin_port, "in-service"), "200 in service")
        self.assertEqual(await self.health(), "200")
        self.assertEqual((await self.send_request("later"))[1], b"done")
        # A second drain is ended at the moment at which the last connection closes.
        last_request = asyncio.create_task(self.send_request("held2"))
        await self.until(lambda: "held2" in self.application.request_handler.request_table.by_request_id)
        with patch("crankfold.service.lifecycle.CLIENT_MIGRATION_PERIOD", 0.0):
            await self.call(self.admin_port, "out-of-service")
            await self.send_callback(id="held2", **{"from": "a"}, state="done", result="held2")
            self.assertEqual((await last_request)[1], b"held2")
            self.assertEqual(await self.call(self.admin_port, "in-service"), "200 in service")
        await asyncio.sleep(0.1)
        self.assertEqual((self.application.lifecycle.state.value, await self.health()), ("in service", "200"))
        # A third drain is cancelled before it completes: connections that are still open stay open.
        client_writer.close()
        client_reader, client_writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(client_writer.close)
        await self.call(self.admin_port, "out-of-service")
        await self.call(self.admin_port, "in-service")
        client_writer.write(request % b"u3")
        self.assertNotIn("close", (await read_message(client_reader))[0])
        await self.call(self.admin_port, "out-of-service")
        self.application.shutdown_requested.set()  # as by SIGTERM, during a drain by admin call
        await self.until(lambda: self.application.lifecycle.state.value == "ending")
        self.assertEqual(await self.call(self.admin_port, "in-service"), "409 ending")

    async def health(self) -> str:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n")
        head, _ = await read_message(reader)
        writer.close()
        return head.split()[1]
