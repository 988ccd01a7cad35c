"""What 82f8a95 stored and told between processes is read as it was meant, and written again byte by byte.

The files under tests/data were written at that revision by tests/data/write_fixtures.py. They don't change
with the program; what is new gets a file of its own.
"""

import shutil
import tempfile
from pathlib import Path

import msgspec
import orjson

from crankfold.cluster.framing import FrameDecoder, encode_frame
from crankfold.cluster.raft_storage import RaftStorage
from crankfold.consensus.messages import LogEntry, Snapshot
from crankfold.consensus.versioned_documents import (
    Document,
    DocumentVersion,
    ProposalOutcome,
    ReplicatedState,
    VersionedDocuments,
)
from crankfold.maintenance.specification import JobSpecification, WorkMethod, parse_jobs
from crankfold.maintenance.state import MachineInMaintenance, MaintenanceState, TransitionRecord
from crankfold.maintenance.transitions import MaintenancePhase, Placement
from crankfold.protocol.discovery import encode_entry
from crankfold.protocol.handover_messages import HandoverDecoder, Hello, Welcome, encode_message
from tests.data.write_fixtures import DATA
from tests.handover_scene import ASKS, ENDS, EVENT, HELLO, TAKE, HandoverScene, ban_file
from tests.scene import Kept as Traces
from tests.stored_forms import (
    BANS,
    COMPACTED,
    GROWN,
    HISTORY,
    MESSAGES,
    PLACE,
    WORKS,
    WORKS_1,
    WORKS_2,
)

HANDOVER, OF_DOCUMENTS = DATA / "handover", DATA / "documents"
# A message's tag and how many fields follow it, as they stand on the wire.
TAGS = {
    "hello": ("h", 4),
    "ballot": ("b", 4),
    "ballot-answer": ("B", 3),
    "append": ("a", 7),
    "append-answer": ("A", 4),
    "install": ("i", 3),
    "ask": ("l", 7),
    "grant": ("L", 4),
    "follow": ("f", 7),
    "news": ("F", 7),
    "refused": ("r", 1),
    "publish": ("p", 3),
    "published": ("P", 5),
    "check": ("c", 3),
    "checked": ("C", 2),
    "goodbye": ("g", 2),
    "roster": ("m", 1),
}


class BetweenPeers(Traces):
    def test_each_message_is_read_and_framed_as_it_was(self) -> None:
        files = {path.stem: path.read_bytes() for path in (DATA / "messages").iterdir()}
        self.assertEqual(files.keys(), MESSAGES.keys())
        for name, data in files.items():
            with self.subTest(name):
                self.assertEqual(FrameDecoder().feed(data), MESSAGES[name])
                self.assertEqual(b"".join(encode_frame(one) for one in FrameDecoder().feed(data)), data)

    def test_tags_and_the_order_of_fields(self) -> None:
        for name, told in MESSAGES.items():
            data = (DATA / "messages" / f"{name}.frames").read_bytes()
            for _ in told:
                size = int.from_bytes(data[:4], "big")
                tag, *fields = msgspec.msgpack.decode(data[4 : 4 + size])
                data = data[4 + size :]
                self.assertEqual((tag, len(fields)), TAGS[name])
            self.assertEqual(data, b"")

    def test_fields_left_out_by_an_older_process_have_their_defaults(self) -> None:
        for name in ("ask", "follow"):
            data = (DATA / "messages" / f"{name}.frames").read_bytes()
            whole = msgspec.msgpack.decode(data[4 : 4 + int.from_bytes(data[:4], "big")])
            short = msgspec.msgpack.encode(whole[:-2] if name == "ask" else whole[:-1])
            self.assertEqual(FrameDecoder().feed(len(short).to_bytes(4, "big") + short), MESSAGES[name][:1])


