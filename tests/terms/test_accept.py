"""Failing accept and connect calls: the dispatcher retries them within milliseconds."""

import asyncio
import errno
import os
import socket
from typing import Any
from unittest.mock import patch

from tests.fixtures import read_message
from tests.loopback import HEALTH_CHECK, DispatcherTestCase
from tests.terms.test_stalled_clients import failing_backend

CONSECUTIVE_FAILURES = 20
LOCAL_CONNECT_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
# Transient errors of accept(2): a limit of the process or the system, or a failure of the connection itself.
ACCEPT_ERRORS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.ENETDOWN,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.EINTR,
)


class FailingAcceptTest(DispatcherTestCase):
    """Accepting resumes within milliseconds after accept fails; the dispatcher does not spin meanwhile."""

    async def measure_health_check_seconds(self) -> float:
        """Sends a health check on a new connection and returns its duration."""
        started_at = asyncio.get_running_loop().time()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(HEALTH_CHECK)
        async with asyncio.timeout(3):
            head, _ = await read_message(reader)
        self.assertEqual(head.split()[1], "200")
        writer.close()
        return asyncio.get_running_loop().time() - started_at

    async def test_listener_resumes_after_each_accept_error(self) -> None:
        await self.begin(failing_backend)
        await self.start_in_process()
        real_accept = socket.socket.accept
        for error_number in ACCEPT_ERRORS:
            failures = 0

            def failing_accept(sock: socket.socket, error_number: int = error_number) -> Any:
                nonlocal failures
                if sock.getsockname()[1] == self.port and failures < CONSECUTIVE_FAILURES:
                    failures += 1
                    raise OSError(error_number, os.strerror(error_number))
                return real_accept(sock)

            with self.subTest(errno.errorcode[error_number]):
                with patch.object(socket.socket, "accept", failing_accept):
                    self.assertLess(await self.measure_health_check_seconds(), 0.3)
                self.assertEqual(failures, CONSECUTIVE_FAILURES)

    async def test_lasting_accept_failure_is_retried_without_spinning(self) -> None:
        await self.begin(failing_backend)
        await self.start_in_process()
        real_accept = socket.socket.accept
        loop = asyncio.get_running_loop()
        healthy_from = loop.time() + 0.5
        calls = 0

        def failing_accept(sock: socket.socket) -> Any:
            nonlocal calls
            if sock.getsockname()[1] == self.port and loop.time() < healthy_from:
                calls += 1
                raise OSError(errno.ENFILE, os.strerror(errno.ENFILE))
            return real_accept(sock)

        with patch.object(socket.socket, "accept", failing_accept):
            self.assertLess(await self.measure_health_check_seconds(), 0.6)
        self.assertLess(calls, 300)

    async def test_request_waiting_to_be_accepted_at_shutdown_is_answered(self) -> None:
        """Accept fails from the shutdown signal until after the drain: queued connections are answered."""
        await self.begin(failing_backend)
        self.config["settings"]["service-grades"][0]["cut-off"] = 300_000
        await self.start_in_process()
        real_accept = socket.socket.accept
        loop = asyncio.get_running_loop()
        end = loop.time() + 0.81  # the drain lasts for the longest deadline and half a second

        def failing_accept(sock: socket.socket) -> Any:
            if sock.getsockname()[1] == self.port and loop.time() < end:
                raise OSError(errno.ENOBUFS, os.strerror(errno.ENOBUFS))
            return real_accept(sock)

        with patch.object(socket.socket, "accept", failing_accept):
            self.application.shutdown_requested.set()
            await asyncio.sleep(0.35)  # new connections keep arriving for 0.2 to 0.4 s
            answers = await asyncio.gather(*(self.send_request(f"u{index}") for index in range(5)))
        self.assertEqual({status.split()[1] for status, _ in answers}, {"503"})


class FailingConnectTest(DispatcherTestCase):
    async def test_local_connect_errors_are_retried_and_mark_no_backend_unreachable(self) -> None:
        await self.begin(failing_backend)
        await self.start_in_process()
        real_connect = socket.socket.connect
        for error_number in LOCAL_CONNECT_ERRORS:
            failures = 0

            def failing_connect(sock: socket.socket, address: Any, error_number: int = error_number) -> None:
                nonlocal failures
                if address[1] == self.backend_port and failures < CONSECUTIVE_FAILURES:
                    failures += 1
                    raise OSError(error_number, os.strerror(error_number))
                real_connect(sock, address)

            with self.subTest(errno.errorcode[error_number]):
                self.application.backend_registry.records[0].pool.close()
                self.application.backend_registry.records[0].pool.closed = False
                with patch.object(socket.socket, "connect", failing_connect):
                    await self.send_request(errno.errorcode[error_number])
                self.assertEqual(failures, CONSECUTIVE_FAILURES)
        counters = self.application.metrics.counters
        self.assertEqual(counters["attempts-ended-unreachable"], 0)
        self.assertGreaterEqual(counters["attempts-ended-error"], len(LOCAL_CONNECT_ERRORS))
