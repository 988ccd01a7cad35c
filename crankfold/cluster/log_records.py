"""The records of a voter's log file, and how they are framed.

A frame holds the records of one append: the length of its body, the CRC-32 of the body, then the body, a
MessagePack array of records. Each frame is written and synced at once, so a crash can tear only the last one.

The tags of the records and the order and types of their fields make up the file format; the names of the
fields are not stored.
"""

import zlib

import msgspec
from msgspec import Struct

from crankfold.consensus.messages import LogEntry, Snapshot
from crankfold.consensus.raft_state import PersistentState
from crankfold.errors import CrankfoldError

LENGTH_BYTES = 4
CHECKSUM_BYTES = 4
HEADER_BYTES = LENGTH_BYTES + CHECKSUM_BYTES
UNWRITTEN_BYTE = b"\0"  # read from space that the file system allocated, but that was never written


class LogFormatError(CrankfoldError):
    """The log file is damaged beyond a torn tail, or another version wrote it; the message says where."""


class HardStateRecord(Struct, array_like=True, tag="t"):
    """A new term or vote."""

    term: int
    vote: str
    founding_member: bool = False


class EntriesRecord(Struct, array_like=True, tag="e"):
    """Entries that replace all entries from `first_index` on."""

    first_index: int
    entries: list[LogEntry]


class SnapshotRecord(Struct, array_like=True, tag="k"):
    """A snapshot that replaces the earlier snapshot and all entries."""

    snapshot: Snapshot


Record = HardStateRecord | EntriesRecord | SnapshotRecord
_decoder = msgspec.msgpack.Decoder(list[Record])


def encode_log_frame(records: list[Record]) -> bytes:
    """Returns the frame of the records."""
    body = msgspec.msgpack.encode(records)
    length = len(body).to_bytes(LENGTH_BYTES, "big")
    return length + zlib.crc32(body).to_bytes(CHECKSUM_BYTES, "big") + body


def replay(state: PersistentState, data: bytes) -> int:
    """Applies the frames of a log file to `state`, up to a torn tail.

    Returns:
        The total size of the complete frames in bytes, which is where a torn tail begins.

    Raises:
        LogFormatError: A frame is damaged and is not a torn tail, or a body cannot be decoded.
    """
    start = 0
    while start < len(data):
        body_start = start + HEADER_BYTES
        end = body_start + int.from_bytes(data[start : start + LENGTH_BYTES], "big")
        body = data[body_start:end]
        is_complete = body_start < end <= len(data)
        checksum = int.from_bytes(data[start + LENGTH_BYTES : body_start], "big")
        if not is_complete or zlib.crc32(body) != checksum:
            _check_torn_tail(data, start, end)
            break
        for record in _decode_body(body, start):
            apply_record(state, record)
        start = end
    return start


def _decode_body(body: bytes, start: int) -> list[Record]:
    try:
        records: list[Record] = _decoder.decode(body)
    except msgspec.DecodeError as error:
        raise LogFormatError(f"at byte {start}: {error}; another version may have written it") from None
    return records


def _check_torn_tail(data: bytes, start: int, end: int) -> None:
    """Raises a LogFormatError unless a crash can have left the frame from `start` to `end` as it is.

    A crash leaves a part of the last frame, possibly followed by allocated space that was never written. So
    no written bytes may follow the frame, its last bytes must be missing, and no part of it may be a complete
    body.
    """
    has_data_after_frame = bool(data[end:].strip(UNWRITTEN_BYTE))
    lacks_last_bytes = end > len(data) or data[start:end].endswith(UNWRITTEN_BYTE)
    if has_data_after_frame or not lacks_last_bytes or _has_complete_body(data, start):
        raise LogFormatError(
            f"damaged at byte {start} of {len(data)}; remove this voter from the cluster, empty its "
            f"folder and add the voter again, or restore the undamaged file"
        )


def _has_complete_body(data: bytes, start: int) -> bool:
    """Whether the frame at `start` has a body that matches its checksum, so only its length is wrong."""
    body_start = start + HEADER_BYTES
    checksum = int.from_bytes(data[start + LENGTH_BYTES : body_start], "big")
    running_checksum = 0
    for end in range(body_start + 1, len(data) + 1):
        running_checksum = zlib.crc32(data[end - 1 : end], running_checksum)
        if running_checksum == checksum and _is_decodable(data[body_start:end]):
            return True
    return False


def _is_decodable(body: bytes) -> bool:
    try:
        _decoder.decode(body)
    except msgspec.DecodeError:
        return False
    return True


def apply_record(state: PersistentState, record: Record) -> None:
    """Applies the change that the record describes to `state`."""
    match record:
        case HardStateRecord():
            state.term = record.term
            state.vote = record.vote
            state.founding_member = record.founding_member
        case SnapshotRecord():
            state.snapshot = record.snapshot
            state.entries = []
        case EntriesRecord():
            del state.entries[max(record.first_index - state.snapshot.index - 1, 0) :]
            state.entries += record.entries
