"""Storage faults: writes and syncs fail for a while, or a kill leaves a write incomplete."""

import errno
import os
import tempfile
import unittest
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager, suppress
from pathlib import Path
from typing import Any
from unittest.mock import Mock, patch

import orjson

from crankfold.cluster.raft_storage import RaftStorage
from crankfold.consensus.messages import LogEntry, Snapshot
from crankfold.consensus.raft_state import PersistentState, Ready
from crankfold.document_names import SETTINGS
from crankfold.service.cluster.event_log import EventLog
from crankfold.service.requests.collaborators import RecordedEvent
from tests.cluster.test_node import VOTERS, ClusterTestCase

STORAGE_CALLS = ("open", "write", "fsync", "fdatasync", "replace", "ftruncate", "close")


class Killed(BaseException):
    """Simulates a kill of the process at a system call."""


def make_entry(number: int) -> LogEntry:
    return LogEntry(1, "publish", {"n": number})


class FailingStorageTest(ClusterTestCase):
    """Voters whose storage folders fail while they run."""

    @contextmanager
    def failing_call(self, error_number: int, call: str = "fdatasync") -> Iterator[None]:
        with patch(f"os.{call}", side_effect=OSError(error_number, os.strerror(error_number))):
            yield

    async def start_voters(self) -> None:
        for name in VOTERS:
            await self.start(name)
        await self.until(lambda: self.are_active(*VOTERS))

    async def check_recovery(self, *calls: str, error_number: int) -> None:
        await self.start_voters()
        with ExitStack() as faults:
            for call in calls:
                faults.enter_context(self.failing_call(error_number, call))
            data = {"doc": SETTINGS, "made_from": 1, "author": "", "reason": "", "at": 0, "text": {}}
            response = await self.nodes["n0"].propose("publish", data, "lost", 1.0)
            self.assertFalse(response.accepted)  # no proposal is confirmed while the storage fails
            await self.until(lambda: not any(node.has_lease() for node in self.nodes.values()))
        await self.until(lambda: self.are_active(*VOTERS))
        await self.until(lambda: all(node.consensus.name in VOTERS for node in self.nodes.values()))
        # The outcome of the proposal is unknown: it may have been stored, so both versions are valid.
        latest = self.nodes["n0"].consensus.documents.document(SETTINGS).latest_number()
        self.assertIn(latest, (1, 2))
        response = await self.publish(self.nodes["n0"], "after", latest)
        self.assertTrue(response.accepted, response)

    async def test_voters_recover_from_failing_syncs(self) -> None:
        await self.check_recovery("fdatasync", error_number=errno.EIO)

    async def test_voters_recover_from_full_disk(self) -> None:
        await self.check_recovery("write", "fsync", "fdatasync", error_number=errno.ENOSPC)

    async def test_voter_started_with_failing_folder_recovers(self) -> None:
        with self.failing_call(errno.ENOSPC, "fsync"):
            node = await self.start("n0")
            self.assertFalse(node.has_lease())
        await self.start("n1")
        await self.start("n2")
        await self.until(lambda: self.are_active(*VOTERS))
        await self.until(lambda: node.consensus.name == "n0")


