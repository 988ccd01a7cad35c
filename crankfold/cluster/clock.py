"""The clock that leases are counted by."""

import time

TICKS_PER_SECOND = 10_000
TICKS_PER_MILLISECOND = 10
NANOSECONDS_PER_TICK = 100_000


def boottime_ticks() -> int:
    """Time since the boot in ticks of a tenth of a millisecond.

    Unlike the monotonic clock it goes on while the machine is suspended, as leases do.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_TICK
