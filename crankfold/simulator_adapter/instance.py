"""One router instance: decodes events into calls of its router, encodes actions, and maps ids to indices."""

import traceback
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from struct import Struct, pack

from crankfold.config.interning import Interner
from crankfold.config.parser import parse_lines, read_routing_config
from crankfold.routing.interface import Endpoint
from crankfold.routing.router import Router
from crankfold.simulator_adapter.codec import (
    MAX_FAULT_TEXT,
    ActionCode,
    AttemptRecord,
    EventCode,
    FrameError,
    FrameReader,
    ListEntry,
)
from crankfold.time_units import MICROSECONDS_PER_TICK

_SEND_ATTEMPT = Struct("<HIi6s")
_SHED = Struct("<HII")
_FAIL_REQUEST = Struct("<HI")
_CANCEL_ATTEMPT = Struct("<HIB")
_SET_TIMER = Struct("<HIQ")
_PROBE = Struct("<H6s")
_MAX_DELAY = 0xFFFFFFFF  # microseconds, the largest value of a timer's field
# Multiplicative hash: the multiplier is 2**64 / golden ratio, the position is 20 bits of the product.
_HASH_MULTIPLIER = 0x9E3779B97F4A7C15
_HASH_SHIFT_BITS = 20
_HASH_POSITIONS = 0x100000
_WATCH_ENDPOINTS = pack("<HB", ActionCode.WATCH_ENDPOINTS, 1)

Call = Callable[[], None]


def hash_position(address: bytes) -> float:
    """Returns the position of a backend in [0, 1): the same at each instance, uniform over backends."""
    product = int.from_bytes(address, "little") * _HASH_MULTIPLIER
    return ((product >> _HASH_SHIFT_BITS) % _HASH_POSITIONS) / _HASH_POSITIONS


