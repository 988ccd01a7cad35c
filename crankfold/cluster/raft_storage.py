"""What a voter must not forget, in a folder of its own: term, vote, entries, and what went before them.

One file of records, each with length and checksum, written and synced as a whole before anything of it is
answered for. A tail that a crash tore is cut off; damage before the tail is nobody's crash and is refused. An
error of the disk is final: after a failed fsync nobody knows what is there, and trying again would hide that.
"""

import contextlib
import fcntl
import os
import secrets
import zlib
from pathlib import Path

import msgspec

from crankfold.consensus.messages import LogEntry, Snapshot
from crankfold.consensus.raft import PersistentState, Ready

RECORD_HEADER_SIZE = 8  # length and checksum


class StorageError(Exception):
    """The folder can't be used; the text says why and what to do."""


class HardStateRecord(msgspec.Struct, array_like=True, tag="t"):
    term: int
    vote: str
    founding_member: bool = False


class EntriesRecord(msgspec.Struct, array_like=True, tag="e"):
    first_index: int
    entries: list[LogEntry]


class SnapshotRecord(msgspec.Struct, array_like=True, tag="k"):
    snapshot: Snapshot


Record = HardStateRecord | EntriesRecord | SnapshotRecord
_decoder = msgspec.msgpack.Decoder(list[Record])


def encode_records(records: list[Record]) -> bytes:
    body = msgspec.msgpack.encode(records)
    return len(body).to_bytes(4, "big") + zlib.crc32(body).to_bytes(4, "big") + body


class RaftStorage:
    def __init__(self, folder: Path, name: str) -> None:
        self.folder, self.path = folder, folder / "history"
        self.startup_notice = ""  # what an operator should know of the start
        self.log_fd = self.lock_fd = -1
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self.lock_fd = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                raise StorageError(f"{folder}: another process uses it; a name is started once") from None
            self.folder_id = self._load_folder_id(name)
            self.persistent_state = self._load_state()
            self.log_fd = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
            self._sync_folder()
        except OSError as wrong:
            self.close()
            raise StorageError(f"{folder}: {wrong.strerror or wrong}") from None
        except StorageError:
            self.close()
            raise

    def _load_folder_id(self, name: str) -> str:
        path = self.folder / "identity"
        try:
            whose, _, identity = path.read_text().strip().partition(" ")
        except FileNotFoundError:
            if self.path.exists():
                raise StorageError(
                    f"{path}: missing, though there is a history; bring it back, or take this "
                    f"voter out, empty the folder and add it anew"
                ) from None
            identity = secrets.token_hex(8)
            self._replace_file(path, f"{name} {identity}\n".encode())
            return identity
        if whose != name or not identity:
            raise StorageError(f"{path}: the folder of {whose!r}, not of {name!r}")
        return identity

    def _replace_file(self, path: Path, data: bytes) -> None:
        half = path.with_suffix(".new")
        file = os.open(half, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            _write_all(file, data)
            os.fsync(file)
        finally:
            os.close(file)
        os.replace(half, path)
        self._sync_folder()

    def _sync_folder(self) -> None:
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def _load_state(self) -> PersistentState:
        try:
            data = self.path.read_bytes()
        except FileNotFoundError:
            return PersistentState()
        stored, at = PersistentState(), 0
        while at < len(data):
            size = int.from_bytes(data[at : at + 4], "big")
            end = at + RECORD_HEADER_SIZE + size
            body = data[at + RECORD_HEADER_SIZE : end]
            whole = at + RECORD_HEADER_SIZE <= len(data) and end <= len(data) and size > 0
            if not whole or zlib.crc32(body) != int.from_bytes(data[at + 4 : at + RECORD_HEADER_SIZE], "big"):
                # What a crash tore is the last record, whole in length or not, or room that was never filled.
                if data[end:].strip(b"\0"):
                    raise StorageError(
                        f"{self.path}: damaged at byte {at} of {len(data)}; take this voter out, "
                        f"empty the folder and add it anew, or bring the file back whole"
                    )
                self.startup_notice = f"{self.path.name}: a torn tail of {len(data) - at} bytes was cut off"
                with self.path.open("r+b") as file:
                    file.truncate(at)
                    os.fsync(file.fileno())
                break
            try:
                for record in _decoder.decode(body):
                    _apply_record(stored, record)
            except msgspec.DecodeError as wrong:
                raise StorageError(
                    f"{self.path}: at byte {at}: {wrong}; written by another version?"
                ) from None
            at = end
        return stored

    def save(self, batch: Ready) -> None:
        """Returns once it is on the disk; an OSError is final for this process."""
        if batch.whole:
            records: list[Record] = [
                HardStateRecord(batch.term, batch.vote, batch.founded),
                SnapshotRecord(batch.whole),
            ]
            records += [EntriesRecord(batch.first, batch.entries)] if batch.entries else []
            self._replace_file(self.path, encode_records(records))
            os.close(self.log_fd)
            self.log_fd = os.open(self.path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
            return
        records = [HardStateRecord(batch.term, batch.vote, batch.founded)] if batch.turned else []
        records += [EntriesRecord(batch.first, batch.entries)] if batch.entries else []
        _write_all(self.log_fd, encode_records(records))
        os.fdatasync(self.log_fd)

    def close(self) -> None:
        for file in (self.log_fd, self.lock_fd):
            if file >= 0:
                with contextlib.suppress(OSError):
                    os.close(file)
        self.log_fd = self.lock_fd = -1


def _write_all(file: int, data: bytes) -> None:
    left = memoryview(data)
    while left:
        left = left[os.write(file, left) :]


def _apply_record(stored: PersistentState, record: Record) -> None:
    if isinstance(record, HardStateRecord):
        stored.term, stored.vote, stored.founded = record.term, record.vote, record.founding_member
    elif isinstance(record, SnapshotRecord):
        stored.kept, stored.entries = record.snapshot, []
    else:
        del stored.entries[max(record.first_index - stored.kept.index - 1, 0) :]
        stored.entries += record.entries
