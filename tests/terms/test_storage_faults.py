"""The clauses on folders that last: writes and syncs fail for a while, a kill leaves a write half done."""

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
    """The process ends between two system calls."""


def entry(number: int) -> LogEntry:
    return LogEntry(1, "publish", {"n": number})


class FailingStorageTest(ClusterTestCase):
    """Voters whose folders fail while they serve."""

    @contextmanager
    def failing(self, number: int, call: str = "fdatasync") -> Iterator[None]:
        with patch(f"os.{call}", side_effect=OSError(number, os.strerror(number))):
            yield

    async def start_voters(self) -> None:
        for name in VOTERS:
            await self.start(name)
        await self.until(lambda: self.are_active(*VOTERS))

    async def check_recovery(self, *calls: str, number: int) -> None:
        await self.start_voters()
        with ExitStack() as faults:
            for call in calls:
                faults.enter_context(self.failing(number, call))
            data = {"doc": SETTINGS, "made_from": 1, "author": "", "reason": "", "at": 0, "text": {}}
            response = await self.nodes["n0"].propose("publish", data, "lost", 1.0)
            self.assertFalse(response.accepted)  # nothing is answered for meanwhile
            await self.until(lambda: not any(node.has_lease() for node in self.nodes.values()))
        await self.until(lambda: self.are_active(*VOTERS))
        await self.until(lambda: all(node.consensus.name in VOTERS for node in self.nodes.values()))
        # What was proposed meanwhile may have been stored: its outcome was not told, so either is right.
        latest = self.nodes["n0"].consensus.documents.document(SETTINGS).latest_number()
        self.assertIn(latest, (1, 2))
        response = await self.publish(self.nodes["n0"], "after", latest)
        self.assertTrue(response.accepted, response)

    async def test_voters_whose_syncs_fail_for_a_while_go_on_once_the_fault_is_over(self) -> None:
        await self.check_recovery("fdatasync", number=errno.EIO)

    async def test_voters_whose_disk_is_full_for_a_while_go_on_once_there_is_room(self) -> None:
        await self.check_recovery("write", "fsync", "fdatasync", number=errno.ENOSPC)

    async def test_a_voter_that_starts_while_its_folder_fails_goes_on_once_it_works(self) -> None:
        with self.failing(errno.ENOSPC, "fsync"):
            node = await self.start("n0")
            self.assertFalse(node.has_lease())
        await self.start("n1")
        await self.start("n2")
        await self.until(lambda: self.are_active(*VOTERS))
        await self.until(lambda: node.consensus.name == "n0")


class StorageStepTest(unittest.TestCase):
    """A fault or a kill at each step of what the storage does."""

    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def filled(self) -> RaftStorage:
        storage = RaftStorage(self.folder, "n0")
        storage.save(Ready(1, "n0", True, True, None, 1, [entry(1), entry(2)]))
        return storage

    def reopened(self) -> PersistentState:
        storage = RaftStorage(self.folder, "n0")
        storage.close()
        return storage.persistent_state

    def steps_until(self, step: int, error: BaseException) -> tuple[ExitStack, list[str]]:
        """Lets so many system calls through and has the next one raise; with them the calls made."""
        made: list[str] = []
        patches = ExitStack()

        def counted(name: str, call: Callable[..., Any]) -> Callable[..., Any]:
            def run(*arguments: Any) -> Any:
                made.append(name)
                if len(made) == step:
                    if name == "write":
                        call(arguments[0], bytes(arguments[1])[: len(arguments[1]) // 2])  # half of it
                    raise error
                return call(*arguments)

            return run

        for name in STORAGE_CALLS:
            patches.enter_context(patch(f"os.{name}", counted(name, getattr(os, name))))
        return patches, made

    def play(self, work: Callable[[RaftStorage], None], error: BaseException) -> Iterator[PersistentState]:
        """What is loaded after the error came at the first step of the work, at the second, and so on."""
        step = 0
        while True:
            step += 1
            self.setUp()
            storage = self.filled()
            patches, made = self.steps_until(step, error)
            with patches, suppress(Killed, OSError):
                work(storage)
            storage.close()
            yield self.reopened()
            if len(made) < step:
                return

    def test_what_was_stored_survives_a_kill_or_a_fault_at_each_step(self) -> None:
        snapshot = Snapshot(3, 2, {"n0": ""}, b"state")

        def append(storage: RaftStorage) -> None:
            storage.save(Ready(2, "n1", True, True, None, 3, [entry(3)]))

        def replace(storage: RaftStorage) -> None:
            storage.save(Ready(3, "n1", True, True, snapshot, 4, [entry(4)]))

        for error in (Killed(), OSError(errno.ENOSPC, "full"), OSError(errno.EIO, "broken")):
            for state in self.play(append, error):
                self.assertIn(
                    (state.term, state.entries),
                    [(1, [entry(1), entry(2)]), (2, [entry(1), entry(2), entry(3)])],
                )
            for state in self.play(replace, error):
                whole = (state.term, state.snapshot.index, state.entries)
                self.assertIn(whole, [(1, 0, [entry(1), entry(2)]), (3, 3, [entry(4)])])

    def test_what_a_failed_sync_left_is_written_anew_before_it_counts(self) -> None:
        storage = self.filled()
        with patch("os.fdatasync", side_effect=OSError(errno.EIO, "broken")), self.assertRaises(OSError):
            storage.save(Ready(2, "n1", True, True, None, 3, [entry(3)]))
        storage.close()
        synced: list[int] = []
        sync = os.fsync

        def recorded(file: int) -> None:
            synced.append(os.fstat(file).st_ino)
            sync(file)

        with patch("os.fsync", recorded):
            state = self.reopened()
        self.assertEqual((state.term, state.entries), (2, [entry(1), entry(2), entry(3)]))
        # The file that counts now is one that was synced since: the kernel drops what it could not write.
        self.assertIn((self.folder / "history").stat().st_ino, synced)


class EventLogTest(unittest.TestCase):
    def test_a_line_that_cannot_be_written_is_lost_and_the_next_stands_on_its_own(self) -> None:
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "events"
        log = EventLog(str(path))
        member = Mock(last_applied=1, **{"documents.version_numbers.return_value": {}})
        write = os.write

        def full_after(file: int, data: memoryview) -> int:
            if len(data) < 10:
                raise OSError(errno.ENOSPC, "full")
            return write(file, data[: len(data) - 5])

        log.record_event(RecordedEvent.ATTEMPT_SENT, "u1", "a", member)
        with patch("os.write", full_after), self.assertLogs("crankfold.service.cluster.event_log", "WARNING"):
            log.record_event(RecordedEvent.ATTEMPT_SENT, "u2", "a", member)
        log.record_event(RecordedEvent.ATTEMPT_SENT, "u3", "a", member)
        first, torn, last = path.read_text().splitlines()
        self.assertEqual([orjson.loads(line)["unit"] for line in (first, last)], ["u1", "u3"])
        self.assertFalse(torn.endswith("}"))