class VotersFolders(Traces):
    def opened(self, name: str) -> tuple[RaftStorage, Path]:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory())) / name
        shutil.copytree(DATA / "voters" / name, folder)
        store = RaftStorage(folder, "n0")
        self.addCleanup(store.close)
        return store, folder

    def test_one_that_grew(self) -> None:
        store, folder = self.opened("grown")
        stored = store.persistent_state
        self.assertEqual((store.folder_id, store.startup_notice), ("0123456789abcdef", ""))
        self.assertEqual((stored.term, stored.vote, stored.founding_member), (2, "n1", True))
        self.assertEqual(stored.snapshot, Snapshot(index=0, term=0, voters={}, state=b""))
        self.assertEqual(
            stored.entries,
            [
                LogEntry(term=1, kind="begin", data={"by": "n0", "folders": {"n0": "0123456789abcdef"}}),
                LogEntry(term=2, kind="begin", data={"by": "n1"}),
                LogEntry(term=2, kind="voters", data={"voters": {"n0": "h0:7000", "n1": "h1:7000"}}),
            ],
        )
        self.assertEqual((folder / "history").read_bytes(), (DATA / "voters/grown/history").read_bytes())

    def test_one_that_was_compacted(self) -> None:
        store, folder = self.opened("compacted")
        stored = store.persistent_state
        self.assertEqual((stored.term, stored.vote, stored.founding_member), (3, "n0", True))
        self.assertEqual(stored.snapshot, Snapshot(index=2, term=2, voters={"n0": "h0:7000"}, state=b"whole"))
        self.assertEqual(
            stored.entries,
            [
                LogEntry(term=2, kind="count", data={"doc": "limits", "number": 1}),
                LogEntry(term=3, kind="begin", data={"by": "n0"}),
            ],
        )
        self.assertEqual((folder / "history").read_bytes(), (DATA / "voters/compacted/history").read_bytes())

    def test_the_same_is_written_again(self) -> None:
        for name, batches in (("grown", GROWN), ("compacted", COMPACTED)):
            folder = Path(self.enterContext(tempfile.TemporaryDirectory())) / name
            folder.mkdir()
            kept = DATA / "voters" / name
            shutil.copy(kept / "identity", folder)
            store = RaftStorage(folder, "n0")
            for batch in batches:
                store.save(batch)
            store.close()
            for file in ("identity", "history"):
                self.assertEqual((folder / file).read_bytes(), (kept / file).read_bytes(), f"{name}/{file}")
            self.assertEqual(sorted(path.name for path in folder.iterdir()), ["history", "identity", "lock"])


def version(number: int, index: int, call: str, text: object) -> DocumentVersion:
    assert isinstance(text, dict)
    return DocumentVersion(
        number=number,
        made_from=number - 1,
        author="operator",
        reason=f"why {call}",
        at=1_700_000_000_000,
        text=text,
        index=index,
    )


def step(index: int, uid: str, what: str, work: str) -> TransitionRecord:
    return TransitionRecord(
        index=index,
        machine_id=uid,
        job=work,
        phase=MaintenancePhase(what),
        by="n0",
        reason=f"{what} {uid}",
        at_ms=1_700_000_100_000,
    )


