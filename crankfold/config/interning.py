"""Interning: names from outside are replaced by small dense indices."""

from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
NOT_FOUND = -1


class Interner(Generic[Key]):
    """Assigns indices to names in the order in which they first occur.

    Attributes:
        names: By index.
    """

    def __init__(self, known: Iterable[Key] = ()) -> None:
        self.names: list[Key] = []
        self._index_of: dict[Key, int] = {}
        for name in known:
            self.intern(name)

    def intern(self, name: Key) -> int:
        """The index of a name; a new name gets the next one."""
        index = self._index_of.get(name)
        if index is None:
            index = len(self.names)
            self._index_of[name] = index
            self.names.append(name)
        return index

    def find(self, name: Key) -> int:
        """The index of a name, NOT_FOUND for an unknown one."""
        return self._index_of.get(name, NOT_FOUND)
