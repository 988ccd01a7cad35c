"""What a voter must not lose, in a folder of its own: term, vote, log entries, and the snapshot before them.

The log file holds records, each with its length and checksum, that are written and synced as a whole before
anything in them is answered for. A tail that a crash tore is cut off; damage before the tail is no crash and
is refused. A storage error is final for the open storage: after a failed fsync nobody knows what is stored,
and a retry would hide that. Opening it anew, in this process or another, writes all that can be read to a
fresh file, which is synced and read back before it counts.
"""

import contextlib
import errno
import fcntl
import os
import secrets
import zlib
from pathlib import Path

import msgspec

from crankfold.consensus.messages import LogEntry, Snapshot
from crankfold.consensus.raft_state import PersistentState, Ready
from crankfold.errors import CrankfoldError

LENGTH_SIZE = 4  # bytes
CHECKSUM_SIZE = 4  # bytes
RECORD_HEADER_SIZE = LENGTH_SIZE + CHECKSUM_SIZE
LOG_FILE = "history"
LOCK_FILE = "lock"
IDENTITY_FILE = "identity"  # the voter's name and the id of the folder
FOLDER_ID_BYTES = 8
APPEND_FLAGS = os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC


class StorageError(CrankfoldError):
    """The folder cannot be used; the text says why and what to do."""


class FolderInUseError(StorageError):
    """Another process uses the folder."""


class StorageUnavailableError(StorageError):
    """The system failed to read or write the folder; that may pass."""


class HardStateRecord(msgspec.Struct, array_like=True, tag="t"):
    """The term and the vote changed."""

    term: int
    vote: str
    founding_member: bool = False


class EntriesRecord(msgspec.Struct, array_like=True, tag="e"):
    """Entries replace what stood from `first_index` on."""

    first_index: int
    entries: list[LogEntry]


class SnapshotRecord(msgspec.Struct, array_like=True, tag="k"):
    """A snapshot replaces all that was stored."""

    snapshot: Snapshot


Record = HardStateRecord | EntriesRecord | SnapshotRecord
_decoder = msgspec.msgpack.Decoder(list[Record])


def encode_records(records: list[Record]) -> bytes:
    """The records as they are written at once."""
    body = msgspec.msgpack.encode(records)
    length = len(body).to_bytes(LENGTH_SIZE, "big")
    return length + zlib.crc32(body).to_bytes(CHECKSUM_SIZE, "big") + body


