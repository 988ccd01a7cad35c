"""A bounded set of the ids of requests that are over, which processes of a dispatcher pass on."""

import base64
from collections.abc import Iterable
from hashlib import blake2b

# The oldest ids are forgotten first. A client that repeats an id does so soon after it has left, and ids are
# passed to a successor in one message.
MAX_REQUEST_IDS = 32_768
DIGEST_BYTES = 8


def _digest(request_id: str) -> bytes:
    return blake2b(request_id.encode(), digest_size=DIGEST_BYTES).digest()


class RequestIdSet:
    """A bounded set of request ids, which are kept as digests, as clients choose their length.

    Attributes:
        forgotten: Number of ids that were forgotten because of the bound.
    """

    def __init__(self) -> None:
        self.forgotten = 0
        self._digests: dict[bytes, None] = {}  # in the order in which they were added

    def __len__(self) -> int:
        """Returns the number of ids."""
        return len(self._digests)

    def __contains__(self, request_id: str) -> bool:
        """Whether the id was added and is not forgotten."""
        return bool(self._digests) and _digest(request_id) in self._digests

    def add(self, request_id: str) -> None:
        """Adds the id of a request that is over."""
        self._add_digests([_digest(request_id)])

    def _add_digests(self, digests: Iterable[bytes]) -> None:
        for digest in digests:
            self._digests.pop(digest, None)
            self._digests[digest] = None
        while len(self._digests) > MAX_REQUEST_IDS:
            del self._digests[next(iter(self._digests))]
            self.forgotten += 1

    def encode(self) -> str:
        """Returns all ids as a text for another process; `adopt` decodes it."""
        return base64.b64encode(b"".join(self._digests)).decode()

    def adopt(self, encoded: str) -> None:
        """Adds the ids of another process.

        Raises:
            ValueError: The text is not from `encode`.
        """
        digests = base64.b64decode(encoded, validate=True)
        if len(digests) % DIGEST_BYTES:
            raise ValueError("incomplete digest of a request id")
        self._add_digests(
            digests[start : start + DIGEST_BYTES] for start in range(0, len(digests), DIGEST_BYTES)
        )
