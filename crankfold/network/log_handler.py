"""The program's log: one line per record on standard error, rate-limited by category.

Modules log through `logging.getLogger(__name__)`. A record that carries a category, given by
`extra={"category": "discovery"}`, is rate-limited together with all others of that category, and its line
names the category; a record without one is always written.
"""

import contextlib
import logging
import sys
import time
from collections import Counter

PACKAGE = "crankfold"  # the parent logger of all modules, and the prefix of each line
FIRST_INTERVAL = 1.0  # seconds between two lines of a category
MAX_INTERVAL = 60.0  # seconds; the interval doubles up to this while records keep coming


class RateLimitFilter(logging.Filter):
    """Drops records that follow one of their category too soon, and counts them for the next one written."""

    def __init__(self) -> None:
        super().__init__()
        self._last_written: dict[str, float] = {}  # seconds of the monotonic clock
        self._intervals: dict[str, float] = {}  # seconds
        self._suppressed: Counter[str] = Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether to write the record; sets its attribute `suppressed` to the number dropped before it."""
        category = getattr(record, "category", None)
        if category is None:
            return True
        now = time.monotonic()
        elapsed = now - self._last_written.get(category, -MAX_INTERVAL)
        interval = self._intervals.get(category, FIRST_INTERVAL)
        if elapsed < interval:
            self._suppressed[category] += 1
            return False
        self._intervals[category] = (
            min(2 * interval, MAX_INTERVAL) if elapsed < 2 * interval else FIRST_INTERVAL
        )
        self._last_written[category] = now
        record.suppressed = self._suppressed.pop(category, 0)
        return True


class LineFormatter(logging.Formatter):
    """Formats a record as `crankfold: CATEGORY: message (N similar suppressed)`."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line without a line break; category and count only if the record has them."""
        category = getattr(record, "category", None)
        suppressed = getattr(record, "suppressed", 0)
        prefix = f"{PACKAGE}: {category}: " if category else f"{PACKAGE}: "
        suffix = f" ({suppressed} similar suppressed)" if suppressed else ""
        return f"{prefix}{record.getMessage()}{suffix}"


class StderrHandler(logging.Handler):
    """Writes each record to `sys.stderr`, which is looked up anew for each record.

    Errors of the stream, such as a full disk, are ignored: logging must not fail a request.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Writes and flushes one line; errors of the stream are ignored."""
        try:
            line = self.format(record)
        except Exception:
            self.handleError(record)  # arguments that do not fit the message must not raise either
            return
        with contextlib.suppress(OSError, ValueError):
            print(line, file=sys.stderr, flush=True)


def configure_logging() -> None:
    """Sends the log of all modules of this package to standard error. A second call has no effect."""
    logger = logging.getLogger(PACKAGE)
    if any(isinstance(handler, StderrHandler) for handler in logger.handlers):
        return
    handler = StderrHandler()
    handler.setFormatter(LineFormatter())
    handler.addFilter(RateLimitFilter())
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    logger.propagate = False
