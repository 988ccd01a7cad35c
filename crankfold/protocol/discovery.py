"""Discovery's list and its watch, as answers are read and the next call is worded."""

from typing import Any, Protocol

import h11
import orjson

from crankfold.routing.interface import Endpoint, EndpointState

_STATES = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.REMOVED,
}
_STATE_NAMES = {standing: word for word, standing in _STATES.items()}
MAX_LIST_SIZE = 16 * 1024 * 1024


class DiscoveryError(ValueError):
    """The list could not be read as a whole: the old one stands."""


class RejectedError(DiscoveryError):
    """The call was not served; what was told before still holds."""


def state_name(standing: EndpointState) -> str:
    return _STATE_NAMES[standing]


class EndpointFactory(Protocol):
    """Turns an entry's names into places."""

    def __call__(
        self,
        uid: str,
        host: str,
        port: int,
        zone: str,
        kind: str,
        cell: int,
        standing: EndpointState,
        weight: float,
        boot_ms: int,
    ) -> Endpoint: ...


def decode_endpoints(body: bytes | bytearray, enlist: EndpointFactory) -> tuple[int, bool, list[Endpoint]]:
    try:
        told = orjson.loads(body)
        rev, whole = told["rev"], told["all"]
        if type(rev) is not int or type(whole) is not bool:
            raise DiscoveryError("rev or all")
        entries = [_decode_endpoint(given, enlist) for given in told["targets"]]
    except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as wrong:
        raise DiscoveryError(f"{type(wrong).__name__}: {wrong}") from None
    if whole and not entries:
        raise DiscoveryError("a whole list without a runner")
    return rev, whole, entries


def _decode_endpoint(given: dict[str, Any], enlist: EndpointFactory) -> Endpoint:
    host, _, port = given["endpoint"].rpartition(":")
    if not host or not isinstance(given["uid"], str):
        raise DiscoveryError("an entry without uid or address")
    return enlist(
        given["uid"],
        host.strip("[]"),
        int(port),
        str(given.get("az", "")),
        str(given.get("model", "")),
        int(given.get("pod_group") or 0),
        _STATES[given["state"]],
        float(given.get("capacity_hint") or 0.0),
        int(given.get("boot_ms") or 0),
    )


class DiscoveryConnection:
    """One connection to discovery, used for one call after the other."""

    def __init__(self, host: str) -> None:
        self.http = h11.Connection(h11.CLIENT)
        self.host = host.encode()
        self.status, self.body = 0, bytearray()

    def request(self, after: int, wait_ms: int) -> bytes:
        """The whole list where `after` is negative, else a watch for what comes after that version."""
        target = "/v1/servers" if after < 0 else f"/v1/servers?after={after}&wait_ms={wait_ms}"
        self.status, self.body = 0, bytearray()
        asked = h11.Request(method=b"GET", target=target.encode(), headers=[(b"Host", self.host)])
        return (self.http.send(asked) or b"") + (self.http.send(h11.EndOfMessage()) or b"")

    def receive_data(self, data: bytes) -> bool:
        """True once an answer is whole."""
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
        except h11.RemoteProtocolError as wrong:
            raise DiscoveryError(str(wrong)) from None

    def is_reusable(self) -> bool:
        return self.http.our_state is h11.IDLE

    def decode_response(self, enlist: EndpointFactory) -> tuple[int, bool, list[Endpoint]]:
        if self.status != 200:
            raise RejectedError(f"status {self.status}")
        return decode_endpoints(self.body, enlist)
