"""Accounts for the memory that a process holds for its clients, against a limit."""

from collections.abc import Hashable, Iterable
from typing import NamedTuple, TypeVar

# Share of the limit down to which memory is released once it is exceeded, so that the holders are compared
# once for many arrivals.
RELEASE_SHARE = 0.9
# Admitted requests hold this share of the limit at most; the rest is for requests that are being received and
# responses that are being sent, which can be released.
ADMITTED_SHARE = 0.75
# A request is admitted while this many times its size is free, so that small requests are admitted longest.
FREE_MEMORY_FACTOR = 16

Holder = TypeVar("Holder", bound=Hashable)


class UnfinishedTransfer(NamedTuple):
    """A request that was received, or a response that was sent, in part.

    Attributes:
        size: Bytes that it occupies.
        age: Seconds since it began.
    """

    size: int
    age: float


def release_order(transfers: Iterable[tuple[Holder, UnfinishedTransfer]]) -> list[Holder]:
    """Returns the holders in the order in which they release memory: who holds most for longest is first."""
    ordered = sorted(transfers, key=lambda item: item[1].size * item[1].age, reverse=True)
    return [holder for holder, _ in ordered]


class MemoryBudget:
    """The bytes of buffers, by holder.

    Attributes:
        limit: Bytes; 0 for no limit.
        allocated: Bytes of all holders.
        admitted: The part of them that belongs to admitted requests.
    """

    def __init__(self, limit: int = 0) -> None:
        self.limit = limit
        self.allocated = 0
        self.admitted = 0
        self._allocated_by: dict[Hashable, int] = {}

    def charge(self, holder: Hashable, size: int) -> None:
        """Sets the bytes of one holder."""
        self.allocated += size - self._allocated_by.get(holder, 0)
        self._allocated_by[holder] = size

    def charge_admitted(self, holder: Hashable, size: int) -> None:
        """Sets the bytes of admitted requests; a holder uses either this method or `charge`."""
        self.admitted += size - self._allocated_by.get(holder, 0)
        self.charge(holder, size)

    def release(self, holder: Hashable) -> None:
        """Ends the account that `charge` has begun; does nothing if there is none."""
        self.allocated -= self._allocated_by.pop(holder, 0)

    def is_exceeded(self) -> bool:
        """Whether more is allocated than the limit."""
        return 0 < self.limit < self.allocated

    def needs_release(self) -> bool:
        """Whether more is allocated than remains after a release."""
        return 0 < self.limit * RELEASE_SHARE < self.allocated

    def can_admit(self, size: int) -> bool:
        """Whether a request of that size, in bytes, may be admitted."""
        return not self.limit or self.admitted + FREE_MEMORY_FACTOR * size <= self.limit * ADMITTED_SHARE