class RaftStorage:
    """The folder of one voter, locked against other processes.

    Attributes:
        folder_id: A random number of the folder, by which the other voters know it.
        persistent_state: What was stored when it was opened.
        startup_notice: What an operator should know of the start; empty for nothing.
    """

    def __init__(self, folder: Path, name: str) -> None:
        """Opens the folder of the voter of that name; makes it if it is missing.

        Raises:
            FolderInUseError: Another process uses it.
            StorageUnavailableError: A system call failed.
            StorageError: It cannot be used.
        """
        self._folder = folder
        self._log_path = folder / LOG_FILE
        self.startup_notice = ""
        self._log_fd = -1
        self._lock_fd = -1
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock()
            self.folder_id = self._load_folder_id(name)
            self.persistent_state = self._load_state()
            self._log_fd = os.open(self._log_path, APPEND_FLAGS | os.O_CREAT, 0o600)
            self._sync_folder()
        except OSError as error:
            self.close()
            raise StorageUnavailableError(f"{folder}: {error.strerror or error}") from None
        except StorageError:
            self.close()
            raise

    def _lock(self) -> None:
        self._lock_fd = os.open(self._folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise FolderInUseError(
                f"{self._folder}: another process uses it; a name is started once"
            ) from None

    def _load_folder_id(self, name: str) -> str:
        path = self._folder / IDENTITY_FILE
        try:
            owner, _, folder_id = path.read_text().strip().partition(" ")
        except FileNotFoundError:
            if self._log_path.exists():
                raise StorageError(
                    f"{path}: missing, though there is a history; bring it back, or take this "
                    f"voter out, empty the folder and add it anew"
                ) from None
            folder_id = secrets.token_hex(FOLDER_ID_BYTES)
            self._replace_file(path, f"{name} {folder_id}\n".encode())
            return folder_id
        if owner != name or not folder_id:
            raise StorageError(f"{path}: the folder of {owner!r}, not of {name!r}")
        return folder_id

    def _replace_file(self, path: Path, data: bytes) -> None:
        """Writes a file so that a crash leaves the old or the new one, whole.

        Raises:
            OSError: The old one stands, or the new one whole.
        """
        unfinished = path.with_suffix(".new")
        file = os.open(unfinished, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            _write_all(file, data)
            os.fsync(file)
        finally:
            os.close(file)
        if unfinished.read_bytes() != data:
            raise OSError(errno.EIO, "what was written reads otherwise")
        os.replace(unfinished, path)
        self._sync_folder()

    def _sync_folder(self) -> None:
        folder = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def _load_state(self) -> PersistentState:
        state = PersistentState()
        try:
            data = self._log_path.read_bytes()
        except FileNotFoundError:
            return state
        valid = self._apply_records(state, data)
        if valid < len(data):
            torn = len(data) - valid
            self.startup_notice = f"{self._log_path.name}: a torn tail of {torn} bytes was cut off"
        if data:
            # After a failed sync the system may hand out what it never wrote; a file of before does not tell.
            self._replace_file(self._log_path, data[:valid])
        return state

    def _apply_records(self, state: PersistentState, data: bytes) -> int:
        """Applies all whole records; gives the number of bytes that they take up.

        Raises:
            StorageError: The file is damaged before its tail, or written by another version.
        """
        start = 0
        while start < len(data):
            body_start = start + RECORD_HEADER_SIZE
            end = body_start + int.from_bytes(data[start : start + LENGTH_SIZE], "big")
            body = data[body_start:end]
            complete = body_start < end <= len(data)
            checksum = int.from_bytes(data[start + LENGTH_SIZE : body_start], "big")
            if not complete or zlib.crc32(body) != checksum:
                self._check_torn_tail(data, start, end)
                break
            try:
                for record in _decoder.decode(body):
                    _apply_record(state, record)
            except msgspec.DecodeError as error:
                raise StorageError(
                    f"{self._log_path}: at byte {start}: {error}; written by another version?"
                ) from None
            start = end
        return start

    def _check_torn_tail(self, data: bytes, start: int, end: int) -> None:
        """A crash may tear the last record, or leave space that was allocated and never written.

        Raises:
            StorageError: More follows after it, so that it is no torn tail.
        """
        if data[end:].strip(b"\0"):
            raise StorageError(
                f"{self._log_path}: damaged at byte {start} of {len(data)}; take this voter out, "
                f"empty the folder and add it anew, or bring the file back whole"
            )

    def save(self, ready: Ready) -> None:
        """Stores what is to be stored, and returns once it is on the disk.

        Raises:
            OSError: It may or may not be stored; final for this process.
        """
        hard_state = HardStateRecord(ready.term, ready.vote, ready.founding_member)
        entries: list[Record] = [EntriesRecord(ready.first_index, ready.entries)] if ready.entries else []
        if ready.snapshot:
            records: list[Record] = [hard_state, SnapshotRecord(ready.snapshot), *entries]
            self._replace_file(self._log_path, encode_records(records))
            os.close(self._log_fd)
            self._log_fd = os.open(self._log_path, APPEND_FLAGS)
            return
        records = [hard_state, *entries] if ready.hard_state_changed else entries
        _write_all(self._log_fd, encode_records(records))
        os.fdatasync(self._log_fd)

    def close(self) -> None:
        """Closes the files and unlocks the folder."""
        for file in (self._log_fd, self._lock_fd):
            if file >= 0:
                with contextlib.suppress(OSError):
                    os.close(file)
        self._log_fd = -1
        self._lock_fd = -1


def _write_all(file: int, data: bytes) -> None:
    unwritten = memoryview(data)
    while unwritten:
        unwritten = unwritten[os.write(file, unwritten) :]


def _apply_record(state: PersistentState, record: Record) -> None:
    if isinstance(record, HardStateRecord):
        state.term = record.term
        state.vote = record.vote
        state.founding_member = record.founding_member
    elif isinstance(record, SnapshotRecord):
        state.snapshot = record.snapshot
        state.entries = []
    else:
        del state.entries[max(record.first_index - state.snapshot.index - 1, 0) :]
        state.entries += record.entries
