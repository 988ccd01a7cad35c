"""A complete dispatcher in the test process, with a fake client, backend and discovery on loopback."""

import asyncio
from unittest.mock import patch

import orjson

from crankfold.network.exchange import Exchange
from tests.fixtures import read_message
from tests.loopback import ACCEPTED, DispatcherTestCase

NON_IDEMPOTENT = {"name": "g", "effect": "unsafe", "cut-off": 3_000_000, "expected-time": 2_000_000}


class ApplicationTest(DispatcherTestCase):
    async def test_request_is_sent_to_backend_and_its_result_to_client(self) -> None:
        accepted = asyncio.Event()

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, body = await read_message(reader)
                request_line = head.split("\r\n")[0]
                self.record(f"runner reads {request_line} {body!r} timed {'X-Timeout: 2.' in head}")
                # A callback may come before the 202, twice, from another backend or for an unknown request.
                await self.send_callback(id="u1", **{"from": "b"}, state="done", result="not it")
                await self.send_callback(id="u1", **{"from": "a"}, state="started")
                await self.send_callback(id="u1", **{"from": "a"}, state="done", result="result")
                await self.send_callback(id="u1", **{"from": "a"}, state="done", result="again")
                await self.send_callback(id="u0", **{"from": "a"}, state="lost")
                writer.write(ACCEPTED)
                accepted.set()

        await self.begin(backend)
        await self.start_in_process()
        answer = await self.send_request("u1", "Idempotency-Key: t\r\nX-Cost: 20\r\n")
        async with asyncio.timeout(5):
            await accepted.wait()
        await self.until(
            lambda: (
                not self.application.request_handler.request_table.requests
                and not self.application.request_handler.request_table.by_request_id
            )
        )
        counters = self.application.metrics.counters
        self.record(f"client reads {answer}")
        self.record(
            " ".join(
                f"{name} {counters[name]}"
                for name in (
                    "requests-admitted",
                    "attempts",
                    "requests-completed",
                    "requests-shed",
                    "attempts-ended-completed",
                )
            )
        )
        self.assert_matches_trace("whole")

    async def test_failed_endpoint_poll_is_repeated(self) -> None:
        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await read_message(reader)
                await self.send_callback(id="u1", **{"from": "a"}, state="done", result="result")
                writer.write(ACCEPTED)

        polls: list[str] = []

        async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            polls.append((await read_message(reader))[0].split()[1])
            if len(polls) < 3:
                return
            body = orjson.dumps(self.discovery_answer())
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await reader.read()

        await self.begin(backend, **{"membership-mode": "on_request", "rules": {"ask-within": 80_000}})
        self.config["discovery"] = f"127.0.0.1:{await self.start_fake_server(discovery)}"
        del self.config["known"]
        await self.start_in_process()
        await self.until(lambda: self.application.metrics.counters["discovery-snapshots"] == 1)
        self.assertEqual(await self.send_request("u1"), ("HTTP/1.1 200 OK", b"result"))
        self.assertEqual(
            (polls, self.application.metrics.counters["discovery-failed"]), (["/v1/servers"] * 3, 2)
        )

    async def test_silent_backend_holds_no_request_past_its_deadline(self) -> None:
        async def silent(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            received.append((await reader.read(1 << 16)).split()[0])
            received.append(await reader.read())

        received: list[bytes] = []
        await self.begin(silent, **{"service-grades": [NON_IDEMPOTENT]})
        await self.start_in_process()
        started_at = asyncio.get_running_loop().time()
        self.assertEqual((await self.send_request("u1", wait=0.2))[0].split()[1], "504")
        self.assertLess(asyncio.get_running_loop().time() - started_at, 1.0)
        await self.until(
            lambda: (
                not self.application.request_handler.request_table.requests
                and not self.application.connection_limiter.open_count
            )
        )
        await self.until(lambda: len(received) == 2)
        # Before the 202 an attempt is cancelled by closing its connection.
        self.assertEqual(received, [b"POST", b""])

    async def test_backend_error_is_not_passed_to_client(self) -> None:
        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await read_message(reader)
                # Without X-Not-Processed the request may have been executed.
                writer.write(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")

        await self.begin(backend, **{"service-grades": [NON_IDEMPOTENT]})
        await self.start_in_process()
        self.assertEqual((await self.send_request("u1"))[0].split()[1], "504")
        self.assertEqual(self.application.metrics.counters["requests-failed"], 1)

    async def test_request_rejected_by_backend_is_not_retried_nor_counted_as_error(self) -> None:
        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await read_message(reader)
                writer.write(b"HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n")

        await self.begin(backend)
        await self.start_in_process()
        for request_id in ("u1", "u2", "u3"):
            self.assertEqual((await self.send_request(request_id))[0].split()[1], "400")
        self.assertEqual(
            (
                self.application.metrics.counters["attempts"],
                [
                    backend.error_rate
                    for backend in self.application.request_handler.routing.state.table.backends
                ],
            ),
            (3, [0.0]),
        )

    async def test_duplicate_id_is_rejected_overload_shed_and_moved_backend_used(self) -> None:
        posts: list[str] = []

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_message(reader)
                posts.append(head.split()[0])
                writer.write(ACCEPTED)

        async def moved(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            await self.send_callback(id="u3", **{"from": "a"}, state="done", result="moved")
            await reader.read()

        await self.begin(backend)
        await self.start_in_process()
        first_response = asyncio.create_task(self.send_request("u1"))
        await self.until(lambda: self.application.metrics.counters["attempts"] == 1 and len(posts) == 1)
        self.assertEqual((await self.send_request("u1"))[0].split()[1], "409")
        with patch.object(self.application.listener, "is_over_limit", lambda: True):
            self.assertEqual((await self.send_request("u2"))[0].split()[1], "503")
        self.assertEqual((self.application.metrics.counters["shed-overloaded"], posts), (1, ["POST"]))
        # A cancelled attempt may run until the backend confirms its end, so no second attempt is sent there.
        await self.until(
            lambda: self.application.request_handler.request_table.requests[0].attempts[0].accepted
        )
        self.application.request_handler.cancel_attempt(0, 0)
        self.assertEqual((await first_response)[0].split()[1], "503")
        self.assertEqual(
            (posts, self.application.metrics.counters["attempts-ended-not-sent"]), (["POST", "DELETE"], 1)
        )
        self.backend_port = await self.start_fake_server(moved)
        self.endpoints_changed.set()
        await self.until(lambda: self.application.metrics.counters["discovery-snapshots"] == 2)
        self.assertEqual((await self.send_request("u3"))[1], b"moved")

    async def test_client_disconnect_cancels_attempt_and_discards_request(self) -> None:
        cancelled = asyncio.Event()
        accepted = asyncio.Event()

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_message(reader)
                writer.write(ACCEPTED)
                (cancelled if head.startswith("DELETE /jobs/u1 ") else accepted).set()

        await self.begin(backend)
        await self.start_in_process()
        pending_response = asyncio.create_task(self.send_request("u1"))
        async with asyncio.timeout(5):
            await accepted.wait()
            requests = self.application.request_handler.request_table.requests
            await self.until(
                lambda: any(attempt.accepted for request in requests.values() for attempt in request.attempts)
            )
            pending_response.cancel()
            await cancelled.wait()
        await self.until(
            lambda: (
                not self.application.request_handler.request_table.requests
                and not self.application.request_handler.request_table.by_client
            )
        )

    async def test_attempt_is_not_sent_if_endpoint_list_drains_backend_while_connecting(self) -> None:
        async def backend(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            self.record(f"runner reads {(await read_message(reader))[0]}")

        await self.begin(backend)
        await self.start_in_process()
        pool = self.application.backend_registry.records[0].pool
        connect = pool._connect

        async def connect_after_drain(exchange: Exchange) -> None:
            self.backend_state = "terminating"
            self.endpoints_changed.set()
            await self.until(lambda: self.application.metrics.counters["discovery-snapshots"] == 2)
            await connect(exchange)

        pool._connect = connect_after_drain  # type: ignore[method-assign]
        self.assertEqual((await self.send_request("u1"))[0].split()[1], "503")
        self.assertEqual((self.lines, self.application.metrics.counters["attempts-ended-not-sent"]), ([], 1))

    async def test_end_of_drain_fails_only_requests_that_may_have_been_executed(self) -> None:
        async def silent(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await reader.read()

        await self.begin(silent, **{"service-grades": [NON_IDEMPOTENT]})
        await self.start_in_process()
        pending = [asyncio.create_task(self.send_request("sent"))]
        await self.until(lambda: self.application.metrics.counters["attempts"] == 1)
        self.application.request_handler.routing.limit.limit = 0.0  # further requests are queued
        pending.append(asyncio.create_task(self.send_request("held")))
        await self.until(lambda: self.application.request_handler.open_request_count() == 2)
        self.application.request_handler.answer_all_open()
        self.assertEqual([(await response)[0].split()[1] for response in pending], ["504", "503"])
