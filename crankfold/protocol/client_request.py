"""What a client asks for: the HTTP request as it is forwarded, and what its headers say about it."""

import zlib
from typing import NamedTuple

from crankfold.protocol.headers import Header, Headers, first_values, forwarded_headers, parse_number
from crankfold.time_units import MICROSECONDS_PER_TICK, TICKS_PER_SECOND

MAX_TIMEOUT = 3600.0  # seconds
MAX_WORK = 1e12  # microseconds
MAX_ATTRIBUTE = 1e9
MAX_ID_LENGTH = 256  # characters
_SINGLE_HEADERS = frozenset((b"x-request-id", b"idempotency-key", b"x-timeout", b"x-priority-class"))
_REQUIRED_HEADERS = frozenset((b"x-request-id", b"x-timeout", b"x-priority-class"))


class HttpRequest(NamedTuple):
    """An HTTP request as it is sent to a backend, once for each attempt."""

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes


class ClientRequest(NamedTuple):
    """A request read from a client connection, with what routing needs to know of it.

    Attributes:
        request_id: The client's id, unique among all requests in hand.
        request_class: The name of its request class.
        tenant: The name of the tenant that pays for it; empty where none is named.
        timeout: How long the client waits, in tenths of a millisecond.
        work: The estimated processing time, in tenths of a millisecond.
        slots: How many slots of a backend it takes up.
        http: What is sent to a backend.
        affinity_key: A hash of the data it needs, the same at every dispatcher; 0 where none is named.
        is_retry: Whether the client says that it sent the request before.
    """

    request_id: str
    request_class: str
    tenant: str
    timeout: int
    work: int
    slots: float
    http: HttpRequest
    affinity_key: int
    is_retry: bool


def parse_request(method: bytes, target: bytes, headers: Headers, body: bytes) -> ClientRequest:
    """Reads a request from its start line, headers and body.

    Raises:
        ValueError: a header is missing, comes twice, or can't be read.
    """
    headers = list(headers)
    # Which of two ids a backend would go by is anybody's guess: such a request is not read.
    values = first_values(headers, _SINGLE_HEADERS)
    if not values.keys() >= _REQUIRED_HEADERS:
        raise ValueError("a required header is missing")
    request_id = values[b"x-request-id"].decode()
    if not 0 < len(request_id) <= MAX_ID_LENGTH:
        raise ValueError("id too long or empty")
    route_key = values.get(b"x-route-key", b"")
    return ClientRequest(
        request_id=request_id,
        request_class=values[b"x-priority-class"].decode(),
        tenant=values.get(b"x-tenant-id", b"").decode("latin-1"),
        timeout=int(parse_number(values[b"x-timeout"], MAX_TIMEOUT) * TICKS_PER_SECOND),
        work=-(-int(parse_number(values.get(b"x-cost", b"0"), MAX_WORK)) // MICROSECONDS_PER_TICK),
        slots=_parse_slots(values.get(b"x-attrs", b"")),
        http=HttpRequest(method, target, forwarded_headers(headers), body),
        affinity_key=1 << 32 | zlib.crc32(route_key) if route_key else 0,
        is_retry=values.get(b"x-retried") == b"1",
    )


def _parse_slots(attributes: bytes) -> float:
    """The slots among attributes in the form `slots=2,memory=0.5`; 1 where they are not named.

    Raises:
        ValueError: an attribute is no number or has no value.
    """
    slots = 1.0
    for pair in attributes.split(b","):
        name, _, value = pair.partition(b"=")
        if value:
            number = parse_number(value, MAX_ATTRIBUTE)
            if name.strip() == b"slots":
                slots = number
        elif name.strip():
            raise ValueError("an attribute without a value")
    return slots
