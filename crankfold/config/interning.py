"""Ids at the door: what comes in under a name goes on under a small dense number."""

from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)


class Interner(Generic[Key]):
    """Numbers in the order of first sight; a name not seen before gets the next one."""

    def __init__(self, known: Iterable[Key] = ()) -> None:
        self.names: list[Key] = []
        self._index_of: dict[Key, int] = {}
        for name in known:
            self.intern(name)

    def intern(self, name: Key) -> int:
        found = self._index_of.get(name)
        if found is None:
            found = self._index_of[name] = len(self.names)
            self.names.append(name)
        return found

    def find(self, name: Key) -> int:
        return self._index_of.get(name, -1)
