"""The discovery protocol without I/O: encodes the calls, decodes the endpoint lists in the responses.

Only this module translates the field names on the wire (`uid`, `az`, `model`, `pod_group`, `capacity_hint`,
`rev`, `all`, `targets`).
"""

from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Any, NamedTuple

import h11
import orjson

from crankfold.errors import CrankfoldError, drop_traceback
from crankfold.protocol.bounded_input import BoundedInput
from crankfold.routing.interface import Endpoint, EndpointState

_STATES = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.REMOVED,
}
_STATE_NAMES = {state: name for name, state in _STATES.items()}
MAX_LIST_SIZE = 4 * 1024 * 1024  # bytes
# Values of JSON in a list; decoded, each takes up to a hundred bytes. A fleet of 3,200 backends has 64,000.
MAX_LIST_VALUES = 200_000
PORTION_EVENTS = 32  # events of h11 in one call of `DiscoveryConnection.receive_data`
_WireEntry = dict[str, Any]  # a JSON object with the field names of the wire
EndpointDocument = dict[str, Any]
"""An endpoint list as decoded JSON, in the form of a response of discovery."""


class DiscoveryError(CrankfoldError, ValueError):
    """A response of discovery is incomplete or can't be decoded; no part of it is applied."""


class RejectedError(DiscoveryError):
    """Discovery rejected the call; the last revision stays valid."""


class DiscoveryEntry(NamedTuple):
    """One backend in an endpoint list.

    Attributes:
        backend_id: Unique, and never reused.
        host: Host of the address.
        port: Port of the address.
        zone: Name of the zone.
        instance_type: Name of the instance type.
        cell: Number of the cell, a group of machines.
        state: Whether requests may be sent to the backend.
        weight: Capacity relative to other backends; 0 if discovery does not state it.
        boot_ms: When the backend started, in milliseconds since the epoch; 0 for long ago.
    """

    backend_id: str
    host: str
    port: int
    zone: str
    instance_type: str
    cell: int
    state: EndpointState
    weight: float
    boot_ms: int


EndpointFactory = Callable[[DiscoveryEntry], Endpoint]  # turns the names in an entry into indices


class EndpointUpdate(NamedTuple):
    """One response of discovery.

    Attributes:
        revision: Revision of the list after this update.
        is_snapshot: Whether this is the complete list; else it is the delta since the revision in the call.
        endpoints: All endpoints of the list, or those that changed.
    """

    revision: int
    is_snapshot: bool
    endpoints: Sequence[Endpoint]


def decode_endpoints(body: bytes | bytearray, make_endpoint: EndpointFactory) -> EndpointUpdate:
    """Decodes the body of a response.

    Raises:
        DiscoveryError: The list is too long, a field is missing or malformed, or a snapshot is empty.
    """
    if sum(map(body.count, (b",", b"{", b"["))) > MAX_LIST_VALUES:
        raise DiscoveryError(f"a list with more than {MAX_LIST_VALUES} values")
    try:
        message = orjson.loads(body)
        revision = message["rev"]
        is_snapshot = message["all"]
        if type(revision) is not int or type(is_snapshot) is not bool:
            raise DiscoveryError("rev is not an integer, or all is not a boolean")
        endpoints = [make_endpoint(_decode_entry(entry)) for entry in message["targets"]]
    except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
        raise DiscoveryError(f"unreadable endpoint list ({type(error).__name__}: {error})") from error
    if is_snapshot and not endpoints:
        raise DiscoveryError("a snapshot without a backend")
    return EndpointUpdate(revision, is_snapshot, endpoints)


def _decode_entry(entry: _WireEntry) -> DiscoveryEntry:
    host, _, port = entry["endpoint"].rpartition(":")
    if not host or not isinstance(entry["uid"], str):
        raise DiscoveryError("an entry has no uid or no address")
    return DiscoveryEntry(
        backend_id=entry["uid"],
        host=host.strip("[]"),
        port=int(port),
        zone=str(entry.get("az", "")),
        instance_type=str(entry.get("model", "")),
        cell=int(entry.get("pod_group") or 0),
        state=_STATES[entry["state"]],
        weight=float(entry.get("capacity_hint") or 0.0),
        boot_ms=int(entry.get("boot_ms") or 0),
    )


