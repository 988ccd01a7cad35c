"""What was counted, and the log: lines on standard error, rate-limited by kind."""

import contextlib
import sys
import time
import traceback
from collections import Counter

FIRST_GAP, LONGEST_GAP = 1.0, 60.0  # seconds between lines of a kind; the gap doubles while they go on


def log(line: str) -> None:
    """Where it can't be written, as on a full disk, all goes on: a unit must not fail by a line about it."""
    with contextlib.suppress(OSError, ValueError):
        print(line, file=sys.stderr, flush=True)


class Tally:
    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._last: dict[str, float] = {}
        self._gap: dict[str, float] = {}
        self._left_out: Counter[str] = Counter()

    def count(self, what: str) -> None:
        self.counts[what] += 1

    def most(self, what: str, value: int) -> None:
        if value > self.counts[what]:
            self.counts[what] = value

    def say(self, kind: str, text: str) -> None:
        now = time.monotonic()
        since = now - self._last.get(kind, -LONGEST_GAP)
        gap = self._gap.get(kind, FIRST_GAP)
        if since < gap:
            self._left_out[kind] += 1
            return
        self._gap[kind] = min(2 * gap, LONGEST_GAP) if since < 2 * gap else FIRST_GAP
        self._last[kind] = now
        left_out = self._left_out.pop(kind, 0)
        more = f" ({left_out} like it left out)" if left_out else ""
        log(f"crankfold: {kind}: {text}{more}")

    def must(self, holds: bool, what: str) -> None:
        """What must hold: fails a debug build, is counted by a release build."""
        assert holds, what
        if not holds:
            self.count("broken-" + what)
            self.say("broken", what)

    def failed(self, wrong: BaseException) -> None:
        """An exception that no code foresaw, with its place."""
        self.count("failures")
        place = traceback.extract_tb(wrong.__traceback__)[-1:]
        at = f" at {place[0].filename}:{place[0].lineno}" if place else ""
        self.say("failure", f"{wrong!r}{at}")

    def report(self, present: dict[str, int]) -> None:
        figures = {**self.counts, **present}
        text = " ".join(f"{name}={figures[name]}" for name in sorted(figures))
        log(f"crankfold: counters: {text}")
