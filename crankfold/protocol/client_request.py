"""A client's request: the HTTP message that is forwarded, and the attributes in its headers.

Only this module and `headers` translate the header names on the wire (`x-priority-class`, `x-cost`, ...).
"""

import zlib
from typing import NamedTuple

from crankfold.protocol.headers import (
    Header,
    HeaderError,
    Headers,
    first_values,
    forwarded_headers,
    parse_number,
)
from crankfold.time_units import MICROSECONDS_PER_TICK, TICKS_PER_SECOND

MAX_TIMEOUT = 3600.0  # seconds
MAX_WORK = 1e12  # microseconds
MAX_ATTRIBUTE = 1e9  # slots, or the unit of another attribute
MAX_ATTRIBUTES = 32
MAX_ID_LENGTH = 256  # characters
# This bit is set in each affinity key, so that none is 0; the 32 bits below it are the hash.
AFFINITY_KEY_FLAG = 1 << 32
_SINGLE_HEADERS = frozenset((b"x-request-id", b"idempotency-key", b"x-timeout", b"x-priority-class"))
_REQUIRED_HEADERS = frozenset((b"x-request-id", b"x-timeout", b"x-priority-class"))


class HttpRequest(NamedTuple):
    """An HTTP request as it is sent to a backend, once for each attempt."""

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes


class ClientRequest(NamedTuple):
    """A request read from a client connection, with its attributes for routing.

    Attributes:
        request_id: The client's id, unique among all open requests.
        request_class: The name of its request class.
        tenant: The name of the tenant that pays for it; empty if none is given.
        timeout: How long the client waits, in ticks.
        work: The estimated processing time, in ticks.
        slots: How many slots of a backend it occupies.
        http: The message that is sent to a backend.
        affinity_key: A hash of the client's routing key, the same at each dispatcher; 0 if none is given.
        is_retry: Whether the client marks it as a retry.
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
    """Parses a request from its start line, headers and body.

    Raises:
        HeaderError: A header is missing, repeated or malformed.
    """
    headers = list(headers)
    # A repeated header is rejected, as the backend might use its other value.
    values = first_values(headers, _SINGLE_HEADERS)
    if not values.keys() >= _REQUIRED_HEADERS:
        raise HeaderError("a required header is missing")
    try:
        request_id = values[b"x-request-id"].decode()
        request_class = values[b"x-priority-class"].decode()
    except UnicodeDecodeError as error:
        raise HeaderError(str(error)) from error
    if not 0 < len(request_id) <= MAX_ID_LENGTH:
        raise HeaderError(f"request id is empty or over {MAX_ID_LENGTH} characters")
    route_key = values.get(b"x-route-key", b"")
    return ClientRequest(
        request_id=request_id,
        request_class=request_class,
        tenant=values.get(b"x-tenant-id", b"").decode("latin-1"),
        timeout=int(parse_number(values[b"x-timeout"], MAX_TIMEOUT) * TICKS_PER_SECOND),
        work=-(-int(parse_number(values.get(b"x-cost", b"0"), MAX_WORK)) // MICROSECONDS_PER_TICK),
        slots=_parse_slots(values.get(b"x-attrs", b"")),
        http=HttpRequest(method, target, forwarded_headers(headers), body),
        affinity_key=AFFINITY_KEY_FLAG | zlib.crc32(route_key) if route_key else 0,
        is_retry=values.get(b"x-retried") == b"1",
    )


def _parse_slots(attributes: bytes) -> float:
    """Returns the slots in attributes of the form `slots=2,memory=0.5`; 1 if they are not given.

    Raises:
        HeaderError: An attribute has no value or is not a number, or there are too many.
    """
    if attributes.count(b",") >= MAX_ATTRIBUTES:
        raise HeaderError(f"more than {MAX_ATTRIBUTES} attributes")
    slots = 1.0
    for pair in attributes.split(b","):
        name, _, value = pair.partition(b"=")
        if value:
            number = parse_number(value, MAX_ATTRIBUTE)
            if name.strip() == b"slots":
                slots = number
        elif name.strip():
            raise HeaderError("an attribute without a value")
    return slots
