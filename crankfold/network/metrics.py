"""Counters of one process, and the record of broken invariants and unexpected exceptions."""

import logging
import traceback
from collections import Counter
from collections.abc import Mapping

logger = logging.getLogger(__name__)


class Metrics:
    """Named counters and maxima of one process, reported as one log line."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()

    def increment(self, name: str) -> None:
        """Adds one to the counter of that name."""
        self.counters[name] += 1

    def record_maximum(self, name: str, value: int) -> None:
        """Raises the value under that name to `value` if it is lower."""
        if value > self.counters[name]:
            self.counters[name] = value

    def check_invariant(self, holds: bool, name: str) -> None:
        """Counts and logs a broken invariant in a release build (`python -O`).

        Raises:
            AssertionError: `holds` is false in a debug build.
        """
        assert holds, name
        if not holds:
            self.increment("broken-" + name)
            logger.error("%s", name, extra={"category": "broken"})

    def record_exception(self, error: BaseException) -> None:
        """Counts and logs an unexpected exception with the file and line that raised it."""
        self.increment("failures")
        frames = traceback.extract_tb(error.__traceback__)[-1:]
        location = f" at {frames[0].filename}:{frames[0].lineno}" if frames else ""
        logger.error("%r%s", error, location, extra={"category": "failure"})

    def log_counters(self, gauges: Mapping[str, int]) -> None:
        """Logs all counters, and gauges by name with their present values, on one line sorted by name."""
        values = {**self.counters, **gauges}
        logger.info("counters: %s", " ".join(f"{name}={values[name]}" for name in sorted(values)))