class RouterInstance:
    """Passes events to one `Router`, and implements its `RoutingActions`."""

    def __init__(self, seed: int, settings: str, endpoint_lists: Mapping[int, Sequence[ListEntry]]) -> None:
        """Creates the router from the settings.

        Args:
            seed: Seed of the router's random choices.
            settings: The lines of the router's configuration.
            endpoint_lists: The endpoint lists by index; read when a record names one.
        """
        self.output = bytearray()
        backends: Interner[bytes] = Interner()
        requests: Interner[int] = Interner()
        self.backend_index = backends.intern
        self.addresses = backends.names
        self.request_index = requests.intern
        self.request_ids = requests.names
        self.endpoint_lists = endpoint_lists
        self.router = Router(read_routing_config(parse_lines(settings)), seed, self)

    # --- actions ---

    def send_attempt(self, request_id: int, backend: int) -> None:
        """Encodes an attempt without a timeout of its own."""
        self.output += _SEND_ATTEMPT.pack(
            ActionCode.SEND_ATTEMPT, self.request_ids[request_id], 0, self.addresses[backend]
        )

    def shed(self, request_id: int, retry_after: int) -> None:
        """Encodes the answer that a request is shed and may be retried."""
        delay = retry_after * MICROSECONDS_PER_TICK
        self.output += _SHED.pack(ActionCode.SHED, self.request_ids[request_id], delay)

    def fail_request(self, request_id: int) -> None:
        """Encodes the answer that a request has failed."""
        self.output += _FAIL_REQUEST.pack(ActionCode.FAIL_REQUEST, self.request_ids[request_id])

    def cancel_attempt(self, request_id: int, attempt_number: int) -> None:
        """Encodes the cancellation of an attempt."""
        self.output += _CANCEL_ATTEMPT.pack(
            ActionCode.CANCEL_ATTEMPT, self.request_ids[request_id], attempt_number
        )

    def set_timer(self, delay: int, token: int) -> None:
        """Encodes a timer; a delay beyond the range of its field is reduced to the range."""
        microseconds = min(delay * MICROSECONDS_PER_TICK, _MAX_DELAY)
        self.output += _SET_TIMER.pack(ActionCode.SET_TIMER, microseconds, token)

    def probe(self, backend: int) -> None:
        """Encodes a probe."""
        self.output += _PROBE.pack(ActionCode.PROBE, self.addresses[backend])

    def poll_endpoints(self) -> None:
        """Encodes a request for the endpoint list."""
        self.output += _WATCH_ENDPOINTS

    def _report_fault(self, text: str) -> None:
        packed = text.encode()[-MAX_FAULT_TEXT:]
        self.output += pack("<HH", ActionCode.FAULT, len(packed)) + packed

    # --- events ---

    def handle_event(self, code: int, reader: FrameReader) -> None:
        """Decodes an event and passes it to the router; an exception of the router is sent as a fault.

        Raises:
            FrameError: The code is unknown.
            struct.error, KeyError: The record cannot be decoded.
        """
        if code == EventCode.PEER_MESSAGE:
            reader.skip_peer_message()
            return
        decode = _DECODERS.get(code)
        if decode is None:
            raise FrameError(f"unknown event code {code}")
        call = decode(self, reader)
        try:
            call()
        except Exception:
            self._report_fault(traceback.format_exc())

    def _attempt(self, record: AttemptRecord) -> tuple[int, int, int]:
        """Returns the request index, the attempt number and the backend index."""
        request = self.request_index(record.request_id)
        return request, record.attempt_number, self.backend_index(record.address)

    def _endpoints(self, reader: FrameReader) -> Call:
        record = reader.endpoints()
        if record.failed:
            return partial(self.router.discovery_failed, reader.now)
        endpoints = [
            Endpoint(
                self.backend_index(entry.address),
                entry.state,
                entry.weight,
                entry.zone,
                entry.cell,
                entry.started_at,
                entry.instance_type,
                hash_position(entry.address),
            )
            for entry in self.endpoint_lists[record.list_index]
        ]
        return partial(self.router.endpoints_changed, reader.now, endpoints, record.snapshot)

    def _request(self, reader: FrameReader) -> Call:
        arrival = reader.request()
        arrival.request_id = self.request_index(arrival.request_id)
        return partial(self.router.request_received, reader.now, arrival)

    def _attempt_started(self, reader: FrameReader) -> Call:
        return partial(self.router.attempt_started, reader.now, *self._attempt(reader.attempt_started()))

    def _attempt_note(self, reader: FrameReader) -> Call:
        record, started = reader.attempt_note()
        event = self.router.attempt_started if started else self.router.attempt_progressed
        return partial(event, reader.now, *self._attempt(record))

    def _attempt_ended(self, reader: FrameReader) -> Call:
        record, end = reader.attempt_ended()
        return partial(self.router.attempt_ended, reader.now, *self._attempt(record), end)

    def _client_disconnected(self, reader: FrameReader) -> Call:
        request = self.request_index(reader.request_id())
        return partial(self.router.client_disconnected, reader.now, request)

    def _timer(self, reader: FrameReader) -> Call:
        return partial(self.router.timer_fired, reader.now, reader.timer())

    def _probe_ended(self, reader: FrameReader) -> Call:
        address, healthy, report = reader.probe_ended()
        return partial(self.router.probe_ended, reader.now, self.backend_index(address), healthy, report)


_DECODERS: dict[int, Callable[[RouterInstance, FrameReader], Call]] = {
    EventCode.ENDPOINTS: RouterInstance._endpoints,
    EventCode.REQUEST: RouterInstance._request,
    EventCode.ATTEMPT_STARTED: RouterInstance._attempt_started,
    EventCode.ATTEMPT_NOTE: RouterInstance._attempt_note,
    EventCode.ATTEMPT_ENDED: RouterInstance._attempt_ended,
    EventCode.CLIENT_DISCONNECTED: RouterInstance._client_disconnected,
    EventCode.TIMER: RouterInstance._timer,
    EventCode.PROBE_ENDED: RouterInstance._probe_ended,
}
