"""Units of time. The program counts time in ticks, which are whole tenths of a millisecond."""

TICKS_PER_SECOND = 10_000
TICKS_PER_MILLISECOND = 10
MICROSECONDS_PER_TICK = 100
NANOSECONDS_PER_TICK = 100_000
MILLISECONDS_PER_SECOND = 1000
