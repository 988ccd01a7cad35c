"""Discovery's protocol, without I/O: words the calls and decodes the lists of endpoints that answer them."""

from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Any, NamedTuple

import h11
import orjson

from crankfold.errors import CrankfoldError
from crankfold.routing.interface import Endpoint, EndpointState

_STATES = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.REMOVED,
}
_STATE_NAMES = {state: name for name, state in _STATES.items()}
MAX_LIST_SIZE = 16 * 1024 * 1024  # bytes


class DiscoveryError(CrankfoldError, ValueError):
    """An answer of discovery can't be read as a whole: the list of before stands."""


class RejectedError(DiscoveryError):
    """Discovery did not serve the call; what it said before still holds."""


class DiscoveryEntry(NamedTuple):
    """What discovery says of one backend.

    Attributes:
        backend_id: that names it for good.
        host: of its address.
        port: of its address.
        zone: by name.
        instance_type: by name.
        cell: number of the group of machines that it is in.
        state: whether it may be sent requests.
        weight: its size, or how much it may be sent; 0 where discovery does not say.
        boot_ms: when it started, in milliseconds since the epoch; 0 for long ago.
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
    """One answer of discovery.

    Attributes:
        revision: of the list that the answer leads to.
        is_snapshot: the list as a whole; else only what changed since the revision that the call named.
        endpoints: those in the list, or those that changed.
    """

    revision: int
    is_snapshot: bool
    endpoints: Sequence[Endpoint]


def decode_endpoints(body: bytes | bytearray, make_endpoint: EndpointFactory) -> EndpointUpdate:
    """Decodes the body of an answer.

    Raises:
        DiscoveryError: anything in it can't be read, or a snapshot is empty.
    """
    try:
        message = orjson.loads(body)
        revision = message["rev"]
        is_snapshot = message["all"]
        if type(revision) is not int or type(is_snapshot) is not bool:
            raise DiscoveryError("rev or all")
        endpoints = [make_endpoint(_decode_entry(entry)) for entry in message["targets"]]
    except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
        raise DiscoveryError(f"{type(error).__name__}: {error}") from None
    if is_snapshot and not endpoints:
        raise DiscoveryError("a snapshot without a backend")
    return EndpointUpdate(revision, is_snapshot, endpoints)


def _decode_entry(entry: dict[str, Any]) -> DiscoveryEntry:
    host, _, port = entry["endpoint"].rpartition(":")
    if not host or not isinstance(entry["uid"], str):
        raise DiscoveryError("an entry without uid or address")
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


def encode_entry(entry: DiscoveryEntry) -> dict[str, Any]:
    """The entry as discovery words it."""
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


class DiscoveryConnection:
    """The state of one connection to discovery, used for one call after the other."""

    def __init__(self, host: str) -> None:
        self.http = h11.Connection(h11.CLIENT)
        self.host = host.encode()
        self.status = 0
        self.body = bytearray()

    def request(self, revision: int, wait_ms: int) -> bytes:
        """Begins a call; gives the bytes to be written.

        Args:
            revision: asks for what changed after it, or for a snapshot if it is negative.
            wait_ms: how long discovery may wait for a change, in milliseconds.
        """
        target = "/v1/servers" if revision < 0 else f"/v1/servers?after={revision}&wait_ms={wait_ms}"
        self.status = 0
        self.body = bytearray()
        head = h11.Request(method=b"GET", target=target.encode(), headers=[(b"Host", self.host)])
        return (self.http.send(head) or b"") + (self.http.send(h11.EndOfMessage()) or b"")

    def receive_data(self, data: bytes) -> bool:
        """True once an answer is complete.

        Raises:
            DiscoveryError: the answer can't be read, is too long, or breaks off.
        """
        try:
            self.http.receive_data(data)
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return False
                if isinstance(event, h11.Response):
                    self.status = event.status_code
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > MAX_LIST_SIZE:
                        raise DiscoveryError("longer than any list")
                elif isinstance(event, h11.EndOfMessage):
                    if self.http.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
                        self.http.start_next_cycle()
                    return True
                elif isinstance(event, h11.ConnectionClosed):
                    raise DiscoveryError("the connection ended")
        except h11.RemoteProtocolError as error:
            raise DiscoveryError(str(error)) from None

    def is_reusable(self) -> bool:
        """Whether another call may follow on this connection."""
        return self.http.our_state is h11.IDLE

    def decode_response(self, make_endpoint: EndpointFactory) -> EndpointUpdate:
        """Decodes the answer that is complete.

        Raises:
            RejectedError: the call was not served; what was said before still holds.
            DiscoveryError: the list can't be read.
        """
        if self.status != HTTPStatus.OK:
            raise RejectedError(f"status {self.status}")
        return decode_endpoints(self.body, make_endpoint)
