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
ROOM_FACTOR = 16

Holder = TypeVar("Holder", bound=Hashable)


class UnfinishedTransfer(NamedTuple):
    """A request that was received, or a response that was sent, in part.

    Attributes:
        held: Bytes that are held for it.
        age: Seconds since it began.
    """

    held: int
    age: float


def release_order(transfers: Iterable[tuple[Holder, UnfinishedTransfer]]) -> list[Holder]:
    """Returns the holders in the order in which they release memory: who holds most for longest is first."""
    ordered = sorted(transfers, key=lambda item: item[1].held * item[1].age, reverse=True)
    return [holder for holder, _ in ordered]


class MemoryBudget:
    """The bytes that are held, by holder.

    Attributes:
        limit: Bytes; 0 for no limit.
        held: Bytes held by all holders.
        admitted: The part of them that admitted requests hold.
    """

    def __init__(self, limit: int = 0) -> None:
        self.limit = limit
        self.held = 0
        self.admitted = 0
        self._held_by: dict[Hashable, int] = {}

    def charge(self, holder: Hashable, held: int) -> None:
        """Sets the bytes that one holder holds."""
        self.held += held - self._held_by.get(holder, 0)
        self._held_by[holder] = held

    def charge_admitted(self, holder: Hashable, held: int) -> None:
        """Sets the bytes that admitted requests hold; a holder uses either this method or `charge`."""
        self.admitted += held - self._held_by.get(holder, 0)
        self.charge(holder, held)

    def release(self, holder: Hashable) -> None:
        """Ends the account that `charge` has begun; does nothing if there is none."""
        self.held -= self._held_by.pop(holder, 0)

    def is_exceeded(self) -> bool:
        """Whether more is held than the limit."""
        return 0 < self.limit < self.held

    def needs_release(self) -> bool:
        """Whether more is held than shall remain after a release."""
        return 0 < self.limit * RELEASE_SHARE < self.held

    def has_room(self, size: int) -> bool:
        """Whether a request of that size, in bytes, may be admitted."""
        return not self.limit or self.admitted + ROOM_FACTOR * size <= self.limit * ADMITTED_SHARE
