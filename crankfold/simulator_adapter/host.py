"""The simulator's wire at the door: decodes events into calls, ids into indices, and actions into bytes."""

import struct
import traceback
from collections.abc import Callable, Sequence
from struct import pack, unpack_from

from crankfold.config.interning import Interner
from crankfold.config.parser import parse_lines, read_routing_config
from crankfold.routing.interface import AttemptEnd, Endpoint, EndpointState, Outcome, RequestArrival
from crankfold.routing.router import Router

_OUTCOMES = {
    0: Outcome.COMPLETED,
    13: Outcome.ERROR,
    8: Outcome.OVERLOADED,
    4: Outcome.TIMED_OUT,
    14: Outcome.UNREACHABLE,
    10: Outcome.RESET,
    1: Outcome.CANCELLED,
    9: Outcome.NOT_SENT,
}
_STATES = {0: EndpointState.REMOVED, 1: EndpointState.READY, 2: EndpointState.DRAINING}
_ENDPOINT = struct.Struct("<BBfH6sBQ")
_REQUEST = struct.Struct("<IHHQQIffB")
_ATTEMPT_NOTE = struct.Struct("<IB6sBf")
_ATTEMPT_END = struct.Struct("<IB6sBIBIB")
_ENDPOINTS_CHANGED = struct.Struct("<BQI")
_PROBE_END = struct.Struct("<6sBIB")


def hash_position(address: bytes) -> float:
    """The same for a runner at every instance, below 1, and spread evenly over runners."""
    return (int.from_bytes(address, "little") * 0x9E3779B97F4A7C15 >> 20 & 0xFFFFF) / 0x100000


class RouterInstance:
    """One instance: its decisions, its index of ids, and the port by which its actions leave."""

    def __init__(self, salt: int, params: str) -> None:
        self.output = bytearray()
        runners: Interner[bytes] = Interner()
        units: Interner[int] = Interner()
        self.backend_index, self.addresses = runners.intern, runners.names
        self.request_index, self.request_ids = units.intern, units.names
        self.router = Router(read_routing_config(parse_lines(params)), salt, self)

    def send_attempt(self, unit: int, runner: int) -> None:
        self.output += pack("<HIi6s", 1, self.request_ids[unit], 0, self.addresses[runner])

    def shed(self, unit: int, advice: int) -> None:
        self.output += pack("<HII", 2, self.request_ids[unit], advice * 100)

    def fail_request(self, unit: int) -> None:
        self.output += pack("<HI", 3, self.request_ids[unit])

    def cancel_attempt(self, unit: int, nth: int) -> None:
        self.output += pack("<HIB", 4, self.request_ids[unit], nth)

    def set_timer(self, after: int, label: int) -> None:
        self.output += pack("<HIQ", 5, min(after * 100, 0xFFFFFFFF), label)

    def probe(self, runner: int) -> None:
        self.output += pack("<H6s", 6, self.addresses[runner])

    def poll_endpoints(self) -> None:
        self.output += b"\x0b\x00\x01"

    def report_failure(self, text: str) -> None:
        msg = text.encode()[-4000:]
        self.output += pack("<HH", 10, len(msg)) + msg


