"""The clock by which leases expire."""

import time

from crankfold.time_units import NANOSECONDS_PER_TICK


def boottime_ticks() -> int:
    """Returns the time since boot in ticks.

    Unlike the monotonic clock, it includes the time during which the machine is suspended, so leases also
    expire during a suspension.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_TICK
