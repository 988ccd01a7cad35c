"""The clock of leases."""

import time

from crankfold.time_units import NANOSECONDS_PER_TICK


def boottime_ticks() -> int:
    """The time since boot in ticks of a tenth of a millisecond.

    Unlike the monotonic clock it includes the time during which the machine is suspended: leases expire
    then too.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_TICK