KNOWN = ReplicatedState(
    documents={
        "settings": Document(
            active_number=1,
            versions=[
                version(1, 3, "begin", HISTORY[2].data["text"]),
                version(2, 5, "c1", HISTORY[4].data["text"]),
            ],
        ),
        "limits": Document(
            active_number=1,
            versions=[version(1, 8, "c3", {"limits": {"all": 9, "grade:g": 4, "tenant:t": 0}})],
        ),
        "deal": Document(
            active_number=1,
            versions=[
                version(1, 10, "c4", {"shares": {"all": {"n0": 5, "n1": 4}, "grade:g": {"n0": 4, "n1": 0}}})
            ],
        ),
        "runners-out": Document(
            active_number=1,
            versions=[
                version(1, 12, "c5", {"runners": {"r9": "smells"}}),
                version(2, 14, "c6", {"runners": {"r8": "noise"}}),
            ],
        ),
        "runners-never": Document(
            active_number=1, versions=[version(1, 15, "c7", {"runners": {"r7": "stolen"}})]
        ),
        "works": Document(
            active_number=2, versions=[version(1, 17, "c8", WORKS_1), version(2, 19, "c9", WORKS_2)]
        ),
    },
    outcomes={
        "begin": ProposalOutcome(accepted=True, reason="", version_number=1, log_index=3),
        "c1": ProposalOutcome(accepted=True, reason="", version_number=2, log_index=5),
        "c2": ProposalOutcome(
            accepted=False, reason="made from version 1, but 2 is there by now", version_number=2, log_index=6
        ),
        "c3": ProposalOutcome(accepted=True, reason="", version_number=1, log_index=8),
        "c4": ProposalOutcome(accepted=True, reason="", version_number=1, log_index=10),
        "c5": ProposalOutcome(accepted=True, reason="", version_number=1, log_index=12),
        "c6": ProposalOutcome(accepted=True, reason="", version_number=2, log_index=14),
        "c7": ProposalOutcome(accepted=True, reason="", version_number=1, log_index=15),
        "c8": ProposalOutcome(accepted=True, reason="", version_number=1, log_index=17),
        "c9": ProposalOutcome(accepted=True, reason="", version_number=2, log_index=19),
        "s1": ProposalOutcome(
            accepted=False, reason="r3: decided before its last step", version_number=0, log_index=34
        ),
        "s2": ProposalOutcome(accepted=True, reason="", version_number=0, log_index=35),
    },
    voter_folder_ids={"n0": "f0", "n1": "f1"},
    maintenance=MaintenanceState(
        machines={
            "r1": MachineInMaintenance(
                job="bios",
                phase=MaintenancePhase.DRAINED,
                out_index=21,
                last_index=25,
                drain_number=25,
                executor="n0",
                executor_incarnation=2**45,
                worked=False,
                earlier_jobs=["disks"],
                started_at=77,
                placement=Placement(*PLACE),
                unhealthy=False,
                reason="free r1",
            ),
            "r3": MachineInMaintenance(
                job="disks",
                phase=MaintenancePhase.RETURNING,
                out_index=31,
                last_index=35,
                drain_number=30,
                executor="",
                executor_incarnation=0,
                worked=False,
                earlier_jobs=[],
                started_at=79,
                placement=Placement(*PLACE),
                unhealthy=True,
                reason="back r3",
            ),
        },
        completed={"disks": {"r2": MaintenancePhase.HEALTHY}},
        unhealthy_streaks={"disks": 1},
        halted_jobs={"disks": "halt disks"},
        begun_jobs=["disks"],
        change_count=7,
        latest_wall_ms=1_700_000_100_000,
        transitions=[
            step(21, "r1", "out", "disks"),
            step(22, "r1", "free", "disks"),
            step(23, "r1", "work", "disks"),
            step(24, "r1", "ended", "disks"),
            step(25, "r1", "free", "bios"),
            step(26, "r2", "out", "disks"),
            step(27, "r2", "back", "disks"),
            step(28, "r2", "well", "disks"),
            step(29, "r3", "out", "disks"),
            step(30, "r3", "free", "disks"),
            step(31, "r3", "unwell", "disks"),
            step(33, "disks", "halt", "disks"),
            step(35, "r3", "back", "disks"),
        ],
    ),
)


class KeptDocuments(Traces):
    def setUp(self) -> None:
        super().setUp()
        self.state = (OF_DOCUMENTS / "state.msgpack").read_bytes()

    def test_a_state_is_read_and_kept_as_it_was(self) -> None:
        docs = VersionedDocuments(self.state)
        self.assertEqual(docs.replicated, KNOWN)
        self.assertEqual(docs.encode(), self.state)

    def test_what_is_acted_on(self) -> None:
        docs = VersionedDocuments(self.state)
        self.assertEqual(
            docs.version_numbers(),
            {
                "settings": (1, 2),
                "limits": (1, 1),
                "deal": (1, 1),
                "runners-out": (1, 2),
                "runners-never": (1, 1),
                "works": (2, 2),
            },
        )
        self.assertEqual(
            docs.effective_content("settings"),
            {
                "service-grades": [
                    {
                        "name": "g",
                        "effect": "keyed",
                        "cut-off": 4_000_000,
                        "expected-time": 500_000,
                        "group": "zone",
                        "repeat-window": 1_000_000,
                        "revenue": 1.5,
                    }
                ],
                "allowed": {"most-dispatches": 3, "second-copies": True, "cancel": False},
            },
        )
        self.assertEqual(docs.effective_content("runners-out"), {"runners": {"r9": "smells", "r8": "noise"}})
        self.assertEqual(docs.effective_content("works"), WORKS_2)
        self.assertEqual(
            [(name, one.number) for name, one in docs.pending_versions()],
            [("settings", 2), ("runners-out", 2)],
        )
        self.assertEqual(docs.max_request_duration(), 50_000)

    def test_the_history_makes_the_same_state(self) -> None:
        data = (OF_DOCUMENTS / "history.msgpack").read_bytes()
        history = msgspec.msgpack.decode(data, type=list[LogEntry])
        self.assertEqual(history, HISTORY)
        self.assertEqual(msgspec.msgpack.encode(history), data)
        docs = VersionedDocuments()
        changed = [docs.apply(index, entry) for index, entry in enumerate(history, 1)]
        self.assertEqual(docs.encode(), self.state)
        self.assertEqual(
            changed,
            [
                "",
                "",
                "settings",
                "settings",
                "settings",
                "",
                "",
                "limits",
                "limits",
                "deal",
                "deal",
                "runners-out",
                "runners-out",
                "runners-out",
                "runners-never",
                "runners-never",
                "works",
                "works",
                "works",
                "works",
                *["machines"] * 15,
            ],
        )

    def test_works(self) -> None:
        data = (OF_DOCUMENTS / "works.json").read_bytes()
        works = parse_jobs(msgspec.json.decode(data))
        self.assertEqual(works, WORKS)
        self.assertEqual(msgspec.json.encode({"works": works}), data)
        self.assertEqual(
            parse_jobs(WORKS_2),
            {
                "disks": JobSpecification(reason="new disks", zones=["north"], max_out=4),
                "bios": JobSpecification(machines=["r1"], method=WorkMethod.ENDPOINT_LIST, work_seconds=60.0),
            },
        )


