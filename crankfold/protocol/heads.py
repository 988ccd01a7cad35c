"""What the heads of all sides have in common."""

import math
from collections.abc import Iterable

MOST_BODY = 64 * 1024
MOST_HEAD = 16 * 1024
Heads = Iterable[tuple[bytes, bytes]]

# What goes on to a runner. A runner closes on a head that it can't read, whatever else waits there, so what
# concerns only the client's own connection, or is known to nobody here, stays behind.
_ON = frozenset((b"host", b"x-request-id", b"idempotency-key", b"x-priority-class", b"x-route-key",
                 b"x-tenant-id", b"x-retried", b"x-cost", b"x-attrs", b"content-type"))


def passed_on(heads: Heads) -> list[tuple[bytes, bytes]]:
    kept = [(name, value) for name, value in heads if name in _ON]
    if not any(name == b"host" for name, _ in kept):
        kept.append((b"host", b""))  # HTTP/1.0 may leave it out; the runner's 1.1 may not
    return kept


def number(text: bytes | str, most: float) -> float:
    """A plain number from 0 to `most`; anything else is a ValueError, also what only Python takes for one."""
    value = float(text)
    if not math.isfinite(value) or not 0 <= value <= most or "_" in str(text):
        raise ValueError(f"out of range: {value}")
    return value
