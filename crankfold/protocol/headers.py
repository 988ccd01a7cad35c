"""What HTTP headers of all connections have in common: limits on sizes, and which ones a backend gets."""

import math
from collections.abc import Iterable

MAX_BODY_SIZE = 64 * 1024  # bytes
MAX_HEADER_SIZE = 16 * 1024  # bytes of a start line and its headers
Header = tuple[bytes, bytes]  # name in lower case as h11 gives it, and value
Headers = Iterable[Header]

# What goes on to a backend. A backend closes on a header that it can't read, whatever else waits there, so
# what concerns only the client's own connection, or is known to nobody here, stays behind.
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


def forwarded_headers(headers: Headers) -> list[Header]:
    """The headers that go on to a backend, in their order, always with a host."""
    forwarded = [(name, value) for name, value in headers if name in _FORWARDED]
    if not any(name == b"host" for name, _ in forwarded):
        forwarded.append((b"host", b""))  # HTTP/1.0 may leave it out; the backend's 1.1 may not
    return forwarded


def first_values(headers: Headers, single: frozenset[bytes]) -> dict[bytes, bytes]:
    """The first value of each header by name.

    Raises:
        ValueError: a header of `single` comes more than once.
    """
    values: dict[bytes, bytes] = {}
    for name, value in headers:
        if name in single and name in values:
            raise ValueError(f"header {name!r} comes twice")
        values.setdefault(name, value)
    return values


def parse_number(text: bytes | str, maximum: float) -> float:
    """A plain number from 0 to `maximum`.

    Raises:
        ValueError: it is anything else, also what only Python takes for a number.
    """
    value = float(text)
    if not math.isfinite(value) or not 0 <= value <= maximum or "_" in str(text):
        raise ValueError(f"out of range: {value}")
    return value