class Handovers(HandoverScene):
    """A process of this revision beside one that says what 82f8a95 said."""

    def scratch(self) -> Path:
        return Path(self.enterContext(tempfile.TemporaryDirectory()))

    def test_lines_are_read_and_written_as_they_were(self) -> None:
        for name in ("predecessor", "successor"):
            data = (HANDOVER / f"{name}.lines").read_bytes()
            told = HandoverDecoder().receive_data(data)
            self.assertEqual(b"".join(encode_message(one) for one in told), data)
            if name == "predecessor":
                assert isinstance(told[0], Welcome)
                state = told[0].state
                self.assertEqual((state.format_version, state.dispatcher_name), (1, "n0"))
            else:
                self.assertEqual(told[0], Hello(1, ("127.0.0.1", 18080), "n0"))

    async def test_it_says_what_a_predecessor_said(self) -> None:
        await self.prepare(self.scratch(), (HANDOVER / "bans.json").read_bytes())
        said = await self.as_predecessor([HELLO, TAKE, *ASKS])
        self.assertEqual(said, (HANDOVER / "predecessor.lines").read_bytes().splitlines(True))
        self.assertEqual((EVENT["id"], ENDS[:9]), ("u7", b'{"ask":5,'))

    async def test_it_follows_a_predecessor_and_says_what_a_successor_said(self) -> None:
        await self.prepare(self.scratch(), b'{"of":"n0","bans":{},"assumed":{}}')
        self.config["known"] = None  # the list comes from the predecessor alone
        lines = (HANDOVER / "predecessor.lines").read_bytes().splitlines(True)
        told = [one for one in lines if one.startswith((b'{"welcome"', b'{"yours"', b'{"holds"'))]
        self.assertEqual(len(told), 3)
        said = await self.as_successor([*told, *ASKS])
        self.assertEqual(said, (HANDOVER / "successor.lines").read_bytes().splitlines(True))
        self.assertEqual(
            (await self.send_request("held1"))[0].split()[1], "409"
        )  # in hand at the one before it
        fleet, desk = self.application.backend_registry, self.application.request_handler
        self.assertEqual(
            {uid: fleet.manual_drains.drained_since[uid] for uid in ("a", "gone")},
            {"a": 1234567, "gone": 2345678},
        )
        self.assertEqual(fleet.known_ids, {"a", "b", "c", "gone"})
        self.assertEqual(
            tuple(desk.routing.state.table.backends[2].report), (3.0, 2.5)
        )  # by its last report to the one before
        self.assertEqual(
            [encode_entry(fleet.discovery_entry(n)) for n in range(3)],
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

    async def test_the_record_of_bans(self) -> None:
        data = (HANDOVER / "bans.json").read_bytes()
        folder = self.scratch()
        await self.prepare(folder, data)
        await self.serve()
        await self.serving()
        bans = self.application.backend_registry.manual_drains
        self.assertEqual(
            (bans.drained_since, bans.assumed_starts),
            ({"a": 1234567, "gone": 2345678}, {"b": (3456789, 4567890)}),
        )
        self.assertEqual(orjson.loads(data), BANS)
        file = folder / ban_file(self.listen)
        file.unlink()
        self.assertEqual(await self.call(self.admin_port, "runners/a/offline"), "200 offline")  # once more
        self.assertEqual(file.read_bytes(), data)
