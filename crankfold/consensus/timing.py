"""Durations of elections and leases, all derived from one configured bound.

Times and durations are ticks of a tenth of a millisecond.
"""

from msgspec import Struct

# Two clocks run at rates that differ by 1% each way at most: 3% covers both, and rounding.
CLOCK_DRIFT_PERCENT = 3


def with_drift_margin(duration: int) -> int:
    """How long, in ticks of this clock, `duration` ticks of any other clock can last at most."""
    return duration * (100 + CLOCK_DRIFT_PERCENT) // 100


class Timing(Struct, frozen=True):
    """Durations in ticks, as fractions of the staleness bound.

    Attributes:
        staleness_bound: How long, in ticks, two dispatchers may act on versions that contradict each other.
    """

    staleness_bound: int

    @property
    def lease_duration(self) -> int:
        """How long a leader may act after a quorum was in contact."""
        return self.staleness_bound * 8 // 10

    @property
    def heartbeat_interval(self) -> int:
        """Between two rounds of a leader's AppendEntries."""
        return self.staleness_bound * 4 // 100

    @property
    def election_timeout(self) -> int:
        """Least time without a leader before a voter campaigns; the randomized one is twice that at most."""
        return self.staleness_bound * 16 // 100

    @property
    def renew_interval(self) -> int:
        """Between two requests for the same lease."""
        return self.staleness_bound // 10

    @property
    def contact_timeout(self) -> int:
        """Without a message for so long, another member counts as out of contact."""
        return 3 * self.renew_interval

    @property
    def lease_expiry_wait(self) -> int:
        """After so long on one clock, a lease granted before it has expired on any other."""
        return with_drift_margin(self.lease_duration)
