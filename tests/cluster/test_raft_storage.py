"""The storage folder of a voter: torn and damaged files, the lock, and replacement by a snapshot."""

import errno
import random
import tempfile
import unittest
from pathlib import Path
from unittest.mock import patch

from crankfold.cluster.log_records import HEADER_BYTES
from crankfold.cluster.raft_storage import FolderInUseError, RaftStorage, StorageError
from crankfold.consensus.messages import LogEntry, Snapshot
from crankfold.consensus.raft_state import Ready

FRAME_COUNT = 39


def make_entry(number: int) -> LogEntry:
    return LogEntry(1, "publish", {"n": number})


class RaftStorageTest(unittest.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def write_log(self) -> bytes:
        """Writes three frames; returns the content of the log file."""
        storage = RaftStorage(self.folder, "n0")
        storage.save(Ready(1, "n0", True, True, None, 1, [make_entry(1), make_entry(2)]))
        storage.save(Ready(2, "", True, True))
        storage.save(Ready(2, "", True, False, None, 2, [make_entry(22), make_entry(3)]))
        storage.close()
        return (self.folder / "history").read_bytes()

    def open_storage(self) -> RaftStorage:
        storage = RaftStorage(self.folder, "n0")
        self.addCleanup(storage.close)
        return storage

    def test_storage_loads_what_was_saved(self) -> None:
        self.write_log()
        state = self.open_storage().persistent_state
        self.assertEqual((state.term, state.vote, state.founding_member), (2, "", True))
        self.assertEqual(state.entries, [make_entry(1), make_entry(22), make_entry(3)])

    def test_tail_torn_at_any_byte_is_truncated_and_earlier_frames_are_preserved(self) -> None:
        data = self.write_log()
        frame_starts, start = [], 0
        while start < len(data):
            frame_starts.append(start)
            start += HEADER_BYTES + int.from_bytes(data[start : start + 4], "big")
        for cut in range(frame_starts[-1] + 1, len(data)):
            for tail in (b"", b"\0" * 40):  # also with allocated space that was never written
                (self.folder / "history").write_bytes(data[:cut] + tail)
                storage = RaftStorage(self.folder, "n0")
                storage.close()
                self.assertEqual(
                    storage.persistent_state.entries, [make_entry(1), make_entry(2)], f"{cut}, {len(tail)}"
                )
                self.assertIn("torn tail", storage.startup_notice)
                self.assertEqual((self.folder / "history").read_bytes(), data[: frame_starts[-1]])

    def test_damage_before_last_frame_raises_error_and_leaves_file_unchanged(self) -> None:
        data = bytearray(self.write_log())
        data[HEADER_BYTES + 3] ^= 1
        (self.folder / "history").write_bytes(data)
        with self.assertRaisesRegex(StorageError, "damaged at byte 0 .* add the voter again"):
            RaftStorage(self.folder, "n0")
        self.assertEqual((self.folder / "history").read_bytes(), data)

    def write_long_log(self, last_entry: LogEntry) -> tuple[bytes, list[int]]:
        """Writes `FRAME_COUNT` frames; returns the content of the log file and the offset of each frame."""
        storage = RaftStorage(self.folder, "n0")
        log_path = self.folder / "history"
        frame_starts = []
        for number in range(FRAME_COUNT):
            frame_starts.append(log_path.stat().st_size)
            is_last = number == FRAME_COUNT - 1
            entries = [last_entry if is_last else LogEntry(1, "publish", {"n": number, "text": "x" * number})]
            storage.save(Ready(number, "n1", False, number % 3 == 0, None, number + 1, entries))
        storage.close()
        return log_path.read_bytes(), frame_starts

    def is_accepted(self, data: bytes | bytearray) -> bool:
        (self.folder / "history").write_bytes(data)
        try:
            RaftStorage(self.folder, "n0").close()
        except StorageError:
            return False
        return True

    # Guards against a voter that starts with an older term and vote because damage was truncated as a torn
    # tail.
    def test_flipped_bit_is_not_treated_as_torn_tail(self) -> None:
        data, frame_starts = self.write_long_log(LogEntry(1, "publish", {"n": 7}))
        bits = [8 * start + bit for start in frame_starts for bit in range(32)]  # of the length of each frame
        bits += range(8 * frame_starts[-1], 8 * len(data))  # of the last frame, header and payload
        bits += random.Random(1).sample(range(8 * len(data)), 400)
        accepted = []
        for bit in bits:
            damaged = bytearray(data)
            damaged[bit // 8] ^= 1 << bit % 8
            if self.is_accepted(damaged):
                accepted.append(bit)
        self.assertEqual(accepted, [])

    def test_each_truncation_of_last_frame_is_treated_as_torn_tail(self) -> None:
        data, frame_starts = self.write_long_log(LogEntry(1, "publish", {"n": 7, "zeros": "\0" * 20, "m": 0}))
        for cut in range(frame_starts[-1] + 1, len(data)):
            for unwritten_bytes in (0, 1, 3, len(data) - cut - 1, len(data) - cut, len(data) - cut + 40):
                with self.subTest(cut, unwritten_bytes=unwritten_bytes):
                    self.assertTrue(self.is_accepted(data[:cut] + b"\0" * unwritten_bytes))

    def test_folder_of_another_voter_in_use_or_without_identity_raises_error(self) -> None:
        self.write_log()
        with self.assertRaisesRegex(StorageError, "the folder of 'n0', not of 'n1'"):
            RaftStorage(self.folder, "n1")
        self.open_storage()
        with self.assertRaisesRegex(FolderInUseError, "another process uses it"):
            RaftStorage(self.folder, "n0")
        self.doCleanups()
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.write_log()
        (self.folder / "identity").unlink()
        with self.assertRaisesRegex(StorageError, "missing, though the folder has a log"):
            RaftStorage(self.folder, "n0")

    # Guards against a corrupt identity file that terminates the process instead of only disabling the voter.
    def test_flipped_bit_of_identity_raises_error_or_changes_folder_id(self) -> None:
        self.write_log()
        path = self.folder / "identity"
        data = path.read_bytes()
        folder_id = data.split()[1].decode()
        for bit in range(8 * len(data) - 8):  # all but those of the line feed
            damaged = bytearray(data)
            damaged[bit // 8] ^= 1 << bit % 8
            path.write_bytes(damaged)
            try:
                storage = RaftStorage(self.folder, "n0")
            except StorageError:
                continue
            storage.close()
            self.assertNotEqual(storage.folder_id, folder_id, f"bit {bit}")

    def test_snapshot_replaces_log_file_atomically(self) -> None:
        before = self.write_log()
        storage = self.open_storage()
        with_snapshot = Ready(3, "n1", True, True, Snapshot(3, 2, {"n0": ""}, b"state"), 4, [make_entry(4)])
        with patch("os.replace", side_effect=OSError(errno.ENOSPC, "full")), self.assertRaises(OSError):
            storage.save(with_snapshot)
        self.assertEqual((self.folder / "history").read_bytes(), before)
        storage.save(with_snapshot)
        storage.save(Ready(3, "n1", True, False, None, 5, [make_entry(5)]))
        storage.close()
        reopened = RaftStorage(self.folder, "n0")
        self.assertEqual(
            (reopened.persistent_state.snapshot.state, reopened.persistent_state.entries),
            (b"state", [make_entry(4), make_entry(5)]),
        )
        reopened.close()