class SimulatorHost:
    def __init__(self) -> None:
        self.instances: dict[int, RouterInstance] = {}
        self.endpoint_lists: dict[int, list[tuple[int, int, float, int, bytes, int, int]]] = {}

    def handle_frame(self, frame: bytes) -> bytes:
        micros = int.from_bytes(frame[:8], "little")
        now, at, end, me = micros // 100, 8, len(frame), -1
        spoke: dict[int, RouterInstance] = {}
        while at < end:
            (code,) = unpack_from("<H", frame, at)
            at += 2
            if code == 13:
                (me,) = unpack_from("<H", frame, at)
                at += 2
                continue
            if code == 11:
                bank, n = unpack_from("<II", frame, at)
                at += 8
                if at + 23 * n > end:
                    raise ValueError("a list longer than its frame")
                self.endpoint_lists[bank] = list(_ENDPOINT.iter_unpack(frame[at : at + 23 * n]))
                at += 23 * n
                continue
            if code == 1:
                salt, n = unpack_from("<QI", frame, at)
                at += 12
                if at + n > end:
                    raise ValueError("settings longer than their frame")
                self.instances[me] = spoke[me] = RouterInstance(salt, frame[at : at + n].decode())
                at += n
                continue
            if code == 10:
                self.instances.pop(me, None)
                spoke.pop(me, None)
                continue
            at = self._handle_event(self.instances[me], code, frame, at, now)
            spoke[me] = self.instances[me]
        parts = []
        for i, door in spoke.items():
            if door.output:
                parts.append(pack("<HH", 13, i) + door.output)
                door.output = bytearray()
        body = b"".join(parts)
        return pack("<I", 4 + len(body)) + body

    def _handle_event(self, door: RouterInstance, code: int, frame: bytes, at: int, now: int) -> int:
        """Decodes the whole event first, so that only the call itself can be reported as a fault of ours."""
        told = door.router
        call: Callable[..., None]
        args: tuple[object, ...]
        if code == 3:
            ident, grade, _, key, until, effort, slots, _, attrs = _REQUEST.unpack_from(frame, at)
            at += _REQUEST.size
            work = (effort + 99) // 100 if attrs & 1 else 0
            arrival = RequestArrival(
                door.request_index(ident), grade, until // 100, work, slots, key, bool(attrs & 2)
            )
            call, args = told.request_received, (now, arrival)
        elif code == 12:
            ident, nth, address, kind, _ = _ATTEMPT_NOTE.unpack_from(frame, at)
            at += _ATTEMPT_NOTE.size
            args = (now, door.request_index(ident), nth, door.backend_index(address))
            call = told.attempt_started if kind == 1 else told.attempt_progressed
        elif code == 4:
            ident, address, nth, _ = unpack_from("<I6sBI", frame, at)
            at += 15
            call, args = (
                told.attempt_started,
                (now, door.request_index(ident), nth, door.backend_index(address)),
            )
        elif code == 5:
            ident, nth, address, rc, _, last, _, n = _ATTEMPT_END.unpack_from(frame, at)
            at += _ATTEMPT_END.size
            report: Sequence[float] = unpack_from(f"<{n}f", frame, at) if n else ()
            at += 4 * n
            outcome = _OUTCOMES.get(rc, Outcome.UNKNOWN)
            call = told.attempt_ended
            args = (
                now,
                door.request_index(ident),
                nth,
                door.backend_index(address),
                AttemptEnd(outcome, bool(last), report),
            )
        elif code == 7:
            (label,) = unpack_from("<Q", frame, at)
            at += 8
            call, args = told.timer_fired, (now, label)
        elif code == 6:
            (ident,) = unpack_from("<I", frame, at)
            at += 4
            call, args = told.client_disconnected, (now, door.request_index(ident))
        elif code == 8:
            address, rc, _, n = _PROBE_END.unpack_from(frame, at)
            at += _PROBE_END.size
            report = unpack_from(f"<{n}f", frame, at) if n else ()
            at += 4 * n
            call, args = told.probe_ended, (now, door.backend_index(address), rc == 0, report)
        elif code == 2:
            scope, _, bank = _ENDPOINTS_CHANGED.unpack_from(frame, at)
            at += _ENDPOINTS_CHANGED.size
            if scope == 3:
                call, args = told.discovery_failed, (now,)
            else:
                # A list entry's start is rounded up: a younger runner is treated as colder.
                entries = [
                    Endpoint(
                        door.backend_index(a),
                        _STATES.get(s, EndpointState.REMOVED),
                        w,
                        z,
                        c,
                        -(-since // 100),
                        kind,
                        hash_position(a),
                    )
                    for z, s, w, c, a, kind, since in self.endpoint_lists[bank]
                ]
                call, args = told.endpoints_changed, (now, entries, scope != 2)
        elif code == 9:
            _, n = unpack_from("<IH", frame, at)
            return at + 6 + int(n)
        else:
            raise ValueError(f"unknown event code {code}")
        try:
            call(*args)
        except Exception:
            door.report_failure(traceback.format_exc())
        return at
