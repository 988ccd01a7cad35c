"""Decodes the simulator's frames: little-endian records, each a code and fields of fixed layout.

Times on the wire are microseconds, those of the router ticks of 0.1 ms. Deadlines are rounded down, work
hints up.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from struct import Struct
from typing import Any, Final

from crankfold.errors import CrankfoldError
from crankfold.routing.interface import AttemptEnd, EndpointState, Outcome, RequestArrival
from crankfold.time_units import MICROSECONDS_PER_TICK

MAX_FAULT_TEXT: Final = 4000  # bytes
LENGTH_BYTES: Final = 4  # before each frame; the length includes itself
TIME_BYTES: Final = 8  # at the start of each frame

_LENGTH = Struct("<I")  # of a frame, including itself
_CODE = Struct("<H")
_INSTANCE = Struct("<H")
_LIST_HEADER = Struct("<II")
_LIST_ENTRY = Struct("<BBfH6sBQ")
_START = Struct("<QI")
_REQUEST = Struct("<IHHQQIffB")
_ATTEMPT_STARTED = Struct("<I6sBI")
_ATTEMPT_NOTE = Struct("<IB6sBf")
_ATTEMPT_END = Struct("<IB6sBIBIB")
_TIMER = Struct("<Q")
_REQUEST_ID = Struct("<I")
_PROBE_END = Struct("<6sBIB")
_PEER_MESSAGE = Struct("<IH")
_ENDPOINTS = Struct("<BQI")

# Bits of a request's flags.
_HAS_WORK_HINT = 1
_IS_RETRY = 2
_NOTE_STARTED = 1  # kind of a note about an attempt
# Kinds of an endpoint list.
_DELTA = 2
_FAILED = 3

_OUTCOMES = {
    0: Outcome.COMPLETED,
    1: Outcome.CANCELLED,
    4: Outcome.TIMED_OUT,
    8: Outcome.OVERLOADED,
    9: Outcome.NOT_SENT,
    10: Outcome.RESET,
    13: Outcome.ERROR,
    14: Outcome.UNREACHABLE,
}
_STATES = {0: EndpointState.REMOVED, 1: EndpointState.READY, 2: EndpointState.DRAINING}


class EventCode(IntEnum):
    """The codes of records from the simulator."""

    START = 1
    ENDPOINTS = 2
    REQUEST = 3
    ATTEMPT_STARTED = 4
    ATTEMPT_ENDED = 5
    CLIENT_DISCONNECTED = 6
    TIMER = 7
    PROBE_ENDED = 8
    PEER_MESSAGE = 9
    STOP = 10
    ENDPOINT_LIST = 11
    ATTEMPT_NOTE = 12
    TO_INSTANCE = 13


class FrameError(CrankfoldError, ValueError):
    """A frame cannot be decoded."""


class ActionCode(IntEnum):
    """The codes of records to the simulator."""

    SEND_ATTEMPT = 1
    SHED = 2
    FAIL_REQUEST = 3
    CANCEL_ATTEMPT = 4
    SET_TIMER = 5
    PROBE = 6
    FAULT = 10
    WATCH_ENDPOINTS = 11
    FROM_INSTANCE = 13


@dataclass(slots=True)
class ListEntry:
    """One backend of an endpoint list, identified by its address."""

    address: bytes
    state: EndpointState
    weight: float
    zone: int
    cell: int
    started_at: int  # ticks
    instance_type: int


@dataclass(slots=True)
class EndpointsRecord:
    """States which endpoint list an instance receives."""

    list_index: int
    snapshot: bool
    failed: bool  # discovery failed; there is no list


@dataclass(slots=True)
class AttemptRecord:
    """An attempt, identified as on the wire."""

    request_id: int
    attempt_number: int
    address: bytes


class FrameReader:
    """Reads the records of one frame in turn."""

    def __init__(self, frame: bytes) -> None:
        self.now = int.from_bytes(frame[:TIME_BYTES], "little") // MICROSECONDS_PER_TICK
        self._frame = frame
        self._offset = TIME_BYTES

    def at_end(self) -> bool:
        """Whether all records are read."""
        return self._offset >= len(self._frame)

    def unpack(self, layout: Struct) -> tuple[Any, ...]:
        """Reads the fields of `layout`.

        Raises:
            struct.error: The frame ends before the last of them.
        """
        fields = layout.unpack_from(self._frame, self._offset)
        self._offset += layout.size
        return fields

    def take(self, size: int, content: str) -> bytes:
        """Reads `size` bytes.

        Raises:
            FrameError: The frame ends before that; the message names the `content` of the bytes.
        """
        start = self._offset
        if start + size > len(self._frame):
            raise FrameError(f"{content} longer than the frame")
        self._offset += size
        return self._frame[start : self._offset]

    def code(self) -> int:
        """Reads the code of the next record."""
        code: int = _CODE.unpack_from(self._frame, self._offset)[0]
        self._offset += _CODE.size
        return code

    def instance(self) -> int:
        """Reads the index of the instance that receives the next records."""
        return int(self.unpack(_INSTANCE)[0])

    def start(self) -> tuple[int, str]:
        """Reads the seed and the settings of an instance that starts."""
        seed, size = self.unpack(_START)
        return seed, self.take(size, "settings").decode()

    def endpoint_list(self) -> tuple[int, list[ListEntry]]:
        """Reads an endpoint list and the index by which later records name it."""
        index, count = self.unpack(_LIST_HEADER)
        packed = self.take(_LIST_ENTRY.size * count, "a list")
        return index, [
            ListEntry(
                address=address,
                state=_STATES.get(state, EndpointState.REMOVED),
                weight=weight,
                zone=zone,
                cell=cell,
                # Rounded up, so that slow start does not end early.
                started_at=-(-started_at // MICROSECONDS_PER_TICK),
                instance_type=instance_type,
            )
            for zone, state, weight, cell, address, instance_type, started_at in _LIST_ENTRY.iter_unpack(
                packed
            )
        ]

    def endpoints(self) -> EndpointsRecord:
        """Reads which endpoint list an instance receives."""
        kind, _revision, index = self.unpack(_ENDPOINTS)
        return EndpointsRecord(index, snapshot=kind != _DELTA, failed=kind == _FAILED)

    def request(self) -> RequestArrival:
        """Reads a request with its id on the wire; the tenant and the second size are not used."""
        request_id, class_index, _tenant, key, deadline, work, slots, _size, flags = self.unpack(_REQUEST)
        return RequestArrival(
            request_id,
            class_index,
            deadline=deadline // MICROSECONDS_PER_TICK,
            work=-(-work // MICROSECONDS_PER_TICK) if flags & _HAS_WORK_HINT else 0,
            slots=slots,
            key=key,
            is_retry=bool(flags & _IS_RETRY),
        )

    def attempt_started(self) -> AttemptRecord:
        """Reads the start of an attempt."""
        request_id, address, attempt_number, _latency = self.unpack(_ATTEMPT_STARTED)
        return AttemptRecord(request_id, attempt_number, address)

    def attempt_note(self) -> tuple[AttemptRecord, bool]:
        """Reads an attempt, and whether it has started (True) or made progress (False)."""
        request_id, attempt_number, address, kind, _share = self.unpack(_ATTEMPT_NOTE)
        return AttemptRecord(request_id, attempt_number, address), kind == _NOTE_STARTED

    def attempt_ended(self) -> tuple[AttemptRecord, AttemptEnd]:
        """Reads an attempt and its end; an unknown status counts as possibly executed."""
        fields = self.unpack(_ATTEMPT_END)
        request_id, attempt_number, address, status, _latency, request_over, _detail, count = fields
        outcome = _OUTCOMES.get(status, Outcome.UNKNOWN)
        end = AttemptEnd(outcome, bool(request_over), self.report(count))
        return AttemptRecord(request_id, attempt_number, address), end

    def timer(self) -> int:
        """Reads the token of a timer."""
        return int(self.unpack(_TIMER)[0])

    def request_id(self) -> int:
        """Reads the id of a request."""
        return int(self.unpack(_REQUEST_ID)[0])

    def probe_ended(self) -> tuple[bytes, bool, Sequence[float]]:
        """Reads the address of a probed backend, whether it is healthy, and its load report."""
        address, status, _latency, count = self.unpack(_PROBE_END)
        return address, status == 0, self.report(count)

    def skip_peer_message(self) -> None:
        """Skips a message of another instance; instances send none."""
        _sender, size = self.unpack(_PEER_MESSAGE)
        self._offset += int(size)

    def report(self, count: int) -> Sequence[float]:
        """Reads a load report of `count` values."""
        return self.unpack(Struct(f"<{count}f")) if count else ()
