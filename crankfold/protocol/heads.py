"""What the heads of all sides have in common."""

import math
from collections.abc import Iterable

MOST_BODY = 64 * 1024
MOST_HEAD = 16 * 1024
Heads = Iterable[tuple[bytes, bytes]]

# Named by RFC 9110 for one connection only, or worded anew by the side that sends on.
_OWN = frozenset((b"connection", b"keep-alive", b"proxy-connection", b"proxy-authenticate", b"te", b"trailer",
                  b"proxy-authorization", b"transfer-encoding", b"upgrade", b"expect", b"content-length",
                  b"x-timeout"))


def passed_on(heads: Heads) -> list[tuple[bytes, bytes]]:
    """What goes on to a runner, whatever the client's connection was like."""
    heads = list(heads)
    named = {token.strip().lower() for name, value in heads if name == b"connection"
             for token in value.split(b",")}
    kept = [(name, value) for name, value in heads if name not in _OWN and name not in named]
    if not any(name == b"host" for name, _ in kept):
        kept.append((b"host", b""))  # HTTP/1.0 may leave it out; the runner's 1.1 may not
    return kept


def number(text: bytes | str, most: float) -> float:
    """A plain number from 0 to `most`; anything else is a ValueError, also what only Python takes for one."""
    value = float(text)
    if not math.isfinite(value) or not 0 <= value <= most or "_" in str(text):
        raise ValueError(f"out of range: {value}")
    return value
