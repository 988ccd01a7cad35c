"""Clauses on clients that have gone, and on signals that come too early."""

import asyncio
import contextlib
import os
import signal
from typing import Any
from unittest.mock import patch

from crankfold.network.accepted_connection import MAX_UNREAD_BYTES
from tests.fixtures import read_message
from tests.loopback import NOT_PROCESSED, REQUEST, DispatcherTestCase, accept_requests


class ClientGoneTest(DispatcherTestCase):
    async def test_nothing_is_sent_for_a_client_whose_end_stands_behind_what_it_floods(self) -> None:
        sent: list[str] = []
        client_gone = asyncio.Event()

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                sent.append((await read_message(reader))[0])
                await client_gone.wait()
                await asyncio.sleep(0.15)
                writer.write(NOT_PROCESSED)

        await self.begin(backend)
        await self.start_in_process()
        with patch("crankfold.network.accepted_connection.THROTTLE_DELAY", 2.0):  # as hundreds that flood
            _, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(REQUEST + b"x" * (4 * MAX_UNREAD_BYTES))
            await self.until(lambda: len(sent) == 1 and bool(self.application.listener.flooding_connections))
            writer.close()
            client_gone.set()
            await asyncio.sleep(0.6)
        self.assertEqual(len(sent), 1, "sent again 0.15 s after the client had gone")


class EarlySignalTest(DispatcherTestCase):
    async def test_a_signal_for_counters_before_the_program_is_imported_does_not_end_it(self) -> None:
        await self.begin(accept_requests)
        program = (
            "import os, runpy, signal, sys\n"
            "class Early:\n"
            "    def find_spec(self, name, path=None, target=None):\n"
            "        if name == 'crankfold.cli.main': os.kill(os.getpid(), signal.SIGUSR1)\n"
            "sys.meta_path.insert(0, Early())\n"
            "sys.argv = ['crankfold', 'serve']\n"
            "runpy.run_module('crankfold', run_name='__main__')"
        )
        lines = await self.start_process(["-O", "-c", program])
        self.process.send_signal(signal.SIGTERM)
        await lines
        self.assertEqual(self.process.returncode, 0)

    async def test_signals_in_series_during_the_end_do_not_cut_it_short(self) -> None:
        await self.begin(accept_requests)
        self.config["settings"]["service-grades"][0]["cut-off"] = 300_000
        lines = await self.start_process(["-O", "-m", "crankfold", "serve"])
        self.process.send_signal(signal.SIGTERM)
        while self.process.returncode is None:
            for number in (signal.SIGUSR1, signal.SIGHUP, signal.SIGTERM):
                # Not by the process object: it looks for the exit itself and takes its status from asyncio.
                if self.process.returncode is None:
                    with contextlib.suppress(ProcessLookupError):
                        os.kill(self.process.pid, number)
            await asyncio.sleep(0.002)
        printed = await lines
        self.assertEqual(self.process.returncode, 0, printed)


class DelayedWriteTest(DispatcherTestCase):
    async def attempts_after_break(self, *, broken_after: float) -> int:
        """How often a request with key goes out whose first attempt breaks so late in its window of 0.4 s."""
        attempts = 0

        async def backend(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            nonlocal attempts
            await read_message(reader)
            attempts += 1
            if attempts == 1:
                await asyncio.sleep(broken_after)

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

    async def test_a_window_that_a_held_up_write_would_miss_is_over(self) -> None:
        """A dispatcher may be held up for 0.15 s between reading its clock and writing."""
        self.assertEqual(await self.attempts_after_break(broken_after=0.3), 1)

    async def test_a_window_with_time_left_is_used(self) -> None:
        self.assertEqual(await self.attempts_after_break(broken_after=0.1), 2)
