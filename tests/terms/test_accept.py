"""The clause on system calls that fail: accepting goes on within milliseconds after accept failed."""

import asyncio
import errno
import os
import socket
from typing import Any
from unittest.mock import patch

from tests.fixtures import read_message
from tests.loopback import HEALTH_CHECK, DispatcherTestCase
from tests.terms.test_stalled_clients import failing_backend

FAILED_ACCEPTS = 20  # in a row
LOCAL_CONNECT_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
# What accept(2) may fail with for a moment: the process, the system, or the connection itself.
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
    """Accepting goes on within milliseconds after accept failed, and does not spin while it fails."""

    async def health(self) -> float:
        begin = asyncio.get_running_loop().time()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(HEALTH_CHECK)
        async with asyncio.timeout(3):
            head, _ = await read_message(reader)
        self.assertEqual(head.split()[1], "200")
        writer.close()
        return asyncio.get_running_loop().time() - begin

    async def test_accepting_goes_on_after_each_error_of_accept(self) -> None:
        await self.begin(failing_backend)
        await self.start_in_process()
        accept = socket.socket.accept
        for number in ACCEPT_ERRORS:
            failures = 0

            def failing_accept(sock: socket.socket, number: int = number) -> Any:
                nonlocal failures
                if sock.getsockname()[1] == self.port and failures < FAILED_ACCEPTS:
                    failures += 1
                    raise OSError(number, os.strerror(number))
                return accept(sock)

            with self.subTest(errno.errorcode[number]):
                with patch.object(socket.socket, "accept", failing_accept):
                    self.assertLess(await self.health(), 0.3)
                self.assertEqual(failures, FAILED_ACCEPTS)

    async def test_a_lasting_failure_of_accept_is_asked_again_without_spinning(self) -> None:
        await self.begin(failing_backend)
        await self.start_in_process()
        accept = socket.socket.accept
        loop = asyncio.get_running_loop()
        healthy_from = loop.time() + 0.5
        calls = 0

        def failing_accept(sock: socket.socket) -> Any:
            nonlocal calls
            if sock.getsockname()[1] == self.port and loop.time() < healthy_from:
                calls += 1
                raise OSError(errno.ENFILE, os.strerror(errno.ENFILE))
            return accept(sock)

        with patch.object(socket.socket, "accept", failing_accept):
            self.assertLess(await self.health(), 0.6)
        self.assertLess(calls, 300)

    async def test_a_request_that_waits_to_be_accepted_at_the_end_is_answered(self) -> None:
        """Accept fails from the signal on, up to after the drain: the queue is not closed unread."""
        await self.begin(failing_backend)
        self.config["settings"]["service-grades"][0]["cut-off"] = 300_000
        await self.start_in_process()
        accept = socket.socket.accept
        loop = asyncio.get_running_loop()
        end = loop.time() + 0.81  # the drain lasts for the longest deadline and half a second

        def failing_accept(sock: socket.socket) -> Any:
            if sock.getsockname()[1] == self.port and loop.time() < end:
                raise OSError(errno.ENOBUFS, os.strerror(errno.ENOBUFS))
            return accept(sock)

        with patch.object(socket.socket, "accept", failing_accept):
            self.application.shutdown_requested.set()
            await asyncio.sleep(0.35)  # new connections go on coming for 0.2 to 0.4 s
            answers = await asyncio.gather(*(self.send_request(f"u{number}") for number in range(5)))
        self.assertEqual({status.split()[1] for status, _ in answers}, {"503"})


class FailingConnectTest(DispatcherTestCase):
    async def test_local_failures_of_connect_are_asked_again_and_rest_no_backend(self) -> None:
        await self.begin(failing_backend)
        await self.start_in_process()
        connect = socket.socket.connect
        for number in LOCAL_CONNECT_ERRORS:
            failures = 0

            def failing_connect(sock: socket.socket, address: Any, number: int = number) -> None:
                nonlocal failures
                if address[1] == self.backend_port and failures < FAILED_ACCEPTS:
                    failures += 1
                    raise OSError(number, os.strerror(number))
                connect(sock, address)

            with self.subTest(errno.errorcode[number]):
                self.application.backend_registry.records[0].pool.close()
                self.application.backend_registry.records[0].pool.closed = False
                with patch.object(socket.socket, "connect", failing_connect):
                    await self.send_request(errno.errorcode[number])
                self.assertEqual(failures, FAILED_ACCEPTS)
        counters = self.application.metrics.counters
        self.assertEqual(counters["attempts-ended-unreachable"], 0)
        self.assertGreaterEqual(counters["attempts-ended-error"], len(LOCAL_CONNECT_ERRORS))
