"""The clock that leases are counted by."""

import time

from crankfold.time_units import NANOSECONDS_PER_TICK


def boottime_ticks() -> int:
    """Time since the boot in ticks of a tenth of a millisecond.

    Unlike the monotonic clock it goes on while the machine is suspended, as leases do.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_TICK
