"""Stable storage of one voter, in a folder of its own: term, vote, log entries and the snapshot.

Each append is written and synced as one frame before any message that depends on it is sent. When the folder
is opened, a torn last frame is truncated, and any other damage is an error (`log_records`).

An open storage cannot be used after an error: after a failed fsync the kernel may have dropped the unwritten
pages and marked them clean, so a second fsync could succeed without the data. Opening the folder again, in
this process or another, copies the readable frames to a new file, which is synced and read back before it
replaces the old one.
"""

import contextlib
import errno
import fcntl
import os
import secrets
from pathlib import Path

from crankfold.cluster.log_records import (
    EntriesRecord,
    HardStateRecord,
    LogFormatError,
    Record,
    SnapshotRecord,
    encode_log_frame,
    replay,
)
from crankfold.consensus.raft_state import PersistentState, Ready
from crankfold.errors import CrankfoldError

LOG_FILE = "history"
LOCK_FILE = "lock"
IDENTITY_FILE = "identity"  # the voter's name and the id of the folder
FOLDER_ID_BYTES = 8
FILE_MODE = 0o600
APPEND_FLAGS = os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC
REPLACE_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
LOCK_FLAGS = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
CLOSED_FD = -1  # the value of a file descriptor that is not open


class StorageError(CrankfoldError):
    """The folder cannot be used; the message says why and how to repair it."""


class FolderInUseError(StorageError):
    """Another process holds the lock of the folder."""


class StorageUnavailableError(StorageError):
    """A system call on the folder failed; a later attempt may succeed."""


class RaftStorage:
    """The folder of one voter, locked against other processes.

    Attributes:
        folder_id: A random id, by which the other voters recognize the folder.
        persistent_state: The state that was loaded from the folder on opening.
        startup_notice: A log line about what was repaired on opening; empty if nothing was.
    """

    def __init__(self, folder: Path, name: str) -> None:
        """Opens the folder of the voter `name`; creates it if it does not exist.

        Raises:
            FolderInUseError: Another process uses the folder.
            StorageUnavailableError: A system call on the folder failed.
            StorageError: The folder is damaged, incomplete or belongs to another voter.
        """
        self._folder = folder
        self._log_path = folder / LOG_FILE
        self.startup_notice = ""
        self._log_fd = CLOSED_FD
        self._lock_fd = CLOSED_FD
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock()
            self.folder_id = self._load_folder_id(name)
            self.persistent_state = self._load_state()
            self._log_fd = os.open(self._log_path, APPEND_FLAGS | os.O_CREAT, FILE_MODE)
            self._sync_folder()
        except OSError as error:
            self.close()
            raise StorageUnavailableError(f"{folder}: {error.strerror or error}") from None
        except StorageError:
            self.close()
            raise

    def _lock(self) -> None:
        self._lock_fd = os.open(self._folder / LOCK_FILE, LOCK_FLAGS, FILE_MODE)
        try:
            fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise FolderInUseError(
                f"{self._folder}: another process uses it; only one process may run under a name"
            ) from None

    def _load_folder_id(self, name: str) -> str:
        """Reads the folder id; generates one for a new folder.

        Raises:
            StorageError: The id is unreadable or missing although there is a log file, or the folder belongs
                to another voter.
        """
        path = self._folder / IDENTITY_FILE
        try:
            owner, _, folder_id = path.read_text().strip().partition(" ")
        except FileNotFoundError:
            if self._log_path.exists():
                raise StorageError(
                    f"{path}: missing, though the folder has a log; restore the file, or remove this voter "
                    f"from the cluster, empty the folder and add the voter again"
                ) from None
            folder_id = secrets.token_hex(FOLDER_ID_BYTES)
            self._replace_file(path, f"{name} {folder_id}\n".encode())
            return folder_id
        except UnicodeDecodeError as error:
            raise StorageError(f"{path}: damaged ({error}); restore the file") from None
        if owner != name or not folder_id:
            raise StorageError(f"{path}: the folder of {owner!r}, not of {name!r}")
        return folder_id

    def _replace_file(self, path: Path, data: bytes) -> None:
        """Replaces a file atomically: after a crash it has its old content or `data`.

        Raises:
            OSError: A system call failed; the file has its old content or `data`.
        """
        new_path = path.with_suffix(".new")
        fd = os.open(new_path, REPLACE_FLAGS, FILE_MODE)
        try:
            _write_all(fd, data)
            os.fsync(fd)
        finally:
            os.close(fd)
        if new_path.read_bytes() != data:
            raise OSError(errno.EIO, "the file read back differs from the data written")
        os.replace(new_path, path)
        self._sync_folder()

    def _sync_folder(self) -> None:
        folder_fd = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder_fd)
        finally:
            os.close(folder_fd)

    def _load_state(self) -> PersistentState:
        state = PersistentState()
        try:
            data = self._log_path.read_bytes()
        except FileNotFoundError:
            return state
        try:
            valid_bytes = replay(state, data)
        except LogFormatError as error:
            raise StorageError(f"{self._log_path}: {error}") from None
        torn_bytes = len(data) - valid_bytes
        if torn_bytes:
            self.startup_notice = f"{self._log_path.name}: truncated a torn tail of {torn_bytes} bytes"
        if data:
            # After a failed sync the page cache may hold data that is not on disk, so a new file is synced.
            self._replace_file(self._log_path, data[:valid_bytes])
        return state

    def save(self, ready: Ready) -> None:
        """Writes hard state, snapshot and entries of `ready`; returns once they are on stable storage.

        Raises:
            OSError: A system call failed. The data may or may not be stored; this object cannot be
                used any more.
        """
        hard_state = HardStateRecord(ready.term, ready.vote, ready.founding_member)
        entries: list[Record] = [EntriesRecord(ready.first_index, ready.entries)] if ready.entries else []
        if ready.snapshot:
            records: list[Record] = [hard_state, SnapshotRecord(ready.snapshot), *entries]
            self._replace_file(self._log_path, encode_log_frame(records))
            os.close(self._log_fd)
            self._log_fd = os.open(self._log_path, APPEND_FLAGS)
            return
        records = [hard_state, *entries] if ready.hard_state_changed else entries
        _write_all(self._log_fd, encode_log_frame(records))
        os.fdatasync(self._log_fd)

    def close(self) -> None:
        """Closes the files and releases the lock."""
        for fd in (self._log_fd, self._lock_fd):
            if fd != CLOSED_FD:
                with contextlib.suppress(OSError):
                    os.close(fd)
        self._log_fd = CLOSED_FD
        self._lock_fd = CLOSED_FD


def _write_all(fd: int, data: bytes) -> None:
    """Writes all of `data`; one system call may write a part only."""
    unwritten = memoryview(data)
    while unwritten:
        unwritten = unwritten[os.write(fd, unwritten) :]
