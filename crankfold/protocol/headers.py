"""What the heads of all sides have in common."""

import math
from collections.abc import Iterable

MAX_BODY_SIZE = 64 * 1024
MAX_HEADER_SIZE = 16 * 1024
Headers = Iterable[tuple[bytes, bytes]]

# What goes on to a runner. A runner closes on a head that it can't read, whatever else waits there, so what
# concerns only the client's own connection, or is known to nobody here, stays behind.
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


def forwarded_headers(heads: Headers) -> list[tuple[bytes, bytes]]:
    kept = [(name, value) for name, value in heads if name in _FORWARDED]
    if not any(name == b"host" for name, _ in kept):
        kept.append((b"host", b""))  # HTTP/1.0 may leave it out; the runner's 1.1 may not
    return kept


def parse_number(text: bytes | str, most: float) -> float:
    """A plain number from 0 to `most`; anything else is a ValueError, also what only Python takes for one."""
    value = float(text)
    if not math.isfinite(value) or not 0 <= value <= most or "_" in str(text):
        raise ValueError(f"out of range: {value}")
    return value
