"""Units of time of the whole program.

Times and durations are whole ticks of 0.1 ms on a monotonic clock, unless a name or docstring says otherwise;
settings and the simulator's protocol are in microseconds.
"""

TICKS_PER_SECOND = 10_000
TICKS_PER_MILLISECOND = 10
MICROSECONDS_PER_TICK = 100
NANOSECONDS_PER_TICK = 100_000
MILLISECONDS_PER_SECOND = 1000