def encode_entry(entry: DiscoveryEntry) -> _WireEntry:
    """Returns the wire representation of the entry."""
    return {
        "uid": entry.backend_id,
        "endpoint": f"{entry.host}:{entry.port}",
        "boot_ms": entry.boot_ms,
        "az": entry.zone,
        "model": entry.instance_type,
        "pod_group": entry.cell,
        "state": _STATE_NAMES[entry.state],
        "capacity_hint": entry.weight,
    }


def snapshot_document(entries: Sequence[DiscoveryEntry]) -> EndpointDocument:
    """Returns a snapshot of the endpoint list in the form of a response, with revision 0."""
    return {"rev": 0, "all": True, "targets": [encode_entry(entry) for entry in entries]}


def without_weights(document: EndpointDocument) -> EndpointDocument | None:
    """Returns the endpoint list without the weights of its entries; None if it has no entries.

    Anything else in the list stays as it is; entries that are not JSON objects are left out.
    """
    entries = document.get("targets")
    if not isinstance(entries, list):
        return None
    unweighted = [entry | {"capacity_hint": 0.0} for entry in entries if isinstance(entry, dict)]
    return document | {"targets": unweighted}


class DiscoveryConnection:
    """The state of one connection to discovery, used for one call after another.

    Attributes:
        status: Status of the present response; 0 before its header.
        body: Body of the present response.
        response_started: Whether any byte of the present response was received.
        can_proceed: Whether received bytes are left that `receive_data` has not processed.
    """

    def __init__(self, host: str) -> None:
        self.input = BoundedInput(h11.CLIENT)
        self.host = host.encode()
        self.status = 0
        self.body = bytearray()
        self.response_started = False
        self.can_proceed = False
        self._peer_closed = False

    def request(self, revision: int, wait_ms: int) -> bytes:
        """Begins a call; returns the bytes to be written.

        Args:
            revision: The response has the changes after this revision, or a snapshot if it is negative.
            wait_ms: How long discovery may wait for a change, in milliseconds.
        """
        target = "/v1/servers" if revision < 0 else f"/v1/servers?after={revision}&wait_ms={wait_ms}"
        self.status = 0
        self.body = bytearray()
        self.response_started = False
        head = h11.Request(method=b"GET", target=target.encode(), headers=[(b"Host", self.host)])
        http = self.input.http
        return (http.send(head) or b"") + (http.send(h11.EndOfMessage()) or b"")

    def receive_data(self, data: bytes) -> bool:
        """Receives bytes of the response, and processes up to PORTION_EVENTS events.

        No bytes mean that the peer closed the connection, unless `can_proceed` is set: then they process the
        bytes that are left.

        Returns:
            Whether the response is complete.

        Raises:
            DiscoveryError: The response is not valid HTTP, is too long, or ends before it is complete.
        """
        self._peer_closed = not data and not self.can_proceed
        try:
            if self._peer_closed:
                self.input.http.receive_data(b"")
            else:
                self.input.receive_data(data)
            is_complete = self._process_events()
        except h11.RemoteProtocolError as error:
            drop_traceback(error)
            if not self._peer_closed:
                raise DiscoveryError(f"response is not valid HTTP ({error})") from error
            is_complete = False
        if self._peer_closed and not is_complete:
            moment = "in the middle of a response" if self.response_started else "without a response"
            raise DiscoveryError(f"connection closed {moment}")
        self.response_started = True
        return is_complete

    def _process_events(self) -> bool:
        """Reads a portion of the events; returns whether the response has ended."""
        self.can_proceed = False
        for _ in range(PORTION_EVENTS):
            event = self.input.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return False
            if isinstance(event, h11.Response):
                self.status = event.status_code
            elif isinstance(event, h11.Data):
                self.body += event.data
                if len(self.body) > MAX_LIST_SIZE:
                    raise DiscoveryError(f"response is longer than {MAX_LIST_SIZE} bytes")
            elif isinstance(event, h11.EndOfMessage):
                is_done = self.input.http.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}
                if is_done and not self.input.has_unparsed_bytes():
                    self.input.start_next_cycle()
                return True
        self.can_proceed = True
        return False

    def is_reusable(self) -> bool:
        """Whether the connection may be used for another call: no bytes followed the response."""
        return self.input.http.our_state is h11.IDLE and not self._peer_closed

    def decode_response(self, make_endpoint: EndpointFactory) -> EndpointUpdate:
        """Decodes the complete response.

        Raises:
            RejectedError: Discovery rejected the call.
            DiscoveryError: The list can't be decoded.
        """
        if self.status != HTTPStatus.OK:
            raise RejectedError(f"call rejected with status {self.status}")
        return decode_endpoints(self.body, make_endpoint)
