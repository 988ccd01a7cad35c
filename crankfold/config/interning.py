"""Names as small dense numbers: what comes in under a name goes on under its index."""

from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)


class Interner(Generic[Key]):
    """Numbers names in the order of first sight.

    Attributes:
        names: by index.
    """

    def __init__(self, known: Iterable[Key] = ()) -> None:
        self.names: list[Key] = []
        self._index_of: dict[Key, int] = {}
        for name in known:
            self.intern(name)

    def intern(self, name: Key) -> int:
        """The index of a name; one not seen before gets the next."""
        index = self._index_of.get(name)
        if index is None:
            index = len(self.names)
            self._index_of[name] = index
            self.names.append(name)
        return index

    def find(self, name: Key) -> int:
        """The index of a name, -1 for one not seen before."""
        return self._index_of.get(name, -1)
