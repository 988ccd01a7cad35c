"""Writes the files beside it, once: what the program stored and told at the revision in REVISION.

    python -m tests.data.write_fixtures

It was run at that revision, and again only where a new form is added: what is here stays as it was written.
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


def messages(folder: Path) -> None:
    for name, sent in stored_forms.MESSAGES.items():
        (folder / f"{name}.frames").write_bytes(b"".join(encode_frame(one) for one in sent))


def voters(folder: Path) -> None:
    for name, batches in (("grown", stored_forms.GROWN), ("compacted", stored_forms.COMPACTED)):
        voter_folder = folder / name
        voter_folder.mkdir(parents=True)
        (voter_folder / "identity").write_text("n0 0123456789abcdef\n")
        store = RaftStorage(voter_folder, "n0")
        for batch in batches:
            store.save(batch)
        store.close()
        (voter_folder / "lock").unlink()


def documents(folder: Path) -> None:
    docs = VersionedDocuments()
    for index, entry in enumerate(stored_forms.HISTORY, 1):
        docs.apply(index, entry)
    (folder / "history.msgpack").write_bytes(msgspec.msgpack.encode(stored_forms.HISTORY))
    (folder / "state.msgpack").write_bytes(docs.encode())
    (folder / "works.json").write_bytes(msgspec.json.encode({"works": stored_forms.WORKS}))


class Handovers(handover_scene.HandoverScene):
    def scratch(self) -> Path:
        return Path(self.enterContext(tempfile.TemporaryDirectory()))

    async def test_ban_file(self) -> None:
        folder = self.scratch()
        await self.prepare(folder, msgspec.json.encode(stored_forms.BANS))
        await self.serve()
        await self.serving()
        file = folder / handover_scene.drains_file(self.listen)
        file.unlink()
        self.assertEqual(await self.call(self.admin_port, "runners/a/offline"), "200 offline")
        (DATA / "handover" / "bans.json").write_bytes(file.read_bytes())

    async def test_predecessor(self) -> None:
        await self.prepare(self.scratch(), msgspec.json.encode(stored_forms.BANS))
        received = await self.as_predecessor(
            [handover_scene.HELLO, handover_scene.TAKEOVER_REQUEST, *handover_scene.QUERIES]
        )
        (DATA / "handover" / "predecessor.lines").write_bytes(b"".join(received))

    async def test_successor(self) -> None:
        await self.prepare(self.scratch(), msgspec.json.encode({"of": "n0", "bans": {}, "assumed": {}}))
        lines = (DATA / "handover" / "predecessor.lines").read_bytes().splitlines(True)
        sent = [line for line in lines if line.startswith((b'{"welcome"', b'{"yours"', b'{"holds"'))]
        received = await self.as_successor([*sent, *handover_scene.QUERIES])
        (DATA / "handover" / "successor.lines").write_bytes(b"".join(received))


def handovers() -> bool:
    suite = unittest.TestSuite(
        Handovers(name) for name in ("test_ban_file", "test_predecessor", "test_successor")
    )
    return unittest.TextTestRunner(verbosity=2).run(suite).wasSuccessful()


def main() -> None:
    for folder in ("messages", "voters", "documents", "handover"):
        shutil.rmtree(DATA / folder, ignore_errors=True)
        (DATA / folder).mkdir()
    messages(DATA / "messages")
    voters(DATA / "voters")
    documents(DATA / "documents")
    sys.exit(not handovers())


if __name__ == "__main__":
    main()