class RaftStorageFaultTest(unittest.TestCase):
    """A fault or a kill at each system call of the storage."""

    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def open_filled_storage(self) -> RaftStorage:
        storage = RaftStorage(self.folder, "n0")
        storage.save(Ready(1, "n0", True, True, None, 1, [make_entry(1), make_entry(2)]))
        return storage

    def reload_state(self) -> PersistentState:
        storage = RaftStorage(self.folder, "n0")
        storage.close()
        return storage.persistent_state

    def patch_storage_calls(self, step: int, error: BaseException) -> tuple[ExitStack, list[str]]:
        """Returns patches by which system call number `step` raises the error, and the list of calls made."""
        calls_made: list[str] = []
        patches = ExitStack()

        def wrap(name: str, call: Callable[..., Any]) -> Callable[..., Any]:
            def wrapper(*arguments: Any) -> Any:
                calls_made.append(name)
                if len(calls_made) == step:
                    if name == "write":
                        call(arguments[0], bytes(arguments[1])[: len(arguments[1]) // 2])  # incomplete
                    raise error
                return call(*arguments)

            return wrapper

        for name in STORAGE_CALLS:
            patches.enter_context(patch(f"os.{name}", wrap(name, getattr(os, name))))
        return patches, calls_made

    def states_after_error(
        self, operation: Callable[[RaftStorage], None], error: BaseException
    ) -> Iterator[PersistentState]:
        """Yields the state loaded after an error at the first, second, ... system call of the operation."""
        step = 0
        while True:
            step += 1
            self.setUp()
            storage = self.open_filled_storage()
            patches, calls_made = self.patch_storage_calls(step, error)
            with patches, suppress(Killed, OSError):
                operation(storage)
            storage.close()
            yield self.reload_state()
            if len(calls_made) < step:
                return

    def test_stored_state_survives_kill_or_fault_at_each_system_call(self) -> None:
        snapshot = Snapshot(3, 2, {"n0": ""}, b"state")

        def append(storage: RaftStorage) -> None:
            storage.save(Ready(2, "n1", True, True, None, 3, [make_entry(3)]))

        def replace(storage: RaftStorage) -> None:
            storage.save(Ready(3, "n1", True, True, snapshot, 4, [make_entry(4)]))

        for error in (Killed(), OSError(errno.ENOSPC, "full"), OSError(errno.EIO, "broken")):
            for state in self.states_after_error(append, error):
                self.assertIn(
                    (state.term, state.entries),
                    [(1, [make_entry(1), make_entry(2)]), (2, [make_entry(1), make_entry(2), make_entry(3)])],
                )
            for state in self.states_after_error(replace, error):
                loaded = (state.term, state.snapshot.index, state.entries)
                self.assertIn(loaded, [(1, 0, [make_entry(1), make_entry(2)]), (3, 3, [make_entry(4)])])

    def test_entries_left_by_failed_sync_are_rewritten_on_load(self) -> None:
        storage = self.open_filled_storage()
        with patch("os.fdatasync", side_effect=OSError(errno.EIO, "broken")), self.assertRaises(OSError):
            storage.save(Ready(2, "n1", True, True, None, 3, [make_entry(3)]))
        storage.close()
        synced_inodes: list[int] = []
        real_fsync = os.fsync

        def recording_fsync(file: int) -> None:
            synced_inodes.append(os.fstat(file).st_ino)
            real_fsync(file)

        with patch("os.fsync", recording_fsync):
            state = self.reload_state()
        self.assertEqual((state.term, state.entries), (2, [make_entry(1), make_entry(2), make_entry(3)]))
        # The file in use must be synced after the failure: the kernel drops pages that it could not write.
        self.assertIn((self.folder / "history").stat().st_ino, synced_inodes)


class EventLogTest(unittest.TestCase):
    def test_event_log_drops_unwritable_line_and_writes_complete_next_line(self) -> None:
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "events"
        log = EventLog(str(path))
        member = Mock(last_applied=1, **{"documents.version_numbers.return_value": {}})
        real_write = os.write

        def write_partly(file: int, data: memoryview) -> int:
            if len(data) < 10:
                raise OSError(errno.ENOSPC, "full")
            return real_write(file, data[: len(data) - 5])

        log.record_event(RecordedEvent.ATTEMPT_SENT, "u1", "a", member)
        with (
            patch("os.write", write_partly),
            self.assertLogs("crankfold.service.cluster.event_log", "WARNING"),
        ):
            log.record_event(RecordedEvent.ATTEMPT_SENT, "u2", "a", member)
        log.record_event(RecordedEvent.ATTEMPT_SENT, "u3", "a", member)
        first, incomplete, last = path.read_text().splitlines()
        self.assertEqual([orjson.loads(line)["unit"] for line in (first, last)], ["u1", "u3"])
        self.assertFalse(incomplete.endswith("}"))
