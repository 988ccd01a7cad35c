"""Handover lines and the file of manual drains, written by 82f8a95 (tests/data), keep their form."""

import tempfile
from pathlib import Path

import orjson

from crankfold.protocol.discovery import encode_entry
from crankfold.protocol.handover_messages import HandoverDecoder, Hello, Welcome, encode_message
from tests.data.write_fixtures import DATA
from tests.handover_scene import (
    CALLBACK_QUERY,
    EVENT,
    HELLO,
    QUERIES,
    TAKEOVER_REQUEST,
    HandoverScene,
    drains_file,
)
from tests.stored_forms import (
    BANS,
)

HANDOVER = DATA / "handover"


class StoredLinesTest(HandoverScene):
    """A process of this revision beside one that says what 82f8a95 said."""

    def scratch(self) -> Path:
        return Path(self.enterContext(tempfile.TemporaryDirectory()))

    def test_lines_are_decoded_and_encoded_as_before(self) -> None:
        for name in ("predecessor", "successor"):
            data = (HANDOVER / f"{name}.lines").read_bytes()
            messages = HandoverDecoder().receive_data(data)
            self.assertEqual(b"".join(encode_message(one) for one in messages), data)
            if name == "predecessor":
                assert isinstance(messages[0], Welcome)
                state = messages[0].state
                self.assertEqual((state.format_version, state.dispatcher_name), (1, "n0"))
            else:
                self.assertEqual(messages[0], Hello(1, ("127.0.0.1", 18080), "n0"))

    async def test_a_predecessor_sends_the_same_lines_as_before(self) -> None:
        await self.prepare(self.scratch(), (HANDOVER / "bans.json").read_bytes())
        lines = await self.as_predecessor([HELLO, TAKEOVER_REQUEST, *QUERIES])
        self.assertEqual(lines, (HANDOVER / "predecessor.lines").read_bytes().splitlines(True))
        self.assertEqual((EVENT["id"], CALLBACK_QUERY[:9]), ("u7", b'{"ask":5,'))

    async def test_a_successor_takes_over_and_sends_the_same_lines_as_before(self) -> None:
        await self.prepare(self.scratch(), b'{"of":"n0","bans":{},"assumed":{}}')
        self.config["known"] = None  # the list comes from the predecessor alone
        lines = (HANDOVER / "predecessor.lines").read_bytes().splitlines(True)
        messages = [one for one in lines if one.startswith((b'{"welcome"', b'{"yours"', b'{"holds"'))]
        self.assertEqual(len(messages), 3)
        lines = await self.as_successor([*messages, *QUERIES])
        self.assertEqual(lines, (HANDOVER / "successor.lines").read_bytes().splitlines(True))
        self.assertEqual(
            (await self.send_request("held1"))[0].split()[1], "409"
        )  # in hand at the one before it
        registry, request_handler = self.application.backend_registry, self.application.request_handler
        self.assertEqual(
            {uid: registry.manual_drains.drained_since[uid] for uid in ("a", "gone")},
            {"a": 1234567, "gone": 2345678},
        )
        self.assertEqual(registry.known_ids, {"a", "b", "c", "gone"})
        self.assertEqual(
            tuple(request_handler.routing.state.table.backends[2].report), (3.0, 2.5)
        )  # by its last report to the one before
        self.assertEqual(
            [encode_entry(registry.discovery_entry(n)) for n in range(3)],
            [
                {
                    "uid": uid,
                    "endpoint": f"127.0.0.1:{self.backend_port}",
                    "boot_ms": 20 + n,
                    "az": zone,
                    "model": "big",
                    "pod_group": n,
                    "state": state,
                    "capacity_hint": 1.0 + n,
                }
                for n, (uid, zone, state) in enumerate(
                    (
                        ("a", "north", "in_service"),
                        ("b", "south", "terminating"),
                        ("c", "north", "in_service"),
                    )
                )
            ],
        )

    async def test_the_record_of_manual_drains_is_read_and_written_as_before(self) -> None:
        data = (HANDOVER / "bans.json").read_bytes()
        folder = self.scratch()
        await self.prepare(folder, data)
        await self.serve()
        await self.serving()
        manual_drains = self.application.backend_registry.manual_drains
        self.assertEqual(
            (manual_drains.drained_since, manual_drains.assumed_starts),
            ({"a": 1234567, "gone": 2345678}, {"b": (3456789, 4567890)}),
        )
        self.assertEqual(orjson.loads(data), BANS)
        file = folder / drains_file(self.listen)
        file.unlink()
        self.assertEqual(await self.call(self.admin_port, "runners/a/offline"), "200 offline")  # once more
        self.assertEqual(file.read_bytes(), data)
