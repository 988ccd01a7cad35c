"""Storage folders that revision 82f8a95 wrote (tests/data) are loaded, and written with the same bytes."""

import shutil
import tempfile
from pathlib import Path

from crankfold.cluster.raft_storage import RaftStorage
from crankfold.consensus.messages import LogEntry, Snapshot
from tests.data.write_fixtures import DATA
from tests.fixtures import TraceTestCase
from tests.stored_forms import COMPACTED_SAVES, GROWN_SAVES


class StoredFoldersTest(TraceTestCase):
    def open_copied_folder(self, name: str) -> tuple[RaftStorage, Path]:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory())) / name
        shutil.copytree(DATA / "voters" / name, folder)
        storage = RaftStorage(folder, "n0")
        self.addCleanup(storage.close)
        return storage, folder

    def test_storage_loads_entries_of_stored_folder(self) -> None:
        storage, folder = self.open_copied_folder("grown")
        state = storage.persistent_state
        self.assertEqual((storage.folder_id, storage.startup_notice), ("0123456789abcdef", ""))
        self.assertEqual((state.term, state.vote, state.founding_member), (2, "n1", True))
        self.assertEqual(state.snapshot, Snapshot(index=0, term=0, voters={}, state=b""))
        self.assertEqual(
            state.entries,
            [
                LogEntry(term=1, kind="begin", data={"by": "n0", "folders": {"n0": "0123456789abcdef"}}),
                LogEntry(term=2, kind="begin", data={"by": "n1"}),
                LogEntry(term=2, kind="voters", data={"voters": {"n0": "h0:7000", "n1": "h1:7000"}}),
            ],
        )
        self.assertEqual((folder / "history").read_bytes(), (DATA / "voters/grown/history").read_bytes())

    def test_storage_loads_snapshot_and_later_entries_of_compacted_folder(self) -> None:
        storage, folder = self.open_copied_folder("compacted")
        state = storage.persistent_state
        self.assertEqual((state.term, state.vote, state.founding_member), (3, "n0", True))
        self.assertEqual(state.snapshot, Snapshot(index=2, term=2, voters={"n0": "h0:7000"}, state=b"whole"))
        self.assertEqual(
            state.entries,
            [
                LogEntry(term=2, kind="count", data={"doc": "limits", "number": 1}),
                LogEntry(term=3, kind="begin", data={"by": "n0"}),
            ],
        )
        self.assertEqual((folder / "history").read_bytes(), (DATA / "voters/compacted/history").read_bytes())

    def test_storage_writes_same_bytes_as_in_stored_folders(self) -> None:
        for name, ready_states in (("grown", GROWN_SAVES), ("compacted", COMPACTED_SAVES)):
            folder = Path(self.enterContext(tempfile.TemporaryDirectory())) / name
            folder.mkdir()
            fixture = DATA / "voters" / name
            shutil.copy(fixture / "identity", folder)
            storage = RaftStorage(folder, "n0")
            for ready in ready_states:
                storage.save(ready)
            storage.close()
            for file in ("identity", "history"):
                self.assertEqual(
                    (folder / file).read_bytes(), (fixture / file).read_bytes(), f"{name}/{file}"
                )
            self.assertEqual(sorted(path.name for path in folder.iterdir()), ["history", "identity", "lock"])
