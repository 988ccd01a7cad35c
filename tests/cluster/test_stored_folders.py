"""A voter's folder, written by 82f8a95 (tests/data), is read and written again byte by byte."""

import shutil
import tempfile
from pathlib import Path

from crankfold.cluster.raft_storage import RaftStorage
from crankfold.consensus.messages import LogEntry, Snapshot
from tests.data.write_fixtures import DATA
from tests.fixtures import TraceTestCase
from tests.stored_forms import (
    COMPACTED,
    GROWN,
)


class StoredFoldersTest(TraceTestCase):
    def opened(self, name: str) -> tuple[RaftStorage, Path]:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory())) / name
        shutil.copytree(DATA / "voters" / name, folder)
        store = RaftStorage(folder, "n0")
        self.addCleanup(store.close)
        return store, folder

    def test_a_stored_folder_is_loaded_with_its_entries(self) -> None:
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

    def test_a_compacted_folder_is_loaded_with_its_snapshot_and_later_entries(self) -> None:
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

    def test_the_same_batches_are_written_byte_by_byte_as_before(self) -> None:
        for name, batches in (("grown", GROWN), ("compacted", COMPACTED)):
            folder = Path(self.enterContext(tempfile.TemporaryDirectory())) / name
            folder.mkdir()
            fixture = DATA / "voters" / name
            shutil.copy(fixture / "identity", folder)
            store = RaftStorage(folder, "n0")
            for batch in batches:
                store.save(batch)
            store.close()
            for file in ("identity", "history"):
                self.assertEqual(
                    (folder / file).read_bytes(), (fixture / file).read_bytes(), f"{name}/{file}"
                )
            self.assertEqual(sorted(path.name for path in folder.iterdir()), ["history", "identity", "lock"])
