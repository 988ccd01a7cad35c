"""What was counted, and the log: lines on standard error, rate-limited by kind."""

import contextlib
import sys
import time
import traceback
from collections import Counter

FIRST_LOG_INTERVAL, MAX_LOG_INTERVAL = (
    1.0,
    60.0,
)  # seconds between lines of a kind; the gap doubles while they go on


def log_line(line: str) -> None:
    """Where it can't be written, as on a full disk, all goes on: a unit must not fail by a line about it."""
    with contextlib.suppress(OSError, ValueError):
        print(line, file=sys.stderr, flush=True)


class Metrics:
    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self._last_logged: dict[str, float] = {}
        self._log_interval: dict[str, float] = {}
        self._suppressed: Counter[str] = Counter()

    def increment(self, what: str) -> None:
        self.counters[what] += 1

    def record_maximum(self, what: str, value: int) -> None:
        if value > self.counters[what]:
            self.counters[what] = value

    def warn(self, kind: str, text: str) -> None:
        now = time.monotonic()
        since = now - self._last_logged.get(kind, -MAX_LOG_INTERVAL)
        gap = self._log_interval.get(kind, FIRST_LOG_INTERVAL)
        if since < gap:
            self._suppressed[kind] += 1
            return
        self._log_interval[kind] = min(2 * gap, MAX_LOG_INTERVAL) if since < 2 * gap else FIRST_LOG_INTERVAL
        self._last_logged[kind] = now
        left_out = self._suppressed.pop(kind, 0)
        more = f" ({left_out} like it left out)" if left_out else ""
        log_line(f"crankfold: {kind}: {text}{more}")

    def check_invariant(self, holds: bool, what: str) -> None:
        """What must hold: fails a debug build, is counted by a release build."""
        assert holds, what
        if not holds:
            self.increment("broken-" + what)
            self.warn("broken", what)

    def record_exception(self, wrong: BaseException) -> None:
        """An exception that no code foresaw, with its place."""
        self.increment("failures")
        place = traceback.extract_tb(wrong.__traceback__)[-1:]
        at = f" at {place[0].filename}:{place[0].lineno}" if place else ""
        self.warn("failure", f"{wrong!r}{at}")

    def log_counters(self, present: dict[str, int]) -> None:
        figures = {**self.counters, **present}
        text = " ".join(f"{name}={figures[name]}" for name in sorted(figures))
        log_line(f"crankfold: counters: {text}")
