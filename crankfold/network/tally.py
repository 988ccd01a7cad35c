"""What was counted, and the log: lines on standard error, each kind at most once a second."""

import sys
import time
from collections import Counter


class Tally:
    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._next: dict[str, float] = {}
        self._left_out: Counter[str] = Counter()

    def count(self, what: str, by: int = 1) -> None:
        self.counts[what] += by

    def most(self, what: str, value: int) -> None:
        if value > self.counts[what]:
            self.counts[what] = value

    def say(self, kind: str, text: str) -> None:
        now = time.monotonic()
        if now < self._next.get(kind, 0.0):
            self._left_out[kind] += 1
            return
        self._next[kind] = now + 1.0
        left_out = self._left_out.pop(kind, 0)
        more = f" ({left_out} like it left out)" if left_out else ""
        print(f"crankfold: {kind}: {text}{more}", file=sys.stderr, flush=True)

    def must(self, holds: bool, what: str) -> None:
        """What must hold: fails a debug build, is counted by a release build."""
        assert holds, what
        if not holds:
            self.count("broken." + what)
            self.say("broken", what)

    def lines(self) -> str:
        return " ".join(f"{name}={self.counts[name]}" for name in sorted(self.counts))
