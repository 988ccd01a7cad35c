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

from crankfold.agreement.raft import Batch, Stored
from crankfold.agreement.words import Entry, Kept

HEAD = 8  # length and checksum


class Unfit(Exception):
    """The folder can't be used; the text says why and what to do."""


class Turn(msgspec.Struct, array_like=True, tag="t"):
    term: int
    vote: str
    founded: bool = False


class Wrote(msgspec.Struct, array_like=True, tag="e"):
    first: int
    entries: list[Entry]


class Whole(msgspec.Struct, array_like=True, tag="k"):
    kept: Kept


Record = Turn | Wrote | Whole
_decoder = msgspec.msgpack.Decoder(list[Record])


def packed(records: list[Record]) -> bytes:
    body = msgspec.msgpack.encode(records)
    return len(body).to_bytes(4, "big") + zlib.crc32(body).to_bytes(4, "big") + body


class Store:
    def __init__(self, folder: Path, name: str) -> None:
        self.folder, self.path = folder, folder / "history"
        self.said = ""  # what an operator should know of the start
        self.file = self.lock = -1
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self.lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                raise Unfit(f"{folder}: another process uses it; a name is started once") from None
            self.identity = self._own(name)
            self.stored = self._read()
            self.file = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
            self._sync_folder()
        except OSError as wrong:
            self.close()
            raise Unfit(f"{folder}: {wrong.strerror or wrong}") from None
        except Unfit:
            self.close()
            raise

    def _own(self, name: str) -> str:
        path = self.folder / "identity"
        try:
            whose, _, identity = path.read_text().strip().partition(" ")
        except FileNotFoundError:
            if self.path.exists():
                raise Unfit(f"{path}: missing, though there is a history; bring it back, or take this "
                            f"voter out, empty the folder and add it anew") from None
            identity = secrets.token_hex(8)
            self._replace(path, f"{name} {identity}\n".encode())
            return identity
        if whose != name or not identity:
            raise Unfit(f"{path}: the folder of {whose!r}, not of {name!r}")
        return identity

    def _replace(self, path: Path, data: bytes) -> None:
        half = path.with_suffix(".new")
        file = os.open(half, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            _all(file, data)
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

    def _read(self) -> Stored:
        try:
            data = self.path.read_bytes()
        except FileNotFoundError:
            return Stored()
        stored, at = Stored(), 0
        while at < len(data):
            size = int.from_bytes(data[at:at + 4], "big")
            end = at + HEAD + size
            body = data[at + HEAD:end]
            whole = at + HEAD <= len(data) and end <= len(data) and size > 0
            if not whole or zlib.crc32(body) != int.from_bytes(data[at + 4:at + HEAD], "big"):
                # What a crash tore is the last record, whole in length or not, or room that was never filled.
                if data[end:].strip(b"\0"):
                    raise Unfit(f"{self.path}: damaged at byte {at} of {len(data)}; take this voter out, "
                                f"empty the folder and add it anew, or bring the file back whole")
                self.said = f"{self.path.name}: a torn tail of {len(data) - at} bytes was cut off"
                with self.path.open("r+b") as file:
                    file.truncate(at)
                    os.fsync(file.fileno())
                break
            try:
                for record in _decoder.decode(body):
                    _apply(stored, record)
            except msgspec.DecodeError as wrong:
                raise Unfit(f"{self.path}: at byte {at}: {wrong}; written by another version?") from None
            at = end
        return stored

    def write(self, batch: Batch) -> None:
        """Returns once it is on the disk; an OSError is final for this process."""
        if batch.whole:
            records: list[Record] = [Turn(batch.term, batch.vote, batch.founded), Whole(batch.whole)]
            records += [Wrote(batch.first, batch.entries)] if batch.entries else []
            self._replace(self.path, packed(records))
            os.close(self.file)
            self.file = os.open(self.path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
            return
        records = [Turn(batch.term, batch.vote, batch.founded)] if batch.turned else []
        records += [Wrote(batch.first, batch.entries)] if batch.entries else []
        _all(self.file, packed(records))
        os.fdatasync(self.file)

    def close(self) -> None:
        for file in (self.file, self.lock):
            if file >= 0:
                with contextlib.suppress(OSError):
                    os.close(file)
        self.file = self.lock = -1


def _all(file: int, data: bytes) -> None:
    left = memoryview(data)
    while left:
        left = left[os.write(file, left):]


def _apply(stored: Stored, record: Record) -> None:
    if isinstance(record, Turn):
        stored.term, stored.vote, stored.founded = record.term, record.vote, record.founded
    elif isinstance(record, Whole):
        stored.kept, stored.entries = record.kept, []
    else:
        del stored.entries[max(record.first - stored.kept.index - 1, 0):]
        stored.entries += record.entries
