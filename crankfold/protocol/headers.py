"""HTTP headers: size limits, parsing of values, and the selection that is forwarded to backends."""

import math
from collections.abc import Iterable

from crankfold.errors import CrankfoldError

MAX_BODY_SIZE = 64 * 1024  # bytes
MAX_HEADER_SIZE = 16 * 1024  # bytes of a start line and its headers
Header = tuple[bytes, bytes]  # name in lower case as h11 gives it, and value
Headers = Iterable[Header]

# A backend closes its connection on a header that it can't parse. So only headers that the protocol defines
# are forwarded, and none that concern the client's connection.
_FORWARDED = frozenset(
    (
        b"host",
        b"x-request-id",
        b"idempotency-key",
        b"x-priority-class",
        b"x-route-key",
        b"x-tenant-id",
        b"x-retried",
        b"x-cost",
        b"x-attrs",
        b"content-type",
    )
)


class HeaderError(CrankfoldError, ValueError):
    """A header of a request is missing, repeated or malformed; the request is rejected with status 400."""


def forwarded_headers(headers: Headers) -> list[Header]:
    """Returns the headers that are forwarded to a backend, in their order, always with a host."""
    forwarded = [(name, value) for name, value in headers if name in _FORWARDED]
    if not any(name == b"host" for name, _ in forwarded):
        forwarded.append((b"host", b""))  # optional in HTTP/1.0, required in HTTP/1.1
    return forwarded


def first_values(headers: Headers, single: frozenset[bytes]) -> dict[bytes, bytes]:
    """Returns the first value of each header by name.

    Raises:
        HeaderError: A header in `single` is repeated.
    """
    values: dict[bytes, bytes] = {}
    for name, value in headers:
        if name in single and name in values:
            raise HeaderError(f"header {name!r} is repeated")
        values.setdefault(name, value)
    return values


def parse_number(text: bytes | str, maximum: float) -> float:
    """Parses a decimal number from 0 to `maximum`.

    Raises:
        HeaderError: The text is not such a number, or has underscores, which only Python accepts.
    """
    try:
        value = float(text)
    except ValueError as error:
        raise HeaderError(str(error)) from error
    if not math.isfinite(value) or not 0 <= value <= maximum or "_" in str(text):
        raise HeaderError(f"number out of range: {value}")
    return value
