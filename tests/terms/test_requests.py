"""Clients that disconnect, signals during startup and shutdown, and delayed writes of retries."""

import asyncio
import contextlib
import os
import signal
from typing import Any
from unittest.mock import patch

from crankfold.network.accepted_connection import MAX_UNREAD_BYTES
from tests.fixtures import read_message
from tests.loopback import NOT_PROCESSED, REQUEST, DispatcherTestCase, accept_requests


class ClientDisconnectTest(DispatcherTestCase):
    async def test_no_retry_is_sent_after_flooding_client_disconnects(self) -> None:
        """The end of the connection is only visible after the data with which the client floods it."""
        sent: list[str] = []
        client_disconnected = asyncio.Event()

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                sent.append((await read_message(reader))[0])
                await client_disconnected.wait()
                await asyncio.sleep(0.15)
                writer.write(NOT_PROCESSED)

        await self.begin(backend)
        await self.start_in_process()
        # The delay that hundreds of flooding connections cause.
        with patch("crankfold.network.accepted_connection.THROTTLE_DELAY", 2.0):
            _, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(REQUEST + b"x" * (4 * MAX_UNREAD_BYTES))
            await self.until(lambda: len(sent) == 1 and bool(self.application.listener.flooding_connections))
            writer.close()
            client_disconnected.set()
            await asyncio.sleep(0.6)
        self.assertEqual(len(sent), 1, "a retry was sent 0.15 s after the client had disconnected")


class SignalHandlingTest(DispatcherTestCase):
    async def test_counter_signal_before_import_does_not_end_process(self) -> None:
        await self.begin(accept_requests)
        program = (
            "import os, runpy, signal, sys\n"
            "class SignalSender:\n"
            "    def find_spec(self, name, path=None, target=None):\n"
            "        if name == 'crankfold.cli.main': os.kill(os.getpid(), signal.SIGUSR1)\n"
            "sys.meta_path.insert(0, SignalSender())\n"
            "sys.argv = ['crankfold', 'serve']\n"
            "runpy.run_module('crankfold', run_name='__main__')"
        )
        output_task = await self.start_process(["-O", "-c", program])
        self.process.send_signal(signal.SIGTERM)
        await output_task
        self.assertEqual(self.process.returncode, 0)

    async def test_repeated_signals_do_not_cut_shutdown_short(self) -> None:
        await self.begin(accept_requests)
        self.config["settings"]["service-grades"][0]["cut-off"] = 300_000
        output_task = await self.start_process(["-O", "-m", "crankfold", "serve"])
        self.process.send_signal(signal.SIGTERM)
        while self.process.returncode is None:
            for signal_number in (signal.SIGUSR1, signal.SIGHUP, signal.SIGTERM):
                # os.kill, as the process object polls for the exit itself and takes the status from asyncio.
                if self.process.returncode is None:
                    with contextlib.suppress(ProcessLookupError):
                        os.kill(self.process.pid, signal_number)
            await asyncio.sleep(0.002)
        output = await output_task
        self.assertEqual(self.process.returncode, 0, output)


class DelayedWriteTest(DispatcherTestCase):
    async def count_attempts(self, *, break_after_seconds: float) -> int:
        """Returns the attempts of a keyed request whose first one breaks after this time.

        The deduplication window is 0.4 s.
        """
        attempts = 0

        async def backend(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            nonlocal attempts
            await read_message(reader)
            attempts += 1
            if attempts == 1:
                await asyncio.sleep(break_after_seconds)

        await self.begin(backend)
        self.other_port = await self.start_fake_server(backend)
        request_class = self.config["settings"]["service-grades"][0]
        request_class |= {"effect": "keyed", "group": "all", "repeat-window": 400_000}
        self.config["known"] = self.discovery_answer()
        await self.start_in_process()
        await self.send_request("u1", "Idempotency-Key: u1\r\n")
        return attempts

    def discovery_answer(self) -> dict[str, Any]:
        answer = super().discovery_answer()
        first = answer["targets"][0]
        other_port = getattr(self, "other_port", None)
        other = [{**first, "uid": "b", "endpoint": f"127.0.0.1:{other_port}"}] if other_port else []
        return {**answer, "targets": [first, *other]}

    async def test_retry_is_skipped_when_delayed_write_would_miss_deduplication_window(self) -> None:
        """The dispatcher may be delayed for 0.15 s between reading its clock and writing the retry."""
        self.assertEqual(await self.count_attempts(break_after_seconds=0.3), 1)

    async def test_retry_is_sent_with_time_left_in_deduplication_window(self) -> None:
        self.assertEqual(await self.count_attempts(break_after_seconds=0.1), 2)
