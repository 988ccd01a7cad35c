"""Interning: replaces names from outside by small dense indices."""

from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
NOT_FOUND = -1


class Interner(Generic[Key]):
    """Assigns indices to names in the order in which they first occur.

    Attributes:
        names: The names, in the order of their indices.
    """

    def __init__(self, names: Iterable[Key] = ()) -> None:
        self.names: list[Key] = []
        self._index_of: dict[Key, int] = {}
        for name in names:
            self.intern(name)

    def intern(self, name: Key) -> int:
        """Returns the index of a name; a new name gets the next index."""
        index = self._index_of.get(name)
        if index is None:
            index = len(self.names)
            self._index_of[name] = index
            self.names.append(name)
        return index

    def find(self, name: Key) -> int:
        """Returns the index of a name; NOT_FOUND if the name is unknown."""
        return self._index_of.get(name, NOT_FOUND)
