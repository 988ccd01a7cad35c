"""The handover channel and its files in a folder, also after killed or foreign processes."""

import asyncio
import contextlib
import logging
import os
import tempfile
from pathlib import Path
from typing import Any
from unittest.mock import Mock, patch

from crankfold.network.handover_channel import SOCKET_SIGNATURE, HandoverChannel
from crankfold.protocol.handover_messages import (
    Hello,
    ManualDrainRecord,
    ManualDrainState,
)
from tests.loopback import LoopbackTestCase

HELLO = Hello(1, ("127.0.0.1", 18080), "n0")


class HandoverChannelTest(LoopbackTestCase):
    async def test_files_of_killed_or_foreign_processes_are_ignored_and_replaced(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        folder /= "deep" * 40  # longer than the path of a Unix socket may be
        folder.mkdir()
        categories: list[str] = []
        log_patch = patch.object(
            logging.getLogger("crankfold.network.handover_channel"),
            "handle",
            lambda record: categories.append(record.category),
        )
        self.enterContext(log_patch)
        channel = HandoverChannel(str(folder), "p", Mock())
        self.assertIsNone(await channel.connect(HELLO))
        self.assertEqual(categories, [])  # a start without a predecessor is normal
        (folder / "p").write_text("no socket")
        (folder / "p.bans").write_text('{"bans": {"a"')
        self.assertIsNone(await channel.connect(HELLO))
        self.assertEqual((channel.load_record(), categories), (None, ["predecessor", "records"]))
        record = ManualDrainRecord("n0", ManualDrainState({"a": 5}, {"b": (6, 7)}))
        channel.save_record(record)
        self.assertEqual(channel.load_record(), record)
        await channel.open()
        file_names = sorted(path.name for path in folder.iterdir())
        self.assertEqual(file_names, ["p", "p.bans"])  # no temporary files remain
        channel.server.close()  # type: ignore[union-attr]  # a killed process leaves its socket
        self.assertIsNone(await HandoverChannel(str(folder), "p", Mock()).connect(HELLO))

        async def serve_foreign_protocol(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"220 mail\n")
            with contextlib.suppress(ConnectionError):
                await reader.read()
            writer.close()

        os.unlink(folder / "p")
        with channel._short_path("p") as path:
            server = await asyncio.start_unix_server(serve_foreign_protocol, path)
        self.addCleanup(server.close)
        self.assertIsNone(await channel.connect(HELLO))
        await channel.open()  # replaces the foreign socket
        newer_channel = HandoverChannel(str(folder), "p", Mock())
        await newer_channel.open()
        channel.close()
        self.assertTrue((folder / "p").exists())  # the socket of the newer channel
        newer_channel.close()
        self.assertFalse((folder / "p").exists())

    # Guards against closing a descriptor that a transport still uses: the transport then blocks the next
    # descriptor with the same number.
    async def test_predecessor_without_message_leaves_no_open_transport(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())

        async def send_no_message(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(SOCKET_SIGNATURE + b"220 mail\n")

        server = await asyncio.start_unix_server(send_no_message, f"{folder}/p")
        self.addCleanup(server.close)
        original_open = asyncio.open_unix_connection
        writers: list[asyncio.StreamWriter] = []

        async def open_and_keep_writer(**options: Any) -> Any:
            """Keeps a reference to the writer: some versions of Python close a writer without references."""
            reader, writer = await original_open(**options)
            writers.append(writer)
            return reader, writer

        channel = HandoverChannel(folder, "p", Mock())
        with patch("asyncio.open_unix_connection", open_and_keep_writer):
            for _ in range(3):  # each connection reuses the descriptor of the previous one
                with self.assertLogs("crankfold.network.handover_channel"):
                    self.assertIsNone(await channel.connect(HELLO))
                self.assertTrue(writers[-1].is_closing())
