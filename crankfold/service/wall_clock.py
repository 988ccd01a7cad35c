"""The wall clock, for times shown to operators; durations use monotonic clocks."""

import time

NANOSECONDS_PER_MILLISECOND = 1_000_000


def wall_clock_ms() -> int:
    """Returns the milliseconds since the epoch."""
    return time.time_ns() // NANOSECONDS_PER_MILLISECOND
