"""The handover channel on its socket in a folder: what killed or foreign processes left behind."""

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
    async def test_remains_of_a_killed_or_foreign_process_are_ignored_and_replaced(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        folder /= "deep" * 40  # too long for the path of a socket
        folder.mkdir()
        categories: list[str] = []
        logged = patch.object(
            logging.getLogger("crankfold.network.handover_channel"),
            "handle",
            lambda record: categories.append(record.category),
        )
        self.enterContext(logged)
        channel = HandoverChannel(str(folder), "p", Mock())
        self.assertIsNone(await channel.connect(HELLO))
        self.assertEqual(categories, [])  # the usual start
        (folder / "p").write_text("no socket")
        (folder / "p.bans").write_text('{"bans": {"a"')
        self.assertIsNone(await channel.connect(HELLO))
        self.assertEqual((channel.load_record(), categories), (None, ["predecessor", "records"]))
        record = ManualDrainRecord("n0", ManualDrainState({"a": 5}, {"b": (6, 7)}))
        channel.save_record(record)
        self.assertEqual(channel.load_record(), record)
        await channel.open()
        left = sorted(path.name for path in folder.iterdir())
        self.assertEqual(left, ["p", "p.bans"])  # nothing half written
        channel.server.close()  # type: ignore[union-attr]  # killed: the name stays
        self.assertIsNone(await HandoverChannel(str(folder), "p", Mock()).connect(HELLO))

        async def foreign(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"220 mail\n")
            with contextlib.suppress(ConnectionError):
                await reader.read()
            writer.close()

        os.unlink(folder / "p")
        with channel._short_path("p") as path:
            server = await asyncio.start_unix_server(foreign, path)
        self.addCleanup(server.close)
        self.assertIsNone(await channel.connect(HELLO))
        await channel.open()  # takes the name all the same
        newer = HandoverChannel(str(folder), "p", Mock())
        await newer.open()
        channel.close()
        self.assertTrue((folder / "p").exists())  # no longer its own
        newer.close()
        self.assertFalse((folder / "p").exists())

    # Guards against a descriptor closed under its transport, which then blocks the next one of that number.
    async def test_a_predecessor_that_sends_no_message_leaves_no_descriptor_in_use(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())

        async def no_message(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(SOCKET_SIGNATURE + b"220 mail\n")

        server = await asyncio.start_unix_server(no_message, f"{folder}/p")
        self.addCleanup(server.close)
        genuine = asyncio.open_unix_connection
        writers: list[asyncio.StreamWriter] = []

        async def open_and_refer(**options: Any) -> Any:
            """Keeps the writer, as only some versions of Python close one that is no longer referred to."""
            reader, writer = await genuine(**options)
            writers.append(writer)
            return reader, writer

        channel = HandoverChannel(folder, "p", Mock())
        with patch("asyncio.open_unix_connection", open_and_refer):
            for _ in range(3):  # each takes the descriptor of the one before
                with self.assertLogs("crankfold.network.handover_channel"):
                    self.assertIsNone(await channel.connect(HELLO))
                self.assertTrue(writers[-1].is_closing())
