"""Writes the files in this folder: what the program stored and sent at the revision in REVISION.

    python -m tests.data.write_fixtures

It was run at that revision, and again only to add files for new formats: files that exist must not change, as
they show that later revisions still read them.
"""

import shutil
import sys
import tempfile
import unittest
from pathlib import Path

import msgspec

from crankfold.cluster.framing import encode_frame
from crankfold.cluster.raft_storage import RaftStorage
from crankfold.consensus.versioned_documents import VersionedDocuments
from tests import handover_scene, stored_forms

REVISION = "82f8a95"
DATA = Path(__file__).parent


def write_messages(folder: Path) -> None:
    for name, messages in stored_forms.MESSAGES.items():
        (folder / f"{name}.frames").write_bytes(b"".join(encode_frame(message) for message in messages))


def write_voter_folders(folder: Path) -> None:
    for name, ready_states in (
        ("grown", stored_forms.GROWN_SAVES),
        ("compacted", stored_forms.COMPACTED_SAVES),
    ):
        voter_folder = folder / name
        voter_folder.mkdir(parents=True)
        (voter_folder / "identity").write_text("n0 0123456789abcdef\n")
        storage = RaftStorage(voter_folder, "n0")
        for ready in ready_states:
            storage.save(ready)
        storage.close()
        (voter_folder / "lock").unlink()


def write_documents(folder: Path) -> None:
    documents = VersionedDocuments()
    for index, entry in enumerate(stored_forms.HISTORY, 1):
        documents.apply(index, entry)
    (folder / "history.msgpack").write_bytes(msgspec.msgpack.encode(stored_forms.HISTORY))
    (folder / "state.msgpack").write_bytes(documents.encode())
    (folder / "works.json").write_bytes(msgspec.json.encode({"works": stored_forms.JOBS}))


class HandoverFiles(handover_scene.HandoverScene):
    def make_folder(self) -> Path:
        return Path(self.enterContext(tempfile.TemporaryDirectory()))

    async def test_manual_drain_file(self) -> None:
        folder = self.make_folder()
        await self.prepare(folder, msgspec.json.encode(stored_forms.MANUAL_DRAINS))
        await self.serve()
        await self.serving()
        drain_file = folder / handover_scene.drains_file(self.listen)
        drain_file.unlink()
        self.assertEqual(await self.call(self.admin_port, "runners/a/offline"), "200 offline")
        (DATA / "handover" / "bans.json").write_bytes(drain_file.read_bytes())

    async def test_predecessor(self) -> None:
        await self.prepare(self.make_folder(), msgspec.json.encode(stored_forms.MANUAL_DRAINS))
        received = await self.as_predecessor(
            [handover_scene.HELLO, handover_scene.TAKEOVER_REQUEST, *handover_scene.QUERIES]
        )
        (DATA / "handover" / "predecessor.lines").write_bytes(b"".join(received))

    async def test_successor(self) -> None:
        await self.prepare(self.make_folder(), msgspec.json.encode({"of": "n0", "bans": {}, "assumed": {}}))
        lines = (DATA / "handover" / "predecessor.lines").read_bytes().splitlines(True)
        sent = [line for line in lines if line.startswith((b'{"welcome"', b'{"yours"', b'{"holds"'))]
        received = await self.as_successor([*sent, *handover_scene.QUERIES])
        (DATA / "handover" / "successor.lines").write_bytes(b"".join(received))


def write_handovers() -> bool:
    suite = unittest.TestSuite(
        HandoverFiles(name) for name in ("test_manual_drain_file", "test_predecessor", "test_successor")
    )
    return unittest.TextTestRunner(verbosity=2).run(suite).wasSuccessful()


def main() -> None:
    for folder in ("messages", "voters", "documents", "handover"):
        shutil.rmtree(DATA / folder, ignore_errors=True)
        (DATA / folder).mkdir()
    write_messages(DATA / "messages")
    write_voter_folders(DATA / "voters")
    write_documents(DATA / "documents")
    sys.exit(not write_handovers())


if __name__ == "__main__":
    main()
